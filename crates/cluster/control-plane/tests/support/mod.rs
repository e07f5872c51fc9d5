//! A simulated network, clock and disk around core processes, with a service that counts.
#![allow(dead_code)]
pub mod histories;
pub mod journal;
pub mod operators;
pub mod speeds;
pub mod world;
