//! Encodes messages as frames, and decodes frames and preambles from received bytes.

use bytes::{Buf, BytesMut};
use deku::DekuContainerRead;

use sagetrail_protocol::frame::{
    decode, encode, FrameError, Preamble, LENGTH_BYTES, MAGIC, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use sagetrail_protocol::Message;

/// Encodes a message as a frame: a length prefix and the message.
pub(super) fn pack(message: &Message) -> Result<Vec<u8>, FrameError> {
    let payload = encode(message)?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Removes the next frame from the buffer and decodes its message. Returns `None` if the frame is not complete yet.
pub(super) fn unpack(received: &mut BytesMut) -> Result<Option<Message>, FrameError> {
    let Some(length) = next_length(received)? else {
        return Ok(None);
    };
    if received.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    received.advance(LENGTH_BYTES);
    let message = decode(&received[..length])?;
    received.advance(length);
    Ok(Some(message))
}

/// Returns the number of bytes that the next frame still lacks, or zero if its length is not known yet or is invalid.
pub(super) fn missing_bytes(received: &BytesMut) -> usize {
    match next_length(received) {
        Ok(Some(length)) => (LENGTH_BYTES + length).saturating_sub(received.len()),
        _ => 0,
    }
}

/// Returns the length of the next message in bytes, or `None` if its length prefix is not complete yet.
fn next_length(received: &BytesMut) -> Result<Option<usize>, FrameError> {
    let Some(header) = received.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(Some(length))
}

/// Decodes a preamble; an error if it is not of this protocol and version.
pub(super) fn read_preamble(bytes: &[u8]) -> Result<Preamble, FrameError> {
    let (_, preamble) = Preamble::from_bytes((bytes, 0)).map_err(FrameError::Malformed)?;
    if preamble.magic != MAGIC || preamble.version != PROTOCOL_VERSION {
        return Err(FrameError::ProtocolMismatch);
    }
    Ok(preamble)
}
