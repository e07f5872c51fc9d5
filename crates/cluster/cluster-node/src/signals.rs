//! Signal handling: SIGTERM and SIGINT shut the process down, SIGHUP reloads its seeds.

use std::path::{Path, PathBuf};

use tokio::signal::unix::{signal, SignalKind};

use sagetrail_protocol::NodeKind;

use crate::identity::seed_nodes;
use crate::input::{Input, Inputs};
use crate::settings::Settings;

/// Starts a task that sends [`Input::Terminate`] on SIGTERM and SIGINT, and [`Input::SeedsChanged`] on SIGHUP. The task
/// ends when the event loop receives no more inputs, or with the runtime.
pub(crate) fn listen(
    inputs: &Inputs,
    settings_path: PathBuf,
    kind: NodeKind,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let inputs = inputs.clone();
    tokio::spawn(async move {
        loop {
            let input = tokio::select! {
                _ = terminate.recv() => Some(Input::Terminate),
                _ = interrupt.recv() => Some(Input::Terminate),
                _ = hangup.recv() => read_seeds(&settings_path, kind),
            };
            if input.is_some_and(|input| inputs.send(input).is_err()) {
                return;
            }
        }
    });
    Ok(())
}

/// Reads the seeds from the settings file. Returns `None` if the file is invalid; the current seeds stay then.
fn read_seeds(settings_path: &Path, kind: NodeKind) -> Option<Input> {
    match Settings::load(settings_path, kind) {
        Ok(settings) => Some(Input::SeedsChanged(seed_nodes(&settings))),
        Err(error) => {
            log::warn!("SIGHUP received, settings not reloaded: error={error}");
            None
        }
    }
}
