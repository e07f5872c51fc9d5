//! One core process: its parts, and the order in which they are driven.

use crate::accepted_changes::AcceptedChanges;
use crate::acceptor::Acceptor;
use crate::bootstrap::BootstrapCandidates;
use crate::changes_fetch::ChangesFetch;
use crate::effects::Effects;
use crate::election::Elections;
use crate::leadership::Leadership;
use crate::leases::Leases;
use crate::membership_state::MembershipState;
use crate::operator::Operator;
use crate::persisted::{ControlState, DiskContent, ReplicaState};
use crate::proposer::Proposer;
use crate::quorum_read::QuorumReader;
use crate::reconfiguration::Joiners;
use crate::records::Records;
use crate::register_view::RegisterView;
use crate::replica::Replica;
use crate::resignation::FormerTermResignation;
use crate::routing::MessageRouter;
use crate::settings::CoreSettings;
use crate::subscribers::Subscribers;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::control::ProposalNumber;
use sagetrail_protocol::node::{DiskImage, Event, Node, Now, Outbox};
use sagetrail_protocol::service::ServiceFactory;
use sagetrail_protocol::{Message, NodeId, Time};
use std::collections::VecDeque;

/// Spreads seeds (the fraction of the golden ratio, odd).
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A message that waits for fresh knowledge of the register.
#[derive(Debug)]
pub(crate) struct Delayed {
    pub from: NodeId,
    pub message: Message,
    pub arrived: Time,
}

/// A process that is to be told once a proposal number is learnt.
#[derive(Debug)]
pub(crate) struct LearnAsker {
    pub node: NodeId,
    pub proposal: ProposalNumber,
}

/// The logic of one core process.
pub struct CoreNode {
    pub(crate) settings: CoreSettings,
    pub(crate) started: Time,
    pub(crate) now: Now,
    pub(crate) factory: ServiceFactory,
    pub(crate) effects: Effects,
    pub(crate) router: MessageRouter,
    pub(crate) membership_state: MembershipState,
    pub(crate) register_view: RegisterView,
    /// All changes of the configuration that were taken, as far as this process knows them.
    pub(crate) accepted_changes: AcceptedChanges,
    pub(crate) changes_fetch: ChangesFetch,
    pub(crate) acceptor: Acceptor,
    pub(crate) proposer: Proposer,
    pub(crate) reader: QuorumReader,
    pub(crate) operator: Operator,
    pub(crate) replica: Replica,
    pub(crate) elections: Elections,
    pub(crate) leadership: Option<Leadership>,
    /// The term of this process's former life, while it says that it holds it no more.
    pub(crate) former_term_resignation: Option<FormerTermResignation>,
    pub(crate) joiners: Joiners,
    pub(crate) leases: Leases,
    pub(crate) subscribers: Subscribers,
    pub(crate) delayed: VecDeque<Delayed>,
    pub(crate) learn_askers: Vec<LearnAsker>,
    /// When somebody told of a newer chosen value.
    pub(crate) newer_value_hint_at: Option<Time>,
    pub(crate) poll_at: Time,
    /// So many reads in a row found answers that differ.
    pub(crate) undecided_reads: u32,
    pub(crate) membership_at: Time,
    pub(crate) terminating: Option<Time>,
    pub(crate) random: Pcg64Mcg,
}

