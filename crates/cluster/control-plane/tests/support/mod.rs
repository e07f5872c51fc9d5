//! A simulated network, clock and disk around core processes, with a service that counts.

#![allow(dead_code)]
pub(crate) mod histories;
pub(crate) mod journal;
pub(crate) mod operators;
pub(crate) mod speeds;
pub(crate) mod cluster;
