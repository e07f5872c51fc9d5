//! Gateways, the core processes behind them and their clients on a bad network, by a seed. Messages are lost, late, out
//! of order, and reach whatever process runs at their address; nothing here is shared with the gateway but its messages.
pub mod chance;
pub mod clients;
pub mod core;
pub mod world;
