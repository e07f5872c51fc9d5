//! Membership of dispatchers: which members of a configured roster are alive, by SWIM (Das, Gupta and Motivala, DSN
//! 2002) with the local health of Lifeguard (Dadgar, Phillips and Currey, 2017).
//!
//! The protocol does no I/O. The caller supplies the time in seconds on a monotonic clock, passes in received messages,
//! calls [`Membership::tick`] at [`Membership::due`], and sends the messages in the [`Outbox`].
//!
//! ```text
//!            receive, tick                          Outbox
//!                 |                                    ^
//!                 v                                    |
//!   +--------------------------- Membership -----------+-----------+
//!   | failure detector --claims--> member table --> dissemination  |
//!   |  ping, ping-req     ^            |               queue       |
//!   |        ^            |            v                           |
//!   |   local health   suspicion timers                            |
//!   +--------------------------------------------------------------+
//! ```
//!
//! One member is probed in each protocol period. A member that does not answer is probed indirectly through others,
//! then suspected, then declared dead, unless it refutes the suspicion with a higher incarnation. Time-outs grow as
//! this member's local health degrades. Updates are piggybacked on the messages of the failure detector. The roster is
//! fixed by configuration.
//!
//! [`Codec`] encodes and decodes frames with a length limit, a checksum and a check of the fleet. Other protocols of
//! the dispatcher use it too.

mod config;
mod dissemination;
mod failure_detector;
mod frame;
mod local_health;
mod member_table;
mod membership;
mod message;
mod suspicion;

pub use config::SwimConfig;
pub use frame::{Codec, Envelope, FrameError, MAX_DATAGRAM_BYTES, MAX_SYNC_BYTES, VERSION};
pub use member_table::{MemberView, Peer};
pub use membership::{Counters, Membership};
pub use message::{MemberState, Message, Outbox, Update};
