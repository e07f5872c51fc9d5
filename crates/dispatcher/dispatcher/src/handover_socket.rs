//! Unix socket by which the old and the new process of an address find each other during an upgrade, and the connection
//! between them.

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

/// Socket by which a new process finds its predecessor: a symbolic link with a fixed name that points to the socket of
/// the newest process.
pub(crate) struct HandoverSocket {
    /// The symbolic link, in the folder for temporary files.
    link_path: PathBuf,
    /// Socket of this process.
    own_path: PathBuf,
}

/// Connection to the predecessor.
pub(crate) struct Predecessor {
    read: FrameReader,
    write: FrameWriter,
    /// Socket of the predecessor.
    path: Option<PathBuf>,
}

impl HandoverSocket {
    /// Paths for the dispatcher whose clients' address is `listen`.
    pub(crate) fn new(listen: SocketAddr) -> HandoverSocket {
        let name = format!("sagetrail-{listen}");
        let folder = std::env::temp_dir();
        HandoverSocket {
            link_path: folder.join(&name),
            own_path: folder.join(format!("{name}-{}.socket", std::process::id())),
        }
    }

    /// The predecessor's state and the connection to it. `None` if there is no predecessor or it does not respond
    /// within [`STATE_TIMEOUT`]; then this process starts without history.
    pub(crate) async fn find(&self) -> Option<(HandoverState, Predecessor)> {
        let path = std::fs::read_link(&self.link_path).ok();
        let state = async {
            let stream = UnixStream::connect(&self.link_path).await.ok()?;
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
                    "took over from the predecessor: runners={}",
                    state.runners.len()
                );
            }
            None => tracing::info!("no predecessor responded, starting without its state"),
        }
        found
    }

    /// Points the symbolic link to this process. It is created under another name and renamed, so that there is always
    /// one.
    fn claim(&self) -> std::io::Result<()> {
        let new_link = self.own_path.with_extension("new");
        let _ = std::fs::remove_file(&new_link);
        std::os::unix::fs::symlink(&self.own_path, &new_link)?;
        std::fs::rename(&new_link, &self.link_path)
    }

    /// Removes the socket of this process.
    pub(crate) fn remove(&self) {
        let _ = std::fs::remove_file(&self.own_path);
    }

    /// Serves the processes that succeed this one.
    pub(crate) async fn serve(
        self: Rc<Self>,
        client_context: Rc<ClientContext>,
        deployment: u64,
        terms: Rc<Vec<u64>>,
    ) {
        let _ = std::fs::remove_file(&self.own_path);
        let listener = match UnixListener::bind(&self.own_path)
            .and_then(|listener| self.claim().map(|()| listener))
        {
            Ok(listener) => listener,
            Err(error) => {
                return tracing::warn!(
                    "cannot listen for a successor, it will start without this state: path={}: {error}",
                    self.own_path.display()
                );
            }
        };
        let permits = Arc::new(Semaphore::new(MAX_LINKS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let (handover_socket, client_context, terms) =
                (self.clone(), client_context.clone(), terms.clone());
            spawn_local(async move {
                let _permit = permit;
                let (mut read, write) = frames(stream);
                let hello = timeout(STATE_TIMEOUT, receive(&mut read)).await;
                let Ok(Some(Frame::Hello { version: VERSION })) = hello else {
                    return;
                };
                // The connection is registered before the state is read. So a request in between is sent after the
                // state, and is not missed by both.
                let connection = PeerConnection::new(true, &client_context);
                let state = client_context
                    .mailbox
                    .ask(move |exchange| exchange.hand_over(&terms))
                    .await;
                let Some((learned, runners)) = state else {
                    return;
                };
                let state = HandoverState {
                    is_draining: client_context.drained.get(),
                    deployment,
                    learned,
                    runners,
                };
                tracing::info!("a new process takes over");
                connection.serve(Some(state), read, write).await;
                if !client_context.shutting_down.get() {
                    tracing::warn!("the new process has ended, this one keeps serving");
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
    /// Serves the connection until the predecessor has ended.
    pub(crate) async fn serve(self, client_context: Rc<ClientContext>) {
        PeerConnection::new(false, &client_context)
            .serve(None, self.read, self.write)
            .await;
        // A predecessor that was killed has not removed its socket.
        self.path
            .into_iter()
            .for_each(|path| drop(std::fs::remove_file(path)));
        tracing::info!("the predecessor has ended");
    }
}

/// Connection to the other process. When it ends, requests that wait for a response are told that there is no other
/// process.
struct PeerConnection {
    client_context: Rc<ClientContext>,
    peer: Rc<Peer>,
    /// Frames to be sent to the other process.
    frames: mpsc::Receiver<Frame>,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        let mut current_peer = self.client_context.handover.peer.borrow_mut();
        if current_peer
            .as_ref()
            .is_some_and(|other| Rc::ptr_eq(other, &self.peer))
        {
            *current_peer = None;
        }
        self.peer.unanswered.borrow_mut().clear();
    }
}

impl PeerConnection {
    fn new(is_successor: bool, client_context: &Rc<ClientContext>) -> PeerConnection {
        let (frame_sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let peer = Rc::new(Peer {
            is_successor,
            frames: frame_sender,
            unanswered: RefCell::default(),
        });
        client_context.handover.peer.replace(Some(peer.clone()));
        PeerConnection {
            client_context: client_context.clone(),
            peer,
            frames,
        }
    }

    /// Serves the other process until one of the two ends. `initial_state` is sent before all queued frames.
    async fn serve(
        mut self,
        initial_state: Option<HandoverState>,
        mut read: FrameReader,
        mut write: FrameWriter,
    ) {
        let (client_context, peer) = (self.client_context.clone(), self.peer.clone());
        let writes = async {
            if let Some(state) = initial_state {
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
                    Frame::Request { number, ask } => {
                        let concerned = perform(ask, &client_context).await;
                        let _ = peer
                            .frames
                            .send(Frame::Response {
                                number,
                                yes: concerned,
                            })
                            .await;
                    }
                    Frame::Response {
                        number,
                        yes: concerned,
                    } => {
                        let response_sender = peer.unanswered.borrow_mut().remove(&number);
                        response_sender
                            .into_iter()
                            .for_each(|response_sender| _ = response_sender.send(concerned));
                    }
                    Frame::Hello { .. } | Frame::State(_) => return,
                }
            }
        };
        // Reading and writing run concurrently, so that two processes that write to each other never wait for each
        // other.
        tokio::select! {
            _ = writes => {}
            () = reads => {}
        }
    }
}

/// Carries out a request of the other process. Returns whether it concerned anything here.
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
