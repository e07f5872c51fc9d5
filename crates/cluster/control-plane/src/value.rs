//! The register's value: the core's members, the configuration, and the changes that led to it.

use crate::error::ControlPlaneError;
use crate::quorum::MemberList;
use deku::prelude::*;
use sagetrail_protocol::control::AcceptedChange;
use sagetrail_protocol::{Blob, List, NodeId};

/// So many of the newest changes are part of the value; earlier ones are in each process's `AcceptedChanges`.
pub(crate) const MAX_RECENT_CHANGES: usize = 64;

/// The configuration in the register.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub struct StoredConfig {
    /// 0 before the first configuration.
    pub version: u64,
    /// JSON, as the operator reads it.
    pub document: Blob,
}

/// The register's value. The order of the fields is that of the bytes on the wire and on disk.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub struct RegisterValue {
    /// The version of the member list; each step of a change of members adds one.
    pub members_version: u64,
    /// The core's members; while a change is under way, those before it.
    pub members: List<NodeId>,
    /// The list that is to follow; empty unless a change of members is under way.
    pub next_members: List<NodeId>,
    /// How many members the cluster is to have.
    pub bootstrap_size: u32,
    /// The newest configuration.
    pub config: StoredConfig,
    /// The newest changes, oldest first; the last one led to `config`.
    pub recent: List<AcceptedChange>,
}

impl RegisterValue {
    /// The value that bytes hold.
    ///
    /// # Errors
    ///
    /// `MalformedValue` where the bytes are too short or a field is out of its range. Bytes after the value are ignored.
    pub fn decode(bytes: &[u8]) -> Result<RegisterValue, ControlPlaneError> {
        RegisterValue::from_bytes((bytes, 0))
            .map(|(_, value)| value)
            .map_err(ControlPlaneError::MalformedValue)
    }

    /// The value as bytes.
    pub fn encode(&self) -> Vec<u8> {
        self.to_bytes().unwrap_or_default()
    }

    /// The members as a list to count by.
    pub fn member_list(&self) -> MemberList {
        MemberList {
            version: self.members_version,
            members: self.members.0.clone(),
            next_members: self.next_members.0.clone(),
        }
    }

    /// The recent change that led from `base`, or over it, to a later version.
    pub fn change_over(&self, base: u64) -> Option<&AcceptedChange> {
        self.recent
            .iter()
            .find(|change| change.base <= base && base < change.version)
    }

    /// Adds the change that led to the configuration.
    pub fn push_recent(&mut self, change: AcceptedChange) {
        self.recent.0.push(change);
        let surplus = self.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        self.recent.0.drain(..surplus);
    }
}
