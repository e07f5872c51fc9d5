//! The reports of a run: a table, JSON and an HTML page with charts.

use crate::checker::{cold_use, earned_payoff, failed_hand_offs, goodput, RunInputs};
use crate::names::Node;
use crate::play::Outcome;
use crate::records::Records;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::hash_map::DefaultHasher;
use std::fmt::Write;
use std::hash::{Hash, Hasher};

impl Outcome {
    pub fn with_inputs<T>(&self, look: impl FnOnce(&RunInputs) -> T) -> T {
        let participants = self.scenario.participants();
        look(&RunInputs {
            scenario: &self.scenario,
            participants: &participants,
            schedule: &self.schedule,
        })
    }

    /// The report as JSON, which the subcommand `report` reads.
    pub fn json(&self) -> Value {
        let mut hasher = DefaultHasher::new();
        format!("{:?}", self.scenario).hash(&mut hasher);
        let faults: Vec<Value> = self
            .schedule
            .iter()
            .map(|fault| {
                let to = if fault.to.is_finite() {
                    json!(fault.to)
                } else {
                    Value::Null
                };
                json!({"from": fault.from, "to": to, "what": fault.kind, "on": fault.on})
            })
            .collect();
        let figures = self.with_inputs(|inputs| figures(inputs, &self.records));
        json!({
            "title": self.scenario.title,
            "seed": self.seed,
            "processes": self.scenario.processes,
            "scenario": format!("{:016x}", hasher.finish()),
            "version": self.version,
            "faults": faults,
            "breaks": self.breaks,
            "figures": figures,
        })
    }
}

fn quantiles(mut times: Vec<f64>) -> Value {
    // Values are in microseconds since the intended time of sending, up to one hour, with three significant digits.
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3) else {
        return Value::Null;
    };
    times
        .drain(..)
        .for_each(|s| _ = histogram.record((s * 1e6).max(1.0) as u64));
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    json!({"n": histogram.len(), "p50_ms": at(0.5), "p90_ms": at(0.9), "p99_ms": at(0.99), "max_ms": at(1.0)})
}

fn figures(inputs: &RunInputs, records: &Records) -> Value {
    let length = inputs.scenario.length.0;
    let seconds = length.ceil() as usize;
    let mut categories = Vec::new();
    for (n, terms) in inputs.scenario.categories.iter().enumerate() {
        let of = || records.wis.iter().filter(move |wi| wi.category == n);
        let status = |which: u16| {
            of().filter(|wi| wi.answer.as_ref().is_some_and(|a| a.1 == which))
                .count()
        };
        let served = of().filter(|wi| wi.answer.as_ref().is_some_and(|a| a.1 == 200));
        let times = served
            .map(|wi| wi.answer.as_ref().map_or(0.0, |a| a.0) - wi.intended)
            .collect();
        let mut by_second = vec![(0.0, 0.0); seconds];
        for wi in of().filter(|wi| wi.first.is_none()) {
            let slot = &mut by_second[(wi.intended.max(0.0) as usize).min(seconds - 1)];
            slot.0 += terms.payoff;
            slot.1 += earned_payoff(inputs, wi);
        }
        let share = |(all, got): &(f64, f64)| {
            if *all > 0.0 {
                json!(got / all)
            } else {
                Value::Null
            }
        };
        categories.push(json!({
            "name": terms.name,
            "requests": of().count(),
            "finished": status(200),
            "deferred": status(503),
            "written_off": status(502),
            "unanswered": of().filter(|wi| wi.answer.is_none()).count(),
            "latency": quantiles(times),
            "goodput_by_second": by_second.iter().map(share).collect::<Vec<_>>(),
        }));
    }
    let mut runners = Vec::new();
    for n in 0..inputs.participants.runners {
        let mut by_second = vec![0; seconds];
        for ho in records
            .hos
            .iter()
            .filter(|ho| ho.runner == n && ho.left >= 0.0)
        {
            by_second[(ho.left as usize).min(seconds - 1)] += 1;
        }
        let all: u32 = by_second.iter().sum();
        runners.push(
            json!({"name": Node::Runner(n).name(), "hand_offs": all, "by_second": by_second}),
        );
    }
    let cold: Vec<Value> = cold_use(inputs, records)
        .iter()
        .map(|(runner, process, most, at)| {
            json!({"runner": Node::Runner(*runner).name(), "process": process, "most": most, "at": at})
        })
        .collect();
    let beliefs: Vec<Value> = records
        .beliefs
        .iter()
        .map(|b| json!({"at": b.at, "by": Node::Dispatcher(b.dispatcher).name(), "lives": b.lives}))
        .collect();
    json!({
        "goodput": goodput(inputs, records, 0.0, length),
        "requests": records.wis.len(),
        "hand_offs": records.hos.iter().filter(|ho| ho.left >= 0.0).count(),
        "failed_hand_offs": failed_hand_offs(records),
        "categories": categories,
        "runners": runners,
        "cold": cold,
        "beliefs": beliefs,
    })
}

