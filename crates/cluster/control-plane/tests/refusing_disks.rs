//! Guards against outages and lost data while the disks of some members refuse all writes, as full disks do, or hang.
//! The other disks suffice for the service, and a write that is not synced must not be acknowledged.

mod support;
use rand::seq::SliceRandom;
use rand::Rng;
use std::panic::{catch_unwind, AssertUnwindSafe};
use support::cluster::Cluster;
use support::machine::DiskMode;

const MEMBERS: usize = 5;
/// The number of members that may fail at the same time.
const TOLERATED: usize = 2;
const SEEDS: u64 = 20;
/// The time for which disks refuse writes, in milliseconds.
const REFUSED_MS: u64 = 5_000;
const STEP_MS: u64 = 50;

/// Returns the members with the leader first.
fn leader_first(cluster: &Cluster) -> Vec<usize> {
    let leader = cluster.leader().expect("no leader");
    let others = (0..MEMBERS).filter(|other| *other != leader);
    std::iter::once(leader).chain(others).collect()
}

fn set_disk_mode(cluster: &mut Cluster, members: &[usize], mode: DiskMode) {
    for &member in members {
        cluster.machines[member].disk_mode = mode;
    }
}

fn power_cycle_all(cluster: &mut Cluster) {
    (0..MEMBERS).for_each(|member| cluster.power_off(member));
    for member in 0..MEMBERS {
        cluster.machines[member].disk_mode = DiskMode::Healthy;
        cluster.start(member, false);
    }
    cluster.run(4_000);
}

#[test]
fn the_leader_keeps_its_term_while_its_disk_refuses_writes() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        let terms = cluster.terms();
        let refusing: Vec<usize> = leader_first(&cluster).into_iter().take(TOLERATED).collect();
        set_disk_mode(&mut cluster, &refusing, DiskMode::Refusing);
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
        assert_eq!(cluster.read_version(refusing[0]), Some(1), "seed {seed}");
    }
}

#[test]
fn acknowledged_writes_survive_a_loss_of_power_after_refused_writes() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        let refusing: Vec<usize> = leader_first(&cluster).into_iter().take(TOLERATED).collect();
        set_disk_mode(&mut cluster, &refusing, DiskMode::Refusing);
        cluster.submit_all(0..20, STEP_MS);
        cluster.replace(0, 0, 1);
        power_cycle_all(&mut cluster);
        // The service of the new term panics if an acknowledged request is missing.
        let before = cluster.acked();
        let leader = cluster.leader().expect("no leader");
        cluster.submit(leader, 1_000);
        cluster.run(500);
        assert_eq!(cluster.acked(), before + 1, "seed {seed}");
        assert_eq!(cluster.read_version(0), Some(1), "seed {seed}");
    }
}

#[test]
fn elections_and_changes_succeed_while_a_disk_refuses_writes() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        let mut members: Vec<usize> = (0..MEMBERS).collect();
        members.shuffle(&mut cluster.random);
        let refusing = members[0];
        for version in 1..=8 {
            set_disk_mode(&mut cluster, &[refusing], DiskMode::Refusing);
            let leader = cluster.leader().expect("no leader");
            // A second tolerated fault causes an election while writes are refused.
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
        assert_eq!(cluster.read_version(refusing), Some(8), "seed {seed}");
    }
}

#[test]
fn disks_that_report_refused_writes_as_synced_are_detected() {
    let power_cycle = |mode: DiskMode| {
        let mut cluster = Cluster::bootstrapped(MEMBERS, 1);
        let affected: Vec<usize> = leader_first(&cluster).into_iter().take(3).collect();
        set_disk_mode(&mut cluster, &affected, mode);
        cluster.submit_all(0..20, STEP_MS);
        // The members that synced the writes stay off. A majority has reported the writes as synced.
        (0..MEMBERS).for_each(|member| cluster.power_off(member));
        for member in affected {
            cluster.machines[member].disk_mode = DiskMode::Healthy;
            cluster.start(member, false);
        }
        cluster.run(4_000);
    };
    let is_detected = |mode| catch_unwind(AssertUnwindSafe(|| power_cycle(mode))).is_err();
    assert!(is_detected(DiskMode::Lying));
    assert!(!is_detected(DiskMode::Refusing));
}
