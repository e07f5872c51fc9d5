//! The relays on the links. They pass on streams and datagrams, each direction separately, and apply the faults that
//! the schedule has for the link.

use crate::links::{LinkReceiver, LinkState, Links};
use crate::names::Node;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// A clock that counts seconds since the run began. It is negative before.
#[derive(Clone)]
pub(crate) struct Clock {
    base: Instant,
    began: Arc<AtomicU64>,
}

impl Clock {
    pub(crate) fn new(base: Instant) -> Clock {
        // The begin is far in the future until it is set, so that times before it are smaller than all later ones.
        Clock {
            base,
            began: Arc::new(AtomicU64::new(1e4f64.to_bits())),
        }
    }

    /// Sets the begin of the run to now.
    pub(crate) fn begin(&self) {
        self.began.store(
            self.base.elapsed().as_secs_f64().to_bits(),
            Ordering::Relaxed,
        );
    }

    pub(crate) fn now(&self) -> f64 {
        self.base.elapsed().as_secs_f64() - f64::from_bits(self.began.load(Ordering::Relaxed))
    }

    pub(crate) async fn until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            sleep(Duration::from_secs_f64(left.min(1e6))).await;
        }
    }
}

/// The times at which a relay took and passed on the bytes of one connection. The checker uses the time at which
/// bytes left a dispatcher, so that a dispatcher is not blamed for the delay of a faulty link.
#[derive(Default)]
pub(crate) struct Trace {
    /// Reads from the side that opened the connection, as (offset of the first byte, time in seconds).
    taken: Mutex<Vec<(u64, f64)>>,
    /// Writes to the side that opened the connection, as (offset after the last byte, time in seconds).
    given: Mutex<Vec<(u64, f64)>>,
    closed: Mutex<Option<f64>>,
}

impl Trace {
    /// When the byte at this offset was read.
    pub(crate) fn taken_at(&self, offset: u64) -> Option<f64> {
        let marks = self.taken.lock().unwrap();
        let after = marks.partition_point(|(at, _)| *at <= offset);
        after.checked_sub(1).map(|place| marks[place].1)
    }

    /// When all bytes before this offset had been written back.
    pub(crate) fn given_by(&self, offset: u64) -> Option<f64> {
        let marks = self.given.lock().unwrap();
        marks
            .get(marks.partition_point(|(at, _)| *at < offset))
            .map(|(_, when)| *when)
    }

    /// When the side that opened the connection closed it.
    pub(crate) fn closed_at(&self) -> Option<f64> {
        *self.closed.lock().unwrap()
    }
}

/// The state that all relays share.
#[derive(Clone)]
pub(crate) struct Relays {
    pub links: Links,
    pub clock: Clock,
    pub seed: u64,
    pub traces: Arc<Mutex<HashMap<SocketAddr, Arc<Trace>>>>,
}

/// Bytes in transit with the time of their delivery, or the end of the connection.
enum Piece {
    Bytes(f64, Vec<u8>),
    End(f64),
    Reset,
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Waits until the state of the link passes the test.
async fn wait_for_link(link: &mut LinkReceiver, test: impl FnMut(&LinkState) -> bool) {
    let _ = link.wait_for(test).await;
}

impl Relays {
    pub(crate) fn trace(&self, from: SocketAddr) -> Option<Arc<Trace>> {
        self.traces.lock().unwrap().get(&from).cloned()
    }

    fn rng(&self, from: Node, to: Node) -> Pcg64Mcg {
        let ids = u64::from(from.number()) << 8 | u64::from(to.number());
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(65_537).wrapping_add(ids))
    }

