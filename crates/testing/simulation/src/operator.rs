//! The operator: changes of the configuration, races, resends after lost answers, read-backs, and counts asked of
//! gateways on routes that come and go.

use crate::actor::{Actor, ActorContext, CallTag, Outcome, OutgoingCall};
use crate::configuration::{Configuration, Patch, RouteItem};
use crate::engine::{Micros, MILLISECOND, SECOND};
use crate::history::{Answer, Observation, ObservedChange};
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, Method};
use sagetrail_protocol::NodeId;

/// The operator waits so long for an answer.
const PATIENCE: Micros = SECOND;
/// The pause before the second try; it grows with each.
const FIRST_PAUSE: Micros = 200 * MILLISECOND;
const LONGEST_PAUSE: Micros = 2 * SECOND;

/// What the operator does to the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeKind {
    /// The first configuration.
    Bootstrap(Configuration),
    /// Named items change, by `patch`.
    Patch(Patch),
    /// The same change as a whole configuration, by `replace`.
    Replace(Patch),
    /// Something invalid: a route names an unknown service.
    Invalid,
    /// Acknowledged changes are sent once more, unchanged.
    Repeat,
    /// The configuration is read.
    Read,
    /// A queue's count is asked of a gateway.
    QueueCount {
        /// The host of the queue.
        host: String,
        /// The path prefix of the queue.
        prefix: String,
    },
}

/// One doing of the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// When it is sent.
    pub at: Micros,
    /// What it changes.
    pub kind: ChangeKind,
    /// How far its version lies above its base.
    pub step: u64,
}

#[derive(Clone, PartialEq)]
enum Task {
    Order {
        seen: ObservedChange,
        path: &'static str,
        body: Vec<u8>,
    },
    Learn,
    QueueCount {
        host: String,
        prefix: String,
        gateway: NodeId,
    },
}

struct Errand {
    task: Task,
    due: Micros,
    attempts: u32,
    sent: Micros,
    out: bool,
    over: bool,
}

/// The operator.
pub struct Operator {
    changes: Vec<Change>,
    next_change: usize,
    errands: Vec<Errand>,
    /// The newest configuration known to be in force.
    current: Configuration,
    /// True after an answer that leaves open what is in force.
    unsure: bool,
    last_acknowledged: Option<usize>,
    orders: usize,
}

impl Operator {
    /// An operator with these plans, sorted by time.
    pub fn new(mut changes: Vec<Change>) -> Operator {
        changes.sort_by_key(|change| change.at);
        Operator {
            changes,
            next_change: 0,
            errands: Vec::new(),
            current: Configuration::default(),
            unsure: false,
            last_acknowledged: None,
            orders: 0,
        }
    }

    fn begin(&mut self, now: Micros, change: Change, context: &mut ActorContext) {
        let version = self.current.version + change.step.max(1);
        match change.kind {
            ChangeKind::Bootstrap(configuration) => {
                let body = configuration.to_json().to_string();
                self.order(now, 0, Some(configuration), "/v1/config/replace", body);
            }
            ChangeKind::Patch(patch) => {
                let next = patch.applied_to(&self.current, version);
                let body = patch.to_json(version).to_string();
                self.order(
                    now,
                    self.current.version,
                    Some(next),
                    "/v1/config/patch",
                    body,
                );
            }
            ChangeKind::Replace(patch) => {
                let next = patch.applied_to(&self.current, version);
                let body = next.to_json().to_string();
                self.order(
                    now,
                    self.current.version,
                    Some(next),
                    "/v1/config/replace",
                    body,
                );
            }
            ChangeKind::Invalid => self.order_invalid(now, version),
            ChangeKind::Repeat => self.repeat(now),
            ChangeKind::Read => self.errand(now, Task::Learn),
            ChangeKind::QueueCount { host, prefix } => {
                let gateway = context.gateways[context.chance.index(context.gateways.len())];
                self.errand(
                    now,
                    Task::QueueCount {
                        host,
                        prefix,
                        gateway,
                    },
                );
            }
        }
    }

    fn order(
        &mut self,
        now: Micros,
        base: u64,
        content: Option<Configuration>,
        path: &'static str,
        body: String,
    ) {
        let version = content
            .as_ref()
            .map_or(self.current.version + 1, |content| content.version);
        let seen = ObservedChange {
            order: self.orders,
            base,
            version,
            valid: content.is_some(),
            content,
        };
        self.orders += 1;
        self.errand(
            now,
            Task::Order {
                seen,
                path,
                body: body.into_bytes(),
            },
        );
    }

    fn order_invalid(&mut self, now: Micros, version: u64) {
        let route = RouteItem::new("r-invalid", "any.example", "/invalid/", "no-such-service");
        let patch = Patch {
            upsert: vec![route],
            remove: Vec::new(),
        };
        let body = patch.to_json(version).to_string();
        self.order(now, self.current.version, None, "/v1/config/patch", body);
    }

    fn repeat(&mut self, now: Micros) {
        let Some(index) = self.last_acknowledged else {
            return;
        };
        let task = self.errands[index].task.clone();
        self.errand(now, task);
    }

    fn errand(&mut self, now: Micros, task: Task) {
        self.errands.push(Errand {
            task,
            due: now,
            attempts: 0,
            sent: now,
            out: false,
            over: false,
        });
    }

