//! One core process: its parts, and the order in which they handle an event.
//!
//! Each part owns its state and accesses other parts only through the arguments that the methods here pass to it. Only
//! this file and its submodules know all parts. A part adds its messages, writes and replies to [`Effects`]. After an
//! event has been handled, [`MessageRouter`] addresses them.

mod messages;
mod non_members;
mod steps;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use sagetrail_protocol::node::{DiskImage, Event, Node, Now, Outbox};
use sagetrail_protocol::service::ServiceFactory;
use sagetrail_protocol::{NodeId, Time};

use crate::accepted_changes::AcceptedChanges;
use crate::effects::Effects;
use crate::leases::Leases;
use crate::membership::Membership;
use crate::operator::OperatorRequests;
use crate::pending_requests::PendingRequests;
use crate::persisted::{ControlState, DiskContent};
use crate::reconfiguration::Reconfiguration;
use crate::records::Records;
use crate::register::{Register, RegisterOptions};
use crate::routing::MessageRouter;
use crate::settings::CoreSettings;
use crate::subscribers::Subscribers;
use crate::termination::{Succession, Termination};
use crate::terms::{Terms, TermsOptions};

/// An odd multiplier that spreads similar seeds: the fractional part of the golden ratio, in units of 2^-64.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The logic of one core process.
pub struct CoreNode {
    /// The address of this process.
    node: NodeId,
    /// The time of the current event.
    now: Now,
    /// The compare-and-swap register with its acceptor, proposer, reader and register view.
    register: Register,
    /// Whether the process participates, and the steps until it does.
    membership: Membership,
    /// The replica, the elections, and the term that this process leads.
    terms: Terms,
    /// The membership changes that this process proposes as the leader.
    reconfiguration: Reconfiguration,
    /// The operator's requests.
    operator: OperatorRequests,
    /// The requests that wait until the register has been read again.
    pending: PendingRequests,
    /// The membership leases of the processes outside the core.
    leases: Leases,
    /// The processes that are sent each new configuration.
    subscribers: Subscribers,
    /// The state of the termination after SIGTERM.
    termination: Termination,
    /// The effects of the current event.
    effects: Effects,
    /// Addresses the effects.
    router: MessageRouter,
}

impl CoreNode {
    /// Starts a process with `image` as the content of its disk.
    pub fn new(
        mut settings: CoreSettings,
        image: DiskImage,
        factory: ServiceFactory,
        now: Now,
        outbox: &mut Outbox,
    ) -> CoreNode {
        let content = ControlState::load(&image);
        let accepted_changes = AcceptedChanges::load(&image.control);
        let mut records = Records(image.records.into_iter().collect());
        if matches!(content, DiskContent::Damaged) {
            log::error!(
                "disk content is damaged and counts as empty: node={}",
                settings.node
            );
            settings.bootstrap = false;
            records = Records::default();
        }
        let mut core = CoreNode::with_parts(&settings, accepted_changes, records, factory, now);
        match content {
            DiskContent::State(state) => core.restore(&state),
            DiskContent::Empty | DiskContent::Damaged => {
                core.membership.start_empty(settings.tolerated_machines);
            }
        }
        core.run_until_idle(outbox);
        core
    }

    /// Returns whether this process has the register's value and all accepted changes that the members know.
    pub fn changes_caught_up(&self) -> bool {
        self.register.is_caught_up()
    }

    fn with_parts(
        settings: &CoreSettings,
        accepted_changes: AcceptedChanges,
        records: Records,
        factory: ServiceFactory,
        now: Now,
    ) -> CoreNode {
        let node = settings.node;
        let incarnation = settings.incarnation;
        let started = now.steady;
        let mut random = Pcg64Mcg::seed_from_u64(process_seed(settings));
        let register = Register::new(RegisterOptions {
            node,
            incarnation,
            proposer_seed: random.random(),
            reader_seed: random.random(),
            accepted_changes,
            now: started,
        });
        let terms = Terms::new(TermsOptions {
            node,
            incarnation,
            started,
            records,
            election_seed: random.random(),
            factory,
            random,
        });
        CoreNode {
            node,
            now,
            register,
            membership: Membership::new(settings, started),
            terms,
            reconfiguration: Reconfiguration::new(settings.tolerated_machines, started),
            operator: OperatorRequests::new(settings.bounds.ack_ms),
            pending: PendingRequests::default(),
            leases: Leases::default(),
            subscribers: Subscribers::default(),
            termination: Termination::new(node, settings.bounds.grace_s),
            effects: Effects::default(),
            router: MessageRouter::new(node),
        }
    }

    fn restore(&mut self, state: &ControlState) {
        self.register.restore(state);
        self.membership.start_restored(&self.register);
        self.terms.restore(state.replica);
    }

    /// Runs the due steps until no message of this process to itself is left.
    fn run_until_idle(&mut self, outbox: &mut Outbox) {
        loop {
            self.step();
            self.router
                .flush(self.now.steady, &mut self.effects, outbox);
            let mut received = false;
            while let Some(message) = self.router.next_own_message() {
                received = true;
                self.on_message(self.node, message);
            }
            if !received {
                break;
            }
        }
        outbox.finished |= self.is_finished();
    }

    /// Handles SIGTERM.
    fn terminate(&mut self) {
        let now = self.now.steady;
        let successor_waits = self.succession().has_joiner(now);
        self.termination.request(now, successor_waits);
        if !self.may_lead() {
            self.step_down();
        }
    }

    /// Returns the member list and the joining processes, which determine whether this member may leave.
    fn succession(&self) -> Succession<'_> {
        Succession {
            members: self.register.members(),
            joiners: self.reconfiguration.joiners(),
        }
    }

    fn may_lead(&self) -> bool {
        self.termination
            .may_lead(self.now.steady, self.succession())
    }

    fn is_finished(&self) -> bool {
        let is_idle = self.operator.is_idle();
        self.termination
            .is_finished(self.now.steady, is_idle, self.succession())
    }

    /// Resigns the term, so that the other members can elect a leader at once.
    fn step_down(&mut self) {
        let members = self.register.members();
        self.terms
            .step_down(self.now.steady, members, &mut self.effects);
    }
}

/// Returns a seed that differs between processes and between their incarnations, even if their settings have the same
/// seed.
fn process_seed(settings: &CoreSettings) -> u64 {
    let address = (u64::from(settings.node.ip) << 16) | u64::from(settings.node.port);
    settings
        .seed
        .wrapping_mul(SEED_FACTOR)
        .wrapping_add(settings.incarnation.rotate_left(17))
        ^ address
}

impl Node for CoreNode {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        self.now = now;
        self.terms.end_expired_term(now.steady);
        match event {
            Event::Message { from, message } => self.on_remote_message(from, message),
            Event::Http {
                id,
                endpoint,
                request,
            } => self.on_http(id, endpoint, request),
            Event::HttpAbandoned { id } => self.operator.on_abandoned(id),
            Event::Synced { token } => self.router.on_synced(token),
            Event::HealthCheck { .. } | Event::Wake => {}
            Event::SeedsChanged(seeds) => self.membership.set_seeds(seeds),
            Event::Terminate => self.terminate(),
        }
        self.run_until_idle(outbox);
    }

    fn next_wake(&self) -> Option<Time> {
        self.earliest_wake()
    }
}
