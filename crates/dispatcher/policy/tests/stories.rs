//! Short stories of what fails and what the dispatcher does.

mod fake;
use fake::*;
use sagetrail_policy::*;

const IDEMPOTENT: usize = 0;
const KEYED: usize = 1;
const AT_MOST_ONCE: usize = 2;

#[test]
fn work_is_held_until_a_runner_has_room() {
    let (mut d, mut host) = start(terms(), 1);
    let all: Vec<WorkItem> = (0..3).map(|_| host.take(&mut d, IDEMPOTENT, 0)).collect();
    assert_eq!(host.sent_to(all[1]), [0], "the cap starts at two slots");
    assert!(host.sent_to(all[2]).is_empty());
    host.come(&mut d, all[0], 0, Outcome::Finished);
    assert_eq!(host.sent_to(all[2]), [0]);
}

#[test]
fn a_key_draws_its_work_to_the_runner_that_served_it() {
    let (mut d, mut host) = start(terms(), 8);
    let first = host.take(&mut d, IDEMPOTENT, 42);
    host.come(&mut d, first, 0, Outcome::Finished);
    let holder = host.sent_to(first)[0];
    host.asked.clear();
    let again = host.take(&mut d, IDEMPOTENT, 42);
    assert_eq!(host.sent_to(again), [holder]);
}

#[test]
fn dispatchers_that_cannot_talk_agree_on_a_keys_home() {
    let sends = |seed| {
        let mut d = Dispatcher::new(terms(), seed, 100.0);
        let entries: Vec<_> = (0..8).map(|r| (r, Some(runner(r as u64)))).collect();
        d.update_list(100.0, ListUpdate::Cached, &entries);
        let mut host = Fake {
            now: 100.0,
            ..Fake::default()
        };
        let work_item = host.take(&mut d, IDEMPOTENT, 42);
        host.sent_to(work_item)
    };
    assert!((1..20).all(|seed| sends(seed) == sends(0)));
}

#[test]
fn work_waits_a_little_for_a_busy_holder_and_then_goes_elsewhere() {
    let (mut d, mut host) = start(terms(), 2);
    host.learn_fetches(&mut d, 2);
    let all: Vec<WorkItem> = (0..3).map(|_| host.take(&mut d, IDEMPOTENT, 42)).collect();
    let home = host.sent_to(all[0])[0];
    assert_eq!(host.sent_to(all[1]), [home]);
    assert!(
        host.sent_to(all[2]).is_empty(),
        "the holder is full, the other one has room"
    );
    host.pass(&mut d, 1.5);
    assert_eq!(host.sent_to(all[2]), [1 - home]);
}

#[test]
fn exclusive_work_that_may_have_run_is_written_off_at_once() {
    let (mut d, mut host) = start(terms(), 3);
    let work_item = host.take(&mut d, AT_MOST_ONCE, 0);
    host.come(&mut d, work_item, 0, Outcome::Error);
    assert_eq!(host.ends(work_item), [WriteOff(work_item)]);
    assert_eq!(host.sent_to(work_item).len(), 1);
}

#[test]
fn exclusive_work_proven_not_run_goes_to_another_runner() {
    for outcome in [Outcome::Full, Outcome::NoConnection, Outcome::NotSent] {
        let (mut d, mut host) = start(terms(), 3);
        let work_item = host.take(&mut d, AT_MOST_ONCE, 0);
        host.come(&mut d, work_item, 0, outcome);
        let sent = host.sent_to(work_item);
        assert_eq!(sent.len(), 2);
        assert_ne!(sent[0], sent[1]);
    }
}

#[test]
fn ticketed_work_is_resent_only_in_its_cell_and_window() {
    let (mut d, mut host) = start(terms(), 3);
    let work_item = host.take(&mut d, KEYED, 0);
    host.come(&mut d, work_item, 0, Outcome::Error);
    host.pass(&mut d, 2.0);
    let sent = host.sent_to(work_item);
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[0], sent[1], "each runner is a cell of its own");
    host.now += 2.0;
    host.come(&mut d, work_item, 1, Outcome::Error);
    assert_eq!(
        host.ends(work_item),
        [WriteOff(work_item)],
        "the window is over, and a cell's work is not deferred"
    );
}

#[test]
fn the_most_hand_offs_are_kept_and_the_rest_deferred_with_a_time() {
    let (mut d, mut host) = start(terms(), 5);
    let work_item = host.take(&mut d, IDEMPOTENT, 0);
    (0..3).for_each(|no| host.come(&mut d, work_item, no, Outcome::Error));
    assert_eq!(host.sent_to(work_item).len(), 3);
    assert!(matches!(host.ends(work_item)[..], [Defer(_, s)] if s > 0.0 && s <= 2.0));
}

#[test]
fn a_draining_runner_gets_nothing_new() {
    let (mut d, mut host) = start(terms(), 1);
    d.update_list(
        100.0,
        ListUpdate::Changes,
        &[
            (
                0,
                Some(ListedRunner {
                    ready: false,
                    ..runner(0)
                }),
            ),
            (1, Some(runner(1))),
        ],
    );
    let work_item = host.take(&mut d, IDEMPOTENT, 0);
    assert_eq!(host.sent_to(work_item), [1]);
    d.update_list(100.0, ListUpdate::Full, &[(0, Some(runner(0)))]);
    let work_item = host.take(&mut d, IDEMPOTENT, 0);
    assert_eq!(
        host.sent_to(work_item),
        [0],
        "a whole list that drops a runner ends it"
    );
}

#[test]
fn work_with_no_runner_left_is_deferred_at_once() {
    let (mut d, mut host) = start(terms(), 1);
    d.update_list(100.0, ListUpdate::Changes, &[(0, None)]);
    let work_item = host.take(&mut d, AT_MOST_ONCE, 0);
    host.pass(&mut d, 0.1);
    assert!(matches!(host.ends(work_item)[..], [Defer(..)]));
}

#[test]
fn work_that_arrives_at_its_expiry_is_answered_in_the_same_batch() {
    let (mut d, mut host) = start(terms(), 0);
    host.pass(&mut d, 0.1);
    let work_item = d
        .submit(
            host.now,
            Job {
                expires_at_s: host.now,
                ..job(IDEMPOTENT, 0)
            },
        )
        .unwrap();
    d.decide(&mut host);
    assert_eq!(host.ends(work_item).len(), 1);
}

#[test]
fn a_timeout_at_expiry_is_written_off_and_never_sent_again() {
    let (mut d, mut host) = start(terms(), 2);
    let work_item = host.take(&mut d, AT_MOST_ONCE, 0);
    host.now += 10.0;
    host.come(&mut d, work_item, 0, Outcome::Timeout);
    host.pass(&mut d, 1.0);
    assert_eq!(
        (host.ends(work_item), host.sent_to(work_item).len()),
        (vec![WriteOff(work_item)], 1)
    );
}

