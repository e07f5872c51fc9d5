//! Updates of the endpoint list that discovery sends, and the state of each runner's endpoint.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;

/// Names of zones and kinds. An entry of the list refers to them by their position here.
#[derive(Clone, Default)]
pub struct Names {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of runners.
    pub kinds: Vec<String>,
}

/// Lifecycle of a runner as the endpoint list states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    /// The runner takes new attempts.
    Ready,
    /// The runner finishes its jobs and takes no new attempts.
    Draining,
    /// The runner has been removed from the list.
    Gone,
}

/// Entry of the endpoint list: one runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
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
    pub started: f64,
    /// Lifecycle of the runner.
    pub life: Life,
}

/// One update of the endpoint list: all of it, or the entries that changed.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Version of the list after this update.
    pub generation: u64,
    /// Whether the update is the complete list. If so, runners that it does not name are no longer listed.
    pub whole: bool,
    /// Entries of the update.
    pub members: Vec<Member>,
    /// Whether entries that could not be read were left out.
    pub damaged: bool,
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

fn parse_entry(entry: Value, names: &Names) -> Result<Member, String> {
    let entry: UpdateEntry = serde_json::from_value(entry).map_err(|error| error.to_string())?;
    let life = match entry.lifecycle.as_str() {
        "Ready" => Life::Ready,
        "Terminating" => Life::Draining,
        "Gone" => Life::Gone,
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
    if address.is_none() && life != Life::Gone {
        return Err(format!(
            "expected an address and a port for runner '{}', got '{}'",
            entry.instance_id,
            entry.host_port.unwrap_or_default()
        ));
    }
    let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
    Ok(Member {
        address,
        kind: position(&names.kinds, &entry.machine_type).map_or(u8::MAX, |at| at as u8),
        zone: position(&names.zones, &entry.zone).map_or(u16::MAX, |at| at as u16),
        cell: entry.cell,
        started: entry.started_at_ms / 1e3,
        life,
        id: entry.instance_id,
    })
}

impl Told {
    /// Reads an update from JSON. Entries that cannot be read are left out and logged.
    ///
    /// # Errors
    ///
    /// Says why the update as a whole cannot be read.
    pub fn read(value: Value, names: &Names) -> Result<Told, String> {
        let line: UpdateLine = serde_json::from_value(value).map_err(|error| error.to_string())?;
        let mut update = Told {
            generation: line.generation,
            whole: line.reset,
            ..Told::default()
        };
        for entry in line.instances {
            match parse_entry(entry, names) {
                Ok(member) => update.members.push(member),
                Err(reason) => {
                    tracing::warn!("entry of the endpoint list ignored: {reason}");
                    update.damaged = true;
                }
            }
        }
        Ok(update)
    }
}

/// State of a runner's endpoint. The exchange writes it. The host reads it just before the first byte of an attempt is
/// written, to decide whether the attempt may still begin.
pub struct Gate {
    /// Name of the runner.
    pub name: String,
    /// Address and port.
    pub address: Cell<SocketAddr>,
    /// No attempt may begin from this time on, in seconds on the exchange's clock, because the runner drains or is
    /// gone; infinity for no limit.
    pub shut_at: Cell<f64>,
    /// Whether operators have taken the runner out of service.
    pub out: Cell<bool>,
    /// Whether the endpoint list names the runner now.
    pub listed: Cell<bool>,
    /// When the runner's process started according to the endpoint list, in Unix seconds; 0 if it started long ago.
    pub started: Cell<f64>,
    /// Position of the zone's name; `u16::MAX` for an unknown zone.
    pub zone: Cell<u16>,
}

impl Gate {
    /// An endpoint that is listed, in service and without a limit. `started` is in Unix seconds.
    pub fn new(name: String, address: SocketAddr, started: f64) -> Self {
        Gate {
            name,
            address: Cell::new(address),
            shut_at: Cell::new(f64::INFINITY),
            out: Cell::new(false),
            listed: Cell::new(true),
            started: Cell::new(started),
            zone: Cell::new(u16::MAX),
        }
    }
}
