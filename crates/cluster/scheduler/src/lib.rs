//! Jobs, their runs, and their placement on runners: what the elected core process does for its term.
//!
//! `Scheduler` takes clients' requests and agents' reports, changes jobs and runners in memory, and lays each
//! change into the ledger as records. What may only be said or ordered once a change is kept waits in the ledger
//! for its batch. `docs/system.md` has the invariants.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod awaiting;
mod clients;
mod clock;
mod drain;
mod ends;
mod headroom;
mod health;
mod ids;
mod job;
mod ledger;
mod objective;
mod orders;
mod pace;
pub mod placement;
pub mod preempt;
mod queue;
mod record;
mod reports;
mod restore;
mod runner;
mod scheduler;
pub mod spec;
mod survey;
mod watch;

pub use ids::{JobId, StepId, TaskId};
pub use scheduler::{Scheduler, SchedulerSettings};
pub use spec::{JobSpec, SpecError, Stage};
