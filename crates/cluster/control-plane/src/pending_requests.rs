//! Requests whose senders have seen a newer configuration than this process: they wait until the register was read again.

use crate::register_view::RegisterView;
use crate::timing::PENDING_MS;
use sagetrail_protocol::{Message, NodeId, Time};
use std::collections::VecDeque;

/// The most requests that wait; further ones are dropped.
const MAX_PENDING: usize = 256;

/// A request that waits for a fresh register view.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// The gateway.
    pub from: NodeId,
    /// Its request.
    pub message: Message,
    arrived: Time,
}

/// All of them, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    queue: VecDeque<PendingRequest>,
}

impl PendingRequests {
    /// Takes a request, as far as there is room.
    pub(crate) fn push(&mut self, arrived: Time, from: NodeId, message: Message) {
        if self.queue.len() < MAX_PENDING {
            self.queue.push_back(PendingRequest {
                from,
                message,
                arrived,
            });
        }
    }

    /// The next request that need not wait any longer. Those that have waited for too long are dropped.
    pub(crate) fn next_ready(&mut self, now: Time, view: &RegisterView) -> Option<PendingRequest> {
        loop {
            let front = self.queue.front()?;
            let is_ready = view.is_fresh(front.arrived);
            if !is_ready && now < front.arrived.plus_millis(PENDING_MS) {
                return None;
            }
            let request = self.queue.pop_front();
            if is_ready {
                return request;
            }
        }
    }

    /// The moment as of which the register has to be known.
    pub(crate) fn fresh_as_of(&self) -> Option<Time> {
        self.queue.back().map(|request| request.arrived)
    }

    /// When the oldest one is dropped.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.queue
            .front()
            .map(|request| request.arrived.plus_millis(PENDING_MS))
    }
}
