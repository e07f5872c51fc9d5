//! Guards against a gateway that rejects a request whose copy was sent, answers in place of the scheduler, or reports
//! itself ready, while it is partitioned from the core or after it was suspended for up to twenty seconds.

mod common;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use sagetrail_protocol::distribution::{ConfigCurrent, Subscribe};
use sagetrail_protocol::node::{HttpRequestId, Method};
use sagetrail_protocol::{Message, NodeId};

use common::{directory, reply, TestGateway, CORE};

/// The time without contact to the leader, or without a confirmed configuration, after which a gateway must not be
/// ready, in milliseconds.
const READINESS_TIMEOUT_MS: u64 = 2_500;
/// The time without a message of the leader after which submissions are rejected, in milliseconds.
const UNRESPONSIVE_MS: u64 = 1_500;
/// The delay of each message to the gateway, in milliseconds.
const DELAY_MS: u64 = 5;
const SCHEDULES: u64 = 150;

/// The directions in which messages are lost.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Partition {
    Both,
    Outbound,
    Inbound,
}

/// The alteration of the gateway's answers. The altered variants act as if the gateway answered in place of the
/// scheduler, which the checker must detect.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Variant {
    Correct,
    /// Replaces each 504 with 503, a rejection.
    RejectsUnknownOutcome,
    /// Replaces each 504 with 410, which states that the job is gone.
    AnswersUnknownOutcomeWithGone,
}

struct ClientRequest {
    method: Method,
    sent_ms: u64,
    deadline_ms: u64,
    status: Option<u16>,
}

/// A message in transit to the gateway.
struct Incoming {
    arrival_ms: u64,
    from: NodeId,
    message: Message,
}

/// A gateway, three core processes of which the first is the leader, and a network that is partitioned for some time.
struct Network {
    gateway: TestGateway,
    random: Pcg64Mcg,
    partition: Option<Partition>,
    requests: BTreeMap<HttpRequestId, ClientRequest>,
    incoming: Vec<Incoming>,
    /// The number of copies of requests that the gateway sent, including copies that were lost.
    copies_sent: usize,
    variant: Variant,
    violations: Vec<String>,
}

impl Network {
    fn new(seed: u64, variant: Variant) -> Network {
        let random = Pcg64Mcg::seed_from_u64(seed);
        Network {
            gateway: TestGateway::new(),
            random,
            partition: None,
            requests: BTreeMap::new(),
            incoming: Vec::new(),
            copies_sent: 0,
            variant,
            violations: Vec::new(),
        }
    }

    fn loses(&self, partitions: [Partition; 2]) -> bool {
        self.partition
            .is_some_and(|partition| partitions.contains(&partition))
    }

    /// Sends a client's request with a random method and deadline to the gateway.
    fn send_request(&mut self) -> HttpRequestId {
        let method = [Method::Post, Method::Get, Method::Delete][self.random.random_range(0..3)];
        let deadline_ms = self.random.random_range(300..4_000);
        let body = if method == Method::Post {
            b"{}".to_vec()
        } else {
            Vec::new()
        };
        let id = self.gateway.http(method, body, Some(deadline_ms));
        let sent_ms = self.gateway.now_ms;
        self.requests.insert(
            id,
            ClientRequest {
                method,
                sent_ms,
                deadline_ms,
                status: None,
            },
        );
        id
    }

    /// Advances the model by one millisecond.
    fn tick(&mut self) {
        self.gateway.advance(1);
        self.process_sends();
        let now_ms = self.gateway.now_ms;
        let arrivals: Vec<Incoming> = self
            .incoming
            .extract_if(.., |incoming| incoming.arrival_ms <= now_ms)
            .collect();
        for incoming in arrivals {
            if !self.loses([Partition::Both, Partition::Inbound]) {
                self.gateway.receive(incoming.from, incoming.message);
            }
        }
        self.process_sends();
        self.record_replies();
    }

    fn process_sends(&mut self) {
        for (to, message) in std::mem::take(&mut self.gateway.outbox.sends) {
            if matches!(message, Message::ClientRequest(_)) {
                self.copies_sent += 1;
            }
            if self.loses([Partition::Both, Partition::Outbound]) {
                continue;
            }
            let answer = match message {
                Message::Hello(_) => directory(1, CORE[0]),
                Message::Subscribe(subscribe) if subscribe.known_version < 5 => {
                    self.gateway.receive_update(to, 5);
                    continue;
                }
                Message::Subscribe(Subscribe { asked_at, .. }) => {
                    Message::ConfigCurrent(ConfigCurrent {
                        version: 5,
                        age_ms: 0,
                        asked_at,
                    })
                }
                Message::ClientRequest(request) if to == CORE[0] => reply(request.request, 200),
                _ => continue,
            };
            self.incoming.push(Incoming {
                arrival_ms: self.gateway.now_ms + DELAY_MS,
                from: to,
                message: answer,
            });
        }
    }

    fn record_replies(&mut self) {
        for (id, reply) in std::mem::take(&mut self.gateway.outbox.replies) {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let status = match (self.variant, reply.status) {
                (Variant::RejectsUnknownOutcome, 504) => 503,
                (Variant::AnswersUnknownOutcomeWithGone, 504) => 410,
                (_, status) => status,
            };
            request.status = Some(status);
        }
    }

