//! A record of a work item, as a replica keeps it and as it is sent.

use serde::{Deserialize, Serialize};

use super::WorkItemName;

/// Longest answer that is kept for a retry, bytes.
pub const MAX_BODY_BYTES: usize = 1024;
/// HTTP status in the completion of a work item that was never sent.
pub(super) const NEVER_SENT_STATUS: u16 = 503;

/// A process of a member. A member that was restarted is another owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The member.
    pub member: u64,
    /// Random number of its process, drawn at the start.
    pub process: u64,
}

/// The identity of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// The process that made it.
    pub owner: Owner,
    /// Its number in that process.
    pub number: u64,
}

/// How a recorded work item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The HTTP status of the answer.
    pub status: u16,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// The body of the answer, if it is at most [`MAX_BODY_BYTES`] long.
    pub body: Option<Vec<u8>>,
}

impl Completion {
    /// The completion of a work item that was certainly never sent.
    pub(super) fn never_sent() -> Completion {
        Completion {
            status: NEVER_SENT_STATUS,
            may_have_run: false,
            body: None,
        }
    }
}

/// Why a claim is refused: the replica has granted the name to another claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The epoch of that claim.
    pub epoch: u32,
    /// How that claim's work item ended, if it has.
    pub completion: Option<Completion>,
    /// Time since that claim was granted, milliseconds.
    pub age_ms: u32,
}

/// A replica's reply to a claim. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The replica grants the name to this claim.
    Granted,
    /// The replica has granted the name to another claim.
    Refused(Refusal),
    /// The replica does not know yet what its former process granted, or holds too many records.
    Unavailable,
}

/// A record as it is sent to a member that has just started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// The name.
    pub name: WorkItemName,
    /// The claim that the name is granted to.
    pub claim: ClaimId,
    /// The epoch of that claim.
    pub epoch: u32,
    /// Time since that claim was granted, milliseconds.
    pub age_ms: u32,
    /// How its work item ended, if it has.
    pub completion: Option<Completion>,
    /// Other claims without an end that may own the name.
    pub other_claims: Vec<ClaimId>,
}

/// A record, as a replica keeps it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) claim: ClaimId,
    pub(super) epoch: u32,
    /// When the claim was granted, seconds on the replica's clock.
    pub(super) since: f64,
    /// Until when the record is kept, seconds.
    pub(super) until: f64,
    pub(super) completion: Option<Completion>,
    /// Other claims without an end, from other replicas: any of them may own the name.
    pub(super) other_claims: Vec<ClaimId>,
}

impl Record {
    /// A record of a claim that is granted now.
    pub(super) fn granted(claim: ClaimId, epoch: u32, now: f64, until: f64) -> Record {
        Record {
            claim,
            epoch,
            since: now,
            until,
            completion: None,
            other_claims: Vec::new(),
        }
    }

    /// A record that another replica sent, kept for `retention_s` from the grant on.
    pub(super) fn from_copy(copy: RecordCopy, now: f64, retention_s: f64) -> Record {
        let since = now - f64::from(copy.age_ms) / 1e3;
        let RecordCopy {
            claim,
            epoch,
            completion,
            other_claims,
            ..
        } = copy;
        Record {
            claim,
            epoch,
            since,
            until: since + retention_s,
            completion,
            other_claims,
        }
    }

    /// The record as it is sent.
    pub(super) fn to_copy(&self, name: WorkItemName, now: f64) -> RecordCopy {
        RecordCopy {
            name,
            claim: self.claim,
            epoch: self.epoch,
            age_ms: self.age_ms(now),
            completion: self.completion.clone(),
            other_claims: self.other_claims.clone(),
        }
    }

    fn age_ms(&self, now: f64) -> u32 {
        ((now - self.since).max(0.0) * 1e3) as u32
    }

    /// The reply to a claim of this name. `None` if the claim replaces the record: the name was granted at a lower
    /// epoch, and nothing was sent under it.
    pub(super) fn reply_to(&self, claim: ClaimId, epoch: u32, now: f64) -> Option<ClaimReply> {
        let same = self.claim == claim;
        let replaceable = epoch > self.epoch && self.other_claims.is_empty();
        match &self.completion {
            None if same && epoch == self.epoch => Some(ClaimReply::Granted),
            // The claim continues at a higher epoch.
            None if same && replaceable => None,
            Some(completion) if !completion.may_have_run && replaceable => None,
            _ => Some(ClaimReply::Refused(self.refusal(now))),
        }
    }

    fn refusal(&self, now: f64) -> Refusal {
        let completion = self
            .completion
            .clone()
            .filter(|completion| completion.may_have_run || self.other_claims.is_empty());
        Refusal {
            epoch: self.epoch,
            completion,
            age_ms: self.age_ms(now),
        }
    }

    /// Records the end of a claim's work item. The end of a claim that is not in this record is ignored.
    pub(super) fn complete(&mut self, claim: ClaimId, completion: Completion) {
        if self.other_claims.contains(&claim) {
            self.other_claims.retain(|other| *other != claim);
            if completion.may_have_run && !self.may_have_run() {
                self.claim = claim;
                self.completion = Some(completion);
            }
        } else if self.claim == claim && self.is_open() {
            self.completion = Some(completion);
        }
    }

    fn may_have_run(&self) -> bool {
        self.completion
            .as_ref()
            .is_some_and(|completion| completion.may_have_run)
    }

    fn is_open(&self) -> bool {
        self.completion.is_none()
    }

    /// Merges another replica's record of the same name: a claim whose work item may have run wins, and every claim
    /// that may still run blocks the name until its end is known, whatever its epoch.
    pub(super) fn merge(self, other: Record) -> Record {
        let epoch = self.epoch.max(other.epoch);
        let since = self.since.min(other.since);
        let until = self.until.max(other.until);
        let merged = if self.may_have_run() {
            self
        } else if other.may_have_run() {
            other
        } else if other.is_open() && (!self.is_open() || other.epoch > self.epoch) {
            other.with_claims_of(self)
        } else {
            self.with_claims_of(other)
        };
        Record {
            epoch,
            since,
            until,
            ..merged
        }
    }

    /// Adds the claims of another record whose work items may still run.
    fn with_claims_of(mut self, other: Record) -> Record {
        let open = other.is_open().then_some(other.claim);
        let main = self.claim;
        let further = other
            .other_claims
            .into_iter()
            .chain(open)
            .filter(|claim| *claim != main);
        self.other_claims.extend(further);
        self.other_claims.sort_unstable();
        self.other_claims.dedup();
        self
    }
}
