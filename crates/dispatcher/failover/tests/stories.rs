//! Stories of sites that are lost, look lost, come back and flap; of what is refused; of plans.

use sagetrail_failover::*;

/// Three sites of eight runners; runner n is in site n % 3.
fn sites() -> Sites {
    let mut sites = Sites::new(7, 1.0);
    (0..24).for_each(|n| sites.listed(n, 1000 + n as u64, (n % 3) as u16, true));
    sites
}

/// Every runner is tried once; `bad` says at which sites it fails.
fn all_tried(sites: &mut Sites, now: f64, bad: &[u16]) {
    let away = sites.away();
    (0..24)
        .filter(|n| !away.contains(n))
        .for_each(|n| sites.saw(now, n, !bad.contains(&((n % 3) as u16))));
}

#[test]
fn a_lost_site_is_known_after_a_few_failures_and_gets_nothing_but_a_scout() {
    let mut sites = sites();
    all_tried(&mut sites, 1.0, &[]);
    assert!(sites.look(1.1).is_empty());
    [1, 4].iter().for_each(|n| sites.saw(1.5, *n, false));
    assert!(sites.look(1.5).is_empty(), "two of eight");
    [7, 10, 13].iter().for_each(|n| sites.saw(1.6, *n, false));
    let looked = sites.look(1.6);
    assert_eq!(looked, [(1, Cause::Lost, Stage::Lost)]);
    let away = sites.away();
    assert_eq!(away.len(), 7);
    assert!(away.iter().all(|n| n % 3 == 1));
}

#[test]
fn two_sites_at_once_are_two_losses() {
    let mut sites = sites();
    all_tried(&mut sites, 1.0, &[]);
    all_tried(&mut sites, 2.0, &[0]);
    assert_eq!(sites.look(2.1).len(), 1);
    all_tried(&mut sites, 3.0, &[0, 2]);
    assert_eq!(sites.look(3.1), [(2, Cause::Lost, Stage::Lost)]);
    assert_eq!(sites.troubled().len(), 2);
}

#[test]
fn a_crowd_or_work_that_fails_anywhere_is_no_loss() {
    let mut sites = sites();
    all_tried(&mut sites, 1.0, &[0, 1, 2]);
    assert!(sites.look(1.1).is_empty());
}

#[test]
fn a_list_that_lost_half_its_entries_is_no_loss() {
    let mut sites = sites();
    all_tried(&mut sites, 1.0, &[]);
    (0..24)
        .filter(|n| n % 3 == 1)
        .for_each(|n| sites.listed(n, 1000 + n as u64, 1, false));
    all_tried(&mut sites, 2.0, &[]);
    assert!(sites.look(2.1).is_empty());
}

#[test]
fn one_unwell_runner_is_its_own_trouble() {
    let mut sites = sites();
    for round in 0..5 {
        all_tried(&mut sites, f64::from(round), &[]);
        sites.saw(f64::from(round) + 0.1, 4, false);
        assert!(sites.look(f64::from(round) + 0.2).is_empty());
    }
}

#[test]
fn where_others_reach_it_the_cut_is_here() {
    let mut sites = sites();
    all_tried(&mut sites, 1.0, &[]);
    sites.heard(1.4, 7, true);
    all_tried(&mut sites, 1.5, &[1]);
    assert_eq!(
        sites.look(1.6),
        [(1, Cause::Lost, Stage::Lost)],
        "what others saw before says nothing"
    );
    sites.heard(1.8, 7, true);
    assert_eq!(sites.look(1.9), [(1, Cause::CutFromHere, Stage::Lost)]);
    assert!(sites.look(2.0).is_empty(), "told once");
}

#[test]
fn what_others_saw_counts_where_nothing_was_seen_here() {
    let mut sites = sites();
    (0..24).for_each(|n| sites.heard(1.0, n, n % 3 != 1));
    assert_eq!(sites.look(1.1), [(1, Cause::Lost, Stage::Lost)]);
}

/// The site is lost at 2 s; what then becomes of it, seen each 0.2 s.
fn after(until: f64, bad: impl Fn(f64) -> bool) -> (Sites, Vec<(f64, Stage)>) {
    let mut sites = sites();
    all_tried(&mut sites, 1.0, &[]);
    let (mut now, mut stages) = (2.0, Vec::new());
    while now < until {
        all_tried(&mut sites, now, if bad(now) { &[1] } else { &[] });
        stages.extend(sites.look(now).iter().map(|(_, _, stage)| (now, *stage)));
        now += 0.2;
    }
    (sites, stages)
}

