//! The agent's service for its runner: it answers the runner's calls, grants its lease, passes commands on to it,
//! checks its health and reports on it to the scheduler.

use std::net::SocketAddrV4;

use sagetrail_protocol::agent::{RunnerCommands, RunnerReport, RUNNER_LEASE_MS};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{
    HealthCheckId, HealthCheckResult, HttpEndpoint, HttpReply, HttpRequest, Method, Outbox,
};
use sagetrail_protocol::{Incarnation, Time};

use crate::commands::{AdoptedCommands, Adoption};
use crate::health_check::{HealthMonitor, Verdict};
use crate::heartbeat::{Heartbeat, HeartbeatError, ListedRuns};
use crate::heartbeat_reply::{empty, take_within, HeartbeatReply, StartRow, StopRow};
use crate::report::{build, ReportHeader};
use crate::report_schedule::ReportSchedule;
use crate::runner_call::RunnerCall;
use crate::runner_registry::{Admission, RunnerRegistry};
use crate::settings::{AgentSettings, Counters};
use crate::start_offers::StartOffers;

/// The minimum lease with which a run is started, in milliseconds. With a shorter lease the run would be over at once.
const MIN_START_LEASE_MS: u64 = 500;
/// The delay until the next heartbeat while a run is active or must be started, in milliseconds.
const BUSY_RETRY_MS: u64 = 100;
/// The delay until the next heartbeat while no run is active, in milliseconds.
const IDLE_RETRY_MS: u64 = 200;
/// The maximum size of the stops in one reply, in bytes of JSON. Further stops follow once the first ones have ended.
const MAX_STOP_BYTES: usize = 1 << 20;
const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const METHOD_NOT_ALLOWED: u16 = 405;
const CONFLICT: u16 = 409;
const PAYLOAD_TOO_LARGE: u16 = 413;

/// The part of an agent that serves its runner.
#[derive(Debug)]
pub(crate) struct RunnerService {
    agent: Incarnation,
    bounds: Bounds,
    runner_address: Option<SocketAddrV4>,
    registry: RunnerRegistry,
    commands: AdoptedCommands,
    start_offers: StartOffers,
    reports: ReportSchedule,
    health: HealthMonitor,
    counters: Counters,
}

impl RunnerService {
    /// Creates a service that has no runner, no commands and no lease.
    pub(crate) fn new(settings: &AgentSettings, now: Time) -> RunnerService {
        RunnerService {
            agent: settings.incarnation,
            bounds: settings.bounds,
            runner_address: settings.runner_address,
            registry: RunnerRegistry::new(now, settings.heartbeat_ms),
            commands: AdoptedCommands::new(settings.incarnation),
            start_offers: StartOffers::default(),
            reports: ReportSchedule::default(),
            health: HealthMonitor::default(),
            counters: Counters::default(),
        }
    }

    /// Returns the counters.
    pub(crate) fn counters(&self) -> Counters {
        self.counters
    }

    /// Answers an HTTP request.
    pub(crate) fn answer(
        &mut self,
        now: Time,
        endpoint: HttpEndpoint,
        request: &HttpRequest,
    ) -> HttpReply {
        if endpoint != HttpEndpoint::Control {
            return empty(NOT_FOUND);
        }
        match RunnerCall::parse(&request.path) {
            None => empty(NOT_FOUND),
            Some(_) if request.method != Method::Post => empty(METHOD_NOT_ALLOWED),
            Some(RunnerCall::Heartbeat { instance }) => {
                self.answer_heartbeat(now, instance, &request.body)
            }
            Some(RunnerCall::Deregister { instance }) => self.deregister(now, instance),
        }
    }

    fn deregister(&mut self, now: Time, instance: &str) -> HttpReply {
        let serves_ms = self.bounds.drain_ms;
        if self.registry.deregister(now, instance, serves_ms) {
            self.reports.record_change();
        }
        empty(OK)
    }

