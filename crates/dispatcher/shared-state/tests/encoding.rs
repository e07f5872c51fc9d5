//! The bytes of the frames that members send each other. The frames are those that a pair of members writes in a fixed
//! scenario; each is handed to the other one, so that it is read as well. Members of different releases exchange them: a
//! difference from `fixtures/frames.txt` is a new version, never a new fixture alone.

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
/// Shortly before a full second, so that work items come in two of them; seconds.
const START: f64 = 0.9;
const RUNNER: u64 = 0x0102_0304_0506_0708;

/// What a frame says, as the fixture has it: a frame of any other form is not read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Body {
    Swim(Message),
    Asks(Vec<LeaseRequest>),
    Grants(Vec<LeaseGrant>),
    Report(Report),
    Have {
        updates: Vec<Update>,
        have: Vec<Digest>,
    },
    Give {
        updates: Vec<Update>,
        have: Vec<Digest>,
        reports: Vec<Report>,
        sums: Vec<ArrivalCounts>,
    },
    Rest {
        reports: Vec<Report>,
        sums: Vec<ArrivalCounts>,
    },
}

impl Body {
    fn name(&self) -> &'static str {
        match self {
            Body::Swim(_) => "swim",
            Body::Asks(_) => "asks",
            Body::Grants(_) => "grants",
            Body::Report(_) => "report",
            Body::Have { .. } => "have",
            Body::Give { .. } => "give",
            Body::Rest { .. } => "rest",
        }
    }
}

const BODIES: [&str; 7] = ["swim", "asks", "grants", "report", "have", "give", "rest"];

fn opened(frame: &[u8]) -> (Envelope, Body) {
    Codec::new(FLEET).decode(frame, MAX_SYNC_BYTES).unwrap()
}

fn config(me: usize) -> NodeConfig {
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
        own_index: me,
        swim: SwimConfig::default(),
        lending: [
            (BudgetKind::SlowStart, lending(3.0)),
            (BudgetKind::Resubmissions, lending(3.5)),
            (BudgetKind::Category, lending(4.0)),
        ]
        .into(),
        evidence_rules: EvidenceRules::default(),
        category_count: 3,
        incarnation: 0x2001 + me as u64,
        process: 0x3001 + me as u64,
    }
}

/// A pair of members, and what they have sent.
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

    /// Notes a frame that must say this.
    fn note(&mut self, name: &str, variant: &str, frame: &[u8]) {
        let (envelope, body) = opened(frame);
        assert_eq!(body.name(), variant, "{name}");
        assert_eq!(Codec::new(FLEET).encode(&envelope, &body), frame, "{name}");
        self.written.add_bytes(name, frame);
    }

    fn nothing_rejected(&self) {
        assert!(self.a.rejected.is_empty(), "{:?}", self.a.rejected);
        assert!(self.b.rejected.is_empty(), "{:?}", self.b.rejected);
    }
}

/// The frames' order among those due at once is no part of the format.
fn only(out: &Datagrams, variant: &str) -> Vec<u8> {
    let mut frames = out
        .iter()
        .filter(|(_, frame)| opened(frame).1.name() == variant);
    let (_, frame) = frames.next().unwrap();
    assert!(frames.next().is_none(), "several frames of {variant}");
    frame.clone()
}

fn see_something(node: &mut Node) {
    node.observations.record(0.95, RUNNER, true);
    node.observations.record(1.0, RUNNER, true);
    node.observations.record(1.05, RUNNER, false);
    for (at, category) in [(0.95, 0), (0.95, 2), (1.1, 2), (1.1, 2)] {
        node.record_arrival(at, category);
    }
    node.set_running(vec![(0x4001, 0x501), (0x4002, 0x502)]);
}

