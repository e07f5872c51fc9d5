//! All in one process on simulated time: the logic of real core and frontend processes and of real agents, with
//! simulated runners, simulated network and disk. What is metered is the processor time of the logic, with the
//! encoding and decoding of frames, and the bytes of the frames; sockets and system calls are not in it.

mod clients;
mod engine;
mod machine;
mod meter;
mod simulation;
mod startup;

pub use simulation::play;
