//! Jobs as clients submit them, and the names of their tasks.

use crate::engine::Micros;
use sagetrail_protocol::agent::Resources;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::fmt;

/// One step of a job.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct StepDefinition {
    /// How many tasks.
    pub count: u64,
    /// Thousandths of a core for each task.
    pub cpu: u64,
    /// Megabytes of memory for each task.
    pub mem_mb: u64,
    /// Graphics processors for each task.
    pub gpu: u64,
    /// How long a task works.
    pub work: Micros,
    /// Indexes of earlier steps that must have ended.
    pub depends_on: Vec<usize>,
    /// The tasks save checkpoints.
    pub checkpoints: bool,
    /// The tasks start together.
    pub gang: bool,
    /// The gang is slower when it is spread over racks.
    pub rack_local: bool,
    /// A label that a runner must have; empty for none.
    pub constraints: String,
    /// The rack of the data; empty for none.
    pub affinity: String,
    /// The most tasks at one runner; 0 for any number.
    pub anti_affinity: u64,
    /// Copies may run in parallel.
    pub speculative: bool,
}

impl StepDefinition {
    /// What one task asks for.
    pub fn asked(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct JobDefinition {
    /// Sixteen hex digits.
    pub id: String,
    /// The specification handed to the run.
    pub spec: String,
    /// The path prefix of its queue.
    pub prefix: String,
    /// The steps.
    pub steps: Vec<StepDefinition>,
    /// The tasks go on until the job is cancelled.
    pub long_running: bool,
    /// So many times; 0: once, at once.
    pub repeat: u64,
    /// When time 0 is due, in milliseconds since 1970.
    pub first_run_ms: i64,
    /// From one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
    /// The share of runs that fail by their own fault.
    pub failing: f64,
}

/// A task: ID.K.STEP.INDEX.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskName {
    /// The job's ID.
    pub job: String,
    /// Which occurrence of a repeated job, from 0.
    pub time: u64,
    /// The step.
    pub step: usize,
    /// The index within the step.
    pub index: u64,
}

/// A step of one time K; a gang is named so.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepName {
    /// The job's ID.
    pub job: String,
    /// Which occurrence of a repeated job, from 0.
    pub time: u64,
    /// The step.
    pub step: usize,
}

impl TaskName {
    /// The task that a name on the wire means.
    pub fn parse(name: &str) -> Option<TaskName> {
        let mut parts = name.split('.');
        let job = parts.next()?.to_owned();
        let time = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        match parts.next() {
            None => Some(TaskName {
                job,
                time,
                step,
                index,
            }),
            Some(_) => None,
        }
    }

    /// Its step.
    pub fn step_name(&self) -> StepName {
        StepName {
            job: self.job.clone(),
            time: self.time,
            step: self.step,
        }
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}.{}",
            self.job, self.time, self.step, self.index
        )
    }
}

impl JobDefinition {
    /// How many times its steps run.
    pub fn times(&self) -> u64 {
        self.repeat.max(1)
    }

    /// The path by which it is submitted and asked for.
    pub fn path(&self) -> String {
        format!("{}{}", self.prefix, self.id)
    }

    /// The step of a task, where the task is one of the job's.
    pub fn step_of(&self, task: &TaskName) -> Option<&StepDefinition> {
        let step = self.steps.get(task.step)?;
        let known = task.job == self.id && task.time < self.times() && task.index < step.count;
        known.then_some(step)
    }

    /// Every task of a step at one time.
    pub fn tasks(&self, time: u64, step: usize) -> Vec<TaskName> {
        let count = self
            .steps
            .get(step)
            .map_or(0, |definition| definition.count);
        (0..count)
            .map(|index| TaskName {
                job: self.id.clone(),
                time,
                step,
                index,
            })
            .collect()
    }

    /// The body by which it is submitted.
    pub fn body(&self) -> Vec<u8> {
        let mut body = Map::new();
        body.insert("spec".into(), json!(self.spec));
        body.insert("stages".into(), self.steps.iter().map(step_body).collect());
        put_true(&mut body, "long_running", self.long_running);
        put_number(&mut body, "repeat", self.repeat);
        if self.repeat > 0 {
            body.insert("first_run_ms".into(), json!(self.first_run_ms));
            put_number(&mut body, "interval_ms", self.interval_ms);
        }
        Value::Object(body).to_string().into_bytes()
    }
}

fn step_body(step: &StepDefinition) -> Value {
    let mut body = Map::new();
    put_number(&mut body, "count", step.count);
    put_number(&mut body, "cpu", step.cpu);
    put_number(&mut body, "mem_mb", step.mem_mb);
    put_number(&mut body, "gpu", step.gpu);
    put_number(&mut body, "estimate_ms", step.work / 1_000);
    put_number(&mut body, "anti_affinity", step.anti_affinity);
    put_true(&mut body, "checkpoints", step.checkpoints);
    put_true(&mut body, "gang", step.gang);
    put_true(&mut body, "rack_local", step.rack_local);
    put_true(&mut body, "speculative", step.speculative);
    put_text(&mut body, "constraints", &step.constraints);
    put_text(&mut body, "affinity", &step.affinity);
    if !step.depends_on.is_empty() {
        body.insert("depends_on".into(), json!(step.depends_on));
    }
    Value::Object(body)
}

fn put_number(body: &mut Map<String, Value>, name: &str, value: u64) {
    if value > 0 {
        body.insert(name.into(), json!(value));
    }
}

fn put_true(body: &mut Map<String, Value>, name: &str, value: bool) {
    if value {
        body.insert(name.into(), json!(true));
    }
}

fn put_text(body: &mut Map<String, Value>, name: &str, value: &str) {
    if !value.is_empty() {
        body.insert(name.into(), json!(value));
    }
}

/// Every job of a day, by its ID.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    /// The jobs.
    pub jobs: BTreeMap<String, JobDefinition>,
}

impl JobTable {
    /// The step of a task that some client sent.
    pub fn step_of(&self, task: &TaskName) -> Option<&StepDefinition> {
        self.jobs.get(&task.job)?.step_of(task)
    }
}
