//! Members whose disks refuse all writes for a while, as full ones do, or hang: service goes on by the other disks, and
//! nothing counts that is not kept.

mod support;
use rand::seq::SliceRandom;
use rand::Rng;
use std::panic::{catch_unwind, AssertUnwindSafe};
use support::cluster::Cluster;
use support::machine::DiskMode;

const MEMBERS: usize = 5;
/// As many as may be lost at once.
const TOLERATED: usize = 2;
const SEEDS: u64 = 20;
const REFUSED_MS: u64 = 5_000;
const STEP_MS: u64 = 50;

/// Members with the leader first.
fn leader_first(cluster: &Cluster) -> Vec<usize> {
    let leader = cluster.leader().expect("a leader");
    let others = (0..MEMBERS).filter(|other| *other != leader);
    std::iter::once(leader).chain(others).collect()
}

fn refuse(cluster: &mut Cluster, members: &[usize], mode: DiskMode) {
    for &member in members {
        cluster.machines[member].disk_mode = mode;
    }
}

fn power_cycle_all(cluster: &mut Cluster) {
    (0..MEMBERS).for_each(|member| cluster.power_off(member));
    for member in 0..MEMBERS {
        cluster.machines[member].disk_mode = DiskMode::Sound;
        cluster.start(member, false);
    }
    cluster.run(4_000);
}

#[test]
fn service_goes_on_under_the_same_leader_while_its_disk_refuses() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        let terms = cluster.terms();
        let refusing: Vec<usize> = leader_first(&cluster).into_iter().take(TOLERATED).collect();
        refuse(&mut cluster, &refusing, DiskMode::Refusing);
        let requests = 0..REFUSED_MS / STEP_MS;
        cluster.submit_all(requests.clone(), STEP_MS);
        assert_eq!(cluster.replace(0, 0, 1), 200, "seed {seed}");
        assert_eq!(cluster.terms(), terms, "seed {seed}: an election");
        assert_eq!(cluster.acked(), requests.count(), "seed {seed}");
        refusing
            .iter()
            .for_each(|&member| cluster.free_disk(member));
        cluster.run(2_000);
        power_cycle_all(&mut cluster);
        assert!(cluster.terms() > terms, "seed {seed}: no leader");
        assert_eq!(cluster.read_back(refusing[0]), Some(1), "seed {seed}");
    }
}

#[test]
fn what_a_refusing_disk_never_took_is_not_missed_after_a_loss_of_power() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        let refusing: Vec<usize> = leader_first(&cluster).into_iter().take(TOLERATED).collect();
        refuse(&mut cluster, &refusing, DiskMode::Refusing);
        cluster.submit_all(0..20, STEP_MS);
        cluster.replace(0, 0, 1);
        power_cycle_all(&mut cluster);
        // The service of the new term has found all that was acknowledged, or it would have ended the test.
        let before = cluster.acked();
        let leader = cluster.leader().expect("a leader");
        cluster.submit(leader, 1_000);
        cluster.run(500);
        assert_eq!(cluster.acked(), before + 1, "seed {seed}");
        assert_eq!(cluster.read_back(0), Some(1), "seed {seed}");
    }
}

#[test]
fn elections_and_changes_go_on_beside_refusing_disks() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        let mut members: Vec<usize> = (0..MEMBERS).collect();
        members.shuffle(&mut cluster.random);
        let refusing = members[0];
        for version in 1..=8 {
            refuse(&mut cluster, &[refusing], DiskMode::Refusing);
            let leader = cluster.leader().expect("a leader");
            // The other fault that is tolerated: an election amid the refused writes.
            if leader != refusing && cluster.random.random_bool(0.5) {
                cluster.power_off(leader);
            }
            cluster.run(1_500);
            let status = cluster.replace(members[1], version - 1, version);
            let is_up = cluster.machines[members[1]].node.is_some();
            assert!(status == 200 || !is_up, "seed {seed}: {status}");
            (0..MEMBERS).for_each(|member| cluster.revive(member));
            if !is_up {
                cluster.run(1_000);
                assert_eq!(cluster.replace(refusing, version - 1, version), 200);
            }
            cluster.free_disk(refusing);
            cluster.run(500);
        }
        assert_eq!(cluster.read_back(refusing), Some(8), "seed {seed}");
    }
}

#[test]
fn members_that_count_refused_writes_as_kept_are_noticed() {
    let loses = |mode: DiskMode| {
        let mut cluster = Cluster::bootstrapped(MEMBERS, 1);
        let lying: Vec<usize> = leader_first(&cluster).into_iter().take(3).collect();
        refuse(&mut cluster, &lying, mode);
        cluster.submit_all(0..20, STEP_MS);
        // Those that kept it stay away: a majority has said that it did.
        (0..MEMBERS).for_each(|member| cluster.power_off(member));
        for member in lying {
            cluster.machines[member].disk_mode = DiskMode::Sound;
            cluster.start(member, false);
        }
        cluster.run(4_000);
    };
    let noticed = |mode| catch_unwind(AssertUnwindSafe(|| loses(mode))).is_err();
    assert!(noticed(DiskMode::Lying));
    assert!(!noticed(DiskMode::Refusing));
}
