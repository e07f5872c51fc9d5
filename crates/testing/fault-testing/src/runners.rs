//! The stand-in runners. Each accepts jobs, executes them in its slots, sends reports by call-back, and applies the
//! faults of the schedule.

use crate::http::{Message, Reader};
use crate::names::Node;
use crate::play::Shared;
use crate::records::{End, HandOff, ProcessStart};
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Mutex as Lock};
use tokio::time::{sleep, timeout};

/// How often a report is tried until it is answered, and the pause between tries in seconds.
const REPORT_TRIES: usize = 10;
const REPORT_RETRY_S: f64 = 0.25;

/// The faults that affect a runner at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunnerFaults {
    pub hang: bool,
    pub mute: bool,
    pub full: bool,
    pub fail: f64,
    pub slow: f64,
    pub dead: bool,
}

impl Default for RunnerFaults {
    fn default() -> Self {
        RunnerFaults {
            hang: false,
            mute: false,
            full: false,
            fail: 0.0,
            slow: 1.0,
            dead: false,
        }
    }
}

#[derive(Default)]
struct RunnerState {
    process: u32,
    started: f64,
    cold: bool,
    running: usize,
    queue: VecDeque<usize>,
    keys: VecDeque<u64>,
}

pub(crate) struct Runner {
    pub n: usize,
    pub faults: watch::Sender<RunnerFaults>,
    state: Mutex<RunnerState>,
    /// The number of the present process. It increases when a process ends, which loses all its jobs.
    process: watch::Sender<u32>,
}

impl Runner {
    pub(crate) fn new(n: usize) -> Runner {
        Runner {
            n,
            faults: watch::Sender::new(RunnerFaults::default()),
            state: Mutex::default(),
            process: watch::Sender::new(0),
        }
    }

    /// Starts a process of the runner and returns its number. The caller updates the list.
    pub(crate) fn start_process(&self, shared: &Shared, cold: bool) -> u32 {
        let now = shared.clock.now();
        let mut state = self.state.lock().unwrap();
        let process = *self.process.borrow();
        *state = RunnerState {
            process,
            started: now,
            cold,
            ..RunnerState::default()
        };
        drop(state);
        let birth = ProcessStart {
            runner: self.n,
            process,
            at: now,
            cold,
        };
        shared.records.lock().unwrap().births.push(birth);
        process
    }

    /// Ends the process of the runner, which loses all its jobs. With `tells`, the machine reports the loss; a
    /// machine that disappeared does not.
    pub(crate) fn end_process(&self, shared: &Arc<Shared>, tells: bool) {
        self.process.send_modify(|process| *process += 1);
        let now = shared.clock.now();
        let mut records = shared.records.lock().unwrap();
        let mut lost = Vec::new();
        for ho in records
            .hos
            .iter_mut()
            .filter(|ho| ho.runner == self.n && ho.ended.is_none())
        {
            ho.ended = Some((now, End::Lost));
            lost.push((ho.id.clone(), ho.dispatcher));
        }
        drop(records);
        for (id, dispatcher) in lost.into_iter().filter(|_| tells) {
            shared.spawn(send_report(
                shared.clone(),
                self.n,
                dispatcher,
                json!({"id": id, "state": "lost"}),
            ));
        }
    }

    fn speed(&self, shared: &Shared, now: f64) -> f64 {
        let state = self.state.lock().unwrap();
        let cold = &shared.scenario.cold;
        match state.cold && cold.time.0 > 0.0 {
            true => {
                let age = ((now - state.started) / cold.time.0).clamp(0.0, 1.0);
                cold.from + (1.0 - cold.from) * age
            }
            false => 1.0,
        }
    }

    /// Returns the extra time in seconds for work whose key the runner does not hold. The runner holds the key
    /// afterwards.
    fn fetch(&self, shared: &Shared, key: u64) -> f64 {
        let mut state = self.state.lock().unwrap();
        if key == 0 || shared.scenario.runners.fetch.0 <= 0.0 {
            return 0.0;
        }
        let held = state.keys.iter().position(|k| *k == key);
        held.map(|at| state.keys.remove(at));
        state.keys.push_back(key);
        while state.keys.len() > shared.scenario.runners.keys.max(1) {
            state.keys.pop_front();
        }
        if held.is_some() {
            0.0
        } else {
            shared.scenario.runners.fetch.0
        }
    }
}

