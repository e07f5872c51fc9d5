//! What is due by time, and the term's own work.
use crate::change::Job;
use crate::knowledge::Chosen;
use crate::node::CoreNode;
use crate::timing::{DELAYED_MS, POLL_MS};
use rand::Rng;
use sagetrail_protocol::control::{ControlMessage, Learned};
use sagetrail_protocol::service::Restored;
use sagetrail_protocol::Time;
use std::sync::Arc;

impl CoreNode {
    /// Everything that is due.
    pub(crate) fn step(&mut self) {
        let now = self.now.steady;
        self.step_standing(now);
        self.step_register(now);
        self.step_changes(now);
        self.replica.tick(now, &mut self.effects);
        self.step_renouncing(now);
        self.step_elections(now);
        self.step_base(now);
        self.step_term();
        self.step_membership(now);
        self.step_leases(now);
        self.subscribers
            .serve(now, &self.knowledge, &mut self.effects);
        self.step_delayed(now);
        self.step_termination(now);
    }

    /// When something is due next.
    pub(crate) fn earliest_wake(&self) -> Option<Time> {
        let proposer = if self.may_propose() {
            self.proposer.next_wake()
        } else {
            None
        };
        let reads = if self.knowledge.list.version == 0 {
            None
        } else {
            self.reads_wake()
        };
        let elections = self
            .may_stand()
            .then(|| self.elections.next_wake(self.replica.lease_until));
        let term = self.term.as_ref().map(|term| term.next_wake());
        let service = self
            .term
            .as_ref()
            .and_then(|term| term.service.as_ref()?.next_wake());
        let membership = self.watches_membership().then_some(self.membership_at);
        let delayed = self
            .delayed
            .front()
            .map(|delayed| delayed.arrived.plus_millis(DELAYED_MS));
        let wakes = [
            self.standing_wake(),
            proposer,
            reads,
            self.operator.next_wake(&self.proposer),
            self.changes_wake(),
            self.replica.next_wake(),
            elections,
            self.renouncing_wake(),
            term,
            service,
            membership,
            self.leases.next_wake(),
            delayed,
            self.termination_wake(),
        ];
        wakes.into_iter().flatten().min()
    }

    /// A term whose lease is over ends before anything else is done.
    pub(crate) fn drop_spent_lease(&mut self) {
        let now = self.now.steady;
        if self
            .term
            .as_ref()
            .is_some_and(|term| now >= term.lease_until)
        {
            self.term = None;
            self.elections.stand_back(now);
        }
    }

    /// Gives the term up and lets the others elect at once.
    pub(crate) fn step_down(&mut self) {
        if let Some(term) = self.term.take() {
            term.resign(&self.knowledge.list, &mut self.effects);
            self.elections.stand_back(self.now.steady);
        }
    }

    fn may_propose(&self) -> bool {
        self.standing.ready || (self.knowledge.list.version > 0 && !self.takes_part())
    }

    fn may_stand(&self) -> bool {
        let able = self.standing.ready && self.takes_part() && self.replica.state.whole;
        able && self.term.is_none() && self.may_lead()
    }

    fn step_register(&mut self, now: Time) {
        if self.may_propose() {
            self.proposer.tick(now, &self.knowledge, &mut self.effects);
        }
        if let Some(found) = self.reader.tick(now, &mut self.effects) {
            self.on_read(found);
        }
        if self.wants_read(now) {
            self.read_register(now);
        }
        self.operator
            .tick(now, &self.knowledge, &mut self.proposer, &mut self.effects);
    }

    /// Reads the register. Where this process has accepted a newer member list, the members of the list that it knows
    /// may have gone, so a round of the newer list's members settles whether that one is chosen.
    fn read_register(&mut self, now: Time) {
        let newer =
            self.acceptor.members_version > self.knowledge.list.version && self.may_propose();
        match newer.then(|| self.own_value()).flatten() {
            Some(own) => {
                self.proposer.note_list(own.value.member_list());
                self.proposer.push(Job::Refresh);
            }
            None => self.reader.start(now, &self.knowledge, &mut self.effects),
        }
    }

    fn wants_read(&self, now: Time) -> bool {
        let settling = self.proposer.any(|job| *job == Job::Refresh);
        if self.knowledge.list.version == 0 || settling || !self.reader.is_idle() {
            return false;
        }
        let wanted = self.wanted_freshness();
        now >= self.poll_at || wanted.is_some_and(|moment| !self.knowledge.is_fresh(moment))
    }

    /// The moment as of which somebody here needs to know the register.
    fn wanted_freshness(&self) -> Option<Time> {
        let starting = self
            .term
            .as_ref()
            .filter(|term| term.service.is_none())
            .map(|term| term.elected_at);
        let delayed = self.delayed.back().map(|delayed| delayed.arrived);
        [
            starting,
            delayed,
            self.rumour_at,
            self.operator.wants_fresh(),
        ]
        .into_iter()
        .flatten()
        .max()
    }

