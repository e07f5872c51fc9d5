//! Connections of clients, and callbacks of runners, which come to the same address.

use crate::client_context::ClientContext;
use crate::handover::{PeerReply, PeerRequest};
use crate::http::{next, wire, Fault, Method, Request, Serving, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::sockets::Mailbox;
use crate::store::Store;
use futures_util::{SinkExt, Stream};
use sagetrail_dispatch::{name_hash, Callback, OpenRequest, Reply, WorkRequest};
use sagetrail_policy::Job;
use sagetrail_replicated_store::{Completion, RetryAnswer};
use std::cell::Cell;
use std::future::{poll_fn, ready};
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify, Semaphore};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tokio_util::codec::Framed;

/// A connection from a client or runner, with its HTTP codec.
pub(crate) type Wire = Framed<TcpStream, Serving>;

/// Path to which runners post their callbacks.
const CALLBACKS: &str = "/_jobs/news";

/// Time in seconds after which an idle connection is closed: longer than the pauses of clients.
const IDLE_TIMEOUT_S: f64 = 75.0;
/// Time in seconds within which the first request on a new connection is expected to begin: a few round trips and a
/// pause.
const FIRST_REQUEST_TIMEOUT_S: f64 = 0.5;
/// Time-out in seconds for reading a request that has begun and for writing a response: many times what a slow client
/// needs.
const TRANSFER_TIMEOUT_S: f64 = 5.0;
/// Time in seconds for which a connection that is closed is still read, for requests that are under way: several round
/// trips.
pub(crate) const LINGER_S: f64 = 0.5;
/// A work item expires this many seconds before its client's deadline: the network's delay in both directions, and a
/// moment in which this process did not run.
const REPLY_MARGIN_S: f64 = 0.025;

