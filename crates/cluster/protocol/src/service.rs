//! The interface between the control plane and the service that runs on the leader, on replicated records: the
//! scheduler.

use std::sync::Arc;

use crate::id::{NodeId, Term};
use crate::message::Message;
use crate::node::Now;
use crate::time::Time;

/// A change of the replicated records.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordOperation {
    /// Sets a record, whether it was there or not.
    Put {
        /// The record's key.
        key: Vec<u8>,
        /// Its new value.
        value: Vec<u8>,
    },
    /// Removes a record; no error where there is none.
    Delete {
        /// The record's key.
        key: Vec<u8>,
    },
}

/// Changes that are committed at a quorum together or not at all.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Batch {
    /// Rises by one from 1 within a term.
    pub number: u64,
    /// The changes, applied in this order.
    pub operations: Vec<RecordOperation>,
}

/// A configuration in force.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ConfigInForce {
    /// Its version.
    pub version: u64,
    /// JSON, as the operator reads it.
    pub document: Arc<Vec<u8>>,
}

/// The state from which the service of a term starts.
pub struct Restored {
    /// The term for which this process was elected.
    pub term: Term,
    /// This process.
    pub node: NodeId,
    /// Every record that may have been committed, as (key, value), sorted by key.
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
    /// The newest configuration, read at a quorum after the election; `None` before the first.
    pub config: Option<ConfigInForce>,
    /// Drawn anew for each term; seeds the service's random numbers.
    pub seed: u64,
}

/// Runs on the leader for one term; the control plane drops it at the term's end and sends its messages only while
/// the term's lease holds. The service itself holds back what must wait until a batch is committed.
pub trait Service {
    /// A message from outside the control plane (`ClientRequest`, `RunnerReport`).
    fn message(&mut self, now: Now, from: NodeId, message: Message);
    /// A newer configuration is in force.
    fn config(&mut self, now: Now, config: ConfigInForce);
    /// A quorum has synced the batch with this number, and all before it.
    fn committed(&mut self, now: Now, number: u64);
    /// The instant of [`next_wake`](Service::next_wake) has come.
    fn wake(&mut self, now: Now);
    /// When [`wake`](Service::wake) is due; `None` for never.
    fn next_wake(&self) -> Option<Time>;
    /// Takes all changes since the last call as one batch; `None` where there are none.
    fn take_batch(&mut self) -> Option<Batch>;
    /// Takes all messages that may be sent now, as (receiver, message).
    fn take_sends(&mut self) -> Vec<(NodeId, Message)>;
}

/// Makes the service at the start of a term.
pub type ServiceFactory = Box<dyn FnMut(Now, Restored) -> Box<dyn Service + Send> + Send>;
