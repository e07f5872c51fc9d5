//! Scale runs: hollow runners with hollow agents, many to a process, beside real core and frontend processes on
//! loopback, under a load that is drawn ahead of time. What is real and what is hollow is told apart throughout.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

pub mod arguments;
pub mod board;
pub mod call;
pub mod cluster;
pub mod disk_probe;
pub mod faults;
pub mod hollow;
pub mod load;
pub mod machine;
pub mod operator;
pub mod page;
pub mod places;
pub mod plan;
pub mod program;
pub mod results;
pub mod run;
pub mod samples;
pub mod scenario;
pub mod settings;
pub mod simulated;
pub mod sockets;
pub mod summary;
pub mod timings;
pub mod usage;
