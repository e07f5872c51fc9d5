//! The rows of a core process in `Table::Control`: the acceptor's and the replica's state, and the member list.

use crate::quorum::MemberList;
use crate::value::RegisterValue;
use deku::prelude::*;
use sagetrail_protocol::control::{ProposalNumber, RecordsPosition};
use sagetrail_protocol::node::{DiskImage, DiskOperation, Table};
use sagetrail_protocol::{Blob, Incarnation, List, NodeId, Term};

const ACCEPTOR_KEY: &[u8] = b"acceptor";
const VALUE_KEY: &[u8] = b"value";
const REPLICA_KEY: &[u8] = b"replica";
const MEMBERS_KEY: &[u8] = b"members";

/// The acceptor's proposal numbers on disk.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct AcceptorNumbers {
    /// The highest proposal number that was promised.
    pub promised: ProposalNumber,
    /// The proposal number of the accepted value, which is at most `promised`.
    pub accepted: ProposalNumber,
}

/// The highest promised term and the process to which it was promised.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TermPromise {
    /// The highest term that was promised.
    pub term: Term,
    /// The candidate to which it was promised.
    pub node: NodeId,
    /// The incarnation of the candidate, or 0 if the process is known only as the leader of the term.
    pub incarnation: Incarnation,
}

/// The replica's own state on disk.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ReplicaState {
    /// The newest promise of a term.
    pub promise: TermPromise,
    /// The position of the newest batch that was applied.
    pub position: RecordsPosition,
    /// Whether the records are complete. This is false after the disk was emptied, until a complete snapshot is
    /// installed.
    pub complete: bool,
}

/// A member list on disk.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub struct StoredMembers {
    /// The version of the list.
    pub version: u64,
    /// The members. During a membership change, these are the members before the change.
    pub members: List<NodeId>,
    /// The members after the membership change in progress; empty if there is none.
    pub next_members: List<NodeId>,
}

impl From<&MemberList> for StoredMembers {
    fn from(list: &MemberList) -> StoredMembers {
        StoredMembers {
            version: list.version,
            members: List(list.members.clone()),
            next_members: List(list.next_members.clone()),
        }
    }
}

impl From<StoredMembers> for MemberList {
    fn from(stored: StoredMembers) -> MemberList {
        MemberList {
            version: stored.version,
            members: stored.members.0,
            next_members: stored.next_members.0,
        }
    }
}

/// The state of a core process on its disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlState {
    /// The proposal numbers that the acceptor has promised and accepted.
    pub proposals: AcceptorNumbers,
    /// The accepted value, encoded.
    pub value: Blob,
    /// The promise of the replica and the position of its records.
    pub replica: ReplicaState,
    /// The newest member list that the process knew.
    pub members: StoredMembers,
}

/// The content of a disk at the start of the process.
#[derive(Debug)]
pub(crate) enum DiskContent {
    /// The disk has no content because it is new or was emptied.
    Empty,
    /// The state was read in full.
    State(Box<ControlState>),
    /// Some rows cannot be read. The promises of the process are lost, as with an emptied disk. Unlike with a new disk,
    /// the process has participated in a cluster, so it must not bootstrap one, whatever its settings say.
    Damaged,
}

impl ControlState {
    /// Reads the state from the content of the disk.
    pub(crate) fn load(image: &DiskImage) -> DiskContent {
        if image.control.is_empty() && image.records.is_empty() {
            return DiskContent::Empty;
        }
        ControlState::read(&image.control).map_or(DiskContent::Damaged, |state| {
            DiskContent::State(Box::new(state))
        })
    }

    /// Reads the rows of `Table::Control`. Returns `None` if a row is missing or cannot be decoded in full.
    fn read(rows: &[(Vec<u8>, Vec<u8>)]) -> Option<ControlState> {
        let find = |key: &[u8]| {
            rows.iter()
                .find(|row| row.0 == key)
                .map(|row| row.1.as_slice())
        };
        let proposals: AcceptorNumbers = decode(find(ACCEPTOR_KEY)?)?;
        let replica = decode(find(REPLICA_KEY)?)?;
        let members = decode(find(MEMBERS_KEY)?)?;
        let value = Blob(find(VALUE_KEY)?.to_vec());
        decode::<RegisterValue>(&value)?;
        Some(ControlState {
            proposals,
            value,
            replica,
            members,
        })
    }
}

/// Decodes an item. Returns `None` if the bytes are malformed or contain more than the item.
fn decode<T: for<'a> DekuContainerRead<'a>>(bytes: &[u8]) -> Option<T> {
    let ((rest, _), item) = T::from_bytes((bytes, 0)).ok()?;
    rest.is_empty().then_some(item)
}

/// Returns the operation that writes the acceptor's proposal numbers.
pub(crate) fn put_proposals(proposals: &AcceptorNumbers) -> DiskOperation {
    put(ACCEPTOR_KEY, proposals.to_bytes().unwrap_or_default())
}

/// Returns the operation that writes the accepted value.
pub(crate) fn put_value(value: &Blob) -> DiskOperation {
    put(VALUE_KEY, value.0.clone())
}

/// Returns the operation that writes the replica's state.
pub(crate) fn put_replica(state: &ReplicaState) -> DiskOperation {
    put(REPLICA_KEY, state.to_bytes().unwrap_or_default())
}

/// Returns the operation that writes the member list.
pub(crate) fn put_members(members: &StoredMembers) -> DiskOperation {
    put(MEMBERS_KEY, members.to_bytes().unwrap_or_default())
}

fn put(key: &[u8], value: Vec<u8>) -> DiskOperation {
    DiskOperation::Put {
        table: Table::Control,
        key: key.to_vec(),
        value,
    }
}
