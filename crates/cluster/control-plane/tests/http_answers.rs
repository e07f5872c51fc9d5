//! The HTTP answers of a core process, compared byte by byte with `fixtures/http_answers.txt`: the status,
//! `Retry-After` and the body of each outcome. The test guards against unintended changes of the interface to operators
//! and probes.

mod support;

use sagetrail_fixture::transcript::Transcript;
use sagetrail_protocol::node::{Event, HttpEndpoint, HttpRequest, HttpRequestId, Method};
use support::cluster::Cluster;
use support::requests::config;

const FIXTURE_PATH: &str = "tests/fixtures/http_answers.txt";
const REPLACE: &str = "/v1/config/replace";
const PATCH: &str = "/v1/config/patch";
const GET: &str = "/v1/config/get";
/// The number of a request that is not sent through `Cluster::http`, which never uses this number.
const EXTRA_REQUEST: u64 = 900_000;
/// The time in milliseconds after which every request must have been answered.
const ANSWER_TIMEOUT_MS: u64 = 6_000;
/// The maximum number of changes, and of configuration reads, that a process keeps in flight.
const MAX_WAITING: usize = 64;
/// The latest isolation after a change was sent, in milliseconds. By then the change has completed.
const LAST_ISOLATION_MS: u64 = 30;
/// The status of a change whose outcome the process does not know.
const OUTCOME_UNKNOWN: u16 = 504;

/// A configuration change: its path, `Base-Version` and body.
type Change<'a> = (&'a str, Option<u64>, &'a str);

/// Adds the answer to a request that has been answered.
fn add_answer(transcript: &mut Transcript, name: &str, cluster: &Cluster, number: u64) {
    let reply = cluster
        .replies
        .get(&number)
        .unwrap_or_else(|| panic!("request {number} has no answer: {name}"));
    transcript.add_answer(name, reply.status, reply.retry_after_s, &reply.body);
}

/// Sends a change to process 0 and adds the answer that it has got within the time limit.
fn add_change(transcript: &mut Transcript, name: &str, cluster: &mut Cluster, change: Change) {
    let (path, base, body) = change;
    let number = cluster.http(0, Method::Post, path, base, body);
    cluster.run(ANSWER_TIMEOUT_MS);
    add_answer(transcript, name, cluster, number);
}

/// Reads the configuration at process 1 and adds the answer.
fn add_read_back(transcript: &mut Transcript, name: &str, cluster: &mut Cluster) {
    let number = cluster.http(1, Method::Get, GET, None, "");
    cluster.run(ANSWER_TIMEOUT_MS);
    add_answer(transcript, name, cluster, number);
}

/// Sends a request to `endpoint`, which is not the operator's, and adds the immediate answer.
fn add_at(
    transcript: &mut Transcript,
    name: &str,
    cluster: &mut Cluster,
    endpoint: HttpEndpoint,
    path: &str,
) {
    cluster.replies.remove(&EXTRA_REQUEST);
    let request = HttpRequest {
        method: Method::Get,
        host: String::new(),
        path: path.to_owned(),
        base_version: None,
        deadline_ms: None,
        body: Vec::new(),
    };
    let id = HttpRequestId(EXTRA_REQUEST);
    cluster.event(
        0,
        Event::Http {
            id,
            endpoint,
            request,
        },
    );
    add_answer(transcript, name, cluster, EXTRA_REQUEST);
}

fn before_the_bootstrap(transcript: &mut Transcript) {
    let mut cluster = Cluster::new(3, 1);
    cluster.start(0, false);
    for (path, method) in [
        (REPLACE, Method::Post),
        (PATCH, Method::Post),
        (GET, Method::Get),
    ] {
        let number = cluster.http(0, method, path, Some(0), &config(5));
        add_answer(
            transcript,
            &format!("not founded: {path}"),
            &cluster,
            number,
        );
    }
    add_at(
        transcript,
        "not founded: readiness",
        &mut cluster,
        HttpEndpoint::Readiness,
        "/v1/readyz",
    );
    add_at(
        transcript,
        "not founded: clients",
        &mut cluster,
        HttpEndpoint::Frontend,
        "/one/1",
    );
}