    fn reads_wake(&self) -> Option<Time> {
        let settling = self.proposer.any(|job| *job == Job::Refresh);
        self.reader
            .next_wake()
            .or((!settling).then_some(self.poll_at))
    }

    /// Everything chosen before `moment` is known now.
    pub(crate) fn freshen(&mut self, moment: Time) {
        self.knowledge.freshen(moment);
        self.poll_at = self.now.steady.plus_millis(POLL_MS);
        if self
            .rumour_at
            .is_some_and(|rumour| self.knowledge.is_fresh(rumour))
        {
            self.rumour_at = None;
        }
    }

    /// Takes a chosen value and passes it on.
    pub(crate) fn learn(&mut self, chosen: Chosen) {
        let version = self.knowledge.config_version();
        let list_version = self.knowledge.list.version;
        let value = chosen.value.clone();
        if !self.knowledge.learn(chosen.ballot, chosen.value) {
            return;
        }
        if self.knowledge.list.version > list_version {
            log::info!("{}", self.knowledge.list);
            self.joiners.forget_members(&self.knowledge.list);
        }
        self.accepted_changes.insert_all(&value.recent);
        if self.knowledge.list.version > list_version && self.standing.ready {
            let mut effects = std::mem::take(&mut self.effects);
            self.store_members(&mut effects);
            self.effects = effects;
        }
        if self.knowledge.config_version() > version {
            self.put_config_in_force();
        }
        self.answer_learn_askers();
    }

    fn put_config_in_force(&mut self) {
        let Some(config) = self.knowledge.config().cloned() else {
            return;
        };
        if let Some(service) = self.term.as_mut().and_then(|term| term.service.as_mut()) {
            service.config(self.now, config);
        }
    }

    fn answer_learn_askers(&mut self) {
        let known = self.knowledge.ballot();
        let (answered, waiting) = std::mem::take(&mut self.learn_askers)
            .into_iter()
            .partition(|asker| asker.ballot <= known);
        self.learn_askers = waiting;
        for asker in answered as Vec<crate::node::LearnAsker> {
            self.effects.control(
                asker.node,
                ControlMessage::Learned(Learned { ballot: known }),
            );
        }
    }

    fn step_elections(&mut self, now: Time) {
        if self.may_stand() {
            let lease_until = self.replica.lease_until;
            self.elections
                .tick(now, lease_until, &self.knowledge.list, &mut self.effects);
        }
    }

    fn step_term(&mut self) {
        let now = self.now.steady;
        let holds_base = self.holds_base();
        let Some(term) = &mut self.term else { return };
        if holds_base {
            term.holds_base(now);
        }
        term.renew(
            now,
            &self.knowledge.list,
            self.knowledge.ballot(),
            &mut self.effects,
        );
        let advanced = term.advance(&self.knowledge.list);
        if let (Some(number), Some(service)) = (advanced, &mut term.service) {
            service.committed(self.now, number);
        }
        self.start_service(holds_base);
        let Some(term) = &mut self.term else { return };
        term.wake_service(self.now);
        term.pump(now, &self.knowledge.list, &mut self.effects);
        if let Some(service) = &mut term.service {
            self.effects.sends.extend(service.take_sends());
        }
    }

    fn start_service(&mut self, holds_base: bool) {
        let Some(term) = &mut self.term else { return };
        let fresh = self.knowledge.is_fresh(term.elected_at);
        if term.service.is_some() || !holds_base || !term.base_is_kept() || !fresh {
            return;
        }
        let records = self
            .replica
            .records
            .0
            .iter()
            .map(|(key, value)| (key.clone(), value.clone()));
        let restored = Restored {
            epoch: term.epoch,
            node: self.settings.node,
            records: records.collect(),
            config: self.knowledge.config().cloned(),
            seed: self.random.random(),
        };
        log::info!(
            "term {}: scheduler starts with {} records",
            term.epoch,
            restored.records.len()
        );
        term.service = Some((self.factory)(self.now, restored));
    }

    fn step_delayed(&mut self, now: Time) {
        while let Some(front) = self.delayed.front() {
            let fresh = self.knowledge.is_fresh(front.arrived);
            if !fresh && now < front.arrived.plus_millis(DELAYED_MS) {
                return;
            }
            let Some(delayed) = self.delayed.pop_front() else {
                return;
            };
            if fresh {
                self.deliver(delayed.from, delayed.message);
            }
        }
    }

    /// The accepted value of this process as a chosen one.
    pub(crate) fn own_value(&self) -> Option<Chosen> {
        let value = crate::value::RegisterValue::decode(&self.acceptor.value).ok()?;
        Some(Chosen {
            ballot: self.acceptor.ballots.accepted,
            value: Arc::new(value),
        })
    }
}
