//! Verdicts on runners from the evidence of several reporters, and the join of their reports. Guards against healthy
//! runners that are excluded because a reporter is cut off, starved or false, and against a join whose result depends
//! on loss, duplication or order.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_shared_state::*;
use sagetrail_swim::FrameError;

/// Evidence of a reporter, one character for each runner: well (w), bad (b), or not observed (.).
fn evidence_of(seen: &str) -> Vec<Evidence> {
    let evidence = |(runner, what)| match what {
        'w' => Some(Evidence {
            runner,
            successes: 5,
            failures: 0,
            last_success_ago: 5,
            last_failure_ago: u16::MAX,
        }),
        'b' => Some(Evidence {
            runner,
            successes: 1,
            failures: 4,
            last_success_ago: 150,
            last_failure_ago: 10,
        }),
        _ => None,
    };
    (0u64..).zip(seen.chars()).filter_map(evidence).collect()
}

fn evaluate(rules: &EvidenceRules, all: &[(u16, &str)]) -> Vec<(u64, RunnerVerdict)> {
    let evidence: Vec<Vec<Evidence>> = all.iter().map(|(_, seen)| evidence_of(seen)).collect();
    let witnesses: Vec<Witness> = evidence
        .iter()
        .enumerate()
        .map(|(index, seen)| Witness {
            site: all[index].0,
            is_own: index == 0,
            age_s: 0.2,
            evidence: seen,
        })
        .collect();
    let mut sites: Vec<u16> = all.iter().map(|(site, _)| *site).collect();
    sites.sort_unstable();
    sites.dedup();
    rules.evaluate(&witnesses, sites.len())
}

fn unhealthy(all: &[(u16, &str)]) -> Vec<u64> {
    let verdicts = evaluate(&EvidenceRules::default(), all);
    verdicts
        .iter()
        .filter(|(_, verdict)| *verdict == RunnerVerdict::Unhealthy)
        .map(|(runner, _)| *runner)
        .collect()
}

#[test]
fn a_runner_bad_for_reporters_of_two_sites_is_unhealthy_for_a_third_without_observations() {
    assert_eq!(
        unhealthy(&[(0, "www....."), (1, "wwwbwwww"), (2, "wwwbwwww")]),
        [3]
    );
}

#[test]
fn own_failures_count_as_one_reporter() {
    assert_eq!(unhealthy(&[(0, "wwwbwwww"), (1, "wwwbwwww")]), [3]);
    assert_eq!(
        unhealthy(&[(0, "wwwbwwww")]),
        [] as [u64; 0],
        "failures seen by this member alone are left to its own detection"
    );
}

#[test]
fn own_evidence_overrides_reports() {
    assert_eq!(
        unhealthy(&[(0, "wwwwwwww"), (1, "wwwbwwww"), (2, "wwwbwwww")]),
        [] as [u64; 0]
    );
}

#[test]
fn one_reporter_or_one_site_makes_no_runner_unhealthy() {
    assert_eq!(
        unhealthy(&[(0, "www....."), (1, "wwwbwwww"), (2, "wwwwwwww")]),
        [] as [u64; 0]
    );
    assert_eq!(
        unhealthy(&[
            (0, "www....."),
            (1, "wwwbwwww"),
            (1, "wwwbwwww"),
            (1, "wwwbwwww"),
            (2, "wwww.www")
        ]),
        [] as [u64; 0]
    );
}

#[test]
fn failures_of_a_reporter_with_cut_links_do_not_count() {
    assert_eq!(
        unhealthy(&[(0, "........"), (1, "bbbbbbww"), (2, "bbbbbbww")]),
        [] as [u64; 0]
    );
    assert_eq!(
        unhealthy(&[
            (0, "........"),
            (1, "bbbbbbbb"),
            (2, "wwwbwwww"),
            (3, "wwwbwwww")
        ]),
        [3]
    );
}

#[test]
fn work_that_fails_everywhere_blames_no_runner() {
    assert_eq!(
        unhealthy(&[
            (0, "...bbb.."),
            (1, "bbwwwwbb"),
            (2, "bbwwwwbb"),
            (3, "wwbbwwww"),
            (4, "wwbbwwww")
        ]),
        [] as [u64; 0]
    );
}

#[test]
fn reporters_for_and_against_a_runner_have_equal_weight() {
    assert_eq!(
        unhealthy(&[
            (0, "www....."),
            (1, "wwwbwwww"),
            (2, "wwwbwwww"),
            (3, "wwwwwwww")
        ]),
        [] as [u64; 0]
    );
}

