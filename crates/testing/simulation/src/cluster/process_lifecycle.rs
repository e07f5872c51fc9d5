//! The lifecycle of processes: start, events, disk, freeze and end.

use super::{ClusterEvent, SimulatedCluster};
use crate::actor::Outcome;
use crate::engine::{Micros, MILLISECOND, SECOND};
use crate::process::{Deferred, ProcessStart, ProcessState};
use sagetrail_protocol::node::{DiskWrite, Event, Outbox};
use sagetrail_protocol::{NodeId, NodeKind};

/// Timers go off at most so late.
const TIMER_LATENESS: Micros = MILLISECOND;

impl SimulatedCluster {
    /// Starts a process that does not run.
    pub(crate) fn start(&mut self, node: NodeId) {
        let now = self.now();
        let incarnation = self.chance.nonzero();
        let seed = self.chance.nonzero();
        let Some(process) = self
            .processes
            .get_mut(&node)
            .filter(|process| process.may_start())
        else {
            return;
        };
        process.generation += 1;
        process.state = ProcessState::Running;
        process.clock.started = now;
        let start = ProcessStart {
            node,
            kind: process.kind,
            incarnation,
            seeds: self.plan.seeds.clone(),
            bootstrap: !process.started_before,
            bounds: self.plan.bounds,
            tolerated_machines: self.plan.tolerated_machines,
            heartbeat_ms: self.plan.heartbeat_ms,
            image: process
                .disk
                .as_ref()
                .map(|disk| disk.image())
                .unwrap_or_default(),
            seed,
            now: process.clock.read(now),
        };
        process.started_before = true;
        self.digest
            .started(now, node, start.now, seed, &start.image);
        let mut outbox = Outbox::default();
        let factory = match process.kind {
            NodeKind::Core => &mut self.factories.core,
            NodeKind::Frontend => &mut self.factories.frontend,
            NodeKind::Side => &mut self.factories.side,
        };
        process.logic = Some(factory(start, &mut outbox));
        self.empty(node, outbox);
    }

    /// Gives an event to a process, now or after its thaw.
    pub(crate) fn dispatch(&mut self, node: NodeId, event: Event) {
        let now = self.now();
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        if process.state == ProcessState::Frozen {
            process.deferred.push(Deferred::Event(Box::new(event)));
            return;
        }
        let Some(logic) = &mut process.logic else {
            return;
        };
        let mut outbox = Outbox::default();
        let clocks = process.clock.read(now);
        self.digest.handed(now, node, clocks, &event);
        logic.handle(clocks, event, &mut outbox);
        self.empty(node, outbox);
    }

    fn empty(&mut self, node: NodeId, outbox: Outbox) {
        for (to, message) in &outbox.sends {
            self.send(node, *to, message);
        }
        let now = self.now();
        for (id, reply) in outbox.replies {
            self.digest.replied(now, node, id, &reply);
            self.reply(id, reply);
        }
        self.writes(node, outbox.writes);
        self.start_health_checks(node, outbox.health_checks);
        let terminating = self
            .processes
            .get(&node)
            .is_some_and(|process| process.terminating);
        if outbox.finished && terminating {
            self.finish_gracefully(node);
            return;
        }
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: NodeId) {
        let now = self.now();
        let late = self.chance.between(1, TIMER_LATENESS);
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        let wanted = process.logic.as_ref().and_then(|logic| logic.next_wake());
        let due = wanted.map(|steady| process.clock.true_time(steady).max(now));
        // A wake that comes early enough is kept: being late by chance must not be drawn anew at each event.
        let kept = match (process.wake_at, due) {
            (Some(at), Some(due)) => at >= due && at <= due + TIMER_LATENESS,
            (None, None) => true,
            _ => false,
        };
        if kept {
            return;
        }
        process.wake_at = due.map(|due| due + late);
        if let Some(at) = process.wake_at {
            self.queue.schedule(at, ClusterEvent::Wake { node, at });
        }
    }

    pub(crate) fn wake_process(&mut self, node: NodeId, at: Micros) {
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        if process.wake_at != Some(at) {
            return;
        }
        process.wake_at = None;
        self.dispatch(node, Event::Wake);
    }

