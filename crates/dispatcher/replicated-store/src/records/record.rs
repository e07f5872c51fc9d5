//! One record, as a replica keeps it, and what is said about it.

use super::Name;
use serde::{Deserialize, Serialize};

/// Of what a client was given, so much is kept for its retry, bytes.
pub const BODY_MOST: usize = 1024;
/// Status of a work item that was never sent.
pub(super) const NEVER_SENT_STATUS: u16 = 503;

/// A process of a member: one that was restarted is another owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The member.
    pub who: u64,
    /// Drawn when its process started.
    pub birth: u64,
}

/// A claim, by its owner and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Who made it.
    pub owner: Owner,
    /// Its number there.
    pub no: u64,
}

/// How a recorded work item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The status its client was given.
    pub status: u16,
    /// It may have run.
    pub ran: bool,
    /// What its client was given, where that is short enough to keep.
    pub body: Option<Vec<u8>>,
}

impl Ended {
    /// The end of a work item that was provably never sent.
    pub(super) fn never_sent() -> Ended {
        Ended {
            status: NEVER_SENT_STATUS,
            ran: false,
            body: None,
        }
    }
}

/// Why a claim is refused: another has the name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The step of the claim that has it.
    pub epoch: u32,
    /// How that one ended, if it has.
    pub ended: Option<Ended>,
    /// How long it has had it, milliseconds.
    pub age_ms: u32,
}

/// A replica's answer to a claim. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The name is this claim's here.
    Granted,
    /// Another has the name.
    Refused(Refusal),
    /// The replica has just started, and does not know what it has forgotten; or it has no room.
    Unavailable,
}

/// A record as it is sent to a member that has just started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// The name.
    pub name: Name,
    /// The claim that has it.
    pub claim: ClaimId,
    /// That claim's step.
    pub epoch: u32,
    /// How long it has had it, milliseconds.
    pub age_ms: u32,
    /// How it ended, if it has.
    pub ended: Option<Ended>,
    /// Further claims, not ended, that may be the owning one.
    pub also: Vec<ClaimId>,
}

/// A record, as a replica keeps it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) claim: ClaimId,
    pub(super) epoch: u32,
    pub(super) since: f64,
    pub(super) until: f64,
    pub(super) ended: Option<Ended>,
    /// Further claims that others told of, not ended: any of them may be the one that was owned.
    pub(super) also: Vec<ClaimId>,
}

impl Record {
    /// A record of a claim that is granted now.
    pub(super) fn granted(claim: ClaimId, epoch: u32, now: f64, until: f64) -> Record {
        Record {
            claim,
            epoch,
            since: now,
            until,
            ended: None,
            also: Vec::new(),
        }
    }

    /// A record that another sent, kept for `retention_s` from its beginning.
    pub(super) fn from_copy(copy: RecordCopy, now: f64, retention_s: f64) -> Record {
        let since = now - f64::from(copy.age_ms) / 1e3;
        let RecordCopy {
            claim,
            epoch,
            ended,
            also,
            ..
        } = copy;
        Record {
            claim,
            epoch,
            since,
            until: since + retention_s,
            ended,
            also,
        }
    }

    pub(super) fn to_copy(&self, name: Name, now: f64) -> RecordCopy {
        RecordCopy {
            name,
            claim: self.claim,
            epoch: self.epoch,
            age_ms: self.age_ms(now),
            ended: self.ended.clone(),
            also: self.also.clone(),
        }
    }

    fn age_ms(&self, now: f64) -> u32 {
        ((now - self.since).max(0.0) * 1e3) as u32
    }

    /// The answer to a claim of this name. `None`: it takes the record's place.
    pub(super) fn reply_to(&self, claim: ClaimId, epoch: u32, now: f64) -> Option<ClaimReply> {
        let same = self.claim == claim;
        let replaceable = epoch > self.epoch && self.also.is_empty();
        match &self.ended {
            None if same && epoch == self.epoch => Some(ClaimReply::Granted),
            // It goes on a step higher itself.
            None if same && replaceable => None,
            Some(ended) if !ended.ran && replaceable => None,
            _ => Some(ClaimReply::Refused(self.refusal(now))),
        }
    }

    fn refusal(&self, now: f64) -> Refusal {
        let ended = self
            .ended
            .clone()
            .filter(|ended| ended.ran || self.also.is_empty());
        Refusal {
            epoch: self.epoch,
            ended,
            age_ms: self.age_ms(now),
        }
    }

    /// Notes the end of a claim. Another's, or an earlier one's, is passed over.
    pub(super) fn end(&mut self, claim: ClaimId, ended: Ended) {
        if self.also.contains(&claim) {
            self.also.retain(|other| *other != claim);
            if ended.ran && !self.ran() {
                self.claim = claim;
                self.ended = Some(ended);
            }
        } else if self.claim == claim && self.is_open() {
            self.ended = Some(ended);
        }
    }

    fn ran(&self) -> bool {
        self.ended.as_ref().is_some_and(|ended| ended.ran)
    }

    fn is_open(&self) -> bool {
        self.ended.is_none()
    }

    /// Merges what another holds of the same name: what ran stays, and whatever may yet run blocks until its own end
    /// is known, of whatever step it is.
    pub(super) fn merge(self, other: Record) -> Record {
        let epoch = self.epoch.max(other.epoch);
        let since = self.since.min(other.since);
        let until = self.until.max(other.until);
        let merged = if self.ran() {
            self
        } else if other.ran() {
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

    /// Adds the claims of another record that may yet run.
    fn with_claims_of(mut self, other: Record) -> Record {
        let open = other.is_open().then_some(other.claim);
        let main = self.claim;
        let further = other
            .also
            .into_iter()
            .chain(open)
            .filter(|claim| *claim != main);
        self.also.extend(further);
        self.also.sort_unstable();
        self.also.dedup();
        self
    }
}
