//! Dispatch of work items as a state machine: who owns a work item, callbacks of runners, the endpoint list, operators'
//! calls, and metrics. It has no socket, no task and no clock of its own. A host makes calls on [`Exchange`], sets the
//! time with [`Exchange::set_now`], has it decide with [`Exchange::process_due`], and does its I/O as an
//! [`ExchangeHost`].

mod endpoint_list;
mod exchange;
mod membership;
mod message;
mod metrics;
mod saved_state;
mod state;

pub use endpoint_list::{DiscoveryUpdate, Endpoint, Lifecycle, ListEntry, ListNames};
pub use exchange::{Exchange, ExchangeConfig};
pub use message::{
    name_hash, Callback, JobState, Reply, RequestFailure, RunnerRequest, RunnerResponse,
    WorkRequest,
};
pub use metrics::{Metrics, OpenRequest};
pub use saved_state::{
    category_terms_hash, CategoryDuration, HandoverState, LearnedState, RunnerEstimate,
    RunnerSnapshot,
};
pub use state::{AttemptId, ExchangeHost, Load, Observation, Purpose};
