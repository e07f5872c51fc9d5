//! Runs the gateways, the core processes and the clients in steps of one millisecond, and checks the invariants.

use std::collections::BTreeMap;

use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::distribution::ConfigUpdate;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{
    Event, HttpEndpoint, HttpRequest, HttpRequestId, Method, Node, Now, Outbox,
};
use sagetrail_protocol::{frame, Blob, Message, NodeId, Time};
use sagetrail_test_support::SeededRandom;

use super::clients::{Clients, RequestKey};
use super::core_processes::{CoreMessage, CoreProcesses, CORE};
use super::network::{Connection, Network, Transmission};

const GATEWAYS: usize = 2;
const DOCUMENT: &[u8] = br#"{"version":1,"routes":[],"services":[],"limits":{}}"#;

struct Gateway {
    /// `None` while the process is down.
    node: Option<GatewayNode>,
    incarnation: u64,
    started_ms: u64,
    restart_ms: u64,
    /// The id of the next HTTP request; the ids start at 1 in each incarnation, as in the HTTP server.
    next_id: u64,
}

impl Gateway {
    fn stopped() -> Gateway {
        Gateway {
            node: None,
            incarnation: 0,
            started_ms: 0,
            restart_ms: 0,
            next_id: 1,
        }
    }
}

/// The model of the gateways, the core processes, the clients and the network between them.
pub(crate) struct Cluster {
    random: SeededRandom,
    now_ms: u64,
    gateways: Vec<Gateway>,
    core: CoreProcesses,
    /// The process that relayed a gateway's last message to a core process, by (core process, gateway). Answers are
    /// sent back through it; there is no entry if the last message was direct.
    return_routes: BTreeMap<(NodeId, NodeId), NodeId>,
    clients: Clients,
    network: Network,
    /// The number of distinct jobs submitted so far; each has its own path.
    jobs: u64,
}

/// The number of submissions by outcome.
#[derive(Default, Debug)]
pub(crate) struct Outcomes {
    pub accepted: usize,
    pub rejected: usize,
    pub unknown: usize,
    /// Submissions without an answer, because the client closed the connection or its gateway ended.
    pub closed: usize,
}

fn gateway_address(number: usize) -> NodeId {
    NodeId {
        ip: 1 + number as u32,
        port: 7,
    }
}

fn gateway_at(node: NodeId) -> Option<usize> {
    (0..GATEWAYS).find(|number| gateway_address(*number) == node)
}

fn connection(from: NodeId, to: NodeId) -> Connection {
    let (gateway, core_process) = if gateway_at(from).is_some() {
        (from, to)
    } else {
        (to, from)
    };
    Connection {
        gateway,
        core_process,
    }
}

impl Cluster {
    pub(crate) fn new(seed: u64) -> Cluster {
        Cluster {
            random: SeededRandom::new(seed),
            now_ms: 0,
            gateways: (0..GATEWAYS).map(|_| Gateway::stopped()).collect(),
            core: CoreProcesses::default(),
            return_routes: BTreeMap::new(),
            clients: Clients::default(),
            network: Network::default(),
            jobs: 0,
        }
    }

