//! The HTTP paths on which a runner calls its agent.

/// The maximum length of a runner's instance id, in bytes.
pub const MAX_INSTANCE_BYTES: usize = 256;
/// The prefix of each path.
const PATH_PREFIX: &str = "/v1/instances/";
/// The last segment of the path of a heartbeat.
const HEARTBEAT: &str = "heartbeat";
/// The last segment of the path of a deregistration.
const DEREGISTER: &str = "deregister";

/// A call from a runner to its agent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum RunnerCall<'a> {
    /// The runner is alive; the request body is its heartbeat.
    Heartbeat {
        /// The id of the runner's instance.
        instance: &'a str,
    },
    /// The runner shuts down; it may continue to serve for a while.
    Deregister {
        /// The id of the runner's instance.
        instance: &'a str,
    },
}

impl RunnerCall<'_> {
    /// Parses the path of a call; returns `None` if the path names no call.
    pub(crate) fn parse(path: &str) -> Option<RunnerCall<'_>> {
        let (instance, verb) = path.strip_prefix(PATH_PREFIX)?.split_once('/')?;
        if instance.is_empty() || instance.len() > MAX_INSTANCE_BYTES {
            return None;
        }
        match verb {
            HEARTBEAT => Some(RunnerCall::Heartbeat { instance }),
            DEREGISTER => Some(RunnerCall::Deregister { instance }),
            _ => None,
        }
    }
}
