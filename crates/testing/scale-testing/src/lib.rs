//! Scale runs: simulated runners with simulated agents, many to a process, beside real core and frontend processes on
//! loopback, under a load that is drawn ahead of time. What is real and what is simulated is told apart throughout.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

pub mod arguments;
pub mod call;
pub mod cluster;
pub mod disk_probe;
pub mod faults;
pub mod load;
pub mod machine;
pub mod operator;
pub mod page;
pub mod places;
pub mod plan;
pub mod program;
pub mod results;
pub mod run;
pub mod run_statistics;
pub mod samples;
pub mod scenario;
pub mod settings;
pub mod simulated_time;
pub mod simulated_worker;
pub mod sockets;
pub mod summary;
pub mod timings;
pub mod usage;
