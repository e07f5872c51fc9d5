//! Members replaced, planned and not, with further losses at every moment from which they have to be borne.

mod support;
use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::{Message, NodeId};
use std::collections::BTreeSet;
use support::cluster::{id, World};

/// A machine that is new, or back, counts as lost for so long.
const CATCH_UP_MS: u64 = 4_000;
/// The planned successor starts so long before the SIGTERM to its predecessor.
const NOTICE_MS: u64 = 1_000;

/// Requests from this number on are asked once.
const FRESH_REQUESTS: u64 = 1_000_000;

fn busy(count: usize, seed: u64) -> World {
    let mut world = World::founded(count, seed);
    assert_eq!(world.replace(0, 0, 5), 200);
    for request in 0..100 {
        let leader = world.leader().unwrap();
        world.client(leader, request);
        world.run(2);
    }
    world.run(100);
    assert_eq!(world.acked(), 100);
    world
}

/// Runs to a moment while clients ask on.
fn run_busy_until(world: &mut World, moment: u64, request: &mut u64) {
    while world.now < moment {
        if let Some(leader) = world.leader() {
            *request += 1;
            world.client(leader, *request);
        }
        world.run(10.min((moment - world.now).div_ceil(1_000)));
    }
}

/// Whether new work is kept, at whichever process schedules.
fn serves(world: &mut World) -> bool {
    let before = world.acked();
    for number in 0..40 {
        if let Some(leader) = world.leader() {
            world.client(leader, FRESH_REQUESTS + before as u64 + number);
        }
        world.run(100);
    }
    world.acked() > before
}

/// Further members that are lost, as many as may be, the predecessor and the successor apart.
fn lose(world: &mut World, count: usize, seed: u64, gone: usize) {
    let most = (count - 1) / 2;
    let others: Vec<usize> = (0..count).filter(|index| *index != gone).collect();
    for number in 0..most {
        world.power_off(others[(seed as usize + number) % others.len()]);
    }
}

fn check_after_losses(world: &mut World, successor: usize, what: &str) {
    world.run(3_000);
    assert!(serves(world), "{what}: nothing is served");
    assert_eq!(
        world.read_back(successor),
        Some(5),
        "{what}: the configuration is not read back"
    );
}

/// A planned replacement, and further losses `loss_ms` after the successor's start.
fn planned(count: usize, seed: u64, loss_ms: u64) {
    let what = format!("{count} members, planned, losses after {loss_ms} ms, seed {seed}");
    let mut world = busy(count, seed);
    let gone = seed as usize % count;
    let mut request = 1_000;
    let successor = world.add_machine();
    let started = world.now;
    world.start(successor, false);
    run_busy_until(&mut world, started + NOTICE_MS * 1000, &mut request);
    world.remove(gone);
    run_busy_until(&mut world, started + loss_ms * 1000, &mut request);
    lose(&mut world, count, seed, gone);
    check_after_losses(&mut world, successor, &what);
}

/// A member is gone for good, a successor starts `pause_ms` later, further losses come `loss_ms` after its start.
fn unplanned(count: usize, seed: u64, pause_ms: u64, loss_ms: u64) {
    let what = format!("{count} members, unplanned, losses after {loss_ms} ms, seed {seed}");
    let mut world = busy(count, seed);
    let gone = seed as usize % count;
    let mut request = 1_000;
    world.wipe(gone);
    world.run(pause_ms);
    let successor = world.add_machine();
    let started = world.now;
    world.start(successor, false);
    run_busy_until(&mut world, started + loss_ms * 1000, &mut request);
    lose(&mut world, count, seed, gone);
    check_after_losses(&mut world, successor, &what);
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
        let mut world = busy(1, 700 + seed);
        let successor = world.add_machine();
        world.start(successor, false);
        world.run(seed * 50);
        world.remove(0);
        check_after_losses(&mut world, successor, &format!("seed {seed}"));
        assert_eq!(world.members(successor), BTreeSet::from([id(successor)]));
    }
}

#[test]
fn a_member_that_leaves_goes_as_soon_as_its_successor_holds_all() {
    for seed in 0..30 {
        let mut world = busy(3, 800 + seed);
        let successor = world.add_machine();
        world.start(successor, false);
        world.run(2_000);
        let gone = seed as usize % 3;
        let parse_request = world.now;
        world.remove(gone);
        let took_ms = (world.now - parse_request) / 1000;
        assert!(took_ms < 1_000, "seed {seed}: {took_ms} ms");
        world.run(100);
        assert!(
            world.members(successor).contains(&id(successor)),
            "seed {seed}"
        );
        assert!(!world.members(successor).contains(&id(gone)), "seed {seed}");
    }
}

#[test]
fn a_member_without_a_successor_ends_at_once_and_keeps_its_place() {
    for seed in 0..30 {
        let mut world = busy(3, 900 + seed);
        let restarted = seed as usize % 3;
        world.terminate(restarted);
        world.run(450);
        assert!(world.machines[restarted].finished, "seed {seed}");
        world.kill(restarted);
        world.run(1_000);
        world.start(restarted, false);
        world.run(2_000);
        assert!(
            world.members(restarted).contains(&id(restarted)),
            "seed {seed}"
        );
        assert!(serves(&mut world), "seed {seed}");
    }
}

