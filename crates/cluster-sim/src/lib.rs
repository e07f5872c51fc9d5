//! Whole clusters in one process on a simulated network, clock and disk.
