//! The replica: promises of terms, the lease it granted, and its copy of the records.

use crate::effects::Effects;
use crate::persisted::{put_replica, ReplicaState, TermPromise};
use crate::records::Records;
use crate::snapshot::Images;
use crate::snapshot_transfer::Collection;
use crate::timing::{BEHIND_MS, LEASE_MS};
use sagetrail_protocol::control::{
    ControlMessage, FetchSnapshot, RecordBatch, RecordChange, RecordsPosition, RecordsSynced,
    Renew, RenewAck, SnapshotChunk,
};
use sagetrail_protocol::{List, NodeId, Term, Time};
use std::collections::BTreeMap;

/// So many batches wait for the whole records or for an earlier batch.
const MAX_BUFFERED: usize = 256;

/// The term that this replica follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Followed {
    pub term: Term,
    pub leader: NodeId,
    base: RecordsPosition,
    source: NodeId,
}

/// What the process says of itself with each acknowledgement of a lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Condition {
    /// It was asked to end.
    pub leaving: bool,
    /// It knows the register's newest value and all accepted changes.
    pub caught_up: bool,
}

/// The replica of one process.
#[derive(Debug)]
pub(crate) struct Replica {
    node: NodeId,
    pub state: ReplicaState,
    /// The newest state that is surely on disk.
    pub synced: RecordsPosition,
    pub records: Records,
    /// No term is promised before: a lease may be running.
    pub lease_until: Time,
    pub(crate) followed: Option<Followed>,
    /// The term whose leader is surely named on disk: only then is a lease granted to it.
    leader_on_disk: Option<Term>,
    buffered: BTreeMap<u64, List<RecordChange>>,
    collection: Option<Collection>,
    behind_since: Option<Time>,
    images: Images,
}

impl Replica {
    /// A replica that has just started and may have granted a lease in its former life.
    pub(crate) fn new(node: NodeId, now: Time, state: ReplicaState, records: Records) -> Replica {
        Replica {
            node,
            state,
            synced: state.position,
            records,
            lease_until: now.plus_millis(LEASE_MS),
            followed: None,
            leader_on_disk: None,
            buffered: BTreeMap::new(),
            collection: None,
            behind_since: None,
            images: Images::default(),
        }
    }

    /// The highest term known and its leader, if that is known.
    pub(crate) fn promised_term(&self) -> (Term, NodeId) {
        match &self.followed {
            Some(followed) if followed.term == self.state.promise.term => {
                (followed.term, followed.leader)
            }
            _ => (self.state.promise.term, NodeId::default()),
        }
    }

    /// The leader, while its lease may be running.
    pub(crate) fn live_leader(&self, now: Time) -> Option<NodeId> {
        let (_, leader) = self.promised_term();
        (now < self.lease_until && leader != NodeId::default()).then_some(leader)
    }

