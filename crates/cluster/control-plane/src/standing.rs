//! How a process comes to take part: founding, or recovery of what an empty disk may have held. A process that is no
//! member yet recovers as well, before it is added.
use crate::effects::Effects;
use crate::founding::Founding;
use crate::knowledge::Chosen;
use crate::node::CoreNode;
use crate::persisted::{put_members, put_replica, AcceptorBallots, StoredMembers, TermPromise};
use crate::quorum::MemberList;
use crate::recovery::{Recovered, Recovery};
use crate::timing::{FOUNDING_GRACE_MS, LEASE_MS, OUT_OF_TOUCH_MS, RESEND_MS, UNREADY_HELLO_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::control::{Ballot, ControlMessage, Found, Settled};
use sagetrail_protocol::directory::{Hello, HELLO_INTERVAL_MS};
use sagetrail_protocol::{Blob, Message, NodeId, NodeKind, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The founding value's ballot has this counter; every later one a higher one.
const FOUNDING_COUNTER: u64 = 1;

/// So many processes that spoke are remembered.
const MAX_HEARD: usize = 16;

/// Where a process stands on its way to taking part.
#[derive(Debug, Default)]
pub struct Standing {
    /// True: what it once promised is known, it may promise and accept.
    pub ready: bool,
    /// At the founder, until it founds.
    pub founding: Option<Founding>,
    pub recovery: Option<Recovery>,
    /// A member list, newer than the one known, that the recovery found in an accepted value.
    pub found_list: MemberList,
    /// Members that the founder has yet to tell.
    pub untold: BTreeSet<NodeId>,
    pub tell_at: Time,
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

impl Standing {
    /// A core process spoke. Whoever counts this process among the members can tell it who they are.
    pub fn hear(&mut self, node: NodeId) {
        if self.heard.len() >= MAX_HEARD {
            self.heard.pop_first();
        }
        self.heard.insert(node);
    }
}

impl CoreNode {
    /// Hellos, the founding and the recovery, as far as they are due.
    pub(crate) fn step_standing(&mut self, now: Time) {
        self.say_hello(now);
        self.ask_for_members(now);
        self.found(now);
        self.tell_founding(now);
        self.recover(now);
    }

    /// When one of them is due.
    pub(crate) fn standing_wake(&self) -> Option<Time> {
        let standing = &self.standing;
        let hello = self.needs_hello().then_some(standing.hello_at);
        let out_of_touch = standing
            .ready
            .then(|| self.out_of_touch_at().max(standing.ask_at));
        let founding = standing.founding.as_ref().map(Founding::due_at);
        let tell = (!standing.untold.is_empty()).then_some(standing.tell_at);
        let recovery = match &standing.recovery {
            Some(recovery) => Some(recovery.next_wake()),
            None => self.recovery_due(),
        };
        [hello, out_of_touch, founding, tell, recovery]
            .into_iter()
            .flatten()
            .min()
    }

    fn needs_hello(&self) -> bool {
        self.terminating.is_none() && (!self.standing.ready || !self.takes_part())
    }

    fn say_hello(&mut self, now: Time) {
        if !self.needs_hello() || now < self.standing.hello_at {
            return;
        }
        let interval_ms = if self.standing.ready {
            HELLO_INTERVAL_MS
        } else {
            UNREADY_HELLO_MS
        };
        self.standing.hello_at = now.plus_millis(interval_ms);
        let incarnation = self.settings.incarnation;
        let config_version = self.knowledge.config_version();
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
        let due = self.out_of_touch_at().max(self.standing.ask_at);
        if !self.standing.ready || now < due {
            return;
        }
        self.standing.ask_at = now.plus_millis(HELLO_INTERVAL_MS);
        let known = self.known_core();
        self.effects
            .broadcast(known, &ControlMessage::DirectoryRequest);
    }

    fn out_of_touch_at(&self) -> Time {
        let heard = self.knowledge.fresh_as_of.unwrap_or(self.started);
        heard.plus_millis(OUT_OF_TOUCH_MS)
    }

    /// Another core process spoke to this one. One that is no member as far as this process knows may know newer ones.
    pub(crate) fn hear_core(&mut self, from: NodeId) {
        if !self.knowledge.list.contains(from) {
            self.standing.hear(from);
        }
    }

    /// Core processes that this process has been told of, itself apart.
    fn known_core(&self) -> BTreeSet<NodeId> {
        let mut known: BTreeSet<NodeId> = self.settings.seeds.iter().copied().collect();
        known.extend(self.knowledge.list.all());
        known.extend(&self.standing.heard);
        known.remove(&self.settings.node);
        known
    }

    fn found(&mut self, now: Time) {
        let due = self
            .standing
            .founding
            .as_ref()
            .and_then(|founding| founding.due(now));
        let Some(value) = due else { return };
        self.standing.founding = None;
        let settings = &self.settings;
        let ballot = Ballot {
            counter: FOUNDING_COUNTER,
            node: settings.node,
            incarnation: settings.incarnation,
        };
        self.take_founding(ballot, Blob(value.encode()), None);
    }

    fn take_founding(&mut self, ballot: Ballot, bytes: Blob, teller: Option<NodeId>) {
        let Ok(value) = RegisterValue::decode(&bytes) else {
            return;
        };
        self.acceptor.adopt(
            AcceptorBallots {
                promised: ballot,
                accepted: ballot,
            },
            bytes,
        );
        self.replica.state.whole = true;
        self.knowledge.adopt_list(value.member_list());
        self.settle(ballot, teller);
    }

    /// Writes what the process takes part with. The accepted value may not be chosen, so the list is the known one.
    fn settle(&mut self, ballot: Ballot, teller: Option<NodeId>) {
        self.standing.settling = true;
        let members = StoredMembers::from(&self.knowledge.list);
        let mut operations = self.acceptor.operations();
        operations.push(put_replica(&self.replica.state));
        operations.push(put_members(&members));
        let settled = ControlMessage::Settled(Settled { ballot });
        let listeners = teller.into_iter().chain([self.settings.node]);
        let then = listeners
            .map(|listener| (listener, settled.clone()))
            .collect();
        self.effects.write(operations, then);
    }

    /// The founder tells the cluster's first value.
    pub(crate) fn on_found(&mut self, from: NodeId, found: Found) {
        if self.standing.ready {
            let settled = ControlMessage::Settled(Settled {
                ballot: found.ballot,
            });
            return self.effects.control(from, settled);
        }
        let busy = self.standing.settling || self.standing.recovery.is_some();
        if self.settings.bootstrap && !busy {
            self.take_founding(found.ballot, found.value, Some(from));
        }
    }

    /// A process has synced what it takes part with, or this process a value.
    pub(crate) fn on_settled(&mut self, from: NodeId, settled: &Settled) {
        if from != self.settings.node {
            self.standing.untold.remove(&from);
            return;
        }
        self.acceptor.settled(settled.ballot);
        if self.standing.settling {
            self.standing.settling = false;
            self.standing.ready = true;
            self.begin_to_take_part();
        }
    }

    fn begin_to_take_part(&mut self) {
        let Ok(value) = RegisterValue::decode(&self.acceptor.value) else {
            return;
        };
        self.proposer.note(self.acceptor.ballots.promised);
        let ballot = self.acceptor.ballots.accepted;
        if self.founded_by_itself() {
            self.learn(Chosen {
                ballot,
                value: Arc::new(value),
            });
            self.begin_to_tell();
        }
    }

    fn founded_by_itself(&self) -> bool {
        let ballot = self.acceptor.ballots.accepted;
        ballot.counter == FOUNDING_COUNTER && ballot.node == self.settings.node
    }

    /// The founder tells all others until each has answered, also after a restart.
    pub(crate) fn begin_to_tell(&mut self) {
        if !self.founded_by_itself() {
            return;
        }
        self.standing.untold = self.knowledge.list.all();
        self.standing.untold.remove(&self.settings.node);
    }

    fn tell_founding(&mut self, now: Time) {
        if self.standing.untold.is_empty() || now < self.standing.tell_at {
            return;
        }
        if !self.founded_by_itself() {
            // A later value was accepted, so a majority has the founding; the others recover.
            return self.standing.untold.clear();
        }
        self.standing.tell_at = now.plus_millis(RESEND_MS);
        let found = Found {
            ballot: self.acceptor.ballots.accepted,
            value: self.acceptor.value.clone(),
        };
        let untold = self.standing.untold.clone();
        self.effects
            .broadcast(untold, &ControlMessage::Found(found));
    }

    fn knows_its_promises(&self) -> bool {
        self.standing.ready || self.standing.settling
    }

    /// A lease that the process may have granted in its former life is over by then, and so are votes of it.
    fn recovery_due(&self) -> Option<Time> {
        if self.knows_its_promises() {
            return None;
        }
        let listed_since = self.standing.listed_since?;
        let grace_ms = if self.settings.bootstrap {
            FOUNDING_GRACE_MS
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
        if self.knows_its_promises() || self.knowledge.list.version == 0 {
            self.standing.recovery = None;
            self.standing.listed_since = None;
            return;
        }
        self.standing.listed_since = self.standing.listed_since.or(Some(now));
        if self.recovery_due().is_none_or(|due| now < due) {
            return;
        }
        let recovery = &mut self.standing.recovery;
        let renew = recovery
            .as_mut()
            .is_none_or(|recovery| recovery.tick(now, &mut self.effects));
        if renew {
            let settings = &self.settings;
            let known = &self.knowledge.list;
            let found = &self.standing.found_list;
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
        self.standing.recovery = None;
        if value.members_version > recovered.members_version {
            // Members that are not among those asked may know of later promises.
            self.standing.found_list = value.member_list();
            return;
        }
        let ballot = recovered.ballots.accepted;
        self.acceptor.adopt(recovered.ballots, recovered.value);
        self.replica.state.promise = TermPromise {
            epoch: recovered.epoch,
            ..TermPromise::default()
        };
        self.settle(ballot, None);
    }

    /// Writes a member list that was learnt.
    pub(crate) fn store_members(&self, effects: &mut Effects) {
        let members = StoredMembers::from(&self.knowledge.list);
        effects.write(vec![put_members(&members)], Vec::new());
    }
}
