//! The control plane on the core machines: register, members, elections, replicated records.
//!
//! `CoreNode` is the logic of one core process, driven through `sagetrail_protocol::node::Node`.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod accept_change;
mod accepted_changes;
mod acceptor;
mod batch_window;
mod bootstrap;
mod change;
mod change_function;
mod changes_fetch;
mod effects;
mod election;
mod error;
mod http_api;
mod leadership;
mod learner;
mod leases;
mod membership_state;
mod messages;
mod node;
mod non_members;
mod operator;
mod persisted;
mod progress;
mod proposer;
mod quorum;
mod quorum_read;
mod reconfiguration;
mod records;
mod recovery;
mod register_view;
mod replica;
mod resignation;
mod round;
mod routing;
mod settings;
mod snapshot;
mod snapshot_checksum;
mod snapshot_transfer;
mod subscribers;
mod term_base;
mod termination;
mod timers;
mod timing;
mod value;
mod voting;

pub use accepted_changes::{AcceptedChanges, Gap};
pub use error::ControlPlaneError;
pub use node::CoreNode;
pub use settings::CoreSettings;
pub use value::{RegisterValue, StoredConfig};
