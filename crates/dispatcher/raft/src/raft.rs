//! One member of the replicated log: its state and what can be asked about it. The parts of the protocol are in the
//! modules below.

mod append;
mod commit;
mod disk_check;
mod election;
mod founding;
mod leader;
mod persistence;
mod progress;
mod read_index;
mod receive;
mod reconfigure;
mod replication;
mod snapshot_receiver;
mod snapshot_sender;
mod timer;

use crate::config::{RaftConfig, Timing};
use crate::entry::{Mark, Voter};
use crate::log::Log;
use crate::message::{Message, MessageBody};
use crate::output::{Fault, Output, Status};
use crate::record::DiskRecord;
use disk_check::{DiskCheck, Peer};
use progress::LeaderState;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use snapshot_receiver::IncomingSnapshot;
use std::collections::{BTreeMap, BTreeSet};

/// A member's role.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate(Candidacy),
    Leader(LeaderState),
}

/// A candidate's election.
#[derive(Clone, Debug)]
struct Candidacy {
    /// Only asks whether votes would be given.
    pre_vote: bool,
    /// The term that the votes are for.
    term: u64,
    /// Who gave its vote.
    granted: BTreeSet<Voter>,
}

/// One member of the replicated log.
pub struct Raft {
    me: u64,
    disk: u64,
    members: Vec<u64>,
    founders: Vec<u64>,
    timing: Timing,
    random: Pcg64Mcg,
    term: u64,
    vote: Option<u64>,
    log: Log,
    commit: u64,
    /// Up to here `next_committed` has handed out.
    delivered: u64,
    /// The highest commit index that a leader told.
    leader_commit: u64,
    /// The own log is synced up to here.
    persisted_index: u64,
    /// Records that the disk ever had.
    records_written: u64,
    role: Role,
    leader: Option<u64>,
    /// When a leader was last heard.
    leader_heard: f64,
    /// When the next election begins.
    election_due: f64,
    last_tick: f64,
    /// The disk may be an old copy: others are being asked.
    disk_check: Option<DiskCheck>,
    /// Tells answers to this process from those to an earlier one.
    nonce: u64,
    /// By disk, the most it was heard to have written.
    known_written: BTreeMap<u64, u64>,
    /// What of that is not on this one's disk yet.
    unsaved_written: BTreeMap<u64, u64>,
    peers: BTreeMap<u64, Peer>,
    /// When each member was last heard of with each disk.
    voter_heard: BTreeMap<Voter, f64>,
    incoming: Option<IncomingSnapshot>,
    fault: Option<Fault>,
    /// The number of the last read asked for here.
    read_number: u64,
    /// Read indexes by number.
    read_results: BTreeMap<u64, u64>,
    output: Output,
}

impl Raft {
    /// `records`: what the disk holds, in order; `written`: how many records it holds or ever held.
    pub fn open(config: RaftConfig, records: Vec<DiskRecord>, written: u64, now: f64) -> Raft {
        let holds_promises = !records.is_empty();
        let mut raft = Raft::blank(config, written, now);
        for record in records {
            raft.replay(record);
        }
        raft.unsaved_written.clear();
        raft.commit = raft.log.base().index;
        raft.persisted_index = raft.log.last().index;
        // A disk that holds something may be an old copy of itself: it promises nothing before others were asked.
        raft.disk_check = holds_promises.then(|| DiskCheck::new(now));
        raft.reset_election_timer(now);
        raft
    }

