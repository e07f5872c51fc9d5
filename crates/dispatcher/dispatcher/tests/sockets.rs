//! The program on real sockets, with a list, runners and clients that the test plays.

mod operators;
#[allow(dead_code)] // Other tests use more of it.
mod stage;
use stage::*;
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Instant;

#[test]
fn a_work_item_is_sent_to_a_runner_and_its_result_is_returned() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    let id = client.submit("rerun", "4000m");
    let handed = stage.runners[0].next();
    assert_eq!(handed.message.first, "POST /rerun?key=7f3a HTTP/1.1");
    assert_eq!(
        (
            handed.message.header("req-id"),
            handed.message.body.as_str()
        ),
        (Some(id.as_str()), "waves")
    );
    let wait = handed
        .message
        .header("req-deadline")
        .unwrap()
        .strip_suffix('m')
        .unwrap();
    assert!((3000..=4000).contains(&wait.parse::<u32>().unwrap()));
    handed.take();
    assert_eq!(stage.news(&id, "s-0", r#""started""#), 204);
    assert_eq!(stage.news(&id, "s-0", r#""running","share":0.4"#), 204);
    assert_eq!(
        stage.news(&id, "s-0", r#""done","result":"calm \"sea\"""#),
        204
    );
    let answer = client.answer();
    assert_eq!(
        (answer.status(), answer.body.as_str()),
        (200, "calm \"sea\"")
    );
    // Both connections serve again.
    client.submit("rerun", "4000m");
    stage.runners[0].next();
    assert_eq!(stage.runners[0].connections(), 1);
}

/// Callbacks travel on another connection than the 202, so they may arrive first, and a runner repeats a callback whose
/// response it missed.
#[test]
fn callbacks_before_the_202_and_repeated_callbacks_are_accepted() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    let id = client.submit("rerun", "4000m");
    let handed = stage.runners[0].next();
    assert_eq!(stage.news(&id, "s-0", r#""started""#), 204);
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"a""#), 204);
    assert_eq!(client.answer().body, "a");
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"b""#), 204);
    handed.take();
    assert_eq!(stage.news(&id, "s-0", r#""lost""#), 204);
    let id = client.submit("rerun", "4000m");
    stage.runners[0].next().take();
    stage.news(&id, "s-0", r#""done","result":"c""#);
    assert_eq!(client.answer().body, "c");
    assert_eq!(
        stage.runners[0].connections(),
        1,
        "the first connection was kept for the second"
    );
}

/// Guards against a work item that is ended by a runner that does not have it.
#[test]
fn a_callback_from_another_runner_is_ignored() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    let id = client.submit("rerun", "4000m");
    stage.runners[0].next().take();
    assert_eq!(stage.news(&id, "s-9", r#""done","result":"stray""#), 204);
    assert_eq!(stage.news("feed", "s-0", r#""failed""#), 204);
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"own""#), 204);
    assert_eq!(client.answer().body, "own");
}

/// Guards against a connection that is lost because the system refuses to set TCP_NODELAY.
#[test]
fn connections_without_tcp_options_are_served() {
    let stage = Stage::without_tcp_options();
    stage.list.watch().tell(42, false, &[]);
    let mut client = stage.client();
    let id = client.submit("once", "4000m");
    stage.runners[0].next().take();
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"a""#), 204);
    assert_eq!(client.answer().status(), 200);
}

type First<'a> = &'a dyn Fn(&Stage, &ReceivedRequest, &str, &str);

/// Submits a work item and lets the first runner that gets it react with `first`. `Ok` has the reply if the other
/// runner gets it next, `Err` if not.
fn after(category: &str, first: First) -> Result<Message, Message> {
    let stage = Stage::start(2);
    let mut client = stage.client();
    let id = client.submit(category, "3000m");
    let (a, b) = (&stage.runners[0], &stage.runners[1]);
    let (handed, from, other) = match a.poll(400) {
        Some(handed) => (handed, a, b),
        None => (b.next(), b, a),
    };
    first(&stage, &handed, &id, &from.name);
    match other.poll(600) {
        Some(again) => {
            again.take();
            stage.news(&id, &other.name, r#""done","result":"second""#);
            Ok(client.answer())
        }
        None => Err(client.answer()),
    }
}

#[test]
fn a_work_item_that_never_ran_is_retried_in_every_category() {
    for category in ["rerun", "once"] {
        let declined = |_: &Stage, handed: &ReceivedRequest, _: &str, _: &str| {
            handed.answer("503 Service Unavailable", "Srv-Declined: 1\r\n");
        };
        assert_eq!(after(category, &declined).unwrap().body, "second");
        let returned = |stage: &Stage, handed: &ReceivedRequest, id: &str, from: &str| {
            handed.take();
            stage.news(id, from, r#""returned""#);
        };
        assert_eq!(after(category, &returned).unwrap().body, "second");
    }
}

#[test]
fn a_work_item_that_may_have_run_is_retried_only_if_rerunnable() {
    let broken = |_: &Stage, handed: &ReceivedRequest, _: &str, _: &str| handed.close();
    let error =
        |_: &Stage, handed: &ReceivedRequest, _: &str, _: &str| handed.answer("500 Oops", "");
    let shy = |_: &Stage, handed: &ReceivedRequest, _: &str, _: &str| handed.answer("503 Busy", "");
    let lost = |stage: &Stage, handed: &ReceivedRequest, id: &str, from: &str| {
        handed.take();
        stage.news(id, from, r#""lost""#);
    };
    let failed = |stage: &Stage, handed: &ReceivedRequest, id: &str, from: &str| {
        stage.news(id, from, r#""failed""#);
        handed.take();
    };
    let all: [First; 5] = [&broken, &error, &shy, &lost, &failed];
    for first in all {
        assert_eq!(after("rerun", first).unwrap().body, "second");
        assert_eq!(
            after("once", first).unwrap_err().status(),
            502,
            "written off"
        );
    }
}

#[test]
fn an_unreachable_runner_loses_no_work_item() {
    let stage = Stage::start(1);
    let watch = stage.list.watch();
    watch.tell(42, false, &[entry("s-dead", free(), "Ready", 0)]);
    pause(150);
    for _ in 0..6 {
        let mut client = stage.client();
        let id = client.submit("once", "4000m");
        stage.runners[0].next().take();
        stage.news(&id, "s-0", r#""done","result":"a""#);
        assert_eq!(client.answer().status(), 200);
    }
}

/// Guards against work for a client that has disconnected: the attempt is cancelled by closing its connection before
/// the 202, and by a request to the runner after it.
#[test]
fn closing_the_connection_cancels_the_work_item() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    client.submit("rerun", "9000m");
    let handed = stage.runners[0].next();
    drop(client);
    assert!(
        handed.is_closed(),
        "before the 202 the connection is closed"
    );
    // After the 202, or after a callback that came before it, the runner is told.
    for early in [false, true] {
        let mut client = stage.client();
        let id = client.submit("rerun", "9000m");
        let handed = stage.runners[0].next();
        match early {
            false => handed.take(),
            true => assert_eq!(stage.news(&id, "s-0", r#""started""#), 204),
        }
        pause(150);
        drop(client);
        let told = stage.runners[0].next();
        assert_eq!(told.message.first, format!("DELETE /jobs/{id} HTTP/1.1"));
        told.answer("204 No Content", "");
    }
}

#[test]
fn an_attempt_is_cancelled_and_written_off_at_the_deadline_of_the_client() {
    let mut stage = Stage::start(1);
    let mut client = stage.client();
    let start = Instant::now();
    let id = client.submit("once", "600m");
    // The connection is closed, so the cancellation needs another one.
    stage.runners[0]
        .next()
        .answer("202 Accepted", "Connection: close\r\n");
    assert_eq!(client.answer().status(), 502);
    assert!(
        (500..900).contains(&start.elapsed().as_millis()),
        "{:?}",
        start.elapsed()
    );
    let told = stage.runners[0].next();
    assert_eq!(told.message.first, format!("DELETE /jobs/{id} HTTP/1.1"));
    told.answer("204 No Content", "");
    pause(100);
    stage.child.kill().unwrap();
    assert!(!stage.ended().1.contains("panicked"));
}

#[test]
fn work_items_without_a_usable_runner_get_503_with_a_retry_time() {
    let stage = Stage::start(1);
    stage.list.watch().tell(42, true, &[]);
    pause(150);
    let mut client = stage.client();
    client.submit("once", "4000m");
    let answer = client.answer();
    assert_eq!(answer.status(), 503);
    assert!(
        answer
            .header("retry-after")
            .unwrap()
            .parse::<f64>()
            .unwrap()
            > 0.0
    );
}

#[test]
fn a_draining_runner_gets_no_new_work_and_finishes_its_own() {
    let stage = Stage::start(2);
    let (a, b) = (&stage.runners[0], &stage.runners[1]);
    let watch = stage.list.watch();
    assert!(
        watch
            .asked
            .starts_with("GET /registry/instances?stream=1&index=41 "),
        "{}",
        watch.asked
    );
    watch.tell(42, false, &[b.entry("Terminating", 0)]);
    pause(150);
    let mut client = stage.client();
    let id = client.submit("rerun", "4000m");
    a.next().take();
    watch.tell(43, false, &[a.entry("Terminating", 0), b.entry("Ready", 0)]);
    pause(150);
    let mut other = stage.client();
    other.submit("rerun", "4000m");
    b.next();
    stage.news(&id, "s-0", r#""done","result":"kept""#);
    assert_eq!(client.answer().body, "kept");
    a.nothing(100);
}

#[test]
fn a_runner_keeps_its_identity_when_its_address_changes() {
    let stage = Stage::start(1);
    let moved = Runner::start("s-0");
    let mut client = stage.client();
    let id = client.submit("rerun", "4000m");
    stage.runners[0].next().take();
    stage
        .list
        .watch()
        .tell(42, false, &[moved.entry("Ready", 0)]);
    pause(150);
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(client.answer().body, "a");
    client.submit("rerun", "4000m");
    moved.next();
}

#[test]
fn a_closed_or_silent_watch_is_opened_again() {
    let stage = Stage::start(1);
    let watch = stage.list.watch();
    watch.tell(44, false, &[]);
    pause(150);
    drop(watch);
    let silent = stage.list.watch();
    assert!(silent.asked.contains("index=44 "), "{}", silent.asked);
    silent.say("");
    let start = Instant::now();
    stage.list.watch().tell(45, true, &[]);
    assert!(
        start.elapsed().as_secs() < 6,
        "a drain counts as told after 6 s"
    );
    pause(150);
    let mut client = stage.client();
    client.submit("rerun", "4000m");
    assert_eq!(
        client.answer().status(),
        503,
        "the whole list names no runner any more"
    );
}

/// Guards against waiting twice: first for the time-out of the silent watch, then for the turn of this dispatcher. A
/// change must be known after 6 s.
#[test]
fn a_silent_watch_is_opened_again_at_once_among_300_dispatchers() {
    let many = |page: String| page.replacen(r#""ReplicasOfMe":1"#, r#""ReplicasOfMe":300"#, 1);
    let stage = Stage::of(1, 1024, many);
    let silent = stage.list.watch();
    silent.tell(44, false, &[]);
    let start = Instant::now();
    let again = stage.list.watch();
    assert!(again.asked.contains("index=44 "), "{}", again.asked);
    assert!(
        start.elapsed().as_secs_f64() < 5.5,
        "what it misses counts as told after 6 s: {:?}",
        start.elapsed()
    );
}

/// Guards against a line that cannot be read hiding the valid entries beside it, or the changes that it held.
#[test]
fn an_invalid_line_of_the_list_is_skipped() {
    let stage = Stage::start(1);
    let watch = stage.list.watch();
    watch.say("what is this");
    watch.say(r#"{"generation":"x"}"#);
    watch.tell(
        43,
        false,
        &[
            r#"{"instanceId":"s-1"}"#.to_string(),
            stage.runners[0].entry("Gone", 0),
        ],
    );
    pause(150);
    let mut client = stage.client();
    client.submit("rerun", "4000m");
    assert_eq!(client.answer().status(), 503, "the good entry counts");
    drop(watch);
    assert!(
        stage.list.watch().asked.contains("index=41 "),
        "asked again from before the flaw"
    );
}

/// A reload names another discovery address. The old watch must be read until the new one has been read, since there
/// would be a gap otherwise.
#[test]
fn a_new_list_replaces_the_old_one_without_disturbing_open_work_items() {
    let mut stage = Stage::start(2);
    let (mut client, mut second) = (stage.client(), stage.client());
    let id = client.submit("rerun", "7000m");
    let (first, handed) = stage.next_request_at_any();
    handed.take();
    let (has, other) = (&stage.runners[first], &stage.runners[1 - first]);
    let (old, list) = (stage.list.watch(), List::start());
    old.tell(90, false, &[]);
    stage.reload(
        &stage
            .page
            .replace(&stage.list.at.to_string(), &list.at.to_string()),
    );
    let new = list.watch();
    assert!(
        new.asked.contains("index=0 "),
        "versions of two lists are not alike: {}",
        new.asked
    );
    // The old list is read until the new one has been read.
    old.tell(91, false, &[has.entry("Terminating", 0)]);
    pause(150);
    let moved = second.submit("rerun", "7000m");
    other.next().take();
    new.tell(
        3,
        true,
        &[has.entry("Ready", 0), other.entry("Terminating", 0)],
    );
    assert!(old.is_closed());
    for (id, from, client) in [(&id, has, &mut client), (&moved, other, &mut second)] {
        assert_eq!(stage.news(id, &from.name, r#""done","result":"kept""#), 204);
        assert_eq!(client.answer().body, "kept");
    }
    client.submit("rerun", "7000m");
    has.next().take();
    drop(new);
    assert!(list.watch().asked.contains("index=3 "));
    // A page that cannot be used, or a change that needs a restart, changes nothing.
    stage.reload("{");
    pause(100);
    stage.reload(&stage.page.replace("read_like", "sometimes"));
    pause(100);
    stage.reload(&stage.page.replace(r#""sockets":1024"#, r#""sockets":512"#));
    stage.list.watch();
    second.submit("rerun", "7000m");
    has.next();
    stage.term();
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
    assert_eq!(
        log.matches("cannot be used, the old one stays").count(),
        2,
        "{log}"
    );
    assert_eq!(
        log.matches("configuration change needs a restart: keys=limits")
            .count(),
        1,
        "{log}"
    );
}

#[test]
fn shutdown_answers_all_accepted_work_items() {
    let mut stage = Stage::start(1);
    let ready = "GET /health/ready HTTP/1.1\r\n\r\n";
    let mut idle = stage.client();
    assert_eq!(idle.send(ready).answer().status(), 200);
    let (mut quick, mut stuck) = (stage.client(), stage.client());
    let id = quick.submit("rerun", "9000m");
    stage.runners[0].next().take();
    stuck.submit("rerun", "9000m");
    stage.runners[0].next().take();
    let start = Instant::now();
    stage.term();
    pause(100);
    assert_eq!(idle.send(ready).answer().status(), 503);
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(quick.answer().status(), 200);
    // No other dispatcher can serve these clients, so those that have a connection and those that connect late are
    // served here.
    for (client, after) in [(&mut stage.client(), 0), (&mut idle, 1500)] {
        pause(after);
        let id = client.submit("rerun", "9000m");
        let handed = stage.runners[0].next();
        assert!(
            handed.message.first.starts_with("POST /rerun"),
            "{}",
            handed.message.first
        );
        handed.take();
        stage.news(&id, "s-0", r#""done","result":"b""#);
        assert_eq!(client.answer().body, "b");
    }
    let mut late = stage.client();
    late.submit("once", "9000m");
    stage.runners[0].next().take();
    let answer = stuck.answer();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, Some("close")),
        "it may run elsewhere"
    );
    assert_eq!(late.answer().status(), 502);
    assert!(idle.read().is_none());
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
    assert!(start.elapsed().as_millis() < 3700, "before it is killed");
    assert!(!log.contains("panicked"), "{log}");
}

#[test]
fn shutdown_with_peers_moves_clients_to_them_in_time() {
    let stage = Stage::of(1, 1024, |page| {
        page.replace(r#""ReplicasOfMe":1"#, r#""ReplicasOfMe":2"#)
    });
    let (mut idle, mut busy) = (stage.client(), stage.client());
    let id = busy.submit("rerun", "9000m");
    stage.runners[0].next().take();
    let start = Instant::now();
    stage.term();
    assert!(idle.read().is_none());
    assert!(
        (1000..1900).contains(&start.elapsed().as_millis()),
        "{:?}",
        start.elapsed()
    );
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(busy.answer().header("connection"), Some("close"));
}

#[test]
fn invalid_requests_are_rejected_without_side_effects() {
    let stage = Stage::start(1);
    let mut bystander = stage.client();
    let id = bystander.submit("rerun", "6000m");
    stage.runners[0].next().take();
    let job = "POST /rerun HTTP/1.1\r\nReq-Id: ab\r\nReq-Kind: rerun\r\n";
    let long = "x".repeat(20_000);
    let cases = [
        ("no request at all\r\n\r\n".to_string(), 400),
        (format!("{job}Content-Length: -1\r\n\r\n"), 400),
        (
            format!("{job}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"),
            400,
        ),
        (
            format!("{job}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
            400,
        ),
        (format!("{job}Req-Deadline: soon\r\n\r\n"), 400),
        (
            format!("{job}Req-Deadline: 400m\r\nReq-Extra: slots=none\r\n\r\n"),
            400,
        ),
        (job.replace("ab", "a/b") + "\r\n", 400),
        (format!("POST /rerun HTTP/1.1\r\nReq-Id: {id}\r\n\r\n"), 400),
        ("POST /rerun HTTP/1.1\r\n\r\n".to_string(), 400),
        (job.replace("Kind: rerun", "Kind: once") + "\r\n", 400),
        (
            "POST /nothing HTTP/1.1\r\nReq-Id: ab\r\nReq-Deadline: 400m\r\n\r\n".to_string(),
            404,
        ),
        ("GET /rerun HTTP/1.1\r\nReq-Id: ab\r\n\r\n".to_string(), 405),
        (format!("{job}Content-Length: 70000\r\n\r\n"), 413),
        (
            format!("{job}Transfer-Encoding: chunked\r\n\r\n11170\r\n"),
            413,
        ),
        (format!("{job}X-Long: {long}\r\n\r\n"), 431),
    ];
    for (text, status) in cases {
        let answer = stage.client().send(&text).answer();
        assert_eq!(answer.status(), status, "{} to {text}", answer.body);
    }
    for body in [
        "{",
        "[]",
        r#"{"id":"a","from":"s-0"}"#,
        r#"{"id":"a","from":"s-0","state":"odd"}"#,
    ] {
        assert_eq!(stage.post(body), 400, "{body}");
    }
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"fine""#), 204);
    assert_eq!(bystander.answer().body, "fine");
}

#[test]
fn chunked_requests_and_requests_sent_byte_by_byte_are_served() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    let text = "POST /rerun HTTP/1.1\r\nReq-Id: ab\r\nReq-Deadline: 4000000u\r\n\
                Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for c in text.chars() {
        client.send(&c.to_string());
    }
    let handed = stage.runners[0].next();
    assert_eq!(
        (
            handed.message.body.as_str(),
            handed.message.header("content-length")
        ),
        ("abcde", Some("5"))
    );
}

#[test]
fn many_connections_do_not_exhaust_the_descriptors() {
    let mut stage = Stage::with(1, 64);
    let idle: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(stage.at).unwrap())
        .collect();
    pause(100);
    let mut client = stage.client();
    let id = client.submit("rerun", "6000m");
    stage.runners[0].next().take();
    let mut turned_away = 0;
    let mut held: Vec<Client> = Vec::new();
    for _ in 0..40 {
        held.push(stage.client());
        held.last_mut().unwrap().submit("rerun", "3000m");
        pause(2);
    }
    for client in &mut held {
        turned_away += client.read().is_some_and(|answer| answer.status() == 503) as usize;
    }
    assert!(turned_away > 0);
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"fine""#), 204);
    assert_eq!(client.answer().body, "fine");
    drop(idle);
    // A new connection is not shut to make room for another before its first request had time to come.
    let mut fresh: Vec<Client> = (0..35).map(|_| stage.client()).collect();
    pause(100);
    for client in &mut fresh {
        client.send("GET /health/live HTTP/1.1\r\n\r\n");
    }
    assert!(fresh.iter_mut().all(|client| client.read().is_some()));
    stage.term();
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0));
    assert!(!log.contains("could not be accepted"), "{log}");
}

#[test]
fn an_invalid_page_ends_the_start_with_one_line() {
    let good = page(free(), free(), 1024, &[]);
    let cases = [
        ("{".to_string(), "EOF"),
        (good.replace("read_like", "sometimes"), "sometimes"),
        (good.replace(r#""seed":"8c"#, r#""seed":"zz"#), "seed"),
        (
            good.replace(r#""sockets":1024"#, r#""sockets":20"#),
            "too few",
        ),
        (
            good.replace(r#""listen":"127"#, r#""listen":"x127"#),
            "listen",
        ),
        (
            good.replace(r#""listen":"127.0.0.1"#, r#""listen":"192.0.2.1"#),
            "listening on",
        ),
    ];
    for (page, with) in cases {
        let (code, log) = ended(&mut launch(&file(), &page));
        assert_eq!(code, Some(1), "{log}");
        assert!(
            log.contains(with) && log.lines().count() == 1,
            "'{log}' does not say '{with}'"
        );
    }
}

#[test]
fn work_at_a_silent_runner_is_retried_only_after_its_cancellation() {
    let stage = Stage::start(2);
    let (mut one, mut two) = (stage.client(), stage.client());
    let id = one.submit("rerun", "6000m");
    two.submit("rerun", "6000m");
    // Both work items have the same key, so they are at the same runner. It accepts them and sends nothing more.
    let (silent, well) = match stage.runners[0].poll(300) {
        Some(handed) => {
            handed.take();
            (&stage.runners[0], &stage.runners[1])
        }
        None => (&stage.runners[1], &stage.runners[0]),
    };
    while let Some(handed) = silent.poll(100) {
        handed.take();
    }
    let give_up = format!("DELETE /jobs/{id} HTTP/1.1");
    let told = |_: usize| {
        std::iter::from_fn(|| silent.poll(2000)).find(|handed| handed.message.first == give_up)
    };
    told(1).expect("it is told to give the first up");
    let again = told(2).expect("and told again, since it did not answer");
    well.nothing(100);
    again.answer("204 No Content", "");
    assert_eq!(well.next().message.header("req-id"), Some(id.as_str()));
}

#[test]
fn a_restarted_runner_has_lost_its_jobs() {
    let stage = Stage::start(2);
    let mut client = stage.client();
    let id = client.submit("rerun", "6000m");
    let (old, other) = match stage.runners[0].poll(300) {
        Some(handed) => {
            handed.take();
            (&stage.runners[0], &stage.runners[1])
        }
        None => (&stage.runners[1], &stage.runners[0]),
    };
    while let Some(handed) = old.poll(100) {
        handed.take();
    }
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    stage
        .list
        .watch()
        .tell(42, false, &[old.entry("Ready", now.as_millis() as u64)]);
    assert_eq!(other.next().message.header("req-id"), Some(id.as_str()));
}

/// Guards against a machine that has failed: its other connections stay open and silent too, and only a new connection
/// shows that.
#[test]
fn a_silent_runner_is_tried_on_a_new_connection() {
    let stage = Stage::start(1);
    let mut clients = [stage.client(), stage.client()];
    let ids = clients
        .each_mut()
        .map(|client| client.submit("rerun", "6000m"));
    [stage.runners[0].next(), stage.runners[0].next()]
        .iter()
        .for_each(ReceivedRequest::take);
    for (client, id) in clients.iter_mut().zip(&ids) {
        stage.news(id, "s-0", r#""done","result":"a""#);
        assert_eq!(client.answer().status(), 200);
    }
    assert_eq!(stage.runners[0].connections(), 2);
    let [mut leaves, mut stays] = clients;
    leaves.submit("rerun", "6000m");
    let unanswered = stage.runners[0].next();
    drop(leaves);
    assert!(unanswered.is_closed());
    stays.submit("rerun", "6000m");
    stage.runners[0].next();
    assert_eq!(
        stage.runners[0].connections(),
        1,
        "the other idle one was not trusted"
    );
}

/// A runner may close an idle connection at the moment of a request. That must not count as a failure of the runner.
#[test]
fn a_stale_connection_costs_one_retry_and_no_bad_verdict() {
    let mut stage = Stage::start(2);
    let mut client = stage.client();
    let mut id = client.submit("rerun", "6000m");
    let (at, first) = stage.next_request_at_any();
    first.take();
    for _ in 0..6 {
        assert_eq!(
            stage.news(&id, &stage.runners[at].name, r#""done","result":"a""#),
            204
        );
        assert_eq!(client.answer().status(), 200);
        id = client.submit("rerun", "6000m");
        stage.runners[at].next().close();
        let again = stage.runners[at].next();
        assert_eq!(again.message.header("req-id"), Some(id.as_str()));
        again.take();
    }
    assert_eq!(stage.runners[at].connections(), 7);
    stage.child.kill().unwrap();
    assert!(!stage.ended().1.contains("unwell"));
}

#[test]
fn work_on_a_silent_connection_is_retried_elsewhere() {
    let stage = Stage::start(2);
    let mut one = stage.client();
    let lost = one.submit("rerun", "6000m");
    let (at, silent) = stage.next_request_at_any();
    // On another connection the same runner works on; what the other one got meanwhile ends.
    let (mut clients, mut elsewhere) = (Vec::new(), Vec::new());
    let id = (0..8).find_map(|_| {
        clients.push(stage.client());
        let id = clients.last_mut().unwrap().submit("rerun", "6000m");
        let (place, handed) = stage.next_request_at_any();
        handed.take();
        if place == at {
            return Some(id);
        }
        elsewhere.push(id);
        None
    });
    let id = id.expect("it gets work on another connection");
    for id in elsewhere {
        stage.news(&id, &stage.runners[1 - at].name, r#""done","result":"a""#);
    }
    let again = (0..12).any(|_| {
        stage.news(&id, &stage.runners[at].name, r#""running","share":0.1"#);
        let handed = stage.runners[1 - at].poll(100);
        handed.is_some_and(|handed| handed.message.header("req-id") == Some(lost.as_str()))
    });
    assert!(again, "it is handed out again");
    assert!(silent.is_closed(), "which gives the first up");
}

#[test]
fn silent_peers_do_not_hold_up_the_dispatcher() {
    let stage = Stage::start(1);
    let mut half = stage.client();
    half.send("POST /rerun HTTP/1.1\r\nReq-Id: ab\r\nContent-Length: 5\r\n\r\nwa");
    // A runner that takes a connection and says nothing, for a client that waits 1 s.
    let mut client = stage.client();
    let start = Instant::now();
    client.submit("once", "1000m");
    let handed = stage.runners[0].next();
    assert_eq!(client.answer().status(), 502);
    assert!(
        (900..1400).contains(&start.elapsed().as_millis()),
        "{:?}",
        start.elapsed()
    );
    assert!(handed.is_closed());
    assert_eq!(half.answer().status(), 408);
    assert!(half.read().is_none());
}

#[test]
fn the_dispatcher_is_ready_once_it_has_an_endpoint_list() {
    let stage = Stage::start(0);
    let ready = || {
        stage
            .client()
            .send("GET /health/ready HTTP/1.1\r\n\r\n")
            .answer()
            .status()
    };
    assert_eq!(ready(), 503);
    stage.list.watch().tell(42, true, &[]);
    pause(150);
    assert_eq!(ready(), 200);
}

/// The callbacks for the end of one job and the start of the next use different connections and may arrive in the other
/// order. Then a runner with one slot must not be taken for one with two.
#[test]
fn a_start_reported_before_an_earlier_end_does_not_add_a_slot() {
    let stage = Stage::start(1);
    let mut clients = [stage.client(), stage.client(), stage.client()];
    let ids = clients
        .each_mut()
        .map(|client| client.submit("rerun", "6000m"));
    // Requests on three connections may be read in another order than they were sent in.
    let handed = [stage.runners[0].next(), stage.runners[0].next()];
    handed.iter().for_each(ReceivedRequest::take);
    let [first, second] = handed.each_ref().map(ReceivedRequest::id);
    stage.runners[0].nothing(50);
    // The runner has one slot: the second job starts when the first ends, 0.2 s later.
    stage.news(first, "s-0", r#""started""#);
    pause(200);
    let [started, done] =
        [(second, r#""started""#), (first, r#""done","result":"a""#)].map(|(id, state)| {
            let body = format!(r#"{{"id":"{id}","from":"s-0","state":{state}}}"#);
            format!(
                "POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        });
    stage.client().send(&(started + &done));
    let place_of_first = ids.iter().position(|id| id == first);
    let answered = &mut clients[place_of_first.expect("it was handed in")];
    assert_eq!(answered.answer().status(), 200);
    // So the third is held, although two were handed out at first.
    stage.runners[0].nothing(300);
}

fn serves(at: std::net::SocketAddr) {
    let start = Instant::now();
    while TcpStream::connect(at).is_err() {
        assert!(start.elapsed() < MAX_WAIT, "the program listens");
        pause(5);
    }
}

#[test]
fn learned_state_survives_a_planned_restart() {
    let kept = file();
    let with = |page: String| page.replacen('{', &format!(r#"{{"learnt":{kept:?},"#), 1);
    let mut stage = Stage::of(1, 1024, with);
    let first = |stage: &Stage| {
        let mut clients: Vec<Client> = (0..3).map(|_| stage.client()).collect();
        let ids: Vec<String> = clients
            .iter_mut()
            .map(|client| client.submit("rerun", "9000m"))
            .collect();
        let mut handed = 0;
        while let Some(job) = stage.runners[0].poll(250) {
            job.take();
            handed += 1;
        }
        for _ in 0..2 {
            let done =
                |id: &String| assert_eq!(stage.news(id, "s-0", r#""done","result":"a""#), 204);
            ids.iter().for_each(done);
            while let Some(job) = stage.runners[0].poll(100) {
                job.take();
            }
        }
        clients
            .iter_mut()
            .for_each(|client| assert_eq!(client.answer().body, "a", "answered once, in full"));
        handed
    };
    assert_eq!(first(&stage), 2, "a cap starts at two");
    let entry = stage.runners[0].entry("Ready", 0);
    let restarted = stage
        .page
        .replace(&entry, &stage.runners[0].entry("Ready", 1_000_000_000_000));
    let back = stage
        .page
        .replacen(&format!(r#""learnt":{kept:?},"#), "", 1);
    // The same again; with another process of the runner; the way back to the page without it.
    let same = ("of 1 categories and 1 runners", stage.page.clone());
    let mut says = "learned state is not taken up";
    for (next, page) in [
        same,
        ("of 1 categories and 0 runners", restarted),
        ("serves on", back),
    ] {
        stage.term();
        let (code, log) = stage.ended();
        assert_eq!(code, Some(0), "{log}");
        let kept = log.contains("learned state is kept") && log.contains("ends with 0 unanswered");
        assert!(kept && log.contains(says), "{log}");
        (stage.child, says) = (launch(&file(), &page), next);
        serves(stage.at);
        assert_eq!(first(&stage), 2, "what may be out there is fresh");
    }
    stage.term();
    let (_, log) = stage.ended();
    assert!(log.contains(says) && !log.contains("learned"), "{log}");
}

/// The file may be missing, cut off, too large, too old, or of another version or deployment.
#[test]
fn an_unusable_file_of_learned_state_is_ignored() {
    let whole = r#"{"version":1,"deployment":1,"written":0,"usuals":[],"runners":[]}"#;
    let bad = [
        "",
        "{",
        &whole[..40],
        &whole.replace(":1,\"d", ":9,\"d"),
        whole,
        &"x".repeat(2 << 20),
    ];
    let all: Vec<(PathBuf, Stage)> = bad
        .iter()
        .map(|text| {
            let kept = file();
            if !text.is_empty() {
                std::fs::write(&kept, text).unwrap();
            }
            let with = |page: String| page.replacen('{', &format!(r#"{{"learnt":{kept:?},"#), 1);
            let stage = Stage::of(1, 1024, with);
            stage.term();
            (kept, stage)
        })
        .collect();
    for (kept, mut stage) in all {
        let (code, log) = stage.ended();
        assert_eq!(
            (code, log.matches("is not taken up").count()),
            (Some(0), 1),
            "{log}"
        );
        let text = std::fs::read_to_string(kept).unwrap();
        assert!(
            text.starts_with(r#"{"version":1"#),
            "a good one stands there in the end"
        );
    }
}

#[test]
fn an_invalid_setting_ends_the_start_with_one_line_that_names_it() {
    let changes = [
        (r#""ColdFrom":0.2"#, r#""ColdFrom":-0.2"#, "Safety.ColdFrom"),
        (r#""How":"off""#, r#""How":"sometimes""#, "Report.How"),
        (
            r#""Discovery":"on_request""#,
            r#""Discovery":"guess""#,
            "Discovery",
        ),
        (
            r#""TellsStart":true"#,
            r#""TellsStart":true,"ClassStretch":"NaN,1""#,
            "Domain.ClassStretch",
        ),
        (
            r#""TellsStart":true"#,
            r#""TellsStart":true,"ClassKind":[0]"#,
            "Domain.ClassKind",
        ),
        (
            r#""MayCancel":true"#,
            r#""Probes":"perhaps","MayCancel":true"#,
            "Limits.Probes",
        ),
        (
            r#""Me":0"#,
            r#""Me":0,"Penalties":{"CrossZone":"dear"}"#,
            "Penalties.CrossZone",
        ),
    ];
    for (old, new, names) in changes {
        let page = page(free(), free(), 1024, &[]);
        assert!(page.contains(old));
        let (code, log) = ended(&mut launch(&file(), &page.replace(old, new)));
        assert_eq!((code, log.lines().count()), (Some(1), 1), "{log}");
        assert!(log.contains(names), "{log}");
    }
}

#[test]
fn enabled_probes_are_reported_as_unavailable() {
    let allowed = |page: String| {
        let page = page.replace(r#""MayCancel":true"#, r#""MayCancel":true,"Probes":true"#);
        let report = r#"{"Fields":["x0"],"How":"on_probe"}"#;
        let page = page.replace(r#"{"Fields":[],"How":"off"}"#, report);
        page.replace(
            r#""TellsStart":true"#,
            r#""TellsStart":true,"ReportX0":"free_slots""#,
        )
    };
    let mut stage = Stage::of(1, 1024, allowed);
    let mut client = stage.client();
    let id = client.submit("rerun", "4000m");
    stage.runners[0].next().take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(client.answer().body, "a", "room is the cap's, as it was");
    stage.term();
    let (_, log) = stage.ended();
    assert_eq!(log.matches("no runner is probed").count(), 1, "{log}");
}

/// Inodes of the sockets of a process.
fn sockets_of(pid: u32) -> Vec<String> {
    let all = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let links = all.filter_map(|fd| std::fs::read_link(fd.unwrap().path()).ok());
    let inode = |link: PathBuf| {
        Some(
            link.to_str()?
                .strip_prefix("socket:[")?
                .strip_suffix(']')?
                .to_string(),
        )
    };
    links.filter_map(inode).collect()
}

/// States of those sockets that are in a table of the kernel.
fn in_table(table: &str, inodes: &[String]) -> Vec<String> {
    let text = std::fs::read_to_string(format!("/proc/net/{table}")).unwrap_or_default();
    let fields = text
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let ours = fields.filter(|fields| {
        inodes
            .iter()
            .any(|inode| fields.get(9) == Some(&inode.as_str()))
    });
    ours.map(|fields| fields[3].to_string()).collect()
}

/// Guards against a fleet, a store or test settings taking effect from the page of the platform.
#[test]
fn with_the_platform_page_only_the_listener_and_the_watch_are_opened() {
    let fleet = r#"{"fleet":{"name":"f","listen":"127.0.0.1:1","members":[]},"store":{"folder":"STORE"},
        "trial":{"break":"two-at-once"},"name""#;
    let folder = std::env::temp_dir().join(format!("sagetrail-no-store-{}", std::process::id()));
    let fleet = fleet.replace("STORE", &folder.display().to_string());
    let stage = Stage::of(1, 1024, |page| page.replacen(r#"{"name""#, &fleet, 1));
    stage.list.watch().tell(42, false, &[]);
    let mut client = stage.client();
    client.submit("rerun", "4000m");
    stage.runners[0].next().take();
    assert!(!folder.exists(), "no disk that lasts");
    let pid = stage.child.id();
    let inodes = sockets_of(pid);
    assert!(in_table("udp", &inodes).is_empty() && in_table("udp6", &inodes).is_empty());
    let listens = |state: &&String| *state == "0A";
    assert_eq!(
        in_table("tcp", &inodes).iter().filter(listens).count(),
        1,
        "the clients' address"
    );
    // The listener, the watch, this client, a runner, and one or two connections that are just ending.
    assert!(
        (3..=6).contains(&in_table("tcp", &inodes).len()),
        "{:?}",
        in_table("tcp", &inodes)
    );
    assert_eq!(
        std::fs::read_dir(format!("/proc/{pid}/task"))
            .unwrap()
            .count(),
        1,
        "one thread"
    );
    let files = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .filter_map(|fd| {
            let to = std::fs::read_link(fd.unwrap().path()).ok()?;
            to.starts_with("/").then_some(to)
        });
    let files: Vec<PathBuf> = files
        .filter(|file| file != &PathBuf::from("/dev/null"))
        .collect();
    assert!(files.is_empty(), "{files:?}");
}
