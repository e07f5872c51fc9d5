//! Simulated workers with the real processes. Guards against accepted jobs that do not run and against tasks that run
//! twice at the same time.

use std::path::Path;

use sagetrail_scale_testing::run::play_scenario;
use sagetrail_scale_testing::scenario::Scenario;

#[test]
fn simulated_workers_complete_a_small_load() {
    let programs = Path::new(env!("CARGO_BIN_EXE_sagetrail-core"))
        .parent()
        .expect("a folder");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../examples/scale/small.toml");
    let scenario = Scenario::load(&example).expect("a sound scenario");
    let results = play_scenario(scenario, programs, &std::env::temp_dir()).expect("a run");
    assert!(results.counts.accepted > 0, "{:?}", results.counts);
    assert_eq!(results.counts.open_jobs_at_end, 0, "{:?}", results.counts);
    assert_eq!(results.counts.refused, 0, "{:?}", results.counts);
    assert_eq!(results.counts.double_starts, 0, "{:?}", results.counts);
    let change_in_force = results
        .timings
        .iter()
        .find(|row| row.timing == "change_to_in_force");
    assert!(
        change_in_force.is_some_and(|row| row.count > 0),
        "no change came into force"
    );
    let folder = tempfile::tempdir().expect("a folder");
    results.write(folder.path()).expect("written");
    for ending in [
        ".json",
        ".html",
        "-timings.csv",
        "-usage.csv",
        "-course.csv",
        "-takeovers.csv",
    ] {
        assert!(
            folder.path().join(format!("small-6{ending}")).exists(),
            "{ending}"
        );
    }
}
