//! The core processes: one of them takes requests at a time, keeps them a little later, and may lose its office before.

use super::chance::Chance;
use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest, NotLeader};
use sagetrail_protocol::directory::Directory;
use sagetrail_protocol::{Blob, List, Message, NodeId};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const CORE: [NodeId; 3] = [
    NodeId { ip: 11, port: 7 },
    NodeId { ip: 12, port: 7 },
    NodeId { ip: 13, port: 7 },
];

/// A job that was taken and is not kept yet: who is answered, once it is.
struct Unkept {
    path: String,
    to: NodeId,
    request: u64,
    kept_at_ms: u64,
}

#[derive(Default)]
pub(crate) struct Core {
    pub term: u64,
    pub leader: Option<NodeId>,
    /// The next leader comes then.
    vacant_until_ms: u64,
    unkept: Vec<Unkept>,
    kept: BTreeSet<String>,
    /// By which tries of its clients each job was taken.
    pub takers: BTreeMap<String, Vec<u64>>,
}

impl Core {
    /// The leader loses its office; what it had taken and not kept is kept by chance.
    pub(crate) fn depose(&mut self, now_ms: u64, chance: &mut Chance) {
        self.leader = None;
        self.vacant_until_ms = now_ms + chance.below(900);
        for unkept in std::mem::take(&mut self.unkept) {
            if chance.once_in(2) {
                self.kept.insert(unkept.path);
            }
        }
    }

    /// Elects where there is no leader; answers what is kept now.
    pub(crate) fn tick(
        &mut self,
        now_ms: u64,
        chance: &mut Chance,
    ) -> Vec<(NodeId, NodeId, Message)> {
        if self.leader.is_none() && now_ms >= self.vacant_until_ms {
            self.term += 1;
            self.leader = Some(CORE[chance.below(3) as usize]);
        }
        let Some(leader) = self.leader else {
            return Vec::new();
        };
        let kept: Vec<Unkept> = self
            .unkept
            .extract_if(.., |job| job.kept_at_ms <= now_ms)
            .collect();
        kept.into_iter()
            .map(|job| {
                self.kept.insert(job.path.clone());
                (leader, job.to, reply(job.request, 200, &job.path))
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

    /// What the process `at` answers at once, if anything.
    pub(crate) fn request(
        &mut self,
        now_ms: u64,
        at: NodeId,
        from: NodeId,
        request: ClientRequest,
        chance: &mut Chance,
    ) -> Option<Message> {
        if self.leader != Some(at) {
            let (term, leader) = (self.term, self.leader.unwrap_or_default());
            return Some(Message::NotLeader(NotLeader {
                request: request.request,
                term,
                leader,
            }));
        }
        let path = request.path.to_string();
        if request.method == ClientMethod::Submit {
            return self.submit(now_ms, from, &request, path, chance);
        }
        let status = if self.knows(&path) { 200 } else { 410 };
        Some(reply(request.request, status, &path))
    }

    fn submit(
        &mut self,
        now_ms: u64,
        to: NodeId,
        request: &ClientRequest,
        path: String,
        chance: &mut Chance,
    ) -> Option<Message> {
        let request_number = request.request;
        if self.kept.contains(&path) {
            return Some(reply(request_number, 200, &path));
        }
        let under_way = self.unkept.iter().any(|job| job.path == path);
        if !under_way && chance.once_in(4) {
            let status = [404, 429, 503][chance.below(3) as usize];
            return Some(reply(request_number, status, &path));
        }
        if !under_way {
            let one_try =
                u64::from_le_bytes(request.body[..].try_into().expect("the number of a try"));
            self.takers.entry(path.clone()).or_default().push(one_try);
        }
        let kept_at_ms = now_ms + chance.below(60);
        self.unkept.push(Unkept {
            path,
            to,
            request: request_number,
            kept_at_ms,
        });
        None
    }

    fn knows(&self, path: &str) -> bool {
        self.kept.contains(path)
    }

    /// True where the job is kept for good.
    pub(crate) fn keeps(&self, path: &str) -> bool {
        self.kept.contains(path)
    }
}

/// An answer that names in its body what was asked.
fn reply(request: u64, status: u16, path: &str) -> Message {
    let body = Blob(path.as_bytes().to_vec());
    Message::ClientReply(ClientReply {
        request,
        status,
        retry_after_ms: 0,
        body,
        config_version: 1,
    })
}
