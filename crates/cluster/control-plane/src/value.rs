//! The value of the register: the core's members, the configuration, and the recent changes of the configuration.

use crate::error::ControlPlaneError;
use crate::quorum::MemberList;
use deku::prelude::*;
use sagetrail_protocol::control::AcceptedChange;
use sagetrail_protocol::{Blob, List, NodeId};

/// The maximum number of changes in the value, which holds the newest ones. Earlier changes are in the
/// `AcceptedChanges` of each process.
pub(crate) const MAX_RECENT_CHANGES: usize = 64;

/// The configuration in the register.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub struct StoredConfig {
    /// The version of the configuration; 0 before the first one.
    pub version: u64,
    /// The configuration as JSON, in the form in which the operator reads it.
    pub document: Blob,
}

/// The value of the register. It is encoded on the wire and on disk in the order of the fields.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub struct RegisterValue {
    /// The version of the member list; each step of a change of members adds one.
    pub members_version: u64,
    /// The core's members; while a change of members is in progress, the members before it.
    pub members: List<NodeId>,
    /// The core's members after the change that is in progress; empty if there is none.
    pub next_members: List<NodeId>,
    /// The number of members with which the cluster was bootstrapped. Members are added while there are fewer.
    pub bootstrap_size: u32,
    /// The configuration in force.
    pub config: StoredConfig,
    /// The newest changes of the configuration, oldest first; the last one led to `config`.
    pub recent: List<AcceptedChange>,
}

impl RegisterValue {
    /// Decodes a value.
    ///
    /// # Errors
    ///
    /// Returns `MalformedValue` if the bytes are too short or a field is out of its range. Bytes after the value are
    /// ignored.
    pub fn decode(bytes: &[u8]) -> Result<RegisterValue, ControlPlaneError> {
        RegisterValue::from_bytes((bytes, 0))
            .map(|(_, value)| value)
            .map_err(ControlPlaneError::MalformedValue)
    }

    /// Encodes the value.
    pub fn encode(&self) -> Vec<u8> {
        self.to_bytes().unwrap_or_default()
    }

    /// The member list of the value, with which quorums are counted.
    pub fn member_list(&self) -> MemberList {
        MemberList {
            version: self.members_version,
            members: self.members.0.clone(),
            next_members: self.next_members.0.clone(),
        }
    }

    /// The recent change that led from version `base`, or from an earlier version past `base`, to a later version.
    pub fn change_covering(&self, base: u64) -> Option<&AcceptedChange> {
        self.recent
            .iter()
            .find(|change| change.base <= base && base < change.version)
    }

    /// Appends the change that led to the configuration, and drops the oldest changes beyond `MAX_RECENT_CHANGES`.
    pub fn push_recent(&mut self, change: AcceptedChange) {
        self.recent.0.push(change);
        let surplus = self.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        self.recent.0.drain(..surplus);
    }
}
