//! A seeded model of gateways, the core processes and the clients on an unreliable network. Messages are lost, delayed
//! or reordered, and reach whichever process then runs at their address. The model shares only the message types with
//! the gateway.

mod clients;
mod cluster;
mod core_processes;
mod network;

pub(crate) use cluster::{Cluster, Outcomes};
