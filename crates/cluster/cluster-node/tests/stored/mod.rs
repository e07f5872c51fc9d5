//! A lone core member with the scheduler on a file of redb; the test plays its clock, runners and clients.

mod lone_core;
mod runner;

pub(crate) use lone_core::{LoneCore, FOREIGN, GATEWAY, ME};
pub(crate) use runner::PlayedRunner;
