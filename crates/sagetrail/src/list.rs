//! The list of runners: one watch at a time, opened when the decisions ask for it.
use crate::exchange::Tray;
use crate::http::{next, AskList, Fault, Watching};
use crate::start::Names;
use futures_util::SinkExt;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// A line comes every 2 s even if nothing changes; two missed and a little are the end of the watch. Guards
/// against a list cut off, whose connection stays open and silent.
const SILENT_S: f64 = 4.5;
const DIAL_S: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
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
    let address = entry.host_port.as_deref().and_then(|text| text.parse().ok());
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
        let mut told = Told { generation: line.generation, whole: line.reset, ..Told::default() };
        for entry in line.instances {
            match member(entry, names) {
                Ok(member) => told.members.push(member),
                Err(why) => {
                    log::warn!("an entry of the list is passed over: {why}");
                    told.damaged = true;
                }
            }
        }
        Ok(told)
    }
}

pub struct Watch {
    pub at: SocketAddr,
    pub names: Names,
    pub tray: Tray,
    /// Rung when the decisions ask for the list.
    pub ask: Rc<Notify>,
    /// The last version read without a flaw.
    pub after: u64,
}

impl Watch {
    pub async fn keep(mut self) {
        let ask = self.ask.clone();
        let mut failing = false;
        ask.notified().await;
        loop {
            tokio::select! {
                biased;
                fault = self.watch(&mut failing) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::warn!("the list's watch ended, the last list holds: {fault}");
                    }
                    self.tray.call(|exchange| exchange.list_failed()).await;
                    ask.notified().await;
                }
                // Asked again while none has answered: that call is given up.
                () = ask.notified() => {}
            }
        }
    }

    /// One watch, until it ends.
    async fn watch(&mut self, failing: &mut bool) -> Fault {
        match self.lines(failing).await {
            Err(fault) => fault,
            Ok(()) => Fault::Malformed("it was closed"),
        }
    }

    async fn lines(&mut self, failing: &mut bool) -> Result<(), Fault> {
        let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
        let dial = timeout(Duration::from_secs_f64(DIAL_S), TcpStream::connect(self.at));
        let stream = dial.await.map_err(late)??;
        stream.set_nodelay(true)?;
        let mut wire = Framed::new(stream, Watching::new(self.at.to_string()));
        wire.send(AskList { after: self.after }).await?;
        let (mut first, mut sound) = (true, true);
        loop {
            let line = timeout(Duration::from_secs_f64(SILENT_S), next(&mut wire)).await.map_err(late)?;
            let Some(line) = line.transpose()? else { return Ok(()) };
            let mut told = Told::default();
            if !line.trim_ascii().is_empty() {
                let read = serde_json::from_slice(&line).map_err(|error| error.to_string());
                match read.and_then(|value| Told::read(value, &self.names)) {
                    Ok(read) => told = read,
                    Err(why) => {
                        log::warn!("a line of the list is passed over: {why}");
                        told.damaged = true;
                    }
                }
                // Guards against a change lost with a bad line: the next watch asks from before it.
                sound = (sound || told.whole) && !told.damaged;
                if sound {
                    self.after = told.generation;
                }
            } else if !first {
                continue;
            }
            if std::mem::take(&mut first) && std::mem::take(failing) {
                log::info!("the list is watched again");
            }
            self.tray.call(move |exchange| exchange.listed(told)).await;
        }
    }
}
