//! The service of the tests, and what all its lives have done: a checker of what must hold across them.

use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{
    Batch, ConfigInForce, RecordOperation, Restored, Service, ServiceFactory,
};
use sagetrail_protocol::{Blob, Message, NodeId, Term, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// Names reads, which are answered at once under the lease.
pub(crate) const READ: u64 = u64::MAX;

/// What all services have done.
#[derive(Default, Debug)]
pub(crate) struct Journal {
    /// Terms in which a service started, in order.
    pub terms: Vec<(Term, NodeId)>,
    /// Requests that were acknowledged.
    pub acked: BTreeSet<u64>,
    /// The newest configuration that a service was given.
    pub config_version: u64,
    pub records_restored: usize,
}

impl Journal {
    fn note(&mut self, request: u64) {
        if request != READ {
            self.acked.insert(request);
        }
    }
}

pub(crate) type SharedJournal = Arc<Mutex<Journal>>;

struct Counter {
    journal: SharedJournal,
    term: Term,
    number: u64,
    batch: Vec<RecordOperation>,
    /// Replies that wait for a batch.
    waiting: BTreeMap<u64, Vec<(NodeId, u64)>>,
    ready: Vec<(NodeId, Message)>,
    config_version: u64,
}

/// Makes services that write into `journal`.
pub(crate) fn factory(journal: SharedJournal) -> ServiceFactory {
    Box::new(move |_, restored| Box::new(Counter::start(journal.clone(), restored)))
}

impl Counter {
    fn answer(&mut self, to: NodeId, request: u64) {
        let (status, retry_after_ms, body) = (200, 0, Blob::default());
        let config_version = self.config_version;
        let reply = ClientReply {
            request,
            status,
            retry_after_ms,
            body,
            config_version,
        };
        self.ready.push((to, Message::ClientReply(reply)));
    }

    fn start(journal: SharedJournal, restored: Restored) -> Counter {
        let mut book = journal.lock().unwrap();
        let committed: BTreeSet<u64> = restored
            .records
            .iter()
            .map(|(key, _)| number_of(key))
            .collect();
        let lost: Vec<&u64> = book.acked.difference(&committed).collect();
        assert!(lost.is_empty(), "term {} lost {lost:?}", restored.term);
        if let Some((term, _)) = book.terms.last() {
            assert!(restored.term > *term, "term {} after {term}", restored.term);
        }
        book.terms.push((restored.term, restored.node));
        book.records_restored = committed.len();
        let config_version = restored.config.map_or(0, |config| config.version);
        assert!(
            config_version >= book.config_version,
            "the configuration went back"
        );
        book.config_version = config_version;
        drop(book);
        let (batch, ready, waiting) = (Vec::new(), Vec::new(), BTreeMap::new());
        Counter {
            journal,
            term: restored.term,
            number: 0,
            batch,
            waiting,
            ready,
            config_version,
        }
    }
}

fn number_of(key: &[u8]) -> u64 {
    u64::from_be_bytes(key.try_into().unwrap())
}

impl Service for Counter {
    fn message(&mut self, _: Now, from: NodeId, message: Message) {
        let Message::ClientRequest(ClientRequest {
            request,
            method,
            body,
            ..
        }) = message
        else {
            return;
        };
        if method == ClientMethod::Read {
            return self.answer(from, READ);
        }
        let operation = RecordOperation::Put {
            key: request.to_be_bytes().to_vec(),
            value: body.0,
        };
        self.batch.push(operation);
        self.waiting
            .entry(self.number + 1)
            .or_default()
            .push((from, request));
    }

    fn config(&mut self, _: Now, config: ConfigInForce) {
        assert!(config.version > self.config_version);
        self.config_version = config.version;
        let mut book = self.journal.lock().unwrap();
        book.config_version = book.config_version.max(config.version);
    }

    fn committed(&mut self, _: Now, number: u64) {
        let later = self.waiting.split_off(&(number + 1));
        for (from, request) in std::mem::replace(&mut self.waiting, later)
            .into_values()
            .flatten()
        {
            self.answer(from, request);
        }
    }

    fn wake(&mut self, _: Now) {}

    fn next_wake(&self) -> Option<Time> {
        None
    }

    fn take_batch(&mut self) -> Option<Batch> {
        if self.batch.is_empty() {
            return None;
        }
        self.number += 1;
        Some(Batch {
            number: self.number,
            operations: std::mem::take(&mut self.batch),
        })
    }

    fn take_sends(&mut self) -> Vec<(NodeId, Message)> {
        let sends = std::mem::take(&mut self.ready);
        let mut book = self.journal.lock().unwrap();
        if !sends.is_empty() {
            assert_eq!(
                book.terms.last().unwrap().0,
                self.term,
                "an old term still speaks"
            );
        }
        for (_, message) in &sends {
            if let Message::ClientReply(reply) = message {
                book.note(reply.request);
            }
        }
        sends
    }
}
