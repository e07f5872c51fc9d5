//! A machine with one process: its logic, its meter, its disk.

use sagetrail_protocol::frame;
use sagetrail_protocol::node::{DiskOperation, DiskWrite, Event, Node, Now, Outbox};
use sagetrail_protocol::{Message, NodeId, Time};

use super::meter::{thread_time, Meter};
use crate::samples::Role;

/// Wakes of a process are at least so far apart, in milliseconds, as in the daemon.
const WAKE_INTERVAL_MS: u64 = 1;

/// A machine.
pub(super) struct Machine {
    pub node: NodeId,
    pub role: Role,
    pub region: u32,
    pub meter: Meter,
    logic: Box<dyn Node>,
    /// The wake that is scheduled; others are out of date.
    pub wake_at: Option<Time>,
    no_wake_before: Time,
    /// Writes that wait for the sync under way.
    pub waiting: Vec<DiskWrite>,
    pub syncing: bool,
}

/// A frame to send.
pub(super) struct Sending {
    pub to: NodeId,
    pub frame: Vec<u8>,
}

impl Machine {
    /// A machine about some logic.
    pub(super) fn new(node: NodeId, role: Role, region: u32, logic: Box<dyn Node>) -> Machine {
        Machine {
            node,
            role,
            region,
            meter: Meter::default(),
            logic,
            wake_at: None,
            no_wake_before: Time::default(),
            waiting: Vec::new(),
            syncing: false,
        }
    }

    /// Takes an event; its cost goes to the meter.
    pub(super) fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        if matches!(event, Event::Wake) {
            self.no_wake_before = now.steady.plus_millis(WAKE_INTERVAL_MS);
        }
        let started = thread_time();
        self.logic.handle(now, event, outbox);
        self.meter.cpu += thread_time().saturating_sub(started);
        self.meter.events += 1;
    }

    /// Takes a frame; reading it goes to the meter as well.
    pub(super) fn receive(&mut self, now: Now, from: NodeId, frame: &[u8], outbox: &mut Outbox) {
        self.meter.received_bytes += frame.len() as u64;
        let started = thread_time();
        let message = frame::decode(frame);
        self.meter.cpu += thread_time().saturating_sub(started);
        if let Ok(message) = message {
            self.handle(now, Event::Message { from, message }, outbox);
        }
    }

    /// Writes messages as frames; its cost goes to the meter.
    pub(super) fn pack(&mut self, messages: Vec<(NodeId, Message)>) -> Vec<Sending> {
        let started = thread_time();
        let pack = |(to, message): (NodeId, Message)| {
            Some(Sending {
                to,
                frame: frame::encode(&message).ok()?,
            })
        };
        let frames: Vec<Sending> = messages.into_iter().filter_map(pack).collect();
        self.meter.cpu += thread_time().saturating_sub(started);
        self.meter.sent_bytes += frames
            .iter()
            .map(|sending| sending.frame.len() as u64)
            .sum::<u64>();
        frames
    }

    /// Notes writes towards the disk; true where a sync is to begin.
    pub(super) fn write(&mut self, writes: Vec<DiskWrite>) -> bool {
        self.meter.written_bytes += writes
            .iter()
            .flat_map(|write| &write.operations)
            .map(bytes)
            .sum::<u64>();
        self.waiting.extend(writes);
        !self.syncing && !self.waiting.is_empty()
    }

    /// When the logic wants to be woken.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.logic
            .next_wake()
            .map(|due| due.max(self.no_wake_before))
    }
}

fn bytes(operation: &DiskOperation) -> u64 {
    match operation {
        DiskOperation::Put { key, value, .. } => (key.len() + value.len()) as u64,
        DiskOperation::Delete { key, .. } => key.len() as u64,
        DiskOperation::Clear { .. } => 0,
    }
}