#[test]
fn a_successor_that_dies_while_it_learns_harms_nobody() {
    for seed in 0..60 {
        let mut world = busy(3, 1_000 + seed);
        let first = world.add_machine();
        world.start(first, false);
        world.run(seed * 40);
        world.terminate(0);
        world.run(seed * 7 % 300);
        world.wipe(first);
        let second = world.add_machine();
        let started = world.now;
        world.start(second, false);
        world.run(3_000);
        world.wipe(0);
        let mut request = 2_000;
        run_busy_until(&mut world, started + 6_000_000, &mut request);
        world.power_off(1 + seed as usize % 2);
        check_after_losses(&mut world, second, &format!("seed {seed}"));
    }
}

#[test]
fn two_members_of_five_are_replaced_at_once() {
    for seed in 0..30 {
        let mut world = busy(5, 1_100 + seed);
        let (first, second) = (world.add_machine(), world.add_machine());
        world.start(first, false);
        world.start(second, false);
        let started = world.now;
        world.run(1_000);
        let gone = [seed as usize % 5, (seed as usize + 2) % 5];
        gone.into_iter().for_each(|index| world.terminate(index));
        world.run(3_000);
        gone.into_iter().for_each(|index| world.wipe(index));
        let mut request = 2_000;
        run_busy_until(&mut world, started + CATCH_UP_MS * 1000, &mut request);
        let rest: Vec<usize> = (0..5).filter(|index| !gone.contains(index)).collect();
        world.power_off(rest[0]);
        world.power_off(rest[seed as usize % 2 + 1]);
        check_after_losses(&mut world, first, &format!("seed {seed}"));
        assert_eq!(world.members(second).len(), 5);
    }
}

#[test]
fn all_three_seeds_are_replaced_and_come_back() {
    for seed in 0..20 {
        let mut world = busy(3, 1_200 + seed);
        let mut disks = Vec::new();
        for gone in 0..3 {
            let successor = world.add_machine();
            world.start(successor, false);
            world.run(1_000);
            world.terminate(gone);
            world.run(4_000);
            disks.push(world.machines[gone].disk.clone());
            world.wipe(gone);
            world.seeds = (gone + 1..gone + 4).map(id).collect();
        }
        assert!(serves(&mut world), "seed {seed}");
        assert_eq!(world.replace(3, 5, 9), 200, "seed {seed}");
        // The former members come back together and reach only each other.
        world.seeds = (0..3).map(id).collect();
        for (former, disk) in disks.into_iter().enumerate() {
            world.machines[former].disk = disk;
            (3..6).for_each(|member| {
                world.cut.insert((id(former), id(member)));
                world.cut.insert((id(member), id(former)));
            });
            world.start(former, false);
        }
        let terms = world.terms();
        world.run(5_000);
        assert_eq!(
            world.terms(),
            terms,
            "seed {seed}: former members elected somebody"
        );
        for former in 0..3 {
            assert_eq!(
                world.read_back(former),
                None,
                "seed {seed}: a former member reads back"
            );
            assert!(
                world.replace(former, 5, 11) >= 500,
                "seed {seed}: a former member confirms or refuses"
            );
        }
        world.mend();
        world.run(5_000);
        assert_eq!(world.read_back(0), Some(9), "seed {seed}");
        assert!(serves(&mut world), "seed {seed}");
        assert_eq!(
            world.members(4),
            (3..6).map(id).collect::<BTreeSet<NodeId>>(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_replaced_member_comes_back_and_is_no_member() {
    for seed in 0..20 {
        let mut world = busy(3, 1_300 + seed);
        let gone = seed as usize % 3;
        world.power_off(gone);
        let successor = world.add_machine();
        world.start(successor, false);
        world.run(5_000);
        assert_eq!(world.replace(successor, 5, 9), 200);
        world.start(gone, false);
        world.run(3_000);
        assert!(!world.members(gone).contains(&id(gone)), "seed {seed}");
        assert_eq!(world.read_back(gone), Some(9), "seed {seed}");
        assert!(serves(&mut world), "seed {seed}");
    }
}

/// A learner that never gets the records and says that it holds them.
fn boastful(learner: NodeId) -> impl Fn(NodeId, NodeId, &mut Message) -> bool {
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
fn a_successor_that_counts_before_it_holds_anything_is_found_out() {
    let mut world = busy(3, 1_400);
    let successor = world.add_machine();
    world.tamper = Some(Box::new(boastful(id(successor))));
    world.start(successor, false);
    world.run(1_000);
    world.remove(0);
    world.run(4_000);
    let leader = world.leader().unwrap();
    world.power_off(leader);
    check_after_losses(&mut world, successor, "a learner that boasts");
}
