//! The errors of this crate.

use deku::DekuError;

/// What can go wrong in the control plane.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ControlPlaneError {
    /// Bytes from a message or from a disk are no value of the register.
    #[error("no value of the register: {0}")]
    MalformedValue(DekuError),
}
