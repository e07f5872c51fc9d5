//! Gateways, the core processes behind them and their clients on a bad network, by a seed. Messages are lost, late, out
//! of order, and reach whatever process runs at their address; nothing here is shared with the gateway but its messages.

pub(crate) mod chance;
pub(crate) mod clients;
pub(crate) mod core;
pub(crate) mod world;
