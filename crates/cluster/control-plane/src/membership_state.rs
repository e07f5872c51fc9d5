//! How a process comes to take part: bootstrap, or recovery of what an empty disk may have held. A process that is no
//! member yet recovers as well, before it is added.

use crate::bootstrap::BootstrapCandidates;
use crate::effects::Effects;
use crate::node::CoreNode;
use crate::persisted::{put_members, put_replica, AcceptorNumbers, StoredMembers, TermPromise};
use crate::quorum::MemberList;
use crate::recovery::{Recovered, Recovery};
use crate::register_view::Chosen;
use crate::timing::{BOOTSTRAP_GRACE_MS, LEASE_MS, OUT_OF_TOUCH_MS, RESEND_MS, UNREADY_HELLO_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::control::{Bootstrap, ControlMessage, ProposalNumber, StateSynced};
use sagetrail_protocol::directory::{Hello, HELLO_INTERVAL_MS};
use sagetrail_protocol::{Blob, Message, NodeId, NodeKind, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The bootstrap value's proposal number has this counter; every later one a higher one.
const BOOTSTRAP_COUNTER: u64 = 1;

/// So many processes that spoke are remembered.
const MAX_HEARD: usize = 16;

/// Where a process stands on its way to taking part.
#[derive(Debug, Default)]
pub(crate) struct MembershipState {
    /// True: what it once promised is known, it may promise and accept.
    pub ready: bool,
    /// At the bootstrapping process, until it founds.
    pub bootstrap: Option<BootstrapCandidates>,
    pub recovery: Option<Recovery>,
    /// A member list, newer than the one known, that the recovery found in an accepted value.
    pub found_list: MemberList,
    /// Members that the bootstrapping process has yet to tell.
    pub unacknowledged: BTreeSet<NodeId>,
    pub send_at: Time,
    pub hello_at: Time,
    /// Not before, a process that is out of touch asks again who the members are.
    pub ask_at: Time,
    /// Since when the process has known a member list without knowing what it promised.
    pub listed_since: Option<Time>,
    /// What the process is to take part with is being written.
    pub settling: bool,
    /// Core processes that spoke to this one and were no members as far as it knew.
    heard: BTreeSet<NodeId>,
}

impl MembershipState {
    /// A core process spoke. Whoever counts this process among the members can tell it who they are.
    pub(crate) fn hear(&mut self, node: NodeId) {
        if self.heard.len() >= MAX_HEARD {
            self.heard.pop_first();
        }
        self.heard.insert(node);
    }
}

impl CoreNode {
    /// Hellos, the bootstrap and the recovery, as far as they are due.
    pub(crate) fn step_membership_state(&mut self, now: Time) {
        self.say_hello(now);
        self.ask_for_members(now);
        self.found(now);
        self.send_bootstrap(now);
        self.recover(now);
    }

    /// When one of them is due.
    pub(crate) fn membership_state_wake(&self) -> Option<Time> {
        let membership_state = &self.membership_state;
        let hello = self.needs_hello().then_some(membership_state.hello_at);
        let out_of_touch = membership_state
            .ready
            .then(|| self.out_of_touch_at().max(membership_state.ask_at));
        let bootstrap = membership_state
            .bootstrap
            .as_ref()
            .map(BootstrapCandidates::due_at);
        let tell =
            (!membership_state.unacknowledged.is_empty()).then_some(membership_state.send_at);
        let recovery = match &membership_state.recovery {
            Some(recovery) => Some(recovery.next_wake()),
            None => self.recovery_due(),
        };
        [hello, out_of_touch, bootstrap, tell, recovery]
            .into_iter()
            .flatten()
            .min()
    }

    fn needs_hello(&self) -> bool {
        self.terminating.is_none() && (!self.membership_state.ready || !self.takes_part())
    }

    fn say_hello(&mut self, now: Time) {
        if !self.needs_hello() || now < self.membership_state.hello_at {
            return;
        }
        let interval_ms = if self.membership_state.ready {
            HELLO_INTERVAL_MS
        } else {
            UNREADY_HELLO_MS
        };
        self.membership_state.hello_at = now.plus_millis(interval_ms);
        let incarnation = self.settings.incarnation;
        let config_version = self.register_view.config_version();
        let hello = Message::Hello(Hello {
            kind: NodeKind::Core,
            incarnation,
            config_version,
        });
        let known = self.known_core().into_iter();
        self.effects
            .sends
            .extend(known.map(|node| (node, hello.clone())));
    }

    /// All members that this process knows may have been replaced while it was away.
    fn ask_for_members(&mut self, now: Time) {
        let due = self.out_of_touch_at().max(self.membership_state.ask_at);
        if !self.membership_state.ready || now < due {
            return;
        }
        self.membership_state.ask_at = now.plus_millis(HELLO_INTERVAL_MS);
        let known = self.known_core();
        self.effects
            .broadcast(known, &ControlMessage::DirectoryRequest);
    }

    fn out_of_touch_at(&self) -> Time {
        let heard = self.register_view.fresh_as_of.unwrap_or(self.started);
        heard.plus_millis(OUT_OF_TOUCH_MS)
    }

    /// Another core process spoke to this one. One that is no member as far as this process knows may know newer ones.
    pub(crate) fn hear_core(&mut self, from: NodeId) {
        if !self.register_view.list.contains(from) {
            self.membership_state.hear(from);
        }
    }

    /// Core processes that this process has been told of, itself apart.
    fn known_core(&self) -> BTreeSet<NodeId> {
        let mut known: BTreeSet<NodeId> = self.settings.seeds.iter().copied().collect();
        known.extend(self.register_view.list.all());
        known.extend(&self.membership_state.heard);
        known.remove(&self.settings.node);
        known
    }

    fn found(&mut self, now: Time) {
        let due = self
            .membership_state
            .bootstrap
            .as_ref()
            .and_then(|bootstrap| bootstrap.due(now));
        let Some(value) = due else { return };
        self.membership_state.bootstrap = None;
        let settings = &self.settings;
        let proposal = ProposalNumber {
            counter: BOOTSTRAP_COUNTER,
            node: settings.node,
            incarnation: settings.incarnation,
        };
        self.adopt_bootstrap(proposal, Blob(value.encode()), None);
    }

    fn adopt_bootstrap(&mut self, proposal: ProposalNumber, bytes: Blob, teller: Option<NodeId>) {
        let Ok(value) = RegisterValue::decode(&bytes) else {
            return;
        };
        self.acceptor.adopt(
            AcceptorNumbers {
                promised: proposal,
                accepted: proposal,
            },
            bytes,
        );
        self.replica.state.complete = true;
        self.register_view.adopt_list(value.member_list());
        self.settle(proposal, teller);
    }

    /// Writes what the process takes part with. The accepted value may not be chosen, so the list is the known one.
    fn settle(&mut self, proposal: ProposalNumber, teller: Option<NodeId>) {
        self.membership_state.settling = true;
        let members = StoredMembers::from(&self.register_view.list);
        let mut operations = self.acceptor.operations();
        operations.push(put_replica(&self.replica.state));
        operations.push(put_members(&members));
        let settled = ControlMessage::StateSynced(StateSynced { proposal });
        let listeners = teller.into_iter().chain([self.settings.node]);
        let then = listeners
            .map(|listener| (listener, settled.clone()))
            .collect();
        self.effects.write(operations, then);
    }

    /// The bootstrapping process tells the cluster's first value.
    pub(crate) fn on_bootstrap(&mut self, from: NodeId, found: Bootstrap) {
        if self.membership_state.ready {
            let settled = ControlMessage::StateSynced(StateSynced {
                proposal: found.proposal,
            });
            return self.effects.control(from, settled);
        }
        let busy = self.membership_state.settling || self.membership_state.recovery.is_some();
        if self.settings.bootstrap && !busy {
            self.adopt_bootstrap(found.proposal, found.value, Some(from));
        }
    }

    /// A process has synced what it takes part with, or this process a value.
    pub(crate) fn on_settled(&mut self, from: NodeId, settled: &StateSynced) {
        if from != self.settings.node {
            self.membership_state.unacknowledged.remove(&from);
            return;
        }
        self.acceptor.on_synced(settled.proposal);
        if self.membership_state.settling {
            self.membership_state.settling = false;
            self.membership_state.ready = true;
            self.begin_to_take_part();
        }
    }

    fn begin_to_take_part(&mut self) {
        let Ok(value) = RegisterValue::decode(&self.acceptor.value) else {
            return;
        };
        self.proposer
            .observe_proposal(self.acceptor.proposals.promised);
        let proposal = self.acceptor.proposals.accepted;
        if self.bootstrapped_here() {
            self.learn(Chosen {
                proposal,
                value: Arc::new(value),
            });
            self.begin_sending_bootstrap();
        }
    }

    fn bootstrapped_here(&self) -> bool {
        let proposal = self.acceptor.proposals.accepted;
        proposal.counter == BOOTSTRAP_COUNTER && proposal.node == self.settings.node
    }

    /// The bootstrapping process tells all others until each has answered, also after a restart.
    pub(crate) fn begin_sending_bootstrap(&mut self) {
        if !self.bootstrapped_here() {
            return;
        }
        self.membership_state.unacknowledged = self.register_view.list.all();
        self.membership_state
            .unacknowledged
            .remove(&self.settings.node);
    }

    fn send_bootstrap(&mut self, now: Time) {
        if self.membership_state.unacknowledged.is_empty() || now < self.membership_state.send_at {
            return;
        }
        if !self.bootstrapped_here() {
            // A later value was accepted, so a majority has the bootstrap; the others recover.
            return self.membership_state.unacknowledged.clear();
        }
        self.membership_state.send_at = now.plus_millis(RESEND_MS);
        let found = Bootstrap {
            proposal: self.acceptor.proposals.accepted,
            value: self.acceptor.value.clone(),
        };
        let unacknowledged = self.membership_state.unacknowledged.clone();
        self.effects
            .broadcast(unacknowledged, &ControlMessage::Bootstrap(found));
    }

    fn knows_its_promises(&self) -> bool {
        self.membership_state.ready || self.membership_state.settling
    }

    /// A lease that the process may have granted in its former life is over by then, and so are votes of it.
    fn recovery_due(&self) -> Option<Time> {
        if self.knows_its_promises() {
            return None;
        }
        let listed_since = self.membership_state.listed_since?;
        let grace_ms = if self.settings.bootstrap {
            BOOTSTRAP_GRACE_MS
        } else {
            0
        };
        Some(
            listed_since
                .plus_millis(grace_ms)
                .max(self.started.plus_millis(LEASE_MS)),
        )
    }

    fn recover(&mut self, now: Time) {
        if self.knows_its_promises() || self.register_view.list.version == 0 {
            self.membership_state.recovery = None;
            self.membership_state.listed_since = None;
            return;
        }
        self.membership_state.listed_since = self.membership_state.listed_since.or(Some(now));
        if self.recovery_due().is_none_or(|due| now < due) {
            return;
        }
        let recovery = &mut self.membership_state.recovery;
        let renew = recovery
            .as_mut()
            .is_none_or(|recovery| recovery.tick(now, &mut self.effects));
        if renew {
            let settings = &self.settings;
            let known = &self.register_view.list;
            let found = &self.membership_state.found_list;
            let list = if found.version > known.version {
                found
            } else {
                known
            };
            *recovery = Some(Recovery::start(
                settings.node,
                settings.incarnation,
                list,
                now,
                &mut self.effects,
            ));
        }
    }

    /// The others told what this process may have promised.
    pub(crate) fn on_recovered(&mut self, recovered: Recovered) {
        let Ok(value) = RegisterValue::decode(&recovered.value) else {
            return;
        };
        self.membership_state.recovery = None;
        if value.members_version > recovered.members_version {
            // Members that are not among those asked may know of later promises.
            self.membership_state.found_list = value.member_list();
            return;
        }
        let proposal = recovered.proposals.accepted;
        self.acceptor.adopt(recovered.proposals, recovered.value);
        self.replica.state.promise = TermPromise {
            term: recovered.term,
            ..TermPromise::default()
        };
        self.settle(proposal, None);
    }

    /// Writes a member list that was learnt.
    pub(crate) fn store_members(&self, effects: &mut Effects) {
        let members = StoredMembers::from(&self.register_view.list);
        effects.write(vec![put_members(&members)], Vec::new());
    }
}
