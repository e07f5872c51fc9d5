//! Admission control: rejects requests on arrival, before a copy is sent to the scheduler.

use sagetrail_protocol::client::ClientMethod;

use crate::error::GatewayError;

/// The gateway state that decides whether an arriving request is admitted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Admission {
    /// The longest body that is accepted, in bytes.
    pub(crate) max_body_bytes: u64,
    /// True once the graceful shutdown is over.
    pub(crate) is_shut_down: bool,
    /// True if the table of pending requests has no room for another request.
    pub(crate) is_full: bool,
    /// True once a configuration version has been received.
    pub(crate) has_configuration: bool,
    /// The status of the leader, which determines whether a new job can be accepted.
    pub(crate) leader: LeaderStatus,
}

/// The status of the leader when a request arrives.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum LeaderStatus {
    /// No leader is known; an admitted request waits a short time for one.
    Unknown,
    /// The leader is known and has sent a message recently enough to be given a new job.
    Responsive,
    /// The leader is known but has been silent for too long to be given a new job.
    Unresponsive,
}

impl Admission {
    /// Checks whether a request with this method and body length, in bytes, is admitted.
    ///
    /// # Errors
    /// Returns the reason for the rejection. No copy of the request has been sent, so it has no effect now or later.
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
