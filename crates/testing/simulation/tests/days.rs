//! Whole days of the real processes.

use sagetrail_protocol::NodeId;
use sagetrail_simulation::cluster::PlannedFault;
use sagetrail_simulation::engine::{MILLISECOND, SECOND};
use sagetrail_simulation::faults::Fault;
use sagetrail_simulation::report::Report;
use sagetrail_simulation::scenario::Scenario;
use std::ops::RangeInclusive;

/// Names how many hit by faults days are played.
const SEEDS_VARIABLE: &str = "SAGETRAIL_SIM_SEEDS";
/// So many days of a test are played at once.
const AT_ONCE: u64 = 4;
/// So many are played where nothing is said.
const USUAL_SEEDS: u64 = 12;

fn assert_keeps_all(seed: u64, report: &Report) {
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    assert!(
        report.codec_faults.is_empty(),
        "seed {seed}: {:#?}",
        report.codec_faults
    );
}

#[test]
fn a_calm_day_completes_all_jobs() {
    let scenario = Scenario {
        failing: 0.0,
        poison: 0.0,
        ..Scenario::calm(7)
    };
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
    assert_eq!(first.history.observations, second.history.observations);
    assert_eq!(first.messages, second.messages);
    assert_eq!(first.message_bytes, second.message_bytes);
    assert_eq!(first.digest, second.digest);
}

/// Plays the days of these seeds, several at once.
fn assert_all_keep_all(seeds: RangeInclusive<u64>, scenario: fn(u64) -> Scenario) {
    let play = |first: u64| {
        for seed in seeds.clone().filter(|seed| seed % AT_ONCE == first) {
            assert_keeps_all(seed, &scenario(seed).run());
        }
    };
    std::thread::scope(|scope| {
        for first in 0..AT_ONCE {
            scope.spawn(move || play(first));
        }
    });
}

fn asked_seeds() -> RangeInclusive<u64> {
    let asked = std::env::var(SEEDS_VARIABLE)
        .ok()
        .and_then(|count| count.parse().ok());
    1..=asked.unwrap_or(USUAL_SEEDS)
}

#[test]
fn days_with_faults_break_no_rule() {
    assert_all_keep_all(asked_seeds(), Scenario::troubled);
}

#[test]
fn no_job_stands_still_on_pressed_days() {
    assert_all_keep_all(asked_seeds(), Scenario::pressed);
    assert_all_keep_all(1..=4, |seed| Scenario {
        random_faults: false,
        ..Scenario::pressed(seed)
    });
}

#[test]
fn clients_are_served_again_after_a_loss_of_all_power() {
    assert_all_keep_all(asked_seeds(), Scenario::recovering);
}

/// Each second core machine in turn, planned and not.
fn replacements(scenario: &Scenario) -> Vec<PlannedFault> {
    let pairs = scenario
        .core_nodes()
        .into_iter()
        .zip(scenario.successor_nodes());
    let replace = |(number, (node, successor)): (u64, (NodeId, NodeId))| {
        let fault = match number % 2 {
            0 => Fault::ReplaceCore {
                node,
                successor,
                successor_after: SECOND,
            },
            _ => Fault::ReplaceCorePlanned {
                node,
                successor,
                overlap: SECOND,
            },
        };
        PlannedFault {
            at: (12 + 8 * number) * SECOND,
            fault,
        }
    };
    (0..).zip(pairs).map(replace).collect()
}

#[test]
fn the_whole_core_is_replaced_machine_by_machine() {
    for seed in 1..=6 {
        let scenario = Scenario {
            length: 45 * SECOND,
            changes: 12,
            ..Scenario::calm(seed)
        };
        let report = Scenario {
            faults: replacements(&scenario),
            ..scenario
        }
        .run();
        assert_keeps_all(seed, &report);
        assert_eq!(report.accepted, report.submitted, "seed {seed}");
    }
}

#[test]
fn due_times_hold_while_clocks_drift() {
    for seed in 1..=6 {
        let scenario = Scenario {
            repeated: 0.8,
            long_running: 0.0,
            length: 40 * SECOND,
            ..Scenario::calm(seed)
        };
        assert_keeps_all(seed, &scenario.run());
    }
}

#[test]
fn due_times_survive_the_restart_of_the_whole_core() {
    let scenario = Scenario {
        repeated: 0.8,
        long_running: 0.0,
        cancelled: 0.0,
        ..Scenario::calm(5)
    };
    let nodes = scenario.core_nodes();
    let kill = |second: u64| {
        let fault = Fault::KillMany {
            nodes: nodes.clone(),
            back_after: 400 * MILLISECOND,
        };
        PlannedFault {
            at: second * SECOND,
            fault,
        }
    };
    let scenario = Scenario {
        faults: [18, 26, 34].into_iter().map(kill).collect(),
        ..scenario
    };
    assert_keeps_all(5, &scenario.run());
}

#[test]
fn a_runner_under_suspicion_gets_starts_again_after_a_gang_tried_it() {
    for seed in 1..=6 {
        let scenario = Scenario {
            poison: 0.15,
            gangs: 0.6,
            long_running: 0.0,
            jobs: 80,
            ..Scenario::calm(seed)
        };
        assert_keeps_all(seed, &scenario.run());
    }
}
