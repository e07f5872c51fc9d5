//! The scheduler's newest commands, the lease under which they are given, and whether they are resolved.

use sagetrail_protocol::agent::{RunnerCommands, StartCommand, StopCommand};
use sagetrail_protocol::{Incarnation, Term, Text, Time};

use crate::agent_lease::AgentLease;

/// The outcome of receiving commands.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Adoption {
    /// They are newer than those before.
    Adopted,
    /// They are those already adopted.
    Known,
    /// They are older than those adopted, and ignored.
    Older,
}

/// The commands that the agent acts by: always the newest by term, then by revision.
#[derive(Debug)]
pub(crate) struct AdoptedCommands {
    /// This agent; only an answer to its own report extends the lease.
    agent: Incarnation,
    adopted: Option<RunnerCommands>,
    lease: AgentLease,
    /// The runner has sent a heartbeat under the adopted commands after it had, or missed, every earlier answer.
    is_resolved: bool,
    /// When the runner's lease last expired, until the scheduler has answered a later report. The scheduler may have
    /// given up the starts that it had commanded before.
    starts_void_since: Option<Time>,
    /// The instance that `observed` belongs to.
    observed_instance: Text,
    /// The highest number of an end that the scheduler has stored, 0 for none.
    observed: u64,
}

impl AdoptedCommands {
    /// Without commands and without a lease.
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

    /// Receives commands, and extends the lease where they answer a report of this agent.
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

    /// Records a heartbeat that the runner sent after it had, or missed, every earlier answer; true where that resolves
    /// the commands.
    pub(crate) fn resolve(&mut self) -> bool {
        if self.adopted.is_none() {
            return false;
        }
        !std::mem::replace(&mut self.is_resolved, true)
    }

    /// Withholds all starts: the runner's lease has expired, and the scheduler may count every run there as over, also
    /// one that never started. Starts are valid again once the scheduler has answered a later report.
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

    /// Whether the adopted commands are resolved.
    pub(crate) fn is_resolved(&self) -> bool {
        self.is_resolved
    }

    /// The term of the adopted commands, 0 without any.
    pub(crate) fn term(&self) -> Term {
        self.adopted.as_ref().map_or(0, |commands| commands.term)
    }

    /// The revision of the adopted commands, 0 without any.
    pub(crate) fn revision(&self) -> u64 {
        self.adopted
            .as_ref()
            .map_or(0, |commands| commands.revision)
    }

    /// The fencing token for the runner: the term of the adopted commands; `None` without any.
    pub(crate) fn fencing_token(&self) -> Option<Term> {
        self.adopted.as_ref().map(|commands| commands.term)
    }

    /// The lease under which the agent acts.
    pub(crate) fn lease(&self) -> &AgentLease {
        &self.lease
    }

    /// The starts commanded for this instance.
    pub(crate) fn starts(&self, instance: &str) -> &[StartCommand] {
        let commands = self
            .for_instance(instance)
            .filter(|_| self.starts_void_since.is_none());
        commands.map_or(&[], |commands| &commands.start)
    }

    /// The stops commanded for this instance.
    pub(crate) fn stops(&self, instance: &str) -> &[StopCommand] {
        self.for_instance(instance)
            .map_or(&[], |commands| &commands.stop)
    }

    /// The number up to which this instance may forget its ends; `None` where none is stored.
    pub(crate) fn observed(&self, instance: &str) -> Option<u64> {
        (self.observed > 0 && &*self.observed_instance == instance).then_some(self.observed)
    }

    /// The delay until the next heartbeat that the scheduler wants, in milliseconds; `None` where it leaves that to the
    /// agent.
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

    /// An end once observed stays so: the highest number of an instance counts.
    fn record_observed(&mut self, commands: &RunnerCommands) {
        if self.observed_instance == commands.instance {
            self.observed = self.observed.max(commands.observed);
            return;
        }
        self.observed_instance = commands.instance.clone();
        self.observed = commands.observed;
    }
}
