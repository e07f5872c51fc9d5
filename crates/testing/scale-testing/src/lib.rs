//! Load tests of the cluster with many light workers, and their results.
//!
//! A run plays a scenario file (`scenario`): `plan` draws all jobs ahead of time, `load` submits them to the frontends
//! and waits for their ends, `operator` changes the configuration meanwhile, `faults` kills or freezes processes. Two
//! ways of playing share all of that:
//!
//! ```text
//!                    real time (`run`)                       simulated time (`simulated_time`)
//!   core, frontend   real processes (`cluster`, `program`)   their logic, in this process
//!   agents           real logic, or real processes           their logic, in this process
//!   runners          simulated (`simulated_worker`)          the same
//!   network, disk    loopback, files                         modelled delays, metered bytes
//! ```
//!
//! A *simulated worker* is a runner that lets time pass instead of working, beside the real logic of an agent. Everyone
//! records into `run_statistics`; `samples`, `usage` and `sockets` read what processes use; `results`, `summary` and
//! `page` write it down. Settings, results and the command line say `hollow` for simulated workers.

pub mod addresses;
pub mod arguments;
pub mod call;
pub mod cluster;
pub mod disk_probe;
pub mod faults;
pub mod load;
pub mod machine;
pub mod operator;
pub mod page;
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
