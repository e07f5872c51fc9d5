//! Resubmission: a change that was accepted is never rejected, however late and at whichever member it is sent again.

mod support;
use rand::Rng;
use support::cluster::Cluster;
use support::operators::{patch, read_back, replacement, Answering, Change, Operators};

/// More changes than the register's value names.
const MANY_CHANGES: u64 = 2_100;
/// Places in a long history, by the base of the change.
const PLACES: [u64; 6] = [0, 1, 700, 1_500, MANY_CHANGES - 65, MANY_CHANGES - 1];

/// Replacements and patches in turn.
fn change(base: u64, mark: &str) -> Change {
    if base.is_multiple_of(2) {
        replacement(base, base + 1, mark)
    } else {
        patch(base, base + 1, mark)
    }
}

fn change_often(
    cluster: &mut Cluster,
    operators: &mut Operators,
    bases: std::ops::Range<u64>,
    through: &[usize],
) {
    for base in bases {
        let index = through[base as usize % through.len()];
        let number = operators.send(cluster, index, &change(base, "a"));
        while cluster.status(number) == 0 {
            cluster.run(1);
        }
        assert_eq!(cluster.status(number), 200, "base {base}");
    }
}

fn with_many_changes(seed: u64, through: &[usize]) -> (Cluster, Operators) {
    let mut cluster = Cluster::bootstrapped(3, seed);
    let mut operators = Operators::new(Answering::Sound);
    change_often(&mut cluster, &mut operators, 0..MANY_CHANGES, through);
    (cluster, operators)
}

/// What was accepted is confirmed, what lost is rejected.
fn repeat_all(cluster: &mut Cluster, operators: &mut Operators, through: &[usize]) {
    for base in PLACES {
        for index in through {
            assert_eq!(
                operators.send_until_answered(cluster, *index, &change(base, "a")),
                200,
                "base {base} at {index}"
            );
            assert_eq!(
                operators.send_until_answered(cluster, *index, &change(base, "b")),
                412,
                "base {base} at {index}"
            );
        }
    }
    let read = read_back(cluster, through[0]);
    assert_eq!(operators.check(cluster, &read), Ok(()));
}

fn archived(cluster: &Cluster, index: usize) -> usize {
    cluster.machines[index]
        .disk
        .control
        .keys()
        .filter(|key| key.starts_with(b"change/"))
        .count()
}

fn caught_up(cluster: &Cluster, index: usize) -> bool {
    cluster.machines[index]
        .node
        .as_ref()
        .is_some_and(|node| node.changes_caught_up())
}

#[test]
fn after_thousands_of_changes() {
    let (mut cluster, mut operators) = with_many_changes(1, &[0, 1, 2]);
    repeat_all(&mut cluster, &mut operators, &[0, 1, 2]);
}

#[test]
fn at_a_member_that_never_saw_the_change() {
    let mut cluster = Cluster::bootstrapped(3, 2);
    let mut operators = Operators::new(Answering::Sound);
    cluster.isolate(2);
    change_often(&mut cluster, &mut operators, 0..MANY_CHANGES, &[0, 1]);
    cluster.heal_network();
    // Until the missing changes are there, the answer is open; it never is a refusal of what was taken.
    for base in PLACES {
        let status = operators.ask(&mut cluster, 2, &change(base, "a"));
        assert!([200, 503, 504].contains(&status), "base {base}: {status}");
    }
    cluster.run(3_000);
    assert!(caught_up(&cluster, 2));
    assert!(archived(&cluster, 2) as u64 > MANY_CHANGES - 64);
    repeat_all(&mut cluster, &mut operators, &[2]);
}

#[test]
fn after_all_lost_power() {
    let (mut cluster, mut operators) = with_many_changes(3, &[0, 1, 2]);
    (0..3).for_each(|index| cluster.power_off(index));
    cluster.run(500);
    (0..3).for_each(|index| cluster.start(index, false));
    cluster.run(3_000);
    repeat_all(&mut cluster, &mut operators, &[0, 1, 2]);
}

#[test]
fn after_an_emptied_disk_and_with_nobody_else_who_knew() {
    let (mut cluster, mut operators) = with_many_changes(4, &[0, 1, 2]);
    for index in 0..2 {
        cluster.wipe(index);
        cluster.run(500);
        cluster.start(index, false);
        cluster.run(4_000);
        assert!(caught_up(&cluster, index));
    }
    // The last one that saw the changes itself is gone.
    cluster.kill(2);
    cluster.run(2_500);
    repeat_all(&mut cluster, &mut operators, &[0, 1]);
}

#[test]
fn at_a_new_machine_in_the_place_of_a_lost_one() {
    let (mut cluster, mut operators) = with_many_changes(5, &[0, 1, 2]);
    let gone = (cluster.leader().unwrap() + 1) % 3;
    cluster.wipe(gone);
    let successor = cluster.add_machine();
    cluster.start(successor, false);
    cluster.run(10_000);
    assert!(caught_up(&cluster, successor));
    assert!(archived(&cluster, successor) as u64 > MANY_CHANGES - 64);
    repeat_all(&mut cluster, &mut operators, &[successor]);
}

