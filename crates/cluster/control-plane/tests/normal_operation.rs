//! Tests normal operation without faults: bootstrap, changes of the configuration, and records.

mod support;
use sagetrail_protocol::node::{Event, Method};
use support::cluster::Cluster;
use support::requests::config;

#[test]
fn three_processes_bootstrap_and_elect() {
    let cluster = Cluster::bootstrapped(3, 1);
    assert_eq!(cluster.terms(), 1);
}

#[test]
fn five_processes_bootstrap_and_elect() {
    let cluster = Cluster::bootstrapped(5, 2);
    assert_eq!(cluster.terms(), 1);
}

#[test]
fn a_single_process_bootstraps() {
    let mut cluster = Cluster::new(1, 3);
    cluster.start(0, true);
    cluster.run(9_000);
    assert!(cluster.leader().is_some());
    assert_eq!(cluster.replace(0, 0, 5), 200);
}

#[test]
fn the_configuration_changes_through_any_process() {
    let mut cluster = Cluster::bootstrapped(3, 4);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    assert_eq!(cluster.replace(1, 5, 7), 200);
    assert_eq!(cluster.replace(2, 5, 9), 412);
    assert_eq!(cluster.replace(2, 7, 7), 400);
    assert_eq!(cluster.read_version(2), Some(7));
}

#[test]
fn the_same_change_sent_again_is_acknowledged_again() {
    let mut cluster = Cluster::bootstrapped(3, 5);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    assert_eq!(cluster.replace(1, 5, 7), 200);
    assert_eq!(cluster.replace(2, 0, 5), 200);
    assert_eq!(cluster.replace(0, 5, 7), 200);
    assert_eq!(cluster.read_version(0), Some(7));
}

#[test]
fn a_patch_changes_a_route() {
    let mut cluster = Cluster::bootstrapped(3, 6);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    let patch = r#"{"version":6,"remove":{"routes":["r"]}}"#;
    let number = cluster.http(1, Method::Post, "/v1/config/patch", Some(5), patch);
    cluster.run(1_000);
    assert_eq!(cluster.status(number), 200);
    assert_eq!(cluster.read_version(2), Some(6));
}

#[test]
fn one_of_two_concurrent_changes_wins() {
    for seed in 0..30 {
        let mut cluster = Cluster::bootstrapped(3, 100 + seed);
        let other = config(5).replace("/p5/", "/q5/");
        let first = cluster.http(0, Method::Post, "/v1/config/replace", Some(0), &config(5));
        let second = cluster.http(1, Method::Post, "/v1/config/replace", Some(0), &other);
        cluster.run(4_000);
        let mut statuses = [cluster.status(first), cluster.status(second)];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412], "seed {seed}");
    }
}

#[test]
fn eight_concurrent_changes_are_all_answered() {
    let mut cluster = Cluster::bootstrapped(3, 7);
    let numbers: Vec<u64> = (0..8)
        .map(|change| {
            cluster.http(
                change % 3,
                Method::Post,
                "/v1/config/replace",
                Some(0),
                &config(change as u64 + 5),
            )
        })
        .collect();
    cluster.run(4_000);
    let confirmed = numbers
        .iter()
        .filter(|number| cluster.status(**number) == 200)
        .count();
    let rejected = numbers
        .iter()
        .filter(|number| cluster.status(**number) == 412)
        .count();
    assert_eq!((confirmed, rejected), (1, 7));
}

#[test]
fn a_change_reaches_the_scheduler_before_its_acknowledgement() {
    let mut cluster = Cluster::bootstrapped(3, 8);
    let leader = cluster.leader().unwrap();
    let number = cluster.http(
        (leader + 1) % 3,
        Method::Post,
        "/v1/config/replace",
        Some(0),
        &config(5),
    );
    while cluster.status(number) == 0 {
        cluster.run(1);
    }
    assert_eq!(cluster.status(number), 200);
    assert_eq!(cluster.journal.lock().unwrap().config_version, 5);
}

#[test]
fn invalid_requests_are_rejected() {
    let mut cluster = Cluster::bootstrapped(3, 9);
    let cases = [
        (Method::Post, "/v1/config/replace", Some(0), "{", 400),
        (Method::Post, "/v1/config/patch", Some(0), "[", 400),
        (Method::Post, "/v1/config/replace", None, "{}", 400),
        (Method::Get, "/v1/other", None, "", 404),
        (Method::Post, "/v1/instances/i-1/heartbeat", None, "{}", 503),
        (Method::Get, "/v1/config/get", None, "", 503),
    ];
    for (method, path, base, body, status) in cases {
        let number = cluster.http(0, method, path, base, body);
        cluster.run(1_000);
        assert_eq!(cluster.status(number), status, "{path}");
    }
}

#[test]
fn requests_are_acknowledged_once_committed() {
    let mut cluster = Cluster::bootstrapped(3, 10);
    let leader = cluster.leader().unwrap();
    for request in 0..500 {
        cluster.submit(leader, request);
        cluster.run(2);
    }
    cluster.run(500);
    assert_eq!(cluster.acked(), 500);
}

#[test]
fn an_idle_core_handles_fewer_than_60_events_a_second() {
    let mut cluster = Cluster::bootstrapped(3, 11);
    let before = cluster.events;
    cluster.run(10_000);
    let rate = (cluster.events - before) / 30;
    assert!(rate < 60, "{rate} events a second at each process");
}

#[test]
fn a_terminated_leader_hands_over_within_450_ms() {
    let mut cluster = Cluster::bootstrapped(3, 12);
    let leader = cluster.leader().unwrap();
    cluster.event(leader, Event::Terminate);
    cluster.run(450);
    assert!(cluster.machines[leader].finished);
    assert_ne!(cluster.leader(), Some(leader));
    assert_eq!(cluster.terms(), 2);
}
