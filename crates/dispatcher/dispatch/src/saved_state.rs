//! State that outlives a process: learned values that a planned restart keeps, and what the successor of a running
//! process takes over in an upgrade. The names in JSON are those of the first version.

use crate::endpoint_list::ListEntry;
use crate::message::name_hash;
use sagetrail_policy::Category;
use serde::{Deserialize, Serialize};

/// Values that a dispatcher has learned about categories and runners.
#[derive(Serialize, Deserialize, Default)]
pub struct LearnedState {
    /// Version of the format; 0 until it is written.
    pub version: u32,
    /// Hash of the names of the categories and of the kinds of runners.
    pub deployment: u64,
    /// When the state was written, in Unix seconds; 0 until it is written.
    #[serde(rename = "written")]
    pub written_at_s: f64,
    /// Usual durations, by category.
    #[serde(rename = "usuals")]
    pub category_durations: Vec<CategoryDuration>,
    /// Values of the runners.
    pub runners: Vec<RunnerEstimate>,
}

/// Usual duration of a category's work items.
#[derive(Serialize, Deserialize)]
pub struct CategoryDuration {
    /// Hash of the category's name and terms, see [`category_terms_hash`].
    #[serde(rename = "terms")]
    pub terms_hash: u64,
    /// Usual duration in seconds.
    pub seconds: f64,
}

/// Values learned about one process of a runner.
#[derive(Serialize, Deserialize)]
pub struct RunnerEstimate {
    /// Name of the runner.
    pub name: String,
    /// Address and port of the runner.
    pub address: String,
    /// When the process started, in Unix seconds; 0 if it started long ago.
    #[serde(rename = "started")]
    pub started_unix_s: f64,
    /// Estimated number of slots.
    pub slots: f64,
    /// Estimated duration of a job relative to the usual duration of its category.
    pub pace: f64,
}

/// Hash of a category's name and terms. Under other terms its usual duration has another meaning.
pub fn category_terms_hash(name: &str, category: &Category) -> u64 {
    name_hash(&format!("{name} {category:?}"))
}

/// State of a runner that a successor process takes over. All times are in Unix seconds.
#[derive(Serialize, Deserialize)]
pub struct RunnerSnapshot {
    /// The runner's last entry in the endpoint list.
    #[serde(rename = "member")]
    pub entry: ListEntry,
    /// Since when operators have it out of service; `None` if it is in service.
    #[serde(rename = "out")]
    pub out_of_service_since_s: Option<f64>,
    /// When operators put it back into service, if it has reported no start since; otherwise `None`.
    #[serde(rename = "back")]
    pub back_in_service_at_s: Option<f64>,
    /// Times and sizes of the attempts that count towards its slow-start budget.
    #[serde(rename = "spent")]
    pub cold_sends: Vec<(f64, f64)>,
    /// Evidence of the failure detector against the runner, from 0 to 6. Above 4.5 the runner is excluded.
    pub evidence: f64,
    /// Until when the failure detector excludes the runner. Then a trial attempt decides. `None` if it is not excluded.
    #[serde(rename = "resting")]
    pub excluded_until_s: Option<f64>,
    /// Length in seconds of the present or next exclusion.
    #[serde(rename = "rest_s")]
    pub exclusion_s: f64,
}

/// State of a dispatcher process that its successor receives before it serves.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// Whether operators are draining the dispatcher.
    #[serde(rename = "drained")]
    pub is_draining: bool,
    /// Hash of the deployment. Under another deployment the learned values have another meaning.
    pub deployment: u64,
    /// Learned values.
    #[serde(rename = "learnt")]
    pub learned: LearnedState,
    /// Every runner that an endpoint list ever named, in that order.
    pub runners: Vec<RunnerSnapshot>,
}
