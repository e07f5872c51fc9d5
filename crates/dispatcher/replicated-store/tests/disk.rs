//! What lies on the disk: power lost at any byte, any bit flipped, another's disk.

use sagetrail_raft::{DiskRecord, DiskWatermark, Entry, EntryPayload, LogPosition};
use sagetrail_replicated_store::{begin, open, record, Held};

fn recs() -> Vec<DiskRecord> {
    let first = Entry::after(&LogPosition::default(), 1, EntryPayload::Noop);
    let second = Entry::after(
        &first.position,
        2,
        EntryPayload::Command(b"a word of some length".to_vec()),
    );
    vec![
        DiskRecord::Term {
            term: 2,
            vote: Some(7),
        },
        DiskRecord::Entry(first),
        DiskRecord::Entry(second),
        DiskRecord::Truncate { from: 2 },
        DiskRecord::Watermarks(vec![
            DiskWatermark {
                disk: 1,
                records_written: 2,
            },
            DiskWatermark {
                disk: 3,
                records_written: 4,
            },
        ]),
    ]
}

fn file() -> (Vec<u8>, Vec<usize>) {
    let mut bytes = begin(1, 2, 3, 10);
    let mut ends = vec![bytes.len()];
    for rec in recs() {
        bytes.extend(record(&rec));
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn power_lost_at_any_byte_leaves_what_was_promised() {
    let (bytes, ends) = file();
    for cut in 0..=bytes.len() {
        let whole = ends.iter().filter(|end| **end <= cut).count();
        match open(&bytes[..cut], 1, 2) {
            Held::Blank => assert_eq!(whole, 0, "{cut}"),
            Held::Whole {
                disk,
                recs: held,
                written,
                upto,
            } => {
                assert_eq!(
                    (disk, written, upto),
                    (3, 10 + whole as u64 - 1, ends[whole - 1]),
                    "{cut}"
                );
                assert_eq!(held, recs()[..whole - 1], "{cut}");
            }
            other => panic!("cut at {cut}: {other:?}"),
        }
        // A file that had grown before its bytes were there ends with zeros.
        let mut holes = bytes[..cut].to_vec();
        holes.resize(bytes.len().max(cut), 0);
        if let Held::Whole { recs: held, .. } = open(&holes, 1, 2) {
            assert_eq!(held, recs()[..held.len()], "{cut}");
        }
    }
}

#[test]
fn a_flipped_bit_is_found_wherever_it_is() {
    let (bytes, _) = file();
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1 << bit;
            let held = open(&flipped, 1, 2);
            // In the numbers of the head its own sum tells; everywhere else a record's. None is taken for whole.
            assert!(
                matches!(held, Held::Damaged(_)),
                "byte {at} bit {bit}: {held:?}"
            );
        }
    }
}

#[test]
fn another_fleets_or_members_disk_is_told_apart() {
    let (bytes, _) = file();
    assert!(matches!(open(&bytes, 9, 2), Held::Foreign(_)));
    assert!(matches!(open(&bytes, 1, 9), Held::Foreign(_)));
    assert_eq!(open(&[], 1, 2), Held::Blank);
}
