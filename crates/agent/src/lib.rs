//! The agent beside a runner: heartbeats, holds, orders.
