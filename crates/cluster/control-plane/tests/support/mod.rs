//! Core processes in simulated time: machines with clocks and disks, a network with faults, a service that counts what
//! it acknowledged, and operators with a checker of their answers.

// Each test file uses another part of this.
#![allow(dead_code)]

pub(crate) mod cluster;
pub(crate) mod faults;
pub(crate) mod histories;
pub(crate) mod journal;
pub(crate) mod machine;
pub(crate) mod network;
pub(crate) mod operators;
pub(crate) mod requests;
pub(crate) mod speeds;
