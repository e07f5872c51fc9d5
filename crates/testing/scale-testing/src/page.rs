//! One page of HTML with the results and charts drawn in place; nothing is loaded from elsewhere.

use std::fmt::Write;

use crate::results::{CourseRow, Results};
use crate::timings::TimingRow;

const WIDTH: f64 = 760.0;
const HEIGHT: f64 = 180.0;
const MARGIN: f64 = 50.0;
const COLOURS: [&str; 5] = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b8860b"];
const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}\
td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}th{background:#eee}svg{background:#fafafa}";

/// A line in a chart.
struct Line {
    name: &'static str,
    value: fn(&CourseRow) -> f64,
}

/// The page.
pub fn render(results: &Results) -> String {
    let scenario = &results.scenario;
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>{STYLE}</style><h1>{0}: {1} workers</h1>",
        escape(&scenario.name),
        scenario.workers
    );
    let machine = &results.machine;
    let _ = write!(
        page,
        "<p>Version {}, seed {}; {} processors, {} MB, load {} at the start. Real: {} core, {} frontend{}. \
         Hollow: {}.</p>",
        results.program_version,
        scenario.seed,
        machine.processors,
        machine.memory_mb,
        machine.load_at_start,
        scenario.cores,
        scenario.frontends,
        if scenario.real_sides { " and all side processes" } else { "" },
        if scenario.real_sides { "runners" } else { "runners and agents" },
    );
    page += &counts(results);
    page += &timings(&results.timings);
    page += &usage(results);
    page += &takeovers(results);
    page += &charts(&results.course);
    page
}

fn charts(course: &[CourseRow]) -> String {
    let processors = [
        Line {
            name: "scheduler (real)",
            value: |row| row.scheduler_cpu,
        },
        Line {
            name: "replica (real)",
            value: |row| row.replica_cpu,
        },
        Line {
            name: "frontend (real)",
            value: |row| row.frontend_cpu,
        },
        Line {
            name: "side (real)",
            value: |row| row.side_cpu,
        },
    ];
    let starts = [Line {
        name: "starts a second",
        value: |row| row.starts_s,
    }];
    let running = [Line {
        name: "running tasks",
        value: |row| row.running as f64,
    }];
    let messages = [
        Line {
            name: "heartbeats a second (hollow)",
            value: |row| row.heartbeats_s,
        },
        Line {
            name: "reports a second",
            value: |row| row.reports_s,
        },
    ];
    let memory = [Line {
        name: "scheduler's memory, MB",
        value: |row| row.scheduler_mb,
    }];
    let all: [(&str, &[Line]); 5] = [
        ("Processors in use by one process", &processors),
        ("Starts", &starts),
        ("Running", &running),
        ("Messages", &messages),
        ("Memory", &memory),
    ];
    all.iter()
        .map(|(title, lines)| chart(title, course, lines))
        .collect()
}

fn chart(title: &str, course: &[CourseRow], lines: &[Line]) -> String {
    let end = course.last().map_or(1.0, |row| row.at_s).max(1.0);
    let values = course
        .iter()
        .flat_map(|row| lines.iter().map(|line| (line.value)(row)));
    let top = values.fold(0.0, f64::max).max(1e-3);
    let mut svg = format!(
        "<h2>{title}</h2><svg width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\" aria-label=\"{title}\">\
         <text x=\"2\" y=\"14\">{top:.2}</text><text x=\"2\" y=\"{0}\">0</text><text x=\"{1}\" y=\"{0}\">{end:.0} s</text>",
        HEIGHT - 4.0,
        WIDTH - MARGIN
    );
    for (line, colour) in lines.iter().zip(COLOURS) {
        let x = |row: &CourseRow| MARGIN + row.at_s / end * (WIDTH - 2.0 * MARGIN);
        let y = |row: &CourseRow| HEIGHT - 20.0 - (line.value)(row) / top * (HEIGHT - 40.0);
        let points: Vec<String> = course
            .iter()
            .map(|row| format!("{:.1},{:.1}", x(row), y(row)))
            .collect();
        let _ = write!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"><title>{}</title></polyline>",
            points.join(" "),
            line.name
        );
    }
    svg += "</svg><p>";
    for (line, colour) in lines.iter().zip(COLOURS) {
        let _ = write!(svg, "<span style=\"color:{colour}\">{}</span> ", line.name);
    }
    svg + "</p>"
}

fn counts(results: &Results) -> String {
    let counts = &results.counts;
    let rate = |count: u64| count as f64 / counts.seconds.max(1e-9);
    format!(
        "<h2>Counts over {:.1} s</h2><p>Starts {} ({:.1}/s; planned {:.1}/s), ends {}, ended otherwise {}, jobs \
         accepted {}, turned away {}, heartbeats {:.0}/s ({} failed), reports {:.0}/s, running at the end {}, \
         jobs open at the end {}, tasks started twice {}, terms {}.</p>",
        counts.seconds,
        counts.starts,
        rate(counts.starts),
        results.planned_starts_s,
        counts.ends,
        counts.other_ends,
        counts.accepted,
        counts.refused,
        rate(counts.heartbeats),
        counts.failed_heartbeats,
        rate(counts.reports),
        counts.running_at_end,
        counts.open_jobs_at_end,
        counts.double_starts,
        counts.terms,
    )
}

fn timings(rows: &[TimingRow]) -> String {
    let mut table =
        "<h2>Times, ms</h2><table><tr><th>what<th>of<th>count<th>mean<th>p50<th>p90<th>p99<th>p99.9\
                     <th>max</tr>"
            .to_owned();
    for row in rows {
        let _ = write!(
            table,
            "<tr><td>{}<td>{}<td>{}<td>{:.1}<td>{:.1}<td>{:.1}<td>{:.1}<td>{:.1}<td>{:.1}</tr>",
            row.timing,
            escape(&row.of),
            row.count,
            row.mean_ms,
            row.p50_ms,
            row.p90_ms,
            row.p99_ms,
            row.p999_ms,
            row.max_ms
        );
    }
    table + "</table>"
}

fn usage(results: &Results) -> String {
    let mut table =
        "<h2>Usage of one process</h2><table><tr><th>role<th>processes<th>processors<th>memory, MB\
                     <th>disk, kB/s<th>sent, kB/s<th>received, kB/s</tr>"
            .to_owned();
    let known =
        |figure: Option<f64>| figure.map_or("not measured".to_owned(), |kb| format!("{kb:.1}"));
    for row in &results.usage {
        let _ = write!(
            table,
            "<tr><td>{:?}<td>{}<td>{:.4}<td>{}<td>{:.1}<td>{}<td>{}</tr>",
            row.role,
            row.processes,
            row.cpu_share,
            known(row.memory_mb),
            row.disk_kb_s,
            known(row.sent_kb_s),
            known(row.received_kb_s)
        );
    }
    table + "</table>"
}

fn takeovers(results: &Results) -> String {
    let known = |figure: Option<f64>| figure.map_or("none".to_owned(), |ms| format!("{ms:.0} ms"));
    let mut list = String::new();
    for row in &results.takeovers {
        let _ = write!(
            list,
            "<li>{:?} {:?} at {} s: the first runner hears of a new term after {}, the last of {} after {}, the \
             first start after {}</li>",
            row.kind,
            row.target,
            row.at_s,
            known(row.first_runner_ms),
            row.runners,
            known(row.last_runner_ms),
            known(row.first_start_ms)
        );
    }
    if list.is_empty() {
        return list;
    }
    format!("<h2>Faults</h2><ul>{list}</ul>")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
