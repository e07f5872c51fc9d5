//! The plan for the loss of a site.

use super::categories::DEFAULT_PAYOFF;
use super::reader::Reader;
use super::values::text_list;
use sagetrail_failover::{Plan, Site};
use serde_json::{json, Value};

/// The plan, and the warnings about it.
pub(super) fn plan(
    reader: &mut Reader,
    settings: &Value,
    categories: &[String],
) -> (Plan, Vec<String>) {
    let usual = Plan::default();
    let plan = Plan {
        sites: sites(reader),
        headroom: reader.number("plan.headroom", usual.headroom),
        floor: reader.number("plan.floor", usual.floor),
        order: reader.texts("plan.order"),
        step_s: reader.number("plan.step", usual.step_s),
        load: load(reader, settings),
    };
    let warnings = check(reader, &plan, settings, categories);
    (plan, warnings)
}

fn sites(reader: &mut Reader) -> Vec<Site> {
    let count = reader.count("plan.sites");
    (0..count).map(|n| site(reader, n)).collect()
}

fn site(reader: &mut Reader, n: usize) -> Site {
    let at = |key: &str| format!("plan.sites.{n}.{key}");
    reader.require(&at("name"));
    reader.require(&at("capacity"));
    Site {
        name: reader.text(&at("name")).unwrap_or_default(),
        capacity: reader.number(&at("capacity"), 1.0),
        headroom: reader.get(&at("headroom")).and_then(Value::as_f64),
        refuge: reader.texts(&at("refuge")),
    }
}

/// By category: its name, the slots it takes, and its payoff.
fn load(reader: &Reader, settings: &Value) -> Vec<(String, f64, f64)> {
    let entry = |n: usize| {
        let name = reader
            .text(&format!("plan.load.{n}.category"))
            .unwrap_or_default();
        let slots = reader.number(&format!("plan.load.{n}.slots"), 0.0);
        let payoff = payoff(settings, &name);
        (name, slots, payoff)
    };
    (0..reader.count("plan.load")).map(entry).collect()
}

fn payoff(settings: &Value, category: &str) -> f64 {
    let items = settings["Categories"].as_array().into_iter().flatten();
    let mut named = items.filter(|item| item["Name"] == json!(category));
    named
        .find_map(|item| item["Payoff"].as_f64())
        .unwrap_or(DEFAULT_PAYOFF)
}

/// Notes the plan's faults; its warnings.
fn check(reader: &mut Reader, plan: &Plan, settings: &Value, categories: &[String]) -> Vec<String> {
    let zones = text_list(settings.get("Dcs"));
    let mut warnings = Vec::new();
    for finding in plan.check(&zones, categories) {
        if !finding.wrong {
            warnings.push(format!("{}: {}", finding.place, finding.why));
            continue;
        }
        let exact = reader
            .values
            .get(&finding.place)
            .map(|value| value.origin.clone());
        let origin = exact.unwrap_or_else(|| reader.origin("plan."));
        reader.fault(&origin, &finding.place, &finding.why);
    }
    warnings
}
