//! Requests whose senders have seen a newer configuration than this process. They wait until this process has read the
//! register again.

use std::collections::VecDeque;

use sagetrail_protocol::{Message, NodeId, Time};

use crate::register_view::RegisterView;
use crate::timing::PENDING_MS;

/// The maximum number of waiting requests; further ones are dropped.
const MAX_PENDING: usize = 256;

/// A request that waits for a fresh register view.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// The gateway that sent the request.
    pub from: NodeId,
    /// The request.
    pub message: Message,
    /// When the request arrived.
    arrived: Time,
}

/// The waiting requests, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    queue: VecDeque<PendingRequest>,
}

impl PendingRequests {
    /// Queues a request, or drops it if `MAX_PENDING` requests wait already.
    pub(crate) fn push(&mut self, arrived: Time, from: NodeId, message: Message) {
        if self.queue.len() < MAX_PENDING {
            self.queue.push_back(PendingRequest {
                from,
                message,
                arrived,
            });
        }
    }

    /// Takes the oldest request if the register view is fresh enough for it. Requests that have waited for `PENDING_MS`
    /// are dropped.
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

    /// The moment up to which the waiting requests need the register view to be complete; `None` if there are none.
    pub(crate) fn fresh_as_of(&self) -> Option<Time> {
        self.queue.back().map(|request| request.arrived)
    }

    /// When the oldest request is dropped.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.queue
            .front()
            .map(|request| request.arrived.plus_millis(PENDING_MS))
    }
}
