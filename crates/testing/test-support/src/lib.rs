//! Tools shared by the tests of several crates.
//!
//! [`SeededRandom`] drives the models that run a process on an unreliable network. A seed determines the whole
//! schedule, so a failure is reproduced by its seed. The generator is for tests only. Its stream must not change,
//! because the bounds of the tests were measured with it.

mod random;

pub use random::{DelayDistribution, SeededRandom};
