//! The errors of this crate.

use deku::DekuError;

/// An error of the control plane.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ControlPlaneError {
    /// Bytes from a message or from a disk do not encode a value of the register.
    #[error("malformed value of the register: {0}")]
    MalformedValue(DekuError),
}
