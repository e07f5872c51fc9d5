//! The checked configuration that `read` returns.

use crate::layers::Value;
use sagetrail_failover::FailoverPlan;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A dispatcher of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: String,
    /// Site at which it runs.
    pub site: String,
    /// Address at which the other members reach it.
    pub address: SocketAddr,
}

/// The fleet: its members and what they share.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Name of the fleet.
    pub name: String,
    /// Address at which this member listens to the others.
    pub listen: SocketAddr,
    /// Whether evidence and budgets are shared.
    pub sharing: bool,
    /// All members, this one included.
    pub members: Vec<Member>,
    /// This member's index in `members`.
    pub own_index: usize,
    /// Interval of the probes of the failure detector, in seconds.
    pub probe_interval_s: f64,
    /// Time-out for an acknowledgement, in seconds.
    pub ack_timeout_s: f64,
    /// Number of members that are asked to probe indirectly.
    pub indirect_probes: usize,
    /// Length of a lease, in seconds.
    pub lease_s: f64,
    /// Number of owners of each budget.
    pub owner_count: usize,
    /// Largest number of work items in flight at once in the whole fleet, by category.
    pub caps: BTreeMap<String, u64>,
    /// Limit of the resends per second in the whole fleet, if there is one.
    pub max_resends: Option<u64>,
}

/// How the attempts of a category are recorded at other members.
#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    /// Number of copies in addition to the one of this member.
    pub copies: usize,
    /// Whether the name of a record is the key that the client gives, not the id of the work item.
    pub is_named_by_key: bool,
    /// Whether a work item is sent without a record if too few other members can be reached.
    pub may_send_unrecorded: bool,
    /// Time in seconds within which a retry may be deferred, if the category is ticketed and its group is all runners.
    pub window_s: Option<f64>,
}

/// The store, whose state outlives a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Folder of the journal.
    pub folder: PathBuf,
    /// Names of the initial voters.
    pub voters: Vec<String>,
    /// Interval of the heartbeats of a leader, in seconds.
    pub heartbeat_s: f64,
    /// Election time-out, in seconds.
    pub election_timeout_s: f64,
    /// Retention of the tombstones of merged state, in seconds.
    pub tombstone_retention_s: f64,
    /// Time in seconds without contact to a leader after which committed state counts as stale.
    pub stale_s: f64,
    /// How each category is recorded; `None` for a category that is not.
    pub recorded: Vec<Option<Recorded>>,
    /// Retention of records, in seconds: the longest wait of a client, plus the same again or the window.
    pub record_retention_s: f64,
}

/// Faults injected for tests of several processes only.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Offset of the clock of this process, in seconds.
    pub clock_off_s: f64,
    /// Delay of each sync of the disk, in seconds.
    pub sync_delay_s: f64,
    /// Number of bytes after which the disk is full.
    pub free_disk_bytes: Option<u64>,
    /// Name of a broken variant.
    pub broken: Option<String>,
}

/// A configuration that can be used.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The page of the platform with the same content.
    pub page: serde_json::Value,
    /// Whether log lines are JSON.
    pub json_log: bool,
    /// The fleet, if this dispatcher belongs to one.
    pub fleet: Option<Fleet>,
    /// The store, if there is one.
    pub store: Option<Store>,
    /// Whether the loss of a site is detected.
    pub detects_site_loss: bool,
    /// Plan for the loss of a site.
    pub plan: FailoverPlan,
    /// Warnings about the plan.
    pub warnings: Vec<String>,
    /// Injected faults, if any are configured.
    pub trial: Option<Trial>,
    /// Value of each key, by its path; items of lists have their number in it.
    pub values: BTreeMap<String, Value>,
}