/// Counts one in a counter until it is dropped, also by a panic.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        CountGuard(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections and serves each in a task of its own. Runs until the task is aborted.
pub(crate) async fn listen(listener: TcpListener, client_context: Rc<ClientContext>) {
    let permits = Arc::new(Semaphore::new(
        client_context.budget.clients + client_context.budget.rejected_clients,
    ));
    loop {
        // Clients that keep many connections open must not block others: the connection that has been idle longest is
        // closed to make room.
        let permit = loop {
            match timeout(Duration::from_millis(10), permits.clone().acquire_owned()).await {
                Ok(Ok(permit)) => break permit,
                Ok(Err(_)) => return,
                Err(_) => {
                    client_context.close_longest_idle();
                }
            }
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                if client_context.open.get() >= client_context.budget.clients {
                    client_context.close_longest_idle();
                }
                let client_context = client_context.clone();
                spawn_local(async move {
                    let (_permit, _placed_count) =
                        (permit, CountGuard::new(&client_context.placed));
                    let open = CountGuard::new(&client_context.open);
                    let Ok(Some((wire, within_s))) =
                        serve_connection(stream, &client_context).await
                    else {
                        return;
                    };
                    // A closing connection keeps its permit, but does not count as open: no work item is rejected
                    // because of it.
                    let _unsettled = CountGuard::new(&client_context.unsettled);
                    drop(open);
                    let _ = linger(wire, within_s).await;
                });
            }
            Err(error) => {
                tracing::warn!("a connection could not be accepted: {error}");
                sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

/// The next event on a connection.
enum ConnectionEvent {
    /// A complete request.
    Request(Request),
    /// A request that cannot be read or did not arrive completely in time.
    Fault(Fault),
    /// The client has closed the connection.
    Disconnected,
    /// The dispatcher closes the connection.
    Close,
}

impl ConnectionEvent {
    /// The event for what the codec has read; `None` for the end of the connection.
    fn from_read(read: Option<Result<Request, Fault>>) -> ConnectionEvent {
        match read {
            Some(Ok(request)) => ConnectionEvent::Request(request),
            Some(Err(fault)) => ConnectionEvent::Fault(fault),
            None => ConnectionEvent::Disconnected,
        }
    }
}

/// Serves a connection until it is to be closed. Returns the connection and for how many seconds it is still to be
/// read, or `None` if the client has disconnected.
async fn serve_connection(
    stream: TcpStream,
    client_context: &ClientContext,
) -> Result<Option<(Wire, f64)>, Fault> {
    let mut wire = wire(stream, Serving::default());
    let mut opened_at = Some(Instant::now());
    let mut read_ahead = ReadAhead::default();
    let mut for_callbacks = false;
    loop {
        let event = match read_ahead.read.take() {
            Some(read) => ConnectionEvent::from_read(Some(read)),
            None => next_event(&mut wire, opened_at.take(), for_callbacks, client_context).await,
        };
        let unsettled = CountGuard::new(&client_context.unsettled);
        let is_overrun = std::mem::take(&mut read_ahead.is_overrun);
        let (mut reply, open, keep) = match event {
            ConnectionEvent::Disconnected => return Ok(None),
            // A request that crosses the close must not lead to a reset: it is read and discarded. Its client sees a
            // regular end of the connection and sends the request again elsewhere.
            ConnectionEvent::Close => {
                let within_s = if client_context.is_full() {
                    0.0
                } else {
                    LINGER_S
                };
                return Ok(Some((wire, within_s)));
            }
            ConnectionEvent::Request(request) => {
                let _busy = CountGuard::new(&client_context.busy);
                let keep = request.keep_alive && !is_overrun;
                for_callbacks = request.target == CALLBACKS;
                let headers_only = request.method == Method::Head;
                let Some((reply, open)) =
                    answer(request, &mut wire, &mut read_ahead, client_context).await
                else {
                    return Ok(None);
                };
                (
                    Reply {
                        headers_only,
                        ..reply
                    },
                    open,
                    keep,
                )
            }
            ConnectionEvent::Fault(fault) => {
                let Some(status) = fault.status() else {
                    return Err(fault);
                };
                (Reply::new(status, format!("{fault}\n")), None, false)
            }
        };
        let busy = CountGuard::new(&client_context.busy);
        reply.close_connection = !keep
            || client_context.closes_after_answer(for_callbacks)
            || client_context.open.get() > client_context.budget.clients;
        let (close, status) = (reply.close_connection, reply.status);
        let sent = timeout(
            Duration::from_secs_f64(TRANSFER_TIMEOUT_S),
            wire.send(reply),
        )
        .await;
        sent.map_err(|_| Fault::Unfinished)??;
        open.into_iter().for_each(|open| open.answered(status));
        drop(busy);
        if close {
            return Ok(Some((wire, LINGER_S)));
        }
        drop(unsettled);
    }
}

/// Waits for the next event. `opened_at` is the time of the connection while it has had no request; `for_callbacks`
/// tells that its last request was a callback.
async fn next_event(
    wire: &mut Wire,
    opened_at: Option<Instant>,
    for_callbacks: bool,
    client_context: &ClientContext,
) -> ConnectionEvent {
    // A new connection is not closed while its first request is under way: the client would take the request for lost
    // and would not send it again, as it does on a connection that has already served one.
    let until = opened_at.map(|opened| opened + Duration::from_secs_f64(FIRST_REQUEST_TIMEOUT_S));
    let event = match until {
        Some(until) => {
            let _unsettled = CountGuard::new(&client_context.unsettled);
            timeout_at(until, wait_for_bytes(wire)).await.ok()
        }
        None => None,
    };
    let event = match event {
        Some(event) => Some(event),
        None => wait_idle(wire, for_callbacks, client_context).await,
    };
    match event {
        None => ConnectionEvent::Close,
        Some(Some(read)) => ConnectionEvent::from_read(read),
        Some(None) => {
            // The process does not end in the middle of a request.
            let _unsettled = CountGuard::new(&client_context.unsettled);
            let read = timeout(Duration::from_secs_f64(TRANSFER_TIMEOUT_S), next(wire)).await;
            ConnectionEvent::from_read(read.unwrap_or(Some(Err(Fault::Unfinished))))
        }
    }
}

/// Waits on an idle connection. `None` if it is to be closed.
async fn wait_idle(
    wire: &mut Wire,
    for_callbacks: bool,
    client_context: &ClientContext,
) -> Option<FirstRead> {
    let (idle_key, close) = (client_context.next_idle_key(), Rc::new(Notify::new()));
    client_context
        .idle
        .borrow_mut()
        .insert(idle_key, close.clone());
    let mut closing = client_context.closing.subscribe();
    let event = tokio::select! {
        biased;
        event = wait_for_bytes(wire) => Some(event),
        () = close.notified() => None,
        _ = closing.wait_for(|closing| *closing && client_context.may_close(for_callbacks)) => None,
        () = sleep(Duration::from_secs_f64(IDLE_TIMEOUT_S)) => None,
    };
    client_context.idle.borrow_mut().remove(&idle_key);
    if event.is_some() {
        return event;
    }
    // A request that arrived at the same moment and has not been read yet is served as any other.
    yield_now().await;
    tokio::select! {
        biased;
        event = wait_for_bytes(wire) => Some(event),
        () = ready(()) => None,
    }
}

/// What arrived first: `None` for part of a request, otherwise the result of `next`.
type FirstRead = Option<Option<Result<Request, Fault>>>;

/// Waits for the first bytes of a request.
async fn wait_for_bytes(wire: &mut Wire) -> FirstRead {
    poll_fn(|cx| match Pin::new(&mut *wire).poll_next(cx) {
        Poll::Ready(read) => Poll::Ready(Some(read)),
        Poll::Pending if !wire.read_buffer().is_empty() || !wire.codec().is_between_messages() => {
            Poll::Ready(None)
        }
        Poll::Pending => Poll::Pending,
    })
    .await
}

/// Closes a connection so that the client still reads the response: shuts the writing side down, then reads what is
/// under way for at most `max_s` seconds.
pub(crate) async fn linger(wire: Wire, max_s: f64) -> Result<(), Fault> {
    let mut stream = wire.into_inner();
    stream.shutdown().await?;
    let mut rest = [0; 1024];
    if max_s <= 0.0 {
        // No timer is used here: it would delay the release of the permit and hold up whole rounds of idle connections.
        for _ in 0..64 {
            if !matches!(stream.try_read(&mut rest), Ok(1..)) {
                break;
            }
        }
        return Ok(());
    }
    let read = async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} };
    let _ = timeout(Duration::from_secs_f64(max_s), read).await;
    Ok(())
}

/// What was read while the client waits for a response.
#[derive(Default)]
struct ReadAhead {
    /// The next request.
    read: Option<Result<Request, Fault>>,
    /// Whether more followed than is buffered.
    is_overrun: bool,
}

impl ReadAhead {
    /// Reads while the client waits for a response, and ends when it has disconnected. Unread bytes of a client that
    /// sends much and disconnects would hide the disconnection. What follows the next request stays in the buffer of
    /// the connection, up to the length of one request; if more comes, the connection is closed after the next
    /// response.
    async fn read_until_disconnected(&mut self, wire: &mut Wire) {
        loop {
            if self.read.is_none() {
                match next(wire).await {
                    None | Some(Err(Fault::Broken(_))) => return,
                    // A request that cannot be read is no reason to abandon the one that waits.
                    read => self.read = read,
                }
            } else if wire.read_buffer().len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
                wire.read_buffer_mut().clear();
                self.is_overrun = true;
            } else {
                // No data is held across the wait, because the future may be dropped there when the response is ready.
                let mut more = [0; 4096];
                let readable = wire.get_ref().readable().await;
                match readable.and_then(|()| wire.get_ref().try_read(&mut more)) {
                    Ok(read @ 1..) => wire.read_buffer_mut().extend_from_slice(&more[..read]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    _ => return,
                }
            }
        }
    }
}

/// Answers a request. Returns the reply and the record of an open request that ends with it; `None` if the client has
/// disconnected.
async fn answer(
    request: Request,
    wire: &mut Wire,
    read_ahead: &mut ReadAhead,
    client_context: &ClientContext,
) -> Option<(Reply, Option<OpenRequest>)> {
    let path = request.target.split('?').next().unwrap_or_default();
    let is_read = matches!(request.method, Method::Get | Method::Head);
    let reply = match path {
        "/health/ready"
            if is_read
                && client_context.shutting_down.get()
                && !client_context.handing_over.get() =>
        {
            Reply::new(503, "ending\n")
        }
        "/health/ready" if is_read && client_context.drained.get() => {
            Reply::new(503, "drained by hand\n")
        }
        "/health/ready" if is_read && !client_context.has_endpoints.get() => {
            Reply::new(503, "no list yet\n")
        }
        "/health/ready" | "/health/live" if is_read => Reply::new(200, "ok\n"),
        CALLBACKS if request.method == Method::Post => {
            match serde_json::from_slice::<Callback>(&request.body) {
                Ok(message) => handle_callback(message, client_context).await,
                Err(error) => Reply::new(400, format!("{error}\n")),
            }
        }
        "/health/ready" | "/health/live" | CALLBACKS => Reply::new(405, "not with this method\n"),
        _ if request.method != Method::Post => Reply::new(405, "jobs come by POST\n"),
        _ => match parse_job(&request, client_context) {
            Ok((job, wait_s)) => {
                let open = OpenRequest::new(&client_context.metrics, job.category);
                let reply = match client_context.is_overloaded() {
                    true => {
                        let retry_after_s = client_context.retry_after_s;
                        Reply {
                            retry_after_s,
                            ..Reply::new(503, "too many connections\n")
                        }
                    }
                    false => submit(request, job, wait_s, wire, read_ahead, client_context).await?,
                };
                return Some((reply, Some(open)));
            }
            Err((status, reason)) => Reply::new(status, format!("{reason}\n")),
        },
    };
    Some((reply, None))
}

/// Handles a callback of a runner. During an upgrade it may arrive at the other process of this address: it is passed
/// on to the process that holds the work item. If that process does not answer, the runner is asked to repeat it.
async fn handle_callback(callback: Callback, client_context: &ClientContext) -> Reply {
    if !client_context.handover.has_peer() {
        client_context
            .mailbox
            .call(move |exchange| _ = exchange.callback(callback))
            .await;
        return Reply::new(204, "");
    }
    let again = callback.clone();
    if client_context
        .mailbox
        .ask(move |exchange| exchange.callback(callback))
        .await
        != Some(true)
        && client_context
            .handover
            .request(PeerRequest::Callback(again))
            .await
            == PeerReply::TimedOut
    {
        return Reply::new(503, "not heard\n");
    }
    Reply::new(204, "")
}

/// Seconds of a duration given as a number and its unit: `m` for milliseconds, `u` for microseconds.
fn parse_duration_s(text: &str) -> Option<f64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: f64 = number
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)?;
    match unit {
        "m" => Some(number / 1e3),
        "u" => Some(number / 1e6),
        _ => None,
    }
}

