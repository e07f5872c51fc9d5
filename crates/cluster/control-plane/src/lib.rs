//! The control plane on the core machines: register, members, elections, replicated records.
//!
//! `CoreNode` is the logic of one core process, driven through `sagetrail_protocol::node::Node`.
mod accept_change;
mod accepted_changes;
mod acceptor;
mod base;
mod candidate;
mod change;
mod changes_fetch;
mod checksum;
mod collection;
mod courier;
mod door;
mod effects;
mod founding;
mod image;
mod knowledge;
mod learner;
mod leases;
mod membership;
mod messages;
mod node;
mod operator;
mod outer;
mod persisted;
mod proposer;
mod quorum;
mod reader;
mod records;
mod recovery;
mod renounce;
mod replica;
mod settings;
mod standing;
mod steps;
mod subscribers;
mod term;
mod termination;
mod timing;
mod value;
mod voting;
mod window;

pub use accepted_changes::{AcceptedChanges, Gap};
pub use node::CoreNode;
pub use settings::CoreSettings;
pub use value::{RegisterValue, StoredConfig, ValueError};
