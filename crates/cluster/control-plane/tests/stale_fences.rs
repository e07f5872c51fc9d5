//! Guards against a process that keeps using a fence after it was refused because another process had used a higher
//! one.
//!
//! A fence is a term (of renewals, batches of records and requests for votes) or a proposal number (of both phases of
//! the register). The checker uses messages only. It records which process was refused under which fence, and detects
//! messages of that process under the same fence that are sent later than the longest lease after the refusal.

mod support;
use rand::Rng;
use sagetrail_protocol::control::{ControlMessage, Prepare, ProposalNumber, Rejected};
use sagetrail_protocol::node::Method;
use sagetrail_protocol::{Message, NodeId, Term};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use support::cluster::{id, Cluster};
use support::network::{Conditions, Passage};
use support::requests::config;

const MEMBERS: usize = 5;
const SEEDS: u64 = 40;
const STEPS: usize = 40;
const STEP_MS: u64 = 250;
/// The longest lease among core processes, in microseconds.
const LEASE_US: u64 = 600_000;
const LOSSY: Conditions = Conditions {
    loss: 0.02,
    duplication: 0.02,
    delay_us: (200, 20_000),
    sync_us: (1_000, 12_000),
};

/// A fence under which a process sends a request. Another process may use a higher one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Fence {
    Term(Term),
    Proposal(ProposalNumber),
}

/// The refusals that reached their receiver, and the messages that were sent in spite of them.
#[derive(Default)]
struct Trace {
    /// When each process first received a refusal under a fence, in microseconds of true time.
    refused: BTreeMap<(NodeId, Fence), u64>,
    /// The messages that were sent under a refused fence later than a lease after the refusal.
    stale: Vec<String>,
    /// The number of refusals.
    refusals: u64,
}

impl Trace {
    fn observe(&mut self, now: u64, passage: Passage, from: NodeId, to: NodeId, message: &Message) {
        let Message::Control(message) = message else {
            return;
        };
        match passage {
            Passage::Received => self.record_refusal(now, to, message),
            Passage::Sent => self.check_fenced_message(now, from, message),
        }
    }

    fn record_refusal(&mut self, now: u64, refused: NodeId, message: &ControlMessage) {
        if let Some(fence) = refused_fence(message) {
            self.refusals += 1;
            self.refused.entry((refused, fence)).or_insert(now);
        }
    }

    fn check_fenced_message(&mut self, now: u64, from: NodeId, message: &ControlMessage) {
        let Some(fence) = used_fence(message) else {
            return;
        };
        let refused_at = self.refused.get(&(from, fence));
        if refused_at.is_some_and(|at| now > at + LEASE_US) {
            self.stale.push(format!("{now} us: {from} {fence:?}"));
        }
    }
}

/// Returns the fence that a message refuses because of a higher one.
fn refused_fence(message: &ControlMessage) -> Option<Fence> {
    match message {
        ControlMessage::RenewAck(ack) if ack.promised > ack.term => Some(Fence::Term(ack.term)),
        ControlMessage::VoteReply(reply) if !reply.pre_vote && reply.promised > reply.term => {
            Some(Fence::Term(reply.term))
        }
        ControlMessage::Rejected(rejected) => Some(Fence::Proposal(rejected.proposal)),
        _ => None,
    }
}

/// Returns the fence under which a message is sent.
fn used_fence(message: &ControlMessage) -> Option<Fence> {
    match message {
        ControlMessage::Renew(renew) => Some(Fence::Term(renew.term)),
        ControlMessage::RecordBatch(batch) => Some(Fence::Term(batch.term)),
        ControlMessage::VoteRequest(request) if !request.pre_vote => {
            Some(Fence::Term(request.term))
        }
        ControlMessage::Prepare(prepare) => Some(Fence::Proposal(prepare.proposal)),
        ControlMessage::Accept(accept) => Some(Fence::Proposal(accept.proposal)),
        ControlMessage::AcceptChange(accept) => Some(Fence::Proposal(accept.proposal)),
        _ => None,
    }
}

type SharedTrace = Arc<Mutex<Trace>>;

fn observed_cluster(seed: u64) -> (Cluster, SharedTrace) {
    let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
    let trace = SharedTrace::default();
    let observer = Arc::clone(&trace);
    cluster.observer = Some(Box::new(move |now, passage, from, to, message| {
        observer
            .lock()
            .unwrap()
            .observe(now, passage, from, to, message);
    }));
    (cluster, trace)
}

