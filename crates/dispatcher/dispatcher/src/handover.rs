//! Protocol of an upgrade between the old and the new process of a dispatcher: JSON over a Unix socket, in frames with
//! their length in front. `handover_socket` finds the other process and serves the connection.

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sagetrail_dispatch::{Callback, HandoverState};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Version of the protocol. Processes of different versions do not hand over.
pub(crate) const VERSION: u32 = 1;
/// Longest frame in bytes: the state of thousands of runners. A longer one ends the connection.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// How long a process waits for its predecessor's state. A healthy predecessor sends it within milliseconds; the
/// platform requires the new process to be ready within 6 s.
pub(crate) const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time-out for a request to the other process: half of the time-out of an operator's call, and less than runners wait
/// for the response to a callback.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of processes that may be connected at once: a new one, one that has just ended, and one in between.
/// Their descriptors are among those for the program itself.
pub(crate) const MAX_LINKS: usize = 3;
/// Capacity in frames of the queue to the other process. Each connection has at most one request in flight, so the
/// queue is never full.
pub(crate) const MAX_QUEUED_FRAMES: usize = 1024;

/// A request to the other process. The names in JSON are those of the first version.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// A runner's callback for a work item that the other process may have.
    #[serde(rename = "News")]
    Callback(Callback),
    /// An operator has taken a runner out of service or put it back.
    #[serde(rename = "ByHand")]
    SetMaintenance {
        /// Id of the runner.
        id: String,
        /// Whether it is out of service.
        out: bool,
    },
    /// An operator has begun a drain (`true`) or ended it.
    Drain(bool),
}

/// A frame of the protocol. The names in JSON are those of the first version.
#[derive(Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The first frame, sent by the new process.
    Hello {
        /// See [`VERSION`].
        version: u32,
    },
    /// State of the old process, sent in response to `Hello`.
    State(Box<HandoverState>),
    /// A request, in either direction.
    #[serde(rename = "Asks")]
    Request {
        /// Number of the request, by which its response refers to it.
        #[serde(rename = "no")]
        number: u64,
        /// The request.
        ask: PeerRequest,
    },
    /// The answer to a request.
    #[serde(rename = "Did")]
    Response {
        /// Number of the request.
        #[serde(rename = "no")]
        number: u64,
        /// Whether the request concerned anything at the responding process.
        yes: bool,
    },
}

/// Outcome of a request to the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerReply {
    /// There is no other process, or it has ended.
    NoPeer,
    /// The other process did not respond in time.
    TimedOut,
    /// The request concerned something there.
    Yes,
    /// The request concerned nothing there.
    No,
}

/// Reading half of a connection to the other process.
pub(crate) type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
/// Writing half of a connection to the other process.
pub(crate) type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// The other process, as long as it is connected.
pub(crate) struct Peer {
    /// Whether it is the successor of this process; otherwise it is the predecessor.
    pub is_successor: bool,
    /// Queue of frames to the other process.
    pub frames: mpsc::Sender<Frame>,
    /// Requests that wait for a response, by their number.
    pub unanswered: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
}

/// Connection to the other process at this address, if there is one.
#[derive(Default)]
pub(crate) struct Handover {
    /// The other process; `None` if there is none.
    pub peer: RefCell<Option<Rc<Peer>>>,
    next_request: Cell<u64>,
}

impl Handover {
    /// Whether there is another process.
    pub(crate) fn has_peer(&self) -> bool {
        self.peer.borrow().is_some()
    }

    /// Whether the predecessor has not ended yet.
    pub(crate) fn has_predecessor(&self) -> bool {
        self.peer
            .borrow()
            .as_ref()
            .is_some_and(|peer| !peer.is_successor)
    }

    /// Whether a newer process serves at the same address.
    pub(crate) fn has_successor(&self) -> bool {
        self.peer
            .borrow()
            .as_ref()
            .is_some_and(|peer| peer.is_successor)
    }

    /// Sends a request to the other process and waits at most [`REQUEST_TIMEOUT`] for its response.
    ///
    /// # Cancel safety
    ///
    /// If the future is dropped, the request may still have been carried out; its response is ignored.
    pub(crate) async fn request(&self, ask: PeerRequest) -> PeerReply {
        let Some(peer) = self.peer.borrow().clone() else {
            return PeerReply::NoPeer;
        };
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        let (sender, receiver) = oneshot::channel();
        peer.unanswered.borrow_mut().insert(number, sender);
        let answer = async {
            peer.frames
                .send(Frame::Request { number, ask })
                .await
                .ok()?;
            receiver.await.ok()
        };
        let reply = match timeout(REQUEST_TIMEOUT, answer).await {
            Ok(Some(true)) => PeerReply::Yes,
            Ok(Some(false)) => PeerReply::No,
            Ok(None) => PeerReply::NoPeer,
            Err(_) => PeerReply::TimedOut,
        };
        peer.unanswered.borrow_mut().remove(&number);
        reply
    }
}

/// The listening socket for clients, if the platform holds it and names its descriptor in `RELAY_FD`.
///
/// # Errors
///
/// If the variable names no open descriptor of a listening TCP socket.
pub(crate) fn inherited() -> Result<Option<TcpListener>, String> {
    let Ok(text) = std::env::var("RELAY_FD") else {
        return Ok(None);
    };
    let invalid = |reason: &str| Err(format!("RELAY_FD '{text}': {reason}"));
    let Ok(fd) = text.parse::<RawFd>() else {
        return invalid("not a descriptor");
    };
    if fd < 3 || !Path::new(&format!("/proc/self/fd/{fd}")).exists() {
        return invalid("no such descriptor is open");
    }
    // SAFETY: it is open, and nothing else in this process has opened a descriptor yet or knows this one.
    let socket = unsafe { Socket::from_raw_fd(fd) };
    let stream = socket.r#type().is_ok_and(|of| of == Type::STREAM);
    let tcp = socket
        .domain()
        .is_ok_and(|of| of == Domain::IPV4 || of == Domain::IPV6);
    if !(stream && tcp && socket.is_listener().is_ok_and(|listens| listens)) {
        return invalid("not a listening TCP socket");
    }
    match socket
        .set_cloexec(true)
        .and_then(|()| socket.set_nonblocking(true))
    {
        Ok(()) => Ok(Some(socket.into())),
        Err(error) => invalid(&error.to_string()),
    }
}

/// Splits a connection into halves that read and write frames.
pub(crate) fn frames(stream: UnixStream) -> (FrameReader, FrameWriter) {
    let codec = || {
        LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec()
    };
    let (read, write) = stream.into_split();
    (
        FramedRead::new(read, codec()),
        FramedWrite::new(write, codec()),
    )
}

/// Writes one frame.
pub(crate) async fn send(write: &mut FrameWriter, frame: &Frame) -> std::io::Result<()> {
    write.send(Bytes::from(serde_json::to_vec(frame)?)).await
}

/// Reads the next frame; `None` if the connection has ended or the frame cannot be read.
pub(crate) async fn receive(read: &mut FrameReader) -> Option<Frame> {
    serde_json::from_slice(&read.next().await?.ok()?).ok()
}
