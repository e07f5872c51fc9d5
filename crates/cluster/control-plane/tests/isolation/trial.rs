//! A schedule in which one member has one fault, under the requests of operators and clients.

use crate::checker::{
    Change, History, ReadAttempt, DRIFT_PPM, MICROS_PER_MS, OK, PRECONDITION_FAILED,
};
use crate::support::cluster::{id, Cluster, CLIENT};
use crate::support::journal::READ;
use crate::support::machine::TRUE_RATE_PPM;
use crate::support::network::{Conditions, FAULT_FREE};
use crate::support::requests::config;
use rand::Rng;
use sagetrail_control_plane::RegisterValue;
use sagetrail_protocol::client::{ClientMethod, ClientRequest};
use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::distribution::Subscribe;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{Event, Method};
use sagetrail_protocol::{frame, Blob, Message, NodeId, NodeKind, Text};

/// A process that reaches the members only through another process.
const RELAYED_PROCESS: NodeId = NodeId { ip: 98, port: 1 };
/// The interval between the requests of the child of the relay tree and of the client, in milliseconds. Intervals are
/// random between half and twice this value.
const REQUEST_INTERVAL_MS: u64 = 150;
/// The time within which the member answers a read after the end of its fault, in milliseconds.
const READ_AFTER_RETURN_MS: u64 = 1_200;
const LOSSY: Conditions = Conditions {
    loss: 0.02,
    duplication: 0.02,
    delay_us: (200, 20_000),
    sync_us: (1_000, 12_000),
};

/// The fault of the member.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Fault {
    /// Neither the other members nor the operator and clients reach the member.
    BothDirections,
    /// The member receives messages, and its own messages to other members are lost.
    Outbound,
    /// The messages of the member arrive, and those of other members to it are lost.
    Inbound,
    /// The operator and clients reach the member, the other members do not.
    CoreOnly,
    /// The operator and clients reach only the member, and the other members do not reach it.
    CoreOnlyOthersUnreachable,
    /// The other members reach the member, the operator and clients do not.
    OperatorOnly,
    /// No member reaches another one, so that there is no majority.
    AllIsolated,
    /// The member is suspended by SIGSTOP and resumed by SIGCONT. Messages to it wait.
    Frozen,
}

/// The behaviours of the member. The checker must detect each of them except the first.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Variant {
    /// The member is unmodified.
    Correct,
    /// The member answers a read from its own disk.
    ReadsLocally,
    /// The member answers a change with 200 at once.
    ConfirmsLocally,
    /// The member rejects a change whose base differs from the version on its own disk.
    RejectsLocally,
    /// The steady clock of the member stands still while it is frozen, so that a lease appears not to expire.
    ClockStops,
}

/// A schedule in which one member has one fault.
pub(crate) struct Trial {
    cluster: Cluster,
    history: History,
    variant: Variant,
    fault: Fault,
    /// The member that has the fault.
    member: usize,
    /// The number of members.
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
        cluster.conditions = if seed.is_multiple_of(3) {
            LOSSY
        } else {
            FAULT_FREE
        };
        // With even seeds the member with the fault is the leader.
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

    fn random_other_member(&mut self) -> usize {
        (self.member + self.cluster.random.random_range(1..self.count)) % self.count
    }

    fn newest(&self) -> u64 {
        self.history.newest_before(self.cluster.now)
    }

