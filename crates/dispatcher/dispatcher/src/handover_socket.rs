//! Where the old and the new process of one address find each other during an upgrade, and the link between them.

use crate::client_context::ClientContext;
use crate::handover::{
    frames, receive, send, Frame, FrameReader, FrameWriter, Peer, PeerRequest, MAX_LINKS,
    MAX_QUEUED_FRAMES, STATE_TIMEOUT, VERSION,
};
use sagetrail_dispatch::HandoverState;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The socket by which a new process finds its predecessor: a common name that points to the newest process's own.
pub(crate) struct HandoverSocket {
    /// A link in the folder for temporary files; points to the newest process's socket.
    common: PathBuf,
    /// This process's socket.
    own: PathBuf,
}

/// A predecessor's link.
pub(crate) struct Predecessor {
    read: FrameReader,
    write: FrameWriter,
    path: Option<PathBuf>,
}

impl HandoverSocket {
    pub(crate) fn new(listen: SocketAddr) -> HandoverSocket {
        let name = format!("sagetrail-{listen}");
        let folder = std::env::temp_dir();
        HandoverSocket {
            common: folder.join(&name),
            own: folder.join(format!("{name}-{}.socket", std::process::id())),
        }
    }

    /// The predecessor's state and the link to it. `None`, a fresh start, where it is gone or does not answer within
    /// [`STATE_TIMEOUT`].
    pub(crate) async fn find(&self) -> Option<(HandoverState, Predecessor)> {
        let path = std::fs::read_link(&self.common).ok();
        let state = async {
            let stream = UnixStream::connect(&self.common).await.ok()?;
            let (mut read, mut write) = frames(stream);
            send(&mut write, &Frame::Hello { version: VERSION })
                .await
                .ok()?;
            match receive(&mut read).await? {
                Frame::State(state) => Some((*state, Predecessor { read, write, path })),
                _ => None,
            }
        };
        let found = timeout(STATE_TIMEOUT, state).await.ok().flatten();
        match &found {
            Some((state, _)) => {
                tracing::info!(
                    "takes over from the predecessor: {} runners",
                    state.runners.len()
                );
            }
            None => tracing::info!("no predecessor answers; starts afresh"),
        }
        found
    }

    /// Takes the common name, by a link of its own that is moved into place.
    fn claim(&self) -> std::io::Result<()> {
        let new = self.own.with_extension("new");
        let _ = std::fs::remove_file(&new);
        std::os::unix::fs::symlink(&self.own, &new)?;
        std::fs::rename(&new, &self.common)
    }

    pub(crate) fn leave(&self) {
        let _ = std::fs::remove_file(&self.own);
    }

    /// Answers those that come after this process.
    pub(crate) async fn keep(
        self: Rc<Self>,
        client_context: Rc<ClientContext>,
        deployment: u64,
        terms: Rc<Vec<u64>>,
    ) {
        let _ = std::fs::remove_file(&self.own);
        let listener = match UnixListener::bind(&self.own)
            .and_then(|listener| self.claim().map(|()| listener))
        {
            Ok(listener) => listener,
            Err(why) => {
                return tracing::warn!(
                    "the next process will start afresh: {}: {why}",
                    self.own.display()
                );
            }
        };
        let places = Arc::new(Semaphore::new(MAX_LINKS));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let (handover_socket, client_context, terms) =
                (self.clone(), client_context.clone(), terms.clone());
            spawn_local(async move {
                let _place = place;
                let (mut read, write) = frames(stream);
                let hello = timeout(STATE_TIMEOUT, receive(&mut read)).await;
                let Ok(Some(Frame::Hello { version: VERSION })) = hello else {
                    return;
                };
                // Linked before it is told: a call in between goes after, and misses neither.
                let linked = Linked::new(true, &client_context);
                let state = client_context
                    .mailbox
                    .ask(move |exchange| exchange.hand_over(&terms))
                    .await;
                let Some((learnt, runners)) = state else {
                    return;
                };
                let state = HandoverState {
                    is_draining: client_context.drained.get(),
                    deployment,
                    learned: learnt,
                    runners,
                };
                tracing::info!("a new process takes over");
                linked.serve(Some(state), read, write).await;
                if !client_context.shutting_down.get() {
                    tracing::warn!("the new process has ended; this one goes on");
                    client_context
                        .mailbox
                        .ask(|exchange| exchange.hand_over_failed())
                        .await;
                    let _ = handover_socket.claim();
                }
            });
        }
    }
}

