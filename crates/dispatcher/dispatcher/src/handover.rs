//! Upgrades: what the old and the new process of one dispatcher tell each other over a Unix socket.

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sagetrail_dispatch::{Callback, Passed};
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

pub(crate) const VERSION: u32 = 1;
/// Thousands of runners; what is longer ends the link.
const FRAME_MOST: usize = 4 << 20;
/// A predecessor that is well tells all it has in milliseconds; the platform wants a yes within 6 s.
pub(crate) const STATE_S: f64 = 1.5;
/// Half of what an operator's call may take, and less than runners wait for a word about their news.
const ANSWER_S: f64 = 0.5;
/// So many may be at the meeting place at once: a new process, one that has just died, and one in between. They
/// are within the program's own descriptors.
pub(crate) const LINKS: usize = 3;
/// Each connection has one question out at the most, so this is never full.
pub(crate) const FRAMES: usize = 1024;

/// What one process asks of the other.
#[derive(Serialize, Deserialize)]
pub(crate) enum Ask {
    News(Callback),
    ByHand { id: String, out: bool },
    Drain(bool),
}

#[derive(Serialize, Deserialize)]
pub(crate) enum Frame {
    Hello { version: u32 },
    State(Box<Passed>),
    Asks { no: u64, ask: Ask },
    Did { no: u64, yes: bool },
}

/// What became of a question to the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// There is no other process, or it has ended.
    Nobody,
    /// It did not answer in time.
    Silent,
    Yes,
    No,
}

pub(crate) type Read = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
pub(crate) type Write = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

pub(crate) struct Peer {
    /// It took over from this process, not this one from it.
    pub newer: bool,
    pub frames: mpsc::Sender<Frame>,
    pub waiting: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
}

/// The other process, if there is one.
#[derive(Default)]
pub(crate) struct Handover {
    pub peer: RefCell<Option<Rc<Peer>>>,
    asked: Cell<u64>,
}

impl Handover {
    pub(crate) fn linked(&self) -> bool {
        self.peer.borrow().is_some()
    }

    /// The process before has not ended yet.
    pub(crate) fn preceded(&self) -> bool {
        self.peer.borrow().as_ref().is_some_and(|peer| !peer.newer)
    }

    /// A newer process serves at the same address.
    pub(crate) fn succeeded(&self) -> bool {
        self.peer.borrow().as_ref().is_some_and(|peer| peer.newer)
    }

    pub(crate) async fn tell(&self, ask: Ask) -> Heard {
        let Some(peer) = self.peer.borrow().clone() else {
            return Heard::Nobody;
        };
        let no = self.asked.get();
        self.asked.set(no + 1);
        let (give, got) = oneshot::channel();
        peer.waiting.borrow_mut().insert(no, give);
        let told = async {
            peer.frames.send(Frame::Asks { no, ask }).await.ok()?;
            got.await.ok()
        };
        let heard = match timeout(Duration::from_secs_f64(ANSWER_S), told).await {
            Ok(Some(true)) => Heard::Yes,
            Ok(Some(false)) => Heard::No,
            Ok(None) => Heard::Nobody,
            Err(_) => Heard::Silent,
        };
        peer.waiting.borrow_mut().remove(&no);
        heard
    }
}

/// The clients' listening socket, where the platform holds it. Guards against a descriptor that is none.
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

pub(crate) fn frames(stream: UnixStream) -> (Read, Write) {
    let codec = || {
        LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MOST)
            .new_codec()
    };
    let (read, write) = stream.into_split();
    (
        FramedRead::new(read, codec()),
        FramedWrite::new(write, codec()),
    )
}

pub(crate) async fn send(write: &mut Write, frame: &Frame) -> std::io::Result<()> {
    write.send(Bytes::from(serde_json::to_vec(frame)?)).await
}

/// The next frame; `None` when the link has ended or says what cannot be read.
pub(crate) async fn receive(read: &mut Read) -> Option<Frame> {
    serde_json::from_slice(&read.next().await?.ok()?).ok()
}
