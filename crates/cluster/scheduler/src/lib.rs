//! Jobs, their runs, and their placement on runners: what the elected core process does for its term.
//!
//! [`Scheduler`] is the `Service` that the control plane starts at an election and drops at the term's end. It has no
//! sockets, threads or clock of its own: it is handed messages, commits and the time, and hands out batches of records
//! and messages. All its state is in memory; what must outlive the term is in the records, and what may only be said
//! or commanded once a record is committed waits in the commit queue for its batch. `docs/system.md` has the
//! invariants, `docs/design.md` the source of the placement algorithm.
//!
//! # The way of a job
//!
//! ```text
//!  client's POST                                                      client's answer
//!       |                                                                   ^
//!       v                                                                   | once committed
//!  scheduler/client_requests --- spec: valid? ---> job_table ---> commit_queue (records)
//!                                                     |
//!              due_times (not due yet) <--------------+ scheduler/job_lifecycle:
//!                     |  falls due                    | due, dependencies met, gang complete?
//!                     +---------------------------->  v
//!      objective (priority, expectation, due) --> pending_queue <-------------------------+
//!                                                     |                                   |
//!                 scheduler/placement_round:          v                                   |
//!      runner_table, outlier_ejection ---> placement (Algorithm 1, gangs)                 |
//!      reservation, reserved_capacity -->     |            |                              |
//!                                   assigned  |            | found no free capacity       |
//!                                             v            v                              |
//!                        commit_queue, then   |   scheduler/preemption (victims),         |
//!                  scheduler/runner_commands  |   scheduler/drain_reservation             |
//!                                             v                                           |
//!                                    agent and runner                                     |
//!                                             |                                           |
//!     scheduler/runner_reports (agent_session: is the agent believed?)                    |
//!     scheduler/stuck_runs (stalled, runner leaves), expired leases                       |
//!                                             v                                           |
//!                            scheduler/run_outcome --- failed or stopped: requeue --------+
//!                                             |
//!                          all tasks done, or attempts used up
//!                                             v
//!                   scheduler/job_lifecycle: end, retention, purge
//! ```
//!
//! # Which module decides what
//!
//! | question | module |
//! |---|---|
//! | is a submitted job valid? | `spec` |
//! | which steps may start? | `job`, `scheduler/job_lifecycle` |
//! | in which order? | `objective`, `pending_queue` |
//! | which runner takes which task? | `placement` |
//! | what is left free for urgent work? | `reserved_capacity`, `scheduler/urgent_demand` |
//! | who is stopped, or drained, for whom? | `victims`, `scheduler/preemption`, `scheduler/drain_reservation` |
//! | which runners get no work for a while? | `outlier_ejection` |
//! | which runs move elsewhere? | `scheduler/stuck_runs` |
//! | is a run over for sure? | `scheduler/runner_reports`, `runner` (leases), `agent_session` |
//! | what does an end mean for its task and job? | `scheduler/run_outcome` |
//!
//! The files of the crate's root each own one data structure and know nothing of the scheduler; the submodules of
//! `scheduler` use several of them for one concern.

mod agent_session;
mod capacity;
mod commit_queue;
mod due_times;
mod error;
mod ids;
mod job;
mod job_table;
mod limits;
mod objective;
mod outlier_ejection;
mod pass_pacing;
mod pending_queue;
mod placement;
mod records;
mod reservation;
mod reserved_capacity;
mod runner;
mod runner_pace;
mod runner_table;
mod scheduler;
mod spec;
mod step_run;
mod time_of_day;
mod timers;
mod victims;

pub use error::SchedulerError;
pub use ids::{JobId, StepId, TaskId};
pub use limits::{MAX_SPEC_BYTES, MAX_STAGES, MAX_TASKS};
pub use placement::{AvailableRunner, Pass, PendingStep, Placement, P_MIN};
pub use reservation::{Reservation, ReservationKind};
pub use scheduler::{Scheduler, SchedulerSettings};
pub use spec::{JobSpec, Labels, Stage};
