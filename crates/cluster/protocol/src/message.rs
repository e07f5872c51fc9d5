//! The union of all messages between processes: the payload of a frame.

use deku::prelude::*;

use crate::agent::{RunnerCommands, RunnerReport};
use crate::client::{ClientReply, ClientRequest, NotLeader};
use crate::collections::Blob;
use crate::control::ControlMessage;
use crate::directory::{Directory, Hello};
use crate::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use crate::id::NodeId;

/// A message. It is delivered at most once, and the logic may rely on no order between two messages.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
#[deku(id_type = "u8")]
pub enum Message {
    /// Renews a lease of membership; answered by [`Directory`].
    #[deku(id = 1)]
    Hello(Hello),
    /// Names the core processes and the leader.
    #[deku(id = 2)]
    Directory(Directory),
    /// A gateway passes on a client's request to the scheduler.
    #[deku(id = 3)]
    ClientRequest(ClientRequest),
    /// Answers [`ClientRequest`].
    #[deku(id = 4)]
    ClientReply(ClientReply),
    /// Answers [`ClientRequest`] or [`RunnerReport`] where the receiver leads no term.
    #[deku(id = 5)]
    NotLeader(NotLeader),
    /// An agent reports the state of its runner to the scheduler.
    #[deku(id = 6)]
    RunnerReport(RunnerReport),
    /// The scheduler commands a runner; answers [`RunnerReport`].
    #[deku(id = 7)]
    RunnerCommands(RunnerCommands),
    /// Subscribes to configurations.
    #[deku(id = 8)]
    Subscribe(Subscribe),
    /// A configuration; answers [`Subscribe`].
    #[deku(id = 9)]
    ConfigUpdate(ConfigUpdate),
    /// Nothing newer; answers [`Subscribe`].
    #[deku(id = 10)]
    ConfigCurrent(ConfigCurrent),
    /// Among core processes.
    #[deku(id = 11)]
    Control(ControlMessage),
    /// Forwarded by a third process where sender and receiver cannot reach each other.
    #[deku(id = 12)]
    Relayed(Relayed),
}

/// A message on its way through a third process.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
pub struct Relayed {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The message as a frame's payload; never itself [`Message::Relayed`].
    pub payload: Blob,
}
