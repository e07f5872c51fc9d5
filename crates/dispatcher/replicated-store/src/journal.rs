//! How what was promised lies on the disk: a head, then records, each with its length twice, a checksum and an end
//! mark. A record without its end mark was never promised and is cut; one with it and a wrong sum is a fault of the
//! disk, and the copy promises nothing any more. No I/O here: the host writes these bytes and makes them last.

use sagetrail_raft::DiskRecord;

const MAGIC: &[u8; 8] = b"SGTRJ\x00\x01\n";
const HEAD: usize = 8 + 4 + 8 + 8 + 8 + 4;
const END: [u8; 4] = [0xA5, b'E', b'N', b'D'];
/// Before and after a record's body.
const BEFORE: usize = 12;

/// What a disk holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Held {
    /// Nothing, or less than a head: nothing was promised on it.
    Blank,
    /// Another fleet's, or another member's.
    Foreign(&'static str),
    /// A fault inside: kept for study, and never voted with.
    Damaged(String),
    Whole {
        disk: u64,
        recs: Vec<DiskRecord>,
        /// All records ever, these included.
        written: u64,
        /// Up to here the bytes are good; what stands behind was never promised.
        upto: usize,
    },
}

/// The head of a file of this fleet (a checksum of its name) and member; `written`: records ever before it.
pub fn begin(fleet: u32, me: u64, disk: u64, written: u64) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.extend(fleet.to_le_bytes());
    [me, disk, written]
        .iter()
        .for_each(|number| head.extend(number.to_le_bytes()));
    let sum = crc32fast::hash(&head);
    head.extend(sum.to_le_bytes());
    head
}

pub fn record(rec: &DiskRecord) -> Vec<u8> {
    // Writing to a vector fails only on types without a known length, and none is here.
    let body = postcard::to_allocvec(rec).unwrap_or_default();
    let length = body.len() as u32;
    let mut bytes = Vec::with_capacity(BEFORE + body.len() + END.len());
    bytes.extend(length.to_le_bytes());
    bytes.extend((!length).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes.extend(END);
    bytes
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    bytes[at..at + N].try_into().unwrap_or([0; N])
}

pub fn open(bytes: &[u8], fleet: u32, me: u64) -> Held {
    // The head is made to last before anything else is written: less of it is the same as none.
    if bytes.len() < HEAD {
        return Held::Blank;
    }
    let sum = u32::from_le_bytes(number(bytes, HEAD - 4));
    if &bytes[..8] != MAGIC || crc32fast::hash(&bytes[..HEAD - 4]) != sum {
        return Held::Damaged("its head is not whole".to_string());
    }
    if u32::from_le_bytes(number(bytes, 8)) != fleet {
        return Held::Foreign("it is of another fleet");
    }
    if u64::from_le_bytes(number(bytes, 12)) != me {
        return Held::Foreign("it is another member's");
    }
    let (disk, before) = (
        u64::from_le_bytes(number(bytes, 20)),
        u64::from_le_bytes(number(bytes, 28)),
    );
    let (mut recs, mut at) = (Vec::new(), HEAD);
    let damaged = |at: usize, why: &str| Held::Damaged(format!("at byte {at}: {why}"));
    let zeros = |bytes: &[u8]| bytes.iter().all(|byte| *byte == 0);
    loop {
        let rest = &bytes[at..];
        if rest.len() < BEFORE {
            break;
        }
        let length = u32::from_le_bytes(number(rest, 0));
        if length != !u32::from_le_bytes(number(rest, 4)) {
            if zeros(rest) {
                break;
            }
            return damaged(at, "a length that was never written");
        }
        let (from, to) = (BEFORE, BEFORE + length as usize);
        if rest.len() < to + END.len() {
            break;
        }
        let end: [u8; 4] = number(rest, to);
        if end != END {
            // A write that was cut short leaves holes of zeros; anything else was changed since.
            if end == [0; 4] && rest.len() == to + END.len() {
                break;
            }
            return damaged(at, "a record without its end");
        }
        let body = &rest[from..to];
        if crc32fast::hash(body) != u32::from_le_bytes(number(rest, 8)) {
            return damaged(at, "a record's sum is wrong");
        }
        match postcard::take_from_bytes(body) {
            Ok((rec, [])) => recs.push(rec),
            _ => return damaged(at, "a record that cannot be read"),
        }
        at += to + END.len();
    }
    Held::Whole {
        disk,
        written: before + recs.len() as u64,
        recs,
        upto: at,
    }
}
