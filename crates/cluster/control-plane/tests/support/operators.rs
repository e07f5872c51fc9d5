//! Operators that send changes through any process, and a checker of all answers that they received.

use super::cluster::Cluster;
use super::requests::config;
use sagetrail_protocol::node::{Event, HttpRequestId, Method};
use std::collections::BTreeMap;

/// The maximum time that an operator waits for an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 5_000;
/// The maximum number of times that a request without a definite answer is sent.
const MAX_TRIES: usize = 20;

/// A change of the configuration by an operator.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Change {
    pub path: &'static str,
    pub base: u64,
    pub version: u64,
    pub content: String,
}

/// Returns a change that replaces the full configuration. `mark` distinguishes contents with the same version.
pub(crate) fn replacement(base: u64, version: u64, mark: &str) -> Change {
    let content = config(version).replace("/p", &format!("/{mark}p"));
    Change {
        path: "/v1/config/replace",
        base,
        version,
        content,
    }
}

/// Returns a patch of the only route, which has the same effect as `replacement`.
pub(crate) fn patch(base: u64, version: u64, mark: &str) -> Change {
    let complete: serde_json::Value =
        serde_json::from_str(&replacement(base, version, mark).content).unwrap();
    let content =
        serde_json::json!({ "version": version, "upsert": { "routes": complete["routes"] } });
    Change {
        path: "/v1/config/patch",
        base,
        version,
        content: content.to_string(),
    }
}

/// The answers that the checker sees: those of the processes, or wrong ones that the checker must detect.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum AnswerMode {
    /// The answers of the processes are not modified.
    Unmodified,
    /// A repeated change that was confirmed before is rejected.
    RejectsRepeats,
    /// A rejected change is confirmed if a change with the same version was confirmed before.
    ConfirmsByVersion,
}

/// A request that sent a change.
struct Attempt {
    change: Change,
    /// The number of the HTTP request.
    number: u64,
}

/// The operators of a cluster, with all requests that they have sent.
pub(crate) struct Operators {
    answer_mode: AnswerMode,
    attempts: Vec<Attempt>,
}

impl Operators {
    pub(crate) fn new(answer_mode: AnswerMode) -> Operators {
        Operators {
            answer_mode,
            attempts: Vec::new(),
        }
    }

    /// Sends a change and returns the number of the request.
    pub(crate) fn send(&mut self, cluster: &mut Cluster, index: usize, change: &Change) -> u64 {
        let number = cluster.http(
            index,
            Method::Post,
            change.path,
            Some(change.base),
            &change.content,
        );
        self.attempts.push(Attempt {
            change: change.clone(),
            number,
        });
        number
    }

    /// Sends a change and waits for the answer. Returns its status, or 0 if there is none.
    pub(crate) fn send_and_wait(
        &mut self,
        cluster: &mut Cluster,
        index: usize,
        change: &Change,
    ) -> u16 {
        let number = self.send(cluster, index, change);
        let end = cluster.now + ANSWER_TIMEOUT_MS * 1000;
        while cluster.status(number) == 0 && cluster.now < end {
            cluster.run(1);
        }
        self.status(cluster, number)
    }

    /// Sends a change repeatedly, as operators do, until the answer is definite. Returns its status.
    pub(crate) fn send_until_answered(
        &mut self,
        cluster: &mut Cluster,
        index: usize,
        change: &Change,
    ) -> u16 {
        for _ in 0..MAX_TRIES {
            let status = self.send_and_wait(cluster, index, change);
            if is_definite(status) {
                return status;
            }
            cluster.run(300);
        }
        panic!(
            "no definite answer to the change to version {} on base {}",
            change.version, change.base
        );
    }

    /// Returns all changes that were sent, each once.
    pub(crate) fn changes(&self) -> Vec<Change> {
        let mut changes: Vec<Change> = self
            .attempts
            .iter()
            .map(|attempt| attempt.change.clone())
            .collect();
        changes.sort();
        changes.dedup();
        changes
    }

    /// Returns the status of the answer to a request, or 0 if there is none.
    pub(crate) fn status(&self, cluster: &Cluster, number: u64) -> u16 {
        let answers = self.answers(cluster);
        let place = self
            .attempts
            .iter()
            .position(|attempt| attempt.number == number);
        place.map_or(0, |place| answers[place].1)
    }

