//! Upgrades: the old and the new process of one dispatcher, and what they tell each other over a Unix socket.
use crate::clients::Door;
use crate::exchange::Word;
use crate::learnt::Learnt;
use crate::list::Member;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, RawFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

const VERSION: u32 = 1;
/// Thousands of runners; what is longer ends the link.
const FRAME_MOST: usize = 4 << 20;
/// A predecessor that is well tells all it has in milliseconds; the platform wants a yes within 6 s.
const STATE_S: f64 = 1.5;
/// Half of what an operator's call may take, and less than runners wait for a word about their news.
const ANSWER_S: f64 = 0.5;
/// So many may be at the meeting place at once: a new process, one that has just died, and one in between. They
/// are within the program's own descriptors.
const LINKS: usize = 3;
/// Each connection has one question out at the most, so this is never full.
const FRAMES: usize = 1024;

/// What a runner's new dispatcher must know of it; times are Unix time.
#[derive(Serialize, Deserialize)]
pub struct Inherited {
    pub member: Member,
    pub out: Option<f64>,
    pub back: Option<f64>,
    pub spent: Vec<(f64, f64)>,
    pub evidence: f64,
    pub resting: Option<f64>,
    pub rest_s: f64,
}

/// All that a new process is told before it serves.
#[derive(Serialize, Deserialize)]
pub struct State {
    pub drained: bool,
    /// A number for the deployment: under another what was learnt means something else.
    pub deployment: u64,
    pub learnt: Learnt,
    /// Every runner that a list ever named, in that order.
    pub runners: Vec<Inherited>,
}

/// What one process asks of the other.
#[derive(Serialize, Deserialize)]
pub enum Ask {
    News(Word),
    ByHand { id: String, out: bool },
    Drain(bool),
}

#[derive(Serialize, Deserialize)]
enum Frame {
    Hello { version: u32 },
    State(Box<State>),
    Asks { no: u64, ask: Ask },
    Did { no: u64, yes: bool },
}

/// What became of a question to the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// There is no other process, or it has ended.
    Nobody,
    /// It did not answer in time.
    Silent,
    Yes,
    No,
}

type Read = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Write = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

struct Peer {
    /// It took over from this process, not this one from it.
    newer: bool,
    frames: mpsc::Sender<Frame>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
}

/// The other process, if there is one.
#[derive(Default)]
pub struct Handover {
    peer: RefCell<Option<Rc<Peer>>>,
    asked: Cell<u64>,
}

impl Handover {
    pub fn linked(&self) -> bool {
        self.peer.borrow().is_some()
    }

    /// The process before has not ended yet.
    pub fn preceded(&self) -> bool {
        self.peer.borrow().as_ref().is_some_and(|peer| !peer.newer)
    }

    /// A newer process serves at the same address.
    pub fn succeeded(&self) -> bool {
        self.peer.borrow().as_ref().is_some_and(|peer| peer.newer)
    }