    fn blank(config: RaftConfig, written: u64, now: f64) -> Raft {
        let RaftConfig {
            me,
            disk,
            members,
            founders,
            timing,
            seed,
        } = config;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let nonce: u64 = random.random();
        Raft {
            me,
            disk,
            members,
            founders,
            timing,
            random,
            term: 0,
            vote: None,
            log: Log::default(),
            commit: 0,
            delivered: 0,
            leader_commit: 0,
            persisted_index: 0,
            records_written: written,
            role: Role::Follower,
            leader: None,
            leader_heard: f64::NEG_INFINITY,
            election_due: f64::INFINITY,
            last_tick: now,
            disk_check: None,
            nonce,
            known_written: BTreeMap::new(),
            unsaved_written: BTreeMap::new(),
            peers: BTreeMap::new(),
            voter_heard: BTreeMap::new(),
            incoming: None,
            fault: None,
            // Not where a former process began: an answer to it may still be on the way.
            read_number: nonce >> 1,
            read_results: BTreeMap::new(),
            output: Output::default(),
        }
    }

    fn replay(&mut self, record: DiskRecord) {
        match record {
            DiskRecord::Term { term, vote } => (self.term, self.vote) = (term, vote),
            DiskRecord::Entry(entry) => self.log.entries.push_back(entry),
            DiskRecord::Truncate { from } => self.log.truncate(from),
            DiskRecord::Snapshot(snapshot) => self.log.install(snapshot),
            DiskRecord::Disks(disks) => self.note_disks(disks),
        }
    }

    fn send(&mut self, to: u64, body: MessageBody) {
        let message = Message {
            disk: self.disk,
            written: self.records_written,
            term: self.term,
            body,
        };
        self.output.messages.push((to, message));
    }

    /// The last entry of the log: what `persisted` is told once all records of the outputs taken so far are synced.
    pub fn last(&self) -> Mark {
        self.log.last()
    }

    /// Why this copy cannot go on, if it cannot.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// An operator vouches for this disk: those that could know better are gone.
    pub fn trust(&mut self) {
        self.disk_check = None;
    }

    fn voters(&self) -> &[Voter] {
        self.log.voters().0
    }

    fn myself(&self) -> Voter {
        Voter {
            who: self.me,
            disk: self.disk,
        }
    }

    fn other_members(&self) -> Vec<u64> {
        self.members
            .iter()
            .copied()
            .filter(|who| *who != self.me)
            .collect()
    }

    /// It has a vote, by the log as it stands here.
    pub fn votes(&self) -> bool {
        self.voters().contains(&self.myself()) && self.disk_check.is_none() && self.fault.is_none()
    }

    /// Whether more than half of the voters satisfy a condition.
    fn is_quorum(&self, satisfies: impl Fn(&Voter) -> bool) -> bool {
        let voters = self.voters();
        let count = voters.iter().filter(|voter| satisfies(voter)).count();
        2 * count > voters.len()
    }

    /// The highest value that a majority of the voters has reached.
    fn quorum_value(&self, value: impl Fn(&Voter) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.voters().iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied()
    }

    /// A leader has said that more is agreed than was delivered here; or none has said anything yet.
    pub fn behind(&self) -> bool {
        let no_leader_yet = self.leader_commit == 0 && !self.is_leader();
        let lacks_entries = self.delivered < self.leader_commit;
        self.voters().is_empty() || self.incoming.is_some() || no_leader_yet || lacks_entries
    }

    /// This member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// This member's status, for operators.
    pub fn status(&self, now: f64) -> Status {
        Status {
            role: self.role_name(),
            term: self.term,
            leader: self.leader,
            last: self.log.last().index,
            commit: self.commit,
            voters: self.voters().to_vec(),
            votes: self.votes(),
            silent_s: if self.is_leader() {
                0.0
            } else {
                now - self.leader_heard
            },
            incoming: self.incoming.as_ref().map(IncomingSnapshot::progress),
        }
    }

    fn role_name(&self) -> &'static str {
        match self.role {
            Role::Leader(_) => "leader",
            Role::Candidate(_) => "asks for votes",
            Role::Follower if self.voters().is_empty() => "blank",
            Role::Follower if self.disk_check.is_some() => "asks about its disk",
            Role::Follower if self.voters().contains(&self.myself()) => "voter",
            Role::Follower => "follower",
        }
    }
}
