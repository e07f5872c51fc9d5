//! Categories in the form of the platform.

use super::reader::Reader;
use super::settings::microseconds;
use crate::layers::Origin;
use serde_json::{json, Value};

/// Default due time of a work item, in seconds after its arrival.
const DEFAULT_DUE_S: f64 = 1.0;
/// Default expiry of a work item, in seconds after its arrival.
pub(super) const DEFAULT_EXPIRY_S: f64 = 10.0;
/// Default window of a ticketed category, in seconds.
pub(super) const DEFAULT_WINDOW_S: f64 = 5.0;
/// Default group of a ticketed category: all runners.
pub(super) const GROUP_OF_ALL: &str = "all";
/// Default payoff of a work item that is answered by its due time.
pub(super) const DEFAULT_PAYOFF: f64 = 1.0;
/// Default payoff of a work item that is answered after its due time, as a fraction of the full payoff.
const DEFAULT_TARDY_PAYOFF: f64 = 0.2;
/// Value that stands for a category without a kind of machine.
const NO_KIND: i64 = -1;

/// All categories, with the kind and stretch of each in the same order.
#[derive(Default)]
pub(super) struct Categories {
    pub(super) categories: Vec<Value>,
    pub(super) kinds: Vec<i64>,
    pub(super) stretches: Vec<f64>,
}

/// Path of a key of a category.
pub(super) fn category_key(n: usize, key: &str) -> String {
    format!("categories.{n}.{key}")
}

/// Reads all categories. `kinds` are the known kinds of machines.
pub(super) fn categories(reader: &mut Reader, kinds: &[String]) -> Categories {
    let mut all = Categories::default();
    for n in 0..reader.count("categories") {
        reader.require(&category_key(n, "name"));
        let kind = reader.index_in(&category_key(n, "kind"), kinds, "kinds");
        all.kinds.push(kind.map_or(NO_KIND, |kind| kind as i64));
        all.stretches
            .push(reader.number(&category_key(n, "stretch"), 0.0));
        let category = category(reader, n, &all.categories);
        all.categories.push(category);
    }
    if all.categories.is_empty() {
        reader.fault(&Origin::File(1), "categories", "there is none");
    }
    all
}

fn category(reader: &mut Reader, n: usize, earlier: &[Value]) -> Value {
    let at = |key: &str| category_key(n, key);
    let due_s = reader.number(&at("due"), DEFAULT_DUE_S);
    let expiry_s = reader.number(&at("expiry"), DEFAULT_EXPIRY_S);
    if due_s > expiry_s {
        reader.fault_at(
            &at("due"),
            &format!("{due_s} s is after the expiry, {expiry_s} s"),
        );
    }
    let name = reader.text(&at("name")).unwrap_or_default();
    if earlier.iter().any(|other| other["Name"] == json!(name)) {
        reader.fault_at(&at("name"), &format!("category '{name}' stands twice"));
    }
    json!({
        "Name": name,
        "Repeat": repeat(reader, n),
        "DedupScope": reader.text(&at("group")).unwrap_or(GROUP_OF_ALL.to_string()),
        "WindowUs": microseconds(reader.number(&at("window"), DEFAULT_WINDOW_S)),
        "DueTimeUs": microseconds(due_s),
        "ExpiryUs": microseconds(expiry_s),
        "Payoff": reader.number(&at("payoff"), DEFAULT_PAYOFF),
        "TardyPayoff": reader.number(&at("tardy"), DEFAULT_TARDY_PAYOFF),
    })
}

/// Value that stands for how work items of a category may be repeated.
fn repeat(reader: &Reader, n: usize) -> &'static str {
    match reader.text(&category_key(n, "repeat")).as_deref() {
        Some("rerunnable") => "read_like",
        Some("ticketed") => "idempotency_key",
        _ => "non_idempotent",
    }
}
