//! Counts consecutive quorum reads that found a value undecided, and determines when a round should decide on it.

use sagetrail_protocol::control::ProposalNumber;

/// The number of consecutive reads that found the same value undecided after which a round of the register decides on
/// it, since no other process appears to be deciding on it.
const MAX_STALLED_READS: u32 = 2;
/// The number of consecutive reads that found any value undecided after which a round decides on it.
const MAX_UNDECIDED_READS: u32 = 8;
/// Each failed round doubles both numbers of reads, at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// The consecutive reads that found a value undecided.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UndecidedReads {
    /// The number of consecutive undecided reads.
    count: u32,
    /// How many of the latest undecided reads found the same newest proposal number. If that number rises, another
    /// process is proposing, and a round would only compete with it.
    stalled: u32,
    /// The newest proposal number that the latest undecided read found.
    newest: ProposalNumber,
}

impl UndecidedReads {
    /// Counts an undecided read; `newest` is the highest proposal number in its replies.
    pub(crate) fn record(&mut self, newest: ProposalNumber) {
        self.count += 1;
        self.stalled = if newest == self.newest {
            self.stalled + 1
        } else {
            1
        };
        self.newest = newest;
    }

    /// Whether a round of this process should decide on the value that the reads found undecided. `failures` is the
    /// number of its consecutive failed rounds: they show that other processes compete with it, so it waits longer for
    /// them.
    pub(crate) fn requires_round(&self, failures: u32) -> bool {
        let doublings = failures.min(MAX_DOUBLINGS);
        self.stalled >= MAX_STALLED_READS << doublings
            || self.count >= MAX_UNDECIDED_READS << doublings
    }
}
