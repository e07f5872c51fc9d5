//! Scenarios of failures and load, each with the decisions that the dispatcher must make.

mod fake;
use fake::*;
use sagetrail_policy::*;

const IDEMPOTENT: usize = 0;
/// The category whose work carries an idempotency key, by which the runners of one cell drop a repeat.
const KEYED: usize = 1;
const AT_MOST_ONCE: usize = 2;

/// Guards against sending more work to a runner than its slot cap allows.
#[test]
fn work_is_held_until_a_runner_has_a_free_slot() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 1);
    let work_items: Vec<WorkItem> = (0..3)
        .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0))
        .collect();
    assert_eq!(
        host.attempted_runners(work_items[1]),
        [0],
        "the slot cap starts at two"
    );
    assert!(host.attempted_runners(work_items[2]).is_empty());
    host.end_attempt(&mut dispatcher, work_items[0], 0, Outcome::Finished);
    assert_eq!(host.attempted_runners(work_items[2]), [0]);
}

/// Guards against lost affinity: a runner that has served a key holds its data, so that another runner would fetch
/// it again.
#[test]
fn work_of_a_key_goes_to_the_runner_that_served_the_key() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 8);
    let first = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    host.end_attempt(&mut dispatcher, first, 0, Outcome::Finished);
    let holder = host.attempted_runners(first)[0];
    host.calls.clear();
    let again = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    assert_eq!(host.attempted_runners(again), [holder]);
}

/// Guards against a placement that depends on the random seed: dispatchers that do not communicate would then fetch
/// the same key at several runners.
#[test]
fn dispatchers_without_contact_agree_on_the_home_runner_of_a_key() {
    let attempted_with_seed = |seed| {
        let mut dispatcher = Dispatcher::new(default_config(), seed, 100.0);
        let entries: Vec<_> = (0..8)
            .map(|runner| (runner, Some(listed_runner(runner as u64))))
            .collect();
        dispatcher.update_list(100.0, ListUpdate::Cached, &entries);
        let mut host = RecordingHost {
            now: 100.0,
            ..RecordingHost::default()
        };
        let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
        host.attempted_runners(work_item)
    };
    assert!((1..20).all(|seed| attempted_with_seed(seed) == attempted_with_seed(0)));
}

/// Guards against both extremes of affinity: a needless fetch while the holder is only briefly full, and an endless
/// wait for it.
#[test]
fn work_waits_briefly_for_the_busy_holder_of_its_key_then_uses_another_runner() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    host.learn_fetch_cost(&mut dispatcher, 2);
    let work_items: Vec<WorkItem> = (0..3)
        .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 42))
        .collect();
    let home = host.attempted_runners(work_items[0])[0];
    assert_eq!(host.attempted_runners(work_items[1]), [home]);
    assert!(
        host.attempted_runners(work_items[2]).is_empty(),
        "the holder is full and the other runner has free slots, but the work waits"
    );
    host.advance(&mut dispatcher, 1.5);
    assert_eq!(host.attempted_runners(work_items[2]), [1 - home]);
}

/// Guards against a double run: after an error, at-most-once work may have run and must not be sent again.
#[test]
fn at_most_once_work_that_may_have_run_is_written_off_at_once() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 3);
    let work_item = host.submit(&mut dispatcher, AT_MOST_ONCE, 0);
    host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Error);
    assert_eq!(host.final_answers(work_item), [WriteOff(work_item)]);
    assert_eq!(host.attempted_runners(work_item).len(), 1);
}

/// Guards against giving up at-most-once work whose attempt ended in a way that proves that it did not run.
#[test]
fn at_most_once_work_that_cannot_have_run_is_retried_at_another_runner() {
    for outcome in [Outcome::Full, Outcome::NoConnection, Outcome::NotSent] {
        let (mut dispatcher, mut host) = start_dispatcher(default_config(), 3);
        let work_item = host.submit(&mut dispatcher, AT_MOST_ONCE, 0);
        host.end_attempt(&mut dispatcher, work_item, 0, outcome);
        let sent = host.attempted_runners(work_item);
        assert_eq!(sent.len(), 2);
        assert_ne!(sent[0], sent[1]);
    }
}

/// Guards against a double run of keyed work: only the runners of its cell drop a repeat, and only within the
/// window of 3 s.
#[test]
fn keyed_work_is_retried_only_in_its_cell_and_deduplication_window() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 3);
    let work_item = host.submit(&mut dispatcher, KEYED, 0);
    host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Error);
    host.advance(&mut dispatcher, 2.0);
    let sent = host.attempted_runners(work_item);
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[0], sent[1], "each runner is in a cell of its own");
    host.now += 2.0;
    host.end_attempt(&mut dispatcher, work_item, 1, Outcome::Error);
    assert_eq!(
        host.final_answers(work_item),
        [WriteOff(work_item)],
        "the window is over, and work keyed to a cell is not deferred"
    );
}

/// Guards against retries without bound when every attempt fails.
#[test]
fn work_is_deferred_with_a_retry_time_after_the_maximum_number_of_attempts() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 5);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    (0..3)
        .for_each(|attempt| host.end_attempt(&mut dispatcher, work_item, attempt, Outcome::Error));
    assert_eq!(host.attempted_runners(work_item).len(), 3);
    assert!(matches!(host.final_answers(work_item)[..], [Defer(_, s)] if s > 0.0 && s <= 2.0));
}

/// Guards against new work for a runner that drains, and for one that a full list no longer contains.
#[test]
fn draining_and_unlisted_runners_get_no_new_work() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 1);
    dispatcher.update_list(
        100.0,
        ListUpdate::Changes,
        &[
            (
                0,
                Some(ListedRunner {
                    ready: false,
                    ..listed_runner(0)
                }),
            ),
            (1, Some(listed_runner(1))),
        ],
    );
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    assert_eq!(host.attempted_runners(work_item), [1]);
    dispatcher.update_list(100.0, ListUpdate::Full, &[(0, Some(listed_runner(0)))]);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    assert_eq!(
        host.attempted_runners(work_item),
        [0],
        "a full list without a runner removes it"
    );
}

/// Guards against holding work until its expiry after the last runner has left the list.
#[test]
fn work_without_any_runner_is_deferred_at_once() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 1);
    dispatcher.update_list(100.0, ListUpdate::Changes, &[(0, None)]);
    let work_item = host.submit(&mut dispatcher, AT_MOST_ONCE, 0);
    host.advance(&mut dispatcher, 0.1);
    assert!(matches!(host.final_answers(work_item)[..], [Defer(..)]));
}

/// Guards against work without an answer when its expiry is the instant of its arrival.
#[test]
fn work_that_arrives_at_its_expiry_is_answered_in_the_same_batch() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 0);
    host.advance(&mut dispatcher, 0.1);
    let work_item = dispatcher
        .submit(
            host.now,
            Job {
                expires_at_s: host.now,
                ..job(IDEMPOTENT, 0)
            },
        )
        .unwrap();
    dispatcher.decide(&mut host);
    assert_eq!(host.final_answers(work_item).len(), 1);
}

/// Guards against a retry after the client has stopped waiting.
#[test]
fn an_attempt_that_times_out_at_expiry_is_written_off_and_not_retried() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    let work_item = host.submit(&mut dispatcher, AT_MOST_ONCE, 0);
    host.now += 10.0;
    host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Timeout);
    host.advance(&mut dispatcher, 1.0);
    assert_eq!(
        (
            host.final_answers(work_item),
            host.attempted_runners(work_item).len()
        ),
        (vec![WriteOff(work_item)], 1)
    );
}

