//! Classes of steps by what their tasks need. A step that no runner can take is skipped together with its whole class,
//! so the number of such steps does not matter.

use sagetrail_protocol::agent::Resources;

use crate::capacity::fits;
use crate::spec::{Labels, Stage};

/// What the tasks of some steps need at least: the labels, and the resources rounded down to powers of two so that there
/// are few classes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct DemandClass {
    /// The labels that a runner must have, sorted and without empty ones.
    labels: Vec<String>,
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
    /// The number of tasks of a gang; 0 for a step whose tasks start one by one.
    gang_tasks: u64,
}

impl DemandClass {
    /// Returns the class of a step.
    pub(crate) fn of(stage: &Stage) -> DemandClass {
        DemandClass {
            labels: sorted_labels(&stage.constraints),
            cpu: power_of_two_at_most(stage.cpu),
            mem_mb: power_of_two_at_most(stage.mem_mb),
            gpu: power_of_two_at_most(stage.gpu),
            gang_tasks: if stage.gang {
                power_of_two_at_most(u64::from(stage.count))
            } else {
                0
            },
        }
    }

    /// Returns false if no task of the class can use this capacity at a runner with these labels.
    pub(crate) fn may_fit(&self, capacity: Resources, labels: &[String]) -> bool {
        let minimum = Resources {
            cpu: self.cpu,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        };
        fits(minimum, capacity) && self.labels.iter().all(|label| labels.contains(label))
    }
}

fn sorted_labels(constraints: &Labels) -> Vec<String> {
    let given = match constraints {
        Labels::One(label) => std::slice::from_ref(label),
        Labels::Several(labels) => labels,
    };
    let mut labels: Vec<String> = given
        .iter()
        .filter(|label| !label.is_empty())
        .cloned()
        .collect();
    labels.sort_unstable();
    labels
}

/// Returns the largest power of two that is not above `amount`, and 0 for 0.
fn power_of_two_at_most(amount: u64) -> u64 {
    amount.checked_ilog2().map_or(0, |exponent| 1 << exponent)
}
