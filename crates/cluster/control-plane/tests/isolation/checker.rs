//! The requests and answers of a schedule, and the rules that they must not violate.

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
/// The maximum drift of a clock, in parts per million. Two clocks differ by up to twice as much.
pub(crate) const DRIFT_PPM: u64 = 20_000;
/// The maximum age of the majority's confirmation at which a member publishes a configuration, in milliseconds.
pub(crate) const MAX_PUBLISHED_AGE_MS: u64 = 1_000;
/// The duration of the leader's lease on its own clock, in milliseconds.
pub(crate) const LEADER_LEASE_MS: u64 = 765;
/// The time after the beginning of an isolation during which earlier messages may still arrive, in milliseconds.
pub(crate) const IN_TRANSIT_MS: u64 = 60;
/// The tolerance on the time limit of an answer, in milliseconds. The limit is measured by the member's clock, and the
/// member may wake slightly late.
pub(crate) const LATENESS_MS: u64 = 150;

/// A change that was sent to a member. Times are in microseconds of true time.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) member: usize,
    pub(crate) base: u64,
    pub(crate) version: u64,
    pub(crate) content: String,
    pub(crate) sent_at: u64,
    /// The status and the time of the answer.
    pub(crate) answer: Option<(u16, u64)>,
    /// The number of the HTTP request; `None` if the answer was made up.
    pub(crate) number: Option<u64>,
    /// Whether the change is invalid in a way that only the current configuration shows.
    pub(crate) needs_current: bool,
}

/// A read of the configuration at a member. Times are in microseconds of true time.
#[derive(Clone, Debug)]
pub(crate) struct ReadAttempt {
    pub(crate) member: usize,
    pub(crate) sent_at: u64,
    /// The status and the time of the answer.
    pub(crate) answer: Option<(u16, u64)>,
    /// The number of the HTTP request; `None` if the answer was made up.
    pub(crate) number: Option<u64>,
    /// The version that was read.
    pub(crate) version: Option<u64>,
    /// The path of the route that was read, which identifies the change that set it.
    pub(crate) route: Option<String>,
}

/// All requests and answers, with times in microseconds of true time.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) changes: Vec<Change>,
    pub(crate) reads: Vec<ReadAttempt>,
    /// The messages to the child of the relay tree and to the client, each with its time and sender.
    pub(crate) received: Vec<(u64, NodeId, Message)>,
    /// The time and the process at which the service of each term started.
    pub(crate) term_starts: Vec<(u64, NodeId)>,
    /// The members that could not reach a majority, and the beginning and the end of that time.
    pub(crate) isolated: Option<(Range<usize>, u64, u64)>,
}

pub(crate) fn millis(micros: u64) -> u64 {
    micros / MICROS_PER_MS
}

/// Returns the maximum true duration of a time span measured by any clock, in microseconds.
pub(crate) fn max_true_us(span_ms: u64) -> u64 {
    span_ms * MICROS_PER_MS * TRUE_RATE_PPM / (TRUE_RATE_PPM - 2 * DRIFT_PPM)
}

/// A rule that a schedule may violate.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Rule {
    /// A read returns the newest configuration.
    NewestIsRead,
    /// At most one change on each base version is confirmed.
    OneWinner,
    /// An invalid change is not confirmed.
    InvalidIsRejected,
    /// A change that was rejected or answered with 503 is not in force.
    RejectedIsNotInForce,
    /// A confirmed change is not lost.
    NoConfirmedChangeIsLost,
    /// A valid change on the newest version is not rejected.
    NoWrongRejection,
    /// A member without a majority confirms and rejects no change and answers no read.
    NoAnswerWithoutMajority,
    /// Requests are answered within the time limit.
    AnswerInTime,
    /// No outdated configuration is sent to subscribers.
    NoStaleUpdateIsPublished,
    /// A configuration that is reported as current is no older than the reported age.
    AgeIsCorrect,
    /// Only the leader names itself as the leader.
    OnlyLeaderNamesItself,
    /// Only the leader answers clients.
    OnlyLeaderAnswers,
    /// Clients are answered according to the configuration in force.
    AnswersByNewest,
}

/// A violated rule and the description of the violation.
pub(crate) type Violation = (Rule, String);