/// Guards against a dispatcher that stops deciding: a wake-up that comes 1 ns early finds nothing due and must
/// request the next one.
#[test]
fn a_wake_up_early_by_a_rounding_error_is_followed_by_another() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 0);
    dispatcher.submit(host.now, job(IDEMPOTENT, 0)).unwrap();
    dispatcher.update_list(
        host.now,
        ListUpdate::Changes,
        &[(0, Some(listed_runner(0)))],
    );
    dispatcher.decide(&mut host);
    for _ in 0..20 {
        host.now = host.wake_at_s - 1e-9;
        dispatcher.decide(&mut host);
        assert!(
            host.wake_at_s > host.now + 0.01,
            "another wake-up was requested"
        );
    }
}

/// Guards against overloading a runner that has just started, to which two dispatchers send.
#[test]
fn a_dispatcher_sends_a_cold_runner_no_more_than_its_share() {
    let (mut dispatcher, mut host) = start_dispatcher(
        PolicyConfig {
            dispatcher_count: 2,
            ..default_config()
        },
        1,
    );
    dispatcher.update_list(
        100.0,
        ListUpdate::Changes,
        &[(
            0,
            Some(ListedRunner {
                started_at_s: 100.0,
                ..listed_runner(0)
            }),
        )],
    );
    // The runner is estimated at two slots, so the budget is 1.4 x 3 x (0.75 x 2 x 0.1) x 1 s = 0.63 s of work. That
    // is one work item of 0.5 s for the dispatcher that ranks first, and this one ranks second.
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    assert!(host.attempted_runners(work_item).is_empty());
    host.advance(&mut dispatcher, 4.5);
    assert_eq!(
        host.attempted_runners(work_item),
        [0],
        "the share grows while the runner warms up"
    );
}

/// Guards against work that stays at a hung runner, which accepts connections but reports nothing.
#[test]
fn a_silent_runner_is_ejected_and_its_work_retried_elsewhere() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    let hung = host.attempted_runners(work_item)[0];
    host.advance(&mut dispatcher, 1.2);
    assert!(host.calls.contains(&Cancel(work_item, 0)));
    assert_eq!(host.logged, [format!("{hung} judged unwell, rests")]);
    host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Cancelled);
    assert_eq!(host.attempted_runners(work_item), [hung, 1 - hung]);
}

/// Guards against a runner that attracts work because it fails at once and so always has free slots.
#[test]
fn a_runner_with_fast_errors_is_ejected_then_tried_with_one_attempt() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    let mut error_times = Vec::new();
    for _ in 0..12 {
        let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
        while host.attempted_runners(work_item).last() == Some(&0) {
            error_times.push(host.now);
            host.end_attempt(
                &mut dispatcher,
                work_item,
                host.attempted_runners(work_item).len() as u16 - 1,
                Outcome::Error,
            );
        }
        let last = host.attempted_runners(work_item).len() as u16 - 1;
        host.end_attempt(&mut dispatcher, work_item, last, Outcome::Finished);
        host.calls.clear();
    }
    assert_eq!(error_times.len(), 2, "two errors eject the runner");
    host.advance(&mut dispatcher, 1.6);
    let work_items: Vec<WorkItem> = (0..3)
        .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0))
        .collect();
    assert!(
        work_items
            .iter()
            .filter(|work_item| host.attempted_runners(**work_item).contains(&0))
            .count()
            <= 1,
        "an ejected runner is tried with a single attempt"
    );
}

/// Guards against ejecting a healthy runner because idle connections to it had died.
#[test]
fn a_stale_connection_is_not_counted_against_its_runner() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 1);
    for _ in 0..5 {
        let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
        host.end_attempt(&mut dispatcher, work_item, 0, Outcome::StaleConnection);
        assert_eq!(
            host.attempted_runners(work_item),
            [0, 0],
            "the retry goes to the same runner at once, on another connection"
        );
        host.end_attempt(&mut dispatcher, work_item, 1, Outcome::StaleConnection);
        host.end_attempt(&mut dispatcher, work_item, 2, Outcome::Finished);
        host.calls.clear();
    }
    let work_item = host.submit(&mut dispatcher, AT_MOST_ONCE, 0);
    host.end_attempt(&mut dispatcher, work_item, 0, Outcome::StaleConnection);
    assert_eq!(
        host.final_answers(work_item),
        [WriteOff(work_item)],
        "at-most-once work may have run on a stale connection"
    );
    assert!(host.logged.is_empty());
}

/// Guards against ejecting a runner, or cancelling an attempt there, because a long job of this dispatcher delays
/// the next start.
#[test]
fn waiting_behind_own_long_jobs_is_not_counted_as_silence() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    host.learn_fetch_cost(&mut dispatcher, 2);
    let [long, next] = [0, 1].map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 42));
    assert_eq!(host.attempted_runners(long), host.attempted_runners(next));
    long.started(&mut dispatcher, host.now, 0);
    host.advance(&mut dispatcher, 1.0);
    assert!(!host.calls.contains(&Cancel(next, 0)) && host.logged.is_empty());
}

/// Guards against reading a duplicate start report, 0.2 s later, as a late start, which would lower the slot cap.
#[test]
fn a_repeated_start_report_is_ignored() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 1);
    let earlier = [0, 1].map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0));
    earlier
        .iter()
        .for_each(|work_item| host.end_attempt(&mut dispatcher, *work_item, 0, Outcome::Finished));
    host.calls.clear();
    let first = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    first.started(&mut dispatcher, host.now, 0);
    host.now += 0.2;
    first.started(&mut dispatcher, host.now, 0);
    let work_items = [0, 1, 2].map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0));
    assert_eq!(
        work_items.map(|work_item| host.attempted_runners(work_item).len()),
        [1, 1, 0],
        "the slot cap is still three"
    );
}

/// Guards against a slot cap that stays low for 10 s after a job whose attempt was lost has occupied a slot.
#[test]
fn a_slot_cap_lowered_by_a_lost_job_recovers_soon() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 1);
    let count_sent = |dispatcher: &mut Dispatcher, host: &mut RecordingHost, start_delay_s: f64| {
        let work_items = [0, 1, 2].map(|_| host.submit(dispatcher, IDEMPOTENT, 0));
        let sent: Vec<WorkItem> = work_items
            .into_iter()
            .filter(|work_item| !host.attempted_runners(*work_item).is_empty())
            .collect();
        sent[1..]
            .iter()
            .for_each(|work_item| work_item.started(dispatcher, host.now, 0));
        host.now += start_delay_s;
        sent[0].started(dispatcher, host.now, 0);
        work_items
            .iter()
            .for_each(|work_item| host.end_attempt(dispatcher, *work_item, 0, Outcome::Finished));
        host.calls.clear();
        sent.len()
    };
    assert_eq!(
        [
            count_sent(&mut dispatcher, &mut host, 0.0),
            count_sent(&mut dispatcher, &mut host, 0.0)
        ],
        [2, 3]
    );
    let work_items = [0, 1, 2].map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0));
    // A lost job occupies one of the three slots: two work items start, the third starts only when one of them has
    // ended.
    work_items[..2]
        .iter()
        .for_each(|work_item| work_item.started(&mut dispatcher, host.now, 0));
    host.now += 0.2;
    host.end_attempt(&mut dispatcher, work_items[0], 0, Outcome::Finished);
    work_items[2].started(&mut dispatcher, host.now, 0);
    work_items[1..]
        .iter()
        .for_each(|work_item| host.end_attempt(&mut dispatcher, *work_item, 0, Outcome::Finished));
    host.calls.clear();
    host.now += 1.5;
    assert_eq!(
        [
            count_sent(&mut dispatcher, &mut host, 0.0),
            count_sent(&mut dispatcher, &mut host, 0.0)
        ],
        [2, 3],
        "the slot cap recovers before 10 s have passed"
    );
}

