//! Member lists and quorums. While a change of members is in progress, a quorum is a majority of each of the two lists
//! (joint consensus, Ongaro's thesis, 4.3).

use sagetrail_protocol::NodeId;
use std::collections::BTreeSet;
use std::fmt;

/// The processes that take part in agreement, with the version of the list. Version 0 means that there is no list.
///
/// While a change of members is in progress there are two groups of voters, and every decision needs a majority of
/// each.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct MemberList {
    /// The version of the list; each step of a change of members adds one.
    pub version: u64,
    /// The members; while a change is in progress, the members before it.
    pub members: Vec<NodeId>,
    /// The members after the change that is in progress; empty if there is none.
    pub next_members: Vec<NodeId>,
}

impl fmt::Display for MemberList {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "version={} members=[{}]",
            self.version,
            format_nodes(&self.members)
        )?;
        if self.is_changing() {
            write!(
                formatter,
                " next_members=[{}]",
                format_nodes(&self.next_members)
            )?;
        }
        Ok(())
    }
}

impl MemberList {
    /// Creates a list without a change in progress.
    pub fn new(version: u64, members: Vec<NodeId>) -> MemberList {
        MemberList {
            version,
            members,
            next_members: Vec::new(),
        }
    }

    /// Whether a change of members is in progress.
    pub fn is_changing(&self) -> bool {
        !self.next_members.is_empty()
    }

    /// Whether a process is a member before or after the change in progress.
    pub fn contains(&self, node: NodeId) -> bool {
        self.members.contains(&node) || self.next_members.contains(&node)
    }

    /// All members before and after the change in progress, in order.
    pub fn all(&self) -> BTreeSet<NodeId> {
        self.members
            .iter()
            .chain(&self.next_members)
            .copied()
            .collect()
    }

    /// Whether `nodes` include a majority of each group.
    pub fn has_quorum(&self, nodes: &BTreeSet<NodeId>) -> bool {
        !self.members.is_empty()
            && self
                .groups()
                .all(|group| count_members(group, nodes) >= majority(group))
    }

    /// Whether the members other than `nodes` are still a majority of each group.
    pub fn has_quorum_without(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let rest: BTreeSet<NodeId> = self.all().difference(nodes).copied().collect();
        self.has_quorum(&rest)
    }

    /// Whether `others` suffice for the recovery of `node`: a majority of each group, or all members of the group
    /// except `node` if that is less. Then for each round and each term that `node` helped to complete, at least one of
    /// `others` has seen it.
    pub fn has_recovery_quorum(&self, node: NodeId, others: &BTreeSet<NodeId>) -> bool {
        let suffices = |group: &[NodeId]| {
            let available = group.iter().filter(|member| **member != node).count();
            count_members(group, others) >= majority(group).min(available)
        };
        !self.members.is_empty() && self.groups().all(suffices)
    }

    /// The highest value that a majority of each group has reached; `None` if there are no members.
    pub fn quorum_value(&self, value_of: impl Fn(&NodeId) -> u64) -> Option<u64> {
        self.groups()
            .map(|group| majority_value(group, &value_of))
            .min()
            .flatten()
    }

    /// The groups of voters: the members, and while a change is in progress also the members after it.
    fn groups(&self) -> impl Iterator<Item = &[NodeId]> {
        let next = Some(self.next_members.as_slice()).filter(|group| !group.is_empty());
        std::iter::once(self.members.as_slice()).chain(next)
    }
}

fn format_nodes(group: &[NodeId]) -> String {
    let names: Vec<String> = group.iter().map(ToString::to_string).collect();
    names.join(" ")
}

fn majority(group: &[NodeId]) -> usize {
    group.len() / 2 + 1
}

fn count_members(group: &[NodeId], nodes: &BTreeSet<NodeId>) -> usize {
    group.iter().filter(|member| nodes.contains(member)).count()
}

fn majority_value(group: &[NodeId], value_of: &impl Fn(&NodeId) -> u64) -> Option<u64> {
    let mut values: Vec<u64> = group.iter().map(value_of).collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(majority(group) - 1).copied()
}
