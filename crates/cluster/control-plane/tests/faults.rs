//! Single troubles: kills, freezes, cuts, lost power, emptied disks, replaced machines.

mod support;
use sagetrail_protocol::node::Method;
use support::cluster::{config, id, World};

fn busy(count: usize, seed: u64) -> World {
    let mut world = World::founded(count, seed);
    assert_eq!(world.replace(0, 0, 5), 200);
    feed(&mut world, 0..200);
    assert_eq!(world.acked(), 200);
    world
}

fn feed(world: &mut World, requests: std::ops::Range<u64>) {
    for request in requests {
        let Some(leader) = world.leader() else {
            continue;
        };
        world.client(leader, request);
        world.run(2);
    }
    world.run(100);
}

#[test]
fn a_killed_leader_is_followed() {
    let mut world = busy(3, 1);
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(2_500);
    assert_ne!(world.leader(), Some(leader));
    world.start(leader, false);
    world.run(1_000);
    feed(&mut world, 1_000..1_050);
    assert_eq!(world.acked(), 250);
}

#[test]
fn a_frozen_leader_is_followed_and_says_nothing_when_thawed() {
    let mut world = busy(3, 2);
    let leader = world.leader().unwrap();
    world.client(leader, 900);
    world.freeze(leader);
    world.run(2_500);
    assert_ne!(world.leader(), Some(leader));
    world.thaw(leader);
    world.run(1_000);
    assert_eq!(world.terms(), 2);
}

#[test]
fn an_leader_that_is_cut_off_is_followed() {
    let mut world = busy(5, 3);
    let leader = world.leader().unwrap();
    world.cut_off(leader);
    world.run(2_500);
    assert_ne!(world.leader(), Some(leader));
    let number = world.http(
        leader,
        Method::Post,
        "/v1/config/replace",
        Some(5),
        &config(9),
    );
    world.run(4_500);
    assert_eq!(world.status(number), 503);
    world.mend();
    world.run(1_500);
    feed(&mut world, 1_000..1_050);
    assert_eq!(world.acked(), 250);
    assert_eq!(world.terms(), 2);
}

#[test]
fn a_whole_core_without_power_comes_back() {
    for seed in 0..20 {
        let mut world = busy(3, 40 + seed);
        assert_eq!(world.replace(1, 5, 9), 200);
        (0..3).for_each(|index| world.power_off(index));
        world.run(5_000);
        (0..3).for_each(|index| world.start(index, false));
        world.run(3_000);
        assert_eq!(world.terms(), 2, "seed {seed}");
        assert_eq!(world.read_back(0), Some(9));
    }
}

#[test]
fn an_emptied_disk_is_filled_again() {
    for seed in 0..20 {
        let mut world = busy(3, 60 + seed);
        let victim = seed as usize % 3;
        world.wipe(victim);
        world.run(500);
        world.start(victim, false);
        world.run(4_000);
        let healthy = (victim + 1) % 3;
        assert_eq!(
            world.machines[victim].disk.records, world.machines[healthy].disk.records,
            "seed {seed}"
        );
        world.kill(healthy);
        world.run(3_000);
        assert_eq!(world.read_back(victim), Some(5), "seed {seed}");
        feed(&mut world, 1_000..1_050);
        assert_eq!(world.acked(), 250, "seed {seed}");
    }
}

#[test]
fn an_emptied_disk_while_the_others_lose_power() {
    for seed in 0..20 {
        let mut world = busy(3, 80 + seed);
        assert_eq!(world.replace(2, 5, 9), 200);
        world.wipe(0);
        world.power_off(1);
        world.power_off(2);
        world.run(2_000);
        (0..3).for_each(|index| world.start(index, false));
        world.run(5_000);
        assert_eq!(world.read_back(0), Some(9), "seed {seed}");
        assert_eq!(world.read_back(1), Some(9), "seed {seed}");
        feed(&mut world, 1_000..1_050);
        assert_eq!(world.acked(), 250, "seed {seed}");
    }
}

#[test]
fn a_replaced_machine_takes_its_place() {
    let mut world = busy(3, 4);
    let gone = (world.leader().unwrap() + 1) % 3;
    world.wipe(gone);
    let successor = world.add_machine();
    world.start(successor, false);
    world.run(8_000);
    let remaining = (0..3).find(|index| *index != gone).unwrap();
    world.kill(remaining);
    world.run(4_000);
    assert_eq!(world.read_back(successor), Some(5));
    feed(&mut world, 1_000..1_050);
    assert_eq!(world.acked(), 250);
}

#[test]
fn a_replica_that_missed_much_is_brought_up() {
    let mut world = busy(3, 5);
    let behind = (world.leader().unwrap() + 1) % 3;
    world.cut_off(behind);
    feed(&mut world, 1_000..4_000);
    world.mend();
    world.run(3_000);
    let leader = world.leader().unwrap();
    assert_eq!(
        world.machines[behind].disk.records,
        world.machines[leader].disk.records
    );
}

#[test]
fn an_order_without_a_majority_is_left_open() {
    let mut world = busy(3, 6);
    world.kill(1);
    world.kill(2);
    world.run(100);
    let number = world.http(0, Method::Post, "/v1/config/replace", Some(5), &config(9));
    world.run(4_500);
    assert_eq!(world.status(number), 503);
    world.start(1, false);
    world.run(3_000);
    assert_eq!(world.replace(0, 5, 9), 200);
    assert_eq!(world.read_back(1), Some(9));
}

#[test]
fn after_a_loss_of_all_power_nobody_waits_for_a_lease_that_cannot_be_running() {
    let mut world = busy(5, 11);
    let terms = world.terms();
    (0..5).for_each(|index| world.power_off(index));
    world.run(500);
    (0..5).for_each(|index| world.start(index, false));
    world.run(450);
    assert_eq!(world.terms(), terms + 1);
    feed(&mut world, 1_000..1_050);
    assert_eq!(world.acked(), 250);
}

#[test]
fn an_leader_that_comes_back_with_an_empty_disk_holds_nobody_up() {
    let mut world = busy(5, 12);
    let leader = world.leader().unwrap();
    (0..5).for_each(|index| world.power_off(index));
    world.wipe(leader);
    world.run(500);
    (0..5).for_each(|index| world.start(index, false));
    world.run(450);
    assert_eq!(world.terms(), 2);
    feed(&mut world, 1_000..1_050);
    assert_eq!(world.acked(), 250);
}

#[test]
fn a_scheduler_that_is_not_told_of_a_change_reads_it_in_time() {
    let mut world = busy(5, 13);
    let leader = world.leader().unwrap();
    let proposer = (leader + 1) % 5;
    // Whoever could tell the leader of the change cannot reach it; it reaches them.
    world.cut.insert((id(proposer), id(leader)));
    let number = world.http(
        proposer,
        Method::Post,
        "/v1/config/replace",
        Some(5),
        &config(9),
    );
    world.run(600);
    assert_eq!(world.status(number), 200);
    world.run(900);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.journal.lock().unwrap().config_version, 9);
}
