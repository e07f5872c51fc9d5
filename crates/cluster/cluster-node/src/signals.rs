//! What the platform says by signals.

use std::path::{Path, PathBuf};

use tokio::signal::unix::{signal, SignalKind};

use sagetrail_protocol::NodeKind;

use crate::identity::seed_nodes;
use crate::input::{Input, Inputs};
use crate::settings::Settings;

/// Hears signals from now on: SIGTERM and SIGINT ask the process to end, SIGHUP to read its seeds anew.
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

/// The seeds that the settings name now; `None` where they cannot be read, and the former ones stay.
fn read_seeds(settings_path: &Path, kind: NodeKind) -> Option<Input> {
    match Settings::load(settings_path, kind) {
        Ok(settings) => Some(Input::Seeds(seed_nodes(&settings))),
        Err(error) => {
            log::warn!("SIGHUP: the settings stay as they were: {error}");
            None
        }
    }
}
