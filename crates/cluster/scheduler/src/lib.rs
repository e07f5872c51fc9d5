//! Jobs, their runs, and their placement on runners: what the elected core process does for its term.
//!
//! `Scheduler` takes clients' requests and agents' reports, changes jobs and runners in memory, and lays each
//! change into the ledger as records. What may only be said or ordered once a change is kept waits in the ledger
//! for its batch. `docs/system.md` has the invariants.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod client_requests;
mod commit_queue;
mod diagnostics;
mod drain_reservation;
mod ids;
mod job;
mod objective;
mod outlier_ejection;
mod pass_pacing;
mod pending_queue;
pub mod placement;
pub mod preemption;
mod records;
mod reserved_capacity;
mod restore;
mod run_outcome;
mod runner;
mod runner_commands;
mod runner_reports;
mod scheduler;
pub mod spec;
mod stuck_runs;
mod time_of_day;
mod uncommitted_runners;

pub use ids::{JobId, StepId, TaskId};
pub use scheduler::{Scheduler, SchedulerSettings};
pub use spec::{JobSpec, SpecError, Stage};
