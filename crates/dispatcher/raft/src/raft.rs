//! One member of the replicated log: its state, and the queries about that state. The parts of the protocol are `impl`
//! blocks in the modules below, one for each section of the papers.

mod append;
mod bootstrap;
mod commit;
mod disk_watermarks;
mod election;
mod leader;
mod leader_state;
mod membership_change;
mod peers;
mod persistence;
mod progress;
mod read_index;
mod receive;
mod replication;
mod rollback_check;
mod snapshot_receiver;
mod snapshot_sender;
mod timer;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config::{RaftConfig, Timing};
use crate::disk_record::DiskRecord;
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::message::{Message, MessageBody};
use crate::output::{MemberRole, OutboundMessage, Output, Status};
use crate::raft_log::RaftLog;
use crate::voter::Voter;
use disk_watermarks::DiskWatermarks;
use election::Candidacy;
use leader_state::LeaderState;
use peers::Peers;
use read_index::ReadResults;
use rollback_check::RollbackCheck;
use snapshot_receiver::IncomingSnapshot;

/// A member's role (Raft, 5.1), with the state that lasts as long as the role.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate(Candidacy),
    Leader(LeaderState),
}

/// One member of the replicated log, as a state machine without I/O.
///
/// All times are in seconds on the host's clock, which must be monotonic.
pub struct Raft {
    /// Identifier of this member.
    id: u64,
    /// Identifier of this member's disk.
    disk: u64,
    /// Identifiers of all members: voters and learners, including this member.
    members: Vec<u64>,
    /// Identifiers of the members that are the voters of a new log.
    initial_voters: Vec<u64>,
    timing: Timing,
    /// Random generator of the election timeouts.
    random: Pcg64Mcg,

    // Persistent state (Raft, figure 2).
    /// The latest term that this member has seen (`currentTerm`). Never decreases.
    term: u64,
    /// The candidate that received this member's vote in `term` (`votedFor`).
    vote: Option<u64>,
    log: RaftLog,
    /// Number of records written to the disk since it was blank, including those of outputs that are not synced yet.
    records_written: u64,

    // Volatile state (Raft, figure 2).
    /// The highest index known to be committed (`commitIndex`). Never decreases.
    commit_index: u64,
    /// The index up to which `next_committed` has delivered (`lastApplied`); at most `commit_index`.
    applied_index: u64,
    /// The highest commit index that a leader has reported; may be beyond the end of this log.
    leader_commit: u64,
    /// The index up to which the log is synced to the own disk; at most the last index.
    persisted_index: u64,
    role: Role,
    /// The leader of `term`, if it is known.
    leader: Option<u64>,
    /// When the last message of a leader arrived; negative infinity before the first one.
    leader_contact_s: f64,
    /// When this member starts an election unless a leader's message arrives before.
    election_deadline_s: f64,
    /// When `tick` was last called.
    last_tick_s: f64,

    // Detection of rolled-back disks.
    /// The running check of this member's disk. `None` if the disk is known to be complete.
    rollback_check: Option<RollbackCheck>,
    /// Random number that identifies this process in queries: replies to an earlier process are ignored.
    nonce: u64,
    watermarks: DiskWatermarks,
    peers: Peers,

    /// The snapshot that is being received.
    incoming_snapshot: Option<IncomingSnapshot>,
    /// The reason for which this member cannot continue with its disk. A member with a fault sends nothing.
    fault: Option<RaftError>,
    /// Reads that this member has requested.
    read_results: ReadResults,
    /// Records and messages that the host has to write and send.
    output: Output,
}

impl Raft {
    /// Starts a member at the time `now`, in seconds.
    ///
    /// `records` are the records on the disk, in order; `records_written` is the number of records written to it since
    /// it was blank. For a blank disk, `records` is empty and `records_written` is 0.
    pub fn open(
        config: RaftConfig,
        records: Vec<DiskRecord>,
        records_written: u64,
        now_s: f64,
    ) -> Raft {
        let is_blank = records.is_empty();
        let mut raft = Raft::blank(config, records_written, now_s);
        for record in records {
            raft.replay(record);
        }
        raft.watermarks.mark_saved();
        raft.commit_index = raft.log.snapshot_position().index;
        raft.persisted_index = raft.log.last_position().index;
        // A disk that holds records may have been rolled back, so this member neither votes nor acknowledges entries
        // before the other members have answered.
        raft.rollback_check = (!is_blank).then(|| RollbackCheck::new(now_s));
        raft.reset_election_timer(now_s);
        raft
    }