    /// Relays connections from `from`, accepted at `at`, to `to` at `target`, until the runtime ends.
    pub(crate) async fn relay_streams(
        self,
        at: SocketAddr,
        target: SocketAddr,
        from: Node,
        to: Node,
    ) {
        let (mut there, mut back) = (
            self.links.watch_link(from, to),
            self.links.watch_link(to, from),
        );
        let mut listener = Some(bind(at).await);
        loop {
            let (there_now, back_now) = (
                there.borrow_and_update().clone(),
                back.borrow_and_update().clone(),
            );
            if there_now.refuse || back_now.refuse {
                listener = None;
            } else if there_now.cut || back_now.cut {
                let held = listener.take();
                let held = match held {
                    Some(held) => held,
                    None => bind(at).await,
                };
                listener = Some(block_connections(held, at, &mut there, &mut back).await);
                continue;
            } else if listener.is_none() {
                listener = Some(bind(at).await);
            }
            tokio::select! {
                _ = there.changed() => {}
                _ = back.changed() => {}
                accepted = async {
                    match &listener {
                        Some(listener) => listener.accept().await,
                        None => std::future::pending().await,
                    }
                } => match accepted {
                    Ok((stream, _)) if there_now.reset || back_now.reset => reset(&stream),
                    Ok((stream, _)) => {
                        let relays = self.clone();
                        tokio::spawn(async move { relays.connection(stream, at, target, from, to).await });
                    }
                    Err(_) => sleep(Duration::from_millis(5)).await,
                },
            }
        }
    }

    async fn connection(
        &self,
        stream: TcpStream,
        at: SocketAddr,
        target: SocketAddr,
        from: Node,
        to: Node,
    ) {
        let _ = stream.set_nodelay(true);
        // Connects from the relay's own address, by which the other side knows which node opened the connection.
        let dial = async {
            let socket = TcpSocket::new_v4()?;
            socket.bind(SocketAddr::new(at.ip(), 0))?;
            socket.connect(target).await
        };
        let Ok(Ok(onward)) = timeout(Duration::from_secs(3), dial).await else {
            return reset(&stream);
        };
        let _ = onward.set_nodelay(true);
        let trace = Arc::new(Trace::default());
        let Ok(local) = onward.local_addr() else {
            return;
        };
        self.traces.lock().unwrap().insert(local, trace.clone());
        let (from_read, from_write) = stream.into_split();
        let (to_read, to_write) = onward.into_split();
        let there = self.pump(
            from_read,
            to_write,
            self.links.watch_link(from, to),
            (from, to),
            &trace,
            true,
        );
        let back = self.pump(
            to_read,
            from_write,
            self.links.watch_link(to, from),
            (to, from),
            &trace,
            false,
        );
        let (mut broken_there, mut broken_back) = (
            self.links.watch_link(from, to),
            self.links.watch_link(to, from),
        );
        tokio::select! {
            _ = async { tokio::join!(there, back) } => {}
            () = wait_for_link(&mut broken_there, |link| link.reset) => {}
            () = wait_for_link(&mut broken_back, |link| link.reset) => {}
        }
        trace.closed.lock().unwrap().get_or_insert(self.clock.now());
    }

