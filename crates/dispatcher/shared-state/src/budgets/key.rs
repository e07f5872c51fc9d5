//! Which budget, and on which terms it is lent.

use serde::{Deserialize, Serialize};

/// What a budget limits. The order of the variants is part of the wire format and of the owners' ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetKind {
    /// What a runner in slow start may be sent, in millionths of its full load.
    SlowStart,
    /// Resubmissions of work within a second.
    Resubmissions,
    /// Work items of a category in flight.
    Category,
}

impl BudgetKind {
    /// The spelling on the operators' page of budgets.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            BudgetKind::SlowStart => "cold",
            BudgetKind::Resubmissions => "resends",
            BudgetKind::Category => "category",
        }
    }
}

/// Names one budget. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetKey {
    /// What it limits.
    pub kind: BudgetKind,
    /// A hash of the name of the runner or category; 0 where there is one budget of the kind.
    pub subject: u64,
}

/// On which terms budgets of a kind are lent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LendingTerms {
    /// The length of a lease, in seconds.
    pub lease_s: f64,
    /// How long a use counts at the most, in seconds: the span of a rate, the longest run of a work item.
    pub spend_s: f64,
    /// How many members own a right: few, where a part must suffice for a full work item.
    pub owner_count: usize,
}
