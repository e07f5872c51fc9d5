//! Records of work items: before the first byte of a recorded work item goes to a runner, its dispatcher has claimed
//! the name that its client gave it. So a retry at another dispatcher, after a crash, is answered by what is known, and
//! never has a second effect.
//!
//! A name has 2k + 1 replicas among the members, chosen by rendezvous hashing. Each replica grants the first claim that
//! comes and refuses every other for as long as the record is kept. A claim with a quorum of grants, k of them at other
//! members, owns the name. Any two quorums have a replica in common, so two members never own it (Gifford, "Weighted
//! Voting for Replicated Data", SOSP 1979).
//!
//! The records are not on disk: that would cost each work item a sync. A member that has just started has forgotten
//! what it granted, and refuses all claims for as long as records are kept; or until all others have sent it their
//! records, each knowing its own completely: whatever was owned by a grant of this member was granted by one of those
//! as well. It asks them only once every claim that its former process may have granted has timed out at its owner.

mod claim;
mod claims;
mod record;
mod record_replica;
mod recovery;
mod retry;
mod work_item_name;

pub use claim::ClaimOutcome;
pub use claims::{ClaimMessage, Claims, OutboundClaim};
pub use record::{ClaimId, ClaimReply, Completion, Owner, RecordCopy, Refusal, MAX_BODY_BYTES};
pub use record_replica::RecordReplica;
pub use recovery::{RecordPage, RecordsRequest};
pub use retry::{RetryAnswer, RetryPolicy};
pub use work_item_name::{replicas, WorkItemName};

/// A claim succeeds within this time on its owner's clock, or not at all; seconds.
pub const CLAIM_TIMEOUT_S: f64 = 0.6;
