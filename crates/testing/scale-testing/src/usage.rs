//! What a process uses, by the kernel's count.

use std::fs;

/// The kernel's clock ticks in a second, and bytes in a page: fixed for user space on Linux x86-64 and arm64.
const TICKS_IN_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4_096;
/// Places of the fields in `/proc/PID/stat` behind the name: user and system time.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;
const RESIDENT_FIELD: usize = 1;

/// What a process has used up to now.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Resident memory now, in bytes.
    pub memory: u64,
    /// Bytes written towards the disk.
    pub disk_bytes: u64,
}

/// Reads what a process uses; `None` where it has gone.
pub fn read(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |place: usize| {
        fields
            .get(place)
            .and_then(|field| field.parse::<f64>().ok())
    };
    let statm = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    let pages: u64 = statm.split(' ').nth(RESIDENT_FIELD)?.parse().ok()?;
    let io = fs::read_to_string(format!("/proc/{id}/io")).unwrap_or_default();
    let written = io
        .lines()
        .find_map(|line| line.strip_prefix("write_bytes: "));
    Some(Usage {
        cpu_s: (ticks(USER_FIELD)? + ticks(SYSTEM_FIELD)?) / TICKS_IN_SECOND,
        memory: pages * PAGE_BYTES,
        disk_bytes: written.and_then(|bytes| bytes.parse().ok()).unwrap_or(0),
    })
}
