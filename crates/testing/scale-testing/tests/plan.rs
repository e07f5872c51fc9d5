//! The load as it is drawn.

use std::path::Path;

use sagetrail_scale_testing::plan::{draw, TaskText};
use sagetrail_scale_testing::scenario::Scenario;

fn scenario(name: &str) -> Scenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../examples/scale");
    Scenario::load(&folder.join(name)).expect("a sound scenario")
}

#[test]
fn all_example_scenarios_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../examples/scale");
    let mut files = 0;
    for entry in std::fs::read_dir(folder).expect("the examples") {
        let path = entry.expect("an entry").path();
        Scenario::load(&path).unwrap_or_else(|error| panic!("{}: {error:#}", path.display()));
        files += 1;
    }
    assert!(files > 0);
}

#[test]
fn the_same_seed_draws_the_same_load_and_another_one_does_not() {
    let mut scenario = scenario("mixed.toml");
    let first = draw(&scenario);
    assert_eq!(first, draw(&scenario));
    scenario.seed += 1;
    assert_ne!(first, draw(&scenario));
}

#[test]
fn jobs_are_sorted_and_come_at_about_the_rate() {
    let mut scenario = scenario("mixed.toml");
    scenario.workers = 3_100;
    let jobs = draw(&scenario);
    assert!(jobs.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let seconds = scenario.warm_up_s + scenario.measured_s;
    let rate: f64 = scenario.job.iter().map(|shape| scenario.rate(shape)).sum();
    let expected = rate * seconds;
    assert!(
        (jobs.len() as f64 - expected).abs() < 0.1 * expected,
        "{} of {expected}",
        jobs.len()
    );
    assert!((scenario.starts_a_second() - 1_100.0).abs() < 20.0);
}

#[test]
fn a_task_text_is_read_as_written() {
    let text = TaskText {
        work_ms: 700,
        gang: 16,
    };
    assert_eq!(TaskText::read(&text.write()), Some(text));
    assert_eq!(TaskText::read("no task"), None);
}
