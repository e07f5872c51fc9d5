//! Rule 2 for a retry: what is answered, by what its category is and what is known.

use super::{Ended, Outcome};

const STATUS_OK: u16 = 200;
const STATUS_WRITTEN_OFF: u16 = 502;

/// What is answered to a client whose work item somebody else has had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What was answered before.
    Say {
        /// The status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// Harmless to try again later.
    Later,
    /// No promise either way.
    WriteOff,
}

/// How retries of a category are answered.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Ticketed, with a group of all runners: may be deferred within this many seconds.
    pub window_s: Option<f64>,
}

impl RetryPolicy {
    /// The answer to a retry, by what came of the claim.
    pub fn answer(self, outcome: &Outcome) -> Answer {
        match outcome {
            Outcome::Own { .. } | Outcome::TooFew => Answer::Later,
            Outcome::Known { ended, age_ms } => self.answer_ended(ended, *age_ms),
            Outcome::InHand { age_ms } => self.answer_uncertain(*age_ms),
        }
    }

    fn answer_ended(self, ended: &Ended, age_ms: u32) -> Answer {
        match ended {
            Ended {
                status: STATUS_OK,
                body: Some(body),
                ..
            } => Answer::Say {
                status: STATUS_OK,
                body: body.clone(),
            },
            // Done, but what it gave is not here; or given up already: no promise either way.
            Ended {
                status: STATUS_OK | STATUS_WRITTEN_OFF,
                ..
            } => Answer::WriteOff,
            Ended { ran: false, .. } => Answer::Later,
            Ended { ran: true, .. } => self.answer_uncertain(age_ms),
        }
    }

    /// It may have run: harmless to try again only within the window.
    fn answer_uncertain(self, age_ms: u32) -> Answer {
        let age_s = f64::from(age_ms) / 1e3;
        match self.window_s {
            Some(window_s) if age_s < window_s => Answer::Later,
            _ => Answer::WriteOff,
        }
    }
}
