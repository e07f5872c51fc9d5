//! The stand-in clients. They form an open loop: a late answer does not delay later requests.

use crate::http::Reader;
use crate::names::Node;
use crate::play::{Shared, Spec};
use crate::records::RequestRecord;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

type Connection = (Reader<OwnedReadHalf>, OwnedWriteHalf);

/// Idle connections, by dispatcher.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Vec<Mutex<Vec<Connection>>>,
}

impl Pool {
    pub(crate) fn new(dispatchers: usize) -> Pool {
        Pool {
            idle: (0..dispatchers).map(|_| Mutex::default()).collect(),
        }
    }
}

/// A planned request: its time in seconds since the run began, its category, its dispatcher and its id. All requests
/// are drawn before the run begins.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub at: f64,
    pub category: usize,
    pub dispatcher: usize,
    pub id: String,
}

pub(crate) fn plan(shared: &Shared, crowd: impl Fn(f64) -> f64) -> Vec<Plan> {
    let scenario = &shared.scenario;
    let shares: Vec<f64> = (0..scenario.processes)
        .map(|n| {
            let site = &shared.participants.sites[n % shared.participants.sites.len()];
            scenario
                .clients
                .shares
                .get(site)
                .copied()
                .unwrap_or(1.0)
                .max(0.0)
        })
        .collect();
    let all: f64 = shares.iter().sum();
    let mut plans = Vec::new();
    for (category, terms) in scenario.categories.iter().enumerate() {
        let mut rng =
            Pcg64Mcg::seed_from_u64(shared.seed.wrapping_mul(31).wrapping_add(category as u64));
        let (mut at, mut n) = (0.0f64, 0);
        if terms.rate <= 0.0 {
            continue;
        }
        loop {
            // A crowd changes only the scale of the gaps, so that the draws are the same at any rate.
            at += -(1.0 - rng.random::<f64>()).ln() / (terms.rate * crowd(at).max(1e-3));
            if at >= scenario.length.0 {
                break;
            }
            let mut position = rng.random::<f64>() * all;
            let dispatcher = shares.iter().position(|share| {
                position -= share;
                position < 0.0
            });
            let work_s = terms.work.0 * rng.random_range(0.5..1.5);
            let key = if terms.keys > 0 {
                rng.random_range(1..=terms.keys)
            } else {
                0
            };
            let id = format!("{:08x}-{category}-{n}", shared.seed as u32);
            n += 1;
            shared.specs.lock().unwrap().insert(
                id.clone(),
                Spec {
                    category,
                    work_s,
                    key: u64::from(key),
                },
            );
            plans.push(Plan {
                at,
                category,
                dispatcher: dispatcher.unwrap_or(0),
                id,
            });
        }
    }
    plans.sort_by(|a, b| a.at.total_cmp(&b.at));
    plans
}

/// Sends all requests at their times and waits until each has ended.
pub(crate) async fn send(shared: Arc<Shared>, plans: Vec<Plan>, begin: f64) {
    let mut open = Vec::new();
    for plan in plans {
        let at = begin + plan.at;
        shared.clock.until(at).await;
        let shared = shared.clone();
        open.push(tokio::spawn(
            async move { run_request(shared, plan, at).await },
        ));
    }
    for request in open {
        let _ = request.await;
    }
}

async fn run_request(shared: Arc<Shared>, plan: Plan, at: f64) {
    let terms = &shared.scenario.categories[plan.category];
    let end = at + terms.expiry.0;
    let (mut intended, mut id, mut dispatcher) = (at, plan.id.clone(), plan.dispatcher);
    for time in 0..shared.scenario.clients.tries.max(1) {
        if time > 0 {
            id = format!("{}-{time}", plan.id);
            let spec = shared.specs.lock().unwrap().get(&plan.id).copied();
            spec.map(|spec| shared.specs.lock().unwrap().insert(id.clone(), spec));
        }
        let first = (time > 0).then(|| plan.id.clone());
        let wi = try_request(&shared, &plan, id.clone(), dispatcher, intended, end, first).await;
        let again = match &wi.answer {
            Some((_, 503 | 429, _)) => Some(wi.come_back_s.unwrap_or(0.5)),
            Some((_, 502, _)) if terms.repeat == "rerunnable" => Some(0.5),
            None if wi.refused || terms.repeat == "rerunnable" => Some(0.5),
            // Recorded work may be repeated under its name, whichever dispatcher had it.
            None if terms.record > 0 => Some(0.2),
            _ => None,
        };
        let Some(pause) = again.filter(|pause| shared.clock.now() + pause < end) else {
            return;
        };
        intended = shared.clock.now() + pause;
        shared.clock.until(intended).await;
        dispatcher = (dispatcher + usize::from(wi.answer.is_none())) % shared.scenario.processes;
    }
}

