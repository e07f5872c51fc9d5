//! The simulated cluster: processes, their network and disks, and everyone outside.

mod calls;
mod fault_injection;
mod health_checks;
mod outside;
mod process_lifecycle;
mod replacement;

use crate::actor::{ActorContext, CallTag, Outcome};
use crate::client::Clients;
use crate::digest::DayDigest;
use crate::disk::{Disk, DiskSpeed};
use crate::engine::{Chance, Micros, Queue, MILLISECOND};
use crate::faults::Fault;
use crate::gang::GangTable;
use crate::history::{History, Observation, Reach};
use crate::network::{Direction, LinkQuality, Network};
use crate::operator::Operator;
use crate::process::{Factory, Process};
use crate::runner::Runner;
use calls::Call;
use health_checks::PendingHealthCheck;
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::frame;
use sagetrail_protocol::node::{
    DiskWrite, Event, HealthCheckResult, HttpReply, HttpRequest, HttpRequestId,
};
use sagetrail_protocol::{Message, NodeId, NodeKind};
use std::collections::BTreeMap;

/// At their start processes come up within so long.
const START_SPREAD: Micros = 300 * MILLISECOND;

/// What makes the processes of each class.
pub struct Factories {
    /// Makes core processes.
    pub core: Factory,
    /// Makes frontends.
    pub frontend: Factory,
    /// Makes agents.
    pub side: Factory,
}

/// A process's place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// The process.
    pub node: NodeId,
    /// Its kind.
    pub kind: NodeKind,
    /// Its zone.
    pub zone: usize,
}

/// What a cluster is made of.
pub struct ClusterPlan {
    /// The seed of all random choices.
    pub seed: u64,
    /// All processes that start with the cluster.
    pub places: Vec<Place>,
    /// The addresses to start from.
    pub seeds: Vec<NodeId>,
    /// The bounds that hold between clients, runners and the cluster.
    pub bounds: Bounds,
    /// How many core machines may be lost.
    pub tolerated_machines: u32,
    /// The interval of runners' heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The quality of all links.
    pub links: LinkQuality,
    /// The speed of all disks.
    pub disks: DiskSpeed,
    /// The share of answers to the operator that are lost.
    pub lost_answers: f64,
    /// Each machine's steady clock runs fast or slow by at most so many millionths.
    pub clock_drift_ppm: u64,
}

/// Who is outside.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum ActorId {
    Runner(usize),
    Clients,
    Operator,
}

pub(crate) enum ClusterEvent {
    Start(NodeId),
    Deliver {
        to: NodeId,
        from: NodeId,
        payload: Vec<u8>,
    },
    Wake {
        node: NodeId,
        at: Micros,
    },
    DiskDone {
        node: NodeId,
        generation: u64,
    },
    RequestArrives {
        id: HttpRequestId,
        request: HttpRequest,
    },
    OutcomeArrives {
        id: HttpRequestId,
        outcome: Outcome,
    },
    CallTimeout(HttpRequestId),
    HealthCheckArrives(PendingHealthCheck),
    Probed {
        check: PendingHealthCheck,
        result: HealthCheckResult,
    },
    ActorWake {
        actor: ActorId,
        at: Micros,
    },
    Fault(Fault),
    /// The operator's list names `came` in the place of `gone`.
    Listed {
        gone: NodeId,
        came: NodeId,
    },
    Leave(NodeId),
    Thaw {
        node: NodeId,
        generation: u64,
    },
    Join(Vec<Direction>),
    Rejoin(NodeId),
    DiskUsual(NodeId),
    GraceOver {
        node: NodeId,
        generation: u64,
        back_after: Micros,
    },
}