/// Probes, their answers, and a member's own report.
fn gossip(pair: &mut Pair) {
    see_something(&mut pair.a);
    let mut out = Datagrams::new();
    pair.a.tick(1.2, &mut out);
    let (probe, report) = (only(&out, "swim"), only(&out, "report"));
    pair.note("probe", "swim", &probe);
    pair.note("report", "report", &report);
    let mut answers = Datagrams::new();
    pair.b.receive_datagram(1.21, &probe, &mut answers);
    pair.b.receive_datagram(1.22, &report, &mut answers);
    let ack = only(&answers, "swim");
    pair.note("ack", "swim", &ack);
    pair.a.receive_datagram(1.23, &ack, &mut Datagrams::new());
    assert_eq!(pair.a.membership.view(1).state, MemberState::Alive);
    assert_eq!(pair.b.reports.digest().len(), 1);
}

fn exchange(pair: &mut Pair) {
    pair.b.record_arrival(2.0, 1);
    let (_, have) = pair.a.start_exchange(3.5).unwrap();
    pair.note("have", "have", &have);
    let give = pair.b.receive_exchange(3.51, &have).unwrap();
    pair.note("give", "give", &give);
    let rest = pair.a.receive_exchange(3.53, &give).unwrap();
    pair.note("rest", "rest", &rest);
    assert_eq!(pair.b.receive_exchange(3.56, &rest), None);
    let heard = (
        pair.a.reports.arrivals(3.6, 1).sum,
        pair.b.reports.arrivals(3.6, 2).sum,
    );
    assert_eq!(heard, (1, 3));
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

/// Members request leases on each kind of budget, once with nothing in use and once with something.
fn budgets(pair: &mut Pair) {
    for (limit, kind) in (1000..).step_by(100).zip(KINDS) {
        pair.a.budgets.set_limit(10.0, key(kind), limit);
        pair.b.budgets.set_limit(10.0, key(kind), limit);
        pair.a.budgets.record_use(10.0, key(kind), 0, limit);
    }
    ask(pair, 10.0, "asks", "grants");
    for (limit, kind) in (1000..).step_by(100).zip(KINDS) {
        let usable = pair.a.budgets.usable(10.1, key(kind));
        assert!(usable > limit / 2, "{kind:?}: {usable} of {limit}");
        pair.a
            .budgets
            .record_use(10.1, key(kind), usable - 7, limit);
    }
    ask(pair, 12.0, "asks-in-use", "grants-in-use");
}

fn ask(pair: &mut Pair, at: f64, asks: &str, grants: &str) {
    let (mut out, mut answers) = (Datagrams::new(), Datagrams::new());
    pair.a.request_leases(at, &mut out);
    let frame = only(&out, "asks");
    pair.note(asks, "asks", &frame);
    pair.b.receive_datagram(at + 0.01, &frame, &mut answers);
    let frame = only(&answers, "grants");
    pair.note(grants, "grants", &frame);
    pair.a
        .receive_datagram(at + 0.02, &frame, &mut Datagrams::new());
}

#[test]
fn frames_are_written_and_read_as_the_fixture_says() {
    let mut pair = Pair::new();
    gossip(&mut pair);
    exchange(&mut pair);
    budgets(&mut pair);
    pair.nothing_rejected();
    Fixture::assert_keeps(FIXTURE, &pair.written);
}

#[test]
fn every_kind_of_frame_is_in_the_fixture() {
    let fixture = Fixture::read(FIXTURE);
    let mut found: Vec<&str> = fixture
        .names()
        .map(|name| opened(&fixture.bytes(name)).1.name())
        .collect();
    found.sort_unstable();
    found.dedup();
    let mut all = BODIES;
    all.sort_unstable();
    assert_eq!(found, all);
}

/// Figures of the second question and answer, in which none is zero.
#[test]
fn requests_and_grants_keep_their_meaning() {
    let fixture = Fixture::read(FIXTURE);
    let (_, asks) = opened(&fixture.bytes("asks-in-use"));
    let (_, grants) = opened(&fixture.bytes("grants-in-use"));
    let (Body::Asks(asks), Body::Grants(grants)) = (asks, grants) else {
        panic!("not questions and grants");
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
