//! Clients' requests: hand in, read, cancel.

use crate::ids::JobId;
use crate::job::{Job, JobAttributes};
use crate::records::Outcome;
use crate::scheduler::Scheduler;
use crate::spec::JobSpec;
use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{Blob, Message, NodeId};
use serde_json::json;

/// So many jobs at the most, ended ones included: their records stay under a quarter of a core machine's memory.
const MAX_JOBS: usize = 40_000;
/// What a client that is turned away waits before it tries again, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// The queue and, where it names one, the job of a path.
struct Target {
    queue: String,
    service: String,
    max_attempts: u32,
    priority: u32,
    extension: f64,
    target_ms: f64,
    /// What follows the prefix.
    rest: String,
}

/// A status with its body.
struct Answer {
    status: u16,
    body: Vec<u8>,
    retry_after_ms: u32,
}

impl Answer {
    fn status(status: u16) -> Answer {
        Answer {
            status,
            body: Vec::new(),
            retry_after_ms: 0,
        }
    }

    fn json(status: u16, value: serde_json::Value) -> Answer {
        Answer {
            status,
            body: value.to_string().into_bytes(),
            retry_after_ms: 0,
        }
    }

    fn rejected(status: u16) -> Answer {
        Answer {
            retry_after_ms: RETRY_AFTER_MS,
            ..Answer::status(status)
        }
    }
}

impl Scheduler {
    /// Answers a client's request, now or once its effect is kept.
    pub(crate) fn client_request(&mut self, now: Now, from: NodeId, request: ClientRequest) {
        let Some(config) = &self.config else {
            return self.answer(from, request.request, 0, Answer::rejected(503));
        };
        if config.version < request.config_version {
            return; // The gateway knows a newer one; it asks again, and by then so do we.
        }
        let target = config
            .route(&request.host, &request.path)
            .map(|found| Target {
                queue: found.route.name.clone(),
                service: found.route.service.clone(),
                max_attempts: found.route.max_attempts.max(1),
                priority: found.route.priority,
                extension: found.route.extension,
                target_ms: found.route.target_latency_ms,
                rest: found.rest.to_owned(),
            });
        let Some(target) = target else {
            return self.answer(from, request.request, 0, Answer::status(404));
        };
        if target.rest.is_empty() && request.method == ClientMethod::Read {
            let pending = self.pending(&target.queue);
            return self.answer(
                from,
                request.request,
                0,
                Answer::json(200, json!({ "pending": pending })),
            );
        }
        let Some(id) = JobId::parse(&target.rest) else {
            return self.answer(
                from,
                request.request,
                0,
                Answer::json(400, json!({ "error": "no job's ID" })),
            );
        };
        match request.method {
            ClientMethod::Submit => self.submit(now, from, request, target, id),
            ClientMethod::Read => self.read(from, request.request, id),
            ClientMethod::Cancel => self.cancel(now, from, request.request, id),
        }
    }

    fn submit(
        &mut self,
        now: Now,
        from: NodeId,
        request: ClientRequest,
        target: Target,
        id: JobId,
    ) {
        if let Some(job) = self.jobs.get(&id) {
            let batch = job.batch;
            return self.answer(from, request.request, batch, Answer::status(200));
        }
        if self.jobs.len() >= MAX_JOBS {
            return self.answer(from, request.request, 0, Answer::rejected(429));
        }
        let spec = match JobSpec::parse(&request.body) {
            Ok(spec) => spec,
            Err(error) => {
                let body = json!({ "error": error.to_string() });
                return self.answer(from, request.request, 0, Answer::json(400, body));
            }
        };
        let attributes = JobAttributes {
            queue: target.queue,
            service: target.service,
            max_attempts: target.max_attempts,
            priority: target.priority,
            order: self.next_order,
            accepted_ms: self.time_of_day.millis(now),
            extension: target.extension,
            target_ms: target.target_ms,
        };
        self.next_order += 1;
        self.jobs.insert(
            id,
            Job::new(id, attributes, spec, request.body.0, now.steady),
        );
        self.active.insert(id);
        self.write_job(id);
        self.enqueue_job(now, id);
        let batch = self.jobs.get(&id).map_or(0, |job| job.batch);
        self.answer(from, request.request, batch, Answer::status(200));
    }

    fn read(&mut self, from: NodeId, request: u64, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return self.answer(from, request, 0, Answer::status(410));
        };
        let state = match job.outcome {
            Outcome::Active if job.has_started => "running",
            Outcome::Active => "queued",
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::Cancelled => "cancelled",
        };
        let batch = job.batch;
        self.answer(
            from,
            request,
            batch,
            Answer::json(200, json!({ "state": state })),
        );
    }

    fn cancel(&mut self, now: Now, from: NodeId, request: u64, id: JobId) {
        if !self.jobs.contains_key(&id) {
            return self.answer(from, request, 0, Answer::status(410));
        }
        self.end_job(now, id, Outcome::Cancelled);
        let batch = self.jobs.get(&id).map_or(0, |job| job.batch);
        self.answer(from, request, batch, Answer::status(200));
    }

    /// How many jobs of a queue have not ended.
    fn pending(&self, queue: &str) -> usize {
        let jobs = self.active.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job| job.attributes.queue == queue).count()
    }

    /// Answers once the batch is kept; at once for batch 0.
    fn answer(&mut self, to: NodeId, request: u64, batch: u64, answer: Answer) {
        let reply = ClientReply {
            request,
            status: answer.status,
            retry_after_ms: answer.retry_after_ms,
            body: Blob(answer.body),
            config_version: self.config.as_ref().map_or(0, |config| config.version),
        };
        self.commit_queue
            .send_after(batch, to, Message::ClientReply(reply));
    }
}
