//! The rule on placement, and what a list that proves nothing may be taken for. Settings are read as told, so
//! that what is shown is what a deployment gets.

#[allow(dead_code)] // Other stories use more of it.
mod fake;
use fake::*;
use sagetrail_policy::*;

const BOUND: usize = 0;
const UNBOUND: usize = 1;
const ZONES: usize = 2;
const RUNNERS: usize = 8;

/// Two categories, both safe to repeat, the first bound as said.
fn told(settings: &[(&str, &str)]) -> Result<PolicyConfig, String> {
    let mut stated = FlatSettings::default();
    let usual = [
        ("Categories.count", "2"),
        ("Dcs", "north,south"),
        ("Kinds", "fast,slow"),
        ("Limits.MostHandOffs", "5"),
        ("Limits.MayCancel", "true"),
        ("Safety.MustAskInUs", "10000000"),
        ("Domain.TellsStart", "true"),
    ];
    usual
        .iter()
        .chain(settings)
        .for_each(|(path, value)| stated.insert(path, value));
    for n in [BOUND, UNBOUND] {
        for (leaf, value) in [
            ("Repeat", "read_like"),
            ("DueTimeUs", "1000000"),
            ("Payoff", "1"),
        ] {
            stated.insert(&format!("Categories.{n}.{leaf}"), value);
        }
    }
    parse_policy_config(&stated)
}

/// Zones take turns, kinds change after each pair.
fn placed(runner: usize) -> ListedRunner {
    ListedRunner {
        zone: (runner % ZONES) as u16,
        kind: (runner / ZONES % 2) as u8,
        ..listed_runner(runner as u64)
    }
}

