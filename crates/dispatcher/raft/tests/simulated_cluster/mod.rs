//! Several members on a simulated network with simulated disks, and a checker of what they commit and read.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_raft::{
    Committed, DiskRecord, LogPosition, Message, MessageBody, OutboundMessage, Output, Raft,
    RaftConfig, RaftError, Timing,
};
use std::collections::{BTreeMap, VecDeque};

/// A defect that is injected into the cluster: the checker must detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// Messages are sent before the records of the same output are synced.
    SendsBeforeSync,
    /// A member with a replaced disk keeps the identity of the former one.
    KeepsDiskIdentity,
    /// Watermarks that others report are ignored.
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

/// An output whose records are being written.
struct UnsyncedOutput {
    output: Output,
    synced_at: f64,
    position: LogPosition,
}

/// A member with its disk and what the checker knows of it.
pub(crate) struct Member {
    raft: Option<Raft>,
    disk: Disk,
    old_copy: Option<Disk>,
    unsynced: VecDeque<UnsyncedOutput>,
    paused_until: f64,
    disk_failed: bool,
    sync_s: f64,
    pub commands: Vec<u64>,
    applied_index: u64,
    /// Reads under way: number, and the index that was committed when it was asked.
    reads: Vec<(u64, u64)>,
}

/// The cluster: members, network, clock and checker.
pub(crate) struct SimulatedCluster {
    pub now: f64,
    pub members: Vec<Member>,
    initial_voters: Vec<u64>,
    /// By arrival time in microseconds and number: sender, receiver, message.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    message_count: u64,
    pub random: Pcg64Mcg,
    /// Probability that a message is lost.
    pub loss: f64,
    pub jitter_s: f64,
    /// Directed links that lose everything: sender, receiver.
    pub cut_links: Vec<(usize, usize)>,
    defect: Defect,
    /// The first position committed at each index, and the number of commands up to it.
    first_committed: BTreeMap<u64, (LogPosition, usize)>,
    /// The commands of the longest committed history.
    longest_history: Vec<u64>,
    /// What the checker found.
    pub violations: Vec<String>,
    next_command: u64,
    pub reads_done: usize,
    pub replaced: usize,
    pub messages_sent: u64,
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
            now: 0.0,
            members: Vec::new(),
            initial_voters: (0..voters).map(member_id).collect(),
            in_flight: BTreeMap::new(),
            message_count: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            jitter_s: 0.003,
            cut_links: Vec::new(),
            defect,
            first_committed: BTreeMap::new(),
            longest_history: Vec::new(),
            violations: Vec::new(),
            next_command: 0,
            reads_done: 0,
            replaced: 0,
            messages_sent: 0,
        };
        for node in 0..members {
            let identity = cluster.random.random();
            cluster.members.push(Member {
                raft: None,
                disk: Disk {
                    identity,
                    ..Disk::default()
                },
                old_copy: None,
                unsynced: VecDeque::new(),
                paused_until: 0.0,
                disk_failed: false,
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
            self.now,
        );
        (member.raft, member.disk_failed, member.applied_index) = (Some(raft), false, 0);
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
                let there = (torn_fraction * (unsynced.output.records.len() + 1) as f64) as usize;
                member.disk.records_written += there as u64;
                member
                    .disk
                    .records
                    .extend(unsynced.output.records.into_iter().take(there));
            }
        }
        member.unsynced.clear();
    }

    pub(crate) fn restart(&mut self, node: usize) {
        let members = self.members.len();
        self.start(node, members);
    }

    pub(crate) fn copy_disk(&mut self, node: usize) {
        self.members[node].old_copy = Some(self.members[node].disk.clone());
    }

    pub(crate) fn restore_disk_copy(&mut self, node: usize) {
        if let Some(old_copy) = self.members[node].old_copy.clone() {
            self.members[node].disk = old_copy;
        }
    }

    pub(crate) fn replace_disk(&mut self, node: usize) {
        let same = self.defect == Defect::KeepsDiskIdentity;
        let identity = if same {
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
        self.members[node].paused_until = self.now + duration_s;
    }

    /// Syncs fail from now on: their records are never acknowledged.
    pub(crate) fn fail_disk(&mut self, node: usize) {
        self.members[node].disk_failed = true;
    }

    pub(crate) fn slow_disk(&mut self, node: usize, by_s: f64) {
        self.members[node].sync_s = by_s;
        let now = self.now;
        self.members[node]
            .unsynced
            .iter_mut()
            .for_each(|unsynced| unsynced.synced_at = unsynced.synced_at.min(now + by_s));
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
            self.messages_sent += 1;
            assert!(self.messages_sent < 2_000_000, "a message loop");
            let to = (to - 100) as usize;
            let copies = if self.random.random::<f64>() < 0.05 {
                2
            } else {
                1
            };
            for _ in 0..copies {
                if self.random.random::<f64>() < self.loss || self.cut_links.contains(&(from, to)) {
                    continue;
                }
                let late = 0.0005 + self.jitter_s * self.random.random::<f64>();
                self.message_count += 1;
                let at = ((self.now + late) * 1e6) as u64;
                self.in_flight
                    .insert((at, self.message_count), (from, to, message.clone()));
            }
        }
    }

    /// Takes a member's output and its committed entries, and replaces it if it has a fault.
    fn process_output(&mut self, node: usize) {
        let (defect, now) = (self.defect, self.now);
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
            // As a host does: the disk is put aside, and the member starts again with a blank one.
            self.replaced += 1;
            if let RaftError::LogDiverged { index } = fault {
                if self.defect == Defect::None {
                    self.violations
                        .push(format!("{node} differs at {index} at {now:.3}"));
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
            return if member.disk_failed {
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
        let from = member
            .unsynced
            .back()
            .map_or(now, |unsynced| unsynced.synced_at.max(now));
        member.unsynced.push_back(UnsyncedOutput {
            output,
            synced_at: from + sync_s,
            position,
        });
    }

    fn complete_syncs(&mut self, node: usize) {
        while self.members[node]
            .unsynced
            .front()
            .is_some_and(|unsynced| unsynced.synced_at <= self.now)
        {
            let member = &mut self.members[node];
            if member.disk_failed {
                return;
            }
            let Some(UnsyncedOutput {
                output, position, ..
            }) = member.unsynced.pop_front()
            else {
                return;
            };
            let lost =
                self.defect == Defect::LosesSyncedRecords && self.message_count.is_multiple_of(16);
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
                raft.persisted(self.now, position);
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
                    position.index, self.now
                ));
            }
            if position.index.is_multiple_of(16) {
                let short = usize::from(self.defect == Defect::TruncatesSnapshots);
                let length = commands.len().saturating_sub(short);
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
        let mut done = Vec::new();
        member
            .reads
            .retain(|(no, min_index)| match raft.read_index(*no) {
                Some(index) => {
                    done.push((index, *min_index));
                    false
                }
                None => true,
            });
        for (index, min_index) in done {
            self.reads_done += 1;
            if index < min_index {
                self.violations.push(format!(
                    "{node} read up to {index}, {min_index} was committed at {:.3}",
                    self.now
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
        if self.now < self.members[node].paused_until {
            return;
        }
        if let Some(raft) = self.members[node].raft.as_mut() {
            // Only the leader accepts it.
            let _ = raft.propose(self.now, command.to_le_bytes().to_vec());
        }
        self.process_output(node);
    }

    pub(crate) fn read(&mut self, node: usize) {
        let min_index = self.highest_committed();
        if self.now < self.members[node].paused_until {
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
            self.reads_done += 1;
            if raft.status(self.now).commit_index < min_index {
                self.violations.push(format!("{node} read stale state"));
            }
            return;
        }
        if let Some(raft) = self.members[node].raft.as_mut() {
            let no = raft.read(self.now);
            self.members[node].reads.push((no, min_index));
        }
        self.process_output(node);
    }

    pub(crate) fn reconfigure(&mut self, node: usize, wanted: &[usize]) {
        let wanted: Vec<u64> = wanted.iter().map(|node| member_id(*node)).collect();
        if self.now < self.members[node].paused_until {
            return;
        }
        if let Some(raft) = self.members[node].raft.as_mut() {
            raft.reconfigure(self.now, &wanted);
        }
        self.process_output(node);
    }

    /// Advances the simulation to a time, in seconds.
    pub(crate) fn run_until(&mut self, end: f64) {
        while self.now < end {
            let mut at = end;
            if let Some((&(next, _), _)) = self.in_flight.first_key_value() {
                at = at.min(next as f64 / 1e6);
            }
            for member in &self.members {
                if let Some(raft) = &member.raft {
                    at = at.min(raft.deadline().max(member.paused_until));
                    if let (Some(unsynced), false) = (member.unsynced.front(), member.disk_failed) {
                        at = at.min(unsynced.synced_at.max(member.paused_until));
                    }
                }
            }
            self.now = at.max(self.now + 1e-6);
            let now = self.now;
            let due = (now * 1e6) as u64;
            while let Some((&key, _)) = self
                .in_flight
                .first_key_value()
                .filter(|((at, _), _)| *at <= due)
            {
                let Some((from, to, mut message)) = self.in_flight.remove(&key) else {
                    break;
                };
                if now < self.members[to].paused_until {
                    // It waits in the socket of a paused process.
                    let at = (self.members[to].paused_until * 1e6) as u64 + 1;
                    self.in_flight.insert((at, key.1), (from, to, message));
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
                    if raft.receive(now, member_id(from), message).is_err() {
                        self.violations
                            .push(format!("{to} rejected a message of {from}"));
                    }
                }
                self.process_output(to);
            }
            for node in 0..self.members.len() {
                if now < self.members[node].paused_until {
                    continue;
                }
                self.complete_syncs(node);
                if let Some(raft) = self.members[node]
                    .raft
                    .as_mut()
                    .filter(|raft| raft.deadline() <= now)
                {
                    raft.tick(now);
                    self.process_output(node);
                }
            }
        }
    }
}
