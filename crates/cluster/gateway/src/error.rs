//! The errors with which the gateway itself answers a request.

use thiserror::Error;

/// The `Retry-After` time that a rejected client is given, in seconds.
const RETRY_AFTER_S: u32 = 1;
const NOT_FOUND: u16 = 404;
const METHOD_NOT_ALLOWED: u16 = 405;
const PAYLOAD_TOO_LARGE: u16 = 413;
const SERVICE_UNAVAILABLE: u16 = 503;
const GATEWAY_TIMEOUT: u16 = 504;

/// An error that the gateway answers without the scheduler. Its `Display` text is sent to the client.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub(crate) enum GatewayError {
    /// The readiness check fails because the process does not accept clients yet, or no longer does.
    #[error("not ready")]
    NotReady,
    /// No resource is served at this path.
    #[error("not found")]
    NotFound,
    /// Jobs and queues do not support this HTTP method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The body exceeds the limit in the configuration.
    #[error("body too large")]
    BodyTooLarge,
    /// The process has finished its graceful shutdown.
    #[error("ending")]
    ShuttingDown,
    /// The table of pending requests is full.
    #[error("too many requests under way")]
    TooManyPending,
    /// Neither a leader nor a configuration is known yet.
    #[error("no configuration yet")]
    NoConfiguration,
    /// The leader is known but has been silent for too long to be given a new job.
    #[error("the scheduler does not answer")]
    LeaderUnresponsive,
    /// No leader was found in time and no copy of the request is in flight, so the request has no effect.
    #[error("no scheduler")]
    NoLeader,
    /// A copy of the request was sent and its outcome is unknown.
    #[error("no answer in time")]
    OutcomeUnknown,
}

impl GatewayError {
    /// Returns the HTTP status of the answer.
    pub(crate) fn status(self) -> u16 {
        match self {
            GatewayError::NotFound => NOT_FOUND,
            GatewayError::MethodNotAllowed => METHOD_NOT_ALLOWED,
            GatewayError::BodyTooLarge => PAYLOAD_TOO_LARGE,
            GatewayError::OutcomeUnknown => GATEWAY_TIMEOUT,
            GatewayError::NotReady
            | GatewayError::ShuttingDown
            | GatewayError::TooManyPending
            | GatewayError::NoConfiguration
            | GatewayError::LeaderUnresponsive
            | GatewayError::NoLeader => SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the value of the `Retry-After` header, in seconds. It is set for errors after which the request was not
    /// accepted and may be repeated unchanged.
    pub(crate) fn retry_after_s(self) -> Option<u32> {
        match self {
            GatewayError::ShuttingDown
            | GatewayError::TooManyPending
            | GatewayError::NoConfiguration
            | GatewayError::LeaderUnresponsive
            | GatewayError::NoLeader => Some(RETRY_AFTER_S),
            GatewayError::NotReady
            | GatewayError::NotFound
            | GatewayError::MethodNotAllowed
            | GatewayError::BodyTooLarge
            | GatewayError::OutcomeUnknown => None,
        }
    }
}
