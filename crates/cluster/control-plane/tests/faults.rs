//! Tests single faults: killed, frozen and isolated processes, losses of power, emptied disks and replaced machines.

mod support;
use sagetrail_protocol::node::Method;
use support::cluster::{id, Cluster};
use support::requests::config;

fn cluster_with_records(count: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(count, seed);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    submit_requests(&mut cluster, 0..200);
    assert_eq!(cluster.acked(), 200);
    cluster
}

fn submit_requests(cluster: &mut Cluster, requests: std::ops::Range<u64>) {
    for request in requests {
        let Some(leader) = cluster.leader() else {
            continue;
        };
        cluster.submit(leader, request);
        cluster.run(2);
    }
    cluster.run(100);
}

#[test]
fn a_killed_leader_is_replaced() {
    let mut cluster = cluster_with_records(3, 1);
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    cluster.run(2_500);
    assert_ne!(cluster.leader(), Some(leader));
    cluster.start(leader, false);
    cluster.run(1_000);
    submit_requests(&mut cluster, 1_000..1_050);
    assert_eq!(cluster.acked(), 250);
}

#[test]
fn a_frozen_leader_is_replaced_and_silent_when_thawed() {
    let mut cluster = cluster_with_records(3, 2);
    let leader = cluster.leader().unwrap();
    cluster.submit(leader, 900);
    cluster.freeze(leader);
    cluster.run(2_500);
    assert_ne!(cluster.leader(), Some(leader));
    cluster.thaw(leader);
    cluster.run(1_000);
    assert_eq!(cluster.terms(), 2);
}

#[test]
fn an_isolated_leader_is_replaced() {
    let mut cluster = cluster_with_records(5, 3);
    let leader = cluster.leader().unwrap();
    cluster.isolate(leader);
    cluster.run(2_500);
    assert_ne!(cluster.leader(), Some(leader));
    let number = cluster.http(
        leader,
        Method::Post,
        "/v1/config/replace",
        Some(5),
        &config(9),
    );
    cluster.run(4_500);
    assert_eq!(cluster.status(number), 503);
    cluster.heal_network();
    cluster.run(1_500);
    submit_requests(&mut cluster, 1_000..1_050);
    assert_eq!(cluster.acked(), 250);
    assert_eq!(cluster.terms(), 2);
}

#[test]
fn a_core_recovers_from_a_loss_of_power_at_all_members() {
    for seed in 0..20 {
        let mut cluster = cluster_with_records(3, 40 + seed);
        assert_eq!(cluster.replace(1, 5, 9), 200);
        (0..3).for_each(|index| cluster.power_off(index));
        cluster.run(5_000);
        (0..3).for_each(|index| cluster.start(index, false));
        cluster.run(3_000);
        assert_eq!(cluster.terms(), 2, "seed {seed}");
        assert_eq!(cluster.read_version(0), Some(9));
    }
}

#[test]
fn an_emptied_disk_is_restored() {
    for seed in 0..20 {
        let mut cluster = cluster_with_records(3, 60 + seed);
        let victim = seed as usize % 3;
        cluster.wipe(victim);
        cluster.run(500);
        cluster.start(victim, false);
        cluster.run(4_000);
        let healthy = (victim + 1) % 3;
        assert_eq!(
            cluster.machines[victim].disk.records, cluster.machines[healthy].disk.records,
            "seed {seed}"
        );
        cluster.kill(healthy);
        cluster.run(3_000);
        assert_eq!(cluster.read_version(victim), Some(5), "seed {seed}");
        submit_requests(&mut cluster, 1_000..1_050);
        assert_eq!(cluster.acked(), 250, "seed {seed}");
    }
}

#[test]
fn a_member_with_an_emptied_disk_recovers_while_the_others_lose_power() {
    for seed in 0..20 {
        let mut cluster = cluster_with_records(3, 80 + seed);
        assert_eq!(cluster.replace(2, 5, 9), 200);
        cluster.wipe(0);
        cluster.power_off(1);
        cluster.power_off(2);
        cluster.run(2_000);
        (0..3).for_each(|index| cluster.start(index, false));
        cluster.run(5_000);
        assert_eq!(cluster.read_version(0), Some(9), "seed {seed}");
        assert_eq!(cluster.read_version(1), Some(9), "seed {seed}");
        submit_requests(&mut cluster, 1_000..1_050);
        assert_eq!(cluster.acked(), 250, "seed {seed}");
    }
}

