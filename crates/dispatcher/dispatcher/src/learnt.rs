//! What is worth keeping over a planned restart, in a file of its own.

use sagetrail_dispatch::LearnedState;
use std::fs;
use std::path::Path;
use std::time::SystemTime;

const VERSION: u32 = 1;
/// Slots and speeds change with releases and neighbours: what is older than ten minutes is learnt anew sooner
/// than it misleads.
const MOST_AGE_S: f64 = 600.0;
/// A hundred bytes a runner: ten thousand of them.
const MOST_BYTES: u64 = 1 << 20;

pub(crate) fn unix() -> f64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0.0, |unix| unix.as_secs_f64())
}

/// Guards against figures that no runner can have had.
fn sane(learnt: &LearnedState) -> bool {
    let within = |x: f64, least: f64, most: f64| (least..=most).contains(&x);
    learnt
        .category_durations
        .iter()
        .all(|usual| within(usual.seconds, 1e-4, 3600.0))
        && learnt
            .runners
            .iter()
            .all(|r| within(r.slots, 0.0, 4096.0) && within(r.pace, 0.01, 100.0))
}

pub(crate) fn read(path: &Path, deployment: u64) -> Result<LearnedState, String> {
    let size = fs::metadata(path).map_err(|error| error.to_string())?.len();
    if size > MOST_BYTES {
        return Err(format!("{size} bytes are too many"));
    }
    let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let learnt: LearnedState = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let age_s = unix() - learnt.written_at_s;
    match () {
        _ if learnt.version != VERSION => Err(format!("it is of version {}", learnt.version)),
        _ if learnt.deployment != deployment => Err("it is of another deployment".to_string()),
        _ if !(-60.0..=MOST_AGE_S).contains(&age_s) => Err(format!("it is {age_s:.0} s old")),
        _ if !sane(&learnt) => Err("a figure in it is out of range".to_string()),
        _ => Ok(learnt),
    }
}

/// Written whole under another name first: who reads it finds the old one or the new one.
pub(crate) fn write(path: &Path, deployment: u64, learnt: LearnedState) -> Result<(), String> {
    let learnt = LearnedState {
        version: VERSION,
        deployment,
        written_at_s: unix(),
        ..learnt
    };
    let text = serde_json::to_string(&learnt).map_err(|error| error.to_string())?;
    let new = path.with_extension("new");
    fs::write(&new, text)
        .and_then(|()| fs::rename(&new, path))
        .map_err(|error| error.to_string())
}
