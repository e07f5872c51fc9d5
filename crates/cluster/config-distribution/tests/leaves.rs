//! Guards against an uneven load of the relays that a directory names, and against lists of relays that differ between
//! processes. Leaves serve no children and subscribe to these relays.

mod network;
use network::{node, nodes};
use sagetrail_config_distribution::{best_relays, leaf_parents, parents, Relay};
use sagetrail_protocol::directory::MAX_RELAYS;
use sagetrail_protocol::distribution::Subscribe;
use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeMap;

#[test]
fn the_best_relays_do_not_depend_on_how_lists_are_merged() {
    let all = nodes(3..303);
    let best = best_relays(all.clone(), MAX_RELAYS);
    assert_eq!(best.len(), MAX_RELAYS);
    let (first, second) = all.split_at(120);
    let mut merged = best_relays(second.to_vec(), MAX_RELAYS);
    merged.extend(best_relays(first.to_vec(), MAX_RELAYS));
    assert_eq!(best_relays(merged, MAX_RELAYS), best);
}

#[test]
fn leaves_and_unlisted_relays_spread_evenly_over_the_listed_relays() {
    for cores in [3, 9] {
        let core = nodes(0..cores);
        let others = nodes(cores..cores + 300);
        let best = best_relays(others.clone(), MAX_RELAYS);
        let leaves = nodes(1_000..1_100);
        let mut children: BTreeMap<NodeId, usize> = BTreeMap::new();
        for other in others.iter().filter(|other| !best.contains(other)) {
            *children
                .entry(parents(*other, &core, &best)[0])
                .or_default() += 1;
        }
        for leaf in &leaves {
            *children
                .entry(leaf_parents(*leaf, &core, &best)[0])
                .or_default() += 1;
        }
        assert!(children.keys().all(|parent| best.contains(parent)));
        assert!(children.values().all(|count| *count <= 40), "{children:?}");
    }
}

#[test]
fn a_leaf_uses_relays_even_if_there_are_few() {
    let (core, relays) = (nodes(0..9), nodes(9..13));
    assert!(relays.contains(&leaf_parents(node(50), &core, &relays)[0]));
    assert!(core.contains(&leaf_parents(node(50), &core, &[])[0]));
}

#[test]
fn a_leaf_accepts_no_subscription() {
    let mut leaf = Relay::leaf(node(50), 1);
    leaf.set_candidates(&nodes(0..3), &nodes(3..35));
    assert_eq!(
        leaf.receive_subscribe(
            node(7),
            Subscribe {
                known_version: 0,
                asked_at: 0
            },
            Time(5_000)
        ),
        []
    );
}