#[test]
fn at_most_a_quarter_of_the_runners_is_unhealthy() {
    let bad = "wwwwwwwwwwbbbb";
    assert_eq!(unhealthy(&[(0, ""), (1, bad), (2, bad), (3, bad)]).len(), 3);
}

#[test]
fn a_runner_is_healthy_again_as_soon_as_one_reporter_succeeded() {
    let verdicts = evaluate(
        &EvidenceRules::default(),
        &[(0, "wwwbwwww"), (1, "wwwwwwww"), (2, "www.wwww")],
    );
    assert!(verdicts.contains(&(3, RunnerVerdict::Healthy)));
}

#[test]
fn old_observations_are_ignored() {
    let seen = evidence_of("wwwbwwww");
    let witness = |age_s, site| Witness {
        site,
        is_own: false,
        age_s,
        evidence: &seen,
    };
    let bad = |age_s: f64| {
        let verdicts =
            EvidenceRules::default().evaluate(&[witness(age_s, 1), witness(age_s, 2)], 3);
        verdicts
            .iter()
            .any(|(_, verdict)| *verdict == RunnerVerdict::Unhealthy)
    };
    assert!(bad(0.5));
    assert!(!bad(2.0));
}

#[test]
fn observations_expire_and_the_latest_failure_is_reported_first() {
    let mut observations = Observations::default();
    observations.record(10.0, 1, true);
    observations.record(10.1, 2, false);
    observations.record(10.2, 2, false);
    let evidence = observations.evidence(10.3);
    assert_eq!(
        (
            evidence[0].runner,
            evidence[0].failures,
            evidence[0].last_failure_ago
        ),
        (2, 2, 10)
    );
    assert_eq!(
        (
            evidence[1].runner,
            evidence[1].successes,
            evidence[1].last_failure_ago
        ),
        (1, 1, u16::MAX)
    );
    assert!(observations.evidence(13.6).is_empty());
    for runner in 0..100_000 {
        observations.record(20.0, runner, false);
    }
    assert!(
        observations.evidence(20.0).len() <= 8192,
        "the number of runners is bounded"
    );
}

/// Evaluates a random fleet in which one member is false, cut off in one direction or starved, so that it reports an
/// arbitrary part of the healthy runners as bad. Returns whether no runner is found unhealthy.
fn with_a_false_reporter(seed: u64, rules: &EvidenceRules) -> bool {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (members, runners) = (
        random.random_range(3..9usize),
        random.random_range(4..30usize),
    );
    let mut all = Vec::new();
    for index in 0..members {
        let is_false = index == 1;
        let part = random.random_range(0.0..1.0);
        let seen: String = (0..runners)
            .map(|_| match is_false {
                true if random.random_bool(part) => 'b',
                _ => ['w', 'w', '.'][random.random_range(0..3)],
            })
            .collect();
        all.push(((index % 3) as u16, seen));
    }
    let all: Vec<(u16, &str)> = all
        .iter()
        .map(|(site, seen)| (*site, seen.as_str()))
        .collect();
    evaluate(rules, &all)
        .iter()
        .all(|(_, verdict)| *verdict != RunnerVerdict::Unhealthy)
}

#[test]
fn ten_thousand_false_reporters_make_no_runner_unhealthy() {
    for seed in 0..10_000 {
        assert!(
            with_a_false_reporter(seed, &EvidenceRules::default()),
            "seed {seed}"
        );
    }
    let single_reporter_rules = EvidenceRules {
        reporters: 1,
        sites: 1,
        own_fault: 1.0,
        ..EvidenceRules::default()
    };
    assert!(
        (0..1000).any(|seed| !with_a_false_reporter(seed, &single_reporter_rules)),
        "rules that believe a single reporter must fail this test"
    );
}

#[test]
fn in_ten_thousand_random_fleets_at_most_a_quarter_of_the_runners_is_unhealthy() {
    for seed in 0..10_000 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let runners = random.random_range(4..40usize);
        let bad = random.random_range(0.0..1.0);
        let is_bad: Vec<bool> = (0..runners).map(|_| random.random_bool(bad)).collect();
        let mut all = Vec::new();
        for index in 0..random.random_range(3..9u16) {
            let seen: String = is_bad
                .iter()
                .map(|is_bad| match random.random_range(0..4) {
                    0 => '.',
                    _ if *is_bad => 'b',
                    _ => 'w',
                })
                .collect();
            all.push((index % 3, if index == 0 { String::new() } else { seen }));
        }
        let all: Vec<(u16, &str)> = all
            .iter()
            .map(|(site, seen)| (*site, seen.as_str()))
            .collect();
        let out = unhealthy(&all);
        assert!(
            4 * out.len() <= runners,
            "seed {seed}: {} of {runners}",
            out.len()
        );
        assert!(
            out.iter().all(|runner| is_bad[*runner as usize]),
            "seed {seed}: a healthy runner is excluded"
        );
    }
}

