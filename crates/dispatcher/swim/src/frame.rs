//! Frames between members. A frame has a version, a fleet, an envelope, a body and a checksum.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the wire format, in the first byte of a frame. Frames of another version are rejected.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram in bytes: 1,500, which any link carries unfragmented, minus the headers of IPv6 and UDP
/// and a margin for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum size of a frame of a full state exchange in bytes: it fits reports of hundreds of members on hundreds of
/// runners.
pub const MAX_SYNC_BYTES: usize = 4 << 20;

/// Reason for which a frame is rejected. `Display` is the text in log lines and on the operators' pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than its transport, datagram or stream, allows.
    #[error("too long")]
    TooLong,
    /// The frame is shorter than the fixed parts of a frame.
    #[error("cut off")]
    Truncated,
    /// The checksum does not match the content.
    #[error("checksum")]
    ChecksumMismatch,
    /// The frame has another version.
    #[error("another version")]
    UnsupportedVersion,
    /// The frame is of another fleet.
    #[error("another fleet")]
    OtherFleet,
    /// The sender is not in the roster, or is this member itself.
    #[error("a stranger")]
    UnknownSender,
    /// The body does not decode.
    #[error("unreadable")]
    Malformed,
    /// The frame has a value that no member can have sent.
    #[error("an impossible figure")]
    InvalidValue,
}

/// Header that identifies the sender and the number of a frame. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Number of the sender, a hash of its name.
    pub sender: u64,
    /// Random number that distinguishes the process from earlier processes of the same name.
    pub process: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number of the frame, counted up by the sender.
    pub sequence: u64,
}

/// Encodes and decodes frames of one fleet.
#[derive(Clone)]
pub struct Codec {
    /// Checksum of the fleet's name.
    fleet: u32,
    version: u8,
}

impl Codec {
    /// Creates a codec for membership and shared state. Frames hold a checksum of the fleet's name, which suffices to
    /// distinguish fleets that are connected by mistake; it is no secret.
    #[must_use]
    pub fn new(fleet: &str) -> Codec {
        Codec::with_version(fleet, VERSION)
    }

    /// Creates a codec for another protocol on the same links, which is distinguished by its version.
    #[must_use]
    pub fn with_version(fleet: &str, version: u8) -> Codec {
        Codec {
            fleet: crc32fast::hash(fleet.as_bytes()),
            version,
        }
    }

    /// Encodes a frame.
    #[must_use]
    pub fn encode(&self, envelope: &Envelope, body: &impl Serialize) -> Vec<u8> {
        let mut frame = vec![self.version];
        frame.extend_from_slice(&self.fleet.to_le_bytes());
        // Encoding to a vector fails only for types without a known length, and no body has such a type.
        frame.extend(postcard::to_allocvec(&(envelope, body)).unwrap_or_default());
        let checksum = crc32fast::hash(&frame);
        frame.extend_from_slice(&checksum.to_le_bytes());
        frame
    }

    /// Decodes a frame of at most `max_bytes`. The checksum is checked before fleet and version, so that a flipped bit
    /// is reported as a checksum mismatch.
    ///
    /// # Errors
    ///
    /// Returns any [`FrameError`] except `UnknownSender` and `InvalidValue`, which depend on the roster and the body.
    pub fn decode<B: DeserializeOwned>(
        &self,
        frame: &[u8],
        max_bytes: usize,
    ) -> Result<(Envelope, B), FrameError> {
        if frame.len() > max_bytes {
            return Err(FrameError::TooLong);
        }
        let (content, checksum) = frame.split_last_chunk::<4>().ok_or(FrameError::Truncated)?;
        let (header, payload) = content
            .split_first_chunk::<5>()
            .ok_or(FrameError::Truncated)?;
        if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
            return Err(FrameError::ChecksumMismatch);
        }
        if header[0] != self.version {
            return Err(FrameError::UnsupportedVersion);
        }
        if header[1..] != self.fleet.to_le_bytes() {
            return Err(FrameError::OtherFleet);
        }
        match postcard::take_from_bytes(payload) {
            Ok((decoded, [])) => Ok(decoded),
            _ => Err(FrameError::Malformed),
        }
    }
}
