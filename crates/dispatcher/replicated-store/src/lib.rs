//! Replicated state of a fleet of dispatchers, which survives the loss of a dispatcher. The crate performs no I/O.
//!
//! ```text
//!                      Node: frames in and out, timers, bytes for the disk
//!        ┌──────────────────────┬──────────────────────┬───────────────────────┐
//!   CommittedState         MergedState        RecordReplica, Claims       Journal
//!   settings, overrides,   one writer a key,  the owner of a recorded     the log's records
//!   voters; by the log     by gossip          work item; by quorum        on disk
//! ```
//!
//! - [`CommittedState`] is the state machine of the replicated log (`sagetrail-raft`). It holds the state whose changes
//!   must have the same order at all members.
//! - [`MergedState`] is a last-writer-wins map that is spread by gossip. It holds the state that each member writes for
//!   itself, and stays available in a network partition.
//! - [`RecordReplica`] and [`Claims`] record a work item at a quorum of replicas before its first byte is sent, so that
//!   a retry at another member never has a second effect.
//! - [`encode_header`], [`encode_record`] and [`decode_journal`] define the format of the write-ahead log on disk.
//!
//! [`Node`] combines them and exchanges their messages in frames. The host passes in received frames and the time,
//! writes the batches that [`Node::next_batch`] returns, and sends the frames in [`Node::outbound`].
//! `docs/replication.md` explains which state is replicated in which way, and why.

mod committed_state;
mod error;
mod journal;
mod merged_state;
mod node;
mod records;

pub use committed_state::{
    Command, CommittedState, OperatorOverride, OverrideTarget, Proposal, SettingsVersion,
    MAX_SETTINGS_BYTES,
};
pub use error::{RecordDamage, StoreError};
pub use journal::{decode_journal, encode_header, encode_record, Journal};
pub use merged_state::{Digest, Item, ItemCounts, Key, MergedState, Stamp};
pub use node::{
    ActiveOverride, Batch, Node, NodeConfig, OutboundFrame, Traffic, MAX_FRAME_BYTES, STORE_VERSION,
};
pub use records::{
    replicas, ClaimId, ClaimMessage, ClaimOutcome, ClaimReply, Claims, Completion, OutboundClaim,
    Owner, RecordCopy, RecordPage, RecordReplica, RecordsRequest, Refusal, RetryAnswer,
    RetryPolicy, WorkItemName, CLAIM_TIMEOUT_S, MAX_BODY_BYTES,
};
