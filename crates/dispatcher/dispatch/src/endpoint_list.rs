//! Updates of the endpoint list that discovery sends, and the state of each runner's endpoint.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;

/// Names of zones and kinds. An entry of the list refers to them by their position here.
#[derive(Clone, Default)]
pub struct ListNames {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of runners.
    pub kinds: Vec<String>,
}

/// Lifecycle of a runner as the endpoint list states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// The runner takes new attempts.
    Ready,
    /// The runner finishes its jobs and takes no new attempts.
    Draining,
    /// The runner has been removed from the list.
    Gone,
}

/// Entry of the endpoint list: one runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListEntry {
    /// Name of the runner.
    pub id: String,
    /// Address and port. Only an entry of a runner that is gone may lack it.
    pub address: Option<SocketAddr>,
    /// Position of the kind's name; `u8::MAX` for an unknown kind.
    pub kind: u8,
    /// Position of the zone's name; `u16::MAX` for an unknown zone.
    pub zone: u16,
    /// Number of the cell within the zone; 0 where the list states none.
    pub cell: u16,
    /// When the runner's process started, in Unix seconds; 0 if it started long ago.
    #[serde(rename = "started")]
    pub started_unix_s: f64,
    /// Lifecycle of the runner.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
}

/// One update of the endpoint list: all of it, or the entries that changed.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryUpdate {
    /// Version of the list after this update.
    pub generation: u64,
    /// Whether the update is the complete list. If so, runners that it does not name are no longer listed.
    pub is_full: bool,
    /// Entries of the update.
    pub entries: Vec<ListEntry>,
    /// Whether entries that could not be read were left out.
    pub has_invalid_entries: bool,
}

/// JSON form of an update.
#[derive(Deserialize)]
struct UpdateLine {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

/// JSON form of an entry.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct UpdateEntry {
    instance_id: String,
    host_port: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    lifecycle: String,
    /// Unix time in milliseconds.
    #[serde(default)]
    started_at_ms: f64,
}

fn parse_entry(entry: Value, names: &ListNames) -> Result<ListEntry, String> {
    let entry: UpdateEntry = serde_json::from_value(entry).map_err(|error| error.to_string())?;
    let lifecycle = match entry.lifecycle.as_str() {
        "Ready" => Lifecycle::Ready,
        "Terminating" => Lifecycle::Draining,
        "Gone" => Lifecycle::Gone,
        other => {
            return Err(format!(
                "expected lifecycle Ready, Terminating or Gone, got '{other}'"
            ))
        }
    };
    let address = entry
        .host_port
        .as_deref()
        .and_then(|text| text.parse().ok());
    if address.is_none() && lifecycle != Lifecycle::Gone {
        return Err(format!(
            "expected an address and a port for runner '{}', got '{}'",
            entry.instance_id,
            entry.host_port.unwrap_or_default()
        ));
    }
    let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
    Ok(ListEntry {
        address,
        kind: position(&names.kinds, &entry.machine_type).map_or(u8::MAX, |at| at as u8),
        zone: position(&names.zones, &entry.zone).map_or(u16::MAX, |at| at as u16),
        cell: entry.cell,
        started_unix_s: entry.started_at_ms / 1e3,
        lifecycle,
        id: entry.instance_id,
    })
}

impl DiscoveryUpdate {
    /// Reads an update from JSON. Entries that cannot be read are left out and logged.
    ///
    /// # Errors
    ///
    /// Says why the update as a whole cannot be read.
    pub fn parse(value: Value, names: &ListNames) -> Result<DiscoveryUpdate, String> {
        let line: UpdateLine = serde_json::from_value(value).map_err(|error| error.to_string())?;
        let mut update = DiscoveryUpdate {
            generation: line.generation,
            is_full: line.reset,
            ..DiscoveryUpdate::default()
        };
        for entry in line.instances {
            match parse_entry(entry, names) {
                Ok(entry) => update.entries.push(entry),
                Err(reason) => {
                    tracing::warn!("entry of the endpoint list ignored: {reason}");
                    update.has_invalid_entries = true;
                }
            }
        }
        Ok(update)
    }
}

/// State of a runner's endpoint. The exchange writes it. The host reads it just before the first byte of an attempt is
/// written, to decide whether the attempt may still begin.
pub struct Endpoint {
    /// Name of the runner.
    pub name: String,
    /// Address and port.
    pub address: Cell<SocketAddr>,
    /// No attempt may begin from this time on, in seconds on the exchange's clock, because the runner drains or is
    /// gone; infinity for no limit.
    pub closed_from_s: Cell<f64>,
    /// Whether operators have taken the runner out of service.
    pub out_of_service: Cell<bool>,
    /// Whether the endpoint list names the runner now.
    pub is_listed: Cell<bool>,
    /// When the runner's process started according to the endpoint list, in Unix seconds; 0 if it started long ago.
    pub started_unix_s: Cell<f64>,
    /// Position of the zone's name; `u16::MAX` for an unknown zone.
    pub zone: Cell<u16>,
}

impl Endpoint {
    /// An endpoint that is listed, in service and without a limit. `started_unix_s` is in Unix seconds.
    pub fn new(name: String, address: SocketAddr, started_unix_s: f64) -> Self {
        Endpoint {
            name,
            address: Cell::new(address),
            closed_from_s: Cell::new(f64::INFINITY),
            out_of_service: Cell::new(false),
            is_listed: Cell::new(true),
            started_unix_s: Cell::new(started_unix_s),
            zone: Cell::new(u16::MAX),
        }
    }
}
