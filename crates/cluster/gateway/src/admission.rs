//! Admission: requests that are rejected at once, before anything is sent.

use sagetrail_protocol::client::ClientMethod;

use crate::error::GatewayError;

/// What a request is admitted by, at the moment of its arrival.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Admission {
    /// The longest body, in bytes.
    pub(crate) max_body_bytes: u64,
    /// The graceful shutdown is over.
    pub(crate) is_shut_down: bool,
    /// No further request can be kept.
    pub(crate) is_full: bool,
    /// A configuration has been seen.
    pub(crate) has_configuration: bool,
    /// What is known of the leader.
    pub(crate) leader: LeaderStatus,
}

/// The leader, as a new request finds it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum LeaderStatus {
    /// None is known; a request waits for one for a short time.
    Unknown,
    /// Known, and in contact recently enough for a new job.
    Responsive,
    /// Known, and silent for too long for a new job.
    Unresponsive,
}

impl Admission {
    /// Checks a request.
    ///
    /// # Errors
    /// The reason of the rejection. Nothing was sent: the request has no effect, now or later.
    pub(crate) fn check(
        &self,
        method: ClientMethod,
        body_bytes: usize,
    ) -> Result<(), GatewayError> {
        if body_bytes as u64 > self.max_body_bytes {
            return Err(GatewayError::BodyTooLarge);
        }
        if self.is_shut_down {
            return Err(GatewayError::ShuttingDown);
        }
        if self.is_full {
            return Err(GatewayError::TooManyPending);
        }
        match self.leader {
            LeaderStatus::Unknown if !self.has_configuration => Err(GatewayError::NoConfiguration),
            LeaderStatus::Unresponsive if method == ClientMethod::Submit => {
                Err(GatewayError::LeaderUnresponsive)
            }
            _ => Ok(()),
        }
    }
}
