//! What a round of the register makes of the value it read.

use crate::accepted_changes::AcceptedChanges;
use crate::value::{RegisterValue, StoredConfig};
use sagetrail_cluster_config::{ConfigDocument, ConfigError};
use sagetrail_protocol::control::AcceptedChange;
pub(crate) use sagetrail_protocol::control::ChangeKind;
use sagetrail_protocol::{Blob, List, NodeId};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// A change of the configuration as the operator sent it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Change {
    pub kind: ChangeKind,
    pub base: u64,
    pub body: Vec<u8>,
    /// SHA-256 of kind and content.
    pub digest: [u8; 32],
}

impl Change {
    /// A change with its digest.
    pub(crate) fn new(kind: ChangeKind, base: u64, body: Vec<u8>) -> Change {
        let digest = digest(kind, &body);
        Change {
            kind,
            base,
            body,
            digest,
        }
    }

    /// The value with the change put on top of it.
    pub(crate) fn applied_to(&self, value: &RegisterValue) -> Result<RegisterValue, ConfigError> {
        let current = match value.config.version {
            0 => None,
            _ => ConfigDocument::parse(&value.config.document).ok(),
        };
        let document = self.document(current.as_ref())?;
        let mut next = value.clone();
        next.config = StoredConfig {
            version: document.version,
            document: Blob(document.to_bytes()),
        };
        next.remember(AcceptedChange {
            base: self.base,
            version: document.version,
            digest: self.digest,
        });
        Ok(next)
    }

    fn document(&self, current: Option<&ConfigDocument>) -> Result<ConfigDocument, ConfigError> {
        match self.kind {
            ChangeKind::Replace => ConfigDocument::replace(current, &self.body),
            ChangeKind::Patch => ConfigDocument::patch(current, &self.body),
        }
    }
}

/// What a round is for.
#[derive(Clone, PartialEq, Debug)]
pub(crate) enum Job {
    /// An order of the operator, by its number at this process.
    Order { number: u64, change: Arc<Change> },
    /// Finishes whatever is found.
    Refresh,
    /// A step of a change of members on top of the list of version `base`.
    Members { base: u64, step: MemberStep },
}

/// A step of a change of members. Between the two steps a majority of both lists is needed for everything.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum MemberStep {
    /// Names the list that is to follow.
    Begin(Vec<NodeId>),
    /// The list that was to follow takes the place of the former one.
    Complete,
}

/// What became of a job.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Verdict {
    /// The change is in the value.
    Taken,
    /// It was there before.
    Repeated,
    /// Another version is current, and this change did not lead to it.
    Stale,
    /// The change is not in the value; whether it was taken long ago is not known here.
    Unknown,
    /// The change does not keep the rules.
    Invalid(ConfigError),
    /// Nothing was to be changed.
    Unchanged,
}

/// A job's answer to a value.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// The value to be put; `None` leaves it as it is.
    pub value: Option<RegisterValue>,
    pub verdict: Verdict,
}

impl Step {
    fn keep(verdict: Verdict) -> Step {
        Step {
            value: None,
            verdict,
        }
    }
}

impl Job {
    /// What the job makes of `value`. `changes`: earlier changes than the value itself names.
    pub(crate) fn apply(&self, value: &RegisterValue, changes: &AcceptedChanges) -> Step {
        match self {
            Job::Order { change, .. } => apply_order(change, value, changes),
            Job::Refresh => Step::keep(Verdict::Unchanged),
            Job::Members { base, step } => apply_members(*base, step, value),
        }
    }
}

fn apply_order(change: &Change, value: &RegisterValue, changes: &AcceptedChanges) -> Step {
    if value.config.version != change.base {
        return Step::keep(elsewhere(change, value, changes));
    }
    match change.applied_to(value) {
        Ok(next) => Step {
            value: Some(next),
            verdict: Verdict::Taken,
        },
        Err(error) => Step::keep(Verdict::Invalid(error)),
    }
}

/// What became of a change whose base is not the current version.
fn elsewhere(change: &Change, value: &RegisterValue, changes: &AcceptedChanges) -> Verdict {
    match value
        .change_over(change.base)
        .or_else(|| changes.change_over(change.base))
    {
        Some(taken) if taken.base == change.base && taken.digest == change.digest => {
            Verdict::Repeated
        }
        Some(_) => Verdict::Stale,
        None if change.base > value.config.version => Verdict::Stale,
        None => Verdict::Unknown,
    }
}

fn apply_members(base: u64, step: &MemberStep, value: &RegisterValue) -> Step {
    if value.members_version != base {
        return Step::keep(Verdict::Stale);
    }
    let mut next = value.clone();
    next.members_version += 1;
    match step {
        MemberStep::Begin(members) if value.next_members.is_empty() => {
            next.next_members = List(members.clone())
        }
        MemberStep::Complete if !value.next_members.is_empty() => {
            next.members = std::mem::take(&mut next.next_members);
        }
        MemberStep::Begin(_) | MemberStep::Complete => return Step::keep(Verdict::Stale),
    }
    Step {
        value: Some(next),
        verdict: Verdict::Taken,
    }
}

fn digest(kind: ChangeKind, body: &[u8]) -> [u8; 32] {
    let kind_byte = match kind {
        ChangeKind::Replace => 1,
        ChangeKind::Patch => 2,
    };
    Sha256::new()
        .chain_update([kind_byte])
        .chain_update(body)
        .finalize()
        .into()
}
