//! The ordinary path: bootstrap, the configuration, records.

mod support;
use sagetrail_protocol::node::{Event, Method};
use support::cluster::{config, World};

#[test]
fn three_processes_found_and_elect() {
    let world = World::founded(3, 1);
    assert_eq!(world.terms(), 1);
}

#[test]
fn five_processes_found_and_elect() {
    let world = World::founded(5, 2);
    assert_eq!(world.terms(), 1);
}

#[test]
fn a_lone_process_founds() {
    let mut world = World::new(1, 3);
    world.start(0, true);
    world.run(9_000);
    assert!(world.leader().is_some());
    assert_eq!(world.replace(0, 0, 5), 200);
}

#[test]
fn the_configuration_changes_through_any_process() {
    let mut world = World::founded(3, 4);
    assert_eq!(world.replace(0, 0, 5), 200);
    assert_eq!(world.replace(1, 5, 7), 200);
    assert_eq!(world.replace(2, 5, 9), 412);
    assert_eq!(world.replace(2, 7, 7), 400);
    assert_eq!(world.read_back(2), Some(7));
}

#[test]
fn the_same_change_sent_again_is_acknowledged_again() {
    let mut world = World::founded(3, 5);
    assert_eq!(world.replace(0, 0, 5), 200);
    assert_eq!(world.replace(1, 5, 7), 200);
    assert_eq!(world.replace(2, 0, 5), 200);
    assert_eq!(world.replace(0, 5, 7), 200);
    assert_eq!(world.read_back(0), Some(7));
}

#[test]
fn a_patch_changes_a_route() {
    let mut world = World::founded(3, 6);
    assert_eq!(world.replace(0, 0, 5), 200);
    let patch = r#"{"version":6,"remove":{"routes":["r"]}}"#;
    let number = world.http(1, Method::Post, "/v1/config/patch", Some(5), patch);
    world.run(1_000);
    assert_eq!(world.status(number), 200);
    assert_eq!(world.read_back(2), Some(6));
}

#[test]
fn one_of_two_racers_wins() {
    for seed in 0..30 {
        let mut world = World::founded(3, 100 + seed);
        let other = config(5).replace("/p5/", "/q5/");
        let first = world.http(0, Method::Post, "/v1/config/replace", Some(0), &config(5));
        let second = world.http(1, Method::Post, "/v1/config/replace", Some(0), &other);
        world.run(4_000);
        let mut statuses = [world.status(first), world.status(second)];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412], "seed {seed}");
    }
}

#[test]
fn eight_orders_at_once_are_all_answered() {
    let mut world = World::founded(3, 7);
    let numbers: Vec<u64> = (0..8)
        .map(|order| {
            world.http(
                order % 3,
                Method::Post,
                "/v1/config/replace",
                Some(0),
                &config(order as u64 + 5),
            )
        })
        .collect();
    world.run(4_000);
    let taken = numbers
        .iter()
        .filter(|number| world.status(**number) == 200)
        .count();
    let refused = numbers
        .iter()
        .filter(|number| world.status(**number) == 412)
        .count();
    assert_eq!((taken, refused), (1, 7));
}

#[test]
fn a_change_reaches_the_scheduler_before_its_acknowledgement() {
    let mut world = World::founded(3, 8);
    let leader = world.leader().unwrap();
    let number = world.http(
        (leader + 1) % 3,
        Method::Post,
        "/v1/config/replace",
        Some(0),
        &config(5),
    );
    while world.status(number) == 0 {
        world.run(1);
    }
    assert_eq!(world.status(number), 200);
    assert_eq!(world.journal.lock().unwrap().config_version, 5);
}

#[test]
fn bad_requests_are_refused() {
    let mut world = World::founded(3, 9);
    let cases = [
        (Method::Post, "/v1/config/replace", Some(0), "{", 400),
        (Method::Post, "/v1/config/patch", Some(0), "[", 400),
        (Method::Post, "/v1/config/replace", None, "{}", 400),
        (Method::Get, "/v1/other", None, "", 404),
        (Method::Post, "/v1/instances/i-1/heartbeat", None, "{}", 503),
        (Method::Get, "/v1/config/get", None, "", 503),
    ];
    for (method, path, base, body, status) in cases {
        let number = world.http(0, method, path, base, body);
        world.run(1_000);
        assert_eq!(world.status(number), status, "{path}");
    }
}

#[test]
fn requests_are_acknowledged_once_kept() {
    let mut world = World::founded(3, 10);
    let leader = world.leader().unwrap();
    for request in 0..500 {
        world.client(leader, request);
        world.run(2);
    }
    world.run(500);
    assert_eq!(world.acked(), 500);
}

#[test]
fn an_idle_core_wakes_seldom() {
    let mut world = World::founded(3, 11);
    let before = world.events;
    world.run(10_000);
    let rate = (world.events - before) / 30;
    assert!(rate < 60, "{rate} events a second at each process");
}

#[test]
fn sigterm_hands_over_quickly() {
    let mut world = World::founded(3, 12);
    let leader = world.leader().unwrap();
    world.event(leader, Event::Terminate);
    world.run(450);
    assert!(world.machines[leader].finished);
    assert_ne!(world.leader(), Some(leader));
    assert_eq!(world.terms(), 2);
}
