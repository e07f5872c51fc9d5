//! The placement of bound categories, and the use of runners that the list drops. The configurations are parsed from
//! settings, as in a deployment.

#[allow(dead_code)] // Other tests use the remaining helpers.
mod fake;
use fake::*;
use sagetrail_policy::*;

/// The category that the settings of a test may bind.
const BOUND: usize = 0;
const UNBOUND: usize = 1;
const ZONES: usize = 2;
const RUNNERS: usize = 8;

/// Parses settings with two idempotent categories. A test adds its own settings, such as the placement of the first
/// category.
fn parse_config(settings: &[(&str, &str)]) -> Result<PolicyConfig, String> {
    let mut all_settings = FlatSettings::default();
    let common = [
        ("Categories.count", "2"),
        ("Dcs", "north,south"),
        ("Kinds", "fast,slow"),
        ("Limits.MostHandOffs", "5"),
        ("Limits.MayCancel", "true"),
        ("Safety.MustAskInUs", "10000000"),
        ("Domain.TellsStart", "true"),
    ];
    common
        .iter()
        .chain(settings)
        .for_each(|(path, value)| all_settings.insert(path, value));
    for n in [BOUND, UNBOUND] {
        for (leaf, value) in [
            ("Repeat", "read_like"),
            ("DueTimeUs", "1000000"),
            ("Payoff", "1"),
        ] {
            all_settings.insert(&format!("Categories.{n}.{leaf}"), value);
        }
    }
    parse_policy_config(&all_settings)
}

/// The listing of a runner: zones alternate, and the kind changes after every second runner.
fn listing_of(runner: usize) -> ListedRunner {
    ListedRunner {
        zone: (runner % ZONES) as u16,
        kind: (runner / ZONES % 2) as u8,
        ..listed_runner(runner as u64)
    }
}

/// Starts a dispatcher at 100 s with eight runners of two zones and two kinds.
fn start_fleet(config: PolicyConfig) -> (Dispatcher, RecordingHost) {
    let mut dispatcher = Dispatcher::new(config, 7, 100.0);
    let entries: Vec<_> = (0..RUNNERS)
        .map(|runner| (runner, Some(listing_of(runner))))
        .collect();
    dispatcher.update_list(100.0, ListUpdate::Cached, &entries);
    (
        dispatcher,
        RecordingHost {
            now: 100.0,
            ..RecordingHost::default()
        },
    )
}

/// Submits sixty work items of different keys, ends up to five attempts of each with the outcome, and returns the
/// runners of all attempts.
fn run_and_list_attempts(
    dispatcher: &mut Dispatcher,
    host: &mut RecordingHost,
    category: usize,
    outcome: Outcome,
) -> Vec<usize> {
    let mut sent = Vec::new();
    for key in 0..60 {
        let work_item = host.submit(dispatcher, category, key);
        for attempt in 0..5 {
            host.advance(dispatcher, 0.3);
            if host.attempted_runners(work_item).len() > attempt as usize {
                host.end_attempt(dispatcher, work_item, attempt, outcome);
            }
        }
        sent.extend(host.attempted_runners(work_item));
    }
    sent
}

/// Guards against an attempt outside the allowed zone, in particular a retry after a failure.
#[test]
fn every_attempt_of_work_bound_to_a_zone_stays_in_the_zone() {
    for outcome in [
        Outcome::Finished,
        Outcome::Error,
        Outcome::NoConnection,
        Outcome::Full,
        Outcome::Reset,
    ] {
        let (mut dispatcher, mut host) =
            start_fleet(parse_config(&[("Categories.0.DcsOnly", "1")]).unwrap());
        let sent = run_and_list_attempts(&mut dispatcher, &mut host, BOUND, outcome);
        assert!(!sent.is_empty());
        assert!(
            sent.iter().all(|runner| listing_of(*runner).zone == 1),
            "{outcome:?}: {sent:?}"
        );
    }
}

/// Guards against an attempt at another kind of machine, also if kind and zone are both bound.
#[test]
fn work_bound_to_a_kind_or_to_kind_and_zone_stays_there() {
    for (settings, zones) in [
        (vec![("Categories.0.BoundTo", "0")], vec![0, 1]),
        (
            vec![("Categories.0.BoundTo", "0"), ("Categories.0.DcsOnly", "1")],
            vec![1],
        ),
    ] {
        let (mut dispatcher, mut host) = start_fleet(parse_config(&settings).unwrap());
        let sent = run_and_list_attempts(&mut dispatcher, &mut host, BOUND, Outcome::Error);
        assert!(!sent.is_empty());
        assert!(
            sent.iter()
                .all(|runner| listing_of(*runner).kind == 0
                    && zones.contains(&listing_of(*runner).zone)),
            "{sent:?}"
        );
    }
}

