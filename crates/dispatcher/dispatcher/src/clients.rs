//! The clients' side, and the runners' call-backs, which come to the same address.

use crate::client_context::ClientContext;
use crate::handover::{PeerReply, PeerRequest};
use crate::http::{next, wire, Fault, Method, Request, Serving, BODY_MOST, HEAD_MOST};
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

pub(crate) type Wire = Framed<TcpStream, Serving>;

/// Where runners bring their news.
const CALLBACKS: &str = "/_jobs/news";

/// An idle connection is kept this long: longer than clients pause, short of for ever.
const IDLE_S: f64 = 75.0;
/// A new connection's first request is on its way this long at the most: a few round trips and a pause.
const FRESH_S: f64 = 0.5;
/// A request once begun must be whole after this, an answer written: many times a slow client's need.
const SLOW_S: f64 = 5.0;
/// A connection that is closed is read this long for what was under way: several round trips.
pub(crate) const LINGER_S: f64 = 0.5;
/// A work item expires this much before its client gives up: the way there and back, and a moment in which
/// this process had no core.
const WAY_S: f64 = 0.025;

/// Counts something as long as it lives, also through a panic.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Counted(cell)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

pub(crate) async fn listen(listener: TcpListener, client_context: Rc<ClientContext>) {
    let places = Arc::new(Semaphore::new(
        client_context.budget.clients + client_context.budget.rejected_clients,
    ));
    loop {
        // Guards against clients that keep many connections: the longest idle makes room.
        let place = loop {
            match timeout(Duration::from_millis(10), places.clone().acquire_owned()).await {
                Ok(Ok(place)) => break place,
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
                    let (_place, _placed) = (place, Counted::new(&client_context.placed));
                    let open = Counted::new(&client_context.open);
                    let Ok(Some((wire, within_s))) = connection(stream, &client_context).await
                    else {
                        return;
                    };
                    // It keeps its place, but takes nobody's: no work is turned away for one that is on its way out.
                    let _unsettled = Counted::new(&client_context.unsettled);
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

/// What comes next on a connection.
enum Come {
    Request(Request),
    /// One that cannot be read, or is never whole.
    Fault(Fault),
    /// Its client has closed it.
    Gone,
    /// It is this one's turn to be closed.
    Close,
}

impl Come {
    fn read(read: Option<Result<Request, Fault>>) -> Come {
        match read {
            Some(Ok(request)) => Come::Request(request),
            Some(Err(fault)) => Come::Fault(fault),
            None => Come::Gone,
        }
    }
}

/// A connection's life up to its close: what is left to be read to its end and for how long, if anybody is there.
async fn connection(
    stream: TcpStream,
    client_context: &ClientContext,
) -> Result<Option<(Wire, f64)>, Fault> {
    let mut wire = wire(stream, Serving::default());
    let mut fresh = Some(Instant::now());
    let mut ahead = Ahead::default();
    let mut callback = false;
    loop {
        let come = match ahead.read.take() {
            Some(read) => Come::read(Some(read)),
            None => request(&mut wire, fresh.take(), callback, client_context).await,
        };
        let unsettled = Counted::new(&client_context.unsettled);
        let overrun = std::mem::take(&mut ahead.overrun);
        let (mut reply, open, keep) = match come {
            Come::Gone => return Ok(None),
            // Guards against a reset over a request that crosses the close: it is read and left, and its client, who
            // sees a plain end, sends it once more elsewhere.
            Come::Close => {
                let within_s = if client_context.is_full() {
                    0.0
                } else {
                    LINGER_S
                };
                return Ok(Some((wire, within_s)));
            }
            Come::Request(request) => {
                let _busy = Counted::new(&client_context.busy);
                let keep = request.keep && !overrun;
                callback = request.target == CALLBACKS;
                let headers_only = request.method == Method::Head;
                let Some((reply, open)) =
                    answer(request, &mut wire, &mut ahead, client_context).await
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
            Come::Fault(fault) => {
                let Some(status) = fault.status() else {
                    return Err(fault);
                };
                (Reply::new(status, format!("{fault}\n")), None, false)
            }
        };
        let busy = Counted::new(&client_context.busy);
        reply.close_connection = !keep
            || client_context.closes_after_answer(callback)
            || client_context.open.get() > client_context.budget.clients;
        let (close, status) = (reply.close_connection, reply.status);
        let sent = timeout(Duration::from_secs_f64(SLOW_S), wire.send(reply)).await;
        sent.map_err(|_| Fault::Unfinished)??;
        open.into_iter().for_each(|open| open.answered(status));
        drop(busy);
        if close {
            return Ok(Some((wire, LINGER_S)));
        }
        drop(unsettled);
    }
}

/// Waits for the next request.
async fn request(
    wire: &mut Wire,
    fresh: Option<Instant>,
    callback: bool,
    client_context: &ClientContext,
) -> Come {
    // Guards against shutting a new connection whose first request is under way: its client takes that for a
    // request lost, and sends nothing again, unlike on a connection that has served.
    let until = fresh.map(|opened| opened + Duration::from_secs_f64(FRESH_S));
    let come = match until {
        Some(until) => {
            let _unsettled = Counted::new(&client_context.unsettled);
            timeout_at(until, begun(wire)).await.ok()
        }
        None => None,
    };
    let come = match come {
        Some(come) => Some(come),
        None => idle(wire, callback, client_context).await,
    };
    match come {
        None => Come::Close,
        Some(Some(read)) => Come::read(read),
        Some(None) => {
            // Guards against an end of the process in the middle of a request.
            let _unsettled = Counted::new(&client_context.unsettled);
            let read = timeout(Duration::from_secs_f64(SLOW_S), next(wire)).await;
            Come::read(read.unwrap_or(Some(Err(Fault::Unfinished))))
        }
    }
}

/// Waits as one of the idle connections; `None` if it is this one's turn to be closed.
async fn idle(wire: &mut Wire, callback: bool, client_context: &ClientContext) -> Option<Begun> {
    let (idle_key, close) = (client_context.next_idle_key(), Rc::new(Notify::new()));
    client_context
        .idle
        .borrow_mut()
        .insert(idle_key, close.clone());
    let mut closing = client_context.closing.subscribe();
    let come = tokio::select! {
        biased;
        come = begun(wire) => Some(come),
        () = close.notified() => None,
        _ = closing.wait_for(|closing| *closing && client_context.may_close(callback)) => None,
        () = sleep(Duration::from_secs_f64(IDLE_S)) => None,
    };
    client_context.idle.borrow_mut().remove(&idle_key);
    if come.is_some() {
        return come;
    }
    // What came in the same moment, and was not read yet, is a request like any.
    yield_now().await;
    tokio::select! {
        biased;
        come = begun(wire) => Some(come),
        () = ready(()) => None,
    }
}

/// What came first: nothing whole yet, or all that `next` says.
type Begun = Option<Option<Result<Request, Fault>>>;

/// Waits for the first bytes of a request.
async fn begun(wire: &mut Wire) -> Begun {
    poll_fn(|cx| match Pin::new(&mut *wire).poll_next(cx) {
        Poll::Ready(read) => Poll::Ready(Some(read)),
        Poll::Pending if !wire.read_buffer().is_empty() || !wire.codec().between() => {
            Poll::Ready(None)
        }
        Poll::Pending => Poll::Pending,
    })
    .await
}

/// Ends a connection so that the answer is still read: says the end, then reads what was under way, for so long.
pub(crate) async fn linger(wire: Wire, most_s: f64) -> Result<(), Fault> {
    let mut stream = wire.into_inner();
    stream.shutdown().await?;
    let mut rest = [0; 1024];
    if most_s <= 0.0 {
        // At once: a timer would hold its place for a moment, and whole rounds of idle connections with it.
        for _ in 0..64 {
            if !matches!(stream.try_read(&mut rest), Ok(1..)) {
                break;
            }
        }
        return Ok(());
    }
    let read = async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} };
    let _ = timeout(Duration::from_secs_f64(most_s), read).await;
    Ok(())
}

/// What came while an answer was awaited: the next request, and whether there was more behind it than is kept.
#[derive(Default)]
struct Ahead {
    read: Option<Result<Request, Fault>>,
    overrun: bool,
}

impl Ahead {
    /// Reads on while an answer is awaited; ends when the client has gone. Guards against one that sends much at once and
    /// goes: unread bytes would hide its leaving. What is behind the next request stays in the wire's own buffer, as
    /// much as one request may be long; who sends more has its connection closed after the next answer.
    async fn until_gone(&mut self, wire: &mut Wire) {
        loop {
            if self.read.is_none() {
                match next(wire).await {
                    None | Some(Err(Fault::Broken(_))) => return,
                    // One that cannot be read says nothing about the one that waits.
                    read => self.read = read,
                }
            } else if wire.read_buffer().len() > HEAD_MOST + BODY_MOST {
                wire.read_buffer_mut().clear();
                self.overrun = true;
            } else {
                // Nothing is held across the wait: it may be dropped there, when the answer comes.
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

/// The answer to a request, and the work item that it ends; `None` if its client has gone.
async fn answer(
    request: Request,
    wire: &mut Wire,
    ahead: &mut Ahead,
    client_context: &ClientContext,
) -> Option<(Reply, Option<OpenRequest>)> {
    let path = request.target.split('?').next().unwrap_or_default();
    let looks = matches!(request.method, Method::Get | Method::Head);
    let reply = match path {
        "/health/ready"
            if looks
                && client_context.shutting_down.get()
                && !client_context.handing_over.get() =>
        {
            Reply::new(503, "ending\n")
        }
        "/health/ready" if looks && client_context.drained.get() => {
            Reply::new(503, "drained by hand\n")
        }
        "/health/ready" if looks && !client_context.has_endpoints.get() => {
            Reply::new(503, "no list yet\n")
        }
        "/health/ready" | "/health/live" if looks => Reply::new(200, "ok\n"),
        CALLBACKS if request.method == Method::Post => {
            match serde_json::from_slice::<Callback>(&request.body) {
                Ok(told) => callback(told, client_context).await,
                Err(error) => Reply::new(400, format!("{error}\n")),
            }
        }
        "/health/ready" | "/health/live" | CALLBACKS => Reply::new(405, "not with this method\n"),
        _ if request.method != Method::Post => Reply::new(405, "jobs come by POST\n"),
        _ => match job(&request, client_context) {
            Ok((job, wait_s)) => {
                let open = OpenRequest::new(&client_context.figures, job.category);
                let reply = match client_context.is_overloaded() {
                    true => {
                        let retry_after_s = client_context.retry_after_s;
                        Reply {
                            retry_after_s,
                            ..Reply::new(503, "too many connections\n")
                        }
                    }
                    false => work(request, job, wait_s, wire, ahead, client_context).await?,
                };
                return Some((reply, Some(open)));
            }
            Err((status, why)) => Reply::new(status, format!("{why}\n")),
        },
    };
    Some((reply, None))
}

/// What a runner tells. Guards against news that come to the other process at this address: they go to the one
/// that holds the work item, and the runner tells again what that did not hear.
async fn callback(callback: Callback, client_context: &ClientContext) -> Reply {
    if !client_context.handover.linked() {
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

/// A number and a unit: milliseconds or microseconds.
fn seconds(text: &str) -> Option<f64> {
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

/// The work item that a request asks for, and how long its client waits.
fn job(
    request: &Request,
    client_context: &ClientContext,
) -> Result<(Job, f64), (u16, &'static str)> {
    let id = request.id.as_deref().ok_or((400, "no Req-Id"))?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    if id.is_empty() || id.len() > 128 || !id.bytes().all(plain) {
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
    let wait_s = match &request.waits {
        Some(text) => seconds(text).ok_or((400, "Req-Deadline cannot be read"))?,
        None => client_context.expiries[category],
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
        let (name, figure) = pair
            .split_once('=')
            .ok_or((400, "Req-Extra cannot be read"))?;
        let figure: f64 = figure
            .trim()
            .parse()
            .map_err(|_| (400, "Req-Extra cannot be read"))?;
        if !(figure.is_finite() && figure >= 0.0) {
            return Err((400, "Req-Extra cannot be read"));
        }
        match name.trim() {
            "slots" => slots = figure,
            "memory" => memory = figure,
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
    Ok((job, (wait_s - WAY_S).max(0.0)))
}

/// Tells the exchange when a client leaves, also through a panic.
struct Waiting<'a> {
    mailbox: &'a Mailbox,
    id: Option<Rc<str>>,
    gone: Rc<Cell<bool>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.gone.set(true);
            self.mailbox.put(move |exchange| exchange.client_left(&id));
        }
    }
}

/// A work item that others know of; left without an answer, it may have run.
struct Claim<'a> {
    store: &'a Store,
    no: u64,
    exclusive: bool,
    told: bool,
}

impl Claim<'_> {
    fn ended(mut self, reply: &Reply) {
        self.told = true;
        let (status, body) = (reply.status, Some(reply.body.to_vec()));
        // At-most-once work is deferred only if it never ran; what was refused at the door was never taken.
        let ran = !(status == 503 && self.exclusive || matches!(status, 400 | 404));
        let status = if matches!(status, 400 | 404) {
            503
        } else {
            status
        };
        self.store.complete_claim(
            self.no,
            Completion {
                status,
                may_have_run: ran,
                body,
            },
        );
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if !self.told {
            self.store.complete_claim(
                self.no,
                Completion {
                    status: 502,
                    may_have_run: true,
                    body: None,
                },
            );
        }
    }
}

/// Makes known to others what its category says is to be known before it is handed off; what is answered at once
/// where another has had it, or too few could be told.
async fn record<'a>(
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
    let called = match recorded.by_key {
        true => key.filter(|key| !key.is_empty()),
        false => request.name.as_deref(),
    };
    let called = called.or(request.id.as_deref()).unwrap_or_default();
    let exclusive = recorded.window_s.is_none();
    match store
        .claim(&client_context.categories[job.category], called, recorded)
        .await
    {
        Ok(no) => Ok(no.map(|no| Claim {
            store,
            no,
            exclusive,
            told: false,
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

/// Hands a work item in and waits for its answer, reading on: a client that closes has left.
async fn work(
    request: Request,
    job: Job,
    wait_s: f64,
    wire: &mut Wire,
    ahead: &mut Ahead,
    client_context: &ClientContext,
) -> Option<Reply> {
    let claimed = match record(&request, &job, client_context).await {
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
    let gone = Rc::new(Cell::new(false));
    let work_request = WorkRequest {
        id: id.clone(),
        target,
        headers,
        body,
        client_left: gone.clone(),
    };
    let mut waiting = Waiting {
        mailbox: &client_context.mailbox,
        id: Some(id),
        gone,
    };
    let (tell, mut told) = oneshot::channel();
    client_context
        .mailbox
        .call(move |exchange| exchange.accept(work_request, job, wait_s, tell))
        .await;
    tokio::select! {
        biased;
        reply = &mut told => {
            waiting.id = None;
            let reply = reply.unwrap_or_else(|_| Reply::new(502, "written off\n"));
            claimed.into_iter().for_each(|claim| claim.ended(&reply));
            Some(reply)
        }
        () = ahead.until_gone(wire) => {
            drop(told);
            None
        }
    }
}
