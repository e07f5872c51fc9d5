//! Concurrent changes: of several changes on the same base at most one is ever confirmed, and that one is read back.
//! The tests guard against a second confirmation when members fail between the phases of a round, when answers are lost
//! and when changes are sent again.

mod support;
use rand::Rng;
use support::cluster::Cluster;
use support::network::{Conditions, FAULT_FREE};
use support::operators::{
    abandon, is_definite, patch, read_config, replacement, AnswerMode, Change, Operators,
};

const LOSSY_NETWORK: Conditions = Conditions {
    loss: 0.03,
    duplication: 0.03,
    delay_us: (200, 8_000),
    sync_us: (1_000, 9_000),
};
/// A member's own disk has synced a value long before the other members receive the message with it.
const SLOW_NETWORK: Conditions = Conditions {
    loss: 0.0,
    duplication: 0.0,
    delay_us: (5_000, 9_000),
    sync_us: (500, 2_000),
};
/// A member fails at each millisecond of this span after the changes were sent.
const FAILURE_SPAN_MS: u64 = 30;
const FAILURE_SEEDS: u64 = 1_080;
/// With this many changes the value is large enough that the accept phase sends a patch instead of it.
const LONG_HISTORY: u64 = 24;

#[derive(Clone, Copy)]
enum Failure {
    Kill,
    PowerOff,
    EmptiedDisk,
}

const FAILURES: [Failure; 3] = [Failure::Kill, Failure::PowerOff, Failure::EmptiedDisk];

fn fail_member(cluster: &mut Cluster, index: usize, failure: Failure) {
    match failure {
        Failure::Kill => cluster.kill(index),
        Failure::PowerOff => cluster.power_off(index),
        Failure::EmptiedDisk => cluster.wipe(index),
    }
}

/// Sends the changes again, each time to the next member, until all have a clear answer.
fn send_all_until_answered(
    cluster: &mut Cluster,
    operators: &mut Operators,
    changes: &[Change],
    count: usize,
) {
    let mut open: Vec<Change> = changes.to_vec();
    for turn in 0..60 {
        let numbers: Vec<u64> = (open.iter().enumerate())
            .map(|(position, change)| operators.send(cluster, (turn + position) % count, change))
            .collect();
        cluster.run(1_200);
        let mut answers = numbers
            .iter()
            .map(|number| operators.status(cluster, *number));
        open.retain(|_| !answers.next().is_some_and(is_definite));
        if open.is_empty() {
            return;
        }
    }
    panic!("{} changes have no clear answer", open.len());
}

/// Two operators send different changes with the same base and version to two members. A member fails meanwhile, and
/// the first answers are lost.
fn check_two_operators(answer_mode: AnswerMode, count: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::bootstrapped(count, 10_000 + seed);
    let mut operators = Operators::new(answer_mode);
    let base = if seed.is_multiple_of(6) {
        LONG_HISTORY
    } else {
        1
    };
    for former in 0..base {
        assert_eq!(
            operators.send_and_wait(&mut cluster, 0, &replacement(former, former + 1, "former")),
            200
        );
    }
    if seed.is_multiple_of(4) {
        cluster.conditions = LOSSY_NETWORK;
    }
    let rival = if seed.is_multiple_of(2) {
        patch(base, base + 2, "right")
    } else {
        replacement(base, base + 2, "right")
    };
    let changes = [replacement(base, base + 2, "left"), rival];
    let first = cluster.random.random_range(0..count);
    let second = (first + cluster.random.random_range(1..count)) % count;
    let numbers = [
        operators.send(&mut cluster, first, &changes[0]),
        operators.send(&mut cluster, second, &changes[1]),
    ];
    let victim = cluster.random.random_range(0..count);
    cluster.run(seed % FAILURE_SPAN_MS);
    fail_member(
        &mut cluster,
        victim,
        FAILURES[(seed / FAILURE_SPAN_MS) as usize % FAILURES.len()],
    );
    let wait_ms = cluster.random.random_range(0..10);
    cluster.run(wait_ms);
    numbers
        .into_iter()
        .for_each(|number| abandon(&mut cluster, number));
    let pause_ms = cluster.random.random_range(0..1_500);
    cluster.run(pause_ms);
    cluster.start(victim, false);
    send_all_until_answered(&mut cluster, &mut operators, &changes, count);
    // Each member is sent each change once more.
    for index in 0..count {
        for change in &changes {
            operators.send_until_answered(&mut cluster, index, change);
        }
        let read = read_config(&mut cluster, index);
        operators.check(&cluster, &read)?;
        if read.is_none_or(|(version, _)| version != base + 2) {
            return Err("neither content is in force".to_owned());
        }
    }
    Ok(())
}

