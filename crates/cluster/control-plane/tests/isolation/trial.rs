//! One member with one fault: how it is brought about, and the requests of operators and clients meanwhile.

use crate::checker::{
    Change, History, ReadBack, DRIFT_PPM, MICROS_PER_MS, OK, PRECONDITION_FAILED,
};
use crate::support::cluster::{id, Cluster, CLIENT};
use crate::support::journal::READ;
use crate::support::machine::TRUE_RATE_PPM;
use crate::support::network::{Conditions, CALM};
use crate::support::requests::config;
use rand::Rng;
use sagetrail_control_plane::RegisterValue;
use sagetrail_protocol::client::{ClientMethod, ClientRequest};
use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::distribution::Subscribe;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{Event, Method};
use sagetrail_protocol::{frame, Blob, Message, NodeId, NodeKind, Text};

/// A process that reaches the members only by another.
const FAR: NodeId = NodeId { ip: 98, port: 1 };
/// A child of the relay tree asks this often; the clients a little more often. In milliseconds.
const ASK_MS: u64 = 150;
/// After its return the member answers a read-back within this, in milliseconds.
const RETURN_READ_MS: u64 = 1_200;
const ROUGH: Conditions = Conditions {
    loss: 0.02,
    duplication: 0.02,
    delay_us: (200, 20_000),
    sync_us: (1_000, 12_000),
};

/// What happens to the member.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Fault {
    /// Neither the others nor the operator reach it.
    BothDirections,
    /// Messages reach it, its own are lost.
    Outbound,
    /// Its messages arrive, those to it are lost.
    Inbound,
    /// The operator and clients reach it, the others do not.
    CoreOnly,
    /// The operator and clients reach it alone, and the others do not reach it.
    OperatorOnSide,
    /// The operator does not reach it, the others do.
    OperatorOnly,
    /// No member reaches another; there is no majority anywhere.
    AllIsolated,
    /// SIGSTOP, then SIGCONT; what was sent to it waits.
    Frozen,
}

/// Ways in which a member may be wrong; the checker must flag each but the first.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Variant {
    Sound,
    /// Answers a read-back from its own disk.
    ReadsAlone,
    /// Answers a change with 200 at once.
    ConfirmsAlone,
    /// Compares a change with the version on its own disk and refuses.
    RefusesAlone,
    /// Its steady clock stands still while it is frozen, so that a lease seems to last.
    ClockStops,
}

/// One member with one fault, under the requests of operators and clients.
pub(crate) struct Trial {
    cluster: Cluster,
    history: History,
    variant: Variant,
    fault: Fault,
    member: usize,
    count: usize,
    fault_active: bool,
}

impl Trial {
    pub(crate) fn new(seed: u64, variant: Variant, fault: Fault) -> Trial {
        let count = if seed.is_multiple_of(4) { 5 } else { 3 };
        let mut cluster = Cluster::bootstrapped(count, seed);
        for index in 0..count {
            let steps = cluster.random.random_range(0..=2);
            cluster.machines[index]
                .set_rate(cluster.now, TRUE_RATE_PPM + DRIFT_PPM - steps * DRIFT_PPM);
        }
        cluster.conditions = if seed.is_multiple_of(3) { ROUGH } else { CALM };
        // Every other time it is the scheduler that is in fault.
        let leader = cluster.leader().unwrap();
        let member = (leader + if seed.is_multiple_of(2) { 0 } else { 1 }) % count;
        let history = History::default();
        Trial {
            cluster,
            history,
            variant,
            fault,
            member,
            count,
            fault_active: false,
        }
    }

    fn healthy(&mut self) -> usize {
        (self.member + self.cluster.random.random_range(1..self.count)) % self.count
    }

    fn newest(&self) -> u64 {
        self.history.newest_before(self.cluster.now)
    }

    /// Sends a change as one of several operators does: all of them know what was acknowledged or read.
    fn change(&mut self, member: usize, needs_current: bool) -> usize {
        let base = self.newest();
        let step = self.cluster.random.random_range(1..4);
        let version = if needs_current { base } else { base + step };
        let mark: u32 = self.cluster.random.random_range(0..1_000_000);
        let mut content = config(version).replace("/p", &format!("/x{mark}p"));
        if needs_current && self.cluster.random.random_bool(0.5) {
            content = patch_with_unknown_service(base + step, mark);
        }
        self.send_change(member, base, version, content, needs_current)
    }

    fn send_change(
        &mut self,
        member: usize,
        base: u64,
        version: u64,
        content: String,
        needs_current: bool,
    ) -> usize {
        let sent_at = self.cluster.now;
        let mut answer = None;
        if self.fault_active && member == self.member {
            let now = sent_at;
            answer = match self.variant {
                Variant::ConfirmsAlone => Some((OK, now)),
                Variant::RefusesAlone if self.own_version() != base => {
                    Some((PRECONDITION_FAILED, now))
                }
                _ => None,
            };
        }
        let path = if content.contains("upsert") {
            "/v1/config/patch"
        } else {
            "/v1/config/replace"
        };
        let number = match answer {
            Some(_) => None,
            None => Some(
                self.cluster
                    .http(member, Method::Post, path, Some(base), &content),
            ),
        };
        self.history.changes.push(Change {
            member,
            base,
            version,
            content,
            sent_at,
            answer,
            number,
            needs_current,
        });
        self.history.changes.len() - 1
    }

