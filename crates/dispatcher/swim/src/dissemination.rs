//! Dissemination of updates by piggybacking (SWIM, section 4.1).

use crate::message::Update;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// An update is transmitted this number times log2(n) times, where n is the number of members (SWIM's lambda).
const TRANSMISSIONS_PER_LOG_N: f64 = 4.0;
/// Maximum number of updates in one message: at about 20 bytes each they fill a third of a datagram.
pub(crate) const MAX_PIGGYBACKED: usize = 20;

struct QueuedUpdate {
    update: Update,
    transmissions_left: u32,
}

/// Updates that must still be transmitted, at most one for each member.
pub(crate) struct DisseminationQueue {
    /// Number of transmissions of each update.
    transmissions: u32,
    /// Queued updates by the roster index of the member that they are about.
    queued: BTreeMap<usize, QueuedUpdate>,
}

impl DisseminationQueue {
    pub(crate) fn new(member_count: usize) -> Self {
        let log_n = (member_count as f64).log2().max(1.0);
        DisseminationQueue {
            transmissions: (TRANSMISSIONS_PER_LOG_N * log_n).ceil() as u32,
            queued: BTreeMap::new(),
        }
    }

    /// Queues an update about a member and replaces an earlier one.
    pub(crate) fn enqueue(&mut self, member: usize, update: Update) {
        let queued = QueuedUpdate {
            update,
            transmissions_left: self.transmissions,
        };
        self.queued.insert(member, queued);
    }

    /// Takes the updates for the next message: those that were transmitted least often come first.
    pub(crate) fn take_for_message(&mut self) -> Vec<Update> {
        let mut order: Vec<(Reverse<u32>, usize)> = self
            .queued
            .iter()
            .map(|(member, queued)| (Reverse(queued.transmissions_left), *member))
            .collect();
        order.sort_unstable();
        order.truncate(MAX_PIGGYBACKED);
        order
            .into_iter()
            .filter_map(|(_, member)| self.transmit(member))
            .collect()
    }

    fn transmit(&mut self, member: usize) -> Option<Update> {
        let queued = self.queued.get_mut(&member)?;
        let update = queued.update;
        queued.transmissions_left -= 1;
        if queued.transmissions_left == 0 {
            self.queued.remove(&member);
        }
        Some(update)
    }
}
