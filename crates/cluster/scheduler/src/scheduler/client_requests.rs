//! Clients' requests: submit, read and cancel a job, count a queue's jobs.

use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{Blob, Message, NodeId};
use serde_json::json;

use super::Scheduler;
use crate::ids::JobId;
use crate::job::{Job, JobAttributes, QueueAttributes};
use crate::records::Outcome;
use crate::spec::JobSpec;

/// The most jobs, ended ones included: their records stay under a quarter of a core machine's memory.
const MAX_JOBS: usize = 40_000;
/// When a rejected client may try again, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;
/// Names no batch: the answer waits for no commit.
const NO_BATCH: u64 = 0;

/// What a request's path names.
struct Target {
    queue: QueueAttributes,
    /// What follows the queue's prefix: a job's ID, or nothing for the queue itself.
    job: String,
}

/// Whom to answer.
#[derive(Clone, Copy)]
struct Caller {
    /// The gateway that forwarded the request.
    gateway: NodeId,
    /// The gateway's number of the request.
    request: u64,
}

/// The answer to a request.
struct Answer {
    /// The HTTP status.
    status: u16,
    /// JSON, or empty.
    body: Vec<u8>,
    /// When the client may try again, in milliseconds; 0 for no such hint.
    retry_after_ms: u32,
    /// The answer leaves once this batch is committed.
    after_batch: u64,
}

impl Answer {
    fn status(status: u16) -> Answer {
        Answer {
            status,
            body: Vec::new(),
            retry_after_ms: 0,
            after_batch: NO_BATCH,
        }
    }

    fn json(status: u16, value: serde_json::Value) -> Answer {
        Answer {
            body: value.to_string().into_bytes(),
            ..Answer::status(status)
        }
    }

    fn rejected(status: u16) -> Answer {
        Answer {
            retry_after_ms: RETRY_AFTER_MS,
            ..Answer::status(status)
        }
    }

    fn after(self, batch: u64) -> Answer {
        Answer {
            after_batch: batch,
            ..self
        }
    }
}

impl Scheduler {
    /// Answers a client's request, now or once its effect is committed. Not at all where the gateway knows a newer
    /// configuration: it retries, and by then this process has it as well.
    pub(super) fn client_request(&mut self, now: Now, gateway: NodeId, request: ClientRequest) {
        let config_version = self.config.as_ref().map(|config| config.version);
        if config_version.is_some_and(|version| version < request.config_version) {
            return;
        }
        let caller = Caller {
            gateway,
            request: request.request,
        };
        let answer = self.handle(now, request);
        self.reply(caller, answer);
    }

    fn handle(&mut self, now: Now, request: ClientRequest) -> Answer {
        let Some(config) = &self.config else {
            return Answer::rejected(503);
        };
        let target = config
            .route(&request.host, &request.path)
            .map(|found| Target {
                queue: QueueAttributes::from(found.route),
                job: found.rest.to_owned(),
            });
        let Some(target) = target else {
            return Answer::status(404);
        };
        if target.job.is_empty() && request.method == ClientMethod::Read {
            let pending = self.jobs.active_in_queue(&target.queue.name);
            return Answer::json(200, json!({ "pending": pending }));
        }
        let Some(id) = JobId::parse(&target.job) else {
            return Answer::json(400, json!({ "error": "no job's ID" }));
        };
        match request.method {
            ClientMethod::Submit => self.submit(now, id, target.queue, request.body),
            ClientMethod::Read => self.read(id),
            ClientMethod::Cancel => self.cancel(now, id),
        }
    }

    fn submit(&mut self, now: Now, id: JobId, queue: QueueAttributes, body: Blob) -> Answer {
        if let Some(job) = self.jobs.get(id) {
            return Answer::status(200).after(job.batch);
        }
        if self.jobs.len() >= MAX_JOBS {
            return Answer::rejected(429);
        }
        let spec = match JobSpec::parse(&body) {
            Ok(spec) => spec,
            Err(error) => return Answer::json(400, json!({ "error": error.to_string() })),
        };
        let attributes = JobAttributes {
            queue,
            order: self.jobs.take_order(),
            accepted_ms: self.time_of_day.millis(now),
        };
        self.jobs
            .insert(Job::new(id, attributes, spec, body.0, now.steady));
        self.write_job(id);
        self.enqueue_job(now, id);
        Answer::status(200).after(self.batch_of(id))
    }

    fn read(&self, id: JobId) -> Answer {
        let Some(job) = self.jobs.get(id) else {
            return Answer::status(410);
        };
        let state = match job.outcome {
            Outcome::Active if job.has_started => "running",
            Outcome::Active => "queued",
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
        };
        Answer::json(200, json!({ "state": state })).after(job.batch)
    }

    fn cancel(&mut self, now: Now, id: JobId) -> Answer {
        if self.jobs.get(id).is_none() {
            return Answer::status(410);
        }
        self.end_job(now, id, Outcome::Cancelled);
        Answer::status(200).after(self.batch_of(id))
    }

    /// The batch with the newest change of a job's outcome.
    fn batch_of(&self, id: JobId) -> u64 {
        self.jobs.get(id).map_or(NO_BATCH, |job| job.batch)
    }

    fn reply(&mut self, caller: Caller, answer: Answer) {
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
