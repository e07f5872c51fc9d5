//! The watermarks of members' disks that this member knows.

use std::collections::BTreeMap;

use crate::disk_record::DiskWatermark;

/// The highest number of records that each disk is known to have held.
///
/// Watermarks never decrease. Each raised watermark is stored on this member's disk together with the next other record
/// that is written, so that it survives a restart without an additional sync.
#[derive(Clone, Debug, Default)]
pub(super) struct DiskWatermarks {
    /// The highest known number of records, by the identifier of the disk.
    known: BTreeMap<u64, u64>,
    /// The part of `known` that is not on this member's disk yet.
    unsaved: BTreeMap<u64, u64>,
}

impl DiskWatermarks {
    /// Raises a disk's watermark if the given one is higher.
    pub(super) fn raise(&mut self, watermark: DiskWatermark) {
        let highest = self.known.entry(watermark.disk).or_default();
        if watermark.records_written > *highest {
            *highest = watermark.records_written;
            self.unsaved
                .insert(watermark.disk, watermark.records_written);
        }
    }

    /// Raises the watermarks of several disks.
    pub(super) fn raise_all(&mut self, watermarks: Vec<DiskWatermark>) {
        for watermark in watermarks {
            self.raise(watermark);
        }
    }

    /// The highest known number of records of a disk; 0 for an unknown disk.
    pub(super) fn of(&self, disk: u64) -> u64 {
        self.known.get(&disk).copied().unwrap_or(0)
    }

    /// All known watermarks whose disk satisfies a condition, in ascending order of the disks' identifiers.
    pub(super) fn filter(&self, includes: impl Fn(u64) -> bool) -> Vec<DiskWatermark> {
        let known = self.known.iter().filter(|(disk, _)| includes(**disk));
        known.map(watermark).collect()
    }

    /// Returns the watermarks that are not on this member's disk yet, and marks them as saved.
    pub(super) fn take_unsaved(&mut self) -> Vec<DiskWatermark> {
        let unsaved = std::mem::take(&mut self.unsaved);
        unsaved.iter().map(watermark).collect()
    }

    /// Marks all known watermarks as saved on this member's disk.
    pub(super) fn mark_saved(&mut self) {
        self.unsaved.clear();
    }
}

fn watermark((&disk, &records_written): (&u64, &u64)) -> DiskWatermark {
    DiskWatermark {
        disk,
        records_written,
    }
}