fn configurations(transcript: &mut Transcript) {
    let mut cluster = Cluster::bootstrapped(3, 2);
    add_read_back(transcript, "read back before any was given", &mut cluster);
    let first_patch = r#"{"version":5,"upsert":{}}"#;
    add_change(
        transcript,
        "a patch of nothing",
        &mut cluster,
        (PATCH, Some(0), first_patch),
    );
    let change = (REPLACE, Some(0), config(5));
    let change = (change.0, change.1, &*change.2);
    add_change(transcript, "the first configuration", &mut cluster, change);
    add_change(transcript, "the same again", &mut cluster, change);
    add_read_back(transcript, "read back", &mut cluster);
    let seventh = config(7);
    add_change(
        transcript,
        "on another base",
        &mut cluster,
        (REPLACE, Some(4), &seventh),
    );
    add_change(
        transcript,
        "on a base to come",
        &mut cluster,
        (REPLACE, Some(9), &seventh),
    );
    add_change(
        transcript,
        "another one on the same base",
        &mut cluster,
        (REPLACE, Some(0), &seventh),
    );
    add_change(
        transcript,
        "the next configuration",
        &mut cluster,
        (REPLACE, Some(5), &seventh),
    );
    add_change(
        transcript,
        "a version that is not above",
        &mut cluster,
        (REPLACE, Some(7), &seventh),
    );
    let patch = r#"{"version":8,"upsert":{"routes":[{"name":"r2","host":"h","path_prefix":"/b/","service":"s","timeout_ms":1}]},"remove":{"routes":["r"]}}"#;
    add_change(transcript, "a patch", &mut cluster, (PATCH, Some(7), patch));
    add_change(
        transcript,
        "the same patch again",
        &mut cluster,
        (PATCH, Some(7), patch),
    );
    add_read_back(transcript, "read back after the patch", &mut cluster);
}

