//! The answer to a client's retry. It depends on the kind of the category and on the known state of the earlier attempt
//! (rule 2 of the dispatcher's contract).

use super::{ClaimOutcome, Completion};

const STATUS_OK: u16 = 200;
const STATUS_WRITTEN_OFF: u16 = 502;

/// The answer to a client's retry of a work item that was claimed before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryAnswer {
    /// The response of the earlier attempt is repeated.
    Repeat {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// The client may retry later; a later retry is harmless.
    RetryLater,
    /// The work item is written off. It may have run, and a retry could run it again.
    WriteOff,
}

/// The rule by which retries of a category are answered.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Time after the claim within which a retry is harmless, seconds. It is set for categories whose work items may be
    /// deferred.
    pub window_s: Option<f64>,
}

impl RetryPolicy {
    /// Returns the answer to a retry, given the outcome of its claim.
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
            // The work item has run but its body was too long to keep, or it is written off already.
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

    /// Returns the answer if the earlier attempt may have run: a retry is harmless only within the window.
    fn answer_uncertain(self, age_ms: u32) -> RetryAnswer {
        let age_s = f64::from(age_ms) / 1e3;
        match self.window_s {
            Some(window_s) if age_s < window_s => RetryAnswer::RetryLater,
            _ => RetryAnswer::WriteOff,
        }
    }
}