    /// The leader renews its lease.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        from: NodeId,
        renew: &Renew,
        condition: Condition,
        effects: &mut Effects,
    ) {
        if renew.term < self.state.promise.term {
            let ack = self.renew_ack(renew, condition);
            return effects.control(from, ack);
        }
        self.lease_until = now.plus_millis(LEASE_MS);
        self.follow(from, renew);
        self.name_leader(from, renew.term);
        let ack = self.renew_ack(renew, condition);
        if self.leader_on_disk == Some(renew.term) {
            effects.control(from, ack);
        } else {
            let mut then = vec![(self.node, ack.clone())];
            then.extend((from != self.node).then_some((from, ack)));
            effects.write(vec![put_replica(&self.state)], then);
        }
        self.catch_up(now, renew.number, effects);
    }

    /// After a restart the promise alone tells who may hold a lease. It may have been made to a candidate that lost.
    fn name_leader(&mut self, leader: NodeId, term: Term) {
        if (self.state.promise.term, self.state.promise.node) != (term, leader) {
            self.state.promise = TermPromise {
                term,
                node: leader,
                incarnation: 0,
            };
        }
    }

    /// The leader of the term has been synced as the holder of the lease.
    pub(crate) fn leader_synced(&mut self, term: Term) {
        self.leader_on_disk = self.leader_on_disk.max(Some(term));
    }

    /// Forgets what was on its way in an earlier term.
    pub(crate) fn forget_transfers(&mut self) {
        self.collection = None;
        self.buffered.clear();
        self.behind_since = None;
    }

    fn renew_ack(&self, renew: &Renew, condition: Condition) -> ControlMessage {
        let promised = self.state.promise.term;
        ControlMessage::RenewAck(RenewAck {
            term: renew.term,
            sent_at: renew.sent_at,
            promised,
            position: self.synced,
            leaving: condition.leaving,
            caught_up: condition.caught_up,
        })
    }

    fn follow(&mut self, leader: NodeId, renew: &Renew) {
        if self
            .followed
            .is_none_or(|followed| followed.term != renew.term)
        {
            self.forget_transfers();
        }
        self.followed = Some(Followed {
            term: renew.term,
            leader,
            base: renew.base,
            source: renew.source,
        });
    }

    fn catch_up(&mut self, now: Time, newest: u64, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        if self.state.position.term == followed.term && self.state.complete {
            // The leader sends on once it hears what was synced: what waits for the disk is not behind.
            let behind = newest > self.state.position.number && self.synced == self.state.position;
            self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
            let long = self
                .behind_since
                .is_some_and(|since| now >= since.plus_millis(BEHIND_MS));
            if long {
                self.collect(now, followed, newest, effects);
            }
            return;
        }
        if self.state.position == followed.base && self.state.complete {
            self.state.position = RecordsPosition {
                term: followed.term,
                number: 0,
            };
            self.store(Vec::new(), effects);
            return self.apply_buffered(effects);
        }
        self.collect(now, followed, newest, effects);
    }

    /// A transfer goes on from the source with which it began, while that one gives.
    fn collect(&mut self, now: Time, followed: Followed, newest: u64, effects: &mut Effects) {
        let source = followed.source;
        if source == self.node {
            return;
        }
        let oldest = self.oldest_useful(followed.term, newest);
        match &mut self.collection {
            None => {
                self.collection = Some(Collection::start(
                    now,
                    followed.term,
                    source,
                    oldest,
                    effects,
                ))
            }
            Some(collection) if collection.source != source && collection.is_silent(now) => {
                collection.turn_to(now, source, effects);
            }
            Some(_) => {}
        }
    }

    /// The oldest state of which an image is of use. With its disk a replica may have lost what it acknowledged, which
    /// is no newer than the leader's newest batch; otherwise its own state holds all of that.
    fn oldest_useful(&self, term: Term, newest: u64) -> RecordsPosition {
        if !self.state.complete && newest > 0 {
            return RecordsPosition {
                term,
                number: newest,
            };
        }
        if self.state.complete && self.state.position.term == term {
            return RecordsPosition {
                term,
                number: self.state.position.number + 1,
            };
        }
        RecordsPosition::default()
    }

    /// Whether records are being fetched from a source that gives nothing.
    pub(crate) fn source_is_silent(&self, now: Time) -> bool {
        self.collection
            .as_ref()
            .is_some_and(|collection| collection.is_silent(now))
    }

    /// A batch came.
    pub(crate) fn batch(&mut self, from: NodeId, batch: RecordBatch, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        let current = followed.term == batch.term && followed.leader == from;
        if !current || self.state.promise.term != batch.term {
            return;
        }
        if self.state.position.term == batch.term && batch.number <= self.state.position.number {
            if batch.number <= self.synced.number && self.synced.term == batch.term {
                effects.control(
                    from,
                    ControlMessage::RecordsSynced(RecordsSynced {
                        position: self.synced,
                    }),
                );
            }
            return;
        }
        if self.buffered.len() < MAX_BUFFERED {
            self.buffered.insert(batch.number, batch.changes);
        }
        self.apply_buffered(effects);
    }

    fn apply_buffered(&mut self, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        if self.state.position.term != followed.term {
            return;
        }
        let mut operations = Vec::new();
        let before = self.state.position.number;
        while let Some(changes) = self.buffered.remove(&(self.state.position.number + 1)) {
            operations.extend(self.records.apply(&changes));
            self.state.position.number += 1;
        }
        let number = self.state.position.number;
        self.buffered.retain(|buffered, _| *buffered > number);
        if number > before {
            // Where batches come on there is no need for an image.
            self.behind_since = None;
            self.collection = None;
            self.store(operations, effects);
        }
    }

    fn store(
        &mut self,
        mut operations: Vec<sagetrail_protocol::node::DiskOperation>,
        effects: &mut Effects,
    ) {
        operations.push(put_replica(&self.state));
        let stored = ControlMessage::RecordsSynced(RecordsSynced {
            position: self.state.position,
        });
        let mut then = vec![(self.node, stored.clone())];
        if let Some(followed) = self
            .followed
            .filter(|followed| followed.leader != self.node)
        {
            then.push((followed.leader, stored));
        }
        effects.write(operations, then);
    }

    /// The records have been synced up to this state.
    pub(crate) fn stored(&mut self, position: RecordsPosition) {
        self.synced = self.synced.max(position);
    }

    /// Somebody fetches the whole records.
    pub(crate) fn fetch(
        &mut self,
        now: Time,
        from: NodeId,
        fetch: &FetchSnapshot,
        effects: &mut Effects,
    ) {
        if !self.state.complete {
            return;
        }
        if let Some(chunk) = self
            .images
            .chunk(now, from, fetch, self.state.position, &self.records)
        {
            effects.control(from, ControlMessage::SnapshotChunk(chunk));
        }
    }

    /// A piece of the whole records came.
    pub(crate) fn chunk(
        &mut self,
        now: Time,
        from: NodeId,
        chunk: SnapshotChunk,
        effects: &mut Effects,
    ) {
        let Some(collection) = &mut self.collection else {
            return;
        };
        let Some((position, records)) = collection.take(now, from, chunk, effects) else {
            return;
        };
        self.collection = None;
        self.install(position, records, effects);
    }

    fn install(&mut self, position: RecordsPosition, records: Records, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        let term = followed.term;
        let position = if position == followed.base {
            RecordsPosition { term, number: 0 }
        } else {
            position
        };
        let newer = position > self.state.position || !self.state.complete;
        if position.term != term || !newer || self.state.promise.term != term {
            return;
        }
        self.records = records;
        self.state.position = position;
        self.state.complete = true;
        self.behind_since = None;
        while let Some(changes) = self.buffered.remove(&(self.state.position.number + 1)) {
            self.records.apply(&changes);
            self.state.position.number += 1;
        }
        self.store(self.records.rewrite(), effects);
    }

    /// Repeats requests and drops what is old. Pieces are kept while no leader is heard: its term may go on.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) {
        if let Some(collection) = self.collection.as_mut().filter(|_| now < self.lease_until) {
            collection.tick(now, effects);
        }
        self.images.tick(now);
    }

    /// When something is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let collection = self.collection.as_ref().map(Collection::next_wake);
        let collection = collection.filter(|due| *due < self.lease_until);
        [collection, self.images.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
