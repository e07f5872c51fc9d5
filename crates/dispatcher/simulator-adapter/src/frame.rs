//! The simulator's frames: batches in, replies out.

use std::io::{self, Read, Write};

pub(crate) const RECORD: usize = 48;
pub(crate) const ENTRY: usize = 24;
const ACTION: usize = 24;

/// The little-endian field of `N` bytes at an offset. Offsets are the wire page's and lie within a record.
fn bytes<const N: usize>(from: &[u8], at: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&from[at..at + N]);
    field
}

/// One event record or list entry.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    pub(crate) fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    pub(crate) fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(bytes(self.0, at))
    }
    pub(crate) fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(bytes(self.0, at))
    }
    pub(crate) fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(bytes(self.0, at))
    }
    pub(crate) fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(bytes(self.0, at))
    }
    pub(crate) fn address(&self, at: usize) -> [u8; 6] {
        bytes(self.0, at)
    }
}

/// A batch as read, its buffer used again for the next.
#[derive(Default)]
pub(crate) struct Batch {
    body: Vec<u8>,
    records: usize,
    pub clock_us: u64,
}

impl Batch {
    /// Reads the next batch; `false` at the end of input on a frame's boundary.
    pub(crate) fn read(&mut self, from: &mut impl Read) -> Result<bool, String> {
        let mut header = Vec::with_capacity(16);
        from.by_ref()
            .take(16)
            .read_to_end(&mut header)
            .map_err(|e| format!("reading: {e}"))?;
        if header.is_empty() {
            return Ok(false);
        }
        if header.len() < 16 {
            return Err(format!(
                "input ends {} bytes into a batch's header",
                header.len()
            ));
        }
        let header = Fields(&header);
        let (records, length) = (header.u32(0) as usize, header.u32(4) as usize);
        if records.checked_mul(RECORD).is_none_or(|size| size > length) {
            return Err(format!(
                "a batch of {length} bytes cannot hold {records} records"
            ));
        }
        self.body.clear();
        from.by_ref()
            .take(length as u64)
            .read_to_end(&mut self.body)
            .map_err(|e| format!("reading: {e}"))?;
        if self.body.len() < length {
            return Err(format!(
                "input ends {} bytes into a batch of {length}",
                self.body.len()
            ));
        }
        (self.records, self.clock_us) = (records, header.u64(8));
        Ok(true)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = Fields<'_>> {
        self.body[..self.records * RECORD]
            .chunks_exact(RECORD)
            .map(Fields)
    }

    /// What a tail reference at `at` of a record points to, `size` bytes for each one counted.
    pub(crate) fn tail(&self, record: Fields, at: usize, size: usize) -> Result<&[u8], String> {
        let (offset, count) = (record.u32(at) as usize, record.u32(at + 4) as usize);
        let tail = &self.body[self.records * RECORD..];
        let end = count
            .checked_mul(size)
            .and_then(|length| length.checked_add(offset));
        end.and_then(|end| tail.get(offset..end)).ok_or_else(|| {
            format!(
                "code {}: {count} at {offset} overruns a tail of {} bytes",
                record.u8(0),
                tail.len()
            )
        })
    }
}

/// A reply in the making.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends one action: its code, the instance, then its further fields one after another.
    pub(crate) fn act(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
    }

    /// Puts a text into the tail; the reference to it.
    pub(crate) fn text(&mut self, text: &[u8]) -> [u8; 8] {
        let mut place = [0; 8];
        place[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        place[4..].copy_from_slice(&(text.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(text);
        place
    }

    pub(crate) fn write(&mut self, to: &mut impl Write) -> io::Result<()> {
        let count = (self.records.len() / ACTION) as u32;
        let length = (self.records.len() + self.tail.len()) as u32;
        to.write_all(&length.to_le_bytes())?;
        to.write_all(&count.to_le_bytes())?;
        to.write_all(&self.records)?;
        to.write_all(&self.tail)?;
        self.records.clear();
        self.tail.clear();
        to.flush()
    }
}