/// The work item that a request submits, and for how many seconds its client waits.
fn parse_job(
    request: &Request,
    client_context: &ClientContext,
) -> Result<(Job, f64), (u16, &'static str)> {
    let id = request.id.as_deref().ok_or((400, "no Req-Id"))?;
    let is_path_safe = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    if id.is_empty() || id.len() > 128 || !id.bytes().all(is_path_safe) {
        return Err((400, "this Req-Id cannot stand in a path"));
    }
    let (path, query) = request
        .target
        .split_once('?')
        .unwrap_or((&request.target, ""));
    let first = path
        .trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or_default();
    let name = request.category.as_deref().unwrap_or(first);
    if name != first {
        return Err((400, "Req-Kind and the path name different categories"));
    }
    let category = client_context
        .categories
        .iter()
        .position(|c| c == name)
        .ok_or((404, "unknown category"))?;
    let wait_s = match &request.deadline {
        Some(text) => parse_duration_s(text).ok_or((400, "Req-Deadline cannot be read"))?,
        None => client_context.expiries_s[category],
    };
    let key = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("key="))
        .filter(|key| !key.is_empty());
    let (mut slots, mut memory) = (1.0, 0.0);
    for pair in request
        .extra
        .iter()
        .flat_map(|extra| extra.split(','))
        .filter(|pair| !pair.trim().is_empty())
    {
        let (name, number) = pair
            .split_once('=')
            .ok_or((400, "Req-Extra cannot be read"))?;
        let number: f64 = number
            .trim()
            .parse()
            .map_err(|_| (400, "Req-Extra cannot be read"))?;
        if !(number.is_finite() && number >= 0.0) {
            return Err((400, "Req-Extra cannot be read"));
        }
        match name.trim() {
            "slots" => slots = number,
            "memory" => memory = number,
            _ => {}
        }
    }
    let job = Job {
        category,
        key: key
            .map_or(0, |key| (name_hash(key) >> 32) as u32)
            .max(key.is_some() as u32),
        expires_at_s: 0.0,
        hint_s: 0.0,
        slots,
        memory,
    };
    Ok((job, (wait_s - REPLY_MARGIN_S).max(0.0)))
}

