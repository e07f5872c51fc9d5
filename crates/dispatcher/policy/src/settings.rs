//! Parses the settings of a start into a `PolicyConfig`, in the same way for every host.

use crate::interface::{Category, Placement, PolicyConfig, Repeat, Scope};
use std::collections::BTreeMap;

/// Settings as pairs of a path and a text value. A list is a text of plain values joined with commas.
#[derive(Default)]
pub struct FlatSettings(BTreeMap<String, String>);

impl FlatSettings {
    /// Sets the value at a path, with each space replaced by an underscore.
    pub fn insert(&mut self, path: &str, value: &str) {
        self.0.insert(path.to_string(), value.replace(' ', "_"));
    }

    /// The text at a path; empty if nothing is set there.
    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).map_or("", String::as_str)
    }

    /// The number at a path, finite and at least 0; 0 if nothing is set there.
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

    /// The duration at a path in seconds, which is set in microseconds; 0 if nothing is set there.
    pub fn seconds(&self, path: &str) -> Result<f64, String> {
        Ok(self.number(path)? / 1e6)
    }

    /// The whole number from 0 to 65535 at a path; 0 if nothing is set there.
    pub fn count(&self, path: &str) -> Result<usize, String> {
        let number = self.number(path)?;
        if (0.0..=65535.0).contains(&number) && number.fract() == 0.0 {
            return Ok(number as usize);
        }
        Err(format!(
            "setting {path}: '{number}' is not a whole number from 0 to 65535"
        ))
    }

    /// Whether `true` is set at a path; false if nothing is set there.
    pub fn flag(&self, path: &str) -> Result<bool, String> {
        match self.text(path) {
            "true" => Ok(true),
            "false" | "" => Ok(false),
            text => Err(format!(
                "setting {path}: '{text}' is neither true nor false"
            )),
        }
    }

    /// The word at a path, which must be one of the allowed ones; empty if nothing is set there.
    fn word(&self, path: &str, allowed: &[&str]) -> Result<&str, String> {
        let text = self.text(path);
        match text.is_empty() || allowed.contains(&text) {
            true => Ok(text),
            false => Err(format!("setting {path}: unknown value '{text}'")),
        }
    }

    /// The indices in the list at `path`, each below `bound`. An item is either an index into the list at
    /// `names_path` or one of the names there.
    fn indices(&self, path: &str, names_path: &str, bound: usize) -> Result<Vec<usize>, String> {
        let items = self.text(path).split(',').filter(|item| !item.is_empty());
        let to_index = |item: &str| {
            let named = self
                .text(names_path)
                .split(',')
                .position(|name| name == item);
            let index = item
                .parse::<usize>()
                .ok()
                .or(named)
                .filter(|index| *index < bound);
            index.ok_or_else(|| format!("setting {path}: '{item}' is not one of {names_path}"))
        };
        items.map(to_index).collect()
    }

    /// The number at `index` in the list of `count` numbers at a path; `None` if nothing is set there.
    fn number_in_list(
        &self,
        path: &str,
        index: usize,
        count: usize,
    ) -> Result<Option<f64>, String> {
        let text = self.text(path);
        if text.is_empty() {
            return Ok(None);
        }
        let numbers: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
        match numbers {
            Ok(list) if list.len() == count && list[index].is_finite() => Ok(Some(list[index])),
            _ => Err(format!(
                "setting {path}: '{text}' is not a list of {count} numbers"
            )),
        }
    }
}

/// The runners that a category is bound to by its own settings and by the machine kind that runs it.
fn placement(settings: &FlatSettings, category: usize, count: usize) -> Result<Placement, String> {
    let path = |leaf: &str| format!("Categories.{category}.{leaf}");
    let bound_to = settings.indices(&path("BoundTo"), "Kinds", 1 << 8)?;
    let zones = settings.indices(&path("DcsOnly"), "Dcs", 1 << 16)?;
    let mut kinds: Vec<u8> = bound_to.into_iter().map(|kind| kind as u8).collect();
    match settings.number_in_list("Domain.ClassKind", category, count)? {
        Some(kind) if !(-1.0..255.0).contains(&kind) || kind.fract() != 0.0 => {
            return Err(format!(
                "setting Domain.ClassKind: '{kind}' is not the index of a kind"
            ));
        }
        Some(kind) if kind >= 0.0 => {
            let running_kind = kind as u8;
            if !kinds.is_empty() && !kinds.contains(&running_kind) {
                return Err(format!(
                    "setting {}: kind {running_kind}, which runs the category by Domain.ClassKind, is missing",
                    path("BoundTo")
                ));
            }
            kinds = vec![running_kind];
        }
        _ => {}
    }
    Ok(Placement {
        kinds,
        zones: zones.into_iter().map(|zone| zone as u16).collect(),
    })
}

