//! A replicated log: Raft (Ongaro and Ousterhout, USENIX ATC 2014; Ongaro's thesis, 2014, for pre-vote, changes of
//! voters one at a time and reads), without I/O. How to call it: `Raft::open` with what the disk holds; then `tick`
//! when `due`, `receive` with each message, `propose` and `read` as wanted. After each call take `output`: write its
//! records, sync them, call `persisted`, and only then send its messages; messages of later calls wait behind those.
//! Then take what has been committed with `next_committed` until there is none. `docs/replication.md` says what
//! departs from the papers and why.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

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
pub use entry::{Entry, EntryPayload};
pub use error::RaftError;
pub use log_position::LogPosition;

pub use disk_record::{DiskRecord, DiskWatermark};
pub use message::{
    AppendEntries, AppendReply, Message, MessageBody, SnapshotChunk, VoteReply, VoteRequest,
};
pub use output::{Committed, MemberRole, OutboundMessage, Output, SnapshotProgress, Status};
pub use raft::Raft;
pub use snapshot::Snapshot;
pub use voter::Voter;
