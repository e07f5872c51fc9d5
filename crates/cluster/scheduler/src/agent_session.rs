//! Which incarnation of a runner's agent is believed.
//!
//! Messages may come late, also those of an agent that has been replaced. A new incarnation is believed once it
//! reports under commands that its first report was answered with: only a living agent can.

use sagetrail_protocol::agent::RunnerReport;
use sagetrail_protocol::{Incarnation, Term};

/// How many replaced incarnations of an agent are remembered.
const MAX_REPLACED_AGENTS: usize = 16;

/// What a report is worth.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Admission {
    /// It is the newest of the incarnation that is believed.
    Newest,
    /// It is of a new incarnation, which is believed from now on.
    NewAgent,
    /// Its agent may have been replaced: the report is answered, and nothing is concluded.
    Unproven,
    /// A newer one has come, or its agent was replaced.
    Late,
}

/// An incarnation that has reported and may have been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    agent: Incarnation,
    /// The revision of the commands that its first report was answered with.
    revision: u64,
}

/// The incarnations of one runner's agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentSession {
    /// The one that is believed; 0 before any was in this term.
    agent: Incarnation,
    /// Another one that is not believed yet.
    candidate: Option<Candidate>,
    /// Those that have been replaced, oldest first.
    replaced: Vec<Incarnation>,
    /// The highest sequence number of the believed one's reports.
    sequence: u64,
}

impl AgentSession {
    /// True once an incarnation is believed in this term.
    pub(crate) fn is_established(&self) -> bool {
        self.agent != 0
    }

    /// Judges a report in a term. `revision` is that of the runner's commands; a first report of an unknown
    /// incarnation raises it, so that the answer to it can be told from all before.
    pub(crate) fn admit(
        &mut self,
        report: &RunnerReport,
        term: Term,
        revision: &mut u64,
    ) -> Admission {
        if self.agent == report.agent {
            return self.admit_known(report.sequence);
        }
        if self.replaced.contains(&report.agent) {
            return Admission::Late;
        }
        if !self.is_proven_live(report, term, revision) {
            return Admission::Unproven;
        }
        self.replace(report);
        Admission::NewAgent
    }

    fn admit_known(&mut self, sequence: u64) -> Admission {
        if sequence <= self.sequence {
            return Admission::Late;
        }
        self.sequence = sequence;
        Admission::Newest
    }

    /// True where the report was sent under commands that its agent was first answered with. A late report of a
    /// replaced agent cannot have been.
    fn is_proven_live(&mut self, report: &RunnerReport, term: Term, revision: &mut u64) -> bool {
        let candidate = self
            .candidate
            .filter(|candidate| candidate.agent == report.agent);
        if let Some(candidate) = candidate {
            return report.term == term && report.revision >= candidate.revision;
        }
        *revision += 1;
        self.candidate = Some(Candidate {
            agent: report.agent,
            revision: *revision,
        });
        false
    }

    fn replace(&mut self, report: &RunnerReport) {
        let former = std::mem::replace(&mut self.agent, report.agent);
        self.replaced.push(former);
        if self.replaced.len() > MAX_REPLACED_AGENTS {
            self.replaced.remove(0);
        }
        self.candidate = None;
        self.sequence = report.sequence;
    }
}
