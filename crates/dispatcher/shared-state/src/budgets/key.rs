//! Identifies budgets and states the terms on which they are lent.

use serde::{Deserialize, Serialize};

/// Resource that a budget limits. The order of the variants is part of the wire format and of the owners' ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetKind {
    /// Load that may be sent to a runner in slow start, in millionths of its full load.
    SlowStart,
    /// Resubmissions of work items per second.
    Resubmissions,
    /// Work items of a category that are in flight.
    Category,
}

impl BudgetKind {
    /// Name of the kind on the operators' page of budgets.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            BudgetKind::SlowStart => "cold",
            BudgetKind::Resubmissions => "resends",
            BudgetKind::Category => "category",
        }
    }
}

/// Identifies one budget. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetKey {
    /// Resource that the budget limits.
    pub kind: BudgetKind,
    /// Hash of the name of the runner or category; 0 if there is only one budget of the kind.
    pub subject: u64,
}

/// Terms on which budgets of a kind are lent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LendingTerms {
    /// Duration of a lease in seconds.
    pub lease_s: f64,
    /// Longest time in seconds for which a use counts: the window of a rate, or the longest run of a work item.
    pub spend_s: f64,
    /// Number of members that own a right. It is small where one right must suffice for a full work item.
    pub owner_count: usize,
}