impl History {
    /// Returns all violations of rules.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_reads(&mut violations);
        self.check_changes(&mut violations);
        self.check_in_force(&mut violations);
        self.check_isolated(&mut violations);
        self.check_received(&mut violations);
        violations
    }

    /// Returns the newest version that was confirmed or read before a time.
    pub(crate) fn newest_before(&self, moment: u64) -> u64 {
        let acknowledged = self
            .changes
            .iter()
            .filter(|change| change.acknowledged_before(moment));
        let acknowledged = acknowledged.map(|change| change.version);
        let known = |read: &&ReadAttempt| read.answer.is_some_and(|(_, at)| at < moment);
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
                    format!("read an old version, expected at least {newest}: {read:?}"),
                ));
            }
        }
    }

    /// Checks that each configuration that was read had been sent under its version and had not been rejected.
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
                    Rule::RejectedIsNotInForce,
                    format!("{read:?} was set only by rejected changes: {senders:?}"),
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
                    Rule::InvalidIsRejected,
                    format!("invalid change was confirmed: {change:?}"),
                ));
            }
            if status == OK {
                let winner = winners.entry(change.base).or_insert(change);
                if winner.content != change.content {
                    violations.push((
                        Rule::OneWinner,
                        format!(
                            "two changes on base {} were confirmed: {winner:?}, {change:?}",
                            change.base
                        ),
                    ));
                }
            }
            if (400..500).contains(&status) && !self.may_be_rejected(change, answered_at) {
                violations.push((
                    Rule::NoWrongRejection,
                    format!("change was rejected wrongly: {change:?}"),
                ));
            }
        }
        let last = self.reads.iter().rev().find_map(|read| read.version);
        let newest = winners.values().map(|change| change.version).max();
        if last < newest {
            violations.push((
                Rule::NoConfirmedChangeIsLost,
                format!(
                    "version {newest:?} was confirmed and lost, the last read returned {last:?}"
                ),
            ));
        }
    }

    /// Returns whether a change may be rejected: only with 412, only if the same change was not confirmed before, and
    /// only if another change may have been accepted.
    pub(crate) fn may_be_rejected(&self, change: &Change, answered_at: u64) -> bool {
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
        // 503 also guarantees that the change was not accepted anywhere.
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

    /// Checks that a member without a majority answers in time, with 503 or 504.
    pub(crate) fn check_isolated(&self, violations: &mut Vec<Violation>) {
        let Some((members, from, until)) = self.isolated.clone() else {
            return;
        };
        let inside = |sent_at: u64| sent_at >= from + IN_TRANSIT_MS * MICROS_PER_MS;
        let longest = max_true_us(Bounds::default().ack_ms - 300) + LATENESS_MS * MICROS_PER_MS;
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
                        Rule::NoAnswerWithoutMajority,
                        format!("answered {status} without a majority at {} ms", millis(at)),
                    ));
                }
                Some((_, at)) if at > sent_at + longest => {
                    violations.push((
                        Rule::AnswerInTime,
                        format!("answered after {} ms", millis(at - sent_at)),
                    ));
                }
                None if sent_at + longest < until => {
                    violations.push((
                        Rule::AnswerInTime,
                        format!("no answer to the request sent at {} ms", millis(sent_at)),
                    ));
                }
                _ => {}
            }
        }
    }

    /// Checks the messages to subscribers and clients: configurations are not outdated, reported ages are correct, and
    /// only the leader names itself or answers clients.
    pub(crate) fn check_received(&self, violations: &mut Vec<Violation>) {
        for (at, from, message) in &self.received {
            match message {
                Message::ConfigUpdate(update) => {
                    let newest =
                        self.newest_before(at.saturating_sub(max_true_us(MAX_PUBLISHED_AGE_MS)));
                    if update.version < newest {
                        let version = update.version;
                        violations.push((
                            Rule::NoStaleUpdateIsPublished,
                            format!(
                                "{from} published version {version}, expected at least {newest}"
                            ),
                        ));
                    }
                }
                Message::ConfigCurrent(current) => {
                    let newest =
                        self.newest_before(at.saturating_sub(max_true_us(current.age_ms + 1)));
                    if current.version < newest {
                        violations.push((
                            Rule::AgeIsCorrect,
                            format!("{from} reported {current:?} as current, expected at least version {newest}"),
                        ));
                    }
                }
                Message::Directory(directory)
                    if directory.leader == *from && !self.leads(*from, *at) =>
                {
                    violations.push((
                        Rule::OnlyLeaderNamesItself,
                        format!(
                            "{from} named itself as the leader at {} ms, after the end of its term",
                            millis(*at)
                        ),
                    ));
                }
                Message::NotLeader(refusal) if refusal.leader == *from => {
                    violations.push((
                        Rule::OnlyLeaderNamesItself,
                        format!("{from} rejected a request as not the leader and named itself as the leader"),
                    ));
                }
                Message::ClientReply(reply) => {
                    if !self.leads(*from, *at) {
                        violations.push((
                            Rule::OnlyLeaderAnswers,
                            format!("{from} answered a client after the end of its term"),
                        ));
                    }
                    let applied = at.saturating_sub(max_true_us(Bounds::default().config_apply_ms));
                    let newest = self.newest_before(applied);
                    if reply.config_version < newest {
                        violations.push((
                            Rule::AnswersByNewest,
                            format!(
                                "{from} answered a client according to an outdated configuration"
                            ),
                        ));
                    }
                }
                _ => {}
            }
        }
    }

    /// Returns whether the process may hold the lease of the newest term: no later term has started, and the process
    /// has not been without a majority for longer than a lease.
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
                    && at > from + max_true_us(LEADER_LEASE_MS)
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
