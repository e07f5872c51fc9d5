//! A claim of a name, until its outcome is known.

use std::collections::{BTreeMap, BTreeSet};

use super::record::{ClaimReply, Completion, Refusal};
use super::{WorkItemName, CLAIM_TIMEOUT_S};

/// Interval at which a claim is sent to the replicas that have not replied, seconds.
const RETRY_INTERVAL_S: f64 = 0.06;
/// How often it is sent, at most.
const MAX_SENDS: u32 = 5;
/// Highest epoch at which a name is claimed again after a claim under which nothing was sent.
const MAX_EPOCH: u32 = 3;
/// The epoch of a new claim.
const FIRST_EPOCH: u32 = 1;

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This member owns the name, and may send the work item.
    Owned {
        /// The epoch of the claim.
        epoch: u32,
    },
    /// Another claim owned the name, and its work item has ended.
    Completed {
        /// How it ended.
        completion: Completion,
        /// Time since that claim was granted, milliseconds.
        age_ms: u32,
    },
    /// Another claim may own the name, and its work item may be in flight.
    InFlight {
        /// Longest known time since such a claim was granted, milliseconds.
        age_ms: u32,
    },
    /// Too few replicas replied.
    NoQuorum,
}

/// A claim whose outcome is not known.
pub(super) struct Claim {
    pub(super) name: WorkItemName,
    pub(super) epoch: u32,
    pub(super) replicas: Vec<u64>,
    /// Grants needed to own the name.
    quorum: usize,
    granted: BTreeSet<u64>,
    refusals: BTreeMap<u64, Refusal>,
    unavailable: BTreeSet<u64>,
    sends: u32,
    pub(super) next_send: f64,
    claimed_at: f64,
}

impl Claim {
    /// A claim that is sent at once.
    pub(super) fn new(now: f64, name: WorkItemName, replicas: Vec<u64>, quorum: usize) -> Claim {
        Claim {
            name,
            epoch: FIRST_EPOCH,
            replicas,
            quorum,
            granted: BTreeSet::new(),
            refusals: BTreeMap::new(),
            unavailable: BTreeSet::new(),
            sends: 0,
            next_send: now,
            claimed_at: now,
        }
    }

    /// The replicas to send it to now; counts as sent.
    pub(super) fn receivers(&mut self, now: f64) -> Vec<u64> {
        if now < self.next_send || self.sends > MAX_SENDS {
            return Vec::new();
        }
        self.sends += 1;
        self.next_send = now + RETRY_INTERVAL_S;
        self.replicas
            .iter()
            .copied()
            .filter(|member| !self.has_replied(*member))
            .collect()
    }

    fn has_replied(&self, member: u64) -> bool {
        self.granted.contains(&member)
            || self.refusals.contains_key(&member)
            || self.unavailable.contains(&member)
    }

    /// Takes a replica's reply. A grant stands, whatever the same replica replies to a duplicate later.
    pub(super) fn receive_reply(&mut self, from: u64, reply: ClaimReply) {
        if !self.replicas.contains(&from) {
            return;
        }
        match reply {
            ClaimReply::Granted => {
                self.granted.insert(from);
                self.refusals.remove(&from);
                self.unavailable.remove(&from);
            }
            ClaimReply::Refused(refusal) if !self.granted.contains(&from) => {
                self.refusals.insert(from, refusal);
                self.unavailable.remove(&from);
            }
            ClaimReply::Unavailable if !self.has_replied(from) => {
                self.unavailable.insert(from);
            }
            ClaimReply::Refused(_) | ClaimReply::Unavailable => {}
        }
    }

    /// The outcome, once it is known. A name under which certainly nothing was sent is claimed again at a higher epoch.
    pub(super) fn decide(&mut self, now: f64) -> Option<ClaimOutcome> {
        // A process that was paused must not use grants that their replicas may have lost in the meantime.
        let is_late = now > self.claimed_at + CLAIM_TIMEOUT_S;
        if self.granted.len() >= self.quorum && !is_late {
            return Some(ClaimOutcome::Owned { epoch: self.epoch });
        }
        if self.can_succeed() && !is_late && !self.is_exhausted(now) {
            return None;
        }
        let Some(latest) = self.latest_refusal() else {
            return Some(ClaimOutcome::NoQuorum);
        };
        match latest.completion {
            Some(completion)
                if !completion.may_have_run && latest.epoch < MAX_EPOCH && !is_late =>
            {
                self.restart(now, latest.epoch + 1);
                None
            }
            Some(completion) => Some(ClaimOutcome::Completed {
                completion,
                age_ms: latest.age_ms,
            }),
            None => Some(ClaimOutcome::InFlight {
                age_ms: self.longest_age_ms(),
            }),
        }
    }

    /// Whether enough replicas may still grant it.
    fn can_succeed(&self) -> bool {
        self.replicas.len() - self.refusals.len() - self.unavailable.len() >= self.quorum
    }

    /// Whether all replicas have replied, or it was sent as often as it may be.
    fn is_exhausted(&self, now: f64) -> bool {
        let replies = self.granted.len() + self.refusals.len() + self.unavailable.len();
        replies == self.replicas.len() || self.sends >= MAX_SENDS && now >= self.next_send
    }

    fn latest_refusal(&self) -> Option<Refusal> {
        let by_epoch = |refusal: &&Refusal| (refusal.epoch, refusal.completion.is_some());
        self.refusals.values().max_by_key(by_epoch).cloned()
    }

    fn longest_age_ms(&self) -> u32 {
        self.refusals
            .values()
            .map(|refusal| refusal.age_ms)
            .max()
            .unwrap_or(0)
    }

    fn restart(&mut self, now: f64, epoch: u32) {
        self.epoch = epoch;
        self.granted.clear();
        self.refusals.clear();
        self.sends = 0;
        self.next_send = now;
    }
}