/// Guards against a runner that stays out of use because the single trial after its ejection is a long job.
#[test]
fn a_trial_that_keeps_running_after_ejection_allows_a_second_trial() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    for category in [IDEMPOTENT, AT_MOST_ONCE].repeat(4) {
        for work_item in [0, 1].map(|_| host.submit(&mut dispatcher, category, 0)) {
            if host.attempted_runners(work_item) == [0] {
                host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Error);
            }
            if host.final_answers(work_item).is_empty() {
                host.end_attempt(
                    &mut dispatcher,
                    work_item,
                    host.attempted_runners(work_item).len() as u16 - 1,
                    Outcome::Finished,
                );
            }
        }
        host.calls.clear();
    }
    host.advance(&mut dispatcher, 1.6);
    let trials = |host: &RecordingHost| {
        host.calls
            .iter()
            .filter(|call| matches!(call, Attempt(_, 0)))
            .count()
    };
    let work_items: Vec<WorkItem> = (0..8)
        .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0))
        .collect();
    let trial = work_items
        .into_iter()
        .find(|work_item| host.attempted_runners(*work_item) == [0])
        .unwrap();
    trial.started(&mut dispatcher, host.now, 0);
    host.advance(&mut dispatcher, 0.5);
    assert_eq!(trials(&host), 1, "the runner was ejected and has one trial");
    host.advance(&mut dispatcher, 1.2);
    host.submit(&mut dispatcher, IDEMPOTENT, 0);
    assert_eq!(trials(&host), 2);
}

/// Guards against ejection on a single connection failure.
#[test]
fn one_failed_connection_does_not_eject_a_runner() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    host.end_attempt(&mut dispatcher, work_item, 0, Outcome::NoConnection);
    host.advance(&mut dispatcher, 0.2);
    assert!(host.logged.is_empty());
}

/// Guards against two faults: sending a category on to a runner that fails just this one, and ejecting that runner
/// for all categories.
#[test]
fn a_runner_that_fails_one_category_is_avoided_for_that_category_only() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    let mut failed = 0;
    for n in 0..60 {
        // Five of six work items are of the other category, which the runner serves without errors.
        let category = if n % 6 == 0 { IDEMPOTENT } else { KEYED };
        let work_item = host.submit(&mut dispatcher, category, 0);
        for attempt in 0..3 {
            let Some(&runner) = host.attempted_runners(work_item).get(attempt) else {
                break;
            };
            let fails = category == IDEMPOTENT && runner == 0;
            failed += fails as usize;
            host.end_attempt(
                &mut dispatcher,
                work_item,
                attempt as u16,
                if fails {
                    Outcome::Error
                } else {
                    Outcome::Finished
                },
            );
        }
        host.now += 0.02;
        host.calls.clear();
    }
    assert_eq!(failed, 2, "two errors let the category avoid the runner");
    assert!(
        host.logged.is_empty(),
        "the runner stays in use for the other category"
    );
}

/// Guards against work that stays at a healthy runner which never accepted it, as when the request is lost.
#[test]
fn an_attempt_that_a_healthy_runner_does_not_accept_is_cancelled_if_it_may_be_retried() {
    for (category, may_retry) in [(IDEMPOTENT, true), (AT_MOST_ONCE, false)] {
        let (mut dispatcher, mut host) = start_dispatcher(
            PolicyConfig {
                reports_acceptance: true,
                ..default_config()
            },
            1,
        );
        let [lost, accepted] = [0, 1].map(|_| host.submit(&mut dispatcher, category, 0));
        accepted.accepted(&mut dispatcher, host.now, 0);
        accepted.started(&mut dispatcher, host.now, 0);
        for _ in 0..5 {
            host.advance(&mut dispatcher, 0.1);
            accepted.progressed(&mut dispatcher, host.now, 0, 0.1);
        }
        assert_eq!(host.calls.contains(&Cancel(lost, 0)), may_retry);
        assert!(!host.calls.contains(&Cancel(accepted, 0)) && host.logged.is_empty());
    }
}

/// Guards against a dispatcher without any runner when all of them fail.
#[test]
fn not_all_runners_are_ejected_at_once() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    for _ in 0..8 {
        let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
        for attempt in 0..3 {
            host.end_attempt(&mut dispatcher, work_item, attempt, Outcome::Error);
            host.advance(&mut dispatcher, 1.1);
        }
        assert!(!host.attempted_runners(work_item).is_empty());
        host.calls.clear();
    }
}

/// Guards against a dispatcher that stops requesting the runner list while the list service fails, or goes on after
/// the list has come.
#[test]
fn the_runner_list_is_requested_again_after_failures_until_it_arrives() {
    let (mut dispatcher, mut host) = start_dispatcher(
        PolicyConfig {
            requests_list: true,
            ..default_config()
        },
        1,
    );
    let mut requests = 0;
    for _ in 0..10 {
        host.advance(&mut dispatcher, 2.0);
        requests += host
            .calls
            .drain(..)
            .filter(|call| *call == RequestList)
            .count();
        dispatcher.discovery_failed(host.now);
    }
    assert!(
        requests >= 8,
        "{requests} list requests in 20 s of failures"
    );
    host.advance(&mut dispatcher, 2.0);
    dispatcher.update_list(host.now, ListUpdate::Changes, &[]);
    host.calls.clear();
    host.advance(&mut dispatcher, 20.0);
    assert!(
        !host.calls.contains(&RequestList),
        "no request after the list has arrived"
    );
}

/// Guards against a burst of list requests when 100 dispatchers start or fail together.
#[test]
fn list_requests_are_spread_after_a_common_start_and_after_a_failure() {
    let request_times = |seed| {
        let mut dispatcher = Dispatcher::new(
            PolicyConfig {
                dispatcher_count: 100,
                requests_list: true,
                ..default_config()
            },
            seed,
            0.0,
        );
        let mut host = RecordingHost::default();
        let mut next_request_at_s = |dispatcher: &mut Dispatcher| {
            while !host.calls.contains(&RequestList) {
                host.now += 0.1;
                dispatcher.decide(&mut host);
            }
            host.calls.clear();
            host.now
        };
        let first = next_request_at_s(&mut dispatcher);
        dispatcher.discovery_failed(first);
        (first, next_request_at_s(&mut dispatcher) - first)
    };
    let all_times: Vec<(f64, f64)> = (0..100).map(request_times).collect();
    for times in [
        all_times.iter().map(|a| a.0).collect::<Vec<_>>(),
        all_times.iter().map(|a| a.1).collect(),
    ] {
        let most_in_a_second = times
            .iter()
            .map(|t| times.iter().filter(|u| (t - **u).abs() < 0.5).count())
            .max()
            .unwrap();
        assert!(
            most_in_a_second < 40,
            "{most_in_a_second} requests within a second"
        );
        assert!(
            times.iter().all(|t| *t < 10.0),
            "each request comes within the limit of 10 s, in time to learn of drains"
        );
    }
}

/// Starts one of 100 dispatchers with 16 runners, the smallest subset that a dispatcher uses.
fn dispatcher_of_hundred(dispatcher_index: usize) -> (Dispatcher, RecordingHost) {
    start_dispatcher(
        PolicyConfig {
            dispatcher_count: 100,
            dispatcher_index,
            ..default_config()
        },
        16,
    )
}

/// Guards against fetching a rare key at many runners, and against overloading one runner with a frequent key.
#[test]
fn many_dispatchers_send_a_rare_key_to_one_runner_and_a_frequent_key_to_several() {
    let runners_used = |frequent: bool| {
        let mut used: Vec<usize> = (0..20)
            .map(|dispatcher_index| {
                let (mut dispatcher, mut host) = dispatcher_of_hundred(dispatcher_index);
                let keys = (0..63).map(|n| if frequent { 42 } else { 100 + n });
                let earlier: Vec<WorkItem> = keys
                    .map(|key| host.submit(&mut dispatcher, IDEMPOTENT, key))
                    .collect();
                earlier.iter().for_each(|work_item| {
                    host.end_attempt(&mut dispatcher, *work_item, 0, Outcome::Finished)
                });
                let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
                *host.attempted_runners(work_item).last().unwrap()
            })
            .collect();
        used.sort_unstable();
        used.dedup();
        used.len()
    };
    assert!(runners_used(false) <= 2);
    assert!(
        runners_used(true) > 5,
        "the work of a frequent key needs more than two runners"
    );
}

