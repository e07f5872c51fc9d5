//! The protocol of an upgrade: what the old and the new process of one dispatcher say to each other over a Unix socket, as
//! JSON in frames with their length in front. `handover_socket` finds the other process and serves the link.

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

/// The protocol's version; processes of different versions do not hand over.
pub(crate) const VERSION: u32 = 1;
/// The longest frame, in bytes: the state of thousands of runners. A longer one ends the link.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// How long a process waits for its predecessor's state. A healthy one sends all it has in milliseconds; the platform
/// wants the new process ready within 6 s.
pub(crate) const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a request to the other process may take: half of what an operator's call may take, and less than runners wait
/// for an answer to a callback.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// So many processes may be linked at once: a new one, one that has just died, and one in between. They are within the
/// program's own descriptors.
pub(crate) const MAX_LINKS: usize = 3;
/// Frames that wait to be written to a link. Each connection has one request out at the most, so this is never full.
pub(crate) const MAX_QUEUED_FRAMES: usize = 1024;

/// A request of one process to the other. The names in JSON are those of the first version.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// A runner's callback for a work item that the other process may have.
    #[serde(rename = "News")]
    Callback(Callback),
    /// An operator takes a runner out of service or puts it back.
    #[serde(rename = "ByHand")]
    SetMaintenance {
        /// The runner.
        id: String,
        /// True: out of service.
        out: bool,
    },
    /// An operator begins or ends a drain.
    Drain(bool),
}

/// What goes over the link. The names in JSON are those of the first version.
#[derive(Serialize, Deserialize)]
pub(crate) enum Frame {
    /// First, from the new process.
    Hello {
        /// See [`VERSION`].
        version: u32,
    },
    /// The old process's state, in answer to `Hello`.
    State(Box<HandoverState>),
    /// A request, either way.
    #[serde(rename = "Asks")]
    Request {
        /// Names the request until it is answered.
        no: u64,
        /// What is asked for.
        ask: PeerRequest,
    },
    /// The answer to a request.
    #[serde(rename = "Did")]
    Response {
        /// As in the request.
        no: u64,
        /// Whether it concerned anything at the answering process.
        yes: bool,
    },
}

/// The outcome of a request to the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerReply {
    /// There is no other process, or it has ended.
    NoPeer,
    /// It did not answer in time.
    TimedOut,
    /// The request concerned something there.
    Yes,
    /// It concerned nothing there.
    No,
}

/// The reading half of a link.
pub(crate) type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
/// The writing half of a link.
pub(crate) type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// The other process, as long as the link to it lasts.
pub(crate) struct Peer {
    /// It took over from this process, not this one from it.
    pub newer: bool,
    /// Frames to be written to the link.
    pub frames: mpsc::Sender<Frame>,
    /// Requests without an answer yet, by their number.
    pub unanswered: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
}

/// The link to the other process of this address, if there is one.
#[derive(Default)]
pub(crate) struct Handover {
    /// The other process.
    pub peer: RefCell<Option<Rc<Peer>>>,
    next_request: Cell<u64>,
}

impl Handover {
    /// Whether there is another process.
    pub(crate) fn linked(&self) -> bool {
        self.peer.borrow().is_some()
    }

    /// Whether the predecessor has not ended yet.
    pub(crate) fn preceded(&self) -> bool {
        self.peer.borrow().as_ref().is_some_and(|peer| !peer.newer)
    }

    /// Whether a newer process serves at the same address.
    pub(crate) fn succeeded(&self) -> bool {
        self.peer.borrow().as_ref().is_some_and(|peer| peer.newer)
    }

    /// Sends a request to the other process and waits for its answer, at most [`REQUEST_TIMEOUT`].
    ///
    /// # Cancel safety
    ///
    /// A dropped call may have been carried out; its answer is then ignored.
    pub(crate) async fn request(&self, ask: PeerRequest) -> PeerReply {
        let Some(peer) = self.peer.borrow().clone() else {
            return PeerReply::NoPeer;
        };
        let no = self.next_request.get();
        self.next_request.set(no + 1);
        let (give, got) = oneshot::channel();
        peer.unanswered.borrow_mut().insert(no, give);
        let answer = async {
            peer.frames.send(Frame::Request { no, ask }).await.ok()?;
            got.await.ok()
        };
        let reply = match timeout(REQUEST_TIMEOUT, answer).await {
            Ok(Some(true)) => PeerReply::Yes,
            Ok(Some(false)) => PeerReply::No,
            Ok(None) => PeerReply::NoPeer,
            Err(_) => PeerReply::TimedOut,
        };
        peer.unanswered.borrow_mut().remove(&no);
        reply
    }
}

/// The clients' listening socket, where the platform holds it and names its descriptor in `RELAY_FD`.
///
/// # Errors
///
/// Where the variable names no open descriptor of a listening TCP socket.
pub(crate) fn inherited() -> Result<Option<TcpListener>, String> {
    let Ok(text) = std::env::var("RELAY_FD") else {
        return Ok(None);
    };
    let bad = |why: &str| Err(format!("RELAY_FD '{text}': {why}"));
    let Ok(fd) = text.parse::<RawFd>() else {
        return bad("not a descriptor");
    };
    if fd < 3 || !Path::new(&format!("/proc/self/fd/{fd}")).exists() {
        return bad("no such descriptor is open");
    }
    // SAFETY: it is open, and nothing else in this process has opened a descriptor yet or knows this one.
    let socket = unsafe { Socket::from_raw_fd(fd) };
    let stream = socket.r#type().is_ok_and(|of| of == Type::STREAM);
    let tcp = socket
        .domain()
        .is_ok_and(|of| of == Domain::IPV4 || of == Domain::IPV6);
    if !(stream && tcp && socket.is_listener().is_ok_and(|listens| listens)) {
        return bad("not a listening TCP socket");
    }
    match socket
        .set_cloexec(true)
        .and_then(|()| socket.set_nonblocking(true))
    {
        Ok(()) => Ok(Some(socket.into())),
        Err(error) => bad(&error.to_string()),
    }
}

/// Both halves of a link.
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

/// The next frame; `None` when the link has ended or says what cannot be read.
pub(crate) async fn receive(read: &mut FrameReader) -> Option<Frame> {
    serde_json::from_slice(&read.next().await?.ok()?).ok()
}
