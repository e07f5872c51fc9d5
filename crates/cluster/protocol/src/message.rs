//! The union of all messages between processes, which is the payload of a frame.

use deku::prelude::*;

use crate::agent::{RunnerCommands, RunnerReport};
use crate::client::{ClientReply, ClientRequest, NotLeader};
use crate::collections::Blob;
use crate::control::ControlMessage;
use crate::directory::{Directory, Hello};
use crate::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use crate::id::NodeId;

/// A message between two processes. It is delivered at most once, and the logic must not rely on the order of two
/// messages.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
#[deku(id_type = "u8")]
pub enum Message {
    /// Renews a membership lease; it is answered with [`Directory`].
    #[deku(id = 1)]
    Hello(Hello),
    /// Names the core processes and the leader.
    #[deku(id = 2)]
    Directory(Directory),
    /// Forwards a client's request from a gateway to the scheduler.
    #[deku(id = 3)]
    ClientRequest(ClientRequest),
    /// Answers a [`ClientRequest`].
    #[deku(id = 4)]
    ClientReply(ClientReply),
    /// Answers a [`ClientRequest`] or [`RunnerReport`] whose receiver is not the leader.
    #[deku(id = 5)]
    NotLeader(NotLeader),
    /// Reports the state of a runner from its agent to the scheduler.
    #[deku(id = 6)]
    RunnerReport(RunnerReport),
    /// Contains the scheduler's commands for a runner; answers a [`RunnerReport`] or is sent unsolicited.
    #[deku(id = 7)]
    RunnerCommands(RunnerCommands),
    /// Subscribes to configurations.
    #[deku(id = 8)]
    Subscribe(Subscribe),
    /// Contains a configuration; answers a [`Subscribe`] or follows a new version.
    #[deku(id = 9)]
    ConfigUpdate(ConfigUpdate),
    /// Reports that there is no newer configuration; answers a [`Subscribe`].
    #[deku(id = 10)]
    ConfigCurrent(ConfigCurrent),
    /// Contains a message between two core processes.
    #[deku(id = 11)]
    Control(ControlMessage),
    /// Contains a message that a third process forwards because sender and receiver cannot reach each other.
    #[deku(id = 12)]
    Relayed(Relayed),
}

/// A message that a third process forwards to its receiver.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
pub struct Relayed {
    /// The original sender of the message.
    pub from: NodeId,
    /// The final receiver of the message.
    pub to: NodeId,
    /// The message, encoded as the payload of a frame; it is never itself a [`Message::Relayed`].
    pub payload: Blob,
}
