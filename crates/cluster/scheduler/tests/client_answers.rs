//! The scheduler's answers to client requests: status, `Retry-After` in milliseconds and body of each outcome, compared
//! with `fixtures/client_answers.txt`.
//!
//! Guards against unintended changes of these answers, which the gateway forwards to clients as they are.

mod test_cluster;

use sagetrail_fixture::transcript::{http_answer, Transcript};
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod::{Cancel, Read, Submit};
use sagetrail_protocol::client::{ClientMethod, ClientReply};
use test_cluster::{config, start_scheduler, StoredState, TestCluster, START_WALL_MS};

const FIXTURE: &str = "tests/fixtures/client_answers.txt";
const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000bb";
const UNKNOWN_JOB: &str = "00000000000000cc";
const ONE_TASK: &str = r#"{"stages":[{"count":1,"cpu":500}]}"#;
/// The maximum number of jobs that the scheduler keeps.
const MAX_JOBS: usize = 40_000;

/// Request bodies that are not valid jobs.
const BAD_JOBS: [&str; 12] = [
    "",
    "{",
    "[]",
    "{}",
    r#"{"stages":[]}"#,
    r#"{"stages":[{"count":0}]}"#,
    r#"{"stages":[{"count":4000000000}]}"#,
    r#"{"stages":[{"count":-1}]}"#,
    r#"{"stages":[{"count":1,"depends_on":[0]}]}"#,
    r#"{"stages":[{"count":1,"depends_on":[7]}]}"#,
    r#"{"stages":[{"count":1,"cpu":"x"}]}"#,
    r#"{"stages":[{"count":1}],"repeat":0}"#,
];

/// Adds an answer to the transcript.
fn add_reply(transcript: &mut Transcript, name: &str, reply: &ClientReply) {
    let answer = http_answer(reply.status, None, &reply.body);
    let retry_after_ms = reply.retry_after_ms;
    transcript.add(name, &format!("again after {retry_after_ms} ms, {answer}"));
}

/// Sends a request, commits its changes and adds the answer to the transcript.
fn add_answer(
    transcript: &mut Transcript,
    cluster: &mut TestCluster,
    name: &str,
    request: (ClientMethod, &str, &str),
) {
    let (method, path, body) = request;
    let number = cluster.request(method, path, body);
    cluster.commit();
    let reply = cluster
        .reply(number)
        .unwrap_or_else(|| panic!("request without an answer: {name}"));
    add_reply(transcript, name, reply);
}

fn job_path(job: &str) -> String {
    format!("/q/{job}")
}

fn add_job_lifecycle(transcript: &mut Transcript) {
    let mut cluster = TestCluster::new(1);
    let path = job_path(JOB);
    add_answer(
        transcript,
        &mut cluster,
        "a queue without jobs",
        (Read, "/q/", ""),
    );
    add_answer(transcript, &mut cluster, "a job", (Submit, &path, ONE_TASK));
    add_answer(
        transcript,
        &mut cluster,
        "the same job again",
        (Submit, &path, ONE_TASK),
    );
    add_answer(
        transcript,
        &mut cluster,
        "the same job with another body",
        (Submit, &path, "{"),
    );
    add_answer(transcript, &mut cluster, "its queue", (Read, "/q/", ""));
    add_answer(transcript, &mut cluster, "its state", (Read, &path, ""));
    cluster.execute_commands();
    add_answer(
        transcript,
        &mut cluster,
        "its state once it runs",
        (Read, &path, ""),
    );
    cluster.end_all_runs(RunEnd::Done);
    add_answer(
        transcript,
        &mut cluster,
        "its state at its end",
        (Read, &path, ""),
    );
    add_answer(
        transcript,
        &mut cluster,
        "its cancellation after its end",
        (Cancel, &path, ""),
    );
    add_answer(
        transcript,
        &mut cluster,
        "its state after that",
        (Read, &path, ""),
    );

    let path = job_path(OTHER_JOB);
    add_answer(
        transcript,
        &mut cluster,
        "another job",
        (Submit, &path, ONE_TASK),
    );
    add_answer(
        transcript,
        &mut cluster,
        "its cancellation",
        (Cancel, &path, ""),
    );
    add_answer(
        transcript,
        &mut cluster,
        "its cancellation again",
        (Cancel, &path, ""),
    );
    add_answer(
        transcript,
        &mut cluster,
        "its state when cancelled",
        (Read, &path, ""),
    );

    let mut cluster = TestCluster::with_config(1, config(1, 1, 1));
    let path = job_path(JOB);
    add_answer(
        transcript,
        &mut cluster,
        "a job with one attempt",
        (Submit, &path, ONE_TASK),
    );
    cluster.execute_commands();
    cluster.end_all_runs(RunEnd::Failed);
    add_answer(
        transcript,
        &mut cluster,
        "its state when failed",
        (Read, &path, ""),
    );
}

