//! The agent's process: heartbeats and orders in, answers and reports out.

mod looks;
mod messages;

use crate::answer::{bare, Answer, Start, Stop};
use crate::distribution::ConfigRelay;
use crate::heartbeat::{Heartbeat, HeartbeatError};
use crate::orders::OrderBook;
use crate::pace::ReportPace;
use crate::path::Call;
use crate::report::{build, Heading};
use crate::runner::{Admission, RunnerRegister};
use crate::settings::{AgentSettings, Counters};
use crate::uplink::Uplink;
use crate::watch::RunnerWatch;
use sagetrail_protocol::agent::RUNNER_LEASE_MS;
use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::node::{
    Event, HttpEndpoint, HttpReply, HttpRequest, Method, Node, Now, Outbox,
};
use sagetrail_protocol::{Message, NodeId, NodeKind, Time};

/// After the notice of its end the process serves on for so long, in milliseconds, if its grace allows.
const LAST_SERVICE_MS: u64 = 800;
/// At most this part of its grace is spent serving on.
const LAST_SERVICE_SHARE: f64 = 0.5;
/// A hold that is shorter starts nothing: the run would be over at once. In milliseconds.
const MIN_START_HOLD_MS: u64 = 500;
/// The next heartbeat is wanted after so many milliseconds while anything runs or is to run.
const BUSY_RETRY_MS: u64 = 100;
/// The next heartbeat is wanted after so many milliseconds while nothing runs.
const IDLE_RETRY_MS: u64 = 200;

/// The logic of the process beside a runner.
pub struct AgentNode {
    settings: AgentSettings,
    runner: RunnerRegister,
    orders: OrderBook,
    pace: ReportPace,
    uplink: Uplink,
    watch: RunnerWatch,
    config: ConfigRelay,
    ends_at: Option<Time>,
    counters: Counters,
}

impl AgentNode {
    /// An agent that knows its seeds alone, and asks them.
    pub fn new(settings: AgentSettings, now: Now, outbox: &mut Outbox) -> AgentNode {
        let hello = Hello {
            kind: NodeKind::Side,
            incarnation: settings.incarnation,
            config_version: 0,
        };
        let seeds = settings.seeds.clone();
        let uplink = Uplink::new(settings.node, hello, seeds, settings.seed);
        let mut agent = AgentNode {
            runner: RunnerRegister::new(now.steady, settings.heartbeat_ms),
            orders: OrderBook::new(settings.incarnation),
            pace: ReportPace::default(),
            uplink,
            watch: RunnerWatch::default(),
            config: ConfigRelay::new(settings.node, settings.seed),
            ends_at: None,
            counters: Counters::default(),
            settings,
        };
        agent.poll(now.steady, outbox);
        agent
    }