    fn read_back(&mut self, member: usize) -> usize {
        let sent_at = self.cluster.now;
        let mut read = ReadBack {
            member,
            sent_at,
            answer: None,
            number: None,
            version: None,
            route: None,
        };
        if self.fault_active && member == self.member && self.variant == Variant::ReadsAlone {
            read.answer = Some((OK, sent_at));
            read.version = Some(self.own_version());
        } else {
            read.number = Some(
                self.cluster
                    .http(member, Method::Get, "/v1/config/get", None, ""),
            );
        }
        self.history.reads.push(read);
        self.history.reads.len() - 1
    }

    /// The version in the value that the member accepted last.
    fn own_version(&self) -> u64 {
        let rows = self.cluster.machines[self.member].disk.control.values();
        let values = rows.filter_map(|row| RegisterValue::decode(row).ok());
        values
            .map(|value| value.config.version)
            .max()
            .unwrap_or_default()
    }

    /// Runs on and notes the answers.
    fn run(&mut self, span_ms: u64) {
        self.cluster.run(span_ms);
        let cluster = &self.cluster;
        let answer = |number: Option<u64>| {
            let number = number.filter(|number| cluster.replies.contains_key(number))?;
            Some((cluster.status(number), cluster.replied_at[&number]))
        };
        for change in self
            .history
            .changes
            .iter_mut()
            .filter(|change| change.answer.is_none())
        {
            change.answer = answer(change.number);
        }
        for read in self
            .history
            .reads
            .iter_mut()
            .filter(|read| read.answer.is_none())
        {
            read.answer = answer(read.number);
            if read.answer.is_some_and(|(status, _)| status == OK) {
                let reply = read.number.and_then(|number| cluster.replies.get(&number));
                let document = reply.and_then(|reply| document_in(&reply.body));
                let (version, route) = document.unzip();
                (read.version, read.route) = (version, route);
            }
        }
    }

    /// A child of the relay tree and a client ask a process.
    fn send_questions(&mut self, member: usize) {
        let have = if self.cluster.random.random_bool(0.3) {
            0
        } else {
            self.newest()
        };
        let hello = Hello {
            kind: NodeKind::Side,
            incarnation: 5,
            config_version: have,
        };
        let subscribe = Subscribe {
            known_version: have,
            asked_at: self.cluster.now,
        };
        let relayed_by_third = self.cluster.random.random_bool(0.25);
        for message in [Message::Subscribe(subscribe), Message::Hello(hello), read()] {
            let message = if relayed_by_third {
                relayed(member, &message)
            } else {
                message
            };
            self.cluster.event(
                member,
                Event::Message {
                    from: CLIENT,
                    message,
                },
            );
        }
    }

    /// The operators and clients go on for a while.
    fn work(&mut self, span_ms: u64) {
        let end = self.cluster.now + span_ms * MICROS_PER_MS;
        while self.cluster.now < end {
            let healthy = self.healthy();
            let reached = self.reached();
            if reached != Reached::MemberAlone {
                self.send_questions(healthy);
                match self.cluster.random.random_range(0..6) {
                    0 | 1 => drop(self.change(healthy, false)),
                    2 => drop(self.read_back(healthy)),
                    _ => {}
                }
            }
            if reached != Reached::OthersAlone {
                self.send_questions(self.member);
                match self.cluster.random.random_range(0..8) {
                    0 => drop(self.change(self.member, false)),
                    1 => drop(self.change(self.member, true)),
                    2 => drop(self.read_back(self.member)),
                    _ => {}
                }
            }
            let jump: i64 = self.cluster.random.random_range(-9_000..9_000);
            self.cluster.machines[self.member].wall_ms += jump;
            let pause = self.cluster.random.random_range(ASK_MS / 2..2 * ASK_MS);
            self.run(pause);
        }
    }

    fn reached(&self) -> Reached {
        match self.fault {
            _ if !self.fault_active => Reached::All,
            Fault::BothDirections | Fault::OperatorOnly => Reached::OthersAlone,
            Fault::OperatorOnSide => Reached::MemberAlone,
            _ => Reached::All,
        }
    }

    fn begin_fault(&mut self) {
        let member = self.member;
        let own = id(member);
        let others: Vec<NodeId> = (0..self.count)
            .filter(|other| *other != member)
            .map(id)
            .collect();
        match self.fault {
            Fault::BothDirections | Fault::CoreOnly | Fault::OperatorOnSide => {
                self.cluster.isolate(member)
            }
            Fault::Outbound => self
                .cluster
                .partition
                .extend(others.iter().map(|other| (own, *other))),
            Fault::Inbound => self
                .cluster
                .partition
                .extend(others.iter().map(|other| (*other, own))),
            Fault::OperatorOnly => {}
            Fault::AllIsolated => (0..self.count).for_each(|member| self.cluster.isolate(member)),
            Fault::Frozen => self.cluster.freeze(member),
        }
        self.fault_active = true;
    }