#[test]
fn a_wake_a_rounding_error_early_does_not_end_the_looks() {
    let (mut d, mut host) = start(terms(), 0);
    d.submit(host.now, job(IDEMPOTENT, 0)).unwrap();
    d.update_list(host.now, ListUpdate::Changes, &[(0, Some(runner(0)))]);
    d.decide(&mut host);
    for _ in 0..20 {
        host.now = host.wake - 1e-9;
        d.decide(&mut host);
        assert!(host.wake > host.now + 0.01, "a further wake was asked for");
    }
}

#[test]
fn a_cold_runner_gets_no_more_than_its_part() {
    let (mut d, mut host) = start(
        PolicyConfig {
            dispatcher_count: 2,
            ..terms()
        },
        1,
    );
    d.update_list(
        100.0,
        ListUpdate::Changes,
        &[(
            0,
            Some(ListedRunner {
                started_at_s: 100.0,
                ..runner(0)
            }),
        )],
    );
    // Two slots held likely: 1.4 x 3 x (0.75 x 2 x 0.1) x 1 s = 0.63 s of work, one item of 0.5 s for who
    // ranks first, and this one is the second.
    let work_item = host.take(&mut d, IDEMPOTENT, 0);
    assert!(host.sent_to(work_item).is_empty());
    host.pass(&mut d, 4.5);
    assert_eq!(
        host.sent_to(work_item),
        [0],
        "it warms up, and the part grows"
    );
}

#[test]
fn a_silent_runner_is_rested_and_its_work_sent_elsewhere() {
    let (mut d, mut host) = start(terms(), 2);
    let work_item = host.take(&mut d, IDEMPOTENT, 0);
    let hung = host.sent_to(work_item)[0];
    host.pass(&mut d, 1.2);
    assert!(host.asked.contains(&Cancel(work_item, 0)));
    assert_eq!(host.logged, [format!("{hung} judged unwell, rests")]);
    host.come(&mut d, work_item, 0, Outcome::Cancelled);
    assert_eq!(host.sent_to(work_item), [hung, 1 - hung]);
}

#[test]
fn a_runner_that_errs_fast_is_rested_then_tried_once() {
    let (mut d, mut host) = start(terms(), 2);
    let mut bad = Vec::new();
    for _ in 0..12 {
        let work_item = host.take(&mut d, IDEMPOTENT, 0);
        while host.sent_to(work_item).last() == Some(&0) {
            bad.push(host.now);
            host.come(
                &mut d,
                work_item,
                host.sent_to(work_item).len() as u16 - 1,
                Outcome::Error,
            );
        }
        let last = host.sent_to(work_item).len() as u16 - 1;
        host.come(&mut d, work_item, last, Outcome::Finished);
        host.asked.clear();
    }
    assert_eq!(bad.len(), 2, "two errors are enough");
    host.pass(&mut d, 1.6);
    let all: Vec<WorkItem> = (0..3).map(|_| host.take(&mut d, IDEMPOTENT, 0)).collect();
    assert!(
        all.iter()
            .filter(|work_item| host.sent_to(**work_item).contains(&0))
            .count()
            <= 1,
        "a single trial"
    );
}

#[test]
fn a_connection_that_had_died_says_nothing_of_its_runner() {
    let (mut d, mut host) = start(terms(), 1);
    for _ in 0..5 {
        let work_item = host.take(&mut d, IDEMPOTENT, 0);
        host.come(&mut d, work_item, 0, Outcome::StaleConnection);
        assert_eq!(
            host.sent_to(work_item),
            [0, 0],
            "straight back, on another connection"
        );
        host.come(&mut d, work_item, 1, Outcome::StaleConnection);
        host.come(&mut d, work_item, 2, Outcome::Finished);
        host.asked.clear();
    }
    let work_item = host.take(&mut d, AT_MOST_ONCE, 0);
    host.come(&mut d, work_item, 0, Outcome::StaleConnection);
    assert_eq!(
        host.ends(work_item),
        [WriteOff(work_item)],
        "it may have run"
    );
    assert!(host.logged.is_empty());
}

#[test]
fn a_wait_behind_long_jobs_of_our_own_is_no_silence() {
    let (mut d, mut host) = start(terms(), 2);
    host.learn_fetches(&mut d, 2);
    let [long, next] = [0, 1].map(|_| host.take(&mut d, IDEMPOTENT, 42));
    assert_eq!(host.sent_to(long), host.sent_to(next));
    long.started(&mut d, host.now, 0);
    host.pass(&mut d, 1.0);
    assert!(!host.asked.contains(&Cancel(next, 0)) && host.logged.is_empty());
}

#[test]
fn a_start_told_twice_is_one_start_and_in_time() {
    let (mut d, mut host) = start(terms(), 1);
    let both = [0, 1].map(|_| host.take(&mut d, IDEMPOTENT, 0));
    both.iter()
        .for_each(|work_item| host.come(&mut d, *work_item, 0, Outcome::Finished));
    host.asked.clear();
    let first = host.take(&mut d, IDEMPOTENT, 0);
    first.started(&mut d, host.now, 0);
    host.now += 0.2;
    first.started(&mut d, host.now, 0);
    let all = [0, 1, 2].map(|_| host.take(&mut d, IDEMPOTENT, 0));
    assert_eq!(
        all.map(|work_item| host.sent_to(work_item).len()),
        [1, 1, 0],
        "three slots, as before"
    );
}

#[test]
fn a_slot_that_a_lost_job_holds_is_ours_again_soon() {
    let (mut d, mut host) = start(terms(), 1);
    let run = |d: &mut Dispatcher, host: &mut Fake, late: f64| {
        let all = [0, 1, 2].map(|_| host.take(d, IDEMPOTENT, 0));
        let out: Vec<WorkItem> = all
            .into_iter()
            .filter(|work_item| !host.sent_to(*work_item).is_empty())
            .collect();
        out[1..]
            .iter()
            .for_each(|work_item| work_item.started(d, host.now, 0));
        host.now += late;
        out[0].started(d, host.now, 0);
        all.iter()
            .for_each(|work_item| host.come(d, *work_item, 0, Outcome::Finished));
        host.asked.clear();
        out.len()
    };
    assert_eq!(
        [run(&mut d, &mut host, 0.0), run(&mut d, &mut host, 0.0)],
        [2, 3]
    );
    let all = [0, 1, 2].map(|_| host.take(&mut d, IDEMPOTENT, 0));
    // A lost job holds one of the three slots: two start, the third only when one of them has ended.
    all[..2]
        .iter()
        .for_each(|work_item| work_item.started(&mut d, host.now, 0));
    host.now += 0.2;
    host.come(&mut d, all[0], 0, Outcome::Finished);
    all[2].started(&mut d, host.now, 0);
    all[1..]
        .iter()
        .for_each(|work_item| host.come(&mut d, *work_item, 0, Outcome::Finished));
    host.asked.clear();
    host.now += 1.5;
    assert_eq!(
        [run(&mut d, &mut host, 0.0), run(&mut d, &mut host, 0.0)],
        [2, 3],
        "not only after 10 s"
    );
}