/// Guards against sending work into a queue that other dispatchers have filled, and against avoiding that runner
/// forever.
#[test]
fn among_many_dispatchers_a_runner_where_work_waited_is_avoided_for_a_while() {
    let (mut dispatcher, mut host) = dispatcher_of_hundred(0);
    for _ in 0..64 {
        let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
        host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Finished);
    }
    host.calls.clear();
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    let home = host.attempted_runners(work_item)[0];
    host.now += 0.4;
    work_item.started(&mut dispatcher, host.now, 0);
    host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Finished);
    host.advance(&mut dispatcher, 0.2);
    dispatcher.restore_usual_run(IDEMPOTENT, 0.1);
    let again = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    assert_ne!(
        host.attempted_runners(again).last(),
        Some(&home),
        "the queue of the home runner holds work of other dispatchers"
    );
    host.end_attempt(&mut dispatcher, again, 0, Outcome::Finished);
    host.advance(&mut dispatcher, 40.0);
    let later = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    assert_eq!(
        host.attempted_runners(later).last(),
        Some(&home),
        "{:?}",
        host.calls
    );
}

/// Guards against ejecting a runner whose slots are occupied by the work of other dispatchers.
#[test]
fn among_many_dispatchers_a_late_start_of_accepted_work_is_not_counted_against_the_runner() {
    let (mut dispatcher, mut host) = dispatcher_of_hundred(0);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    work_item.accepted(&mut dispatcher, host.now, 0);
    host.advance(&mut dispatcher, 1.2);
    assert!(
        host.logged.is_empty() && !host.calls.contains(&Cancel(work_item, 0)),
        "{:?}",
        host.logged
    );
}

/// Guards against ejections and cancellations in a backlog, when starts take 5 s everywhere.
#[test]
fn among_many_dispatchers_a_backlog_neither_ejects_runners_nor_cancels_attempts() {
    let (mut dispatcher, mut host) = dispatcher_of_hundred(0);
    let first = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    host.now += 5.0;
    first.started(&mut dispatcher, host.now, 0);
    host.end_attempt(&mut dispatcher, first, 0, Outcome::Finished);
    let work_items: Vec<WorkItem> = (0..8)
        .map(|n| host.submit(&mut dispatcher, IDEMPOTENT, 50 + n))
        .collect();
    work_items
        .iter()
        .for_each(|work_item| work_item.accepted(&mut dispatcher, host.now, 0));
    host.advance(&mut dispatcher, 4.0);
    let is_cancel = |call: &HostCall| matches!(call, Cancel(..));
    assert!(
        host.logged.is_empty() && !host.calls.iter().any(is_cancel),
        "{:?}",
        host.logged
    );
}

/// Guards against a subset that does not follow the rendezvous order, does not replace runners that left, or does
/// not grow with the load.
#[test]
fn a_dispatcher_with_little_work_uses_only_its_highest_ranked_runners() {
    let (mut dispatcher, mut host) = start_dispatcher(
        PolicyConfig {
            dispatcher_count: 400,
            dispatcher_index: 399,
            ..default_config()
        },
        300,
    );
    let runners_used = |dispatcher: &mut Dispatcher, host: &mut RecordingHost| {
        host.calls.clear();
        for n in 1..2000u32 {
            let work_item = host.submit(dispatcher, IDEMPOTENT, n.wrapping_mul(0x9e37_79b1));
            host.end_attempt(dispatcher, work_item, 0, Outcome::Finished);
        }
        let runner_of = |call: &HostCall| {
            if let Attempt(_, runner) = call {
                Some(*runner)
            } else {
                None
            }
        };
        host.calls
            .iter()
            .filter_map(runner_of)
            .collect::<std::collections::BTreeSet<usize>>()
    };
    let first = runners_used(&mut dispatcher, &mut host);
    assert_eq!(
        first.len(),
        16,
        "the smallest subset, since almost nothing runs"
    );
    dispatcher.update_list(
        host.now,
        ListUpdate::Changes,
        &first
            .iter()
            .map(|&runner| (runner, None))
            .collect::<Vec<_>>(),
    );
    let next = runners_used(&mut dispatcher, &mut host);
    assert!(
        next.len() == 16 && next.is_disjoint(&first),
        "the next in rank replace the runners that left"
    );
    // Sixteen jobs of this dispatcher run; the subset has about four runners for each of them.
    let work_items: Vec<WorkItem> = (1..17)
        .map(|n| host.submit(&mut dispatcher, IDEMPOTENT, n))
        .collect();
    work_items
        .iter()
        .for_each(|work_item| work_item.started(&mut dispatcher, host.now, 0));
    for _ in 0..30 {
        host.advance(&mut dispatcher, 1.0);
        work_items
            .iter()
            .for_each(|work_item| work_item.progressed(&mut dispatcher, host.now, 0, 0.1));
    }
    let used_under_load = runners_used(&mut dispatcher, &mut host).len();
    assert!(
        (32..=64).contains(&used_under_load),
        "{used_under_load} runners"
    );
}

/// Guards against shares of a cold runner's budget that are each smaller than a work item, so that nobody could
/// send one.
#[test]
fn a_cold_budget_is_split_into_whole_work_items_among_as_many_dispatchers_as_it_allows() {
    // The runner is estimated at two slots, and the budget is 1.4 x 3 x (0.1 + 0.9 x (age - 1)/40) x 0.75 x 2. That
    // is 1.06 s of work or two work items at an age of 4 s, and 2.26 s or four work items at an age of 12.5 s.
    for (age_s, items) in [(4.0, 2), (12.5, 4)] {
        let sent = |dispatcher_index| {
            let (mut dispatcher, mut host) = start_dispatcher(
                PolicyConfig {
                    dispatcher_count: 12,
                    dispatcher_index,
                    warm_up_s: 40.0,
                    ..default_config()
                },
                1,
            );
            dispatcher.update_list(
                100.0,
                ListUpdate::Changes,
                &[(
                    0,
                    Some(ListedRunner {
                        started_at_s: 100.0 - age_s,
                        ..listed_runner(0)
                    }),
                )],
            );
            let work_items = [0; 4].map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0));
            work_items
                .iter()
                .filter(|work_item| !host.attempted_runners(**work_item).is_empty())
                .count()
        };
        let sent_counts: Vec<usize> = (0..12).map(sent).collect();
        assert_eq!(
            (sent_counts.iter().sum::<usize>(), sent_counts.iter().max()),
            (items, Some(&1)),
            "{sent_counts:?}"
        );
    }
}

/// Guards against clients without an answer when the dispatcher shuts down as planned.
#[test]
fn before_a_planned_shutdown_all_work_is_answered_in_time() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 1);
    let work_items: Vec<WorkItem> = [IDEMPOTENT, AT_MOST_ONCE, IDEMPOTENT]
        .map(|category| host.submit(&mut dispatcher, category, 0))
        .to_vec();
    assert!(
        host.attempted_runners(work_items[2]).is_empty(),
        "two work items are in flight, the third is held"
    );
    dispatcher.set_shutdown_at(host.now + 0.65);
    host.advance(&mut dispatcher, 0.5);
    assert!(matches!(host.final_answers(work_items[2])[..], [Defer(..)]));
    // The host ends the attempts in flight shortly before the shutdown.
    host.end_attempt(&mut dispatcher, work_items[0], 0, Outcome::Timeout);
    host.end_attempt(&mut dispatcher, work_items[1], 0, Outcome::Timeout);
    assert!(
        matches!(host.final_answers(work_items[0])[..], [Defer(..)]),
        "idempotent work may run again elsewhere"
    );
    assert_eq!(host.final_answers(work_items[1]), [WriteOff(work_items[1])]);
}