#[test]
fn a_successor_takes_the_place_of_a_lost_machine() {
    let mut cluster = cluster_with_records(3, 4);
    let lost = (cluster.leader().unwrap() + 1) % 3;
    cluster.wipe(lost);
    let successor = cluster.add_machine();
    cluster.start(successor, false);
    cluster.run(8_000);
    let remaining = (0..3).find(|index| *index != lost).unwrap();
    cluster.kill(remaining);
    cluster.run(4_000);
    assert_eq!(cluster.read_version(successor), Some(5));
    submit_requests(&mut cluster, 1_000..1_050);
    assert_eq!(cluster.acked(), 250);
}

#[test]
fn a_replica_that_missed_many_batches_catches_up() {
    let mut cluster = cluster_with_records(3, 5);
    let behind = (cluster.leader().unwrap() + 1) % 3;
    cluster.isolate(behind);
    submit_requests(&mut cluster, 1_000..4_000);
    cluster.heal_network();
    cluster.run(3_000);
    let leader = cluster.leader().unwrap();
    assert_eq!(
        cluster.machines[behind].disk.records,
        cluster.machines[leader].disk.records
    );
}

#[test]
fn a_change_without_a_majority_is_answered_503_and_can_be_repeated() {
    let mut cluster = cluster_with_records(3, 6);
    cluster.kill(1);
    cluster.kill(2);
    cluster.run(100);
    let number = cluster.http(0, Method::Post, "/v1/config/replace", Some(5), &config(9));
    cluster.run(4_500);
    assert_eq!(cluster.status(number), 503);
    cluster.start(1, false);
    cluster.run(3_000);
    assert_eq!(cluster.replace(0, 5, 9), 200);
    assert_eq!(cluster.read_version(1), Some(9));
}

#[test]
fn after_a_loss_of_all_power_no_election_waits_for_an_old_lease() {
    let mut cluster = cluster_with_records(5, 11);
    let terms = cluster.terms();
    (0..5).for_each(|index| cluster.power_off(index));
    cluster.run(500);
    (0..5).for_each(|index| cluster.start(index, false));
    cluster.run(450);
    assert_eq!(cluster.terms(), terms + 1);
    submit_requests(&mut cluster, 1_000..1_050);
    assert_eq!(cluster.acked(), 250);
}

#[test]
fn after_a_loss_of_all_power_the_first_leader_keeps_its_term() {
    for seed in 0..60 {
        let mut cluster = cluster_with_records(5, 400 + seed);
        cluster.conditions.delay_us = (1_000, 40_000);
        let terms = cluster.terms();
        (0..5).for_each(|index| cluster.power_off(index));
        cluster.run(500);
        (0..5).for_each(|index| cluster.start(index, false));
        cluster.run(2_500);
        assert_eq!(cluster.terms(), terms + 1, "seed {seed}");
    }
}

#[test]
fn a_leader_that_returns_with_an_empty_disk_delays_no_election() {
    let mut cluster = cluster_with_records(5, 12);
    let leader = cluster.leader().unwrap();
    (0..5).for_each(|index| cluster.power_off(index));
    cluster.wipe(leader);
    cluster.run(500);
    (0..5).for_each(|index| cluster.start(index, false));
    cluster.run(450);
    assert_eq!(cluster.terms(), 2);
    submit_requests(&mut cluster, 1_000..1_050);
    assert_eq!(cluster.acked(), 250);
}

#[test]
fn a_scheduler_that_is_not_notified_of_a_change_reads_it_in_time() {
    let mut cluster = cluster_with_records(5, 13);
    let leader = cluster.leader().unwrap();
    let proposer = (leader + 1) % 5;
    // The proposer, which would notify the leader of the change, cannot reach it. The leader can reach the proposer.
    cluster.partition.insert((id(proposer), id(leader)));
    let number = cluster.http(
        proposer,
        Method::Post,
        "/v1/config/replace",
        Some(5),
        &config(9),
    );
    cluster.run(600);
    assert_eq!(cluster.status(number), 200);
    cluster.run(900);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.journal.lock().unwrap().config_version, 9);
}
