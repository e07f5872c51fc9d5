//! Exponential backoff between the attempts of one request.

/// The delay before the first retry, in milliseconds; each later delay is twice as long as the one before it.
const FIRST_DELAY_MS: u64 = 250;
/// The longest delay between two attempts, in milliseconds.
const MAX_DELAY_MS: u64 = 1000;

/// Computes the delays between the attempts of one request. The delays have no jitter, so that the time of a retry
/// depends on the last attempt alone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct RetryBackoff {
    next_retry_delay_ms: u64,
}

impl Default for RetryBackoff {
    fn default() -> RetryBackoff {
        RetryBackoff {
            next_retry_delay_ms: FIRST_DELAY_MS,
        }
    }
}

impl RetryBackoff {
    /// Returns the delay before the next attempt, in milliseconds, and doubles the following one up to the maximum.
    pub(crate) fn next_delay_ms(&mut self) -> u64 {
        let delay_ms = self.next_retry_delay_ms;
        self.next_retry_delay_ms = (delay_ms * 2).min(MAX_DELAY_MS);
        delay_ms
    }
}
