//! The cluster scheduler: accepts jobs, places their tasks on runners and follows every run to its end.
//!
//! [`Scheduler`] implements the control plane's `Service`. The control plane creates it when this process is elected
//! leader and drops it at the end of the term. It has no sockets, threads or clock of its own: it receives messages,
//! commit notifications and the time, and returns batches of records and messages to send. All its state is in memory;
//! state that must survive the term is also written to the replicated records. A reply or command that may be sent only
//! after a record is committed waits in the commit queue for that record's batch. `docs/system.md` lists the
//! invariants, `docs/design.md` the source of the placement algorithm.
//!
//! # Lifecycle of a job
//!
//! ```text
//!  client's POST                                                      client's answer
//!       |                                                                   ^
//!       v                                                                   | after the commit
//!  scheduler/client_requests --- spec: valid? ---> job_table ---> commit_queue (records)
//!                                                     |
//!              due_times (not due yet) <--------------+ scheduler/job_lifecycle:
//!                     |  becomes due                  | due, dependencies met, gang complete?
//!                     +---------------------------->  v
//!      objective (priority, expectation, due) --> pending_queue <-------------------------+
//!                                                     |                                   |
//!                 scheduler/placement_round:          v                                   |
//!      runner_table, outlier_ejection ---> placement (Algorithm 1, gangs)                 |
//!      reservation, reserved_capacity -->     |            |                              |
//!                                   assigned  |            | no free capacity             |
//!                                             v            v                              |
//!                        commit_queue, then   |   scheduler/preemption (victims),         |
//!                  scheduler/runner_commands  |   scheduler/drain_reservation             |
//!                                             v                                           |
//!                                    agent and runner                                     |
//!                                             |                                           |
//!     scheduler/runner_reports (agent_session: is the report accepted?)                   |
//!     scheduler/run_relocation (stalled, runner drains), expired leases                   |
//!                                             v                                           |
//!                            scheduler/run_outcome --- failed or stopped: requeue --------+
//!                                             |
//!                          all tasks done, or attempts exhausted
//!                                             v
//!                   scheduler/job_lifecycle: end, retention, purge
//! ```
//!
//! # Responsibilities of the modules
//!
//! | question | module |
//! |---|---|
//! | Is a submitted job valid? | `spec` |
//! | Is there memory and disk for it? | `job_budget`, `job_table` |
//! | Which steps may start? | `job`, `occurrences`, `scheduler/job_lifecycle` |
//! | In which order are steps placed? | `objective`, `pending_queue` |
//! | Which runner gets which task? | `placement` |
//! | How much capacity is kept free for urgent work? | `reserved_capacity`, `scheduler/urgent_demand` |
//! | Which runs are preempted and which runners drained for a pending step? | `victims`, `scheduler/preemption`, `scheduler/drain_reservation` |
//! | Which runners are ejected and get no new starts for a time? | `outlier_ejection` |
//! | Which runs are moved to another runner? | `scheduler/run_relocation`, `scheduler/stragglers` |
//! | Has a run certainly ended? | `scheduler/runner_reports`, `runner` (leases), `agent_session` |
//! | How does the end of a run change its task and job? | `scheduler/run_outcome` |
//!
//! Each module in the crate root owns one data structure and does not depend on `scheduler`. Each submodule of
//! `scheduler` implements one concern with several of these data structures.

mod agent_session;
mod capacity;
mod commit_queue;
mod demand_class;
mod due_times;
mod error;
mod ids;
mod job;
mod job_budget;
mod job_table;
mod limits;
mod objective;
mod occurrences;
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
pub use job_budget::CoreResources;
pub use limits::{MAX_SPEC_BYTES, MAX_STAGES, MAX_TASKS};
pub use placement::{AvailableRunner, Pass, PendingStep, Placement, P_MIN};
pub use reservation::{Reservation, ReservationKind};
pub use scheduler::{Scheduler, SchedulerSettings};
pub use spec::{JobSpec, Labels, Stage};
