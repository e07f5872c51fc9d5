//! The results of a run: JSON whole, CSV for times, usage and the course.

use crate::faults::Takeover;
use crate::machine::Machine;
use crate::samples::RoleUsage;
use crate::scenario::Scenario;
use crate::timings::TimingRow;
use serde::Serialize;
use std::path::Path;

/// Counts over the measurement.
#[derive(Serialize, Clone, Debug, Default)]
pub struct CountRow {
    pub seconds: f64,
    pub accepted: u64,
    pub refused: u64,
    pub starts: u64,
    pub ends: u64,
    pub other_ends: u64,
    pub double_starts: u64,
    pub heartbeats: u64,
    pub failed_heartbeats: u64,
    pub reports: u64,
    pub running_at_end: u64,
    pub open_jobs_at_end: u64,
    /// Terms of schedulers that began from the start of all processes to the end.
    pub terms: u64,
}

/// A moment in the course of a run.
#[derive(Serialize, Clone, Debug)]
pub struct CourseRow {
    /// From the start of the load.
    pub at_s: f64,
    pub running: u64,
    pub starts_s: f64,
    pub heartbeats_s: f64,
    pub reports_s: f64,
    pub scheduler_cpu: f64,
    pub replica_cpu: f64,
    pub frontend_cpu: f64,
    pub side_cpu: f64,
    pub hollow_cpu: f64,
    pub scheduler_mb: f64,
}

/// All of it.
#[derive(Serialize, Debug)]
pub struct Results {
    pub program_version: &'static str,
    pub machine: Machine,
    pub scenario: Scenario,
    pub planned_starts_s: f64,
    pub counts: CountRow,
    pub timings: Vec<TimingRow>,
    pub usage: Vec<RoleUsage>,
    pub takeovers: Vec<Takeover>,
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
