//! The format of the log on disk, the journal: a header, then records. A record has its length, the complement of the
//! length, a checksum, its body and an end mark.
//!
//! ```text
//!   header: magic 8 | fleet 4 | member 8 | disk 8 | records before 8 | crc32 4
//!   record: length 4 | !length 4 | crc32 4 | body | end mark 4         (little endian, sizes in bytes)
//! ```
//!
//! A record without its end mark is a torn write. It was never acknowledged, and is cut off. A complete record with a
//! wrong checksum was altered on the disk, and the journal must not be used to vote. This module performs no I/O: the
//! host writes and syncs the bytes.

use sagetrail_raft::DiskRecord;

use crate::error::{RecordDamage, StoreError};

const MAGIC: &[u8; 8] = b"SGTRJ\x00\x01\n";
const HEADER_BYTES: usize = 8 + 4 + 8 + 8 + 8 + 4;
const CHECKSUM_BYTES: usize = 4;
const END_MARK: [u8; 4] = [0xA5, b'E', b'N', b'D'];
/// Size of the length, its complement and the checksum, bytes.
const PREFIX_BYTES: usize = 12;

/// Offsets of the fields in the header, bytes.
const FLEET_OFFSET: usize = 8;
const MEMBER_OFFSET: usize = 12;
const DISK_OFFSET: usize = 20;
const WRITTEN_OFFSET: usize = 28;

/// The content of a journal.
#[derive(Clone, Debug, PartialEq)]
pub struct Journal {
    /// Identifier of the disk.
    pub disk: u64,
    /// The records, in order.
    pub records: Vec<DiskRecord>,
    /// Number of records written to the disk since it was blank, including `records`.
    pub records_written: u64,
    /// Length of the valid part, bytes. The bytes after it were never acknowledged and must be cut off.
    pub valid_bytes: usize,
}

/// Encodes the header of a journal. `fleet` is a checksum of the fleet's name; `records_written` is the number of
/// records that were written to the disk before the records of this journal.
pub fn encode_header(fleet: u32, member: u64, disk: u64, records_written: u64) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend(fleet.to_le_bytes());
    header.extend(member.to_le_bytes());
    header.extend(disk.to_le_bytes());
    header.extend(records_written.to_le_bytes());
    let checksum = crc32fast::hash(&header);
    header.extend(checksum.to_le_bytes());
    header
}

/// Encodes a record of the journal.
pub fn encode_record(record: &DiskRecord) -> Vec<u8> {
    // Serializing to a vector fails only for sequences of unknown length, and a record contains none.
    let body = postcard::to_allocvec(record).unwrap_or_default();
    let length = body.len() as u32;
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + body.len() + END_MARK.len());
    bytes.extend(length.to_le_bytes());
    bytes.extend((!length).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes.extend(END_MARK);
    bytes
}

/// Decodes a journal of this fleet and member. Returns `None` if the disk is blank: it holds less than a header, and
/// the header is synced before anything else is written.
///
/// # Errors
///
/// [`StoreError::OtherFleet`] or [`StoreError::OtherMember`] if the journal is not this member's;
/// [`StoreError::DamagedHeader`] or [`StoreError::DamagedRecord`] if the journal was altered after it was written.
pub fn decode_journal(
    bytes: &[u8],
    fleet: u32,
    member: u64,
) -> Result<Option<Journal>, StoreError> {
    if bytes.len() < HEADER_BYTES {
        return Ok(None);
    }
    check_header(bytes, fleet, member)?;
    let mut records = Vec::new();
    let mut offset = HEADER_BYTES;
    while let Some(frame) = next_frame(&bytes[offset..], offset)? {
        records.push(frame.decode(offset)?);
        offset += frame.total_bytes();
    }
    Ok(Some(Journal {
        disk: read_u64(bytes, DISK_OFFSET),
        records_written: read_u64(bytes, WRITTEN_OFFSET) + records.len() as u64,
        records,
        valid_bytes: offset,
    }))
}

fn check_header(bytes: &[u8], fleet: u32, member: u64) -> Result<(), StoreError> {
    let content = &bytes[..HEADER_BYTES - CHECKSUM_BYTES];
    let checksum = read_u32(bytes, HEADER_BYTES - CHECKSUM_BYTES);
    if !content.starts_with(MAGIC) || crc32fast::hash(content) != checksum {
        return Err(StoreError::DamagedHeader);
    }
    if read_u32(bytes, FLEET_OFFSET) != fleet {
        return Err(StoreError::OtherFleet);
    }
    if read_u64(bytes, MEMBER_OFFSET) != member {
        return Err(StoreError::OtherMember);
    }
    Ok(())
}

/// A complete record that is not decoded yet.
struct RecordFrame<'a> {
    body: &'a [u8],
    checksum: u32,
}

impl RecordFrame<'_> {
    fn total_bytes(&self) -> usize {
        PREFIX_BYTES + self.body.len() + END_MARK.len()
    }

    fn decode(&self, offset: usize) -> Result<DiskRecord, StoreError> {
        if crc32fast::hash(self.body) != self.checksum {
            return Err(damaged(offset, RecordDamage::Checksum));
        }
        match postcard::take_from_bytes(self.body) {
            Ok((record, [])) => Ok(record),
            _ => Err(damaged(offset, RecordDamage::Content)),
        }
    }
}

/// Returns the record at the start of `rest`, which begins at `offset` in the journal. `None` if `rest` is empty or a
/// torn write.
fn next_frame(rest: &[u8], offset: usize) -> Result<Option<RecordFrame<'_>>, StoreError> {
    if rest.len() < PREFIX_BYTES {
        return Ok(None);
    }
    let length = read_u32(rest, 0);
    if length != !read_u32(rest, 4) {
        // A file ends with zeros if its size grew before its bytes were written.
        let is_unwritten = rest.iter().all(|byte| *byte == 0);
        return match is_unwritten {
            true => Ok(None),
            false => Err(damaged(offset, RecordDamage::Length)),
        };
    }
    let body_end = PREFIX_BYTES + length as usize;
    let record_end = body_end + END_MARK.len();
    if rest.len() < record_end {
        return Ok(None);
    }
    let end: [u8; 4] = read_bytes(rest, body_end);
    if end != END_MARK {
        // A torn write leaves zeros at the end of the file. Any other content was altered after it was written.
        let is_interrupted = end == [0; 4] && rest.len() == record_end;
        return match is_interrupted {
            true => Ok(None),
            false => Err(damaged(offset, RecordDamage::EndMark)),
        };
    }
    Ok(Some(RecordFrame {
        body: &rest[PREFIX_BYTES..body_end],
        checksum: read_u32(rest, 8),
    }))
}

fn damaged(offset: usize, damage: RecordDamage) -> StoreError {
    StoreError::DamagedRecord { offset, damage }
}

fn read_bytes<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    bytes[offset..offset + N].try_into().unwrap_or([0; N])
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(read_bytes(bytes, offset))
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(read_bytes(bytes, offset))
}