/// Makes one try of a request and records it.
async fn try_request(
    shared: &Arc<Shared>,
    plan: &Plan,
    id: String,
    dispatcher: usize,
    intended: f64,
    end: f64,
    first: Option<String>,
) -> RequestRecord {
    let work_s = shared.spec(&id).map_or(0.0, |(_, work_s, _)| work_s);
    let mut wi = RequestRecord {
        id,
        category: plan.category,
        dispatcher,
        intended,
        wait_s: end - intended,
        work_s,
        first,
        ..RequestRecord::default()
    };
    // The load balancer does not know which dispatchers are dead, but tries the next one if a connection is refused.
    for beyond in 0..shared.scenario.processes {
        wi.dispatcher = (dispatcher + beyond) % shared.scenario.processes;
        match exchange(shared, &mut wi, end).await {
            Err(error) if wi.sent.is_none() => {
                wi.refused = error.kind() == io::ErrorKind::ConnectionRefused;
                if !wi.refused {
                    wi.closed = Some(shared.clock.now());
                    break;
                }
            }
            Err(_) => {
                wi.closed = Some(shared.clock.now());
                break;
            }
            Ok(()) => break,
        }
    }
    shared.records.lock().unwrap().wis.push(wi.clone());
    wi
}

async fn exchange(shared: &Arc<Shared>, wi: &mut RequestRecord, end: f64) -> io::Result<()> {
    let terms = &shared.scenario.categories[wi.category];
    let key = shared.spec(&wi.id).map_or(0, |(.., key)| key);
    let target = match key {
        0 => format!("/{}", terms.name),
        key => format!("/{}?key={key:x}", terms.name),
    };
    // Waits for 1.5 s past the expiry in order to record late answers.
    let answer_timeout = Duration::from_secs_f64((end - shared.clock.now()).max(0.0) + 1.5);
    let at = shared
        .addresses
        .relay_address(Node::Clients, Node::Dispatcher(wi.dispatcher));
    let mut reused = {
        let mut idle = shared.pool.idle[wi.dispatcher].lock().unwrap();
        idle.retain(|(reader, _)| !reader.is_closed());
        idle.pop()
    };
    loop {
        let old = reused.is_some();
        let (mut reader, mut write) = match reused.take() {
            Some(connection) => connection,
            None => {
                let dial = timeout(Duration::from_secs(1), TcpStream::connect(at)).await;
                let stream = dial.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                let _ = stream.set_nodelay(true);
                let (read, write) = stream.into_split();
                (Reader::new(read), write)
            }
        };
        let now = shared.clock.now();
        let wait_ms = ((end - now) * 1e3).max(1.0) as u64;
        let head = format!(
            "POST {target} HTTP/1.1\r\nHost: d\r\nReq-Id: {}\r\nReq-Kind: {}\r\nReq-Deadline: {wait_ms}m\r\n\
             Req-Name: {}\r\nContent-Length: 5\r\n\r\nwaves",
            wi.id,
            terms.name,
            wi.first.as_ref().unwrap_or(&wi.id)
        );
        let sent = write.write_all(head.as_bytes()).await;
        if sent.is_ok() {
            wi.sent = Some(shared.clock.now());
        } else if old {
            wi.sent = None;
            continue;
        }
        sent?;
        let answer = timeout(answer_timeout, reader.next()).await;
        let closed = matches!(answer, Ok(Ok(None)) | Ok(Err(_)));
        if closed
            && old
            && !reader.has_partial_message()
            && !shared.killed_since(wi.dispatcher, now - 0.1)
        {
            // The request crossed the dispatcher's close of an idle connection, so it is sent again on a new one.
            // That is not done if the dispatcher was killed, because it may have read the request.
            wi.sent = None;
            continue;
        }
        let answer = answer.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        wi.answer = Some((shared.clock.now(), answer.status(), body));
        wi.come_back_s = answer.header("retry-after").and_then(|s| s.parse().ok());
        if answer.header("connection") != Some("close") {
            shared.pool.idle[wi.dispatcher]
                .lock()
                .unwrap()
                .push((reader, write));
        }
        return Ok(());
    }
}
