//! One claim under way, and what comes of it.

use super::record::{ClaimReply, Ended, Refusal};
use super::{Name, CLAIM_S};
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which a claim is sent again, seconds, and how often it is sent.
const RETRY_INTERVAL_S: f64 = 0.06;
const MAX_SENDS: u32 = 5;
/// How often what was provably never sent is claimed anew, a step higher.
const MAX_EPOCH: u32 = 3;
/// The first step of a claim.
const FIRST_EPOCH: u32 = 1;

/// What came of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The name is this member's.
    Own {
        /// The step of the claim.
        epoch: u32,
    },
    /// Another had it, and it ended.
    Known {
        /// How it ended.
        ended: Ended,
        /// How long ago it was claimed, milliseconds.
        age_ms: u32,
    },
    /// Somebody may have it out.
    InHand {
        /// Since so long at the least, milliseconds.
        age_ms: u32,
    },
    /// Too few replicas could be asked.
    TooFew,
}

/// A claim under way.
pub(super) struct Claim {
    pub(super) name: Name,
    pub(super) epoch: u32,
    pub(super) replicas: Vec<u64>,
    /// So many grants make it this member's.
    quorum: usize,
    granted: BTreeSet<u64>,
    refused: BTreeMap<u64, Refusal>,
    unavailable: BTreeSet<u64>,
    sends: u32,
    pub(super) next_send: f64,
    began: f64,
}

impl Claim {
    pub(super) fn new(now: f64, name: Name, replicas: Vec<u64>, quorum: usize) -> Claim {
        Claim {
            name,
            epoch: FIRST_EPOCH,
            replicas,
            quorum,
            granted: BTreeSet::new(),
            refused: BTreeMap::new(),
            unavailable: BTreeSet::new(),
            sends: 0,
            next_send: now,
            began: now,
        }
    }

    /// The replicas to send it to now.
    pub(super) fn send_to(&mut self, now: f64) -> Vec<u64> {
        if now < self.next_send || self.sends > MAX_SENDS {
            return Vec::new();
        }
        self.sends += 1;
        self.next_send = now + RETRY_INTERVAL_S;
        self.replicas
            .iter()
            .copied()
            .filter(|who| !self.has_answered(*who))
            .collect()
    }

    fn has_answered(&self, who: u64) -> bool {
        self.granted.contains(&who)
            || self.refused.contains_key(&who)
            || self.unavailable.contains(&who)
    }

    /// A replica has answered. A grant outlives what the same one says later.
    pub(super) fn take_reply(&mut self, from: u64, reply: ClaimReply) {
        if !self.replicas.contains(&from) {
            return;
        }
        match reply {
            ClaimReply::Granted => {
                self.granted.insert(from);
                self.refused.remove(&from);
                self.unavailable.remove(&from);
            }
            ClaimReply::Refused(refusal) if !self.granted.contains(&from) => {
                self.refused.insert(from, refusal);
                self.unavailable.remove(&from);
            }
            ClaimReply::Unavailable if !self.has_answered(from) => {
                self.unavailable.insert(from);
            }
            ClaimReply::Refused(_) | ClaimReply::Unavailable => {}
        }
    }

    /// What came of it, once that is known. What was provably never sent is claimed anew, a step higher.
    pub(super) fn decide(&mut self, now: f64) -> Option<Outcome> {
        // Guards against one that was stopped in between counting a grant that its giver has forgotten since.
        let late = now > self.began + CLAIM_S;
        if self.granted.len() >= self.quorum && !late {
            return Some(Outcome::Own { epoch: self.epoch });
        }
        if self.can_succeed() && !late && !self.is_exhausted(now) {
            return None;
        }
        let Some(latest) = self.latest_refusal() else {
            return Some(Outcome::TooFew);
        };
        match latest.ended {
            Some(ended) if !ended.ran && latest.epoch < MAX_EPOCH && !late => {
                self.restart(now, latest.epoch + 1);
                None
            }
            Some(ended) => Some(Outcome::Known {
                ended,
                age_ms: latest.age_ms,
            }),
            None => Some(Outcome::InHand {
                age_ms: self.longest_age_ms(),
            }),
        }
    }

    /// Enough replicas may still grant it.
    fn can_succeed(&self) -> bool {
        self.replicas.len() - self.refused.len() - self.unavailable.len() >= self.quorum
    }

    /// All have answered, or it was sent as often as it may be.
    fn is_exhausted(&self, now: f64) -> bool {
        let answers = self.granted.len() + self.refused.len() + self.unavailable.len();
        answers == self.replicas.len() || self.sends >= MAX_SENDS && now >= self.next_send
    }

    fn latest_refusal(&self) -> Option<Refusal> {
        let by_epoch = |refusal: &&Refusal| (refusal.epoch, refusal.ended.is_some());
        self.refused.values().max_by_key(by_epoch).cloned()
    }

    fn longest_age_ms(&self) -> u32 {
        self.refused
            .values()
            .map(|refusal| refusal.age_ms)
            .max()
            .unwrap_or(0)
    }

    fn restart(&mut self, now: f64, epoch: u32) {
        self.epoch = epoch;
        self.granted.clear();
        self.refused.clear();
        self.sends = 0;
        self.next_send = now;
    }
}
