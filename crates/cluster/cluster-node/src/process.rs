//! The event loop that drives the logic of a process: it passes inputs to the logic as events and performs its outbox.

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
use crate::lifecycle::{Phase, PhaseSender};
use crate::transport::Transport;

/// The limit on the inputs that are handled in one batch, after which the outbox is performed.
const MAX_BATCH: usize = 64;
/// The minimum time between two wakes, in milliseconds, so that the event loop always yields to other tasks.
const WAKE_INTERVAL_MS: u64 = 1;

/// The reason for which the event loop ended.
#[derive(Debug)]
pub enum ProcessEnd {
    /// The logic has finished.
    Finished,
    /// The grace period ended before the logic had finished.
    GracePeriodExpired,
    /// The disk failed, and the process must restart.
    DiskFailed(DiskError),
}

/// The resources that the event loop uses.
pub struct ProcessParts {
    /// The id of this process.
    pub node: NodeId,
    /// The clocks, which are read before each event.
    pub clocks: Clocks,
    /// The receiving side of all inputs.
    pub inputs: mpsc::UnboundedReceiver<Input>,
    /// The transport that sends messages to other processes.
    pub transport: Transport,
    /// The disk; only core processes have one.
    pub disk: Option<Disk>,
    /// The channel for results of health checks; only side processes perform any.
    pub health_check_results: Option<Inputs>,
    /// Sets the phase that the process's tasks observe.
    pub phase: PhaseSender,
    /// The grace period: the maximum time from SIGTERM to the end of the event loop.
    pub grace: Duration,
}

/// The event loop and its state.
pub struct Process {
    logic: Box<dyn Node>,
    parts: ProcessParts,
    /// The channels for the replies to open requests.
    callers: HashMap<HttpRequestId, oneshot::Sender<HttpReply>>,
    /// The messages that the process has sent to itself and not yet handled.
    self_messages: VecDeque<Message>,
    outbox: Outbox,
    /// The end of the grace period; `None` before SIGTERM.
    deadline: Option<Time>,
    /// The time before which the logic is not woken again.
    earliest_wake: Time,
}

impl Process {
    /// Creates the event loop for this logic; `outbox` holds the actions that the logic added when it was created.
    pub fn new(logic: Box<dyn Node>, outbox: Outbox, parts: ProcessParts) -> Process {
        Process {
            logic,
            parts,
            callers: HashMap::new(),
            self_messages: VecDeque::new(),
            outbox,
            deadline: None,
            earliest_wake: Time::default(),
        }
    }

    /// Drives the logic until it finishes, the grace period ends or the disk fails.
    ///
    /// # Cancel safety
    ///
    /// Not cancel safe: dropping the future loses the inputs of a batch that is not yet handled.
    pub async fn run(&mut self) -> ProcessEnd {
        let mut alarm = Box::pin(tokio::time::sleep(Duration::ZERO));
        let mut armed_for = None;
        let mut batch = Vec::with_capacity(MAX_BATCH);
        self.perform();
        loop {
            if self.outbox.finished && self.deadline.is_some() {
                return ProcessEnd::Finished;
            }
            self.arm(&mut alarm, &mut armed_for);
            if self.self_messages.is_empty() {
                tokio::select! {
                    biased;
                    _ = self.parts.inputs.recv_many(&mut batch, MAX_BATCH) => {}
                    () = alarm.as_mut(), if armed_for.is_some() => armed_for = None,
                }
            } else {
                // Lets other tasks run before the process handles messages to itself.
                tokio::task::yield_now().await;
                receive_ready(&mut self.parts.inputs, &mut batch);
            }
            if let Some(ended) = self.process_batch(&mut batch) {
                return ended;
            }
        }
    }

    /// Sets [`Phase::Closing`], in which connections close once their responses are sent.
    pub fn close(&self) {
        self.parts.phase.send_replace(Phase::Closing);
    }

    /// Handles the messages to itself, one batch of inputs, and the wake if it is due, then performs the outbox.
    fn process_batch(&mut self, batch: &mut Vec<Input>) -> Option<ProcessEnd> {
        for message in std::mem::take(&mut self.self_messages) {
            let from = self.parts.node;
            self.handle(Event::Message { from, message });
        }
        for input in batch.drain(..) {
            if let Some(ended) = self.handle_input(input) {
                return Some(ended);
            }
        }
        self.wake_if_due();
        self.perform();
        self.is_grace_period_over()
            .then_some(ProcessEnd::GracePeriodExpired)
    }