#[test]
fn through_a_process_that_is_no_member() {
    let (mut cluster, mut operators) = with_many_changes(6, &[0, 1, 2]);
    let spare = cluster.add_machine();
    cluster.start(spare, false);
    cluster.run(3_000);
    assert!(caught_up(&cluster, spare));
    repeat_all(&mut cluster, &mut operators, &[spare]);
}

#[test]
fn a_change_dropped_from_all_archives_is_left_open() {
    let (mut cluster, mut operators) = with_many_changes(7, &[0, 1, 2]);
    for index in 0..3 {
        cluster.kill(index);
        cluster.machines[index]
            .disk
            .control
            .retain(|key, _| !key.starts_with(b"change/"));
    }
    (0..3).for_each(|index| cluster.start(index, false));
    cluster.run(4_000);
    for index in 0..3 {
        assert!(caught_up(&cluster, index));
        assert_eq!(operators.ask(&mut cluster, index, &change(0, "a")), 504);
        assert_eq!(operators.ask(&mut cluster, index, &change(0, "b")), 504);
        assert_eq!(
            operators.ask(&mut cluster, index, &change(MANY_CHANGES - 1, "a")),
            200
        );
    }
    let read = read_back(&mut cluster, 0);
    assert_eq!(operators.check(&cluster, &read), Ok(()));
}

#[test]
fn a_gap_in_the_archive_is_filled() {
    let (mut cluster, mut operators) = with_many_changes(8, &[0, 1, 2]);
    cluster.kill(1);
    let rows = &mut cluster.machines[1].disk.control;
    let in_gap =
        |base: u64| (100..300).contains(&base) || (1_000..1_010).contains(&base) || base < 5;
    rows.retain(|key, _| match key.strip_prefix(b"change/") {
        Some(base) => !in_gap(u64::from_be_bytes(base.try_into().unwrap())),
        None => true,
    });
    cluster.start(1, false);
    cluster.run(3_000);
    assert!(caught_up(&cluster, 1));
    cluster.kill(0);
    cluster.run(2_500);
    for base in [0, 4, 100, 299, 1_005] {
        assert_eq!(
            operators.send_until_answered(&mut cluster, 1, &change(base, "a")),
            200,
            "base {base}"
        );
        assert_eq!(
            operators.send_until_answered(&mut cluster, 1, &change(base, "b")),
            412,
            "base {base}"
        );
    }
}

#[test]
fn a_process_whose_peers_are_gone_keeps_asking_at_a_growing_interval() {
    let (mut cluster, _) = with_many_changes(9, &[0, 1, 2]);
    for index in 0..3 {
        cluster.kill(index);
        cluster.machines[index]
            .disk
            .control
            .retain(|key, _| !key.starts_with(b"change/"));
    }
    (0..3).for_each(|index| cluster.start(index, false));
    cluster.run(60_000);
    let before = cluster.events;
    cluster.run(30_000);
    let rate = (cluster.events - before) / 90;
    assert!(rate < 60, "{rate} events a second at each process");
}

/// One member at a time is killed, without power, isolated or has its disk emptied, while the history grows.
fn outages(seed: u64) {
    let mut cluster = Cluster::bootstrapped(3, 500 + seed);
    let mut operators = Operators::new(Answering::Sound);
    let mut down = None;
    for base in 0..400 {
        if base % 20 == 0 {
            down = match down {
                Some(index) => restart_member(&mut cluster, index),
                None => stop_member(&mut cluster),
            };
        }
        let up: Vec<usize> = (0..3).filter(|index| down != Some(*index)).collect();
        let index = up[cluster.random.random_range(0..up.len())];
        assert_eq!(
            operators.send_until_answered(&mut cluster, index, &change(base, "a")),
            200,
            "seed {seed}, base {base}"
        );
    }
    down.and_then(|index| restart_member(&mut cluster, index));
    cluster.run(5_000);
    for base in (0..400).step_by(9) {
        let index = base as usize % 3;
        assert_eq!(
            operators.send_until_answered(&mut cluster, index, &change(base, "a")),
            200,
            "seed {seed}, base {base}"
        );
        assert_eq!(
            operators.send_until_answered(&mut cluster, index, &change(base, "b")),
            412,
            "seed {seed}, base {base}"
        );
    }
    let read = read_back(&mut cluster, 0);
    assert_eq!(operators.check(&cluster, &read), Ok(()), "seed {seed}");
}

fn stop_member(cluster: &mut Cluster) -> Option<usize> {
    let index = cluster.random.random_range(0..3);
    match cluster.random.random_range(0..4) {
        0 => cluster.kill(index),
        1 => cluster.power_off(index),
        2 => cluster.isolate(index),
        // What it alone knew would be lost.
        _ if (0..3).all(|index| caught_up(cluster, index)) => cluster.wipe(index),
        _ => return None,
    }
    Some(index)
}

fn restart_member(cluster: &mut Cluster, index: usize) -> Option<usize> {
    cluster.heal_network();
    if cluster.machines[index].node.is_none() {
        cluster.start(index, false);
        cluster.run(3_000);
    }
    None
}

#[test]
fn a_history_with_outages_is_completely_archived_at_the_end() {
    (0..12).for_each(outages);
}
