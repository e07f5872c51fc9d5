//! The loop that drives the logic of a process: takes what happened, performs what the logic wants done.

use std::collections::{HashMap, VecDeque};
use std::pin::Pin;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Sleep;

use sagetrail_protocol::node::{Event, HttpReply, HttpRequestId, Node, Outbox};
use sagetrail_protocol::{Message, NodeId, Time};

use crate::clocks::Clocks;
use crate::disk::{Disk, DiskError};
use crate::health_check;
use crate::input::{Input, Inputs};
use crate::phase::{Phase, PhaseSetter};
use crate::transport::Transport;

/// Inputs taken together before what they led to is performed.
const BATCH: usize = 64;
/// Wakes are at least so far apart, in milliseconds, so that a process always hands back the processor.
const WAKE_INTERVAL_MS: u64 = 1;

/// Why the loop ended.
#[derive(Debug)]
pub enum Ended {
    /// The logic is done.
    Finished,
    /// It was told to end and was not done within the grace.
    OutOfGrace,
    /// The disk failed: the process must start anew.
    DiskFailed(DiskError),
}

/// What the loop works with.
pub struct Parts {
    pub node: NodeId,
    pub clocks: Clocks,
    pub inputs: mpsc::UnboundedReceiver<Input>,
    pub transport: Transport,
    /// Only core processes have one.
    pub disk: Option<Disk>,
    /// Only side processes look at others: where the results go.
    pub health_check_results: Option<Inputs>,
    pub phase: PhaseSetter,
    /// From being told to end to the end at the latest.
    pub grace: Duration,
}

/// The loop and its state.
pub struct Process {
    logic: Box<dyn Node>,
    parts: Parts,
    callers: HashMap<HttpRequestId, oneshot::Sender<HttpReply>>,
    /// Messages of the process to itself.
    own: VecDeque<Message>,
    outbox: Outbox,
    deadline: Option<Time>,
    no_wake_before: Time,
}

impl Process {
    /// A loop about some logic; `outbox` holds what the logic wanted done when it was made.
    pub fn new(logic: Box<dyn Node>, outbox: Outbox, parts: Parts) -> Process {
        Process {
            logic,
            parts,
            callers: HashMap::new(),
            own: VecDeque::new(),
            outbox,
            deadline: None,
            no_wake_before: Time::default(),
        }
    }

    /// Drives the logic to its end.
    pub async fn run(&mut self) -> Ended {
        let mut alarm = Box::pin(tokio::time::sleep(Duration::ZERO));
        let mut armed_for = None;
        let mut batch = Vec::with_capacity(BATCH);
        self.perform();
        loop {
            if self.outbox.finished && self.deadline.is_some() {
                return Ended::Finished;
            }
            self.arm(&mut alarm, &mut armed_for);
            if self.own.is_empty() {
                tokio::select! {
                    biased;
                    _ = self.parts.inputs.recv_many(&mut batch, BATCH) => {}
                    () = alarm.as_mut(), if armed_for.is_some() => armed_for = None,
                }
            } else {
                // Others get their turn before the process goes on talking to itself.
                tokio::task::yield_now().await;
                take_ready(&mut self.parts.inputs, &mut batch);
            }
            if let Some(ended) = self.turn(&mut batch) {
                return ended;
            }
        }
    }

    /// Connections close once their answers are out.
    pub fn close(&self) {
        self.parts.phase.send_replace(Phase::Closing);
    }

    /// One batch of inputs, the wake if it is due, and what they led to.
    fn turn(&mut self, batch: &mut Vec<Input>) -> Option<Ended> {
        for message in std::mem::take(&mut self.own) {
            let from = self.parts.node;
            self.tell(Event::Message { from, message });
        }
        for input in batch.drain(..) {
            if let Some(ended) = self.take(input) {
                return Some(ended);
            }
        }
        self.wake_if_due();
        self.perform();
        self.out_of_grace().then_some(Ended::OutOfGrace)
    }