    fn end_fault(&mut self, since: u64) {
        match self.fault {
            Fault::Frozen if self.variant == Variant::ClockStops => {
                self.cluster.thaw_with_stopped_clock(self.member, since);
            }
            Fault::Frozen => self.cluster.thaw(self.member),
            _ => self.cluster.heal_network(),
        }
        self.fault_active = false;
    }

    pub(crate) fn run_to_end(mut self) -> History {
        self.change(0, false);
        self.run(400);
        self.work(1_500);
        let since = self.cluster.now;
        self.begin_fault();
        let span_ms = self.cluster.random.random_range(1_000..22_000);
        self.work(span_ms);
        if !matches!(self.fault, Fault::OperatorOnly | Fault::Frozen) {
            let alone = self.member..self.member + 1;
            let members = if self.fault == Fault::AllIsolated {
                0..self.count
            } else {
                alone
            };
            self.history.isolated = Some((members, since, self.cluster.now));
        }
        self.end_fault(since);
        self.check_return();
        self.work(2_000);
        self.finish();
        self.collect()
    }

    /// Right after its return the member is asked for the newest, and a change is built on that.
    fn check_return(&mut self) {
        let read = self.read_back(self.member);
        self.send_questions(self.member);
        let limit = self.cluster.now + RETURN_READ_MS * MICROS_PER_MS;
        while self.history.reads[read].answer.is_none() && self.cluster.now < limit {
            self.run(5);
        }
        if self.variant == Variant::Sound {
            let answer = self.history.reads[read].answer;
            assert!(
                answer.is_some_and(|(status, _)| status == OK),
                "{:?}: {answer:?}",
                self.fault
            );
        }
        self.change(self.member, false);
        self.run(100);
    }

    /// Acknowledged changes are sent again at the member, and every member is read at the end.
    fn finish(&mut self) {
        self.cluster.conditions = CALM;
        self.run(4_500);
        let taken = self
            .history
            .changes
            .iter()
            .filter(|change| change.acknowledged_before(self.cluster.now));
        let again: Vec<Change> = taken.rev().take(3).cloned().collect();
        for change in again {
            self.send_change(
                self.member,
                change.base,
                change.version,
                change.content,
                false,
            );
            self.run(100);
        }
        self.read_back(self.member);
        self.run(1_000);
        let change = self.change(self.member, false);
        self.run(1_500);
        if self.variant == Variant::Sound {
            let answer = self.history.changes[change].answer;
            assert!(
                answer.is_some_and(|(status, _)| status == OK),
                "{:?}: {answer:?}",
                self.fault
            );
        }
        for member in 0..self.count {
            self.read_back(member);
            self.run(1_000);
        }
    }

    fn collect(mut self) -> History {
        let messages = std::mem::take(&mut self.cluster.client_messages);
        let sources = std::mem::take(&mut self.cluster.client_sources);
        let received = sources.into_iter().zip(messages);
        self.history.received = received
            .map(|((at, from), message)| (at, from, unwrapped(message)))
            .collect();
        self.history.term_starts = std::mem::take(&mut self.cluster.term_starts);
        self.history
    }
}

/// The processes that the operators and clients reach.
#[derive(Clone, Copy, PartialEq)]
enum Reached {
    All,
    OthersAlone,
    MemberAlone,
}

/// A patch that only the current configuration shows to be invalid: its service is unknown.
fn patch_with_unknown_service(version: u64, mark: u32) -> String {
    format!(
        r#"{{"version":{version},"upsert":{{"routes":[{{"name":"n{mark}","host":"n.example","path_prefix":"/n/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":800,"priority":0,"service":"none","max_attempts":4,"extension":1.5}}]}}}}"#
    )
}

/// A client's question that is answered at once under the lease.
fn read() -> Message {
    Message::ClientRequest(ClientRequest {
        request: READ,
        method: ClientMethod::Read,
        host: Text::default(),
        path: Text::default(),
        body: Blob::default(),
        config_version: 0,
        remaining_ms: 1_000,
    })
}

/// A message of `FAR` that the client passes on.
fn relayed(member: usize, message: &Message) -> Message {
    let payload = Blob(frame::encode(message).unwrap());
    Message::Relayed(Relayed {
        from: FAR,
        to: id(member),
        payload,
    })
}

/// A message without the frame of a relay.
fn unwrapped(message: Message) -> Message {
    match message {
        Message::Relayed(relayed) => frame::decode(&relayed.payload).unwrap(),
        message => message,
    }
}

/// The version and the path of the only route.
fn document_in(body: &[u8]) -> Option<(u64, String)> {
    let json: serde_json::Value = serde_json::from_slice(body).ok()?;
    Some((
        json["version"].as_u64()?,
        json["routes"][0]["path_prefix"].as_str()?.to_owned(),
    ))
}
