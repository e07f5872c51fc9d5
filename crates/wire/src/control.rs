//! Among the core processes: the register, elections, replicated records and the recovery of an emptied disk.
use crate::collections::Blob;
use deku::prelude::*;

/// A message among core processes. Its parts belong to the control plane.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Placeholder {
    pub body: Blob,
}

/// A message among core processes.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ControlMessage {
    #[deku(id = 0)]
    Placeholder(Placeholder),
}
