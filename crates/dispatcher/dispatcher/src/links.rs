//! Connections between the members: datagrams for probes, leases and reports, TCP streams for full exchanges. They are
//! not encrypted, so they belong on a private network.

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

/// Full exchanges that are served at once. Further ones wait, or the member that asked gives up.
const MAX_EXCHANGES: usize = 4;
/// Descriptors: one each for datagrams and the listener, one for an exchange that this member starts, and one for a
/// connection that has just been accepted.
pub(crate) const DESCRIPTORS: usize = MAX_EXCHANGES + 4;
/// Time-out in seconds for a full exchange.
const EXCHANGE_TIMEOUT_S: f64 = 2.0;
/// Datagrams that are read before other tasks of the process get a turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Interval in seconds at which rejected frames are logged at most.
const REJECTED_LOG_INTERVAL_S: f64 = 60.0;

/// A TCP connection that carries frames with their length in front.
type Stream = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Stream {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_SYNC_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// The socket for datagrams and what it serves.
pub(crate) struct Links {
    pub fleet: Rc<Fleet>,
    pub clock: Clock,
    pub datagrams: UdpSocket,
}

impl Links {
    async fn send_datagrams(&self, out: Vec<(usize, Vec<u8>)>) {
        for (to, frame) in out {
            // A datagram that cannot be sent is lost, as in the network: the buffer is full or nobody listens at the
            // port.
            let _ = self.datagrams.try_send_to(&frame, self.fleet.addresses[to]);
        }
    }

    /// Receives, sends and runs the timers of the node until the process ends.
    pub(crate) async fn run(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut logged: (f64, BTreeMap<FrameError, u64>) = (0.0, BTreeMap::new());
        loop {
            let due = self.fleet.node.borrow().due();
            tokio::select! {
                _ = self.datagrams.readable() => {
                    for _ in 0..MAX_DATAGRAMS_PER_TURN {
                        let Ok((length, _)) = self.datagrams.try_recv_from(&mut buffer) else { break };
                        let mut out = Vec::new();
                        self.fleet.node.borrow_mut().receive_datagram(self.clock.now(), &buffer[..length], &mut out);
                        self.send_datagrams(out).await;
                    }
                    // A flood of datagrams must not keep other tasks from running.
                    tokio::task::yield_now().await;
                }
                () = self.clock.sleep_until(due) => {}
                () = self.fleet.lease_wake.notified() => {
                    let mut out = Vec::new();
                    self.fleet.node.borrow_mut().request_leases(self.clock.now(), &mut out);
                    self.send_datagrams(out).await;
                }
            }
            let now = self.clock.now();
            let mut out = Vec::new();
            let exchange = {
                let mut node = self.fleet.node.borrow_mut();
                node.tick(now, &mut out);
                node.start_exchange(now)
            };
            self.send_datagrams(out).await;
            if let Some((to, have)) = exchange {
                spawn_local(exchange_with(self.fleet.clone(), self.clock, to, have));
            }
            self.log_rejected(now, &mut logged);
        }
    }

    /// Logs the frames that were rejected since the last line. `logged` holds the time of the next line and the counts
    /// of the last one.
    fn log_rejected(&self, now: f64, logged: &mut (f64, BTreeMap<FrameError, u64>)) {
        let (next_s, before) = logged;
        let node = self.fleet.node.borrow();
        if now < *next_s || node.rejected == *before {
            return;
        }
        let new_count = |(reason, n): (&FrameError, &u64)| {
            let new = n - before.get(reason).copied().unwrap_or(0);
            (new > 0).then(|| format!("{reason} {new}"))
        };
        let reasons: Vec<String> = node.rejected.iter().filter_map(new_count).collect();
        tracing::warn!("frames rejected: {}", reasons.join(", "));
        (*next_s, *before) = (now + REJECTED_LOG_INTERVAL_S, node.rejected.clone());
    }
}

/// Carries out a full exchange with another member: asks for its state, applies it, and sends the rest.
async fn exchange_with(fleet: Rc<Fleet>, clock: Clock, to: usize, have: Vec<u8>) {
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
    let _ = timeout(Duration::from_secs_f64(EXCHANGE_TIMEOUT_S), exchange).await;
}

/// Time-out in seconds for a write to a member; then the connection is established again.
const WRITE_TIMEOUT_S: f64 = 2.0;
/// Time in seconds after which a failed connection is tried again.
const RECONNECT_DELAY_S: f64 = 0.2;
/// Time-out in seconds for connecting to a member.
const CONNECT_TIMEOUT_S: f64 = 1.0;

/// Sends the frames of the store to one member, over one connection as long as that is usable.
pub(crate) async fn send_frames(at: SocketAddr, mut frames: mpsc::Receiver<Bytes>) {
    loop {
        let connected = timeout(
            Duration::from_secs_f64(CONNECT_TIMEOUT_S),
            TcpStream::connect(at),
        )
        .await;
        let Ok(Ok(stream)) = connected else {
            // Frames that waited are outdated by the time the connection is established.
            while frames.try_recv().is_ok() {}
            sleep(Duration::from_secs_f64(RECONNECT_DELAY_S)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut stream = framed(stream);
        while let Some(frame) = frames.recv().await {
            let sent = timeout(Duration::from_secs_f64(WRITE_TIMEOUT_S), stream.send(frame)).await;
            if !matches!(sent, Ok(Ok(()))) {
                break;
            }
        }
        if frames.is_closed() {
            return;
        }
    }
}

/// Connections for the store from the other members: an old one may still be open when its successor is accepted.
pub(crate) fn store_streams(members: usize) -> usize {
    2 * members
}

/// Serves full exchanges and receives the frames of the store.
pub(crate) async fn listen(
    fleet: Rc<Fleet>,
    clock: Clock,
    listener: TcpListener,
    store: Option<Rc<Store>>,
) {
    let store_stream_count = store
        .as_ref()
        .map_or(0, |_| store_streams(fleet.addresses.len()));
    let permits = Arc::new(Semaphore::new(MAX_EXCHANGES + store_stream_count));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (fleet, store) = (fleet.clone(), store.clone());
        spawn_local(async move {
            let _permit = permit;
            let mut stream = framed(stream);
            let Ok(Some(Ok(first))) =
                timeout(Duration::from_secs_f64(EXCHANGE_TIMEOUT_S), stream.next()).await
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
            let _ = timeout(Duration::from_secs_f64(EXCHANGE_TIMEOUT_S), exchange).await;
        });
    }
}
