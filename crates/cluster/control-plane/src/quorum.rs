//! Member lists and majorities, also while a change of members is under way.

use sagetrail_protocol::NodeId;
use std::collections::BTreeSet;
use std::fmt;

/// The processes that take part in agreement, with the list's version; version 0 is no list.
///
/// While a change is under way there are two lists, and whatever needs a majority needs one of each.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct MemberList {
    pub version: u64,
    pub members: Vec<NodeId>,
    /// The list that is to follow; empty unless a change is under way.
    pub next_members: Vec<NodeId>,
}

impl fmt::Display for MemberList {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "members, version {}: {}",
            self.version,
            names(&self.members)
        )?;
        if self.is_changing() {
            write!(formatter, "; next: {}", names(&self.next_members))?;
        }
        Ok(())
    }
}

impl MemberList {
    /// A list of which no change is under way.
    pub fn new(version: u64, members: Vec<NodeId>) -> MemberList {
        MemberList {
            version,
            members,
            next_members: Vec::new(),
        }
    }

    /// Whether a change of members is under way.
    pub fn is_changing(&self) -> bool {
        !self.next_members.is_empty()
    }

    /// Whether a process takes part.
    pub fn contains(&self, node: NodeId) -> bool {
        self.members.contains(&node) || self.next_members.contains(&node)
    }

    /// Everyone who takes part, in order.
    pub fn all(&self) -> BTreeSet<NodeId> {
        self.members
            .iter()
            .chain(&self.next_members)
            .copied()
            .collect()
    }

    /// Whether these processes hold a majority.
    pub fn reached_by(&self, nodes: &BTreeSet<NodeId>) -> bool {
        !self.members.is_empty()
            && self
                .groups()
                .all(|group| present(group, nodes) >= majority(group))
    }

    /// Whether a majority is left without these processes.
    pub fn reachable_without(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let rest: BTreeSet<NodeId> = self.all().difference(nodes).copied().collect();
        self.reached_by(&rest)
    }

    /// Whether these others together know every promise that `node` may have made.
    pub fn known_without(&self, node: NodeId, others: &BTreeSet<NodeId>) -> bool {
        let enough = |group: &[NodeId]| {
            let available = group.iter().filter(|member| **member != node).count();
            present(group, others) >= majority(group).min(available)
        };
        !self.members.is_empty() && self.groups().all(enough)
    }

    /// The highest figure that a majority has reached.
    pub fn reached_figure(&self, figure_of: impl Fn(&NodeId) -> u64) -> Option<u64> {
        self.groups()
            .map(|group| reached_in(group, &figure_of))
            .min()
            .flatten()
    }

    fn groups(&self) -> impl Iterator<Item = &[NodeId]> {
        let next = Some(self.next_members.as_slice()).filter(|group| !group.is_empty());
        std::iter::once(self.members.as_slice()).chain(next)
    }
}

fn names(group: &[NodeId]) -> String {
    let names: Vec<String> = group.iter().map(ToString::to_string).collect();
    names.join(" ")
}

fn majority(group: &[NodeId]) -> usize {
    group.len() / 2 + 1
}

fn present(group: &[NodeId], nodes: &BTreeSet<NodeId>) -> usize {
    group.iter().filter(|member| nodes.contains(member)).count()
}

fn reached_in(group: &[NodeId], figure_of: &impl Fn(&NodeId) -> u64) -> Option<u64> {
    let mut figures: Vec<u64> = group.iter().map(figure_of).collect();
    figures.sort_unstable_by(|left, right| right.cmp(left));
    figures.get(majority(group) - 1).copied()
}
