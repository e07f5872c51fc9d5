//! Names of recorded work items, and the choice of the members that keep the record of a name.

use std::cmp::Reverse;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13 as SipHasher64;
use siphasher::sip128::{Hasher128, SipHasher13 as SipHasher128};

/// Keys of the hashes. All members use the same keys, which are not secret.
const NAME_KEYS: (u64, u64) = (0x6e61, 0x6d65);
const RANK_KEYS: (u64, u64) = (0x686f, 0x6d65);
/// Separates the category from the client's key in the hashed bytes.
const SEPARATOR: u8 = 0;

/// The name of a recorded work item: a hash of its category and the client's idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkItemName(pub u128);

impl WorkItemName {
    /// Returns the name for a client's idempotency key in a category.
    pub fn new(category: &str, client_key: &str) -> WorkItemName {
        let mut hasher = SipHasher128::new_with_keys(NAME_KEYS.0, NAME_KEYS.1);
        hasher.write(category.as_bytes());
        hasher.write_u8(SEPARATOR);
        hasher.write(client_key.as_bytes());
        WorkItemName(hasher.finish128().as_u128())
    }
}

/// Returns the `2 * copies + 1` members that keep a name's record, in descending order of their rank by rendezvous
/// hashing (Thaler and Ravishankar, 1998).
pub fn replicas(name: WorkItemName, members: &[u64], copies: usize) -> Vec<u64> {
    let mut ranked = members.to_vec();
    ranked.sort_by_key(|member| Reverse((rank(name, *member), *member)));
    ranked.truncate(2 * copies + 1);
    ranked
}

fn rank(name: WorkItemName, member: u64) -> u64 {
    let mut hasher = SipHasher64::new_with_keys(RANK_KEYS.0, RANK_KEYS.1);
    hasher.write_u128(name.0);
    hasher.write_u64(member);
    hasher.finish()
}
