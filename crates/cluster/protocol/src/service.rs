//! The interface between the control plane and the service that runs on the leader and stores its state in replicated
//! records. This service is the scheduler.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::id::{NodeId, Term};
use crate::message::Message;
use crate::node::Now;
use crate::time::Time;

/// A change to the replicated records.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordOperation {
    /// Sets a record, whether or not it exists.
    Put {
        /// The record's key.
        key: Vec<u8>,
        /// The record's new value.
        value: Vec<u8>,
    },
    /// Removes a record; it is no error if the record does not exist.
    Delete {
        /// The record's key.
        key: Vec<u8>,
    },
}

/// Changes that are committed at a quorum atomically: all of them or none.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Batch {
    /// The number of the batch, which increases by one from 1 within a term.
    pub number: u64,
    /// The changes, applied in this order.
    pub operations: Vec<RecordOperation>,
}

/// A configuration that is in force.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ConfigInForce {
    /// The version of the configuration.
    pub version: u64,
    /// The document as JSON, in the form in which the operator reads it.
    pub document: Arc<Vec<u8>>,
}

/// The state from which the service of a term starts.
pub struct Restored<'a> {
    /// The term for which this process was elected.
    pub term: Term,
    /// The id of this process.
    pub node: NodeId,
    /// All records that may have been committed, by key.
    pub records: &'a BTreeMap<Vec<u8>, Vec<u8>>,
    /// The newest configuration, read at a quorum after the election; `None` if there is no configuration yet.
    pub config: Option<ConfigInForce>,
    /// The seed of the service's random numbers, which is drawn anew for each term.
    pub seed: u64,
}

/// A service that runs on the leader for one term. The control plane drops it at the end of the term, and sends its
/// messages only while the term's lease is valid. The service itself must delay messages that depend on a batch until
/// that batch is committed.
pub trait Service {
    /// Handles a message from outside the control plane (`ClientRequest` or `RunnerReport`).
    fn message(&mut self, now: Now, from: NodeId, message: Message);
    /// Notifies the service that a newer configuration is in force.
    fn config(&mut self, now: Now, config: ConfigInForce);
    /// Notifies the service that a quorum has synced the batch with this number and all batches before it.
    fn committed(&mut self, now: Now, number: u64);
    /// Notifies the service that the time returned by [`next_wake`](Service::next_wake) has been reached.
    fn wake(&mut self, now: Now);
    /// Returns the time at which the next [`wake`](Service::wake) is due, or `None` if none is.
    fn next_wake(&self) -> Option<Time>;
    /// Removes and returns all changes since the last call as one batch, or `None` if there are no changes.
    fn take_batch(&mut self) -> Option<Batch>;
    /// Removes and returns all messages that may be sent now, as (receiver, message).
    fn take_sends(&mut self) -> Vec<(NodeId, Message)>;
}

/// A function that creates the service at the start of a term.
pub type ServiceFactory =
    Box<dyn for<'a> FnMut(Now, Restored<'a>) -> Box<dyn Service + Send> + Send>;
