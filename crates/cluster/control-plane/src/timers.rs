//! What is due by time, and the term's own work.

use crate::change_function::ChangeFunction;
use crate::node::CoreNode;
use crate::register_view::Chosen;
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
        self.step_membership_state(now);
        self.step_register(now);
        self.step_changes(now);
        self.replica.tick(now, &mut self.effects);
        self.resign_former_term(now);
        self.step_elections(now);
        self.step_base(now);
        self.step_leadership();
        self.step_membership(now);
        self.step_leases(now);
        self.subscribers
            .serve(now, &self.register_view, &mut self.effects);
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
        let reads = if self.register_view.list.version == 0 {
            None
        } else {
            self.reads_wake()
        };
        let elections = self
            .may_stand()
            .then(|| self.elections.next_wake(self.replica.lease_until));
        let leadership = self
            .leadership
            .as_ref()
            .map(|leadership| leadership.next_wake());
        let service = self
            .leadership
            .as_ref()
            .and_then(|leadership| leadership.service.as_ref()?.next_wake());
        let membership = self.watches_membership().then_some(self.membership_at);
        let delayed = self
            .delayed
            .front()
            .map(|delayed| delayed.arrived.plus_millis(DELAYED_MS));
        let wakes = [
            self.membership_state_wake(),
            proposer,
            reads,
            self.operator.next_wake(&self.proposer),
            self.changes_wake(),
            self.replica.next_wake(),
            elections,
            self.former_term_resignation_wake(),
            leadership,
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
            .leadership
            .as_ref()
            .is_some_and(|leadership| now >= leadership.lease_until)
        {
            self.leadership = None;
            self.elections.withdraw(now);
        }
    }

    /// Gives the term up and lets the others elect at once.
    pub(crate) fn step_down(&mut self) {
        if let Some(leadership) = self.leadership.take() {
            leadership.resign(&self.register_view.list, &mut self.effects);
            self.elections.withdraw(self.now.steady);
        }
    }

    fn may_propose(&self) -> bool {
        self.membership_state.ready || (self.register_view.list.version > 0 && !self.takes_part())
    }

    fn may_stand(&self) -> bool {
        let able = self.membership_state.ready && self.takes_part() && self.replica.state.complete;
        able && self.leadership.is_none() && self.may_lead()
    }

    fn step_register(&mut self, now: Time) {
        if self.may_propose() {
            self.proposer
                .tick(now, &self.register_view, &mut self.effects);
        }
        if let Some(found) = self.reader.tick(now, &mut self.effects) {
            self.on_read(found);
        }
        if self.wants_read(now) {
            self.read_register(now);
        }
        self.operator.tick(
            now,
            &self.register_view,
            &mut self.proposer,
            &mut self.effects,
        );
    }

    /// Reads the register. Where this process has accepted a newer member list, the members of the list that it knows
    /// may have gone, so a round of the newer list's members settles whether that one is chosen.
    fn read_register(&mut self, now: Time) {
        let newer =
            self.acceptor.members_version > self.register_view.list.version && self.may_propose();
        match newer.then(|| self.own_value()).flatten() {
            Some(own) => {
                self.proposer.observe_list(own.value.member_list());
                self.proposer.push(ChangeFunction::Identity);
            }
            None => self
                .reader
                .start(now, &self.register_view, &mut self.effects),
        }
    }

    fn wants_read(&self, now: Time) -> bool {
        let settling = self
            .proposer
            .has_pending(|function| *function == ChangeFunction::Identity);
        if self.register_view.list.version == 0 || settling || !self.reader.is_idle() {
            return false;
        }
        let wanted = self.wanted_freshness();
        now >= self.poll_at || wanted.is_some_and(|moment| !self.register_view.is_fresh(moment))
    }

    /// The moment as of which somebody here needs to know the register.
    fn wanted_freshness(&self) -> Option<Time> {
        let starting = self
            .leadership
            .as_ref()
            .filter(|leadership| leadership.service.is_none())
            .map(|leadership| leadership.elected_at);
        let delayed = self.delayed.back().map(|delayed| delayed.arrived);
        [
            starting,
            delayed,
            self.newer_value_hint_at,
            self.operator.wants_fresh(),
        ]
        .into_iter()
        .flatten()
        .max()
    }

    fn reads_wake(&self) -> Option<Time> {
        let settling = self
            .proposer
            .has_pending(|function| *function == ChangeFunction::Identity);
        self.reader
            .next_wake()
            .or((!settling).then_some(self.poll_at))
    }

    /// Everything chosen before `moment` is known now.
    pub(crate) fn freshen(&mut self, moment: Time) {
        self.register_view.freshen(moment);
        self.poll_at = self.now.steady.plus_millis(POLL_MS);
        if self
            .newer_value_hint_at
            .is_some_and(|hint_at| self.register_view.is_fresh(hint_at))
        {
            self.newer_value_hint_at = None;
        }
    }

    /// Takes a chosen value and passes it on.
    pub(crate) fn learn(&mut self, chosen: Chosen) {
        let version = self.register_view.config_version();
        let list_version = self.register_view.list.version;
        let value = chosen.value.clone();
        if !self.register_view.learn(chosen.proposal, chosen.value) {
            return;
        }
        if self.register_view.list.version > list_version {
            log::info!("{}", self.register_view.list);
            self.joiners.forget_members(&self.register_view.list);
        }
        self.accepted_changes.insert_all(&value.recent);
        if self.register_view.list.version > list_version && self.membership_state.ready {
            let mut effects = std::mem::take(&mut self.effects);
            self.store_members(&mut effects);
            self.effects = effects;
        }
        if self.register_view.config_version() > version {
            self.put_config_in_force();
        }
        self.answer_learn_askers();
    }

    fn put_config_in_force(&mut self) {
        let Some(config) = self.register_view.config().cloned() else {
            return;
        };
        if let Some(service) = self
            .leadership
            .as_mut()
            .and_then(|leadership| leadership.service.as_mut())
        {
            service.config(self.now, config);
        }
    }

    fn answer_learn_askers(&mut self) {
        let known = self.register_view.proposal();
        let (answered, waiting) = std::mem::take(&mut self.learn_askers)
            .into_iter()
            .partition(|asker| asker.proposal <= known);
        self.learn_askers = waiting;
        for asker in answered as Vec<crate::node::LearnAsker> {
            self.effects.control(
                asker.node,
                ControlMessage::Learned(Learned { proposal: known }),
            );
        }
    }

    fn step_elections(&mut self, now: Time) {
        if self.may_stand() {
            let lease_until = self.replica.lease_until;
            self.elections.tick(
                now,
                lease_until,
                &self.register_view.list,
                &mut self.effects,
            );
        }
    }

    fn step_leadership(&mut self) {
        let now = self.now.steady;
        let holds_base = self.holds_base();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if holds_base {
            leadership.become_source(now);
        }
        leadership.renew(
            now,
            &self.register_view.list,
            self.register_view.proposal(),
            &mut self.effects,
        );
        let advanced = leadership.advance_commit(&self.register_view.list);
        if let (Some(number), Some(service)) = (advanced, &mut leadership.service) {
            service.committed(self.now, number);
        }
        self.start_service(holds_base);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.wake_service(self.now);
        leadership.replicate(now, &self.register_view.list, &mut self.effects);
        if let Some(service) = &mut leadership.service {
            self.effects.sends.extend(service.take_sends());
        }
    }

    fn start_service(&mut self, holds_base: bool) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let fresh = self.register_view.is_fresh(leadership.elected_at);
        if leadership.service.is_some() || !holds_base || !leadership.base_is_committed() || !fresh
        {
            return;
        }
        let records = self
            .replica
            .records
            .0
            .iter()
            .map(|(key, value)| (key.clone(), value.clone()));
        let restored = Restored {
            term: leadership.term,
            node: self.settings.node,
            records: records.collect(),
            config: self.register_view.config().cloned(),
            seed: self.random.random(),
        };
        log::info!(
            "term {}: scheduler starts with {} records",
            leadership.term,
            restored.records.len()
        );
        leadership.service = Some((self.factory)(self.now, restored));
    }

    fn step_delayed(&mut self, now: Time) {
        while let Some(front) = self.delayed.front() {
            let fresh = self.register_view.is_fresh(front.arrived);
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
            proposal: self.acceptor.proposals.accepted,
            value: Arc::new(value),
        })
    }
}
