//! Resubmission: a change that was accepted is never rejected when it is sent again, no matter how late and to which
//! process. The tests guard against processes that no longer recognize a change because it is not among the value's
//! recent changes and the archive lacks it after an outage, an emptied disk or a replacement.

mod support;
use rand::Rng;
use support::cluster::Cluster;
use support::operators::{patch, read_config, replacement, AnswerMode, Change, Operators};

/// A number of changes far above that of the recent changes in the register's value.
const MANY_CHANGES: u64 = 2_100;
/// The bases of the changes in a long history that are sent again.
const TESTED_BASES: [u64; 6] = [0, 1, 700, 1_500, MANY_CHANGES - 65, MANY_CHANGES - 1];

/// A change on `base` to the next version: a replacement for an even base, a patch for an odd one.
fn change(base: u64, mark: &str) -> Change {
    if base.is_multiple_of(2) {
        replacement(base, base + 1, mark)
    } else {
        patch(base, base + 1, mark)
    }
}

fn send_changes(
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
    let mut operators = Operators::new(AnswerMode::Unmodified);
    send_changes(&mut cluster, &mut operators, 0..MANY_CHANGES, through);
    (cluster, operators)
}

/// Checks that repeated changes are confirmed if they were accepted, and that other changes on the same base are
/// rejected.
fn repeat_all(cluster: &mut Cluster, operators: &mut Operators, through: &[usize]) {
    for base in TESTED_BASES {
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
    let read = read_config(cluster, through[0]);
    assert_eq!(operators.check(cluster, &read), Ok(()));
}

fn archived_changes(cluster: &Cluster, index: usize) -> usize {
    cluster.machines[index]
        .disk
        .control
        .keys()
        .filter(|key| key.starts_with(b"change/"))
        .count()
}

fn is_caught_up(cluster: &Cluster, index: usize) -> bool {
    cluster.machines[index]
        .node
        .as_ref()
        .is_some_and(|node| node.changes_caught_up())
}

#[test]
fn accepted_changes_are_confirmed_after_thousands_of_later_ones() {
    let (mut cluster, mut operators) = with_many_changes(1, &[0, 1, 2]);
    repeat_all(&mut cluster, &mut operators, &[0, 1, 2]);
}

#[test]
fn accepted_changes_are_confirmed_by_a_member_that_missed_them() {
    let mut cluster = Cluster::bootstrapped(3, 2);
    let mut operators = Operators::new(AnswerMode::Unmodified);
    cluster.isolate(2);
    send_changes(&mut cluster, &mut operators, 0..MANY_CHANGES, &[0, 1]);
    cluster.heal_network();
    // Until the missing changes have arrived, the outcome may be unknown, but an accepted change is never rejected.
    for base in TESTED_BASES {
        let status = operators.send_and_wait(&mut cluster, 2, &change(base, "a"));
        assert!([200, 503, 504].contains(&status), "base {base}: {status}");
    }
    cluster.run(3_000);
    assert!(is_caught_up(&cluster, 2));
    assert!(archived_changes(&cluster, 2) as u64 > MANY_CHANGES - 64);
    repeat_all(&mut cluster, &mut operators, &[2]);
}

#[test]
fn accepted_changes_are_confirmed_after_a_loss_of_power_at_all_members() {
    let (mut cluster, mut operators) = with_many_changes(3, &[0, 1, 2]);
    (0..3).for_each(|index| cluster.power_off(index));
    cluster.run(500);
    (0..3).for_each(|index| cluster.start(index, false));
    cluster.run(3_000);
    repeat_all(&mut cluster, &mut operators, &[0, 1, 2]);
}

#[test]
fn accepted_changes_are_confirmed_by_members_that_all_had_an_emptied_disk() {
    let (mut cluster, mut operators) = with_many_changes(4, &[0, 1, 2]);
    for index in 0..2 {
        cluster.wipe(index);
        cluster.run(500);
        cluster.start(index, false);
        cluster.run(4_000);
        assert!(is_caught_up(&cluster, index));
    }
    // The last member that took part in the changes itself is stopped.
    cluster.kill(2);
    cluster.run(2_500);
    repeat_all(&mut cluster, &mut operators, &[0, 1]);
}

#[test]
fn accepted_changes_are_confirmed_by_the_successor_of_a_lost_machine() {
    let (mut cluster, mut operators) = with_many_changes(5, &[0, 1, 2]);
    let gone = (cluster.leader().unwrap() + 1) % 3;
    cluster.wipe(gone);
    let successor = cluster.add_machine();
    cluster.start(successor, false);
    cluster.run(10_000);
    assert!(is_caught_up(&cluster, successor));
    assert!(archived_changes(&cluster, successor) as u64 > MANY_CHANGES - 64);
    repeat_all(&mut cluster, &mut operators, &[successor]);
}

#[test]
fn accepted_changes_are_confirmed_by_a_process_that_is_not_a_member() {
    let (mut cluster, mut operators) = with_many_changes(6, &[0, 1, 2]);
    let spare = cluster.add_machine();
    cluster.start(spare, false);
    cluster.run(3_000);
    assert!(is_caught_up(&cluster, spare));
    repeat_all(&mut cluster, &mut operators, &[spare]);
}

#[test]
fn the_outcome_of_a_change_dropped_from_all_archives_is_unknown() {
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
        assert!(is_caught_up(&cluster, index));
        assert_eq!(
            operators.send_and_wait(&mut cluster, index, &change(0, "a")),
            504
        );
        assert_eq!(
            operators.send_and_wait(&mut cluster, index, &change(0, "b")),
            504
        );
        assert_eq!(
            operators.send_and_wait(&mut cluster, index, &change(MANY_CHANGES - 1, "a")),
            200
        );
    }
    let read = read_config(&mut cluster, 0);
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
    assert!(is_caught_up(&cluster, 1));
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
fn requests_for_changes_that_no_member_has_back_off() {
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
    assert!(
        rate < 60,
        "{rate} events per second at each process, expected fewer than 60"
    );
}

/// Sends changes while one member at a time is killed, loses power, is isolated or has its disk emptied, and checks at
/// the end that repeated changes keep their outcome.
fn check_history_with_outages(seed: u64) {
    let mut cluster = Cluster::bootstrapped(3, 500 + seed);
    let mut operators = Operators::new(AnswerMode::Unmodified);
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
    let read = read_config(&mut cluster, 0);
    assert_eq!(operators.check(&cluster, &read), Ok(()), "seed {seed}");
}

fn stop_member(cluster: &mut Cluster) -> Option<usize> {
    let index = cluster.random.random_range(0..3);
    match cluster.random.random_range(0..4) {
        0 => cluster.kill(index),
        1 => cluster.power_off(index),
        2 => cluster.isolate(index),
        // A disk is emptied only if all members are caught up, since changes that only this member has would be lost.
        _ if (0..3).all(|index| is_caught_up(cluster, index)) => cluster.wipe(index),
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
fn changes_made_during_outages_are_all_archived_at_the_end() {
    (0..12).for_each(check_history_with_outages);
}