/// A configuration with load probes whose report holds the number of free slots only.
fn probing_config(dispatcher_count: usize) -> PolicyConfig {
    PolicyConfig {
        uses_load_probes: true,
        free_slots_index: Some(0),
        dispatcher_count,
        ..default_config()
    }
}

/// Guards against lost affinity: a load report that shows many free slots must not attract the work of all keys.
#[test]
fn a_runner_known_to_be_free_gets_no_work_whose_home_runners_were_not_probed() {
    let (mut dispatcher, mut host) = start_dispatcher(probing_config(50), 8);
    let first = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    let Probe(free) = host.calls[0] else {
        panic!("{:?}", host.calls)
    };
    host.answer_probe(&mut dispatcher, free, &[20.0]);
    assert_eq!(host.attempted_runners(first), [free]);
    let others = (50..60).map(|key| host.submit(&mut dispatcher, IDEMPOTENT, key));
    let others: Vec<WorkItem> = others.collect();
    let probed: Vec<usize> = host
        .calls
        .iter()
        .filter_map(|call| {
            if let Probe(runner) = call {
                Some(*runner)
            } else {
                None
            }
        })
        .collect();
    assert!(
        probed.len() > 2,
        "each work item probes the home runner of its own key"
    );
    for runner in probed.into_iter().skip(1) {
        host.answer_probe(&mut dispatcher, runner, &[20.0]);
    }
    let at_free_runner = others
        .iter()
        .filter(|work_item| host.attempted_runners(**work_item) == [free])
        .count();
    assert!(
        at_free_runner <= 3,
        "only the work items whose home it is: {at_free_runner}"
    );
}

/// Guards against sending work without a load report, and against using more slots than a report shows.
#[test]
fn held_work_probes_its_candidates_in_turn_and_uses_the_first_with_a_free_slot() {
    let (mut dispatcher, mut host) = start_dispatcher(probing_config(50), 8);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    let Probe(home) = host.calls[0] else {
        panic!("{:?}", host.calls)
    };
    assert_eq!(
        host.calls.len(),
        1,
        "one probe, and nothing is sent without a report"
    );
    host.answer_probe(&mut dispatcher, home, &[0.0]);
    let Probe(next) = host.calls[1] else {
        panic!("{:?}", host.calls)
    };
    host.answer_probe(&mut dispatcher, next, &[2.0]);
    assert_eq!(host.attempted_runners(work_item), [next]);
    let again = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    assert_eq!(
        host.attempted_runners(again),
        [next],
        "the same report leaves one of its two slots"
    );
    let third = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    assert!(host.attempted_runners(third).is_empty());
}

/// Guards against work that is held without end because every load probe reports that no slot is free.
#[test]
fn work_whose_candidates_are_all_full_queues_at_its_home_runner() {
    let (mut dispatcher, mut host) = start_dispatcher(probing_config(50), 3);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    let mut probed = Vec::new();
    while host.attempted_runners(work_item).is_empty() && probed.len() < 5 {
        let Some(Probe(runner)) = host.calls.last().cloned() else {
            panic!("{:?}", host.calls)
        };
        probed.push(runner);
        host.answer_probe(&mut dispatcher, runner, &[0.0]);
    }
    assert_eq!(
        (probed.len(), host.attempted_runners(work_item)),
        (3, vec![probed[0]])
    );
}

/// Guards against work that waits for a slow load probe, and against taking a NaN or negative report for a free
/// slot or for a fault.
#[test]
fn a_slow_or_invalid_load_probe_lets_the_next_runner_be_probed() {
    let (mut dispatcher, mut host) = start_dispatcher(probing_config(50), 3);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    host.advance(&mut dispatcher, 0.4);
    assert!(
        host.calls
            .iter()
            .filter(|call| matches!(call, Probe(_)))
            .count()
            >= 2,
        "{:?}",
        host.calls
    );
    let Probe(home) = host.calls[0] else { panic!() };
    host.answer_probe(&mut dispatcher, home, &[f32::NAN]);
    host.answer_probe(&mut dispatcher, home, &[-3.0]);
    assert!(!host.attempted_runners(work_item).contains(&home) && host.logged.is_empty());
}

/// Guards against a dispatcher that falls back to the configured estimates after a planned restart.
#[test]
fn restored_run_times_and_runner_figures_count_right_after_a_restart() {
    let (mut dispatcher, mut host) = start_dispatcher(
        PolicyConfig {
            slow_start_fraction: 0.1,
            ..default_config()
        },
        1,
    );
    dispatcher.update_list(
        100.0,
        ListUpdate::Changes,
        &[(
            0,
            Some(ListedRunner {
                started_at_s: 100.0,
                ..listed_runner(0)
            }),
        )],
    );
    assert_eq!(
        (
            dispatcher.usual_run_s(IDEMPOTENT),
            dispatcher.learned_runner(0)
        ),
        (None, None)
    );
    dispatcher.restore_usual_run(IDEMPOTENT, 0.1);
    // A budget of 0.32 s of work is too small for a work item of the configured 0.5 s, but allows one of the restored
    // 0.1 s.
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    assert_eq!(
        (
            host.attempted_runners(work_item),
            dispatcher.usual_run_s(IDEMPOTENT)
        ),
        (vec![0], Some(0.1))
    );
    dispatcher.restore_runner(0, 5.0, 1.5);
    assert_eq!(dispatcher.learned_runner(0), Some((100.0, 5.0, 1.5)));
}

/// Guards against work that is held until its expiry when a network partition cuts off all its candidates.
#[test]
fn work_whose_candidates_are_all_unreachable_uses_other_runners() {
    let (mut dispatcher, mut host) = start_dispatcher(probing_config(50), 8);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    let mut unreachable = Vec::new();
    while unreachable.len() < 4 {
        let Some(Probe(runner)) = host.calls.last().cloned() else {
            panic!("{:?}", host.calls)
        };
        unreachable.push(runner);
        dispatcher.probe_ended(host.now, runner, Outcome::NoConnection, &[]);
        dispatcher.decide(&mut host);
    }
    host.advance(&mut dispatcher, 0.5);
    let attempted = host.attempted_runners(work_item);
    assert!(
        !attempted.is_empty() && attempted.iter().all(|runner| !unreachable.contains(runner)),
        "{attempted:?}, {unreachable:?}"
    );
}

/// Guards against a lost job that goes unnoticed because its runner is healthy otherwise.
#[test]
fn a_started_job_without_progress_for_one_and_a_half_intervals_is_retried_elsewhere() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    let [lost, at_most_once] =
        [IDEMPOTENT, AT_MOST_ONCE].map(|category| host.submit(&mut dispatcher, category, 0));
    [lost, at_most_once]
        .iter()
        .for_each(|work_item| work_item.started(&mut dispatcher, host.now, 0));
    host.advance(&mut dispatcher, 1.3);
    assert!(
        !host.calls.iter().any(|call| matches!(call, Cancel(..))),
        "a progress report may be late; the interval is 1 s"
    );
    host.advance(&mut dispatcher, 0.4);
    assert!(
        host.calls.contains(&Cancel(lost, 0)) && !host.calls.contains(&Cancel(at_most_once, 0))
    );
    assert!(host.logged.is_empty());
    host.end_attempt(&mut dispatcher, lost, 0, Outcome::Cancelled);
    assert_eq!(host.attempted_runners(lost).len(), 2);
}

