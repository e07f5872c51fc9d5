//! Guards against a tree that is too deep, uneven or cyclic, and against a shape that depends on which process computes
//! it. A cycle could come about when processes know different relays.

mod network;
use network::{node, nodes, TestRandom};
use proptest::prelude::*;
use sagetrail_config_distribution::{parents, FAN_OUT};
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

/// Returns the number of hops from `start` to the core, where each process knows the relays that `known_relays`
/// returns.
fn depth(start: NodeId, core: &[NodeId], known_relays: &dyn Fn(NodeId) -> Vec<NodeId>) -> usize {
    let (mut current, mut hops) = (start, 0);
    while !core.contains(&current) {
        current = parents(current, core, &known_relays(current))[0];
        hops += 1;
        assert!(hops <= 1000, "the tree has a cycle");
    }
    hops
}

#[test]
fn the_tree_is_at_most_four_levels_deep_and_even() {
    for count in [10, 100, 400, 1000] {
        let (core, relays) = (nodes(0..3), nodes(3..3 + count));
        let mut children: BTreeMap<NodeId, usize> = BTreeMap::new();
        for relay in &relays {
            *children
                .entry(parents(*relay, &core, &relays)[0])
                .or_default() += 1;
            assert!(depth(*relay, &core, &|_| relays.clone()) <= 4);
        }
        let max_children = children
            .iter()
            .filter(|(name, _)| !core.contains(name))
            .map(|(_, count)| *count)
            .max();
        assert!(
            max_children.unwrap_or(0) <= 3 * FAN_OUT,
            "a relay has {max_children:?} children among {count} relays"
        );
    }
}

#[test]
fn the_order_of_the_lists_does_not_matter() {
    let (core, relays) = (nodes(0..5), nodes(5..105));
    let (mut core_back, mut relays_back) = (core.clone(), relays.clone());
    core_back.reverse();
    relays_back.reverse();
    for relay in &relays {
        assert_eq!(
            parents(*relay, &core, &relays),
            parents(*relay, &core_back, &relays_back)
        );
    }
}

#[test]
fn the_loss_of_a_relay_changes_the_parents_of_few_others() {
    let (core, relays) = (nodes(0..3), nodes(3..203));
    let moved_count = |removed: u32| {
        let rest: Vec<NodeId> = relays
            .iter()
            .copied()
            .filter(|relay| *relay != node(removed))
            .collect();
        let differs = |relay: &&NodeId| {
            parents(**relay, &core, &rest)[0] != parents(**relay, &core, &relays)[0]
        };
        rest.iter().filter(differs).count()
    };
    let mean = (3..203).map(moved_count).sum::<usize>() as f64 / 200.0;
    assert!(
        mean < 8.0,
        "on average {mean} of 199 relays changed their parent"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn there_is_no_cycle_even_if_processes_know_different_relays(seed in 1u64..u64::MAX, count in 1u32..150) {
        let core = nodes(0..3);
        let known_relays = |node: NodeId| {
            let mut random = TestRandom(seed ^ u64::from(node.ip) | 1);
            nodes(3..3 + count).into_iter().filter(|_| random.below(3) > 0).collect()
        };
        for relay in nodes(3..3 + count) {
            prop_assert!(depth(relay, &core, &known_relays) <= count as usize);
        }
    }
}
