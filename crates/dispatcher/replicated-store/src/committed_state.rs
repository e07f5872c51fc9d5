//! The state machine of the replicated log: versions of the settings, operators' overrides, voters, and the members
//! that may not lend budget. Members that have applied the same entries hold the same bytes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::error::StoreError;

/// Largest size of the text of the settings, bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 << 10;
/// Number of versions of the settings that are kept for a rollback.
const MAX_VERSIONS: usize = 8;
/// Largest number of targets with overrides. Overrides of further targets are rejected.
const MAX_OVERRIDES: usize = 4096;
/// Largest number of voters. More voters would add latency, and would only tolerate more simultaneous losses than
/// matter in practice.
const MAX_VOTERS: usize = 5;

/// The target of an operator's override.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OverrideTarget {
    /// A runner, by its name.
    Runner(String),
    /// A dispatcher, by its name.
    Dispatcher(String),
}

/// An operator's command that takes a target out of service or puts it back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OperatorOverride {
    /// Whether the target is taken out of service; otherwise it is put back.
    pub out_of_service: bool,
    /// Index of the log entry that contains the command.
    pub index: u64,
    /// Identifier of the dispatcher that received the operator's command.
    pub member: u64,
}

/// A version of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsVersion {
    /// Number of the version. Versions are numbered from 1 without gaps.
    pub number: u64,
    /// The complete text of the settings.
    pub text: String,
    /// Identifier of the member that proposed the version.
    pub member: u64,
}

/// A command of the replicated log. The order of the variants is part of the disk and wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// New settings for all members; rejected unless `base_version` is still the version in force (compare and set).
    Settings {
        /// The complete text of the settings, which the proposer has validated.
        text: String,
        /// Number of the version that the change is based on.
        base_version: u64,
    },
    /// An operator takes a target out of service or puts it back.
    Override {
        /// The target of the override.
        target: OverrideTarget,
        /// Whether the target is taken out of service; otherwise it is put back.
        out_of_service: bool,
        /// Index of the last override of the target that the operator had seen.
        seen_index: u64,
    },
    /// Identifiers of the members that should vote.
    Voters(Vec<u64>),
    /// Allows or forbids a member to lend parts of budgets and to spend its own share.
    Lending {
        /// Identifier of the member.
        member: u64,
        /// Whether the member may lend and spend.
        enabled: bool,
    },
}

/// A command with the identity of its proposer. It takes effect once, regardless of how often it is appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Identifier of the member that proposes the command.
    pub member: u64,
    /// Identifier of the member's process: a random number drawn when the process starts.
    pub process: u64,
    /// Number of the proposal in its process, in ascending order.
    pub sequence: u64,
    /// The command.
    pub command: Command,
}

/// The last committed proposal of a member, and its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastProposal {
    process: u64,
    sequence: u64,
    is_accepted: bool,
}

/// The state after all committed commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedState {
    /// The latest versions of the settings, in ascending order. The last one is in force.
    pub versions: Vec<SettingsVersion>,
    /// Overrides by target. A target has several overrides if operators had not seen each other's commands.
    pub overrides: BTreeMap<OverrideTarget, Vec<OperatorOverride>>,
    /// Identifiers of the members that should vote; empty before a list of voters is committed.
    pub voters: Vec<u64>,
    /// Identifiers of the members that may not lend.
    pub lending_disabled: BTreeSet<u64>,
    /// The last committed proposal by member. It makes proposals idempotent (Ongaro's thesis, 6.3: client sessions).
    last_proposals: BTreeMap<u64, LastProposal>,
}

