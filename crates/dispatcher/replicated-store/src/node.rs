//! One member's part of the store: the agreed log, merged state and the record of hand-offs on the same frames. The
//! host hands in bytes with the time, writes what `next_batch` says to the disk, and sends what lies in `out`.

mod config;
mod frames;
mod gossip;
mod handoffs;
mod journaling;
mod operator_words;
mod proposals;
mod timer;

pub use config::{Batch, NodeConfig, Traffic};
pub use frames::{FRAME_MOST, STORE_VERSION};

use crate::facts::{About, Facts, Proposal};
use crate::merged::Merged;
use crate::records::{Claims, Holder, Owner};
use operator_words::words_out_in;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sagetrail_raft::{Raft, RaftConfig, RaftError, Status, Timing};
use sagetrail_swim::{Codec, FrameError};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tells the node's random numbers from the log's.
const RANDOM_STREAM: u64 = 1;

/// One member's part of the store.
pub struct Node {
    raft: Raft,
    /// What the agreed log says.
    pub facts: Facts,
    /// The place of the log up to which the facts are.
    pub at: u64,
    /// Merged state.
    pub merged: Merged,
    /// Records kept for others.
    pub holder: Holder,
    /// What this member claims.
    pub claims: Claims,
    codec: Codec,
    /// Checksum of the fleet's name.
    fleet: u32,
    me: u64,
    disk: u64,
    members: Vec<u64>,
    initial_voters: Vec<u64>,
    timing: Timing,
    birth: u64,
    incarnation: u64,
    /// The number of the last frame.
    frame_no: u64,
    /// Proposals of this member, the first of them under way.
    proposals: VecDeque<Proposal>,
    proposal_no: u64,
    next_propose: f64,
    next_merge: f64,
    next_voters: f64,
    random: Pcg64Mcg,
    batches: VecDeque<Batch>,
    /// Frames to send at once, with their receivers.
    pub out: Vec<(u64, Vec<u8>)>,
    /// The disk failed: nothing is promised any more. Reading goes on.
    disk_failed: bool,
    /// What stands in `facts` is of a copy that was put aside.
    facts_outdated: bool,
    /// Who is out by words at the end of the own log that may not be agreed.
    suspected: BTreeSet<About>,
    holder_due: f64,
    /// Something changed since the host looked.
    pub changed: bool,
    /// Frames passed over, by reason.
    pub refused: BTreeMap<FrameError, u64>,
    /// What was sent.
    pub sent: Traffic,
    /// What was received.
    pub received: Traffic,
    /// Claims that were answered since the host looked.
    pub answered: Vec<u64>,
}

impl Node {
    /// Starts a member.
    pub fn new(config: NodeConfig, now: f64) -> Node {
        // What stands at the end of the log may be agreed, and nobody has said so yet: a word that takes one out
        // holds meanwhile. Guards against a first hand-off after a restart to one that is out.
        let suspected = words_out_in(&config.records);
        let raft_config = RaftConfig {
            id: config.me,
            disk: config.disk,
            members: config.members.clone(),
            initial_voters: config.initial_voters.clone(),
            timing: config.timing,
            seed: config.birth,
        };
        let mut node = Node {
            raft: Raft::open(raft_config, config.records, config.written, now),
            facts: Facts::default(),
            at: 0,
            merged: Merged::new(config.me, config.incarnation, config.marks_s, now),
            holder: Holder::new(now, config.records_s),
            claims: Claims::new(config.me),
            codec: Codec::with_version(&config.fleet, STORE_VERSION),
            fleet: crc32fast::hash(config.fleet.as_bytes()),
            me: config.me,
            disk: config.disk,
            members: config.members,
            initial_voters: config.initial_voters,
            timing: config.timing,
            birth: config.birth,
            incarnation: config.incarnation,
            frame_no: 0,
            proposals: VecDeque::new(),
            proposal_no: 0,
            next_propose: now,
            next_merge: now,
            next_voters: now,
            random: Pcg64Mcg::seed_from_u64(config.birth ^ RANDOM_STREAM),
            batches: VecDeque::new(),
            out: Vec::new(),
            disk_failed: false,
            facts_outdated: false,
            suspected,
            holder_due: now,
            changed: false,
            refused: BTreeMap::new(),
            sent: Traffic::default(),
            received: Traffic::default(),
            answered: Vec::new(),
        };
        node.process_log();
        node.changed = true;
        node
    }

    fn others(&self) -> Vec<u64> {
        self.members
            .iter()
            .copied()
            .filter(|who| *who != self.me)
            .collect()
    }

    fn owner(&self) -> Owner {
        Owner {
            who: self.me,
            birth: self.birth,
        }
    }

    /// The disk failed, and nothing is promised any more.
    pub fn is_muted(&self) -> bool {
        self.disk_failed
    }

    /// Why this copy of the log cannot go on, if it cannot.
    pub fn fault(&self) -> Option<RaftError> {
        self.raft.fault()
    }

    /// The log's status, for operators.
    pub fn status(&self, now: f64) -> Status {
        self.raft.status(now)
    }

    /// It does not have all that is agreed: nothing is lent and no vote given, while it serves.
    pub fn behind(&self) -> bool {
        self.raft.is_behind()
    }

    /// An operator vouches for this disk.
    pub fn trust(&mut self) {
        self.raft.trust_disk();
    }

    /// The identity of its disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }
}
