//! A site is a zone of the list together with the dispatchers in it. `detect` tells a site's loss, as one cause, from
//! what looks like it; `pace` brings it back in portions; `refuse` says what is turned away first; `plan` holds what
//! operators say beforehand and what it comes to. No I/O: the host tells what was seen, and the time.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod detect;
mod pace;
mod plan;
mod refuse;

pub use detect::{Cause, Sight, Sites};
pub use pace::{Pace, Stage};
pub use plan::{Finding, Loss, Plan, Site};
pub use refuse::{admitted, Demand};
