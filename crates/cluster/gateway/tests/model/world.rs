//! All of them, and what must hold.

use super::chance::Chance;
use super::clients::Clients;
use super::core::{Core, CORE};
use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::distribution::ConfigUpdate;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{
    Event, HttpEndpoint, HttpRequest, HttpRequestId, Method, Node, Now, Outbox,
};
use sagetrail_protocol::{frame, Blob, Message, NodeId, Time};
use std::collections::BTreeMap;

const GATEWAYS: usize = 2;
const DOCUMENT: &[u8] = br#"{"version":1,"routes":[],"services":[],"limits":{}}"#;

struct Gateway {
    node: Option<GatewayNode>,
    life: u64,
    started_ms: u64,
    back_ms: u64,
    /// Counts from one in each life, as the server of HTTP does.
    next_id: u64,
}

struct Letter {
    due_ms: u64,
    from: NodeId,
    to: NodeId,
    message: Message,
}

pub(crate) struct World {
    chance: Chance,
    now_ms: u64,
    gateways: Vec<Gateway>,
    core: Core,
    /// Who passed a gateway's last message on: answers go back by it.
    ways: BTreeMap<(NodeId, NodeId), NodeId>,
    pub clients: Clients,
    letters: Vec<Letter>,
    /// The way between a gateway and a core process is cut until then.
    cuts: BTreeMap<(NodeId, NodeId), u64>,
    jobs: u64,
}

/// What came of a schedule.
#[derive(Default, Debug)]
pub(crate) struct Sum {
    pub accepted: usize,
    pub refused: usize,
    pub unknown: usize,
    pub gone: usize,
}

fn gateway_node(number: usize) -> NodeId {
    NodeId {
        ip: 1 + number as u32,
        port: 7,
    }
}

fn gateway_at(node: NodeId) -> Option<usize> {
    (0..GATEWAYS).find(|number| gateway_node(*number) == node)
}

impl World {
    pub(crate) fn new(seed: u64) -> World {
        let gateway = || Gateway {
            node: None,
            life: 0,
            started_ms: 0,
            back_ms: 0,
            next_id: 1,
        };
        World {
            chance: Chance::new(seed),
            now_ms: 0,
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            core: Core::default(),
            ways: BTreeMap::new(),
            clients: Clients::default(),
            letters: Vec::new(),
            cuts: BTreeMap::new(),
            jobs: 0,
        }
    }