    fn answer_heartbeat(&mut self, now: Time, instance: &str, body: &[u8]) -> HttpReply {
        let mut heartbeat = match Heartbeat::parse(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.reject(instance, &error),
        };
        match self.registry.receive(now, instance, &mut heartbeat) {
            Admission::Replaced => {
                self.counters.replaced_heartbeats += 1;
                empty(CONFLICT)
            }
            Admission::Unconfirmed => HttpReply::from(HeartbeatReply {
                retry_after_ms: Some(BUSY_RETRY_MS),
                ..HeartbeatReply::default()
            }),
            Admission::Stale => {
                self.counters.stale_heartbeats += 1;
                empty(OK)
            }
            Admission::Accepted { has_change } => {
                self.accept(now, instance, &heartbeat, has_change)
            }
        }
    }

    fn reject(&mut self, instance: &str, error: &HeartbeatError) -> HttpReply {
        self.counters.malformed_heartbeats += 1;
        log::debug!("heartbeat rejected: runner={instance} error={error}");
        match error {
            HeartbeatError::TooLong { .. } => empty(PAYLOAD_TOO_LARGE),
            HeartbeatError::Malformed(_) | HeartbeatError::OverLimit { .. } => empty(BAD_REQUEST),
        }
    }

    fn accept(
        &mut self,
        now: Time,
        instance: &str,
        heartbeat: &Heartbeat,
        has_change: bool,
    ) -> HttpReply {
        // The first heartbeat resolves no commands, because an earlier agent may already have answered it.
        let has_resolved = self.counters.heartbeats > 0 && self.commands.resolve();
        self.counters.heartbeats += 1;
        self.counters.dropped_checkpoints += heartbeat.dropped_checkpoints;
        if has_change || has_resolved {
            self.reports.record_change();
        }
        let lease_ms = self.grantable_lease_ms(now);
        if lease_ms > 0 {
            self.registry.grant_lease(now, lease_ms);
        }
        let reply = self.heartbeat_reply(instance, heartbeat, lease_ms);
        let retry_after_ms = reply.retry_after_ms.unwrap_or(IDLE_RETRY_MS);
        let reply = HttpReply::from(reply);
        self.health.record_heartbeat(now, retry_after_ms);
        reply
    }

    /// Returns the lease that may be granted now, in milliseconds; 0 for none. It never outlasts the agent's own lease.
    fn grantable_lease_ms(&self, now: Time) -> u64 {
        let agent_lease_ms = self.commands.lease().remaining_ms(now);
        RUNNER_LEASE_MS
            .min(self.bounds.hold_max_ms)
            .min(agent_lease_ms)
    }