#[test]
fn a_return_grows_by_what_was_served_and_the_portions_are_the_same_everywhere() {
    let (sites, stages) = after(12.0, |now| now < 4.0);
    let portions: Vec<Stage> = stages.iter().map(|(_, stage)| *stage).collect();
    assert_eq!(
        portions,
        [
            Stage::Lost,
            Stage::Returning(12),
            Stage::Returning(25),
            Stage::Returning(50),
            Stage::Whole
        ]
    );
    assert!(sites.troubled().is_empty() && sites.away().is_empty());
    // Without a look at the clock of another: two dispatchers' portions differ in their scouts alone.
    let portion = |me: u64| {
        let mut sites = Sites::new(me, 1.0);
        (0..24).for_each(|n| sites.listed(n, 1000 + n as u64, (n % 3) as u16, true));
        all_tried(&mut sites, 1.0, &[]);
        all_tried(&mut sites, 1.5, &[1]);
        sites.look(1.6);
        for step in 0..8 {
            let now = 3.0 + 0.4 * f64::from(step);
            all_tried(&mut sites, now, &[]);
            sites.look(now);
        }
        sites.away()
    };
    let (a, b) = (portion(1), portion(2));
    let differ =
        a.iter().filter(|n| !b.contains(n)).count() + b.iter().filter(|n| !a.contains(n)).count();
    assert!(differ <= 2, "{a:?} {b:?}");
}

#[test]
fn a_site_that_serves_nothing_does_not_come_back_by_the_clock() {
    let (sites, stages) = after(60.0, |_| true);
    assert_eq!(stages.len(), 1);
    assert_eq!(sites.away().len(), 7);
}

#[test]
fn one_that_flaps_waits_longer_each_time() {
    let (_, stages) = after(60.0, |now| (now as u32 / 3).is_multiple_of(2));
    let begins: Vec<f64> = stages
        .iter()
        .filter(|(_, stage)| *stage == Stage::Returning(12))
        .map(|(at, _)| *at)
        .collect();
    assert!(
        begins.len() <= 6,
        "{begins:?}: ten would be without damping"
    );
}

#[test]
fn what_pays_least_for_its_slots_is_refused_first_and_each_keeps_a_floor() {
    let demand = |slots: f64, worth: f64| Demand {
        slots,
        worth,
        order: None,
    };
    let demands = [demand(10.0, 1.0), demand(10.0, 5.0), demand(10.0, 2.0)];
    assert_eq!(admitted(&demands, 30.0, 0.05), [1.0, 1.0, 1.0]);
    let parts = admitted(&demands, 21.0, 0.05);
    assert_eq!((parts[1], parts[2]), (1.0, 1.0));
    assert!((parts[0] - 0.1).abs() < 1e-9);
    let parts = admitted(&demands, 11.0, 0.05);
    assert!(
        parts[1] > 0.99 && (parts[0] - 0.05).abs() < 1e-9 && parts[2] >= 0.05,
        "{parts:?}"
    );
    assert!(admitted(&demands, 0.0, 0.05)
        .iter()
        .all(|part| *part == 0.05));
    // Said by the plan: the second goes first, though it pays most.
    let said = [
        demands[0],
        Demand {
            order: Some(0),
            ..demands[1]
        },
        demands[2],
    ];
    let parts = admitted(&said, 22.0, 0.0);
    assert!(
        parts[0] == 1.0 && parts[2] == 1.0 && (parts[1] - 0.2).abs() < 1e-9,
        "{parts:?}"
    );
    // Between equals the same part of each.
    let parts = admitted(&[demand(10.0, 1.0), demand(30.0, 1.0)], 20.0, 0.0);
    assert_eq!(parts, [0.5, 0.5]);
}