/// Guards against bound work that moves to another zone, or stays without an answer, when its own runners are full.
#[test]
fn bound_work_whose_runners_are_all_full_is_held_and_then_answered() {
    let (mut dispatcher, mut host) =
        start_fleet(parse_config(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let work_items: Vec<WorkItem> = (0..40)
        .map(|_| host.submit(&mut dispatcher, BOUND, 0))
        .collect();
    host.advance(&mut dispatcher, 10.0);
    let sent: Vec<usize> = work_items
        .iter()
        .flat_map(|work_item| host.attempted_runners(*work_item))
        .collect();
    assert!(
        sent.iter().all(|runner| listing_of(*runner).zone == 1),
        "{sent:?}"
    );
    let held = work_items
        .iter()
        .filter(|work_item| host.attempted_runners(**work_item).is_empty());
    assert!(held.clone().count() > 0);
    held.for_each(|work_item| assert_eq!(host.final_answers(*work_item).len(), 1));
}

/// Guards against bound work that is held until its expiry, or blocks other work, when all its runners have left.
#[test]
fn bound_work_without_runners_is_answered_at_once_while_other_work_is_sent() {
    let (mut dispatcher, mut host) =
        start_fleet(parse_config(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let gone: Vec<_> = (0..RUNNERS)
        .filter(|runner| listing_of(*runner).zone == 1)
        .map(|runner| (runner, None))
        .collect();
    dispatcher.update_list(host.now, ListUpdate::Changes, &gone);
    let unbound = host.submit(&mut dispatcher, UNBOUND, 5);
    let bound = host.submit(&mut dispatcher, BOUND, 5);
    host.advance(&mut dispatcher, 0.1);
    assert!(host.attempted_runners(bound).is_empty());
    assert_eq!(host.final_answers(bound).len(), 1);
    assert_eq!(listing_of(host.attempted_runners(unbound)[0]).zone, 0);
}

/// Guards against a binding of one category that restricts another one.
#[test]
fn unbound_work_uses_all_runners() {
    let (mut dispatcher, mut host) =
        start_fleet(parse_config(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let sent = run_and_list_attempts(&mut dispatcher, &mut host, UNBOUND, Outcome::Finished);
    assert!(
        (0..RUNNERS).all(|runner| sent.contains(&runner)),
        "{sent:?}"
    );
}

/// Guards against a placement setting that is silently ignored because it names an unknown zone or kind, or
/// contradicts itself.
#[test]
fn placements_are_set_by_index_or_name_and_others_are_refused() {
    let zones = |value| {
        parse_config(&[("Categories.0.DcsOnly", value)])
            .map(|config| config.categories[BOUND].placement.zones.clone())
    };
    assert_eq!(zones("south"), Ok(vec![1]));
    assert_eq!(zones("0,south"), Ok(vec![0, 1]));
    assert_eq!(zones(""), Ok(vec![]));
    assert!(zones("west").is_err());
    assert!(parse_config(&[("Categories.0.BoundTo", "900")]).is_err());
    assert!(parse_config(&[("Categories.0.BoundTo", "0"), ("Domain.ClassKind", "1,-1")]).is_err());
}

/// Guards against an outage when the list loses runners that still serve, and against sending much work to runners
/// that are really gone.
#[test]
fn runners_dropped_without_draining_may_serve_if_configured_and_get_one_trial_first() {
    for drop_is_final in [true, false] {
        let unlisted_may_serve = (
            "Safety.DroppedStayOpen",
            if drop_is_final { "false" } else { "true" },
        );
        let (mut dispatcher, mut host) = start_fleet(parse_config(&[unlisted_may_serve]).unwrap());
        dispatcher.update_list(host.now, ListUpdate::Full, &[]);
        let work_item = host.submit(&mut dispatcher, UNBOUND, 5);
        host.advance(&mut dispatcher, 0.1);
        assert_eq!(host.attempted_runners(work_item).is_empty(), drop_is_final);
        if !drop_is_final {
            let second = host.submit(&mut dispatcher, UNBOUND, 5);
            assert_ne!(
                host.attempted_runners(second),
                host.attempted_runners(work_item),
                "an unlisted runner gets one trial at a time"
            );
            host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Finished);
            let next = host.submit(&mut dispatcher, UNBOUND, 5);
            assert_eq!(
                host.attempted_runners(next),
                host.attempted_runners(work_item),
                "a successful trial shows that the runner serves"
            );
        }
    }
}

/// Guards against taking a drained runner for one that the list has lost: it must get no work, whether a change or
/// a full list drops it.
#[test]
fn a_runner_listed_as_draining_gets_no_work_after_the_list_drops_it() {
    let (mut dispatcher, mut host) =
        start_fleet(parse_config(&[("Safety.DroppedStayOpen", "true")]).unwrap());
    let draining = |runner| {
        (
            runner,
            Some(ListedRunner {
                ready: false,
                ..listing_of(runner)
            }),
        )
    };
    dispatcher.update_list(host.now, ListUpdate::Changes, &[draining(0), draining(1)]);
    dispatcher.update_list(host.now, ListUpdate::Changes, &[(0, None)]);
    dispatcher.update_list(
        host.now,
        ListUpdate::Full,
        &(2..RUNNERS)
            .map(|runner| (runner, Some(listing_of(runner))))
            .collect::<Vec<_>>(),
    );
    let sent = run_and_list_attempts(&mut dispatcher, &mut host, UNBOUND, Outcome::Finished);
    assert!(sent.iter().all(|runner| *runner >= 2), "{sent:?}");
}

/// Guards against fetching a key at many runners when a fetch costs more than crossing zones.
#[test]
fn with_a_dominant_fetch_price_all_dispatchers_send_a_key_to_the_same_runner() {
    let count_homes = |fetch_price: &str| {
        let prices = [
            ("ReplicasOfMe", "30"),
            ("Penalties.CrossZone", "0.02"),
            ("Penalties.Origin", fetch_price),
        ];
        let home = |dispatcher_index: usize| {
            let (mut dispatcher, mut host) = start_dispatcher(
                PolicyConfig {
                    dispatcher_index,
                    ..parse_config(&prices).unwrap()
                },
                100,
            );
            let work_item = host.submit(&mut dispatcher, UNBOUND, 42);
            host.attempted_runners(work_item)[0]
        };
        (0..30)
            .map(home)
            .collect::<std::collections::BTreeSet<usize>>()
            .len()
    };
    assert_eq!(count_homes("0.1"), 1);
    assert!(count_homes("0") > 1, "each dispatcher uses its own subset");
}
