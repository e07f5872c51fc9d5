//! What is heard of runners: who is believed, and who is not.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_shared_state::*;
use sagetrail_swim::FrameError;

/// A reporter of a site that saw runners well (w), bad (b), or not at all (.).
fn sights(seen: &str) -> Vec<Evidence> {
    let told = |(of, what)| match what {
        'w' => Some(Evidence {
            runner: of,
            successes: 5,
            failures: 0,
            last_success_ago: 5,
            last_failure_ago: u16::MAX,
        }),
        'b' => Some(Evidence {
            runner: of,
            successes: 1,
            failures: 4,
            last_success_ago: 150,
            last_failure_ago: 10,
        }),
        _ => None,
    };
    (0u64..).zip(seen.chars()).filter_map(told).collect()
}

fn evaluate(rules: &EvidenceRules, all: &[(u16, &str)]) -> Vec<(u64, RunnerVerdict)> {
    let told: Vec<Vec<Evidence>> = all.iter().map(|(_, seen)| sights(seen)).collect();
    let witnesses: Vec<Witness> = told
        .iter()
        .enumerate()
        .map(|(n, seen)| Witness {
            site: all[n].0,
            is_own: n == 0,
            age_s: 0.2,
            evidence: seen,
        })
        .collect();
    let mut sites: Vec<u16> = all.iter().map(|(site, _)| *site).collect();
    sites.sort_unstable();
    sites.dedup();
    rules.evaluate(&witnesses, sites.len())
}

fn unwell(all: &[(u16, &str)]) -> Vec<u64> {
    let heard = evaluate(&EvidenceRules::default(), all);
    heard
        .iter()
        .filter(|(_, heard)| *heard == RunnerVerdict::Unhealthy)
        .map(|(of, _)| *of)
        .collect()
}

#[test]
fn what_two_of_two_sites_find_bad_is_unwell_for_a_third_that_has_not_seen_it() {
    assert_eq!(
        unwell(&[(0, "www....."), (1, "wwwbwwww"), (2, "wwwbwwww")]),
        [3]
    );
}

#[test]
fn ones_own_bad_sights_are_those_of_one_reporter() {
    assert_eq!(unwell(&[(0, "wwwbwwww"), (1, "wwwbwwww")]), [3]);
    assert_eq!(
        unwell(&[(0, "wwwbwwww")]),
        [] as [u64; 0],
        "but alone they are its own test's"
    );
}

#[test]
fn own_evidence_goes_before_what_is_heard() {
    assert_eq!(
        unwell(&[(0, "wwwwwwww"), (1, "wwwbwwww"), (2, "wwwbwwww")]),
        [] as [u64; 0]
    );
}