fn fleet(config: PolicyConfig) -> (Dispatcher, RecordingHost) {
    let mut dispatcher = Dispatcher::new(config, 7, 100.0);
    let entries: Vec<_> = (0..RUNNERS)
        .map(|runner| (runner, Some(placed(runner))))
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

/// Sixty work items of many keys, each answered as said until it is ended or served; where all went.
fn all_sent_to(
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

#[test]
fn work_bound_to_a_zone_goes_to_no_other_at_every_attempt() {
    for outcome in [
        Outcome::Finished,
        Outcome::Error,
        Outcome::NoConnection,
        Outcome::Full,
        Outcome::Reset,
    ] {
        let (mut dispatcher, mut host) = fleet(told(&[("Categories.0.DcsOnly", "1")]).unwrap());
        let sent = all_sent_to(&mut dispatcher, &mut host, BOUND, outcome);
        assert!(!sent.is_empty());
        assert!(
            sent.iter().all(|runner| placed(*runner).zone == 1),
            "{outcome:?}: {sent:?}"
        );
    }
}

#[test]
fn work_bound_to_a_kind_or_to_both_goes_to_no_other() {
    for (settings, zones) in [
        (vec![("Categories.0.BoundTo", "0")], vec![0, 1]),
        (
            vec![("Categories.0.BoundTo", "0"), ("Categories.0.DcsOnly", "1")],
            vec![1],
        ),
    ] {
        let (mut dispatcher, mut host) = fleet(told(&settings).unwrap());
        let sent = all_sent_to(&mut dispatcher, &mut host, BOUND, Outcome::Error);
        assert!(!sent.is_empty());
        assert!(
            sent.iter()
                .all(|runner| placed(*runner).kind == 0 && zones.contains(&placed(*runner).zone)),
            "{sent:?}"
        );
    }
}

#[test]
fn bound_work_whose_runners_are_all_full_is_held_and_then_ended() {
    let (mut dispatcher, mut host) = fleet(told(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let all: Vec<WorkItem> = (0..40)
        .map(|_| host.submit(&mut dispatcher, BOUND, 0))
        .collect();
    host.advance(&mut dispatcher, 10.0);
    let sent: Vec<usize> = all
        .iter()
        .flat_map(|w| host.attempted_runners(*w))
        .collect();
    assert!(
        sent.iter().all(|runner| placed(*runner).zone == 1),
        "{sent:?}"
    );
    let held = all
        .iter()
        .filter(|w| host.attempted_runners(**w).is_empty());
    assert!(held.clone().count() > 0);
    held.for_each(|w| assert_eq!(host.final_answers(*w).len(), 1));
}

#[test]
fn bound_work_with_none_of_its_runners_left_is_ended_at_once_and_the_rest_goes_on() {
    let (mut dispatcher, mut host) = fleet(told(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let gone: Vec<_> = (0..RUNNERS)
        .filter(|runner| placed(*runner).zone == 1)
        .map(|runner| (runner, None))
        .collect();
    dispatcher.update_list(host.now, ListUpdate::Changes, &gone);
    let unbound = host.submit(&mut dispatcher, UNBOUND, 5);
    let bound = host.submit(&mut dispatcher, BOUND, 5);
    host.advance(&mut dispatcher, 0.1);
    assert!(host.attempted_runners(bound).is_empty());
    assert_eq!(host.final_answers(bound).len(), 1);
    assert_eq!(placed(host.attempted_runners(unbound)[0]).zone, 0);
}

#[test]
fn work_that_is_not_bound_uses_all_runners() {
    let (mut dispatcher, mut host) = fleet(told(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let sent = all_sent_to(&mut dispatcher, &mut host, UNBOUND, Outcome::Finished);
    assert!(
        (0..RUNNERS).all(|runner| sent.contains(&runner)),
        "{sent:?}"
    );
}

#[test]
fn places_are_told_by_number_or_by_name_and_what_is_neither_is_refused() {
    let zones = |value| {
        told(&[("Categories.0.DcsOnly", value)])
            .map(|t| t.categories[BOUND].placement.zones.clone())
    };
    assert_eq!(zones("south"), Ok(vec![1]));
    assert_eq!(zones("0,south"), Ok(vec![0, 1]));
    assert_eq!(zones(""), Ok(vec![]));
    assert!(zones("west").is_err());
    assert!(told(&[("Categories.0.BoundTo", "900")]).is_err());
    assert!(told(&[("Categories.0.BoundTo", "0"), ("Domain.ClassKind", "1,-1")]).is_err());
}

#[test]
fn gone_without_draining_binds_nobody_where_so_stated_and_one_try_shows_what_is_so() {
    for binds in [true, false] {
        let stays_open = (
            "Safety.DroppedStayOpen",
            if binds { "false" } else { "true" },
        );
        let (mut dispatcher, mut host) = fleet(told(&[stays_open]).unwrap());
        dispatcher.update_list(host.now, ListUpdate::Full, &[]);
        let work_item = host.submit(&mut dispatcher, UNBOUND, 5);
        host.advance(&mut dispatcher, 0.1);
        assert_eq!(host.attempted_runners(work_item).is_empty(), binds);
        if !binds {
            let more = host.submit(&mut dispatcher, UNBOUND, 5);
            assert_ne!(
                host.attempted_runners(more),
                host.attempted_runners(work_item),
                "one try at a time"
            );
            host.end_attempt(&mut dispatcher, work_item, 0, Outcome::Finished);
            let next = host.submit(&mut dispatcher, UNBOUND, 5);
            assert_eq!(
                host.attempted_runners(next),
                host.attempted_runners(work_item),
                "it serves"
            );
        }
    }
}

#[test]
fn one_listed_as_draining_gets_nothing_new_though_it_is_gone_later() {
    let (mut dispatcher, mut host) = fleet(told(&[("Safety.DroppedStayOpen", "true")]).unwrap());
    let drains = |runner| {
        (
            runner,
            Some(ListedRunner {
                ready: false,
                ..placed(runner)
            }),
        )
    };
    dispatcher.update_list(host.now, ListUpdate::Changes, &[drains(0), drains(1)]);
    dispatcher.update_list(host.now, ListUpdate::Changes, &[(0, None)]);
    dispatcher.update_list(
        host.now,
        ListUpdate::Full,
        &(2..RUNNERS)
            .map(|runner| (runner, Some(placed(runner))))
            .collect::<Vec<_>>(),
    );
    let sent = all_sent_to(&mut dispatcher, &mut host, UNBOUND, Outcome::Finished);
    assert!(sent.iter().all(|runner| *runner >= 2), "{sent:?}");
}

#[test]
fn where_a_fetch_is_dear_all_dispatchers_bring_a_key_to_the_same_runner_of_many() {
    let homes = |fetch: &str| {
        let prices = [
            ("ReplicasOfMe", "30"),
            ("Penalties.CrossZone", "0.02"),
            ("Penalties.Origin", fetch),
        ];
        let home = |me: usize| {
            let (mut dispatcher, mut host) = start_dispatcher(
                PolicyConfig {
                    dispatcher_index: me,
                    ..told(&prices).unwrap()
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
    assert_eq!(homes("0.1"), 1);
    assert!(homes("0") > 1, "each has its own few");
}
