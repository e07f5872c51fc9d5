//! Frames on a TCP connection between two processes: a preamble names protocol and sender once, then each message
//! follows with its length in front.

use crate::id::{Incarnation, NodeId};
use crate::message::Message;
use deku::prelude::*;

/// The protocol's version; a peer with another one is not spoken to.
pub const PROTOCOL_VERSION: u16 = 1;
/// Says that a connection speaks this protocol.
pub const MAGIC: u32 = 0x7361_6765;
/// The longest payload of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// Bytes of the length in front of each payload.
pub const LENGTH_BYTES: usize = 4;

/// First on each connection, sent by the side that opened it.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Preamble {
    pub magic: u32,
    pub version: u16,
    /// Who opened the connection.
    pub from: NodeId,
    pub incarnation: Incarnation,
}

/// Bytes of a preamble on the wire.
pub const PREAMBLE_BYTES: usize = 4 + 2 + 6 + 8;

/// Why a frame was not understood.
#[derive(Debug, PartialEq)]
pub enum FrameError {
    /// Not this protocol, or another version of it.
    Foreign,
    /// Longer than `MAX_FRAME_BYTES`.
    TooLong(usize),
    /// The payload is not a message.
    Malformed(DekuError),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            FrameError::Foreign => write!(formatter, "another protocol or version"),
            FrameError::TooLong(bytes) => write!(formatter, "a frame of {bytes} bytes"),
            FrameError::Malformed(error) => write!(formatter, "no message: {error}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// A message as payload, without its length.
pub fn encode(message: &Message) -> Result<Vec<u8>, FrameError> {
    let bytes = message.to_bytes().map_err(FrameError::Malformed)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// The message that a payload holds.
pub fn decode(payload: &[u8]) -> Result<Message, FrameError> {
    if payload.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(payload.len()));
    }
    Message::from_bytes((payload, 0))
        .map(|(_, message)| message)
        .map_err(FrameError::Malformed)
}