fn plan() -> Plan {
    let site = |name: &str, capacity: f64| Site {
        name: name.to_string(),
        capacity,
        headroom: None,
        refuge: vec![],
    };
    let load = |name: &str, slots: f64, worth: f64| (name.to_string(), slots, worth);
    Plan {
        sites: vec![site("a", 40.0), site("b", 40.0), site("c", 20.0)],
        load: vec![load("cheap", 40.0, 1.0), load("dear", 20.0, 4.0)],
        ..Plan::default()
    }
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(ToString::to_string).collect()
}

#[test]
fn load_goes_to_all_that_remain_by_what_they_have_to_spare() {
    let loss = plan().loss(&["a"], 0.6);
    assert_eq!(
        loss.admitted,
        [("cheap".to_string(), 1.0), ("dear".to_string(), 1.0)]
    );
    let moved: f64 = loss.moved.iter().map(|(_, slots)| slots).sum();
    assert!((moved - 0.6 * 60.0 * 0.4).abs() < 1e-9, "{loss:?}");
    assert!(
        (loss.moved[0].1 / loss.moved[1].1 - 2.0).abs() < 1e-9,
        "b has twice c's room"
    );
    // What does not fit is refused before it moves, the cheap first.
    let loss = plan().loss(&["a"], 1.5);
    assert!(
        loss.admitted[0].1 < 0.6 && loss.admitted[1].1 == 1.0,
        "{loss:?}"
    );
    let load: f64 = loss.moved.iter().map(|(_, slots)| slots).sum();
    assert!(
        load <= 54.0 - 1.5 * 60.0 * 0.6 + 1e-9,
        "nobody is pushed over what it bears: {loss:?}"
    );
    assert_eq!(plan().losses().len(), 3 * (3 + 3));
}

#[test]
fn a_refuge_is_filled_first_and_no_further_than_it_bears() {
    let mut plan = plan();
    plan.sites[0].refuge = names(&["c"]);
    let loss = plan.loss(&["a"], 1.0);
    assert!(
        (loss.moved[1].1 - (18.0 - 12.0)).abs() < 1e-9,
        "c has six slots to spare: {loss:?}"
    );
    assert!(loss.moved[0].1 > 0.0, "the rest goes on");
}

#[test]
fn contradictions_are_wrong_and_what_is_only_unwise_is_a_warning() {
    let (zones, categories) = (names(&["a", "b", "c"]), names(&["cheap", "dear"]));
    let check = |change: &dyn Fn(&mut Plan)| {
        let mut plan = plan();
        change(&mut plan);
        let found = plan.check(&zones, &categories);
        found
            .iter()
            .map(|f| (f.wrong, format!("{}: {}", f.place, f.why)))
            .collect::<Vec<_>>()
    };
    assert!(check(&|_| ()).is_empty());
    assert!(
        Plan::default().check(&zones, &categories).is_empty(),
        "an empty plan works"
    );
    let wrong = |change: &dyn Fn(&mut Plan), what: &str| {
        let found = check(change);
        assert!(
            found
                .iter()
                .any(|(wrong, why)| *wrong && why.contains(what)),
            "{what}: {found:?}"
        );
    };
    wrong(
        &|plan| plan.sites[0].name = "z".to_string(),
        "'z' is not in zones",
    );
    wrong(
        &|plan| drop(plan.sites.pop()),
        "'c' is in zones and not in the plan",
    );
    wrong(
        &|plan| plan.sites[1].capacity = -3.0,
        "-3 slots are no capacity",
    );
    wrong(&|plan| plan.sites[1].name = "a".to_string(), "stands twice");
    wrong(
        &|plan| plan.sites[0].refuge = names(&["q"]),
        "'q' is not a site",
    );
    wrong(
        &|plan| plan.order = names(&["dear", "none"]),
        "'none' is not a category",
    );
    wrong(&|plan| plan.floor = 1.5, "1.5 is not from 0 to 1");
    wrong(
        &|plan| {
            plan.sites[0].refuge = names(&["b"]);
            plan.sites[1].refuge = names(&["a"]);
        },
        "refuges go round: a to b to a",
    );
    let unwise = check(&|plan| plan.sites[0].refuge = names(&["b"]));
    assert!(
        unwise.iter().all(|(wrong, _)| !wrong) && unwise[0].1.contains("may follow it"),
        "{unwise:?}"
    );
    assert!(check(&|plan| plan.load[0].1 = 95.0)
        .iter()
        .all(|(wrong, _)| !wrong));
}
