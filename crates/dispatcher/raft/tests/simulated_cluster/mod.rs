//! Several members on a simulated network with simulated disks, and a checker of the entries that they commit and read.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_raft::{
    Committed, DiskRecord, LogPosition, Message, MessageBody, OutboundMessage, Output, Raft,
    RaftConfig, RaftError, Timing,
};
use std::collections::{BTreeMap, VecDeque};

/// A defect that is injected into the cluster, and that the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// Messages are sent before the records of the same output are synced.
    SendsBeforeSync,
    /// A member with a replaced disk keeps the identifier of the previous disk.
    KeepsDiskIdentity,
    /// Watermarks that other members report are ignored.
    IgnoresRollback,
    /// Some syncs report success and lose the records.
    LosesSyncedRecords,
    /// The leader answers reads from its own state, without a majority.
    ReadsWithoutQuorum,
    /// A snapshot lacks the last command.
    TruncatesSnapshots,
    /// Every second truncation of the log is not written.
    SkipsTruncates,
}

/// A simulated disk.
#[derive(Clone, Default)]
struct Disk {
    identity: u64,
    records: Vec<DiskRecord>,
    records_written: u64,
}

/// An output whose records are not synced yet.
struct UnsyncedOutput {
    output: Output,
    synced_s: f64,
    position: LogPosition,
}

/// A member with its disk and the checker's data about it.
pub(crate) struct Member {
    raft: Option<Raft>,
    disk: Disk,
    saved_copy: Option<Disk>,
    unsynced: VecDeque<UnsyncedOutput>,
    paused_until_s: f64,
    has_disk_failed: bool,
    sync_s: f64,
    pub commands: Vec<u64>,
    applied_index: u64,
    /// Pending reads: the number, and the highest committed index at the time when the read started.
    reads: Vec<(u64, u64)>,
}

/// The cluster: members, network, clock and checker.
pub(crate) struct SimulatedCluster {
    pub now_s: f64,
    pub members: Vec<Member>,
    initial_voters: Vec<u64>,
    /// Messages in flight as sender, receiver and message, by arrival time in microseconds and message number.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    copy_count: u64,
    pub random: Pcg64Mcg,
    /// Probability that a message is lost.
    pub loss_probability: f64,
    pub jitter_s: f64,
    /// Directed links, as sender and receiver, that lose all messages.
    pub cut_links: Vec<(usize, usize)>,
    defect: Defect,
    /// The first position committed at each index, and the number of commands up to it.
    first_committed: BTreeMap<u64, (LogPosition, usize)>,
    /// The commands of the longest committed history.
    longest_history: Vec<u64>,
    /// Violations that the checker found.
    pub violations: Vec<String>,
    next_command: u64,
    pub completed_reads: usize,
    pub replaced_disks: usize,
    pub sent_messages: u64,
}

fn member_id(node: usize) -> u64 {
    100 + node as u64
}

