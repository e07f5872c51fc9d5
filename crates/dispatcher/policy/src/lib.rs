//! The decisions of sagetrail and the plain types they are spoken in.
mod chance;
mod pcg;
mod policy;
mod reading;
mod ring;
mod state;
mod terms;

pub use chance::start_chance;
pub use policy::{Dispatcher, WorkItem};
pub use reading::{read_terms, Stated};
pub use state::Kept;
pub use terms::*;