#[test]
fn a_trial_that_runs_on_lets_another_follow() {
    let (mut d, mut host) = start(terms(), 2);
    for category in [IDEMPOTENT, AT_MOST_ONCE].repeat(4) {
        for work_item in [0, 1].map(|_| host.take(&mut d, category, 0)) {
            if host.sent_to(work_item) == [0] {
                host.come(&mut d, work_item, 0, Outcome::Error);
            }
            if host.ends(work_item).is_empty() {
                host.come(
                    &mut d,
                    work_item,
                    host.sent_to(work_item).len() as u16 - 1,
                    Outcome::Finished,
                );
            }
        }
        host.asked.clear();
    }
    host.pass(&mut d, 1.6);
    let trials = |host: &Fake| {
        host.asked
            .iter()
            .filter(|a| matches!(a, Attempt(_, 0)))
            .count()
    };
    let all: Vec<WorkItem> = (0..8).map(|_| host.take(&mut d, IDEMPOTENT, 0)).collect();
    let trial = all
        .into_iter()
        .find(|work_item| host.sent_to(*work_item) == [0])
        .unwrap();
    trial.started(&mut d, host.now, 0);
    host.pass(&mut d, 0.5);
    assert_eq!(trials(&host), 1, "it rested");
    host.pass(&mut d, 1.2);
    host.take(&mut d, IDEMPOTENT, 0);
    assert_eq!(trials(&host), 2);
}

#[test]
fn one_failed_connection_does_not_rest_a_runner() {
    let (mut d, mut host) = start(terms(), 2);
    let work_item = host.take(&mut d, IDEMPOTENT, 0);
    host.come(&mut d, work_item, 0, Outcome::NoConnection);
    host.pass(&mut d, 0.2);
    assert!(host.logged.is_empty());
}

#[test]
fn a_category_leaves_a_runner_that_fails_it_alone() {
    let (mut d, mut host) = start(terms(), 2);
    let mut failed = 0;
    for n in 0..60 {
        // Most of its work of the other category ends well.
        let category = if n % 6 == 0 { IDEMPOTENT } else { KEYED };
        let work_item = host.take(&mut d, category, 0);
        for no in 0..3 {
            let Some(&r) = host.sent_to(work_item).get(no) else {
                break;
            };
            let bad = category == IDEMPOTENT && r == 0;
            failed += bad as usize;
            host.come(
                &mut d,
                work_item,
                no as u16,
                if bad {
                    Outcome::Error
                } else {
                    Outcome::Finished
                },
            );
        }
        host.now += 0.02;
        host.asked.clear();
    }
    assert_eq!(failed, 2, "two errors are enough for that category");
    assert!(
        host.logged.is_empty(),
        "and the other one is still at home there"
    );
}

#[test]
fn work_that_its_runner_does_not_take_is_called_off_though_the_runner_is_well() {
    for (category, moves) in [(IDEMPOTENT, true), (AT_MOST_ONCE, false)] {
        let (mut d, mut host) = start(
            PolicyConfig {
                reports_acceptance: true,
                ..terms()
            },
            1,
        );
        let [lost, well] = [0, 1].map(|_| host.take(&mut d, category, 0));
        well.accepted(&mut d, host.now, 0);
        well.started(&mut d, host.now, 0);
        for _ in 0..5 {
            host.pass(&mut d, 0.1);
            well.progressed(&mut d, host.now, 0, 0.1);
        }
        assert_eq!(host.asked.contains(&Cancel(lost, 0)), moves);
        assert!(!host.asked.contains(&Cancel(well, 0)) && host.logged.is_empty());
    }
}

#[test]
fn not_everyone_is_rested_at_once() {
    let (mut d, mut host) = start(terms(), 2);
    for _ in 0..8 {
        let work_item = host.take(&mut d, IDEMPOTENT, 0);
        for no in 0..3 {
            host.come(&mut d, work_item, no, Outcome::Error);
            host.pass(&mut d, 1.1);
        }
        assert!(!host.sent_to(work_item).is_empty());
        host.asked.clear();
    }
}

#[test]
fn the_list_is_asked_for_and_asked_again_after_failures() {
    let (mut d, mut host) = start(
        PolicyConfig {
            requests_list: true,
            ..terms()
        },
        1,
    );
    let mut asked = 0;
    for _ in 0..10 {
        host.pass(&mut d, 2.0);
        asked += host.asked.drain(..).filter(|a| *a == Watch).count();
        d.discovery_failed(host.now);
    }
    assert!(asked >= 8, "{asked} calls in 20 s of failures");
    host.pass(&mut d, 2.0);
    d.update_list(host.now, ListUpdate::Changes, &[]);
    host.asked.clear();
    host.pass(&mut d, 20.0);
    assert!(!host.asked.contains(&Watch), "subscribed");
}

#[test]
fn calls_to_the_list_are_spread_after_a_common_start_and_after_a_failure() {
    let asks = |seed| {
        let mut d = Dispatcher::new(
            PolicyConfig {
                dispatcher_count: 100,
                requests_list: true,
                ..terms()
            },
            seed,
            0.0,
        );
        let mut host = Fake::default();
        let mut ask = |d: &mut Dispatcher| {
            while !host.asked.contains(&Watch) {
                host.now += 0.1;
                d.decide(&mut host);
            }
            host.asked.clear();
            host.now
        };
        let first = ask(&mut d);
        d.discovery_failed(first);
        (first, ask(&mut d) - first)
    };
    let all: Vec<(f64, f64)> = (0..100).map(asks).collect();
    for times in [
        all.iter().map(|a| a.0).collect::<Vec<_>>(),
        all.iter().map(|a| a.1).collect(),
    ] {
        let most = times
            .iter()
            .map(|t| times.iter().filter(|u| (t - **u).abs() < 0.5).count())
            .max()
            .unwrap();
        assert!(most < 40, "{most} within a second");
        assert!(
            times.iter().all(|t| *t < 10.0),
            "in time for the rule on drains"
        );
    }
}

/// One of a hundred dispatchers over as many runners as each uses at the least.
fn one_of_many(me: usize) -> (Dispatcher, Fake) {
    start(
        PolicyConfig {
            dispatcher_count: 100,
            dispatcher_index: me,
            ..terms()
        },
        16,
    )
}

