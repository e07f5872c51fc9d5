//! The watermarks of members' disks, as far as this member knows them.

use std::collections::BTreeMap;

use crate::disk_record::DiskWatermark;

/// The highest number of records that each disk is known to have held.
///
/// Watermarks never decrease. Each is stored on this member's disk along with the next record that is written anyway,
/// so that it survives a restart without a sync of its own.
#[derive(Clone, Debug, Default)]
pub(super) struct DiskWatermarks {
    /// By disk, the highest known number of records.
    known: BTreeMap<u64, u64>,
    /// The part of `known` that is not on this member's disk yet.
    unsaved: BTreeMap<u64, u64>,
}

impl DiskWatermarks {
    /// Raises a disk's watermark, if this one is higher.
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

    /// The highest known number of records of a disk; 0 for an unknown one.
    pub(super) fn of(&self, disk: u64) -> u64 {
        self.known.get(&disk).copied().unwrap_or(0)
    }

    /// All known watermarks that satisfy a condition on the disk, in order of the disks.
    pub(super) fn filter(&self, includes: impl Fn(u64) -> bool) -> Vec<DiskWatermark> {
        let known = self.known.iter().filter(|(disk, _)| includes(**disk));
        known.map(watermark).collect()
    }

    /// The watermarks that are not on this member's disk yet; they count as saved from now on.
    pub(super) fn take_unsaved(&mut self) -> Vec<DiskWatermark> {
        let unsaved = std::mem::take(&mut self.unsaved);
        unsaved.iter().map(watermark).collect()
    }

    /// All known watermarks are on this member's disk.
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