    fn blank(config: RaftConfig, records_written: u64, now_s: f64) -> Raft {
        let mut random = Pcg64Mcg::seed_from_u64(config.seed);
        let nonce: u64 = random.random();
        Raft {
            id: config.id,
            disk: config.disk,
            members: config.members,
            initial_voters: config.initial_voters,
            timing: config.timing,
            random,
            term: 0,
            vote: None,
            log: RaftLog::default(),
            records_written,
            commit_index: 0,
            applied_index: 0,
            leader_commit: 0,
            persisted_index: 0,
            role: Role::Follower,
            leader: None,
            leader_contact_s: f64::NEG_INFINITY,
            election_deadline_s: f64::INFINITY,
            last_tick_s: now_s,
            rollback_check: None,
            nonce,
            watermarks: DiskWatermarks::default(),
            peers: Peers::default(),
            incoming_snapshot: None,
            fault: None,
            read_results: ReadResults::new(nonce >> 1),
            output: Output::default(),
        }
    }

    fn replay(&mut self, record: DiskRecord) {
        match record {
            DiskRecord::Term { term, vote } => (self.term, self.vote) = (term, vote),
            DiskRecord::Entry(entry) => self.log.entries.push_back(entry),
            DiskRecord::Truncate { from } => self.log.truncate(from),
            DiskRecord::Snapshot(snapshot) => self.log.install(snapshot),
            DiskRecord::Watermarks(watermarks) => self.watermarks.raise_all(watermarks),
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

    /// The position of the last entry. It is the argument of [`persisted`](Raft::persisted) once all records of the
    /// outputs taken so far are synced.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// The reason for which this member cannot continue with its disk: [`RaftError::LogDiverged`] or
    /// [`RaftError::DiskRolledBack`]. The host moves the disk's content aside and opens a new member with a blank disk.
    pub fn fault(&self) -> Option<RaftError> {
        self.fault
    }

    /// Ends the check of the disk without replies, at an operator's command. It is meant for the case that the members
    /// that could reply are permanently lost.
    pub fn trust_disk(&mut self) {
        self.rollback_check = None;
    }

    fn voters(&self) -> &[Voter] {
        self.log.voters().voters
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

    /// Whether this member votes: its log names it as a voter, its disk is known to be complete, and it has no fault.
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

    /// The highest value that more than half of the voters have reached. `None` without voters.
    fn quorum_value(&self, value: impl Fn(&Voter) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.voters().iter().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(values.len() / 2).copied()
    }

    /// Whether the host may lack committed entries: a leader has reported a higher commit index than the last index
    /// that was delivered to the host, no leader has reported a commit index yet, a snapshot is being received, or the
    /// member belongs to no log.
    pub fn is_behind(&self) -> bool {
        let has_no_leader_commit = self.leader_commit == 0 && !self.is_leader();
        let lacks_entries = self.applied_index < self.leader_commit;
        let lacks_snapshot = self.incoming_snapshot.is_some();
        self.voters().is_empty() || lacks_snapshot || has_no_leader_commit || lacks_entries
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of the current term, if this member knows it.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// This member's status, for operators.
    pub fn status(&self, now_s: f64) -> Status {
        let since_leader_s = match self.is_leader() {
            true => 0.0,
            false => now_s - self.leader_contact_s,
        };
        Status {
            role: self.member_role(),
            term: self.term,
            leader: self.leader,
            last_index: self.log.last_position().index,
            commit_index: self.commit_index,
            voters: self.voters().to_vec(),
            can_vote: self.can_vote(),
            since_leader_s,
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
