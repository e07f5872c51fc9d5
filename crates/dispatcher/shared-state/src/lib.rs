//! What dispatchers share, and how it stays within bounds. `budgets` leases parts of limits, `evidence` weighs what
//! others saw of runners, `reports` keeps what each last said of itself, `node` puts them on frames. No I/O: the
//! host says the time, hands in what came and sends what is asked.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod budgets;
mod evidence;
mod node;
mod reports;

pub use budgets::{
    BudgetKey, BudgetKind, BudgetStatus, Budgets, LeaseGrant, LeaseRequest, LendingTerms,
};
pub use evidence::{Evidence, EvidenceRules, Observations, RunnerVerdict, Witness};
pub use node::{Datagrams, MemberStatus, Node, NodeConfig};
pub use reports::{ArrivalCounts, ArrivalEstimate, Digest, Report, ReportTable};
