//! Tools that the tests of several crates share.
//!
//! [`SeededRandom`] drives the models that play a process against a bad network: a seed determines the whole schedule,
//! so a failure is repeated by its seed. It is no generator for anything but tests; its stream is fixed, because the
//! bounds of the tests were measured on it.

mod random;

pub use random::{DelayDistribution, SeededRandom};