#[test]
fn one_reporter_or_one_site_shuts_nobody_out() {
    assert_eq!(
        unwell(&[(0, "www....."), (1, "wwwbwwww"), (2, "wwwwwwww")]),
        [] as [u64; 0]
    );
    assert_eq!(
        unwell(&[
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
fn a_reporter_whose_own_links_are_cut_is_not_believed() {
    assert_eq!(
        unwell(&[(0, "........"), (1, "bbbbbbww"), (2, "bbbbbbww")]),
        [] as [u64; 0]
    );
    assert_eq!(
        unwell(&[
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
        unwell(&[
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
fn who_finds_it_well_weighs_as_much_as_who_does_not() {
    assert_eq!(
        unwell(&[
            (0, "www....."),
            (1, "wwwbwwww"),
            (2, "wwwbwwww"),
            (3, "wwwwwwww")
        ]),
        [] as [u64; 0]
    );
}

#[test]
fn never_more_than_a_quarter_is_out() {
    let bad = "wwwwwwwwwwbbbb";
    assert_eq!(unwell(&[(0, ""), (1, bad), (2, bad), (3, bad)]).len(), 3);
}

#[test]
fn back_in_service_is_heard_as_soon_as_one_served() {
    let heard = evaluate(
        &EvidenceRules::default(),
        &[(0, "wwwbwwww"), (1, "wwwwwwww"), (2, "www.wwww")],
    );
    assert!(heard.contains(&(3, RunnerVerdict::Healthy)));
}

#[test]
fn old_sights_say_nothing() {
    let seen = sights("wwwbwwww");
    let witness = |age_s, site| Witness {
        site,
        is_own: false,
        age_s,
        evidence: &seen,
    };
    let bad = |age_s: f64| {
        let heard = EvidenceRules::default().evaluate(&[witness(age_s, 1), witness(age_s, 2)], 3);
        heard
            .iter()
            .any(|(_, heard)| *heard == RunnerVerdict::Unhealthy)
    };
    assert!(bad(0.5));
    assert!(!bad(2.0));
}

#[test]
fn sights_fade_and_the_latest_trouble_is_told_first() {
    let mut observations = Observations::default();
    observations.record(10.0, 1, true);
    observations.record(10.1, 2, false);
    observations.record(10.2, 2, false);
    let told = observations.evidence(10.3);
    assert_eq!(
        (told[0].runner, told[0].failures, told[0].last_failure_ago),
        (2, 2, 10)
    );
    assert_eq!(
        (told[1].runner, told[1].successes, told[1].last_failure_ago),
        (1, 1, u16::MAX)
    );
    assert!(observations.evidence(13.6).is_empty());
    for of in 0..100_000 {
        observations.record(20.0, of, false);
    }
    assert!(observations.evidence(20.0).len() <= 8192, "bounded");
}

/// A fleet of which one member lies, is cut one way or is starved, in any way it likes.
fn with_a_liar(seed: u64, rules: &EvidenceRules) -> bool {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let (members, runners) = (
        chance.random_range(3..9usize),
        chance.random_range(4..30usize),
    );
    let mut all = Vec::new();
    for n in 0..members {
        let liar = n == 1;
        let part = chance.random_range(0.0..1.0);
        let seen: String = (0..runners)
            .map(|_| match liar {
                true if chance.random_bool(part) => 'b',
                _ => ['w', 'w', '.'][chance.random_range(0..3)],
            })
            .collect();
        all.push(((n % 3) as u16, seen));
    }
    let all: Vec<(u16, &str)> = all
        .iter()
        .map(|(site, seen)| (*site, seen.as_str()))
        .collect();
    evaluate(rules, &all)
        .iter()
        .all(|(_, heard)| *heard != RunnerVerdict::Unhealthy)
}

#[test]
fn ten_thousand_liars_shut_nobody_out() {
    for seed in 0..10_000 {
        assert!(with_a_liar(seed, &EvidenceRules::default()), "seed {seed}");
    }
    let gullible = EvidenceRules {
        reporters: 1,
        sites: 1,
        own_fault: 1.0,
        ..EvidenceRules::default()
    };
    assert!(
        (0..1000).any(|seed| !with_a_liar(seed, &gullible)),
        "a broken rules is caught"
    );
}

#[test]
fn in_ten_thousand_fleets_no_more_is_out_than_stated() {
    for seed in 0..10_000 {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let runners = chance.random_range(4..40usize);
        let bad = chance.random_range(0.0..1.0);
        let ill: Vec<bool> = (0..runners).map(|_| chance.random_bool(bad)).collect();
        let mut all = Vec::new();
        for n in 0..chance.random_range(3..9u16) {
            let seen: String = ill
                .iter()
                .map(|ill| match chance.random_range(0..4) {
                    0 => '.',
                    _ if *ill => 'b',
                    _ => 'w',
                })
                .collect();
            all.push((n % 3, if n == 0 { String::new() } else { seen }));
        }
        let all: Vec<(u16, &str)> = all
            .iter()
            .map(|(site, seen)| (*site, seen.as_str()))
            .collect();
        let out = unwell(&all);
        assert!(
            4 * out.len() <= runners,
            "seed {seed}: {} of {runners}",
            out.len()
        );
        assert!(
            out.iter().all(|of| ill[*of as usize]),
            "seed {seed}: a well one is out"
        );
    }
}

// ---- reports ----

fn report(who: u64, incarnation: u64, version: u64, arrivals: u64) -> Report {
    Report {
        member: who,
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

/// ReportTable that can be: sums grow with the version within one incarnation.
fn any_report() -> impl Strategy<Value = Report> {
    (1u64..4, 1u64..4, 1u64..6)
        .prop_map(|(who, inc, version)| report(who, inc, version, 10 * inc + version))
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
    fn the_join_bears_loss_doubling_and_reordering(
        reports in proptest::collection::vec(any_report(), 0..24), seed in any::<u64>()
    ) {
        let once = joined(&reports);
        let mut again = reports.clone();
        again.extend(reports.clone());
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        (1..again.len()).for_each(|at| again.swap(at, chance.random_range(0..=at)));
        prop_assert_eq!(joined(&again), once);
    }

    #[test]
    fn what_is_beyond_a_digest_makes_both_alike(
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
fn a_count_says_how_far_off_it_may_be() {
    let mut all = ReportTable::default();
    all.join(10.0, report(1, 1, 1, 100)).unwrap();
    all.join(12.0, report(2, 1, 1, 50)).unwrap();
    let told = all.arrivals(14.0, 0);
    assert_eq!((told.sum, told.members), (150, 2));
    assert_eq!(
        told.max_error,
        2 * 3 * 4 + 2 * 3 * 2,
        "twice its busiest second, since it was heard"
    );
    assert_eq!(told.oldest_s, 4.0);
    assert_eq!(all.running(14.0, 3.0), (2, 1));
    assert_eq!(all.running_at(14.0, 60.0, 5), 4);
}

#[test]
fn a_sum_that_runs_backwards_or_a_figure_that_cannot_be_is_refused() {
    let mut all = ReportTable::default();
    assert_eq!(all.join(0.0, report(1, 1, 5, 100)), Ok(()));
    assert_eq!(
        all.join(0.0, report(1, 1, 6, 99)),
        Err(FrameError::InvalidValue)
    );
    assert_eq!(
        all.join(0.0, report(1, 1, 4, 99)),
        Ok(()),
        "an older one is only late"
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