impl Predecessor {
    /// Keeps up the link until the predecessor has ended.
    pub(crate) async fn keep(self, client_context: Rc<ClientContext>) {
        Linked::new(false, &client_context)
            .serve(None, self.read, self.write)
            .await;
        // One that was killed leaves its name.
        self.path
            .into_iter()
            .for_each(|path| drop(std::fs::remove_file(path)));
        tracing::info!("the predecessor has ended");
    }
}

/// A link, as long as it lasts: whoever waits for the other process then hears that nobody is there.
struct Linked {
    client_context: Rc<ClientContext>,
    peer: Rc<Peer>,
    frames: mpsc::Receiver<Frame>,
}

impl Drop for Linked {
    fn drop(&mut self) {
        let mut linked = self.client_context.handover.peer.borrow_mut();
        if linked
            .as_ref()
            .is_some_and(|other| Rc::ptr_eq(other, &self.peer))
        {
            *linked = None;
        }
        self.peer.unanswered.borrow_mut().clear();
    }
}

impl Linked {
    fn new(newer: bool, client_context: &Rc<ClientContext>) -> Linked {
        let (out, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let peer = Rc::new(Peer {
            newer,
            frames: out,
            unanswered: RefCell::default(),
        });
        client_context.handover.peer.replace(Some(peer.clone()));
        Linked {
            client_context: client_context.clone(),
            peer,
            frames,
        }
    }

    /// Serves the other process until one of the two ends; `first` goes before all that is laid on the link.
    async fn serve(
        mut self,
        first: Option<HandoverState>,
        mut read: FrameReader,
        mut write: FrameWriter,
    ) {
        let (client_context, peer) = (self.client_context.clone(), self.peer.clone());
        let writes = async {
            if let Some(state) = first {
                send(&mut write, &Frame::State(Box::new(state))).await?;
            }
            while let Some(frame) = self.frames.recv().await {
                send(&mut write, &frame).await?;
            }
            std::io::Result::Ok(())
        };
        let reads = async {
            while let Some(frame) = receive(&mut read).await {
                match frame {
                    Frame::Request { no, ask } => {
                        let yes = perform(ask, &client_context).await;
                        let _ = peer.frames.send(Frame::Response { no, yes }).await;
                    }
                    Frame::Response { no, yes } => {
                        let asked = peer.unanswered.borrow_mut().remove(&no);
                        asked.into_iter().for_each(|asked| _ = asked.send(yes));
                    }
                    Frame::Hello { .. } | Frame::State(_) => return,
                }
            }
        };
        // At once, so that two processes that write to each other never wait for each other.
        tokio::select! {
            _ = writes => {}
            () = reads => {}
        }
    }
}

/// Performs a request of the other process. Whether it concerned anything here.
async fn perform(ask: PeerRequest, client_context: &Rc<ClientContext>) -> bool {
    match ask {
        PeerRequest::Callback(callback) => client_context
            .mailbox
            .ask(move |exchange| exchange.callback(callback))
            .await
            .unwrap_or(false),
        PeerRequest::SetMaintenance { id, out } => client_context
            .mailbox
            .ask(move |exchange| exchange.set_out_of_service(&id, out))
            .await
            .unwrap_or(false),
        PeerRequest::Drain(on) => {
            client_context.drain(on);
            true
        }
    }
}
