//! A follower's part of `AppendEntries`.

use super::Raft;
use crate::disk_record::DiskRecord;
use crate::entry::Entry;
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::message::{AppendEntries, AppendReply, MessageBody};

/// What came of entries that were to be appended.
enum AppendOutcome {
    /// The logs are the same up to here.
    Matched { index: u64 },
    /// The place previous the entries is not in this log; the leader is to try from here.
    Mismatch { hint: u64 },
}

impl Raft {
    /// Takes a leader's entries.
    ///
    /// # Errors
    ///
    /// `BrokenChain` for entries that no leader can have sent.
    pub(super) fn append_entries(
        &mut self,
        from: u64,
        request: AppendEntries,
    ) -> Result<(), RaftError> {
        let AppendEntries {
            previous,
            entries,
            leader_commit,
            round,
            watermarks,
        } = request;
        self.note_watermarks(watermarks);
        if !is_chain(previous, &entries) {
            return Err(RaftError::BrokenChain {
                previous_index: previous.index,
            });
        }
        match self.merge(previous, entries, leader_commit) {
            Ok(outcome) => self.reply_append(from, outcome, round),
            Err(fault) => self.fault = Some(fault),
        }
        Ok(())
    }

    /// One that is not sure of its disk promises nothing.
    fn reply_append(&mut self, to: u64, outcome: AppendOutcome, round: u64) {
        if self.rollback_check.is_some() {
            return;
        }
        let reply = match outcome {
            AppendOutcome::Matched { index } => AppendReply {
                success: true,
                index,
                round,
            },
            AppendOutcome::Mismatch { hint } => AppendReply {
                success: false,
                index: hint,
                round,
            },
        };
        self.send(to, MessageBody::AppendReply(reply));
    }

    fn merge(
        &mut self,
        previous: LogPosition,
        entries: Vec<Entry>,
        leader_commit: u64,
    ) -> Result<AppendOutcome, RaftError> {
        let base = self.log.snapshot_position();
        let (previous, entries) = match previous.index < base.index {
            false => (previous, entries),
            true => match entries_after_snapshot(base, entries)? {
                Some(rest) => (base, rest),
                None => return Ok(AppendOutcome::Matched { index: base.index }),
            },
        };
        if let Some(hint) = self.mismatch(previous)? {
            return Ok(AppendOutcome::Mismatch { hint });
        }
        let index = entries
            .last()
            .map_or(previous.index, |entry| entry.position.index);
        for entry in entries {
            self.merge_entry(entry)?;
        }
        self.commit_index = self.commit_index.max(leader_commit.min(index));
        self.leader_commit = self.leader_commit.max(leader_commit);
        Ok(AppendOutcome::Matched { index })
    }

    /// Where the leader is to try next, if this log does not have the place before its entries.
    fn mismatch(&self, previous: LogPosition) -> Result<Option<u64>, RaftError> {
        match self.log.position_at(previous.index) {
            Some(position) if position == previous => Ok(None),
            Some(position)
                if position.term == previous.term || previous.index <= self.commit_index =>
            {
                Err(RaftError::LogDiverged {
                    index: previous.index,
                })
            }
            _ => {
                let hint = self
                    .log
                    .last_position()
                    .index
                    .min(previous.index.saturating_sub(1));
                Ok(Some(hint.max(self.commit_index)))
            }
        }
    }

    /// Appends an entry, in place of one of an earlier term that was never committed.
    fn merge_entry(&mut self, entry: Entry) -> Result<(), RaftError> {
        match self.log.position_at(entry.position.index) {
            Some(position) if position == entry.position => return Ok(()),
            Some(position)
                if position.term == entry.position.term || position.index <= self.commit_index =>
            {
                return Err(RaftError::LogDiverged {
                    index: position.index,
                });
            }
            Some(position) => self.truncate(position.index),
            None => {}
        }
        self.push(entry);
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        self.log.truncate(from);
        self.persisted_index = self.persisted_index.min(from - 1);
        self.write(DiskRecord::Truncate { from });
    }
}

/// Each entry follows the one before it.
fn is_chain(previous: LogPosition, entries: &[Entry]) -> bool {
    let mut previous = previous;
    for entry in entries {
        if !entry.follows(&previous) {
            return false;
        }
        previous = entry.position;
    }
    true
}

/// The entries behind the snapshot's place; `None` if they do not reach it. What the snapshot holds was agreed: only
/// what stands behind it matters.
fn entries_after_snapshot(
    base: LogPosition,
    entries: Vec<Entry>,
) -> Result<Option<Vec<Entry>>, RaftError> {
    match entries
        .iter()
        .find(|entry| entry.position.index == base.index)
    {
        Some(entry) if entry.position != base => Err(RaftError::LogDiverged { index: base.index }),
        Some(_) => Ok(Some(
            entries
                .into_iter()
                .filter(|entry| entry.position.index > base.index)
                .collect(),
        )),
        None => Ok(None),
    }
}
