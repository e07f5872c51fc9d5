//! Clients: they submit jobs, retry as the protocol says, ask for states and cancel.

use crate::actor::{Actor, ActorContext, CallTag, Outcome, OutgoingCall};
use crate::engine::{Micros, MILLISECOND, SECOND};
use crate::history::{Answer, Observation, ShownState};
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, Method};
use sagetrail_protocol::NodeId;
use serde_json::Value;

/// How long a client waits for an answer.
const DEADLINE: Micros = 3 * SECOND;
/// So often a job is sent at most.
const MAX_ATTEMPTS: u32 = 12;
/// The pause before the second try; it doubles with each, up to `LONGEST_PAUSE`.
const FIRST_PAUSE: Micros = 300 * MILLISECOND;
const LONGEST_PAUSE: Micros = 2 * SECOND;
/// A state is asked for about this often.
const POLL_INTERVAL: Micros = 1500 * MILLISECOND;
/// Further reads of a state that is final.
const READS_AFTER_END: u32 = 2;

/// What a client does with one job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobPlan {
    /// The job's ID in the job table.
    pub job: String,
    /// The `Host` of its queue.
    pub host: String,
    /// When it is first sent.
    pub submit_at: Micros,
    /// When it is cancelled, if it has been accepted.
    pub cancel_at: Option<Micros>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Submitting,
    Following,
    Cancelling,
    Over,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Submit,
    Read,
    Cancel,
}

struct Pending {
    kind: Kind,
    sent: Micros,
    gateway: NodeId,
}

struct Course {
    plan: JobPlan,
    phase: Phase,
    due: Micros,
    attempts: u32,
    pending: Option<Pending>,
    reads_left: u32,
    cancelled: bool,
}

/// All clients of a day.
pub struct Clients {
    courses: Vec<Course>,
}

impl Clients {
    /// Clients with these plans; a call's tag is the plan's index.
    pub fn new(plans: Vec<JobPlan>) -> Clients {
        let course = |plan: JobPlan| Course {
            due: plan.submit_at,
            plan,
            phase: Phase::Submitting,
            attempts: 0,
            pending: None,
            reads_left: READS_AFTER_END,
            cancelled: false,
        };
        Clients {
            courses: plans.into_iter().map(course).collect(),
        }
    }
}

impl Course {
    fn kind(&self) -> Kind {
        match self.phase {
            Phase::Submitting => Kind::Submit,
            Phase::Cancelling => Kind::Cancel,
            _ => Kind::Read,
        }
    }

    fn send(&mut self, now: Micros, tag: CallTag, context: &mut ActorContext) {
        let kind = self.kind();
        let gateway = context.gateways[context.chance.index(context.gateways.len())];
        let Some(definition) = context.history.jobs.jobs.get(&self.plan.job) else {
            return;
        };
        let request = HttpRequest {
            method: method(kind),
            host: self.plan.host.clone(),
            path: definition.path(),
            base_version: None,
            deadline_ms: Some(DEADLINE / MILLISECOND),
            body: if kind == Kind::Submit {
                definition.body()
            } else {
                Vec::new()
            },
        };
        context.calls.push(OutgoingCall {
            tag,
            to: gateway,
            endpoint: HttpEndpoint::Frontend,
            request,
            timeout: DEADLINE,
        });
        let job = self.plan.job.clone();
        match kind {
            Kind::Submit => context.history.note(now, Observation::SubmitSent { job }),
            Kind::Cancel => context.history.note(now, Observation::CancelSent { job }),
            Kind::Read => (),
        }
        self.attempts += 1;
        self.pending = Some(Pending {
            kind,
            sent: now,
            gateway,
        });
    }

    fn pause(&mut self, now: Micros) {
        let doubled = FIRST_PAUSE << self.attempts.min(6).saturating_sub(1);
        self.due = now + doubled.min(LONGEST_PAUSE);
    }

    fn take_submit(&mut self, now: Micros, answer: Answer, context: &mut ActorContext) {
        let job = self.plan.job.clone();
        context.history.note(
            now,
            Observation::SubmitAnswered {
                job: job.clone(),
                answer,
            },
        );
        if answer.is_success() {
            self.phase = Phase::Following;
            self.attempts = 0;
            self.plan_next_read(now, context);
        } else if self.attempts >= MAX_ATTEMPTS || matches!(answer, Answer::Status(400 | 404 | 413))
        {
            context
                .history
                .note(now, Observation::SubmitGivenUp { job });
            self.phase = Phase::Over;
        } else {
            self.pause(now);
        }
    }

