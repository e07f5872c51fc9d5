//! Who is there, in which site. `swim` decides it, without I/O: it is told the time, what came and a seed, and says
//! what is to be sent. `frame` is what goes over the links, of this fleet alone, bounded and checked.
//! Sources: Das, Gupta, Motivala, *SWIM* (DSN 2002); Dadgar, Phillips, Currey, *Lifeguard* (2017).

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod frame;
mod swim;

pub use frame::{Codec, Envelope, Refused, DATAGRAM_MOST, VERSION, WHOLE_MOST};
pub use swim::{Life, Members, Message, Pace, Peer, Post, Seen, Tally, Update};
