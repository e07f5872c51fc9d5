//! The service of the tests and a journal of its actions in all terms. Each new term checks the invariants that hold
//! across terms.

use sagetrail_protocol::client::{ClientMethod, ClientReply, ClientRequest};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{
    Batch, ConfigInForce, RecordOperation, Restored, Service, ServiceFactory,
};
use sagetrail_protocol::{Blob, Message, NodeId, Term, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// The request number of reads, which are answered at once under the lease.
pub(crate) const READ: u64 = u64::MAX;

/// The actions of the services of all terms.
#[derive(Default, Debug)]
pub(crate) struct Journal {
    /// The terms in which a service started, with the process, in order.
    pub terms: Vec<(Term, NodeId)>,
    /// The requests that were acknowledged.
    pub acked: BTreeSet<u64>,
    /// The version of the newest configuration that a service received.
    pub config_version: u64,
    /// The number of records with which the latest service started.
    pub records_restored: usize,
}

impl Journal {
    fn record_acknowledged(&mut self, request: u64) {
        if request != READ {
            self.acked.insert(request);
        }
    }
}

pub(crate) type SharedJournal = Arc<Mutex<Journal>>;

/// A service that stores each request as a record and acknowledges it once it is committed.
struct Counter {
    journal: SharedJournal,
    term: Term,
    /// The number of the latest batch.
    number: u64,
    /// The operations of the next batch.
    batch: Vec<RecordOperation>,
    /// The requests whose replies wait for the commit of a batch, by the number of the batch.
    waiting: BTreeMap<u64, Vec<(NodeId, u64)>>,
    /// The replies to send.
    ready: Vec<(NodeId, Message)>,
    config_version: u64,
}

/// Returns a factory of services that write to `journal`.
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

    fn start(shared: SharedJournal, restored: Restored<'_>) -> Counter {
        let mut journal = shared.lock().unwrap();
        let committed: BTreeSet<u64> = restored.records.keys().map(|key| number_of(key)).collect();
        let lost: Vec<&u64> = journal.acked.difference(&committed).collect();
        assert!(
            lost.is_empty(),
            "acknowledged requests are missing in term {}: {lost:?}",
            restored.term
        );
        if let Some((term, _)) = journal.terms.last() {
            assert!(
                restored.term > *term,
                "term {} started after term {term}",
                restored.term
            );
        }
        journal.terms.push((restored.term, restored.node));
        journal.records_restored = committed.len();
        let config_version = restored.config.map_or(0, |config| config.version);
        assert!(
            config_version >= journal.config_version,
            "the configuration version decreased"
        );
        journal.config_version = config_version;
        drop(journal);
        let (batch, ready, waiting) = (Vec::new(), Vec::new(), BTreeMap::new());
        Counter {
            journal: shared,
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
        let mut journal = self.journal.lock().unwrap();
        journal.config_version = journal.config_version.max(config.version);
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
        let mut journal = self.journal.lock().unwrap();
        if !sends.is_empty() {
            assert_eq!(
                journal.terms.last().unwrap().0,
                self.term,
                "the service of an old term sent messages"
            );
        }
        for (_, message) in &sends {
            if let Message::ClientReply(reply) = message {
                journal.record_acknowledged(reply.request);
            }
        }
        sends
    }
}
