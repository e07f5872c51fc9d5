//! Operators' overrides that take a runner or dispatcher out of service, or put it back.
//!
//! Taking out of service must also work without a quorum. So such an override is put into the merged state until it is
//! committed: every member that receives it by gossip obeys it at once.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use sagetrail_raft::{DiskRecord, Entry, EntryPayload};

use super::Node;
use crate::committed_state::{Command, OverrideTarget, Proposal};
use crate::error::StoreError;

/// Keys of the merged state under which overrides wait to be committed: `word/runner/NAME`, `word/dispatcher/NAME`.
const PENDING_PREFIX: &str = "word/";
const RUNNER: &str = "runner";
const DISPATCHER: &str = "dispatcher";

/// A target that is out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveOverride {
    /// The target.
    pub target: OverrideTarget,
    /// Whether the override is committed; otherwise it is pending, or may be committed in the log's uncommitted end.
    pub is_committed: bool,
}

/// An override that waits to be committed, as the merged state holds it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PendingOverride {
    /// Index of the last override of the target that the operator had seen.
    seen_index: u64,
    /// The process that proposed it.
    process: u64,
    /// The proposal's number in that process.
    sequence: u64,
}

/// The targets that entries of the log take out of service.
pub(super) fn targets_out_in(records: &[DiskRecord]) -> BTreeSet<OverrideTarget> {
    records.iter().filter_map(target_out_in).collect()
}

fn target_out_in(record: &DiskRecord) -> Option<OverrideTarget> {
    let DiskRecord::Entry(Entry {
        payload: EntryPayload::Command(command),
        ..
    }) = record
    else {
        return None;
    };
    match postcard::from_bytes::<Proposal>(command).ok()?.command {
        Command::Override {
            target,
            out_of_service: true,
            ..
        } => Some(target),
        _ => None,
    }
}

fn pending_key(target: &OverrideTarget) -> String {
    match target {
        OverrideTarget::Runner(name) => format!("{PENDING_PREFIX}{RUNNER}/{name}"),
        OverrideTarget::Dispatcher(name) => format!("{PENDING_PREFIX}{DISPATCHER}/{name}"),
    }
}

fn target_of(pending_key: &str) -> Option<OverrideTarget> {
    let rest = pending_key.strip_prefix(PENDING_PREFIX)?;
    match rest.split_once('/')? {
        (RUNNER, name) => Some(OverrideTarget::Runner(name.to_string())),
        (DISPATCHER, name) => Some(OverrideTarget::Dispatcher(name.to_string())),
        _ => None,
    }
}

impl Node {
    /// Proposes to take a target out of service or to put it back, and returns the proposal's number. Out of service
    /// holds at once, here and at every member that learns of it.
    ///
    /// # Errors
    ///
    /// [`StoreError::TooManyProposals`]; nothing holds then.
    pub fn set_out_of_service(
        &mut self,
        now: f64,
        target: OverrideTarget,
        out_of_service: bool,
    ) -> Result<u64, StoreError> {
        let seen_index = self.committed.last_override_index(&target);
        let command = Command::Override {
            target: target.clone(),
            out_of_service,
            seen_index,
        };
        let sequence = self.propose(now, command)?;
        if out_of_service {
            self.publish_pending(now, &target, seen_index, sequence);
        }
        Ok(sequence)
    }

    fn publish_pending(
        &mut self,
        now: f64,
        target: &OverrideTarget,
        seen_index: u64,
        sequence: u64,
    ) {
        let pending = PendingOverride {
            seen_index,
            process: self.process,
            sequence,
        };
        let value = postcard::to_allocvec(&pending).unwrap_or_default();
        self.merged.put(now, &pending_key(target), Some(value));
        self.changed = true;
    }

    /// Removes this member's pending overrides that are committed; proposes those of its earlier process again.
    pub(super) fn settle_pending_overrides(&mut self, now: f64) {
        let own: Vec<(String, Vec<u8>)> = self
            .merged
            .with_prefix(PENDING_PREFIX)
            .filter(|(key, _)| key.owner == self.member)
            .map(|(key, value)| (key.name.clone(), value.to_vec()))
            .collect();
        for (name, value) in own {
            let pending = postcard::from_bytes::<PendingOverride>(&value).ok();
            if let Some((target, pending)) = target_of(&name).zip(pending) {
                self.settle_pending(now, &name, target, pending);
            }
        }
    }

    fn settle_pending(
        &mut self,
        now: f64,
        name: &str,
        target: OverrideTarget,
        pending: PendingOverride,
    ) {
        let PendingOverride {
            seen_index,
            process,
            sequence,
        } = pending;
        // A process commits its proposals in order, so a later one shows that this one is done.
        if self.committed.has_committed(self.member, process, sequence) {
            self.merged.put(now, name, None);
            self.changed = true;
        } else if process != self.process && !self.is_behind() {
            let command = Command::Override {
                target: target.clone(),
                out_of_service: true,
                seen_index,
            };
            if let Ok(sequence) = self.propose(now, command) {
                self.publish_pending(now, &target, seen_index, sequence);
            }
        }
    }

    /// All targets that are out of service, committed or not.
    pub fn active_overrides(&self) -> Vec<ActiveOverride> {
        let mut is_committed = BTreeMap::new();
        for target in &self.possibly_out {
            is_committed.insert(target.clone(), false);
        }
        for (key, _) in self.merged.with_prefix(PENDING_PREFIX) {
            if let Some(target) = target_of(&key.name) {
                is_committed.insert(target, false);
            }
        }
        for target in self.committed.overrides.keys() {
            if self.committed.is_out_of_service(target) {
                is_committed.insert(target.clone(), true);
            }
        }
        is_committed
            .into_iter()
            .map(|(target, is_committed)| ActiveOverride {
                target,
                is_committed,
            })
            .collect()
    }
}
