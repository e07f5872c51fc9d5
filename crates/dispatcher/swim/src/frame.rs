//! Frames between members: version, fleet, envelope, body, checksum.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The first byte of a frame. Frames of another version are rejected.
pub const VERSION: u8 = 1;
/// The longest datagram, in bytes: 1,500, which any link carries unfragmented, less the headers of IPv6 and UDP and
/// some for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The longest frame of a full state exchange, in bytes: hundreds of members' reports on hundreds of runners.
pub const MAX_SYNC_BYTES: usize = 4 << 20;

/// Why a frame is rejected. `Display` is the spelling in log lines and on the operators' pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum FrameError {
    /// Longer than allowed on the way that it came.
    #[error("too long")]
    TooLong,
    /// Shorter than a frame's fixed parts.
    #[error("cut off")]
    Truncated,
    /// The checksum does not match the content.
    #[error("checksum")]
    ChecksumMismatch,
    /// A frame of another version.
    #[error("another version")]
    UnsupportedVersion,
    /// A frame of another fleet.
    #[error("another fleet")]
    OtherFleet,
    /// From a member that is not in the roster, or from this member itself.
    #[error("a stranger")]
    UnknownSender,
    /// The body does not decode.
    #[error("unreadable")]
    Malformed,
    /// A value that no member can have sent.
    #[error("an impossible figure")]
    InvalidValue,
}

/// The sender of a frame. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's number, a hash of its name.
    pub sender: u64,
    /// Drawn at random by each process: tells it from earlier processes of the same name.
    pub process: u64,
    /// The sender's own incarnation.
    pub incarnation: u64,
    /// Counts the sender's frames.
    pub sequence: u64,
}

/// Encodes and decodes frames of one fleet.
#[derive(Clone)]
pub struct Codec {
    fleet: u32,
    version: u8,
}

impl Codec {
    /// For membership and shared state. The fleet's name stands in frames as a checksum: enough to tell apart fleets
    /// that should not meet, and no secret.
    #[must_use]
    pub fn new(fleet: &str) -> Codec {
        Codec::with_version(fleet, VERSION)
    }

    /// For another protocol on the same links, which its version tells apart.
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
        // Writing to a vector fails only on types without a known length, and there is none here.
        frame.extend(postcard::to_allocvec(&(envelope, body)).unwrap_or_default());
        let checksum = crc32fast::hash(&frame);
        frame.extend_from_slice(&checksum.to_le_bytes());
        frame
    }

    /// Decodes a frame of at most `max_bytes`. The checksum is checked before fleet and version, so that a flipped
    /// bit is reported as that.
    ///
    /// # Errors
    ///
    /// All of [`FrameError`] but `UnknownSender` and `InvalidValue`, which depend on the roster and the body.
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
