//! A cluster of one core process with the scheduler on a redb file. The test provides its clock, runners and clients.

mod lone_core;
mod runner;

pub(crate) use lone_core::{LoneCore, FOREIGN, GATEWAY, ME};
pub(crate) use runner::PlayedRunner;