    /// Returns the change of each request with the status of its answer, or 0 if there is none.
    fn answers(&self, cluster: &Cluster) -> Vec<(&Change, u16)> {
        let mut answers: Vec<(&Change, u16)> = Vec::new();
        for attempt in &self.attempts {
            let status = cluster.status(attempt.number);
            let confirmed = |wanted: &dyn Fn(&Change) -> bool| {
                answers
                    .iter()
                    .any(|(change, status)| *status == 200 && wanted(change))
            };
            let answer = match self.answer_mode {
                AnswerMode::RejectsRepeats
                    if status == 200 && confirmed(&|change| *change == attempt.change) =>
                {
                    412
                }
                AnswerMode::ConfirmsByVersion
                    if status == 412
                        && confirmed(&|change| change.version == attempt.change.version) =>
                {
                    200
                }
                _ => status,
            };
            answers.push((&attempt.change, answer));
        }
        answers
    }

    /// Checks all answers and the configuration that was read last: at most one change on each base is confirmed, no
    /// confirmed change is rejected, the confirmed changes form a chain, and the configuration follows from them.
    pub(crate) fn check(
        &self,
        cluster: &Cluster,
        final_read: &Option<(u64, String)>,
    ) -> Result<(), String> {
        let answers = self.answers(cluster);
        let confirmed_changes: Vec<&Change> = answers
            .iter()
            .filter(|answer| answer.1 == 200)
            .map(|answer| answer.0)
            .collect();
        let mut by_base: BTreeMap<u64, &Change> = BTreeMap::new();
        for change in confirmed_changes {
            let winner = by_base.entry(change.base).or_insert(change);
            if *winner != change {
                return Err(format!(
                    "two changes on top of {} were confirmed",
                    change.base
                ));
            }
        }
        for (change, status) in &answers {
            if (400..500).contains(status) && by_base.get(&change.base) == Some(change) {
                return Err(format!(
                    "{} on {} was confirmed and rejected with {status}",
                    change.version, change.base
                ));
            }
        }
        check_chain(&by_base)?;
        check_final_read(&by_base, final_read)
    }
}

/// Checks that the version of each confirmed change is at most the base of the next one.
fn check_chain(by_base: &BTreeMap<u64, &Change>) -> Result<(), String> {
    for (former, later) in by_base.values().zip(by_base.values().skip(1)) {
        if former.version > later.base {
            return Err(format!(
                "{} was confirmed within {} to {}",
                later.base, former.base, former.version
            ));
        }
    }
    Ok(())
}

/// Checks that the configuration that was read last is that of the newest confirmed change, or of a later change
/// without a definite answer.
fn check_final_read(
    by_base: &BTreeMap<u64, &Change>,
    final_read: &Option<(u64, String)>,
) -> Result<(), String> {
    let Some(newest) = by_base.values().next_back() else {
        return Ok(());
    };
    match final_read {
        Some((version, _)) if *version < newest.version => Err(format!(
            "version {version} that was read is older than the newest confirmed one"
        )),
        Some((version, mark)) if *version == newest.version && !newest.content.contains(mark) => {
            Err(format!(
                "version {version} that was read differs from the confirmed one"
            ))
        }
        Some(_) => Ok(()),
        None => Err("no configuration was read".to_owned()),
    }
}

/// Returns whether a status is definite, so that an operator does not send the change again.
pub(crate) fn is_definite(status: u16) -> bool {
    (200..500).contains(&status)
}

/// Closes the connection of a request, so that its answer is lost.
pub(crate) fn abandon(cluster: &mut Cluster, number: u64) {
    for index in 0..cluster.machines.len() {
        cluster.event(
            index,
            Event::HttpAbandoned {
                id: HttpRequestId(number),
            },
        );
    }
}

/// Reads the configuration and returns its version and the path prefix of its only route.
pub(crate) fn read_config(cluster: &mut Cluster, index: usize) -> Option<(u64, String)> {
    for _ in 0..MAX_TRIES {
        let number = cluster.http(index, Method::Get, "/v1/config/get", None, "");
        cluster.run(300);
        let Some(reply) = cluster
            .replies
            .get(&number)
            .filter(|reply| reply.status == 200)
        else {
            continue;
        };
        let json: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
        let prefix = json["routes"][0]["path_prefix"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        return json["version"].as_u64().map(|version| (version, prefix));
    }
    None
}
