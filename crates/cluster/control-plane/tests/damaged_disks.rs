//! A disk with rows that cannot be read is treated as an emptied disk of a former member and never as a new one: no
//! process bootstraps a cluster on it, and its member neither votes nor leads until it has recovered. Otherwise a
//! second cluster would be bootstrapped, or a majority that has forgotten its promises would elect a leader without the
//! records.

mod support;
use support::cluster::Cluster;
use support::machine::Disk;

const ROWS: [&[u8]; 4] = [b"acceptor", b"value", b"replica", b"members"];

/// The ways to damage a row: it is removed, emptied, truncated, or extended by a byte.
const DAMAGES: [fn(&mut Disk, &[u8]); 4] = [
    |disk, row| drop(disk.control.remove(row)),
    |disk, row| drop(disk.control.insert(row.to_vec(), Vec::new())),
    |disk, row| disk.control.get_mut(row).unwrap().truncate(3),
    |disk, row| disk.control.get_mut(row).unwrap().push(0),
];

fn submit_requests(cluster: &mut Cluster, requests: std::ops::Range<u64>) {
    cluster.submit_all(requests, 3);
    cluster.run(300);
}

fn cluster_with_records(seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(3, seed);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    submit_requests(&mut cluster, 1..51);
    assert_eq!(cluster.acked(), 50);
    cluster
}

/// Restarts the bootstrapping process on its damaged disk, with the setting to bootstrap and without the other members
/// for 18 s, and then restarts the other members.
fn restart_bootstrapping_process(cluster: &mut Cluster, damage: impl Fn(&mut Disk), context: &str) {
    let terms = cluster.terms();
    (0..3).for_each(|index| cluster.power_off(index));
    damage(&mut cluster.machines[0].disk);
    cluster.start(0, true);
    cluster.run(9_000);
    assert_eq!(cluster.terms(), terms, "{context}: bootstrapped again");
    // After a further kill and start, the process still knows that its disk was in use.
    cluster.kill(0);
    cluster.start(0, true);
    cluster.run(9_000);
    assert_eq!(
        cluster.terms(),
        terms,
        "{context}: bootstrapped again at the second start"
    );
    cluster.start(1, false);
    cluster.start(2, false);
    cluster.run(6_000);
    assert_eq!(cluster.read_version(0), Some(5), "{context}");
    submit_requests(cluster, 1_001..1_011);
    assert_eq!(cluster.acked(), 60, "{context}");
    assert_eq!(
        cluster.machines[0].disk.records, cluster.machines[1].disk.records,
        "{context}"
    );
}

#[test]
fn a_bootstrapping_process_with_a_damaged_row_does_not_bootstrap_again() {
    for (row_index, row) in ROWS.into_iter().enumerate() {
        for (damage_index, damage) in DAMAGES.into_iter().enumerate() {
            let context = format!("row {row_index}, damage {damage_index}");
            let mut cluster = cluster_with_records(10 * row_index as u64 + damage_index as u64);
            restart_bootstrapping_process(&mut cluster, |disk| damage(disk, row), &context);
        }
    }
}

#[test]
fn records_without_a_replica_state_are_discarded() {
    let mut cluster = cluster_with_records(50);
    restart_bootstrapping_process(&mut cluster, |disk| disk.control.clear(), "records alone");
}

#[test]
fn a_member_with_a_damaged_row_neither_votes_nor_leads_until_it_has_recovered() {
    for (row_index, row) in ROWS.into_iter().enumerate() {
        for (damage_index, damage) in DAMAGES.into_iter().enumerate() {
            let context = format!("row {row_index}, damage {damage_index}");
            let mut cluster =
                cluster_with_records(100 + 10 * row_index as u64 + damage_index as u64);
            (0..3).for_each(|index| cluster.power_off(index));
            let missing = cluster.machines[1]
                .disk
                .records
                .keys()
                .next()
                .unwrap()
                .clone();
            cluster.machines[1].disk.records.remove(&missing);
            damage(&mut cluster.machines[1].disk, row);
            let terms = cluster.terms();
            // Together with member 2 the damaged member would be a majority.
            cluster.start(1, false);
            cluster.start(2, false);
            cluster.run(5_000);
            assert_eq!(
                cluster.terms(),
                terms,
                "{context}: a leader was elected with the vote of a member that lost its state"
            );
            cluster.start(0, false);
            cluster.run(5_000);
            assert_eq!(cluster.read_version(1), Some(5), "{context}");
            assert_eq!(
                cluster.machines[1].disk.records, cluster.machines[0].disk.records,
                "{context}"
            );
        }
    }
}

#[test]
fn processes_with_empty_disks_bootstrap_a_cluster() {
    let mut cluster = Cluster::new(3, 60);
    (0..3).for_each(|index| cluster.start(index, true));
    cluster.run(4_000);
    assert!(cluster.leader().is_some());
}
