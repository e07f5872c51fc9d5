//! What was sent and answered in a schedule, and the rules that it must keep.

use crate::support::cluster::id;
use crate::support::machine::TRUE_RATE_PPM;
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Message, NodeId};
use std::collections::BTreeMap;
use std::ops::Range;

pub(crate) const OK: u16 = 200;
pub(crate) const PRECONDITION_FAILED: u16 = 412;
pub(crate) const UNAVAILABLE: u16 = 503;
pub(crate) const UNKNOWN: u16 = 504;
pub(crate) const MICROS_PER_MS: u64 = 1_000;
/// Each clock may be wrong by so much, so two of them differ by up to twice that; in millionths.
pub(crate) const DRIFT_PPM: u64 = 20_000;
/// A member may publish what it confirmed at a majority so long ago, in milliseconds.
pub(crate) const HANDOUT_MS: u64 = 1_000;
/// The leader's lease by its own clock, in milliseconds.
pub(crate) const LEADER_LEASE_MS: u64 = 765;
/// What is in transit when an isolation begins, in milliseconds.
pub(crate) const IN_TRANSIT_MS: u64 = 60;
/// The bound on an answer is by the member's clock, and its wakes are late by a little; in milliseconds.
pub(crate) const SLACK_MS: u64 = 150;

#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) member: usize,
    pub(crate) base: u64,
    pub(crate) version: u64,
    pub(crate) content: String,
    pub(crate) sent_at: u64,
    pub(crate) answer: Option<(u16, u64)>,
    pub(crate) number: Option<u64>,
    /// Can only be rejected in the light of the current configuration.
    pub(crate) needs_current: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct ReadBack {
    pub(crate) member: usize,
    pub(crate) sent_at: u64,
    pub(crate) answer: Option<(u16, u64)>,
    pub(crate) number: Option<u64>,
    pub(crate) version: Option<u64>,
    /// The path of its route, which names the change that brought it.
    pub(crate) route: Option<String>,
}

/// Everything that callers were answered, with true times.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) changes: Vec<Change>,
    pub(crate) reads: Vec<ReadBack>,
    /// Messages to the child of the relay tree and to the client: when, from whom.
    pub(crate) received: Vec<(u64, NodeId, Message)>,
    pub(crate) term_starts: Vec<(u64, NodeId)>,
    /// The members that were without a majority, from when and until when.
    pub(crate) isolated: Option<(Range<usize>, u64, u64)>,
}

pub(crate) fn millis(micros: u64) -> u64 {
    micros / MICROS_PER_MS
}

/// A span by some clock is at most so long in truth, in microseconds.
pub(crate) fn longest(span_ms: u64) -> u64 {
    span_ms * MICROS_PER_MS * TRUE_RATE_PPM / (TRUE_RATE_PPM - 2 * DRIFT_PPM)
}

/// A rule that may be broken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Rule {
    /// A read-back gives the newest.
    NewestIsRead,
    /// One change on top of each version.
    OneWinner,
    /// What is invalid is not taken.
    InvalidIsNotTaken,
    /// What was rejected, or answered with 503, is not in force.
    RefusedIsNotInForce,
    /// What was acknowledged stays.
    NothingIsLost,
    /// A valid change on the newest version is not rejected.
    NoRefusal,
    /// Without a majority nothing is confirmed, rejected or read.
    NothingAlone,
    /// There is an answer in time.
    AnswerInTime,
    /// No old configuration is sent to subscribers.
    NothingOldPublished,
    /// Knowledge is no older than it is said to be.
    TrueAge,
    /// Only the scheduler calls itself that.
    OnlyLeaderNamesItself,
    /// Only the scheduler answers clients.
    OnlyLeaderAnswers,
    /// Clients are answered by the configuration in force.
    AnswersByNewest,
}

/// A rule and how it was broken.
pub(crate) type Violation = (Rule, String);

