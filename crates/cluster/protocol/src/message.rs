//! Every message between processes.

use crate::agent::{RunnerCommands, RunnerReport};
use crate::client::{ClientReply, ClientRequest, NotLeader};
use crate::control::ControlMessage;
use crate::directory::{Directory, Hello};
use crate::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use crate::id::NodeId;
use deku::prelude::*;

/// A message, at most once delivered and in no order that the logic may rely on.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
#[deku(id_type = "u8")]
pub enum Message {
    #[deku(id = 1)]
    Hello(Hello),
    #[deku(id = 2)]
    Directory(Directory),
    #[deku(id = 3)]
    ClientRequest(ClientRequest),
    #[deku(id = 4)]
    ClientReply(ClientReply),
    #[deku(id = 5)]
    NotLeader(NotLeader),
    #[deku(id = 6)]
    RunnerReport(RunnerReport),
    #[deku(id = 7)]
    RunnerCommands(RunnerCommands),
    #[deku(id = 8)]
    Subscribe(Subscribe),
    #[deku(id = 9)]
    ConfigUpdate(ConfigUpdate),
    #[deku(id = 10)]
    ConfigCurrent(ConfigCurrent),
    #[deku(id = 11)]
    Control(ControlMessage),
    /// Passed on by a third process where sender and receiver cannot reach each other.
    #[deku(id = 12)]
    Relayed(Relayed),
}

/// A message on its way through a third process.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
pub struct Relayed {
    /// Who wrote it.
    pub from: NodeId,
    /// Who is to have it.
    pub to: NodeId,
    /// The message as a frame's payload; never itself relayed.
    pub payload: crate::collections::Blob,
}
