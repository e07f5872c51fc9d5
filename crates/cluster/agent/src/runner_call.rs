//! The paths on which a runner calls its agent.

/// The longest id of a runner's instance, in bytes.
pub const MAX_INSTANCE_BYTES: usize = 256;
/// The beginning of each path.
const PREFIX: &str = "/v1/instances/";
/// The end of the path of a heartbeat.
const HEARTBEAT: &str = "heartbeat";
/// The end of the path of a deregistration.
const DEREGISTER: &str = "deregister";

/// What a runner calls its agent for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum RunnerCall<'a> {
    /// The runner lives; the body is a heartbeat.
    Heartbeat {
        /// The runner's instance.
        instance: &'a str,
    },
    /// The runner shuts down, and may serve on for a while.
    Deregister {
        /// The runner's instance.
        instance: &'a str,
    },
}

impl RunnerCall<'_> {
    /// The call that a path names; `None` for any other path.
    pub(crate) fn parse(path: &str) -> Option<RunnerCall<'_>> {
        let (instance, verb) = path.strip_prefix(PREFIX)?.split_once('/')?;
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
