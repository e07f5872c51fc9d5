//! One member's part of the store: the replicated log, the merged state and the records of work items, on the same
//! frames.

mod claims;
mod config;
mod frames;
mod gossip;
mod operator_overrides;
mod proposals;
mod raft_output;
mod timer;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use sagetrail_raft::{Raft, RaftConfig, RaftError, Status, Timing};
use sagetrail_swim::{Codec, FrameError};

use crate::committed_state::{CommittedState, OverrideTarget, Proposal};
use crate::merged_state::MergedState;
use crate::records::{Claims, Owner, RecordReplica};
use operator_overrides::targets_out_in;

pub use config::{Batch, NodeConfig, OutboundFrame, Traffic};
pub use frames::{MAX_FRAME_BYTES, STORE_VERSION};
pub use operator_overrides::ActiveOverride;

/// Separates the node's random stream from the log's.
const RANDOM_STREAM: u64 = 1;

/// One member's part of the store, as a state machine without I/O.
///
/// After each call the host sends [`outbound`](Node::outbound), writes what [`next_batch`](Node::next_batch) returns,
/// and looks at [`changed`](Node::changed) and [`answered_claims`](Node::answered_claims). All times are seconds on the
/// host's clock, which must not go back.
pub struct Node {
    raft: Raft,
    /// The state after the committed entries of the log.
    pub committed: CommittedState,
    /// Index of the last entry that `committed` includes.
    pub applied_index: u64,
    /// This member's replica of the merged state.
    pub merged: MergedState,
    /// The records that this member keeps as a replica.
    pub record_replica: RecordReplica,
    /// The claims of this member.
    pub claims: Claims,
    codec: Codec,
    /// CRC-32 of the fleet's name; stands in the journal's header.
    fleet_checksum: u32,
    member: u64,
    /// The identity of the disk.
    disk: u64,
    members: Vec<u64>,
    initial_voters: Vec<u64>,
    timing: Timing,
    /// Random number of this process.
    process: u64,
    incarnation: u64,
    /// Number of the last frame.
    frame_sequence: u64,
    /// Proposals of this member in order; only the first one is submitted.
    proposals: VecDeque<Proposal>,
    /// Number of the last proposal.
    last_proposal: u64,
    /// When the first proposal is submitted (again).
    next_submit: f64,
    next_gossip: f64,
    next_maintenance: f64,
    /// When others are asked for their records; infinite once this replica is ready.
    recovery_deadline: f64,
    random: Pcg64Mcg,
    /// Batches that the host has not taken.
    batches: VecDeque<Batch>,
    /// Frames to send at once; the host takes them.
    pub outbound: Vec<OutboundFrame>,
    /// The disk failed: nothing is acknowledged any more.
    disk_failed: bool,
    /// `committed` is that of a log that was put aside, until the new log delivers.
    is_state_outdated: bool,
    /// Targets taken out of service by entries at the end of the own log that may not be committed.
    possibly_out: BTreeSet<OverrideTarget>,
    /// Committed or merged state has changed; the host resets it.
    pub changed: bool,
    /// Frames that were rejected, by reason.
    pub rejected: BTreeMap<FrameError, u64>,
    /// Frames that were sent.
    pub sent: Traffic,
    /// Frames that were received and accepted.
    pub received: Traffic,
    /// Claims that have got a reply; the host takes them.
    pub answered_claims: Vec<u64>,
}

impl Node {
    /// Starts a member at the time `now`, in seconds.
    pub fn new(config: NodeConfig, now: f64) -> Node {
        // The end of the log may be committed without this member knowing. What it takes out of service is taken out
        // meanwhile: the first work item after a restart must not go to such a runner.
        let possibly_out = targets_out_in(&config.records);
        let raft_config = RaftConfig {
            id: config.member,
            disk: config.disk,
            members: config.members.clone(),
            initial_voters: config.initial_voters.clone(),
            timing: config.timing,
            seed: config.process,
        };
        let tombstone_retention_s = config.tombstone_retention_s;
        let merged = MergedState::new(
            config.member,
            config.incarnation,
            tombstone_retention_s,
            now,
        );
        let mut node = Node {
            raft: Raft::open(raft_config, config.records, config.records_written, now),
            committed: CommittedState::default(),
            applied_index: 0,
            merged,
            record_replica: RecordReplica::new(now, config.record_retention_s),
            claims: Claims::new(config.member),
            codec: Codec::with_version(&config.fleet, STORE_VERSION),
            fleet_checksum: crc32fast::hash(config.fleet.as_bytes()),
            member: config.member,
            disk: config.disk,
            members: config.members,
            initial_voters: config.initial_voters,
            timing: config.timing,
            process: config.process,
            incarnation: config.incarnation,
            frame_sequence: 0,
            proposals: VecDeque::new(),
            last_proposal: 0,
            next_submit: now,
            next_gossip: now,
            next_maintenance: now,
            recovery_deadline: now,
            random: Pcg64Mcg::seed_from_u64(config.process ^ RANDOM_STREAM),
            batches: VecDeque::new(),
            outbound: Vec::new(),
            disk_failed: false,
            is_state_outdated: false,
            possibly_out,
            changed: false,
            rejected: BTreeMap::new(),
            sent: Traffic::default(),
            received: Traffic::default(),
            answered_claims: Vec::new(),
        };
        node.process_log();
        node.changed = true;
        node
    }

    fn others(&self) -> Vec<u64> {
        self.members
            .iter()
            .copied()
            .filter(|member| *member != self.member)
            .collect()
    }

    fn as_owner(&self) -> Owner {
        Owner {
            member: self.member,
            process: self.process,
        }
    }

    /// Whether the disk failed; nothing is acknowledged any more then.
    pub fn has_disk_failed(&self) -> bool {
        self.disk_failed
    }

    /// Why the log cannot go on with this disk. The host puts the journal aside and calls
    /// [`restart_blank`](Node::restart_blank).
    pub fn fault(&self) -> Option<RaftError> {
        self.raft.fault()
    }

    /// The log's status, for operators.
    pub fn status(&self, now: f64) -> Status {
        self.raft.status(now)
    }

    /// Whether this member may lack committed entries. It serves meanwhile, but lends nothing and does not vote.
    pub fn is_behind(&self) -> bool {
        self.raft.is_behind()
    }

    /// Accepts this disk without the answers of others, on an operator's word.
    pub fn trust_disk(&mut self) {
        self.raft.trust_disk();
    }

    /// The identity of the disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }
}
