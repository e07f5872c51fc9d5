//! What a core process answers to the operator and to others, byte by byte: status, `Retry-After` and body of each
//! outcome, as kept in `fixtures/http_answers.txt`.

mod support;

use sagetrail_fixture::transcript::Transcript;
use sagetrail_protocol::node::{Event, HttpEndpoint, HttpRequest, HttpRequestId, Method};
use support::cluster::{config, World};

const KEPT: &str = "tests/fixtures/http_answers.txt";
const REPLACE: &str = "/v1/config/replace";
const PATCH: &str = "/v1/config/patch";
const GET: &str = "/v1/config/get";
/// A request whose number no other has.
const OWN_REQUEST: u64 = 900_000;
/// Nothing waits longer for its answer, in milliseconds.
const PATIENCE_MS: u64 = 6_000;
/// So many orders or read-backs wait at once.
const MOST_WAITING: usize = 64;
/// An order is through after this, in milliseconds.
const LAST_CUT_MS: u64 = 30;
/// The status of an order of which nobody knows whether it was taken.
const UNKNOWN: u16 = 504;

/// An order: its path, `Base-Version` and body.
type Order<'a> = (&'a str, Option<u64>, &'a str);

/// Adds the answer to a request that was sent.
fn add(transcript: &mut Transcript, name: &str, world: &World, number: u64) {
    let reply = world
        .replies
        .get(&number)
        .unwrap_or_else(|| panic!("no answer: {name}"));
    transcript.add_answer(name, reply.status, reply.retry_after_s, &reply.body);
}

/// Adds the answer to an order, as soon as there is one.
fn add_order(transcript: &mut Transcript, name: &str, world: &mut World, order: Order) {
    let (path, base, body) = order;
    let number = world.http(0, Method::Post, path, base, body);
    world.run(PATIENCE_MS);
    add(transcript, name, world, number);
}

/// Adds the configuration as it is read back.
fn add_read_back(transcript: &mut Transcript, name: &str, world: &mut World) {
    let number = world.http(1, Method::Get, GET, None, "");
    world.run(PATIENCE_MS);
    add(transcript, name, world, number);
}

/// Adds the answer to a request at another address than the operator's, answered at once.
fn add_at(
    transcript: &mut Transcript,
    name: &str,
    world: &mut World,
    endpoint: HttpEndpoint,
    path: &str,
) {
    world.replies.remove(&OWN_REQUEST);
    let request = HttpRequest {
        method: Method::Get,
        host: String::new(),
        path: path.to_owned(),
        base_version: None,
        deadline_ms: None,
        body: Vec::new(),
    };
    let id = HttpRequestId(OWN_REQUEST);
    world.event(
        0,
        Event::Http {
            id,
            endpoint,
            request,
        },
    );
    add(transcript, name, world, OWN_REQUEST);
}

fn before_the_founding(transcript: &mut Transcript) {
    let mut world = World::new(3, 1);
    world.start(0, false);
    for (path, method) in [
        (REPLACE, Method::Post),
        (PATCH, Method::Post),
        (GET, Method::Get),
    ] {
        let number = world.http(0, method, path, Some(0), &config(5));
        add(transcript, &format!("not founded: {path}"), &world, number);
    }
    add_at(
        transcript,
        "not founded: readiness",
        &mut world,
        HttpEndpoint::Readiness,
        "/v1/readyz",
    );
    add_at(
        transcript,
        "not founded: clients",
        &mut world,
        HttpEndpoint::Frontend,
        "/one/1",
    );
}

fn configurations(transcript: &mut Transcript) {
    let mut world = World::founded(3, 2);
    add_read_back(transcript, "read back before any was given", &mut world);
    let first_patch = r#"{"version":5,"upsert":{}}"#;
    add_order(
        transcript,
        "a patch of nothing",
        &mut world,
        (PATCH, Some(0), first_patch),
    );
    let order = (REPLACE, Some(0), config(5));
    let order = (order.0, order.1, &*order.2);
    add_order(transcript, "the first configuration", &mut world, order);
    add_order(transcript, "the same again", &mut world, order);
    add_read_back(transcript, "read back", &mut world);
    let seventh = config(7);
    add_order(
        transcript,
        "on another base",
        &mut world,
        (REPLACE, Some(4), &seventh),
    );
    add_order(
        transcript,
        "on a base to come",
        &mut world,
        (REPLACE, Some(9), &seventh),
    );
    add_order(
        transcript,
        "another one on the same base",
        &mut world,
        (REPLACE, Some(0), &seventh),
    );
    add_order(
        transcript,
        "the next configuration",
        &mut world,
        (REPLACE, Some(5), &seventh),
    );
    add_order(
        transcript,
        "a version that is not above",
        &mut world,
        (REPLACE, Some(7), &seventh),
    );
    let patch = r#"{"version":8,"upsert":{"routes":[{"name":"r2","host":"h","path_prefix":"/b/","service":"s","timeout_ms":1}]},"remove":{"routes":["r"]}}"#;
    add_order(transcript, "a patch", &mut world, (PATCH, Some(7), patch));
    add_order(
        transcript,
        "the same patch again",
        &mut world,
        (PATCH, Some(7), patch),
    );
    add_read_back(transcript, "read back after the patch", &mut world);
}

