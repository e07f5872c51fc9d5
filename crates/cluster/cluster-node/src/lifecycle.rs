//! The phases of a process's shutdown. The event loop sets the phase; HTTP listeners and connections react to it.

use tokio::sync::watch;

/// The phase of a process. Phases follow each other in this order, and a process never returns to an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Phase {
    /// The process accepts requests and keeps connections open.
    Serving,
    /// SIGTERM was received. The process still answers requests, with `Connection: close`.
    Draining,
    /// The logic has finished. Connections close once their responses are sent.
    Closing,
}

/// The side of the event loop, which sets the phase.
pub type PhaseSender = watch::Sender<Phase>;
/// The side of the tasks, which read the phase and wait for it.
pub type PhaseReceiver = watch::Receiver<Phase>;

/// Creates a watch channel that starts with [`Phase::Serving`].
pub fn watch_phase() -> (PhaseSender, PhaseReceiver) {
    watch::channel(Phase::Serving)
}

/// Waits until the process is in this phase or a later one.
///
/// # Cancel safety
///
/// Cancel safe: dropping the future loses nothing.
pub async fn reached(watch: &mut PhaseReceiver, phase: Phase) {
    // This fails only if the sender was dropped with the event loop. Every phase counts as reached then.
    let _ = watch.wait_for(|current| *current >= phase).await;
}