/// Formats a report as a table for a terminal.
pub fn table(report: &Value) -> String {
    let mut out = String::new();
    let figures = &report["figures"];
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or(0.0))
        }
        value => value.to_string(),
    };
    let _ = writeln!(
        out,
        "{} (seed {}, {} processes): goodput {}, {} requests, {} hand-offs, {} failed",
        text(&report["title"]),
        report["seed"],
        report["processes"],
        text(&figures["goodput"]),
        figures["requests"],
        figures["hand_offs"],
        figures["failed_hand_offs"]
    );
    let _ = writeln!(
        out,
        "{:<14} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "category", "requests", "finished", "deferred", "written", "none", "p50 ms", "p99 ms"
    );
    for c in figures["categories"].as_array().into_iter().flatten() {
        let _ = writeln!(
            out,
            "{:<14} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9.1} {:>9.1}",
            text(&c["name"]),
            text(&c["requests"]),
            text(&c["finished"]),
            text(&c["deferred"]),
            text(&c["written_off"]),
            text(&c["unanswered"]),
            c["latency"]["p50_ms"].as_f64().unwrap_or(0.0),
            c["latency"]["p99_ms"].as_f64().unwrap_or(0.0)
        );
    }
    let most = figures["cold"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|c| c["most"].as_f64());
    if let Some(most) = most.reduce(f64::max) {
        let _ = writeln!(
            out,
            "cold runners: at most {most:.2} of what all may send within a span"
        );
    }
    for broken in report["breaks"].as_array().into_iter().flatten() {
        let _ = writeln!(
            out,
            "BROKEN {} {} at {:.3} s: {}",
            text(&broken["rule"]),
            text(&broken["who"]),
            broken["at"].as_f64().unwrap_or(0.0),
            text(&broken["what"])
        );
    }
    out
}

const COLOURS: [&str; 8] = [
    "#1b6ca8", "#c0504d", "#5b8c3e", "#7d5ba6", "#c98b1a", "#2a9d8f", "#8d6e63", "#546e7a",
];

/// Draws a chart of lines over time, with faults as bands behind them.
fn chart(
    title: &str,
    lines: &[(String, Vec<Option<f64>>)],
    faults: &Value,
    seconds: f64,
) -> String {
    let (width, height, left, top) = (900.0, 220.0, 50.0, 24.0);
    let most = lines
        .iter()
        .flat_map(|(_, points)| points)
        .flatten()
        .copied()
        .fold(1e-9, f64::max);
    let x = |at: f64| left + (width - left - 10.0) * (at / seconds.max(1e-9)).clamp(0.0, 1.0);
    let y = |value: f64| top + (height - top - 24.0) * (1.0 - value / most);
    let mut svg = format!(
        "<h2>{}</h2><svg viewBox='0 0 {width} {height}' role='img'>",
        escape(title)
    );
    for fault in faults.as_array().into_iter().flatten() {
        let from = fault["from"].as_f64().unwrap_or(0.0);
        let to = fault["to"].as_f64().unwrap_or(seconds);
        let _ = write!(
            svg,
            "<rect x='{:.1}' y='{top}' width='{:.1}' height='{:.1}' fill='#f4c7c3' opacity='.5'><title>{} {}</title></rect>",
            x(from),
            (x(to) - x(from)).max(1.5),
            height - top - 24.0,
            escape(fault["what"].as_str().unwrap_or("")),
            escape(fault["on"].as_str().unwrap_or(""))
        );
    }
    let _ = write!(
        svg,
        "<text x='2' y='{:.1}'>{most:.2}</text><text x='2' y='{:.1}'>0</text>",
        y(most) + 4.0,
        y(0.0)
    );
    let _ = write!(svg, "<text x='{left}' y='{:.1}'>0 s</text>", height - 6.0);
    let _ = write!(
        svg,
        "<text x='{:.1}' y='{:.1}' text-anchor='end'>{seconds:.0} s</text>",
        width - 10.0,
        height - 6.0
    );
    for (n, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let at = |(second, value): (usize, &Option<f64>)| {
            value.map(|value| format!("{:.1},{:.1}", x(second as f64 + 0.5), y(value)))
        };
        let points: Vec<String> = points.iter().enumerate().filter_map(at).collect();
        let _ = write!(
            svg,
            "<polyline fill='none' stroke='{colour}' stroke-width='1.6' points='{}'><title>{}</title></polyline>",
            points.join(" "),
            escape(name)
        );
        if n < 12 {
            let _ = write!(
                svg,
                "<text x='{:.1}' y='14' fill='{colour}'>{}</text>",
                left + 70.0 * n as f64,
                escape(name)
            );
        }
    }
    svg.push_str("</svg>");
    svg
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('\'', "&#39;")
}