fn refused_configurations(transcript: &mut Transcript) {
    let mut cluster = Cluster::bootstrapped(3, 3);
    let fifth = config(5);
    let bad_replacements = [
        (None, &*fifth),
        (Some(0), ""),
        (Some(0), "[]"),
        (Some(0), r#"{"version":5}"#),
    ];
    for (base, body) in bad_replacements {
        let label = if base.is_none() {
            "without a base"
        } else {
            body
        };
        let name = format!("no replacement: {label}");
        add_change(transcript, &name, &mut cluster, (REPLACE, base, body));
    }
    let change = (REPLACE, Some(0), &*fifth);
    add_change(transcript, "a configuration to patch", &mut cluster, change);
    add_change(
        transcript,
        "no patch: without a base",
        &mut cluster,
        (PATCH, None, r#"{"version":6}"#),
    );
    for body in BAD_PATCHES {
        let name = format!("no patch: {body}");
        add_change(transcript, &name, &mut cluster, (PATCH, Some(5), body));
    }
}

/// Invalid patches of version 5.
const BAD_PATCHES: [&str; 15] = [
    "",
    "{",
    "[]",
    "{}",
    r#"{"version":"6"}"#,
    r#"{"version":5}"#,
    r#"{"version":6,"upsert":[]}"#,
    r#"{"version":6,"upsert":{"routes":7}}"#,
    r#"{"version":6,"upsert":{"routes":[{}]}}"#,
    r#"{"version":6,"upsert":{"routes":[{"name":"r2"}]}}"#,
    r#"{"version":6,"upsert":{"routes":["r2"]}}"#,
    r#"{"version":6,"upsert":{"services":[{"name":"s"},{"name":"s"}]}}"#,
    r#"{"version":6,"upsert":{"limits":{"max_body_bytes":"x"}}}"#,
    r#"{"version":6,"remove":{"routes":"r"}}"#,
    r#"{"version":6,"remove":{"routes":[7]}}"#,
];

fn without_a_majority(transcript: &mut Transcript) {
    let mut cluster = Cluster::bootstrapped(3, 4);
    (0..3).for_each(|index| cluster.isolate(index));
    let fifth = config(5);
    add_change(
        transcript,
        "nobody hears of it",
        &mut cluster,
        (REPLACE, Some(0), &fifth),
    );
    let number = cluster.http(0, Method::Get, GET, None, "");
    cluster.run(ANSWER_TIMEOUT_MS);
    add_answer(
        transcript,
        "a read-back that nobody confirms",
        &cluster,
        number,
    );

    let numbers: Vec<u64> = (0..=MAX_WAITING as u64)
        .map(|change| cluster.http(0, Method::Post, REPLACE, Some(0), &config(change + 6)))
        .collect();
    add_answer(
        transcript,
        "one order over those that wait",
        &cluster,
        numbers[MAX_WAITING],
    );
    let numbers: Vec<u64> = (0..=MAX_WAITING)
        .map(|_| cluster.http(1, Method::Get, GET, None, ""))
        .collect();
    add_answer(
        transcript,
        "one read-back over those that wait",
        &cluster,
        numbers[MAX_WAITING],
    );
    let change = cluster.http(2, Method::Post, REPLACE, Some(0), &fifth);
    let read = cluster.http(2, Method::Get, GET, None, "");
    cluster.terminate(2);
    cluster.run(ANSWER_TIMEOUT_MS);
    add_answer(
        transcript,
        "an order under way at the end",
        &cluster,
        change,
    );
    add_answer(
        transcript,
        "a read-back under way at the end",
        &cluster,
        read,
    );
}

/// Sends a change and isolates all processes `millis` ms later. Returns the cluster after the time limit, and the
/// number of the change.
fn isolated_after(millis: u64) -> (Cluster, u64) {
    let mut cluster = Cluster::bootstrapped(3, 5);
    let number = cluster.http(0, Method::Post, REPLACE, Some(0), &config(5));
    cluster.run(millis);
    (0..3).for_each(|index| cluster.isolate(index));
    cluster.run(ANSWER_TIMEOUT_MS);
    (cluster, number)
}

fn an_unknown_outcome(transcript: &mut Transcript) {
    let mut isolated = (1..=LAST_ISOLATION_MS).map(isolated_after);
    let unknown = isolated.find(|(cluster, number)| cluster.status(*number) == OUTCOME_UNKNOWN);
    let (cluster, number) =
        unknown.expect("no time of the isolation left the outcome of the change unknown");
    add_answer(
        transcript,
        "cut off while the others may have taken it",
        &cluster,
        number,
    );
}

fn paths_and_methods(transcript: &mut Transcript) {
    let mut cluster = Cluster::bootstrapped(3, 6);
    for (name, method) in [
        ("GET", Method::Get),
        ("POST", Method::Post),
        ("DELETE", Method::Delete),
        ("PUT", Method::Other),
    ] {
        for path in [
            REPLACE,
            PATCH,
            GET,
            "/v1/instances/i-1/heartbeat",
            "/v1/other",
            "/",
        ] {
            let changes = [("POST", REPLACE), ("POST", PATCH), ("GET", GET)];
            if changes.contains(&(name, path)) {
                continue;
            }
            let number = cluster.http(0, method, path, Some(0), "{}");
            add_answer(transcript, &format!("{name} {path}"), &cluster, number);
        }
    }
    add_at(
        transcript,
        "readiness",
        &mut cluster,
        HttpEndpoint::Readiness,
        "/v1/readyz",
    );
    add_at(
        transcript,
        "readiness: any path",
        &mut cluster,
        HttpEndpoint::Readiness,
        "/other",
    );
    add_at(
        transcript,
        "the clients' address",
        &mut cluster,
        HttpEndpoint::Frontend,
        "/one/1",
    );
    cluster.terminate(0);
    add_at(
        transcript,
        "readiness once told to end",
        &mut cluster,
        HttpEndpoint::Readiness,
        "/v1/readyz",
    );
}

#[test]
fn every_answer_equals_the_fixture() {
    let mut transcript = Transcript::default();
    before_the_bootstrap(&mut transcript);
    configurations(&mut transcript);
    refused_configurations(&mut transcript);
    without_a_majority(&mut transcript);
    an_unknown_outcome(&mut transcript);
    paths_and_methods(&mut transcript);
    transcript.assert_kept(FIXTURE_PATH);
}