#[test]
fn one_of_two_changes_on_the_same_base_is_in_force_after_a_failure_of_one_of_three() {
    for seed in 0..FAILURE_SEEDS {
        assert_eq!(
            check_two_operators(AnswerMode::Unmodified, 3, seed),
            Ok(()),
            "seed {seed}"
        );
    }
}

#[test]
fn one_of_two_changes_on_the_same_base_is_in_force_after_a_failure_of_one_of_five() {
    for seed in 0..FAILURE_SEEDS / 4 {
        assert_eq!(
            check_two_operators(AnswerMode::Unmodified, 5, 50_000 + seed),
            Ok(()),
            "seed {seed}"
        );
    }
}

#[test]
fn the_checker_finds_a_process_that_rejects_repeats() {
    for seed in 0..20 {
        let found = check_two_operators(AnswerMode::RejectsRepeats, 3, seed).unwrap_err();
        assert!(
            found.contains("was confirmed and rejected"),
            "seed {seed}: {found}"
        );
    }
}

#[test]
fn the_checker_finds_a_process_that_confirms_by_version() {
    for seed in 0..20 {
        let found = check_two_operators(AnswerMode::ConfirmsByVersion, 3, seed).unwrap_err();
        assert!(
            found.contains("two changes on top of"),
            "seed {seed}: {found}"
        );
    }
}

#[test]
fn a_repeated_change_keeps_its_outcome_while_a_newer_change_is_in_flight() {
    for seed in 0..300 {
        let mut cluster = Cluster::bootstrapped(3, 20_000 + seed);
        let mut operators = Operators::new(AnswerMode::Unmodified);
        let (taken, lost) = (replacement(0, 5, "taken"), replacement(0, 5, "lost"));
        assert_eq!(operators.send_and_wait(&mut cluster, 0, &taken), 200);
        let newer = replacement(5, 8, "newer");
        let at = cluster.random.random_range(0..3);
        let newest = operators.send(&mut cluster, at, &newer);
        cluster.run(seed % 20);
        let repeats: Vec<u64> = (0..3)
            .map(|index| operators.send(&mut cluster, index, &taken))
            .collect();
        let losers: Vec<u64> = (0..3)
            .map(|index| operators.send(&mut cluster, index, &lost))
            .collect();
        cluster.run(3_000);
        assert_eq!(operators.status(&cluster, newest), 200, "seed {seed}");
        for number in repeats {
            assert_eq!(operators.status(&cluster, number), 200, "seed {seed}");
        }
        for number in losers {
            assert_eq!(operators.status(&cluster, number), 412, "seed {seed}");
        }
        let read = read_config(&mut cluster, 1);
        assert_eq!(operators.check(&cluster, &read), Ok(()), "seed {seed}");
    }
}

