//! A runner, an agent and a scheduler on a bad network, by a seed. The model shares no code with the agent.
#![allow(dead_code)]
pub mod chance;
pub mod runner;
pub mod scheduler;
pub mod world;
