//! Planned and unplanned replacements of members, with losses of further members at each time from which the core has
//! to tolerate them. The tests guard against a successor that counts as a member before it holds the records and the
//! value, and against former members that still form a majority.

mod support;
use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::{Message, NodeId};
use std::collections::BTreeSet;
use support::cluster::{id, Cluster};

/// How long a new or restarted machine still counts as lost, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
/// How long before the SIGTERM to its predecessor the planned successor starts, in milliseconds.
const NOTICE_MS: u64 = 1_000;

/// Requests with numbers from this one on are each submitted only once.
const FIRST_PROBE_REQUEST: u64 = 1_000_000;

fn cluster_with_records(count: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(count, seed);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    for request in 0..100 {
        let leader = cluster.leader().unwrap();
        cluster.submit(leader, request);
        cluster.run(2);
    }
    cluster.run(100);
    assert_eq!(cluster.acked(), 100);
    cluster
}

/// Runs until the cluster time `end`, in microseconds, while clients submit requests.
fn run_with_requests_until(cluster: &mut Cluster, end: u64, request: &mut u64) {
    while cluster.now < end {
        if let Some(leader) = cluster.leader() {
            *request += 1;
            cluster.submit(leader, *request);
        }
        cluster.run(10.min((end - cluster.now).div_ceil(1_000)));
    }
}

/// Whether the current leader acknowledges new requests.
fn acknowledges_requests(cluster: &mut Cluster) -> bool {
    let before = cluster.acked();
    for number in 0..40 {
        if let Some(leader) = cluster.leader() {
            cluster.submit(leader, FIRST_PROBE_REQUEST + before as u64 + number);
        }
        cluster.run(100);
    }
    cluster.acked() > before
}

/// Cuts the power of as many members as the core has to tolerate, except the removed member and its successor.
fn fail_further_members(cluster: &mut Cluster, count: usize, seed: u64, removed: usize) {
    let max_losses = (count - 1) / 2;
    let others: Vec<usize> = (0..count).filter(|index| *index != removed).collect();
    for number in 0..max_losses {
        cluster.power_off(others[(seed as usize + number) % others.len()]);
    }
}

fn check_after_losses(cluster: &mut Cluster, successor: usize, context: &str) {
    cluster.run(3_000);
    assert!(
        acknowledges_requests(cluster),
        "{context}: nothing is served"
    );
    assert_eq!(
        cluster.read_version(successor),
        Some(5),
        "{context}: the configuration is not read back"
    );
}

/// Checks a planned replacement with further losses `loss_ms` after the start of the successor.
fn check_planned(count: usize, seed: u64, loss_ms: u64) {
    let context = format!("{count} members, planned, losses after {loss_ms} ms, seed {seed}");
    let mut cluster = cluster_with_records(count, seed);
    let removed = seed as usize % count;
    let mut request = 1_000;
    let successor = cluster.add_machine();
    let started = cluster.now;
    cluster.start(successor, false);
    run_with_requests_until(&mut cluster, started + NOTICE_MS * 1000, &mut request);
    cluster.remove(removed);
    run_with_requests_until(&mut cluster, started + loss_ms * 1000, &mut request);
    fail_further_members(&mut cluster, count, seed, removed);
    check_after_losses(&mut cluster, successor, &context);
}

/// Checks an unplanned replacement: a member loses its disk for good, the successor starts `pause_ms` later, and
/// further losses follow `loss_ms` after the start of the successor.
fn check_unplanned(count: usize, seed: u64, pause_ms: u64, loss_ms: u64) {
    let context = format!("{count} members, unplanned, losses after {loss_ms} ms, seed {seed}");
    let mut cluster = cluster_with_records(count, seed);
    let removed = seed as usize % count;
    let mut request = 1_000;
    cluster.wipe(removed);
    cluster.run(pause_ms);
    let successor = cluster.add_machine();
    let started = cluster.now;
    cluster.start(successor, false);
    run_with_requests_until(&mut cluster, started + loss_ms * 1000, &mut request);
    fail_further_members(&mut cluster, count, seed, removed);
    check_after_losses(&mut cluster, successor, &context);
}

/// The times of the further losses after the successor's start, in milliseconds: every 100 ms during the 3 s after
/// `CATCH_UP_MS`.
fn loss_times_ms() -> impl Iterator<Item = u64> {
    (CATCH_UP_MS..=CATCH_UP_MS + 3_000).step_by(100)
}

