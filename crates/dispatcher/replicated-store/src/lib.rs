//! State that outlives a dispatcher, shared by all members of a fleet, without I/O.
//!
//! ```text
//!                      Node: frames in and out, timers, bytes for the disk
//!        ┌──────────────────────┬──────────────────────┬───────────────────────┐
//!   CommittedState         MergedState        RecordReplica, Claims       Journal
//!   settings, overrides,   one writer a key,  who owns a recorded         the log's records
//!   voters; by the log     by gossip          work item; by quorum        on disk
//! ```
//!
//! - [`CommittedState`] is the state machine of the replicated log (`sagetrail-raft`): what needs one order for all.
//! - [`MergedState`] is a last-writer-wins map by gossip: what each member says for itself, available in a partition.
//! - [`RecordReplica`] and [`Claims`] make a recorded work item known to a quorum before its first byte is sent, so
//!   that a retry elsewhere never has a second effect.
//! - [`encode_header`], [`encode_record`] and [`decode_journal`] give the form of the log on disk.
//!
//! [`Node`] puts all of it on frames. The host hands in frames and time, writes what [`Node::next_batch`] returns, and
//! sends what lies in [`Node::outbound`]. `docs/replication.md` says what is kept which way, and why.

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
