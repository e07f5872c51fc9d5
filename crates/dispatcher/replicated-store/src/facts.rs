//! What the agreed log says: settings by version, words by hand, who votes, who may lend. The same bytes at every
//! member that was given the same.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A settings text is a page, not a database.
pub const SETTINGS_MOST: usize = 64 << 10;
/// Versions that one can go back to.
const VERSIONS: usize = 8;
/// Words by hand, about so many runners and dispatchers; more are refused.
const WORDS_MOST: usize = 4096;

/// Whom a word by hand is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum About {
    Runner(String),
    Dispatcher(String),
}

/// What an operator said of one, at which place of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Said {
    pub out: bool,
    pub at: u64,
    /// The dispatcher at whose door it was said.
    pub by: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    pub no: u64,
    pub text: String,
    pub by: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Settings for all, whole, checked before; on the version that the proposer had seen.
    Settings { text: String, on: u64 },
    /// Out, or back in service; `seen`: the place of the last word on it that who says this had seen.
    Word { about: About, out: bool, seen: u64 },
    /// Who is to vote.
    Voters(Vec<u64>),
    /// Whether a member lends parts of budgets and spends its own right.
    Lends { who: u64, yes: bool },
}

/// An op, with who asked for it: each counts once however often it comes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    pub who: u64,
    pub birth: u64,
    pub no: u64,
    pub op: Op,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// The last of them first in `no`; the last one is in force.
    pub versions: Vec<Version>,
    pub words: BTreeMap<About, Vec<Said>>,
    pub voters: Vec<u64>,
    pub no_loans: BTreeSet<u64>,
    done: BTreeMap<u64, (u64, u64, bool)>,
}

impl Facts {
    pub fn read(state: &[u8]) -> Option<Facts> {
        postcard::from_bytes(state).ok()
    }

    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The version in force; 0 before any was agreed.
    pub fn version(&self) -> u64 {
        self.versions.last().map_or(0, |version| version.no)
    }

    pub fn settings(&self) -> &str {
        self.versions.last().map_or("", |version| &version.text)
    }

    /// What became of a member's proposal: taken, or refused; `None` while it is not agreed.
    pub fn done(&self, who: u64, birth: u64, no: u64) -> Option<bool> {
        self.done
            .get(&who)
            .filter(|(b, n, _)| (*b, *n) == (birth, no))
            .map(|(.., took)| *took)
    }

    /// This proposal of a member's process, or a later one of it, has been agreed.
    pub fn agreed_from(&self, who: u64, birth: u64, no: u64) -> bool {
        self.done
            .get(&who)
            .is_some_and(|(b, n, _)| *b == birth && *n >= no)
    }

    /// Takes up what was agreed at a place of the log. Anything that does not hold there changes nothing.
    pub fn take(&mut self, at: u64, proposal: Proposal) -> bool {
        let Proposal { who, birth, no, op } = proposal;
        // One at a time from each: a doubled or late one is an earlier number.
        if self
            .done
            .get(&who)
            .is_some_and(|(b, n, _)| *b == birth && no <= *n)
        {
            return false;
        }
        let took = self.apply(at, who, op);
        self.done.insert(who, (birth, no, took));
        took
    }

    fn apply(&mut self, at: u64, by: u64, op: Op) -> bool {
        match op {
            Op::Settings { text, on } => {
                // Guards against two operators who each saw the version before.
                if on != self.version() || text.len() > SETTINGS_MOST {
                    return false;
                }
                self.versions.push(Version {
                    no: on + 1,
                    text,
                    by,
                });
                let beyond = self.versions.len().saturating_sub(VERSIONS);
                self.versions.drain(..beyond);
                true
            }
            Op::Word { about, out, seen } => {
                if !self.words.contains_key(&about) && self.words.len() >= WORDS_MOST {
                    return false;
                }
                let all = self.words.entry(about.clone()).or_default();
                // What its speaker had seen is answered by it; what it had not stands beside it, unless it says
                // the same. So of two sides of a split both words stand until somebody decides.
                // At one door words come one after the other, agreed yet or not.
                all.retain(|said| said.at > seen && said.out != out && said.by != by);
                all.push(Said { out, at, by });
                if all.iter().all(|said| !said.out) {
                    // Nobody wants it out: the place goes, the log remembers.
                    self.words.remove(&about);
                }
                true
            }
            Op::Voters(voters) => {
                // Even numbers only on the way from one odd one to the next: they bear no more losses.
                let sound = (1..=5).contains(&voters.len());
                if sound {
                    self.voters = voters;
                }
                sound
            }
            Op::Lends { who, yes } => {
                match yes {
                    true => self.no_loans.remove(&who),
                    false => self.no_loans.insert(who),
                };
                true
            }
        }
    }

    /// Whether one is out, by all that is said: the more cautious word holds.
    pub fn out(&self, about: &About) -> bool {
        self.words
            .get(about)
            .is_some_and(|all| all.iter().any(|said| said.out))
    }

    /// The place of the last word on one.
    pub fn seen(&self, about: &About) -> u64 {
        let all = self.words.get(about).into_iter().flatten();
        all.map(|said| said.at).max().unwrap_or(0)
    }
}