    fn heartbeat_reply(
        &mut self,
        instance: &str,
        heartbeat: &Heartbeat,
        lease_ms: u64,
    ) -> HeartbeatReply<'_> {
        let listed = heartbeat.listed_runs();
        self.start_offers.record_heartbeat(&listed);
        let start = if self.may_start(lease_ms) {
            let outstanding = outstanding_starts(&self.commands, instance, &listed);
            self.start_offers.select(outstanding)
        } else {
            Vec::new()
        };
        let is_busy = !start.is_empty() || !heartbeat.active.is_empty();
        let default_retry_ms = if is_busy {
            BUSY_RETRY_MS
        } else {
            IDLE_RETRY_MS
        };
        let retry_after_ms = self.commands.retry_after_ms();
        HeartbeatReply {
            lease_ms: (lease_ms > 0).then_some(lease_ms),
            observed: self.commands.observed(instance),
            fencing_token: self.commands.fencing_token(),
            start,
            stop: take_within(stops(&self.commands, instance, &listed), MAX_STOP_BYTES),
            retry_after_ms: Some(retry_after_ms.unwrap_or(default_retry_ms)),
        }
    }

    /// Returns whether starts may be offered: the runner does not drain, and its lease is long enough.
    fn may_start(&self, lease_ms: u64) -> bool {
        let is_draining = self
            .registry
            .current()
            .is_none_or(|runner| runner.is_draining);
        !is_draining && lease_ms >= MIN_START_LEASE_MS.min(self.bounds.hold_max_ms)
    }

    /// Receives commands from a scheduler.
    pub(crate) fn receive_commands(&mut self, now: Time, commands: RunnerCommands) -> Adoption {
        let adoption = self.commands.receive(now, commands);
        if adoption == Adoption::Older {
            self.counters.older_commands += 1;
        }
        adoption
    }

    /// Marks the runner's lease as expired if its expiry is due.
    pub(crate) fn expire_lease(&mut self, now: Time) {
        if self.registry.expire_due(now) {
            self.record_expiry(now);
        }
    }

    fn record_expiry(&mut self, now: Time) {
        self.health.pause();
        self.commands.void_starts(now);
        self.reports.record_change();
    }

    /// Sends a health check to a runner whose heartbeat is overdue.
    pub(crate) fn send_due_health_check(&mut self, now: Time, outbox: &mut Outbox) {
        if !self.health.is_due(now) {
            return;
        }
        let Some(address) = self.health_check_address() else {
            return self.health.pause();
        };
        self.counters.health_checks += 1;
        self.health.send(now, address, outbox);
    }

    /// Returns the runner's address from the settings, or else from its heartbeats.
    fn health_check_address(&self) -> Option<SocketAddrV4> {
        let reported = self
            .registry
            .current()
            .and_then(|runner| runner.profile.address.parse().ok());
        self.runner_address.or(reported)
    }

    /// Receives the result of a health check. If the machine refuses connections, it is up but the runner's process is
    /// not, so all of the runner's runs have ended.
    pub(crate) fn receive_health_check(
        &mut self,
        now: Time,
        id: HealthCheckId,
        result: HealthCheckResult,
    ) {
        if self.health.receive(id, result) == Verdict::Unknown {
            return;
        }
        self.counters.dead_runners += 1;
        if self.registry.record_death() {
            self.record_expiry(now);
        }
    }

    /// Makes a report due at once because this agent has learned of a new leader.
    pub(crate) fn expedite_report(&mut self) {
        self.reports.record_change();
    }

    /// Returns the time at which the next report is due.
    pub(crate) fn report_due(&self) -> Time {
        self.reports.due(self.commands.lease().renewal_due())
    }

    /// Builds the report to be sent now and counts it as sent.
    pub(crate) fn report(&mut self, now: Time) -> RunnerReport {
        let header = ReportHeader {
            agent: self.agent,
            sequence: self.reports.record_sent(now),
            sent_at: now,
        };
        self.counters.reports += 1;
        build(header, &self.commands, &self.registry)
    }

    /// Returns the time of the next lease expiry or health check, whichever is earlier.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let wakes = [self.registry.expiry_due(), self.health.due()];
        wakes.into_iter().flatten().min()
    }
}

/// Returns the commanded starts that a heartbeat does not list.
fn outstanding_starts<'a>(
    commands: &'a AdoptedCommands,
    instance: &str,
    listed: &ListedRuns<'_>,
) -> Vec<StartRow<'a>> {
    let commanded = commands.starts(instance).iter();
    commanded
        .filter(|command| !listed.contains(&command.task, command.attempt))
        .map(|command| StartRow {
            task: &command.task,
            attempt: command.attempt,
            spec: &command.spec,
            checkpoint: &command.checkpoint,
        })
        .collect()
}

/// Returns the commanded stops of the runs that a heartbeat lists as active.
fn stops<'a>(
    commands: &'a AdoptedCommands,
    instance: &str,
    listed: &ListedRuns<'_>,
) -> Vec<StopRow<'a>> {
    let commanded = commands.stops(instance).iter();
    commanded
        .filter(|command| listed.contains_active(&command.task, command.attempt))
        .map(|command| StopRow {
            task: &command.task,
            attempt: command.attempt,
        })
        .collect()
}
