//! State that outlives a dispatcher, without I/O. `Node` puts it on frames; `docs/replication.md` has the table of what
//! is kept which way, and why.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod facts;
mod journal;
mod merged;
mod node;
mod records;

pub use facts::{About, Facts, Op, Proposal, Said, Version, SETTINGS_MOST};
pub use journal::{begin, open, record, Held};
pub use merged::{Digest, Item, Key, Merged, Stamp};
pub use node::{Batch, Node, NodeConfig, Traffic, FRAME_MOST, STORE_VERSION};
pub use records::{
    replicas, Answer, ClaimId, ClaimMessage, ClaimReply, Claims, Ended, Holder, Name, Outcome,
    Owner, RecordCopy, RecordPage, Refusal, RetryPolicy, BODY_MOST, CLAIM_S,
};
