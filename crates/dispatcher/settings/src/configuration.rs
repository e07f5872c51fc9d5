//! The checked configuration that `read` yields.

use crate::layers::Value;
use sagetrail_failover::FailoverPlan;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// One dispatcher of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, unique in the fleet.
    pub name: String,
    /// The site it runs at.
    pub site: String,
    /// Where the others reach it.
    pub at: SocketAddr,
}

/// The members that this one talks to, and what is shared.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name.
    pub name: String,
    /// Where this member listens to the others.
    pub listen: SocketAddr,
    /// Whether evidence and budgets are shared.
    pub sharing: bool,
    /// All members, this one included.
    pub members: Vec<Member>,
    /// This member's index in `members`.
    pub me: usize,
    /// Interval of failure-detector probes, seconds.
    pub probe_s: f64,
    /// Time an acknowledgement may take, seconds.
    pub ack_s: f64,
    /// Members asked to probe indirectly.
    pub helpers: usize,
    /// Length of a lease, seconds.
    pub lease_s: f64,
    /// Owners of each budget.
    pub owners: usize,
    /// By category, the most work items out at once in the whole fleet.
    pub caps: BTreeMap<String, u64>,
    /// The fleet's limit on resends, if there is one.
    pub resends: Option<u64>,
}

/// How a category's hand-offs are recorded at other members.
#[derive(Clone, Debug, PartialEq)]
pub struct Recorded {
    /// Copies beside this member's own.
    pub copies: usize,
    /// Named by the client's key, not by the work item.
    pub by_key: bool,
    /// Sent unrecorded where too few others can be told.
    pub send: bool,
    /// Ticketed with a group of all: so long a retry may be deferred, seconds.
    pub window_s: Option<f64>,
}

/// State that outlives a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Where the journal lies.
    pub folder: PathBuf,
    /// Names of the members that vote at first.
    pub voters: Vec<String>,
    /// Interval of a leader's heartbeats, seconds.
    pub beat_s: f64,
    /// Election timeout, seconds.
    pub patience_s: f64,
    /// Tombstones of merged state are kept for so long, seconds.
    pub marks_s: f64,
    /// Agreed state without a word from a leader counts as stale after so long, seconds.
    pub stale_s: f64,
    /// By category.
    pub recorded: Vec<Option<Recorded>>,
    /// Records are kept for so long: a client's whole wait, and as much again or the window; seconds.
    pub records_s: f64,
}

/// Faults injected for tests of several processes only.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Offset of this process's clock, seconds.
    pub clock_off_s: f64,
    /// Delay of each write to the disk, seconds.
    pub disk_slow_s: f64,
    /// The disk is full after so many bytes.
    pub disk_full: Option<u64>,
    /// Name of a broken variant.
    pub broken: Option<String>,
}

/// A configuration that can be used.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The platform's page with the same content.
    pub page: serde_json::Value,
    /// Log lines are JSON.
    pub json_log: bool,
    /// The fleet, if this dispatcher belongs to one.
    pub fleet: Option<Fleet>,
    /// The store, if there is one.
    pub store: Option<Store>,
    /// A site's loss is looked for, by this plan.
    pub siting: bool,
    /// What is done when a site is lost.
    pub plan: FailoverPlan,
    /// What is only unwise about it.
    pub warnings: Vec<String>,
    /// Injected faults, if any are configured.
    pub trial: Option<Trial>,
    /// Every key by its path, list items by number.
    pub values: BTreeMap<String, Value>,
}
