//! How a process comes to take part: by bootstrap, or by recovery of what an empty disk may have held. A process that is
//! no member yet recovers as well, before it is added.
//!
//! A process is *joining* until it knows what it may have promised, *recovering* while it asks the members for that, and
//! *active* once the state with which it takes part is on disk. Only an active process promises and accepts.

use crate::bootstrap::BootstrapCandidates;
use crate::effects::Effects;
use crate::persisted::{put_members, put_replica, AcceptorNumbers, StoredMembers};
use crate::quorum::MemberList;
use crate::recovery::{Recovered, Recovery};
use crate::register::{Register, ViewUpdate};
use crate::settings::CoreSettings;
use crate::terms::Terms;
use crate::timing::{BOOTSTRAP_GRACE_MS, LEASE_MS, OUT_OF_TOUCH_MS, RESEND_MS, UNREADY_HELLO_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::control::{
    Bootstrap, ControlMessage, Promise, ProposalNumber, RecoverReply, Refused, StateSynced,
};
use sagetrail_protocol::directory::{Hello, HELLO_INTERVAL_MS};
use sagetrail_protocol::{Blob, Incarnation, Message, NodeId, NodeKind, Time};
use std::collections::BTreeSet;

/// The bootstrap value's proposal number has this counter; every later one a higher one.
const BOOTSTRAP_COUNTER: u64 = 1;

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
        register.value_synced(synced.proposal);
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
        register.note_own_promise();
        if !self.bootstrapped_here(register) {
            return None;
        }
        let update = register.learn(accepted, effects);
        self.begin_sending_bootstrap(register);
        update
    }
}

/// The bootstrap of the cluster.
impl Membership {
    fn bootstrap_cluster(
        &mut self,
        now: Time,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        let Some(value) = self
            .bootstrap
            .as_ref()
            .and_then(|bootstrap| bootstrap.due(now))
        else {
            return;
        };
        self.bootstrap = None;
        let proposal = ProposalNumber {
            counter: BOOTSTRAP_COUNTER,
            node: self.node,
            incarnation: self.incarnation,
        };
        let bootstrap = Bootstrap {
            proposal,
            value: Blob(value.encode()),
        };
        self.adopt_bootstrap(bootstrap, None, register, terms, effects);
    }

    /// The bootstrapping process sent the cluster's first value.
    pub(crate) fn on_bootstrap(
        &mut self,
        from: NodeId,
        bootstrap: Bootstrap,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        if self.active {
            let synced = ControlMessage::StateSynced(StateSynced {
                proposal: bootstrap.proposal,
            });
            return effects.control(from, synced);
        }
        let busy = self.sync_pending || self.recovery.is_some();
        if self.may_bootstrap && !busy {
            self.adopt_bootstrap(bootstrap, Some(from), register, terms, effects);
        }
    }

    fn adopt_bootstrap(
        &mut self,
        bootstrap: Bootstrap,
        sender: Option<NodeId>,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        let Ok(value) = RegisterValue::decode(&bootstrap.value) else {
            return;
        };
        let proposal = bootstrap.proposal;
        let proposals = AcceptorNumbers {
            promised: proposal,
            accepted: proposal,
        };
        register.adopt(proposals, bootstrap.value);
        terms.records_are_complete();
        register.adopt_members(value.member_list());
        self.write_state(proposal, sender, register, terms, effects);
    }

    fn bootstrapped_here(&self, register: &Register) -> bool {
        let proposal = register.acceptor().proposals.accepted;
        proposal.counter == BOOTSTRAP_COUNTER && proposal.node == self.node
    }

    /// The bootstrapping process sends its value to all others until each has acknowledged it, also after a restart.
    fn begin_sending_bootstrap(&mut self, register: &Register) {
        if !self.bootstrapped_here(register) {
            return;
        }
        self.unacknowledged = register.members().all();
        self.unacknowledged.remove(&self.node);
    }

    fn send_bootstrap(&mut self, now: Time, register: &Register, effects: &mut Effects) {
        if self.unacknowledged.is_empty() || now < self.bootstrap_send_at {
            return;
        }
        if !self.bootstrapped_here(register) {
            // A later value was accepted, so a majority has the bootstrap; the others recover.
            return self.unacknowledged.clear();
        }
        self.bootstrap_send_at = now.plus_millis(RESEND_MS);
        let bootstrap = ControlMessage::Bootstrap(Bootstrap {
            proposal: register.acceptor().proposals.accepted,
            value: register.acceptor().value.clone(),
        });
        effects.broadcast(self.unacknowledged.iter().copied(), &bootstrap);
    }
}

/// The recovery of what an emptied disk may have held.
impl Membership {
    fn knows_its_promises(&self) -> bool {
        self.active || self.sync_pending
    }

    /// A lease that the process may have granted in its former incarnation is over by then, and so are votes of it.
    fn recovery_due(&self) -> Option<Time> {
        if self.knows_its_promises() {
            return None;
        }
        let grace_ms = if self.may_bootstrap {
            BOOTSTRAP_GRACE_MS
        } else {
            0
        };
        let grace_ends = self.listed_since?.plus_millis(grace_ms);
        Some(grace_ends.max(self.started.plus_millis(LEASE_MS)))
    }

    fn recover(&mut self, now: Time, register: &Register, effects: &mut Effects) {
        if self.knows_its_promises() || !register.has_members() {
            self.recovery = None;
            self.listed_since = None;
            return;
        }
        self.listed_since = self.listed_since.or(Some(now));
        if self.recovery_due().is_none_or(|due| now < due) {
            return;
        }
        let starts_anew = self
            .recovery
            .as_mut()
            .is_none_or(|recovery| recovery.tick(now, effects));
        if starts_anew {
            let known = register.members();
            let list = if self.recovered_list.version > known.version {
                &self.recovered_list
            } else {
                known
            };
            let recovery = Recovery::start(self.node, self.incarnation, list, now, effects);
            self.recovery = Some(recovery);
        }
    }

    /// A member reported its highest promises.
    pub(crate) fn on_recover_reply(
        &mut self,
        from: NodeId,
        reply: &RecoverReply,
        effects: &mut Effects,
    ) {
        if let Some(recovery) = &mut self.recovery {
            recovery.reply(from, reply, effects);
        }
    }

    /// A member promised the recovery's proposal number.
    pub(crate) fn on_promise(
        &mut self,
        from: NodeId,
        promise: Promise,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        let recovered = self
            .recovery
            .as_mut()
            .and_then(|recovery| recovery.promised(from, promise));
        if let Some(recovered) = recovered {
            self.take_up_recovered(recovered, register, terms, effects);
        }
    }

    /// A member has promised a higher proposal number than the recovery's.
    pub(crate) fn on_rejected(&mut self, refused: &Refused) {
        if let Some(recovery) = &mut self.recovery {
            recovery.refused(refused);
        }
    }

    /// The others reported what this process may have promised.
    fn take_up_recovered(
        &mut self,
        recovered: Recovered,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        let Ok(value) = RegisterValue::decode(&recovered.value) else {
            return;
        };
        self.recovery = None;
        if value.members_version > recovered.members_version {
            // Members that are not among those asked may know of later promises.
            self.recovered_list = value.member_list();
            return;
        }
        let proposal = recovered.proposals.accepted;
        register.adopt(recovered.proposals, recovered.value);
        terms.adopt_promised_term(recovered.term);
        self.write_state(proposal, None, register, terms, effects);
    }
}
