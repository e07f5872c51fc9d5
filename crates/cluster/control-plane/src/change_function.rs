//! The change functions that the proposer applies to the register's value.
//!
//! CASPaxos (Rystsov, 2018, section 2.2) replicates a register by functions from its value to the next one: a proposer
//! reads the value in the prepare phase, applies the function, and has the result accepted.

use crate::accepted_changes::AcceptedChanges;
use crate::change::Change;
use crate::value::RegisterValue;
use sagetrail_cluster_config::ConfigError;
use sagetrail_protocol::{List, NodeId};
use std::sync::Arc;

/// A function from the register's value to the next one.
#[derive(Clone, PartialEq, Debug)]
pub(crate) enum ChangeFunction {
    /// A configuration change of the operator, by its number at this process.
    Config { number: u64, change: Arc<Change> },
    /// Leaves the value as it is, and so completes a round that another proposer left unfinished.
    Identity,
    /// A step of a change of members on top of the list of version `base`.
    Members { base: u64, step: MemberStep },
}

/// A step of a change of members by joint consensus (Ongaro's thesis, 4.3). Between the two steps a majority of both
/// lists is needed for everything.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum MemberStep {
    /// Names the list that is to follow.
    EnterJoint(Vec<NodeId>),
    /// The list that was to follow takes the place of the former one.
    LeaveJoint,
}

/// What became of a change function.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum ChangeOutcome {
    /// The change is in the value.
    Applied,
    /// It was there before.
    AlreadyApplied,
    /// Another version is current, and this change did not lead to it.
    Conflict,
    /// The change is not in the value; whether it was applied long ago is not known here.
    Unknown,
    /// The change does not keep the rules for configurations.
    Invalid(ConfigError),
    /// Nothing was to be changed.
    Unchanged,
}

/// The result of a change function on one value.
#[derive(Clone, Debug)]
pub(crate) struct Transition {
    /// The next value; `None` leaves the value as it is.
    pub next: Option<RegisterValue>,
    /// What became of the function.
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
    /// Applies the function to `value`. `changes`: earlier changes than the value itself names.
    pub(crate) fn apply(&self, value: &RegisterValue, changes: &AcceptedChanges) -> Transition {
        match self {
            ChangeFunction::Config { change, .. } => apply_change(change, value, changes),
            ChangeFunction::Identity => Transition::unchanged(ChangeOutcome::Unchanged),
            ChangeFunction::Members { base, step } => apply_member_step(*base, step, value),
        }
    }

    /// Whether this is the operator's change of this number.
    pub(crate) fn is_config_change(&self, number: u64) -> bool {
        matches!(self, ChangeFunction::Config { number: own, .. } if *own == number)
    }
}

fn apply_change(change: &Change, value: &RegisterValue, changes: &AcceptedChanges) -> Transition {
    if value.config.version != change.base {
        return Transition::unchanged(outcome_on_other_version(change, value, changes));
    }
    match change.applied_to(value) {
        Ok(next) => Transition::to(next),
        Err(error) => Transition::unchanged(ChangeOutcome::Invalid(error)),
    }
}

/// What became of a change whose base is not the current version.
fn outcome_on_other_version(
    change: &Change,
    value: &RegisterValue,
    changes: &AcceptedChanges,
) -> ChangeOutcome {
    let accepted = value
        .change_over(change.base)
        .or_else(|| changes.change_over(change.base));
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
