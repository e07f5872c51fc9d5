//! The record of hand-offs: before the first byte of a recorded work item goes to a runner, its dispatcher has made it
//! known to others, under the name its client calls it by. So a retry elsewhere, after a crash, is answered by what is
//! known, and never has a second effect.
//!
//! A name has 2k + 1 replicas among the members, by hash, the same everywhere. Each grants the first claim that comes
//! and refuses every other, as long as the record is kept; who has a quorum of the replicas, and k beside itself, owns
//! the name. Two quorums meet, so two members never own it (Gifford, *Weighted voting for replicated data*, SOSP 1979).
//!
//! A member that has just started has forgotten what it granted, and refuses all for as long as records are kept; a
//! disk would cost each work item a sync. Sooner if all others tell it what they hold, all of them with nothing
//! forgotten themselves: whatever was owned with its help was also granted by one of those. They are asked only once
//! every claim that its former process may have granted is over at who made it.

mod claim;
mod claims;
mod holder;
mod name;
mod record;
mod recovery;
mod retry;

pub use claim::Outcome;
pub use claims::{ClaimMessage, Claims};
pub use holder::Holder;
pub use name::{replicas, Name};
pub use record::{ClaimId, ClaimReply, Ended, Owner, RecordCopy, Refusal, BODY_MOST};
pub use recovery::RecordPage;
pub use retry::{Answer, RetryPolicy};

/// Whoever claims a name does so within this from when it asked, by its own clock, or not at all; seconds.
pub const CLAIM_S: f64 = 0.6;
