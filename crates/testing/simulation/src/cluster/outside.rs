//! Runners, clients and the operator in the cluster.

use super::{ActorId, CallOwner, ClusterEvent, SimulatedCluster};
use crate::actor::{Actor, ActorContext, Outcome};
use crate::engine::Micros;

impl SimulatedCluster {
    fn actor(&mut self, id: ActorId) -> Option<&mut dyn Actor> {
        match id {
            ActorId::Runner(index) => self
                .runners
                .get_mut(index)
                .map(|runner| runner as &mut dyn Actor),
            ActorId::Clients => Some(&mut self.clients),
            ActorId::Operator => Some(&mut self.operator),
        }
    }

    pub(crate) fn with_actor(
        &mut self,
        id: ActorId,
        act: impl FnOnce(&mut dyn Actor, Micros, &mut ActorContext),
    ) {
        let now = self.now();
        let actor: &mut dyn Actor = match id {
            ActorId::Runner(index) => &mut self.runners[index],
            ActorId::Clients => &mut self.clients,
            ActorId::Operator => &mut self.operator,
        };
        act(actor, now, &mut self.context);
        self.after_acting(id);
    }

    /// Sends off what an actor wants called, lets gangs follow, and plans its next wake.
    pub(crate) fn after_acting(&mut self, id: ActorId) {
        self.flush_calls(id);
        self.follow_gangs();
        self.schedule_actor(id);
    }

    fn flush_calls(&mut self, id: ActorId) {
        for call in std::mem::take(&mut self.context.calls) {
            self.start_call(id, call);
        }
    }

    fn follow_gangs(&mut self) {
        let now = self.now();
        while self.context.gangs.take_changed() {
            for index in 0..self.runners.len() {
                self.runners[index].follow_gangs(now, &mut self.context);
                self.schedule_actor(ActorId::Runner(index));
            }
        }
    }

    pub(crate) fn schedule_all_actors(&mut self) {
        for index in 0..self.runners.len() {
            self.schedule_actor(ActorId::Runner(index));
        }
        self.schedule_actor(ActorId::Clients);
        self.schedule_actor(ActorId::Operator);
    }

    fn schedule_actor(&mut self, id: ActorId) {
        let now = self.now();
        let next = self
            .actor(id)
            .and_then(|actor| actor.next_wake())
            .map(|at| at.max(now));
        if self.actor_wakes.get(&id).copied() == next {
            return;
        }
        match next {
            Some(at) => {
                self.actor_wakes.insert(id, at);
                self.queue
                    .schedule(at, ClusterEvent::ActorWake { actor: id, at });
            }
            None => {
                self.actor_wakes.remove(&id);
            }
        }
    }

    pub(crate) fn wake_actor(&mut self, id: ActorId, at: Micros) {
        if self.actor_wakes.get(&id) != Some(&at) {
            return;
        }
        self.actor_wakes.remove(&id);
        self.with_actor(id, |actor, now, context| actor.wake(now, context));
    }

    pub(crate) fn tell_actor(&mut self, owner: CallOwner, outcome: Outcome) {
        let CallOwner { actor, tag } = owner;
        self.with_actor(actor, |acting, now, context| {
            acting.outcome(now, tag, outcome, context)
        });
    }
}
