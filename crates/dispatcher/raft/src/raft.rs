//! One member of the replicated log: its state and what can be asked about it. The parts of the protocol are in the
//! modules below.

mod append;
mod bootstrap;
mod commit;
mod election;
mod leader;
mod membership_change;
mod persistence;
mod progress;
mod read_index;
mod receive;
mod replication;
mod rollback_check;
mod snapshot_receiver;
mod snapshot_sender;
mod timer;

use crate::config::{RaftConfig, Timing};
use crate::disk_record::DiskRecord;
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::message::{Message, MessageBody};
use crate::output::{MemberRole, OutboundMessage, Output, Status};
use crate::raft_log::RaftLog;
use crate::voter::Voter;
use progress::LeaderState;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rollback_check::{Peer, RollbackCheck};
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
    id: u64,
    disk: u64,
    members: Vec<u64>,
    initial_voters: Vec<u64>,
    timing: Timing,
    random: Pcg64Mcg,
    term: u64,
    vote: Option<u64>,
    log: RaftLog,
    commit_index: u64,
    /// Up to here `next_committed` has handed out.
    applied_index: u64,
    /// The highest commit index that a leader told.
    leader_commit: u64,
    /// The own log is synced up to here.
    persisted_index: u64,
    /// Records that the disk ever had.
    records_written: u64,
    role: Role,
    leader: Option<u64>,
    /// When a leader was last heard.
    leader_contact_at: f64,
    /// When the next election begins.
    election_deadline: f64,
    last_tick: f64,
    /// The disk may be an old copy: others are being asked.
    rollback_check: Option<RollbackCheck>,
    /// Tells answers to this process from those to an earlier one.
    nonce: u64,
    /// By disk, the most it was heard to have written.
    known_watermarks: BTreeMap<u64, u64>,
    /// What of that is not on this one's disk yet.
    unsaved_watermarks: BTreeMap<u64, u64>,
    peers: BTreeMap<u64, Peer>,
    /// When each member was last heard of with each disk.
    disk_contact_at: BTreeMap<Voter, f64>,
    incoming_snapshot: Option<IncomingSnapshot>,
    fault: Option<RaftError>,
    /// The number of the last read asked for here.
    read_number: u64,
    /// Read indexes by number.
    read_results: BTreeMap<u64, u64>,
    output: Output,
}

impl Raft {
    /// `records`: what the disk holds, in order; `written`: how many records it holds or ever held.
    pub fn open(
        config: RaftConfig,
        records: Vec<DiskRecord>,
        records_written: u64,
        now: f64,
    ) -> Raft {
        let holds_promises = !records.is_empty();
        let mut raft = Raft::blank(config, records_written, now);
        for record in records {
            raft.replay(record);
        }
        raft.unsaved_watermarks.clear();
        raft.commit_index = raft.log.snapshot_position().index;
        raft.persisted_index = raft.log.last_position().index;
        // A disk that holds something may be an old copy of itself: it promises nothing before others were asked.
        raft.rollback_check = holds_promises.then(|| RollbackCheck::new(now));
        raft.reset_election_timer(now);
        raft
    }

    fn blank(config: RaftConfig, records_written: u64, now: f64) -> Raft {
        let RaftConfig {
            id,
            disk,
            members,
            initial_voters,
            timing,
            seed,
        } = config;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let nonce: u64 = random.random();
        Raft {
            id,
            disk,
            members,
            initial_voters,
            timing,
            random,
            term: 0,
            vote: None,
            log: RaftLog::default(),
            commit_index: 0,
            applied_index: 0,
            leader_commit: 0,
            persisted_index: 0,
            records_written,
            role: Role::Follower,
            leader: None,
            leader_contact_at: f64::NEG_INFINITY,
            election_deadline: f64::INFINITY,
            last_tick: now,
            rollback_check: None,
            nonce,
            known_watermarks: BTreeMap::new(),
            unsaved_watermarks: BTreeMap::new(),
            peers: BTreeMap::new(),
            disk_contact_at: BTreeMap::new(),
            incoming_snapshot: None,
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
            DiskRecord::Watermarks(disks) => self.note_watermarks(disks),
        }
    }

    fn send(&mut self, to: u64, body: MessageBody) {
        let message = Message {
            disk: self.disk,
            records_written: self.records_written,
            term: self.term,
            body,
        };
        self.output.messages.push(OutboundMessage { to, message });
    }

    /// The last entry of the log: what `persisted` is told once all records of the outputs taken so far are synced.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// Why this copy cannot go on, if it cannot.
    pub fn fault(&self) -> Option<RaftError> {
        self.fault
    }

    /// An operator vouches for this disk: those that could know better are gone.
    pub fn trust_disk(&mut self) {
        self.rollback_check = None;
    }

    fn voters(&self) -> &[Voter] {
        self.log.voters().0
    }

    fn own_voter(&self) -> Voter {
        Voter {
            member: self.id,
            disk: self.disk,
        }
    }

    fn other_members(&self) -> Vec<u64> {
        self.members
            .iter()
            .copied()
            .filter(|member| *member != self.id)
            .collect()
    }

    /// It has a vote, by the log as it stands here.
    pub fn can_vote(&self) -> bool {
        self.voters().contains(&self.own_voter())
            && self.rollback_check.is_none()
            && self.fault.is_none()
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
    pub fn is_behind(&self) -> bool {
        let no_leader_yet = self.leader_commit == 0 && !self.is_leader();
        let lacks_entries = self.applied_index < self.leader_commit;
        self.voters().is_empty()
            || self.incoming_snapshot.is_some()
            || no_leader_yet
            || lacks_entries
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
            role: self.member_role(),
            term: self.term,
            leader: self.leader,
            last_index: self.log.last_position().index,
            commit_index: self.commit_index,
            voters: self.voters().to_vec(),
            can_vote: self.can_vote(),
            since_leader_s: if self.is_leader() {
                0.0
            } else {
                now - self.leader_contact_at
            },
            incoming_snapshot: self
                .incoming_snapshot
                .as_ref()
                .map(IncomingSnapshot::progress),
        }
    }

    fn member_role(&self) -> MemberRole {
        match self.role {
            Role::Leader(_) => MemberRole::Leader,
            Role::Candidate(_) => MemberRole::Candidate,
            Role::Follower if self.voters().is_empty() => MemberRole::Blank,
            Role::Follower if self.rollback_check.is_some() => MemberRole::CheckingDisk,
            Role::Follower if self.voters().contains(&self.own_voter()) => MemberRole::Voter,
            Role::Follower => MemberRole::Follower,
        }
    }
}
