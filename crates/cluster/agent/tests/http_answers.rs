//! Guards against unintended changes of the agent's HTTP answers to its runner: the status, `Retry-After` and body of
//! each answer must equal the transcript in `fixtures/http_answers.txt` byte by byte.

mod common;

use serde_json::json;

use sagetrail_agent::{MAX_HEARTBEAT_BYTES, MAX_INSTANCE_BYTES};
use sagetrail_fixture::transcript::Transcript;
use sagetrail_protocol::agent::{RunnerCommands, MAX_ACTIVE_RUNS};
use sagetrail_protocol::node::{
    Event, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId, Method,
};
use sagetrail_protocol::List;

use common::{commands, commands_with_start, start, stop, TestAgent, INSTANCE, TASK};

const TRANSCRIPT_PATH: &str = "tests/fixtures/http_answers.txt";
const HEARTBEAT: &str = "/v1/instances/i-7f3a91c2/heartbeat";
const DEREGISTER: &str = "/v1/instances/i-7f3a91c2/deregister";
/// A request id that no other request in this test has.
const UNIQUE_REQUEST: HttpRequestId = HttpRequestId(900_000);

/// Heartbeats that cannot be parsed.
const MALFORMED_HEARTBEATS: [&str; 10] = [
    "",
    "[",
    "7",
    r#"{"seq":"x"}"#,
    r#"{"active":[[1]]}"#,
    r#"{"active":[["t"]]}"#,
    r#"{"active":{}}"#,
    r#"{"finished":[[1,"t",1]]}"#,
    r#"{"capacity":{"cpu":"all"}}"#,
    r#"{"labels":[1]}"#,
];

fn add(transcript: &mut Transcript, name: &str, reply: &HttpReply) {
    transcript.add_answer(name, reply.status, reply.retry_after_s, &reply.body);
}

/// Sends a request with the given endpoint, method and path and returns the answer.
fn request(agent: &mut TestAgent, endpoint: HttpEndpoint, method: Method, path: &str) -> HttpReply {
    let http_request = HttpRequest {
        method,
        host: String::new(),
        path: path.to_owned(),
        base_version: None,
        deadline_ms: None,
        body: b"{}".to_vec(),
    };
    let id = UNIQUE_REQUEST;
    agent
        .handle(Event::Http {
            id,
            endpoint,
            request: http_request,
        })
        .expect("an immediate answer")
}

fn heartbeats_without_a_scheduler(transcript: &mut Transcript) {
    let mut agent = TestAgent::new();
    let idle = agent.heartbeat_of(INSTANCE, 1, json!({}));
    add(transcript, "no scheduler, nothing runs", &idle);
    let active = json!({"active":[[TASK, 2, "00000bb87a21d94b", 41]]});
    let busy = agent.heartbeat_of(INSTANCE, 2, active);
    add(transcript, "no scheduler, a run", &busy);
    let bare = agent.post(HEARTBEAT, b"{}".to_vec());
    add(transcript, "a heartbeat that says nothing", &bare);
}

fn heartbeats_under_a_lease(transcript: &mut Transcript) {
    let mut agent = TestAgent::connected();
    let idle = agent.heartbeat_of(INSTANCE, 3, json!({}));
    add(transcript, "a lease, nothing runs", &idle);
    let commands = RunnerCommands {
        start: List(vec![start("a.0.0.0", 3), start("b.0.0.0", 1)]),
        stop: List(vec![stop("d.0.0.0", 1), stop("e.0.0.0", 1)]),
        observed: 58,
        retry_after_ms: 70,
        ..commands(7, 1)
    };
    agent.receive_answer(commands);
    let lists = json!({"active":[["b.0.0.0",1,"",0],["d.0.0.0",1,"",9.5],["e.0.0.0",1,"",1]],
        "finished":[[59,"c.0.0.0",1,"done",""]]});
    let answer = agent.heartbeat_of(INSTANCE, 4, lists);
    add(transcript, "a start and two stops", &answer);
    let late = agent.heartbeat_of(INSTANCE, 4, json!({}));
    add(transcript, "a heartbeat that was heard before", &late);
    let draining = agent.heartbeat_of(INSTANCE, 5, json!({"state":"draining","remaining_ms":4000}));
    add(transcript, "a runner that drains", &draining);
}