/// Reports to the exchange that a client has disconnected, unless the reply came first; also after a panic.
struct DisconnectGuard<'a> {
    mailbox: &'a Mailbox,
    /// Id of the work item; `None` once it has been answered.
    id: Option<Rc<str>>,
    has_disconnected: Rc<Cell<bool>>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.has_disconnected.set(true);
            self.mailbox.put(move |exchange| exchange.client_left(&id));
        }
    }
}

/// A work item that is recorded at other dispatchers. If it is dropped without a reply, the work item is recorded as
/// one that may have run.
struct Claim<'a> {
    store: &'a Store,
    /// Number of the claim in the store.
    number: u64,
    /// Whether the work item may run at most once.
    is_exclusive: bool,
    is_completed: bool,
}

impl Claim<'_> {
    fn complete(mut self, reply: &Reply) {
        self.is_completed = true;
        let (status, body) = (reply.status, Some(reply.body.to_vec()));
        // A work item that may run at most once gets a 503 only if it never ran; one that was rejected with 400 or 404
        // was never accepted.
        let may_have_run = !(status == 503 && self.is_exclusive || matches!(status, 400 | 404));
        let status = if matches!(status, 400 | 404) {
            503
        } else {
            status
        };
        self.store.complete_claim(
            self.number,
            Completion {
                status,
                may_have_run,
                body,
            },
        );
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if !self.is_completed {
            self.store.complete_claim(
                self.number,
                Completion {
                    status: 502,
                    may_have_run: true,
                    body: None,
                },
            );
        }
    }
}

