//! The paths on which a runner calls its agent.

/// The longest id of a runner, in bytes.
pub const MAX_INSTANCE_BYTES: usize = 256;
/// What each path begins with.
const PREFIX: &str = "/v1/instances/";
/// What the path of a heartbeat ends with.
const HEARTBEAT: &str = "heartbeat";
/// What the path of a deregistration ends with.
const DEREGISTER: &str = "deregister";

/// What a runner asks of its agent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Call<'a> {
    /// Says that the runner lives.
    Heartbeat { instance: &'a str },
    /// Says that the runner ends.
    Deregister { instance: &'a str },
}

impl Call<'_> {
    /// The call that a path names; `None` for any other path.
    pub(crate) fn parse(path: &str) -> Option<Call<'_>> {
        let (instance, verb) = path.strip_prefix(PREFIX)?.split_once('/')?;
        if instance.is_empty() || instance.len() > MAX_INSTANCE_BYTES {
            return None;
        }
        match verb {
            HEARTBEAT => Some(Call::Heartbeat { instance }),
            DEREGISTER => Some(Call::Deregister { instance }),
            _ => None,
        }
    }
}
