//! The seam between the control plane and what runs on the elected core process, on replicated records.

use crate::id::{NodeId, Term};
use crate::message::Message;
use crate::node::Now;
use crate::time::Time;
use std::sync::Arc;

/// A change of the replicated records.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RecordOperation {
    Put { key: Vec<u8>, value: Vec<u8> },
    Delete { key: Vec<u8> },
}

/// Changes that are kept by a quorum together or not at all.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Batch {
    /// Rises by one from 1 within a term.
    pub number: u64,
    pub operations: Vec<RecordOperation>,
}

/// A configuration in force.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ConfigInForce {
    pub version: u64,
    /// JSON, as the operator reads it.
    pub document: Arc<Vec<u8>>,
}

/// What the elected process starts from.
pub struct Restored {
    pub term: Term,
    /// This process.
    pub node: NodeId,
    /// Every record that may have been kept, sorted by key.
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
    /// The newest configuration, read at a quorum after the election; `None` before the first.
    pub config: Option<ConfigInForce>,
    /// Drawn anew for each term.
    pub seed: u64,
}

/// Runs on the elected process for one term and is dropped at the term's end. Its messages leave only while the
/// term's lease holds. It keeps back by itself whatever must wait for a batch.
pub trait Service {
    /// A message from outside the control plane (`ClientRequest`, `RunnerReport`).
    fn message(&mut self, now: Now, from: NodeId, message: Message);
    /// A newer configuration is in force.
    fn config(&mut self, now: Now, config: ConfigInForce);
    /// A quorum has synced the batch with this number, and all before it.
    fn committed(&mut self, now: Now, number: u64);
    /// `next_wake` has come.
    fn wake(&mut self, now: Now);
    /// When `wake` is due.
    fn next_wake(&self) -> Option<Time>;
    /// All changes since the last call as one batch; `None` where there are none.
    fn take_batch(&mut self) -> Option<Batch>;
    /// All messages that may leave now.
    fn take_sends(&mut self) -> Vec<(NodeId, Message)>;
}

/// Makes the service at the start of a term.
pub type ServiceFactory = Box<dyn FnMut(Now, Restored) -> Box<dyn Service + Send> + Send>;
