//! Reads what is stated at start into the terms that the decisions know; the same for every host.

use crate::interface::{Category, Placement, PolicyConfig, Repeat, Scope};
use std::collections::BTreeMap;

/// What is stated: a path and its value each, lists of plain values joined with commas.
#[derive(Default)]
pub struct FlatSettings(BTreeMap<String, String>);

impl FlatSettings {
    pub fn insert(&mut self, path: &str, value: &str) {
        self.0.insert(path.to_string(), value.replace(' ', "_"));
    }

    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).map_or("", String::as_str)
    }

    pub fn number(&self, path: &str) -> Result<f64, String> {
        match self.text(path) {
            "" => Ok(0.0),
            text => match text.parse::<f64>() {
                Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
                _ => Err(format!(
                    "setting {path}: '{text}' is not a number of 0 or more"
                )),
            },
        }
    }

    pub fn seconds(&self, path: &str) -> Result<f64, String> {
        Ok(self.number(path)? / 1e6)
    }

    pub fn count(&self, path: &str) -> Result<usize, String> {
        let number = self.number(path)?;
        if (0.0..=65535.0).contains(&number) && number.fract() == 0.0 {
            return Ok(number as usize);
        }
        Err(format!("setting {path}: '{number}' is not a count"))
    }

    pub fn flag(&self, path: &str) -> Result<bool, String> {
        match self.text(path) {
            "true" => Ok(true),
            "false" | "" => Ok(false),
            text => Err(format!(
                "setting {path}: '{text}' is neither true nor false"
            )),
        }
    }

    /// One of the words that are known there, or none.
    fn word(&self, path: &str, known: &[&str]) -> Result<&str, String> {
        let text = self.text(path);
        match text.is_empty() || known.contains(&text) {
            true => Ok(text),
            false => Err(format!("setting {path}: '{text}' is not known")),
        }
    }

    /// The places of a comma list's items, which are told as places in another list or by their names there.
    fn places(&self, path: &str, names: &str, below: usize) -> Result<Vec<usize>, String> {
        let items = self.text(path).split(',').filter(|item| !item.is_empty());
        let place = |item: &str| {
            let named = self.text(names).split(',').position(|name| name == item);
            let place = item
                .parse::<usize>()
                .ok()
                .or(named)
                .filter(|place| *place < below);
            place.ok_or_else(|| format!("setting {path}: '{item}' is not one of {names}"))
        };
        items.map(place).collect()
    }

    /// The numbers of a comma list; the one at `place` of `count`, if the list is there at all.
    fn listed(&self, path: &str, place: usize, count: usize) -> Result<Option<f64>, String> {
        let text = self.text(path);
        if text.is_empty() {
            return Ok(None);
        }
        let numbers: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
        match numbers {
            Ok(list) if list.len() == count && list[place].is_finite() => Ok(Some(list[place])),
            _ => Err(format!(
                "setting {path}: '{text}' is not a list of {count} numbers"
            )),
        }
    }
}

/// The runners that a category is bound to: by the settings of its own, and by the machine kind that runs it.
fn placement(info: &FlatSettings, category: usize, count: usize) -> Result<Placement, String> {
    let path = |leaf: &str| format!("Categories.{category}.{leaf}");
    let bound_to = info.places(&path("BoundTo"), "Kinds", 1 << 8)?;
    let zones = info.places(&path("DcsOnly"), "Dcs", 1 << 16)?;
    let mut kinds: Vec<u8> = bound_to.into_iter().map(|kind| kind as u8).collect();
    match info.listed("Domain.ClassKind", category, count)? {
        Some(kind) if !(-1.0..255.0).contains(&kind) || kind.fract() != 0.0 => {
            return Err(format!("setting Domain.ClassKind: '{kind}' is not a kind"));
        }
        Some(kind) if kind >= 0.0 => {
            let runs_it = kind as u8;
            if !kinds.is_empty() && !kinds.contains(&runs_it) {
                return Err(format!(
                    "setting {}: it leaves out the kind that runs it",
                    path("BoundTo")
                ));
            }
            kinds = vec![runs_it];
        }
        _ => {}
    }
    Ok(Placement {
        kinds,
        zones: zones.into_iter().map(|zone| zone as u16).collect(),
    })
}