#[test]
fn among_many_all_bring_a_rare_key_to_the_same_runner_and_a_frequent_one_to_several() {
    let places = |frequent: bool| {
        let mut used: Vec<usize> = (0..20)
            .map(|me| {
                let (mut d, mut host) = one_of_many(me);
                let keys = (0..63).map(|n| if frequent { 42 } else { 100 + n });
                let before: Vec<WorkItem> =
                    keys.map(|key| host.take(&mut d, IDEMPOTENT, key)).collect();
                before
                    .iter()
                    .for_each(|work_item| host.come(&mut d, *work_item, 0, Outcome::Finished));
                let work_item = host.take(&mut d, IDEMPOTENT, 42);
                *host.sent_to(work_item).last().unwrap()
            })
            .collect();
        used.sort_unstable();
        used.dedup();
        used.len()
    };
    assert!(places(false) <= 2);
    assert!(places(true) > 5, "all of the work needs more than two");
}

#[test]
fn among_many_a_runner_where_work_waited_is_left_a_while() {
    let (mut d, mut host) = one_of_many(0);
    for _ in 0..64 {
        let work_item = host.take(&mut d, IDEMPOTENT, 42);
        host.come(&mut d, work_item, 0, Outcome::Finished);
    }
    host.asked.clear();
    let work_item = host.take(&mut d, IDEMPOTENT, 42);
    let home = host.sent_to(work_item)[0];
    host.now += 0.4;
    work_item.started(&mut d, host.now, 0);
    host.come(&mut d, work_item, 0, Outcome::Finished);
    host.pass(&mut d, 0.2);
    d.restore_usual_run(IDEMPOTENT, 0.1);
    let again = host.take(&mut d, IDEMPOTENT, 42);
    assert_ne!(
        host.sent_to(again).last(),
        Some(&home),
        "others' work stands in its queue"
    );
    host.come(&mut d, again, 0, Outcome::Finished);
    host.pass(&mut d, 40.0);
    let later = host.take(&mut d, IDEMPOTENT, 42);
    assert_eq!(host.sent_to(later).last(), Some(&home), "{:?}", host.asked);
}

#[test]
fn among_many_a_wait_for_the_start_is_others_work_and_no_illness() {
    let (mut d, mut host) = one_of_many(0);
    let work_item = host.take(&mut d, IDEMPOTENT, 42);
    work_item.accepted(&mut d, host.now, 0);
    host.pass(&mut d, 1.2);
    assert!(
        host.logged.is_empty() && !host.asked.contains(&Cancel(work_item, 0)),
        "{:?}",
        host.logged
    );
}

#[test]
fn among_many_a_jam_is_no_illness_and_nothing_is_called_off_for_it() {
    let (mut d, mut host) = one_of_many(0);
    let first = host.take(&mut d, IDEMPOTENT, 42);
    host.now += 5.0;
    first.started(&mut d, host.now, 0);
    host.come(&mut d, first, 0, Outcome::Finished);
    let all: Vec<WorkItem> = (0..8)
        .map(|n| host.take(&mut d, IDEMPOTENT, 50 + n))
        .collect();
    all.iter()
        .for_each(|work_item| work_item.accepted(&mut d, host.now, 0));
    host.pass(&mut d, 4.0);
    let off = |a: &Asked| matches!(a, Cancel(..));
    assert!(
        host.logged.is_empty() && !host.asked.iter().any(off),
        "{:?}",
        host.logged
    );
}

#[test]
fn who_cannot_use_all_runners_uses_those_that_rank_highest() {
    let (mut d, mut host) = start(
        PolicyConfig {
            dispatcher_count: 400,
            dispatcher_index: 399,
            ..terms()
        },
        300,
    );
    let used = |d: &mut Dispatcher, host: &mut Fake| {
        host.asked.clear();
        for n in 1..2000u32 {
            let work_item = host.take(d, IDEMPOTENT, n.wrapping_mul(0x9e37_79b1));
            host.come(d, work_item, 0, Outcome::Finished);
        }
        let to = |a: &Asked| {
            if let Attempt(_, r) = a {
                Some(*r)
            } else {
                None
            }
        };
        host.asked
            .iter()
            .filter_map(to)
            .collect::<std::collections::BTreeSet<usize>>()
    };
    let first = used(&mut d, &mut host);
    assert_eq!(first.len(), 16, "the least, with next to nothing running");
    d.update_list(
        host.now,
        ListUpdate::Changes,
        &first.iter().map(|&r| (r, None)).collect::<Vec<_>>(),
    );
    let next = used(&mut d, &mut host);
    assert!(
        next.len() == 16 && next.is_disjoint(&first),
        "the next in rank take the places of those gone"
    );
    // More of ours runs: four runners for each.
    let all: Vec<WorkItem> = (1..17).map(|n| host.take(&mut d, IDEMPOTENT, n)).collect();
    all.iter()
        .for_each(|work_item| work_item.started(&mut d, host.now, 0));
    for _ in 0..30 {
        host.pass(&mut d, 1.0);
        all.iter()
            .for_each(|work_item| work_item.progressed(&mut d, host.now, 0, 0.1));
    }
    let more = used(&mut d, &mut host).len();
    assert!((32..=64).contains(&more), "{more}");
}

#[test]
fn a_cold_runners_budget_goes_in_whole_work_items_to_as_many_dispatchers_as_it_has_room_for() {
    // Two slots held likely, at 0.1 + 0.9 x (age - 1)/40 of 0.75 x 2, 1.4 x 3 of it: 1.06 s of work after
    // 4 s, two items; 2.26 s after 12.5 s, four.
    for (age, items) in [(4.0, 2), (12.5, 4)] {
        let sent = |me| {
            let (mut d, mut host) = start(
                PolicyConfig {
                    dispatcher_count: 12,
                    dispatcher_index: me,
                    warm_up_s: 40.0,
                    ..terms()
                },
                1,
            );
            d.update_list(
                100.0,
                ListUpdate::Changes,
                &[(
                    0,
                    Some(ListedRunner {
                        started_at_s: 100.0 - age,
                        ..runner(0)
                    }),
                )],
            );
            let all = [0; 4].map(|_| host.take(&mut d, IDEMPOTENT, 0));
            all.iter()
                .filter(|work_item| !host.sent_to(**work_item).is_empty())
                .count()
        };
        let all: Vec<usize> = (0..12).map(sent).collect();
        assert_eq!(
            (all.iter().sum::<usize>(), all.iter().max()),
            (items, Some(&1)),
            "{all:?}"
        );
    }
}

#[test]
fn before_a_planned_end_all_in_hand_is_given_up_on_in_time() {
    let (mut d, mut host) = start(terms(), 1);
    let all: Vec<WorkItem> = [IDEMPOTENT, AT_MOST_ONCE, IDEMPOTENT]
        .map(|c| host.take(&mut d, c, 0))
        .to_vec();
    assert!(host.sent_to(all[2]).is_empty(), "two are out, one is held");
    d.set_shutdown_at(host.now + 0.65);
    host.pass(&mut d, 0.5);
    assert!(matches!(host.ends(all[2])[..], [Defer(..)]));
    // The host drops what is out a moment before.
    host.come(&mut d, all[0], 0, Outcome::Timeout);
    host.come(&mut d, all[1], 0, Outcome::Timeout);
    assert!(
        matches!(host.ends(all[0])[..], [Defer(..)]),
        "it may run again elsewhere"
    );
    assert_eq!(host.ends(all[1]), [WriteOff(all[1])]);
}

