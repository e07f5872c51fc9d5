//! How far a process is on its way to its end, for all of its tasks.

use tokio::sync::watch;

/// The phases of a process, in their order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Phase {
    /// Takes requests, keeps connections.
    Serving,
    /// Told to end: answers still, but asks callers to connect elsewhere next time.
    Draining,
    /// The logic is done: connections close once their answers are out.
    Closing,
}

/// Sets the phase.
pub type PhaseSender = watch::Sender<Phase>;
/// Reads and awaits the phase.
pub type PhaseReceiver = watch::Receiver<Phase>;

/// A phase to watch, from `Serving` on.
pub fn watch_phase() -> (PhaseSender, PhaseReceiver) {
    watch::channel(Phase::Serving)
}

/// Waits for the phase or a later one.
pub async fn reached(watch: &mut PhaseReceiver, phase: Phase) {
    // An error: the process is ending, so every phase is reached.
    let _ = watch.wait_for(|current| *current >= phase).await;
}
