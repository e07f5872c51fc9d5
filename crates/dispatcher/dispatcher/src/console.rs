//! The operators' door: a second address, one call to a connection.

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
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// So many callers at once: a few people, their monitors, and some that never say a word.
const PLACES: usize = 16;
/// What the door needs: its places, its listener, and one for a caller that is just let in.
pub(crate) const DESCRIPTORS: usize = PLACES + 2;
/// A call must be whole and its answer written within this each; a caller waits no longer.
const CALL_S: f64 = 1.0;

pub(crate) struct Console {
    client_context: Rc<ClientContext>,
    fleet: Option<Rc<Fleet>>,
    trial: bool,
    /// Callers whose call is not whole, the longest waiting first; ringing one shuts it out.
    unheard: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl Console {
    pub(crate) fn new(
        client_context: Rc<ClientContext>,
        fleet: Option<Rc<Fleet>>,
        trial: bool,
    ) -> Self {
        Console {
            client_context,
            fleet,
            trial,
            unheard: RefCell::default(),
        }
    }
}

pub(crate) async fn listen(listener: TcpListener, console: Rc<Console>) {
    let places = Arc::new(Semaphore::new(PLACES));
    for stamp in 0.. {
        // Guards against callers that sit on their connections: the one that has said nothing longest goes.
        let place = loop {
            match timeout(Duration::from_millis(10), places.clone().acquire_owned()).await {
                Ok(Ok(place)) => break place,
                Ok(Err(_)) => return,
                Err(_) => {
                    let longest = console.unheard.borrow_mut().pop_first();
                    longest
                        .into_iter()
                        .for_each(|(_, leave)| leave.notify_one());
                }
            }
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let console = console.clone();
                spawn_local(async move {
                    let _place = place;
                    let _ = call(stream, stamp, &console).await;
                });
            }
            Err(error) => {
                tracing::warn!("an operator's call could not be let in: {error}");
                sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

async fn call(stream: TcpStream, stamp: u64, console: &Console) -> Result<(), Fault> {
    let mut wire: Wire = wire(stream, Serving::default());
    let leave = Rc::new(Notify::new());
    console.unheard.borrow_mut().insert(stamp, leave.clone());
    let within = Duration::from_secs_f64(CALL_S);
    let read = tokio::select! {
        biased;
        read = timeout(within, next(&mut wire)) => read.unwrap_or(Some(Err(Fault::Unfinished))),
        () = leave.notified() => None,
    };
    console.unheard.borrow_mut().remove(&stamp);
    let reply = match read {
        None => return Ok(()),
        Some(Ok(request)) => {
            let bare = request.method == Method::Head;
            Reply {
                bare,
                ..answer(request, console).await
            }
        }
        Some(Err(fault)) => Reply::new(
            fault.status().ok_or(fault)?,
            "not a call that can be read\n",
        ),
    };
    let sent = timeout(
        within,
        wire.send(Reply {
            close: true,
            ..reply
        }),
    )
    .await;
    sent.map_err(|_| Fault::Unfinished)??;
    linger(wire, LINGER_S).await
}

/// The answer once the other process has heard it too, if there is one.
async fn both(known: bool, ask: PeerRequest, client_context: &ClientContext) -> Reply {
    match client_context.handover.request(ask).await {
        PeerReply::TimedOut => Reply::new(503, "the other process does not answer\n"),
        heard if known || heard == PeerReply::Yes => Reply::new(200, "ok\n"),
        _ => Reply::new(404, "no list ever named this runner\n"),
    }
}

/// The runner that a path is about, and whether it is to be out.
fn runner(path: &str) -> Option<(String, bool)> {
    let (id, what) = path.strip_prefix("/runners/")?.split_once('/')?;
    let id = percent_decode_str(id).decode_utf8().ok()?.into_owned();
    match what {
        "maint" => Some((id, true)),
        "ready" => Some((id, false)),
        _ => None,
    }
}

/// A word by hand that all dispatchers are to know: held here at once, and agreed where there is a store.
async fn for_all(
    store: &Store,
    about: OverrideTarget,
    out: bool,
    client_context: &ClientContext,
) -> Reply {
    let agreed = store.set_out_of_service(about.clone(), out).await;
    if out {
        match &about {
            OverrideTarget::Runner(id) => {
                let id = id.clone();
                client_context
                    .mailbox
                    .ask(move |exchange| exchange.by_hand(&id, true))
                    .await;
            }
            OverrideTarget::Dispatcher(_) => {}
        }
    }
    match (agreed, out) {
        (true, _) => Reply::new(200, "ok\n"),
        (false, true) => Reply::new(202, "held out here; not agreed with the others yet\n"),
        (false, false) => Reply::new(503, "not agreed with the others: still out\n"),
    }
}

async fn answer(request: Request, console: &Console) -> Reply {
    let client_context = &console.client_context;
    let path = request.target.split('?').next().unwrap_or_default();
    let looks = matches!(request.method, Method::Get | Method::Head);
    let says = request.method == Method::Post;
    match path {
        "/healthcheck" if looks && client_context.shutting_down.get() => {
            Reply::new(503, "ending\n")
        }
        "/healthcheck"
            if looks
                && !(client_context.accepts_clients.get()
                    && client_context.has_endpoints.get()) =>
        {
            Reply::new(503, "not yet\n")
        }
        // Asked of the exchange itself: guards against a yes from a process whose decisions stand still.
        "/healthcheck" if looks => match client_context.mailbox.ask(|_| ()).await {
            Some(()) => Reply::new(200, "ok\n"),
            None => Reply::new(503, "it decides nothing\n"),
        },
        "/stats" if looks => match client_context
            .mailbox
            .ask(|exchange| exchange.listed_and_avoided())
            .await
        {
            Some((listed, avoided)) => {
                Reply::new(200, client_context.figures.lines(listed, avoided))
            }
            None => Reply::new(503, "the list cannot be asked\n"),
        },
        "/healthcheck/fail" | "/healthcheck/ok" if says => {
            let on = path == "/healthcheck/fail";
            if let Some(store) = &client_context.store {
                if on {
                    client_context.drain(true);
                }
                return for_all(
                    store,
                    OverrideTarget::Dispatcher(store.name().to_string()),
                    on,
                    client_context,
                )
                .await;
            }
            client_context.drain(on);
            both(true, PeerRequest::Drain(on), client_context).await
        }
        "/members" | "/shared" if looks => match &console.fleet {
            Some(fleet) => match client_context
                .mailbox
                .ask(|exchange| (exchange.now(), exchange.named()))
                .await
            {
                Some((now, _)) if path == "/members" => Reply::new(200, fleet.members(now)),
                Some((now, named)) => {
                    Reply::new(200, fleet.shared(now, &client_context.categories, &named))
                }
                None => Reply::new(503, "it decides nothing\n"),
            },
            None => Reply::new(404, "no fleet is configured\n"),
        },
        // Only in a trial: Unix time is found to be off by so many seconds.
        _ if console.trial && says && path.starts_with("/trial/clock/") => {
            match path["/trial/clock/".len()..]
                .parse::<f64>()
                .ok()
                .filter(|by| by.is_finite())
            {
                Some(by) => match client_context
                    .mailbox
                    .ask(move |exchange| exchange.clock_jumped(by))
                    .await
                {
                    Some(()) => Reply::new(200, "ok\n"),
                    None => Reply::new(503, "it decides nothing\n"),
                },
                None => Reply::new(400, "not a number of seconds\n"),
            }
        }
        _ if path == "/store" || path.starts_with("/store/") => match &client_context.store {
            Some(store) if looks || says => {
                let reply = store.admin_call(path, says, &request.body).await;
                Reply::new(reply.status, reply.text)
            }
            Some(_) => Reply::new(405, "not with this method\n"),
            None => Reply::new(404, "no store is configured\n"),
        },
        "/members" | "/shared" => Reply::new(405, "not with this method\n"),
        "/healthcheck" | "/stats" | "/healthcheck/fail" | "/healthcheck/ok" => {
            Reply::new(405, "not with this method\n")
        }
        _ => match runner(path) {
            Some(_) if !says => Reply::new(405, "not with this method\n"),
            Some((id, out)) if client_context.store.is_some() => match &client_context.store {
                Some(store) => {
                    for_all(store, OverrideTarget::Runner(id), out, client_context).await
                }
                None => Reply::new(404, "no store is configured\n"),
            },
            Some((id, out)) => {
                let ask = PeerRequest::SetMaintenance {
                    id: id.clone(),
                    out,
                };
                match client_context
                    .mailbox
                    .ask(move |exchange| exchange.by_hand(&id, out))
                    .await
                {
                    Some(known) => both(known, ask, client_context).await,
                    None => Reply::new(503, "it decides nothing\n"),
                }
            }
            None => Reply::new(404, "no such call\n"),
        },
    }
}
