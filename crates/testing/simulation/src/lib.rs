//! Whole clusters in one process on a simulated network, clock and disk.
//!
//! The logic of the processes is the real one, driven through `sagetrail_protocol::node::Node`. Runners, clients and
//! the operator are simulated after the protocol; what they observed is written to a [`history::History`], and
//! [`checker`] judges by that alone. The same seed gives the same day, down to each byte: [`digest`] has the proof.
//!
//! ```text
//!  scenario (seed) --> topology, workload, faults
//!         |
//!         v
//!  cluster: engine (events by true time), network, disk, process (clocks, logic from real or tamper)
//!     ^  |                                              |
//!     |  v  calls and their outcomes (actor)            v
//!  runner, client, operator ----> history ----> checker  digest
//!                                    |             |       |
//!                                    +-----------> report <+
//! ```

pub mod actor;
pub mod checker;
pub mod client;
pub mod cluster;
pub mod configuration;
pub mod digest;
pub mod disk;
pub mod engine;
pub mod faults;
pub mod gang;
pub mod history;
pub mod job;
pub mod network;
pub mod operator;
pub mod process;
pub mod real;
pub mod report;
pub mod runner;
pub mod scenario;
pub mod tamper;
pub mod topology;
pub mod workload;
