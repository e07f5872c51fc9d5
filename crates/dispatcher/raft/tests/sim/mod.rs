//! Several members on a simulated network with simulated disks, and a judge of what they were given.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_raft::{
    Committed, DiskRecord, LogPosition, Message, MessageBody, OutboundMessage, Output, Raft,
    RaftConfig, RaftError, Timing,
};
use std::collections::{BTreeMap, VecDeque};

/// What is broken about a variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    No,
    /// Letters go out before their records last.
    PromisesFirst,
    /// A lost disk's member goes on under the old disk's name.
    SameName,
    /// What others know of a disk is not looked at.
    TrustsOldCopies,
    /// A call to make records last answers before it has.
    SyncLies,
    /// Reads are answered from what the leader believes at that moment.
    ReadsUnasked,
    /// A snapshot lacks the last word.
    ShortSnapshot,
    /// Every second cut of the log is not written.
    ForgetsCuts,
}

#[derive(Clone, Default)]
struct Disk {
    name: u64,
    recs: Vec<DiskRecord>,
    records_written: u64,
}

struct Batch {
    out: Output,
    at: f64,
    position: LogPosition,
}

pub(crate) struct Member {
    raft: Option<Raft>,
    disk: Disk,
    old: Option<Disk>,
    pending: VecDeque<Batch>,
    awake: f64,
    dead_disk: bool,
    slow_s: f64,
    pub words: Vec<u64>,
    given: u64,
    reads: Vec<(u64, u64)>,
}

pub(crate) struct World {
    pub now: f64,
    pub members: Vec<Member>,
    initial_voters: Vec<u64>,
    wire: BTreeMap<(u64, u64), (usize, usize, Message)>,
    no: u64,
    pub chance: Pcg64Mcg,
    pub loss: f64,
    pub jitter_s: f64,
    pub cuts: Vec<(usize, usize)>,
    broken: Broken,
    /// What was given first at each index, and the words up to there.
    agreed: BTreeMap<u64, (LogPosition, usize)>,
    all: Vec<u64>,
    pub faults: Vec<String>,
    next_word: u64,
    pub reads_done: usize,
    pub replaced: usize,
    pub letters: u64,
}

fn member_id(n: usize) -> u64 {
    100 + n as u64
}

impl World {
    pub(crate) fn new(members: usize, voters: usize, seed: u64, broken: Broken) -> World {
        let mut world = World {
            now: 0.0,
            members: Vec::new(),
            initial_voters: (0..voters).map(member_id).collect(),
            wire: BTreeMap::new(),
            no: 0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            jitter_s: 0.003,
            cuts: Vec::new(),
            broken,
            agreed: BTreeMap::new(),
            all: Vec::new(),
            faults: Vec::new(),
            next_word: 0,
            reads_done: 0,
            replaced: 0,
            letters: 0,
        };
        for n in 0..members {
            let name = world.chance.random();
            world.members.push(Member {
                raft: None,
                disk: Disk {
                    name,
                    ..Disk::default()
                },
                old: None,
                pending: VecDeque::new(),
                awake: 0.0,
                dead_disk: false,
                slow_s: 0.001,
                words: Vec::new(),
                given: 0,
                reads: Vec::new(),
            });
            world.start(n, members);
        }
        world
    }

    fn start(&mut self, n: usize, members: usize) {
        let seed = self.chance.random();
        let terms = RaftConfig {
            id: member_id(n),
            disk: self.members[n].disk.name,
            members: (0..members).map(member_id).collect(),
            initial_voters: self.initial_voters.clone(),
            timing: Timing::default(),
            seed,
        };
        let member = &mut self.members[n];
        let raft = Raft::open(
            terms,
            member.disk.recs.clone(),
            member.disk.records_written,
            self.now,
        );
        (member.raft, member.dead_disk, member.given) = (Some(raft), false, 0);
        member.words.clear();
        member.reads.clear();
        self.after(n);
    }

    pub(crate) fn kill(&mut self, n: usize) {
        let torn = self.chance.random::<f64>();
        let member = &mut self.members[n];
        member.raft = None;
        // Of what was being written some may be there: whole records, in order.
        if let Some(batch) = member.pending.pop_front() {
            if !batch.out.rewrite {
                let there = (torn * (batch.out.records.len() + 1) as f64) as usize;
                member.disk.records_written += there as u64;
                member
                    .disk
                    .recs
                    .extend(batch.out.records.into_iter().take(there));
            }
        }
        member.pending.clear();
    }

    pub(crate) fn restart(&mut self, n: usize) {
        let members = self.members.len();
        self.start(n, members);
    }

    pub(crate) fn keep_copy(&mut self, n: usize) {
        self.members[n].old = Some(self.members[n].disk.clone());
    }

    pub(crate) fn give_old(&mut self, n: usize) {
        if let Some(old) = self.members[n].old.clone() {
            self.members[n].disk = old;
        }
    }

    pub(crate) fn lose_disk(&mut self, n: usize) {
        let same = self.broken == Broken::SameName;
        let name = if same {
            self.members[n].disk.name
        } else {
            self.chance.random()
        };
        self.members[n].disk = Disk {
            name,
            ..Disk::default()
        };
    }

