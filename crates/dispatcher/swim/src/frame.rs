//! Frames between members: an envelope that says fleet, version and sender, a body, a checksum over all of it.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Frames of another version are passed over, and counted.
pub const VERSION: u8 = 1;
/// Under what any link carries unbroken: 1,500 bytes less the headers of IPv6 and UDP, and some for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// A whole exchange: hundreds of members' reports on hundreds of runners.
pub const MAX_SYNC_BYTES: usize = 4 << 20;

/// Why a frame is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameError {
    TooLong,
    Truncated,
    ChecksumMismatch,
    UnsupportedVersion,
    OtherFleet,
    /// From a name that is not in the roster, or from this member's own.
    UnknownSender,
    Malformed,
    /// A figure that no member can have.
    InvalidValue,
}

impl FrameError {
    pub fn as_str(self) -> &'static str {
        match self {
            FrameError::TooLong => "too long",
            FrameError::Truncated => "cut off",
            FrameError::ChecksumMismatch => "checksum",
            FrameError::UnsupportedVersion => "another version",
            FrameError::OtherFleet => "another fleet",
            FrameError::UnknownSender => "a stranger",
            FrameError::Malformed => "unreadable",
            FrameError::InvalidValue => "an impossible figure",
        }
    }
}

/// Who sends. `process` is drawn anew by each process: what an earlier process under the same name was lent is not
/// this one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's number, a hash of its name.
    pub sender: u64,
    pub process: u64,
    pub incarnation: u64,
    /// Counts the sender's frames up.
    pub sequence: u64,
}

/// Writes and reads frames of one fleet.
#[derive(Clone)]
pub struct Codec {
    fleet: u32,
    version: u8,
}

impl Codec {
    /// The fleet goes over the links as a checksum of its name: enough to tell fleets apart that should not meet,
    /// and no secret.
    pub fn new(fleet: &str) -> Codec {
        Codec::with_version(fleet, VERSION)
    }

    /// Frames of another kind on the same links: told apart by their first byte.
    pub fn with_version(fleet: &str, version: u8) -> Codec {
        Codec {
            fleet: crc32fast::hash(fleet.as_bytes()),
            version,
        }
    }

    /// version, fleet, envelope, body, checksum.
    pub fn encode(&self, envelope: &Envelope, body: &impl Serialize) -> Vec<u8> {
        let mut frame = vec![self.version];
        frame.extend_from_slice(&self.fleet.to_le_bytes());
        // Writing to a vector fails only on types without a known length, and none is here.
        frame.extend(postcard::to_allocvec(&(envelope, body)).unwrap_or_default());
        let sum = crc32fast::hash(&frame);
        frame.extend_from_slice(&sum.to_le_bytes());
        frame
    }

    /// `max_bytes` is the longest that may come this way. The checksum goes before the fleet and the version, so that
    /// a flipped bit is called that.
    pub fn decode<B: DeserializeOwned>(
        &self,
        frame: &[u8],
        max_bytes: usize,
    ) -> Result<(Envelope, B), FrameError> {
        if frame.len() > max_bytes {
            return Err(FrameError::TooLong);
        }
        let Some((said, sum)) = frame.split_last_chunk::<4>() else {
            return Err(FrameError::Truncated);
        };
        let Some((head, rest)) = said.split_first_chunk::<5>() else {
            return Err(FrameError::Truncated);
        };
        if crc32fast::hash(said) != u32::from_le_bytes(*sum) {
            return Err(FrameError::ChecksumMismatch);
        }
        if head[0] != self.version {
            return Err(FrameError::UnsupportedVersion);
        }
        if head[1..] != self.fleet.to_le_bytes() {
            return Err(FrameError::OtherFleet);
        }
        match postcard::take_from_bytes(rest) {
            Ok((read, [])) => Ok(read),
            _ => Err(FrameError::Malformed),
        }
    }
}
