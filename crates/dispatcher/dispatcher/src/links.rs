//! The links among members: datagrams for probes, parts and reports, streams for whole exchanges. Plain: they belong
//! on a private network.

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::store::Store;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sagetrail_replicated_store::STORE_VERSION;
use sagetrail_swim::{FrameError, MAX_DATAGRAM_BYTES, MAX_SYNC_BYTES};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Whole exchanges answered at once; more wait, or are given up by who asked.
const STREAMS: usize = 4;
/// A descriptor each for datagrams and the listener, one for an exchange asked for, one just let in.
pub(crate) const DESCRIPTORS: usize = STREAMS + 4;
/// A whole exchange is done by then or not at all.
const WHOLE_S: f64 = 2.0;
/// Datagrams read in one turn: others of this process have theirs in between.
const TURN: usize = 64;
/// What was passed over is told of at the most this often.
const TELL_S: f64 = 60.0;

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Stream {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_SYNC_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

pub(crate) struct Links {
    pub fleet: Rc<Fleet>,
    pub clock: Clock,
    pub datagrams: UdpSocket,
}

impl Links {
    async fn send(&self, out: Vec<(usize, Vec<u8>)>) {
        for (to, frame) in out {
            // Lost is lost: a full buffer or a port that nobody listens on is the network's.
            let _ = self.datagrams.try_send_to(&frame, self.fleet.addresses[to]);
        }
    }

    /// Reads, ticks and sends until the process ends.
    pub(crate) async fn keep(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut told: (f64, BTreeMap<FrameError, u64>) = (0.0, BTreeMap::new());
        loop {
            let due = self.fleet.node.borrow().due();
            tokio::select! {
                _ = self.datagrams.readable() => {
                    for _ in 0..TURN {
                        let Ok((length, _)) = self.datagrams.try_recv_from(&mut buffer) else { break };
                        let mut out = Vec::new();
                        self.fleet.node.borrow_mut().receive_datagram(self.clock.now(), &buffer[..length], &mut out);
                        self.send(out).await;
                    }
                    // Guards against a flood of them keeping all else from its turn.
                    tokio::task::yield_now().await;
                }
                () = self.clock.sleep_until(due) => {}
                () = self.fleet.lease_wake.notified() => {
                    let mut out = Vec::new();
                    self.fleet.node.borrow_mut().request_leases(self.clock.now(), &mut out);
                    self.send(out).await;
                }
            }
            let now = self.clock.now();
            let mut out = Vec::new();
            let exchange = {
                let mut node = self.fleet.node.borrow_mut();
                node.tick(now, &mut out);
                node.start_exchange(now)
            };
            self.send(out).await;
            if let Some((to, have)) = exchange {
                spawn_local(ask(self.fleet.clone(), self.clock, to, have));
            }
            self.tell(now, &mut told);
        }
    }

    fn tell(&self, now: f64, told: &mut (f64, BTreeMap<FrameError, u64>)) {
        let (next, before) = told;
        let node = self.fleet.node.borrow();
        if now < *next || node.rejected == *before {
            return;
        }
        let more = |(why, n): (&FrameError, &u64)| {
            let new = n - before.get(why).copied().unwrap_or(0);
            (new > 0).then(|| format!("{why} {new}"))
        };
        let reasons: Vec<String> = node.rejected.iter().filter_map(more).collect();
        tracing::warn!("frames passed over: {}", reasons.join(", "));
        (*next, *before) = (now + TELL_S, node.rejected.clone());
    }
}

/// A whole exchange with one other: asks, takes up, tells the rest.
async fn ask(fleet: Rc<Fleet>, clock: Clock, to: usize, have: Vec<u8>) {
    let exchange = async {
        let mut stream = framed(TcpStream::connect(fleet.addresses[to]).await.ok()?);
        stream.send(Bytes::from(have)).await.ok()?;
        let give = stream.next().await?.ok()?;
        let rest = fleet
            .node
            .borrow_mut()
            .receive_exchange(clock.now(), &give)?;
        stream.send(Bytes::from(rest)).await.ok()
    };
    let _ = timeout(Duration::from_secs_f64(WHOLE_S), exchange).await;
}

/// So long a write to a member may take; then the link is made anew.
const WRITE_S: f64 = 2.0;
/// A link that is not up is tried again after this.
const DIAL_AGAIN_S: f64 = 0.2;
const DIAL_S: f64 = 1.0;

/// Sends the store's frames to one member, over one link as long as that is good.
pub(crate) async fn send(at: SocketAddr, mut frames: mpsc::Receiver<Bytes>) {
    loop {
        let dial = timeout(Duration::from_secs_f64(DIAL_S), TcpStream::connect(at)).await;
        let Ok(Ok(stream)) = dial else {
            // What waited is old by the time that the link is up.
            while frames.try_recv().is_ok() {}
            sleep(Duration::from_secs_f64(DIAL_AGAIN_S)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut stream = framed(stream);
        while let Some(frame) = frames.recv().await {
            let sent = timeout(Duration::from_secs_f64(WRITE_S), stream.send(frame)).await;
            if !matches!(sent, Ok(Ok(()))) {
                break;
            }
        }
        if frames.is_closed() {
            return;
        }
    }
}

/// Streams of the store from each member: an old one may still be there when the next comes.
pub(crate) fn store_streams(members: usize) -> usize {
    2 * members
}

/// Answers whole exchanges, and takes in the store's frames.
pub(crate) async fn listen(
    fleet: Rc<Fleet>,
    clock: Clock,
    listener: TcpListener,
    store: Option<Rc<Store>>,
) {
    let more = store
        .as_ref()
        .map_or(0, |_| store_streams(fleet.addresses.len()));
    let places = Arc::new(Semaphore::new(STREAMS + more));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (fleet, store) = (fleet.clone(), store.clone());
        spawn_local(async move {
            let _place = place;
            let mut stream = framed(stream);
            let Ok(Some(Ok(first))) =
                timeout(Duration::from_secs_f64(WHOLE_S), stream.next()).await
            else {
                return;
            };
            if let (Some(store), Some(&STORE_VERSION)) = (&store, first.first()) {
                store.receive_frame(&first);
                while let Some(Ok(frame)) = stream.next().await {
                    store.receive_frame(&frame);
                }
                return;
            }
            let exchange = async {
                let answer = fleet
                    .node
                    .borrow_mut()
                    .receive_exchange(clock.now(), &first);
                stream.send(Bytes::from(answer?)).await.ok()?;
                while let Some(Ok(frame)) = stream.next().await {
                    let answer = fleet
                        .node
                        .borrow_mut()
                        .receive_exchange(clock.now(), &frame);
                    stream.send(Bytes::from(answer?)).await.ok()?;
                }
                Some(())
            };
            let _ = timeout(Duration::from_secs_f64(WHOLE_S), exchange).await;
        });
    }
}
