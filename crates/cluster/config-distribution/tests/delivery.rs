//! Guards against configurations that reach some processes late or never. This could come about when inner processes of
//! the tree or a core process die, or when messages are lost.

mod network;
use network::{node, nodes, Network};
use sagetrail_config_distribution::{parents, RETURN_INTERVAL_MS};
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use sagetrail_protocol::{Blob, Message, NodeId, Time};

/// The time after which every process must have a new configuration, in milliseconds.
const CONFIG_APPLY_MS: u64 = 2000;

/// Creates a network in which every process has version 1.
fn network_with_version_1(seed: u64) -> Network {
    let mut network = Network::new(seed, 3, 97);
    (0..3).for_each(|core| network.publish(node(core), 1));
    network.run(1000);
    assert_eq!(network.outdated(1), []);
    network.run(2000);
    network
}

#[test]
fn a_tree_without_faults_delivers_within_the_delay_of_its_hops() {
    for seed in 1..=10 {
        let mut network = network_with_version_1(seed);
        network.run(2000);
        let max_hops = 4;
        (0..3).for_each(|core| network.publish(node(core), 2));
        network.run(max_hops * 36);
        assert_eq!(network.outdated(2), [], "seed {seed}");
    }
}

#[test]
fn a_version_known_to_one_core_process_reaches_the_processes_below_it() {
    let mut network = network_with_version_1(1);
    network.publish(node(0), 2);
    network.run(200);
    let reached = 100 - network.outdated(2).len();
    assert!(
        reached > 10 && reached < 90,
        "{reached} processes have the new version"
    );
}

#[test]
fn dying_inner_processes_delay_no_delivery_beyond_the_bound() {
    for seed in 1..=40 {
        let mut network = network_with_version_1(seed);
        let wait_ms = network.random.below(1200);
        network.run(wait_ms);
        let dead_count = 1 + network.random.below(10) as usize;
        network.dead = network.inner().into_iter().take(dead_count).collect();
        let wait_ms = network.random.below(1500);
        network.run(wait_ms);
        (0..3).for_each(|core| network.publish(node(core), 2));
        network.run(CONFIG_APPLY_MS);
        assert_eq!(network.outdated(2), [], "seed {seed}");
    }
}

#[test]
fn dying_inner_processes_and_a_dead_core_process_delay_no_delivery_beyond_the_bound() {
    for seed in 1..=40 {
        let mut network = network_with_version_1(seed);
        let wait_ms = network.random.below(1200);
        network.run(wait_ms);
        network.dead = network.inner().into_iter().take(3).collect();
        network.dead.insert(node(seed as u32 % 3));
        (0..3).for_each(|core| network.publish(node(core), 2));
        network.run(CONFIG_APPLY_MS);
        assert_eq!(network.outdated(2), [], "seed {seed}");
    }
}

#[test]
fn lost_messages_delay_but_do_not_prevent_delivery() {
    for seed in 1..=20 {
        let mut network = network_with_version_1(seed);
        network.lost_one_in = 20;
        for version in 2..12 {
            (0..3).for_each(|core| network.publish(node(core), version));
            network.run(700);
        }
        network.run(1300);
        assert_eq!(network.outdated(11), [], "seed {seed}");
    }
}

#[test]
fn ages_are_small_without_faults_and_are_not_understated_in_an_outage() {
    let mut network = network_with_version_1(3);
    network.run(3000);
    let oldest = network
        .live()
        .map(|(_, relay)| relay.age_ms(network.now).unwrap())
        .max()
        .unwrap();
    assert!(oldest < 1700, "{oldest}");
    network.is_core_confirming = false;
    network.run(10_000);
    let youngest = network
        .live()
        .map(|(_, relay)| relay.age_ms(network.now).unwrap())
        .min()
        .unwrap();
    assert!(youngest >= 10_000, "{youngest}");
    network.is_core_confirming = true;
    network.run(2500);
    let oldest = network
        .live()
        .map(|(_, relay)| relay.age_ms(network.now).unwrap())
        .max()
        .unwrap();
    assert!(oldest < 2500, "{oldest}");
}

#[test]
fn processes_return_to_their_best_parents() {
    let mut network = network_with_version_1(4);
    let relays = nodes(3..100);
    let best_parent = |name: &NodeId| parents(*name, &nodes(0..3), &relays).first().copied();
    let all_have_best_parents = |network: &Network| {
        network
            .live()
            .all(|(name, relay)| relay.parent() == best_parent(name))
    };
    assert!(all_have_best_parents(&network));
    network.dead = network.inner().into_iter().take(6).collect();
    network.run(3000);
    let dead = std::mem::take(&mut network.dead);
    assert!(network.live().all(|(name, relay)| dead.contains(name)
        || relay.parent().is_none_or(|parent| !dead.contains(&parent))));
    network.run(3 * RETURN_INTERVAL_MS);
    assert!(all_have_best_parents(&network));
}

#[test]
fn a_process_without_faults_sends_two_and_a_half_subscriptions_a_second() {
    // Each subscription has one answer, so this makes about 5 messages per process and second.
    let mut network = network_with_version_1(5);
    network.run(2000);
    network.sent = 0;
    network.run(10_000);
    let messages_per_process_and_second = network.sent as f64 / 97.0 / 10.0;
    assert!(
        messages_per_process_and_second < 5.2,
        "{messages_per_process_and_second} messages per process and second"
    );
}

#[test]
fn outdated_updates_and_answers_change_nothing() {
    let mut network = Network::new(1, 1, 1);
    let relay = network.relays.get_mut(&node(1)).unwrap();
    let update = |version: u64| ConfigUpdate {
        version,
        document: Blob(version.to_be_bytes().to_vec()),
    };
    let now = Time(5000);
    relay.receive_subscribe(
        node(7),
        Subscribe {
            known_version: 0,
            asked_at: now.0,
        },
        now,
    );
    assert_eq!(relay.receive_update(node(0), update(9), now).len(), 1);
    assert_eq!(relay.receive_update(node(0), update(9), now).len(), 0);
    assert_eq!(relay.receive_update(node(0), update(8), now).len(), 0);
    assert_eq!(relay.newest().unwrap().0, 9);
    relay.receive_current(
        node(0),
        &ConfigCurrent {
            version: 8,
            age_ms: 0,
            asked_at: now.0,
        },
        now,
    );
    assert_eq!(
        relay.age_ms(now),
        None,
        "the answer of a parent with an older version must not set the age"
    );
    relay.receive_current(
        node(0),
        &ConfigCurrent {
            version: 10,
            age_ms: 0,
            asked_at: now.0,
        },
        now,
    );
    assert_eq!(
        relay.age_ms(now),
        None,
        "the age of a version that is missing here must stay unknown"
    );
    let answer = relay.receive_subscribe(
        node(8),
        Subscribe {
            known_version: 9,
            asked_at: now.0,
        },
        now,
    );
    assert!(matches!(
        answer[..],
        [(
            _,
            Message::ConfigCurrent(ConfigCurrent {
                version: 9,
                age_ms: u64::MAX,
                asked_at: _
            })
        )]
    ));
    assert_eq!(
        relay
            .receive_subscribe(
                node(8),
                Subscribe {
                    known_version: 3,
                    asked_at: now.0
                },
                now
            )
            .len(),
        2
    );
    assert_eq!(nodes(0..2).len(), network.relays.len());
}
