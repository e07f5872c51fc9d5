//! RECOVER: clients are served again after the final fault.

use super::{Judge, Rule};
use crate::engine::{Micros, MILLISECOND, SECOND};
use crate::history::Observation;

/// A request that waits longer for its success is not served.
const SERVED_WITHIN: Micros = 3 * SECOND;
/// At least the inverse of this part is served.
const LEAST_PART: usize = 4;

/// Requests, and how many of them were served.
#[derive(Default)]
struct Served {
    requests: usize,
    served: usize,
}

impl Served {
    fn is_enough(&self) -> bool {
        self.served * LEAST_PART >= self.requests
    }
}

/// Judges the jobs that were submitted before the final fault and after the recovery from it.
pub(super) fn judge(judge: &mut Judge) {
    let Some((struck, back)) = final_fault(judge) else {
        return;
    };
    let recovered = back + judge.limits.recovery_ms * MILLISECOND;
    let before = served(judge, 0, struck);
    let after = served(judge, recovered, Micros::MAX);
    if before.is_enough() && !after.is_enough() {
        let detail = format!(
            "{} of {} requests are served after the final fault",
            after.served, after.requests
        );
        judge.accuse(Rule::Recover, recovered, detail);
    }
}

fn final_fault(judge: &Judge) -> Option<(Micros, Micros)> {
    judge
        .history
        .observations
        .iter()
        .find_map(|seen| match seen.observation {
            Observation::FinalFault { back } => Some((seen.at, back)),
            _ => None,
        })
}

/// What became of the jobs first sent after `from` and before `until`.
fn served(judge: &Judge, from: Micros, until: Micros) -> Served {
    let mut counted = Served::default();
    for submit in judge.facts.submits.values() {
        let Some(sent) = submit
            .first_sent
            .filter(|sent| *sent > from && *sent < until)
        else {
            continue;
        };
        counted.requests += 1;
        counted.served += usize::from(submit.accepted.is_some_and(|at| at <= sent + SERVED_WITHIN));
    }
    counted
}
