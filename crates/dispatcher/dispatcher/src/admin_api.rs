//! Admin API: a second address for operators, with one call on each connection. `docs/operators.md` lists the calls.

use crate::client_context::ClientContext;
use crate::clients::{linger, Wire, LINGER_S};
use crate::fleet::Fleet;
use crate::handover::{PeerReply, PeerRequest};
use crate::http::{next, wire, Fault, Method, Request, Serving};
use crate::store::Store;
use futures_util::SinkExt;
use percent_encoding::percent_decode_str;
use sagetrail_dispatch::Reply;
use sagetrail_replicated_store::OverrideTarget;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Largest number of callers at once: a few people, their monitors, and some that never send anything.
const MAX_CALLERS: usize = 16;
/// Descriptors for the API: its callers, its listener, and a caller that is just being accepted.
pub(crate) const DESCRIPTORS: usize = MAX_CALLERS + 2;
/// Time-out for reading a call, and for writing its reply. A caller waits no longer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a new caller waits for a permit before a silent caller is closed.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

const OK: u16 = 200;
const ACCEPTED: u16 = 202;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const METHOD_NOT_ALLOWED: u16 = 405;
const UNAVAILABLE: u16 = 503;

/// Text of the reply if the exchange does not answer.
const EXCHANGE_STALLED: &str = "it decides nothing\n";
/// Path of the call that changes the clock, in tests.
const CLOCK_PATH: &str = "/trial/clock/";