fn probing(replicas: usize) -> PolicyConfig {
    PolicyConfig {
        uses_load_probes: true,
        free_slots_index: Some(0),
        dispatcher_count: replicas,
        ..terms()
    }
}

#[test]
fn a_runner_that_happens_to_be_known_free_gets_no_work_whose_own_places_were_not_asked() {
    let (mut d, mut host) = start(probing(50), 8);
    let first = host.take(&mut d, IDEMPOTENT, 42);
    let Probe(free) = host.asked[0] else {
        panic!("{:?}", host.asked)
    };
    host.probed(&mut d, free, &[20.0]);
    assert_eq!(host.sent_to(first), [free]);
    let others = (50..60).map(|key| host.take(&mut d, IDEMPOTENT, key));
    let others: Vec<WorkItem> = others.collect();
    let asked: Vec<usize> = host
        .asked
        .iter()
        .filter_map(|a| if let Probe(r) = a { Some(*r) } else { None })
        .collect();
    assert!(asked.len() > 2, "each asks the place of its own key");
    for r in asked.into_iter().skip(1) {
        host.probed(&mut d, r, &[20.0]);
    }
    let there = others
        .iter()
        .filter(|work_item| host.sent_to(**work_item) == [free])
        .count();
    assert!(there <= 3, "only those at home there: {there}");
}

#[test]
fn held_work_asks_its_places_one_after_another_and_goes_where_a_slot_is_free() {
    let (mut d, mut host) = start(probing(50), 8);
    let work_item = host.take(&mut d, IDEMPOTENT, 42);
    let Probe(home) = host.asked[0] else {
        panic!("{:?}", host.asked)
    };
    assert_eq!(host.asked.len(), 1, "one probe, and nothing is sent unseen");
    host.probed(&mut d, home, &[0.0]);
    let Probe(next) = host.asked[1] else {
        panic!("{:?}", host.asked)
    };
    host.probed(&mut d, next, &[2.0]);
    assert_eq!(host.sent_to(work_item), [next]);
    let again = host.take(&mut d, IDEMPOTENT, 42);
    assert_eq!(
        host.sent_to(again),
        [next],
        "one of its two slots is left by the same report"
    );
    let third = host.take(&mut d, IDEMPOTENT, 42);
    assert!(host.sent_to(third).is_empty());
}

#[test]
fn work_whose_places_are_all_full_queues_at_its_home_by_the_cap() {
    let (mut d, mut host) = start(probing(50), 3);
    let work_item = host.take(&mut d, IDEMPOTENT, 42);
    let mut asked = Vec::new();
    while host.sent_to(work_item).is_empty() && asked.len() < 5 {
        let Some(Probe(r)) = host.asked.last().cloned() else {
            panic!("{:?}", host.asked)
        };
        asked.push(r);
        host.probed(&mut d, r, &[0.0]);
    }
    assert_eq!((asked.len(), host.sent_to(work_item)), (3, vec![asked[0]]));
}

#[test]
fn a_probe_that_takes_long_or_fails_lets_the_next_be_asked_and_proves_nothing() {
    let (mut d, mut host) = start(probing(50), 3);
    let work_item = host.take(&mut d, IDEMPOTENT, 42);
    host.pass(&mut d, 0.4);
    assert!(
        host.asked.iter().filter(|a| matches!(a, Probe(_))).count() >= 2,
        "{:?}",
        host.asked
    );
    let Probe(home) = host.asked[0] else { panic!() };
    host.probed(&mut d, home, &[f32::NAN]);
    host.probed(&mut d, home, &[-3.0]);
    assert!(!host.sent_to(work_item).contains(&home) && host.logged.is_empty());
}

#[test]
fn what_was_learnt_before_a_planned_restart_counts_from_the_first_second() {
    let (mut d, mut host) = start(
        PolicyConfig {
            slow_start_fraction: 0.1,
            ..terms()
        },
        1,
    );
    d.update_list(
        100.0,
        ListUpdate::Changes,
        &[(
            0,
            Some(ListedRunner {
                started_at_s: 100.0,
                ..runner(0)
            }),
        )],
    );
    assert_eq!(
        (d.usual_run_s(IDEMPOTENT), d.learned_runner(0)),
        (None, None)
    );
    d.restore_usual_run(IDEMPOTENT, 0.1);
    // 0.32 s of work may be sent: no item of the stated half second, but one of the carried 0.1 s.
    let work_item = host.take(&mut d, IDEMPOTENT, 0);
    assert_eq!(
        (host.sent_to(work_item), d.usual_run_s(IDEMPOTENT)),
        (vec![0], Some(0.1))
    );
    d.restore_runner(0, 5.0, 1.5);
    assert_eq!(d.learned_runner(0), Some((100.0, 5.0, 1.5)));
}

#[test]
fn a_cut_that_takes_all_places_of_a_work_item_lets_others_come_up() {
    let (mut d, mut host) = start(probing(50), 8);
    let work_item = host.take(&mut d, IDEMPOTENT, 42);
    let mut cut = Vec::new();
    while cut.len() < 4 {
        let Some(Probe(r)) = host.asked.last().cloned() else {
            panic!("{:?}", host.asked)
        };
        cut.push(r);
        d.probe_ended(host.now, r, Outcome::NoConnection, &[]);
        d.decide(&mut host);
    }
    host.pass(&mut d, 0.5);
    let to = host.sent_to(work_item);
    assert!(
        !to.is_empty() && to.iter().all(|r| !cut.contains(r)),
        "{to:?}, {cut:?}"
    );
}

#[test]
fn a_started_job_without_word_for_a_beat_and_a_half_goes_elsewhere_though_its_runner_is_well() {
    let (mut d, mut host) = start(terms(), 2);
    let [lost, exclusive] =
        [IDEMPOTENT, AT_MOST_ONCE].map(|category| host.take(&mut d, category, 0));
    [lost, exclusive]
        .iter()
        .for_each(|work_item| work_item.started(&mut d, host.now, 0));
    host.pass(&mut d, 1.3);
    assert!(
        !host.asked.iter().any(|a| matches!(a, Cancel(..))),
        "a beat of one second may be late"
    );
    host.pass(&mut d, 0.4);
    assert!(host.asked.contains(&Cancel(lost, 0)) && !host.asked.contains(&Cancel(exclusive, 0)));
    assert!(host.logged.is_empty());
    host.come(&mut d, lost, 0, Outcome::Cancelled);
    assert_eq!(host.sent_to(lost).len(), 2);
}

