//! Guards against an unintended change of the gateway's HTTP answers to clients and to the platform's readiness check:
//! the status, `Retry-After` and body of each outcome are compared with `fixtures/http_answers.txt`, byte by byte.

mod common;

use sagetrail_fixture::transcript::Transcript;
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::client::ClientReply;
use sagetrail_protocol::collections::Blob;
use sagetrail_protocol::node::{Event, HttpEndpoint, HttpRequest, HttpRequestId, Method};
use sagetrail_protocol::{Message, NodeId};

use common::{TestGateway, CORE};

const FIXTURE: &str = "tests/fixtures/http_answers.txt";
/// The id of requests that do not come from `TestGateway::http`; no other request has it.
const EXTRA_REQUEST: HttpRequestId = HttpRequestId(900_000);

/// Adds the answer to a request, which must have been sent by now.
fn add_answer(transcript: &mut Transcript, name: &str, gateway: &TestGateway, id: HttpRequestId) {
    let reply = gateway
        .reply_to(id)
        .unwrap_or_else(|| panic!("no answer: {name}"));
    transcript.add_answer(name, reply.status, reply.retry_after_s, &reply.body);
}

/// Sends a request to an endpoint other than the clients' one and adds its answer, which must be immediate.
fn add_answer_at(
    transcript: &mut Transcript,
    name: &str,
    gateway: &mut TestGateway,
    endpoint: HttpEndpoint,
    request: (Method, &str),
) {
    gateway.clear_outbox();
    let (method, path) = request;
    let request = HttpRequest {
        method,
        host: String::new(),
        path: path.to_owned(),
        base_version: None,
        deadline_ms: None,
        body: Vec::new(),
    };
    let id = EXTRA_REQUEST;
    gateway.handle(Event::Http {
        id,
        endpoint,
        request,
    });
    add_answer(transcript, name, gateway, id);
}

/// Adds the client's answer to a request that the leader answered with this status, `retry_after_ms` and body.
fn add_forwarded_answer(transcript: &mut Transcript, method: Method, answer: (u16, u32, &str)) {
    let mut gateway = TestGateway::connected();
    let id = gateway.http(method, b"{}".to_vec(), None);
    let (status, retry_after_ms, body) = answer;
    let request = gateway.requests()[0].1.request;
    gateway.receive(
        CORE[0],
        Message::ClientReply(ClientReply {
            request,
            status,
            retry_after_ms,
            body: Blob(body.as_bytes().to_vec()),
            config_version: 5,
        }),
    );
    let name = format!("the scheduler says {status}, again after {retry_after_ms} ms: {body}");
    add_answer(transcript, &name, &gateway, id);
}

fn add_rejections_on_arrival(transcript: &mut Transcript) {
    let mut gateway = TestGateway::new();
    let id = gateway.submit();
    add_answer(
        transcript,
        "no scheduler and no configuration",
        &gateway,
        id,
    );

    let mut gateway = TestGateway::connected();
    let id = gateway.http(Method::Other, Vec::new(), None);
    add_answer(transcript, "a method that is none of a job's", &gateway, id);
    let id = gateway.http(Method::Post, vec![b' '; 101], None);
    add_answer(transcript, "a body over the configured limit", &gateway, id);
    gateway.advance(1501);
    let id = gateway.submit();
    add_answer(
        transcript,
        "a new job while the scheduler is silent",
        &gateway,
        id,
    );

    let mut gateway = TestGateway::connected();
    let last = (0..8193)
        .map(|_| gateway.http(Method::Get, Vec::new(), None))
        .last();
    add_answer(
        transcript,
        "one request over those held at once",
        &gateway,
        last.unwrap(),
    );
}

