//! Queue of calls on state that one task owns.

use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

type Call<X> = Box<dyn FnOnce(&mut X)>;

/// Sending side. Calls of operators go first, in a queue of their own, so that their confirmation does not wait behind
/// a full queue.
pub(crate) struct Mailbox<X> {
    calls: mpsc::Sender<Call<X>>,
    urgent: mpsc::Sender<Call<X>>,
}

/// Receiving side.
pub(crate) struct Calls<X> {
    calls: mpsc::Receiver<Call<X>>,
    urgent: mpsc::Receiver<Call<X>>,
}

impl<X: 'static> Calls<X> {
    /// Waits for the next call; `None` once all senders are dropped.
    pub(crate) async fn next(&mut self) -> Option<Call<X>> {
        tokio::select! {
            biased;
            call = self.urgent.recv() => call,
            call = self.calls.recv() => call,
        }
    }

    /// The next call if one is queued.
    pub(crate) fn try_next(&mut self) -> Option<Call<X>> {
        self.urgent
            .try_recv()
            .or_else(|_| self.calls.try_recv())
            .ok()
    }
}

impl<X> Clone for Mailbox<X> {
    fn clone(&self) -> Self {
        Mailbox {
            calls: self.calls.clone(),
            urgent: self.urgent.clone(),
        }
    }
}

impl<X: 'static> Mailbox<X> {
    /// Capacity for calls: more than there are connections, each of which queues one call at a time.
    const CAPACITY: usize = 4096;

    /// Capacity for urgent calls: more than the connections of the admin API.
    const URGENT_CAPACITY: usize = 64;

    pub(crate) fn new() -> (Mailbox<X>, Calls<X>) {
        let (calls_sender, calls) = mpsc::channel(Self::CAPACITY);
        let (urgent_sender, urgent) = mpsc::channel(Self::URGENT_CAPACITY);
        (
            Mailbox {
                calls: calls_sender,
                urgent: urgent_sender,
            },
            Calls { calls, urgent },
        )
    }

    /// Makes an urgent call and waits for its result; `None` if the owner did not answer.
    pub(crate) async fn ask<T: 'static>(
        &self,
        ask: impl FnOnce(&mut X) -> T + 'static,
    ) -> Option<T> {
        let (sender, result) = oneshot::channel();
        let call = Box::new(move |owner: &mut X| drop(sender.send(ask(owner))));
        self.urgent.send(call).await.ok()?;
        result.await.ok()
    }

    /// Queues a call and waits while the queue is full.
    pub(crate) async fn call(&self, call: impl FnOnce(&mut X) + 'static) {
        let _ = self.calls.send(Box::new(call)).await;
    }

    /// Queues a call without waiting; if the queue is full, a task queues it later.
    pub(crate) fn put(&self, call: impl FnOnce(&mut X) + 'static) {
        if let Err(mpsc::error::TrySendError::Full(call)) = self.calls.try_send(Box::new(call)) {
            let mailbox = self.calls.clone();
            spawn_local(async move { drop(mailbox.send(call).await) });
        }
    }
}
