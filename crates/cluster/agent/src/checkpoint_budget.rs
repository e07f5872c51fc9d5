//! Limits the checkpoints that a heartbeat brings in. A checkpoint that is too long is left out alone: its run then
//! resumes from an earlier one, which costs less than a heartbeat that is not acknowledged.

use sagetrail_protocol::Text;

/// The maximum length of a checkpoint, in bytes.
const MAX_CHECKPOINT_BYTES: usize = 64 << 10;
/// The maximum length of all checkpoints of a heartbeat together, in bytes. They all go into one report.
const MAX_TOTAL_BYTES: usize = 2 << 20;

/// The remaining length for the checkpoints of one heartbeat.
#[derive(Debug)]
pub(crate) struct CheckpointBudget {
    remaining_bytes: usize,
    dropped: u64,
}

impl Default for CheckpointBudget {
    fn default() -> CheckpointBudget {
        CheckpointBudget {
            remaining_bytes: MAX_TOTAL_BYTES,
            dropped: 0,
        }
    }
}

impl CheckpointBudget {
    /// Returns the checkpoint, or an empty text if it is too long.
    pub(crate) fn admit(&mut self, checkpoint: String) -> Text {
        if checkpoint.len() > MAX_CHECKPOINT_BYTES.min(self.remaining_bytes) {
            self.dropped += 1;
            return Text::default();
        }
        self.remaining_bytes -= checkpoint.len();
        Text(checkpoint)
    }

    /// Returns the number of checkpoints that were too long.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped
    }
}
