//! Submits the planned jobs when they are due, however long answers take, and asks for the state of those whose
//! tasks have ended.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::sync::mpsc;

use crate::call::{Answer, Call, Caller};
use crate::plan::{PlannedJob, TaskText};
use crate::run_statistics::{CompletedJob, Counts, ExpectedJob, RunStatistics};
use crate::scenario::{JobShape, Scenario};
use crate::timings::Timing;

/// A client waits so long for an answer, and tries so often.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ATTEMPTS: usize = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Of so many jobs one is asked about.
const ASKED_OF: u64 = 8;
/// A job is asked about this often, and no longer than this.
const ASK_INTERVAL: Duration = Duration::from_millis(20);
const ASK_PATIENCE: Duration = Duration::from_secs(10);
/// All timings together.
const ALL: &str = "all";

/// Plays the load.
#[derive(Clone)]
pub struct Load {
    /// What is played.
    pub scenario: Arc<Scenario>,
    /// Where submissions and answers are recorded.
    pub statistics: Arc<RunStatistics>,
    /// Makes the calls.
    pub caller: Caller,
    /// The frontends, used in rotation.
    pub frontends: Arc<Vec<SocketAddrV4>>,
    /// The start of the load; planned times count from here.
    pub started: Instant,
}

impl Load {
    /// Submits all jobs of the plan.
    pub async fn submit_all(self, plan: Vec<PlannedJob>) {
        for job in plan {
            tokio::time::sleep_until((self.started + job.at).into()).await;
            tokio::spawn(self.clone().submit(job));
        }
    }

    async fn submit(self, job: PlannedJob) {
        let shape = &self.scenario.job[job.shape];
        let due = self.started + job.at;
        let measured = job.at.as_secs_f64() >= self.scenario.warm_up_s;
        let (name, left) = (shape.name.clone(), shape.steps * shape.tasks);
        self.statistics.expect(
            job.id,
            ExpectedJob {
                due,
                shape: name.clone(),
                measured,
                left,
                started: false,
            },
        );
        self.record(measured, Timing::SendDelay, ALL, due.elapsed());
        let body = document(shape, job.work_ms).to_string().into_bytes();
        for attempt in 0..MAX_ATTEMPTS {
            let frontend =
                self.frontends[(job.id as usize).wrapping_add(attempt) % self.frontends.len()];
            let path = format!("/{name}/{:016x}", job.id);
            let call = Call {
                method: "POST",
                path,
                base_version: None,
                body: body.clone(),
                timeout: ANSWER_TIMEOUT,
            };
            match self.caller.call(frontend, call).await {
                Ok(Answer {
                    status: 200..=299, ..
                }) => {
                    Counts::add(&self.statistics.counts.accepted);
                    return self.record(measured, Timing::SubmitToAccept, &name, due.elapsed());
                }
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        Counts::add(&self.statistics.counts.refused);
    }

    /// Asks about some of the jobs whose tasks have all ended until they are told to be completed.
    pub async fn ask_all(self, mut over: mpsc::UnboundedReceiver<CompletedJob>) {
        while let Some(job) = over.recv().await {
            if job.id % ASKED_OF == 0 && job.measured {
                tokio::spawn(self.clone().ask(job));
            }
        }
    }

    async fn ask(self, job: CompletedJob) {
        let frontend = self.frontends[job.id as usize % self.frontends.len()];
        while job.at.elapsed() < ASK_PATIENCE {
            let path = format!("/{}/{:016x}", job.shape, job.id);
            let call = Call {
                method: "GET",
                path,
                base_version: None,
                body: Vec::new(),
                timeout: ANSWER_TIMEOUT,
            };
            if let Ok(answer) = self.caller.call(frontend, call).await {
                if is_completed(&answer) {
                    return self.record(true, Timing::EndToDone, &job.shape, job.at.elapsed());
                }
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    fn record(&self, measured: bool, timing: Timing, of: &str, time: Duration) {
        if measured {
            self.statistics.timings.record(timing, of, time);
        }
    }
}

fn is_completed(answer: &Answer) -> bool {
    let document: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    answer.status == 200 && document["state"] == "completed"
}

/// A job's document; each step waits for the one before.
pub fn document(shape: &JobShape, work_ms: u64) -> Value {
    let stage = |number: u32| {
        let mut stage = json!({
            "count": shape.tasks, "cpu": shape.cpu, "mem_mb": shape.mem_mb, "estimate_ms": work_ms,
        });
        if shape.gpu > 0 {
            stage["gpu"] = json!(shape.gpu);
        }
        if shape.gang {
            stage["gang"] = json!(true);
            stage["rack_local"] = json!(shape.rack_local);
        }
        if number > 0 {
            stage["depends_on"] = json!([number - 1]);
        }
        stage
    };
    let stages: Vec<Value> = (0..shape.steps).map(stage).collect();
    let gang = if shape.gang { shape.tasks } else { 0 };
    json!({ "spec": TaskText { work_ms, gang }.write(), "stages": stages })
}
