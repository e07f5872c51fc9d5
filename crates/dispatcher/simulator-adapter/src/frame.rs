//! Frames of the simulator's binary protocol: it sends batches of events, and gets a reply with actions to each batch.
//! All numbers are little-endian.

use std::io::{self, Read, Write};

/// Length of an event record in bytes.
pub(crate) const RECORD_LEN: usize = 48;
/// Length of a roster entry in bytes.
pub(crate) const ENTRY_LEN: usize = 24;
/// Length of an action record in bytes.
const ACTION_LEN: usize = 24;

/// The field of `N` bytes at an offset. All offsets are fixed by the protocol and lie within a record.
fn bytes<const N: usize>(from: &[u8], at: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&from[at..at + N]);
    field
}

/// One event record or roster entry.
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

/// A batch of events. Its buffer is reused for the next batch.
#[derive(Default)]
pub(crate) struct Batch {
    /// The event records and the tail, to which records refer for data of variable length.
    body: Vec<u8>,
    record_count: usize,
    /// Time of the batch on the simulator's clock, in microseconds.
    pub clock_us: u64,
}

impl Batch {
    /// Reads the next batch. Returns false if the input ends between two batches.
    ///
    /// # Errors
    ///
    /// Says why the batch cannot be read, or where in it the input ends.
    pub(crate) fn read(&mut self, from: &mut impl Read) -> Result<bool, String> {
        let mut header = Vec::with_capacity(16);
        from.by_ref()
            .take(16)
            .read_to_end(&mut header)
            .map_err(|error| format!("reading a batch: {error}"))?;
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
        let (record_count, length) = (header.u32(0) as usize, header.u32(4) as usize);
        if record_count
            .checked_mul(RECORD_LEN)
            .is_none_or(|size| size > length)
        {
            return Err(format!(
                "a batch of {length} bytes cannot hold {record_count} records"
            ));
        }
        self.body.clear();
        from.by_ref()
            .take(length as u64)
            .read_to_end(&mut self.body)
            .map_err(|error| format!("reading a batch: {error}"))?;
        if self.body.len() < length {
            return Err(format!(
                "input ends {} bytes into a batch of {length}",
                self.body.len()
            ));
        }
        (self.record_count, self.clock_us) = (record_count, header.u64(8));
        Ok(true)
    }

    /// The event records in their order.
    pub(crate) fn records(&self) -> impl Iterator<Item = Fields<'_>> {
        self.body[..self.record_count * RECORD_LEN]
            .chunks_exact(RECORD_LEN)
            .map(Fields)
    }

    /// The bytes to which the tail reference at offset `at` of a record points. The reference counts items of `size`
    /// bytes.
    ///
    /// # Errors
    ///
    /// The reference overruns the tail.
    pub(crate) fn tail(&self, record: Fields, at: usize, size: usize) -> Result<&[u8], String> {
        let (offset, count) = (record.u32(at) as usize, record.u32(at + 4) as usize);
        let tail = &self.body[self.record_count * RECORD_LEN..];
        let end = count
            .checked_mul(size)
            .and_then(|length| length.checked_add(offset));
        end.and_then(|end| tail.get(offset..end)).ok_or_else(|| {
            format!(
                "event code {}: a reference to {count} items of {size} bytes at offset {offset} \
                 overruns a tail of {} bytes",
                record.u8(0),
                tail.len()
            )
        })
    }
}

/// A reply that is being composed.
#[derive(Default)]
pub(crate) struct Reply {
    actions: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action: its code, the number of the instance, and its other fields one after another.
    pub(crate) fn push_action(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let end = self.actions.len() + ACTION_LEN;
        self.actions.push(code);
        self.actions.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            self.actions.extend_from_slice(field);
        }
        self.actions.resize(end, 0);
    }

    /// Appends a text to the tail and returns the reference to it.
    pub(crate) fn push_text(&mut self, text: &[u8]) -> [u8; 8] {
        let mut reference = [0; 8];
        reference[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        reference[4..].copy_from_slice(&(text.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(text);
        reference
    }

    /// Writes the reply as a frame and clears it for the next batch.
    pub(crate) fn write(&mut self, to: &mut impl Write) -> io::Result<()> {
        let count = (self.actions.len() / ACTION_LEN) as u32;
        let length = (self.actions.len() + self.tail.len()) as u32;
        to.write_all(&length.to_le_bytes())?;
        to.write_all(&count.to_le_bytes())?;
        to.write_all(&self.actions)?;
        to.write_all(&self.tail)?;
        self.actions.clear();
        self.tail.clear();
        to.flush()
    }
}
