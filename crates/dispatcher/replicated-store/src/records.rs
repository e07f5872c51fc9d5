//! Records of work items. Before a dispatcher sends the first byte of a recorded work item to a runner, it claims the
//! name that the client gave to the work item. A retry at another dispatcher, for example after a crash, is therefore
//! answered from the record, and never has a second effect.
//!
//! A name has 2k + 1 replicas among the members, chosen by rendezvous hashing. Each replica grants the first claim that
//! it receives, and refuses every other claim for as long as it keeps the record; it grants another claim only at a
//! higher epoch, and only if nothing was sent under the earlier one. A claim owns the name if a quorum of the replicas
//! granted it, among them k other members. Any two quorums have a replica in common, so two members never own a name at
//! the same epoch (Gifford, "Weighted Voting for Replicated Data", SOSP 1979), and a name under which a work item may
//! have been sent gets no other owner while its record is kept.
//!
//! The records are not on disk, because that would need a sync for each work item. A member that has just started has
//! lost its earlier grants. It refuses all claims for as long as records are kept, or until all other members have sent
//! it their records. Each of them sends its records only if it has all records of its own. This recovery is complete
//! because every name that is owned through a grant of this member was granted by one of the other members as well. The
//! member requests the records only after every claim that its earlier process may have granted has timed out at its
//! owner.

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

/// Time on its owner's clock after which a claim can no longer succeed, seconds.
pub const CLAIM_TIMEOUT_S: f64 = 0.6;