    fn handle_input(&mut self, input: Input) -> Option<ProcessEnd> {
        match input {
            Input::Message { from, message } => self.handle(Event::Message { from, message }),
            Input::HttpRequest {
                id,
                endpoint,
                request,
                reply,
            } => {
                self.callers.insert(id, reply);
                self.handle(Event::Http {
                    id,
                    endpoint,
                    request,
                });
            }
            Input::HttpAbandoned { id } => {
                if self.callers.remove(&id).is_some() {
                    self.handle(Event::HttpAbandoned { id });
                }
            }
            Input::Synced {
                send_when_synced,
                tokens,
            } => {
                send_when_synced
                    .into_iter()
                    .for_each(|(to, message)| self.send(to, message));
                tokens
                    .into_iter()
                    .for_each(|token| self.handle(Event::Synced { token }));
            }
            Input::HealthChecked { id, result } => self.handle(Event::HealthCheck { id, result }),
            Input::DiskFailed(error) => return Some(ProcessEnd::DiskFailed(error)),
            Input::SeedsChanged(seeds) => self.handle(Event::SeedsChanged(seeds)),
            Input::Terminate => self.terminate(),
        }
        None
    }

    fn terminate(&mut self) {
        if self.deadline.is_some() {
            return;
        }
        log::info!("SIGTERM received, draining: node={}", self.parts.node);
        let now = self.parts.clocks.now().steady;
        self.deadline = Some(now + self.parts.grace.as_micros() as u64);
        self.parts.phase.send_replace(Phase::Draining);
        self.handle(Event::Terminate);
    }

    /// Passes an event to the logic. The clocks are read for each event, since the process may have been suspended
    /// after the previous one.
    fn handle(&mut self, event: Event) {
        let now = self.parts.clocks.now();
        self.logic.handle(now, event, &mut self.outbox);
    }

    fn wake_if_due(&mut self) {
        let now = self.parts.clocks.now();
        if self.next_wake().is_some_and(|due| due <= now.steady) {
            self.earliest_wake = now.steady.plus_millis(WAKE_INTERVAL_MS);
            self.logic.handle(now, Event::Wake, &mut self.outbox);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        self.logic
            .next_wake()
            .map(|due| due.max(self.earliest_wake))
    }

    fn perform(&mut self) {
        for write in std::mem::take(&mut self.outbox.writes) {
            match &self.parts.disk {
                Some(disk) => disk.submit(write),
                None => log::error!(
                    "disk write dropped, process has no disk: node={}",
                    self.parts.node
                ),
            }
        }
        for health_check in std::mem::take(&mut self.outbox.health_checks) {
            match &self.parts.health_check_results {
                Some(results) => health_check::start(health_check, results.clone()),
                None => log::error!(
                    "health check dropped, not a side process: node={}",
                    self.parts.node
                ),
            }
        }
        for (to, message) in std::mem::take(&mut self.outbox.sends) {
            self.send(to, message);
        }
        for (id, reply) in std::mem::take(&mut self.outbox.replies) {
            if let Some(caller) = self.callers.remove(&id) {
                // The send fails only if the caller has just closed its connection.
                let _ = caller.send(reply);
            }
        }
    }

    fn send(&mut self, to: NodeId, message: Message) {
        if to == self.parts.node {
            self.self_messages.push_back(message);
        } else {
            self.parts.transport.send(to, &message);
        }
    }

    fn is_grace_period_over(&self) -> bool {
        self.deadline
            .is_some_and(|deadline| self.parts.clocks.now().steady >= deadline)
    }

    /// Sets the alarm to the next wake or to the end of the grace period, whichever comes first.
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

/// Fills the batch with the inputs that are already queued, without waiting.
fn receive_ready(inputs: &mut mpsc::UnboundedReceiver<Input>, batch: &mut Vec<Input>) {
    while batch.len() < MAX_BATCH {
        let Ok(input) = inputs.try_recv() else { return };
        batch.push(input);
    }
}
