//! A replicated log by Raft, as a state machine without I/O, threads or clock.
//!
//! Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014 ("Raft" in the
//! comments); Ongaro, "Consensus: Bridging Theory and Practice", 2014 ("thesis"), for pre-vote (9.6), changes of one
//! voter at a time (4.1) and reads by ReadIndex (6.4). The crate departs from these sources in two ways, for the
//! reasons in `docs/replication.md`: a voter is a member together with its disk, and a disk that was rolled back to an
//! older copy of itself is detected; a log position carries a checksum over all entries up to it.
//!
//! # How to drive a member
//!
//! ```text
//!            tick, receive, propose, read, reconfigure
//!   host ────────────────────────────────────────────────▶ Raft
//!     ▲                                                      │
//!     │  output: 1. records: write and sync, then persisted  │
//!     │          2. messages: send, after the sync           │
//!     ├──────────────────────────────────────────────────────┤
//!     │  next_committed: entries and snapshots, in order     │
//!     └──────────────────────────────────────────────────────┘
//! ```
//!
//! [`Raft::open`] takes the records that the disk holds. The host calls [`Raft::tick`] at [`Raft::deadline`],
//! [`Raft::receive`] with each message, and [`Raft::propose`] and [`Raft::read`] at any time. After each call it takes
//! [`Raft::output`], writes and syncs the records, reports the sync by [`Raft::persisted`], and only then sends the
//! messages; messages of later outputs are sent after them. Then it calls [`Raft::next_committed`] until that returns
//! `None`, and may compact the log by passing a snapshot of its state to [`Raft::compact`].
//!
//! # Example
//!
//! A single member elects itself and commits a command; the "disk" is a vector.
//!
//! ```
//! use sagetrail_raft::{Committed, EntryPayload, Raft, RaftConfig, Timing};
//!
//! let config = RaftConfig {
//!     id: 1,
//!     disk: 77,
//!     members: vec![1],
//!     initial_voters: vec![1],
//!     timing: Timing::default(),
//!     seed: 5,
//! };
//! let mut disk = Vec::new();
//! let mut raft = Raft::open(config, Vec::new(), 0, 0.0);
//!
//! let mut now = 0.0;
//! while !raft.is_leader() {
//!     now = raft.deadline().max(now);
//!     raft.tick(now);
//! }
//! raft.propose(now, b"set x 1".to_vec())?;
//!
//! let output = raft.output();
//! disk.extend(output.records); // a real host syncs them here
//! raft.persisted(now, raft.last_position());
//! assert!(output.messages.is_empty(), "a single member sends no messages");
//!
//! let mut commands = Vec::new();
//! while let Some(committed) = raft.next_committed() {
//!     if let Committed::Entry(entry) = committed {
//!         if let EntryPayload::Command(command) = entry.payload {
//!             commands.push(command);
//!         }
//!     }
//! }
//! assert_eq!(commands, [b"set x 1".to_vec()]);
//! # Ok::<(), sagetrail_raft::RaftError>(())
//! ```

mod config;
mod disk_record;
mod entry;
mod error;
mod log_position;
mod message;
mod output;
mod raft;
mod raft_log;
mod snapshot;
mod voter;

pub use config::{RaftConfig, Timing};
pub use disk_record::{DiskRecord, DiskWatermark};
pub use entry::{Entry, EntryPayload};
pub use error::RaftError;
pub use log_position::LogPosition;
pub use message::{
    AppendEntries, AppendReply, Message, MessageBody, SnapshotChunk, VoteReply, VoteRequest,
};
pub use output::{Committed, MemberRole, OutboundMessage, Output, SnapshotProgress, Status};
pub use raft::Raft;
pub use snapshot::Snapshot;
pub use voter::Voter;