    /// What has been counted so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The version of the configuration held, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config.version()
    }

    fn http(&mut self, now: Time, endpoint: HttpEndpoint, request: &HttpRequest) -> HttpReply {
        if endpoint != HttpEndpoint::Control {
            return bare(404);
        }
        match Call::parse(&request.path) {
            None => bare(404),
            Some(_) if request.method != Method::Post => bare(405),
            Some(Call::Heartbeat { instance }) => self.heartbeat(now, instance, &request.body),
            Some(Call::Deregister { instance }) => self.deregister(now, instance),
        }
    }

    fn deregister(&mut self, now: Time, instance: &str) -> HttpReply {
        if self
            .runner
            .deregister(now, instance, self.settings.bounds.drain_ms)
        {
            self.pace.note_change();
        }
        bare(200)
    }

    fn heartbeat(&mut self, now: Time, instance: &str, body: &[u8]) -> HttpReply {
        let mut heartbeat = match Heartbeat::parse(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.refuse(&error),
        };
        match self.runner.heartbeat(now, instance, &mut heartbeat) {
            Admission::Replaced => {
                self.counters.replaced_heartbeats += 1;
                bare(409)
            }
            Admission::Unconfirmed => Answer {
                retry_after_ms: Some(BUSY_RETRY_MS),
                ..Answer::default()
            }
            .into_reply(),
            Admission::Stale => {
                self.counters.stale_heartbeats += 1;
                bare(200)
            }
            Admission::Accepted { changed } => self.accept(now, instance, &heartbeat, changed),
        }
    }

    fn refuse(&mut self, error: &HeartbeatError) -> HttpReply {
        self.counters.malformed_heartbeats += 1;
        log::debug!("heartbeat refused: {error}");
        bare(if matches!(error, HeartbeatError::TooLong(_)) {
            413
        } else {
            400
        })
    }

    fn accept(
        &mut self,
        now: Time,
        instance: &str,
        heartbeat: &Heartbeat,
        changed: bool,
    ) -> HttpReply {
        // The first heartbeat of all may be one that an agent before this one had answered already.
        let settled = self.counters.heartbeats > 0 && self.orders.settle();
        self.counters.heartbeats += 1;
        if changed || settled {
            self.pace.note_change();
        }
        let hold_ms = self.hold_ms(now);
        if hold_ms > 0 {
            self.runner.granted(now, hold_ms);
        }
        let answer = self.answer(instance, heartbeat, hold_ms);
        let retry_after_ms = answer.retry_after_ms.unwrap_or(IDLE_RETRY_MS);
        let reply = answer.into_reply();
        self.watch.heard(now, retry_after_ms);
        reply
    }

    /// The hold that may be granted now; 0 for none.
    fn hold_ms(&self, now: Time) -> u64 {
        let lease_left_ms = self.orders.lease_left_ms(now);
        RUNNER_LEASE_MS
            .min(self.settings.bounds.hold_max_ms)
            .min(lease_left_ms)
    }

    fn answer(&self, instance: &str, heartbeat: &Heartbeat, hold_ms: u64) -> Answer<'_> {
        let start = self.starts(instance, heartbeat, hold_ms);
        let busy = !start.is_empty() || !heartbeat.active.is_empty();
        let default_retry_ms = if busy { BUSY_RETRY_MS } else { IDLE_RETRY_MS };
        Answer {
            hold_ms: (hold_ms > 0).then_some(hold_ms),
            observed: self.orders.observed(instance),
            fence_token: self.orders.fence_token(),
            start,
            stop: self.stops(instance, heartbeat),
            retry_after_ms: Some(self.orders.retry_after_ms().unwrap_or(default_retry_ms)),
        }
    }

    /// The wanted starts that this heartbeat does not list; none for a runner that leaves, or without a hold.
    fn starts(&self, instance: &str, heartbeat: &Heartbeat, hold_ms: u64) -> Vec<Start<'_>> {
        let draining = self.runner.current().is_none_or(|runner| runner.draining);
        if draining || hold_ms < MIN_START_HOLD_MS.min(self.settings.bounds.hold_max_ms) {
            return Vec::new();
        }
        let wanted = self.orders.starts(instance).iter();
        let new = wanted.filter(|order| !heartbeat.lists(&order.task, order.attempt));
        new.map(|order| Start {
            task: &order.task,
            attempt: order.attempt,
            spec: &order.spec,
            saved: &order.checkpoint,
        })
        .collect()
    }

    /// The wanted stops of what this heartbeat lists as active.
    fn stops(&self, instance: &str, heartbeat: &Heartbeat) -> Vec<Stop<'_>> {
        let wanted = self.orders.stops(instance).iter();
        let active = wanted.filter(|order| heartbeat.lists_active(&order.task, order.attempt));
        active
            .map(|order| Stop {
                task: &order.task,
                attempt: order.attempt,
            })
            .collect()
    }

    /// A scheduler that is new to this process is told at once what is.
    fn note_leader(&mut self, former: Option<NodeId>) {
        if self.uplink.leader().is_some() && self.uplink.leader() != former {
            self.pace.note_change();
        }
    }

    fn note_lapse(&mut self, now: Time) {
        self.watch.rest();
        self.orders.void_starts(now);
        self.pace.note_change();
    }

    /// Does what is due.
    fn poll(&mut self, now: Time, outbox: &mut Outbox) {
        if self.runner.check_lapse(now) {
            self.note_lapse(now);
        }
        self.config.poll(now, &mut self.uplink, outbox);
        self.look(now, outbox);
        self.uplink.poll(now, outbox);
        if self.report_due().is_some_and(|due| due <= now) {
            self.report(now, outbox);
        }
        if self.ends_at.is_some_and(|end| end <= now) {
            outbox.finished = true;
        }
    }

    fn report_due(&self) -> Option<Time> {
        self.uplink.leader()?;
        Some(self.pace.due(self.orders.low_lease_at()))
    }

    fn report(&mut self, now: Time, outbox: &mut Outbox) {
        let sequence = self.pace.sent(now);
        let heading = Heading {
            agent: self.settings.incarnation,
            sequence,
            now,
        };
        let report = build(heading, &self.orders, &self.runner);
        self.counters.reports += 1;
        self.uplink
            .report(now, Message::RunnerReport(report), outbox);
    }

    fn terminate(&mut self, now: Time) {
        let share_ms = self.settings.bounds.grace_s * LAST_SERVICE_SHARE * 1000.0;
        let end = now.plus_millis(LAST_SERVICE_MS.min(share_ms as u64));
        self.ends_at.get_or_insert(end);
    }
}

impl Node for AgentNode {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        let steady = now.steady;
        let leader = self.uplink.leader();
        match event {
            Event::Message { from, message } => self.message(steady, from, None, message, outbox),
            Event::Http {
                id,
                endpoint,
                request,
            } => {
                let reply = self.http(steady, endpoint, &request);
                outbox.reply(id, reply);
            }
            Event::SeedsChanged(seeds) => self.uplink.set_seeds(seeds),
            Event::Terminate => self.terminate(steady),
            Event::HealthCheck { id, result } => self.probed(steady, id, result),
            Event::HttpAbandoned { .. } | Event::Synced { .. } | Event::Wake => {}
        }
        self.note_leader(leader);
        self.poll(steady, outbox);
    }

    fn next_wake(&self) -> Option<Time> {
        let hello_due = Some(self.uplink.hello_due());
        let dues = [
            hello_due,
            self.report_due(),
            self.config.next_wake(),
            self.runner.lapse_due(),
            self.watch.due(),
            self.ends_at,
        ];
        dues.into_iter().flatten().min()
    }
}