#[test]
fn one_of_eight_concurrent_changes_on_the_same_base_is_confirmed() {
    for seed in 0..100 {
        let mut cluster = Cluster::bootstrapped(3, 30_000 + seed);
        let mut operators = Operators::new(AnswerMode::Unmodified);
        assert_eq!(
            operators.send_and_wait(&mut cluster, 0, &replacement(0, 5, "first")),
            200
        );
        let kind = |position: u64| {
            if position.is_multiple_of(2) {
                replacement
            } else {
                patch
            }
        };
        let changes: Vec<Change> = (0..8)
            .map(|position| kind(position)(5, 6 + position / 4, &format!("mark{position}")))
            .collect();
        let mut numbers = Vec::new();
        for (position, change) in changes.iter().enumerate() {
            numbers.push((change, operators.send(&mut cluster, position % 3, change)));
            numbers.push((
                change,
                operators.send(&mut cluster, (position + 1) % 3, change),
            ));
        }
        cluster.run(6_000);
        let taken = numbers
            .iter()
            .filter(|(_, number)| operators.status(&cluster, *number) == 200);
        let mut taken: Vec<&Change> = taken.map(|(change, _)| *change).collect();
        taken.dedup();
        assert_eq!(taken.len(), 1, "seed {seed}");
        send_all_until_answered(&mut cluster, &mut operators, &changes, 3);
        let read = read_config(&mut cluster, 2);
        assert_eq!(operators.check(&cluster, &read), Ok(()), "seed {seed}");
    }
}

#[test]
fn confirmed_changes_of_a_chain_that_was_sent_at_once_are_in_force() {
    for seed in 0..100 {
        let mut cluster = Cluster::bootstrapped(3, 40_000 + seed);
        let mut operators = Operators::new(AnswerMode::Unmodified);
        let changes: Vec<Change> = (0..8)
            .map(|base| replacement(base, base + 1, "a"))
            .collect();
        let one_member = seed.is_multiple_of(2);
        let numbers: Vec<u64> = (changes.iter().enumerate())
            .map(|(position, change)| {
                operators.send(
                    &mut cluster,
                    if one_member { 1 } else { position % 3 },
                    change,
                )
            })
            .collect();
        cluster.run(6_000);
        let statuses: Vec<u16> = numbers
            .iter()
            .map(|number| operators.status(&cluster, *number))
            .collect();
        if one_member {
            assert_eq!(statuses, [200; 8], "seed {seed}");
        }
        let read = read_config(&mut cluster, 0);
        assert_eq!(operators.check(&cluster, &read), Ok(()), "seed {seed}");
        let version = read.map(|(version, _)| version);
        let confirmed = statuses.iter().filter(|status| **status == 200).count() as u64;
        assert_eq!(
            version,
            Some(confirmed),
            "seed {seed}: a rejected change is in force"
        );
    }
}

/// Isolates a member while it may be the only one that has accepted a change, and lets the others accept another
/// change. Returns whether the isolated member had accepted the first change and the second one was confirmed.
fn check_change_accepted_by_one(seed: u64) -> bool {
    let mut cluster = Cluster::bootstrapped(3, 80_000 + seed);
    let mut operators = Operators::new(AnswerMode::Unmodified);
    assert_eq!(
        operators.send_and_wait(&mut cluster, 0, &replacement(0, 5, "first")),
        200
    );
    let changes = [replacement(5, 7, "lonely"), replacement(5, 6, "common")];
    cluster.conditions = SLOW_NETWORK;
    operators.send(&mut cluster, 0, &changes[0]);
    cluster.run(14 + seed % 15);
    cluster.isolate(0);
    cluster.conditions = FAULT_FREE;
    cluster.run(1_000);
    let value = &cluster.machines[0].disk.control[&b"value"[..]];
    let accepted = value.windows(6).any(|bytes| bytes == b"lonely");
    let common = operators.send_until_answered(&mut cluster, 1, &changes[1]);
    let start = if common == 200 { 6 } else { 7 };
    // After this, neither change is among the recent changes of the value.
    for base in start..start + 80 {
        assert_eq!(
            operators.send_until_answered(&mut cluster, 1, &replacement(base, base + 1, "later")),
            200
        );
    }
    cluster.heal_network();
    cluster.run(2_000);
    for index in 0..3 {
        changes.iter().for_each(|change| {
            assert!(is_definite(operators.send_until_answered(
                &mut cluster,
                index,
                change
            )))
        });
        let read = read_config(&mut cluster, index);
        assert_eq!(operators.check(&cluster, &read), Ok(()), "seed {seed}");
    }
    accepted && common == 200
}

