//! How messages travel between simulated machines.

use sagetrail_protocol::{Message, NodeId};

/// How the network and the disks behave.
#[derive(Clone, Copy)]
pub(crate) struct Conditions {
    /// The part of messages that is lost.
    pub loss: f64,
    /// The part of messages that arrives twice.
    pub duplication: f64,
    /// The least and the longest delay of a message.
    pub delay_us: (u64, u64),
    /// The least and the longest duration of a sync.
    pub sync_us: (u64, u64),
}

/// Without loss, and fast.
pub(crate) const CALM: Conditions = Conditions {
    loss: 0.0,
    duplication: 0.0,
    delay_us: (300, 900),
    sync_us: (1_000, 4_000),
};

/// Changes a message in transit; false loses it.
pub(crate) type Tamper = Box<dyn FnMut(NodeId, NodeId, &mut Message) -> bool>;

/// Where a message is observed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Passage {
    /// Its sender has handed it to the network.
    Sent,
    /// Its receiver is about to handle it.
    Received,
}

/// Sees each message with the true time, its sender and its receiver.
pub(crate) type Observer = Box<dyn FnMut(u64, Passage, NodeId, NodeId, &Message)>;
