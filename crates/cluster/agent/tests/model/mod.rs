//! A runner, an agent and a scheduler on a bad network, by a seed. The model shares no code with the agent but its
//! messages.

// Each test file uses a part of the model.
#![allow(dead_code)]

mod cluster;
mod network;
mod runner;
mod scheduler;

pub(crate) use cluster::Cluster;
