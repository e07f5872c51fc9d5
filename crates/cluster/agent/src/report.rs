//! The report to the scheduler, which contains everything that the agent knows about its runner.

use sagetrail_protocol::agent::{Resources, RunnerReport};
use sagetrail_protocol::{Incarnation, List, Text, Time};

use crate::commands::AdoptedCommands;
use crate::runner::Runner;
use crate::runner_registry::RunnerRegistry;

/// The fields that identify a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportHeader {
    /// The incarnation of the agent that sends the report.
    pub(crate) agent: Incarnation,
    /// The sequence number of the report; it increases by one with each report of the agent.
    pub(crate) sequence: u64,
    /// The time at which the report is sent; the agent's lease in the answer counts from this time.
    pub(crate) sent_at: Time,
}

/// Builds a report from the current commands and the current instance of the runner.
pub(crate) fn build(
    header: ReportHeader,
    commands: &AdoptedCommands,
    registry: &RunnerRegistry,
) -> RunnerReport {
    let mut report = without_runner(header, commands);
    report.lease_expired = registry.has_no_runner();
    if let Some(runner) = registry.current() {
        describe(&mut report, header.sent_at, runner);
    }
    report
}

fn without_runner(header: ReportHeader, commands: &AdoptedCommands) -> RunnerReport {
    RunnerReport {
        agent: header.agent,
        sequence: header.sequence,
        sent_at: header.sent_at.0,
        term: commands.term(),
        revision: commands.revision(),
        starts_resolved: commands.is_resolved(),
        has_runner: false,
        instance: Text::default(),
        service: Text::default(),
        address: Text::default(),
        zone: Text::default(),
        draining: false,
        remaining_ms: 0,
        slow_start_remaining_ms: 0,
        capacity: Resources::default(),
        labels: List::default(),
        active: List::default(),
        finished: List::default(),
        lease_expired: false,
        since_heartbeat_ms: 0,
    }
}

fn describe(report: &mut RunnerReport, now: Time, runner: &Runner) {
    let since_heartbeat_ms = now.millis_since(runner.last_heartbeat);
    report.has_runner = true;
    report.instance = runner.instance.clone();
    report.service = runner.profile.service.clone();
    report.address = runner.profile.address.clone();
    report.zone = runner.profile.zone.clone();
    report.draining = runner.is_draining;
    report.remaining_ms = runner.remaining_ms.saturating_sub(since_heartbeat_ms);
    report.slow_start_remaining_ms = runner
        .slow_start_remaining_ms
        .saturating_sub(since_heartbeat_ms);
    report.capacity = runner.profile.capacity;
    report.labels = List(runner.profile.labels.clone());
    report.active = List(runner.active.clone());
    report.finished = List(runner.finished.clone());
    report.lease_expired = runner.lease_expired;
    report.since_heartbeat_ms = since_heartbeat_ms;
}