    pub(crate) fn pause(&mut self, n: usize, for_s: f64) {
        self.members[n].awake = self.now + for_s;
    }

    /// A call to make records last fails: what it stood for is promised by nobody, then or later.
    pub(crate) fn fail_disk(&mut self, n: usize) {
        self.members[n].dead_disk = true;
    }

    pub(crate) fn slow_disk(&mut self, n: usize, by_s: f64) {
        self.members[n].slow_s = by_s;
        let now = self.now;
        self.members[n]
            .pending
            .iter_mut()
            .for_each(|batch| batch.at = batch.at.min(now + by_s));
    }

    pub(crate) fn up(&self, n: usize) -> bool {
        self.members[n].raft.is_some()
    }

    pub(crate) fn votes(&self, n: usize) -> bool {
        self.members[n]
            .raft
            .as_ref()
            .is_some_and(|raft| raft.can_vote())
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.members.len()).find(|n| {
            self.members[*n]
                .raft
                .as_ref()
                .is_some_and(|raft| raft.is_leader())
        })
    }

    fn post(&mut self, from: usize, out: Vec<OutboundMessage>) {
        for OutboundMessage {
            to,
            message: letter,
        } in out
        {
            self.letters += 1;
            assert!(self.letters < 2_000_000, "letters without end");
            let to = (to - 100) as usize;
            let copies = if self.chance.random::<f64>() < 0.05 {
                2
            } else {
                1
            };
            for _ in 0..copies {
                if self.chance.random::<f64>() < self.loss || self.cuts.contains(&(from, to)) {
                    continue;
                }
                let late = 0.0005 + self.jitter_s * self.chance.random::<f64>();
                self.no += 1;
                let at = ((self.now + late) * 1e6) as u64;
                self.wire.insert((at, self.no), (from, to, letter.clone()));
            }
        }
    }

    /// Takes what a member asks for, and what it was given.
    fn after(&mut self, n: usize) {
        let (broken, now) = (self.broken, self.now);
        let Some(raft) = self.members[n].raft.as_mut() else {
            return;
        };
        let mut out = raft.output();
        let position = raft.last_position();
        let fault = raft.fault();
        if broken == Broken::ForgetsCuts && position.index % 2 == 0 {
            out.records
                .retain(|record| !matches!(record, DiskRecord::Truncate { .. }));
        }
        self.given(n);
        if let Some(fault) = fault {
            // The copy is put aside, and the member begins as a new one.
            self.replaced += 1;
            if let RaftError::LogDiverged { index } = fault {
                if self.broken == Broken::No {
                    self.faults
                        .push(format!("{n} differs at {index} at {now:.3}"));
                }
            }
            self.members[n].raft = None;
            self.members[n].pending.clear();
            self.lose_disk(n);
            let members = self.members.len();
            return self.start(n, members);
        }
        if out.is_empty() {
            return;
        }
        if broken == Broken::PromisesFirst {
            let post = std::mem::take(&mut out.messages);
            self.post(n, post);
        }
        let member = &mut self.members[n];
        if member.pending.is_empty() && out.records.is_empty() {
            return if member.dead_disk {
                Default::default()
            } else {
                self.post(n, out.messages)
            };
        }
        let lasts_in = if out.records.is_empty() {
            0.0
        } else {
            member.slow_s
        };
        let from = member.pending.back().map_or(now, |batch| batch.at.max(now));
        member.pending.push_back(Batch {
            out,
            at: from + lasts_in,
            position,
        });
    }

    fn last(&mut self, n: usize) {
        while self.members[n]
            .pending
            .front()
            .is_some_and(|batch| batch.at <= self.now)
        {
            let member = &mut self.members[n];
            if member.dead_disk {
                return;
            }
            let Some(Batch { out, position, .. }) = member.pending.pop_front() else {
                return;
            };
            let lost = self.broken == Broken::SyncLies && self.no.is_multiple_of(16);
            if out.rewrite {
                member.disk.recs.clear();
                member.disk.records_written = out.records_written - out.records.len() as u64;
            }
            if !lost {
                member.disk.records_written += out.records.len() as u64;
                member.disk.recs.extend(out.records);
            }
            self.post(n, out.messages);
            if let Some(raft) = self.members[n].raft.as_mut() {
                raft.persisted(self.now, position);
            }
            self.after(n);
        }
    }

    fn given(&mut self, n: usize) {
        while let Some(given) = self.members[n].raft.as_mut().and_then(Raft::next_committed) {
            let position = match given {
                Committed::Entry(entry) => {
                    if let sagetrail_raft::EntryPayload::Command(word) = &entry.payload {
                        self.members[n]
                            .words
                            .push(u64::from_le_bytes(word[..8].try_into().unwrap()));
                    }
                    entry.position
                }
                Committed::Snapshot(snapshot) => {
                    let chunks = snapshot.state.chunks_exact(8);
                    self.members[n].words = chunks
                        .map(|word| u64::from_le_bytes(word.try_into().unwrap()))
                        .collect();
                    snapshot.position
                }
            };
            let member = &mut self.members[n];
            member.given = position.index;
            let words = member.words.clone();
            let (first, count) = *self
                .agreed
                .entry(position.index)
                .or_insert((position, words.len()));
            if count > self.all.len() {
                self.all = words.clone();
            }
            if first != position
                || words[..] != self.all[..words.len().min(self.all.len())]
                || words.len() != count
            {
                self.faults.push(format!(
                    "{n} was given another {} at {:.3}",
                    position.index, self.now
                ));
            }
            if position.index.is_multiple_of(16) {
                let short = usize::from(self.broken == Broken::ShortSnapshot);
                let upto = words.len().saturating_sub(short);
                let state: Vec<u8> = words[..upto]
                    .iter()
                    .flat_map(|word| word.to_le_bytes())
                    .collect();
                if let Some(raft) = self.members[n].raft.as_mut() {
                    raft.compact(position.index, state);
                }
            }
        }
        let member = &mut self.members[n];
        let Some(raft) = member.raft.as_mut() else {
            return;
        };
        let mut done = Vec::new();
        member
            .reads
            .retain(|(no, least)| match raft.read_index(*no) {
                Some(index) => {
                    done.push((index, *least));
                    false
                }
                None => true,
            });
        for (index, least) in done {
            self.reads_done += 1;
            if index < least {
                self.faults.push(format!(
                    "{n} read up to {index}, {least} was agreed at {:.3}",
                    self.now
                ));
            }
        }
    }

    /// The highest index that anybody was given.
    pub(crate) fn most(&self) -> u64 {
        self.agreed.keys().next_back().copied().unwrap_or(0)
    }

    pub(crate) fn given_to(&self, n: usize) -> u64 {
        self.members[n].given
    }

    pub(crate) fn propose(&mut self, n: usize) {
        self.next_word += 1;
        let word = self.next_word;
        if self.now < self.members[n].awake {
            return;
        }
        if let Some(raft) = self.members[n].raft.as_mut() {
            // Only a leader takes it.
            let _ = raft.propose(self.now, word.to_le_bytes().to_vec());
        }
        self.after(n);
    }

    pub(crate) fn read(&mut self, n: usize) {
        let least = self.most();
        if self.now < self.members[n].awake {
            return;
        }
        if self.broken == Broken::ReadsUnasked {
            let Some(raft) = self.members[n]
                .raft
                .as_ref()
                .filter(|raft| raft.is_leader())
            else {
                return;
            };
            self.reads_done += 1;
            if raft.status(self.now).commit_index < least {
                self.faults.push(format!("{n} read old"));
            }
            return;
        }
        if let Some(raft) = self.members[n].raft.as_mut() {
            let no = raft.read(self.now);
            self.members[n].reads.push((no, least));
        }
        self.after(n);
    }

    pub(crate) fn towards(&mut self, n: usize, wanted: &[usize]) {
        let wanted: Vec<u64> = wanted.iter().map(|n| member_id(*n)).collect();
        if self.now < self.members[n].awake {
            return;
        }
        if let Some(raft) = self.members[n].raft.as_mut() {
            raft.reconfigure(self.now, &wanted);
        }
        self.after(n);
    }

    /// Goes on until then.
    pub(crate) fn until(&mut self, end: f64) {
        while self.now < end {
            let mut at = end;
            if let Some((&(next, _), _)) = self.wire.first_key_value() {
                at = at.min(next as f64 / 1e6);
            }
            for member in &self.members {
                if let Some(raft) = &member.raft {
                    at = at.min(raft.deadline().max(member.awake));
                    if let (Some(batch), false) = (member.pending.front(), member.dead_disk) {
                        at = at.min(batch.at.max(member.awake));
                    }
                }
            }
            self.now = at.max(self.now + 1e-6);
            let now = self.now;
            let due = (now * 1e6) as u64;
            while let Some((&key, _)) = self
                .wire
                .first_key_value()
                .filter(|((at, _), _)| *at <= due)
            {
                let Some((from, to, mut letter)) = self.wire.remove(&key) else {
                    break;
                };
                if now < self.members[to].awake {
                    // It waits in the socket of one that is stopped.
                    let at = (self.members[to].awake * 1e6) as u64 + 1;
                    self.wire.insert((at, key.1), (from, to, letter));
                    continue;
                }
                if let (
                    Broken::TrustsOldCopies,
                    MessageBody::DiskReport {
                        records_written, ..
                    },
                ) = (self.broken, &mut letter.body)
                {
                    *records_written = 0;
                }
                if let Some(raft) = self.members[to].raft.as_mut() {
                    if raft.receive(now, member_id(from), letter).is_err() {
                        self.faults.push(format!("{to} refused a letter of {from}"));
                    }
                }
                self.after(to);
            }
            for n in 0..self.members.len() {
                if now < self.members[n].awake {
                    continue;
                }
                self.last(n);
                if let Some(raft) = self.members[n]
                    .raft
                    .as_mut()
                    .filter(|raft| raft.deadline() <= now)
                {
                    raft.tick(now);
                    self.after(n);
                }
            }
        }
    }
}