/// Runs a schedule in which leaders are isolated in one direction, freeze and lose power, while the configuration is
/// changed at several members at once.
fn play(seed: u64) -> SharedTrace {
    let (mut cluster, trace) = observed_cluster(seed);
    cluster.conditions = LOSSY;
    for version in 1..=STEPS as u64 {
        for member in [0, 1] {
            let body = config(version).replace("/p", &format!("/m{member}p"));
            let path = "/v1/config/replace";
            cluster.http(member, Method::Post, path, Some(version - 1), &body);
        }
        inject_fault(&mut cluster);
        cluster.run(STEP_MS);
    }
    cluster.end_faults(0..MEMBERS);
    cluster.run(4_000);
    assert!(cluster.leader().is_some(), "seed {seed}: no leader");
    trace
}

fn inject_fault(cluster: &mut Cluster) {
    let leader = cluster.leader().unwrap_or_default();
    let others = (0..MEMBERS).filter(|other| *other != leader).map(id);
    match cluster.random.random_range(0..10) {
        0 => cluster
            .partition
            .extend(others.map(|other| (other, id(leader)))),
        1 => cluster
            .partition
            .extend(others.map(|other| (id(leader), other))),
        2 => cluster.freeze(leader),
        3 => cluster.power_off(leader),
        4..=6 => cluster.end_faults(0..MEMBERS),
        _ => {}
    }
    cluster.conditions = LOSSY;
}

#[test]
fn no_fence_is_used_longer_than_a_lease_after_its_refusal() {
    let mut refusals = 0;
    for seed in 1..=SEEDS {
        let trace = play(seed);
        let trace = trace.lock().unwrap();
        assert!(trace.stale.is_empty(), "seed {seed}: {:?}", trace.stale);
        refusals += trace.refusals;
    }
    assert!(refusals > SEEDS, "only {refusals} refusals");
}

/// A modification of the messages that a leader receives.
type Misreading = fn(&mut Message);

/// Returns the number of seeds with which the trace detects a leader that receives modified messages after it was
/// frozen for longer than its lease.
fn count_detected(misread: Misreading) -> usize {
    let is_detected = |seed: &u64| {
        let (mut cluster, trace) = observed_cluster(*seed);
        let leader = cluster.leader().unwrap();
        let frozen_at = cluster.now;
        cluster.freeze(leader);
        cluster.run(2_000);
        cluster.misreading = Some(Box::new(move |_, to, message| {
            if to == id(leader) {
                misread(message);
            }
            true
        }));
        cluster.thaw_with_stopped_clock(leader, frozen_at);
        cluster.run(3_000);
        let trace = trace.lock().unwrap();
        !trace.stale.is_empty()
    };
    (1..=SEEDS).filter(is_detected).count()
}

/// Turns the refusal of a renewal into a grant and hides other leaders and candidates.
fn ignore_higher_terms(message: &mut Message) {
    let Message::Control(message) = message else {
        return;
    };
    match message {
        ControlMessage::RenewAck(ack) => ack.promised = ack.promised.min(ack.term),
        ControlMessage::Renew(renew) => renew.term = 0,
        ControlMessage::VoteRequest(request) => request.term = 0,
        _ => {}
    }
}

#[test]
fn the_trace_detects_a_leader_that_ignores_higher_terms() {
    assert!(count_detected(ignore_higher_terms) > 0);
    assert_eq!(count_detected(|_| ()), 0);
}

#[test]
fn the_trace_detects_a_proposal_number_that_is_used_after_its_refusal() {
    let mut trace = Trace::default();
    let proposal = ProposalNumber {
        counter: 3,
        ..ProposalNumber::default()
    };
    let promised = ProposalNumber {
        counter: 4,
        ..proposal
    };
    let known = ProposalNumber::default();
    let rejected = ControlMessage::Rejected(Rejected { proposal, promised });
    let prepare = Message::Control(ControlMessage::Prepare(Prepare { proposal, known }));
    let rejected = Message::Control(rejected);
    trace.observe(0, Passage::Received, id(1), id(0), &rejected);
    trace.observe(LEASE_US, Passage::Sent, id(0), id(1), &prepare);
    assert!(trace.stale.is_empty());
    trace.observe(LEASE_US + 1, Passage::Sent, id(0), id(1), &prepare);
    assert_eq!(trace.stale.len(), 1);
}
