//! The model's core processes. One of them is the leader; it accepts jobs and commits each after a short delay, and may
//! be deposed before the commit.

use std::collections::{BTreeMap, BTreeSet};

use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest, NotLeader};
use sagetrail_protocol::directory::Directory;
use sagetrail_protocol::{Blob, List, Message, NodeId};
use sagetrail_test_support::SeededRandom;

pub(crate) const CORE: [NodeId; 3] = [
    NodeId { ip: 11, port: 7 },
    NodeId { ip: 12, port: 7 },
    NodeId { ip: 13, port: 7 },
];
const REJECTIONS: [u16; 3] = [404, 429, 503];
const MAX_VACANCY_MS: u64 = 900;
const MAX_COMMIT_MS: u64 = 60;

/// A job that was accepted and is not committed yet, and the gateway's request that is answered after the commit.
struct Uncommitted {
    path: String,
    gateway: NodeId,
    request: u64,
    commit_ms: u64,
}

/// A message that a core process sends to a gateway.
pub(crate) struct CoreMessage {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
}

#[derive(Default)]
pub(crate) struct CoreProcesses {
    term: u64,
    leader: Option<NodeId>,
    /// The time at which the next leader is elected, in milliseconds.
    vacant_until_ms: u64,
    uncommitted: Vec<Uncommitted>,
    committed: BTreeSet<String>,
    /// The numbers of the clients' attempts by which each job was accepted, by the job's path.
    accepted_by: BTreeMap<String, Vec<u64>>,
}

impl CoreProcesses {
    /// Deposes the leader. Each job that it accepted and did not commit is committed or lost at random.
    pub(crate) fn depose(&mut self, now_ms: u64, random: &mut SeededRandom) {
        self.leader = None;
        self.vacant_until_ms = now_ms + random.below(MAX_VACANCY_MS);
        for uncommitted in std::mem::take(&mut self.uncommitted) {
            if random.one_in(2) {
                self.committed.insert(uncommitted.path);
            }
        }
    }

    /// Elects a leader if there is none and the vacancy is over. Commits the jobs that are due and returns their
    /// answers.
    pub(crate) fn tick(&mut self, now_ms: u64, random: &mut SeededRandom) -> Vec<CoreMessage> {
        if self.leader.is_none() && now_ms >= self.vacant_until_ms {
            self.term += 1;
            self.leader = Some(CORE[random.below(3) as usize]);
        }
        let Some(leader) = self.leader else {
            return Vec::new();
        };
        let committed: Vec<Uncommitted> = self
            .uncommitted
            .extract_if(.., |job| job.commit_ms <= now_ms)
            .collect();
        committed
            .into_iter()
            .map(|job| {
                self.committed.insert(job.path.clone());
                CoreMessage {
                    from: leader,
                    to: job.gateway,
                    message: reply(job.request, 200, &job.path),
                }
            })
            .collect()
    }

    pub(crate) fn directory(&self) -> Message {
        Message::Directory(Directory {
            members_version: 1,
            members: List(CORE.to_vec()),
            next_members: List::default(),
            term: self.term,
            leader: self.leader.unwrap_or_default(),
            config_version: 1,
            relays: List::default(),
        })
    }

    /// Handles a request at `process` and returns its immediate answer, if there is one.
    pub(crate) fn handle_request(
        &mut self,
        now_ms: u64,
        process: NodeId,
        gateway: NodeId,
        request: ClientRequest,
        random: &mut SeededRandom,
    ) -> Option<Message> {
        if self.leader != Some(process) {
            return Some(Message::NotLeader(NotLeader {
                request: request.request,
                term: self.term,
                leader: self.leader.unwrap_or_default(),
            }));
        }
        if request.method == ClientMethod::Submit {
            return self.submit(now_ms, gateway, &request, random);
        }
        let status = if self.has_committed(&request.path) {
            200
        } else {
            410
        };
        Some(reply(request.request, status, &request.path))
    }

    fn submit(
        &mut self,
        now_ms: u64,
        gateway: NodeId,
        request: &ClientRequest,
        random: &mut SeededRandom,
    ) -> Option<Message> {
        let path = request.path.to_string();
        if self.committed.contains(&path) {
            return Some(reply(request.request, 200, &path));
        }
        let is_accepted = self.uncommitted.iter().any(|job| job.path == path);
        if !is_accepted && random.one_in(4) {
            let status = REJECTIONS[random.below(3) as usize];
            return Some(reply(request.request, status, &path));
        }
        if !is_accepted {
            let attempt = u64::from_le_bytes(
                request.body[..]
                    .try_into()
                    .expect("the body is the number of an attempt"),
            );
            self.accepted_by
                .entry(path.clone())
                .or_default()
                .push(attempt);
        }
        self.uncommitted.push(Uncommitted {
            path,
            gateway,
            request: request.request,
            commit_ms: now_ms + random.below(MAX_COMMIT_MS),
        });
        None
    }

    /// Returns whether the job is committed.
    pub(crate) fn has_committed(&self, path: &str) -> bool {
        self.committed.contains(path)
    }

    /// Returns whether the job was accepted by this attempt, committed or not.
    pub(crate) fn has_accepted(&self, path: &str, attempt: u64) -> bool {
        self.accepted_by
            .get(path)
            .is_some_and(|attempts| attempts.contains(&attempt))
    }
}

/// Builds an answer whose body is the path of the request.
fn reply(request: u64, status: u16, path: &str) -> Message {
    Message::ClientReply(ClientReply {
        request,
        status,
        retry_after_ms: 0,
        body: Blob(path.as_bytes().to_vec()),
        config_version: 1,
    })
}
