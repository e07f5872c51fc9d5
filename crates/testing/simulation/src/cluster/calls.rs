//! Calls by HTTP from outside to a process, and their outcomes.

use super::{ActorId, CallOwner, ClusterEvent, SimulatedCluster};
use crate::actor::{Outcome, OutgoingCall};
use crate::engine::Micros;
use crate::process::{Deferred, ProcessState};
use sagetrail_protocol::node::{Event, HttpEndpoint, HttpRequest, HttpRequestId};
use sagetrail_protocol::NodeId;

/// One way between a runner and the process beside it.
const BESIDE: Micros = 100;
/// One way between clients or the operator and a process.
const OUTSIDE: Micros = 1_500;

/// A call that is out.
pub(crate) struct Call {
    owner: CallOwner,
    node: NodeId,
    endpoint: HttpEndpoint,
}

impl Call {
    fn latency(&self) -> Micros {
        match self.owner.actor {
            ActorId::Runner(_) => BESIDE,
            _ => OUTSIDE,
        }
    }
}

impl SimulatedCluster {
    pub(crate) fn start_call(&mut self, actor: ActorId, outgoing: OutgoingCall) {
        let id = HttpRequestId(self.next_call);
        self.next_call += 1;
        self.digest.called(self.queue.now(), id, &outgoing);
        let call = Call {
            owner: CallOwner {
                actor,
                tag: outgoing.tag,
            },
            node: outgoing.to,
            endpoint: outgoing.endpoint,
        };
        let arrives = self.now() + call.latency();
        let timeout = self.now() + outgoing.timeout;
        self.calls.insert(id, call);
        self.queue.schedule(
            arrives,
            ClusterEvent::RequestArrives {
                id,
                request: outgoing.request,
            },
        );
        self.queue.schedule(timeout, ClusterEvent::CallTimeout(id));
    }

    pub(crate) fn request_arrives(&mut self, id: HttpRequestId, request: HttpRequest) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (node, endpoint) = (call.node, call.endpoint);
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        let event = Event::Http {
            id,
            endpoint,
            request,
        };
        match process.state {
            ProcessState::PowerOff => (),
            ProcessState::Down => self.answer_call(id, Outcome::Broken),
            ProcessState::Frozen => {
                process.requests.insert(id);
                process.deferred.push(Deferred::Event(Box::new(event)));
            }
            ProcessState::Running => {
                process.requests.insert(id);
                self.dispatch(node, event);
            }
        }
    }

    /// Sends a call's outcome on its way back.
    pub(crate) fn answer_call(&mut self, id: HttpRequestId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (latency, node, actor) = (call.latency(), call.node, call.owner.actor);
        if let Some(process) = self.processes.get_mut(&node) {
            process.requests.remove(&id);
        }
        let lost = actor == ActorId::Operator && self.chance.happens(self.plan.lost_answers);
        if !lost {
            self.queue.schedule(
                self.queue.now() + latency,
                ClusterEvent::OutcomeArrives { id, outcome },
            );
        }
    }

    pub(crate) fn outcome_arrives(&mut self, id: HttpRequestId, outcome: Outcome) {
        if let Some(call) = self.calls.remove(&id) {
            self.end_call(&call, outcome);
        }
    }

    pub(crate) fn call_timeout(&mut self, id: HttpRequestId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let waiting = self
            .processes
            .get_mut(&call.node)
            .is_some_and(|process| process.requests.remove(&id));
        if waiting {
            self.dispatch(call.node, Event::HttpAbandoned { id });
        }
        self.end_call(&call, Outcome::Silence);
    }

    fn end_call(&mut self, call: &Call, outcome: Outcome) {
        self.digest
            .call_ended(self.queue.now(), call.node, call.owner.tag, &outcome);
        self.tell_actor(call.owner, outcome);
    }
}
