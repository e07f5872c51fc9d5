//! Stories of the program on its sockets.

mod operators;
#[allow(dead_code)] // The crossings use more of it.
mod stage;
use stage::*;
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Instant;

#[test]
fn a_job_goes_to_a_runner_and_its_result_comes_back() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    let id = client.hand_in("rerun", "4000m");
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
    client.hand_in("rerun", "4000m");
    stage.runners[0].next();
    assert_eq!(stage.runners[0].connections(), 1);
}

#[test]
fn news_may_come_before_the_202_and_twice() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    let id = client.hand_in("rerun", "4000m");
    let handed = stage.runners[0].next();
    assert_eq!(stage.news(&id, "s-0", r#""started""#), 204);
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"a""#), 204);
    assert_eq!(client.answer().body, "a");
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"b""#), 204);
    handed.take();
    assert_eq!(stage.news(&id, "s-0", r#""lost""#), 204);
    let id = client.hand_in("rerun", "4000m");
    stage.runners[0].next().take();
    stage.news(&id, "s-0", r#""done","result":"c""#);
    assert_eq!(client.answer().body, "c");
    assert_eq!(
        stage.runners[0].connections(),
        1,
        "the first connection was kept for the second"
    );
}

#[test]
fn news_from_another_runner_than_the_hand_offs_means_nothing() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    let id = client.hand_in("rerun", "4000m");
    stage.runners[0].next().take();
    assert_eq!(stage.news(&id, "s-9", r#""done","result":"stray""#), 204);
    assert_eq!(stage.news("feed", "s-0", r#""failed""#), 204);
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"own""#), 204);
    assert_eq!(client.answer().body, "own");
}

#[test]
fn a_connection_that_refuses_an_option_serves_like_any() {
    let stage = Stage::without_tcp_options();
    stage.list.watch().tell(42, false, &[]);
    let mut client = stage.client();
    let id = client.hand_in("once", "4000m");
    stage.runners[0].next().take();
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"a""#), 204);
    assert_eq!(client.answer().status(), 200);
}

type First<'a> = &'a dyn Fn(&Stage, &Handed, &str, &str);

/// Hands in a job, lets the first runner that gets it do something, and says whether the other gets it next
/// and what becomes of it.
fn after(category: &str, first: First) -> Result<Message, Message> {
    let stage = Stage::start(2);
    let mut client = stage.client();
    let id = client.hand_in(category, "3000m");
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
fn what_never_ran_goes_elsewhere_even_if_exclusive() {
    for category in ["rerun", "once"] {
        let declined = |_: &Stage, handed: &Handed, _: &str, _: &str| {
            handed.answer("503 Service Unavailable", "Srv-Declined: 1\r\n");
        };
        assert_eq!(after(category, &declined).unwrap().body, "second");
        let returned = |stage: &Stage, handed: &Handed, id: &str, from: &str| {
            handed.take();
            stage.news(id, from, r#""returned""#);
        };
        assert_eq!(after(category, &returned).unwrap().body, "second");
    }
}

#[test]
fn what_may_have_run_goes_elsewhere_only_if_rerunnable() {
    let broken = |_: &Stage, handed: &Handed, _: &str, _: &str| handed.close();
    let error = |_: &Stage, handed: &Handed, _: &str, _: &str| handed.answer("500 Oops", "");
    let shy = |_: &Stage, handed: &Handed, _: &str, _: &str| handed.answer("503 Busy", "");
    let lost = |stage: &Stage, handed: &Handed, id: &str, from: &str| {
        handed.take();
        stage.news(id, from, r#""lost""#);
    };
    let failed = |stage: &Stage, handed: &Handed, id: &str, from: &str| {
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
fn a_runner_that_cannot_be_reached_costs_no_work() {
    let stage = Stage::start(1);
    let watch = stage.list.watch();
    watch.tell(42, false, &[entry("s-dead", free(), "Ready", 0)]);
    pause(150);
    for _ in 0..6 {
        let mut client = stage.client();
        let id = client.hand_in("once", "4000m");
        stage.runners[0].next().take();
        stage.news(&id, "s-0", r#""done","result":"a""#);
        assert_eq!(client.answer().status(), 200);
    }
}

#[test]
fn a_client_that_closes_has_left() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    client.hand_in("rerun", "9000m");
    let handed = stage.runners[0].next();
    drop(client);
    assert!(
        handed.is_closed(),
        "before the 202 the connection is closed"
    );
    // After it, or after news that came before it, the runner is told.
    for early in [false, true] {
        let mut client = stage.client();
        let id = client.hand_in("rerun", "9000m");
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
fn a_hand_off_is_dropped_and_written_off_when_its_client_gives_up() {
    let mut stage = Stage::start(1);
    let mut client = stage.client();
    let start = Instant::now();
    let id = client.hand_in("once", "600m");
    // The connection is not kept, so the word to give up needs another.
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
fn what_no_runner_can_take_is_deferred_and_told_when_to_come_back() {
    let stage = Stage::start(1);
    stage.list.watch().tell(42, true, &[]);
    pause(150);
    let mut client = stage.client();
    client.hand_in("once", "4000m");
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
fn a_draining_runner_gets_nothing_new_and_what_it_has_is_awaited() {
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
    let id = client.hand_in("rerun", "4000m");
    a.next().take();
    watch.tell(43, false, &[a.entry("Terminating", 0), b.entry("Ready", 0)]);
    pause(150);
    let mut other = stage.client();
    other.hand_in("rerun", "4000m");
    b.next();
    stage.news(&id, "s-0", r#""done","result":"kept""#);
    assert_eq!(client.answer().body, "kept");
    a.nothing(100);
}

#[test]
fn an_address_may_change_and_a_name_stays() {
    let stage = Stage::start(1);
    let moved = Runner::start("s-0");
    let mut client = stage.client();
    let id = client.hand_in("rerun", "4000m");
    stage.runners[0].next().take();
    stage
        .list
        .watch()
        .tell(42, false, &[moved.entry("Ready", 0)]);
    pause(150);
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(client.answer().body, "a");
    client.hand_in("rerun", "4000m");
    moved.next();
}

#[test]
fn a_watch_that_ends_or_falls_silent_is_opened_again() {
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
    client.hand_in("rerun", "4000m");
    assert_eq!(
        client.answer().status(),
        503,
        "the whole list names no runner any more"
    );
}

#[test]
fn among_three_hundred_a_silent_watch_is_opened_again_without_waiting_its_turn() {
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

#[test]
fn a_bad_line_of_the_list_is_passed_over() {
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
    client.hand_in("rerun", "4000m");
    assert_eq!(client.answer().status(), 503, "the good entry counts");
    drop(watch);
    assert!(
        stage.list.watch().asked.contains("index=41 "),
        "asked again from before the flaw"
    );
}

#[test]
fn another_list_is_watched_before_the_old_is_let_go_and_nothing_in_hand_is_disturbed() {
    let mut stage = Stage::start(2);
    let (mut client, mut second) = (stage.client(), stage.client());
    let id = client.hand_in("rerun", "7000m");
    let (first, handed) = stage.next_at_any();
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
    // Until the new one speaks the old one is heard.
    old.tell(91, false, &[has.entry("Terminating", 0)]);
    pause(150);
    let moved = second.hand_in("rerun", "7000m");
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
    client.hand_in("rerun", "7000m");
    has.next().take();
    drop(new);
    assert!(list.watch().asked.contains("index=3 "));
    // What cannot be used, or only by a restart, changes nothing.
    stage.reload("{");
    pause(100);
    stage.reload(&stage.page.replace("read_like", "sometimes"));
    pause(100);
    stage.reload(&stage.page.replace(r#""sockets":1024"#, r#""sockets":512"#));
    stage.list.watch();
    second.hand_in("rerun", "7000m");
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
fn a_dispatcher_told_to_end_settles_what_it_has() {
    let mut stage = Stage::start(1);
    let ready = "GET /health/ready HTTP/1.1\r\n\r\n";
    let mut idle = stage.client();
    assert_eq!(idle.send(ready).answer().status(), 200);
    let (mut quick, mut stuck) = (stage.client(), stage.client());
    let id = quick.hand_in("rerun", "9000m");
    stage.runners[0].next().take();
    stuck.hand_in("rerun", "9000m");
    stage.runners[0].next().take();
    let start = Instant::now();
    stage.term();
    pause(100);
    assert_eq!(idle.send(ready).answer().status(), 503);
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(quick.answer().status(), 200);
    // Nobody else could serve them: who has a connection is served on it, who comes late too.
    for (client, after) in [(&mut stage.client(), 0), (&mut idle, 1500)] {
        pause(after);
        let id = client.hand_in("rerun", "9000m");
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
    late.hand_in("once", "9000m");
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
fn with_peers_a_dispatcher_told_to_end_sends_its_clients_there_in_time() {
    let stage = Stage::of(1, 1024, |page| {
        page.replace(r#""ReplicasOfMe":1"#, r#""ReplicasOfMe":2"#)
    });
    let (mut idle, mut busy) = (stage.client(), stage.client());
    let id = busy.hand_in("rerun", "9000m");
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
fn bad_requests_are_turned_down_and_touch_nothing_else() {
    let stage = Stage::start(1);
    let mut bystander = stage.client();
    let id = bystander.hand_in("rerun", "6000m");
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
fn a_chunked_job_and_one_sent_byte_by_byte_are_jobs_like_any() {
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
fn many_connections_never_use_up_the_descriptors() {
    let mut stage = Stage::with(1, 64);
    let idle: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(stage.at).unwrap())
        .collect();
    pause(100);
    let mut client = stage.client();
    let id = client.hand_in("rerun", "6000m");
    stage.runners[0].next().take();
    let mut turned_away = 0;
    let mut held: Vec<Client> = Vec::new();
    for _ in 0..40 {
        held.push(stage.client());
        held.last_mut().unwrap().hand_in("rerun", "3000m");
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
fn a_bad_page_at_the_start_ends_with_one_plain_line() {
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
fn work_at_a_silent_runner_moves_on_only_once_it_is_given_up() {
    let stage = Stage::start(2);
    let (mut one, mut two) = (stage.client(), stage.client());
    let id = one.hand_in("rerun", "6000m");
    two.hand_in("rerun", "6000m");
    // Both have the same key, so both are at the same runner. It takes them and says nothing more.
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
fn a_runner_that_started_again_has_lost_its_jobs() {
    let stage = Stage::start(2);
    let mut client = stage.client();
    let id = client.hand_in("rerun", "6000m");
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

#[test]
fn after_silence_a_runner_is_tried_on_a_new_connection() {
    let stage = Stage::start(1);
    let mut clients = [stage.client(), stage.client()];
    let ids = clients
        .each_mut()
        .map(|client| client.hand_in("rerun", "6000m"));
    [stage.runners[0].next(), stage.runners[0].next()]
        .iter()
        .for_each(Handed::take);
    for (client, id) in clients.iter_mut().zip(&ids) {
        stage.news(id, "s-0", r#""done","result":"a""#);
        assert_eq!(client.answer().status(), 200);
    }
    assert_eq!(stage.runners[0].connections(), 2);
    let [mut leaves, mut stays] = clients;
    leaves.hand_in("rerun", "6000m");
    let unanswered = stage.runners[0].next();
    drop(leaves);
    assert!(unanswered.is_closed());
    stays.hand_in("rerun", "6000m");
    stage.runners[0].next();
    assert_eq!(
        stage.runners[0].connections(),
        1,
        "the other idle one was not trusted"
    );
}

#[test]
fn a_kept_connection_that_died_costs_one_more_and_no_verdict() {
    let mut stage = Stage::start(2);
    let mut client = stage.client();
    let mut id = client.hand_in("rerun", "6000m");
    let (at, first) = stage.next_at_any();
    first.take();
    for _ in 0..6 {
        assert_eq!(
            stage.news(&id, &stage.runners[at].name, r#""done","result":"a""#),
            204
        );
        assert_eq!(client.answer().status(), 200);
        id = client.hand_in("rerun", "6000m");
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
fn work_on_a_connection_that_fell_silent_goes_elsewhere() {
    let stage = Stage::start(2);
    let mut one = stage.client();
    let lost = one.hand_in("rerun", "6000m");
    let (at, silent) = stage.next_at_any();
    // On another connection the same runner works on; what the other one got meanwhile ends.
    let (mut clients, mut elsewhere) = (Vec::new(), Vec::new());
    let id = (0..8).find_map(|_| {
        clients.push(stage.client());
        let id = clients.last_mut().unwrap().hand_in("rerun", "6000m");
        let (place, handed) = stage.next_at_any();
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
fn peers_that_fall_silent_are_not_waited_for() {
    let stage = Stage::start(1);
    let mut half = stage.client();
    half.send("POST /rerun HTTP/1.1\r\nReq-Id: ab\r\nContent-Length: 5\r\n\r\nwa");
    // A runner that takes a connection and says nothing, for a client that waits 1 s.
    let mut client = stage.client();
    let start = Instant::now();
    client.hand_in("once", "1000m");
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
fn it_is_ready_once_it_has_a_list() {
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

#[test]
fn a_start_that_overtakes_an_end_does_not_count_as_one_more_slot() {
    let stage = Stage::start(1);
    let mut clients = [stage.client(), stage.client(), stage.client()];
    let ids = clients
        .each_mut()
        .map(|client| client.hand_in("rerun", "6000m"));
    // Requests on three connections may be read in another order than they were sent in.
    let handed = [stage.runners[0].next(), stage.runners[0].next()];
    handed.iter().for_each(Handed::take);
    let [first, second] = handed.each_ref().map(Handed::id);
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
        assert!(start.elapsed() < LONG, "the program listens");
        pause(5);
    }
}

#[test]
fn what_was_learnt_survives_a_planned_restart_and_the_rest_is_fresh() {
    let kept = file();
    let with = |page: String| page.replacen('{', &format!(r#"{{"learnt":{kept:?},"#), 1);
    let mut stage = Stage::of(1, 1024, with);
    let first = |stage: &Stage| {
        let mut clients: Vec<Client> = (0..3).map(|_| stage.client()).collect();
        let ids: Vec<String> = clients
            .iter_mut()
            .map(|client| client.hand_in("rerun", "9000m"))
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

#[test]
fn a_file_of_what_was_learnt_that_cannot_be_used_is_a_fresh_start() {
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
fn a_setting_that_makes_no_sense_ends_the_start_with_one_line_that_names_it() {
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
fn where_the_page_allows_probes_the_program_says_that_there_are_none() {
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
    let id = client.hand_in("rerun", "4000m");
    stage.runners[0].next().take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(client.answer().body, "a", "room is the cap's, as it was");
    stage.term();
    let (_, log) = stage.ended();
    assert_eq!(log.matches("no runner is probed").count(), 1, "{log}");
}

/// The inodes of a process's sockets.
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

/// Of these, those in a table of the kernel's, with the state that it gives.
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

#[test]
fn by_the_platforms_page_nothing_is_opened_but_its_own_listener_and_its_watch() {
    let fleet = r#"{"fleet":{"name":"f","listen":"127.0.0.1:1","members":[]},"store":{"folder":"STORE"},
        "trial":{"break":"two-at-once"},"name""#;
    let folder = std::env::temp_dir().join(format!("sagetrail-no-store-{}", std::process::id()));
    let fleet = fleet.replace("STORE", &folder.display().to_string());
    let stage = Stage::of(1, 1024, |page| page.replacen(r#"{"name""#, &fleet, 1));
    stage.list.watch().tell(42, false, &[]);
    let mut client = stage.client();
    client.hand_in("rerun", "4000m");
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
    // The listener, the list's watch, this client, a runner; and a call or two that are just ending.
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