    fn changes_wait(&self) -> bool {
        let open = |errand: &Errand| !errand.over && errand.task == Task::Learn;
        self.unsure && self.errands.iter().any(open)
    }

    fn take_order(
        &mut self,
        now: Micros,
        index: usize,
        answer: Answer,
        context: &mut ActorContext,
    ) {
        let Task::Order { seen, .. } = self.errands[index].task.clone() else {
            return;
        };
        context.history.note(
            now,
            Observation::OrderAnswered {
                order: seen.order,
                answer,
            },
        );
        match answer {
            Answer::Status(200..=299) => {
                self.errands[index].over = true;
                self.last_acknowledged = Some(index);
                if let Some(content) = seen
                    .content
                    .filter(|content| content.version > self.current.version)
                {
                    self.current = content;
                }
            }
            Answer::Status(400 | 409 | 412 | 413 | 422) => {
                self.errands[index].over = true;
                self.learn(now);
            }
            _ => self.try_again(now, index),
        }
    }

    fn learn(&mut self, now: Micros) {
        self.unsure = true;
        self.errand(now, Task::Learn);
    }

    fn take_read(
        &mut self,
        now: Micros,
        index: usize,
        outcome: &Outcome,
        context: &mut ActorContext,
    ) {
        let content = outcome.success_body().and_then(Configuration::from_json);
        let sent = self.errands[index].sent;
        context.history.note(
            now,
            Observation::ConfigRead {
                sent,
                content: content.clone(),
            },
        );
        match content {
            Some(content) => {
                self.errands[index].over = true;
                self.unsure = false;
                if content.version > self.current.version {
                    self.current = content;
                }
            }
            None => self.try_again(now, index),
        }
    }

    fn take_queue_count(
        &mut self,
        now: Micros,
        index: usize,
        answer: Answer,
        context: &mut ActorContext,
    ) {
        let errand = &mut self.errands[index];
        errand.over = true;
        if let Task::QueueCount {
            host,
            prefix,
            gateway,
        } = errand.task.clone()
        {
            let observation = Observation::QueueRead {
                sent: errand.sent,
                gateway,
                host,
                prefix,
                answer,
            };
            context.history.note(now, observation);
        }
    }

    fn try_again(&mut self, now: Micros, index: usize) {
        let errand = &mut self.errands[index];
        let pause = FIRST_PAUSE * u64::from(errand.attempts);
        errand.due = now + pause.min(LONGEST_PAUSE);
    }

    fn send(&mut self, now: Micros, index: usize, context: &mut ActorContext) {
        let errand = &mut self.errands[index];
        errand.out = true;
        errand.attempts += 1;
        errand.sent = now;
        let core = context.cores[context.chance.index(context.cores.len())];
        let mut request = HttpRequest {
            method: Method::Get,
            host: String::new(),
            path: "/v1/config/get".into(),
            base_version: None,
            deadline_ms: None,
            body: Vec::new(),
        };
        let mut call = OutgoingCall {
            tag: index as CallTag,
            to: core,
            endpoint: HttpEndpoint::Control,
            request: request.clone(),
            timeout: PATIENCE,
        };
        match &errand.task {
            Task::Order { seen, path, body } => {
                request.method = Method::Post;
                request.path = (*path).to_owned();
                request.base_version = Some(seen.base);
                request.body = body.clone();
                context
                    .history
                    .note(now, Observation::OrderSent(seen.clone()));
            }
            Task::QueueCount {
                host,
                prefix,
                gateway,
            } => {
                request.host = host.clone();
                request.path = prefix.clone();
                request.deadline_ms = Some(PATIENCE / MILLISECOND);
                call.to = *gateway;
                call.endpoint = HttpEndpoint::Frontend;
            }
            Task::Learn => (),
        }
        call.request = request;
        context.calls.push(call);
    }
}

impl Actor for Operator {
    fn wake(&mut self, now: Micros, context: &mut ActorContext) {
        while let Some(change) = self.changes.get(self.next_change).cloned() {
            if change.at > now || self.changes_wait() {
                break;
            }
            self.next_change += 1;
            self.begin(now, change, context);
        }
        for index in 0..self.errands.len() {
            let errand = &self.errands[index];
            if !errand.over && !errand.out && errand.due <= now {
                self.send(now, index, context);
            }
        }
    }

    fn outcome(&mut self, now: Micros, tag: CallTag, outcome: Outcome, context: &mut ActorContext) {
        let index = tag as usize;
        let Some(errand) = self.errands.get_mut(index) else {
            return;
        };
        errand.out = false;
        match errand.task {
            Task::Order { .. } => self.take_order(now, index, outcome.answer(), context),
            Task::Learn => self.take_read(now, index, &outcome, context),
            Task::QueueCount { .. } => self.take_queue_count(now, index, outcome.answer(), context),
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let open = self
            .errands
            .iter()
            .filter(|errand| !errand.over && !errand.out);
        let errand = open.map(|errand| errand.due).min();
        let change = self
            .changes
            .get(self.next_change)
            .filter(|_| !self.changes_wait());
        [errand, change.map(|change| change.at)]
            .into_iter()
            .flatten()
            .min()
    }
}
