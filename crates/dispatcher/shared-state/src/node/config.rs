//! Configuration of a member.

use std::collections::BTreeMap;

use sagetrail_swim::{Peer, SwimConfig};

use crate::budgets::{BudgetKind, LendingTerms};
use crate::evidence::EvidenceRules;

/// Configuration of a member.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the fleet: frames of other fleets are rejected.
    pub fleet: String,
    /// All configured members, in the same order at each member.
    pub roster: Vec<Peer>,
    /// Index of this member in the roster.
    pub own_index: usize,
    /// Intervals of the membership protocol.
    pub swim: SwimConfig,
    /// Terms on which budgets of each kind are lent.
    pub lending: BTreeMap<BudgetKind, LendingTerms>,
    /// Rules by which evidence is evaluated.
    pub evidence_rules: EvidenceRules,
    /// Number of categories of work.
    pub category_count: usize,
    /// Initial incarnation: Unix time in milliseconds, so that it is not below that of an earlier process of this name
    /// unless the clock went back.
    pub incarnation: u64,
    /// Random number that identifies the process; it also seeds the member's random choices.
    pub process: u64,
}