fn refused_configurations(transcript: &mut Transcript) {
    let mut world = World::founded(3, 3);
    let fifth = config(5);
    let bad_replacements = [
        (None, &*fifth),
        (Some(0), ""),
        (Some(0), "[]"),
        (Some(0), r#"{"version":5}"#),
    ];
    for (base, body) in bad_replacements {
        let shown = if base.is_none() {
            "without a base"
        } else {
            body
        };
        let name = format!("no replacement: {shown}");
        add_order(transcript, &name, &mut world, (REPLACE, base, body));
    }
    let order = (REPLACE, Some(0), &*fifth);
    add_order(transcript, "a configuration to patch", &mut world, order);
    add_order(
        transcript,
        "no patch: without a base",
        &mut world,
        (PATCH, None, r#"{"version":6}"#),
    );
    for body in BAD_PATCHES {
        let name = format!("no patch: {body}");
        add_order(transcript, &name, &mut world, (PATCH, Some(5), body));
    }
}

/// Patches of version 5 that cannot be taken.
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
    let mut world = World::founded(3, 4);
    (0..3).for_each(|index| world.cut_off(index));
    let fifth = config(5);
    add_order(
        transcript,
        "nobody hears of it",
        &mut world,
        (REPLACE, Some(0), &fifth),
    );
    let number = world.http(0, Method::Get, GET, None, "");
    world.run(PATIENCE_MS);
    add(
        transcript,
        "a read-back that nobody confirms",
        &world,
        number,
    );

    let numbers: Vec<u64> = (0..=MOST_WAITING as u64)
        .map(|order| world.http(0, Method::Post, REPLACE, Some(0), &config(order + 6)))
        .collect();
    add(
        transcript,
        "one order over those that wait",
        &world,
        numbers[MOST_WAITING],
    );
    let numbers: Vec<u64> = (0..=MOST_WAITING)
        .map(|_| world.http(1, Method::Get, GET, None, ""))
        .collect();
    add(
        transcript,
        "one read-back over those that wait",
        &world,
        numbers[MOST_WAITING],
    );
    let order = world.http(2, Method::Post, REPLACE, Some(0), &fifth);
    let read = world.http(2, Method::Get, GET, None, "");
    world.terminate(2);
    world.run(PATIENCE_MS);
    add(transcript, "an order under way at the end", &world, order);
    add(transcript, "a read-back under way at the end", &world, read);
}

/// The answer to an order whose process is cut off so long after it was sent.
fn cut_off_after(millis: u64) -> (World, u64) {
    let mut world = World::founded(3, 5);
    let number = world.http(0, Method::Post, REPLACE, Some(0), &config(5));
    world.run(millis);
    (0..3).for_each(|index| world.cut_off(index));
    world.run(PATIENCE_MS);
    (world, number)
}

fn an_unknown_outcome(transcript: &mut Transcript) {
    let mut cut = (1..=LAST_CUT_MS).map(cut_off_after);
    let unknown = cut.find(|(world, number)| world.status(*number) == UNKNOWN);
    let (world, number) = unknown.expect("a moment at which the order may have been taken");
    add(
        transcript,
        "cut off while the others may have taken it",
        &world,
        number,
    );
}

fn paths_and_methods(transcript: &mut Transcript) {
    let mut world = World::founded(3, 6);
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
            let orders = [("POST", REPLACE), ("POST", PATCH), ("GET", GET)];
            if orders.contains(&(name, path)) {
                continue;
            }
            let number = world.http(0, method, path, Some(0), "{}");
            add(transcript, &format!("{name} {path}"), &world, number);
        }
    }
    add_at(
        transcript,
        "readiness",
        &mut world,
        HttpEndpoint::Readiness,
        "/v1/readyz",
    );
    add_at(
        transcript,
        "readiness: any path",
        &mut world,
        HttpEndpoint::Readiness,
        "/other",
    );
    add_at(
        transcript,
        "the clients' address",
        &mut world,
        HttpEndpoint::Frontend,
        "/one/1",
    );
    world.terminate(0);
    add_at(
        transcript,
        "readiness once told to end",
        &mut world,
        HttpEndpoint::Readiness,
        "/v1/readyz",
    );
}

#[test]
fn every_answer_is_the_one_kept() {
    let mut transcript = Transcript::default();
    before_the_founding(&mut transcript);
    configurations(&mut transcript);
    refused_configurations(&mut transcript);
    without_a_majority(&mut transcript);
    an_unknown_outcome(&mut transcript);
    paths_and_methods(&mut transcript);
    transcript.assert_kept(KEPT);
}