    /// Runs for `millis` milliseconds; checks each answer on arrival and the rejections at the end.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now_ms += 1;
            self.inject_faults();
            for number in 0..GATEWAYS {
                self.run_gateway(number);
            }
            for message in self.core.tick(self.now_ms, &mut self.random) {
                self.send_back(message);
            }
            self.run_clients();
            self.deliver();
        }
        self.check_rejections();
    }

    fn inject_faults(&mut self) {
        if self.random.one_in(2_500) {
            self.core.depose(self.now_ms, &mut self.random);
        }
        if self.random.one_in(3_000) {
            let number = self.random.below(GATEWAYS as u64) as usize;
            self.gateways[number].node = None;
            self.gateways[number].restart_ms = self.now_ms + self.random.below(300);
            self.clients.close_all(number);
        }
        if self.random.one_in(1_500) {
            let gateway = gateway_address(self.random.below(GATEWAYS as u64) as usize);
            let until_ms = self.now_ms + self.random.below(4_000);
            let core_process = CORE[self.random.below(3) as usize];
            let connection = Connection {
                gateway,
                core_process,
            };
            self.network.cut(connection, until_ms);
        }
    }

    fn run_gateway(&mut self, number: usize) {
        if self.gateways[number].node.is_none() && self.now_ms >= self.gateways[number].restart_ms {
            self.start_gateway(number);
        }
        let gateway = &self.gateways[number];
        let steady = Time::default().plus_millis(self.now_ms - gateway.started_ms);
        let wake = gateway.node.as_ref().and_then(Node::next_wake);
        if wake.is_some_and(|wake| wake <= steady) {
            self.handle(number, Event::Wake);
        }
    }

    fn start_gateway(&mut self, number: usize) {
        let settings = GatewaySettings {
            node: gateway_address(number),
            incarnation: self.random.next_u64().max(1),
            seeds: CORE.to_vec(),
            bounds: Bounds::default(),
            seed: self.random.next_u64(),
        };
        let mut outbox = Outbox::default();
        let gateway = &mut self.gateways[number];
        gateway.incarnation += 1;
        gateway.started_ms = self.now_ms;
        gateway.next_id = 1;
        gateway.node = Some(GatewayNode::new(settings, clock(0), &mut outbox));
        self.process_outbox(number, outbox);
    }

    fn handle(&mut self, number: usize, event: Event) {
        let gateway = &mut self.gateways[number];
        let Some(node) = &mut gateway.node else {
            return;
        };
        let mut outbox = Outbox::default();
        node.handle(clock(self.now_ms - gateway.started_ms), event, &mut outbox);
        self.process_outbox(number, outbox);
    }

    /// Sends the messages of a gateway, and checks its answers.
    fn process_outbox(&mut self, number: usize, outbox: Outbox) {
        for (to, message) in outbox.sends {
            self.send(gateway_address(number), to, message);
        }
        let incarnation = self.gateways[number].incarnation;
        for (id, reply) in outbox.replies {
            let key = RequestKey {
                gateway: number,
                incarnation,
                id,
            };
            let answered = self.clients.answer(key, reply.status, &reply.body);
            let is_accepted = answered.method == Method::Post && reply.status == 200;
            assert!(
                !is_accepted || self.core.has_committed(&answered.path),
                "{} is not committed",
                answered.path
            );
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        let connection = connection(from, to);
        let transmission = (from, to, message);
        self.network
            .send(self.now_ms, &mut self.random, connection, transmission);
    }

    /// Sends a core process's answer to a gateway, through the relay by which the gateway's last message came, if any.
    fn send_back(&mut self, CoreMessage { from, to, message }: CoreMessage) {
        let Some(relay) = self.return_routes.get(&(from, to)).copied() else {
            return self.send(from, to, message);
        };
        let payload = Blob(frame::encode(&message).expect("a message"));
        let relayed = Message::Relayed(Relayed { from, to, payload });
        self.send(from, relay, relayed);
    }

    fn deliver(&mut self) {
        for arrival in self.network.arrivals(self.now_ms) {
            let Transmission {
                from, to, message, ..
            } = arrival;
            match gateway_at(to) {
                Some(number) => self.handle(number, Event::Message { from, message }),
                None => self.deliver_to_core(to, from, message),
            }
        }
    }

    fn deliver_to_core(&mut self, process: NodeId, from: NodeId, message: Message) {
        match message {
            Message::Relayed(relayed) if relayed.to != process => {
                self.send(process, relayed.to, Message::Relayed(relayed));
            }
            Message::Relayed(relayed) => {
                self.return_routes.insert((process, relayed.from), from);
                let message = frame::decode(&relayed.payload).expect("a message");
                self.answer_gateway(process, relayed.from, message);
            }
            message => {
                self.return_routes.remove(&(process, from));
                self.answer_gateway(process, from, message);
            }
        }
    }

    fn answer_gateway(&mut self, process: NodeId, gateway: NodeId, message: Message) {
        let answer = match message {
            Message::Hello(_) => Some(self.core.directory()),
            Message::Subscribe(_) => Some(Message::ConfigUpdate(ConfigUpdate {
                version: 1,
                document: Blob(DOCUMENT.to_vec()),
            })),
            Message::ClientRequest(request) => {
                let random = &mut self.random;
                self.core
                    .handle_request(self.now_ms, process, gateway, request, random)
            }
            _ => None,
        };
        if let Some(message) = answer {
            self.send_back(CoreMessage {
                from: process,
                to: gateway,
                message,
            });
        }
    }

    fn run_clients(&mut self) {
        if self.random.one_in(15) {
            self.send_client_request();
        }
        if self.random.one_in(60) && !self.clients.attempts.is_empty() {
            let count = self.clients.attempts.len() as u64;
            let distance = self.random.below(count.min(20));
            self.close(count - 1 - distance);
        }
    }

    /// Sends a client's request: submits, reads or cancels either a new job or one of the last jobs.
    fn send_client_request(&mut self) {
        let number = self.random.below(GATEWAYS as u64) as usize;
        if self.gateways[number].node.is_none() {
            return;
        }
        let methods = [Method::Post, Method::Post, Method::Get, Method::Delete];
        let method = methods[self.random.below(4) as usize];
        let path = format!("/one/{:016x}", self.pick_job());
        let gateway = &mut self.gateways[number];
        let id = HttpRequestId(gateway.next_id);
        gateway.next_id += 1;
        let key = RequestKey {
            gateway: number,
            incarnation: gateway.incarnation,
            id,
        };
        let attempt = self.clients.record_request(method, path.clone(), key);
        let request = HttpRequest {
            method,
            host: "a.example".to_owned(),
            path,
            base_version: None,
            deadline_ms: Some(500 + self.random.below(3_500)),
            body: attempt.to_le_bytes().to_vec(),
        };
        let event = Event::Http {
            id,
            endpoint: HttpEndpoint::Frontend,
            request,
        };
        self.handle(number, event);
    }

    /// Returns the number of a new job or, at random, of one of the last jobs.
    fn pick_job(&mut self) -> u64 {
        if self.jobs > 0 && self.random.one_in(3) {
            return self.jobs - self.random.below(self.jobs.min(6));
        }
        self.jobs += 1;
        self.jobs
    }

    fn close(&mut self, attempt: u64) {
        if let Some(key) = self.clients.close(attempt) {
            self.handle(key.gateway, Event::HttpAbandoned { id: key.id });
        }
    }

    /// Asserts that no rejected submission was ever accepted by any of its copies.
    fn check_rejections(&self) {
        for attempt in &self.clients.attempts {
            let is_rejected =
                attempt.method == Method::Post && matches!(attempt.status, Some(404 | 429 | 503));
            let is_accepted = self.core.has_accepted(&attempt.path, attempt.number);
            assert!(
                !(is_rejected && is_accepted),
                "{attempt:?} was rejected and a copy of it was accepted"
            );
        }
    }

    pub(crate) fn outcomes(&self) -> Outcomes {
        let mut outcomes = Outcomes::default();
        let attempts = self.clients.attempts.iter();
        for submission in attempts.filter(|attempt| attempt.method == Method::Post) {
            match submission.status {
                Some(200) => outcomes.accepted += 1,
                Some(404 | 429 | 503) => outcomes.rejected += 1,
                Some(_) => outcomes.unknown += 1,
                None => outcomes.closed += 1,
            }
        }
        outcomes
    }
}

fn clock(millis: u64) -> Now {
    Now {
        steady: Time::default().plus_millis(millis),
        wall_ms: 1_700_000_000_000 + millis as i64,
    }
}
