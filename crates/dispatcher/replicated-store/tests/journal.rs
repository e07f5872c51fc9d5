//! Guards against the use of a damaged journal: one that a power failure cut off at any byte, one with any bit flipped,
//! and one of another fleet or member.

use sagetrail_raft::{DiskRecord, DiskWatermark, Entry, EntryPayload, LogPosition};
use sagetrail_replicated_store::{
    decode_journal, encode_header, encode_record, Journal, StoreError,
};

fn records() -> Vec<DiskRecord> {
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

fn journal_file() -> (Vec<u8>, Vec<usize>) {
    let mut bytes = encode_header(1, 2, 3, 10);
    let mut ends = vec![bytes.len()];
    for record in records() {
        bytes.extend(encode_record(&record));
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn a_journal_cut_at_any_byte_keeps_its_complete_records() {
    let (bytes, ends) = journal_file();
    for cut in 0..=bytes.len() {
        let complete = ends.iter().filter(|end| **end <= cut).count();
        match decode_journal(&bytes[..cut], 1, 2) {
            Ok(None) => assert_eq!(complete, 0, "{cut}"),
            Ok(Some(journal)) => {
                let expected = Journal {
                    disk: 3,
                    records: records()[..complete - 1].to_vec(),
                    records_written: 10 + complete as u64 - 1,
                    valid_bytes: ends[complete - 1],
                };
                assert_eq!(journal, expected, "{cut}");
            }
            Err(error) => panic!("cut at {cut}: {error}"),
        }
        // A file ends with zeros if its size grew before its bytes were written.
        let mut zero_filled = bytes[..cut].to_vec();
        zero_filled.resize(bytes.len().max(cut), 0);
        if let Ok(Some(journal)) = decode_journal(&zero_filled, 1, 2) {
            let kept_records = journal.records;
            assert_eq!(kept_records, records()[..kept_records.len()], "{cut}");
        }
    }
}

#[test]
fn a_flipped_bit_is_detected_at_any_place() {
    let (bytes, _) = journal_file();
    for offset in 0..bytes.len() {
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[offset] ^= 1 << bit;
            let decoded = decode_journal(&flipped, 1, 2);
            // The header and each record have their own checksums.
            assert!(
                matches!(
                    decoded,
                    Err(StoreError::DamagedHeader | StoreError::DamagedRecord { .. })
                ),
                "byte {offset} bit {bit}: {decoded:?}"
            );
        }
    }
}

#[test]
fn a_journal_of_another_fleet_or_member_is_rejected() {
    let (bytes, _) = journal_file();
    assert_eq!(decode_journal(&bytes, 9, 2), Err(StoreError::OtherFleet));
    assert_eq!(decode_journal(&bytes, 1, 9), Err(StoreError::OtherMember));
    assert_eq!(decode_journal(&[], 1, 2), Ok(None));
}
