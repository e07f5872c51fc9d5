//! A model of a runner, an agent and a scheduler on an unreliable network, determined by a seed. The model shares only
//! the message types with the agent.

// Each test file uses only a part of the model.
#![allow(dead_code)]

mod cluster;
mod network;
mod runner;
mod scheduler;

pub(crate) use cluster::Cluster;