/// Guards against a list update, a restart or a return of the runner that undoes an operator's decision.
#[test]
fn a_runner_disabled_by_hand_gets_no_work_whatever_the_list_contains() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 2);
    host.learn_fetch_cost(&mut dispatcher, 2);
    let first: Vec<WorkItem> = (0..2)
        .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 42))
        .collect();
    let home = host.attempted_runners(first[0])[0];
    let waiting = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    assert!(
        host.attempted_runners(waiting).is_empty(),
        "the work waits for the busy holder of its key"
    );
    dispatcher.set_disabled(host.now, home, true);
    dispatcher.decide(&mut host);
    assert_eq!(
        host.attempted_runners(waiting),
        [1 - home],
        "the work is sent at once, because its holder is disabled"
    );
    // Each full list shows the runner in another state: ready, draining, absent, and back as a new process.
    let listing = |ready, started_at_s| {
        Some(ListedRunner {
            ready,
            started_at_s,
            ..listed_runner(home as u64)
        })
    };
    let (other_entry, old_start_s) = (
        (1 - home, Some(listed_runner(1 - home as u64))),
        f64::NEG_INFINITY,
    );
    for entry in [
        listing(true, old_start_s),
        listing(false, old_start_s),
        None,
        listing(true, host.now),
    ] {
        dispatcher.update_list(host.now, ListUpdate::Full, &[(home, entry), other_entry]);
        dispatcher.set_disabled(host.now, home, true);
        host.advance(&mut dispatcher, 1.0);
        host.calls.clear();
        let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
        assert_eq!(host.attempted_runners(work_item), [1 - home]);
        host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Finished);
        assert!(dispatcher.is_avoided(home, host.now));
    }
    // A single call enables it again.
    first
        .iter()
        .for_each(|work_item| host.end_attempt(&mut dispatcher, *work_item, 0, Outcome::Reset));
    dispatcher.set_disabled(host.now, home, false);
    assert!(
        !dispatcher.is_avoided(home, host.now),
        "attempts that the old process lost do not count against the new one"
    );
}

/// Guards against overloading a runner that may have restarted while it was disabled by hand.
#[test]
fn a_reenabled_runner_is_cold_unless_the_list_states_a_start_while_it_was_disabled() {
    // Each case is the start that the list states and the number of work items that may be sent at once afterwards.
    // The list states no start, one before the runner is disabled at 100.5 s, or one while it is disabled.
    for (started_at_s, sent) in [(None, 1), (Some(90.0), 1), (Some(101.0), 2)] {
        let (mut dispatcher, mut host) = start_dispatcher(
            PolicyConfig {
                warm_up_s: 2.0,
                overload_window_s: 0.5,
                ..default_config()
            },
            1,
        );
        let update_list = |dispatcher: &mut Dispatcher, now| {
            let started_at_s = started_at_s
                .filter(|started_at_s| *started_at_s < now)
                .unwrap_or(f64::NEG_INFINITY);
            dispatcher.update_list(
                now,
                ListUpdate::Full,
                &[(
                    0,
                    Some(ListedRunner {
                        started_at_s,
                        ..listed_runner(0)
                    }),
                )],
            );
        };
        update_list(&mut dispatcher, 100.0);
        dispatcher.restore_usual_run(IDEMPOTENT, 0.3);
        dispatcher.set_disabled(100.5, 0, true);
        host.now = 105.0;
        update_list(&mut dispatcher, 105.0);
        dispatcher.set_disabled(105.0, 0, false);
        let work_items: Vec<WorkItem> = (0..2)
            .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0))
            .collect();
        assert_eq!(
            work_items
                .iter()
                .filter(|work_item| !host.attempted_runners(**work_item).is_empty())
                .count(),
            sent,
            "start at {started_at_s:?} s"
        );
    }
}

/// Guards against spending a cold runner's share twice while a new process of the dispatcher replaces the old one.
#[test]
fn two_processes_of_one_dispatcher_use_one_share_of_a_cold_runner() {
    let start_process = || {
        let (mut dispatcher, host) = start_dispatcher(default_config(), 1);
        dispatcher.update_list(
            100.0,
            ListUpdate::Changes,
            &[(
                0,
                Some(ListedRunner {
                    started_at_s: 95.0,
                    ..listed_runner(0)
                }),
            )],
        );
        dispatcher.restore_usual_run(IDEMPOTENT, 0.4);
        (dispatcher, host)
    };
    let count_sent = |dispatcher: &mut Dispatcher, host: &mut RecordingHost| {
        let work_items: Vec<WorkItem> = (0..3)
            .map(|_| host.submit(dispatcher, IDEMPOTENT, 0))
            .collect();
        work_items
            .iter()
            .filter(|work_item| !host.attempted_runners(**work_item).is_empty())
            .count()
    };
    // The budget is 1.8 s of work in this second, and the slot cap is two.
    let (mut old, mut host) = start_process();
    assert_eq!(count_sent(&mut old, &mut host), 2);
    let handover = old.runner_handover(0);
    for (spent, allowed) in [
        (handover.cold_sends.clone(), 2),
        (vec![(100.0, 0.8), (100.0, 0.8)], 0),
    ] {
        let (mut new, mut host) = start_process();
        new.inherit(
            100.0,
            vec![(
                0,
                RunnerHandover {
                    cold_sends: spent,
                    ..handover.clone()
                },
            )],
        );
        assert_eq!(count_sent(&mut new, &mut host), allowed);
    }
    let (mut old, mut host) = start_process();
    old.yield_cold_runners(host.now, true);
    assert_eq!(
        count_sent(&mut old, &mut host),
        0,
        "the new process uses the share"
    );
    old.yield_cold_runners(host.now, false);
    host.advance(&mut old, 0.8);
    assert_eq!(
        host.calls.len(),
        0,
        "the new process has died, and may have spent the share just before"
    );
    host.advance(&mut old, 0.4);
    assert_eq!(host.calls.len(), 2);
}

/// Guards against a capacity estimate from a single slow runner: as the only warm one of its kind, it would set the
/// budget of the cold ones.
#[test]
fn one_slow_warm_runner_of_a_kind_does_not_leave_a_cold_one_without_work() {
    let mut config = default_config();
    config.categories[IDEMPOTENT].placement.kinds = vec![1];
    let (mut dispatcher, mut host) = start_dispatcher(config, 6);
    let of_kind = |runner: u64, started_at_s| {
        (
            runner as usize,
            Some(ListedRunner {
                kind: 1,
                started_at_s,
                ..listed_runner(runner)
            }),
        )
    };
    dispatcher.update_list(100.0, ListUpdate::Changes, &[of_kind(0, f64::NEG_INFINITY)]);
    // The other runners are healthy; the only one of its kind takes ten times as long.
    for run_s in [0.1, 0.1, 0.1] {
        let work_items: Vec<WorkItem> = (0..5)
            .map(|_| host.submit(&mut dispatcher, AT_MOST_ONCE, 0))
            .collect();
        host.now += run_s;
        work_items.iter().for_each(|work_item| {
            host.end_attempt(&mut dispatcher, *work_item, 0, Outcome::Finished)
        });
    }
    dispatcher.restore_runner(0, 4.0, 10.0);
    dispatcher.restore_usual_run(IDEMPOTENT, 0.2);
    dispatcher.update_list(host.now, ListUpdate::Changes, &[of_kind(9, host.now)]);
    host.advance(&mut dispatcher, 0.2);
    host.calls.clear();
    // The runner is estimated at four slots, so the budget is 0.7 x 3 x (0.75 x 4 x 0.2) x 1 s = 1.3 s of work. That
    // is six work items of 0.2 s, of which the slot cap allows two.
    let work_items: Vec<WorkItem> = (0..6)
        .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0))
        .collect();
    assert!(
        work_items
            .iter()
            .filter(|work_item| host.attempted_runners(**work_item) == [9])
            .count()
            >= 2,
        "{:?}",
        host.calls
    );
}

/// Guards against concentrating a key at its home runner while others are idle and a fetch costs next to nothing.
#[test]
fn own_work_at_the_home_runner_of_a_key_makes_another_runner_cheaper() {
    // The home runner has free slots, but runs two jobs while the others are idle; a fetch costs next to nothing.
    let (mut dispatcher, mut host) = start_dispatcher(
        PolicyConfig {
            dispatcher_count: 5,
            ..default_config()
        },
        4,
    );
    let work_items: Vec<WorkItem> = (0..4)
        .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 42))
        .collect();
    let mut used: Vec<usize> = work_items
        .iter()
        .map(|work_item| host.attempted_runners(*work_item)[0])
        .collect();
    used.sort_unstable();
    assert_eq!(used, [0, 1, 2, 3]);
}