#[test]
fn a_runner_out_by_hand_gets_nothing_whatever_the_list_says() {
    let (mut d, mut host) = start(terms(), 2);
    host.learn_fetches(&mut d, 2);
    let first: Vec<WorkItem> = (0..2).map(|_| host.take(&mut d, IDEMPOTENT, 42)).collect();
    let home = host.sent_to(first[0])[0];
    let waits = host.take(&mut d, IDEMPOTENT, 42);
    assert!(host.sent_to(waits).is_empty(), "for its busy holder");
    d.set_disabled(host.now, home, true);
    d.decide(&mut host);
    assert_eq!(
        host.sent_to(waits),
        [1 - home],
        "at once, the holder is of no use"
    );
    // The whole list names it; it drains, goes, and comes back as a new process.
    let named = |ready, born| {
        Some(ListedRunner {
            ready,
            started_at_s: born,
            ..runner(home as u64)
        })
    };
    let (other, old) = ((1 - home, Some(runner(1 - home as u64))), f64::NEG_INFINITY);
    for entry in [
        named(true, old),
        named(false, old),
        None,
        named(true, host.now),
    ] {
        d.update_list(host.now, ListUpdate::Full, &[(home, entry), other]);
        d.set_disabled(host.now, home, true);
        host.pass(&mut d, 1.0);
        host.asked.clear();
        let work_item = host.take(&mut d, IDEMPOTENT, 42);
        assert_eq!(host.sent_to(work_item), [1 - home]);
        host.come(&mut d, work_item, 0, Outcome::Finished);
        assert!(d.is_avoided(home, host.now));
    }
    // A single call back ends it.
    first
        .iter()
        .for_each(|work_item| host.come(&mut d, *work_item, 0, Outcome::Reset));
    d.set_disabled(host.now, home, false);
    assert!(
        !d.is_avoided(home, host.now),
        "what its end did to work is no sign against the new process"
    );
}

#[test]
fn a_runner_put_back_is_cold_unless_the_list_has_told_when_it_started() {
    // Of the last start that the list told, before the ban or in it, and what may be sent at once then.
    for (born, sent) in [(None, 1), (Some(90.0), 1), (Some(101.0), 2)] {
        let (mut d, mut host) = start(
            PolicyConfig {
                warm_up_s: 2.0,
                overload_window_s: 0.5,
                ..terms()
            },
            1,
        );
        let tell = |d: &mut Dispatcher, now| {
            let born = born.filter(|born| *born < now).unwrap_or(f64::NEG_INFINITY);
            d.update_list(
                now,
                ListUpdate::Full,
                &[(
                    0,
                    Some(ListedRunner {
                        started_at_s: born,
                        ..runner(0)
                    }),
                )],
            );
        };
        tell(&mut d, 100.0);
        d.restore_usual_run(IDEMPOTENT, 0.3);
        d.set_disabled(100.5, 0, true);
        host.now = 105.0;
        tell(&mut d, 105.0);
        d.set_disabled(105.0, 0, false);
        let all: Vec<WorkItem> = (0..2).map(|_| host.take(&mut d, IDEMPOTENT, 0)).collect();
        assert_eq!(
            all.iter()
                .filter(|work_item| !host.sent_to(**work_item).is_empty())
                .count(),
            sent,
            "{born:?}"
        );
    }
}

#[test]
fn two_processes_of_one_dispatcher_have_one_part_of_a_cold_runner() {
    let both = || {
        let (mut d, host) = start(terms(), 1);
        d.update_list(
            100.0,
            ListUpdate::Changes,
            &[(
                0,
                Some(ListedRunner {
                    started_at_s: 95.0,
                    ..runner(0)
                }),
            )],
        );
        d.restore_usual_run(IDEMPOTENT, 0.4);
        (d, host)
    };
    let sent = |d: &mut Dispatcher, host: &mut Fake| {
        let all: Vec<WorkItem> = (0..3).map(|_| host.take(d, IDEMPOTENT, 0)).collect();
        all.iter()
            .filter(|work_item| !host.sent_to(**work_item).is_empty())
            .count()
    };
    // It bears 1.8 s of work in this second, and the cap is two.
    let (mut old, mut host) = both();
    assert_eq!(sent(&mut old, &mut host), 2);
    let kept = old.runner_handover(0);
    for (spent, may) in [
        (kept.cold_sends.clone(), 2),
        (vec![(100.0, 0.8), (100.0, 0.8)], 0),
    ] {
        let (mut new, mut host) = both();
        new.inherit(
            100.0,
            vec![(
                0,
                RunnerHandover {
                    cold_sends: spent,
                    ..kept.clone()
                },
            )],
        );
        assert_eq!(sent(&mut new, &mut host), may);
    }
    let (mut old, mut host) = both();
    old.yield_cold_runners(host.now, true);
    assert_eq!(sent(&mut old, &mut host), 0, "the new one has its part");
    old.yield_cold_runners(host.now, false);
    host.pass(&mut old, 0.8);
    assert_eq!(
        host.asked.len(),
        0,
        "the new one has died, and may just have sent its part"
    );
    host.pass(&mut old, 0.4);
    assert_eq!(host.asked.len(), 2);
}

#[test]
fn one_unwell_runner_that_is_all_its_kind_has_warm_does_not_starve_the_cold_one() {
    let mut terms = terms();
    terms.categories[IDEMPOTENT].placement.kinds = vec![1];
    let (mut d, mut host) = start(terms, 6);
    let of_kind = |r: u64, born| {
        (
            r as usize,
            Some(ListedRunner {
                kind: 1,
                started_at_s: born,
                ..runner(r)
            }),
        )
    };
    d.update_list(100.0, ListUpdate::Changes, &[of_kind(0, f64::NEG_INFINITY)]);
    // The others do well; the only one of its kind takes ten times as long.
    for seconds in [0.1, 0.1, 0.1] {
        let all: Vec<WorkItem> = (0..5).map(|_| host.take(&mut d, AT_MOST_ONCE, 0)).collect();
        host.now += seconds;
        all.iter()
            .for_each(|work_item| host.come(&mut d, *work_item, 0, Outcome::Finished));
    }
    d.restore_runner(0, 4.0, 10.0);
    d.restore_usual_run(IDEMPOTENT, 0.2);
    d.update_list(host.now, ListUpdate::Changes, &[of_kind(9, host.now)]);
    host.pass(&mut d, 0.2);
    host.asked.clear();
    // Four slots likely: 0.7 x 3 x (0.75 x 4 x 0.2) x 1 s = 1.3 s of work, six items of 0.2 s, two by its cap.
    let all: Vec<WorkItem> = (0..6).map(|_| host.take(&mut d, IDEMPOTENT, 0)).collect();
    assert!(
        all.iter()
            .filter(|work_item| host.sent_to(**work_item) == [9])
            .count()
            >= 2,
        "{:?}",
        host.asked
    );
}

