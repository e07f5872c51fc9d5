//! Member lists and majorities.
use sagetrail_wire::NodeId;
use std::collections::BTreeSet;

/// The processes that take part in agreement, with the list's version; version 0 is no list.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct MemberList {
    pub version: u64,
    pub members: Vec<NodeId>,
}

impl MemberList {
    /// Whether a process takes part.
    pub fn contains(&self, node: NodeId) -> bool {
        self.members.contains(&node)
    }

    /// How many make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether these processes hold a majority.
    pub fn reached_by(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let there = self.members.iter().filter(|member| nodes.contains(member)).count();
        !self.members.is_empty() && there >= self.majority()
    }

    /// The highest figure that a majority has reached, from one figure for each member.
    pub fn reached_figure(&self, figures: impl Iterator<Item = u64>) -> Option<u64> {
        let mut sorted: Vec<u64> = figures.collect();
        sorted.sort_unstable_by(|left, right| right.cmp(left));
        sorted.get(self.majority() - 1).copied()
    }
}
