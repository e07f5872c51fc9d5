//! The tree's shape, whoever computes it.

mod network;
use network::{node, nodes, Chance};
use proptest::prelude::*;
use sagetrail_config_distribution::{parents, FAN_OUT};
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

fn depth(start: NodeId, core: &[NodeId], views: &dyn Fn(NodeId) -> Vec<NodeId>) -> usize {
    let (mut at, mut hops) = (start, 0);
    while !core.contains(&at) {
        at = parents(at, core, &views(at))[0];
        hops += 1;
        assert!(hops <= 1000, "a circle");
    }
    hops
}

#[test]
fn it_is_flat_and_even() {
    for count in [10, 100, 400, 1000] {
        let (core, relays) = (nodes(0..3), nodes(3..3 + count));
        let mut children: BTreeMap<NodeId, usize> = BTreeMap::new();
        for relay in &relays {
            *children
                .entry(parents(*relay, &core, &relays)[0])
                .or_default() += 1;
            assert!(depth(*relay, &core, &|_| relays.clone()) <= 4);
        }
        let most = children
            .iter()
            .filter(|(name, _)| !core.contains(name))
            .map(|(_, count)| *count)
            .max();
        assert!(
            most.unwrap_or(0) <= 3 * FAN_OUT,
            "{most:?} children of one among {count}"
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
fn a_relay_that_goes_moves_few_others() {
    let (core, relays) = (nodes(0..3), nodes(3..203));
    let moved = |gone: u32| {
        let rest: Vec<NodeId> = relays
            .iter()
            .copied()
            .filter(|relay| *relay != node(gone))
            .collect();
        let differs = |relay: &&NodeId| {
            parents(**relay, &core, &rest)[0] != parents(**relay, &core, &relays)[0]
        };
        rest.iter().filter(differs).count()
    };
    let mean = (3..203).map(moved).sum::<usize>() as f64 / 200.0;
    assert!(mean < 8.0, "{mean} of 199 moved");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn there_is_no_circle_whatever_each_knows(seed in 1u64..u64::MAX, count in 1u32..150) {
        let core = nodes(0..3);
        let views = |at: NodeId| {
            let mut chance = Chance(seed ^ u64::from(at.ip) | 1);
            nodes(3..3 + count).into_iter().filter(|_| chance.below(3) > 0).collect()
        };
        for relay in nodes(3..3 + count) {
            prop_assert!(depth(relay, &core, &views) <= count as usize);
        }
    }
}
