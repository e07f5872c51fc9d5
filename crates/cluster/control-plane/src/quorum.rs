//! Member lists and majorities, also of both lists while a change of members is under way (joint consensus, Ongaro's
//! thesis, 4.3).

use sagetrail_protocol::NodeId;
use std::collections::BTreeSet;
use std::fmt;

/// The processes that take part in agreement, with the list's version; version 0 is no list.
///
/// While a change is under way there are two groups of voters, and whatever needs a majority needs one of each.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct MemberList {
    /// Each step of a change of members adds one.
    pub version: u64,
    /// The members; of a change under way, those before it.
    pub members: Vec<NodeId>,
    /// The list that is to follow; empty unless a change is under way.
    pub next_members: Vec<NodeId>,
}

impl fmt::Display for MemberList {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "version={} members=[{}]",
            self.version,
            names(&self.members)
        )?;
        if self.is_changing() {
            write!(formatter, " next_members=[{}]", names(&self.next_members))?;
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

    /// Whether these processes are a majority of each group.
    pub fn has_quorum(&self, nodes: &BTreeSet<NodeId>) -> bool {
        !self.members.is_empty()
            && self
                .groups()
                .all(|group| count(group, nodes) >= majority(group))
    }

    /// Whether the others are still a majority of each group.
    pub fn has_quorum_without(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let rest: BTreeSet<NodeId> = self.all().difference(nodes).copied().collect();
        self.has_quorum(&rest)
    }

    /// Whether these others are so many that one of them has seen each round and each term which `node` helped to
    /// complete: a majority of each group, or all besides `node` where that is less.
    pub fn has_recovery_quorum(&self, node: NodeId, others: &BTreeSet<NodeId>) -> bool {
        let suffices = |group: &[NodeId]| {
            let available = group.iter().filter(|member| **member != node).count();
            count(group, others) >= majority(group).min(available)
        };
        !self.members.is_empty() && self.groups().all(suffices)
    }

    /// The highest value that a majority of each group has reached; `None` without members.
    pub fn quorum_value(&self, value_of: impl Fn(&NodeId) -> u64) -> Option<u64> {
        self.groups()
            .map(|group| majority_value(group, &value_of))
            .min()
            .flatten()
    }

    /// The members, and of a change under way those after it.
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

fn count(group: &[NodeId], nodes: &BTreeSet<NodeId>) -> usize {
    group.iter().filter(|member| nodes.contains(member)).count()
}

fn majority_value(group: &[NodeId], value_of: &impl Fn(&NodeId) -> u64) -> Option<u64> {
    let mut values: Vec<u64> = group.iter().map(value_of).collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.get(majority(group) - 1).copied()
}
