//! Frames in a buffer of received bytes.

use bytes::{Buf, BytesMut};
use deku::DekuContainerRead;

use sagetrail_protocol::frame::{
    decode, encode, FrameError, Preamble, LENGTH_BYTES, MAGIC, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use sagetrail_protocol::Message;

/// Encodes a message with its length prefix.
pub(super) fn pack(message: &Message) -> Result<Vec<u8>, FrameError> {
    let payload = encode(message)?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Takes the next complete message; `None` where more bytes are needed.
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

/// Bytes missing from the current frame; zero where its length is not known yet.
pub(super) fn missing(received: &BytesMut) -> usize {
    match next_length(received) {
        Ok(Some(length)) => (LENGTH_BYTES + length).saturating_sub(received.len()),
        _ => 0,
    }
}

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

/// The preamble that the bytes hold, if it is of this protocol and version.
pub(super) fn read_preamble(bytes: &[u8]) -> Result<Preamble, FrameError> {
    let (_, preamble) = Preamble::from_bytes((bytes, 0)).map_err(FrameError::Malformed)?;
    if preamble.magic != MAGIC || preamble.version != PROTOCOL_VERSION {
        return Err(FrameError::ProtocolMismatch);
    }
    Ok(preamble)
}
