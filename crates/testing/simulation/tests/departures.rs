//! Runners that deregister first and serve on, in whole days of the real processes.

use sagetrail_simulation::cluster::PlannedFault;
use sagetrail_simulation::engine::SECOND;
use sagetrail_simulation::faults::Fault;
use sagetrail_simulation::scenario::Scenario;

const SEEDS: u64 = 4;
/// When one of the first four runners deregisters, in seconds.
const DEPARTURES: [u64; 8] = [8, 10, 12, 14, 20, 23, 26, 29];

#[test]
fn days_with_runners_that_deregister_first_break_no_rule() {
    for seed in 1..=SEEDS {
        let depart = |(number, &second): (usize, &u64)| {
            let fault = Fault::RunnerDeregister {
                runner: number % 4,
                serves_on: (2 + seed % 5) * SECOND,
            };
            PlannedFault {
                at: second * SECOND,
                fault,
            }
        };
        let faults = DEPARTURES.iter().enumerate().map(depart).collect();
        let report = Scenario {
            faults,
            failing: 0.0,
            poison: 0.0,
            ..Scenario::calm(seed)
        }
        .run();
        let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
        assert_eq!(report.accepted, report.submitted, "seed {seed}");
        assert_eq!(
            report.completed + report.cancelled,
            report.submitted,
            "seed {seed}"
        );
    }
}