#[test]
fn work_of_ours_at_a_keys_place_makes_another_place_cheaper_than_waiting_there() {
    // Room is left at the home, but two run there and nothing does elsewhere; a fetch costs next to nothing.
    let (mut d, mut host) = start(
        PolicyConfig {
            dispatcher_count: 5,
            ..terms()
        },
        4,
    );
    let all: Vec<WorkItem> = (0..4).map(|_| host.take(&mut d, IDEMPOTENT, 42)).collect();
    let mut places: Vec<usize> = all
        .iter()
        .map(|work_item| host.sent_to(*work_item)[0])
        .collect();
    places.sort_unstable();
    assert_eq!(places, [0, 1, 2, 3]);
}

#[test]
fn a_work_item_whose_runners_all_left_finds_others() {
    let (mut d, mut host) = start(terms(), 60);
    let work_item = host.take(&mut d, IDEMPOTENT, 42);
    let gone: Vec<_> = (0..60).filter(|r| *r != 7).map(|r| (r, None)).collect();
    d.update_list(host.now, ListUpdate::Changes, &gone);
    host.come(&mut d, work_item, 0, Outcome::NoConnection);
    assert_eq!(host.sent_to(work_item).last(), Some(&7));
}

#[test]
fn where_clocks_differ_a_runner_is_cold_from_the_word_of_its_start_whatever_its_stamp_says() {
    for (off, stamp, sent) in [
        (0.0, -50.0, 2),
        (60.0, -50.0, 1),
        (60.0, 30.0, 1),
        (60.0, -90.0, 2),
    ] {
        let (mut d, mut host) = start(
            PolicyConfig {
                start_time_error_s: off,
                ..terms()
            },
            1,
        );
        // A restart, stamped earlier than the start before it: only where clocks differ is that another one.
        d.update_list(
            100.0,
            ListUpdate::Changes,
            &[(
                0,
                Some(ListedRunner {
                    started_at_s: 100.0 + stamp,
                    ..runner(0)
                }),
            )],
        );
        let all = [0, 1, 2].map(|_| host.take(&mut d, IDEMPOTENT, 0));
        let got = all
            .iter()
            .filter(|work_item| !host.sent_to(**work_item).is_empty())
            .count();
        assert_eq!(got, sent, "off by {off}, stamped {stamp}");
        host.pass(&mut d, 21.0);
        let late = [0, 1].map(|_| host.take(&mut d, IDEMPOTENT, 0));
        all.iter()
            .for_each(|work_item| host.come(&mut d, *work_item, 0, Outcome::Finished));
        assert!(
            late.iter().all(|work_item| host.sent_to(*work_item) == [0]),
            "warm by then, off by {off}, stamped {stamp}"
        );
    }
}

/// Late pays nothing, and one runner is full with two of ours.
fn full_runner(pays_by_work: bool) -> (Dispatcher, Fake, Vec<WorkItem>) {
    let mut terms = PolicyConfig {
        payoff_per_work: pays_by_work,
        ..terms()
    };
    terms
        .categories
        .iter_mut()
        .for_each(|category| category.tardy = 0.0);
    terms.categories[KEYED].payoff = 2.0;
    let (mut d, mut host) = start(terms, 1);
    let out = [0, 1].map(|_| host.take(&mut d, IDEMPOTENT, 0)).to_vec();
    (d, host, out)
}

#[test]
fn a_repeat_that_nobody_marks_is_due_by_its_first_try() {
    let (mut d, mut host, _) = full_runner(false);
    let fresh = host.take(&mut d, IDEMPOTENT, 0);
    // Its client gives up three seconds before others do, so it first came that long ago.
    let again = d
        .submit(
            host.now,
            Job {
                expires_at_s: host.now + 7.0,
                ..job(IDEMPOTENT, 0)
            },
        )
        .unwrap();
    host.pass(&mut d, 0.3);
    assert!(
        matches!(host.ends(again)[..], [Defer(..)]),
        "it can no longer be in time: at once"
    );
    assert!(host.ends(fresh).is_empty());
}

#[test]
fn a_work_item_is_due_by_its_own_hint() {
    let (mut d, mut host, _) = full_runner(false);
    let [small, large] = [0.01, 2.0].map(|hint| {
        let work_item = d
            .submit(
                host.now,
                Job {
                    expires_at_s: host.now + 10.0,
                    hint_s: hint,
                    ..job(IDEMPOTENT, 0)
                },
            )
            .unwrap();
        d.decide(&mut host);
        work_item
    });
    host.pass(&mut d, 1.0);
    assert!(matches!(host.ends(small)[..], [Defer(..)]) && host.ends(large).is_empty());
}

#[test]
fn where_work_is_paid_by_its_size_the_better_paid_category_goes_first_however_long_it_runs() {
    for (by_work, first) in [(true, KEYED), (false, IDEMPOTENT)] {
        let (mut d, mut host, out) = full_runner(by_work);
        d.restore_usual_run(IDEMPOTENT, 0.1);
        d.restore_usual_run(KEYED, 0.8);
        let held = [IDEMPOTENT, KEYED].map(|category| host.take(&mut d, category, 0));
        host.pass(&mut d, 0.4);
        host.come(&mut d, out[0], 0, Outcome::Finished);
        let went = held
            .iter()
            .position(|work_item| !host.sent_to(*work_item).is_empty());
        assert_eq!(went, Some((first == KEYED) as usize), "by work: {by_work}");
    }
}

#[test]
fn how_far_clocks_may_be_off_is_read_or_refused_with_one_line() {
    let read = |path: &str, value: &str| {
        let mut stated = FlatSettings::default();
        stated.insert("Report.How", "off");
        stated.insert(path, value);
        parse_policy_config(&stated).map(|terms| (terms.start_time_error_s, terms.expiry_error_s))
    };
    assert_eq!(read("Me", "0"), Ok((0.0, 0.0)), "absent");
    assert_eq!(read("Safety.ReadyMarginUs", "9936000"), Ok((9.936, 0.0)));
    assert_eq!(
        read("Safety.BudgetErrorUs", "1e12"),
        Ok((0.0, 1e6)),
        "huge, and of no harm"
    );
    for path in ["Safety.ReadyMarginUs", "Safety.BudgetErrorUs"] {
        for value in ["-1", "soon", "inf", "NaN"] {
            let refused = read(path, value).unwrap_err();
            assert!(refused.contains(path) && refused.contains(value) && !refused.contains('\n'));
        }
    }
}

