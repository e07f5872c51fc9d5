//! Complete members that exchange frames, through loss and partitions.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_shared_state::*;
use sagetrail_swim::{FrameError, MemberState, Peer, SwimConfig};
use std::collections::BTreeMap;

struct Fleet {
    now: f64,
    nodes: Vec<Node>,
    wire: Vec<(f64, usize, usize, Vec<u8>)>,
    blocked: Vec<(usize, usize)>,
    loss: f64,
    random: Pcg64Mcg,
}

fn config(n: usize, me: usize, fleet: &str) -> NodeConfig {
    let roster = (0..n)
        .map(|m| Peer {
            name: format!("m{m}"),
            number: 50 + m as u64,
            site: (m % 3) as u16,
        })
        .collect();
    let cold = LendingTerms {
        lease_s: 3.0,
        spend_s: 1.0,
        owner_count: 3,
    };
    NodeConfig {
        fleet: fleet.to_string(),
        roster,
        own_index: me,
        swim: SwimConfig::default(),
        lending: [(BudgetKind::SlowStart, cold)].into(),
        evidence_rules: EvidenceRules::default(),
        category_count: 2,
        incarnation: 1000,
        process: 7 + me as u64,
    }
}

impl Fleet {
    fn new(n: usize) -> Fleet {
        Fleet {
            now: 0.0,
            nodes: (0..n)
                .map(|me| Node::new(config(n, me, "a"), 0.0))
                .collect(),
            wire: Vec::new(),
            blocked: Vec::new(),
            loss: 0.0,
            random: Pcg64Mcg::seed_from_u64(n as u64),
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.01;
            for me in 0..self.nodes.len() {
                let mut out = Datagrams::new();
                if self.nodes[me].due() <= self.now {
                    self.nodes[me].tick(self.now, &mut out);
                }
                if let Some((to, have)) = self.nodes[me].start_exchange(self.now) {
                    // An exchange is a stream: it arrives in full, or not at all.
                    if !self.blocked.contains(&(me, to)) && !self.blocked.contains(&(to, me)) {
                        let give = self.nodes[to]
                            .receive_exchange(self.now, &have)
                            .expect("an answer");
                        let rest = self.nodes[me]
                            .receive_exchange(self.now, &give)
                            .expect("the rest");
                        assert!(self.nodes[to].receive_exchange(self.now, &rest).is_none());
                    }
                }
                self.send(me, out);
                let due: Vec<_> = self
                    .wire
                    .extract_if(.., |(at, _, to, _)| *to == me && *at <= self.now)
                    .collect();
                for (_, _, _, frame) in due {
                    let mut out = Datagrams::new();
                    self.nodes[me].receive_datagram(self.now, &frame, &mut out);
                    self.send(me, out);
                }
            }
        }
    }

    fn send(&mut self, from: usize, out: Datagrams) {
        for (to, frame) in out {
            if !self.blocked.contains(&(from, to)) && !self.random.random_bool(self.loss) {
                self.wire.push((
                    self.now + self.random.random_range(0.0..0.02),
                    from,
                    to,
                    frame,
                ));
            }
        }
    }

    fn rejected(&self) -> BTreeMap<FrameError, u64> {
        let mut all = BTreeMap::new();
        for (why, n) in self.nodes.iter().flat_map(|node| &node.rejected) {
            *all.entry(*why).or_default() += n;
        }
        all
    }
}

#[test]
fn members_join_and_agree_on_counts_and_verdicts() {
    let mut fleet = Fleet::new(5);
    fleet.loss = 0.1;
    fleet.run(3.0);
    for round in 0..40 {
        for node in &mut fleet.nodes {
            node.record_arrival(fleet.now, 0);
            (0..8).for_each(|of| node.observations.record(fleet.now, of, of != 3));
            node.set_running(vec![(1, 2)]);
        }
        fleet.run(0.05);
        let _ = round;
    }
    fleet.run(1.0);
    for node in &mut fleet.nodes {
        let told = node.reports.arrivals(fleet.now, 0);
        assert_eq!((told.sum, told.members), (200, 5));
        assert_eq!(node.reports.running_at(fleet.now, 2.0, 1), 10);
        assert!(node
            .member_statuses(fleet.now)
            .iter()
            .all(|standing| standing.state == MemberState::Alive));
        assert!(node
            .verdicts(fleet.now)
            .contains(&(3, RunnerVerdict::Unhealthy)));
    }
    assert!(fleet.rejected().is_empty(), "{:?}", fleet.rejected());
}

