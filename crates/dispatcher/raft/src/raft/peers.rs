//! The other members and their disks, known from their messages.

use std::collections::BTreeMap;

use crate::message::MessageBody;
use crate::voter::Voter;

/// Time without a message after which a pair of member and disk is forgotten, seconds.
const FORGET_DISK_S: f64 = 30.0;
/// A voter's disk counts as replaced if no message has named it for longer than this while its member uses another
/// disk, seconds.
const DISK_REPLACED_S: f64 = 1.0;

/// The state of another member, as of its last message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    /// Identifier of the disk that the member uses.
    pub(super) disk: u64,
    /// When the last message of the member arrived, seconds on this member's clock.
    pub(super) last_contact_s: f64,
    /// Whether the member's disk belongs to no log yet.
    pub(super) is_blank: bool,
}

/// The other members and their disks, known from their messages.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    by_member: BTreeMap<u64, Peer>,
    /// When the last message of each pair of member and disk arrived, seconds.
    disk_contact_s: BTreeMap<Voter, f64>,
}

impl Peers {
    /// Records the arrival of a message.
    pub(super) fn record_message(&mut self, now_s: f64, sender: Voter, body: &MessageBody) {
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
            last_contact_s: now_s,
            is_blank,
        };
        self.by_member.insert(member, peer);
        self.disk_contact_s.insert(sender, now_s);
        self.disk_contact_s
            .retain(|_, contact_s| now_s < *contact_s + FORGET_DISK_S);
    }

    /// The state of a member. `None` if no message of the member has arrived.
    pub(super) fn get(&self, member: u64) -> Option<&Peer> {
        self.by_member.get(&member)
    }

    /// Whether none of the members that have sent a message belongs to a log.
    pub(super) fn are_all_blank(&self) -> bool {
        self.by_member.values().all(|peer| peer.is_blank)
    }

    /// Whether a voter's member now uses another disk. No message may have named the voter's own disk for
    /// `DISK_REPLACED_S`, so that a delayed message that names a previous disk does not count as a replacement.
    pub(super) fn is_disk_replaced(&self, now_s: f64, voter: &Voter) -> bool {
        let last_contact_s = self
            .disk_contact_s
            .get(voter)
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        let is_replacement =
            |other: &Voter| other.member == voter.member && other.disk != voter.disk;
        let mut replacements = self
            .disk_contact_s
            .iter()
            .filter(|(other, _)| is_replacement(other));
        now_s > last_contact_s + DISK_REPLACED_S
            && replacements.any(|(_, contact_s)| now_s < contact_s + 0.5 * DISK_REPLACED_S)
    }
}
