//! Where the connections lay their calls on the state that one task owns.

use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

type Call<X> = Box<dyn FnOnce(&mut X)>;

/// Where the connections lay their calls on the exchange, and where the operators lay theirs, which go first:
/// guards against a yes that waits behind a full mailbox.
pub(crate) struct Mailbox<X> {
    calls: mpsc::Sender<Call<X>>,
    first: mpsc::Sender<Call<X>>,
}

/// What lies on the mailbox.
pub(crate) struct Calls<X> {
    calls: mpsc::Receiver<Call<X>>,
    first: mpsc::Receiver<Call<X>>,
}

impl<X: 'static> Calls<X> {
    pub(crate) async fn next(&mut self) -> Option<Call<X>> {
        tokio::select! {
            biased;
            call = self.first.recv() => call,
            call = self.calls.recv() => call,
        }
    }

    pub(crate) fn at_hand(&mut self) -> Option<Call<X>> {
        self.first
            .try_recv()
            .or_else(|_| self.calls.try_recv())
            .ok()
    }
}

impl<X> Clone for Mailbox<X> {
    fn clone(&self) -> Self {
        Mailbox {
            calls: self.calls.clone(),
            first: self.first.clone(),
        }
    }
}

impl<X: 'static> Mailbox<X> {
    /// More than there are connections: each lays down one call at a time.
    const MOST: usize = 4096;

    /// More than an admin API has places.
    const FIRST: usize = 64;

    pub(crate) fn new() -> (Mailbox<X>, Calls<X>) {
        let (to_calls, calls) = mpsc::channel(Self::MOST);
        let (to_first, first) = mpsc::channel(Self::FIRST);
        (
            Mailbox {
                calls: to_calls,
                first: to_first,
            },
            Calls { calls, first },
        )
    }

    /// Asks the exchange something ahead of all else; `None` if it could not answer.
    pub(crate) async fn ask<T: 'static>(
        &self,
        ask: impl FnOnce(&mut X) -> T + 'static,
    ) -> Option<T> {
        let (tell, told) = oneshot::channel();
        let call = Box::new(move |owner: &mut X| drop(tell.send(ask(owner))));
        self.first.send(call).await.ok()?;
        told.await.ok()
    }

    pub(crate) async fn call(&self, call: impl FnOnce(&mut X) + 'static) {
        let _ = self.calls.send(Box::new(call)).await;
    }

    /// The same from where nothing can wait.
    pub(crate) fn put(&self, call: impl FnOnce(&mut X) + 'static) {
        if let Err(mpsc::error::TrySendError::Full(call)) = self.calls.try_send(Box::new(call)) {
            let mailbox = self.calls.clone();
            spawn_local(async move { drop(mailbox.send(call).await) });
        }
    }
}
