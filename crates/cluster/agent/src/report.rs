//! The report to the scheduler: all that the agent knows of its runner.

use crate::orders::OrderBook;
use crate::runner::{Runner, RunnerRegister};
use sagetrail_protocol::agent::{Resources, RunnerReport};
use sagetrail_protocol::{Incarnation, List, Text, Time};

/// What names a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heading {
    pub agent: Incarnation,
    pub sequence: u64,
    /// When it leaves.
    pub now: Time,
}

/// The report of what is known at its sending.
pub(crate) fn build(
    heading: Heading,
    orders: &OrderBook,
    register: &RunnerRegister,
) -> RunnerReport {
    let mut report = without_runner(heading, orders);
    report.lease_expired = register.is_silent();
    if let Some(runner) = register.current() {
        describe(&mut report, heading.now, runner);
    }
    report
}

fn without_runner(heading: Heading, orders: &OrderBook) -> RunnerReport {
    RunnerReport {
        agent: heading.agent,
        sequence: heading.sequence,
        sent_at: heading.now.0,
        term: orders.term(),
        revision: orders.revision(),
        starts_resolved: orders.is_settled(),
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
    let silent_ms = now.millis_since(runner.last_heartbeat);
    report.has_runner = true;
    report.instance = runner.instance.clone();
    report.service = runner.profile.service.clone();
    report.address = runner.profile.address.clone();
    report.zone = runner.profile.zone.clone();
    report.draining = runner.draining;
    report.remaining_ms = runner.remaining_ms.saturating_sub(silent_ms);
    report.slow_start_remaining_ms = runner.cold_remaining_ms.saturating_sub(silent_ms);
    report.capacity = runner.profile.capacity;
    report.labels = List(runner.profile.labels.clone());
    report.active = List(runner.active.clone());
    report.finished = List(runner.finished.clone());
    report.lease_expired = runner.lapsed;
    report.since_heartbeat_ms = silent_ms;
}
