//! Records of work items, in the forms that a replica stores and that members exchange.

use serde::{Deserialize, Serialize};

use super::WorkItemName;

/// Largest size of a response body that is kept for a retry, bytes.
pub const MAX_BODY_BYTES: usize = 1024;
/// HTTP status in the completion of a work item that was never sent.
pub(super) const NEVER_SENT_STATUS: u16 = 503;

/// A process of a member. A restarted member is another owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Identifier of the member.
    pub member: u64,
    /// Random number that identifies the member's process, drawn at its start.
    pub process: u64,
}

/// The identity of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// The process that made the claim.
    pub owner: Owner,
    /// Number of the claim in that process.
    pub number: u64,
}

/// The result of a recorded work item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// HTTP status of the response.
    pub status: u16,
    /// Whether the work item may have run.
    pub may_have_run: bool,
    /// Body of the response, if it is at most [`MAX_BODY_BYTES`] long.
    pub body: Option<Vec<u8>>,
}

impl Completion {
    /// Creates the completion of a work item that was certainly never sent.
    pub(super) fn never_sent() -> Completion {
        Completion {
            status: NEVER_SENT_STATUS,
            may_have_run: false,
            body: None,
        }
    }
}

/// The refusal of a claim because the replica has granted the name to another claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Epoch of the claim that holds the name.
    pub epoch: u32,
    /// The result of that claim's work item; `None` if the replica knows no end of it.
    pub completion: Option<Completion>,
    /// Time since the claim that holds the name was granted, milliseconds.
    pub age_ms: u32,
}

/// A replica's reply to a claim. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The replica grants the name to this claim.
    Granted,
    /// The replica has granted the name to another claim.
    Refused(Refusal),
    /// The replica does not know yet which claims its earlier process granted, or holds too many records.
    Unavailable,
}

/// A copy of a record that is sent to a member that has just started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// Name of the work item.
    pub name: WorkItemName,
    /// The claim that the name is granted to.
    pub claim: ClaimId,
    /// Epoch of the claim that holds the name.
    pub epoch: u32,
    /// Time since the claim that holds the name was granted, milliseconds.
    pub age_ms: u32,
    /// The result of that claim's work item; `None` if the sender knows no end of it.
    pub completion: Option<Completion>,
    /// Other claims that may own the name, and whose work items have no known end.
    pub other_claims: Vec<ClaimId>,
}

/// A record that a replica keeps.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) claim: ClaimId,
    pub(super) epoch: u32,
    /// When the claim was granted, seconds on the replica's clock.
    pub(super) granted_s: f64,
    /// When the record expires, seconds on the replica's clock.
    pub(super) expires_s: f64,
    pub(super) completion: Option<Completion>,
    /// Other claims, known from other replicas, whose work items have no known end. Any of them may own the name.
    pub(super) other_claims: Vec<ClaimId>,
}

impl Record {
    /// Creates the record of a claim that is granted now.
    pub(super) fn granted(claim: ClaimId, epoch: u32, now_s: f64, expires_s: f64) -> Record {
        Record {
            claim,
            epoch,
            granted_s: now_s,
            expires_s,
            completion: None,
            other_claims: Vec::new(),
        }
    }

    /// Creates a record from another replica's copy. It expires `retention_s` seconds after the grant.
    pub(super) fn from_copy(copy: RecordCopy, now_s: f64, retention_s: f64) -> Record {
        let granted_s = now_s - f64::from(copy.age_ms) / 1e3;
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
            granted_s,
            expires_s: granted_s + retention_s,
            completion,
            other_claims,
        }
    }

    /// Returns a copy of the record to send to another member.
    pub(super) fn to_copy(&self, name: WorkItemName, now_s: f64) -> RecordCopy {
        RecordCopy {
            name,
            claim: self.claim,
            epoch: self.epoch,
            age_ms: self.age_ms(now_s),
            completion: self.completion.clone(),
            other_claims: self.other_claims.clone(),
        }
    }

    fn age_ms(&self, now_s: f64) -> u32 {
        ((now_s - self.granted_s).max(0.0) * 1e3) as u32
    }

    /// Returns the reply to a claim of this name. `None` if the claim replaces the record. It does so only at a higher
    /// epoch, if no other claim may own the name, and if the recorded claim is the same one or has ended without its
    /// work item having been sent.
    pub(super) fn reply_to(&self, claim: ClaimId, epoch: u32, now_s: f64) -> Option<ClaimReply> {
        let is_same_claim = self.claim == claim;
        let is_replaceable = epoch > self.epoch && self.other_claims.is_empty();
        match &self.completion {
            None if is_same_claim && epoch == self.epoch => Some(ClaimReply::Granted),
            // The same claim is repeated at a higher epoch.
            None if is_same_claim && is_replaceable => None,
            Some(completion) if !completion.may_have_run && is_replaceable => None,
            _ => Some(ClaimReply::Refused(self.refusal(now_s))),
        }
    }

    fn refusal(&self, now_s: f64) -> Refusal {
        let completion = self
            .completion
            .clone()
            .filter(|completion| completion.may_have_run || self.other_claims.is_empty());
        Refusal {
            epoch: self.epoch,
            completion,
            age_ms: self.age_ms(now_s),
        }
    }

    /// Records the completion of a claim's work item. The completion of a claim that is not in this record is ignored.
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

    /// Merges another replica's record of the same name. A claim whose work item has ended and may have run wins.
    /// Otherwise every claim whose work item may still run blocks the name until its end is known, regardless of its
    /// epoch.
    pub(super) fn merge(self, other: Record) -> Record {
        let epoch = self.epoch.max(other.epoch);
        let granted_s = self.granted_s.min(other.granted_s);
        let expires_s = self.expires_s.max(other.expires_s);
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
            granted_s,
            expires_s,
            ..merged
        }
    }

    /// Adds those claims of another record whose work items may still run.
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