    /// Relays one direction of a connection. When the `select!` in `connection` ends, it drops both halves of both
    /// streams, which resets them unless they were shut down before.
    async fn pump(
        &self,
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
        link: LinkReceiver,
        ends: (Node, Node),
        trace: &Trace,
        opener: bool,
    ) {
        reset(read.as_ref());
        let mut rng = self.rng(ends.0, ends.1);
        // At most 1 MiB is in transit, about as much as the kernel buffers.
        let (put, mut pieces) = mpsc::channel::<Piece>(64);
        let mut reads = link.clone();
        let take = async move {
            let (mut buffer, mut offset, mut last) = (vec![0; 16 << 10], 0u64, f64::NEG_INFINITY);
            let mut swallowed = false;
            loop {
                wait_for_link(&mut reads, |link| !link.stall).await;
                let got = tokio::select! {
                    got = read.read(&mut buffer) => got,
                    _ = reads.changed() => {
                        // The discarded bytes are lost, so the connection cannot continue.
                        if swallowed && !reads.borrow().black_hole {
                            let _ = put.send(Piece::Reset).await;
                            return;
                        }
                        continue;
                    }
                };
                let (now, link) = (self.clock.now(), reads.borrow().clone());
                let lost = |rng: &mut Pcg64Mcg| {
                    let again =
                        std::iter::repeat_with(|| link.drop < 1.0 && rng.random_bool(link.drop));
                    0.2 * again.take(20).take_while(|lost| *lost).count() as f64
                };
                let jitter = link.jitter_s * (2.0 * rng.random::<f64>() - 1.0);
                last = last.max(now + (link.delay_s + jitter).max(0.0) + lost(&mut rng));
                let piece = match got {
                    Ok(0) => {
                        if opener {
                            trace.closed.lock().unwrap().get_or_insert(now);
                        }
                        let _ = put.send(Piece::End(last)).await;
                        return;
                    }
                    Ok(length) => {
                        if opener {
                            trace.taken.lock().unwrap().push((offset, now));
                        }
                        offset += length as u64;
                        if link.black_hole || link.drop >= 1.0 {
                            swallowed = true;
                            continue;
                        }
                        Piece::Bytes(last, buffer[..length].to_vec())
                    }
                    Err(_) => {
                        if opener {
                            trace.closed.lock().unwrap().get_or_insert(now);
                        }
                        let _ = put.send(Piece::Reset).await;
                        return;
                    }
                };
                if put.send(piece).await.is_err() {
                    return;
                }
            }
        };
        let mut writes = link;
        let give = async move {
            let mut offset = 0u64;
            while let Some(piece) = pieces.recv().await {
                match piece {
                    Piece::Bytes(at, bytes) => {
                        self.clock.until(at).await;
                        wait_for_link(&mut writes, |link| !link.is_held()).await;
                        let rate = writes.borrow().rate;
                        if rate > 0.0 {
                            sleep(Duration::from_secs_f64(bytes.len() as f64 / rate)).await;
                        }
                        if write.write_all(&bytes).await.is_err() {
                            return;
                        }
                        offset += bytes.len() as u64;
                        if !opener {
                            trace.given.lock().unwrap().push((offset, self.clock.now()));
                        }
                    }
                    Piece::End(at) => {
                        self.clock.until(at).await;
                        wait_for_link(&mut writes, |link| !link.is_held()).await;
                        let _ = write.shutdown().await;
                        return;
                    }
                    Piece::Reset => {
                        wait_for_link(&mut writes, |link| !link.is_held()).await;
                        reset(write.as_ref());
                        return;
                    }
                }
            }
        };
        tokio::join!(take, give);
    }

    /// Relays datagrams that arrive at `at` to `target`.
    pub(crate) async fn relay_datagrams(
        self,
        at: SocketAddr,
        target: SocketAddr,
        from: Node,
        to: Node,
    ) {
        let Ok(socket) = UdpSocket::bind(at).await else {
            return;
        };
        let socket = Arc::new(socket);
        let link = self.links.watch_link(from, to);
        let mut rng = self.rng(from, to);
        let mut buffer = vec![0; 64 << 10];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let now = link.borrow().clone();
            if now.cut
                || now.black_hole
                || now.stall
                || now.refuse
                || now.reset
                || rng.random_bool(now.drop)
            {
                continue;
            }
            let copies = 1 + usize::from(rng.random_bool(now.double));
            for _ in 0..copies {
                let jitter = now.jitter_s * (2.0 * rng.random::<f64>() - 1.0);
                let behind = if rng.random_bool(now.reorder) {
                    0.05 * rng.random::<f64>()
                } else {
                    0.0
                };
                let late = (now.delay_s + jitter).max(0.0) + behind;
                let frame = buffer[..length].to_vec();
                if late <= 0.0 {
                    let _ = socket.try_send_to(&frame, target);
                    continue;
                }
                let socket = socket.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_secs_f64(late)).await;
                    let _ = socket.send_to(&frame, target).await;
                });
            }
        }
    }
}

/// Listens at an address. Retries until the address is free.
async fn bind(at: SocketAddr) -> TcpListener {
    loop {
        let bound = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(at)?;
            socket.listen(1024)
        });
        match bound {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Blocks new connections while the link is cut in either direction. A listener with a backlog of 0 and one queued
/// connection is full, so the kernel answers no further connection attempts.
async fn block_connections(
    listener: TcpListener,
    at: SocketAddr,
    there: &mut LinkReceiver,
    back: &mut LinkReceiver,
) -> TcpListener {
    let _ = SockRef::from(&listener).listen(0);
    let filler: io::Result<TcpStream> = timeout(Duration::from_millis(200), TcpStream::connect(at))
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()));
    loop {
        let cut = there.borrow_and_update().cut || back.borrow_and_update().cut;
        if !cut {
            break;
        }
        tokio::select! {
            _ = there.changed() => {}
            _ = back.changed() => {}
        }
    }
    let _ = SockRef::from(&listener).listen(1024);
    drop(filler);
    listener
}