fn add_job_not_yet_due(transcript: &mut Transcript) {
    let mut cluster = TestCluster::new(1);
    let path = job_path(JOB);
    let first_run_ms = START_WALL_MS + 60_000;
    let body = format!(
        r#"{{"stages":[{{"count":1,"cpu":500}}],"repeat":2,"first_run_ms":{first_run_ms},"interval_ms":2000}}"#
    );
    add_answer(
        transcript,
        &mut cluster,
        "a job for later",
        (Submit, &path, &body),
    );
    add_answer(
        transcript,
        &mut cluster,
        "its state before",
        (Read, &path, ""),
    );
}

fn add_rejected_requests(transcript: &mut Transcript) {
    let mut cluster = TestCluster::new(1);
    let unknown = job_path(UNKNOWN_JOB);
    add_answer(
        transcript,
        &mut cluster,
        "an unknown job's state",
        (Read, &unknown, ""),
    );
    add_answer(
        transcript,
        &mut cluster,
        "an unknown job's cancellation",
        (Cancel, &unknown, ""),
    );
    add_answer(
        transcript,
        &mut cluster,
        "no such queue",
        (Read, "/none/", ""),
    );
    add_answer(
        transcript,
        &mut cluster,
        "no such queue, with a job",
        (Submit, "/none/00000000000000aa", ONE_TASK),
    );
    for path in ["/q/nothex", "/q/00000000000000AA", "/q/0a", "/q/"] {
        add_answer(
            transcript,
            &mut cluster,
            &format!("POST {path}"),
            (Submit, path, ONE_TASK),
        );
    }
    add_answer(transcript, &mut cluster, "DELETE /q/", (Cancel, "/q/", ""));
    for body in BAD_JOBS {
        add_answer(
            transcript,
            &mut cluster,
            &format!("no job: {body}"),
            (Submit, &job_path(JOB), body),
        );
    }
}

fn add_job_over_the_limit(transcript: &mut Transcript) {
    let mut cluster = TestCluster::new(0);
    for number in 0..MAX_JOBS {
        cluster.submit(&format!("{number:016x}"), ONE_TASK);
    }
    let path = job_path(&format!("{MAX_JOBS:016x}"));
    add_answer(
        transcript,
        &mut cluster,
        "one job over those kept",
        (Submit, &path, ONE_TASK),
    );
}

fn add_request_without_configuration(transcript: &mut Transcript) {
    let mut cluster = TestCluster::new(0);
    cluster.scheduler = start_scheduler(cluster.now, 2, 7, &StoredState::default());
    add_answer(
        transcript,
        &mut cluster,
        "without a configuration",
        (Submit, &job_path(JOB), ONE_TASK),
    );
}

#[test]
fn every_answer_equals_the_fixture() {
    let mut transcript = Transcript::default();
    add_job_lifecycle(&mut transcript);
    add_job_not_yet_due(&mut transcript);
    add_rejected_requests(&mut transcript);
    add_job_over_the_limit(&mut transcript);
    add_request_without_configuration(&mut transcript);
    transcript.assert_kept(FIXTURE);
}
