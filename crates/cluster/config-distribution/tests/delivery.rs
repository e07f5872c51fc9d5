//! Configurations reach every process in time, whatever happens to the inner ones.

mod network;
use network::{node, nodes, Network};
use sagetrail_config_distribution::{parents, RETURN_INTERVAL_MS};
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use sagetrail_protocol::{Blob, Message, NodeId, Time};

/// A configuration is in force everywhere after so long.
const CONFIG_APPLY_MS: u64 = 2000;

fn everywhere(seed: u64) -> Network {
    let mut network = Network::new(seed, 3, 97);
    (0..3).for_each(|core| network.publish(node(core), 1));
    network.play(1000);
    assert_eq!(network.behind(1), []);
    network.play(2000);
    network
}

#[test]
fn a_calm_tree_delivers_at_once() {
    for seed in 1..=10 {
        let mut network = everywhere(seed);
        network.play(2000);
        let hops = 4;
        (0..3).for_each(|core| network.publish(node(core), 2));
        network.play(hops * 36);
        assert_eq!(network.behind(2), [], "seed {seed}");
    }
}

#[test]
fn one_core_process_that_knows_is_enough_for_those_below_it() {
    let mut network = everywhere(1);
    network.publish(node(0), 2);
    network.play(200);
    let reached = 100 - network.behind(2).len();
    assert!(reached > 10 && reached < 90, "{reached}");
}

#[test]
fn dying_inner_processes_delay_no_delivery_beyond_the_bound() {
    for seed in 1..=40 {
        let mut network = everywhere(seed);
        let wait_ms = network.chance.below(1200);
        network.play(wait_ms);
        let doomed = 1 + network.chance.below(10) as usize;
        network.dead = network.inner().into_iter().take(doomed).collect();
        let wait_ms = network.chance.below(1500);
        network.play(wait_ms);
        (0..3).for_each(|core| network.publish(node(core), 2));
        network.play(CONFIG_APPLY_MS);
        assert_eq!(network.behind(2), [], "seed {seed}");
    }
}

#[test]
fn a_dead_core_process_besides_delays_no_delivery_beyond_the_bound() {
    for seed in 1..=40 {
        let mut network = everywhere(seed);
        let wait_ms = network.chance.below(1200);
        network.play(wait_ms);
        network.dead = network.inner().into_iter().take(3).collect();
        network.dead.insert(node(seed as u32 % 3));
        (0..3).for_each(|core| network.publish(node(core), 2));
        network.play(CONFIG_APPLY_MS);
        assert_eq!(network.behind(2), [], "seed {seed}");
    }
}

#[test]
fn lost_messages_cost_time_and_nothing_else() {
    for seed in 1..=20 {
        let mut network = everywhere(seed);
        network.lost_one_in = 20;
        for version in 2..12 {
            (0..3).for_each(|core| network.publish(node(core), version));
            network.play(700);
        }
        network.play(1300);
        assert_eq!(network.behind(11), [], "seed {seed}");
    }
}

#[test]
fn ages_are_small_in_a_calm_tree_and_true_in_an_outage() {
    let mut network = everywhere(3);
    network.play(3000);
    let oldest = network
        .live()
        .map(|(_, relay)| relay.age_ms(network.now).unwrap())
        .max()
        .unwrap();
    assert!(oldest < 1700, "{oldest}");
    network.confirmed = false;
    network.play(10_000);
    let youngest = network
        .live()
        .map(|(_, relay)| relay.age_ms(network.now).unwrap())
        .min()
        .unwrap();
    assert!(youngest >= 10_000, "{youngest}");
    network.confirmed = true;
    network.play(2500);
    let oldest = network
        .live()
        .map(|(_, relay)| relay.age_ms(network.now).unwrap())
        .max()
        .unwrap();
    assert!(oldest < 2500, "{oldest}");
}

#[test]
fn processes_return_to_their_best_parents() {
    let mut network = everywhere(4);
    let relays = nodes(3..100);
    let best = |name: &NodeId| parents(*name, &nodes(0..3), &relays).first().copied();
    let best_of_all = |network: &Network| {
        network
            .live()
            .all(|(name, relay)| relay.parent() == best(name))
    };
    assert!(best_of_all(&network));
    network.dead = network.inner().into_iter().take(6).collect();
    network.play(3000);
    let dead = std::mem::take(&mut network.dead);
    assert!(network
        .live()
        .all(|(name, relay)| dead.contains(name)
            || relay.parent().is_none_or(|p| !dead.contains(&p))));
    network.play(3 * RETURN_INTERVAL_MS);
    assert!(best_of_all(&network));
}

#[test]
fn a_calm_tree_costs_two_and_a_half_questions_a_second() {
    let mut network = everywhere(5);
    network.play(2000);
    network.sent = 0;
    network.play(10_000);
    let a_process_and_second = network.sent as f64 / 97.0 / 10.0;
    assert!(a_process_and_second < 5.2, "{a_process_and_second}");
}

#[test]
fn late_and_foreign_updates_change_nothing() {
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
        "an older parent says nothing of newer knowledge"
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
    assert_eq!(relay.age_ms(now), None, "what is missed is not known");
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
