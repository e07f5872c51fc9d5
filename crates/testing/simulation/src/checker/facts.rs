//! Runs, jobs and runners as they follow from what was seen.

use crate::configuration::Configuration;
use crate::engine::Micros;
use crate::history::{Answer, History, Observation, ObservedEnd, ObservedStart, RunnerFacts};
use crate::job::{StepName, TaskName};
use sagetrail_protocol::agent::RunEnd;
use std::collections::{BTreeMap, BTreeSet};

/// A run from its start to its end.
#[derive(Clone, Debug)]
pub(super) struct RunFact {
    pub instance: String,
    pub task: TaskName,
    pub attempt: u64,
    pub started: Micros,
    /// When it was over; `Micros::MAX` where it never was.
    pub over: Micros,
    pub end: Option<RunEnd>,
    pub number: u64,
    /// When the end was taken note of.
    pub noted: Option<Micros>,
    hold_lapsed: bool,
}

/// What became of handing a job in.
#[derive(Clone, Debug, Default)]
pub(super) struct SubmitFact {
    pub first_sent: Option<Micros>,
    pub attempts: u64,
    pub rejections: u64,
    pub accepted: Option<Micros>,
    pub cancel_sent: Option<Micros>,
    pub cancelled: Option<Micros>,
}

/// From when to when a runner was up.
#[derive(Clone, Copy, Debug)]
pub(super) struct InstanceSpan {
    pub from: Micros,
    pub until: Micros,
}

/// Everything that follows from what was seen.
#[derive(Default)]
pub(super) struct Facts {
    pub runs: Vec<RunFact>,
    pub runs_of: BTreeMap<TaskName, Vec<usize>>,
    pub runs_of_step: BTreeMap<StepName, Vec<usize>>,
    pub runs_of_instance: BTreeMap<String, Vec<usize>>,
    pub runners: BTreeMap<String, RunnerFacts>,
    pub submits: BTreeMap<String, SubmitFact>,
    pub instances: BTreeMap<String, InstanceSpan>,
    pub drains: BTreeMap<String, Micros>,
    /// Every configuration that was sent and valid.
    pub configurations: Vec<Configuration>,
    pub day_end: Option<Micros>,
}

impl Facts {
    /// Reads a day.
    pub(super) fn gather(history: &History) -> Facts {
        let mut facts = Facts::default();
        for seen in &history.observations {
            facts.take(seen.at, &seen.observation);
        }
        facts
    }

    fn take(&mut self, at: Micros, observation: &Observation) {
        match observation {
            Observation::SubmitSent { job } => {
                let submit = self.submits.entry(job.clone()).or_default();
                submit.first_sent.get_or_insert(at);
                submit.attempts += 1;
            }
            Observation::SubmitAnswered { job, answer } => self.take_submit(at, job, *answer),
            Observation::CancelSent { job } => {
                self.submits
                    .entry(job.clone())
                    .or_default()
                    .cancel_sent
                    .get_or_insert(at);
            }
            Observation::CancelAnswered { job, answer } if answer.is_success() => {
                self.submits
                    .entry(job.clone())
                    .or_default()
                    .cancelled
                    .get_or_insert(at);
            }
            Observation::RunnerUp(runner) => {
                self.instances.insert(
                    runner.instance.clone(),
                    InstanceSpan {
                        from: at,
                        until: Micros::MAX,
                    },
                );
                self.runners.insert(runner.instance.clone(), runner.clone());
            }
            Observation::RunnerDown { instance } => self.take_down(at, instance),
            Observation::Started(start) => self.take_start(at, start),
            Observation::Ended(end) => self.take_end(at, end),
            Observation::Observed { instance, number } => self.take_observed(at, instance, *number),
            Observation::LeaseExpired { instance } => self.take_lapse(instance),
            Observation::DrainAcknowledged { instance } => {
                self.drains.insert(instance.clone(), at);
            }
            Observation::OrderSent(order) => self.configurations.extend(order.content.clone()),
            Observation::DayEnd => self.day_end = Some(at),
            _ => (),
        }
    }

