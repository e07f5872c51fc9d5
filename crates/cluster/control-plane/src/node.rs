//! One core process: its parts, and the order in which an event goes through them.
//!
//! Each part owns its state and reaches the others only by what the methods here pass to it: this file and its submodules
//! are the only ones that know all parts. A part writes what it wants sent, stored and answered into [`Effects`]; once an
//! event is done, [`MessageRouter`] addresses these.

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

/// Spreads seeds (the fraction of the golden ratio, odd).
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The logic of one core process.
pub struct CoreNode {
    node: NodeId,
    now: Now,
    /// The compare-and-swap register: acceptor, proposer, reader, register view.
    register: Register,
    /// Whether the process takes part, and how it comes to.
    membership: Membership,
    /// Replica, elections, and the term that this process leads.
    terms: Terms,
    /// The changes of members that this process proposes as a leader.
    reconfiguration: Reconfiguration,
    /// The operator's requests.
    operator: OperatorRequests,
    /// Requests that wait until the register was read again.
    pending: PendingRequests,
    /// Leases of membership of the processes outside the core.
    leases: Leases,
    /// Who is sent each new configuration.
    subscribers: Subscribers,
    termination: Termination,
    effects: Effects,
    router: MessageRouter,
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

    /// Whether this process knows the register's value and, as far as the members can tell, all accepted changes.
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
        let mut random = Pcg64Mcg::seed_from_u64(own_seed(settings));
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

    /// Runs everything that is due until no message of this process to itself is left.
    fn run_until_idle(&mut self, outbox: &mut Outbox) {
        loop {
            self.step();
            self.router
                .flush(self.now.steady, &mut self.effects, outbox);
            let mut received = false;
            while let Some(message) = self.router.next_own() {
                received = true;
                self.on_message(self.node, message);
            }
            if !received {
                break;
            }
        }
        outbox.finished |= self.is_finished();
    }

    /// SIGTERM was received.
    fn terminate(&mut self) {
        let now = self.now.steady;
        let successor_waits = self.succession().has_joiner(now);
        self.termination.request(now, successor_waits);
        if !self.may_lead() {
            self.step_down();
        }
    }

    /// On what it depends whether this member may leave.
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

    /// Gives the term up and lets the others elect at once.
    fn step_down(&mut self) {
        let members = self.register.members();
        self.terms
            .step_down(self.now.steady, members, &mut self.effects);
    }
}

/// Differs between processes and between their incarnations, also where they were given the same seed.
fn own_seed(settings: &CoreSettings) -> u64 {
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
            Event::Synced { token } => self.router.synced(token),
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
