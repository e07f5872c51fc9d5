//! The process: events go in with the test's time, writes reach the file at once.

use std::collections::{BTreeMap, VecDeque};
use std::path::Path;

use sagetrail_cluster_node::disk::Store;
use sagetrail_control_plane::{CoreNode, CoreSettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest};
use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::node::{
    DiskWrite, Event, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId, Method, Node, Now,
    Outbox,
};
use sagetrail_protocol::service::{Service, ServiceFactory};
use sagetrail_protocol::{Message, NodeId, Time};
use sagetrail_scheduler::{Scheduler, SchedulerSettings};

/// The member.
pub(crate) const ME: NodeId = NodeId {
    ip: 0x0a00_0001,
    port: 7001,
};
/// A core process that is no member.
pub(crate) const FOREIGN: NodeId = NodeId {
    ip: 0x0a00_0002,
    port: 7002,
};
/// Hands in the clients' requests.
pub(crate) const GATEWAY: NodeId = NodeId {
    ip: 0x0a00_0063,
    port: 7099,
};
/// The time of day at the start, in milliseconds since 1970.
const WALL_MS: i64 = 1_700_000_000_000;
const SEED: u64 = 41;
/// A client's patience, in milliseconds.
const PATIENCE_MS: u32 = 3_000;

/// The member on its file.
pub(crate) struct LoneCore {
    node: CoreNode,
    store: Store,
    now: Now,
    /// Whatever left the process, with its receiver; also what it sent to itself by way of its disk.
    pub sent: Vec<(NodeId, Message)>,
    replies: BTreeMap<u64, HttpReply>,
    next_number: u64,
}

impl LoneCore {
    /// Starts the process on the file in `folder`.
    pub(crate) fn start(folder: &Path, incarnation: u64, bootstrap: bool) -> LoneCore {
        let opened = Store::open(folder).unwrap();
        assert!(!opened.emptied, "the file counts as torn");
        let settings = CoreSettings {
            node: ME,
            incarnation,
            seeds: vec![ME],
            bootstrap,
            bounds: Bounds::default(),
            tolerated_machines: 0,
            seed: SEED,
        };
        let now = Now {
            steady: Time(1),
            wall_ms: WALL_MS,
        };
        let mut outbox = Outbox::default();
        let node = CoreNode::new(settings, opened.image, factory(), now, &mut outbox);
        let mut core = LoneCore {
            node,
            store: opened.store,
            now,
            sent: Vec::new(),
            replies: BTreeMap::new(),
            next_number: 1,
        };
        core.carry_out(outbox);
        core
    }

    /// Hands an event in, and all that follows from it at once.
    pub(crate) fn event(&mut self, event: Event) {
        let mut outbox = Outbox::default();
        self.node.handle(self.now, event, &mut outbox);
        self.carry_out(outbox);
    }

    fn carry_out(&mut self, outbox: Outbox) {
        let mut events = VecDeque::new();
        self.take(outbox, &mut events);
        while let Some(event) = events.pop_front() {
            let mut outbox = Outbox::default();
            self.node.handle(self.now, event, &mut outbox);
            self.take(outbox, &mut events);
        }
    }

    fn take(&mut self, outbox: Outbox, events: &mut VecDeque<Event>) {
        for (id, reply) in outbox.replies {
            self.replies.insert(id.0, reply);
        }
        for (to, message) in outbox.sends {
            self.post(to, message, events);
        }
        for write in outbox.writes {
            let operations = write.operations;
            let write_alone = DiskWrite {
                operations,
                ..DiskWrite::default()
            };
            self.store.write(&[write_alone]).unwrap();
            for (to, message) in write.send_when_synced {
                self.post(to, message, events);
            }
            events.extend(write.token.map(|token| Event::Synced { token }));
        }
    }

    fn post(&mut self, to: NodeId, message: Message, events: &mut VecDeque<Event>) {
        self.sent.push((to, message.clone()));
        if to == ME {
            events.push_back(Event::Message { from: ME, message });
        }
    }

    /// Lets so many milliseconds pass.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now.steady.plus_millis(millis);
        while let Some(wake) = self.node.next_wake().filter(|wake| *wake <= end) {
            self.advance_to(wake.max(self.now.steady + 1));
            self.event(Event::Wake);
        }
        self.advance_to(end);
    }

    fn advance_to(&mut self, instant: Time) {
        let instant = instant.max(self.now.steady);
        let millis_before = self.now.steady.0 / 1000;
        self.now.wall_ms += (instant.0 / 1000 - millis_before) as i64;
        self.now.steady = instant;
    }

    /// The steady clock, in microseconds.
    pub(crate) fn steady_us(&self) -> u64 {
        self.now.steady.0
    }

    /// Hands a message in; what is sent because of it.
    pub(crate) fn tell(&mut self, from: NodeId, message: Message) -> Vec<(NodeId, Message)> {
        self.sent.clear();
        self.event(Event::Message { from, message });
        self.sent.clone()
    }

    /// Asks as a core process; the first answer to it.
    pub(crate) fn ask(&mut self, from: NodeId, message: ControlMessage) -> ControlMessage {
        let answers = self.tell(from, Message::Control(message));
        let answer = answers.into_iter().find_map(|(to, answer)| match answer {
            Message::Control(answer) if to == from => Some(answer),
            _ => None,
        });
        answer.expect("an answer")
    }

    /// A call at the operator's door, with its answer.
    pub(crate) fn operate(&mut self, path: &str, base: Option<u64>, body: &str) -> HttpReply {
        let number = self.next_number;
        self.next_number += 1;
        let method = match base {
            Some(_) => Method::Post,
            None => Method::Get,
        };
        let request = HttpRequest {
            method,
            host: String::new(),
            path: path.to_owned(),
            base_version: base,
            deadline_ms: None,
            body: body.as_bytes().to_vec(),
        };
        self.event(Event::Http {
            id: HttpRequestId(number),
            endpoint: HttpEndpoint::Control,
            request,
        });
        self.run(200);
        self.replies.remove(&number).expect("an answer")
    }

    /// A client's request, with its answer.
    pub(crate) fn client(&mut self, method: ClientMethod, path: &str, body: &str) -> ClientReply {
        let number = self.next_number;
        self.next_number += 1;
        let request = ClientRequest {
            request: number,
            method,
            host: "h".into(),
            path: path.into(),
            body: body.as_bytes().to_vec().into(),
            config_version: 0,
            remaining_ms: PATIENCE_MS,
        };
        self.sent.clear();
        self.event(Event::Message {
            from: GATEWAY,
            message: Message::ClientRequest(request),
        });
        self.run(200);
        let reply = self.sent.iter().find_map(|(_, message)| match message {
            Message::ClientReply(reply) if reply.request == number => Some(reply.clone()),
            _ => None,
        });
        reply.expect("an answer")
    }
}

fn factory() -> ServiceFactory {
    Box::new(|now, restored| {
        let bounds = Bounds::default();
        let scheduler = Scheduler::new(SchedulerSettings { bounds }, now, restored);
        Box::new(scheduler) as Box<dyn Service + Send>
    })
}
