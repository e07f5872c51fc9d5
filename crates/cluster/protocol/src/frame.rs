//! Frames on a TCP connection between two processes: a preamble names protocol and sender once, then each message
//! follows with its length in front.

use deku::prelude::*;

use crate::id::{Incarnation, NodeId};
use crate::message::Message;

/// The protocol's version; a connection with another one is closed.
pub const PROTOCOL_VERSION: u16 = 1;
/// The first four bytes of each connection, `sage` in ASCII.
pub const MAGIC: u32 = 0x7361_6765;
/// The longest payload of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// The length prefix of a payload, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// The first bytes on each connection, from the side that opened it; no answer.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Preamble {
    /// [`MAGIC`].
    pub magic: u32,
    /// [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The process that opened the connection.
    pub from: NodeId,
    /// Its incarnation: connections of an earlier one are closed.
    pub incarnation: Incarnation,
}

/// The length of a preamble, in bytes.
pub const PREAMBLE_BYTES: usize = 4 + 2 + 6 + 8;

/// Why a frame was not encoded or decoded.
#[derive(thiserror::Error, Debug, PartialEq)]
pub enum FrameError {
    /// Not this protocol, or another version of it.
    #[error("another protocol or version")]
    Foreign,
    /// A payload longer than [`MAX_FRAME_BYTES`]; its length, in bytes.
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    /// The payload is not a message.
    #[error("no message: {0}")]
    Malformed(DekuError),
}

/// Encodes a message as a payload, without its length.
///
/// # Errors
///
/// [`FrameError::TooLong`] for a payload above [`MAX_FRAME_BYTES`], [`FrameError::Malformed`] for a message that can't
/// be encoded.
pub fn encode(message: &Message) -> Result<Vec<u8>, FrameError> {
    let bytes = message.to_bytes().map_err(FrameError::Malformed)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes the message that a payload holds. Bytes after the message are ignored.
///
/// # Errors
///
/// [`FrameError::TooLong`] for a payload above [`MAX_FRAME_BYTES`], [`FrameError::Malformed`] for one that holds no
/// message.
pub fn decode(payload: &[u8]) -> Result<Message, FrameError> {
    if payload.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(payload.len()));
    }
    Message::from_bytes((payload, 0))
        .map(|(_, message)| message)
        .map_err(FrameError::Malformed)
}