/// Guards against a retry that only considers the candidates chosen at the arrival of the work item.
#[test]
fn a_work_item_whose_candidates_all_left_uses_other_runners() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 60);
    let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    let gone: Vec<_> = (0..60)
        .filter(|runner| *runner != 7)
        .map(|runner| (runner, None))
        .collect();
    dispatcher.update_list(host.now, ListUpdate::Changes, &gone);
    host.end_attempt(&mut dispatcher, work_item, 0, Outcome::NoConnection);
    assert_eq!(host.attempted_runners(work_item).last(), Some(&7));
}

/// Guards against overloading a restarted runner whose start time stems from a clock that is off by up to
/// `start_time_error_s`.
#[test]
fn with_clock_errors_a_runner_is_cold_from_the_moment_its_start_is_reported() {
    for (clock_error_s, start_offset_s, expected_count) in [
        (0.0, -50.0, 2),
        (60.0, -50.0, 1),
        (60.0, 30.0, 1),
        (60.0, -90.0, 2),
    ] {
        let (mut dispatcher, mut host) = start_dispatcher(
            PolicyConfig {
                start_time_error_s: clock_error_s,
                ..default_config()
            },
            1,
        );
        // The list reports a restart. A start time earlier than the one before counts as another start only if clocks
        // differ.
        dispatcher.update_list(
            100.0,
            ListUpdate::Changes,
            &[(
                0,
                Some(ListedRunner {
                    started_at_s: 100.0 + start_offset_s,
                    ..listed_runner(0)
                }),
            )],
        );
        let work_items = [0, 1, 2].map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0));
        let sent_count = work_items
            .iter()
            .filter(|work_item| !host.attempted_runners(**work_item).is_empty())
            .count();
        assert_eq!(
            sent_count, expected_count,
            "clock error {clock_error_s} s, start offset {start_offset_s} s"
        );
        host.advance(&mut dispatcher, 21.0);
        let submitted_late = [0, 1].map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0));
        work_items.iter().for_each(|work_item| {
            host.end_attempt(&mut dispatcher, *work_item, 0, Outcome::Finished)
        });
        assert!(
            submitted_late
                .iter()
                .all(|work_item| host.attempted_runners(*work_item) == [0]),
            "warm after 21 s, clock error {clock_error_s} s, start offset {start_offset_s} s"
        );
    }
}

/// Starts a dispatcher whose only runner is full with two of its work items, and for which late work pays nothing.
fn start_with_full_runner(payoff_per_work: bool) -> (Dispatcher, RecordingHost, Vec<WorkItem>) {
    let mut config = PolicyConfig {
        payoff_per_work,
        ..default_config()
    };
    config
        .categories
        .iter_mut()
        .for_each(|category| category.tardy = 0.0);
    config.categories[KEYED].payoff = 2.0;
    let (mut dispatcher, mut host) = start_dispatcher(config, 1);
    let in_flight = [0, 1]
        .map(|_| host.submit(&mut dispatcher, IDEMPOTENT, 0))
        .to_vec();
    (dispatcher, host, in_flight)
}

/// Guards against holding a client's retry that can no longer be in time; nothing marks it but its earlier expiry.
#[test]
fn an_unmarked_client_retry_is_due_by_its_first_request() {
    let (mut dispatcher, mut host, _) = start_with_full_runner(false);
    let fresh = host.submit(&mut dispatcher, IDEMPOTENT, 0);
    // Its client stops waiting 3 s before other clients do, so its first request came 3 s ago.
    let retry = dispatcher
        .submit(
            host.now,
            Job {
                expires_at_s: host.now + 7.0,
                ..job(IDEMPOTENT, 0)
            },
        )
        .unwrap();
    host.advance(&mut dispatcher, 0.3);
    assert!(
        matches!(host.final_answers(retry)[..], [Defer(..)]),
        "the retry can no longer be in time, so it is deferred at once"
    );
    assert!(host.final_answers(fresh).is_empty());
}

/// Guards against one due time for small and large work items of a category.
#[test]
fn the_due_time_of_a_work_item_follows_its_own_hint() {
    let (mut dispatcher, mut host, _) = start_with_full_runner(false);
    let [small, large] = [0.01, 2.0].map(|hint_s| {
        let work_item = dispatcher
            .submit(
                host.now,
                Job {
                    expires_at_s: host.now + 10.0,
                    hint_s,
                    ..job(IDEMPOTENT, 0)
                },
            )
            .unwrap();
        dispatcher.decide(&mut host);
        work_item
    });
    host.advance(&mut dispatcher, 1.0);
    assert!(
        matches!(host.final_answers(small)[..], [Defer(..)])
            && host.final_answers(large).is_empty()
    );
}

/// Guards against ranking by payoff for each work item when the payoff counts for each second of work.
#[test]
fn with_payoff_per_work_the_better_paid_category_goes_first_despite_its_longer_run() {
    for (payoff_per_work, expected_first) in [(true, KEYED), (false, IDEMPOTENT)] {
        let (mut dispatcher, mut host, in_flight) = start_with_full_runner(payoff_per_work);
        dispatcher.restore_usual_run(IDEMPOTENT, 0.1);
        dispatcher.restore_usual_run(KEYED, 0.8);
        let held = [IDEMPOTENT, KEYED].map(|category| host.submit(&mut dispatcher, category, 0));
        host.advance(&mut dispatcher, 0.4);
        host.end_attempt(&mut dispatcher, in_flight[0], 0, Outcome::Finished);
        let sent_first = held
            .iter()
            .position(|work_item| !host.attempted_runners(*work_item).is_empty());
        assert_eq!(
            sent_first,
            Some((expected_first == KEYED) as usize),
            "payoff per work: {payoff_per_work}"
        );
    }
}

/// Guards against a clock error setting that is silently ignored or taken as negative or infinite.
#[test]
fn clock_error_settings_are_parsed_or_refused_with_a_one_line_error() {
    let parsed = |path: &str, value: &str| {
        let mut settings = FlatSettings::default();
        settings.insert("Report.How", "off");
        settings.insert(path, value);
        parse_policy_config(&settings)
            .map(|config| (config.start_time_error_s, config.expiry_error_s))
    };
    assert_eq!(
        parsed("Me", "0"),
        Ok((0.0, 0.0)),
        "a setting that is absent is 0"
    );
    assert_eq!(parsed("Safety.ReadyMarginUs", "9936000"), Ok((9.936, 0.0)));
    assert_eq!(
        parsed("Safety.BudgetErrorUs", "1e12"),
        Ok((0.0, 1e6)),
        "a huge value is accepted"
    );
    for path in ["Safety.ReadyMarginUs", "Safety.BudgetErrorUs"] {
        for value in ["-1", "soon", "inf", "NaN"] {
            let error = parsed(path, value).unwrap_err();
            assert!(error.contains(path) && error.contains(value) && !error.contains('\n'));
        }
    }
}

