//! Core processes in simulated time: machines with clocks and disks, a network with faults, a service that records its
//! acknowledgements, and operators with a checker of their answers.

// Each test file uses a different part of this module.
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