fn heartbeats_around_the_lease_expiry(transcript: &mut Transcript) {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands(1, 1));
    let short = RunnerCommands {
        lease_ms: 3000,
        ..commands_with_start(1, 2)
    };
    agent.receive_answer(short);
    agent.now = agent.now.plus_millis(12_000 - 1_200);
    for (sequence, name, advance_ms) in [
        (3, "1200 ms of a lease are left", 900),
        (4, "300 ms of a lease are left", 300),
        (5, "the lease is over", 0),
    ] {
        add(
            transcript,
            name,
            &agent.heartbeat_of(INSTANCE, sequence, json!({})),
        );
        agent.now = agent.now.plus_millis(advance_ms);
    }
}

fn heartbeats_of_other_instances(transcript: &mut Transcript) {
    let mut agent = TestAgent::connected();
    let first = agent.heartbeat_of("i-2", 1, json!({}));
    add(transcript, "the first of an unknown instance", &first);
    let second = agent.heartbeat_of("i-2", 2, json!({}));
    add(transcript, "its second", &second);
    let replaced = agent.heartbeat_of(INSTANCE, 4, json!({}));
    add(transcript, "the instance that it replaced", &replaced);
}

fn malformed_heartbeats(transcript: &mut Transcript) {
    let mut agent = TestAgent::connected();
    for body in MALFORMED_HEARTBEATS {
        let reply = agent.post(HEARTBEAT, body.into());
        add(transcript, &format!("no heartbeat: {body}"), &reply);
    }
    let many = vec![json!(["t", 1, "", 0]); MAX_ACTIVE_RUNS + 1];
    let many = serde_json::to_vec(&json!({ "active": many })).unwrap();
    add(transcript, "one run too many", &agent.post(HEARTBEAT, many));
    let long = vec![b' '; MAX_HEARTBEAT_BYTES + 1];
    add(
        transcript,
        "one byte too many",
        &agent.post(HEARTBEAT, long),
    );
}

fn deregistration(transcript: &mut Transcript) {
    let mut agent = TestAgent::connected();
    let other = agent.post("/v1/instances/i-9/deregister", Vec::new());
    add(transcript, "deregistration of an unknown instance", &other);
    let reply = agent.post(DEREGISTER, Vec::new());
    add(transcript, "deregistration", &reply);
    let again = agent.post(DEREGISTER, Vec::new());
    add(transcript, "deregistration again", &again);
    agent.receive_answer(commands_with_start(1, 2));
    let answer = agent.heartbeat_of(INSTANCE, 3, json!({}));
    add(transcript, "a heartbeat after it", &answer);
}

fn paths_and_methods(transcript: &mut Transcript) {
    let mut agent = TestAgent::connected();
    let long = format!(
        "/v1/instances/{}/heartbeat",
        "i".repeat(MAX_INSTANCE_BYTES + 1)
    );
    for (name, path) in [
        ("/", "/"),
        ("/v1/other", "/v1/other"),
        ("/v1/instances/", "/v1/instances/"),
        ("/v1/instances//heartbeat", "/v1/instances//heartbeat"),
        ("/v1/instances/a/b/heartbeat", "/v1/instances/a/b/heartbeat"),
        ("/v1/instances/a/other", "/v1/instances/a/other"),
        ("a name that is too long", &long),
    ] {
        add(
            transcript,
            &format!("POST {name}"),
            &agent.post(path, b"{}".to_vec()),
        );
    }
    for method in [Method::Get, Method::Delete, Method::Other] {
        let name = match method {
            Method::Get => "GET",
            Method::Delete => "DELETE",
            _ => "PUT",
        };
        for path in [HEARTBEAT, DEREGISTER, "/v1/other"] {
            let reply = request(&mut agent, HttpEndpoint::Control, method, path);
            add(transcript, &format!("{name} {path}"), &reply);
        }
    }
    let reply = request(
        &mut agent,
        HttpEndpoint::Readiness,
        Method::Get,
        "/v1/readyz",
    );
    add(transcript, "the readiness address: GET /v1/readyz", &reply);
    let reply = request(&mut agent, HttpEndpoint::Frontend, Method::Post, HEARTBEAT);
    add(
        transcript,
        &format!("the clients' address: POST {HEARTBEAT}"),
        &reply,
    );
}

#[test]
fn every_answer_equals_the_stored_transcript() {
    let mut transcript = Transcript::default();
    heartbeats_without_a_scheduler(&mut transcript);
    heartbeats_under_a_lease(&mut transcript);
    heartbeats_around_the_lease_expiry(&mut transcript);
    heartbeats_of_other_instances(&mut transcript);
    malformed_heartbeats(&mut transcript);
    deregistration(&mut transcript);
    paths_and_methods(&mut transcript);
    transcript.assert_kept(TRANSCRIPT_PATH);
}
