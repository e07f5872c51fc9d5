//! Connections to runners. Each carries one request at a time.

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

/// A connection to a runner, with its HTTP codec.
type Wire = Framed<TcpStream, Calling>;

/// Time in seconds after a response, or after the closing of a connection, within which another response may still be
/// under way: about ten times the delay between zones.
const CROSSING_S: f64 = 0.1;

/// A runner and its idle connections.
pub(crate) struct Runner {
    pub endpoint: Rc<Endpoint>,
    /// Idle connections, the one used last at the end. A call that is sent to one is carried out there.
    idle: RefCell<Vec<oneshot::Sender<RunnerCall>>>,
}

impl Runner {
    pub(crate) fn new(endpoint: Rc<Endpoint>) -> Rc<Self> {
        Rc::new(Runner {
            endpoint,
            idle: RefCell::default(),
        })
    }

    /// Closes the idle connections, because the process at their other end is no longer in use.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// State that all connections to runners share.
pub(crate) struct Pool {
    pub clock: Clock,
    pub metrics: Rc<Metrics>,
    /// One permit for each connection that may be open.
    pub permits: Arc<Semaphore>,
    /// Time-out in seconds for establishing a connection.
    pub connect_timeout_s: f64,
    /// Time in seconds after which an idle connection is closed.
    pub idle_timeout_s: f64,
    /// All runners by their index.
    pub runners: RefCell<Vec<Rc<Runner>>>,
}

impl Pool {
    /// Closes the connection that has been idle longest at the runner with the most idle connections.
    fn close_one_idle(&self) {
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

/// Receives the result of a call.
type OnResult = Box<dyn FnOnce(Result<RunnerResponse, RequestFailure>)>;

/// Reports the result of a call exactly once. If a panic or the end of a task drops it, it reports what is known then.
struct ResultReporter {
    /// Whether the message has been written completely.
    is_written: Rc<Cell<bool>>,
    /// `None` once the result has been reported.
    on_result: Option<OnResult>,
}

impl ResultReporter {
    fn report(&mut self, result: Result<RunnerResponse, RequestFailure>) {
        if let Some(on_result) = self.on_result.take() {
            on_result(result);
        }
    }

    /// The failure to report for an interrupted call: `NoResponse` if the message has been written, otherwise
    /// `if_unwritten`.
    fn failure(&self, if_unwritten: RequestFailure) -> RequestFailure {
        if self.is_written.get() {
            RequestFailure::NoResponse
        } else {
            if_unwritten
        }
    }
}

impl Drop for ResultReporter {
    fn drop(&mut self) {
        let failure = self.failure(RequestFailure::NotDelivered);
        self.report(Err(failure));
    }
}

/// A request to a runner whose response is awaited.
pub(crate) struct RunnerCall {
    message: RunnerRequest,
    /// Resolves when the exchange abandons the call; `None` once the exchange has dropped its handle.
    stop: Option<oneshot::Receiver<()>>,
    /// When the call is abandoned, in seconds on the clock.
    deadline_s: f64,
    reporter: ResultReporter,
}

impl RunnerCall {
    /// Creates a call, and the sender that abandons it. `is_written` is set once the message has been written
    /// completely.
    pub(crate) fn new(
        message: RunnerRequest,
        deadline_s: f64,
        is_written: Rc<Cell<bool>>,
        on_result: impl FnOnce(Result<RunnerResponse, RequestFailure>) + 'static,
    ) -> (RunnerCall, oneshot::Sender<()>) {
        let (stop_sender, stop) = oneshot::channel();
        let reporter = ResultReporter {
            is_written,
            on_result: Some(Box::new(on_result)),
        };
        (
            RunnerCall {
                message,
                stop: Some(stop),
                deadline_s,
                reporter,
            },
            stop_sender,
        )
    }

    /// Reason why the message must not be written now, although it was allowed when the connection was requested.
    fn start_refusal(&self, runner: &Runner, at: SocketAddr, now: f64) -> Option<RequestFailure> {
        let RunnerRequest::Work {
            start_by_s,
            client_left,
            ..
        } = &self.message
        else {
            return None;
        };
        let endpoint = &runner.endpoint;
        match () {
            // The runner was told to drain while its connection was being established.
            () if now >= endpoint.closed_from_s.get() => Some(RequestFailure::NotDelivered),
            // Meanwhile the runner was taken out of service or moved to another address, or the client disconnected;
            // below: a lease of a budget, the time within which its runners drop a duplicate, or the deadline of the
            // call has ended.
            () if endpoint.out_of_service.get()
                || endpoint.address.get() != at
                || client_left.get() =>
            {
                Some(RequestFailure::NotSent)
            }
            () if now >= *start_by_s || now >= self.deadline_s => Some(RequestFailure::NotSent),
            () => None,
        }
    }

    /// Writes the message and waits for the response; true if the connection can be used again. `idle_since` is when an
    /// earlier response ended on the connection, `None` for a new connection.
    async fn execute(
        &mut self,
        wire: &mut Wire,
        runner: &Runner,
        pool: &Pool,
        idle_since: Option<Instant>,
    ) -> bool {
        let now = pool.clock.now();
        let mut message = self.message.clone();
        let is_attempt = matches!(message, RunnerRequest::Work { .. });
        if let Some(why) = self.start_refusal(runner, wire.codec().address(), now) {
            self.reporter.report(Err(why));
            return !runner.endpoint.out_of_service.get();
        }
        if let RunnerRequest::Work { time_left_s, .. } = &mut message {
            *time_left_s = self.deadline_s - now;
        }
        let may_cross = idle_since.is_some_and(|since| since.elapsed().as_secs_f64() < CROSSING_S);
        let is_written = self.reporter.is_written.clone();
        let exchange = async {
            wire.send(message)
                .await
                .map_err(|_| RequestFailure::NotDelivered)?;
            is_written.set(true);
            if is_attempt {
                pool.metrics.count_relayed();
            }
            let answer = match next(wire).await {
                Some(Ok(answer)) => answer,
                // No byte came on a connection that was idle: it may have been closed before the request.
                None | Some(Err(Fault::Broken(_)))
                    if idle_since.is_some() && !has_received(wire) =>
                {
                    // The other idle connections have been idle longer, so they are probably closed too.
                    runner.close_idle();
                    return Err(RequestFailure::StaleConnection);
                }
                _ => return Err(RequestFailure::NoResponse),
            };
            if !may_cross || answer.status == 202 {
                return Ok(answer);
            }
            // The response may be a second one to the previous request. In that case its own response follows; until
            // then nothing proves that the request never ran.
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
        let result = {
            tokio::pin!(exchange);
            let result = tokio::select! {
                biased;
                result = &mut exchange => Some(result),
                () = async { tokio::select! {
                    () = abandoned(&mut self.stop) => {}
                    () = pool.clock.sleep_until(self.deadline_s) => {}
                }} => None,
            };
            match result {
                Some(result) => Some(result),
                None => {
                    // A response may have arrived that has not been read yet, because the sockets were not polled in
                    // this turn. Without this second look an attempt that its runner has accepted would be abandoned.
                    yield_now().await;
                    tokio::select! {
                        biased;
                        result = &mut exchange => Some(result),
                        () = ready(()) => None,
                    }
                }
            }
        };
        let result = match result {
            Some(result) => result,
            None => {
                // If the machine has failed, its other connections also stay open and silent; only a new one shows
                // that.
                runner.close_idle();
                match is_attempt && self.reporter.is_written.get() {
                    true => close_and_read(wire).await,
                    false => Err(self.reporter.failure(RequestFailure::NotSent)),
                }
            }
        };
        let keep = result.as_ref().is_ok_and(|answer| answer.keep_alive);
        self.reporter.report(result);
        keep
    }
}

/// Closes the connection and reads a response that crosses the close. If that is a 202, the job must be cancelled by a
/// request; otherwise a second copy would run beside it.
async fn close_and_read(wire: &mut Wire) -> Result<RunnerResponse, RequestFailure> {
    let closed = wire.get_mut().shutdown().await.is_ok();
    let response = timeout(Duration::from_secs_f64(CROSSING_S), next(wire));
    match closed {
        true => match response.await {
            Ok(Some(Ok(answer))) => Ok(RunnerResponse {
                keep_alive: false,
                ..answer
            }),
            _ => Err(RequestFailure::NoResponse),
        },
        false => Err(RequestFailure::NoResponse),
    }
}

/// Whether at least a part of a response has been received.
fn has_received(wire: &Wire) -> bool {
    !wire.read_buffer().is_empty() || !wire.codec().is_between_messages()
}

/// Waits for data on an idle connection, or for its end.
async fn wait_for_input(wire: &mut Wire) {
    poll_fn(|cx| match Pin::new(&mut *wire).poll_next(cx) {
        Poll::Pending if !has_received(wire) => Poll::Pending,
        _ => Poll::Ready(()),
    })
    .await
}

/// Waits until the exchange abandons the call; forever if the exchange has dropped its handle. The receiver is not
/// polled again after it has resolved while the connection was being established: that would panic, and the response
/// would be lost.
async fn abandoned(stop: &mut Option<oneshot::Receiver<()>>) {
    if let Some(receiver) = stop {
        let outcome = receiver.await;
        *stop = None;
        if outcome.is_ok() {
            return;
        }
    }
    pending().await
}

/// Carries out a call on the idle connection that was used last, or on a new one.
pub(crate) async fn run(pool: Rc<Pool>, runner: Rc<Runner>, mut call: RunnerCall) {
    loop {
        let idle = runner.idle.borrow_mut().pop();
        let Some(idle) = idle else {
            return run_on_new_connection(pool, runner, call).await;
        };
        match idle.send(call) {
            Ok(()) => return,
            Err(back) => call = back,
        }
    }
}

/// Establishes a connection and returns it with its permit.
async fn open(
    pool: &Pool,
    at: SocketAddr,
) -> Result<(TcpStream, OwnedSemaphorePermit), RequestFailure> {
    let within = Duration::from_secs_f64(pool.connect_timeout_s);
    let permit = match pool.permits.clone().try_acquire_owned() {
        Ok(permit) => permit,
        Err(_) => {
            // The limit of connections is reached: an idle one is closed to make room.
            pool.close_one_idle();
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

/// Carries out a call on a new connection.
async fn run_on_new_connection(pool: Rc<Pool>, runner: Rc<Runner>, mut call: RunnerCall) {
    let at = runner.endpoint.address.get();
    let opened = tokio::select! {
        biased;
        () = abandoned(&mut call.stop) => Err(RequestFailure::NotSent),
        opened = open(&pool, at) => opened,
    };
    match opened {
        Ok((stream, permit)) => {
            serve(pool, runner, wire(stream, Calling::new(at)), permit, call).await
        }
        Err(broken) => call.reporter.report(Err(broken)),
    }
}

/// Serves a connection: carries out one call after another and is idle in between.
async fn serve(
    pool: Rc<Pool>,
    runner: Rc<Runner>,
    mut wire: Wire,
    _permit: OwnedSemaphorePermit,
    mut call: RunnerCall,
) {
    let mut idle_since = None;
    loop {
        // All sockets are polled first. A client that has disconnected, an update of the endpoint list or a connection
        // that the runner has closed is noticed before the call begins.
        yield_now().await;
        if idle_since.is_some() {
            let is_unusable = tokio::select! {
                biased;
                () = wait_for_input(&mut wire) => true,
                () = ready(()) => false,
            };
            if is_unusable {
                // No byte of the call has been written, so another connection can carry it out.
                spawn_local(run(pool, runner.clone(), call));
                return;
            }
        }
        if !call.execute(&mut wire, &runner, &pool, idle_since).await
            || wire.codec().address() != runner.endpoint.address.get()
        {
            return;
        }
        drop(call);
        idle_since = Some(Instant::now());
        let (call_sender, mut next_call) = oneshot::channel();
        {
            let mut idle = runner.idle.borrow_mut();
            idle.retain(|other| !other.is_closed());
            idle.push(call_sender);
        }
        // The connection is read while it is idle, so that its closing by the runner is noticed at once.
        call = tokio::select! {
            biased;
            // A call that was already passed to this connection goes to another one: no byte of it has been written.
            () = wait_for_input(&mut wire) => {
                next_call.close();
                if let Ok(call) = next_call.try_recv() {
                    spawn_local(run(pool, runner.clone(), call));
                }
                return;
            }
            received = &mut next_call => match received {
                Ok(call) => call,
                Err(_) => return,
            },
            () = sleep(Duration::from_secs_f64(pool.idle_timeout_s)) => return,
        };
    }
}
