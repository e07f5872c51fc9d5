//! Operators' overrides that take a runner or dispatcher out of service, or put it back.
//!
//! Taking a target out of service must also work without a quorum. Such an override is therefore kept in the merged
//! state until it is committed, and every member that receives it by gossip applies it immediately.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use sagetrail_raft::{DiskRecord, Entry, EntryPayload};

use super::Node;
use crate::committed_state::{Command, OverrideTarget, Proposal};
use crate::error::StoreError;

/// Prefix of the keys of the merged state that hold pending overrides: `word/runner/NAME`, `word/dispatcher/NAME`.
const PENDING_PREFIX: &str = "word/";
const RUNNER: &str = "runner";
const DISPATCHER: &str = "dispatcher";

/// A target that is out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveOverride {
    /// The target.
    pub target: OverrideTarget,
    /// Whether the override is committed. Otherwise it is pending in the merged state, or is an entry of the log that
    /// may or may not be committed.
    pub is_committed: bool,
}

/// An override that is not committed yet, as stored in the merged state.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PendingOverride {
    /// Index of the last override of the target that the operator had seen.
    seen_index: u64,
    /// Identifier of the process that proposed the override.
    process: u64,
    /// Number of the proposal in that process.
    sequence: u64,
}

/// Returns the targets that entries in `records` take out of service.
pub(super) fn targets_out_of_service_in(records: &[DiskRecord]) -> BTreeSet<OverrideTarget> {
    records
        .iter()
        .filter_map(target_out_of_service_in)
        .collect()
}

fn target_out_of_service_in(record: &DiskRecord) -> Option<OverrideTarget> {
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

fn target_from_key(pending_key: &str) -> Option<OverrideTarget> {
    let rest = pending_key.strip_prefix(PENDING_PREFIX)?;
    match rest.split_once('/')? {
        (RUNNER, name) => Some(OverrideTarget::Runner(name.to_string())),
        (DISPATCHER, name) => Some(OverrideTarget::Dispatcher(name.to_string())),
        _ => None,
    }
}

impl Node {
    /// Proposes to take a target out of service or to put it back, and returns the number of the proposal. Taking out
    /// of service takes effect immediately, here and at every member that receives the override by gossip.
    ///
    /// # Errors
    ///
    /// [`StoreError::TooManyProposals`] if the queue of proposals is full. The override has no effect then.
    pub fn set_out_of_service(
        &mut self,
        now_s: f64,
        target: OverrideTarget,
        out_of_service: bool,
    ) -> Result<u64, StoreError> {
        let seen_index = self.committed.last_override_index(&target);
        let command = Command::Override {
            target: target.clone(),
            out_of_service,
            seen_index,
        };
        let sequence = self.propose(now_s, command)?;
        if out_of_service {
            self.publish_pending_override(now_s, &target, seen_index, sequence);
        }
        Ok(sequence)
    }

    fn publish_pending_override(
        &mut self,
        now_s: f64,
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
        self.merged.put(now_s, &pending_key(target), Some(value));
        self.changed = true;
    }

    /// Removes this member's pending overrides that are committed, and proposes the uncommitted ones of its earlier
    /// process again.
    pub(super) fn resolve_pending_overrides(&mut self, now_s: f64) {
        let own: Vec<(String, Vec<u8>)> = self
            .merged
            .with_prefix(PENDING_PREFIX)
            .filter(|(key, _)| key.owner == self.member)
            .map(|(key, value)| (key.name.clone(), value.to_vec()))
            .collect();
        for (name, value) in own {
            let pending = postcard::from_bytes::<PendingOverride>(&value).ok();
            if let Some((target, pending)) = target_from_key(&name).zip(pending) {
                self.resolve_pending_override(now_s, &name, target, pending);
            }
        }
    }

    fn resolve_pending_override(
        &mut self,
        now_s: f64,
        name: &str,
        target: OverrideTarget,
        pending: PendingOverride,
    ) {
        let PendingOverride {
            seen_index,
            process,
            sequence,
        } = pending;
        // Proposals of a process are committed in order, so a later committed proposal shows that this one is done.
        if self.committed.has_committed(self.member, process, sequence) {
            self.merged.put(now_s, name, None);
            self.changed = true;
        } else if process != self.process && !self.is_behind() {
            let command = Command::Override {
                target: target.clone(),
                out_of_service: true,
                seen_index,
            };
            if let Ok(sequence) = self.propose(now_s, command) {
                self.publish_pending_override(now_s, &target, seen_index, sequence);
            }
        }
    }

    /// Returns all targets that are out of service by committed, pending or possibly committed overrides.
    pub fn active_overrides(&self) -> Vec<ActiveOverride> {
        let mut is_committed = BTreeMap::new();
        for target in &self.possibly_out_of_service {
            is_committed.insert(target.clone(), false);
        }
        for (key, _) in self.merged.with_prefix(PENDING_PREFIX) {
            if let Some(target) = target_from_key(&key.name) {
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
