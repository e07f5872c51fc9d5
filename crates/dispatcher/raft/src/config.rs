//! The settings of one member.

/// The times of the protocol, in seconds (Raft, 5.6: heartbeat ≪ election timeout ≪ time between failures).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval of a leader's heartbeats, seconds.
    pub heartbeat_s: f64,
    /// Shortest time without a leader after which an election begins, seconds. Each member draws from one to two
    /// times this (Raft, 5.2).
    pub election_timeout_s: f64,
}

impl Default for Timing {
    /// A timeout of five heartbeats: one or two lost ones, or a slow disk, start no election.
    fn default() -> Self {
        Timing {
            heartbeat_s: 0.1,
            election_timeout_s: 0.5,
        }
    }
}

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// This member's identifier.
    pub id: u64,
    /// The identity of this member's disk: a random number, drawn when the disk was blank and stored on it.
    pub disk: u64,
    /// All members, voting or not, this one included.
    pub members: Vec<u64>,
    /// The members that vote until the log says otherwise. The first of them writes the first entry, once all of them
    /// are reachable with blank disks.
    pub initial_voters: Vec<u64>,
    /// Heartbeat interval and election timeout.
    pub timing: Timing,
    /// Seed of the random election timeouts.
    pub seed: u64,
}
