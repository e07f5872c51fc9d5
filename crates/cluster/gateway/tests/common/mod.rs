//! A gateway whose clock and incoming messages the test controls, and whose outgoing messages the test reads.

#![allow(dead_code)]
use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::client::{ClientReply, ClientRequest, NotLeader};
use sagetrail_protocol::collections::{Blob, List};
use sagetrail_protocol::directory::Directory;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate};
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{
    Event, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId, Method, Node, Now, Outbox,
};
use sagetrail_protocol::{frame, Message, NodeId, Time};

/// The address of the gateway.
pub(crate) const GATEWAY: NodeId = NodeId { ip: 1, port: 7 };
/// The addresses of the three core processes.
pub(crate) const CORE: [NodeId; 3] = [
    NodeId { ip: 11, port: 7 },
    NodeId { ip: 12, port: 7 },
    NodeId { ip: 13, port: 7 },
];
/// A configuration of version 5 with a small limit on the body length.
pub(crate) const DOCUMENT: &str =
    r#"{"version":5,"routes":[],"services":[],"limits":{"max_body_bytes":100}}"#;

/// A gateway, its clock, and all messages and replies that it has sent since the last `clear_outbox`.
pub(crate) struct TestGateway {
    pub node: GatewayNode,
    pub now_ms: u64,
    pub outbox: Outbox,
    next_id: u64,
}

impl TestGateway {
    /// Creates a gateway that has just started; its first messages are in the outbox.
    pub(crate) fn new() -> TestGateway {
        TestGateway::with_bounds(Bounds::default())
    }

    pub(crate) fn with_bounds(bounds: Bounds) -> TestGateway {
        let settings = GatewaySettings {
            node: GATEWAY,
            incarnation: 77,
            seeds: CORE.to_vec(),
            bounds,
            seed: 5,
        };
        let mut outbox = Outbox::default();
        let node = GatewayNode::new(settings, clock(0), &mut outbox);
        TestGateway {
            node,
            now_ms: 0,
            outbox,
            next_id: 1,
        }
    }

    /// Creates a gateway that is in contact with the leader (the first core process, in term 1) and has the
    /// configuration of version 5.
    pub(crate) fn connected() -> TestGateway {
        let mut gateway = TestGateway::new();
        gateway.receive_directory(CORE[0], 1, CORE[0]);
        gateway.receive_update(CORE[1], 5);
        gateway.clear_outbox();
        gateway
    }

    pub(crate) fn clear_outbox(&mut self) {
        self.outbox.sends.clear();
        self.outbox.replies.clear();
    }

    pub(crate) fn handle(&mut self, event: Event) {
        self.node
            .handle(clock(self.now_ms), event, &mut self.outbox);
    }

    pub(crate) fn receive(&mut self, from: NodeId, message: Message) {
        self.handle(Event::Message { from, message });
    }

