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
fn placed(r: usize) -> ListedRunner {
    ListedRunner {
        zone: (r % ZONES) as u16,
        kind: (r / ZONES % 2) as u8,
        ..runner(r as u64)
    }
}

fn fleet(terms: PolicyConfig) -> (Dispatcher, Fake) {
    let mut d = Dispatcher::new(terms, 7, 100.0);
    let entries: Vec<_> = (0..RUNNERS).map(|r| (r, Some(placed(r)))).collect();
    d.update_list(100.0, ListUpdate::Cached, &entries);
    (
        d,
        Fake {
            now: 100.0,
            ..Fake::default()
        },
    )
}

/// Sixty work items of many keys, each answered as said until it is ended or served; where all went.
fn all_sent_to(
    d: &mut Dispatcher,
    host: &mut Fake,
    category: usize,
    outcome: Outcome,
) -> Vec<usize> {
    let mut sent = Vec::new();
    for key in 0..60 {
        let work_item = host.take(d, category, key);
        for no in 0..5 {
            host.pass(d, 0.3);
            if host.sent_to(work_item).len() > no as usize {
                host.come(d, work_item, no, outcome);
            }
        }
        sent.extend(host.sent_to(work_item));
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
        let (mut d, mut host) = fleet(told(&[("Categories.0.DcsOnly", "1")]).unwrap());
        let sent = all_sent_to(&mut d, &mut host, BOUND, outcome);
        assert!(!sent.is_empty());
        assert!(
            sent.iter().all(|r| placed(*r).zone == 1),
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
        let (mut d, mut host) = fleet(told(&settings).unwrap());
        let sent = all_sent_to(&mut d, &mut host, BOUND, Outcome::Error);
        assert!(!sent.is_empty());
        assert!(
            sent.iter()
                .all(|r| placed(*r).kind == 0 && zones.contains(&placed(*r).zone)),
            "{sent:?}"
        );
    }
}

#[test]
fn bound_work_whose_runners_are_all_full_is_held_and_then_ended() {
    let (mut d, mut host) = fleet(told(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let all: Vec<WorkItem> = (0..40).map(|_| host.take(&mut d, BOUND, 0)).collect();
    host.pass(&mut d, 10.0);
    let sent: Vec<usize> = all.iter().flat_map(|w| host.sent_to(*w)).collect();
    assert!(sent.iter().all(|r| placed(*r).zone == 1), "{sent:?}");
    let held = all.iter().filter(|w| host.sent_to(**w).is_empty());
    assert!(held.clone().count() > 0);
    held.for_each(|w| assert_eq!(host.ends(*w).len(), 1));
}

#[test]
fn bound_work_with_none_of_its_runners_left_is_ended_at_once_and_the_rest_goes_on() {
    let (mut d, mut host) = fleet(told(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let gone: Vec<_> = (0..RUNNERS)
        .filter(|r| placed(*r).zone == 1)
        .map(|r| (r, None))
        .collect();
    d.update_list(host.now, ListUpdate::Changes, &gone);
    let unbound = host.take(&mut d, UNBOUND, 5);
    let bound = host.take(&mut d, BOUND, 5);
    host.pass(&mut d, 0.1);
    assert!(host.sent_to(bound).is_empty());
    assert_eq!(host.ends(bound).len(), 1);
    assert_eq!(placed(host.sent_to(unbound)[0]).zone, 0);
}

#[test]
fn work_that_is_not_bound_uses_all_runners() {
    let (mut d, mut host) = fleet(told(&[("Categories.0.DcsOnly", "1")]).unwrap());
    let sent = all_sent_to(&mut d, &mut host, UNBOUND, Outcome::Finished);
    assert!((0..RUNNERS).all(|r| sent.contains(&r)), "{sent:?}");
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
        let (mut d, mut host) = fleet(told(&[stays_open]).unwrap());
        d.update_list(host.now, ListUpdate::Full, &[]);
        let work_item = host.take(&mut d, UNBOUND, 5);
        host.pass(&mut d, 0.1);
        assert_eq!(host.sent_to(work_item).is_empty(), binds);
        if !binds {
            let more = host.take(&mut d, UNBOUND, 5);
            assert_ne!(
                host.sent_to(more),
                host.sent_to(work_item),
                "one try at a time"
            );
            host.come(&mut d, work_item, 0, Outcome::Finished);
            let next = host.take(&mut d, UNBOUND, 5);
            assert_eq!(host.sent_to(next), host.sent_to(work_item), "it serves");
        }
    }
}

#[test]
fn one_listed_as_draining_gets_nothing_new_though_it_is_gone_later() {
    let (mut d, mut host) = fleet(told(&[("Safety.DroppedStayOpen", "true")]).unwrap());
    let drains = |r| {
        (
            r,
            Some(ListedRunner {
                ready: false,
                ..placed(r)
            }),
        )
    };
    d.update_list(host.now, ListUpdate::Changes, &[drains(0), drains(1)]);
    d.update_list(host.now, ListUpdate::Changes, &[(0, None)]);
    d.update_list(
        host.now,
        ListUpdate::Full,
        &(2..RUNNERS)
            .map(|r| (r, Some(placed(r))))
            .collect::<Vec<_>>(),
    );
    let sent = all_sent_to(&mut d, &mut host, UNBOUND, Outcome::Finished);
    assert!(sent.iter().all(|r| *r >= 2), "{sent:?}");
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
            let (mut d, mut host) = start(
                PolicyConfig {
                    dispatcher_index: me,
                    ..told(&prices).unwrap()
                },
                100,
            );
            let work_item = host.take(&mut d, UNBOUND, 42);
            host.sent_to(work_item)[0]
        };
        (0..30)
            .map(home)
            .collect::<std::collections::BTreeSet<usize>>()
            .len()
    };
    assert_eq!(homes("0.1"), 1);
    assert!(homes("0") > 1, "each has its own few");
}
