//! Changes of the core's members: one at a time, proposed by the owner of the term.
use crate::quorum::MemberList;
use crate::timing::JOINER_MS;
use sagetrail_wire::{NodeId, Time};
use std::collections::BTreeMap;

/// So many processes that ask to join are remembered.
const MAX_JOINERS: usize = 64;

/// Core processes that are no members and ask to be.
#[derive(Debug, Default)]
pub struct Joiners {
    heard: BTreeMap<NodeId, Time>,
}

impl Joiners {
    /// A core process said hello.
    pub fn hear(&mut self, now: Time, node: NodeId) {
        self.heard.retain(|_, heard| now < heard.plus_millis(JOINER_MS));
        if self.heard.len() < MAX_JOINERS {
            self.heard.insert(node, now);
        }
    }

    /// The member list that should follow, where one should. `silent`: members that were not heard for long.
    pub fn proposal(
        &self, now: Time, list: &MemberList, size: usize, silent: &[NodeId],
    ) -> Option<Vec<NodeId>> {
        let asks =
            |(node, heard): &(&NodeId, &Time)| now < heard.plus_millis(JOINER_MS) && !list.contains(**node);
        let (joiner, _) = self.heard.iter().find(asks)?;
        let mut members = list.members.clone();
        if members.len() < size {
            members.push(*joiner);
            members.sort_unstable();
            return Some(members);
        }
        let gone = members.iter().position(|member| silent.contains(member))?;
        members.remove(gone);
        Some(members)
    }

    /// Whether nobody asks.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }
}
