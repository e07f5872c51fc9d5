//! Membership of dispatchers: which members of a configured roster are alive, by SWIM (Das, Gupta and Motivala, DSN
//! 2002) with the local health of Lifeguard (Dadgar, Phillips and Currey, 2017).
//!
//! The protocol does no I/O. The caller gives the time in seconds of a clock that never goes back, hands in received
//! messages, calls [`Membership::tick`] at [`Membership::due`], and sends what lies in the [`Outbox`].
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
//! One member is probed in each protocol period. One that does not answer is probed by way of others, then suspected,
//! then declared dead, unless it refutes that by a higher incarnation. Time-outs grow with how badly this member itself
//! does. Updates travel on the messages of the failure detector. The roster is fixed by configuration.
//!
//! [`Codec`] writes and reads frames with a length limit, a checksum and a check of the fleet; other protocols of the
//! dispatcher use it too.

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
