//! Signals: SIGTERM and SIGINT end the process, SIGHUP reloads its seeds.

use std::path::{Path, PathBuf};

use tokio::signal::unix::{signal, SignalKind};

use sagetrail_protocol::NodeKind;

use crate::identity::seed_nodes;
use crate::input::{Input, Inputs};
use crate::settings::Settings;

/// Handles signals from now on: SIGTERM and SIGINT as [`Input::Terminate`], SIGHUP as [`Input::SeedsChanged`]. The task
/// ends when the process takes no inputs, or with the runtime.
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

/// The seeds in the settings file; `None` where it is invalid, and the current ones stay.
fn read_seeds(settings_path: &Path, kind: NodeKind) -> Option<Input> {
    match Settings::load(settings_path, kind) {
        Ok(settings) => Some(Input::SeedsChanged(seed_nodes(&settings))),
        Err(error) => {
            log::warn!("SIGHUP received, settings not reloaded: error={error}");
            None
        }
    }
}
