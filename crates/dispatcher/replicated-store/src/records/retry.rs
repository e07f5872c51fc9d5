//! The answer to a retry, by the kind of its category and what is known about the earlier attempt (rule 2 of the
//! dispatcher's contract).

use super::{ClaimOutcome, Completion};

const STATUS_OK: u16 = 200;
const STATUS_WRITTEN_OFF: u16 = 502;

/// The answer to a client whose work item another dispatcher has, or had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryAnswer {
    /// The answer of the earlier attempt.
    Repeat {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// A later retry is harmless.
    RetryLater,
    /// The work item is written off: it may or may not have run, and a retry could run it again.
    WriteOff,
}

/// How retries of a category are answered.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// For categories whose work items may be deferred: a retry is harmless within this time of the claim, seconds.
    pub window_s: Option<f64>,
}

impl RetryPolicy {
    /// The answer to a retry, by the outcome of its claim.
    pub fn answer(self, outcome: &ClaimOutcome) -> RetryAnswer {
        match outcome {
            ClaimOutcome::Owned { .. } | ClaimOutcome::NoQuorum => RetryAnswer::RetryLater,
            ClaimOutcome::Completed { completion, age_ms } => {
                self.answer_completed(completion, *age_ms)
            }
            ClaimOutcome::InFlight { age_ms } => self.answer_uncertain(*age_ms),
        }
    }

    fn answer_completed(self, completion: &Completion, age_ms: u32) -> RetryAnswer {
        match completion {
            Completion {
                status: STATUS_OK,
                body: Some(body),
                ..
            } => RetryAnswer::Repeat {
                status: STATUS_OK,
                body: body.clone(),
            },
            // Done, but the body was too long to keep; or written off already.
            Completion {
                status: STATUS_OK | STATUS_WRITTEN_OFF,
                ..
            } => RetryAnswer::WriteOff,
            Completion {
                may_have_run: false,
                ..
            } => RetryAnswer::RetryLater,
            Completion {
                may_have_run: true, ..
            } => self.answer_uncertain(age_ms),
        }
    }

    /// The earlier attempt may have run: a retry is harmless only within the window.
    fn answer_uncertain(self, age_ms: u32) -> RetryAnswer {
        let age_s = f64::from(age_ms) / 1e3;
        match self.window_s {
            Some(window_s) if age_s < window_s => RetryAnswer::RetryLater,
            _ => RetryAnswer::WriteOff,
        }
    }
}
