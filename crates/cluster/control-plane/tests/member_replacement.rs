//! Members replaced, planned and not, with further losses at every moment from which they have to be borne.

mod support;
use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::{Message, NodeId};
use std::collections::BTreeSet;
use support::cluster::{id, Cluster};

/// A machine that is new, or back, counts as lost for so long.
const CATCH_UP_MS: u64 = 4_000;
/// The planned successor starts so long before the SIGTERM to its predecessor.
const NOTICE_MS: u64 = 1_000;

/// Requests from this number on are asked once.
const FRESH_REQUESTS: u64 = 1_000_000;

fn busy(count: usize, seed: u64) -> Cluster {
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

/// Runs to a moment while clients ask on.
fn run_busy_until(cluster: &mut Cluster, moment: u64, request: &mut u64) {
    while cluster.now < moment {
        if let Some(leader) = cluster.leader() {
            *request += 1;
            cluster.submit(leader, *request);
        }
        cluster.run(10.min((moment - cluster.now).div_ceil(1_000)));
    }
}

/// Whether new requests are acknowledged, at whichever process leads.
fn serves(cluster: &mut Cluster) -> bool {
    let before = cluster.acked();
    for number in 0..40 {
        if let Some(leader) = cluster.leader() {
            cluster.submit(leader, FRESH_REQUESTS + before as u64 + number);
        }
        cluster.run(100);
    }
    cluster.acked() > before
}

/// Further members that are lost, as many as may be, the predecessor and the successor apart.
fn lose(cluster: &mut Cluster, count: usize, seed: u64, gone: usize) {
    let most = (count - 1) / 2;
    let others: Vec<usize> = (0..count).filter(|index| *index != gone).collect();
    for number in 0..most {
        cluster.power_off(others[(seed as usize + number) % others.len()]);
    }
}

fn check_after_losses(cluster: &mut Cluster, successor: usize, what: &str) {
    cluster.run(3_000);
    assert!(serves(cluster), "{what}: nothing is served");
    assert_eq!(
        cluster.read_back(successor),
        Some(5),
        "{what}: the configuration is not read back"
    );
}

/// A planned replacement, and further losses `loss_ms` after the successor's start.
fn planned(count: usize, seed: u64, loss_ms: u64) {
    let what = format!("{count} members, planned, losses after {loss_ms} ms, seed {seed}");
    let mut cluster = busy(count, seed);
    let gone = seed as usize % count;
    let mut request = 1_000;
    let successor = cluster.add_machine();
    let started = cluster.now;
    cluster.start(successor, false);
    run_busy_until(&mut cluster, started + NOTICE_MS * 1000, &mut request);
    cluster.remove(gone);
    run_busy_until(&mut cluster, started + loss_ms * 1000, &mut request);
    lose(&mut cluster, count, seed, gone);
    check_after_losses(&mut cluster, successor, &what);
}

/// A member is gone for good, a successor starts `pause_ms` later, further losses come `loss_ms` after its start.
fn unplanned(count: usize, seed: u64, pause_ms: u64, loss_ms: u64) {
    let what = format!("{count} members, unplanned, losses after {loss_ms} ms, seed {seed}");
    let mut cluster = busy(count, seed);
    let gone = seed as usize % count;
    let mut request = 1_000;
    cluster.wipe(gone);
    cluster.run(pause_ms);
    let successor = cluster.add_machine();
    let started = cluster.now;
    cluster.start(successor, false);
    run_busy_until(&mut cluster, started + loss_ms * 1000, &mut request);
    lose(&mut cluster, count, seed, gone);
    check_after_losses(&mut cluster, successor, &what);
}

/// Every moment, in steps of 100 ms, for a while from `catch_up_s` on.
fn moments() -> impl Iterator<Item = u64> {
    (CATCH_UP_MS..=CATCH_UP_MS + 3_000).step_by(100)
}

#[test]
fn three_members_bear_a_second_loss_after_a_planned_replacement() {
    for loss_ms in moments() {
        (0..9).for_each(|seed| planned(3, 100 + seed, loss_ms));
    }
}

#[test]
fn three_members_bear_a_second_loss_after_an_unplanned_replacement() {
    for loss_ms in moments() {
        (0..6).for_each(|seed| unplanned(3, 200 + seed, seed * 400, loss_ms));
    }
}

#[test]
fn five_members_bear_two_further_losses_after_a_replacement() {
    for loss_ms in moments().step_by(3) {
        (0..5).for_each(|seed| planned(5, 300 + seed, loss_ms));
        (0..5).for_each(|seed| unplanned(5, 400 + seed, seed * 400, loss_ms));
    }
}

#[test]
fn nine_members_bear_four_further_losses_after_a_replacement() {
    for loss_ms in moments().step_by(10) {
        (0..3).for_each(|seed| planned(9, 500 + seed, loss_ms));
        (0..3).for_each(|seed| unplanned(9, 600 + seed, seed * 400, loss_ms));
    }
}

#[test]
fn the_only_member_hands_everything_over() {
    for seed in 0..40 {
        let mut cluster = busy(1, 700 + seed);
        let successor = cluster.add_machine();
        cluster.start(successor, false);
        cluster.run(seed * 50);
        cluster.remove(0);
        check_after_losses(&mut cluster, successor, &format!("seed {seed}"));
        assert_eq!(cluster.members(successor), BTreeSet::from([id(successor)]));
    }
}

#[test]
fn a_member_that_leaves_goes_as_soon_as_its_successor_holds_all() {
    for seed in 0..30 {
        let mut cluster = busy(3, 800 + seed);
        let successor = cluster.add_machine();
        cluster.start(successor, false);
        cluster.run(2_000);
        let gone = seed as usize % 3;
        let parse_request = cluster.now;
        cluster.remove(gone);
        let took_ms = (cluster.now - parse_request) / 1000;
        assert!(took_ms < 1_000, "seed {seed}: {took_ms} ms");
        cluster.run(100);
        assert!(
            cluster.members(successor).contains(&id(successor)),
            "seed {seed}"
        );
        assert!(
            !cluster.members(successor).contains(&id(gone)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_member_without_a_successor_ends_at_once_and_keeps_its_place() {
    for seed in 0..30 {
        let mut cluster = busy(3, 900 + seed);
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
        assert!(serves(&mut cluster), "seed {seed}");
    }
}

#[test]
fn a_successor_that_dies_while_it_learns_harms_nobody() {
    for seed in 0..60 {
        let mut cluster = busy(3, 1_000 + seed);
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
        run_busy_until(&mut cluster, started + 6_000_000, &mut request);
        cluster.power_off(1 + seed as usize % 2);
        check_after_losses(&mut cluster, second, &format!("seed {seed}"));
    }
}

#[test]
fn two_members_of_five_are_replaced_at_once() {
    for seed in 0..30 {
        let mut cluster = busy(5, 1_100 + seed);
        let (first, second) = (cluster.add_machine(), cluster.add_machine());
        cluster.start(first, false);
        cluster.start(second, false);
        let started = cluster.now;
        cluster.run(1_000);
        let gone = [seed as usize % 5, (seed as usize + 2) % 5];
        gone.into_iter().for_each(|index| cluster.terminate(index));
        cluster.run(3_000);
        gone.into_iter().for_each(|index| cluster.wipe(index));
        let mut request = 2_000;
        run_busy_until(&mut cluster, started + CATCH_UP_MS * 1000, &mut request);
        let rest: Vec<usize> = (0..5).filter(|index| !gone.contains(index)).collect();
        cluster.power_off(rest[0]);
        cluster.power_off(rest[seed as usize % 2 + 1]);
        check_after_losses(&mut cluster, first, &format!("seed {seed}"));
        assert_eq!(cluster.members(second).len(), 5);
    }
}

#[test]
fn all_three_seeds_are_replaced_and_come_back() {
    for seed in 0..20 {
        let mut cluster = busy(3, 1_200 + seed);
        let mut disks = Vec::new();
        for gone in 0..3 {
            let successor = cluster.add_machine();
            cluster.start(successor, false);
            cluster.run(1_000);
            cluster.terminate(gone);
            cluster.run(4_000);
            disks.push(cluster.machines[gone].disk.clone());
            cluster.wipe(gone);
            cluster.seeds = (gone + 1..gone + 4).map(id).collect();
        }
        assert!(serves(&mut cluster), "seed {seed}");
        assert_eq!(cluster.replace(3, 5, 9), 200, "seed {seed}");
        // The former members come back together and reach only each other.
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
            "seed {seed}: former members elected somebody"
        );
        for former in 0..3 {
            assert_eq!(
                cluster.read_back(former),
                None,
                "seed {seed}: a former member reads back"
            );
            assert!(
                cluster.replace(former, 5, 11) >= 500,
                "seed {seed}: a former member confirms or refuses"
            );
        }
        cluster.heal_network();
        cluster.run(5_000);
        assert_eq!(cluster.read_back(0), Some(9), "seed {seed}");
        assert!(serves(&mut cluster), "seed {seed}");
        assert_eq!(
            cluster.members(4),
            (3..6).map(id).collect::<BTreeSet<NodeId>>(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_replaced_member_comes_back_and_is_no_member() {
    for seed in 0..20 {
        let mut cluster = busy(3, 1_300 + seed);
        let gone = seed as usize % 3;
        cluster.power_off(gone);
        let successor = cluster.add_machine();
        cluster.start(successor, false);
        cluster.run(5_000);
        assert_eq!(cluster.replace(successor, 5, 9), 200);
        cluster.start(gone, false);
        cluster.run(3_000);
        assert!(!cluster.members(gone).contains(&id(gone)), "seed {seed}");
        assert_eq!(cluster.read_back(gone), Some(9), "seed {seed}");
        assert!(serves(&mut cluster), "seed {seed}");
    }
}

/// A learner that never gets the records and says that it holds them.
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
fn the_checker_finds_a_successor_that_counts_before_it_has_the_records() {
    let mut cluster = busy(3, 1_400);
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
