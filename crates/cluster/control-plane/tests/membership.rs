//! The core's members when disks are emptied, when processes are added, start late or lose contact with the members,
//! and when machines are replaced. The tests guard against members that cannot recover or find the others, and against
//! spare processes that become members without a place to fill.

mod support;
use sagetrail_protocol::NodeId;
use std::collections::BTreeSet;
use support::cluster::{id, Cluster};

fn submit_requests(cluster: &mut Cluster, requests: std::ops::Range<u64>) {
    cluster.submit_all(requests, 2);
    cluster.run(300);
}

#[test]
fn five_members_recover_after_two_emptied_disks_and_a_loss_of_power() {
    for seed in 0..20 {
        let mut cluster = Cluster::bootstrapped(5, 200 + seed);
        assert_eq!(cluster.replace(4, 0, 5), 200);
        submit_requests(&mut cluster, 0..100);
        let first = seed as usize % 5;
        let second = (first + 2) % 5;
        (0..5).for_each(|index| cluster.power_off(index));
        cluster.wipe(first);
        cluster.wipe(second);
        cluster.run(3_000);
        (0..5).for_each(|index| cluster.start(index, false));
        cluster.run(6_000);
        assert_eq!(cluster.read_version(first), Some(5), "seed {seed}");
        submit_requests(&mut cluster, 1_000..1_050);
        assert_eq!(cluster.acked(), 150, "seed {seed}");
    }
}

#[test]
fn a_spare_process_does_not_become_a_member_and_serves_the_operator() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    let spare = cluster.add_machine();
    cluster.start(spare, false);
    cluster.run(3_000);
    assert_eq!(cluster.replace(spare, 5, 7), 200);
    assert_eq!(cluster.read_version(spare), Some(7));
    for index in 0..=spare {
        assert_eq!(
            cluster.members(index),
            (0..3).map(id).collect::<BTreeSet<NodeId>>()
        );
    }
}

#[test]
fn a_member_that_knows_only_removed_machines_finds_the_others_by_new_seeds() {
    let mut cluster = Cluster::bootstrapped(3, 7);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    cluster.freeze(2);
    for removed in 0..2 {
        let successor = cluster.add_machine();
        cluster.start(successor, false);
        cluster.run(6_000);
        cluster.remove(removed);
        cluster.seeds = (removed + 2..removed + 5).map(id).collect();
    }
    assert_eq!(cluster.replace(4, 5, 9), 200);
    cluster.thaw(2);
    cluster.run(5_000);
    assert_ne!(cluster.read_version(2), Some(5));
    let seeds = cluster.seeds.clone();
    cluster.set_seeds(seeds);
    cluster.run(4_000);
    assert_eq!(cluster.read_version(2), Some(9));
}

#[test]
fn an_emptied_member_whose_seeds_know_no_member_is_contacted_by_the_members() {
    for seed in 0..20 {
        let mut cluster = Cluster::bootstrapped(3, 400 + seed);
        assert_eq!(cluster.replace(0, 0, 5), 200);
        let emptied = seed as usize % 3;
        cluster.wipe(emptied);
        cluster.seeds = (3..5).map(id).collect();
        for _ in 0..2 {
            let newcomer = cluster.add_machine();
            cluster.start(newcomer, false);
        }
        cluster.run(1_000);
        cluster.start(emptied, false);
        cluster.run(4_000);
        assert_eq!(cluster.read_version(emptied), Some(5), "seed {seed}");
        assert_eq!(cluster.read_version(4), Some(5), "seed {seed}");
    }
}

#[test]
fn a_process_that_missed_the_bootstrap_becomes_a_member() {
    let mut cluster = Cluster::new(5, 2);
    (0..4).for_each(|index| cluster.start(index, true));
    cluster.run(6_000);
    assert!(cluster.leader().is_some());
    cluster.start(4, true);
    cluster.run(5_000);
    assert!(!cluster.machines[4].disk.control.is_empty());
    cluster.kill(0);
    cluster.kill(1);
    cluster.run(3_000);
    submit_requests(&mut cluster, 0..50);
    assert_eq!(cluster.acked(), 50);
}

#[test]
fn all_machines_can_be_replaced_one_after_the_other() {
    let mut cluster = Cluster::bootstrapped(3, 3);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    submit_requests(&mut cluster, 0..100);
    for removed in 0..3 {
        cluster.wipe(removed);
        let successor = cluster.add_machine();
        cluster.run(1_000);
        cluster.start(successor, false);
        cluster.run(9_000);
        let first_request = 1_000 * (removed as u64 + 1);
        submit_requests(&mut cluster, first_request..first_request + 50);
        assert_eq!(
            cluster.acked(),
            100 + 50 * (removed + 1),
            "after machine {removed}"
        );
    }
    assert_eq!(cluster.read_version(3), Some(5));
}

#[test]
fn a_restarted_bootstrapping_process_sends_the_bootstrap_value_to_the_remaining_members() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, 300 + seed);
        (0..3).for_each(|index| cluster.start(index, true));
        cluster.run(690 + seed);
        cluster.power_off(0);
        cluster.run(1_000);
        cluster.start(0, true);
        cluster.run(7_000);
        assert!(cluster.leader().is_some(), "seed {seed}");
        assert_eq!(cluster.replace(1, 0, 5), 200, "seed {seed}");
    }
}
