//! Complete members that exchange frames over a network that loses them or is partitioned. Guards against members that
//! disagree on counts or verdicts, evidence that counts several times because it was forwarded, leases that outlive a
//! partition, and invalid frames that change state.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_shared_state::*;
use sagetrail_swim::{FrameError, MemberState, Peer, SwimConfig};
use std::collections::BTreeMap;

/// Members and the simulated network between them.
struct Fleet {
    /// Simulated time in seconds.
    now_s: f64,
    nodes: Vec<Node>,
    /// Frames in flight: time of arrival in seconds, sender, receiver, content.
    in_flight: Vec<(f64, usize, usize, Vec<u8>)>,
    /// Links, from and to, that deliver nothing.
    blocked: Vec<(usize, usize)>,
    /// Probability that a frame is lost.
    loss: f64,
    random: Pcg64Mcg,
}

fn config(member_count: usize, member: usize, fleet: &str) -> NodeConfig {
    let roster = (0..member_count)
        .map(|index| Peer {
            name: format!("m{index}"),
            number: 50 + index as u64,
            site: (index % 3) as u16,
        })
        .collect();
    let slow_start = LendingTerms {
        lease_s: 3.0,
        spend_s: 1.0,
        owner_count: 3,
    };
    NodeConfig {
        fleet: fleet.to_string(),
        roster,
        own_index: member,
        swim: SwimConfig::default(),
        lending: [(BudgetKind::SlowStart, slow_start)].into(),
        evidence_rules: EvidenceRules::default(),
        category_count: 2,
        incarnation: 1000,
        process: 7 + member as u64,
    }
}

impl Fleet {
    fn new(member_count: usize) -> Fleet {
        Fleet {
            now_s: 0.0,
            nodes: (0..member_count)
                .map(|member| Node::new(config(member_count, member, "a"), 0.0))
                .collect(),
            in_flight: Vec::new(),
            blocked: Vec::new(),
            loss: 0.0,
            random: Pcg64Mcg::seed_from_u64(member_count as u64),
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now_s + seconds;
        while self.now_s < end {
            self.now_s += 0.01;
            for member in 0..self.nodes.len() {
                let mut datagrams = Datagrams::new();
                if self.nodes[member].due() <= self.now_s {
                    self.nodes[member].tick(self.now_s, &mut datagrams);
                }
                if let Some((to, request)) = self.nodes[member].start_exchange(self.now_s) {
                    // An exchange uses a stream, so it arrives completely or not at all.
                    if !self.blocked.contains(&(member, to))
                        && !self.blocked.contains(&(to, member))
                    {
                        let reply = self.nodes[to]
                            .receive_exchange(self.now_s, &request)
                            .expect("reply to the exchange request");
                        let end = self.nodes[member]
                            .receive_exchange(self.now_s, &reply)
                            .expect("end of the exchange");
                        assert!(self.nodes[to].receive_exchange(self.now_s, &end).is_none());
                    }
                }
                self.send(member, datagrams);
                let due: Vec<_> = self
                    .in_flight
                    .extract_if(.., |(at, _, to, _)| *to == member && *at <= self.now_s)
                    .collect();
                for (_, _, _, frame) in due {
                    let mut datagrams = Datagrams::new();
                    self.nodes[member].receive_datagram(self.now_s, &frame, &mut datagrams);
                    self.send(member, datagrams);
                }
            }
        }
    }

    fn send(&mut self, from: usize, datagrams: Datagrams) {
        for (to, frame) in datagrams {
            if !self.blocked.contains(&(from, to)) && !self.random.random_bool(self.loss) {
                self.in_flight.push((
                    self.now_s + self.random.random_range(0.0..0.02),
                    from,
                    to,
                    frame,
                ));
            }
        }
    }

    fn rejected(&self) -> BTreeMap<FrameError, u64> {
        let mut all = BTreeMap::new();
        for (error, count) in self.nodes.iter().flat_map(|node| &node.rejected) {
            *all.entry(*error).or_default() += count;
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
            node.record_arrival(fleet.now_s, 0);
            (0..8).for_each(|runner| node.observations.record(fleet.now_s, runner, runner != 3));
            node.set_running(vec![(1, 2)]);
        }
        fleet.run(0.05);
        let _ = round;
    }
    fleet.run(1.0);
    for node in &mut fleet.nodes {
        let estimate = node.reports.arrivals(fleet.now_s, 0);
        assert_eq!((estimate.sum, estimate.members), (200, 5));
        assert_eq!(node.reports.running_at(fleet.now_s, 2.0, 1), 10);
        assert!(node
            .member_statuses(fleet.now_s)
            .iter()
            .all(|status| status.state == MemberState::Alive));
        assert!(node
            .verdicts(fleet.now_s)
            .contains(&(3, RunnerVerdict::Unhealthy)));
    }
    assert!(fleet.rejected().is_empty(), "{:?}", fleet.rejected());
}

#[test]
fn the_evidence_of_one_member_counts_once_however_often_it_is_forwarded() {
    let mut fleet = Fleet::new(6);
    fleet.run(3.0);
    for _ in 0..20 {
        for (member, node) in fleet.nodes.iter_mut().enumerate() {
            (0..8)
                .filter(|runner| *runner != 3 || member == 1)
                .for_each(|runner| node.observations.record(fleet.now_s, runner, runner != 3));
        }
        fleet.run(0.1);
        for node in &mut fleet.nodes {
            assert!(!node
                .verdicts(fleet.now_s)
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
        .for_each(|node| assert!(node.budgets.set_limit(fleet.now_s, key, 1_000_000)));
    let record_want = |fleet: &mut Fleet| {
        fleet.nodes[1]
            .budgets
            .record_use(fleet.now_s, key, 0, 1_000_000)
    };
    for _ in 0..20 {
        record_want(&mut fleet);
        fleet.run(0.1);
    }
    assert!(fleet.nodes[1].budgets.usable(fleet.now_s, key) > 800_000);
    fleet.blocked = vec![(0, 1), (1, 0), (1, 2), (2, 1)];
    for _ in 0..50 {
        record_want(&mut fleet);
        fleet.run(0.1);
        let all: u64 = fleet
            .nodes
            .iter()
            .map(|node| node.budgets.usable(fleet.now_s, key))
            .sum();
        assert!(all <= 1_000_000, "{all}");
    }
    assert!(fleet.nodes[1].budgets.usable(fleet.now_s, key) <= 333_334);
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
    let mut datagrams = Datagrams::new();
    let good = of_other[0].1.clone();
    node.receive_datagram(1.0, &good, &mut datagrams);
    node.receive_datagram(1.0, &of_stranger[0].1, &mut datagrams);
    node.receive_datagram(1.0, &good[..7], &mut datagrams);
    node.receive_datagram(1.0, &vec![0; 9000], &mut datagrams);
    let mut flipped = good.clone();
    flipped[9] ^= 1;
    node.receive_datagram(1.0, &flipped, &mut datagrams);
    assert!(datagrams.is_empty());
    for error in [
        FrameError::OtherFleet,
        FrameError::UnknownSender,
        FrameError::Truncated,
        FrameError::TooLong,
        FrameError::ChecksumMismatch,
    ] {
        assert_eq!(node.rejected.get(&error), Some(&1), "{error:?}");
    }
    assert!(node.receive_exchange(1.0, &good).is_none());
    assert!(node
        .member_statuses(1.0)
        .iter()
        .skip(1)
        .all(|status| status.state == MemberState::Unknown));
}
