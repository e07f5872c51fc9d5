//! What drives the cluster from outside: runners, clients and the operator. They call processes by HTTP and learn
//! what became of each call.

use crate::engine::{Chance, Micros};
use crate::gang::GangTable;
use crate::history::{Answer, History};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{HttpEndpoint, HttpReply, HttpRequest};
use sagetrail_protocol::NodeId;

/// Names a call to the actor that made it.
pub type CallTag = u64;

/// A call.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// Names the call to its actor.
    pub tag: CallTag,
    /// The receiver.
    pub to: NodeId,
    /// Which HTTP endpoint of the process.
    pub endpoint: HttpEndpoint,
    /// The request.
    pub request: HttpRequest,
    /// The actor waits so long.
    pub timeout: Micros,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// An answer came.
    Answered(HttpReply),
    /// The connection was refused or broke.
    Broken,
    /// The patience ended.
    Silence,
}

impl Outcome {
    /// The outcome without its body.
    pub fn answer(&self) -> Answer {
        match self {
            Outcome::Answered(reply) => Answer::Status(reply.status),
            Outcome::Broken => Answer::Broken,
            Outcome::Silence => Answer::Silence,
        }
    }

    /// The body of a 2xx.
    pub fn success_body(&self) -> Option<&[u8]> {
        match self {
            Outcome::Answered(reply) if (200..300).contains(&reply.status) => Some(&reply.body),
            _ => None,
        }
    }
}

/// What all actors share.
pub struct ActorContext {
    /// What was observed so far.
    pub history: History,
    /// Random choices of the actors.
    pub chance: Chance,
    /// The gangs at work.
    pub gangs: GangTable,
    /// The bounds that hold between clients, runners and the cluster.
    pub bounds: Bounds,
    /// What the acting one wants called.
    pub calls: Vec<OutgoingCall>,
    /// The frontends, which clients call.
    pub gateways: Vec<NodeId>,
    /// The core processes.
    pub cores: Vec<NodeId>,
}

/// Someone outside the cluster.
pub trait Actor {
    /// The instant of `next_wake` has come, or something it knows of has changed.
    fn wake(&mut self, now: Micros, context: &mut ActorContext);

    /// A call has ended.
    fn outcome(&mut self, now: Micros, tag: CallTag, outcome: Outcome, context: &mut ActorContext);

    /// When it wants to be woken.
    fn next_wake(&self) -> Option<Micros>;
}
