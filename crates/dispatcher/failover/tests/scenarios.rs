//! Scenarios for failover between sites: sites that are lost, that only look lost, that return and that flap; load
//! shedding; checks and forecasts of plans.

use sagetrail_failover::*;

/// A detector for three sites with eight runners each. Runner n is in site n % 3.
fn sites() -> SiteFailureDetector {
    let mut sites = SiteFailureDetector::new(7, 1.0);
    (0..24).for_each(|n| sites.set_runner(n, 1000 + n as u64, (n % 3) as u16, true));
    sites
}

/// One attempt at every runner in use. It fails at the sites in `failed_sites`.
fn try_all(sites: &mut SiteFailureDetector, now_s: f64, failed_sites: &[u16]) {
    let away = sites.excluded_runners();
    (0..24)
        .filter(|n| !away.contains(n))
        .for_each(|n| sites.record_result(now_s, n, !failed_sites.contains(&((n % 3) as u16))));
}

#[test]
fn a_lost_site_is_detected_after_a_few_failures_and_only_its_canary_gets_attempts() {
    let mut sites = sites();
    try_all(&mut sites, 1.0, &[]);
    assert!(sites.update(1.1).is_empty());
    [1, 4]
        .iter()
        .for_each(|n| sites.record_result(1.5, *n, false));
    assert!(
        sites.update(1.5).is_empty(),
        "two of eight runners are not enough"
    );
    [7, 10, 13]
        .iter()
        .for_each(|n| sites.record_result(1.6, *n, false));
    let changed = sites.update(1.6);
    assert_eq!(changed, [(1, SiteHealth::Lost, FailbackStage::Lost)]);
    let away = sites.excluded_runners();
    assert_eq!(away.len(), 7);
    assert!(away.iter().all(|n| n % 3 == 1));
}

#[test]
fn two_sites_can_be_lost_at_once() {
    let mut sites = sites();
    try_all(&mut sites, 1.0, &[]);
    try_all(&mut sites, 2.0, &[0]);
    assert_eq!(sites.update(2.1).len(), 1);
    try_all(&mut sites, 3.0, &[0, 2]);
    assert_eq!(
        sites.update(3.1),
        [(2, SiteHealth::Lost, FailbackStage::Lost)]
    );
    assert_eq!(sites.sites_in_failover().len(), 2);
}

#[test]
fn failures_at_all_sites_are_not_the_loss_of_a_site() {
    let mut sites = sites();
    try_all(&mut sites, 1.0, &[0, 1, 2]);
    assert!(sites.update(1.1).is_empty());
}

#[test]
fn runners_removed_from_the_list_are_not_the_loss_of_a_site() {
    let mut sites = sites();
    try_all(&mut sites, 1.0, &[]);
    (0..24)
        .filter(|n| n % 3 == 1)
        .for_each(|n| sites.set_runner(n, 1000 + n as u64, 1, false));
    try_all(&mut sites, 2.0, &[]);
    assert!(sites.update(2.1).is_empty());
}

#[test]
fn one_failing_runner_is_not_the_loss_of_its_site() {
    let mut sites = sites();
    for round in 0..5 {
        try_all(&mut sites, f64::from(round), &[]);
        sites.record_result(f64::from(round) + 0.1, 4, false);
        assert!(sites.update(f64::from(round) + 0.2).is_empty());
    }
}

#[test]
fn a_site_that_others_reach_is_cut_off_from_here() {
    let mut sites = sites();
    try_all(&mut sites, 1.0, &[]);
    sites.record_peer_result(1.4, 7, true);
    try_all(&mut sites, 1.5, &[1]);
    assert_eq!(
        sites.update(1.6),
        [(1, SiteHealth::Lost, FailbackStage::Lost)],
        "a success elsewhere from before the failure here does not count"
    );
    sites.record_peer_result(1.8, 7, true);
    assert_eq!(
        sites.update(1.9),
        [(1, SiteHealth::UnreachableFromHere, FailbackStage::Lost)]
    );
    assert!(sites.update(2.0).is_empty(), "a change is reported once");
}

#[test]
fn results_of_others_count_where_there_are_no_own_results() {
    let mut sites = sites();
    (0..24).for_each(|n| sites.record_peer_result(1.0, n, n % 3 != 1));
    assert_eq!(
        sites.update(1.1),
        [(1, SiteHealth::Lost, FailbackStage::Lost)]
    );
}