impl SimulatedCluster {
    pub(crate) fn new(
        members: usize,
        voters: usize,
        seed: u64,
        defect: Defect,
    ) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            now_s: 0.0,
            members: Vec::new(),
            initial_voters: (0..voters).map(member_id).collect(),
            in_flight: BTreeMap::new(),
            copy_count: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            loss_probability: 0.0,
            jitter_s: 0.003,
            cut_links: Vec::new(),
            defect,
            first_committed: BTreeMap::new(),
            longest_history: Vec::new(),
            violations: Vec::new(),
            next_command: 0,
            completed_reads: 0,
            replaced_disks: 0,
            sent_messages: 0,
        };
        for node in 0..members {
            let identity = cluster.random.random();
            cluster.members.push(Member {
                raft: None,
                disk: Disk {
                    identity,
                    ..Disk::default()
                },
                saved_copy: None,
                unsynced: VecDeque::new(),
                paused_until_s: 0.0,
                has_disk_failed: false,
                sync_s: 0.001,
                commands: Vec::new(),
                applied_index: 0,
                reads: Vec::new(),
            });
            cluster.start(node, members);
        }
        cluster
    }

    fn start(&mut self, node: usize, members: usize) {
        let seed = self.random.random();
        let config = RaftConfig {
            id: member_id(node),
            disk: self.members[node].disk.identity,
            members: (0..members).map(member_id).collect(),
            initial_voters: self.initial_voters.clone(),
            timing: Timing::default(),
            seed,
        };
        let member = &mut self.members[node];
        let raft = Raft::open(
            config,
            member.disk.records.clone(),
            member.disk.records_written,
            self.now_s,
        );
        (member.raft, member.has_disk_failed, member.applied_index) = (Some(raft), false, 0);
        member.commands.clear();
        member.reads.clear();
        self.process_output(node);
    }

    pub(crate) fn kill(&mut self, node: usize) {
        let torn_fraction = self.random.random::<f64>();
        let member = &mut self.members[node];
        member.raft = None;
        // A prefix of the records being written may have reached the disk.
        if let Some(unsynced) = member.unsynced.pop_front() {
            if !unsynced.output.rewrite {
                let written = (torn_fraction * (unsynced.output.records.len() + 1) as f64) as usize;
                member.disk.records_written += written as u64;
                member
                    .disk
                    .records
                    .extend(unsynced.output.records.into_iter().take(written));
            }
        }
        member.unsynced.clear();
    }

    pub(crate) fn restart(&mut self, node: usize) {
        let members = self.members.len();
        self.start(node, members);
    }

    pub(crate) fn copy_disk(&mut self, node: usize) {
        self.members[node].saved_copy = Some(self.members[node].disk.clone());
    }

    pub(crate) fn restore_disk_copy(&mut self, node: usize) {
        if let Some(saved_copy) = self.members[node].saved_copy.clone() {
            self.members[node].disk = saved_copy;
        }
    }

    pub(crate) fn replace_disk(&mut self, node: usize) {
        let keeps_identity = self.defect == Defect::KeepsDiskIdentity;
        let identity = if keeps_identity {
            self.members[node].disk.identity
        } else {
            self.random.random()
        };
        self.members[node].disk = Disk {
            identity,
            ..Disk::default()
        };
    }

    pub(crate) fn pause(&mut self, node: usize, duration_s: f64) {
        self.members[node].paused_until_s = self.now_s + duration_s;
    }

    /// Makes all further syncs fail, so that their records are never acknowledged.
    pub(crate) fn fail_disk(&mut self, node: usize) {
        self.members[node].has_disk_failed = true;
    }

    pub(crate) fn slow_disk(&mut self, node: usize, sync_s: f64) {
        self.members[node].sync_s = sync_s;
        let now_s = self.now_s;
        self.members[node]
            .unsynced
            .iter_mut()
            .for_each(|unsynced| unsynced.synced_s = unsynced.synced_s.min(now_s + sync_s));
    }

    pub(crate) fn is_running(&self, node: usize) -> bool {
        self.members[node].raft.is_some()
    }

    pub(crate) fn can_vote(&self, node: usize) -> bool {
        self.members[node]
            .raft
            .as_ref()
            .is_some_and(|raft| raft.can_vote())
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.members.len()).find(|node| {
            self.members[*node]
                .raft
                .as_ref()
                .is_some_and(|raft| raft.is_leader())
        })
    }

    fn send(&mut self, from: usize, output: Vec<OutboundMessage>) {
        for OutboundMessage { to, message } in output {
            self.sent_messages += 1;
            assert!(self.sent_messages < 2_000_000, "a message loop");
            let to = (to - 100) as usize;
            let copies = if self.random.random::<f64>() < 0.05 {
                2
            } else {
                1
            };
            for _ in 0..copies {
                if self.random.random::<f64>() < self.loss_probability
                    || self.cut_links.contains(&(from, to))
                {
                    continue;
                }
                let delay_s = 0.0005 + self.jitter_s * self.random.random::<f64>();
                self.copy_count += 1;
                let at_us = ((self.now_s + delay_s) * 1e6) as u64;
                self.in_flight
                    .insert((at_us, self.copy_count), (from, to, message.clone()));
            }
        }
    }

    /// Takes a member's output and its committed entries, and restarts the member with a blank disk if it has a fault.
    fn process_output(&mut self, node: usize) {
        let (defect, now_s) = (self.defect, self.now_s);
        let Some(raft) = self.members[node].raft.as_mut() else {
            return;
        };
        let mut output = raft.output();
        let position = raft.last_position();
        let fault = raft.fault();
        if defect == Defect::SkipsTruncates && position.index % 2 == 0 {
            output
                .records
                .retain(|record| !matches!(record, DiskRecord::Truncate { .. }));
        }
        self.apply_committed(node);
        if let Some(fault) = fault {
            // Does what a host does: moves the disk aside and restarts the member with a blank disk.
            self.replaced_disks += 1;
            if let RaftError::LogDiverged { index } = fault {
                if self.defect == Defect::None {
                    self.violations
                        .push(format!("{node} differs at {index} at {now_s:.3}"));
                }
            }
            self.members[node].raft = None;
            self.members[node].unsynced.clear();
            self.replace_disk(node);
            let members = self.members.len();
            return self.start(node, members);
        }
        if output.is_empty() {
            return;
        }
        if defect == Defect::SendsBeforeSync {
            let messages = std::mem::take(&mut output.messages);
            self.send(node, messages);
        }
        let member = &mut self.members[node];
        if member.unsynced.is_empty() && output.records.is_empty() {
            return if member.has_disk_failed {
                Default::default()
            } else {
                self.send(node, output.messages)
            };
        }
        let sync_s = if output.records.is_empty() {
            0.0
        } else {
            member.sync_s
        };
        let start_s = member
            .unsynced
            .back()
            .map_or(now_s, |unsynced| unsynced.synced_s.max(now_s));
        member.unsynced.push_back(UnsyncedOutput {
            output,
            synced_s: start_s + sync_s,
            position,
        });
    }

    fn complete_syncs(&mut self, node: usize) {
        while self.members[node]
            .unsynced
            .front()
            .is_some_and(|unsynced| unsynced.synced_s <= self.now_s)
        {
            let member = &mut self.members[node];
            if member.has_disk_failed {
                return;
            }
            let Some(UnsyncedOutput {
                output, position, ..
            }) = member.unsynced.pop_front()
            else {
                return;
            };
            let lost =
                self.defect == Defect::LosesSyncedRecords && self.copy_count.is_multiple_of(16);
            if output.rewrite {
                member.disk.records.clear();
                member.disk.records_written = output.records_written - output.records.len() as u64;
            }
            if !lost {
                member.disk.records_written += output.records.len() as u64;
                member.disk.records.extend(output.records);
            }
            self.send(node, output.messages);
            if let Some(raft) = self.members[node].raft.as_mut() {
                raft.persisted(self.now_s, position);
            }
            self.process_output(node);
        }
    }

    fn apply_committed(&mut self, node: usize) {
        while let Some(committed) = self.members[node]
            .raft
            .as_mut()
            .and_then(Raft::next_committed)
        {
            let position = match committed {
                Committed::Entry(entry) => {
                    if let sagetrail_raft::EntryPayload::Command(command) = &entry.payload {
                        self.members[node]
                            .commands
                            .push(u64::from_le_bytes(command[..8].try_into().unwrap()));
                    }
                    entry.position
                }
                Committed::Snapshot(snapshot) => {
                    let encoded = snapshot.state.chunks_exact(8);
                    self.members[node].commands = encoded
                        .map(|command| u64::from_le_bytes(command.try_into().unwrap()))
                        .collect();
                    snapshot.position
                }
            };
            let member = &mut self.members[node];
            member.applied_index = position.index;
            let commands = member.commands.clone();
            let (first, count) = *self
                .first_committed
                .entry(position.index)
                .or_insert((position, commands.len()));
            if count > self.longest_history.len() {
                self.longest_history = commands.clone();
            }
            if first != position
                || commands[..]
                    != self.longest_history[..commands.len().min(self.longest_history.len())]
                || commands.len() != count
            {
                self.violations.push(format!(
                    "{node} committed another entry at {} at {:.3}",
                    position.index, self.now_s
                ));
            }
            if position.index.is_multiple_of(16) {
                let missing = usize::from(self.defect == Defect::TruncatesSnapshots);
                let length = commands.len().saturating_sub(missing);
                let state: Vec<u8> = commands[..length]
                    .iter()
                    .flat_map(|command| command.to_le_bytes())
                    .collect();
                if let Some(raft) = self.members[node].raft.as_mut() {
                    raft.compact(position.index, state);
                }
            }
        }
        let member = &mut self.members[node];
        let Some(raft) = member.raft.as_mut() else {
            return;
        };
        let mut results = Vec::new();
        member
            .reads
            .retain(|(number, min_index)| match raft.read_index(*number) {
                Some(index) => {
                    results.push((index, *min_index));
                    false
                }
                None => true,
            });
        for (index, min_index) in results {
            self.completed_reads += 1;
            if index < min_index {
                self.violations.push(format!(
                    "{node} read up to {index}, {min_index} was committed at {:.3}",
                    self.now_s
                ));
            }
        }
    }

    /// The highest index that any member has committed.
    pub(crate) fn highest_committed(&self) -> u64 {
        self.first_committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or(0)
    }

    pub(crate) fn applied_index(&self, node: usize) -> u64 {
        self.members[node].applied_index
    }

    pub(crate) fn propose(&mut self, node: usize) {
        self.next_command += 1;
        let command = self.next_command;
        if self.now_s < self.members[node].paused_until_s {
            return;
        }
        if let Some(raft) = self.members[node].raft.as_mut() {
            // Only the leader accepts the command; the others return an error.
            let _ = raft.propose(self.now_s, command.to_le_bytes().to_vec());
        }
        self.process_output(node);
    }

    pub(crate) fn read(&mut self, node: usize) {
        let min_index = self.highest_committed();
        if self.now_s < self.members[node].paused_until_s {
            return;
        }
        if self.defect == Defect::ReadsWithoutQuorum {
            let Some(raft) = self.members[node]
                .raft
                .as_ref()
                .filter(|raft| raft.is_leader())
            else {
                return;
            };
            self.completed_reads += 1;
            if raft.status(self.now_s).commit_index < min_index {
                self.violations.push(format!("{node} read stale state"));
            }
            return;
        }
        if let Some(raft) = self.members[node].raft.as_mut() {
            let number = raft.read(self.now_s);
            self.members[node].reads.push((number, min_index));
        }
        self.process_output(node);
    }

    pub(crate) fn reconfigure(&mut self, node: usize, wanted: &[usize]) {
        let wanted: Vec<u64> = wanted.iter().map(|node| member_id(*node)).collect();
        if self.now_s < self.members[node].paused_until_s {
            return;
        }
        if let Some(raft) = self.members[node].raft.as_mut() {
            raft.reconfigure(self.now_s, &wanted);
        }
        self.process_output(node);
    }

    /// Advances the simulation to a time, in seconds.
    pub(crate) fn run_until(&mut self, end_s: f64) {
        while self.now_s < end_s {
            let mut next_event_s = end_s;
            if let Some((&(next_us, _), _)) = self.in_flight.first_key_value() {
                next_event_s = next_event_s.min(next_us as f64 / 1e6);
            }
            for member in &self.members {
                if let Some(raft) = &member.raft {
                    next_event_s = next_event_s.min(raft.deadline().max(member.paused_until_s));
                    if let (Some(unsynced), false) =
                        (member.unsynced.front(), member.has_disk_failed)
                    {
                        next_event_s =
                            next_event_s.min(unsynced.synced_s.max(member.paused_until_s));
                    }
                }
            }
            self.now_s = next_event_s.max(self.now_s + 1e-6);
            let now_s = self.now_s;
            let due_us = (now_s * 1e6) as u64;
            while let Some((&key, _)) = self
                .in_flight
                .first_key_value()
                .filter(|((at_us, _), _)| *at_us <= due_us)
            {
                let Some((from, to, mut message)) = self.in_flight.remove(&key) else {
                    break;
                };
                if now_s < self.members[to].paused_until_s {
                    // The message waits in the socket of the paused process.
                    let at_us = (self.members[to].paused_until_s * 1e6) as u64 + 1;
                    self.in_flight.insert((at_us, key.1), (from, to, message));
                    continue;
                }
                if let (
                    Defect::IgnoresRollback,
                    MessageBody::DiskReport {
                        records_written, ..
                    },
                ) = (self.defect, &mut message.body)
                {
                    *records_written = 0;
                }
                if let Some(raft) = self.members[to].raft.as_mut() {
                    if raft.receive(now_s, member_id(from), message).is_err() {
                        self.violations
                            .push(format!("{to} rejected a message of {from}"));
                    }
                }
                self.process_output(to);
            }
            for node in 0..self.members.len() {
                if now_s < self.members[node].paused_until_s {
                    continue;
                }
                self.complete_syncs(node);
                if let Some(raft) = self.members[node]
                    .raft
                    .as_mut()
                    .filter(|raft| raft.deadline() <= now_s)
                {
                    raft.tick(now_s);
                    self.process_output(node);
                }
            }
        }
    }
}
