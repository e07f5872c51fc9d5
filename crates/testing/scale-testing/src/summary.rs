//! The main figures on standard output.

use crate::results::Results;

/// Prints them.
pub fn print(results: &Results) {
    let counts = &results.counts;
    let rate = |count: u64| count as f64 / counts.seconds;
    println!(
        "{} {} workers: starts {:.1}/s of {:.1}/s planned, running {}, reports {:.0}/s, heartbeats {:.0}/s",
        results.scenario.name,
        results.scenario.workers,
        rate(counts.starts),
        results.planned_starts_s,
        counts.running_at_end,
        rate(counts.reports),
        rate(counts.heartbeats),
    );
    println!(
        "accepted {}, turned away {}, ended otherwise {}, started twice {}, heartbeats failed {}, jobs open {}, terms {}",
        counts.accepted,
        counts.refused,
        counts.other_ends,
        counts.double_starts,
        counts.failed_heartbeats,
        counts.open_jobs_at_end,
        counts.terms
    );
    for row in &results.usage {
        println!(
            "{:?} x{}: {:.4} processors, {:.1?} MB, disk {:.1} kB/s, sent {:.1?} kB/s, received {:.1?} kB/s",
            row.role,
            row.processes,
            row.cpu_share,
            row.memory_mb,
            row.disk_kb_s,
            row.sent_kb_s,
            row.received_kb_s
        );
    }
    for row in &results.timings {
        println!(
            "{} {}: {} times, p50 {:.1}, p99 {:.1}, max {:.1} ms",
            row.timing, row.of, row.count, row.p50_ms, row.p99_ms, row.max_ms
        );
    }
    for row in &results.takeovers {
        println!("{row:?}");
    }
}
