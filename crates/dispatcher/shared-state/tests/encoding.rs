//! Encoding of the frames that members send each other. Guards against an accidental change of the wire format, which
//! would break a fleet that runs different releases: a difference from `fixtures/frames.txt` requires a new version of
//! the format, never only a new fixture. Two members write the frames in a fixed scenario, and each member decodes the
//! other's frames.

use sagetrail_fixture::Fixture;
use sagetrail_shared_state::{
    ArrivalCounts, BudgetKey, BudgetKind, Datagrams, Digest, EvidenceRules, LeaseGrant,
    LeaseRequest, LendingTerms, Node, NodeConfig, Report,
};
use sagetrail_swim::{
    Codec, Envelope, MemberState, Message, Peer, SwimConfig, Update, MAX_SYNC_BYTES,
};
use serde::{Deserialize, Serialize};

const FIXTURE: &str = include_str!("fixtures/frames.txt");
const FLEET: &str = "fleet";
/// Start time in seconds. It is shortly before a full second, so that work items arrive in two different seconds.
const START: f64 = 0.9;
const RUNNER: u64 = 0x0102_0304_0506_0708;

/// Body of a frame as encoded in the fixture: a frame of any other form does not decode.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Body {
    Swim(Message),
    LeaseRequests(Vec<LeaseRequest>),
    LeaseGrants(Vec<LeaseGrant>),
    Report(Report),
    ExchangeRequest {
        updates: Vec<Update>,
        have: Vec<Digest>,
    },
    ExchangeReply {
        updates: Vec<Update>,
        have: Vec<Digest>,
        reports: Vec<Report>,
        counts: Vec<ArrivalCounts>,
    },
    ExchangeEnd {
        reports: Vec<Report>,
        counts: Vec<ArrivalCounts>,
    },
}

impl Body {
    fn name(&self) -> &'static str {
        match self {
            Body::Swim(_) => "swim",
            Body::LeaseRequests(_) => "asks",
            Body::LeaseGrants(_) => "grants",
            Body::Report(_) => "report",
            Body::ExchangeRequest { .. } => "have",
            Body::ExchangeReply { .. } => "give",
            Body::ExchangeEnd { .. } => "rest",
        }
    }
}

const BODIES: [&str; 7] = ["swim", "asks", "grants", "report", "have", "give", "rest"];

fn decode(frame: &[u8]) -> (Envelope, Body) {
    Codec::new(FLEET).decode(frame, MAX_SYNC_BYTES).unwrap()
}

fn config(member_index: usize) -> NodeConfig {
    let peer = |name: &str, number, site| Peer {
        name: name.to_string(),
        number,
        site,
    };
    let lending = |lease_s| LendingTerms {
        lease_s,
        spend_s: 1.0,
        owner_count: 2,
    };
    NodeConfig {
        fleet: FLEET.to_string(),
        roster: vec![peer("a", 0x1001, 1), peer("b", 0x1002, 2)],
        own_index: member_index,
        swim: SwimConfig::default(),
        lending: [
            (BudgetKind::SlowStart, lending(3.0)),
            (BudgetKind::Resubmissions, lending(3.5)),
            (BudgetKind::Category, lending(4.0)),
        ]
        .into(),
        evidence_rules: EvidenceRules::default(),
        category_count: 3,
        incarnation: 0x2001 + member_index as u64,
        process: 0x3001 + member_index as u64,
    }
}

/// Two members and the frames that they have sent.
struct Pair {
    a: Node,
    b: Node,
    written: Fixture,
}

impl Pair {
    fn new() -> Pair {
        Pair {
            a: Node::new(config(0), START),
            b: Node::new(config(1), START),
            written: Fixture::default(),
        }
    }

    /// Records a frame under `name` and checks that its body is of this variant.
    fn record_frame(&mut self, name: &str, variant: &str, frame: &[u8]) {
        let (envelope, body) = decode(frame);
        assert_eq!(body.name(), variant, "{name}");
        assert_eq!(Codec::new(FLEET).encode(&envelope, &body), frame, "{name}");
        self.written.add_bytes(name, frame);
    }

    fn assert_nothing_rejected(&self) {
        assert!(self.a.rejected.is_empty(), "{:?}", self.a.rejected);
        assert!(self.b.rejected.is_empty(), "{:?}", self.b.rejected);
    }
}

/// The only frame of this variant. The order of frames that are due at the same time is not part of the format.
fn only_frame(datagrams: &Datagrams, variant: &str) -> Vec<u8> {
    let mut frames = datagrams
        .iter()
        .filter(|(_, frame)| decode(frame).1.name() == variant);
    let (_, frame) = frames.next().unwrap();
    assert!(
        frames.next().is_none(),
        "expected one {variant} frame, got several"
    );
    frame.clone()
}

fn record_observations(node: &mut Node) {
    node.observations.record(0.95, RUNNER, true);
    node.observations.record(1.0, RUNNER, true);
    node.observations.record(1.05, RUNNER, false);
    for (at, category) in [(0.95, 0), (0.95, 2), (1.1, 2), (1.1, 2)] {
        node.record_arrival(at, category);
    }
    node.set_running(vec![(0x4001, 0x501), (0x4002, 0x502)]);
}

