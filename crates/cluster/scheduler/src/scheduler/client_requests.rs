//! Client requests: submit, read or cancel a job, and count the active jobs of a queue.

use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{Blob, Message, NodeId};
use serde_json::json;

use super::Scheduler;
use crate::ids::JobId;
use crate::job::{Job, JobAttributes, QueueAttributes};
use crate::records::Outcome;
use crate::spec::JobSpec;

/// The maximum number of jobs, including ended ones.
const MAX_JOBS: usize = 40_000;
/// The delay after which a client may retry a request that was rejected with 429 or 503, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;
/// Stands for no batch: an answer with this number is sent without waiting for a commit.
const NO_BATCH: u64 = 0;

/// The queue and job that a request's path addresses.
struct RequestTarget {
    queue: QueueAttributes,
    /// The path after the queue's prefix: a job ID, not validated yet, or empty for the queue itself.
    job_id_text: String,
}

/// The sender of a request, to which the answer goes.
#[derive(Clone, Copy)]
struct Caller {
    /// The gateway that forwarded the request.
    gateway: NodeId,
    /// The number that the gateway gave to the request.
    request: u64,
}

/// The answer to a client's request.
struct Answer {
    /// The HTTP status.
    status: u16,
    /// A JSON document, or empty.
    body: Vec<u8>,
    /// The delay after which the client may retry, in milliseconds; 0 for no retry hint.
    retry_after_ms: u32,
    /// The number of the batch that must be committed before the answer is sent.
    after_batch: u64,
}

impl Answer {
    fn with_status(status: u16) -> Answer {
        Answer {
            status,
            body: Vec::new(),
            retry_after_ms: 0,
            after_batch: NO_BATCH,
        }
    }

    fn with_json(status: u16, value: serde_json::Value) -> Answer {
        Answer {
            body: value.to_string().into_bytes(),
            ..Answer::with_status(status)
        }
    }

    fn retry_later(status: u16) -> Answer {
        Answer {
            retry_after_ms: RETRY_AFTER_MS,
            ..Answer::with_status(status)
        }
    }

    fn after_commit(self, batch: u64) -> Answer {
        Answer {
            after_batch: batch,
            ..self
        }
    }
}

impl Scheduler {
    /// Answers a client's request, at once or after its effect is committed. A request whose gateway has a newer
    /// configuration gets no answer: the gateway retries, and by then this process has received that configuration too.
    pub(super) fn client_request(&mut self, now: Now, gateway: NodeId, request: ClientRequest) {
        let config_version = self.config.as_ref().map(|config| config.version);
        if config_version.is_some_and(|version| version < request.config_version) {
            return;
        }
        let caller = Caller {
            gateway,
            request: request.request,
        };
        let answer = self.handle_request(now, request);
        self.send_reply(caller, answer);
    }

    fn handle_request(&mut self, now: Now, request: ClientRequest) -> Answer {
        let Some(config) = &self.config else {
            return Answer::retry_later(503);
        };
        let target = config
            .route(&request.host, &request.path)
            .map(|found| RequestTarget {
                queue: QueueAttributes::from(found.route),
                job_id_text: found.rest.to_owned(),
            });
        let Some(target) = target else {
            return Answer::with_status(404);
        };
        if target.job_id_text.is_empty() && request.method == ClientMethod::Read {
            let active_jobs = self.jobs.active_in_queue(&target.queue.name);
            return Answer::with_json(200, json!({ "pending": active_jobs }));
        }
        let Some(job_id) = JobId::parse(&target.job_id_text) else {
            return Answer::with_json(400, json!({ "error": "no job's ID" }));
        };
        match request.method {
            ClientMethod::Submit => self.submit_job(now, job_id, target.queue, request.body),
            ClientMethod::Read => self.read_job_state(job_id),
            ClientMethod::Cancel => self.cancel_job(now, job_id),
        }
    }

    fn submit_job(
        &mut self,
        now: Now,
        job_id: JobId,
        queue: QueueAttributes,
        body: Blob,
    ) -> Answer {
        if let Some(job) = self.jobs.get(job_id) {
            return Answer::with_status(200).after_commit(job.batch);
        }
        if self.jobs.len() >= MAX_JOBS {
            return Answer::retry_later(429);
        }
        let spec = match JobSpec::parse(&body) {
            Ok(spec) => spec,
            Err(error) => return Answer::with_json(400, json!({ "error": error.to_string() })),
        };
        let attributes = JobAttributes {
            queue,
            order: self.jobs.take_order(),
            accepted_ms: self.time_of_day.millis(now),
        };
        let job = Job::new(job_id, attributes, spec, body.0.len(), now.steady);
        if !self.jobs.can_accept(&job) {
            self.rejected_by_budget += 1;
            return Answer::retry_later(429);
        }
        self.jobs.insert(job);
        self.write_job(job_id, body.0);
        self.schedule_next_occurrence(job_id);
        Answer::with_status(200).after_commit(self.outcome_batch(job_id))
    }

    fn read_job_state(&self, job_id: JobId) -> Answer {
        let Some(job) = self.jobs.get(job_id) else {
            return Answer::with_status(410);
        };
        let state = match job.outcome {
            Outcome::Active if job.has_started => "running",
            Outcome::Active => "queued",
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
        };
        Answer::with_json(200, json!({ "state": state })).after_commit(job.batch)
    }

    fn cancel_job(&mut self, now: Now, job_id: JobId) -> Answer {
        if self.jobs.get(job_id).is_none() {
            return Answer::with_status(410);
        }
        self.end_job(now, job_id, Outcome::Cancelled);
        Answer::with_status(200).after_commit(self.outcome_batch(job_id))
    }

    /// Returns the number of the batch that holds the newest change of a job's outcome.
    fn outcome_batch(&self, job_id: JobId) -> u64 {
        self.jobs.get(job_id).map_or(NO_BATCH, |job| job.batch)
    }

    fn send_reply(&mut self, caller: Caller, answer: Answer) {
        let reply = ClientReply {
            request: caller.request,
            status: answer.status,
            retry_after_ms: answer.retry_after_ms,
            body: Blob(answer.body),
            config_version: self.config.as_ref().map_or(0, |config| config.version),
        };
        let message = Message::ClientReply(reply);
        self.commits
            .send_after(answer.after_batch, caller.gateway, message);
    }
}
