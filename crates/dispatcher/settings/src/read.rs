//! Reads a file, the environment and command-line settings into one configuration, or lists all that is wrong with
//! them.

mod caps;
mod categories;
mod check;
mod fleet;
mod plan;
mod reader;
mod settings;
mod store;
mod toml_json;
mod values;

use crate::configuration::{Configuration, Trial};
use crate::layers::{Layers, Origin};
use reader::Reader;
use serde_json::{json, Map};
use toml::de::DeTable;

/// Largest file in bytes that is accepted.
const MAX_FILE_BYTES: usize = 1 << 20;
/// Environment variables with this prefix are a layer.
const ENVIRONMENT_PREFIX: &str = "SAGETRAIL_";
/// Name of this dispatcher if none is given.
const DEFAULT_NAME: &str = "sagetrail";
/// Keys that are copied unchanged to the page of the platform.
const PAGE_KEYS: [&str; 6] = ["name", "listen", "discovery", "console", "seed", "learnt"];

/// Reads a configuration.
///
/// # Errors
///
/// One line for each finding.
pub fn read(layers: &Layers) -> Result<Configuration, Vec<String>> {
    let mut reader = read_file(layers)?;
    reader.read_agreed(&layers.agreed);
    read_environment(&mut reader, &layers.environment);
    read_flags(&mut reader, &layers.flags);
    reader.require("listen");
    reader.require("discovery");
    configuration(reader)
}

fn read_file(layers: &Layers) -> Result<Reader<'_>, Vec<String>> {
    let Layers { file, text, .. } = layers;
    if text.len() > MAX_FILE_BYTES {
        return Err(vec![format!(
            "{file}: {} bytes are no configuration",
            text.len()
        )]);
    }
    let mut reader = Reader::new(file, text);
    match DeTable::parse(text) {
        Ok(table) => reader.read_table("", table.get_ref()),
        Err(error) => {
            let line = error.span().map_or(1, |span| reader.line(span.start));
            return Err(vec![format!("{file}:{line}: {}", error.message())]);
        }
    }
    Ok(reader)
}

fn read_environment(reader: &mut Reader, variables: &[(String, String)]) {
    for (name, value) in variables {
        if let Some(path) = name.strip_prefix(ENVIRONMENT_PREFIX) {
            let path = path.to_lowercase().replace("__", ".");
            reader.read_override(Origin::Environment(name.clone()), &path, value);
        }
    }
}

fn read_flags(reader: &mut Reader, flags: &[String]) {
    for flag in flags {
        match flag.split_once('=') {
            Some((path, value)) => reader.read_override(Origin::Flag, path.trim(), value.trim()),
            None => reader.fault(&Origin::Flag, flag, "it is not KEY=VALUE"),
        }
    }
}

fn configuration(mut reader: Reader) -> Result<Configuration, Vec<String>> {
    let settings = settings::settings(&mut reader);
    let categories = category_names(&settings);
    let name = reader.text("name").unwrap_or(DEFAULT_NAME.to_string());
    let fleet = fleet::fleet(&mut reader, &name, &categories);
    let store = store::store(&mut reader, fleet.as_ref(), &settings);
    let (plan, warnings) = plan::plan(&mut reader, &settings, &categories);
    let page = page(&reader, settings);
    let trial = trial(&reader);
    let detects_site_loss = reader.flag("sites.look", true);
    let json_log = reader.text("log").as_deref() == Some("json");
    if !reader.faults.is_empty() {
        return Err(reader.faults);
    }
    let values = reader.values;
    Ok(Configuration {
        page,
        json_log,
        fleet,
        store,
        detects_site_loss,
        plan,
        warnings,
        trial,
        values,
    })
}

fn category_names(settings: &serde_json::Value) -> Vec<String> {
    let items = settings["Categories"].as_array().into_iter().flatten();
    items
        .filter_map(|item| item["Name"].as_str())
        .map(str::to_string)
        .collect()
}

/// The page of the platform with the same content.
fn page(reader: &Reader, settings: serde_json::Value) -> serde_json::Value {
    let mut page = Map::new();
    for key in PAGE_KEYS {
        if let Some(value) = reader.get(key) {
            page.insert(key.to_string(), value.clone());
        }
    }
    if let Some(sockets) = reader.get("limits.sockets") {
        page.insert("limits".to_string(), json!({"sockets": sockets}));
    }
    page.insert("settings".to_string(), settings);
    page.into()
}

fn trial(reader: &Reader) -> Option<Trial> {
    if !reader.has_below("trial.") {
        return None;
    }
    Some(Trial {
        clock_off_s: reader.number("trial.clock_off", 0.0),
        sync_delay_s: reader.number("trial.disk_slow", 0.0),
        free_disk_bytes: reader.integer("trial.disk_full"),
        broken: reader.text("trial.break"),
    })
}
