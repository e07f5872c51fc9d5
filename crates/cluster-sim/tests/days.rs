//! Whole days of the real processes.
use sagetrail_cluster_sim::report::Report;
use sagetrail_cluster_sim::scenario::Scenario;

/// Names how many troubled days are played.
const SEEDS_VARIABLE: &str = "SAGETRAIL_SIM_SEEDS";
/// So many are played where nothing is said.
const USUAL_SEEDS: u64 = 12;

fn assert_keeps_all(seed: u64, report: &Report) {
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    assert!(report.codec_faults.is_empty(), "seed {seed}: {:#?}", report.codec_faults);
}

#[test]
fn a_calm_day_completes_all_jobs() {
    let scenario = Scenario { failing: 0.0, poison: 0.0, ..Scenario::calm(7) };
    let report = scenario.run();
    assert_keeps_all(7, &report);
    assert_eq!(report.accepted, report.submitted);
    assert_eq!(report.completed + report.cancelled, report.submitted);
    assert_eq!(report.failed, 0);
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let first = Scenario::troubled(11).run();
    let second = Scenario::troubled(11).run();
    assert_eq!(first.history.seen, second.history.seen);
    assert_eq!(first.messages, second.messages);
    assert_eq!(first.message_bytes, second.message_bytes);
}

#[test]
fn troubled_days_break_no_rule() {
    let asked = std::env::var(SEEDS_VARIABLE).ok().and_then(|count| count.parse().ok());
    for seed in 1..=asked.unwrap_or(USUAL_SEEDS) {
        assert_keeps_all(seed, &Scenario::troubled(seed).run());
    }
}
