//! Operators' words that take a runner or dispatcher out of service, or back in.

use super::Node;
use crate::facts::{About, Op, Proposal};
use sagetrail_raft::{DiskRecord, Entry, EntryPayload};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Under this name a word waits in merged state for its agreement, for others on the same side to see.
const WORD_PREFIX: &str = "word/";
const RUNNER: &str = "runner";
const DISPATCHER: &str = "dispatcher";

/// A word that waits for its agreement, as it lies in merged state.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct WaitingWord {
    /// The place of the last word on the same one that its speaker had seen.
    seen: u64,
    /// The process that proposed it.
    birth: u64,
    /// The proposal's number there.
    no: u64,
}

/// Who is taken out of service by a record of the log.
pub(super) fn words_out_in(records: &[DiskRecord]) -> BTreeSet<About> {
    records.iter().filter_map(word_out).collect()
}

fn word_out(record: &DiskRecord) -> Option<About> {
    let DiskRecord::Entry(Entry {
        payload: EntryPayload::Command(command),
        ..
    }) = record
    else {
        return None;
    };
    match postcard::from_bytes(command) {
        Ok(Proposal {
            op: Op::Word {
                about, out: true, ..
            },
            ..
        }) => Some(about),
        _ => None,
    }
}

fn merged_name(about: &About) -> String {
    match about {
        About::Runner(name) => format!("{WORD_PREFIX}{RUNNER}/{name}"),
        About::Dispatcher(name) => format!("{WORD_PREFIX}{DISPATCHER}/{name}"),
    }
}

fn about(merged_name: &str) -> Option<About> {
    let rest = merged_name.strip_prefix(WORD_PREFIX)?;
    match rest.split_once('/')? {
        (RUNNER, name) => Some(About::Runner(name.to_string())),
        (DISPATCHER, name) => Some(About::Dispatcher(name.to_string())),
        _ => None,
    }
}

impl Node {
    /// Says one out or back for all. Out holds here and at all who hear of it from now on, agreed or not.
    pub fn word(&mut self, now: f64, about: About, out: bool) -> Option<u64> {
        let seen = self.facts.seen(&about);
        let no = self.propose(
            now,
            Op::Word {
                about: about.clone(),
                out,
                seen,
            },
        )?;
        if out {
            self.publish_waiting(now, &about, seen, no);
        }
        Some(no)
    }

    fn publish_waiting(&mut self, now: f64, about: &About, seen: u64, no: u64) {
        let word = WaitingWord {
            seen,
            birth: self.birth,
            no,
        };
        let value = postcard::to_allocvec(&word).unwrap_or_default();
        self.merged.put(now, &merged_name(about), Some(value));
        self.changed = true;
    }

    /// Words that were said here and are agreed by now wait no longer; one from before a restart is proposed anew.
    pub(super) fn settle_words(&mut self, now: f64) {
        let own = self
            .merged
            .under(WORD_PREFIX)
            .filter(|(key, _)| key.owner == self.me);
        let own: Vec<(String, Vec<u8>)> = own
            .map(|(key, value)| (key.name.clone(), value.to_vec()))
            .collect();
        for (name, value) in own {
            let word = postcard::from_bytes::<WaitingWord>(&value).ok();
            if let Some((about, word)) = about(&name).zip(word) {
                self.settle_word(now, &name, about, word);
            }
        }
    }

    fn settle_word(&mut self, now: f64, name: &str, about: About, word: WaitingWord) {
        let WaitingWord { seen, birth, no } = word;
        // One after the other in each process, so a later one that is agreed stands for it too.
        if self.facts.agreed_from(self.me, birth, no) {
            self.merged.put(now, name, None);
            self.changed = true;
        } else if birth != self.birth && !self.behind() {
            if let Some(no) = self.propose(
                now,
                Op::Word {
                    about: about.clone(),
                    out: true,
                    seen,
                },
            ) {
                self.publish_waiting(now, &about, seen, no);
            }
        }
    }

    /// All that are out, each with whether that is agreed, or said by somebody and not agreed yet.
    pub fn all_out(&self) -> Vec<(About, bool)> {
        let mut out = BTreeMap::new();
        for about in &self.suspected {
            out.insert(about.clone(), false);
        }
        for (key, _) in self.merged.under(WORD_PREFIX) {
            about(&key.name).map(|about| out.insert(about, false));
        }
        for about in self
            .facts
            .words
            .keys()
            .filter(|about| self.facts.out(about))
        {
            out.insert(about.clone(), true);
        }
        out.into_iter().collect()
    }
}
