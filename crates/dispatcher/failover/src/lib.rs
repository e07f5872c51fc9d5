//! Failover between sites, without I/O: the host reports the results of attempts and supplies the time.
//!
//! A site is a zone of the endpoint list together with the dispatchers in it. `detect` tells the loss of a whole site
//! from conditions that look like it, `failback` brings a recovered site back in portions, `load_shedding` computes
//! which share of each category is admitted when capacity is short, and `plan` holds the operators' failover plan and
//! forecasts the effect of losing sites.

mod detect;
mod failback;
mod load_shedding;
mod plan;

pub use detect::{LastResults, SiteFailureDetector, SiteHealth};
pub use failback::{FailbackPacing, FailbackStage};
pub use load_shedding::{admitted_fractions, CategoryDemand};
pub use plan::{FailoverPlan, LossForecast, PlanFinding, PlannedSite};
