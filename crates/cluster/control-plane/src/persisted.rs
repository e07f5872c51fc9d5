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
    /// The highest number that was promised.
    pub promised: ProposalNumber,
    /// The number of the accepted value; at most `promised`.
    pub accepted: ProposalNumber,
}

/// The highest term that was promised, and the process to which it was.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TermPromise {
    /// The highest term that was promised.
    pub term: Term,
    /// The candidate to which it was promised.
    pub node: NodeId,
    /// 0 where the process is known as the term's leader only.
    pub incarnation: Incarnation,
}

/// The replica's own state on disk.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ReplicaState {
    /// The newest promise of a term.
    pub promise: TermPromise,
    /// Of the newest batch that was applied.
    pub position: RecordsPosition,
    /// False after the disk was emptied, until a complete snapshot was installed.
    pub complete: bool,
}

/// A member list on disk.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub struct StoredMembers {
    /// The list's version.
    pub version: u64,
    /// The members; of a change under way, those before it.
    pub members: List<NodeId>,
    /// Empty unless a change of members is under way.
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
    /// What the acceptor has promised and accepted.
    pub proposals: AcceptorNumbers,
    /// The accepted value, encoded.
    pub value: Blob,
    /// What the replica has promised and holds.
    pub replica: ReplicaState,
    /// The newest member list that was known.
    pub members: StoredMembers,
}

/// The content of a disk at the start of the process.
#[derive(Debug)]
pub(crate) enum DiskContent {
    /// Nothing: the disk is fresh, or was emptied.
    Empty,
    State(Box<ControlState>),
    /// Rows that cannot be read. What the process promised is lost, as with an emptied disk, but it did take part:
    /// whatever its settings say, it must not bootstrap a cluster.
    Damaged,
}

impl ControlState {
    /// Reads what the disk holds.
    pub(crate) fn load(image: &DiskImage) -> DiskContent {
        if image.control.is_empty() && image.records.is_empty() {
            return DiskContent::Empty;
        }
        ControlState::read(&image.control).map_or(DiskContent::Damaged, |state| {
            DiskContent::State(Box::new(state))
        })
    }

    /// `None` where a row is missing or cannot be read in full.
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

/// The item that bytes hold, and nothing besides.
fn decode<T: for<'a> DekuContainerRead<'a>>(bytes: &[u8]) -> Option<T> {
    let ((rest, _), item) = T::from_bytes((bytes, 0)).ok()?;
    rest.is_empty().then_some(item)
}

/// Writes the register's proposal numbers.
pub(crate) fn put_proposals(proposals: &AcceptorNumbers) -> DiskOperation {
    put(ACCEPTOR_KEY, proposals.to_bytes().unwrap_or_default())
}

/// Writes the accepted value.
pub(crate) fn put_value(value: &Blob) -> DiskOperation {
    put(VALUE_KEY, value.0.clone())
}

/// Writes the replica's state.
pub(crate) fn put_replica(state: &ReplicaState) -> DiskOperation {
    put(REPLICA_KEY, state.to_bytes().unwrap_or_default())
}

/// Writes the member list.
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
