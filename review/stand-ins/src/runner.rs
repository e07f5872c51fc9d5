//! A sound runner, as the protocol page describes it: it sends heartbeats to the process on its machine, starts and stops
//! what the answers say, and ends everything whose hold is over.
//!
//! The text of a task's `spec` says how long it works: `run N ms`, or `run until cancelled`; what stands behind a `#` is
//! ignored.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{serve_health, Connection};
use crate::json::{quoted, Json};
use crate::record::Record;

/// An answer to a heartbeat acknowledges it only if it comes within this time and is no longer than this.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 4 << 20;
const HOLD_MAX: Duration = Duration::from_millis(10_000);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The time after an end, or after a failed heartbeat, at which the next heartbeat is sent.
const SOON: Duration = Duration::from_millis(50);
const STOP_TIME: Duration = Duration::from_millis(100);
/// A run that fails does so after this time.
const FAIL_TIME: Duration = Duration::from_millis(60);
const MAX_LISTED_ENDS: usize = 500;

/// What a runner is, and where it is.
#[derive(Clone)]
pub struct Profile {
    pub name: String,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub control: SocketAddr,
    pub app: SocketAddr,
}

/// What can be seen at the runner from outside.
#[derive(Default)]
pub struct View {
    /// The tasks that run now.
    pub active: Vec<String>,
    pub starts: usize,
    pub done: usize,
    pub failed: usize,
    pub lapsed: usize,
    /// The answers to heartbeats that were longer than the protocol allows, and the length of the longest one.
    pub long_answers: usize,
    pub longest_answer: usize,
}

pub struct Runner {
    pub profile: Profile,
    pub view: Arc<Mutex<View>>,
    /// While set, every run that starts fails, though the health check is good.
    pub failing: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Runner {
    pub fn start(profile: Profile, record: Arc<Record>) -> Result<Runner, String> {
        let view = Arc::new(Mutex::new(View::default()));
        let failing = Arc::new(AtomicBool::new(false));
        let gone = Arc::new(AtomicBool::new(false));
        serve_health(profile.app, Arc::clone(&gone)).map_err(|error| error.to_string())?;
        let mut state = State {
            instance: format!("i-{}", profile.name),
            profile: profile.clone(),
            record,
            view: Arc::clone(&view),
            failing: Arc::clone(&failing),
            started: Instant::now(),
            sequence: 0,
            fence: 0,
            hold_until: Instant::now(),
            active: Vec::new(),
            finished: Vec::new(),
            ended_attempts: HashMap::new(),
            ends: 0,
            connection: Connection::new(profile.control),
        };
        let stop = Arc::clone(&gone);
        let thread = std::thread::spawn(move || state.run(&stop));
        Ok(Runner {
            profile,
            view,
            failing,
            gone,
            thread: Some(thread),
        })
    }

    /// The runner's process is gone: all that ran there is over, its port is dead, and it says nothing any more.
    pub fn crash(&mut self) {
        self.gone.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.view.lock().expect("no holder panics").active.clear();
    }

    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.crash();
    }
}

struct Run {
    task: String,
    attempt: u64,
    saved: String,
    started: Instant,
    /// How long the task works; `None` if it works until it is stopped.
    work: Option<Duration>,
    fails: bool,
    stopped_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

struct State {
    instance: String,
    profile: Profile,
    record: Arc<Record>,
    view: Arc<Mutex<View>>,
    failing: Arc<AtomicBool>,
    started: Instant,
    sequence: u64,
    fence: u64,
    hold_until: Instant,
    active: Vec<Run>,
    finished: Vec<End>,
    /// The highest attempt of each task that ended here.
    ended_attempts: HashMap<String, u64>,
    ends: u64,
    connection: Connection,
}

impl State {
    fn run(&mut self, stop: &AtomicBool) {
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            if self.end_runs() {
                next = next.min(Instant::now() + SOON);
            }
            if Instant::now() >= next {
                let pause = self.heartbeat();
                next = Instant::now() + pause;
            }
            std::thread::sleep(Duration::from_millis(4));
        }
    }

    /// Ends the runs whose time has come, and all of them once the hold is over. Returns whether any has ended.
    fn end_runs(&mut self) -> bool {
        let now = Instant::now();
        let (mut kept, mut ended) = (Vec::new(), Vec::new());
        for run in self.active.drain(..) {
            // A heartbeat may have kept this thread, so what came first decides, not what is seen first.
            let over = [
                (
                    run.work
                        .filter(|_| !run.fails)
                        .map(|work| run.started + work),
                    "done",
                ),
                (run.fails.then_some(run.started + FAIL_TIME), "failed"),
                (run.stopped_at.map(|at| at + STOP_TIME), "stopped"),
                (Some(self.hold_until), "lapsed"),
            ];
            let over = over.into_iter().filter_map(|(at, how)| Some((at?, how)));
            let first = over.min_by_key(|(at, _)| *at).filter(|(at, _)| now >= *at);
            let how = first.map(|(_, how)| how);
            match how {
                Some(how) => ended.push((run, how)),
                None => kept.push(run),
            }
        }
        self.active = kept;
        let any = !ended.is_empty();
        for (run, how) in ended {
            self.record.say(&format!(
                "{}: run ended: {} attempt {} {how}",
                self.profile.name, run.task, run.attempt
            ));
            let highest = self.ended_attempts.entry(run.task.clone()).or_default();
            *highest = run.attempt.max(*highest);
            self.ends += 1;
            self.finished.push(End {
                number: self.ends,
                task: run.task,
                attempt: run.attempt,
                how,
            });
            let mut view = self.view.lock().expect("no holder panics");
            match how {
                "done" => view.done += 1,
                "failed" => view.failed += 1,
                "lapsed" => view.lapsed += 1,
                _ => {}
            }
        }
        if any {
            self.show();
        }
        any
    }

