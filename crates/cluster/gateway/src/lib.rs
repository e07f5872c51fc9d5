//! The clients' gateway: forwards a client's HTTP request to the scheduler, and the scheduler's answer to the client.
//!
//! A gateway makes no decisions about jobs and stores nothing on disk. It is a state machine without sockets,
//! [`GatewayNode`]: the host process passes it events (messages, HTTP requests, timer wakes) and performs the actions
//! that it writes to an `Outbox`. Three parts own its state, and `node` combines them:
//!
//! - `LeaderLink` finds the leader of the control plane, which is the scheduler (`leader_discovery`), records when it
//!   last sent a message (`contact`) and sends messages to it, also through a third process (`relay`) while the direct
//!   connection is silent.
//! - `Forwarder` stores the requests that are not answered yet (`pending`), sends them, retries them with exponential
//!   backoff (`backoff`), and answers each one before the deadline of its client (`deadline`).
//! - `Subscription` receives configurations through the relay tree; they determine the limits of requests and whether
//!   the process is ready.
//!
//! A client's POST takes this path to the scheduler and back:
//!
//! ```text
//!  client              gateway                                              core processes
//!    | POST /queue/key    |                                                       |
//!    |------------------->| admission: limits, configuration, leader responsive   |
//!    |  413 or 503        |   rejected: nothing was sent, so the job never runs   |
//!    |<- - - - - - - - - -|                                                       |
//!    |                    | pending: number, deadline, retry time                 |
//!    |                    |---- ClientRequest{number, config_version} ----------->| leader
//!    |                    |---- Relayed{ClientRequest} --> another process ------>|  (if directly silent)
//!    |                    |         no answer: again after 250, 500, 1000 ms ...  |
//!    |                    |<--- NotLeader{term, leader}: sent on to that leader --| not the leader
//!    |                    |<--- ClientReply{number, status, body} ----------------| leader, once committed
//!    |  status, body      |                                                       |
//!    |<-------------------|                                                       |
//!    |  504 at the deadline, if a copy of the request may have been accepted      |
//!    |<-------------------|                                                       |
//! ```
//!
//! Two invariants hold even if messages are lost, delayed or duplicated: a request is answered exactly once, unless its
//! client has closed the connection; and a submission is answered with 404, 429 or 503 only if no copy of it has been,
//! or can still be, accepted. For this reason a retry keeps its number, and a rejection by the scheduler is answered
//! with 504 while another copy is in flight.

mod admission;
mod backoff;
mod contact;
mod deadline;
mod drain;
mod error;
mod forwarder;
mod leader_discovery;
mod leader_link;
mod node;
mod pending;
mod relay;
mod response;
mod settings;
mod subscription;

pub use node::GatewayNode;
pub use settings::GatewaySettings;
