//! The host of the replicated store's node: frames go out on the links, bytes to the disk, committed and merged state to
//! the exchange, the fleet and the admin API. No decision is made here.
//!
//! One task runs [`Store::run`] until the process ends; one thread writes the disk ([`crate::disk`]) and ends when the
//! store is dropped.

mod admin_calls;
mod agreement;
mod apply;
mod backup;
mod claims;
mod error;
mod event_loop;
mod status;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot, watch, Notify};

use sagetrail_dispatch::name_hash;
use sagetrail_raft::Timing;
use sagetrail_replicated_store::{Batch, ClaimOutcome, Node, NodeConfig};
use sagetrail_settings::{Fleet as Members, Store as StoreSettings};

use crate::clock::Clock;
use crate::disk::{self, Disk, DiskDefect, FolderContent, WriteOutcome};
use crate::fleet::Fleet;
use crate::start::Source;
use crate::trial::Broken;

pub(crate) use error::DiskError;

/// Frames that may wait for one member; further ones are dropped, and sent again when they matter.
const QUEUE_FRAMES: usize = 1024;

/// Settings that are committed, but cannot be used here.
struct RejectedSettings {
    version: u64,
    /// Why, in one line.
    reason: String,
}

/// The host of the replicated store's node.
pub(crate) struct Store {
    node: RefCell<Node>,
    /// Wakes the loop.
    wake: Notify,
    clock: Clock,
    config: StoreSettings,
    fleet: Rc<Fleet>,
    /// The name of each member, by its number.
    names: BTreeMap<u64, String>,
    /// This member's number and name.
    member: u64,
    name: String,
    /// CRC-32 of the fleet's name.
    fleet_checksum: u32,
    /// Frames for each other member; the links send them.
    queues: BTreeMap<u64, mpsc::Sender<Bytes>>,
    disk: Disk,
    /// Batches that the disk is writing, in order.
    writing: RefCell<VecDeque<Batch>>,
    /// Who waits for the outcome of a claim, by its number.
    waiting_claims: RefCell<BTreeMap<u64, oneshot::Sender<ClaimOutcome>>>,
    /// Counts changes of the committed and merged state.
    changes: watch::Sender<u64>,
    source: Source,
    /// Runners that are out of service, as last applied.
    runners_out: RefCell<BTreeSet<String>>,
    /// Whether this dispatcher is drained, as last applied.
    drained: Cell<bool>,
    /// The version of the settings in force here.
    version: Cell<u64>,
    rejected_settings: RefCell<Option<RejectedSettings>>,
    /// When the merged state may be saved next, seconds.
    next_save: Cell<f64>,
    /// The merged state may differ from the saved one.
    needs_save: Cell<bool>,
    broken: Option<Broken>,
    discovery_at: watch::Sender<SocketAddr>,
}

/// The frames for each other member's address, for the links to send.
pub(crate) type Queues = Vec<(SocketAddr, mpsc::Receiver<Bytes>)>;

/// What a store is opened with.
pub(crate) struct StoreParts<'a> {
    /// The store's settings.
    pub config: StoreSettings,
    /// The members of the fleet.
    pub members: &'a Members,
    /// The shared budgets and evidence.
    pub fleet: Rc<Fleet>,
    /// The process's clock.
    pub clock: Clock,
    /// Where settings come from.
    pub source: Source,
    /// The address of discovery; follows the committed settings.
    pub discovery_at: watch::Sender<SocketAddr>,
    /// A defect of the disk, for tests.
    pub disk_defect: DiskDefect,
    /// A defect of the program, for tests.
    pub broken: Option<Broken>,
}

/// A store and what its tasks need.
pub(crate) struct OpenStore {
    /// The store.
    pub store: Rc<Store>,
    /// What became of the batches on the disk, in order.
    pub write_outcomes: mpsc::UnboundedReceiver<WriteOutcome>,
    /// The frames to send.
    pub queues: Queues,
}