/// State on which the calls of the admin API act.
pub(crate) struct AdminApi {
    client_context: Rc<ClientContext>,
    fleet: Option<Rc<Fleet>>,
    /// Whether calls for tests are allowed.
    trial: bool,
    /// Callers whose call is not complete, the one that has waited longest first. Notifying one closes its connection.
    incomplete: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl AdminApi {
    /// Creates the API without callers.
    pub(crate) fn new(
        client_context: Rc<ClientContext>,
        fleet: Option<Rc<Fleet>>,
        trial: bool,
    ) -> Self {
        AdminApi {
            client_context,
            fleet,
            trial,
            incomplete: RefCell::default(),
        }
    }

    /// Closes the connection whose caller has been silent longest, if there is one.
    fn close_longest_silent(&self) {
        if let Some((_, close)) = self.incomplete.borrow_mut().pop_first() {
            close.notify_one();
        }
    }
}

/// Accepts callers as long as the process lasts; each is served by a task that ends with its connection.
pub(crate) async fn listen(listener: TcpListener, api: Rc<AdminApi>) {
    let permits = Arc::new(Semaphore::new(MAX_CALLERS));
    for caller in 0.. {
        let Some(permit) = acquire_permit(&permits, &api).await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let api = api.clone();
                spawn_local(async move {
                    let _permit = permit;
                    let _ = serve_call(stream, caller, &api).await;
                });
            }
            Err(error) => {
                tracing::warn!("cannot accept an admin API connection: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Acquires a permit. Callers that keep silent connections open must not block others: the one that has been silent
/// longest is closed.
async fn acquire_permit(permits: &Arc<Semaphore>, api: &AdminApi) -> Option<OwnedSemaphorePermit> {
    loop {
        match timeout(PERMIT_TIMEOUT, permits.clone().acquire_owned()).await {
            Ok(Ok(permit)) => return Some(permit),
            Ok(Err(_)) => return None,
            Err(_) => api.close_longest_silent(),
        }
    }
}

/// Reads one call, answers it and closes the connection.
async fn serve_call(stream: TcpStream, caller: u64, api: &AdminApi) -> Result<(), Fault> {
    let mut wire: Wire = wire(stream, Serving::default());
    let close = Rc::new(Notify::new());
    api.incomplete.borrow_mut().insert(caller, close.clone());
    let read = tokio::select! {
        biased;
        read = timeout(CALL_TIMEOUT, next(&mut wire)) => read.unwrap_or(Some(Err(Fault::Unfinished))),
        () = close.notified() => None,
    };
    api.incomplete.borrow_mut().remove(&caller);
    let reply = match read {
        None => return Ok(()),
        Some(Ok(request)) => {
            let headers_only = request.method == Method::Head;
            Reply {
                headers_only,
                ..answer(request, api).await
            }
        }
        Some(Err(fault)) => Reply::new(
            fault.status().ok_or(fault)?,
            "not a call that can be read\n",
        ),
    };
    let sent = timeout(
        CALL_TIMEOUT,
        wire.send(Reply {
            close_connection: true,
            ..reply
        }),
    )
    .await;
    sent.map_err(|_| Fault::Unfinished)??;
    linger(wire, LINGER_S).await
}

/// A call of the admin API.
enum Call {
    Health,
    Counters,
    Drain(bool),
    Members,
    SharedState,
    JumpClock,
    Store,
    Maintenance(Maintenance),
    Unknown,
}

/// Takes a runner out of service (`out`) or puts it back.
struct Maintenance {
    runner: String,
    out: bool,
}

impl Maintenance {
    fn parse(path: &str) -> Option<Maintenance> {
        let (runner, what) = path.strip_prefix("/runners/")?.split_once('/')?;
        let runner = percent_decode_str(runner).decode_utf8().ok()?.into_owned();
        let out = match what {
            "maint" => true,
            "ready" => false,
            _ => return None,
        };
        Some(Maintenance { runner, out })
    }
}

impl Call {
    fn parse(path: &str, api: &AdminApi, is_post: bool) -> Call {
        match path {
            "/healthcheck" => Call::Health,
            "/stats" => Call::Counters,
            "/healthcheck/fail" => Call::Drain(true),
            "/healthcheck/ok" => Call::Drain(false),
            "/members" => Call::Members,
            "/shared" => Call::SharedState,
            _ if api.trial && is_post && path.starts_with(CLOCK_PATH) => Call::JumpClock,
            _ if path == "/store" || path.starts_with("/store/") => Call::Store,
            _ => Maintenance::parse(path).map_or(Call::Unknown, Call::Maintenance),
        }
    }
}

async fn answer(request: Request, api: &AdminApi) -> Reply {
    let path = request.target.split('?').next().unwrap_or_default();
    let is_read = matches!(request.method, Method::Get | Method::Head);
    let is_post = request.method == Method::Post;
    match Call::parse(path, api, is_post) {
        Call::Health if is_read => api.health().await,
        Call::Counters if is_read => api.counters().await,
        Call::Drain(on) if is_post => api.drain(on).await,
        Call::Members if is_read => api.members().await,
        Call::SharedState if is_read => api.shared_state().await,
        Call::JumpClock => api.jump_clock(&path[CLOCK_PATH.len()..]).await,
        Call::Store => api.store(path, &request, is_read, is_post).await,
        Call::Maintenance(maintenance) if is_post => api.maintain(maintenance).await,
        Call::Unknown => Reply::new(NOT_FOUND, "no such call\n"),
        _ => method_not_allowed(),
    }
}

fn method_not_allowed() -> Reply {
    Reply::new(METHOD_NOT_ALLOWED, "not with this method\n")
}

impl AdminApi {
    async fn health(&self) -> Reply {
        let context = &self.client_context;
        if context.shutting_down.get() {
            return Reply::new(UNAVAILABLE, "ending\n");
        }
        if !(context.accepts_clients.get() && context.has_endpoints.get()) {
            return Reply::new(UNAVAILABLE, "not yet\n");
        }
        // The exchange itself is asked, so that a process that no longer makes decisions does not report that it is
        // healthy.
        match context.mailbox.ask(|_| ()).await {
            Some(()) => Reply::new(OK, "ok\n"),
            None => Reply::new(UNAVAILABLE, EXCHANGE_STALLED),
        }
    }

    async fn counters(&self) -> Reply {
        let context = &self.client_context;
        match context
            .mailbox
            .ask(|exchange| exchange.listed_and_avoided())
            .await
        {
            Some((listed, avoided)) => Reply::new(OK, context.metrics.render(listed, avoided)),
            None => Reply::new(UNAVAILABLE, "the list cannot be asked\n"),
        }
    }

    /// Begins or ends a drain. With a store all dispatchers are to know of it: it begins here at once, and ends when
    /// the end is committed.
    async fn drain(&self, on: bool) -> Reply {
        let context = &self.client_context;
        if let Some(store) = &context.store {
            if on {
                context.drain(true);
            }
            let target = OverrideTarget::Dispatcher(store.name().to_string());
            return self.commit_override(store, target, on).await;
        }
        context.drain(on);
        self.forward_to_peer(true, PeerRequest::Drain(on)).await
    }

    async fn members(&self) -> Reply {
        let Some(fleet) = &self.fleet else {
            return no_fleet();
        };
        match self
            .client_context
            .mailbox
            .ask(|exchange| exchange.now())
            .await
        {
            Some(now) => Reply::new(OK, fleet.members(now)),
            None => Reply::new(UNAVAILABLE, EXCHANGE_STALLED),
        }
    }

    async fn shared_state(&self) -> Reply {
        let Some(fleet) = &self.fleet else {
            return no_fleet();
        };
        let context = &self.client_context;
        let asked = context
            .mailbox
            .ask(|exchange| (exchange.now(), exchange.runner_starts()))
            .await;
        match asked {
            Some((now, named)) => Reply::new(OK, fleet.shared(now, &context.categories, &named)),
            None => Reply::new(UNAVAILABLE, EXCHANGE_STALLED),
        }
    }

    /// Only in tests: changes the Unix time by a number of seconds.
    async fn jump_clock(&self, seconds: &str) -> Reply {
        let by_s = seconds.parse::<f64>().ok().filter(|by_s| by_s.is_finite());
        let Some(by_s) = by_s else {
            return Reply::new(BAD_REQUEST, "not a number of seconds\n");
        };
        let jumped = self
            .client_context
            .mailbox
            .ask(move |exchange| exchange.clock_jumped(by_s))
            .await;
        match jumped {
            Some(()) => Reply::new(OK, "ok\n"),
            None => Reply::new(UNAVAILABLE, EXCHANGE_STALLED),
        }
    }

    async fn store(&self, path: &str, request: &Request, is_read: bool, is_post: bool) -> Reply {
        match &self.client_context.store {
            Some(store) if is_read || is_post => {
                let reply = store.admin_call(path, is_post, &request.body).await;
                Reply::new(reply.status, reply.text)
            }
            Some(_) => method_not_allowed(),
            None => Reply::new(NOT_FOUND, "no store is configured\n"),
        }
    }

    async fn maintain(&self, maintenance: Maintenance) -> Reply {
        let Maintenance { runner: id, out } = maintenance;
        if let Some(store) = &self.client_context.store {
            return self
                .commit_override(store, OverrideTarget::Runner(id), out)
                .await;
        }
        match self.set_maintenance(id.clone(), out).await {
            Some(known) => {
                let request = PeerRequest::SetMaintenance { id, out };
                self.forward_to_peer(known, request).await
            }
            None => Reply::new(UNAVAILABLE, EXCHANGE_STALLED),
        }
    }

    /// Sets whether a runner is out of service. Returns whether it is known here; `None` if the exchange does not
    /// answer.
    async fn set_maintenance(&self, id: String, out: bool) -> Option<bool> {
        self.client_context
            .mailbox
            .ask(move |exchange| exchange.set_out_of_service(&id, out))
            .await
    }

    /// Commits a command that all dispatchers are to know. Taking out of service takes effect here at once.
    async fn commit_override(&self, store: &Store, target: OverrideTarget, out: bool) -> Reply {
        let agreed = store.set_out_of_service(target.clone(), out).await;
        if let (OverrideTarget::Runner(id), true) = (target, out) {
            self.set_maintenance(id, true).await;
        }
        match (agreed, out) {
            (true, _) => Reply::new(OK, "ok\n"),
            (false, true) => {
                Reply::new(ACCEPTED, "held out here; not agreed with the others yet\n")
            }
            (false, false) => Reply::new(UNAVAILABLE, "not agreed with the others: still out\n"),
        }
    }

    /// Passes a command on to the other process of an upgrade, if there is one, and replies after that.
    async fn forward_to_peer(&self, known: bool, request: PeerRequest) -> Reply {
        match self.client_context.handover.request(request).await {
            PeerReply::TimedOut => Reply::new(UNAVAILABLE, "the other process does not answer\n"),
            reply if known || reply == PeerReply::Yes => Reply::new(OK, "ok\n"),
            _ => Reply::new(NOT_FOUND, "no list ever named this runner\n"),
        }
    }
}

fn no_fleet() -> Reply {
    Reply::new(NOT_FOUND, "no fleet is configured\n")
}