#[test]
fn three_members_tolerate_a_second_loss_after_a_planned_replacement() {
    for loss_ms in loss_times_ms() {
        (0..9).for_each(|seed| check_planned(3, 100 + seed, loss_ms));
    }
}

#[test]
fn three_members_tolerate_a_second_loss_after_an_unplanned_replacement() {
    for loss_ms in loss_times_ms() {
        (0..6).for_each(|seed| check_unplanned(3, 200 + seed, seed * 400, loss_ms));
    }
}

#[test]
fn five_members_tolerate_two_further_losses_after_a_replacement() {
    for loss_ms in loss_times_ms().step_by(3) {
        (0..5).for_each(|seed| check_planned(5, 300 + seed, loss_ms));
        (0..5).for_each(|seed| check_unplanned(5, 400 + seed, seed * 400, loss_ms));
    }
}

#[test]
fn nine_members_tolerate_four_further_losses_after_a_replacement() {
    for loss_ms in loss_times_ms().step_by(10) {
        (0..3).for_each(|seed| check_planned(9, 500 + seed, loss_ms));
        (0..3).for_each(|seed| check_unplanned(9, 600 + seed, seed * 400, loss_ms));
    }
}

#[test]
fn the_only_member_hands_all_state_over_to_its_successor() {
    for seed in 0..40 {
        let mut cluster = cluster_with_records(1, 700 + seed);
        let successor = cluster.add_machine();
        cluster.start(successor, false);
        cluster.run(seed * 50);
        cluster.remove(0);
        check_after_losses(&mut cluster, successor, &format!("seed {seed}"));
        assert_eq!(cluster.members(successor), BTreeSet::from([id(successor)]));
    }
}

