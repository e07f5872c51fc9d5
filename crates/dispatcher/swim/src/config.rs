//! Intervals of the failure detector.

/// Intervals and fan-out of the failure detector (SWIM, section 3.1).
#[derive(Clone, Debug, PartialEq)]
pub struct SwimConfig {
    /// The protocol period in seconds: one member is probed in each while local health is good.
    pub probe_interval_s: f64,
    /// How long the ack of a direct ping is waited for, in seconds, before other members are asked to ping.
    pub ack_timeout_s: f64,
    /// How many members are asked to ping (SWIM's k).
    pub indirect_probes: usize,
}

impl Default for SwimConfig {
    /// 0.3 s: a dead one of three members is suspected within a second, at two datagrams a period. 0.1 s: many
    /// round trips on a private network.
    fn default() -> Self {
        SwimConfig {
            probe_interval_s: 0.3,
            ack_timeout_s: 0.1,
            indirect_probes: 3,
        }
    }
}