    pub async fn tell(&self, ask: Ask) -> Heard {
        let Some(peer) = self.peer.borrow().clone() else { return Heard::Nobody };
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
pub fn inherited() -> Result<Option<TcpListener>, String> {
    let Ok(text) = std::env::var("RELAY_FD") else { return Ok(None) };
    let bad = |why: &str| Err(format!("RELAY_FD '{text}': {why}"));
    let Ok(fd) = text.parse::<RawFd>() else { return bad("not a descriptor") };
    if fd < 3 || !Path::new(&format!("/proc/self/fd/{fd}")).exists() {
        return bad("no such descriptor is open");
    }
    // SAFETY: it is open, and nothing else in this process has opened a descriptor yet or knows this one.
    let socket = unsafe { Socket::from_raw_fd(fd) };
    let stream = socket.r#type().is_ok_and(|of| of == Type::STREAM);
    let tcp = socket.domain().is_ok_and(|of| of == Domain::IPV4 || of == Domain::IPV6);
    if !(stream && tcp && socket.is_listener().is_ok_and(|listens| listens)) {
        return bad("not a listening TCP socket");
    }
    match socket.set_cloexec(true).and_then(|()| socket.set_nonblocking(true)) {
        Ok(()) => Ok(Some(socket.into())),
        Err(error) => bad(&error.to_string()),
    }
}

fn frames(stream: UnixStream) -> (Read, Write) {
    let codec = || LengthDelimitedCodec::builder().max_frame_length(FRAME_MOST).new_codec();
    let (read, write) = stream.into_split();
    (FramedRead::new(read, codec()), FramedWrite::new(write, codec()))
}

async fn send(write: &mut Write, frame: &Frame) -> std::io::Result<()> {
    write.send(Bytes::from(serde_json::to_vec(frame)?)).await
}

/// The next frame; `None` when the link has ended or says what cannot be read.
async fn receive(read: &mut Read) -> Option<Frame> {
    serde_json::from_slice(&read.next().await?.ok()?).ok()
}

/// Where the processes of one address meet.
pub struct Meeting {
    common: PathBuf,
    own: PathBuf,
}

/// A predecessor's link.
pub struct Former {
    read: Read,
    write: Write,
    path: Option<PathBuf>,
}

impl Meeting {
    pub fn new(listen: SocketAddr) -> Meeting {
        let name = format!("sagetrail-{listen}");
        let folder = std::env::temp_dir();
        Meeting {
            common: folder.join(&name),
            own: folder.join(format!("{name}-{}.socket", std::process::id())),
        }
    }

    /// What the process before this one has to tell. Guards against one that is gone or does not answer: that
    /// is a fresh start.
    pub async fn find(&self) -> Option<(State, Former)> {
        let path = std::fs::read_link(&self.common).ok();
        let told = async {
            let stream = UnixStream::connect(&self.common).await.ok()?;
            let (mut read, mut write) = frames(stream);
            send(&mut write, &Frame::Hello { version: VERSION }).await.ok()?;
            match receive(&mut read).await? {
                Frame::State(state) => Some((*state, Former { read, write, path })),
                _ => None,
            }
        };
        let found = timeout(Duration::from_secs_f64(STATE_S), told).await.ok().flatten();
        match &found {
            Some((state, _)) => {
                log::info!("takes over from the process before: {} runners", state.runners.len());
            }
            None => log::info!("no process before this one answers; starts afresh"),
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

    pub fn leave(&self) {
        let _ = std::fs::remove_file(&self.own);
    }

    /// Answers those that come after this process.
    pub async fn keep(self: Rc<Self>, door: Rc<Door>, deployment: u64, terms: Rc<Vec<u64>>) {
        let _ = std::fs::remove_file(&self.own);
        let listener =
            match UnixListener::bind(&self.own).and_then(|listener| self.claim().map(|()| listener)) {
                Ok(listener) => listener,
                Err(why) => {
                    return log::warn!("the next process will start afresh: {}: {why}", self.own.display());
                }
            };
        let places = Arc::new(Semaphore::new(LINKS));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let (meeting, door, terms) = (self.clone(), door.clone(), terms.clone());
            spawn_local(async move {
                let _place = place;
                let (mut read, write) = frames(stream);
                let hello = timeout(Duration::from_secs_f64(STATE_S), receive(&mut read)).await;
                let Ok(Some(Frame::Hello { version: VERSION })) = hello else { return };
                // Linked before it is told: a call in between goes after, and misses neither.
                let linked = Linked::new(true, &door);
                let state = door.tray.ask(move |exchange| exchange.hand_over(&terms)).await;
                let Some((learnt, runners)) = state else { return };
                let state = State { drained: door.drained.get(), deployment, learnt, runners };
                log::info!("a new process takes over");
                linked.serve(Some(state), read, write).await;
                if !door.ending.get() {
                    log::warn!("the new process has ended; this one goes on");
                    door.tray.ask(|exchange| exchange.hand_over_failed()).await;
                    let _ = meeting.claim();
                }
            });
        }
    }
}

impl Former {
    /// Keeps up the link until the process before has ended.
    pub async fn keep(self, door: Rc<Door>) {
        Linked::new(false, &door).serve(None, self.read, self.write).await;
        // One that was killed leaves its name.
        self.path.into_iter().for_each(|path| drop(std::fs::remove_file(path)));
        log::info!("the process before has ended");
    }
}

/// A link, as long as it lasts: whoever waits for the other process then hears that nobody is there.
struct Linked {
    door: Rc<Door>,
    peer: Rc<Peer>,
    frames: mpsc::Receiver<Frame>,
}

impl Drop for Linked {
    fn drop(&mut self) {
        let mut linked = self.door.handover.peer.borrow_mut();
        if linked.as_ref().is_some_and(|other| Rc::ptr_eq(other, &self.peer)) {
            *linked = None;
        }
        self.peer.waiting.borrow_mut().clear();
    }
}

impl Linked {
    fn new(newer: bool, door: &Rc<Door>) -> Linked {
        let (out, frames) = mpsc::channel(FRAMES);
        let peer = Rc::new(Peer { newer, frames: out, waiting: RefCell::default() });
        door.handover.peer.replace(Some(peer.clone()));
        Linked { door: door.clone(), peer, frames }
    }

    /// Serves the other process until one of the two ends; `first` goes before all that is laid on the link.
    async fn serve(mut self, first: Option<State>, mut read: Read, mut write: Write) {
        let (door, peer) = (self.door.clone(), self.peer.clone());
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
                    Frame::Asks { no, ask } => {
                        let yes = carry_out(ask, &door).await;
                        let _ = peer.frames.send(Frame::Did { no, yes }).await;
                    }
                    Frame::Did { no, yes } => {
                        let asked = peer.waiting.borrow_mut().remove(&no);
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

/// Does what the other process asks; whether it concerned anything here.
async fn carry_out(ask: Ask, door: &Rc<Door>) -> bool {
    match ask {
        Ask::News(word) => door.tray.ask(move |exchange| exchange.word(word)).await.unwrap_or(false),
        Ask::ByHand { id, out } => {
            door.tray.ask(move |exchange| exchange.by_hand(&id, out)).await.unwrap_or(false)
        }
        Ask::Drain(on) => {
            door.drain(on);
            true
        }
    }
}
