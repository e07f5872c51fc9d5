//! The only core process of a cluster. It handles events at the test's time, and its writes are synced immediately.

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
use sagetrail_scheduler::{CoreResources, Scheduler, SchedulerSettings};

/// The id of the core process, which is the only member.
pub(crate) const ME: NodeId = NodeId {
    ip: 0x0a00_0001,
    port: 7001,
};
/// The id of a core process that is not a member.
pub(crate) const FOREIGN: NodeId = NodeId {
    ip: 0x0a00_0002,
    port: 7002,
};
/// The id of the frontend process that sends the clients' requests.
pub(crate) const GATEWAY: NodeId = NodeId {
    ip: 0x0a00_0063,
    port: 7099,
};
/// The wall clock at the start, in milliseconds since 1970.
const WALL_MS: i64 = 1_700_000_000_000;
const SEED: u64 = 41;
/// The time that remains for a client's request, in milliseconds.
const REMAINING_MS: u32 = 3_000;

/// The core process with its file.
pub(crate) struct LoneCore {
    node: CoreNode,
    store: Store,
    now: Now,
    /// The messages that the process sent, each with its receiver, including those to itself and those that waited for
    /// a sync.
    pub sent: Vec<(NodeId, Message)>,
    replies: BTreeMap<u64, HttpReply>,
    next_number: u64,
}

impl LoneCore {
    /// Starts the process on the file in `folder`.
    pub(crate) fn start(folder: &Path, incarnation: u64, bootstrap: bool) -> LoneCore {
        let opened = Store::open(folder).unwrap();
        assert!(!opened.emptied, "the file was replaced as corrupted");
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
        core.perform(outbox);
        core
    }

    /// Handles an event and all events that follow from it immediately.
    pub(crate) fn event(&mut self, event: Event) {
        let mut outbox = Outbox::default();
        self.node.handle(self.now, event, &mut outbox);
        self.perform(outbox);
    }

    fn perform(&mut self, outbox: Outbox) {
        let mut events = VecDeque::new();
        self.perform_once(outbox, &mut events);
        while let Some(event) = events.pop_front() {
            let mut outbox = Outbox::default();
            self.node.handle(self.now, event, &mut outbox);
            self.perform_once(outbox, &mut events);
        }
    }

    /// Performs the actions of an outbox and adds the events that follow from them to `events`.
    fn perform_once(&mut self, outbox: Outbox, events: &mut VecDeque<Event>) {
        for (id, reply) in outbox.replies {
            self.replies.insert(id.0, reply);
        }
        for (to, message) in outbox.sends {
            self.send(to, message, events);
        }
        for write in outbox.writes {
            let operations = write.operations;
            let write_alone = DiskWrite {
                operations,
                ..DiskWrite::default()
            };
            self.store.write(&[write_alone]).unwrap();
            for (to, message) in write.send_when_synced {
                self.send(to, message, events);
            }
            events.extend(write.token.map(|token| Event::Synced { token }));
        }
    }

    fn send(&mut self, to: NodeId, message: Message, events: &mut VecDeque<Event>) {
        self.sent.push((to, message.clone()));
        if to == ME {
            events.push_back(Event::Message { from: ME, message });
        }
    }

    /// Advances the clocks by this number of milliseconds and wakes the logic when it is due.
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

    /// Returns the monotonic clock, in microseconds.
    pub(crate) fn steady_us(&self) -> u64 {
        self.now.steady.0
    }

    /// Handles a message and returns the messages that are sent because of it.
    pub(crate) fn deliver(&mut self, from: NodeId, message: Message) -> Vec<(NodeId, Message)> {
        self.sent.clear();
        self.event(Event::Message { from, message });
        self.sent.clone()
    }

    /// Sends a request as another core process and returns the first reply to that process.
    pub(crate) fn request(&mut self, from: NodeId, message: ControlMessage) -> ControlMessage {
        let sent = self.deliver(from, Message::Control(message));
        let reply = sent.into_iter().find_map(|(to, message)| match message {
            Message::Control(reply) if to == from => Some(reply),
            _ => None,
        });
        reply.expect("a reply to the request")
    }

    /// Sends a request of the operator to the control endpoint and returns the response.
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
        self.replies.remove(&number).expect("a response")
    }

    /// Sends a client's request through the frontend process and returns the reply.
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
            remaining_ms: REMAINING_MS,
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
        reply.expect("a reply to the client")
    }
}

fn factory() -> ServiceFactory {
    Box::new(|now, restored| {
        let settings = SchedulerSettings {
            bounds: Bounds::default(),
            resources: CoreResources {
                memory_mb: 256.0,
                disk_mb: None,
            },
        };
        let scheduler = Scheduler::new(settings, now, restored);
        Box::new(scheduler) as Box<dyn Service + Send>
    })
}
