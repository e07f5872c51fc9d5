//! A runner, an agent and a scheduler on a bad network, by a seed. The model shares no code with the agent.

#![allow(dead_code)]
pub(crate) mod chance;
pub(crate) mod runner;
pub(crate) mod scheduler;
pub(crate) mod world;
