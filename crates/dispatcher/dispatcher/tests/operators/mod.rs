//! Calls of the admin API and their effects.

use crate::stage::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Starts the program with an admin API. Returns its address as well.
fn start_with_admin_api(runners: usize) -> (Stage, SocketAddr) {
    let admin_address = free();
    (
        Stage::of(runners, 1024, |page| with_admin_api(page, admin_address)),
        admin_address,
    )
}

fn with_admin_api(page: String, admin_address: SocketAddr) -> String {
    page.replacen('{', &format!(r#"{{"console":"{admin_address}","#), 1)
}

/// Makes a call and returns its response, which must come within a second.
fn call(admin_address: SocketAddr, line: &str) -> Message {
    let mut stream = TcpStream::connect(admin_address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    stream
        .write_all(format!("{line} HTTP/1.1\r\nHost: d\r\nContent-Length: 0\r\n\r\n").as_bytes())
        .unwrap();
    let mut reader = BufReader::new(stream);
    let answer = read(&mut reader).expect("an answer in time");
    assert_eq!(
        reader.read(&mut [0]).unwrap(),
        0,
        "one call to a connection"
    );
    answer
}

fn ready(stage: &Stage) -> u16 {
    stage
        .client()
        .send("GET /health/ready HTTP/1.1\r\n\r\n")
        .answer()
        .status()
}

#[test]
fn the_admin_api_answers_while_silent_callers_hold_connections() {
    let (stage, admin_address) = start_with_admin_api(1);
    let start = Instant::now();
    let silent: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(admin_address).unwrap())
        .collect();
    (&silent[39]).write_all(b"GET /healthcheck HT").unwrap();
    assert_eq!(call(admin_address, "GET /healthcheck").status(), 200);
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    let lines = [
        "GET /nothing",
        "POST /healthcheck",
        "GET /healthcheck/fail",
        "BAD\u{1} /healthcheck",
    ];
    assert_eq!(
        lines.map(|line| call(admin_address, line).status()),
        [404, 405, 405, 400]
    );
    // A call that is not completed gets a 408, unless its connection was closed to make room before.
    let half = TcpStream::connect(admin_address).unwrap();
    (&half).write_all(b"GET /healthcheck HT").unwrap();
    half.set_read_timeout(Some(MAX_WAIT)).unwrap();
    assert_eq!(read(&mut BufReader::new(half)).unwrap().status(), 408);
    drop(stage);
}

#[test]
fn an_unusable_admin_address_ends_the_start_with_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for at in [
        "nowhere".to_string(),
        taken.local_addr().unwrap().to_string(),
    ] {
        let page =
            page(free(), free(), 1024, &[]).replacen('{', &format!(r#"{{"console":"{at}","#), 1);
        let (code, log) = ended(&mut launch(&file(), &page));
        assert_eq!((code, log.lines().count()), (Some(1), 1), "{log}");
        assert!(log.contains(&at), "{log}");
    }
}

#[test]
fn a_drain_moves_clients_away_and_answers_their_work_items() {
    let (stage, admin_address) = start_with_admin_api(1);
    let (mut busy, mut idle) = (stage.client(), stage.client());
    for client in [&mut busy, &mut idle] {
        let id = client.submit("rerun", "4000m");
        stage.runners[0].next().take();
        stage.news(&id, "s-0", r#""done","result":"a""#);
        assert_eq!(client.answer().status(), 200);
    }
    let mut news = stage.client();
    let tell = |news: &mut Client, id: &str| {
        let answer = news.tell(id, "s-0", r#""done","result":"b""#);
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (204, None),
            "a runner is no client"
        );
    };
    tell(&mut news, "unknown");
    let id = busy.submit("once", "4000m");
    stage.runners[0].next().take();
    let start = Instant::now();
    // A repeated command has no further effect, and commands in quick succession do no harm.
    for word in ["fail", "fail", "ok", "ok", "fail"] {
        assert_eq!(
            call(admin_address, &format!("POST /healthcheck/{word}")).status(),
            200
        );
    }
    assert_eq!(ready(&stage), 503);
    pause(200);
    assert_eq!(
        idle.send("GET /health/live HTTP/1.1\r\n\r\n")
            .answer()
            .header("connection"),
        None
    );
    assert!(
        start.elapsed() < Duration::from_millis(450),
        "the front has not looked yet"
    );
    assert!(idle.read().is_none(), "let go");
    assert!(
        (400..1500).contains(&start.elapsed().as_millis()),
        "{:?}",
        start.elapsed()
    );
    tell(&mut news, &id);
    let answer = busy.answer();
    assert_eq!(
        (answer.body.as_str(), answer.header("connection")),
        ("b", Some("close"))
    );
    // A client that connects nevertheless is served and moved away.
    let mut late = stage.client();
    let id = late.submit("rerun", "4000m");
    stage.runners[0].next().take();
    tell(&mut news, &id);
    assert_eq!(late.answer().header("connection"), Some("close"));
    assert_eq!(call(admin_address, "POST /healthcheck/ok").status(), 200);
    assert_eq!(ready(&stage), 200);
    let mut again = stage.client();
    assert_eq!(
        again
            .send("GET /health/live HTTP/1.1\r\n\r\n")
            .answer()
            .header("connection"),
        None
    );
}

#[test]
fn shutdown_during_a_drain_answers_accepted_work_items() {
    let (mut stage, admin_address) = start_with_admin_api(1);
    let mut client = stage.client();
    let id = client.submit("once", "4000m");
    stage.runners[0].next().take();
    call(admin_address, "POST /healthcheck/fail");
    stage.term();
    pause(100);
    call(admin_address, "POST /healthcheck/ok");
    assert_eq!(ready(&stage), 503, "the end stays the end");
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(client.answer().status(), 200);
    assert_eq!(stage.ended().0, Some(0));
}

/// Value of a counter, read from the admin API.
fn counter(admin_address: SocketAddr, name: &str) -> u64 {
    let text = call(admin_address, "GET /stats").body;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("edge_relay.{name}:")));
    let line = line.unwrap_or_else(|| panic!("{name} in {text}"));
    line.split('|').next().unwrap().parse().unwrap()
}

#[test]
fn counters_agree_with_what_clients_and_runners_observed() {
    let (stage, admin_address) = start_with_admin_api(2);
    let lines = call(admin_address, "GET /stats").body;
    assert_eq!(
        lines.lines().filter(|line| line.ends_with(":0|c")).count(),
        7,
        "from the first read on: {lines}"
    );
    let mut seen = 0;
    let mut submit = |client: &mut Client, category, end: Option<&str>| {
        let id = client.submit(category, "6000m");
        let (handed, from) = match stage.runners[0].poll(300) {
            Some(handed) => (handed, "s-0"),
            None => (stage.runners[1].next(), "s-1"),
        };
        seen += 1;
        handed.take();
        end.iter()
            .for_each(|end| assert_eq!(stage.news(&id, from, end), 204));
    };
    let done = Some(r#""done","result":"a""#);
    let mut clients: Vec<Client> = (0..5).map(|_| stage.client()).collect();
    for client in &mut clients[..3] {
        submit(client, "rerun", done);
        assert_eq!(client.answer().status(), 200);
    }
    submit(&mut clients[3], "once", Some(r#""failed""#));
    assert_eq!(clients[3].answer().status(), 502);
    submit(&mut clients[4], "once", None);
    assert_eq!(counter(admin_address, "open_requests"), 1);
    // The work item of a client that disconnects is no longer open. A request without a known category was never
    // accepted.
    clients.pop();
    clients[0].send("POST /nothing HTTP/1.1\r\nReq-Id: a\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(clients[0].answer().status(), 404);
    pause(100);
    assert_eq!(counter(admin_address, "open_requests"), 0);
    assert_eq!(counter(admin_address, "registry_entries"), 2);
    let drains = [
        stage.runners[0].entry("Ready", 0),
        stage.runners[1].entry("Terminating", 0),
    ];
    let watch = stage.list.watch();
    watch.tell(42, true, &drains);
    pause(150);
    assert_eq!(
        (
            counter(admin_address, "registry_entries"),
            counter(admin_address, "out_of_rotation")
        ),
        (2, 1)
    );
    watch.tell(43, true, &[]);
    pause(150);
    assert_eq!(
        (
            counter(admin_address, "registry_entries"),
            counter(admin_address, "out_of_rotation")
        ),
        (0, 0)
    );
    let mut client = stage.client();
    client.submit("once", "4000m");
    assert_eq!(client.answer().status(), 503);
    let ends = [
        "rerun.fulfilled",
        "once.fulfilled",
        "rerun.throttled",
        "once.throttled",
        "once.faulted",
    ];
    assert_eq!(
        ends.map(|end| counter(admin_address, &format!("operations.{end}"))),
        [3, 0, 0, 1, 1]
    );
    assert_eq!(counter(admin_address, "relayed"), seen);
}

/// A list that names the runner again must not put it back into service, and neither may a connection that is still
/// open.
#[test]
fn a_runner_out_of_service_gets_no_byte_until_it_is_put_back() {
    let (stage, admin_address) = start_with_admin_api(2);
    let watch = stage.list.watch();
    let name = |call: &str| format!("POST /runners/{call}");
    for unknown in [
        "s-9/maint",
        "s-9/ready",
        "s-0/else",
        "s-%ff/maint",
        "/maint",
    ] {
        assert_eq!(
            call(admin_address, &name(unknown)).status(),
            404,
            "{unknown}"
        );
    }
    assert_eq!(call(admin_address, "GET /runners/s-0/maint").status(), 405);
    // A kept connection to each.
    let serve = |only: Option<usize>| {
        let mut client = stage.client();
        let id = client.submit("rerun", "6000m");
        let first = only.unwrap_or(0);
        let (handed, from) = match stage.runners[first].poll(300) {
            Some(handed) => (handed, first),
            None => (stage.runners[1 - first].next(), 1 - first),
        };
        handed.take();
        stage.news(&id, &stage.runners[from].name, r#""done","result":"a""#);
        assert_eq!(client.answer().status(), 200);
        from
    };
    let out = serve(None);
    let ban = stage.runners[out].name.replace('-', "%2D");
    assert_eq!(
        call(admin_address, &name(&format!("{ban}/maint"))).status(),
        200
    );
    let listed = |started| [0, 1].map(|r| stage.runners[r].entry("Ready", started));
    for generation in 42..45 {
        watch.tell(generation, true, &listed(0));
        assert_eq!(
            call(admin_address, &name(&format!("{ban}/maint"))).status(),
            200,
            "it may be repeated"
        );
        pause(60);
        for _ in 0..3 {
            assert_eq!(serve(Some(1 - out)), 1 - out);
        }
        assert_eq!(counter(admin_address, "out_of_rotation"), 1);
    }
    stage.runners[out].nothing(50);
    assert_eq!(
        call(admin_address, &name(&format!("{ban}/ready"))).status(),
        200
    );
    assert_eq!(counter(admin_address, "out_of_rotation"), 0);
    assert_eq!(serve(Some(out)), out, "its keys come back");
}

const DONE: &str = r#""done","result":"a""#;

/// During an upgrade both processes accept connections at the same address, so a callback may reach the process that
/// does not have the work item.
#[test]
fn an_upgrade_loses_no_work_item_whichever_process_gets_a_callback() {
    let mut platform = Platform::start(2, 256);
    // Two successive upgrades: the process that the second one replaces has itself replaced another.
    for _ in 0..2 {
        let mut old = platform.client();
        let mut runner = platform.client();
        assert_eq!(runner.tell("unknown", "s-0", DONE).status(), 204);
        let first = old.submit("once", "6000m");
        let from = |platform: &Platform| match platform.runners[0].poll(300) {
            Some(handed) => (handed.take(), "s-0").1,
            None => (platform.runners[1].next().take(), "s-1").1,
        };
        let first_at = from(&platform);
        let idle = platform.client();
        platform.upgrade();
        platform.term();
        pause(50);
        // New clients connect to the new process, and those of the old one stay. The callback for each reaches the
        // other process.
        let mut new = platform.client();
        let second = new.submit("once", "6000m");
        let second_at = from(&platform);
        assert_eq!(
            runner.tell(&second, second_at, DONE).header("connection"),
            Some("close")
        );
        assert_eq!(new.answer().status(), 200);
        assert_eq!(platform.client().tell(&first, first_at, DONE).status(), 204);
        let answer = old.answer();
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        drop(idle);
        let (code, log) = platform.ended();
        assert_eq!(code, Some(0), "{log}");
        assert!(
            log.contains("a new process takes over") && log.contains("ends with 0 unanswered"),
            "{log}"
        );
    }
}

#[test]
fn operator_commands_persist_over_an_upgrade_and_apply_to_both_processes() {
    let mut platform = Platform::start(2, 256);
    let old = platform.children[0].1;
    platform
        .list
        .watch()
        .tell(42, false, &[entry("s-1", free(), "Gone", 0)]);
    assert_eq!(call(old, "POST /runners/s-0/maint").status(), 200);
    assert_eq!(call(old, "POST /healthcheck/fail").status(), 200);
    let new = platform.upgrade();
    let ready = |platform: &Platform| {
        platform
            .client()
            .send("GET /health/ready HTTP/1.1\r\n\r\n")
            .answer()
            .status()
    };
    // Either process may answer.
    assert!((0..8).all(|_| ready(&platform) == 503));
    assert_eq!(
        call(new, "POST /runners/s-1/maint").status(),
        200,
        "gone, but listed once"
    );
    assert_eq!(call(new, "POST /runners/s-9/maint").status(), 404);
    assert_eq!(call(old, "POST /healthcheck/ok").status(), 200);
    assert!((0..8).all(|_| ready(&platform) == 200));
    platform.term();
    platform.ended();
    assert_eq!(counter(new, "out_of_rotation"), 1);
    let mut client = platform.client();
    client.submit("rerun", "1000m");
    assert_eq!(client.answer().status(), 503);
    platform.runners[0].nothing(50);
    assert_eq!(call(new, "POST /runners/s-0/ready").status(), 200);
    let id = client.submit("rerun", "4000m");
    platform.runners[0].next().take();
    platform.client().tell(&id, "s-0", DONE);
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn the_old_process_keeps_serving_when_the_new_one_dies() {
    let mut platform = Platform::start(1, 256);
    for _ in 0..2 {
        platform.upgrade();
        let (mut new, _) = platform.children.remove(1);
        new.kill().unwrap();
        new.wait().unwrap();
        pause(50);
        let mut client = platform.client();
        let id = client.submit("once", "6000m");
        platform.runners[0].next().take();
        assert_eq!(platform.client().tell(&id, "s-0", DONE).status(), 204);
        assert_eq!(client.answer().status(), 200);
    }
    // The next process finds the old one all the same; a process that starts after a kill starts without state.
    platform.upgrade();
    platform.term();
    let (code, log) = platform.ended();
    assert_eq!(
        (code, log.matches("the new process has ended").count()),
        (Some(0), 2),
        "{log}"
    );
    assert_eq!(log.matches("a new process takes over").count(), 3, "{log}");
    platform.children[0].0.kill().unwrap();
    platform.ended();
    platform.upgrade();
    platform.children[0].0.kill().unwrap();
    assert!(platform
        .ended()
        .1
        .contains("no predecessor responded, starting without its state"));
}

#[test]
fn two_processes_share_one_limit_of_descriptors() {
    let mut platform = Platform::start(1, 128);
    let mut clients: Vec<Client> = (0..100).map(|_| platform.client()).collect();
    platform.upgrade();
    clients.extend((0..100).map(|_| platform.client()));
    pause(700);
    let held = |(child, _): &(std::process::Child, SocketAddr)| {
        std::fs::read_dir(format!("/proc/{}/fd", child.id()))
            .unwrap()
            .count()
    };
    let held: Vec<usize> = platform.children.iter().map(held).collect();
    assert!(
        held.iter().sum::<usize>() <= 128 && held.iter().all(|&held| held > 20),
        "{held:?}"
    );
}

#[test]
fn a_descriptor_that_is_not_a_listening_socket_ends_the_start_with_one_line() {
    use std::os::fd::AsRawFd;
    let connected = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let file_of = std::fs::File::open("/dev/null").unwrap();
    let page = page(free(), free(), 256, &[]);
    for fd in [None, Some(connected.as_raw_fd()), Some(file_of.as_raw_fd())] {
        let (code, log) = ended(&mut launch_with(fd, &page, &std::env::temp_dir()));
        assert_eq!((code, log.lines().count()), (Some(1), 1), "{log}");
        assert!(log.contains("RELAY_FD '3'"), "{log}");
    }
}

/// To the platform both processes are one dispatcher. If the new process ended first, the work items of its predecessor
/// would be lost.
#[test]
fn a_new_process_shuts_down_only_after_its_predecessor() {
    let mut platform = Platform::start(1, 256);
    let mut client = platform.client();
    let id = client.submit("once", "6000m");
    platform.runners[0].next().take();
    platform.upgrade();
    platform.term();
    pause(100);
    let new = platform.children[1].0.id().to_string();
    assert!(std::process::Command::new("kill")
        .args(["-TERM", &new])
        .status()
        .unwrap()
        .success());
    // This is longer than the process would stay for its own work.
    pause(1800);
    assert!(
        platform.children[1].0.try_wait().unwrap().is_none(),
        "the old one still has work"
    );
    assert_eq!(
        platform.client().tell(&id, "s-0", DONE).status(),
        204,
        "and its news come here"
    );
    assert_eq!(client.answer().status(), 200);
    assert_eq!((platform.ended().0, platform.ended().0), (Some(0), Some(0)));
}