fn add_answers_without_scheduler(transcript: &mut Transcript) {
    let mut gateway = TestGateway::new();
    gateway.receive_update(CORE[1], 5);
    let id = gateway.submit();
    gateway.advance(300);
    add_answer(transcript, "a job that nobody was sent", &gateway, id);

    for (method, name) in [
        (Method::Post, "job"),
        (Method::Get, "read"),
        (Method::Delete, "cancel"),
    ] {
        let mut gateway = TestGateway::connected();
        let id = gateway.http(method, Vec::new(), Some(2000));
        gateway.advance(1850);
        add_answer(
            transcript,
            &format!("a {name} without an answer in time"),
            &gateway,
            id,
        );
    }

    let mut gateway = TestGateway::connected();
    let id = gateway.submit();
    let number = gateway.requests()[0].1.request;
    gateway.receive_not_leader(CORE[0], number, 1, NodeId::default());
    gateway.advance(300);
    add_answer(
        transcript,
        "a job that came back unread from everywhere",
        &gateway,
        id,
    );

    let mut gateway = TestGateway::connected();
    let id = gateway.submit();
    gateway.advance(250);
    let number = gateway.requests()[0].1.request;
    gateway.receive_reply(CORE[0], number, 503);
    add_answer(
        transcript,
        "a job refused while a second copy is out",
        &gateway,
        id,
    );
}

fn add_answers_while_draining(transcript: &mut Transcript) {
    let mut gateway = TestGateway::with_bounds(Bounds {
        grace_s: 6.0,
        ..Bounds::default()
    });
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    gateway.receive_update(CORE[1], 5);
    let pending = gateway.http(Method::Get, Vec::new(), Some(30_000));
    gateway.handle(Event::Terminate);
    gateway.advance(4_500);
    add_answer(
        transcript,
        "a read under way at the end of the grace",
        &gateway,
        pending,
    );
    let id = gateway.submit();
    add_answer(transcript, "a job after that", &gateway, id);
}

fn add_readiness_answers(transcript: &mut Transcript) {
    let ready = (Method::Get, "/v1/readyz");
    let mut gateway = TestGateway::new();
    add_answer_at(
        transcript,
        "not ready: GET /v1/readyz",
        &mut gateway,
        HttpEndpoint::Readiness,
        ready,
    );
    let mut gateway = TestGateway::connected();
    add_answer_at(
        transcript,
        "ready: GET /v1/readyz",
        &mut gateway,
        HttpEndpoint::Readiness,
        ready,
    );
    add_answer_at(
        transcript,
        "ready: GET /readyz",
        &mut gateway,
        HttpEndpoint::Readiness,
        (Method::Get, "/readyz"),
    );
    add_answer_at(
        transcript,
        "ready: POST /v1/readyz",
        &mut gateway,
        HttpEndpoint::Readiness,
        (Method::Post, "/v1/readyz"),
    );
    add_answer_at(
        transcript,
        "ready: GET /other",
        &mut gateway,
        HttpEndpoint::Readiness,
        (Method::Get, "/other"),
    );
    add_answer_at(
        transcript,
        "the operator's address: GET /v1/config/get",
        &mut gateway,
        HttpEndpoint::Control,
        (Method::Get, "/v1/config/get"),
    );
    gateway.handle(Event::Terminate);
    add_answer_at(
        transcript,
        "told to end: GET /v1/readyz",
        &mut gateway,
        HttpEndpoint::Readiness,
        ready,
    );
}

#[test]
fn every_answer_matches_the_fixture() {
    let mut transcript = Transcript::default();
    add_rejections_on_arrival(&mut transcript);
    add_answers_without_scheduler(&mut transcript);
    add_answers_while_draining(&mut transcript);
    for answer in [
        (200, 0, ""),
        (200, 0, r#"{"state":"queued"}"#),
        (400, 0, r#"{"error":"no job's ID"}"#),
        (404, 0, ""),
        (410, 0, ""),
        (429, 1000, ""),
        (429, 1001, ""),
        (503, 1, ""),
    ] {
        add_forwarded_answer(&mut transcript, Method::Post, answer);
    }
    add_forwarded_answer(&mut transcript, Method::Get, (200, 0, r#"{"pending":3}"#));
    add_forwarded_answer(&mut transcript, Method::Delete, (410, 0, ""));
    add_readiness_answers(&mut transcript);
    transcript.assert_kept(FIXTURE);
}
