//! What dispatchers share: parts of limits, counts of work, and evidence on runners.
//!
//! ```text
//!                          Node
//!        +------------------+-------------------+
//!        |            |             |           |
//!   Membership     Budgets    Observations  ReportTable
//!   (swim crate)   leases      own evidence  last report of each member
//!        |            |             |           |
//!        +------------+--- frames --+--------- EvidenceRules --> verdicts
//! ```
//!
//! [`Budgets`] splits limits into leased parts, so that all members together never pass a limit. [`Observations`] counts
//! what this member saw of runners, and [`EvidenceRules`] weighs what all saw. [`ReportTable`] joins the members' reports.
//! [`Node`] puts all of them on frames, by datagrams and by exchanges over a stream. Nothing here does I/O: the caller
//! gives the time, hands in what was received, and sends what is put out. Faults in received frames are
//! [`sagetrail_swim::FrameError`]s, counted by reason.

mod budgets;
mod evidence;
mod node;
mod observations;
mod reports;

pub use budgets::{
    BudgetKey, BudgetKind, BudgetStatus, Budgets, LeaseGrant, LeaseRequest, LendingTerms,
};
pub use evidence::{EvidenceRules, RunnerVerdict, Witness};
pub use node::{Datagrams, MemberStatus, Node, NodeConfig, Traffic};
pub use observations::{Evidence, Observations};
pub use reports::{ArrivalCounts, ArrivalEstimate, Digest, Report, ReportTable};
