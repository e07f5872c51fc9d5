//! The state machine of the replicated log: settings by version, operators' overrides, voters, and who may lend budget.
//! Every member that has applied the same entries holds the same bytes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::error::StoreError;

/// Largest text of settings, bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 << 10;
/// Versions of the settings that are kept, to go back to.
const MAX_VERSIONS: usize = 8;
/// Runners and dispatchers with overrides; further ones are rejected.
const MAX_OVERRIDES: usize = 4096;
/// Largest number of voters: more cost latency and bear no loss that matters.
const MAX_VOTERS: usize = 5;

/// What an operator's override concerns.
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
    /// Out of service, or back.
    pub out_of_service: bool,
    /// Index of the log entry.
    pub index: u64,
    /// The dispatcher at which the operator gave the command.
    pub member: u64,
}

/// A version of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsVersion {
    /// Number of the version, from 1, without gaps.
    pub number: u64,
    /// The complete text.
    pub text: String,
    /// The member that proposed it.
    pub member: u64,
}

/// A command of the replicated log. The order of the variants is part of the disk and wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// New settings for all; rejected unless `base_version` is still in force (compare and set).
    Settings {
        /// The complete text; the proposer has checked it.
        text: String,
        /// The version that the proposer had seen.
        base_version: u64,
    },
    /// An operator takes a target out of service or puts it back.
    Override {
        /// What it concerns.
        target: OverrideTarget,
        /// Out of service, or back.
        out_of_service: bool,
        /// Index of the last override of the target that the operator had seen.
        seen_index: u64,
    },
    /// The members that are to vote.
    Voters(Vec<u64>),
    /// Whether a member may lend parts of budgets and spend its own share.
    Lending {
        /// The member.
        member: u64,
        /// Whether it may.
        enabled: bool,
    },
}

/// A command with the identity of its proposer: it takes effect once, however often it is appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The member that proposes.
    pub member: u64,
    /// Its process: a random number drawn at the start.
    pub process: u64,
    /// The number of the proposal in its process, ascending.
    pub sequence: u64,
    /// The command.
    pub command: Command,
}

/// The last proposal of a member that was committed, and what came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastProposal {
    process: u64,
    sequence: u64,
    is_accepted: bool,
}

/// The state after all committed commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedState {
    /// The latest versions of the settings, ascending; the last one is in force.
    pub versions: Vec<SettingsVersion>,
    /// Overrides by target. Several for one target come from operators who had not seen each other's.
    pub overrides: BTreeMap<OverrideTarget, Vec<OperatorOverride>>,
    /// The members that are to vote; empty before any were committed.
    pub voters: Vec<u64>,
    /// The members that may not lend.
    pub lending_disabled: BTreeSet<u64>,
    /// By member: makes proposals idempotent (Ongaro's thesis, 6.3: client sessions).
    last_proposals: BTreeMap<u64, LastProposal>,
}

impl CommittedState {
    /// Reads the state from a snapshot.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidState`] if the bytes are no such state.
    pub fn decode(state: &[u8]) -> Result<CommittedState, StoreError> {
        postcard::from_bytes(state).map_err(|_| StoreError::InvalidState)
    }

    /// The state as a snapshot holds it.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing to a vector fails only for types without a known length, and there is none here.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The number of the version in force; 0 before any was committed.
    pub fn version(&self) -> u64 {
        self.versions.last().map_or(0, |version| version.number)
    }

    /// The text of the version in force; empty before any was committed.
    pub fn settings(&self) -> &str {
        self.versions.last().map_or("", |version| &version.text)
    }

    /// Whether a member's last proposal was accepted (`true`) or rejected. `None` if it is not committed, or a later
    /// one of the member is.
    pub fn outcome(&self, member: u64, process: u64, sequence: u64) -> Option<bool> {
        self.last_proposals
            .get(&member)
            .filter(|last| (last.process, last.sequence) == (process, sequence))
            .map(|last| last.is_accepted)
    }

    /// Whether this proposal of a member's process, or a later one of the same process, is committed.
    pub fn has_committed(&self, member: u64, process: u64, sequence: u64) -> bool {
        self.last_proposals
            .get(&member)
            .is_some_and(|last| last.process == process && last.sequence >= sequence)
    }

    /// Applies the committed entry at `index`. Returns whether the command was accepted; one that is not valid at this
    /// place in the log, or was applied before, changes nothing.
    pub fn apply(&mut self, index: u64, proposal: Proposal) -> bool {
        let Proposal {
            member,
            process,
            sequence,
            command,
        } = proposal;
        // A process has one proposal in the log at a time: a lower number is a duplicate.
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

    /// Rejects settings that build on another version than the one in force: two operators may have edited the same.
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

    /// An override replaces those that its operator had seen, those that say the same, and those given at the same
    /// dispatcher, where commands come one after the other. Others stay beside it: commands from two sides of a
    /// partition both hold until an operator who has seen both decides.
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
            // Back in service is the default; nothing has to be remembered.
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

    /// Whether a target is out of service: it is if any of its overrides says so.
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