/// Formats a report as one HTML page that loads nothing else.
pub fn html(report: &Value) -> String {
    let figures = &report["figures"];
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let points =
        |value: &Value| -> Vec<Option<f64>> { list(value).iter().map(Value::as_f64).collect() };
    let named = |of: &str, figure: &str| -> Vec<(String, Vec<Option<f64>>)> {
        let line = |c: &Value| {
            (
                c["name"].as_str().unwrap_or("").to_string(),
                points(&c[figure]),
            )
        };
        list(&figures[of]).iter().map(line).collect()
    };
    let goodput = named("categories", "goodput_by_second");
    let load = named("runners", "by_second");
    let seconds = goodput.first().map_or(1, |(_, points)| points.len()) as f64;
    let mut held = Vec::new();
    let count = report["processes"].as_u64().unwrap_or(0) as usize;
    for n in 0..count {
        let by = Node::Dispatcher(n).name();
        let mut alive = vec![None; seconds as usize];
        for belief in list(&figures["beliefs"])
            .iter()
            .filter(|belief| belief["by"] == json!(by))
        {
            let at = belief["at"].as_f64().unwrap_or(0.0).max(0.0) as usize;
            let lives = list(&belief["lives"]);
            let live = lives.iter().filter(|life| **life == json!("alive")).count();
            alive
                .get_mut(at)
                .into_iter()
                .for_each(|slot| *slot = Some(live as f64));
        }
        held.push((by, alive));
    }
    let faults = &report["faults"];
    let mut page = String::from(
        "<!doctype html><meta charset='utf-8'><title>sagetrail rig</title><style>body{font:15px/1.4 sans-serif;\
         max-width:960px;margin:2em auto;padding:0 1em}svg{width:100%;font:11px sans-serif}pre{background:#f6f6f6;\
         padding:.8em;overflow:auto}h2{font-size:1.05em;margin:1.2em 0 .2em}</style>",
    );
    let _ = write!(
        page,
        "<h1>{}</h1><pre>{}</pre>",
        escape(report["title"].as_str().unwrap_or("")),
        escape(&table(report))
    );
    page += &chart(
        "Goodput by category: part of the payoff earned, by second of sending",
        &goodput,
        faults,
        seconds,
    );
    page += &chart("Hand-offs by runner, a second", &load, faults, seconds);
    page += &chart(
        "How many members each dispatcher holds alive",
        &held,
        faults,
        seconds,
    );
    page += "<h2>Faults</h2><pre>";
    for fault in list(faults) {
        let to = fault["to"]
            .as_f64()
            .map_or("the end".to_string(), |to| format!("{to:.2} s"));
        let _ = writeln!(
            page,
            "{:>7.2} s to {to}: {} on {}",
            fault["from"].as_f64().unwrap_or(0.0),
            escape(fault["what"].as_str().unwrap_or("")),
            escape(fault["on"].as_str().unwrap_or(""))
        );
    }
    page += "</pre>";
    page
}
