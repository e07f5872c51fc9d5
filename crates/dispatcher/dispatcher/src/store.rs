//! Host of the node of the replicated store: sends its frames on the links, writes its records to the disk, and applies
//! its committed and merged state to the exchange, the fleet and the admin API. No decision is made here.
//!
//! One task runs [`Store::run`] until the process ends. One thread writes the disk ([`crate::disk`]) and ends when the
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

/// Capacity in frames of the queue to a member. Further frames are dropped; those that matter are sent again.
const QUEUE_CAPACITY: usize = 1024;

/// Committed settings that cannot be used here.
struct RejectedSettings {
    version: u64,
    /// Reason, in one line.
    reason: String,
}

/// The host of the replicated store's node.
pub(crate) struct Store {
    node: RefCell<Node>,
    /// Wakes the event loop.
    wake: Notify,
    clock: Clock,
    config: StoreSettings,
    fleet: Rc<Fleet>,
    /// Name of each member, by its number.
    names: BTreeMap<u64, String>,
    /// Number of this member, a hash of its name.
    member: u64,
    /// Name of this member.
    name: String,
    /// CRC-32 of the fleet's name.
    fleet_checksum: u32,
    /// Queues of frames to the other members, which the links send.
    queues: BTreeMap<u64, mpsc::Sender<Bytes>>,
    disk: Disk,
    /// Batches that are being written to the disk, in order.
    writing: RefCell<VecDeque<Batch>>,
    /// Senders for the outcomes of claims, by the number of the claim.
    waiting_claims: RefCell<BTreeMap<u64, oneshot::Sender<ClaimOutcome>>>,
    /// Counts changes of the committed and merged state.
    changes: watch::Sender<u64>,
    source: Source,
    /// Runners that are out of service, as last applied.
    runners_out: RefCell<BTreeSet<String>>,
    /// Whether this dispatcher is drained, as last applied.
    is_drained: Cell<bool>,
    /// Version of the settings that are in force here.
    version: Cell<u64>,
    rejected_settings: RefCell<Option<RejectedSettings>>,
    /// Earliest time of the next save of the merged state, in seconds on the process clock.
    next_save_s: Cell<f64>,
    /// Whether the merged state may differ from the saved one.
    needs_save: Cell<bool>,
    broken: Option<Broken>,
    discovery_at: watch::Sender<SocketAddr>,
}

/// Queues of frames, by the address of the member to which the links send them.
pub(crate) type Queues = Vec<(SocketAddr, mpsc::Receiver<Bytes>)>;

/// Parts from which a store is opened.
pub(crate) struct StoreParts<'a> {
    /// The store's settings.
    pub config: StoreSettings,
    /// The members of the fleet.
    pub members: &'a Members,
    /// The shared budgets and evidence.
    pub fleet: Rc<Fleet>,
    /// Clock of the process.
    pub clock: Clock,
    /// Source of the configuration.
    pub source: Source,
    /// Address of discovery, which follows the committed settings.
    pub discovery_at: watch::Sender<SocketAddr>,
    /// A defect of the disk, for tests.
    pub disk_defect: DiskDefect,
    /// A defect of the program, for tests.
    pub broken: Option<Broken>,
}

/// An open store and what its tasks need.
pub(crate) struct OpenStore {
    /// The store.
    pub store: Rc<Store>,
    /// Outcomes of the batches on the disk, in order.
    pub write_outcomes: mpsc::UnboundedReceiver<WriteOutcome>,
    /// Queues of frames to send.
    pub queues: Queues,
}

impl Store {
    /// Opens the folder, and starts the node and the writing thread.
    ///
    /// # Errors
    ///
    /// The [`DiskError`] that makes the folder unusable. A damaged journal is no error: it is renamed.
    pub(crate) fn open(parts: StoreParts<'_>) -> Result<OpenStore, DiskError> {
        let mut random = rand_pcg::Pcg64Mcg::from_os_rng();
        let members = parts.members;
        let name = members.members[members.own_index].name.clone();
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
            is_drained: Cell::new(false),
            version: Cell::new(0),
            rejected_settings: RefCell::default(),
            next_save_s: Cell::new(0.0),
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

    /// The committed settings, in the last version that can be used here.
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

/// Starts the node with the content of the folder.
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
            heartbeat_s: config.heartbeat_s,
            election_timeout_s: config.election_timeout_s,
        },
        incarnation: (clock.unix_s * 1e3) as u64,
        process,
        disk: content.disk,
        records,
        records_written: content.records_written,
        tombstone_retention_s: config.tombstone_retention_s,
        record_retention_s: config.record_retention_s,
    };
    let mut node = Node::new(node_config, clock.now());
    if *broken == Some(Broken::TakesClaimsEarly) {
        node.record_replica.skip_recovery();
    }
    if let Some(merged) = content.merged {
        // Without a usable copy the state is fetched from other members.
        let _ = node
            .merged
            .restore(clock.now(), &merged.bytes, merged.age_s);
    }
    node
}

/// Creates a queue of frames for each other member.
fn queues(members: &Members, own: u64) -> (BTreeMap<u64, mpsc::Sender<Bytes>>, Queues) {
    let (mut senders, mut receivers) = (BTreeMap::new(), Vec::new());
    for member in &members.members {
        let member_number = name_hash(&member.name);
        if member_number != own {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            senders.insert(member_number, sender);
            receivers.push((member.address, receiver));
        }
    }
    (senders, receivers)
}
