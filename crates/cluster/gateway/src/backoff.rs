//! Exponential backoff between the attempts of one request.

/// Delay of the first retry, in milliseconds; each later delay is twice as long.
const FIRST_DELAY_MS: u64 = 250;
/// The longest delay between two attempts, in milliseconds.
const MAX_DELAY_MS: u64 = 1000;

/// The delays between the attempts of one request: no jitter, so that a retry time follows from the last attempt alone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct RetryBackoff {
    next_ms: u64,
}

impl Default for RetryBackoff {
    fn default() -> RetryBackoff {
        RetryBackoff {
            next_ms: FIRST_DELAY_MS,
        }
    }
}

impl RetryBackoff {
    /// The delay before the next attempt, in milliseconds. Doubles the one after it.
    pub(crate) fn next_delay_ms(&mut self) -> u64 {
        let delay_ms = self.next_ms;
        self.next_ms = (delay_ms * 2).min(MAX_DELAY_MS);
        delay_ms
    }
}