/// Serves the connections to the address of a runner.
pub(crate) async fn serve(shared: Arc<Shared>, runner: Arc<Runner>, listener: TcpListener) {
    while let Ok((stream, from)) = listener.accept().await {
        let (shared, runner) = (shared.clone(), runner.clone());
        tokio::spawn(async move {
            let (mut dies, mut faults) = (runner.process.subscribe(), runner.faults.subscribe());
            dies.borrow_and_update();
            if faults.borrow_and_update().dead {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            // The end of a process resets its connections.
            tokio::select! {
                _ = connection(&shared, &runner, stream, from) => {}
                _ = dies.changed() => {}
            }
        });
    }
}

async fn connection(
    shared: &Arc<Shared>,
    runner: &Arc<Runner>,
    stream: TcpStream,
    from: SocketAddr,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let Some(Node::Dispatcher(dispatcher)) = shared.addresses.node_of_connection(from) else {
        return Ok(());
    };
    let (read, mut write) = stream.into_split();
    let mut reader = Reader::new(read);
    let mut answered = 0;
    loop {
        let Some(message) = reader.next().await? else {
            write.shutdown().await?;
            return Ok(());
        };
        let mut faults = runner.faults.subscribe();
        let (method, target) = message.method_and_target();
        if method == "DELETE" {
            let id = target.trim_start_matches("/jobs/").to_string();
            let _ = faults.wait_for(|faults| !faults.hang).await;
            record_give_up(shared, runner, &id, dispatcher);
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            answered += answer.len() as u64;
            write.write_all(answer).await?;
            continue;
        }
        let Some(at) = record_hand_off(shared, runner, &message, from, dispatcher) else {
            write
                .write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                .await?;
            continue;
        };
        if faults.borrow_and_update().hang {
            // Sends nothing until the fault ends or the sender closes the connection.
            tokio::select! {
                _ = faults.wait_for(|faults| !faults.hang) => {}
                gone = reader.next() => {
                    record_close(shared, runner, at, from);
                    let _ = gone?;
                    return Ok(());
                }
            }
        }
        let full = {
            let state = runner.state.lock().unwrap();
            state.running + state.queue.len()
                >= shared.scenario.runners.slots + shared.scenario.runners.queue
        };
        if full || faults.borrow().full {
            record_end(shared, at, End::Declined);
            let declined =
                b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
            answered += declined.len() as u64;
            shared.records.lock().unwrap().hos[at].came_by = Some((from, answered));
            write.write_all(declined).await?;
            continue;
        }
        runner.state.lock().unwrap().queue.push_back(at);
        let accepted = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
        answered += accepted.len() as u64;
        shared.records.lock().unwrap().hos[at].came_by = Some((from, answered));
        write.write_all(accepted).await?;
        start_queued(shared, runner);
    }
}

/// Records a hand-off that has arrived. Returns its index in the records.
fn record_hand_off(
    shared: &Shared,
    runner: &Runner,
    message: &Message,
    from: SocketAddr,
    dispatcher: usize,
) -> Option<usize> {
    let id = message.header("req-id")?.to_string();
    let wait = message.header("req-deadline")?;
    let wait_s = wait
        .strip_suffix('m')
        .and_then(|ms| ms.parse::<f64>().ok())
        .map_or(0.0, |ms| ms / 1e3);
    let now = shared.clock.now();
    let trace = shared.relays.trace(from);
    let left = trace
        .and_then(|trace| trace.taken_at(message.offset))
        .unwrap_or(now);
    let (category, work_s, _) = shared.spec(&id)?;
    let process = runner.state.lock().unwrap().process;
    let mut records = shared.records.lock().unwrap();
    records.hos.push(HandOff {
        id,
        runner: runner.n,
        process,
        dispatcher,
        left,
        came: now,
        wait_s,
        category,
        work_s,
        started: None,
        ended: None,
        closed: None,
        came_by: Some((from, u64::MAX)),
    });
    Some(records.hos.len() - 1)
}

fn record_end(shared: &Shared, at: usize, how: End) {
    let now = shared.clock.now();
    shared.records.lock().unwrap().hos[at]
        .ended
        .get_or_insert((now, how));
}

/// Records that the sender closed the connection before the 202. The hand-off is given up from the time at which the
/// relay saw the close.
fn record_close(shared: &Shared, runner: &Runner, at: usize, from: SocketAddr) {
    let closed = shared
        .relays
        .trace(from)
        .and_then(|trace| trace.closed_at());
    let now = shared.clock.now();
    let mut records = shared.records.lock().unwrap();
    records.hos[at]
        .ended
        .get_or_insert((closed.unwrap_or(now), End::GivenUp));
    drop(records);
    runner
        .state
        .lock()
        .unwrap()
        .queue
        .retain(|other| *other != at);
}

fn record_give_up(shared: &Arc<Shared>, runner: &Arc<Runner>, id: &str, dispatcher: usize) {
    let now = shared.clock.now();
    let mut records = shared.records.lock().unwrap();
    let theirs =
        |ho: &&mut HandOff| ho.id == id && ho.runner == runner.n && ho.dispatcher == dispatcher;
    for ho in records.hos.iter_mut().filter(theirs) {
        ho.ended.get_or_insert((now, End::GivenUp));
    }
}

/// Starts queued jobs while slots are free.
fn start_queued(shared: &Arc<Shared>, runner: &Arc<Runner>) {
    loop {
        let at = {
            let mut state = runner.state.lock().unwrap();
            if state.running >= shared.scenario.runners.slots {
                return;
            }
            let Some(at) = state.queue.pop_front() else {
                return;
            };
            state.running += 1;
            at
        };
        let (shared, runner) = (shared.clone(), runner.clone());
        tokio::spawn(async move {
            let process = *runner.process.borrow();
            run_job(&shared, &runner, at).await;
            if *runner.process.borrow() == process {
                runner.state.lock().unwrap().running -= 1;
                start_queued(&shared, &runner);
            }
        });
    }
}

async fn run_job(shared: &Arc<Shared>, runner: &Arc<Runner>, at: usize) {
    let now = shared.clock.now();
    let (id, dispatcher, category) = {
        let mut records = shared.records.lock().unwrap();
        let ho = &mut records.hos[at];
        if ho.ended.is_some() {
            return;
        }
        ho.started = Some(now);
        (ho.id.clone(), ho.dispatcher, ho.category)
    };
    let Some((_, work_s, key)) = shared.spec(&id) else {
        return;
    };
    let mut faults = runner.faults.subscribe();
    let mut dies = runner.process.subscribe();
    dies.borrow_and_update();
    let n = runner.n;
    let report = |content: serde_json::Value| {
        if !runner.faults.borrow().mute {
            shared.spawn(send_report(shared.clone(), n, dispatcher, content));
        }
    };
    report(json!({"id": id, "state": "started"}));
    let fails = shared.draw(&id) < faults.borrow().fail.max(shared.fails(category));
    let work_s = work_s + runner.fetch(shared, key);
    let mut left = if fails { 0.2 * work_s } else { work_s };
    let all = left;
    let beat = shared.scenario.runners.progress.0;
    let mut told = shared.clock.now();
    while left > 1e-4 {
        let speed =
            runner.speed(shared, shared.clock.now()) / faults.borrow_and_update().slow.max(0.01);
        let step = (left / speed).min(0.1);
        let began = shared.clock.now();
        tokio::select! {
            () = sleep(Duration::from_secs_f64(step)) => {}
            _ = dies.changed() => return,
        }
        if faults.borrow().hang {
            tokio::select! {
                _ = faults.wait_for(|faults| !faults.hang) => {}
                _ = dies.changed() => return,
            }
            continue;
        }
        left -= (shared.clock.now() - began) * speed;
        if shared.records.lock().unwrap().hos[at].ended.is_some() {
            return;
        }
        if beat > 0.0 && shared.clock.now() >= told + beat {
            told = shared.clock.now();
            report(
                json!({"id": id, "state": "running", "share": (1.0 - left / all).clamp(0.0, 1.0)}),
            );
        }
    }
    let result = format!("{id} by {} {at}", Node::Runner(n).name());
    {
        let mut records = shared.records.lock().unwrap();
        let ho = &mut records.hos[at];
        if ho.ended.is_some() {
            return;
        }
        ho.ended = Some((
            shared.clock.now(),
            if fails { End::Failed } else { End::Done },
        ));
        records
            .results
            .entry(id.clone())
            .or_default()
            .push(result.clone());
    }
    report(match fails {
        true => json!({"id": id, "state": "failed"}),
        false => json!({"id": id, "state": "done", "result": result}),
    });
}

/// A connection for reports, kept open while it works.
pub(crate) type ReportConnection = Lock<
    Option<(
        Reader<tokio::net::tcp::OwnedReadHalf>,
        tokio::net::tcp::OwnedWriteHalf,
    )>,
>;

async fn post_report(
    shared: &Shared,
    line: &ReportConnection,
    n: usize,
    dispatcher: usize,
    body: &str,
) -> std::io::Result<u16> {
    let mut held = line.lock().await;
    let (mut reader, mut write) = match held.take() {
        Some(line) => line,
        None => {
            let socket = TcpSocket::new_v4()?;
            let at = shared
                .addresses
                .relay_address(Node::Runner(n), Node::Dispatcher(dispatcher));
            let stream = socket.connect(at).await?;
            let _ = stream.set_nodelay(true);
            let (read, write) = stream.into_split();
            (Reader::new(read), write)
        }
    };
    let head = format!(
        "POST /_jobs/news HTTP/1.1\r\nHost: d\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    write.write_all(head.as_bytes()).await?;
    let answer = reader
        .next()
        .await?
        .ok_or(std::io::ErrorKind::UnexpectedEof)?;
    if answer.header("connection") != Some("close") {
        *held = Some((reader, write));
    }
    Ok(answer.status())
}

/// Sends a report to a dispatcher until it is answered, at most ten times.
async fn send_report(
    shared: Arc<Shared>,
    n: usize,
    dispatcher: usize,
    mut content: serde_json::Value,
) {
    content["from"] = json!(Node::Runner(n).name());
    let body = content.to_string();
    let (line, alone) = (
        shared.report_connection(n, dispatcher),
        ReportConnection::default(),
    );
    for time in 0..REPORT_TRIES {
        // Retries use their own connection, so that a report that fails does not delay later ones.
        let line = if time == 0 { &*line } else { &alone };
        let told = timeout(
            Duration::from_secs(2),
            post_report(&shared, line, n, dispatcher, &body),
        )
        .await;
        if matches!(told, Ok(Ok(200 | 204))) {
            return;
        }
        sleep(Duration::from_secs_f64(REPORT_RETRY_S)).await;
    }
}