    pub(crate) fn play(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now_ms += 1;
            self.trouble();
            for number in 0..GATEWAYS {
                self.run_gateway(number);
            }
            for (from, to, message) in self.core.tick(self.now_ms, &mut self.chance) {
                self.answer(from, to, message);
            }
            self.ask();
            self.deliver();
        }
        self.check();
    }

    fn trouble(&mut self) {
        if self.chance.once_in(2_500) {
            self.core.depose(self.now_ms, &mut self.chance);
        }
        if self.chance.once_in(3_000) {
            let number = self.chance.below(GATEWAYS as u64) as usize;
            self.gateways[number].node = None;
            self.gateways[number].back_ms = self.now_ms + self.chance.below(300);
            self.clients.cut(number);
        }
        if self.chance.once_in(1_500) {
            let gateway = gateway_node(self.chance.below(GATEWAYS as u64) as usize);
            let until_ms = self.now_ms + self.chance.below(4_000);
            self.cuts
                .insert((gateway, CORE[self.chance.below(3) as usize]), until_ms);
        }
    }

    fn run_gateway(&mut self, number: usize) {
        if self.gateways[number].node.is_none() && self.now_ms >= self.gateways[number].back_ms {
            self.start_gateway(number);
        }
        let gateway = &self.gateways[number];
        let steady = Time::default().plus_millis(self.now_ms - gateway.started_ms);
        if gateway
            .node
            .as_ref()
            .and_then(Node::next_wake)
            .is_some_and(|wake| wake <= steady)
        {
            self.event(number, Event::Wake);
        }
    }

    fn start_gateway(&mut self, number: usize) {
        let settings = GatewaySettings {
            node: gateway_node(number),
            incarnation: self.chance.next().max(1),
            seeds: CORE.to_vec(),
            bounds: Bounds::default(),
            seed: self.chance.next(),
        };
        let mut outbox = Outbox::default();
        let gateway = &mut self.gateways[number];
        (gateway.life, gateway.started_ms, gateway.next_id) = (gateway.life + 1, self.now_ms, 1);
        gateway.node = Some(GatewayNode::new(settings, clock(0), &mut outbox));
        self.perform(number, outbox);
    }

    fn event(&mut self, number: usize, event: Event) {
        let gateway = &mut self.gateways[number];
        let Some(node) = &mut gateway.node else {
            return;
        };
        let mut outbox = Outbox::default();
        node.handle(clock(self.now_ms - gateway.started_ms), event, &mut outbox);
        self.perform(number, outbox);
    }

    fn perform(&mut self, number: usize, outbox: Outbox) {
        for (to, message) in outbox.sends {
            self.post(gateway_node(number), to, message);
        }
        let life = self.gateways[number].life;
        for (id, reply) in outbox.replies {
            let answered = self
                .clients
                .answer(number, life, id, reply.status, &reply.body);
            let accepted = answered.method == Method::Post && reply.status == 200;
            assert!(
                !accepted || self.core.keeps(&answered.path),
                "{} is not kept",
                answered.path
            );
        }
    }

    fn post(&mut self, from: NodeId, to: NodeId, message: Message) {
        let way = if gateway_at(from).is_some() {
            (from, to)
        } else {
            (to, from)
        };
        let cut = self
            .cuts
            .get(&way)
            .is_some_and(|until_ms| self.now_ms < *until_ms);
        if let (false, Some(way_ms)) = (cut, self.chance.way_ms()) {
            self.letters.push(Letter {
                due_ms: self.now_ms + way_ms,
                from,
                to,
                message,
            });
        }
    }

    /// A core process answers a gateway, by whoever passed its question on.
    fn answer(&mut self, from: NodeId, to: NodeId, message: Message) {
        let Some(forwarder) = self.ways.get(&(from, to)).copied() else {
            return self.post(from, to, message);
        };
        let payload = Blob(frame::encode(&message).expect("a message"));
        self.post(
            from,
            forwarder,
            Message::Relayed(Relayed { from, to, payload }),
        );
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Letter> = self
            .letters
            .extract_if(.., |letter| letter.due_ms <= now_ms)
            .collect();
        for Letter {
            from, to, message, ..
        } in due
        {
            match gateway_at(to) {
                Some(number) => self.event(number, Event::Message { from, message }),
                None => self.reach_core(to, from, message),
            }
        }
    }

    fn reach_core(&mut self, at: NodeId, from: NodeId, message: Message) {
        match message {
            Message::Relayed(relayed) if relayed.to != at => {
                self.post(at, relayed.to, Message::Relayed(relayed));
            }
            Message::Relayed(relayed) => {
                self.ways.insert((at, relayed.from), from);
                let message = frame::decode(&relayed.payload).expect("a message");
                self.ask_core(at, relayed.from, message);
            }
            message => {
                self.ways.remove(&(at, from));
                self.ask_core(at, from, message);
            }
        }
    }

    fn ask_core(&mut self, at: NodeId, from: NodeId, message: Message) {
        let answer = match message {
            Message::Hello(_) => Some(self.core.directory()),
            Message::Subscribe(_) => Some(Message::ConfigUpdate(ConfigUpdate {
                version: 1,
                document: Blob(DOCUMENT.to_vec()),
            })),
            Message::ClientRequest(request) => {
                self.core
                    .request(self.now_ms, at, from, request, &mut self.chance)
            }
            _ => None,
        };
        if let Some(answer) = answer {
            self.answer(at, from, answer);
        }
    }

    fn ask(&mut self) {
        if self.chance.once_in(15) {
            self.begin();
        }
        if self.chance.once_in(60) && !self.clients.tries.is_empty() {
            let last = self.clients.tries.len() as u64;
            let back = self.chance.below(last.min(20));
            self.leave(last - 1 - back);
        }
    }

    /// A client asks: a job that is new, or one of the last again, or what became of one of them.
    fn begin(&mut self) {
        let number = self.chance.below(GATEWAYS as u64) as usize;
        if self.gateways[number].node.is_none() {
            return;
        }
        let method = [Method::Post, Method::Post, Method::Get, Method::Delete]
            [self.chance.below(4) as usize];
        let again = self.jobs > 0 && self.chance.once_in(3);
        self.jobs += u64::from(!again);
        let job = if again {
            self.jobs - self.chance.below(self.jobs.min(6))
        } else {
            self.jobs
        };
        let path = format!("/one/{job:016x}");
        let gateway = &mut self.gateways[number];
        let id = HttpRequestId(gateway.next_id);
        gateway.next_id += 1;
        let one_try = self
            .clients
            .begin(method, path.clone(), number, gateway.life, id);
        let request = HttpRequest {
            method,
            host: "a.example".to_owned(),
            path,
            base_version: None,
            deadline_ms: Some(500 + self.chance.below(3_500)),
            body: one_try.to_le_bytes().to_vec(),
        };
        self.event(
            number,
            Event::Http {
                id,
                endpoint: HttpEndpoint::Frontend,
                request,
            },
        );
    }

    fn leave(&mut self, number: u64) {
        let gateway = self.clients.tries[number as usize].gateway;
        if let Some(id) = self.clients.leave(number) {
            self.event(gateway, Event::HttpAbandoned { id });
        }
    }

    /// A submission that was refused was never taken, whatever became of its copies.
    fn check(&self) {
        for one in &self.clients.tries {
            let refused = one.method == Method::Post && matches!(one.status, Some(404 | 429 | 503));
            let taken = self
                .core
                .takers
                .get(&one.path)
                .is_some_and(|tries| tries.contains(&one.number));
            assert!(
                !(refused && taken),
                "{one:?} was refused and a copy of it was taken"
            );
        }
    }

    pub(crate) fn sum(&self) -> Sum {
        let mut sum = Sum::default();
        for one in self
            .clients
            .tries
            .iter()
            .filter(|one| one.method == Method::Post)
        {
            match one.status {
                Some(200) => sum.accepted += 1,
                Some(404 | 429 | 503) => sum.refused += 1,
                Some(_) => sum.unknown += 1,
                None => sum.gone += 1,
            }
        }
        sum
    }
}

fn clock(millis: u64) -> Now {
    Now {
        steady: Time::default().plus_millis(millis),
        wall_ms: 1_700_000_000_000 + millis as i64,
    }
}
