//! What a member is started with.

use std::collections::BTreeMap;

use sagetrail_swim::{Peer, SwimConfig};

use crate::budgets::{BudgetKind, LendingTerms};
use crate::evidence::EvidenceRules;

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The fleet's name: frames of other fleets are rejected.
    pub fleet: String,
    /// All members by configuration, in the same order at each.
    pub roster: Vec<Peer>,
    /// This member's index in the roster.
    pub own_index: usize,
    /// Intervals of the membership protocol.
    pub swim: SwimConfig,
    /// On which terms budgets are lent.
    pub lending: BTreeMap<BudgetKind, LendingTerms>,
    /// How evidence is evaluated.
    pub evidence_rules: EvidenceRules,
    /// How many categories of work there are.
    pub category_count: usize,
    /// Not under that of an earlier process of this name, as far as clocks go: milliseconds of Unix time.
    pub incarnation: u64,
    /// Drawn at random by each process; also seeds its random choices.
    pub process: u64,
}