pub fn parse_policy_config(info: &FlatSettings) -> Result<PolicyConfig, String> {
    let fields: Vec<&str> = info.text("Report.Fields").split(',').collect();
    let meaning = |name: &str| {
        let field = ["x0", "x1"]
            .into_iter()
            .zip(["Domain.ReportX0", "Domain.ReportX1"]);
        let field = field
            .filter(|(_, path)| info.text(path) == name)
            .map(|(field, _)| field)
            .next()?;
        fields.iter().position(|f| *f == field)
    };
    let free_slots_at = meaning("free_slots");
    let how = info.word("Report.How", &["off", "inline", "on_probe"])?;
    let on_probe = info.flag("Limits.Probes")? && how == "on_probe";
    let mut categories = Vec::new();
    let count = info.count("Categories.count")?;
    for n in 0..count {
        let path = |leaf: &str| format!("Categories.{n}.{leaf}");
        let scope = match info.word(&path("DedupScope"), &["all", "zone", "cell"])? {
            "zone" => Scope::Zone,
            "cell" => Scope::Cell,
            _ => Scope::All,
        };
        let repeat = match info.text(&path("Repeat")) {
            "read_like" => Repeat::Idempotent,
            "idempotency_key" => Repeat::Keyed(scope),
            "non_idempotent" => Repeat::AtMostOnce,
            other => {
                return Err(format!(
                    "setting {}: '{other}' is not known",
                    path("Repeat")
                ))
            }
        };
        let stretch = info.number(&path("AimStretch"))?;
        categories.push(Category {
            due_s: info.seconds(&path("DueTimeUs"))?,
            stretch: info
                .listed("Domain.ClassStretch", n, count)?
                .unwrap_or(stretch)
                .max(0.0),
            payoff: info.number(&path("Payoff"))?,
            tardy: info.number(&path("TardyPayoff"))?,
            repeat,
            window_s: info.seconds(&path("WindowUs"))?,
            placement: placement(info, n, count)?,
        });
    }
    let retry_after = info.flag("Limits.RetryAfter")?;
    let (crossing, fetch) = (
        info.number("Penalties.CrossZone")?,
        info.number("Penalties.Origin")?,
    );
    Ok(PolicyConfig {
        dispatcher_count: info.count("ReplicasOfMe")?.max(1),
        dispatcher_index: info.count("Me")?,
        requests_list: info.word("Discovery", &["pushed", "on_request"])? == "on_request",
        list_from_agent: false,
        uses_load_probes: on_probe && free_slots_at.is_some(),
        free_slots_index: free_slots_at,
        free_memory_index: meaning("free_memory"),
        load_index: fields
            .iter()
            .position(|f| *f == "queue")
            .or(fields.iter().position(|f| *f == "util")),
        zone: info.count("Zone")? as u16,
        fetch_cost_dominates: fetch > 0.0 && fetch >= crossing,
        reports_acceptance: false,
        reports_start: info.flag("Domain.TellsStart")?,
        progress_interval_s: info.seconds("Domain.ProgressUs")?,
        may_cancel: info.flag("Limits.MayCancel")?,
        max_retry_after_s: if retry_after {
            info.seconds("Limits.MaxRetryAfterUs")?
        } else {
            0.0
        },
        max_attempts: info.count("Limits.MostHandOffs")? as u16,
        slow_start_fraction: info.number("Safety.ColdFrom")?,
        warm_up_s: info.seconds("Safety.ColdUs")?,
        overload_multiple: info.number("Safety.FallMultiple")?,
        overload_window_s: info.seconds("Safety.OverloadForUs")?,
        list_request_limit_s: info.seconds("Safety.MustAskInUs")?,
        unlisted_may_serve: info.flag("Safety.DroppedStayOpen")?,
        payoff_per_work: info.word("PayoffBasis", &["request", "work"])? == "work",
        start_time_error_s: info.seconds("Safety.ReadyMarginUs")?,
        expiry_error_s: info.seconds("Safety.BudgetErrorUs")?,
        categories,
    })
}
