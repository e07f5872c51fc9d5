//! A disk with rows that cannot be read counts as emptied, never as fresh: no process bootstraps a cluster on it.

mod support;
use support::cluster::Cluster;
use support::machine::Disk;

const ROWS: [&[u8]; 4] = [b"acceptor", b"value", b"replica", b"members"];

/// Ways in which a row is damaged.
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

fn busy(seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(3, seed);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    submit_requests(&mut cluster, 1..51);
    assert_eq!(cluster.acked(), 50);
    cluster
}

/// The bootstrapping process returns with what `damage` left, with the setting to bootstrap, and is alone for long; then
/// the others return.
fn bootstrapping_process_returns(cluster: &mut Cluster, damage: impl Fn(&mut Disk), context: &str) {
    let terms = cluster.terms();
    (0..3).for_each(|index| cluster.power_off(index));
    damage(&mut cluster.machines[0].disk);
    cluster.start(0, true);
    cluster.run(9_000);
    assert_eq!(cluster.terms(), terms, "{context}: bootstrapped anew");
    // Killed and started again it still knows that its disk was in use.
    cluster.kill(0);
    cluster.start(0, true);
    cluster.run(9_000);
    assert_eq!(
        cluster.terms(),
        terms,
        "{context}: bootstrapped anew at the second start"
    );
    cluster.start(1, false);
    cluster.start(2, false);
    cluster.run(6_000);
    assert_eq!(cluster.read_back(0), Some(5), "{context}");
    submit_requests(cluster, 1_001..1_011);
    assert_eq!(cluster.acked(), 60, "{context}");
    assert_eq!(
        cluster.machines[0].disk.records, cluster.machines[1].disk.records,
        "{context}"
    );
}

#[test]
fn a_bootstrapping_process_with_a_damaged_row_does_not_bootstrap_again() {
    for (place, row) in ROWS.into_iter().enumerate() {
        for (kind, damage) in DAMAGES.into_iter().enumerate() {
            let context = format!("row {place}, damage {kind}");
            let mut cluster = busy(10 * place as u64 + kind as u64);
            bootstrapping_process_returns(&mut cluster, |disk| damage(disk, row), &context);
        }
    }
}

#[test]
fn records_without_a_replica_state_are_discarded() {
    let mut cluster = busy(50);
    bootstrapping_process_returns(&mut cluster, |disk| disk.control.clear(), "records alone");
}

#[test]
fn a_member_with_a_damaged_row_neither_votes_nor_leads_until_it_has_recovered() {
    for (place, row) in ROWS.into_iter().enumerate() {
        for (kind, damage) in DAMAGES.into_iter().enumerate() {
            let context = format!("row {place}, damage {kind}");
            let mut cluster = busy(100 + 10 * place as u64 + kind as u64);
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
            // With one more member it would be a majority.
            cluster.start(1, false);
            cluster.start(2, false);
            cluster.run(5_000);
            assert_eq!(
                cluster.terms(),
                terms,
                "{context}: elected by a member that forgot"
            );
            cluster.start(0, false);
            cluster.run(5_000);
            assert_eq!(cluster.read_back(1), Some(5), "{context}");
            assert_eq!(
                cluster.machines[1].disk.records, cluster.machines[0].disk.records,
                "{context}"
            );
        }
    }
}

#[test]
fn an_empty_disk_is_a_fresh_one() {
    let mut cluster = Cluster::new(3, 60);
    (0..3).for_each(|index| cluster.start(index, true));
    cluster.run(4_000);
    assert!(cluster.leader().is_some());
}