impl Store {
    /// Opens the folder, and starts the node and the thread that writes.
    ///
    /// # Errors
    ///
    /// The [`DiskError`] that makes the folder unusable. A damaged journal is none: it is put aside.
    pub(crate) fn open(parts: StoreParts<'_>) -> Result<OpenStore, DiskError> {
        let mut random = rand_pcg::Pcg64Mcg::from_os_rng();
        let members = parts.members;
        let name = members.members[members.me].name.clone();
        let member = name_hash(&name);
        let fleet_checksum = crc32fast::hash(members.name.as_bytes());
        let folder = &parts.config.folder;
        let content = disk::open_folder(folder, fleet_checksum, member, random.random())?;
        let node = start_node(&parts, member, random.random(), content);
        let (disk, write_outcomes) = Disk::start(folder.clone(), parts.disk_defect)?;
        let (queue_senders, queues) = queues(members, member);
        let names = members
            .members
            .iter()
            .map(|member| (name_hash(&member.name), member.name.clone()))
            .collect();
        let store = Store {
            node: RefCell::new(node),
            wake: Notify::new(),
            clock: parts.clock,
            config: parts.config,
            fleet: parts.fleet,
            names,
            member,
            name,
            fleet_checksum,
            queues: queue_senders,
            disk,
            writing: RefCell::default(),
            waiting_claims: RefCell::default(),
            changes: watch::Sender::new(0),
            source: parts.source,
            runners_out: RefCell::default(),
            drained: Cell::new(false),
            version: Cell::new(0),
            rejected_settings: RefCell::default(),
            next_save: Cell::new(0.0),
            needs_save: Cell::new(false),
            broken: parts.broken,
            discovery_at: parts.discovery_at,
        };
        Ok(OpenStore {
            store: Rc::new(store),
            write_outcomes,
            queues,
        })
    }

    /// The committed settings; the last version that can be used here.
    pub(crate) fn settings(&self) -> String {
        let node = self.node.borrow();
        match self.rejected_settings.borrow().as_ref() {
            Some(rejected) => node
                .committed
                .versions
                .iter()
                .rev()
                .find(|version| version.number < rejected.version)
                .map_or(String::new(), |version| version.text.clone()),
            None => node.committed.settings().to_string(),
        }
    }

    /// This dispatcher's name in the fleet.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    fn member_number(&self, name: &str) -> Option<u64> {
        self.names
            .iter()
            .find(|(_, known)| *known == name)
            .map(|(member, _)| *member)
    }

    fn member_name(&self, member: u64) -> &str {
        self.names.get(&member).map_or("?", String::as_str)
    }
}

/// Starts the node on what the folder holds.
fn start_node(parts: &StoreParts<'_>, member: u64, process: u64, content: FolderContent) -> Node {
    let StoreParts {
        config,
        members,
        clock,
        broken,
        ..
    } = parts;
    let records = match broken {
        Some(Broken::ForgetsWords) => Vec::new(),
        _ => content.records,
    };
    let node_config = NodeConfig {
        fleet: members.name.clone(),
        member,
        members: members
            .members
            .iter()
            .map(|member| name_hash(&member.name))
            .collect(),
        initial_voters: config.voters.iter().map(|name| name_hash(name)).collect(),
        timing: Timing {
            heartbeat_s: config.beat_s,
            election_timeout_s: config.patience_s,
        },
        incarnation: (clock.unix * 1e3) as u64,
        process,
        disk: content.disk,
        records,
        records_written: content.records_written,
        tombstone_retention_s: config.marks_s,
        record_retention_s: config.records_s,
    };
    let mut node = Node::new(node_config, clock.now());
    if *broken == Some(Broken::TakesClaimsEarly) {
        node.record_replica.skip_recovery();
    }
    if let Some(merged) = content.merged {
        // Without a usable copy the state comes from other members.
        let _ = node
            .merged
            .restore(clock.now(), &merged.bytes, merged.age_s);
    }
    node
}

/// A queue of frames for each other member.
fn queues(members: &Members, own: u64) -> (BTreeMap<u64, mpsc::Sender<Bytes>>, Queues) {
    let (mut senders, mut receivers) = (BTreeMap::new(), Vec::new());
    for member in &members.members {
        let member_number = name_hash(&member.name);
        if member_number != own {
            let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
            senders.insert(member_number, sender);
            receivers.push((member.at, receiver));
        }
    }
    (senders, receivers)
}