impl CommittedState {
    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidState`] if the bytes cannot be decoded.
    pub fn decode(state: &[u8]) -> Result<CommittedState, StoreError> {
        postcard::from_bytes(state).map_err(|_| StoreError::InvalidState)
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing to a vector fails only for sequences of unknown length, and the state contains none.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Number of the version in force; 0 before a version is committed.
    pub fn version(&self) -> u64 {
        self.versions.last().map_or(0, |version| version.number)
    }

    /// Text of the version in force; empty before a version is committed.
    pub fn settings(&self) -> &str {
        self.versions.last().map_or("", |version| &version.text)
    }

    /// Whether a proposal was accepted (`true`) or rejected (`false`). `None` if it is not committed, or if a later
    /// proposal of the member is committed.
    pub fn outcome(&self, member: u64, process: u64, sequence: u64) -> Option<bool> {
        self.last_proposals
            .get(&member)
            .filter(|last| (last.process, last.sequence) == (process, sequence))
            .map(|last| last.is_accepted)
    }

    /// Whether this proposal of a member's process, or a later proposal of the same process, is committed.
    pub fn has_committed(&self, member: u64, process: u64, sequence: u64) -> bool {
        self.last_proposals
            .get(&member)
            .is_some_and(|last| last.process == process && last.sequence >= sequence)
    }

    /// Applies the committed entry at `index`. Returns whether the command was accepted. A command that is not valid at
    /// this index, or that was applied before, does not change the state that it concerns.
    pub fn apply(&mut self, index: u64, proposal: Proposal) -> bool {
        let Proposal {
            member,
            process,
            sequence,
            command,
        } = proposal;
        // A process submits one proposal at a time, so a proposal whose number is not higher is a duplicate.
        if self.has_committed(member, process, sequence) {
            return false;
        }
        let is_accepted = self.apply_command(index, member, command);
        let last = LastProposal {
            process,
            sequence,
            is_accepted,
        };
        self.last_proposals.insert(member, last);
        is_accepted
    }

    fn apply_command(&mut self, index: u64, proposer: u64, command: Command) -> bool {
        match command {
            Command::Settings { text, base_version } => {
                self.apply_settings(text, base_version, proposer)
            }
            Command::Override {
                target,
                out_of_service,
                seen_index,
            } => {
                let new = OperatorOverride {
                    out_of_service,
                    index,
                    member: proposer,
                };
                self.apply_override(target, new, seen_index)
            }
            Command::Voters(voters) => self.apply_voters(voters),
            Command::Lending { member, enabled } => {
                match enabled {
                    true => self.lending_disabled.remove(&member),
                    false => self.lending_disabled.insert(member),
                };
                true
            }
        }
    }

    /// Applies settings. Settings that are not based on the version in force are rejected, because two operators may
    /// have edited the same version.
    fn apply_settings(&mut self, text: String, base_version: u64, proposer: u64) -> bool {
        if base_version != self.version() || text.len() > MAX_SETTINGS_BYTES {
            return false;
        }
        self.versions.push(SettingsVersion {
            number: base_version + 1,
            text,
            member: proposer,
        });
        let excess = self.versions.len().saturating_sub(MAX_VERSIONS);
        self.versions.drain(..excess);
        true
    }

    /// Applies an override. It replaces the overrides that its operator had seen, those that set the same state, and
    /// those from the same dispatcher, where commands have an order. All other overrides are kept beside it: commands
    /// from two sides of a network partition both remain in effect until an operator who has seen both decides.
    fn apply_override(
        &mut self,
        target: OverrideTarget,
        new: OperatorOverride,
        seen_index: u64,
    ) -> bool {
        if !self.overrides.contains_key(&target) && self.overrides.len() >= MAX_OVERRIDES {
            return false;
        }
        let overrides = self.overrides.entry(target.clone()).or_default();
        overrides.retain(|old| {
            old.index > seen_index
                && old.out_of_service != new.out_of_service
                && old.member != new.member
        });
        overrides.push(new);
        if overrides.iter().all(|each| !each.out_of_service) {
            // In service is the default state, so no override needs to be stored.
            self.overrides.remove(&target);
        }
        true
    }

    fn apply_voters(&mut self, voters: Vec<u64>) -> bool {
        let is_valid = (1..=MAX_VOTERS).contains(&voters.len());
        if is_valid {
            self.voters = voters;
        }
        is_valid
    }

    /// Whether a target is out of service, which is the case if any of its overrides takes it out of service.
    pub fn is_out_of_service(&self, target: &OverrideTarget) -> bool {
        self.overrides
            .get(target)
            .is_some_and(|overrides| overrides.iter().any(|each| each.out_of_service))
    }

    /// Index of the last override of a target; 0 if there is none.
    pub fn last_override_index(&self, target: &OverrideTarget) -> u64 {
        let overrides = self.overrides.get(target).into_iter().flatten();
        overrides.map(|each| each.index).max().unwrap_or(0)
    }
}
