//! The deadlines of one client's request.

use sagetrail_protocol::Time;

/// The client time-out that is assumed if the request does not specify one, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 3000;
/// The longest client time-out that is honoured, in milliseconds; a longer one is reduced to this.
const MAX_TIMEOUT_MS: u64 = 30_000;
/// The margin before the client's time-out at which the gateway answers, in milliseconds. It covers the time that the
/// answer takes to reach the client.
const ANSWER_MARGIN_MS: u64 = 150;

/// The times by which a request must be answered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Deadlines {
    /// When the client stops waiting; the remaining time is sent to the scheduler with the request.
    pub(crate) client: Time,
    /// The latest time at which the gateway answers; it is never later than `client`.
    pub(crate) answer_by: Time,
}

impl Deadlines {
    /// Computes the deadlines of a request that arrives at `now` from a client that waits for `timeout_ms`.
    pub(crate) fn new(now: Time, timeout_ms: Option<u64>) -> Deadlines {
        let timeout_ms = timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).min(MAX_TIMEOUT_MS);
        // With a short time-out the scheduler still gets half of it.
        let answer_ms = timeout_ms
            .saturating_sub(ANSWER_MARGIN_MS)
            .max(timeout_ms / 2);
        Deadlines {
            client: now.plus_millis(timeout_ms),
            answer_by: now.plus_millis(answer_ms),
        }
    }
}
