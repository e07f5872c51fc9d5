//! HTTP of the dispatcher byte by byte: its replies to clients and callbacks, health paths, admin API, and its requests
//! to runners and discovery. The expected texts are in `fixtures/http/`.

mod raw;
#[allow(dead_code)] // Other tests use more of it.
mod stage;

use raw::{exchanged, masked, Connection, Listener};
use sagetrail_fixture::transcript::Transcript;
use stage::{entry, free, Stage};
use std::net::SocketAddr;

/// Name of the runner in the endpoint list.
const RUNNER: &str = "s-0";
const DONE: &str = r#""done","result":"calm \"sea\"""#;

fn kept(name: &str) -> String {
    format!("tests/fixtures/http/{name}.txt")
}

fn with_console(page: String, console: SocketAddr) -> String {
    page.replacen('{', &format!(r#"{{"console":"{console}","#), 1)
}

/// A dispatcher with one runner, which the test plays byte by byte.
struct Play {
    stage: Stage,
    console: SocketAddr,
    runner: Listener,
}

fn play_with(change: impl Fn(String) -> String) -> Play {
    let runner = Listener::start();
    let console = free();
    let known = entry(RUNNER, runner.at, "Ready", 0);
    let page = |page: String| {
        let page = page.replace(r#""instances":[]"#, &format!(r#""instances":[{known}]"#));
        change(with_console(page, console))
    };
    let stage = Stage::of(0, 1024, page);
    Play {
        stage,
        console,
        runner,
    }
}

fn play() -> Play {
    play_with(|page| page)
}

/// Request of a client that submits a work item.
fn work(category: &str, id: &str) -> String {
    format!("POST /{category}?key=7f3a HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Deadline: 6000m\r\nContent-Length: 5\r\n\r\nwaves")
}

fn callback(body: &str) -> String {
    format!(
        "POST /_jobs/news HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn news(id: &str, state: &str) -> String {
    callback(&format!(
        r#"{{"id":"{id}","from":"{RUNNER}","state":{state}}}"#
    ))
}

fn get(path: &str) -> String {
    call("GET", path)
}

fn call(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
}

/// Adds the answer to a request on a connection of its own.
fn add(transcript: &mut Transcript, name: &str, at: SocketAddr, request: &str) {
    transcript.add(name, &masked(&exchanged(at, request)));
}

const TAKEN: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// Submits a work item on its own connection. The runner responds with `runner_answers` and, if `state` is given,
/// reports it. Adds the replies to runner and client.
fn add_work(transcript: &mut Transcript, request: &str, runner_answers: &str, state: Option<&str>) {
    let play = play();
    let mut client = Connection::to(play.stage.at);
    let mut runner = play.runner.connection();
    client.send(request);
    runner.next(&play.runner);
    runner.send(runner_answers);
    if let Some(state) = state {
        let name = format!("to the call-back {state}");
        add(transcript, &name, play.stage.at, &news("a1", state));
    }
    let first = runner_answers.lines().next().unwrap_or_default();
    let name = state.unwrap_or(first);
    transcript.add(&format!("to a client: {name}"), &masked(&client.message()));
}

#[test]
fn replies_to_work_items_by_outcome() {
    let mut transcript = Transcript::default();
    let (rerun, once) = (work("rerun", "a1"), work("once", "a1"));
    add_work(&mut transcript, &rerun, TAKEN, Some(DONE));
    add_work(&mut transcript, &once, TAKEN, Some(r#""done","result":"""#));
    add_work(&mut transcript, &once, TAKEN, Some(r#""failed""#));
    add_work(&mut transcript, &once, TAKEN, Some(r#""lost""#));
    let oops = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
    add_work(&mut transcript, &once, oops, None);
    let closing = rerun.replace("Host: a", "Connection: close");
    add_work(&mut transcript, &closing, TAKEN, Some(DONE));
    let old = rerun.replace("HTTP/1.1", "HTTP/1.0");
    add_work(&mut transcript, &old, TAKEN, Some(DONE));
    transcript.assert_kept(kept("work"));
}

#[test]
fn replies_to_work_items_that_are_not_accepted() {
    let mut transcript = Transcript::default();
    let play = play_with(|page| page.replace(r#""MostHeld":20000"#, r#""MostHeld":1"#));
    let mut busy = Connection::to(play.stage.at);
    busy.send(&work("rerun", "b1"));
    play.runner.connection().next(&play.runner);
    add(
        &mut transcript,
        "an id in hand already",
        play.stage.at,
        &work("rerun", "b1"),
    );
    add(
        &mut transcript,
        "one more than are held",
        play.stage.at,
        &work("rerun", "b2"),
    );

    let stage = Stage::start(0);
    stage.list.watch().tell(42, true, &[]);
    add(
        &mut transcript,
        "no runner at all",
        stage.at,
        &work("once", "b3"),
    );
    transcript.assert_kept(kept("deferred"));
}

/// Invalid requests of clients, by name.
fn bad_requests() -> Vec<(&'static str, String)> {
    let item = "POST /rerun HTTP/1.1\r\nReq-Id: ab\r\nReq-Kind: rerun\r\n";
    let long = "x".repeat(20_000);
    vec![
        ("no request", "no request at all\r\n\r\n".to_owned()),
        (
            "a length below 0",
            format!("{item}Content-Length: -1\r\n\r\n"),
        ),
        (
            "two lengths",
            format!("{item}Content-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        ),
        (
            "a length and chunks",
            format!("{item}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"),
        ),
        (
            "another encoding",
            format!("{item}Transfer-Encoding: gzip\r\n\r\n"),
        ),
        (
            "a chunk's size",
            format!("{item}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        ),
        ("a deadline", format!("{item}Req-Deadline: soon\r\n\r\n")),
        (
            "extra",
            format!("{item}Req-Deadline: 400m\r\nReq-Extra: slots=none\r\n\r\n"),
        ),
        ("an id twice", format!("{item}Req-Id: ac\r\n\r\n")),
        ("an id with a slash", item.replace("ab", "a/b") + "\r\n"),
        ("no id", "POST /rerun HTTP/1.1\r\n\r\n".to_owned()),
        (
            "two categories",
            item.replace("Kind: rerun", "Kind: once") + "\r\n",
        ),
        (
            "no such category",
            "POST /nothing HTTP/1.1\r\nReq-Id: ab\r\n\r\n".to_owned(),
        ),
        (
            "GET of a category",
            "GET /rerun HTTP/1.1\r\nReq-Id: ab\r\n\r\n".to_owned(),
        ),
        (
            "HEAD of a category",
            "HEAD /rerun HTTP/1.1\r\nReq-Id: ab\r\n\r\n".to_owned(),
        ),
        (
            "a long body",
            format!("{item}Content-Length: 70000\r\n\r\n"),
        ),
        (
            "a long body in chunks",
            format!("{item}Transfer-Encoding: chunked\r\n\r\n11170\r\n"),
        ),
        ("a long head", format!("{item}X-Long: {long}\r\n\r\n")),
        (
            "a request that does not end",
            format!("{item}Content-Length: 5\r\n\r\nab"),
        ),
    ]
}

#[test]
fn replies_to_rejected_requests() {
    let play = play();
    let mut transcript = Transcript::default();
    for (name, request) in bad_requests() {
        add(&mut transcript, name, play.stage.at, &request);
    }
    for body in [
        "",
        "{",
        "{}",
        r#"{"id":"a","from":"s-0"}"#,
        r#"{"id":"a","from":"s-0","state":"odd"}"#,
        r#"{"id":"a","from":"s-0","state":"running","share":"x"}"#,
        r#"{"id":7,"from":"s-0","state":"failed"}"#,
    ] {
        add(
            &mut transcript,
            &format!("call-back {body}"),
            play.stage.at,
            &callback(body),
        );
    }
    add(
        &mut transcript,
        "GET of the call-backs",
        play.stage.at,
        &get("/_jobs/news"),
    );
    transcript.assert_kept(kept("turned_down"));
}

/// Waits until an update of the endpoint list has been applied: the admin API then counts this number of runners.
fn until_listed(console: SocketAddr, runners: usize) {
    let line = format!("registry_entries:{runners}|g");
    raw::until(|| exchanged(console, &get("/stats")).contains(&line));
}

#[test]
fn replies_of_the_health_paths() {
    let mut transcript = Transcript::default();
    let (stage, console) = {
        let console = free();
        (
            Stage::of(0, 1024, |page| with_console(page, console)),
            console,
        )
    };
    let at = stage.at;
    for path in ["/health/ready", "/health/live", "/health/ready?a=b"] {
        add(
            &mut transcript,
            &format!("without a list: {path}"),
            at,
            &get(path),
        );
    }
    add(
        &mut transcript,
        "without a list: the console",
        console,
        &get("/healthcheck"),
    );
    stage
        .list
        .watch()
        .tell(42, true, &[entry(RUNNER, free(), "Ready", 0)]);
    until_listed(console, 1);
    for path in ["/health/ready", "/health/live"] {
        add(&mut transcript, path, at, &get(path));
        for method in ["HEAD", "POST", "DELETE"] {
            add(
                &mut transcript,
                &format!("{method} {path}"),
                at,
                &call(method, path),
            );
        }
    }
    add(
        &mut transcript,
        "the console",
        console,
        &get("/healthcheck"),
    );
    exchanged(console, &call("POST", "/healthcheck/fail"));
    for path in ["/health/ready", "/health/live"] {
        add(
            &mut transcript,
            &format!("drained by hand: {path}"),
            at,
            &get(path),
        );
    }
    add(
        &mut transcript,
        "drained by hand: the console",
        console,
        &get("/healthcheck"),
    );
    exchanged(console, &call("POST", "/healthcheck/ok"));
    let mut client = Connection::to(at);
    stage.term();
    raw::until(|| exchanged(console, &get("/healthcheck")).contains("ending"));
    add(
        &mut transcript,
        "told to end: the console",
        console,
        &get("/healthcheck"),
    );
    client.send(&get("/health/ready"));
    transcript.add("told to end: /health/ready", &masked(&client.message()));
    transcript.assert_kept(kept("health"));
}

#[test]
fn replies_of_the_admin_api() {
    let play = play();
    let mut transcript = Transcript::default();
    let at = play.console;
    for (method, path) in [
        ("GET", "/stats"),
        ("HEAD", "/stats"),
        ("POST", "/stats"),
        ("GET", "/healthcheck"),
        ("POST", "/healthcheck"),
        ("GET", "/healthcheck/fail"),
        ("POST", "/healthcheck/fail"),
        ("POST", "/healthcheck/ok"),
        ("POST", "/healthcheck/else"),
        ("POST", "/runners/s-0/maint"),
        ("GET", "/stats?a=b"),
        ("POST", "/runners/s%2D0/ready"),
        ("POST", "/runners/s-9/maint"),
        ("POST", "/runners/s-0/else"),
        ("GET", "/runners/s-0/maint"),
        ("GET", "/members"),
        ("POST", "/members"),
        ("GET", "/shared"),
        ("GET", "/store"),
        ("POST", "/store/propose"),
        ("POST", "/trial/clock/1"),
        ("GET", "/nothing"),
        ("GET", "/"),
    ] {
        add(
            &mut transcript,
            &format!("{method} {path}"),
            at,
            &call(method, path),
        );
    }
    add(&mut transcript, "no call", at, "no call at all\r\n\r\n");
    add(
        &mut transcript,
        "a call that does not end",
        at,
        "GET /stats HT",
    );
    let long = format!("GET /stats HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    add(&mut transcript, "a long call", at, &long);
    transcript.assert_kept(kept("console"));
}

#[test]
fn counters_after_some_work() {
    let play = play();
    let mut client = Connection::to(play.stage.at);
    let mut runner = play.runner.connection();
    for (id, category, state) in [
        ("c1", "rerun", DONE),
        ("c2", "rerun", DONE),
        ("c3", "once", r#""failed""#),
    ] {
        client.send(&work(category, id));
        runner.next(&play.runner);
        runner.send(TAKEN);
        exchanged(play.stage.at, &news(id, state));
        client.message();
    }
    client.send(&work("rerun", "c4"));
    runner.next(&play.runner);
    let mut transcript = Transcript::default();
    add(&mut transcript, "GET /stats", play.console, &get("/stats"));
    transcript.assert_kept(kept("figures"));
}

#[test]
fn requests_to_runners() {
    let play = play();
    let mut transcript = Transcript::default();
    let mut client = Connection::to(play.stage.at);
    let mut runner = play.runner.connection();
    client.send(&work("rerun", "d1"));
    transcript.add("work", &masked(&runner.next(&play.runner)));
    runner.send(TAKEN);
    exchanged(play.stage.at, &news("d1", DONE));
    client.message();

    client.send(
        "POST /once/a%20b?x=1&key=7f3a HTTP/1.1\r\nhost: a\r\nREQ-ID: d2\r\nReq-Kind: once\r\nReq-Extra: slots=1\r\n\
         Idempotency-Key: k1\r\nX-Own:  two  words \r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    );
    transcript.add(
        "work with headers, in chunks",
        &masked(&runner.next(&play.runner)),
    );
    runner.send(TAKEN);
    exchanged(play.stage.at, &news("d2", r#""started""#));
    drop(client);
    transcript.add(
        "work whose client has left",
        &masked(&runner.next(&play.runner)),
    );
    transcript.assert_kept(kept("to_runners"));
}

#[test]
fn requests_to_discovery() {
    let list = Listener::start();
    let at = list.at;
    let console = free();
    let stage = Stage::of(0, 1024, |page| {
        let own = page.find(r#""discovery":""#).expect("a list") + r#""discovery":""#.len();
        let end = own + page[own..].find('"').expect("its end");
        with_console(format!("{}{at}{}", &page[..own], &page[end..]), console)
    });
    let mut transcript = Transcript::default();
    let mut watch = list.connection();
    transcript.add("the first watch", &masked(&watch.next(&list)));
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let line = format!(
        "{{\"generation\":57,\"reset\":true,\"instances\":[{}]}}\n",
        entry(RUNNER, free(), "Ready", 0)
    );
    watch.send(&format!("{:x}\r\n{line}\r\n", line.len()));
    until_listed(console, 1);
    drop(watch);
    let mut again = list.connection();
    transcript.add("the watch after generation 57", &masked(&again.next(&list)));
    drop(stage);
    transcript.assert_kept(kept("to_list"));
}