/// The cluster.
pub struct SimulatedCluster {
    pub(crate) queue: Queue<ClusterEvent>,
    pub(crate) chance: Chance,
    pub(crate) network: Network,
    pub(crate) processes: BTreeMap<NodeId, Process>,
    pub(crate) factories: Factories,
    pub(crate) plan: ClusterPlan,
    pub(crate) context: ActorContext,
    pub(crate) runners: Vec<Runner>,
    pub(crate) clients: Clients,
    pub(crate) operator: Operator,
    pub(crate) calls: BTreeMap<HttpRequestId, Call>,
    pub(crate) next_call: u64,
    pub(crate) actor_wakes: BTreeMap<ActorId, Micros>,
    pub(crate) digest: DayDigest,
    /// Messages carried, and their bytes.
    pub messages: u64,
    /// The bytes of all messages carried.
    pub message_bytes: u64,
    /// Faults of the codec: a message that does not come out as it went in.
    pub codec_faults: Vec<String>,
}

impl SimulatedCluster {
    /// A cluster in which nothing has started.
    pub fn new(
        plan: ClusterPlan,
        factories: Factories,
        jobs: crate::job::JobTable,
    ) -> SimulatedCluster {
        let mut chance = Chance::new(plan.seed);
        let mut network = Network::new(plan.links);
        let mut processes = BTreeMap::new();
        for place in &plan.places {
            network.place(place.node, place.zone);
            let disk = (place.kind == NodeKind::Core).then(|| Disk::new(plan.disks));
            processes.insert(
                place.node,
                Process::new(
                    place.kind,
                    disk,
                    draw_clock_rate(&mut chance, plan.clock_drift_ppm),
                ),
            );
        }
        let context = ActorContext {
            history: History {
                jobs,
                ..History::default()
            },
            chance: Chance::new(plan.seed ^ 0x5eed),
            gangs: GangTable::default(),
            bounds: plan.bounds,
            calls: Vec::new(),
            gateways: plan.nodes(NodeKind::Frontend),
            cores: plan.nodes(NodeKind::Core),
        };
        SimulatedCluster {
            queue: Queue::default(),
            chance,
            network,
            processes,
            factories,
            plan,
            context,
            runners: Vec::new(),
            clients: Clients::new(Vec::new()),
            operator: Operator::new(Vec::new()),
            calls: BTreeMap::new(),
            next_call: 1,
            actor_wakes: BTreeMap::new(),
            digest: DayDigest::default(),
            messages: 0,
            message_bytes: 0,
            codec_faults: Vec::new(),
        }
    }

    /// Puts everyone outside in place and lets the machines start.
    pub fn begin(
        &mut self,
        runners: Vec<Runner>,
        clients: Clients,
        operator: Operator,
        faults: Vec<PlannedFault>,
    ) {
        self.runners = runners;
        self.clients = clients;
        self.operator = operator;
        let nodes: Vec<NodeId> = self.processes.keys().copied().collect();
        for node in nodes {
            let at = self.chance.between(0, START_SPREAD);
            self.queue.schedule(at, ClusterEvent::Start(node));
        }
        for planned in faults {
            self.queue
                .schedule(planned.at, ClusterEvent::Fault(planned.fault));
        }
        self.schedule_all_actors();
    }

