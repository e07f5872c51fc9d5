//! The change functions that the proposer applies to the register's value.
//!
//! CASPaxos (Rystsov, 2018, section 2.2) replicates a register with functions that compute the next value from the
//! current one: a proposer reads the value in the prepare phase, applies the function, and has the result accepted.

use crate::accepted_changes::AcceptedChanges;
use crate::change::Change;
use crate::value::RegisterValue;
use sagetrail_cluster_config::ConfigError;
use sagetrail_protocol::{List, NodeId};
use std::sync::Arc;

/// A function that computes the next value of the register from the current one.
#[derive(Clone, PartialEq, Debug)]
pub(crate) enum ChangeFunction {
    /// A configuration change of the operator. `number` identifies it at this process.
    Config { number: u64, change: Arc<Change> },
    /// Keeps the value as it is. A round with this function completes a round that another proposer left unfinished.
    Identity,
    /// A step of a change of members, based on the member list of version `base`.
    Members { base: u64, step: MemberStep },
}

/// A step of a change of members by joint consensus (Ongaro's thesis, 4.3). Between the two steps every decision needs
/// a majority of each of the two lists.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum MemberStep {
    /// Sets the next list, so that both lists are in force.
    EnterJoint(Vec<NodeId>),
    /// Replaces the former list by the next one.
    LeaveJoint,
}

/// The outcome of a change function.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum ChangeOutcome {
    /// The function was applied to the value.
    Applied,
    /// The same change had been applied before.
    AlreadyApplied,
    /// The change is based on another version than the current one, and was not applied on its base. For a step of a
    /// change of members: the step does not fit the current member list.
    Conflict,
    /// The change is based on an older version, and no known accepted change shows whether it was applied on its base.
    Unknown,
    /// The resulting configuration violates a rule for configurations.
    Invalid(ConfigError),
    /// The function keeps the value as it is.
    Unchanged,
}

/// The result of applying a change function to one value.
#[derive(Clone, Debug)]
pub(crate) struct Transition {
    /// The next value; `None` if the value stays as it is.
    pub next: Option<RegisterValue>,
    /// The outcome of the function.
    pub outcome: ChangeOutcome,
}

impl Transition {
    fn to(next: RegisterValue) -> Transition {
        Transition {
            next: Some(next),
            outcome: ChangeOutcome::Applied,
        }
    }

    fn unchanged(outcome: ChangeOutcome) -> Transition {
        Transition {
            next: None,
            outcome,
        }
    }
}

impl ChangeFunction {
    /// Applies the function to `value`. `changes` holds the accepted changes that are older than the recent ones in the
    /// value.
    pub(crate) fn apply(&self, value: &RegisterValue, changes: &AcceptedChanges) -> Transition {
        match self {
            ChangeFunction::Config { change, .. } => apply_change(change, value, changes),
            ChangeFunction::Identity => Transition::unchanged(ChangeOutcome::Unchanged),
            ChangeFunction::Members { base, step } => apply_member_step(*base, step, value),
        }
    }

    /// Whether this is the operator's change with this number.
    pub(crate) fn is_config_change(&self, number: u64) -> bool {
        matches!(self, ChangeFunction::Config { number: own, .. } if *own == number)
    }
}

fn apply_change(change: &Change, value: &RegisterValue, changes: &AcceptedChanges) -> Transition {
    if value.config.version != change.base {
        return Transition::unchanged(outcome_on_other_version(change, value, changes));
    }
    match change.apply_to(value) {
        Ok(next) => Transition::to(next),
        Err(error) => Transition::unchanged(ChangeOutcome::Invalid(error)),
    }
}

/// The outcome of a change whose base is not the current version.
fn outcome_on_other_version(
    change: &Change,
    value: &RegisterValue,
    changes: &AcceptedChanges,
) -> ChangeOutcome {
    let accepted = value
        .change_covering(change.base)
        .or_else(|| changes.change_covering(change.base));
    match accepted {
        Some(accepted) if accepted.base == change.base && accepted.digest == change.digest => {
            ChangeOutcome::AlreadyApplied
        }
        Some(_) => ChangeOutcome::Conflict,
        None if change.base > value.config.version => ChangeOutcome::Conflict,
        None => ChangeOutcome::Unknown,
    }
}

fn apply_member_step(base: u64, step: &MemberStep, value: &RegisterValue) -> Transition {
    if value.members_version != base {
        return Transition::unchanged(ChangeOutcome::Conflict);
    }
    let mut next = value.clone();
    next.members_version += 1;
    match step {
        MemberStep::EnterJoint(members) if value.next_members.is_empty() => {
            next.next_members = List(members.clone());
        }
        MemberStep::LeaveJoint if !value.next_members.is_empty() => {
            next.members = std::mem::take(&mut next.next_members);
        }
        MemberStep::EnterJoint(_) | MemberStep::LeaveJoint => {
            return Transition::unchanged(ChangeOutcome::Conflict);
        }
    }
    Transition::to(next)
}
