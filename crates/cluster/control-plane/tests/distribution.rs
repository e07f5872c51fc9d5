//! Guards against configurations that reach some process too late in a fleet of a hundred or more processes, in
//! particular after processes that serve as relays have ended.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/journal.rs"]
mod journal;
#[path = "support/starts.rs"]
mod starts;
use fleet::{is_core, is_gateway, Fleet};
use rand::Rng;
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::directory::{MAX_RELAYS, MEMBER_LEASE_MS};
use sagetrail_protocol::NodeId;

/// Creates a fleet of a hundred processes: three core processes, ten gateways, and agents.
fn fleet_of_hundred(seed: u64) -> Fleet {
    Fleet::settled(seed, 3, 10, 87)
}

#[test]
fn a_fault_free_fleet_receives_every_change_in_time() {
    for seed in 1..=5 {
        let mut fleet = fleet_of_hundred(seed);
        fleet.replace(1, 2);
        fleet.run_until_acknowledged(2);
        fleet.run(100);
        assert_eq!(fleet.outdated_processes(2), [], "seed {seed}");
        assert!(!fleet.relays_in_use().is_empty(), "no relay is used");
    }
}

#[test]
fn relays_that_end_delay_no_change_beyond_the_bound() {
    for seed in 1..=20 {
        let mut fleet = fleet_of_hundred(seed);
        let wait_ms = fleet.random.random_range(0..1_500);
        fleet.run(wait_ms);
        let ended_count = fleet.random.random_range(1..12);
        let ended: Vec<NodeId> = fleet
            .relays_in_use()
            .into_iter()
            .take(ended_count)
            .collect();
        ended.iter().for_each(|node| fleet.remove_process(*node));
        let wait_ms = fleet.random.random_range(0..1_500);
        fleet.run(wait_ms);
        fleet.replace(1, 2);
        fleet.run_until_acknowledged(2);
        fleet.run(Bounds::default().config_apply_ms);
        assert_eq!(fleet.outdated_processes(2), [], "seed {seed}");
    }
}

#[test]
fn gateways_stay_ready_while_relays_end() {
    for seed in 1..=5 {
        let mut fleet = fleet_of_hundred(seed);
        for _ in 0..4 {
            let ended: Vec<NodeId> = fleet.relays_in_use().into_iter().take(3).collect();
            ended.iter().for_each(|node| fleet.remove_process(*node));
            for _ in 0..25 {
                fleet.run(100);
                assert_eq!(fleet.not_ready(), [], "seed {seed}");
            }
        }
    }
}

#[test]
fn a_small_fleet_is_served_by_the_core_alone() {
    let fleet = Fleet::settled(1, 3, 4, 12);
    assert_eq!(fleet.relays_in_use(), []);
    assert!(fleet
        .directories
        .values()
        .all(|directory| directory.relays.is_empty()));
}

#[test]
fn relay_lists_agree_and_are_bounded() {
    let mut fleet = fleet_of_hundred(3);
    let lists: Vec<Vec<NodeId>> = fleet
        .directories
        .values()
        .map(|directory| directory.relays.0.clone())
        .collect();
    assert_eq!(lists.len(), 3);
    assert!(lists.iter().all(|list| *list == lists[0]));
    assert_eq!(lists[0].len(), MAX_RELAYS);
    assert!(lists[0]
        .iter()
        .all(|node| !is_gateway(*node) && !is_core(*node)));
    let ended = lists[0][0];
    fleet.remove_process(ended);
    fleet.run(2 * MEMBER_LEASE_MS + 1_000);
    let named = fleet
        .directories
        .values()
        .any(|directory| directory.relays.contains(&ended));
    assert!(!named, "a process without a lease is named as a relay");
}

#[test]
fn gateways_are_not_used_as_relays() {
    let fleet = fleet_of_hundred(4);
    assert!(fleet.relays_in_use().iter().all(|node| !is_gateway(*node)));
}

#[test]
fn the_core_serves_no_more_processes_in_a_larger_fleet() {
    let small = Fleet::settled(1, 3, 10, 90).children_of_core();
    let large = Fleet::settled(1, 3, 10, 300).children_of_core();
    assert!(
        small <= MAX_RELAYS + 16 && large <= MAX_RELAYS + 16,
        "{small} and {large}"
    );
}