    fn plan_next_read(&mut self, now: Micros, context: &mut ActorContext) {
        self.due = now + POLL_INTERVAL / 2 + context.chance.between(0, POLL_INTERVAL);
        if let Some(at) = self.plan.cancel_at.filter(|_| !self.cancelled) {
            self.due = self.due.min(at.max(now));
        }
    }

    fn take_cancel(&mut self, now: Micros, answer: Answer, context: &mut ActorContext) {
        let job = self.plan.job.clone();
        context
            .history
            .note(now, Observation::CancelAnswered { job, answer });
        if answer.is_success() || answer == Answer::Status(410) {
            self.cancelled = true;
            self.phase = Phase::Following;
            self.attempts = 0;
            self.plan_next_read(now, context);
        } else {
            self.pause(now);
        }
    }

    fn take_state(
        &mut self,
        now: Micros,
        pending: &Pending,
        outcome: &Outcome,
        context: &mut ActorContext,
    ) {
        self.plan_next_read(now, context);
        let Some(state) = shown_state(outcome) else {
            return;
        };
        let end = matches!(
            state,
            ShownState::Completed | ShownState::Failed | ShownState::Cancelled
        );
        let gone = state == ShownState::Gone;
        let observation = Observation::StateRead {
            job: self.plan.job.clone(),
            sent: pending.sent,
            gateway: pending.gateway,
            state,
        };
        context.history.note(now, observation);
        if end || gone && self.cancelled {
            self.reads_left = self.reads_left.saturating_sub(1);
        }
        if self.reads_left == 0 {
            self.phase = Phase::Over;
        }
    }

    fn wants_cancel(&self, now: Micros) -> bool {
        self.phase == Phase::Following
            && !self.cancelled
            && self.plan.cancel_at.is_some_and(|at| at <= now)
    }
}

fn method(kind: Kind) -> Method {
    match kind {
        Kind::Submit => Method::Post,
        Kind::Read => Method::Get,
        Kind::Cancel => Method::Delete,
    }
}

fn shown_state(outcome: &Outcome) -> Option<ShownState> {
    match outcome {
        Outcome::Answered(reply) if reply.status == 410 => Some(ShownState::Gone),
        Outcome::Answered(reply) if reply.status == 200 => Some(read_state(&reply.body)),
        _ => None,
    }
}

fn read_state(body: &[u8]) -> ShownState {
    let value: Option<Value> = serde_json::from_slice(body).ok();
    let state = value
        .as_ref()
        .and_then(|value| value.get("state"))
        .and_then(Value::as_str);
    match state {
        Some("queued") => ShownState::Queued,
        Some("running") => ShownState::Running,
        Some("completed") => ShownState::Completed,
        Some("failed") => ShownState::Failed,
        Some("cancelled") => ShownState::Cancelled,
        _ => ShownState::Unreadable,
    }
}

impl Actor for Clients {
    fn wake(&mut self, now: Micros, context: &mut ActorContext) {
        for (tag, course) in self.courses.iter_mut().enumerate() {
            if course.phase == Phase::Over || course.pending.is_some() || course.due > now {
                continue;
            }
            if course.wants_cancel(now) {
                course.phase = Phase::Cancelling;
                course.attempts = 0;
            }
            course.send(now, tag as CallTag, context);
        }
    }

    fn outcome(&mut self, now: Micros, tag: CallTag, outcome: Outcome, context: &mut ActorContext) {
        let Some(course) = self.courses.get_mut(tag as usize) else {
            return;
        };
        let Some(pending) = course.pending.take() else {
            return;
        };
        match pending.kind {
            Kind::Submit => course.take_submit(now, outcome.answer(), context),
            Kind::Cancel => course.take_cancel(now, outcome.answer(), context),
            Kind::Read => course.take_state(now, &pending, &outcome, context),
        }
    }

    fn next_wake(&self) -> Option<Micros> {
        let waiting = self
            .courses
            .iter()
            .filter(|course| course.phase != Phase::Over && course.pending.is_none());
        waiting.map(|course| course.due).min()
    }
}
