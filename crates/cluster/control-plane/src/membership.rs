//! The membership of a process: how it obtains the state with which it takes part in agreement, by bootstrap or by
//! recovery of the state that an emptied disk may have held. A process that is not a member yet also recovers before it
//! is added.
//!
//! A process is *joining* until it knows what it may have promised, *recovering* while it asks the members for that,
//! and *active* once the state with which it takes part is synced to disk. Only an active process promises and accepts.

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
use crate::timing::{UNREADY_HELLO_MS, VIEW_OUTDATED_MS};

/// The maximum number of core processes outside the member list that a process remembers.
const MAX_UNLISTED_CONTACTS: usize = 16;

/// The membership of one process, from the start with an empty or restored disk until it is active.
#[derive(Debug)]
pub(crate) struct Membership {
    /// The address of this process.
    node: NodeId,
    /// The incarnation of this process, which is sent in hellos.
    incarnation: Incarnation,
    /// The core processes that this process contacts first.
    seeds: Vec<NodeId>,
    /// Whether the settings state that the cluster starts for the first time.
    may_bootstrap: bool,
    /// When this process started.
    started: Time,
    /// Whether this process knows its promises, and so may promise and accept.
    active: bool,
    /// Whether the state with which this process takes part is being written to disk.
    sync_pending: bool,
    /// The candidates for the first member list, at the bootstrapping process until it has chosen the members.
    bootstrap: Option<BootstrapCandidates>,
    /// The recovery in progress.
    recovery: Option<Recovery>,
    /// A member list that a recovery found in an accepted value and that is newer than the known one. The next recovery
    /// asks its members.
    recovered_list: MemberList,
    /// The members that have not acknowledged the bootstrap value.
    unacknowledged: BTreeSet<NodeId>,
    /// When the bootstrap value is sent next.
    bootstrap_send_at: Time,
    /// When the next hello is sent.
    hello_at: Time,
    /// The earliest time at which a process with an outdated register view requests a directory.
    directory_request_at: Time,
    /// Since when this process has known a member list without knowing its promises.
    listed_since: Option<Time>,
    /// Core processes that contacted this one and were not in the member list that it knew.
    unlisted_contacts: BTreeSet<NodeId>,
}

impl Membership {
    /// Creates the membership of a process that is not active yet.
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

    /// Starts with an empty disk: if the cluster starts for the first time, the first seed bootstraps it. Every other
    /// process waits for a member list.
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

    /// Starts with a disk that holds the promises and the accepted value of this process, which `register` has
    /// restored.
    pub(crate) fn start_restored(&mut self, register: &Register) {
        self.active = true;
        self.begin_sending_bootstrap(register);
    }

    /// Whether this process knows its promises, and so may promise and accept.
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Whether this process is asking the members for the promises that it may have made.
    pub(crate) fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Replaces the core processes that this process contacts first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// Sends hellos and directory requests, and runs the bootstrap and the recovery, each if it is due.
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

    /// When the next action of [`Membership::step`] is due.
    pub(crate) fn next_wake(&self, terminating: bool, register: &Register) -> Option<Time> {
        let hello = self
            .needs_hello(terminating, register)
            .then_some(self.hello_at);
        let directory_request = self.active.then(|| {
            self.view_outdated_at(register)
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

    /// Requests directories if the register view is outdated: all members that this process knows may have been
    /// replaced while it could not reach them.
    fn request_directory(&mut self, now: Time, register: &Register, effects: &mut Effects) {
        let due = self
            .view_outdated_at(register)
            .max(self.directory_request_at);
        if !self.active || now < due {
            return;
        }
        self.directory_request_at = now.plus_millis(HELLO_INTERVAL_MS);
        effects.broadcast(self.contacts(register), &ControlMessage::DirectoryRequest);
    }

    fn view_outdated_at(&self, register: &Register) -> Time {
        let fresh_as_of = register.view().fresh_as_of.unwrap_or(self.started);
        fresh_as_of.plus_millis(VIEW_OUTDATED_MS)
    }

    /// Handles a contact by another core process. A process that is not in the known member list may know a newer list:
    /// if it counts this process among the members, it can report that list. It is remembered, so that hellos and
    /// directory requests are sent to it.
    pub(crate) fn on_contact(&mut self, from: NodeId, members: &MemberList) {
        if members.contains(from) {
            return;
        }
        if self.unlisted_contacts.len() >= MAX_UNLISTED_CONTACTS {
            self.unlisted_contacts.pop_first();
        }
        self.unlisted_contacts.insert(from);
    }

    /// Handles the hello of a core process.
    pub(crate) fn on_hello(&mut self, now: Time, from: NodeId, members: &MemberList) {
        self.on_contact(from, members);
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.on_hello(now, from);
        }
    }

    /// All core processes that this process knows except itself.
    fn contacts(&self, register: &Register) -> BTreeSet<NodeId> {
        let mut contacts: BTreeSet<NodeId> = self.seeds.iter().copied().collect();
        contacts.extend(register.members().all());
        contacts.extend(&self.unlisted_contacts);
        contacts.remove(&self.node);
        contacts
    }

    /// Writes the state with which this process takes part. The accepted value may not be chosen, so the member list
    /// that is written is the known one and not that of the accepted value.
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

    /// Handles the notification that another process has synced the bootstrap value, or that this process has synced
    /// its state or an accepted value.
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
        self.start_participating(register, effects)
    }

    /// Makes the proposer use proposal numbers above the promised one. The bootstrapping process also learns its
    /// bootstrap value and starts to send it to the other members.
    fn start_participating(
        &mut self,
        register: &mut Register,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        let accepted = register.accepted_value()?;
        register.observe_own_promise();
        if !self.is_bootstrapped_here(register) {
            return None;
        }
        let update = register.learn(accepted, effects);
        self.begin_sending_bootstrap(register);
        update
    }
}