impl CoreNode {
    /// A process that starts with `image` on its disk.
    pub fn new(
        mut settings: CoreSettings,
        image: DiskImage,
        factory: ServiceFactory,
        now: Now,
        outbox: &mut Outbox,
    ) -> CoreNode {
        let node = settings.node;
        let mut random = Pcg64Mcg::seed_from_u64(own_seed(&settings));
        let content = ControlState::load(&image);
        let mut records = Records(image.records.into_iter().collect());
        if matches!(content, DiskContent::Damaged) {
            log::error!("what is on disk cannot be read: it counts as emptied");
            settings.bootstrap = false;
            records = Records::default();
        }
        let mut core = CoreNode {
            started: now.steady,
            now,
            factory,
            effects: Effects::default(),
            router: MessageRouter::new(node),
            membership_state: MembershipState::default(),
            register_view: RegisterView::default(),
            accepted_changes: AcceptedChanges::load(&image.control),
            changes_fetch: ChangesFetch::default(),
            acceptor: Acceptor::default(),
            proposer: Proposer::new(node, settings.incarnation, random.random()),
            reader: QuorumReader::new(random.random()),
            operator: Operator::new(settings.bounds.ack_ms),
            replica: Replica::new(node, now.steady, ReplicaState::default(), records),
            elections: Elections::new(node, settings.incarnation, random.random()),
            leadership: None,
            former_term_resignation: None,
            joiners: Joiners::default(),
            leases: Leases::default(),
            subscribers: Subscribers::default(),
            delayed: VecDeque::new(),
            learn_askers: Vec::new(),
            newer_value_hint_at: None,
            poll_at: now.steady,
            undecided_reads: 0,
            membership_at: now.steady,
            terminating: None,
            random,
            settings,
        };
        match content {
            DiskContent::State(state) => core.restore(*state),
            DiskContent::Empty | DiskContent::Damaged => core.begin_empty(now.steady),
        }
        core.settle_all(outbox);
        core
    }

    /// Whether this process is in the member list.
    pub(crate) fn takes_part(&self) -> bool {
        self.register_view.list.contains(self.settings.node)
    }

    fn restore(&mut self, state: ControlState) {
        self.acceptor.restore(state.proposals, state.value);
        self.proposer.observe_proposal(state.proposals.promised);
        self.elections.observe_term(state.replica.promise.term);
        let records = std::mem::take(&mut self.replica.records);
        self.replica = Replica::new(self.settings.node, self.started, state.replica, records);
        self.register_view.adopt_list(state.members.into());
        self.membership_state.ready = true;
        self.begin_sending_bootstrap();
        self.begin_resigning_former_term();
    }

    fn begin_empty(&mut self, now: Time) {
        let node = self.settings.node;
        let founder = self
            .settings
            .seeds
            .first()
            .is_none_or(|first| *first == node);
        if self.settings.bootstrap && founder {
            self.membership_state.bootstrap = Some(BootstrapCandidates::new(
                node,
                self.settings.tolerated_machines,
                now,
            ));
        }
    }

    /// Runs everything that is due until nothing is left to say to itself.
    fn settle_all(&mut self, outbox: &mut Outbox) {
        loop {
            self.step();
            self.router
                .flush(self.now.steady, &mut self.effects, outbox);
            let mut heard = false;
            while let Some(message) = self.router.next_own() {
                heard = true;
                self.on_message(self.settings.node, message);
            }
            if !heard {
                break;
            }
        }
        outbox.finished |= self.is_finished();
    }
}

/// Differs between processes and between their lives, also where they were given the same seed.
fn own_seed(settings: &CoreSettings) -> u64 {
    let place = (u64::from(settings.node.ip) << 16) | u64::from(settings.node.port);
    settings
        .seed
        .wrapping_mul(SEED_FACTOR)
        .wrapping_add(settings.incarnation.rotate_left(17))
        ^ place
}

impl Node for CoreNode {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        self.now = now;
        self.drop_spent_lease();
        match event {
            Event::Message { from, message } => self.on_remote_message(from, message),
            Event::Http {
                id,
                endpoint,
                request,
            } => self.on_http(id, endpoint, request),
            Event::HttpAbandoned { id } => self.operator.abandoned(id),
            Event::Synced { token } => self.router.synced(token),
            Event::HealthCheck { .. } | Event::Wake => {}
            Event::SeedsChanged(seeds) => self.settings.seeds = seeds,
            Event::Terminate => self.terminate(),
        }
        self.settle_all(outbox);
    }

    fn next_wake(&self) -> Option<Time> {
        self.earliest_wake()
    }
}
