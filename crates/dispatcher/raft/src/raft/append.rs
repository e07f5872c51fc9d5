//! The follower's side of `AppendEntries` (Raft, 5.3).

use super::Raft;
use crate::disk_record::DiskRecord;
use crate::entry::Entry;
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::message::{AppendEntries, AppendReply, MessageBody};

/// The result of appending a leader's entries.
enum AppendOutcome {
    /// Both logs are equal up to this index.
    Matched { index: u64 },
    /// This log does not have the position before the entries. The leader should send the entries after the index
    /// `hint` instead.
    Mismatch { hint: u64 },
}

impl Raft {
    /// Processes `AppendEntries` of a leader. If the logs have diverged, the error is stored as this member's fault.
    ///
    /// # Errors
    ///
    /// [`RaftError::BrokenChain`] for entries that do not follow one another.
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
        self.watermarks.raise_all(watermarks);
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

    /// Replies to `AppendEntries`. A member whose disk may have been rolled back must not acknowledge anything.
    fn reply_append(&mut self, to: u64, outcome: AppendOutcome, round: u64) {
        if self.rollback_check.is_some() {
            return;
        }
        let (success, index) = match outcome {
            AppendOutcome::Matched { index } => (true, index),
            AppendOutcome::Mismatch { hint } => (false, hint),
        };
        let reply = AppendReply {
            success,
            index,
            round,
        };
        self.send(to, MessageBody::AppendReply(reply));
    }

    /// Makes the log equal to the leader's up to the last of the entries.
    ///
    /// # Errors
    ///
    /// [`RaftError::LogDiverged`] if that would replace a committed entry, or an entry of the same index and term.
    fn merge(
        &mut self,
        previous: LogPosition,
        entries: Vec<Entry>,
        leader_commit: u64,
    ) -> Result<AppendOutcome, RaftError> {
        let snapshot = self.log.snapshot_position();
        let (previous, entries) = match previous.index < snapshot.index {
            false => (previous, entries),
            true => match entries_after_snapshot(snapshot, entries)? {
                Some(rest) => (snapshot, rest),
                None => {
                    return Ok(AppendOutcome::Matched {
                        index: snapshot.index,
                    })
                }
            },
        };
        if let Some(hint) = self.mismatch_hint(previous)? {
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

    /// The index after which the leader should continue. `None` if this log has the position before its entries.
    fn mismatch_hint(&self, previous: LogPosition) -> Result<Option<u64>, RaftError> {
        let index = previous.index;
        match self.log.position_at(index) {
            Some(own) if own == previous => Ok(None),
            Some(own) if own.term == previous.term || index <= self.commit_index => {
                Err(RaftError::LogDiverged { index })
            }
            _ => {
                let last_index = self.log.last_position().index;
                let hint = last_index.min(index.saturating_sub(1));
                Ok(Some(hint.max(self.commit_index)))
            }
        }
    }

    /// Appends an entry unless the log holds it already. An uncommitted entry of another term at its index is removed
    /// first, together with all entries after that one.
    fn merge_entry(&mut self, entry: Entry) -> Result<(), RaftError> {
        let index = entry.position.index;
        match self.log.position_at(index) {
            Some(own) if own == entry.position => return Ok(()),
            Some(own) if own.term == entry.position.term || index <= self.commit_index => {
                return Err(RaftError::LogDiverged { index });
            }
            Some(_) => self.truncate(index),
            None => {}
        }
        self.append(entry);
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        self.log.truncate(from);
        self.persisted_index = self.persisted_index.min(from - 1);
        self.write(DiskRecord::Truncate { from });
    }
}

/// Whether each entry follows the one before it.
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

/// The entries after the snapshot's position. `None` if the entries end before it. Everything that the snapshot covers
/// is committed, so only the entry at its position is compared.
fn entries_after_snapshot(
    snapshot: LogPosition,
    entries: Vec<Entry>,
) -> Result<Option<Vec<Entry>>, RaftError> {
    let at_snapshot = entries
        .iter()
        .find(|entry| entry.position.index == snapshot.index);
    match at_snapshot {
        Some(entry) if entry.position != snapshot => Err(RaftError::LogDiverged {
            index: snapshot.index,
        }),
        Some(_) => Ok(Some(
            entries
                .into_iter()
                .filter(|entry| entry.position.index > snapshot.index)
                .collect(),
        )),
        None => Ok(None),
    }
}
