//! Decides which incarnation of a runner's agent the scheduler accepts reports from.
//!
//! Messages may arrive late, also those of an incarnation that has been replaced. A new incarnation is therefore
//! accepted only once it sends a report under the commands with which its first report was answered: only an agent that
//! is still alive can have received them.

use sagetrail_protocol::agent::RunnerReport;
use sagetrail_protocol::{Incarnation, Term};

/// The maximum number of replaced incarnations of an agent that are remembered.
const MAX_REPLACED_INCARNATIONS: usize = 16;

/// The result of checking a report, which determines the conclusions that the scheduler may draw from it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Admission {
    /// The report is the newest one of the accepted incarnation.
    Newest,
    /// The report is of a new incarnation, which is accepted from now on.
    NewAgent,
    /// The incarnation may have been replaced: the report is answered, but nothing is concluded from it.
    Unproven,
    /// A newer report has arrived before, or the incarnation has been replaced.
    Late,
}

/// An incarnation that has reported but is not accepted yet, because it may have been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    /// The incarnation that has reported.
    incarnation: Incarnation,
    /// The revision of the commands with which its first report was answered.
    revision: u64,
}

/// The accepted, candidate and replaced incarnations of one runner's agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentSession {
    /// The accepted incarnation; 0 before one was accepted in this term.
    accepted: Incarnation,
    /// An incarnation that has reported but is not accepted yet.
    candidate: Option<Candidate>,
    /// The incarnations that have been replaced, oldest first; at most `MAX_REPLACED_INCARNATIONS`.
    replaced: Vec<Incarnation>,
    /// The highest sequence number of the accepted incarnation's reports.
    last_sequence: u64,
}

impl AgentSession {
    /// Returns true once an incarnation has been accepted in this term.
    pub(crate) fn is_established(&self) -> bool {
        self.accepted != 0
    }

    /// Checks a report that arrived in `term`. `revision` is the revision of the runner's commands. The first report of
    /// an unknown incarnation increments it, so that the answer to this report can be told from all earlier answers.
    pub(crate) fn admit(
        &mut self,
        report: &RunnerReport,
        term: Term,
        revision: &mut u64,
    ) -> Admission {
        if self.accepted == report.agent {
            return self.admit_accepted(report.sequence);
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

    /// Checks a report of the accepted incarnation by its sequence number.
    fn admit_accepted(&mut self, sequence: u64) -> Admission {
        if sequence <= self.last_sequence {
            return Admission::Late;
        }
        self.last_sequence = sequence;
        Admission::Newest
    }

    /// Returns true if the report was sent under the commands with which the incarnation's first report was answered,
    /// or under later ones. A late report of a replaced incarnation cannot have been. An incarnation that is not the
    /// candidate becomes the candidate, under a new revision.
    fn is_proven_live(&mut self, report: &RunnerReport, term: Term, revision: &mut u64) -> bool {
        let candidate = self
            .candidate
            .filter(|candidate| candidate.incarnation == report.agent);
        if let Some(candidate) = candidate {
            return report.term == term && report.revision >= candidate.revision;
        }
        *revision += 1;
        self.candidate = Some(Candidate {
            incarnation: report.agent,
            revision: *revision,
        });
        false
    }

    /// Accepts the incarnation that sent this report in place of the one accepted before.
    fn replace(&mut self, report: &RunnerReport) {
        let former = std::mem::replace(&mut self.accepted, report.agent);
        self.replaced.push(former);
        if self.replaced.len() > MAX_REPLACED_INCARNATIONS {
            self.replaced.remove(0);
        }
        self.candidate = None;
        self.last_sequence = report.sequence;
    }
}
