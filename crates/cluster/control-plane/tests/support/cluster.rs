//! A core cluster in simulated time. One queue of actions drives its machines, network and disks.

use super::journal::{factory, Journal, SharedJournal};
use super::machine::{apply, DiskMode, Machine};
use super::network::{Conditions, Observer, Passage, Tamper, FAULT_FREE};
use super::speeds::{DeviceQueues, Speeds};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_control_plane::{CoreNode, CoreSettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{DiskImage, Event, HttpReply, Node, Now, Outbox};
use sagetrail_protocol::{Message, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// An action that is due at a certain time.
enum Action {
    Deliver {
        from: NodeId,
        to: NodeId,
        message: Box<Message>,
    },
    Sync {
        machine: usize,
        incarnation: u64,
    },
    Wake {
        machine: usize,
        incarnation: u64,
    },
}

/// A simulated cluster. Times are in microseconds of true time.
pub(crate) struct Cluster {
    pub now: u64,
    pub machines: Vec<Machine>,
    pub conditions: Conditions,
    /// The pairs of sender and receiver whose messages are lost.
    pub partition: BTreeSet<(NodeId, NodeId)>,
    /// The replies to HTTP requests, by the number of the request.
    pub replies: BTreeMap<u64, HttpReply>,
    /// When each HTTP request was answered.
    pub replied_at: BTreeMap<u64, u64>,
    /// The journal of the services of all terms.
    pub journal: SharedJournal,
    /// The messages to the client.
    pub client_messages: Vec<Message>,
    /// The time and the sender of each message to the client.
    pub client_sources: Vec<(u64, NodeId)>,
    /// The time and the process at which the service of each term started.
    pub term_starts: Vec<(u64, NodeId)>,
    /// The number of events that were handled.
    pub events: u64,
    /// The size of all messages between processes, in bytes.
    pub sent_bytes: u64,
    /// The speeds of links and disks. With `None`, links have no limit and each write is synced by itself.
    pub speeds: Option<Speeds>,
    /// The queues of links and disks, which are used if `speeds` is set.
    pub device_queues: DeviceQueues,
    /// Modifies or drops messages in transit.
    pub tamper: Option<Tamper>,
    /// Observes all messages.
    pub observer: Option<Observer>,
    /// Modifies messages before their receiver handles them and after the observer has seen them.
    pub misreading: Option<Tamper>,
    /// The scheduled actions, by due time and sequence number.
    actions: BTreeMap<(u64, u64), Action>,
    /// The sequence number of the latest scheduled action.
    sequence: u64,
    pub(super) next_http: u64,
    /// The number of machines whose loss the settings tolerate.
    tolerated: u32,
    /// The seeds in the settings of processes that are started.
    pub seeds: Vec<NodeId>,
    pub random: Pcg64Mcg,
}

/// The process outside the cluster that sends requests and receives the replies.
pub(crate) const CLIENT: NodeId = NodeId { ip: 99, port: 1 };

/// Returns the address of the process on a machine.
pub(crate) fn id(index: usize) -> NodeId {
    NodeId {
        ip: index as u32 + 1,
        port: 7000,
    }
}

impl Cluster {
    /// Creates a cluster of `count` machines without processes.
    pub(crate) fn new(count: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000_000,
            machines: Vec::new(),
            conditions: FAULT_FREE,
            partition: BTreeSet::new(),
            replies: BTreeMap::new(),
            replied_at: BTreeMap::new(),
            journal: Arc::new(Mutex::new(Journal::default())),
            client_messages: Vec::new(),
            client_sources: Vec::new(),
            term_starts: Vec::new(),
            events: 0,
            sent_bytes: 0,
            speeds: None,
            device_queues: DeviceQueues::default(),
            tamper: None,
            observer: None,
            misreading: None,
            actions: BTreeMap::new(),
            sequence: 0,
            next_http: 1,
            tolerated: (count as u32 - 1) / 2,
            seeds: (0..3).map(id).collect(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for _ in 0..count {
            cluster.add_machine();
        }
        cluster
    }

    /// Creates a cluster that has been bootstrapped and has elected a leader.
    pub(crate) fn bootstrapped(count: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(count, seed);
        for index in 0..count {
            cluster.start(index, true);
        }
        cluster.run(4_000);
        assert!(cluster.leader().is_some(), "no leader");
        cluster
    }

    pub(crate) fn add_machine(&mut self) -> usize {
        self.machines.push(Machine::new(id(self.machines.len())));
        self.machines.len() - 1
    }

    /// Starts a process on a machine. `bootstrap` is the value of the setting of that name.
    pub(crate) fn start(&mut self, index: usize, bootstrap: bool) {
        let seed: u64 = self.random.random();
        let now = self.now;
        let machine = &mut self.machines[index];
        machine.incarnation += 1;
        machine.started = now - 1;
        machine.finished = false;
        machine.frozen = false;
        machine.deferred.clear();
        let settings = CoreSettings {
            node: machine.id,
            incarnation: seed | 1,
            seeds: self.seeds.clone(),
            bootstrap,
            bounds: Bounds::default(),
            tolerated_machines: self.tolerated,
            seed,
        };
        let snapshot = DiskImage {
            control: machine.disk.control.clone().into_iter().collect(),
            records: machine.disk.records.clone().into_iter().collect(),
        };
        let clock = Now {
            steady: Time(1),
            wall_ms: 0,
        };
        let mut outbox = Outbox::default();
        let node = CoreNode::new(
            settings,
            snapshot,
            factory(self.journal.clone()),
            clock,
            &mut outbox,
        );
        self.machines[index].node = Some(node);
        self.apply_outbox(index, outbox);
    }

    /// Changes the seeds of all running processes and of processes that are started later.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
        for index in 0..self.machines.len() {
            self.event(index, Event::SeedsChanged(self.seeds.clone()));
        }
    }

    /// Passes an event to the machine's process, or defers it if the machine is frozen.
    pub(crate) fn event(&mut self, index: usize, mut event: Event) {
        if self.machines[index].frozen {
            self.machines[index].deferred.push(event);
            return;
        }
        self.events += 1;
        if let Event::Message { from, message } = &mut event {
            self.observe(Passage::Received, *from, id(index), message);
            if let Some(misread) = &mut self.misreading {
                misread(*from, id(index), message);
            }
        }
        let clock = self.machines[index].clock(self.now);
        let mut outbox = Outbox::default();
        let Some(node) = &mut self.machines[index].node else {
            return;
        };
        node.handle(clock, event, &mut outbox);
        self.apply_outbox(index, outbox);
    }

    fn apply_outbox(&mut self, index: usize, outbox: Outbox) {
        self.machines[index].finished |= outbox.finished;
        self.record_term_starts();
        let from = self.machines[index].id;
        for (to, message) in outbox.sends {
            self.send(from, to, message);
        }
        for (request, reply) in outbox.replies {
            let before = self.replies.insert(request.0, reply);
            assert!(before.is_none(), "a request was answered twice");
            self.replied_at.insert(request.0, self.now);
        }
        for write in outbox.writes {
            let (least, most) = self.conditions.sync_us;
            let due = match self.speeds {
                Some(site) => self.device_queues.sync_time(self.now, index, &write, site),
                None => self.now + self.random.random_range(least..=most),
            };
            self.machines[index].unsynced.push_back(write);
            let incarnation = self.machines[index].incarnation;
            self.schedule(
                due,
                Action::Sync {
                    machine: index,
                    incarnation,
                },
            );
        }
        self.schedule_wake(index);
    }

    fn observe(&mut self, passage: Passage, from: NodeId, to: NodeId, message: &Message) {
        if let Some(observer) = &mut self.observer {
            observer(self.now, passage, from, to, message);
        }
    }

    fn record_term_starts(&mut self) {
        let journal = self.journal.lock().unwrap();
        let started = &journal.terms[self.term_starts.len()..];
        self.term_starts
            .extend(started.iter().map(|(_, node)| (self.now, *node)));
    }

    fn schedule_wake(&mut self, index: usize) {
        let machine = &self.machines[index];
        let Some(node) = &machine.node else { return };
        let incarnation = machine.incarnation;
        let due = node.next_wake().map(|time| machine.true_time(time));
        if let Some(due) = due.filter(|due| *due < u64::MAX / 2) {
            let due = due.max(self.now + 20);
            if machine.wake != Some(due) {
                self.machines[index].wake = Some(due);
                self.schedule(
                    due,
                    Action::Wake {
                        machine: index,
                        incarnation,
                    },
                );
            }
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, mut message: Message) {
        assert_ne!(from, to, "a process sent a message to itself");
        if to == CLIENT {
            self.client_messages.push(message);
            self.client_sources.push((self.now, from));
            return;
        }
        self.observe(Passage::Sent, from, to, &message);
        // Each message must be equal to its decoded encoding.
        let payload = sagetrail_protocol::frame::encode(&message).unwrap();
        assert_eq!(
            sagetrail_protocol::frame::decode(&payload).unwrap(),
            message
        );
        self.sent_bytes += payload.len() as u64;
        let arrives = self
            .tamper
            .as_mut()
            .is_none_or(|tamper| tamper(from, to, &mut message));
        if !arrives
            || self.partition.contains(&(from, to))
            || self.random.random_bool(self.conditions.loss)
        {
            return;
        }
        let leaves = match self.speeds {
            Some(site) => {
                self.device_queues
                    .departure_time(self.now, from, payload.len() as u64, site)
            }
            None => self.now,
        };
        let times = if self.random.random_bool(self.conditions.duplication) {
            2
        } else {
            1
        };
        for _ in 0..times {
            let (least, most) = self.conditions.delay_us;
            let due = leaves + self.random.random_range(least..=most);
            self.schedule(
                due,
                Action::Deliver {
                    from,
                    to,
                    message: Box::new(message.clone()),
                },
            );
        }
    }

    fn schedule(&mut self, due: u64, action: Action) {
        self.sequence += 1;
        self.actions.insert((due, self.sequence), action);
    }

    /// Runs the cluster for `millis` milliseconds of true time.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1000;
        while let Some(entry) = self
            .actions
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((due, _), action) = entry.remove_entry();
            self.now = self.now.max(due);
            self.perform(action);
        }
        self.now = end;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Deliver { from, to, message } => {
                let index = (to.ip - 1) as usize;
                if index < self.machines.len() && !self.partition.contains(&(from, to)) {
                    self.event(
                        index,
                        Event::Message {
                            from,
                            message: *message,
                        },
                    );
                }
            }
            Action::Sync {
                machine,
                incarnation,
            } => self.sync(machine, incarnation),
            Action::Wake {
                machine,
                incarnation,
            } => {
                let target = &mut self.machines[machine];
                if target.incarnation != incarnation
                    || target.wake.is_none_or(|wake| wake > self.now)
                {
                    return;
                }
                target.wake = None;
                if !target.frozen {
                    self.event(machine, Event::Wake);
                }
            }
        }
    }

    /// Makes a disk healthy and syncs all writes that it has refused.
    pub(crate) fn free_disk(&mut self, index: usize) {
        self.machines[index].disk_mode = DiskMode::Healthy;
        let incarnation = self.machines[index].incarnation;
        for _ in 0..self.machines[index].unsynced.len() {
            self.sync(index, incarnation);
        }
    }

    fn sync(&mut self, machine: usize, incarnation: u64) {
        if self.machines[machine].incarnation != incarnation {
            return;
        }
        if self.machines[machine].disk_mode == DiskMode::Refusing {
            return;
        }
        let Some(write) = self.machines[machine].unsynced.pop_front() else {
            return;
        };
        if self.machines[machine].disk_mode == DiskMode::Healthy {
            apply(&mut self.machines[machine].disk, write.operations);
        }
        let from = self.machines[machine].id;
        for (to, message) in write.send_when_synced {
            self.send(from, to, message);
        }
        if let Some(token) = write.token {
            self.event(machine, Event::Synced { token });
        }
    }
}
