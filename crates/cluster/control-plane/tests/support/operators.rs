//! Operators who send changes through any process, and a checker of all the answers that they were given.

use super::cluster::Cluster;
use super::requests::config;
use sagetrail_protocol::node::{Event, HttpRequestId, Method};
use std::collections::BTreeMap;

/// The longest wait for an answer, in milliseconds.
const PATIENCE_MS: u64 = 5_000;
/// A change that was left open is sent this often before a test gives up.
const MAX_TRIES: usize = 20;

/// A change of the operator.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Change {
    pub path: &'static str,
    pub base: u64,
    pub version: u64,
    pub content: String,
}

/// A full configuration; `mark` tells apart the contents under one number.
pub(crate) fn replacement(base: u64, version: u64, mark: &str) -> Change {
    let content = config(version).replace("/p", &format!("/{mark}p"));
    Change {
        path: "/v1/config/replace",
        base,
        version,
        content,
    }
}

/// A change of the only route, with the same effect as `replacement`.
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

/// How the processes answer: as they do, or as one that a checker must find out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Answering {
    Sound,
    /// A change that was confirmed before is rejected.
    RefusesRepeats,
    /// Any change is confirmed whose number a confirmed one had.
    ConfirmsByVersion,
}

struct Attempt {
    change: Change,
    number: u64,
}

/// All changes sent in one cluster.
pub(crate) struct Operators {
    answering: Answering,
    attempts: Vec<Attempt>,
}

impl Operators {
    pub(crate) fn new(answering: Answering) -> Operators {
        Operators {
            answering,
            attempts: Vec::new(),
        }
    }

    /// Sends a change and gives the request's number.
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

    /// Sends a change and waits for the answer; 0 where there is none.
    pub(crate) fn ask(&mut self, cluster: &mut Cluster, index: usize, change: &Change) -> u16 {
        let number = self.send(cluster, index, change);
        let end = cluster.now + PATIENCE_MS * 1000;
        while cluster.status(number) == 0 && cluster.now < end {
            cluster.run(1);
        }
        self.status(cluster, number)
    }

    /// Sends a change again and again, as the operator does, until the answer is clear.
    pub(crate) fn send_until_answered(
        &mut self,
        cluster: &mut Cluster,
        index: usize,
        change: &Change,
    ) -> u16 {
        for _ in 0..MAX_TRIES {
            let status = self.ask(cluster, index, change);
            if is_clear(status) {
                return status;
            }
            cluster.run(300);
        }
        panic!("no clear answer to {} on {}", change.version, change.base);
    }

    /// All changes that were ever sent, each once.
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

    /// The answer to one request.
    pub(crate) fn status(&self, cluster: &Cluster, number: u64) -> u16 {
        let answers = self.answers(cluster);
        let place = self
            .attempts
            .iter()
            .position(|attempt| attempt.number == number);
        place.map_or(0, |place| answers[place].1)
    }

    /// Each attempt's change and the answer to it, 0 where there is none.
    fn answers(&self, cluster: &Cluster) -> Vec<(&Change, u16)> {
        let mut answers: Vec<(&Change, u16)> = Vec::new();
        for attempt in &self.attempts {
            let status = cluster.status(attempt.number);
            let confirmed = |wanted: &dyn Fn(&Change) -> bool| {
                answers
                    .iter()
                    .any(|(change, status)| *status == 200 && wanted(change))
            };
            let answer = match self.answering {
                Answering::RefusesRepeats
                    if status == 200 && confirmed(&|change| *change == attempt.change) =>
                {
                    412
                }
                Answering::ConfirmsByVersion
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

    /// What must hold of all answers that were given, and of the configuration read back last.
    pub(crate) fn check(
        &self,
        cluster: &Cluster,
        read_back: &Option<(u64, String)>,
    ) -> Result<(), String> {
        let answers = self.answers(cluster);
        let taken: Vec<&Change> = answers
            .iter()
            .filter(|answer| answer.1 == 200)
            .map(|answer| answer.0)
            .collect();
        let mut by_base: BTreeMap<u64, &Change> = BTreeMap::new();
        for change in taken {
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
                    "{} on {} was taken and refused with {status}",
                    change.version, change.base
                ));
            }
        }
        check_chain(&by_base)?;
        check_read_back(&by_base, read_back)
    }
}

/// Every confirmed change ends before the next one begins.
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

/// What is read back is the newest confirmed change, or one without a clear answer on top of it.
fn check_read_back(
    by_base: &BTreeMap<u64, &Change>,
    read_back: &Option<(u64, String)>,
) -> Result<(), String> {
    let Some(newest) = by_base.values().next_back() else {
        return Ok(());
    };
    match read_back {
        Some((version, _)) if *version < newest.version => {
            Err(format!("{version} read back is too old"))
        }
        Some((version, mark)) if *version == newest.version && !newest.content.contains(mark) => {
            Err(format!("{version} read back is not what was confirmed"))
        }
        Some(_) => Ok(()),
        None => Err("nothing was read back".to_owned()),
    }
}

/// Whether an operator does not send the change again after this answer.
pub(crate) fn is_clear(status: u16) -> bool {
    (200..500).contains(&status)
}

/// The caller closes its connection: the answer is lost.
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

/// The path prefix of the only route in the configuration read back, with its version.
pub(crate) fn read_back(cluster: &mut Cluster, index: usize) -> Option<(u64, String)> {
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
