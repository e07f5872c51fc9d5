//! Configuration of one member.

/// Timing of the protocol, in seconds. Raft (5.6) requires: heartbeat ≪ election timeout ≪ time between failures.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of a leader, seconds.
    pub heartbeat_s: f64,
    /// Shortest time without a message from a leader after which a member starts an election, seconds. Each member
    /// draws its timeout at random between one and two times this value (Raft, 5.2).
    pub election_timeout_s: f64,
}

impl Default for Timing {
    /// The election timeout is five heartbeats, so that one or two lost heartbeats or a slow disk start no election.
    fn default() -> Self {
        Timing {
            heartbeat_s: 0.1,
            election_timeout_s: 0.5,
        }
    }
}

/// Configuration of one member.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// This member's identifier.
    pub id: u64,
    /// Identifier of this member's disk: a random number that was drawn when the disk was blank, and is stored on it.
    pub disk: u64,
    /// Identifiers of all members: voters and learners, including this member.
    pub members: Vec<u64>,
    /// Identifiers of the members that vote until an entry of the log sets other voters. The first of them writes the
    /// first entry, once all of them are reachable and have blank disks.
    pub initial_voters: Vec<u64>,
    /// Heartbeat interval and election timeout.
    pub timing: Timing,
    /// Seed of the random generator that draws the election timeouts and the process's nonce.
    pub seed: u64,
}
