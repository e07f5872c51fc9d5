//! Member table: a fixed roster, and the known state of each member in it.

use crate::message::{MemberState, Update};
use std::collections::BTreeMap;

/// Configured member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Configured name of the member.
    pub name: String,
    /// Hash of the name, which identifies the member in messages.
    pub number: u64,
    /// Index of the member's site.
    pub site: u16,
}

/// Known state of one member.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// State of the member.
    pub state: MemberState,
    /// Highest known incarnation of the member.
    pub incarnation: u64,
    /// Time since which the member has been in this state, in seconds on the caller's clock.
    pub since: f64,
    /// Time at which a frame sent by the member was last received, in seconds on the caller's clock; negative infinity
    /// for never.
    pub last_received: f64,
}

/// The roster and the views of its members, which are addressed by their index in the roster.
pub(crate) struct MemberTable {
    own_index: usize,
    roster: Vec<Peer>,
    index_by_number: BTreeMap<u64, usize>,
    views: Vec<MemberView>,
}

impl MemberTable {
    pub(crate) fn new(roster: Vec<Peer>, own_index: usize, incarnation: u64, now_s: f64) -> Self {
        let unknown = MemberView {
            state: MemberState::Unknown,
            incarnation: 0,
            since: now_s,
            last_received: f64::NEG_INFINITY,
        };
        let mut views = vec![unknown; roster.len()];
        views[own_index] = MemberView {
            state: MemberState::Alive,
            incarnation,
            since: now_s,
            last_received: now_s,
        };
        let index_by_number = roster
            .iter()
            .enumerate()
            .map(|(index, peer)| (peer.number, index))
            .collect();
        MemberTable {
            own_index,
            roster,
            index_by_number,
            views,
        }
    }

    pub(crate) fn own_index(&self) -> usize {
        self.own_index
    }

    pub(crate) fn own_number(&self) -> u64 {
        self.roster[self.own_index].number
    }

    pub(crate) fn roster(&self) -> &[Peer] {
        &self.roster
    }

    pub(crate) fn len(&self) -> usize {
        self.roster.len()
    }

    pub(crate) fn index_of(&self, number: u64) -> Option<usize> {
        self.index_by_number.get(&number).copied()
    }

    pub(crate) fn view(&self, member: usize) -> &MemberView {
        &self.views[member]
    }

    pub(crate) fn view_mut(&mut self, member: usize) -> &mut MemberView {
        &mut self.views[member]
    }

    pub(crate) fn live_count(&self) -> usize {
        let is_live =
            |view: &&MemberView| matches!(view.state, MemberState::Alive | MemberState::Suspect);
        self.views.iter().filter(is_live).count()
    }

    /// This member's view of a member as an update.
    pub(crate) fn update(&self, member: usize) -> Update {
        let view = &self.views[member];
        Update {
            member: self.roster[member].number,
            incarnation: view.incarnation,
            state: view.state,
            reporter: self.own_number(),
        }
    }

    /// Updates about all members whose state is known.
    pub(crate) fn full_state(&self) -> Vec<Update> {
        (0..self.len())
            .filter(|member| self.views[*member].state != MemberState::Unknown)
            .map(|member| self.update(member))
            .collect()
    }
}
