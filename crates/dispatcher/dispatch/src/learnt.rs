//! What is worth keeping over a restart, and what a process that takes over must know.

use crate::message::number;
use crate::roster::Member;
use sagetrail_policy::Category;
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize, Default)]
pub struct Learnt {
    pub version: u32,
    /// Of the names of the categories and kinds.
    pub deployment: u64,
    pub written: f64,
    pub usuals: Vec<Usual>,
    pub runners: Vec<Known>,
}

/// The usual time of a category under these terms.
#[derive(Serialize, Deserialize)]
pub struct Usual {
    pub terms: u64,
    pub seconds: f64,
}

/// A process of a runner.
#[derive(Serialize, Deserialize)]
pub struct Known {
    pub name: String,
    pub address: String,
    pub started: f64,
    pub slots: f64,
    pub pace: f64,
}

/// A number for a category's name and terms: under others its usual time means something else.
pub fn terms(name: &str, category: &Category) -> u64 {
    number(&format!("{name} {category:?}"))
}

/// What a runner's new dispatcher must know of it; times are Unix time.
#[derive(Serialize, Deserialize)]
pub struct Inherited {
    pub member: Member,
    pub out: Option<f64>,
    pub back: Option<f64>,
    pub spent: Vec<(f64, f64)>,
    pub evidence: f64,
    pub resting: Option<f64>,
    pub rest_s: f64,
}

/// All that a new process is told before it serves.
#[derive(Serialize, Deserialize)]
pub struct Passed {
    pub drained: bool,
    /// A number for the deployment: under another what was learnt means something else.
    pub deployment: u64,
    pub learnt: Learnt,
    /// Every runner that a list ever named, in that order.
    pub runners: Vec<Inherited>,
}