    pub(crate) fn disk_done(&mut self, node: NodeId, generation: u64) {
        let now = self.now();
        let Some(process) = self
            .processes
            .get_mut(&node)
            .filter(|process| process.generation == generation)
        else {
            return;
        };
        let Some(disk) = &mut process.disk else {
            return;
        };
        let synced = disk.end_sync();
        self.digest.synced(now, node, synced.len());
        if let Some(at) = disk.start_sync(now, &mut self.chance) {
            self.queue
                .schedule(at, ClusterEvent::DiskDone { node, generation });
        }
        if process.state == ProcessState::Frozen {
            process.deferred.push(Deferred::Synced(synced));
            return;
        }
        self.notify_synced(node, synced);
    }

    fn notify_synced(&mut self, node: NodeId, synced: Vec<DiskWrite>) {
        for write in synced {
            for (to, message) in &write.send_when_synced {
                self.send(node, *to, message);
            }
            if let Some(token) = write.token {
                self.dispatch(node, Event::Synced { token });
            }
        }
    }

    /// A process freezes until `until`.
    pub(crate) fn freeze(&mut self, node: NodeId, until: Micros) {
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        if process.state == ProcessState::Running {
            process.state = ProcessState::Frozen;
            let generation = process.generation;
            self.queue
                .schedule(until, ClusterEvent::Thaw { node, generation });
        }
    }

    pub(crate) fn thaw(&mut self, node: NodeId, generation: u64) {
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        if process.state != ProcessState::Frozen || process.generation != generation {
            return;
        }
        process.state = ProcessState::Running;
        for deferred in std::mem::take(&mut process.deferred) {
            match deferred {
                Deferred::Event(event) => self.dispatch(node, *event),
                Deferred::Synced(synced) => self.notify_synced(node, synced),
            }
        }
        self.schedule_wake(node);
    }

    /// Ends a process at once. What it had asked of its disk is kept up to some point.
    pub(crate) fn kill(&mut self, node: NodeId, state: ProcessState) {
        let now = self.now();
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        self.digest.ended(now, node);
        let unanswered = process.end(state);
        if let Some(disk) = &mut process.disk {
            if state == ProcessState::PowerOff && self.chance.happens(0.3) {
                disk.lose_unsynced();
            } else {
                disk.crash(&mut self.chance);
            }
        }
        if state == ProcessState::Down {
            for id in unanswered {
                self.answer_call(id, Outcome::Broken);
            }
        }
    }

    /// Asks a process to end; it is killed after its grace and started again later.
    pub(crate) fn terminate(&mut self, node: NodeId, back_after: Micros) {
        let grace = self.grace();
        let Some(process) = self
            .processes
            .get_mut(&node)
            .filter(|process| process.is_alive())
        else {
            return;
        };
        process.terminating = true;
        let generation = process.generation;
        let event = ClusterEvent::GraceOver {
            node,
            generation,
            back_after,
        };
        self.queue.schedule(self.queue.now() + grace, event);
        self.dispatch(node, Event::Terminate);
    }

    /// From the wish that a process end to its kill.
    pub(crate) fn grace(&self) -> Micros {
        (self.plan.bounds.grace_s * 1e6) as Micros
    }

    fn finish_gracefully(&mut self, node: NodeId) {
        self.kill(node, ProcessState::Down);
        self.queue
            .schedule(self.queue.now() + SECOND, ClusterEvent::Start(node));
    }

    pub(crate) fn grace_over(&mut self, node: NodeId, generation: u64, back_after: Micros) {
        let alive = self
            .processes
            .get(&node)
            .is_some_and(|process| process.generation == generation);
        if alive {
            self.kill(node, ProcessState::Down);
            self.queue
                .schedule(self.queue.now() + back_after, ClusterEvent::Start(node));
        }
    }

    pub(crate) fn set_sync(&mut self, node: NodeId, sync: Option<Micros>) {
        if let Some(disk) = self
            .processes
            .get_mut(&node)
            .and_then(|process| process.disk.as_mut())
        {
            disk.set_sync(sync);
        }
    }
}
