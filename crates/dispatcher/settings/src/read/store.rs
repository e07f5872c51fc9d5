//! Store: its folder, its voters, and which attempts are recorded.

use super::categories::{category_key, DEFAULT_EXPIRY_S, DEFAULT_WINDOW_S, GROUP_OF_ALL};
use super::reader::Reader;
use crate::configuration::{Fleet, Recorded, Store};
use crate::layers::Origin;
use std::collections::BTreeSet;

/// Default number of voters in a fleet that is large enough: its first members.
const DEFAULT_VOTERS: usize = 3;
/// Smallest ratio of the election time-out to the heartbeat interval.
const MIN_HEARTBEATS_PER_TIMEOUT: f64 = 3.0;
/// Shortest retention of records, in seconds.
const MIN_RECORDS_S: f64 = 1.0;

/// How a category is recorded, and for how long.
struct Recording {
    recorded: Recorded,
    /// Retention of its records, in seconds.
    retention_s: f64,
}

/// Reads the store. `None` if no key of it is given or there is no fleet.
pub(super) fn store(
    reader: &mut Reader,
    fleet: Option<&Fleet>,
    settings: &serde_json::Value,
) -> Option<Store> {
    let is_enabled = reader.has_below("store.");
    let recordings = recordings(reader, fleet, is_enabled);
    if !is_enabled {
        return None;
    }
    reader.require("store.folder");
    let origin = reader.origin("store.");
    let Some(fleet) = fleet else {
        reader.fault(
            &origin,
            "store.folder",
            "a store needs a fleet: no fleet.name is given",
        );
        return None;
    };
    if settings.is_null() {
        return None;
    }
    let voters = voters(reader, &origin, fleet);
    let (heartbeat_s, election_timeout_s) = election_times(reader, &origin);
    let retentions_s = recordings
        .iter()
        .flatten()
        .map(|recording| recording.retention_s);
    Some(Store {
        folder: reader.text("store.folder").unwrap_or_default().into(),
        voters,
        heartbeat_s,
        election_timeout_s,
        tombstone_retention_s: reader.number("store.marks", 3600.0),
        stale_s: reader.number("store.stale", 60.0),
        record_retention_s: retentions_s.fold(MIN_RECORDS_S, f64::max),
        recorded: recordings
            .into_iter()
            .map(|recording| recording.map(|r| r.recorded))
            .collect(),
    })
}

fn recordings(
    reader: &mut Reader,
    fleet: Option<&Fleet>,
    has_store: bool,
) -> Vec<Option<Recording>> {
    let count = reader.count("categories");
    (0..count)
        .map(|n| recording(reader, n, fleet, has_store))
        .collect()
}

fn recording(
    reader: &mut Reader,
    n: usize,
    fleet: Option<&Fleet>,
    has_store: bool,
) -> Option<Recording> {
    let at = |key: &str| category_key(n, key);
    let copies = reader.number(&at("record"), 0.0) as usize;
    if copies == 0 {
        return None;
    }
    let repeat = reader
        .text(&at("repeat"))
        .unwrap_or("exclusive".to_string());
    check_recording(reader, &at("record"), &repeat, copies, fleet, has_store);
    let window_s = reader.number(&at("window"), DEFAULT_WINDOW_S);
    let expiry_s = reader.number(&at("expiry"), DEFAULT_EXPIRY_S);
    let is_ticketed = repeat == "ticketed";
    let group_of_all = reader
        .text(&at("group"))
        .is_none_or(|group| group == GROUP_OF_ALL);
    let recorded = Recorded {
        copies,
        is_named_by_key: reader.text(&at("named")).as_deref() == Some("key"),
        may_send_unrecorded: reader.text(&at("unrecorded")).as_deref() == Some("send"),
        window_s: (is_ticketed && group_of_all).then_some(window_s),
    };
    let retry_s = if is_ticketed {
        expiry_s.max(window_s)
    } else {
        expiry_s
    };
    Some(Recording {
        recorded,
        retention_s: expiry_s + retry_s,
    })
}

fn check_recording(
    reader: &mut Reader,
    path: &str,
    repeat: &str,
    copies: usize,
    fleet: Option<&Fleet>,
    has_store: bool,
) {
    if repeat == "rerunnable" {
        reader.fault_at(
            path,
            "rerunnable work needs no record: it runs again freely",
        );
    }
    if !has_store {
        reader.fault_at(path, "it needs a store: no store.folder is given");
    }
    if fleet.is_some_and(|fleet| fleet.members.len() <= copies) {
        reader.fault_at(
            path,
            &format!("{copies} others are more than the fleet has"),
        );
    }
}

fn voters(reader: &mut Reader, origin: &Origin, fleet: &Fleet) -> Vec<String> {
    let mut voters = reader.texts("store.voters");
    if voters.is_empty() {
        voters = default_voters(fleet);
    }
    for name in &voters {
        if !fleet.members.iter().any(|member| member.name == *name) {
            reader.fault(origin, "store.voters", &format!("'{name}' is no member"));
        }
    }
    let distinct: BTreeSet<&String> = voters.iter().collect();
    if !matches!(voters.len(), 1 | 3 | 5) || distinct.len() != voters.len() {
        reader.fault(origin, "store.voters", "1, 3 or 5 different members vote");
    }
    voters
}

fn default_voters(fleet: &Fleet) -> Vec<String> {
    let count = if fleet.members.len() < DEFAULT_VOTERS {
        1
    } else {
        DEFAULT_VOTERS
    };
    fleet
        .members
        .iter()
        .take(count)
        .map(|member| member.name.clone())
        .collect()
}

/// Heartbeat interval and election time-out, in seconds.
fn election_times(reader: &mut Reader, origin: &Origin) -> (f64, f64) {
    let heartbeat_s = reader.number("store.beat", 0.1);
    let timeout_s = reader.number("store.patience", 0.5);
    if timeout_s < MIN_HEARTBEATS_PER_TIMEOUT * heartbeat_s {
        reader.fault(
            origin,
            "store.patience",
            "under three beats any lost one unseats a leader",
        );
    }
    (heartbeat_s, timeout_s)
}