/// Guards against queueing work that would end too late to pay, and against deferring work after the backlog is
/// gone.
#[test]
fn in_a_backlog_work_that_cannot_be_in_time_is_deferred_at_once_until_waits_are_no_longer_reported()
{
    let mut config = PolicyConfig {
        dispatcher_count: 5,
        ..default_config()
    };
    config
        .categories
        .iter_mut()
        .for_each(|category| category.tardy = 0.0);
    let (mut dispatcher, mut host) = start_dispatcher(config, 60);
    let work_items: Vec<WorkItem> = (0..32)
        .map(|n| host.submit(&mut dispatcher, IDEMPOTENT, 100 + n))
        .collect();
    host.now += 3.0;
    for work_item in work_items {
        work_item.started(&mut dispatcher, host.now, 0);
        host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Finished);
    }
    host.advance(&mut dispatcher, 0.1);
    dispatcher.restore_usual_run(IDEMPOTENT, 0.1);
    host.calls.clear();
    let in_backlog = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    host.advance(&mut dispatcher, 0.3);
    assert!(
        host.attempted_runners(in_backlog).is_empty()
            && matches!(host.final_answers(in_backlog)[..], [Defer(..)])
    );
    host.advance(&mut dispatcher, 5.0);
    host.calls.clear();
    let later = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    assert_eq!(
        host.attempted_runners(later).len(),
        1,
        "no wait was reported recently"
    );
}

/// Guards against deferring fresh work because its expiry, shortened by the planned shutdown, looks like that of a
/// client's retry.
#[test]
fn work_before_a_planned_shutdown_is_not_taken_for_a_retry() {
    let (mut dispatcher, mut host, _) = start_with_full_runner(false);
    dispatcher.set_shutdown_at(host.now + 3.0);
    let work_item = dispatcher
        .submit(
            host.now,
            Job {
                expires_at_s: host.now + 3.0,
                ..job(IDEMPOTENT, 0)
            },
        )
        .unwrap();
    host.advance(&mut dispatcher, 0.3);
    assert!(
        host.final_answers(work_item).is_empty(),
        "the work can still be in time"
    );
}

/// Guards against exceeding a negotiated share of a cold runner's budget; without one the dispatcher's own smaller
/// share applies.
#[test]
fn a_negotiated_share_bounds_the_work_for_a_cold_runner() {
    let sent = |share: Option<f64>| {
        let (mut dispatcher, mut host) = start_dispatcher(
            PolicyConfig {
                dispatcher_count: 6,
                slow_start_fraction: 0.5,
                ..default_config()
            },
            1,
        );
        dispatcher.update_list(
            host.now,
            ListUpdate::Changes,
            &[(
                0,
                Some(ListedRunner {
                    started_at_s: host.now,
                    ..listed_runner(0)
                }),
            )],
        );
        dispatcher.set_cold_share(0, share);
        (0..6).for_each(|_| _ = host.submit(&mut dispatcher, 0, 0));
        (
            host.calls
                .iter()
                .filter(|call| matches!(call, Attempt(..)))
                .count(),
            dispatcher.cold_usage(host.now),
        )
    };
    let (with_full_share, usage) = sent(Some(1.0));
    assert!(usage[0].1 <= 0.76 && usage[0].2, "{usage:?}");
    let (with_no_share, usage) = sent(Some(0.0));
    assert_eq!((with_no_share, usage[0].1), (0, 0.0));
    let (without_share, _) = sent(None);
    assert!(
        without_share < with_full_share,
        "{without_share} by its own share, {with_full_share} by the full budget"
    );
}

/// Guards against ignoring the verdicts of other dispatchers on the health of a runner.
#[test]
fn a_runner_ejected_by_a_peer_verdict_is_avoided_until_a_healthy_verdict() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 4);
    dispatcher.apply_peer_verdict(host.now, 2, true);
    assert!(
        !dispatcher.is_avoided(2, host.now),
        "a healthy verdict on a healthy runner changes nothing"
    );
    dispatcher.apply_peer_verdict(host.now, 2, false);
    assert!(dispatcher.is_avoided(2, host.now));
    for _ in 0..12 {
        let work_item = host.submit(&mut dispatcher, 0, 0);
        assert!(!host.attempted_runners(work_item).contains(&2));
    }
    dispatcher.apply_peer_verdict(host.now, 2, true);
    host.advance(&mut dispatcher, 0.3);
    let trial = host.calls.iter().any(|call| matches!(call, Attempt(_, 2)));
    assert!(
        trial,
        "the runner is tried before its ejection would have ended"
    );
}

/// Guards against losing most of the fleet to verdicts of other dispatchers.
#[test]
fn peer_verdicts_eject_no_more_than_half_of_the_runners() {
    let (mut dispatcher, host) = start_dispatcher(default_config(), 6);
    (0..6).for_each(|runner| dispatcher.apply_peer_verdict(host.now, runner, false));
    assert_eq!(
        (0..6)
            .filter(|&runner| dispatcher.is_avoided(runner, host.now))
            .count(),
        3
    );
}

/// Guards against exceeding the remaining budget of a category, and against one that blocks the other categories.
#[test]
fn a_category_at_its_budget_is_held_while_others_are_sent() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 4);
    dispatcher.set_remaining_budgets(&[1.0, 9.0, 9.0, 9.0], f64::INFINITY);
    let (first, second, other) = (
        host.submit(&mut dispatcher, 0, 0),
        host.submit(&mut dispatcher, 0, 0),
        host.submit(&mut dispatcher, 2, 0),
    );
    assert_eq!(
        (
            host.attempted_runners(first).len(),
            host.attempted_runners(second).len(),
            host.attempted_runners(other).len()
        ),
        (1, 0, 1)
    );
    dispatcher.set_remaining_budgets(&[1.0, 9.0, 9.0, 9.0], f64::INFINITY);
    host.now += 0.01;
    dispatcher.decide(&mut host);
    assert_eq!(host.attempted_runners(second).len(), 1);
}

/// Guards against more retries than the shared retry budget allows.
#[test]
fn without_retry_budget_failed_work_is_deferred_at_once() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 4);
    dispatcher.set_remaining_budgets(&[], 1.0);
    let (first, second) = (
        host.submit(&mut dispatcher, 0, 0),
        host.submit(&mut dispatcher, 0, 0),
    );
    host.end_attempt(&mut dispatcher, first, 0, Outcome::Error);
    assert_eq!(host.attempted_runners(first).len(), 2);
    host.end_attempt(&mut dispatcher, second, 0, Outcome::Error);
    assert_eq!(host.attempted_runners(second).len(), 1);
    assert!(matches!(host.final_answers(second)[..], [Defer(..)]));
}

/// Guards against retries that cannot help, and that damage healthy runners, when the data of one key makes every
/// runner fail.
#[test]
fn work_of_a_key_that_failed_at_several_runners_gets_a_single_attempt() {
    let (mut dispatcher, mut host) = start_dispatcher(default_config(), 12);
    let mut failed_at = std::collections::BTreeSet::new();
    for _ in 0..4 {
        let work_item = host.submit(&mut dispatcher, IDEMPOTENT, 42);
        let mut attempt = 0;
        while host.final_answers(work_item).is_empty() {
            host.end_attempt(&mut dispatcher, work_item, attempt, Outcome::Error);
            attempt += 1;
        }
        failed_at.extend(host.attempted_runners(work_item));
        host.calls.clear();
    }
    assert!(failed_at.len() >= 3, "{failed_at:?}");
    let (failing, other) = (
        host.submit(&mut dispatcher, IDEMPOTENT, 42),
        host.submit(&mut dispatcher, IDEMPOTENT, 43),
    );
    host.end_attempt(&mut dispatcher, other, 0, Outcome::Error);
    assert_eq!(
        host.attempted_runners(other).len(),
        2,
        "the work of another key is retried"
    );
    host.end_attempt(&mut dispatcher, failing, 0, Outcome::Error);
    assert!(
        matches!(host.final_answers(failing)[..], [Defer(..)]),
        "the work is answered at once"
    );
    assert_eq!(host.attempted_runners(failing).len(), 1);
    let served = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    host.end_attempt(&mut dispatcher, served, 0, Outcome::Finished);
    host.calls.clear(); // Handles are reused, so calls for earlier work items are cleared.
    let again = host.submit(&mut dispatcher, IDEMPOTENT, 42);
    host.end_attempt(&mut dispatcher, again, 0, Outcome::Error);
    assert_eq!(
        host.attempted_runners(again).len(),
        2,
        "a work item that succeeds clears the key"
    );
}
