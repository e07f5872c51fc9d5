//! The other members and their disks, as seen in their messages.

use std::collections::BTreeMap;

use crate::message::MessageBody;
use crate::voter::Voter;

/// A pair of member and disk without a message for this long is forgotten, seconds.
const FORGET_DISK_S: f64 = 30.0;
/// A voter's disk is replaced when it was silent for this long while its member uses another one, seconds.
const DISK_REPLACED_S: f64 = 1.0;

/// The last state in which another member was seen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    /// The disk that the member uses.
    pub(super) disk: u64,
    /// When its last message came, seconds on this member's clock.
    pub(super) last_contact: f64,
    /// Whether its disk belongs to no log yet.
    pub(super) is_blank: bool,
}

/// The other members and their disks, as seen in their messages.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    by_member: BTreeMap<u64, Peer>,
    /// When each member was last seen with each disk, seconds.
    disk_contact_at: BTreeMap<Voter, f64>,
}

impl Peers {
    /// Records that a message came.
    pub(super) fn record_message(&mut self, now: f64, sender: Voter, body: &MessageBody) {
        let Voter { member, disk } = sender;
        let known = self.by_member.get(&member).filter(|peer| peer.disk == disk);
        let is_blank = match body {
            MessageBody::DiskQuery { blank, .. } => *blank,
            MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot(_) => false,
            MessageBody::VoteRequest(_) => false,
            _ => known.is_some_and(|peer| peer.is_blank),
        };
        let peer = Peer {
            disk,
            last_contact: now,
            is_blank,
        };
        self.by_member.insert(member, peer);
        self.disk_contact_at.insert(sender, now);
        self.disk_contact_at
            .retain(|_, at| now < *at + FORGET_DISK_S);
    }

    /// A member, if a message of it ever came.
    pub(super) fn get(&self, member: u64) -> Option<&Peer> {
        self.by_member.get(&member)
    }

    /// Whether all members seen so far belong to no log.
    pub(super) fn are_all_blank(&self) -> bool {
        self.by_member.values().all(|peer| peer.is_blank)
    }

    /// Whether a voter's member uses another disk now. The voter's own disk must have been silent for a while: a late
    /// message of a former disk is no replacement.
    pub(super) fn is_disk_replaced(&self, now: f64, voter: &Voter) -> bool {
        let last_contact = self
            .disk_contact_at
            .get(voter)
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        let is_replacement =
            |other: &Voter| other.member == voter.member && other.disk != voter.disk;
        let mut replacements = self
            .disk_contact_at
            .iter()
            .filter(|(other, _)| is_replacement(other));
        now > last_contact + DISK_REPLACED_S
            && replacements.any(|(_, at)| now < at + 0.5 * DISK_REPLACED_S)
    }
}
