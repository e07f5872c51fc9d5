//! What a fault led to is told from what the next one did.

use std::time::{Duration, Instant};

use sagetrail_scale_testing::faults::{takeovers, InjectedFault};
use sagetrail_scale_testing::run_statistics::RunStatistics;
use sagetrail_scale_testing::scenario::{Fault, FaultKind, FaultTarget};

fn fault(target: FaultTarget, at: Instant) -> InjectedFault {
    InjectedFault {
        fault: Fault {
            kind: FaultKind::Kill,
            target,
            at_s: 0.0,
            for_s: 1.0,
        },
        at,
    }
}

#[test]
fn a_new_term_belongs_to_the_fault_before_it() {
    let (statistics, _over) = RunStatistics::new();
    let started = Instant::now();
    let at = |ms: u64| started + Duration::from_millis(ms);
    statistics.record_term(1, at(0));
    statistics.record_term(2, at(1_000));
    statistics.record_term(2, at(1_200));
    statistics.record_start("00000000000000aa.0.0.0", 1, 2, at(1_300));
    statistics.record_term(3, at(9_000));
    let played = [
        fault(FaultTarget::Scheduler, at(100)),
        fault(FaultTarget::Replica, at(2_000)),
        fault(FaultTarget::All, at(8_000)),
    ];
    let rows = takeovers(&played, &statistics);
    assert_eq!(rows[0].first_runner_ms, Some(900.0));
    assert_eq!(rows[0].last_runner_ms, Some(1_100.0));
    assert_eq!(rows[0].first_start_ms, Some(1_200.0));
    assert_eq!(rows[0].runners, 2);
    assert_eq!(rows[1].first_runner_ms, None, "no scheduler changed");
    assert_eq!(rows[2].first_runner_ms, Some(1_000.0));
}
