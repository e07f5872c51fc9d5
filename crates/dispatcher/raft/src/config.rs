//! What a member is started with.

/// Times in seconds. A follower that hears no leader asks for votes after `election_timeout_s` to twice that.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval of a leader's heartbeats.
    pub heartbeat_s: f64,
    /// Shortest time without a leader after which an election begins.
    pub election_timeout_s: f64,
}

impl Default for Timing {
    /// A timeout of five heartbeats, so that one or two lost ones, or a slow disk, unseat no leader.
    fn default() -> Self {
        Timing {
            heartbeat_s: 0.1,
            election_timeout_s: 0.5,
        }
    }
}

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// This member.
    pub me: u64,
    /// The disk's identity, drawn when the disk was blank; it stands on it.
    pub disk: u64,
    /// All members, voters or not, this one included.
    pub members: Vec<u64>,
    /// Who votes, until it is agreed otherwise; the first of them founds the log once it has heard them all.
    pub founders: Vec<u64>,
    /// Heartbeat and election timeout.
    pub timing: Timing,
    /// Seed of the random election timeouts.
    pub seed: u64,
}
