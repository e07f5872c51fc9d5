//! One member of the replicated store. It combines the replicated log, the merged state and the records of work items,
//! whose messages share one frame format.

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
use operator_overrides::targets_out_of_service_in;

pub use config::{Batch, NodeConfig, OutboundFrame, Traffic};
pub use frames::{MAX_FRAME_BYTES, STORE_VERSION};
pub use operator_overrides::ActiveOverride;

/// Makes the node's random sequence differ from that of the log, which has the same seed.
const RANDOM_STREAM: u64 = 1;

/// One member of the replicated store, as a state machine without I/O.
///
/// After each call the host sends [`outbound`](Node::outbound), writes what [`next_batch`](Node::next_batch) returns,
/// and checks [`changed`](Node::changed) and [`answered_claims`](Node::answered_claims). All times are in seconds on
/// the host's clock, which must be monotonic.
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
    /// The claims that this member has made.
    pub claims: Claims,
    codec: Codec,
    /// CRC-32 of the fleet's name, which the journal's header contains.
    fleet_checksum: u32,
    member: u64,
    /// Identifier of the disk.
    disk: u64,
    members: Vec<u64>,
    initial_voters: Vec<u64>,
    timing: Timing,
    /// Random number that identifies this process.
    process: u64,
    incarnation: u64,
    /// Number of the last frame.
    frame_sequence: u64,
    /// Uncommitted proposals of this member, in order. Only the first one is submitted.
    proposals: VecDeque<Proposal>,
    /// Number of the last proposal.
    last_proposal: u64,
    /// When the first proposal is submitted next, seconds.
    next_submit_s: f64,
    next_gossip_s: f64,
    next_maintenance_s: f64,
    /// When the other members are asked for their records next, seconds; infinite once this member's replica is ready.
    recovery_deadline_s: f64,
    random: Pcg64Mcg,
    /// Batches that the host has not taken yet.
    batches: VecDeque<Batch>,
    /// Frames that may be sent without waiting for the disk. The host removes them.
    pub outbound: Vec<OutboundFrame>,
    /// Whether the disk failed. The log of this member sends nothing then, so it acknowledges nothing.
    is_disk_failed: bool,
    /// Whether `committed` belongs to a log that was moved aside. It is replaced when the new log delivers its first
    /// entry or snapshot.
    is_state_outdated: bool,
    /// Targets that entries of this member's log take out of service, some of which may not be committed.
    possibly_out_of_service: BTreeSet<OverrideTarget>,
    /// Whether the committed or merged state may have changed. The host resets it.
    pub changed: bool,
    /// Number of rejected frames and messages, by reason.
    pub rejected: BTreeMap<FrameError, u64>,
    /// Number and size of the encoded frames.
    pub sent: Traffic,
    /// Number and size of the received frames whose form and sender are valid.
    pub received: Traffic,
    /// Numbers of the claims that have received a reply. The host removes them.
    pub answered_claims: Vec<u64>,
}

impl Node {
    /// Starts a member at the time `now`, in seconds.
    pub fn new(config: NodeConfig, now_s: f64) -> Node {
        // Entries at the end of the log may be committed without this member knowing it. The targets that they take out
        // of service count as out of service until this member knows, because the first work item after a restart must
        // not be sent to such a runner.
        let possibly_out_of_service = targets_out_of_service_in(&config.records);
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
            now_s,
        );
        let mut node = Node {
            raft: Raft::open(raft_config, config.records, config.records_written, now_s),
            committed: CommittedState::default(),
            applied_index: 0,
            merged,
            record_replica: RecordReplica::new(now_s, config.record_retention_s),
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
            next_submit_s: now_s,
            next_gossip_s: now_s,
            next_maintenance_s: now_s,
            recovery_deadline_s: now_s,
            random: Pcg64Mcg::seed_from_u64(config.process ^ RANDOM_STREAM),
            batches: VecDeque::new(),
            outbound: Vec::new(),
            is_disk_failed: false,
            is_state_outdated: false,
            possibly_out_of_service,
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

    /// Whether the disk failed. This process then acknowledges nothing in the log.
    pub fn has_disk_failed(&self) -> bool {
        self.is_disk_failed
    }

    /// The reason for which the log cannot continue with this disk. The host moves the journal aside and calls
    /// [`restart_blank`](Node::restart_blank).
    pub fn fault(&self) -> Option<RaftError> {
        self.raft.fault()
    }

    /// Status of the log, for operators.
    pub fn status(&self, now_s: f64) -> Status {
        self.raft.status(now_s)
    }

    /// Whether this member may lack committed entries. It continues to serve then, but lends nothing and does not vote.
    pub fn is_behind(&self) -> bool {
        self.raft.is_behind()
    }

    /// Accepts this disk at an operator's command, without waiting for the other members' replies.
    pub fn trust_disk(&mut self) {
        self.raft.trust_disk();
    }

    /// Identifier of the disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }
}
