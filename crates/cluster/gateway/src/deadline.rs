//! The deadlines of one client's request.

use sagetrail_protocol::Time;

/// Time that a client waits if it names none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 3000;
/// The longest time that a client is served, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 30_000;
/// The answer is sent this long before the client stops waiting, in milliseconds: it has to travel back.
const ANSWER_MARGIN_MS: u64 = 150;

/// Until when a request makes sense.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Deadlines {
    /// When the client stops waiting; the scheduler learns how long that is.
    pub(crate) client: Time,
    /// When the gateway answers at the latest; before `client`.
    pub(crate) answer_by: Time,
}

impl Deadlines {
    /// The deadlines of a request that arrives at `now` from a client that waits for `timeout_ms`.
    pub(crate) fn new(now: Time, timeout_ms: Option<u64>) -> Deadlines {
        let timeout_ms = timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).min(MAX_TIMEOUT_MS);
        // A client with a short timeout still leaves half of it for the scheduler.
        let answer_ms = timeout_ms
            .saturating_sub(ANSWER_MARGIN_MS)
            .max(timeout_ms / 2);
        Deadlines {
            client: now.plus_millis(timeout_ms),
            answer_by: now.plus_millis(answer_ms),
        }
    }
}