#[test]
fn a_terminated_member_ends_as_soon_as_its_successor_holds_all_state() {
    for seed in 0..30 {
        let mut cluster = cluster_with_records(3, 800 + seed);
        let successor = cluster.add_machine();
        cluster.start(successor, false);
        cluster.run(2_000);
        let removed = seed as usize % 3;
        let terminated_at = cluster.now;
        cluster.remove(removed);
        let took_ms = (cluster.now - terminated_at) / 1000;
        assert!(took_ms < 1_000, "seed {seed}: {took_ms} ms");
        cluster.run(100);
        assert!(
            cluster.members(successor).contains(&id(successor)),
            "seed {seed}"
        );
        assert!(
            !cluster.members(successor).contains(&id(removed)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_terminated_member_without_a_successor_ends_at_once_and_stays_a_member() {
    for seed in 0..30 {
        let mut cluster = cluster_with_records(3, 900 + seed);
        let restarted = seed as usize % 3;
        cluster.terminate(restarted);
        cluster.run(450);
        assert!(cluster.machines[restarted].finished, "seed {seed}");
        cluster.kill(restarted);
        cluster.run(1_000);
        cluster.start(restarted, false);
        cluster.run(2_000);
        assert!(
            cluster.members(restarted).contains(&id(restarted)),
            "seed {seed}"
        );
        assert!(acknowledges_requests(&mut cluster), "seed {seed}");
    }
}

#[test]
fn a_successor_that_fails_while_it_learns_can_be_replaced() {
    for seed in 0..60 {
        let mut cluster = cluster_with_records(3, 1_000 + seed);
        let first = cluster.add_machine();
        cluster.start(first, false);
        cluster.run(seed * 40);
        cluster.terminate(0);
        cluster.run(seed * 7 % 300);
        cluster.wipe(first);
        let second = cluster.add_machine();
        let started = cluster.now;
        cluster.start(second, false);
        cluster.run(3_000);
        cluster.wipe(0);
        let mut request = 2_000;
        run_with_requests_until(&mut cluster, started + 6_000_000, &mut request);
        cluster.power_off(1 + seed as usize % 2);
        check_after_losses(&mut cluster, second, &format!("seed {seed}"));
    }
}

#[test]
fn two_members_of_five_can_be_replaced_at_once() {
    for seed in 0..30 {
        let mut cluster = cluster_with_records(5, 1_100 + seed);
        let (first, second) = (cluster.add_machine(), cluster.add_machine());
        cluster.start(first, false);
        cluster.start(second, false);
        let started = cluster.now;
        cluster.run(1_000);
        let removed = [seed as usize % 5, (seed as usize + 2) % 5];
        removed
            .into_iter()
            .for_each(|index| cluster.terminate(index));
        cluster.run(3_000);
        removed.into_iter().for_each(|index| cluster.wipe(index));
        let mut request = 2_000;
        run_with_requests_until(&mut cluster, started + CATCH_UP_MS * 1000, &mut request);
        let remaining: Vec<usize> = (0..5).filter(|index| !removed.contains(index)).collect();
        cluster.power_off(remaining[0]);
        cluster.power_off(remaining[seed as usize % 2 + 1]);
        check_after_losses(&mut cluster, first, &format!("seed {seed}"));
        assert_eq!(cluster.members(second).len(), 5);
    }
}

#[test]
fn replaced_seeds_that_come_back_neither_elect_nor_answer_by_themselves() {
    for seed in 0..20 {
        let mut cluster = cluster_with_records(3, 1_200 + seed);
        let mut disks = Vec::new();
        for removed in 0..3 {
            let successor = cluster.add_machine();
            cluster.start(successor, false);
            cluster.run(1_000);
            cluster.terminate(removed);
            cluster.run(4_000);
            disks.push(cluster.machines[removed].disk.clone());
            cluster.wipe(removed);
            cluster.seeds = (removed + 1..removed + 4).map(id).collect();
        }
        assert!(acknowledges_requests(&mut cluster), "seed {seed}");
        assert_eq!(cluster.replace(3, 5, 9), 200, "seed {seed}");
        // The former members restart together and can reach only each other.
        cluster.seeds = (0..3).map(id).collect();
        for (former, disk) in disks.into_iter().enumerate() {
            cluster.machines[former].disk = disk;
            (3..6).for_each(|member| {
                cluster.partition.insert((id(former), id(member)));
                cluster.partition.insert((id(member), id(former)));
            });
            cluster.start(former, false);
        }
        let terms = cluster.terms();
        cluster.run(5_000);
        assert_eq!(
            cluster.terms(),
            terms,
            "seed {seed}: former members elected a leader"
        );
        for former in 0..3 {
            assert_eq!(
                cluster.read_version(former),
                None,
                "seed {seed}: a former member answered a configuration read"
            );
            assert!(
                cluster.replace(former, 5, 11) >= 500,
                "seed {seed}: a former member confirmed or rejected a change"
            );
        }
        cluster.heal_network();
        cluster.run(5_000);
        assert_eq!(cluster.read_version(0), Some(9), "seed {seed}");
        assert!(acknowledges_requests(&mut cluster), "seed {seed}");
        assert_eq!(
            cluster.members(4),
            (3..6).map(id).collect::<BTreeSet<NodeId>>(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_replaced_member_that_comes_back_is_not_a_member() {
    for seed in 0..20 {
        let mut cluster = cluster_with_records(3, 1_300 + seed);
        let removed = seed as usize % 3;
        cluster.power_off(removed);
        let successor = cluster.add_machine();
        cluster.start(successor, false);
        cluster.run(5_000);
        assert_eq!(cluster.replace(successor, 5, 9), 200);
        cluster.start(removed, false);
        cluster.run(3_000);
        assert!(
            !cluster.members(removed).contains(&id(removed)),
            "seed {seed}"
        );
        assert_eq!(cluster.read_version(removed), Some(9), "seed {seed}");
        assert!(acknowledges_requests(&mut cluster), "seed {seed}");
    }
}

/// Makes a learner report that it holds all records, while the snapshot chunks sent to it are lost.
fn claims_to_hold_everything(learner: NodeId) -> impl Fn(NodeId, NodeId, &mut Message) -> bool {
    move |from, _, message| match message {
        Message::Control(ControlMessage::RenewAck(ack)) if from == learner => {
            ack.caught_up = true;
            ack.position.term = ack.term;
            ack.position.number = 1 << 40;
            true
        }
        Message::Control(ControlMessage::SnapshotChunk(_)) => false,
        _ => true,
    }
}

#[test]
#[should_panic(expected = "nothing is served")]
fn the_checker_finds_a_successor_that_counts_before_it_holds_the_records() {
    let mut cluster = cluster_with_records(3, 1_400);
    let successor = cluster.add_machine();
    cluster.tamper = Some(Box::new(claims_to_hold_everything(id(successor))));
    cluster.start(successor, false);
    cluster.run(1_000);
    cluster.remove(0);
    cluster.run(4_000);
    let leader = cluster.leader().unwrap();
    cluster.power_off(leader);
    check_after_losses(
        &mut cluster,
        successor,
        "a learner that claims to hold everything",
    );
}
