//! State that outlives a process: learned values that a planned restart keeps, and what the successor of a running
//! process takes over in an upgrade. The names in JSON are those of the first version.

use crate::endpoint_list::Member;
use crate::message::number;
use sagetrail_policy::Category;
use serde::{Deserialize, Serialize};

/// Values that a dispatcher has learned about categories and runners.
#[derive(Serialize, Deserialize, Default)]
pub struct Learnt {
    /// Version of the format; 0 until it is written.
    pub version: u32,
    /// Hash of the names of the categories and of the kinds of runners.
    pub deployment: u64,
    /// When the state was written, in Unix seconds; 0 until it is written.
    pub written: f64,
    /// Usual durations, by category.
    pub usuals: Vec<Usual>,
    /// Values of the runners.
    pub runners: Vec<Known>,
}

/// Usual duration of a category's work items.
#[derive(Serialize, Deserialize)]
pub struct Usual {
    /// Hash of the category's name and terms, see [`terms`].
    pub terms: u64,
    /// Usual duration in seconds.
    pub seconds: f64,
}

/// Values learned about one process of a runner.
#[derive(Serialize, Deserialize)]
pub struct Known {
    /// Name of the runner.
    pub name: String,
    /// Address and port of the runner.
    pub address: String,
    /// When the process started, in Unix seconds; 0 if it started long ago.
    pub started: f64,
    /// Estimated number of slots.
    pub slots: f64,
    /// Estimated duration of a job relative to the usual duration of its category.
    pub pace: f64,
}

/// Hash of a category's name and terms. Under other terms its usual duration has another meaning.
pub fn terms(name: &str, category: &Category) -> u64 {
    number(&format!("{name} {category:?}"))
}

/// State of a runner that a successor process takes over. All times are in Unix seconds.
#[derive(Serialize, Deserialize)]
pub struct Inherited {
    /// The runner's last entry in the endpoint list.
    pub member: Member,
    /// Since when operators have it out of service; `None` if it is in service.
    pub out: Option<f64>,
    /// When operators put it back into service, if it has reported no start since; otherwise `None`.
    pub back: Option<f64>,
    /// Times and sizes of the attempts that count towards its slow-start budget.
    pub spent: Vec<(f64, f64)>,
    /// Evidence of the failure detector against the runner, from 0 to 6. Above 4.5 the runner is excluded.
    pub evidence: f64,
    /// Until when the failure detector excludes the runner. Then a trial attempt decides. `None` if it is not excluded.
    pub resting: Option<f64>,
    /// Length in seconds of the present or next exclusion.
    pub rest_s: f64,
}

/// State of a dispatcher process that its successor receives before it serves.
#[derive(Serialize, Deserialize)]
pub struct Passed {
    /// Whether operators are draining the dispatcher.
    pub drained: bool,
    /// Hash of the deployment. Under another deployment the learned values have another meaning.
    pub deployment: u64,
    /// Learned values.
    pub learnt: Learnt,
    /// Every runner that an endpoint list ever named, in that order.
    pub runners: Vec<Inherited>,
}
