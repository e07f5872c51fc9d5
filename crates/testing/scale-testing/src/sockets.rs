//! Bytes on the TCP connections of each process, by the `ss` program of the system, where there is one.

use std::collections::BTreeMap;
use std::process::Command;

/// Bytes of a process on the connections that are open now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Bytes of all processes by their ids; `None` where the system has no `ss`.
pub fn read() -> Option<BTreeMap<u32, Traffic>> {
    let output = Command::new("ss").args(["-tinpHO"]).output().ok()?;
    output
        .status
        .success()
        .then(|| parse(&String::from_utf8_lossy(&output.stdout)))
}

/// Reads the program's output: one connection a line.
pub fn parse(text: &str) -> BTreeMap<u32, Traffic> {
    let mut processes: BTreeMap<u32, Traffic> = BTreeMap::new();
    for line in text.lines() {
        let Some(id) = figure(line, "pid=") else {
            continue;
        };
        let traffic = processes.entry(id as u32).or_default();
        traffic.sent += figure(line, " bytes_sent:").unwrap_or(0);
        traffic.received += figure(line, " bytes_received:").unwrap_or(0);
    }
    processes
}

fn figure(line: &str, name: &str) -> Option<u64> {
    let (_, after) = line.split_once(name)?;
    let digits = after.split(|sign: char| !sign.is_ascii_digit()).next()?;
    digits.parse().ok()
}