#[test]
fn changes_accepted_by_a_minority_are_not_archived() {
    let accepted = (0..60)
        .filter(|seed| check_change_accepted_by_one(*seed))
        .count();
    assert!(
        accepted >= 10,
        "a single member accepted the change in only {accepted} of 60 schedules, expected at least 10"
    );
}

fn inject_fault(cluster: &mut Cluster, count: usize, wiped: &mut usize) {
    let index = cluster.random.random_range(0..count);
    match cluster.random.random_range(0..10) {
        0 => cluster.kill(index),
        1 => cluster.power_off(index),
        2 => cluster.freeze(index),
        3 => cluster.isolate(index),
        4 => cluster.heal_network(),
        5 => (0..count).for_each(|index| cluster.power_off(index)),
        6 if *wiped == 0 => {
            *wiped += 1;
            cluster.wipe(index);
        }
        _ => {}
    }
    let other = cluster.random.random_range(0..count);
    cluster.revive(other);
}

/// Several operators send changes on the newest confirmed version and repeat earlier changes of any age, during mixed
/// faults.
fn check_long_race(count: usize, seed: u64) {
    let mut cluster = Cluster::bootstrapped(count, seed);
    let mut operators = Operators::new(AnswerMode::Unmodified);
    assert_eq!(
        operators.send_and_wait(&mut cluster, 0, &replacement(0, 1, "first")),
        200
    );
    cluster.conditions = LOSSY_NETWORK;
    let (mut newest, mut wiped) = (1, 0);
    let mut last = Vec::new();
    for step in 0..50 {
        if step % 3 == 0 {
            inject_fault(&mut cluster, count, &mut wiped);
        }
        for rival in 0..cluster.random.random_range(1..4) {
            let version = newest + cluster.random.random_range(1..3);
            let mark = format!("s{step}r{rival}");
            let make = if cluster.random.random_bool(0.5) {
                replacement
            } else {
                patch
            };
            last.push(make(newest, version, &mark));
        }
        let changes = operators.changes();
        if !changes.is_empty() {
            last.push(changes[cluster.random.random_range(0..changes.len())].clone());
        }
        let mut numbers = Vec::new();
        for change in last.drain(..) {
            let index = cluster.random.random_range(0..count);
            numbers.push((operators.send(&mut cluster, index, &change), change));
        }
        let pause_ms = cluster.random.random_range(5..500);
        cluster.run(pause_ms);
        if cluster.random.random_bool(0.3) {
            numbers
                .iter()
                .for_each(|(number, _)| abandon(&mut cluster, *number));
        }
        let taken = numbers
            .iter()
            .filter(|(number, _)| cluster.status(*number) == 200);
        newest = taken
            .map(|(_, change)| change.version)
            .max()
            .unwrap_or(newest)
            .max(newest);
    }
    cluster.end_faults(0..count);
    cluster.run(5_000);
    let changes = operators.changes();
    send_all_until_answered(&mut cluster, &mut operators, &changes, count);
    send_all_until_answered(&mut cluster, &mut operators, &changes, count);
    for index in 0..count {
        let read = read_config(&mut cluster, index);
        assert_eq!(
            operators.check(&cluster, &read),
            Ok(()),
            "seed {seed}, process {index}"
        );
    }
}

#[test]
fn answers_to_racing_operators_are_consistent_on_three_members_with_mixed_faults() {
    (0..150).for_each(|seed| check_long_race(3, 60_000 + seed));
}

#[test]
fn answers_to_racing_operators_are_consistent_on_five_members_with_mixed_faults() {
    (0..50).for_each(|seed| check_long_race(5, 70_000 + seed));
}