/// Parses the settings of a start. The error names the setting at fault.
pub fn parse_policy_config(settings: &FlatSettings) -> Result<PolicyConfig, String> {
    let fields: Vec<&str> = settings.text("Report.Fields").split(',').collect();
    // The index in a load report of the field x0 or x1 that the settings assign to this figure.
    let index_of = |figure: &str| {
        let field = ["x0", "x1"]
            .into_iter()
            .zip(["Domain.ReportX0", "Domain.ReportX1"]);
        let field = field
            .filter(|(_, path)| settings.text(path) == figure)
            .map(|(field, _)| field)
            .next()?;
        fields.iter().position(|name| *name == field)
    };
    let free_slots_index = index_of("free_slots");
    let report_mode = settings.word("Report.How", &["off", "inline", "on_probe"])?;
    let on_probe = settings.flag("Limits.Probes")? && report_mode == "on_probe";
    let mut categories = Vec::new();
    let count = settings.count("Categories.count")?;
    for category in 0..count {
        let path = |leaf: &str| format!("Categories.{category}.{leaf}");
        let scope = match settings.word(&path("DedupScope"), &["all", "zone", "cell"])? {
            "zone" => Scope::Zone,
            "cell" => Scope::Cell,
            _ => Scope::All,
        };
        let repeat = match settings.text(&path("Repeat")) {
            "read_like" => Repeat::Idempotent,
            "idempotency_key" => Repeat::Keyed(scope),
            "non_idempotent" => Repeat::AtMostOnce,
            other => {
                return Err(format!(
                    "setting {}: unknown value '{other}'",
                    path("Repeat")
                ))
            }
        };
        let stretch = settings.number(&path("AimStretch"))?;
        categories.push(Category {
            due_s: settings.seconds(&path("DueTimeUs"))?,
            stretch: settings
                .number_in_list("Domain.ClassStretch", category, count)?
                .unwrap_or(stretch)
                .max(0.0),
            payoff: settings.number(&path("Payoff"))?,
            tardy: settings.number(&path("TardyPayoff"))?,
            repeat,
            window_s: settings.seconds(&path("WindowUs"))?,
            placement: placement(settings, category, count)?,
        });
    }
    let gives_retry_advice = settings.flag("Limits.RetryAfter")?;
    let (zone_crossing_price, fetch_price) = (
        settings.number("Penalties.CrossZone")?,
        settings.number("Penalties.Origin")?,
    );
    Ok(PolicyConfig {
        dispatcher_count: settings.count("ReplicasOfMe")?.max(1),
        dispatcher_index: settings.count("Me")?,
        requests_list: settings.word("Discovery", &["pushed", "on_request"])? == "on_request",
        list_from_agent: false,
        uses_load_probes: on_probe && free_slots_index.is_some(),
        free_slots_index,
        free_memory_index: index_of("free_memory"),
        load_index: fields
            .iter()
            .position(|name| *name == "queue")
            .or(fields.iter().position(|name| *name == "util")),
        zone: settings.count("Zone")? as u16,
        fetch_cost_dominates: fetch_price > 0.0 && fetch_price >= zone_crossing_price,
        reports_acceptance: false,
        reports_start: settings.flag("Domain.TellsStart")?,
        progress_interval_s: settings.seconds("Domain.ProgressUs")?,
        may_cancel: settings.flag("Limits.MayCancel")?,
        max_retry_after_s: if gives_retry_advice {
            settings.seconds("Limits.MaxRetryAfterUs")?
        } else {
            0.0
        },
        max_attempts: settings.count("Limits.MostHandOffs")? as u16,
        slow_start_fraction: settings.number("Safety.ColdFrom")?,
        warm_up_s: settings.seconds("Safety.ColdUs")?,
        overload_multiple: settings.number("Safety.FallMultiple")?,
        overload_window_s: settings.seconds("Safety.OverloadForUs")?,
        list_request_limit_s: settings.seconds("Safety.MustAskInUs")?,
        unlisted_may_serve: settings.flag("Safety.DroppedStayOpen")?,
        payoff_per_work: settings.word("PayoffBasis", &["request", "work"])? == "work",
        start_time_error_s: settings.seconds("Safety.ReadyMarginUs")?,
        expiry_error_s: settings.seconds("Safety.BudgetErrorUs")?,
        categories,
    })
}
