//! Gateways, the core processes behind them and their clients on a bad network, by a seed. Messages are lost, late, out
//! of order, and reach whatever process runs at their address. The model shares no code with the gateway but its
//! messages.

mod clients;
mod cluster;
mod core_processes;
mod network;

pub(crate) use cluster::{Cluster, Outcomes};
