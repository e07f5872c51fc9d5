//! The phases of a process's shutdown, watched by its tasks. The loop sets them; HTTP connections act on them.

use tokio::sync::watch;

/// The phases of a process, in their order; never goes back.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Phase {
    /// Accepts requests and keeps connections.
    Serving,
    /// Since SIGTERM: still answers, with `Connection: close`.
    Draining,
    /// The logic has finished: connections close once their answers are sent.
    Closing,
}

/// Sets the phase; held by the loop.
pub type PhaseSender = watch::Sender<Phase>;
/// Reads and awaits the phase; held by tasks.
pub type PhaseReceiver = watch::Receiver<Phase>;

/// A phase and its watch, from [`Phase::Serving`] on.
pub fn watch_phase() -> (PhaseSender, PhaseReceiver) {
    watch::channel(Phase::Serving)
}

/// Waits for the phase or a later one.
///
/// # Cancel safety
///
/// Cancel safe: dropping the future loses nothing.
pub async fn reached(watch: &mut PhaseReceiver, phase: Phase) {
    // An error: the sender is dropped with the loop, so every phase is reached.
    let _ = watch.wait_for(|current| *current >= phase).await;
}