#[test]
fn in_a_jam_what_comes_too_late_to_pay_is_turned_away_at_once_and_no_longer_than_waits_are_told() {
    let mut terms = PolicyConfig {
        dispatcher_count: 5,
        ..terms()
    };
    terms
        .categories
        .iter_mut()
        .for_each(|category| category.tardy = 0.0);
    let (mut d, mut host) = start(terms, 60);
    let all: Vec<WorkItem> = (0..32)
        .map(|n| host.take(&mut d, IDEMPOTENT, 100 + n))
        .collect();
    host.now += 3.0;
    for work_item in all {
        work_item.started(&mut d, host.now, 0);
        host.come(&mut d, work_item, 0, Outcome::Finished);
    }
    host.pass(&mut d, 0.1);
    d.restore_usual_run(IDEMPOTENT, 0.1);
    host.asked.clear();
    let jammed = host.take(&mut d, IDEMPOTENT, 42);
    host.pass(&mut d, 0.3);
    assert!(host.sent_to(jammed).is_empty() && matches!(host.ends(jammed)[..], [Defer(..)]));
    host.pass(&mut d, 5.0);
    host.asked.clear();
    let later = host.take(&mut d, IDEMPOTENT, 42);
    assert_eq!(host.sent_to(later).len(), 1, "no wait was told of late");
}

#[test]
fn what_comes_before_a_planned_end_is_no_repeat_for_having_less_time() {
    let (mut d, mut host, _) = full_runner(false);
    d.set_shutdown_at(host.now + 3.0);
    let work_item = d
        .submit(
            host.now,
            Job {
                expires_at_s: host.now + 3.0,
                ..job(IDEMPOTENT, 0)
            },
        )
        .unwrap();
    host.pass(&mut d, 0.3);
    assert!(host.ends(work_item).is_empty(), "it can be in time");
}

#[test]
fn a_part_that_is_lent_bounds_what_a_cold_runner_gets_and_none_is_as_without() {
    let sent = |part: Option<f64>| {
        let (mut d, mut host) = start(
            PolicyConfig {
                dispatcher_count: 6,
                slow_start_fraction: 0.5,
                ..terms()
            },
            1,
        );
        d.update_list(
            host.now,
            ListUpdate::Changes,
            &[(
                0,
                Some(ListedRunner {
                    started_at_s: host.now,
                    ..runner(0)
                }),
            )],
        );
        d.set_cold_share(0, part);
        (0..6).for_each(|_| _ = host.take(&mut d, 0, 0));
        (
            host.asked
                .iter()
                .filter(|asked| matches!(asked, Attempt(..)))
                .count(),
            d.cold_usage(host.now),
        )
    };
    let (all, cold) = sent(Some(1.0));
    assert!(cold[0].1 <= 0.76 && cold[0].2, "{cold:?}");
    let (none, cold) = sent(Some(0.0));
    assert_eq!((none, cold[0].1), (0, 0.0));
    let (alone, _) = sent(None);
    assert!(alone < all, "{alone} of its own part, {all} of the whole");
}

#[test]
fn a_runner_that_others_find_unwell_rests_until_one_is_served() {
    let (mut d, mut host) = start(terms(), 4);
    d.apply_peer_verdict(host.now, 2, true);
    assert!(!d.is_avoided(2, host.now), "well it was already");
    d.apply_peer_verdict(host.now, 2, false);
    assert!(d.is_avoided(2, host.now));
    for _ in 0..12 {
        let work_item = host.take(&mut d, 0, 0);
        assert!(!host.sent_to(work_item).contains(&2));
    }
    d.apply_peer_verdict(host.now, 2, true);
    host.pass(&mut d, 0.3);
    let trial = host
        .asked
        .iter()
        .any(|asked| matches!(asked, Attempt(_, 2)));
    assert!(trial, "it is tried before its rest would have ended");
}

#[test]
fn whatever_is_heard_no_more_than_half_rest() {
    let (mut d, host) = start(terms(), 6);
    (0..6).for_each(|r| d.apply_peer_verdict(host.now, r, false));
    assert_eq!((0..6).filter(|&r| d.is_avoided(r, host.now)).count(), 3);
}

#[test]
fn a_category_at_its_cap_is_held_and_the_others_go_on() {
    let (mut d, mut host) = start(terms(), 4);
    d.set_remaining_budgets(&[1.0, 9.0, 9.0, 9.0], f64::INFINITY);
    let (first, second, other) = (
        host.take(&mut d, 0, 0),
        host.take(&mut d, 0, 0),
        host.take(&mut d, 2, 0),
    );
    assert_eq!(
        (
            host.sent_to(first).len(),
            host.sent_to(second).len(),
            host.sent_to(other).len()
        ),
        (1, 0, 1)
    );
    d.set_remaining_budgets(&[1.0, 9.0, 9.0, 9.0], f64::INFINITY);
    host.now += 0.01;
    d.decide(&mut host);
    assert_eq!(host.sent_to(second).len(), 1);
}

#[test]
fn without_a_resend_left_what_failed_is_given_up_at_once() {
    let (mut d, mut host) = start(terms(), 4);
    d.set_remaining_budgets(&[], 1.0);
    let (first, second) = (host.take(&mut d, 0, 0), host.take(&mut d, 0, 0));
    host.come(&mut d, first, 0, Outcome::Error);
    assert_eq!(host.sent_to(first).len(), 2);
    host.come(&mut d, second, 0, Outcome::Error);
    assert_eq!(host.sent_to(second).len(), 1);
    assert!(matches!(host.ends(second)[..], [Defer(..)]));
}

#[test]
fn work_of_a_key_that_failed_wherever_it_went_is_tried_once() {
    let (mut d, mut host) = start(terms(), 12);
    let mut failed_at = std::collections::BTreeSet::new();
    for _ in 0..4 {
        let work_item = host.take(&mut d, IDEMPOTENT, 42);
        let mut no = 0;
        while host.ends(work_item).is_empty() {
            host.come(&mut d, work_item, no, Outcome::Error);
            no += 1;
        }
        failed_at.extend(host.sent_to(work_item));
        host.asked.clear();
    }
    assert!(failed_at.len() >= 3, "{failed_at:?}");
    let (bad, other) = (
        host.take(&mut d, IDEMPOTENT, 42),
        host.take(&mut d, IDEMPOTENT, 43),
    );
    host.come(&mut d, other, 0, Outcome::Error);
    assert_eq!(
        host.sent_to(other).len(),
        2,
        "another key's work is sent again"
    );
    host.come(&mut d, bad, 0, Outcome::Error);
    assert!(
        matches!(host.ends(bad)[..], [Defer(..)]),
        "answered at once"
    );
    assert_eq!(host.sent_to(bad).len(), 1);
    let served = host.take(&mut d, IDEMPOTENT, 42);
    host.come(&mut d, served, 0, Outcome::Finished);
    host.asked.clear(); // Handles are given out again.
    let again = host.take(&mut d, IDEMPOTENT, 42);
    host.come(&mut d, again, 0, Outcome::Error);
    assert_eq!(
        host.sent_to(again).len(),
        2,
        "one that ended well clears the key"
    );
}
