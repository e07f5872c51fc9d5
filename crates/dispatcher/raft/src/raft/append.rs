//! A follower's part of `AppendEntries`.

use super::Raft;
use crate::entry::{Entry, Mark};
use crate::message::{AppendEntries, AppendReply, MessageBody};
use crate::output::Fault;
use crate::record::DiskRecord;

/// What came of entries that were to be appended.
enum AppendOutcome {
    /// The logs are the same up to here.
    Matched { index: u64 },
    /// The place before the entries is not in this log; the leader is to try from here.
    Mismatch { hint: u64 },
}

impl Raft {
    /// Takes a leader's entries. False for ones that no leader can have sent.
    pub(super) fn append_entries(&mut self, from: u64, request: AppendEntries) -> bool {
        let AppendEntries {
            before,
            entries,
            commit,
            round,
            disks,
        } = request;
        self.note_disks(disks);
        if !is_chain(before, &entries) {
            return false;
        }
        match self.merge(before, entries, commit) {
            Ok(outcome) => self.reply_append(from, outcome, round),
            Err(fault) => self.fault = Some(fault),
        }
        true
    }

    /// One that is not sure of its disk promises nothing.
    fn reply_append(&mut self, to: u64, outcome: AppendOutcome, round: u64) {
        if self.disk_check.is_some() {
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
        before: Mark,
        entries: Vec<Entry>,
        commit: u64,
    ) -> Result<AppendOutcome, Fault> {
        let base = self.log.base();
        let (before, entries) = match before.index < base.index {
            false => (before, entries),
            true => match behind_snapshot(base, entries)? {
                Some(rest) => (base, rest),
                None => return Ok(AppendOutcome::Matched { index: base.index }),
            },
        };
        if let Some(hint) = self.mismatch(before)? {
            return Ok(AppendOutcome::Mismatch { hint });
        }
        let index = entries
            .last()
            .map_or(before.index, |entry| entry.mark.index);
        for entry in entries {
            self.merge_entry(entry)?;
        }
        self.commit = self.commit.max(commit.min(index));
        self.leader_commit = self.leader_commit.max(commit);
        Ok(AppendOutcome::Matched { index })
    }

    /// Where the leader is to try next, if this log does not have the place before its entries.
    fn mismatch(&self, before: Mark) -> Result<Option<u64>, Fault> {
        match self.log.mark(before.index) {
            Some(mark) if mark == before => Ok(None),
            Some(mark) if mark.term == before.term || before.index <= self.commit => {
                Err(Fault::Differs {
                    index: before.index,
                })
            }
            _ => {
                let hint = self.log.last().index.min(before.index.saturating_sub(1));
                Ok(Some(hint.max(self.commit)))
            }
        }
    }

    /// Appends an entry, in place of one of an earlier term that was never committed.
    fn merge_entry(&mut self, entry: Entry) -> Result<(), Fault> {
        match self.log.mark(entry.mark.index) {
            Some(mark) if mark == entry.mark => return Ok(()),
            Some(mark) if mark.term == entry.mark.term || mark.index <= self.commit => {
                return Err(Fault::Differs { index: mark.index });
            }
            Some(mark) => self.truncate(mark.index),
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
fn is_chain(before: Mark, entries: &[Entry]) -> bool {
    let mut previous = before;
    for entry in entries {
        if !entry.follows(&previous) {
            return false;
        }
        previous = entry.mark;
    }
    true
}

/// The entries behind the snapshot's place; `None` if they do not reach it. What the snapshot holds was agreed: only
/// what stands behind it matters.
fn behind_snapshot(base: Mark, entries: Vec<Entry>) -> Result<Option<Vec<Entry>>, Fault> {
    match entries.iter().find(|entry| entry.mark.index == base.index) {
        Some(entry) if entry.mark != base => Err(Fault::Differs { index: base.index }),
        Some(_) => Ok(Some(
            entries
                .into_iter()
                .filter(|entry| entry.mark.index > base.index)
                .collect(),
        )),
        None => Ok(None),
    }
}
