//! Who is there, in which site. `swim` decides it, without I/O: it is told the time, what came and a seed, and says
//! what is to be sent. `frame` is what goes over the links, of this fleet alone, bounded and checked.
//! Sources: Das, Gupta, Motivala, *SWIM* (DSN 2002); Dadgar, Phillips, Currey, *Lifeguard* (2017).

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod frame;
mod swim;

pub use frame::{Codec, Envelope, FrameError, MAX_DATAGRAM_BYTES, MAX_SYNC_BYTES, VERSION};
pub use swim::{
    Counters, MemberState, MemberView, Membership, Message, Outbox, Peer, SwimConfig, Update,
};
