//! The loop that drives the logic of a process: hands inputs to it as events, performs its outbox.

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

/// The most inputs in one batch, after which the outbox is performed.
const MAX_BATCH: usize = 64;
/// The least time between two wakes, in milliseconds, so that the loop always yields.
const WAKE_INTERVAL_MS: u64 = 1;

/// Why the loop ended.
#[derive(Debug)]
pub enum ProcessEnd {
    /// The logic has finished.
    Finished,
    /// The logic had not finished at the end of the grace.
    OutOfGrace,
    /// The disk failed: the process must restart.
    DiskFailed(DiskError),
}

/// What the loop drives the logic with.
pub struct ProcessParts {
    /// This process.
    pub node: NodeId,
    /// The clocks, read before each event.
    pub clocks: Clocks,
    /// The receiving side of all inputs.
    pub inputs: mpsc::UnboundedReceiver<Input>,
    /// Sends messages to other processes.
    pub transport: Transport,
    /// The disk; only core processes have one.
    pub disk: Option<Disk>,
    /// Where results of health checks go; only side processes make any.
    pub health_check_results: Option<Inputs>,
    /// The phase for the process's tasks.
    pub phase: PhaseSender,
    /// The longest time from SIGTERM to the end.
    pub grace: Duration,
}

/// The loop and its state.
pub struct Process {
    logic: Box<dyn Node>,
    parts: ProcessParts,
    callers: HashMap<HttpRequestId, oneshot::Sender<HttpReply>>,
    /// Messages of the process to itself.
    self_messages: VecDeque<Message>,
    outbox: Outbox,
    deadline: Option<Time>,
    earliest_wake: Time,
}

impl Process {
    /// A loop around some logic; `outbox` holds what the logic wanted done when it was made.
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

    /// Drives the logic to its end.
    ///
    /// # Cancel safety
    ///
    /// Not cancel safe: inputs of a batch that is not processed yet are lost.
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
                // Other tasks run before the process handles messages to itself.
                tokio::task::yield_now().await;
                receive_ready(&mut self.parts.inputs, &mut batch);
            }
            if let Some(ended) = self.process_batch(&mut batch) {
                return ended;
            }
        }
    }

    /// Sets [`Phase::Closing`]: connections close once their answers are sent.
    pub fn close(&self) {
        self.parts.phase.send_replace(Phase::Closing);
    }

    /// Handles one batch of inputs and the wake if it is due, then performs the outbox.
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
        self.is_out_of_grace().then_some(ProcessEnd::OutOfGrace)
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

    /// Clocks are read for each event: the process may have been suspended in between.
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
                None => log::error!("disk write dropped, no disk: node={}", self.parts.node),
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
                // An error: the caller has just closed its connection.
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

    fn is_out_of_grace(&self) -> bool {
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

fn receive_ready(inputs: &mut mpsc::UnboundedReceiver<Input>, batch: &mut Vec<Input>) {
    while batch.len() < MAX_BATCH {
        let Ok(input) = inputs.try_recv() else { return };
        batch.push(input);
    }
}
