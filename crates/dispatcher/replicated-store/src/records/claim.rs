//! A claim of a name whose outcome is not known yet.

use std::collections::{BTreeMap, BTreeSet};

use super::record::{ClaimReply, Completion, Refusal};
use super::{WorkItemName, CLAIM_TIMEOUT_S};

/// Interval at which a claim is sent again to the replicas that have not replied, seconds.
const RETRY_INTERVAL_S: f64 = 0.06;
/// Number of sends after which a claim is decided by the replies that have arrived.
const MAX_SENDS: u32 = 5;
/// Highest epoch at which a name is claimed again after a claim under which nothing was sent.
const MAX_EPOCH: u32 = 3;
/// Epoch of a new claim.
const FIRST_EPOCH: u32 = 1;

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This member owns the name and may send the work item.
    Owned {
        /// Epoch of the claim.
        epoch: u32,
    },
    /// Another claim owned the name, and its work item has ended.
    Completed {
        /// The result of the work item.
        completion: Completion,
        /// Time since the other claim was granted, milliseconds.
        age_ms: u32,
    },
    /// Another claim may own the name, and its work item may be in flight.
    InFlight {
        /// Longest time since another claim was granted that a replica has reported, milliseconds.
        age_ms: u32,
    },
    /// Too few replicas replied.
    NoQuorum,
}

/// A claim whose outcome is not known yet.
pub(super) struct Claim {
    pub(super) name: WorkItemName,
    pub(super) epoch: u32,
    pub(super) replicas: Vec<u64>,
    /// Number of grants that are needed to own the name.
    quorum: usize,
    granted: BTreeSet<u64>,
    refusals: BTreeMap<u64, Refusal>,
    unavailable: BTreeSet<u64>,
    sends: u32,
    pub(super) next_send_s: f64,
    claimed_s: f64,
}

impl Claim {
    /// Creates a claim that is due to be sent immediately.
    pub(super) fn new(now_s: f64, name: WorkItemName, replicas: Vec<u64>, quorum: usize) -> Claim {
        Claim {
            name,
            epoch: FIRST_EPOCH,
            replicas,
            quorum,
            granted: BTreeSet::new(),
            refusals: BTreeMap::new(),
            unavailable: BTreeSet::new(),
            sends: 0,
            next_send_s: now_s,
            claimed_s: now_s,
        }
    }

    /// Returns the replicas to which the claim must be sent now, and counts the send.
    pub(super) fn receivers(&mut self, now_s: f64) -> Vec<u64> {
        if now_s < self.next_send_s || self.sends > MAX_SENDS {
            return Vec::new();
        }
        self.sends += 1;
        self.next_send_s = now_s + RETRY_INTERVAL_S;
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

    /// Processes a replica's reply. A grant remains valid regardless of the replica's later replies to duplicates.
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

    /// Returns the outcome when it is known. A name under which certainly nothing was sent is claimed again at a higher
    /// epoch, up to `MAX_EPOCH`.
    pub(super) fn decide(&mut self, now_s: f64) -> Option<ClaimOutcome> {
        // A process that was paused must not use grants that the replicas may have lost meanwhile.
        let is_late = now_s > self.claimed_s + CLAIM_TIMEOUT_S;
        if self.granted.len() >= self.quorum && !is_late {
            return Some(ClaimOutcome::Owned { epoch: self.epoch });
        }
        if self.can_succeed() && !is_late && !self.is_exhausted(now_s) {
            return None;
        }
        let Some(latest) = self.latest_refusal() else {
            return Some(ClaimOutcome::NoQuorum);
        };
        match latest.completion {
            Some(completion)
                if !completion.may_have_run && latest.epoch < MAX_EPOCH && !is_late =>
            {
                self.restart(now_s, latest.epoch + 1);
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

    /// Whether enough replicas have granted or may still grant the claim.
    fn can_succeed(&self) -> bool {
        self.replicas.len() - self.refusals.len() - self.unavailable.len() >= self.quorum
    }

    /// Whether all replicas have replied, or the last send has remained without enough replies for the retry interval.
    fn is_exhausted(&self, now_s: f64) -> bool {
        let replies = self.granted.len() + self.refusals.len() + self.unavailable.len();
        replies == self.replicas.len() || self.sends >= MAX_SENDS && now_s >= self.next_send_s
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

    fn restart(&mut self, now_s: f64, epoch: u32) {
        self.epoch = epoch;
        self.granted.clear();
        self.refusals.clear();
        self.sends = 0;
        self.next_send_s = now_s;
    }
}
