//! The machine that a run was played on, and the bound on its memory.

use serde::Serialize;

const KB: u64 = 1_024;

/// The machine of a run, for its results.
#[derive(Serialize, Clone, Debug)]
pub struct Machine {
    /// The number of processors.
    pub processors: usize,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// The release of the kernel.
    pub kernel: String,
    /// The load average over a minute when the run began: others at work make times longer.
    pub load_at_start: f64,
}

/// Describes this machine.
pub fn describe() -> Machine {
    let kernel = std::fs::read_to_string("/proc/sys/kernel/osrelease").unwrap_or_default();
    Machine {
        processors: std::thread::available_parallelism().map_or(0, usize::from),
        memory_mb: memory("MemTotal:") / KB,
        kernel: kernel.trim().to_owned(),
        load_at_start: load(),
    }
}

fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|load| load.parse().ok())
        .unwrap_or(0.0)
}

/// A line of `/proc/meminfo`, in kilobytes.
fn memory(name: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.trim().split(' ').next())
        .and_then(|kb| kb.parse().ok())
        .unwrap_or(0)
}

/// The most that a run may hold in memory, in bytes: under half of the machine's.
pub fn memory_bound() -> u64 {
    memory("MemTotal:") * KB / 2
}
