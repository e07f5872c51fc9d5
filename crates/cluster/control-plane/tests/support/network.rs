//! The network between simulated machines.

use sagetrail_protocol::{Message, NodeId};

/// The faults and delays of the network and the disks.
#[derive(Clone, Copy)]
pub(crate) struct Conditions {
    /// The fraction of messages that is lost.
    pub loss: f64,
    /// The fraction of messages that arrives twice.
    pub duplication: f64,
    /// The shortest and the longest delay of a message, in microseconds.
    pub delay_us: (u64, u64),
    /// The shortest and the longest duration of a sync, in microseconds.
    pub sync_us: (u64, u64),
}

/// A fast network and fast disks, without loss or duplication.
pub(crate) const FAULT_FREE: Conditions = Conditions {
    loss: 0.0,
    duplication: 0.0,
    delay_us: (300, 900),
    sync_us: (1_000, 4_000),
};

/// Modifies a message in transit, given its sender and receiver. Returns false to drop the message.
pub(crate) type Tamper = Box<dyn FnMut(NodeId, NodeId, &mut Message) -> bool>;

/// The point at which a message is observed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Passage {
    /// The sender has passed the message to the network.
    Sent,
    /// The receiver is about to handle the message.
    Received,
}

/// Observes each message, given the true time in microseconds, the point, the sender and the receiver.
pub(crate) type Observer = Box<dyn FnMut(u64, Passage, NodeId, NodeId, &Message)>;