/// Plays attempts at all runners every 0.2 s from 2 s to `until_s`; those at site 1 fail while `fails` says so. Returns
/// the detector and the stages that it reported with their times.
fn play(
    until_s: f64,
    fails: impl Fn(f64) -> bool,
) -> (SiteFailureDetector, Vec<(f64, FailbackStage)>) {
    let mut sites = sites();
    try_all(&mut sites, 1.0, &[]);
    let (mut now_s, mut stages) = (2.0, Vec::new());
    while now_s < until_s {
        try_all(&mut sites, now_s, if fails(now_s) { &[1] } else { &[] });
        stages.extend(
            sites
                .update(now_s)
                .iter()
                .map(|(_, _, stage)| (now_s, *stage)),
        );
        now_s += 0.2;
    }
    (sites, stages)
}

#[test]
fn a_failback_steps_on_successes_and_its_portions_are_the_same_at_every_dispatcher() {
    let (sites, stages) = play(12.0, |now_s| now_s < 4.0);
    let portions: Vec<FailbackStage> = stages.iter().map(|(_, stage)| *stage).collect();
    assert_eq!(
        portions,
        [
            FailbackStage::Lost,
            FailbackStage::Returning(12),
            FailbackStage::Returning(25),
            FailbackStage::Returning(50),
            FailbackStage::Complete
        ]
    );
    assert!(sites.sites_in_failover().is_empty() && sites.excluded_runners().is_empty());
    // Without any exchange between them, two dispatchers' portions differ in their canaries only.
    let excluded = |me: u64| {
        let mut sites = SiteFailureDetector::new(me, 1.0);
        (0..24).for_each(|n| sites.set_runner(n, 1000 + n as u64, (n % 3) as u16, true));
        try_all(&mut sites, 1.0, &[]);
        try_all(&mut sites, 1.5, &[1]);
        sites.update(1.6);
        for step in 0..8 {
            let now_s = 3.0 + 0.4 * f64::from(step);
            try_all(&mut sites, now_s, &[]);
            sites.update(now_s);
        }
        sites.excluded_runners()
    };
    let (first, second) = (excluded(1), excluded(2));
    let differences = first.iter().filter(|n| !second.contains(n)).count()
        + second.iter().filter(|n| !first.contains(n)).count();
    assert!(differences <= 2, "{first:?} {second:?}");
}

#[test]
fn a_site_without_successes_does_not_return_by_elapsed_time() {
    let (sites, stages) = play(60.0, |_| true);
    assert_eq!(stages.len(), 1);
    assert_eq!(sites.excluded_runners().len(), 7);
}

#[test]
fn a_flapping_site_waits_longer_before_each_return() {
    let (_, stages) = play(60.0, |now_s| (now_s as u32 / 3).is_multiple_of(2));
    let returns_s: Vec<f64> = stages
        .iter()
        .filter(|(_, stage)| *stage == FailbackStage::Returning(12))
        .map(|(at, _)| *at)
        .collect();
    assert!(
        returns_s.len() <= 6,
        "{returns_s:?}: without damping there would be ten"
    );
}

#[test]
fn the_lowest_payoff_is_rejected_first_and_each_category_keeps_the_floor() {
    let demand = |slots: f64, payoff_per_slot_s: f64| CategoryDemand {
        slots,
        payoff_per_slot_s,
        shed_position: None,
    };
    let demands = [demand(10.0, 1.0), demand(10.0, 5.0), demand(10.0, 2.0)];
    assert_eq!(admitted_fractions(&demands, 30.0, 0.05), [1.0, 1.0, 1.0]);
    let parts = admitted_fractions(&demands, 21.0, 0.05);
    assert_eq!((parts[1], parts[2]), (1.0, 1.0));
    assert!((parts[0] - 0.1).abs() < 1e-9);
    let parts = admitted_fractions(&demands, 11.0, 0.05);
    assert!(
        parts[1] > 0.99 && (parts[0] - 0.05).abs() < 1e-9 && parts[2] >= 0.05,
        "{parts:?}"
    );
    assert!(admitted_fractions(&demands, 0.0, 0.05)
        .iter()
        .all(|part| *part == 0.05));
    // The plan's order rejects the second first, although it has the highest payoff.
    let ordered = [
        demands[0],
        CategoryDemand {
            shed_position: Some(0),
            ..demands[1]
        },
        demands[2],
    ];
    let parts = admitted_fractions(&ordered, 22.0, 0.0);
    assert!(
        parts[0] == 1.0 && parts[2] == 1.0 && (parts[1] - 0.2).abs() < 1e-9,
        "{parts:?}"
    );
    // Categories of equal rank get the same share.
    let parts = admitted_fractions(&[demand(10.0, 1.0), demand(30.0, 1.0)], 20.0, 0.0);
    assert_eq!(parts, [0.5, 0.5]);
}