#[test]
fn the_evidence_of_one_member_counts_once_however_often_it_is_forwarded() {
    let mut fleet = Fleet::new(6);
    fleet.run(3.0);
    for _ in 0..20 {
        for (n, node) in fleet.nodes.iter_mut().enumerate() {
            (0..8)
                .filter(|of| *of != 3 || n == 1)
                .for_each(|of| node.observations.record(fleet.now, of, of != 3));
        }
        fleet.run(0.1);
        for node in &mut fleet.nodes {
            assert!(!node
                .verdicts(fleet.now)
                .contains(&(3, RunnerVerdict::Unhealthy)));
        }
    }
}

#[test]
fn leases_are_granted_over_frames_and_expire_in_a_partition() {
    let mut fleet = Fleet::new(3);
    let key = BudgetKey {
        kind: BudgetKind::SlowStart,
        subject: 9,
    };
    fleet.run(5.0);
    fleet
        .nodes
        .iter_mut()
        .for_each(|node| assert!(node.budgets.set_limit(fleet.now, key, 1_000_000)));
    let want = |fleet: &mut Fleet| {
        fleet.nodes[1]
            .budgets
            .record_use(fleet.now, key, 0, 1_000_000)
    };
    for _ in 0..20 {
        want(&mut fleet);
        fleet.run(0.1);
    }
    assert!(fleet.nodes[1].budgets.usable(fleet.now, key) > 800_000);
    fleet.blocked = vec![(0, 1), (1, 0), (1, 2), (2, 1)];
    for _ in 0..50 {
        want(&mut fleet);
        fleet.run(0.1);
        let all: u64 = fleet
            .nodes
            .iter()
            .map(|node| node.budgets.usable(fleet.now, key))
            .sum();
        assert!(all <= 1_000_000, "{all}");
    }
    assert!(fleet.nodes[1].budgets.usable(fleet.now, key) <= 333_334);
}

#[test]
fn invalid_frames_are_counted_by_reason_and_change_nothing() {
    let mut fleet = Fleet::new(3);
    let mut other = Node::new(config(3, 1, "b"), 0.0);
    let mut stranger = Node::new(config(5, 4, "a"), 0.0);
    let (mut of_other, mut of_stranger) = (Datagrams::new(), Datagrams::new());
    other.tick(1.0, &mut of_other);
    stranger.tick(1.0, &mut of_stranger);
    let node = &mut fleet.nodes[0];
    let mut out = Datagrams::new();
    let good = of_other[0].1.clone();
    node.receive_datagram(1.0, &good, &mut out);
    node.receive_datagram(1.0, &of_stranger[0].1, &mut out);
    node.receive_datagram(1.0, &good[..7], &mut out);
    node.receive_datagram(1.0, &vec![0; 9000], &mut out);
    let mut flipped = good.clone();
    flipped[9] ^= 1;
    node.receive_datagram(1.0, &flipped, &mut out);
    assert!(out.is_empty());
    for why in [
        FrameError::OtherFleet,
        FrameError::UnknownSender,
        FrameError::Truncated,
        FrameError::TooLong,
        FrameError::ChecksumMismatch,
    ] {
        assert_eq!(node.rejected.get(&why), Some(&1), "{why:?}");
    }
    assert!(node.receive_exchange(1.0, &good).is_none());
    assert!(node
        .member_statuses(1.0)
        .iter()
        .skip(1)
        .all(|standing| standing.state == MemberState::Unknown));
}
