//! The shape of the tree: the same for all processes that know the same candidates, and without a circle whatever
//! each of them knows.
//!
//! Relays are ranked by a hash of their names. The first `FAN_OUT` for each core process stand below the core, the
//! next, `FAN_OUT` times as many, below these, and so on; in the level above, each process chooses its parent by
//! rendezvous hashing. A parent ranks before its child, so there is no circle even where the lists differ; a relay
//! that comes or goes moves few others.

use sagetrail_protocol::directory::MAX_RELAYS;
use sagetrail_protocol::NodeId;
use std::cmp::Reverse;

/// How many children a process has on average.
pub const FAN_OUT: usize = 8;
/// How many relays of the level above are tried before the core.
const RELAYS_TRIED: usize = 2;
/// Tells ranks from choices.
const RANK_SALT: u64 = 0x7261_6e6b;

/// The parents that `node` may subscribe to, best first: relays of the level above, then core processes. Empty for a
/// core process.
pub fn parents(node: NodeId, core: &[NodeId], relays: &[NodeId]) -> Vec<NodeId> {
    if core.contains(&node) {
        return Vec::new();
    }
    then_core(
        node,
        core,
        level_above(core, ranked_before(node, core, relays)),
    )
}

/// The same for a process without children: it ranks after all relays.
pub fn leaf_parents(node: NodeId, core: &[NodeId], relays: &[NodeId]) -> Vec<NodeId> {
    let mut before = relays.to_vec();
    before.retain(|relay| *relay != node);
    let before = ranked(core, before);
    let above = if before.len() < first_level(core) {
        before
    } else {
        level_above(core, before)
    };
    then_core(node, core, above)
}

/// The best relays among `candidates`, at most `limit`: those that rank first, whoever chooses.
pub fn best_relays(candidates: Vec<NodeId>, limit: usize) -> Vec<NodeId> {
    let mut best = ranked(&[], candidates);
    best.truncate(limit);
    best
}

/// The best of the level above, then the core.
fn then_core(node: NodeId, core: &[NodeId], above: Vec<NodeId>) -> Vec<NodeId> {
    let mut chosen = by_choice(node, above);
    chosen.truncate(RELAYS_TRIED);
    chosen.extend(by_choice(node, core.to_vec()));
    chosen
}

/// How many relays stand directly below the core; no more than a directory names.
fn first_level(core: &[NodeId]) -> usize {
    (FAN_OUT * core.len().max(1)).min(MAX_RELAYS)
}

/// The last complete level among relays in their order; empty where that is the core.
fn level_above(core: &[NodeId], before: Vec<NodeId>) -> Vec<NodeId> {
    let mut start = 0;
    let mut size = first_level(core);
    let mut above = 0..0;
    while before.len() >= start + size {
        above = start..start + size;
        start += size;
        size *= FAN_OUT;
    }
    before[above].to_vec()
}

/// The relays that rank before `node`, in their order.
fn ranked_before(node: NodeId, core: &[NodeId], relays: &[NodeId]) -> Vec<NodeId> {
    let own = rank(node);
    ranked(
        core,
        relays
            .iter()
            .copied()
            .filter(|relay| rank(*relay) < own)
            .collect(),
    )
}

/// Relays in their order, each once, none of the core.
fn ranked(core: &[NodeId], mut relays: Vec<NodeId>) -> Vec<NodeId> {
    relays.retain(|relay| !core.contains(relay));
    relays.sort_by_cached_key(|relay| rank(*relay));
    relays.dedup();
    relays
}

/// Candidates in the order in which `node` prefers them.
fn by_choice(node: NodeId, mut candidates: Vec<NodeId>) -> Vec<NodeId> {
    candidates.sort_by_cached_key(|candidate| Reverse((weight(node, *candidate), *candidate)));
    candidates.dedup();
    candidates
}

/// The place of a process in the order of all.
fn rank(node: NodeId) -> (u64, NodeId) {
    (mix(number(node) ^ RANK_SALT), node)
}

/// The weight by which `child` prefers `parent` (rendezvous hashing; Thaler and Ravishankar, 1998).
fn weight(child: NodeId, parent: NodeId) -> u64 {
    mix(mix(number(child)) ^ number(parent))
}

fn number(node: NodeId) -> u64 {
    u64::from(node.ip) << 16 | u64::from(node.port)
}

/// Spreads numbers evenly (the finaliser of splitmix64).
pub(crate) fn mix(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