impl History {
    /// What breaks a rule; empty where all holds.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_reads(&mut violations);
        self.check_changes(&mut violations);
        self.check_in_force(&mut violations);
        self.check_isolated(&mut violations);
        self.check_received(&mut violations);
        violations
    }

    /// The newest version acknowledged, or read, before a moment.
    pub(crate) fn newest_before(&self, moment: u64) -> u64 {
        let acknowledged = self
            .changes
            .iter()
            .filter(|change| change.acknowledged_before(moment));
        let acknowledged = acknowledged.map(|change| change.version);
        let known = |read: &&ReadBack| read.answer.is_some_and(|(_, at)| at < moment);
        let read = self
            .reads
            .iter()
            .filter(known)
            .filter_map(|read| read.version);
        acknowledged.chain(read).max().unwrap_or_default()
    }

    pub(crate) fn check_reads(&self, violations: &mut Vec<Violation>) {
        for read in self.reads.iter().filter(|read| read.version.is_some()) {
            let newest = self.newest_before(read.sent_at);
            if read.version < Some(newest) {
                violations.push((
                    Rule::NewestIsRead,
                    format!("an old read-back, {newest} was there: {read:?}"),
                ));
            }
        }
    }

    /// What is in force was sent under its number, and was not rejected.
    pub(crate) fn check_in_force(&self, violations: &mut Vec<Violation>) {
        for read in &self.reads {
            let (Some(version), Some(route)) = (read.version, &read.route) else {
                continue;
            };
            let brought =
                |change: &&Change| change.version == version && change.content.contains(route);
            let senders: Vec<&Change> = self.changes.iter().filter(brought).collect();
            let rejected = |change: &&Change| {
                change.answer.is_some_and(|(status, _)| {
                    status == UNAVAILABLE || (400..500).contains(&status)
                })
            };
            if senders.iter().all(rejected) {
                violations.push((
                    Rule::RefusedIsNotInForce,
                    format!("{read:?} brought by {senders:?}"),
                ));
            }
        }
    }

    pub(crate) fn check_changes(&self, violations: &mut Vec<Violation>) {
        let mut winners: BTreeMap<u64, &Change> = BTreeMap::new();
        for change in &self.changes {
            let Some((status, answered_at)) = change.answer else {
                continue;
            };
            if status == OK && change.needs_current {
                violations.push((
                    Rule::InvalidIsNotTaken,
                    format!("invalid and taken: {change:?}"),
                ));
            }
            if status == OK {
                let winner = winners.entry(change.base).or_insert(change);
                if winner.content != change.content {
                    violations.push((
                        Rule::OneWinner,
                        format!(
                            "two changes on top of {}: {winner:?}, {change:?}",
                            change.base
                        ),
                    ));
                }
            }
            if (400..500).contains(&status) && !self.may_be_refused(change, answered_at) {
                violations.push((Rule::NoRefusal, format!("rejected: {change:?}")));
            }
        }
        let last = self.reads.iter().rev().find_map(|read| read.version);
        let newest = winners.values().map(|change| change.version).max();
        if last < newest {
            violations.push((
                Rule::NothingIsLost,
                format!("{newest:?} was acknowledged and lost; the last read-back gives {last:?}"),
            ));
        }
    }

    /// Only 412, only for what was not taken before, and only where another change may have been.
    pub(crate) fn may_be_refused(&self, change: &Change, answered_at: u64) -> bool {
        if change.needs_current {
            return true;
        }
        let same = |other: &&Change| other.base == change.base && other.content == change.content;
        if self
            .changes
            .iter()
            .filter(same)
            .any(|other| other.acknowledged_before(answered_at))
        {
            return false;
        }
        // 503 is a promise as well: such a change was accepted nowhere.
        let other_change = |other: &&Change| {
            let given_back = other
                .answer
                .is_some_and(|(status, _)| (400..500).contains(&status) || status == UNAVAILABLE);
            let sent = other.sent_at < answered_at;
            other.base >= change.base && other.content != change.content && !given_back && sent
        };
        let conflicts = self.changes.iter().any(|other| other_change(&other));
        conflicts
            && change
                .answer
                .is_some_and(|(status, _)| status == PRECONDITION_FAILED)
    }

    /// Without a majority the member answers 503 or 504, and does answer.
    pub(crate) fn check_isolated(&self, violations: &mut Vec<Violation>) {
        let Some((members, from, until)) = self.isolated.clone() else {
            return;
        };
        let inside = |sent_at: u64| sent_at >= from + IN_TRANSIT_MS * MICROS_PER_MS;
        let longest = longest(Bounds::default().ack_ms - 300) + SLACK_MS * MICROS_PER_MS;
        let changes = self
            .changes
            .iter()
            .filter(|change| members.contains(&change.member));
        let changes = changes.map(|change| (change.sent_at, change.answer));
        let reads = self
            .reads
            .iter()
            .filter(|read| members.contains(&read.member));
        let reads = reads.map(|read| (read.sent_at, read.answer));
        for (sent_at, answer) in changes.chain(reads).filter(|(sent_at, _)| inside(*sent_at)) {
            match answer {
                Some((status, at)) if at < until && !matches!(status, UNAVAILABLE | UNKNOWN) => {
                    violations.push((
                        Rule::NothingAlone,
                        format!("answered {status} without a majority at {} ms", millis(at)),
                    ));
                }
                Some((_, at)) if at > sent_at + longest => {
                    violations.push((
                        Rule::AnswerInTime,
                        format!("answered only after {} ms", millis(at - sent_at)),
                    ));
                }
                None if sent_at + longest < until => {
                    violations.push((
                        Rule::AnswerInTime,
                        format!("no answer to what came at {} ms", millis(sent_at)),
                    ));
                }
                _ => {}
            }
        }
    }

    /// What a member sends to others without a majority is no older than it claims.
    pub(crate) fn check_received(&self, violations: &mut Vec<Violation>) {
        for (at, from, message) in &self.received {
            match message {
                Message::ConfigUpdate(update) => {
                    let newest = self.newest_before(at.saturating_sub(longest(HANDOUT_MS)));
                    if update.version < newest {
                        let version = update.version;
                        violations.push((
                            Rule::NothingOldPublished,
                            format!("{from} published {version}, {newest} was there"),
                        ));
                    }
                }
                Message::ConfigCurrent(current) => {
                    let newest = self.newest_before(at.saturating_sub(longest(current.age_ms + 1)));
                    if current.version < newest {
                        violations.push((
                            Rule::TrueAge,
                            format!("{from} called {current:?} current, {newest} was there"),
                        ));
                    }
                }
                Message::Directory(directory)
                    if directory.leader == *from && !self.leads(*from, *at) =>
                {
                    violations.push((
                        Rule::OnlyLeaderNamesItself,
                        format!(
                            "{from} names itself at {} ms in a term that is over",
                            millis(*at)
                        ),
                    ));
                }
                Message::NotLeader(refusal) if refusal.leader == *from => {
                    violations.push((
                        Rule::OnlyLeaderNamesItself,
                        format!("{from} refuses and names itself"),
                    ));
                }
                Message::ClientReply(reply) => {
                    if !self.leads(*from, *at) {
                        violations.push((
                            Rule::OnlyLeaderAnswers,
                            format!("{from} answers a client in a term that is over"),
                        ));
                    }
                    let applied = at.saturating_sub(longest(Bounds::default().config_apply_ms));
                    let newest = self.newest_before(applied);
                    if reply.config_version < newest {
                        violations.push((
                            Rule::AnswersByNewest,
                            format!("{from} answers a client by an old configuration"),
                        ));
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether the lease of the newest term may be with this process: nobody started a later one, and it has not
    /// been without a majority for longer than a lease.
    pub(crate) fn leads(&self, node: NodeId, at: u64) -> bool {
        let newest = self
            .term_starts
            .iter()
            .rev()
            .find(|(started, _)| *started <= at);
        let isolated = self
            .isolated
            .as_ref()
            .is_some_and(|(members, from, until)| {
                members.clone().any(|member| id(member) == node)
                    && at > from + longest(LEADER_LEASE_MS)
                    && at < *until
            });
        newest.is_some_and(|(_, leader)| *leader == node) && !isolated
    }
}

impl Change {
    pub(crate) fn acknowledged_before(&self, moment: u64) -> bool {
        self.answer
            .is_some_and(|(status, at)| status == OK && at < moment)
    }
}
