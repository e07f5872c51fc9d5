//! The list as it is told, and the gate before each runner.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;

/// The places of the zones and kinds that the list names.
#[derive(Clone, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    pub id: String,
    /// Not always told of one that is gone.
    pub address: Option<SocketAddr>,
    pub kind: u8,
    pub zone: u16,
    pub cell: u16,
    /// Unix time in seconds; 0 for long ago.
    pub started: f64,
    pub life: Life,
}

/// What the list says at once: all of it, or what changed.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub generation: u64,
    pub whole: bool,
    pub members: Vec<Member>,
    /// Some entry could not be read and was left out.
    pub damaged: bool,
}

#[derive(Deserialize)]
struct Line {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    instance_id: String,
    host_port: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: f64,
}

fn member(entry: Value, names: &Names) -> Result<Member, String> {
    let entry: Entry = serde_json::from_value(entry).map_err(|error| error.to_string())?;
    let life = match entry.lifecycle.as_str() {
        "Ready" => Life::Ready,
        "Terminating" => Life::Draining,
        "Gone" => Life::Gone,
        other => return Err(format!("lifecycle '{other}' is not known")),
    };
    let address = entry
        .host_port
        .as_deref()
        .and_then(|text| text.parse().ok());
    if address.is_none() && life != Life::Gone {
        return Err(format!("{} has no address and port", entry.instance_id));
    }
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
    Ok(Member {
        address,
        kind: place(&names.kinds, &entry.machine_type).map_or(u8::MAX, |at| at as u8),
        zone: place(&names.zones, &entry.zone).map_or(u16::MAX, |at| at as u16),
        cell: entry.cell,
        started: entry.started_at_ms / 1e3,
        life,
        id: entry.instance_id,
    })
}

impl Told {
    pub fn read(value: Value, names: &Names) -> Result<Told, String> {
        let line: Line = serde_json::from_value(value).map_err(|error| error.to_string())?;
        let mut told = Told {
            generation: line.generation,
            whole: line.reset,
            ..Told::default()
        };
        for entry in line.instances {
            match member(entry, names) {
                Ok(member) => told.members.push(member),
                Err(why) => {
                    tracing::warn!("an entry of the list is passed over: {why}");
                    told.damaged = true;
                }
            }
        }
        Ok(told)
    }
}

/// Whether an attempt to a runner may begin: what the exchange says, read where the first byte is written.
pub struct Gate {
    pub name: String,
    pub address: Cell<SocketAddr>,
    /// From when on no attempt may begin: it drains or is gone.
    pub shut_at: Cell<f64>,
    /// Operators have taken it out.
    pub out: Cell<bool>,
    /// The list names it now.
    pub listed: Cell<bool>,
    /// When its process started, by the list.
    pub started: Cell<f64>,
    pub zone: Cell<u16>,
}

impl Gate {
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