fn plan() -> FailoverPlan {
    let site = |name: &str, capacity: f64| PlannedSite {
        name: name.to_string(),
        capacity,
        headroom: None,
        failover_targets: vec![],
    };
    let load = |name: &str, slots: f64, payoff: f64| (name.to_string(), slots, payoff);
    FailoverPlan {
        sites: vec![site("a", 40.0), site("b", 40.0), site("c", 20.0)],
        load: vec![load("cheap", 40.0, 1.0), load("dear", 20.0, 4.0)],
        ..FailoverPlan::default()
    }
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(ToString::to_string).collect()
}

#[test]
fn load_moves_to_the_remaining_sites_in_proportion_to_their_free_capacity() {
    let loss = plan().forecast(&["a"], 0.6);
    assert_eq!(
        loss.admitted_fractions,
        [("cheap".to_string(), 1.0), ("dear".to_string(), 1.0)]
    );
    let moved: f64 = loss.moved_slots.iter().map(|(_, slots)| slots).sum();
    assert!((moved - 0.6 * 60.0 * 0.4).abs() < 1e-9, "{loss:?}");
    assert!(
        (loss.moved_slots[0].1 / loss.moved_slots[1].1 - 2.0).abs() < 1e-9,
        "b has twice the free capacity of c"
    );
    // The load that does not fit is rejected before it moves, the cheap category first.
    let loss = plan().forecast(&["a"], 1.5);
    assert!(
        loss.admitted_fractions[0].1 < 0.6 && loss.admitted_fractions[1].1 == 1.0,
        "{loss:?}"
    );
    let load: f64 = loss.moved_slots.iter().map(|(_, slots)| slots).sum();
    assert!(
        load <= 54.0 - 1.5 * 60.0 * 0.6 + 1e-9,
        "no site gets more than its usable capacity: {loss:?}"
    );
    assert_eq!(plan().forecast_all().len(), 3 * (3 + 3));
}

#[test]
fn a_refuge_is_filled_first_and_up_to_its_usable_capacity() {
    let mut plan = plan();
    plan.sites[0].failover_targets = names(&["c"]);
    let loss = plan.forecast(&["a"], 1.0);
    assert!(
        (loss.moved_slots[1].1 - (18.0 - 12.0)).abs() < 1e-9,
        "c has six free slots: {loss:?}"
    );
    assert!(
        loss.moved_slots[0].1 > 0.0,
        "the remaining load moves to the other sites"
    );
}

#[test]
fn contradictions_in_a_plan_are_errors_and_risks_are_warnings() {
    let (zones, categories) = (names(&["a", "b", "c"]), names(&["cheap", "dear"]));
    let check = |change: &dyn Fn(&mut FailoverPlan)| {
        let mut plan = plan();
        change(&mut plan);
        let findings = plan.check(&zones, &categories);
        findings
            .iter()
            .map(|finding| {
                let text = format!("{}: {}", finding.key, finding.message);
                (finding.is_error, text)
            })
            .collect::<Vec<_>>()
    };
    assert!(check(&|_| ()).is_empty());
    assert!(
        FailoverPlan::default()
            .check(&zones, &categories)
            .is_empty(),
        "an empty plan is valid"
    );
    let expect_error = |change: &dyn Fn(&mut FailoverPlan), expected: &str| {
        let findings = check(change);
        assert!(
            findings
                .iter()
                .any(|(is_error, text)| *is_error && text.contains(expected)),
            "{expected}: {findings:?}"
        );
    };
    expect_error(
        &|plan| plan.sites[0].name = "z".to_string(),
        "'z' is not in zones",
    );
    expect_error(
        &|plan| drop(plan.sites.pop()),
        "'c' is in zones and not in the plan",
    );
    expect_error(
        &|plan| plan.sites[1].capacity = -3.0,
        "-3 slots are no capacity",
    );
    expect_error(&|plan| plan.sites[1].name = "a".to_string(), "stands twice");
    expect_error(
        &|plan| plan.sites[0].failover_targets = names(&["q"]),
        "'q' is not a site",
    );
    expect_error(
        &|plan| plan.shed_order = names(&["dear", "none"]),
        "'none' is not a category",
    );
    expect_error(&|plan| plan.floor = 1.5, "1.5 is not from 0 to 1");
    expect_error(
        &|plan| {
            plan.sites[0].failover_targets = names(&["b"]);
            plan.sites[1].failover_targets = names(&["a"]);
        },
        "refuges go round: a to b to a",
    );
    let warnings = check(&|plan| plan.sites[0].failover_targets = names(&["b"]));
    assert!(
        warnings.iter().all(|(is_error, _)| !is_error) && warnings[0].1.contains("may follow it"),
        "{warnings:?}"
    );
    assert!(check(&|plan| plan.load[0].1 = 95.0)
        .iter()
        .all(|(is_error, _)| !is_error));
}
