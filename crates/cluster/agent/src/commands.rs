//! The scheduler's newest commands, the agent's lease that comes with them, and whether the commands are resolved.

use sagetrail_protocol::agent::{RunnerCommands, StartCommand, StopCommand};
use sagetrail_protocol::{Incarnation, Term, Text, Time};

use crate::agent_lease::AgentLease;

/// The outcome of receiving commands.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Adoption {
    /// The commands are newer than the adopted ones and replace them.
    Adopted,
    /// The commands are already adopted.
    Known,
    /// The commands are older than the adopted ones and are ignored.
    Older,
}

/// The commands on which the agent acts. They are always the newest ones, ordered by term and then by revision.
#[derive(Debug)]
pub(crate) struct AdoptedCommands {
    /// The incarnation of this agent; only an answer to one of its own reports extends the lease.
    agent: Incarnation,
    adopted: Option<RunnerCommands>,
    lease: AgentLease,
    /// Whether the runner has sent a heartbeat under the adopted commands after each earlier answer had either reached
    /// it or been lost.
    is_resolved: bool,
    /// The time at which the runner's lease last expired; `None` once the scheduler has answered a later report. Until
    /// then the scheduler may have given up the starts that it commanded before.
    starts_void_since: Option<Time>,
    /// The runner instance to which `observed` belongs.
    observed_instance: Text,
    /// The highest number of an ended run that the scheduler has stored, 0 if there is none.
    observed: u64,
}

impl AdoptedCommands {
    /// Creates a state that has no commands and no lease.
    pub(crate) fn new(agent: Incarnation) -> AdoptedCommands {
        AdoptedCommands {
            agent,
            adopted: None,
            lease: AgentLease::default(),
            is_resolved: false,
            starts_void_since: None,
            observed_instance: Text::default(),
            observed: 0,
        }
    }

    /// Receives commands. Extends the lease if they answer a report of this agent.
    pub(crate) fn receive(&mut self, now: Time, commands: RunnerCommands) -> Adoption {
        let version = (commands.term, commands.revision);
        let order = version.cmp(&(self.term(), self.revision()));
        if order.is_lt() {
            return Adoption::Older;
        }
        if commands.agent == self.agent {
            let sent_at = Time(commands.sent_at);
            self.lease.extend(now, sent_at, commands.lease_ms);
            self.revalidate_starts(sent_at);
        }
        if order.is_eq() && self.adopted.is_some() {
            return Adoption::Known;
        }
        self.record_observed(&commands);
        self.is_resolved = false;
        self.adopted = Some(commands);
        Adoption::Adopted
    }

    /// Records a heartbeat that the runner sent after each earlier answer had either reached it or been lost. Returns
    /// whether the heartbeat resolves the commands, which it does once.
    pub(crate) fn resolve(&mut self) -> bool {
        if self.adopted.is_none() {
            return false;
        }
        !std::mem::replace(&mut self.is_resolved, true)
    }

    /// Withholds all starts because the runner's lease has expired: the scheduler may count every run of the runner as
    /// over, even one that never started. Starts are valid again once the scheduler has answered a later report.
    pub(crate) fn void_starts(&mut self, now: Time) {
        self.starts_void_since = Some(now);
    }

    fn revalidate_starts(&mut self, answered_report_sent_at: Time) {
        if self
            .starts_void_since
            .is_some_and(|since| answered_report_sent_at > since)
        {
            self.starts_void_since = None;
        }
    }

    /// Returns whether the adopted commands are resolved.
    pub(crate) fn is_resolved(&self) -> bool {
        self.is_resolved
    }

    /// Returns the term of the adopted commands, 0 if there are none.
    pub(crate) fn term(&self) -> Term {
        self.adopted.as_ref().map_or(0, |commands| commands.term)
    }

    /// Returns the revision of the adopted commands, 0 if there are none.
    pub(crate) fn revision(&self) -> u64 {
        self.adopted
            .as_ref()
            .map_or(0, |commands| commands.revision)
    }

    /// Returns the fencing token for the runner, which is the term of the adopted commands; `None` if there are none.
    pub(crate) fn fencing_token(&self) -> Option<Term> {
        self.adopted.as_ref().map(|commands| commands.term)
    }

    /// Returns the agent's lease.
    pub(crate) fn lease(&self) -> &AgentLease {
        &self.lease
    }

    /// Returns the commanded starts for this instance.
    pub(crate) fn starts(&self, instance: &str) -> &[StartCommand] {
        let commands = self
            .for_instance(instance)
            .filter(|_| self.starts_void_since.is_none());
        commands.map_or(&[], |commands| &commands.start)
    }

    /// Returns the commanded stops for this instance.
    pub(crate) fn stops(&self, instance: &str) -> &[StopCommand] {
        self.for_instance(instance)
            .map_or(&[], |commands| &commands.stop)
    }

    /// Returns the number up to which this instance may forget its ended runs; `None` if the scheduler has stored none.
    pub(crate) fn observed(&self, instance: &str) -> Option<u64> {
        (self.observed > 0 && &*self.observed_instance == instance).then_some(self.observed)
    }

    /// Returns the delay until the next heartbeat that the scheduler requests, in milliseconds; `None` if the scheduler
    /// leaves the delay to the agent.
    pub(crate) fn retry_after_ms(&self) -> Option<u64> {
        self.adopted
            .as_ref()
            .map(|commands| commands.retry_after_ms)
            .filter(|delay_ms| *delay_ms > 0)
    }

    fn for_instance(&self, instance: &str) -> Option<&RunnerCommands> {
        self.adopted
            .as_ref()
            .filter(|commands| &*commands.instance == instance)
    }

    /// Records the highest observed number of an instance. The number never decreases, because an end that the
    /// scheduler has observed stays observed.
    fn record_observed(&mut self, commands: &RunnerCommands) {
        if self.observed_instance == commands.instance {
            self.observed = self.observed.max(commands.observed);
            return;
        }
        self.observed_instance = commands.instance.clone();
        self.observed = commands.observed;
    }
}