    /// Sends one request and runs the model until it is answered. No other request is pending in this time, so every
    /// copy that is sent belongs to this request.
    fn check_one_request(&mut self) {
        let copies_before = self.copies_sent;
        let id = self.send_request();
        self.record_replies();
        self.process_sends();
        while self.requests[&id].status.is_none() {
            self.tick();
            let request = &self.requests[&id];
            if self.gateway.now_ms > request.sent_ms + request.deadline_ms {
                self.violations
                    .push(format!("no answer in {} ms", request.deadline_ms));
                return;
            }
        }
        let was_sent = self.copies_sent > copies_before;
        let request = &self.requests[&id];
        let status = request.status.unwrap_or_default();
        let allowed: &[u16] = match (self.partition, was_sent) {
            (None, true) => &[200, 504],
            (None, false) => &[503],
            (Some(_), true) => &[504],
            (Some(_), false) => &[503],
        };
        if !allowed.contains(&status) {
            let (method, partition) = (request.method, self.partition);
            self.violations.push(format!(
                "{method:?} with {partition:?}, was_sent={was_sent}: {status}"
            ));
        }
    }

    /// Partitions the network once and heals it. Returns the violations that were found.
    fn run(mut self) -> Vec<String> {
        (0..1_000).for_each(|_| self.tick());
        assert_eq!(self.gateway.readiness(), 200);
        let partitions = [Partition::Both, Partition::Outbound, Partition::Inbound];
        let partition = partitions[self.random.random_range(0..3)];
        self.partition = Some(partition);
        // The start of the partition loses the messages in transit.
        self.incoming.clear();
        let start_ms = self.gateway.now_ms;
        let duration_ms = self.random.random_range(1_000..20_000);
        while self.gateway.now_ms < start_ms + duration_ms {
            self.check_one_request();
            let partition_ms = self.gateway.now_ms - start_ms;
            if partition_ms > READINESS_TIMEOUT_MS && self.gateway.readiness() != 503 {
                self.violations
                    .push(format!("ready after {partition_ms} ms of {partition:?}"));
            }
            let pause_ms = self.random.random_range(0..400);
            (0..pause_ms).for_each(|_| self.tick());
        }
        self.partition = None;
        (0..900).for_each(|_| self.tick());
        if self.gateway.readiness() != 200 {
            self.violations
                .push("not ready 900 ms after the partition".to_owned());
        }
        self.check_one_request();
        self.violations
    }
}

#[test]
fn a_partitioned_gateway_neither_rejects_sent_requests_nor_answers_for_the_scheduler() {
    for seed in 0..SCHEDULES {
        let violations = Network::new(seed, Variant::Correct).run();
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn the_checker_flags_gateways_that_answer_for_the_scheduler() {
    for variant in [
        Variant::RejectsUnknownOutcome,
        Variant::AnswersUnknownOutcomeWithGone,
    ] {
        let flagged = (0..20)
            .filter(|seed| !Network::new(*seed, variant).run().is_empty())
            .count();
        assert!(
            flagged >= 10,
            "{variant:?}: {flagged} of 20 schedules were flagged"
        );
    }
}

#[test]
fn submissions_are_rejected_once_the_leader_is_silent() {
    let mut gateway = TestGateway::connected();
    gateway.advance_in_contact(2_000, CORE[0], 1, 5);
    gateway.advance(UNRESPONSIVE_MS - 100);
    gateway.clear_outbox();
    let early = gateway.submit();
    assert_eq!(gateway.requests().len(), 1);
    gateway.advance(200);
    let late = gateway.submit();
    assert_eq!(gateway.status_of(late), Some(503));
    gateway.advance(3_000);
    assert_eq!(gateway.status_of(early), Some(504));
}

#[test]
fn a_resumed_gateway_does_not_become_ready_by_messages_queued_in_its_sockets() {
    for suspended_ms in [3_000, 8_000, 20_000] {
        let mut gateway = TestGateway::connected();
        gateway.advance_in_contact(2_000, CORE[0], 1, 5);
        assert_eq!(gateway.readiness(), 200);
        // The gateway is suspended and resumes partitioned, with the answers of the suspended time in its sockets.
        let asked_at = gateway.now_ms * 1000;
        gateway.now_ms += suspended_ms;
        gateway.receive_directory(CORE[0], 1, CORE[0]);
        gateway.receive_update(CORE[1], 5);
        let current = ConfigCurrent {
            version: 5,
            age_ms: 0,
            asked_at,
        };
        gateway.receive(CORE[1], Message::ConfigCurrent(current));
        gateway.receive_reply(CORE[0], 1, 200);
        gateway.receive_directory(CORE[0], 1, CORE[0]);
        assert_eq!(gateway.readiness(), 503, "after {suspended_ms} ms");
        gateway.advance(300);
        assert_eq!(gateway.readiness(), 503, "after {suspended_ms} ms");
        gateway.advance_in_contact(500, CORE[0], 1, 5);
        assert_eq!(gateway.readiness(), 200, "after {suspended_ms} ms");
    }
}

#[test]
fn a_partitioned_core_process_does_not_keep_a_gateway_ready() {
    let mut gateway = TestGateway::connected();
    gateway.advance_in_contact(1_000, CORE[0], 1, 5);
    // The former leader has lost its lease and names no leader; partitioned core processes send no configuration
    // updates.
    for _ in 0..40 {
        gateway.advance(100);
        let no_leader = NodeId::default();
        gateway.receive_directory(CORE[0], 1, no_leader);
        gateway.receive_current(CORE[1], 5, 0);
    }
    assert_eq!(gateway.readiness(), 503);
    let id = gateway.http(Method::Get, Vec::new(), Some(1_000));
    gateway.advance(1_000);
    assert_eq!(gateway.status_of(id), Some(503));
}