    /// Sends a change on the newest version that any operator has had confirmed or has read.
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
                Variant::ConfirmsLocally => Some((OK, now)),
                Variant::RejectsLocally if self.own_version() != base => {
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

    fn send_read(&mut self, member: usize) -> usize {
        let sent_at = self.cluster.now;
        let mut read = ReadAttempt {
            member,
            sent_at,
            answer: None,
            number: None,
            version: None,
            route: None,
        };
        if self.fault_active && member == self.member && self.variant == Variant::ReadsLocally {
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

    /// Returns the version in the value that the member accepted last.
    fn own_version(&self) -> u64 {
        let rows = self.cluster.machines[self.member].disk.control.values();
        let values = rows.filter_map(|row| RegisterValue::decode(row).ok());
        values
            .map(|value| value.config.version)
            .max()
            .unwrap_or_default()
    }

    /// Runs the cluster and records the answers.
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

    /// Sends the requests of the child of the relay tree and of the client to a member.
    fn send_requests(&mut self, member: usize) {
        let known_version = if self.cluster.random.random_bool(0.3) {
            0
        } else {
            self.newest()
        };
        let hello = Hello {
            kind: NodeKind::Side,
            incarnation: 5,
            config_version: known_version,
        };
        let subscribe = Subscribe {
            known_version,
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

    /// Runs the cluster for `span_ms` with requests of operators and clients.
    fn run_with_requests(&mut self, span_ms: u64) {
        let end = self.cluster.now + span_ms * MICROS_PER_MS;
        while self.cluster.now < end {
            let other = self.random_other_member();
            let reachable = self.reachable();
            if reachable != Reachable::MemberOnly {
                self.send_requests(other);
                match self.cluster.random.random_range(0..6) {
                    0 | 1 => drop(self.change(other, false)),
                    2 => drop(self.send_read(other)),
                    _ => {}
                }
            }
            if reachable != Reachable::OthersOnly {
                self.send_requests(self.member);
                match self.cluster.random.random_range(0..8) {
                    0 => drop(self.change(self.member, false)),
                    1 => drop(self.change(self.member, true)),
                    2 => drop(self.send_read(self.member)),
                    _ => {}
                }
            }
            let jump: i64 = self.cluster.random.random_range(-9_000..9_000);
            self.cluster.machines[self.member].wall_ms += jump;
            let pause = self
                .cluster
                .random
                .random_range(REQUEST_INTERVAL_MS / 2..2 * REQUEST_INTERVAL_MS);
            self.run(pause);
        }
    }

    fn reachable(&self) -> Reachable {
        match self.fault {
            _ if !self.fault_active => Reachable::All,
            Fault::BothDirections | Fault::OperatorOnly => Reachable::OthersOnly,
            Fault::CoreOnlyOthersUnreachable => Reachable::MemberOnly,
            _ => Reachable::All,
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
            Fault::BothDirections | Fault::CoreOnly | Fault::CoreOnlyOthersUnreachable => {
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
        self.run_with_requests(1_500);
        let since = self.cluster.now;
        self.begin_fault();
        let span_ms = self.cluster.random.random_range(1_000..22_000);
        self.run_with_requests(span_ms);
        if !matches!(self.fault, Fault::OperatorOnly | Fault::Frozen) {
            let one_member = self.member..self.member + 1;
            let members = if self.fault == Fault::AllIsolated {
                0..self.count
            } else {
                one_member
            };
            self.history.isolated = Some((members, since, self.cluster.now));
        }
        self.end_fault(since);
        self.check_return();
        self.run_with_requests(2_000);
        self.finish();
        self.collect()
    }

    /// Reads the newest configuration at the member right after the end of the fault, and sends a change on it.
    fn check_return(&mut self) {
        let read = self.send_read(self.member);
        self.send_requests(self.member);
        let limit = self.cluster.now + READ_AFTER_RETURN_MS * MICROS_PER_MS;
        while self.history.reads[read].answer.is_none() && self.cluster.now < limit {
            self.run(5);
        }
        if self.variant == Variant::Correct {
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

    /// Sends confirmed changes to the member again, and reads the configuration at every member at the end.
    fn finish(&mut self) {
        self.cluster.conditions = FAULT_FREE;
        self.run(4_500);
        let confirmed = self
            .history
            .changes
            .iter()
            .filter(|change| change.acknowledged_before(self.cluster.now));
        let repeated: Vec<Change> = confirmed.rev().take(3).cloned().collect();
        for change in repeated {
            self.send_change(
                self.member,
                change.base,
                change.version,
                change.content,
                false,
            );
            self.run(100);
        }
        self.send_read(self.member);
        self.run(1_000);
        let change = self.change(self.member, false);
        self.run(1_500);
        if self.variant == Variant::Correct {
            let answer = self.history.changes[change].answer;
            assert!(
                answer.is_some_and(|(status, _)| status == OK),
                "{:?}: {answer:?}",
                self.fault
            );
        }
        for member in 0..self.count {
            self.send_read(member);
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
enum Reachable {
    All,
    OthersOnly,
    MemberOnly,
}

/// Returns a patch that is invalid because its service is unknown, which only the current configuration shows.
fn patch_with_unknown_service(version: u64, mark: u32) -> String {
    format!(
        r#"{{"version":{version},"upsert":{{"routes":[{{"name":"n{mark}","host":"n.example","path_prefix":"/n/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":800,"priority":0,"service":"none","max_attempts":4,"extension":1.5}}]}}}}"#
    )
}

/// Returns a read of a client, which the leader answers at once under its lease.
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

/// Returns a message of `RELAYED_PROCESS` that the client forwards.
fn relayed(member: usize, message: &Message) -> Message {
    let payload = Blob(frame::encode(message).unwrap());
    Message::Relayed(Relayed {
        from: RELAYED_PROCESS,
        to: id(member),
        payload,
    })
}

/// Returns the message inside a relayed message, or the message itself.
fn unwrapped(message: Message) -> Message {
    match message {
        Message::Relayed(relayed) => frame::decode(&relayed.payload).unwrap(),
        message => message,
    }
}

/// Returns the version of a document and the path of its only route.
fn document_in(body: &[u8]) -> Option<(u64, String)> {
    let json: serde_json::Value = serde_json::from_slice(body).ok()?;
    Some((
        json["version"].as_u64()?,
        json["routes"][0]["path_prefix"].as_str()?.to_owned(),
    ))
}
