//! State that dispatchers share by gossip: leased parts of limits, counts of work, and evidence on runners.
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
//! [`Budgets`] splits limits into leased parts, so that all members together never exceed a limit. [`Observations`]
//! counts the successes and failures of runners that this member observed, and [`EvidenceRules`] combines the evidence
//! of all members into verdicts. [`ReportTable`] merges the members' reports. [`Node`] encodes all of them as frames
//! and sends them in datagrams and in exchanges over a stream. This crate does no I/O: the caller supplies the time,
//! passes in received frames, and sends the frames that are returned. Faults in received frames are
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