/// Exchanges a probe, its ack, and a member's own report.
fn gossip(pair: &mut Pair) {
    record_observations(&mut pair.a);
    let mut datagrams = Datagrams::new();
    pair.a.tick(1.2, &mut datagrams);
    let (probe, report) = (
        only_frame(&datagrams, "swim"),
        only_frame(&datagrams, "report"),
    );
    pair.record_frame("probe", "swim", &probe);
    pair.record_frame("report", "report", &report);
    let mut replies = Datagrams::new();
    pair.b.receive_datagram(1.21, &probe, &mut replies);
    pair.b.receive_datagram(1.22, &report, &mut replies);
    let ack = only_frame(&replies, "swim");
    pair.record_frame("ack", "swim", &ack);
    pair.a.receive_datagram(1.23, &ack, &mut Datagrams::new());
    assert_eq!(pair.a.membership.view(1).state, MemberState::Alive);
    assert_eq!(pair.b.reports.digest().len(), 1);
}

fn exchange(pair: &mut Pair) {
    pair.b.record_arrival(2.0, 1);
    let (_, have) = pair.a.start_exchange(3.5).unwrap();
    pair.record_frame("have", "have", &have);
    let give = pair.b.receive_exchange(3.51, &have).unwrap();
    pair.record_frame("give", "give", &give);
    let rest = pair.a.receive_exchange(3.53, &give).unwrap();
    pair.record_frame("rest", "rest", &rest);
    assert_eq!(pair.b.receive_exchange(3.56, &rest), None);
    let arrival_counts = (
        pair.a.reports.arrivals(3.6, 1).sum,
        pair.b.reports.arrivals(3.6, 2).sum,
    );
    assert_eq!(arrival_counts, (1, 3));
}

const KINDS: [BudgetKind; 3] = [
    BudgetKind::SlowStart,
    BudgetKind::Resubmissions,
    BudgetKind::Category,
];

fn key(kind: BudgetKind) -> BudgetKey {
    BudgetKey {
        kind,
        subject: RUNNER,
    }
}

/// Requests leases on each kind of budget, once with nothing in use and once with an amount in use.
fn budgets(pair: &mut Pair) {
    for (limit, kind) in (1000..).step_by(100).zip(KINDS) {
        pair.a.budgets.set_limit(10.0, key(kind), limit);
        pair.b.budgets.set_limit(10.0, key(kind), limit);
        pair.a.budgets.record_use(10.0, key(kind), 0, limit);
    }
    request_and_grant(pair, 10.0, "asks", "grants");
    for (limit, kind) in (1000..).step_by(100).zip(KINDS) {
        let usable = pair.a.budgets.usable(10.1, key(kind));
        assert!(usable > limit / 2, "{kind:?}: {usable} of {limit}");
        pair.a
            .budgets
            .record_use(10.1, key(kind), usable - 7, limit);
    }
    request_and_grant(pair, 12.0, "asks-in-use", "grants-in-use");
}

fn request_and_grant(pair: &mut Pair, at: f64, request_name: &str, grant_name: &str) {
    let (mut datagrams, mut replies) = (Datagrams::new(), Datagrams::new());
    pair.a.request_leases(at, &mut datagrams);
    let frame = only_frame(&datagrams, "asks");
    pair.record_frame(request_name, "asks", &frame);
    pair.b.receive_datagram(at + 0.01, &frame, &mut replies);
    let frame = only_frame(&replies, "grants");
    pair.record_frame(grant_name, "grants", &frame);
    pair.a
        .receive_datagram(at + 0.02, &frame, &mut Datagrams::new());
}

#[test]
fn frames_are_encoded_and_decoded_as_in_the_fixture() {
    let mut pair = Pair::new();
    gossip(&mut pair);
    exchange(&mut pair);
    budgets(&mut pair);
    pair.assert_nothing_rejected();
    Fixture::assert_keeps(FIXTURE, &pair.written);
}

#[test]
fn every_kind_of_frame_is_in_the_fixture() {
    let fixture = Fixture::read(FIXTURE);
    let mut found: Vec<&str> = fixture
        .names()
        .map(|name| decode(&fixture.bytes(name)).1.name())
        .collect();
    found.sort_unstable();
    found.dedup();
    let mut all = BODIES;
    all.sort_unstable();
    assert_eq!(found, all);
}

/// Checks the second request and grant, in which no amount is zero.
#[test]
fn requests_and_grants_keep_their_meaning() {
    let fixture = Fixture::read(FIXTURE);
    let (_, asks) = decode(&fixture.bytes("asks-in-use"));
    let (_, grants) = decode(&fixture.bytes("grants-in-use"));
    let (Body::LeaseRequests(asks), Body::LeaseGrants(grants)) = (asks, grants) else {
        panic!("expected lease requests and lease grants, got other frames");
    };
    assert_eq!(asks.len(), KINDS.len());
    for ((kind, limit), (ask, grant)) in KINDS
        .into_iter()
        .zip([1000, 1100, 1200])
        .zip(asks.iter().zip(&grants))
    {
        assert_eq!((ask.key, grant.key), (key(kind), key(kind)));
        assert_eq!((grant.process, grant.limit), (0x3001, limit));
        assert_eq!(grant.sequence, ask.sequence);
        assert!(ask.max_in_use > 0 && ask.max_in_use < ask.wanted, "{ask:?}");
        assert!(grant.amount >= ask.max_in_use, "{grant:?}");
    }
    let leases: Vec<u32> = grants.iter().map(|grant| grant.lease_ms).collect();
    assert_eq!(leases, [3000, 3500, 4000]);
}