/// Records a work item at other dispatchers before it is sent to a runner, if its category requires it. Returns the
/// reply if it is answered at once, because another dispatcher has had it or too few dispatchers could be reached.
async fn claim<'a>(
    request: &Request,
    job: &Job,
    client_context: &'a ClientContext,
) -> Result<Option<Claim<'a>>, Reply> {
    let Some(store) = &client_context.store else {
        return Ok(None);
    };
    let Some(recorded) = store.recorded(job.category) else {
        return Ok(None);
    };
    let (_, query) = request
        .target
        .split_once('?')
        .unwrap_or((&request.target, ""));
    let key = query.split('&').find_map(|pair| pair.strip_prefix("key="));
    let name = match recorded.is_named_by_key {
        true => key.filter(|key| !key.is_empty()),
        false => request.name.as_deref(),
    };
    let name = name.or(request.id.as_deref()).unwrap_or_default();
    let is_exclusive = recorded.window_s.is_none();
    match store
        .claim(&client_context.categories[job.category], name, recorded)
        .await
    {
        Ok(number) => Ok(number.map(|number| Claim {
            store,
            number,
            is_exclusive,
            is_completed: false,
        })),
        Err(RetryAnswer::Repeat { status, body }) => Err(Reply::new(status, body)),
        Err(RetryAnswer::WriteOff) => {
            Err(Reply::new(502, "written off: another dispatcher had it\n"))
        }
        Err(RetryAnswer::RetryLater) => {
            let retry_after_s = client_context.retry_after_s;
            Err(Reply {
                retry_after_s,
                ..Reply::new(503, "not now: its record cannot be made or is not ended\n")
            })
        }
    }
}

/// Submits a work item and waits for its reply. Meanwhile the connection is read, because its end means that the client
/// has disconnected.
async fn submit(
    request: Request,
    job: Job,
    wait_s: f64,
    wire: &mut Wire,
    read_ahead: &mut ReadAhead,
    client_context: &ClientContext,
) -> Option<Reply> {
    let claimed = match claim(&request, &job, client_context).await {
        Ok(claimed) => claimed,
        Err(reply) => return Some(reply),
    };
    let id: Rc<str> = request.id.unwrap_or_default().into();
    let Request {
        target,
        headers,
        body,
        ..
    } = request;
    let has_disconnected = Rc::new(Cell::new(false));
    let work_request = WorkRequest {
        id: id.clone(),
        target,
        headers,
        body,
        client_left: has_disconnected.clone(),
    };
    let mut disconnect_guard = DisconnectGuard {
        mailbox: &client_context.mailbox,
        id: Some(id),
        has_disconnected,
    };
    let (reply_sender, mut reply_receiver) = oneshot::channel();
    client_context
        .mailbox
        .call(move |exchange| exchange.accept(work_request, job, wait_s, reply_sender))
        .await;
    tokio::select! {
        biased;
        reply = &mut reply_receiver => {
            disconnect_guard.id = None;
            let reply = reply.unwrap_or_else(|_| Reply::new(502, "written off\n"));
            claimed.into_iter().for_each(|claim| claim.complete(&reply));
            Some(reply)
        }
        () = read_ahead.read_until_disconnected(wire) => {
            drop(reply_receiver);
            None
        }
    }
}