    fn show(&self) {
        let active = self.active.iter().map(|run| run.task.clone()).collect();
        self.view.lock().expect("no holder panics").active = active;
    }

    /// Sends a heartbeat and does what its answer says. Returns the pause until the next one.
    fn heartbeat(&mut self) -> Duration {
        self.sequence += 1;
        let sent = Instant::now();
        let path = format!("/v1/instances/{}/heartbeat", self.instance);
        let body = self.body();
        let answer = self
            .connection
            .call("POST", "side", &path, "", &body, ANSWER_LIMIT);
        let answer = match answer {
            Ok(answer) if (200..300).contains(&answer.status) => answer,
            Ok(answer) => {
                self.record.say(&format!(
                    "{}: heartbeat {} answered {}",
                    self.profile.name, self.sequence, answer.status
                ));
                return SOON;
            }
            Err(error) => {
                self.record.say(&format!(
                    "{}: heartbeat {} without an answer: {error}",
                    self.profile.name, self.sequence
                ));
                return SOON;
            }
        };
        if answer.body.len() > MAX_ANSWER_BYTES || sent.elapsed() > ANSWER_LIMIT {
            let mut view = self.view.lock().expect("no holder panics");
            view.long_answers += 1;
            view.longest_answer = view.longest_answer.max(answer.body.len());
            self.record.say(&format!(
                "{}: heartbeat {} not acknowledged: the answer holds {} bytes and came after {} ms",
                self.profile.name,
                self.sequence,
                answer.body.len(),
                sent.elapsed().as_millis()
            ));
            return SOON;
        }
        match Json::parse(&answer.body) {
            Some(answer) => self.obey(sent, &answer),
            None => SOON,
        }
    }

    fn body(&self) -> String {
        let active: Vec<String> = self
            .active
            .iter()
            .map(|run| {
                let percent = run.work.map_or(0, |work| {
                    (run.started.elapsed().as_millis() * 100 / work.as_millis().max(1)).min(99)
                });
                format!(
                    "[{},{},{},{percent}]",
                    quoted(&run.task),
                    run.attempt,
                    quoted(&run.saved)
                )
            })
            .collect();
        let finished: Vec<String> = self
            .finished
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|end| {
                format!(
                    "[{},{},{},\"{}\",\"\"]",
                    end.number,
                    quoted(&end.task),
                    end.attempt,
                    end.how
                )
            })
            .collect();
        let labels: Vec<String> = self
            .profile
            .labels
            .iter()
            .map(|label| quoted(label))
            .collect();
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[{}],\
             \"clock_ms\":{},\"seq\":{},\"active\":[{}],\"finished\":[{}]}}",
            quoted(&self.profile.service),
            self.profile.app,
            self.profile.cpu,
            self.profile.mem_mb,
            labels.join(","),
            self.started.elapsed().as_millis(),
            self.sequence,
            active.join(","),
            finished.join(",")
        )
    }

    fn obey(&mut self, sent: Instant, answer: &Json) -> Duration {
        let pause = answer
            .get("retry_after_ms")
            .and_then(Json::number)
            .map_or(HEARTBEAT, Duration::from_millis);
        let fence = answer
            .get("fence_token")
            .and_then(Json::number)
            .unwrap_or(0);
        if fence < self.fence {
            return pause;
        }
        self.fence = fence;
        if let Some(observed) = answer.get("observed").and_then(Json::number) {
            self.finished.retain(|end| end.number > observed);
        }
        for stop in answer.get("stop").map(Json::list).unwrap_or_default() {
            let (task, attempt) = (stop.list()[0].text(), stop.list()[1].number());
            let runs = self.active.iter_mut();
            for run in runs.filter(|run| run.task == task && Some(run.attempt) == attempt) {
                run.stopped_at.get_or_insert(Instant::now());
            }
        }
        // Without a hold nothing is held on or started.
        let Some(hold_ms) = answer.get("hold_ms").and_then(Json::number) else {
            return pause;
        };
        // What has lapsed while this thread waited for the answer is over, whatever the answer says.
        self.end_runs();
        let hold = Duration::from_millis(hold_ms).min(HOLD_MAX);
        self.hold_until = self.hold_until.max(sent + hold);
        for start in answer.get("start").map(Json::list).unwrap_or_default() {
            self.start_run(start.list());
        }
        self.show();
        pause
    }

    fn start_run(&mut self, order: &[Json]) {
        let (task, spec, saved) = (order[0].text(), order[2].text(), order[3].text());
        let attempt = order[1].number().unwrap_or(0);
        let is_active = self.active.iter().any(|run| run.task == task);
        let has_ended = self
            .ended_attempts
            .get(task)
            .is_some_and(|ended| attempt <= *ended);
        if is_active || has_ended {
            return;
        }
        let fails = self.failing.load(Ordering::Relaxed);
        self.record.say(&format!(
            "{}: run started: {task} attempt {attempt}",
            self.profile.name
        ));
        self.active.push(Run {
            task: task.to_owned(),
            attempt,
            saved: saved.to_owned(),
            started: Instant::now(),
            work: work_of(spec),
            fails,
            stopped_at: None,
        });
        self.view.lock().expect("no holder panics").starts += 1;
    }
}

/// Reads from a task's `spec` how long it works.
fn work_of(spec: &str) -> Option<Duration> {
    let mut words = spec.split(' ').skip(1);
    words.next()?.parse().ok().map(Duration::from_millis)
}
