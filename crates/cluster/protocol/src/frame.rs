//! The frames on a TCP connection between two processes. A preamble identifies the protocol and the sender once; then
//! each message follows, prefixed with its length.

use deku::prelude::*;

use crate::id::{Incarnation, NodeId};
use crate::message::Message;

/// The version of the protocol; a connection with a different version is closed.
pub const PROTOCOL_VERSION: u16 = 1;
/// The first four bytes of each connection, `sage` in ASCII.
pub const MAGIC: u32 = 0x7361_6765;
/// The longest payload of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// The size of a payload's length prefix, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// The first bytes on each connection, sent by the side that opened it. It is not answered.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Preamble {
    /// The protocol's identifier, which must equal [`MAGIC`].
    pub magic: u32,
    /// The version of the protocol, which must equal [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The process that opened the connection.
    pub from: NodeId,
    /// The incarnation of that process; connections of its earlier incarnations are closed.
    pub incarnation: Incarnation,
}

/// The size of a preamble, in bytes.
pub const PREAMBLE_BYTES: usize = 4 + 2 + 6 + 8;

/// The reason for which a frame was not encoded or decoded.
#[derive(thiserror::Error, Debug, PartialEq)]
pub enum FrameError {
    /// The preamble is of another protocol, or of another version of this protocol.
    #[error("preamble of another protocol or version")]
    ProtocolMismatch,
    /// The payload is longer than [`MAX_FRAME_BYTES`]. The field is its length, in bytes.
    #[error("frame too long: got {0} bytes, expected at most {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The payload is not a message.
    #[error("frame does not contain a valid message: {0}")]
    Malformed(DekuError),
}

/// Encodes a message as a payload, without its length.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] if the payload is longer than [`MAX_FRAME_BYTES`], and [`FrameError::Malformed`] if
/// the message cannot be encoded.
pub fn encode(message: &Message) -> Result<Vec<u8>, FrameError> {
    let bytes = message.to_bytes().map_err(FrameError::Malformed)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes the message in a payload. Bytes after the message are ignored.
///
/// # Errors
///
/// Returns [`FrameError::TooLong`] if the payload is longer than [`MAX_FRAME_BYTES`], and [`FrameError::Malformed`] if
/// it does not contain a valid message.
pub fn decode(payload: &[u8]) -> Result<Message, FrameError> {
    if payload.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(payload.len()));
    }
    Message::from_bytes((payload, 0))
        .map(|(_, message)| message)
        .map_err(FrameError::Malformed)
}