    fn take(&mut self, input: Input) -> Option<Ended> {
        match input {
            Input::Message { from, message } => self.tell(Event::Message { from, message }),
            Input::Request {
                id,
                endpoint,
                request,
                reply,
            } => {
                self.callers.insert(id, reply);
                self.tell(Event::Http {
                    id,
                    endpoint,
                    request,
                });
            }
            Input::Abandoned { id } => {
                if self.callers.remove(&id).is_some() {
                    self.tell(Event::HttpAbandoned { id });
                }
            }
            Input::Synced { then, tokens } => {
                then.into_iter()
                    .for_each(|(to, message)| self.send(to, message));
                tokens
                    .into_iter()
                    .for_each(|token| self.tell(Event::Synced { token }));
            }
            Input::Probed { id, result } => self.tell(Event::HealthCheck { id, result }),
            Input::DiskFailed(error) => return Some(Ended::DiskFailed(error)),
            Input::Seeds(seeds) => self.tell(Event::SeedsChanged(seeds)),
            Input::Terminate => self.terminate(),
        }
        None
    }

    fn terminate(&mut self) {
        if self.deadline.is_some() {
            return;
        }
        let now = self.parts.clocks.now().steady;
        self.deadline = Some(now + self.parts.grace.as_micros() as u64);
        self.parts.phase.send_replace(Phase::Draining);
        self.tell(Event::Terminate);
    }

    /// Time is looked at for each event: the process may have been frozen in between.
    fn tell(&mut self, event: Event) {
        let now = self.parts.clocks.now();
        self.logic.handle(now, event, &mut self.outbox);
    }

    fn wake_if_due(&mut self) {
        let now = self.parts.clocks.now();
        if self.next_wake().is_some_and(|due| due <= now.steady) {
            self.no_wake_before = now.steady.plus_millis(WAKE_INTERVAL_MS);
            self.logic.handle(now, Event::Wake, &mut self.outbox);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        self.logic
            .next_wake()
            .map(|due| due.max(self.no_wake_before))
    }

    fn perform(&mut self) {
        for write in std::mem::take(&mut self.outbox.writes) {
            match &self.parts.disk {
                Some(disk) => disk.submit(write),
                None => log::error!("a write to disk by a process without one"),
            }
        }
        for health_check in std::mem::take(&mut self.outbox.health_checks) {
            match &self.parts.health_check_results {
                Some(results) => health_check::start(health_check, results.clone()),
                None => log::error!("a probe by a process that makes none"),
            }
        }
        for (to, message) in std::mem::take(&mut self.outbox.sends) {
            self.send(to, message);
        }
        for (id, reply) in std::mem::take(&mut self.outbox.replies) {
            if let Some(caller) = self.callers.remove(&id) {
                // An error: the caller went this moment.
                let _ = caller.send(reply);
            }
        }
    }

    fn send(&mut self, to: NodeId, message: Message) {
        if to == self.parts.node {
            self.own.push_back(message);
        } else {
            self.parts.transport.send(to, &message);
        }
    }

    fn out_of_grace(&self) -> bool {
        self.deadline
            .is_some_and(|deadline| self.parts.clocks.now().steady >= deadline)
    }

    /// Sets the alarm to the next wake, or to the end of the grace.
    fn arm(&self, alarm: &mut Pin<Box<Sleep>>, armed_for: &mut Option<Time>) {
        let wake = self.next_wake();
        let due = match (wake, self.deadline) {
            (Some(wake), Some(deadline)) => Some(wake.min(deadline)),
            (wake, deadline) => wake.or(deadline),
        };
        if due == *armed_for {
            return;
        }
        if let Some(due) = due {
            alarm.as_mut().reset(self.parts.clocks.instant(due).into());
        }
        *armed_for = due;
    }
}

fn take_ready(inputs: &mut mpsc::UnboundedReceiver<Input>, batch: &mut Vec<Input>) {
    while batch.len() < BATCH {
        let Ok(input) = inputs.try_recv() else { return };
        batch.push(input);
    }
}
