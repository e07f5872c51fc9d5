//! The results of a run: JSON whole, CSV for times, usage and the course.

use std::path::Path;

use serde::Serialize;

use crate::faults::Takeover;
use crate::machine::Machine;
use crate::samples::RoleUsage;
use crate::scenario::Scenario;
use crate::timings::TimingRow;

/// Counts over the measurement.
#[derive(Serialize, Clone, Debug, Default)]
pub struct CountRow {
    /// The length of the measurement, in seconds.
    pub seconds: f64,
    /// Submissions that were accepted.
    pub accepted: u64,
    /// Jobs whose submission was accepted in none of its attempts.
    pub refused: u64,
    /// Runs that runners started.
    pub starts: u64,
    /// Runs that ended with their work done.
    pub ends: u64,
    /// Runs that ended otherwise.
    pub other_ends: u64,
    /// Starts of a task that was running elsewhere.
    pub double_starts: u64,
    /// Heartbeats that runners sent.
    pub heartbeats: u64,
    /// Heartbeats without a good answer.
    pub failed_heartbeats: u64,
    /// Reports that simulated agents sent.
    pub reports: u64,
    /// Runs that were active at the end.
    pub running_at_end: u64,
    /// Jobs that were submitted and had not ended at the end.
    pub open_jobs_at_end: u64,
    /// Terms of schedulers that began from the start of all processes to the end.
    pub terms: u64,
}

/// A moment in the course of a run.
#[derive(Serialize, Clone, Debug)]
pub struct CourseRow {
    /// From the start of the load.
    pub at_s: f64,
    /// Runs that are active.
    pub running: u64,
    /// Starts a second since the last moment.
    pub starts_s: f64,
    /// Heartbeats a second since the last moment.
    pub heartbeats_s: f64,
    /// Reports a second since the last moment.
    pub reports_s: f64,
    /// Processors in use by the scheduler.
    pub scheduler_cpu: f64,
    /// Processors in use by one other core process, on average.
    pub replica_cpu: f64,
    /// Processors in use by one frontend, on average.
    pub frontend_cpu: f64,
    /// Processors in use by one real side process, on average.
    pub side_cpu: f64,
    /// Processors in use by this process.
    pub hollow_cpu: f64,
    /// Resident memory of the scheduler, in megabytes.
    pub scheduler_mb: f64,
}

/// All of it.
#[derive(Serialize, Debug)]
pub struct Results {
    /// The version of this program.
    pub program_version: &'static str,
    /// The machine of the run.
    pub machine: Machine,
    /// What was played.
    pub scenario: Scenario,
    /// Starts a second that the scenario plans.
    pub planned_starts_s: f64,
    /// Counts over the measurement.
    pub counts: CountRow,
    /// Times by what is timed and for whom.
    pub timings: Vec<TimingRow>,
    /// Usage by role.
    pub usage: Vec<RoleUsage>,
    /// What each fault led to.
    pub takeovers: Vec<Takeover>,
    /// The course of the run; empty in simulated time.
    pub course: Vec<CourseRow>,
}

impl Results {
    /// Writes `NAME.json`, `NAME-*.csv` and `NAME.html`.
    pub fn write(&self, folder: &Path) -> anyhow::Result<()> {
        std::fs::create_dir_all(folder)?;
        let name = format!("{}-{}", self.scenario.name, self.scenario.workers);
        std::fs::write(
            folder.join(format!("{name}.json")),
            serde_json::to_vec_pretty(self)?,
        )?;
        table(&folder.join(format!("{name}-timings.csv")), &self.timings)?;
        table(&folder.join(format!("{name}-usage.csv")), &self.usage)?;
        table(&folder.join(format!("{name}-course.csv")), &self.course)?;
        table(
            &folder.join(format!("{name}-takeovers.csv")),
            &self.takeovers,
        )?;
        std::fs::write(
            folder.join(format!("{name}.html")),
            crate::page::render(self),
        )?;
        Ok(())
    }
}

fn table<T: Serialize>(path: &Path, rows: &[T]) -> anyhow::Result<()> {
    let mut writer = csv::Writer::from_path(path)?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}
