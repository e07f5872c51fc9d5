//! File with the learned state, which is kept over a planned restart.

use sagetrail_dispatch::LearnedState;
use std::fs;
use std::path::Path;
use std::time::SystemTime;

/// Version of the form of the file.
const VERSION: u32 = 1;
/// Greatest age in seconds of a file that is used. Slots and speeds of runners change with releases and with other
/// load, so older values mislead longer than it takes to learn them again.
const MAX_AGE_S: f64 = 600.0;
/// Longest file in bytes: about a hundred bytes for each of ten thousand runners.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Unix time in seconds.
pub(crate) fn unix_now_s() -> f64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0.0, |unix| unix.as_secs_f64())
}

/// Whether all values are in the range that runners can have.
fn is_plausible(learned: &LearnedState) -> bool {
    let within = |x: f64, min: f64, max: f64| (min..=max).contains(&x);
    learned
        .category_durations
        .iter()
        .all(|usual| within(usual.seconds, 1e-4, 3600.0))
        && learned
            .runners
            .iter()
            .all(|r| within(r.slots, 0.0, 4096.0) && within(r.pace, 0.01, 100.0))
}

/// Reads the file, unless it is too large or too old, or of another version or deployment.
pub(crate) fn read(path: &Path, deployment: u64) -> Result<LearnedState, String> {
    let size = fs::metadata(path).map_err(|error| error.to_string())?.len();
    if size > MAX_FILE_BYTES {
        return Err(format!("file has {size} bytes, limit is {MAX_FILE_BYTES}"));
    }
    let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let learned: LearnedState = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let age_s = unix_now_s() - learned.written_at_s;
    match () {
        _ if learned.version != VERSION => Err(format!(
            "version is {}, expected {VERSION}",
            learned.version
        )),
        _ if learned.deployment != deployment => Err("file is of another deployment".to_string()),
        _ if !(-60.0..=MAX_AGE_S).contains(&age_s) => Err(format!(
            "file is {age_s:.0} s old, limit is {MAX_AGE_S:.0} s"
        )),
        _ if !is_plausible(&learned) => Err("a value is out of range".to_string()),
        _ => Ok(learned),
    }
}

/// Writes the file under another name and renames it, so that a reader finds the old or the new content.
pub(crate) fn write(path: &Path, deployment: u64, learned: LearnedState) -> Result<(), String> {
    let learned = LearnedState {
        version: VERSION,
        deployment,
        written_at_s: unix_now_s(),
        ..learned
    };
    let text = serde_json::to_string(&learned).map_err(|error| error.to_string())?;
    let new_path = path.with_extension("new");
    fs::write(&new_path, text)
        .and_then(|()| fs::rename(&new_path, path))
        .map_err(|error| error.to_string())
}
