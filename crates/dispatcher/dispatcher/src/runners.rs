//! The runners' side: connections, and one errand at a time on each.

use crate::clock::Clock;
use crate::http::{next, wire, Calling, Fault};
use futures_util::{SinkExt, Stream};
use sagetrail_dispatch::{Endpoint, Metrics, RequestFailure, RunnerRequest, RunnerResponse};
use std::cell::{Cell, RefCell};
use std::future::{pending, poll_fn, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

type Wire = Framed<TcpStream, Calling>;

/// For so long after an answer, or after giving up by closing a connection, another may still be on its way: some ten
/// times what it takes across zones.
const CROSSING_S: f64 = 0.1;

/// A runner, as far as sockets go.
pub(crate) struct Runner {
    pub gate: Rc<Endpoint>,
    idle: RefCell<Vec<oneshot::Sender<Errand>>>,
}

impl Runner {
    pub(crate) fn new(gate: Rc<Endpoint>) -> Rc<Self> {
        Rc::new(Runner {
            gate,
            idle: RefCell::default(),
        })
    }

    /// Closes the idle connections: they lead to a process that is no more.
    pub(crate) fn drop_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// What all connections to runners share.
pub(crate) struct Pool {
    pub clock: Clock,
    pub figures: Rc<Metrics>,
    pub permits: Arc<Semaphore>,
    pub dial_s: f64,
    pub idle_s: f64,
    /// The runners that have had a connection, to find an idle one to spare.
    pub runners: RefCell<Vec<Rc<Runner>>>,
}

impl Pool {
    /// Closes the idle connection that has rested longest at the runner with the most of them.
    fn spare_one(&self) {
        let runners = self.runners.borrow();
        if let Some(runner) = runners
            .iter()
            .max_by_key(|runner| runner.idle.borrow().len())
        {
            let mut idle = runner.idle.borrow_mut();
            if !idle.is_empty() {
                idle.remove(0);
            }
        }
    }
}

type Tell = Box<dyn FnOnce(Result<RunnerResponse, RequestFailure>)>;

/// Tells how an errand ended, exactly once. Guards against a panic or a task dropped on the way:
/// what it carried is settled by how far it had come.
struct Ending {
    whole: Rc<Cell<bool>>,
    tell: Option<Tell>,
}

impl Ending {
    fn tell(&mut self, ended: Result<RunnerResponse, RequestFailure>) {
        if let Some(tell) = self.tell.take() {
            tell(ended);
        }
    }

    fn broken(&self, so_far: RequestFailure) -> RequestFailure {
        if self.whole.get() {
            RequestFailure::NoResponse
        } else {
            so_far
        }
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        let broken = self.broken(RequestFailure::NotDelivered);
        self.tell(Err(broken));
    }
}

/// One message to a runner and the wait for its answer.
pub(crate) struct Errand {
    message: RunnerRequest,
    /// None once the exchange has lost interest.
    stop: Option<oneshot::Receiver<()>>,
    until: f64,
    ending: Ending,
}

impl Errand {
    /// The errand, and what stops it; `whole` is set once it has been written whole.
    pub(crate) fn new(
        message: RunnerRequest,
        until: f64,
        whole: Rc<Cell<bool>>,
        tell: impl FnOnce(Result<RunnerResponse, RequestFailure>) + 'static,
    ) -> (Errand, oneshot::Sender<()>) {
        let (stopper, stop) = oneshot::channel();
        let ending = Ending {
            whole,
            tell: Some(Box::new(tell)),
        };
        (
            Errand {
                message,
                stop: Some(stop),
                until,
                ending,
            },
            stopper,
        )
    }

    /// What forbids that it begins now, though it did not when its connection was asked for.
    fn held_back(&self, runner: &Runner, at: SocketAddr, now: f64) -> Option<RequestFailure> {
        let RunnerRequest::Work {
            start_by_s,
            client_left,
            ..
        } = &self.message
        else {
            return None;
        };
        let gate = &runner.gate;
        match () {
            // Guards against a runner told to drain while its connection was coming up.
            () if now >= gate.closed_from_s.get() => Some(RequestFailure::NotDelivered),
            // Guards against one taken out by hand meanwhile, or that has moved to another address; a client that has
            // left; the end of a part of a budget, of the time in which its runners drop a repeat, of its own.
            () if gate.out_of_service.get() || gate.address.get() != at || client_left.get() => {
                Some(RequestFailure::NotSent)
            }
            () if now >= *start_by_s || now >= self.until => Some(RequestFailure::NotSent),
            () => None,
        }
    }

    /// Writes the message and waits for the answer; true if the connection can carry another. `rested`: since when it
    /// has, after an earlier answer.
    async fn carry(
        &mut self,
        wire: &mut Wire,
        runner: &Runner,
        pool: &Pool,
        rested: Option<Instant>,
    ) -> bool {
        let now = pool.clock.now();
        let mut message = self.message.clone();
        let hands_off = matches!(message, RunnerRequest::Work { .. });
        if let Some(why) = self.held_back(runner, wire.codec().at(), now) {
            self.ending.tell(Err(why));
            return !runner.gate.out_of_service.get();
        }
        if let RunnerRequest::Work { time_left_s, .. } = &mut message {
            *time_left_s = self.until - now;
        }
        let soon = rested.is_some_and(|since| since.elapsed().as_secs_f64() < CROSSING_S);
        let whole = self.ending.whole.clone();
        let exchanged = async {
            wire.send(message)
                .await
                .map_err(|_| RequestFailure::NotDelivered)?;
            whole.set(true);
            if hands_off {
                pool.figures.count_relayed();
            }
            let answer = match next(wire).await {
                Some(Ok(answer)) => answer,
                // Not one byte came: it may have been dead before.
                None | Some(Err(Fault::Broken(_))) if rested.is_some() && !stirs(wire) => {
                    // Guards against one dead connection after another: the other idle ones rested longer.
                    runner.drop_idle();
                    return Err(RequestFailure::StaleConnection);
                }
                _ => return Err(RequestFailure::NoResponse),
            };
            if !soon || answer.status == 202 {
                return Ok(answer);
            }
            // Guards against a second answer to the request before taken for one to this: this one's own would follow,
            // and until it does nothing proves that it never ran.
            match timeout(Duration::from_secs_f64(CROSSING_S), next(wire)).await {
                Ok(Some(Ok(own))) => Ok(RunnerResponse {
                    keep_alive: false,
                    ..own
                }),
                _ => Ok(RunnerResponse {
                    keep_alive: false,
                    may_be_duplicate: true,
                    ..answer
                }),
            }
        };
        let ended = {
            tokio::pin!(exchanged);
            let ended = tokio::select! {
                biased;
                ended = &mut exchanged => Some(ended),
                () = async { tokio::select! {
                    () = stopped(&mut self.stop) => {}
                    () = pool.clock.sleep_until(self.until) => {}
                }} => None,
            };
            match ended {
                Some(ended) => Some(ended),
                None => {
                    // Guards against giving up, by closing the connection, what its runner has taken: the answer may be
                    // here and not read yet, as long as the sockets were not asked in this turn.
                    yield_now().await;
                    tokio::select! {
                        biased;
                        ended = &mut exchanged => Some(ended),
                        () = ready(()) => None,
                    }
                }
            }
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                // Guards against a machine that vanished: its other connections stand open and silent too, and only a
                // new one tells.
                runner.drop_idle();
                match hands_off && self.ending.whole.get() {
                    true => given_up(wire).await,
                    false => Err(self.ending.broken(RequestFailure::NotSent)),
                }
            }
        };
        let keep = ended.as_ref().is_ok_and(|answer| answer.keep_alive);
        self.ending.tell(ended);
        keep
    }
}

/// Gives up by closing, and hears what crosses that. Guards against a second copy beside one whose 202 was on its way:
/// its runner has to be told by word.
async fn given_up(wire: &mut Wire) -> Result<RunnerResponse, RequestFailure> {
    let closed = wire.get_mut().shutdown().await.is_ok();
    let crossing = timeout(Duration::from_secs_f64(CROSSING_S), next(wire));
    match closed {
        true => match crossing.await {
            Ok(Some(Ok(answer))) => Ok(RunnerResponse {
                keep_alive: false,
                ..answer
            }),
            _ => Err(RequestFailure::NoResponse),
        },
        false => Err(RequestFailure::NoResponse),
    }
}

/// Something has come, if only a part of an answer.
fn stirs(wire: &Wire) -> bool {
    !wire.read_buffer().is_empty() || !wire.codec().between()
}

/// Ends with the first byte that comes on a connection at rest, or with its end.
async fn stray(wire: &mut Wire) {
    poll_fn(|cx| match Pin::new(&mut *wire).poll_next(cx) {
        Poll::Pending if !stirs(wire) => Poll::Pending,
        _ => Poll::Ready(()),
    })
    .await
}

/// Ends when the exchange says stop; never, if it has lost interest. Guards against asking a second time, on the
/// connection, what was told once while that came up: a panic, and the runner's answer lost.
async fn stopped(stop: &mut Option<oneshot::Receiver<()>>) {
    if let Some(word) = stop {
        let said = word.await;
        *stop = None;
        if said.is_ok() {
            return;
        }
    }
    pending().await
}

/// Takes an errand to a runner: on an idle connection, the last used first, or on a new one.
pub(crate) async fn run(pool: Rc<Pool>, runner: Rc<Runner>, mut errand: Errand) {
    loop {
        let idle = runner.idle.borrow_mut().pop();
        let Some(idle) = idle else {
            return dial(pool, runner, errand).await;
        };
        match idle.send(errand) {
            Ok(()) => return,
            Err(back) => errand = back,
        }
    }
}

async fn open(
    pool: &Pool,
    at: SocketAddr,
) -> Result<(TcpStream, OwnedSemaphorePermit), RequestFailure> {
    let within = Duration::from_secs_f64(pool.dial_s);
    let permit = match pool.permits.clone().try_acquire_owned() {
        Ok(permit) => permit,
        Err(_) => {
            // All connections are in use or idle somewhere: one of the idle makes room.
            pool.spare_one();
            let freed = timeout(within, pool.permits.clone().acquire_owned()).await;
            freed
                .ok()
                .and_then(Result::ok)
                .ok_or(RequestFailure::NotSent)?
        }
    };
    match timeout(within, TcpStream::connect(at)).await {
        Ok(Ok(stream)) => Ok((stream, permit)),
        _ => Err(RequestFailure::NotDelivered),
    }
}

async fn dial(pool: Rc<Pool>, runner: Rc<Runner>, mut errand: Errand) {
    let at = runner.gate.address.get();
    let opened = tokio::select! {
        biased;
        () = stopped(&mut errand.stop) => Err(RequestFailure::NotSent),
        opened = open(&pool, at) => opened,
    };
    match opened {
        Ok((stream, permit)) => {
            serve(pool, runner, wire(stream, Calling::new(at)), permit, errand).await
        }
        Err(broken) => errand.ending.tell(Err(broken)),
    }
}

/// A connection's life: errand after errand, idle in between.
async fn serve(
    pool: Rc<Pool>,
    runner: Rc<Runner>,
    mut wire: Wire,
    _permit: OwnedSemaphorePermit,
    mut errand: Errand,
) {
    let mut rested = None;
    loop {
        // Guards against beginning on what was true a turn ago: all sockets are asked first, so that a client that has
        // left, a list that has spoken and a runner that has closed are heard of.
        yield_now().await;
        if rested.is_some() {
            let elsewhere = tokio::select! {
                biased;
                () = stray(&mut wire) => true,
                () = ready(()) => false,
            };
            if elsewhere {
                // Nothing of it has been written.
                spawn_local(run(pool, runner.clone(), errand));
                return;
            }
        }
        if !errand.carry(&mut wire, &runner, &pool, rested).await
            || wire.codec().at() != runner.gate.address.get()
        {
            return;
        }
        drop(errand);
        rested = Some(Instant::now());
        let (idle, mut rest) = oneshot::channel();
        {
            let mut resting = runner.idle.borrow_mut();
            resting.retain(|other| !other.is_closed());
            resting.push(idle);
        }
        // Read while idle, so that a close by the runner is seen at once.
        errand = tokio::select! {
            biased;
            // An errand already laid in goes elsewhere: nothing of it has been written.
            () = stray(&mut wire) => {
                rest.close();
                if let Ok(errand) = rest.try_recv() {
                    spawn_local(run(pool, runner.clone(), errand));
                }
                return;
            }
            again = &mut rest => match again {
                Ok(errand) => errand,
                Err(_) => return,
            },
            () = sleep(Duration::from_secs_f64(pool.idle_s)) => return,
        };
    }
}
