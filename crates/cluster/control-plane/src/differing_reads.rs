//! Quorum reads that found a value undecided, one after the other, and when a round should decide on it.

use sagetrail_protocol::control::ProposalNumber;

/// After this many reads in a row that found the same value undecided, a round of the register decides on it: nobody
/// else is about to.
const MAX_STALLED_READS: u32 = 2;
/// The same for reads in a row that found any value undecided.
const MAX_DIFFERING_READS: u32 = 8;
/// Each failed round doubles both numbers, this many times at the most.
const MAX_DOUBLINGS: u32 = 3;

/// Reads in a row whose replies differed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DifferingReads {
    /// How many there were.
    count: u32,
    /// How many of the last ones found the same newest proposal number. Where it rises, another process is proposing, and a
    /// round would only compete with it.
    stalled: u32,
    newest: ProposalNumber,
}

impl DifferingReads {
    /// Counts a read whose replies differed; `newest`: the highest proposal number in them.
    pub(crate) fn record(&mut self, newest: ProposalNumber) {
        self.count += 1;
        self.stalled = if newest == self.newest {
            self.stalled + 1
        } else {
            1
        };
        self.newest = newest;
    }

    /// Whether a round of this process should decide what the reads leave undecided. After `failures` of its rounds in
    /// a row others are competing with it, and it waits longer for them.
    pub(crate) fn need_a_round(&self, failures: u32) -> bool {
        let doublings = failures.min(MAX_DOUBLINGS);
        self.stalled >= MAX_STALLED_READS << doublings
            || self.count >= MAX_DIFFERING_READS << doublings
    }
}