    /// Lets time pass until `until`.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(event) = self.queue.next_until(until) {
            self.take(event);
        }
    }

    /// What has been seen.
    pub fn history(&mut self) -> &mut History {
        &mut self.context.history
    }

    /// The digest of all that was seen so far.
    pub fn digest(&self) -> String {
        self.digest.text()
    }

    /// The state of a process, for tests and reports.
    pub fn process_state(&self, node: NodeId) -> Option<crate::process::ProcessState> {
        self.processes.get(&node).map(|process| process.state)
    }

    pub(crate) fn now(&self) -> Micros {
        self.queue.now()
    }

    pub(crate) fn record_fault(&mut self, until: Micros, what: String, reach: Reach) {
        let now = self.now();
        self.context
            .history
            .note(now, Observation::Fault { until, what, reach });
    }

    fn take(&mut self, event: ClusterEvent) {
        match event {
            ClusterEvent::Start(node) => self.start(node),
            ClusterEvent::Deliver { to, from, payload } => self.deliver(to, from, &payload),
            ClusterEvent::Wake { node, at } => self.wake_process(node, at),
            ClusterEvent::DiskDone { node, generation } => self.disk_done(node, generation),
            ClusterEvent::RequestArrives { id, request } => self.request_arrives(id, request),
            ClusterEvent::OutcomeArrives { id, outcome } => self.outcome_arrives(id, outcome),
            ClusterEvent::CallTimeout(id) => self.call_timeout(id),
            ClusterEvent::HealthCheckArrives(check) => self.health_check_arrives(check),
            ClusterEvent::Probed { check, result } => self.probed(check, result),
            ClusterEvent::ActorWake { actor, at } => self.wake_actor(actor, at),
            ClusterEvent::Fault(fault) => self.apply(fault),
            ClusterEvent::Listed { gone, came } => self.list(gone, came),
            ClusterEvent::Leave(node) => self.leave(node),
            ClusterEvent::Thaw { node, generation } => self.thaw(node, generation),
            ClusterEvent::Join(directions) => directions
                .into_iter()
                .for_each(|one| self.network.join(one)),
            ClusterEvent::Rejoin(node) => self.network.isolate(node, false),
            ClusterEvent::DiskUsual(node) => self.set_sync(node, None),
            ClusterEvent::GraceOver {
                node,
                generation,
                back_after,
            } => self.grace_over(node, generation, back_after),
        }
    }

    /// Sends a message over the network, through the codec.
    pub(crate) fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let payload = match frame::encode(message) {
            Ok(payload) => payload,
            Err(error) => return self.codec_faults.push(format!("{error} in {message:?}")),
        };
        match frame::decode(&payload) {
            Ok(decoded) if decoded == *message => (),
            other => {
                return self
                    .codec_faults
                    .push(format!("{message:?} came out as {other:?}"))
            }
        }
        self.messages += 1;
        self.message_bytes += payload.len() as u64;
        let now = self.now();
        self.digest.sent(now, from, to, &payload);
        for at in self
            .network
            .arrivals(now, Direction { from, to }, &mut self.chance)
        {
            self.queue.schedule(
                at,
                ClusterEvent::Deliver {
                    to,
                    from,
                    payload: payload.clone(),
                },
            );
        }
    }

    fn deliver(&mut self, to: NodeId, from: NodeId, payload: &[u8]) {
        if !self.network.passes(Direction { from, to }) {
            return;
        }
        if let Ok(message) = frame::decode(payload) {
            self.dispatch(to, Event::Message { from, message });
        }
    }

    pub(crate) fn reply(&mut self, id: HttpRequestId, reply: HttpReply) {
        self.answer_call(id, Outcome::Answered(reply));
    }

    pub(crate) fn writes(&mut self, node: NodeId, writes: Vec<DiskWrite>) {
        let now = self.now();
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        let generation = process.generation;
        let Some(disk) = &mut process.disk else {
            return;
        };
        for write in writes {
            self.digest.written(now, node, &write);
            disk.write(write);
        }
        if let Some(at) = disk.start_sync(now, &mut self.chance) {
            self.queue
                .schedule(at, ClusterEvent::DiskDone { node, generation });
        }
    }
}

/// How much a machine's steady clock runs fast, in millionths.
fn draw_clock_rate(chance: &mut Chance, drift_ppm: u64) -> i64 {
    chance.between(0, 2 * drift_ppm + 1) as i64 - drift_ppm as i64
}

impl ClusterPlan {
    /// All processes of a class.
    pub fn nodes(&self, kind: NodeKind) -> Vec<NodeId> {
        self.places
            .iter()
            .filter(|place| place.kind == kind)
            .map(|place| place.node)
            .collect()
    }
}

/// A fault and its instant.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When, in true time.
    pub at: Micros,
    /// The fault.
    pub fault: Fault,
}

/// A call's tag with its actor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallOwner {
    pub actor: ActorId,
    pub tag: CallTag,
}
