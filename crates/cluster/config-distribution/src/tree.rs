//! The shape of the tree. It is the same for all processes that know the same candidates, and it has no cycle even if
//! the processes know different candidates.
//!
//! Relays are ranked by a hash of their addresses. The first level below the core has `FAN_OUT` relays for each core
//! process, and each further level has `FAN_OUT` times as many relays as the level above it. Each process chooses its
//! parent from the level above by rendezvous hashing. A parent ranks before its child, so there is no cycle even if the
//! lists differ. A relay that joins or leaves changes the parents of few other processes.

use sagetrail_protocol::directory::MAX_RELAYS;
use sagetrail_protocol::NodeId;
use std::cmp::Reverse;

/// The average number of children of a process.
pub const FAN_OUT: usize = 8;
/// The maximum number of relays of the level above that are possible parents; core processes follow them.
const MAX_RELAY_PARENTS: usize = 2;
/// Makes the hashes of ranks independent of the hashes that choose parents.
const RANK_SALT: u64 = 0x7261_6e6b;

/// Returns the parents to which `node` may subscribe, best first: relays of the level above, then core processes. The
/// list is empty for a core process.
pub fn parents(node: NodeId, core: &[NodeId], relays: &[NodeId]) -> Vec<NodeId> {
    if core.contains(&node) {
        return Vec::new();
    }
    with_core_fallback(
        node,
        core,
        level_above(core, ranked_before(node, core, relays)),
    )
}

/// Returns the parents to which a process without children may subscribe, best first. Such a process ranks after all
/// relays.
pub fn leaf_parents(node: NodeId, core: &[NodeId], relays: &[NodeId]) -> Vec<NodeId> {
    let mut before = relays.to_vec();
    before.retain(|relay| *relay != node);
    let before = ranked(core, before);
    let above = if before.len() < first_level_size(core) {
        before
    } else {
        level_above(core, before)
    };
    with_core_fallback(node, core, above)
}

/// Returns the at most `limit` candidates that rank first. The result is the same on every process.
pub fn best_relays(candidates: Vec<NodeId>, limit: usize) -> Vec<NodeId> {
    let mut best = ranked(&[], candidates);
    best.truncate(limit);
    best
}

/// Returns the preferred relays of the level above, followed by the core processes.
fn with_core_fallback(node: NodeId, core: &[NodeId], above: Vec<NodeId>) -> Vec<NodeId> {
    let mut chosen = by_preference(node, above);
    chosen.truncate(MAX_RELAY_PARENTS);
    chosen.extend(by_preference(node, core.to_vec()));
    chosen
}

/// Returns the number of relays directly below the core, which is at most the number that a directory names.
fn first_level_size(core: &[NodeId]) -> usize {
    (FAN_OUT * core.len().max(1)).min(MAX_RELAYS)
}

/// Returns the last complete level of relays that are sorted by rank; empty if the level above is the core.
fn level_above(core: &[NodeId], before: Vec<NodeId>) -> Vec<NodeId> {
    let mut start = 0;
    let mut size = first_level_size(core);
    let mut above = 0..0;
    while before.len() >= start + size {
        above = start..start + size;
        start += size;
        size *= FAN_OUT;
    }
    before[above].to_vec()
}

/// Returns the relays that rank before `node`, sorted by rank.
fn ranked_before(node: NodeId, core: &[NodeId], relays: &[NodeId]) -> Vec<NodeId> {
    let own_rank = rank(node);
    ranked(
        core,
        relays
            .iter()
            .copied()
            .filter(|relay| rank(*relay) < own_rank)
            .collect(),
    )
}

/// Sorts relays by rank and removes duplicates and core processes.
fn ranked(core: &[NodeId], mut relays: Vec<NodeId>) -> Vec<NodeId> {
    relays.retain(|relay| !core.contains(relay));
    relays.sort_by_cached_key(|relay| rank(*relay));
    relays.dedup();
    relays
}

/// Sorts candidates by the preference of `node` and removes duplicates.
fn by_preference(node: NodeId, mut candidates: Vec<NodeId>) -> Vec<NodeId> {
    candidates.sort_by_cached_key(|candidate| Reverse((weight(node, *candidate), *candidate)));
    candidates.dedup();
    candidates
}

/// Returns the sort key that determines the rank of a process.
fn rank(node: NodeId) -> (u64, NodeId) {
    (mix(address_bits(node) ^ RANK_SALT), node)
}

/// Returns the weight with which `child` prefers `parent` (rendezvous hashing; Thaler and Ravishankar, 1998).
fn weight(child: NodeId, parent: NodeId) -> u64 {
    mix(mix(address_bits(child)) ^ address_bits(parent))
}

fn address_bits(node: NodeId) -> u64 {
    u64::from(node.ip) << 16 | u64::from(node.port)
}

/// Hashes a number (the finalizer of splitmix64).
pub(crate) fn mix(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