// ---- reports ----

fn report(member: u64, incarnation: u64, version: u64, arrivals: u64) -> Report {
    Report {
        member,
        process: incarnation,
        incarnation,
        version,
        age_ms: 0,
        arrivals: vec![arrivals],
        peaks: vec![3],
        running: vec![(5, 2)],
        running_all: 2,
        evidence: Vec::new(),
    }
}

/// A valid report: its counts grow with the version within one incarnation.
fn any_report() -> impl Strategy<Value = Report> {
    (1u64..4, 1u64..4, 1u64..6).prop_map(|(member, incarnation, version)| {
        report(member, incarnation, version, 10 * incarnation + version)
    })
}

fn joined(reports: &[Report]) -> (Vec<Digest>, ArrivalEstimate) {
    let mut all = ReportTable::default();
    reports
        .iter()
        .for_each(|report| all.join(0.0, report.clone()).unwrap());
    (all.digest(), all.arrivals(0.0, 0))
}

proptest! {
    #[test]
    fn the_join_is_independent_of_loss_duplication_and_order(
        reports in proptest::collection::vec(any_report(), 0..24), seed in any::<u64>()
    ) {
        let once = joined(&reports);
        let mut again = reports.clone();
        again.extend(reports.clone());
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        (1..again.len()).for_each(|at| again.swap(at, random.random_range(0..=at)));
        prop_assert_eq!(joined(&again), once);
    }

    #[test]
    fn exchanging_the_missing_reports_makes_both_tables_equal(
        a in proptest::collection::vec(any_report(), 0..12),
        b in proptest::collection::vec(any_report(), 0..12),
    ) {
        let (mut left, mut right) = (ReportTable::default(), ReportTable::default());
        a.into_iter().for_each(|report| left.join(0.0, report).unwrap());
        b.into_iter().for_each(|report| right.join(0.0, report).unwrap());
        let (to_right, to_left) = (left.missing_from(0.0, &right.digest()), right.missing_from(0.0, &left.digest()));
        let (from_left, from_right) = (left.counts(), right.counts());
        to_right.into_iter().for_each(|report| right.join(0.0, report).unwrap());
        to_left.into_iter().for_each(|report| left.join(0.0, report).unwrap());
        assert_eq!(right.join_counts(from_left), Ok(()));
        assert_eq!(left.join_counts(from_right), Ok(()));
        prop_assert_eq!(left.digest(), right.digest());
        prop_assert_eq!(left.arrivals(0.0, 0), right.arrivals(0.0, 0));
    }
}

#[test]
fn an_estimate_of_arrivals_states_its_maximum_error() {
    let mut all = ReportTable::default();
    all.join(10.0, report(1, 1, 1, 100)).unwrap();
    all.join(12.0, report(2, 1, 1, 50)).unwrap();
    let estimate = all.arrivals(14.0, 0);
    assert_eq!((estimate.sum, estimate.members), (150, 2));
    assert_eq!(
        estimate.max_error,
        2 * 3 * 4 + 2 * 3 * 2,
        "twice the rate of the busiest second of each member, for the age of its report"
    );
    assert_eq!(estimate.oldest_s, 4.0);
    assert_eq!(all.running(14.0, 3.0), (2, 1));
    assert_eq!(all.running_at(14.0, 60.0, 5), 4);
}

#[test]
fn decreasing_counts_and_invalid_values_are_rejected() {
    let mut all = ReportTable::default();
    assert_eq!(all.join(0.0, report(1, 1, 5, 100)), Ok(()));
    assert_eq!(
        all.join(0.0, report(1, 1, 6, 99)),
        Err(FrameError::InvalidValue)
    );
    assert_eq!(
        all.join(0.0, report(1, 1, 4, 99)),
        Ok(()),
        "an older report is only late"
    );
    assert_eq!(
        all.join(0.0, report(2, 1, 1, u64::MAX)),
        Err(FrameError::InvalidValue)
    );
    let unordered = Report {
        running: vec![(5, 1), (5, 2)],
        ..report(2, 1, 1, 1)
    };
    assert_eq!(all.join(0.0, unordered), Err(FrameError::InvalidValue));
    let long = Report {
        arrivals: vec![0; 100_000],
        peaks: vec![0; 100_000],
        ..report(2, 1, 1, 1)
    };
    assert_eq!(all.join(0.0, long), Err(FrameError::InvalidValue));
    assert_eq!(all.digest().len(), 1);
}
