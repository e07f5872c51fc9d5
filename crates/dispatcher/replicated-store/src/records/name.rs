//! Names of recorded work items, and which members keep the record of each.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13 as SipHasher64;
use siphasher::sip128::{Hasher128, SipHasher13 as SipHasher128};
use std::cmp::Reverse;
use std::hash::Hasher;

/// Keys of the hashes. They are the same everywhere, and no secret.
const NAME_KEYS: (u64, u64) = (0x6e61, 0x6d65);
const RANK_KEYS: (u64, u64) = (0x686f, 0x6d65);
/// Between category and client's name.
const SEPARATOR: u8 = 0;

/// A recorded work item's name: a hash of its category and of what its client calls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name(pub u128);

impl Name {
    /// The name of what a client calls `called` in a category.
    pub fn of(category: &str, called: &str) -> Name {
        let mut hasher = SipHasher128::new_with_keys(NAME_KEYS.0, NAME_KEYS.1);
        hasher.write(category.as_bytes());
        hasher.write_u8(SEPARATOR);
        hasher.write(called.as_bytes());
        Name(hasher.finish128().as_u128())
    }
}

/// The members that keep a name's record, by highest hash.
pub fn replicas(name: Name, members: &[u64], copies: usize) -> Vec<u64> {
    let mut ranked = members.to_vec();
    ranked.sort_by_key(|who| Reverse((rank(name, *who), *who)));
    ranked.truncate(2 * copies + 1);
    ranked
}

fn rank(name: Name, who: u64) -> u64 {
    let mut hasher = SipHasher64::new_with_keys(RANK_KEYS.0, RANK_KEYS.1);
    hasher.write_u128(name.0);
    hasher.write_u64(who);
    hasher.finish()
}
