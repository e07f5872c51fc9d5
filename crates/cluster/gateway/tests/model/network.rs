//! The model's network between gateways and core processes: it loses, delays and reorders messages, and cuts
//! connections for limited times.

use std::collections::BTreeMap;

use sagetrail_protocol::{Message, NodeId};
use sagetrail_test_support::{DelayDistribution, SeededRandom};

const DELAYS: DelayDistribution = DelayDistribution {
    lost_percent: 10,
    late_percent: 15,
    late_min_ms: 100,
    late_spread_ms: 3_000,
};

/// The connection between one gateway and one core process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Connection {
    pub gateway: NodeId,
    pub core_process: NodeId,
}

/// A message in transit.
pub(crate) struct Transmission {
    due_ms: u64,
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
}

#[derive(Default)]
pub(crate) struct Network {
    in_transit: Vec<Transmission>,
    /// The time until which each cut connection loses all messages, in milliseconds.
    cut_until_ms: BTreeMap<Connection, u64>,
}

impl Network {
    pub(crate) fn cut(&mut self, connection: Connection, until_ms: u64) {
        self.cut_until_ms.insert(connection, until_ms);
    }

    /// Sends a message over a connection. The message is dropped if the connection is cut or the loss is drawn.
    pub(crate) fn send(
        &mut self,
        now_ms: u64,
        random: &mut SeededRandom,
        connection: Connection,
        (from, to, message): (NodeId, NodeId, Message),
    ) {
        let is_cut = self
            .cut_until_ms
            .get(&connection)
            .is_some_and(|until_ms| now_ms < *until_ms);
        let delay_ms = random.network_delay_ms(&DELAYS);
        if let (false, Some(delay_ms)) = (is_cut, delay_ms) {
            self.in_transit.push(Transmission {
                due_ms: now_ms + delay_ms,
                from,
                to,
                message,
            });
        }
    }

    /// Removes and returns the messages that arrive by `now_ms`.
    pub(crate) fn arrivals(&mut self, now_ms: u64) -> Vec<Transmission> {
        self.in_transit
            .extract_if(.., |transmission| transmission.due_ms <= now_ms)
            .collect()
    }
}
