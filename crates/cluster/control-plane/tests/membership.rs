//! The core's members: several emptied disks, late and spare processes, replacement under load.

mod support;
use sagetrail_protocol::NodeId;
use std::collections::BTreeSet;
use support::cluster::{id, World};

fn feed(world: &mut World, requests: std::ops::Range<u64>) {
    for request in requests {
        if let Some(leader) = world.leader() {
            world.client(leader, request);
        }
        world.run(2);
    }
    world.run(300);
}

#[test]
fn two_of_five_disks_are_emptied_while_the_others_lose_power() {
    for seed in 0..20 {
        let mut world = World::founded(5, 200 + seed);
        assert_eq!(world.replace(4, 0, 5), 200);
        feed(&mut world, 0..100);
        let first = seed as usize % 5;
        let second = (first + 2) % 5;
        (0..5).for_each(|index| world.power_off(index));
        world.wipe(first);
        world.wipe(second);
        world.run(3_000);
        (0..5).for_each(|index| world.start(index, false));
        world.run(6_000);
        assert_eq!(world.read_back(first), Some(5), "seed {seed}");
        feed(&mut world, 1_000..1_050);
        assert_eq!(world.acked(), 150, "seed {seed}");
    }
}

#[test]
fn a_spare_process_stays_outside_and_still_serves_the_operator() {
    let mut world = World::founded(3, 1);
    assert_eq!(world.replace(0, 0, 5), 200);
    let spare = world.add_machine();
    world.start(spare, false);
    world.run(3_000);
    assert_eq!(world.replace(spare, 5, 7), 200);
    assert_eq!(world.read_back(spare), Some(7));
    for index in 0..=spare {
        assert_eq!(
            world.members(index),
            (0..3).map(id).collect::<BTreeSet<NodeId>>()
        );
    }
}

#[test]
fn a_member_that_knows_only_machines_that_have_gone_finds_the_others_by_new_seeds() {
    let mut world = World::founded(3, 7);
    assert_eq!(world.replace(0, 0, 5), 200);
    world.freeze(2);
    for gone in 0..2 {
        let successor = world.add_machine();
        world.start(successor, false);
        world.run(6_000);
        world.remove(gone);
        world.seeds = (gone + 2..gone + 5).map(id).collect();
    }
    assert_eq!(world.replace(4, 5, 9), 200);
    world.thaw(2);
    world.run(5_000);
    assert_ne!(world.read_back(2), Some(5));
    let seeds = world.seeds.clone();
    world.name_seeds(seeds);
    world.run(4_000);
    assert_eq!(world.read_back(2), Some(9));
}

#[test]
fn an_emptied_member_whose_seeds_know_nothing_is_told_by_those_who_count_on_it() {
    for seed in 0..20 {
        let mut world = World::founded(3, 400 + seed);
        assert_eq!(world.replace(0, 0, 5), 200);
        let emptied = seed as usize % 3;
        world.wipe(emptied);
        world.seeds = (3..5).map(id).collect();
        for _ in 0..2 {
            let ignorant = world.add_machine();
            world.start(ignorant, false);
        }
        world.run(1_000);
        world.start(emptied, false);
        world.run(4_000);
        assert_eq!(world.read_back(emptied), Some(5), "seed {seed}");
        assert_eq!(world.read_back(4), Some(5), "seed {seed}");
    }
}

#[test]
fn a_process_that_missed_the_founding_is_added() {
    let mut world = World::new(5, 2);
    (0..4).for_each(|index| world.start(index, true));
    world.run(6_000);
    assert!(world.leader().is_some());
    world.start(4, true);
    world.run(5_000);
    assert!(!world.machines[4].disk.control.is_empty());
    world.kill(0);
    world.kill(1);
    world.run(3_000);
    feed(&mut world, 0..50);
    assert_eq!(world.acked(), 50);
}

#[test]
fn machines_are_replaced_one_after_the_other() {
    let mut world = World::founded(3, 3);
    assert_eq!(world.replace(0, 0, 5), 200);
    feed(&mut world, 0..100);
    for gone in 0..3 {
        world.wipe(gone);
        let successor = world.add_machine();
        world.run(1_000);
        world.start(successor, false);
        world.run(9_000);
        let next = 1_000 * (gone as u64 + 1);
        feed(&mut world, next..next + 50);
        assert_eq!(world.acked(), 100 + 50 * (gone + 1), "after machine {gone}");
    }
    assert_eq!(world.read_back(3), Some(5));
}

#[test]
fn a_founder_that_restarts_tells_on() {
    for seed in 0..20 {
        let mut world = World::new(3, 300 + seed);
        (0..3).for_each(|index| world.start(index, true));
        world.run(690 + seed);
        world.power_off(0);
        world.run(1_000);
        world.start(0, true);
        world.run(7_000);
        assert!(world.leader().is_some(), "seed {seed}");
        assert_eq!(world.replace(1, 0, 5), 200, "seed {seed}");
    }
}