    fn take_submit(&mut self, at: Micros, job: &str, answer: Answer) {
        let submit = self.submits.entry(job.to_owned()).or_default();
        if answer.is_success() {
            submit.accepted.get_or_insert(at);
        } else if answer.is_rejection() {
            submit.rejections += 1;
        }
    }

    fn take_start(&mut self, at: Micros, start: &ObservedStart) {
        let Some(task) = TaskName::parse(&start.task) else {
            return;
        };
        let index = self.runs.len();
        self.runs_of.entry(task.clone()).or_default().push(index);
        self.runs_of_step
            .entry(task.step_name())
            .or_default()
            .push(index);
        self.runs_of_instance
            .entry(start.instance.clone())
            .or_default()
            .push(index);
        self.runs.push(RunFact {
            instance: start.instance.clone(),
            task,
            attempt: start.attempt,
            started: at,
            over: Micros::MAX,
            end: None,
            number: 0,
            noted: None,
            hold_lapsed: false,
        });
    }

    fn take_end(&mut self, at: Micros, end: &ObservedEnd) {
        let Some(indices) = self.runs_of.get(&end.task) else {
            return;
        };
        for index in indices {
            let run = &mut self.runs[*index];
            let same = run.instance == end.instance && run.attempt == end.attempt;
            if same && run.over == Micros::MAX && end.end != RunEnd::Rejected {
                run.over = at;
                run.end = Some(end.end);
                run.number = end.number;
            }
        }
    }

    fn take_down(&mut self, at: Micros, instance: &str) {
        if let Some(span) = self.instances.get_mut(instance) {
            span.until = at;
        }
        for index in self.runs_of_instance.get(instance).into_iter().flatten() {
            let run = &mut self.runs[*index];
            run.over = run.over.min(at);
        }
    }

    fn take_observed(&mut self, at: Micros, instance: &str, number: u64) {
        for index in self.runs_of_instance.get(instance).into_iter().flatten() {
            let run = &mut self.runs[*index];
            if run.end.is_some() && run.number <= number && !run.hold_lapsed {
                run.noted.get_or_insert(at);
            }
        }
    }

    fn take_lapse(&mut self, instance: &str) {
        for index in self.runs_of_instance.get(instance).into_iter().flatten() {
            let run = &mut self.runs[*index];
            if run.end.is_some() && run.noted.is_none() {
                run.hold_lapsed = true;
            }
        }
    }

    /// The most attempts that any configuration allows a queue.
    pub(super) fn max_attempts(&self, prefix: &str) -> u64 {
        let routes = self
            .configurations
            .iter()
            .flat_map(|configuration| configuration.routes.values());
        routes
            .filter(|route| route.path_prefix == prefix)
            .map(|route| route.max_attempts)
            .max()
            .unwrap_or(u64::MAX)
    }

    /// The services to which some configuration sends a queue.
    pub(super) fn services(&self, prefix: &str) -> BTreeSet<String> {
        let routes = self
            .configurations
            .iter()
            .flat_map(|configuration| configuration.routes.values());
        routes
            .filter(|route| route.path_prefix == prefix)
            .map(|route| route.service.clone())
            .collect()
    }

    /// The runs of a task.
    pub(super) fn of_task(&self, task: &TaskName) -> impl Iterator<Item = &RunFact> {
        self.runs_of
            .get(task)
            .into_iter()
            .flatten()
            .map(|index| &self.runs[*index])
    }

    /// The runs of a step at one time.
    pub(super) fn of_step(&self, step: &StepName) -> impl Iterator<Item = &RunFact> {
        self.runs_of_step
            .get(step)
            .into_iter()
            .flatten()
            .map(|index| &self.runs[*index])
    }

    /// The runs at a runner that go on at an instant, what started before in the same instant included.
    pub(super) fn going_at(&self, instance: &str, run: &RunFact) -> Vec<&RunFact> {
        let indices = self.runs_of_instance.get(instance).into_iter().flatten();
        let all = indices.map(|index| &self.runs[*index]);
        all.filter(|other| other.started <= run.started && other.over > run.started)
            .collect()
    }
}
