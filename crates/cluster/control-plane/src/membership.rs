//! How a process comes to take part: by bootstrap, or by recovery of what an empty disk may have held. A process that is
//! no member yet recovers as well, before it is added.
//!
//! A process is *joining* until it knows what it may have promised, *recovering* while it asks the members for that, and
//! *active* once the state with which it takes part is on disk. Only an active process promises and accepts.

mod bootstrapping;
mod recovering;

use std::collections::BTreeSet;

use sagetrail_protocol::control::{ControlMessage, ProposalNumber, StateSynced};
use sagetrail_protocol::directory::{Hello, HELLO_INTERVAL_MS};
use sagetrail_protocol::{Incarnation, Message, NodeId, NodeKind, Time};

use crate::bootstrap::BootstrapCandidates;
use crate::effects::Effects;
use crate::persisted::{put_members, put_replica, StoredMembers};
use crate::quorum::MemberList;
use crate::recovery::Recovery;
use crate::register::{Register, ViewUpdate};
use crate::settings::CoreSettings;
use crate::terms::Terms;
use crate::timing::{OUT_OF_TOUCH_MS, UNREADY_HELLO_MS};

/// The most core processes outside the member list that are remembered.
const MAX_UNLISTED_CONTACTS: usize = 16;

/// The membership of one process: its way from an empty or restored disk to taking part.
#[derive(Debug)]
pub(crate) struct Membership {
    node: NodeId,
    incarnation: Incarnation,
    /// Core processes to start from.
    seeds: Vec<NodeId>,
    /// Whether the cluster starts for the first time, as far as the settings say.
    may_bootstrap: bool,
    started: Time,
    /// What the process once promised is known: it may promise and accept.
    active: bool,
    /// The state with which the process takes part is being written.
    sync_pending: bool,
    /// At the bootstrapping process, until it has fixed the members.
    bootstrap: Option<BootstrapCandidates>,
    recovery: Option<Recovery>,
    /// A member list, newer than the one known, that the recovery found in an accepted value.
    recovered_list: MemberList,
    /// Members that have not acknowledged the bootstrap value.
    unacknowledged: BTreeSet<NodeId>,
    bootstrap_send_at: Time,
    hello_at: Time,
    /// A process that is out of touch requests a directory no earlier than this.
    directory_request_at: Time,
    /// Since when the process has known a member list without knowing what it promised.
    listed_since: Option<Time>,
    /// Core processes that contacted this one and were no members as far as it knew.
    unlisted_contacts: BTreeSet<NodeId>,
}

impl Membership {
    /// A process that does not take part yet.
    pub(crate) fn new(settings: &CoreSettings, started: Time) -> Membership {
        Membership {
            node: settings.node,
            incarnation: settings.incarnation,
            seeds: settings.seeds.clone(),
            may_bootstrap: settings.bootstrap,
            started,
            active: false,
            sync_pending: false,
            bootstrap: None,
            recovery: None,
            recovered_list: MemberList::default(),
            unacknowledged: BTreeSet::new(),
            bootstrap_send_at: Time::default(),
            hello_at: Time::default(),
            directory_request_at: Time::default(),
            listed_since: None,
            unlisted_contacts: BTreeSet::new(),
        }
    }

    /// The disk is empty: the first seed bootstraps the cluster, every other process waits for a member list.
    pub(crate) fn start_empty(&mut self, tolerated_machines: u32) {
        let is_first_seed = self.seeds.first().is_none_or(|first| *first == self.node);
        if self.may_bootstrap && is_first_seed {
            self.bootstrap = Some(BootstrapCandidates::new(
                self.node,
                tolerated_machines,
                self.started,
            ));
        }
    }

    /// The disk holds what this process promised and accepted, and `register` has taken it up.
    pub(crate) fn start_restored(&mut self, register: &Register) {
        self.active = true;
        self.begin_sending_bootstrap(register);
    }

    /// Whether this process knows what it promised, and so may promise and accept.
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Whether this process is asking the members what it may have promised.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Other processes to start from.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// Hellos, the bootstrap and the recovery, as far as they are due.
    pub(crate) fn step(
        &mut self,
        now: Time,
        terminating: bool,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        self.send_hello(now, terminating, register, effects);
        self.request_directory(now, register, effects);
        self.bootstrap_cluster(now, register, terms, effects);
        self.send_bootstrap(now, register, effects);
        self.recover(now, register, effects);
    }