    /// Advances the clock by `millis` and wakes the node exactly at the times that it requests.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now_ms + millis;
        while let Some(wake) = self.node.next_wake() {
            let wake_ms = wake.0.div_ceil(1000);
            if wake_ms > end {
                break;
            }
            assert!(wake_ms >= self.now_ms, "a wake in the past");
            let former_ms = self.now_ms;
            self.now_ms = wake_ms;
            self.handle(Event::Wake);
            let next = self.node.next_wake().unwrap();
            assert!(
                next > Time(wake_ms * 1000) || wake_ms > former_ms,
                "wakes forever at one time"
            );
        }
        self.now_ms = end;
    }

    /// Advances the clock by `millis` while the leader and the configuration parents answer every 100 ms.
    pub(crate) fn advance_in_contact(
        &mut self,
        millis: u64,
        leader: NodeId,
        term: u64,
        version: u64,
    ) {
        for _ in 0..millis / 100 {
            self.advance(100);
            self.receive_directory(leader, term, leader);
            for parent in CORE {
                self.receive_current(parent, version, 0);
            }
        }
    }

    /// Delivers a configuration parent's answer to a subscription that was sent at the current time.
    pub(crate) fn receive_current(&mut self, from: NodeId, version: u64, age_ms: u64) {
        let asked_at = self.now_ms * 1000;
        self.receive(
            from,
            Message::ConfigCurrent(ConfigCurrent {
                version,
                age_ms,
                asked_at,
            }),
        );
    }

    pub(crate) fn receive_directory(&mut self, from: NodeId, term: u64, leader: NodeId) {
        self.receive(from, directory(term, leader));
    }

    pub(crate) fn receive_update(&mut self, from: NodeId, version: u64) {
        let document = Blob(DOCUMENT.replace('5', &version.to_string()).into_bytes());
        self.receive(
            from,
            Message::ConfigUpdate(ConfigUpdate { version, document }),
        );
    }

    pub(crate) fn receive_not_leader(
        &mut self,
        from: NodeId,
        request: u64,
        term: u64,
        leader: NodeId,
    ) {
        self.receive(
            from,
            Message::NotLeader(NotLeader {
                request,
                term,
                leader,
            }),
        );
    }

    pub(crate) fn receive_reply(&mut self, from: NodeId, request: u64, status: u16) {
        self.receive(from, reply(request, status));
    }

    pub(crate) fn http(
        &mut self,
        method: Method,
        body: Vec<u8>,
        deadline_ms: Option<u64>,
    ) -> HttpRequestId {
        let id = HttpRequestId(self.next_id);
        self.next_id += 1;
        let request = HttpRequest {
            method,
            host: "a.example".to_owned(),
            path: "/one/5c0e7a21d94b36f8".to_owned(),
            base_version: None,
            deadline_ms,
            body,
        };
        self.handle(Event::Http {
            id,
            endpoint: HttpEndpoint::Frontend,
            request,
        });
        id
    }

    pub(crate) fn submit(&mut self) -> HttpRequestId {
        self.http(Method::Post, b"{}".to_vec(), None)
    }

    pub(crate) fn readiness(&mut self) -> u16 {
        let id = HttpRequestId(self.next_id);
        self.next_id += 1;
        let request = HttpRequest {
            method: Method::Get,
            host: String::new(),
            path: "/v1/readyz".to_owned(),
            base_version: None,
            deadline_ms: None,
            body: Vec::new(),
        };
        self.handle(Event::Http {
            id,
            endpoint: HttpEndpoint::Readiness,
            request,
        });
        self.reply_to(id)
            .expect("readiness is answered at once")
            .status
    }

    pub(crate) fn reply_to(&self, id: HttpRequestId) -> Option<HttpReply> {
        let mut replies = self.outbox.replies.iter().filter(|(of, _)| *of == id);
        let first = replies.next().map(|(_, reply)| reply.clone());
        assert!(replies.next().is_none(), "answered twice");
        first
    }

    pub(crate) fn status_of(&self, id: HttpRequestId) -> Option<u16> {
        self.reply_to(id).map(|reply| reply.status)
    }

    /// Returns the requests that were sent directly since the last `clear_outbox`, each with its receiver.
    pub(crate) fn requests(&self) -> Vec<(NodeId, ClientRequest)> {
        let request = |(to, message): &(NodeId, Message)| match message {
            Message::ClientRequest(request) => Some((*to, request.clone())),
            _ => None,
        };
        self.outbox.sends.iter().filter_map(request).collect()
    }

    /// Returns the relayed messages that were sent since the last `clear_outbox`, each with its relay.
    pub(crate) fn relayed(&self) -> Vec<(NodeId, Relayed)> {
        let relayed = |(to, message): &(NodeId, Message)| match message {
            Message::Relayed(relayed) => Some((*to, relayed.clone())),
            _ => None,
        };
        self.outbox.sends.iter().filter_map(relayed).collect()
    }

    pub(crate) fn hellos(&self) -> Vec<NodeId> {
        let hello =
            |(to, message): &(NodeId, Message)| matches!(message, Message::Hello(_)).then_some(*to);
        self.outbox.sends.iter().filter_map(hello).collect()
    }

    pub(crate) fn subscriptions(&self) -> Vec<(NodeId, u64)> {
        let subscription = |(to, message): &(NodeId, Message)| match message {
            Message::Subscribe(subscribe) => Some((*to, subscribe.known_version)),
            _ => None,
        };
        self.outbox.sends.iter().filter_map(subscription).collect()
    }
}

/// Returns the steady and the wall clock at `millis` milliseconds after the start of the test.
pub(crate) fn clock(millis: u64) -> Now {
    Now {
        steady: Time(millis * 1000),
        wall_ms: 1_700_000_000_000 + millis as i64,
    }
}

pub(crate) fn directory(term: u64, leader: NodeId) -> Message {
    Message::Directory(Directory {
        members_version: 1,
        members: List(CORE.to_vec()),
        next_members: List::default(),
        term,
        leader,
        config_version: 5,
        relays: List(Vec::new()),
    })
}

pub(crate) fn reply(request: u64, status: u16) -> Message {
    let body = Blob(b"{\"state\":\"queued\"}".to_vec());
    Message::ClientReply(ClientReply {
        request,
        status,
        retry_after_ms: 0,
        body,
        config_version: 6,
    })
}

/// Wraps `message` of `from` as a third process relays it to the gateway.
pub(crate) fn relayed_to_gateway(from: NodeId, message: &Message) -> Message {
    Message::Relayed(Relayed {
        from,
        to: GATEWAY,
        payload: Blob(frame::encode(message).unwrap()),
    })
}
