//! The network between runner, agent and scheduler, which loses, delays and reorders transmissions.

use sagetrail_protocol::node::{HealthCheckId, HealthCheckResult};
use sagetrail_protocol::Message;
use sagetrail_test_support::{DelayDistribution, SeededRandom};

const DELAYS: DelayDistribution = DelayDistribution {
    lost_percent: 6,
    late_percent: 10,
    late_min_ms: 200,
    late_spread_ms: 1_400,
};

/// A heartbeat in transit.
pub(crate) struct HeartbeatCall {
    /// The incarnation of the agent to which the heartbeat is addressed; `None` for whichever incarnation is running.
    pub agent: Option<u64>,
    pub runner: u64,
    pub sequence: u64,
    pub instance: String,
    pub body: Vec<u8>,
}

/// A transmission in transit. Agents are identified by their incarnation, runners by their number.
pub(crate) enum Transmission {
    Heartbeat(HeartbeatCall),
    HeartbeatAnswer {
        runner: u64,
        sequence: u64,
        body: Vec<u8>,
    },
    Deregister {
        runner: u64,
        instance: String,
    },
    Deregistered {
        runner: u64,
    },
    ToAgent {
        agent: u64,
        message: Message,
    },
    ToScheduler {
        term: u64,
        message: Message,
    },
    HealthCheck {
        agent: u64,
        id: HealthCheckId,
    },
    HealthCheckResult {
        agent: u64,
        id: HealthCheckId,
        result: HealthCheckResult,
    },
}

struct InTransit {
    due_ms: u64,
    transmission: Transmission,
}

#[derive(Default)]
pub(crate) struct Network {
    in_transit: Vec<InTransit>,
}

impl Network {
    /// Sends a transmission, which may be lost.
    pub(crate) fn send(
        &mut self,
        now_ms: u64,
        random: &mut SeededRandom,
        transmission: Transmission,
    ) {
        if let Some(delay_ms) = random.network_delay_ms(&DELAYS) {
            self.send_at(now_ms + delay_ms, transmission);
        }
    }

    /// Sends a transmission that arrives at a given time.
    pub(crate) fn send_at(&mut self, due_ms: u64, transmission: Transmission) {
        self.in_transit.push(InTransit {
            due_ms,
            transmission,
        });
    }

    /// Returns the transmissions that have arrived by now.
    pub(crate) fn arrivals(&mut self, now_ms: u64) -> Vec<Transmission> {
        self.in_transit
            .extract_if(.., |in_transit| in_transit.due_ms <= now_ms)
            .map(|in_transit| in_transit.transmission)
            .collect()
    }
}
