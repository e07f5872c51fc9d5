//! Plan for the loss of a site.

use super::categories::DEFAULT_PAYOFF;
use super::reader::Reader;
use super::values::text_list;
use sagetrail_failover::{FailoverPlan, PlannedSite};
use serde_json::{json, Value};

/// Reads the plan. Returns it with its warnings.
pub(super) fn plan(
    reader: &mut Reader,
    settings: &Value,
    categories: &[String],
) -> (FailoverPlan, Vec<String>) {
    let default = FailoverPlan::default();
    let plan = FailoverPlan {
        sites: sites(reader),
        headroom: reader.number("plan.headroom", default.headroom),
        floor: reader.number("plan.floor", default.floor),
        shed_order: reader.texts("plan.order"),
        failback_step_s: reader.number("plan.step", default.failback_step_s),
        load: load(reader, settings),
    };
    let warnings = check(reader, &plan, settings, categories);
    (plan, warnings)
}

fn sites(reader: &mut Reader) -> Vec<PlannedSite> {
    let count = reader.count("plan.sites");
    (0..count).map(|n| site(reader, n)).collect()
}

fn site(reader: &mut Reader, n: usize) -> PlannedSite {
    let at = |key: &str| format!("plan.sites.{n}.{key}");
    reader.require(&at("name"));
    reader.require(&at("capacity"));
    PlannedSite {
        name: reader.text(&at("name")).unwrap_or_default(),
        capacity: reader.number(&at("capacity"), 1.0),
        headroom: reader.get(&at("headroom")).and_then(Value::as_f64),
        failover_targets: reader.texts(&at("refuge")),
    }
}

/// Load by category: its name, the slots that it occupies, and its payoff.
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

/// Reports the faults of the plan and returns its warnings.
fn check(
    reader: &mut Reader,
    plan: &FailoverPlan,
    settings: &Value,
    categories: &[String],
) -> Vec<String> {
    let zones = text_list(settings.get("Dcs"));
    let mut warnings = Vec::new();
    for finding in plan.check(&zones, categories) {
        if !finding.is_error {
            warnings.push(format!("{}: {}", finding.key, finding.message));
            continue;
        }
        let exact = reader
            .values
            .get(&finding.key)
            .map(|value| value.origin.clone());
        let origin = exact.unwrap_or_else(|| reader.origin("plan."));
        reader.fault(&origin, &finding.key, &finding.message);
    }
    warnings
}