    /// When one of them is due.
    pub(crate) fn next_wake(&self, terminating: bool, register: &Register) -> Option<Time> {
        let hello = self
            .needs_hello(terminating, register)
            .then_some(self.hello_at);
        let directory_request = self.active.then(|| {
            self.out_of_touch_at(register)
                .max(self.directory_request_at)
        });
        let bootstrap = self.bootstrap.as_ref().map(BootstrapCandidates::due_at);
        let bootstrap_send = (!self.unacknowledged.is_empty()).then_some(self.bootstrap_send_at);
        let recovery = match &self.recovery {
            Some(recovery) => Some(recovery.next_wake()),
            None => self.recovery_due(),
        };
        [
            hello,
            directory_request,
            bootstrap,
            bootstrap_send,
            recovery,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn needs_hello(&self, terminating: bool, register: &Register) -> bool {
        let is_member = register.members().contains(self.node);
        !terminating && (!self.active || !is_member)
    }

    fn send_hello(
        &mut self,
        now: Time,
        terminating: bool,
        register: &Register,
        effects: &mut Effects,
    ) {
        if !self.needs_hello(terminating, register) || now < self.hello_at {
            return;
        }
        let interval_ms = if self.active {
            HELLO_INTERVAL_MS
        } else {
            UNREADY_HELLO_MS
        };
        self.hello_at = now.plus_millis(interval_ms);
        let hello = Message::Hello(Hello {
            kind: NodeKind::Core,
            incarnation: self.incarnation,
            config_version: register.view().config_version(),
        });
        let contacts = self.contacts(register).into_iter();
        effects
            .sends
            .extend(contacts.map(|node| (node, hello.clone())));
    }

    /// All members that this process knows may have been replaced while it was away.
    fn request_directory(&mut self, now: Time, register: &Register, effects: &mut Effects) {
        let due = self
            .out_of_touch_at(register)
            .max(self.directory_request_at);
        if !self.active || now < due {
            return;
        }
        self.directory_request_at = now.plus_millis(HELLO_INTERVAL_MS);
        effects.broadcast(self.contacts(register), &ControlMessage::DirectoryRequest);
    }

    fn out_of_touch_at(&self, register: &Register) -> Time {
        let in_touch_at = register.view().fresh_as_of.unwrap_or(self.started);
        in_touch_at.plus_millis(OUT_OF_TOUCH_MS)
    }

    /// Another core process contacted this one. One that is no member as far as this process knows may know newer
    /// members: whoever counts this process among them can report who they are.
    pub(crate) fn on_contact(&mut self, from: NodeId, members: &MemberList) {
        if members.contains(from) {
            return;
        }
        if self.unlisted_contacts.len() >= MAX_UNLISTED_CONTACTS {
            self.unlisted_contacts.pop_first();
        }
        self.unlisted_contacts.insert(from);
    }

    /// A core process said hello.
    pub(crate) fn on_hello(&mut self, now: Time, from: NodeId, members: &MemberList) {
        self.on_contact(from, members);
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.on_hello(now, from);
        }
    }

    /// Core processes that this process knows of, itself apart.
    fn contacts(&self, register: &Register) -> BTreeSet<NodeId> {
        let mut contacts: BTreeSet<NodeId> = self.seeds.iter().copied().collect();
        contacts.extend(register.members().all());
        contacts.extend(&self.unlisted_contacts);
        contacts.remove(&self.node);
        contacts
    }

    /// Writes what the process takes part with. The accepted value may not be chosen, so the list is the known one.
    fn write_state(
        &mut self,
        proposal: ProposalNumber,
        notified: Option<NodeId>,
        register: &Register,
        terms: &Terms,
        effects: &mut Effects,
    ) {
        self.sync_pending = true;
        let mut operations = register.acceptor().operations();
        operations.push(put_replica(terms.replica_state()));
        operations.push(put_members(&StoredMembers::from(register.members())));
        let synced = ControlMessage::StateSynced(StateSynced { proposal });
        let then = notified
            .into_iter()
            .chain([self.node])
            .map(|listener| (listener, synced.clone()))
            .collect();
        effects.write(operations, then);
    }

    /// A process has synced the state with which it takes part, or this process an accepted value.
    pub(crate) fn on_state_synced(
        &mut self,
        from: NodeId,
        synced: &StateSynced,
        register: &mut Register,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        if from != self.node {
            self.unacknowledged.remove(&from);
            return None;
        }
        register.on_value_synced(synced.proposal);
        if !self.sync_pending {
            return None;
        }
        self.sync_pending = false;
        self.active = true;
        self.begin_to_take_part(register, effects)
    }

    fn begin_to_take_part(
        &mut self,
        register: &mut Register,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        let accepted = register.accepted_value()?;
        register.observe_own_promise();
        if !self.bootstrapped_here(register) {
            return None;
        }
        let update = register.learn(accepted, effects);
        self.begin_sending_bootstrap(register);
        update
    }
}
