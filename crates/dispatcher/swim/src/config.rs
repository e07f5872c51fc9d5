//! Configuration of the failure detector.

/// Intervals and fan-out of the failure detector (SWIM, section 3.1).
#[derive(Clone, Debug, PartialEq)]
pub struct SwimConfig {
    /// Protocol period in seconds at the best local health: one member is probed in each period.
    pub probe_interval_s: f64,
    /// Time in seconds to wait for the ack of a direct ping before other members are asked for indirect pings.
    pub ack_timeout_s: f64,
    /// Number of members that are asked for an indirect ping (SWIM's k).
    pub indirect_probes: usize,
}

impl Default for SwimConfig {
    /// With a protocol period of 0.3 s, a dead member of three is suspected within a second, at two datagrams in each
    /// period. The ack time-out of 0.1 s is many round-trip times on a private network.
    fn default() -> Self {
        SwimConfig {
            probe_interval_s: 0.3,
            ack_timeout_s: 0.1,
            indirect_probes: 3,
        }
    }
}
