//! The replica: promises of terms, the lease it granted, and its copy of the records.
use crate::collection::Collection;
use crate::effects::Effects;
use crate::image::Images;
use crate::persisted::{put_replica, ReplicaState, TermPromise};
use crate::records::Records;
use crate::timing::{BEHIND_MS, LEASE_MS};
use sagetrail_protocol::control::{
    ControlMessage, FetchSnapshot, RecordBatch, RecordChange, RecordsTag, Renew, RenewAck,
    SnapshotChunk, Stored,
};
use sagetrail_protocol::{Epoch, List, NodeId, Time};
use std::collections::BTreeMap;

/// So many batches wait for the whole records or for an earlier batch.
const MAX_BUFFERED: usize = 256;

/// The term that this replica follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Followed {
    pub epoch: Epoch,
    pub owner: NodeId,
    base: RecordsTag,
    source: NodeId,
}

/// What the process says of itself with each acknowledgement of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Condition {
    /// It was asked to end.
    pub leaving: bool,
    /// It knows the register's newest value and all accepted changes.
    pub caught_up: bool,
}

/// The replica of one process.
#[derive(Debug)]
pub struct Replica {
    node: NodeId,
    pub state: ReplicaState,
    /// The newest state that is surely on disk.
    pub synced: RecordsTag,
    pub records: Records,
    /// No term is promised before: a lease may be running.
    pub lease_until: Time,
    pub(crate) followed: Option<Followed>,
    /// The term whose owner is surely named on disk: only then is a lease granted to it.
    owner_on_disk: Option<Epoch>,
    buffered: BTreeMap<u64, List<RecordChange>>,
    collection: Option<Collection>,
    behind_since: Option<Time>,
    images: Images,
}

impl Replica {
    /// A replica that has just started and may have granted a lease in its former life.
    pub fn new(node: NodeId, now: Time, state: ReplicaState, records: Records) -> Replica {
        Replica {
            node,
            state,
            synced: state.tag,
            records,
            lease_until: now.plus_millis(LEASE_MS),
            followed: None,
            owner_on_disk: None,
            buffered: BTreeMap::new(),
            collection: None,
            behind_since: None,
            images: Images::default(),
        }
    }

    /// The highest term known and its owner, if that is known.
    pub fn term(&self) -> (Epoch, NodeId) {
        match &self.followed {
            Some(followed) if followed.epoch == self.state.promise.epoch => {
                (followed.epoch, followed.owner)
            }
            _ => (self.state.promise.epoch, NodeId::default()),
        }
    }

    /// The owner, while its lease may be running.
    pub fn live_owner(&self, now: Time) -> Option<NodeId> {
        let (_, owner) = self.term();
        (now < self.lease_until && owner != NodeId::default()).then_some(owner)
    }

    /// The owner renews its lease.
    pub fn renew(
        &mut self,
        now: Time,
        from: NodeId,
        renew: &Renew,
        condition: Condition,
        effects: &mut Effects,
    ) {
        if renew.epoch < self.state.promise.epoch {
            let ack = self.renew_ack(renew, condition);
            return effects.control(from, ack);
        }
        self.lease_until = now.plus_millis(LEASE_MS);
        self.follow(from, renew);
        self.name_owner(from, renew.epoch);
        let ack = self.renew_ack(renew, condition);
        if self.owner_on_disk == Some(renew.epoch) {
            effects.control(from, ack);
        } else {
            let mut then = vec![(self.node, ack.clone())];
            then.extend((from != self.node).then_some((from, ack)));
            effects.write(vec![put_replica(&self.state)], then);
        }
        self.catch_up(now, renew.number, effects);
    }

    /// After a restart the promise alone tells who may hold a lease. It may have been made to a candidate that lost.
    fn name_owner(&mut self, owner: NodeId, epoch: Epoch) {
        if (self.state.promise.epoch, self.state.promise.node) != (epoch, owner) {
            self.state.promise = TermPromise {
                epoch,
                node: owner,
                incarnation: 0,
            };
        }
    }

    /// The owner of the term has been synced as the holder of the lease.
    pub fn owner_kept(&mut self, epoch: Epoch) {
        self.owner_on_disk = self.owner_on_disk.max(Some(epoch));
    }

    /// Forgets what was on its way in an earlier term.
    pub(crate) fn forget_transfers(&mut self) {
        self.collection = None;
        self.buffered.clear();
        self.behind_since = None;
    }

    fn renew_ack(&self, renew: &Renew, condition: Condition) -> ControlMessage {
        let promised = self.state.promise.epoch;
        ControlMessage::RenewAck(RenewAck {
            epoch: renew.epoch,
            sent_at: renew.sent_at,
            promised,
            tag: self.synced,
            leaving: condition.leaving,
            caught_up: condition.caught_up,
        })
    }

    fn follow(&mut self, owner: NodeId, renew: &Renew) {
        if self
            .followed
            .is_none_or(|followed| followed.epoch != renew.epoch)
        {
            self.forget_transfers();
        }
        self.followed = Some(Followed {
            epoch: renew.epoch,
            owner,
            base: renew.base,
            source: renew.source,
        });
    }

    fn catch_up(&mut self, now: Time, newest: u64, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        if self.state.tag.epoch == followed.epoch && self.state.whole {
            // The owner sends on once it hears what was synced: what waits for the disk is not behind.
            let behind = newest > self.state.tag.number && self.synced == self.state.tag;
            self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
            let long = self
                .behind_since
                .is_some_and(|since| now >= since.plus_millis(BEHIND_MS));
            if long {
                self.collect(now, followed, newest, effects);
            }
            return;
        }
        if self.state.tag == followed.base && self.state.whole {
            self.state.tag = RecordsTag {
                epoch: followed.epoch,
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
        let oldest = self.oldest_useful(followed.epoch, newest);
        match &mut self.collection {
            None => {
                self.collection = Some(Collection::start(
                    now,
                    followed.epoch,
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
    /// is no newer than the owner's newest batch; otherwise its own state holds all of that.
    fn oldest_useful(&self, epoch: Epoch, newest: u64) -> RecordsTag {
        if !self.state.whole && newest > 0 {
            return RecordsTag {
                epoch,
                number: newest,
            };
        }
        if self.state.whole && self.state.tag.epoch == epoch {
            return RecordsTag {
                epoch,
                number: self.state.tag.number + 1,
            };
        }
        RecordsTag::default()
    }

    /// Whether records are being fetched from a source that gives nothing.
    pub fn source_is_silent(&self, now: Time) -> bool {
        self.collection
            .as_ref()
            .is_some_and(|collection| collection.is_silent(now))
    }

    /// A batch came.
    pub fn batch(&mut self, from: NodeId, batch: RecordBatch, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        let current = followed.epoch == batch.epoch && followed.owner == from;
        if !current || self.state.promise.epoch != batch.epoch {
            return;
        }
        if self.state.tag.epoch == batch.epoch && batch.number <= self.state.tag.number {
            if batch.number <= self.synced.number && self.synced.epoch == batch.epoch {
                effects.control(from, ControlMessage::Stored(Stored { tag: self.synced }));
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
        if self.state.tag.epoch != followed.epoch {
            return;
        }
        let mut operations = Vec::new();
        let before = self.state.tag.number;
        while let Some(changes) = self.buffered.remove(&(self.state.tag.number + 1)) {
            operations.extend(self.records.apply(&changes));
            self.state.tag.number += 1;
        }
        let number = self.state.tag.number;
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
        let stored = ControlMessage::Stored(Stored {
            tag: self.state.tag,
        });
        let mut then = vec![(self.node, stored.clone())];
        if let Some(followed) = self.followed.filter(|followed| followed.owner != self.node) {
            then.push((followed.owner, stored));
        }
        effects.write(operations, then);
    }

    /// The records have been synced up to this state.
    pub fn stored(&mut self, tag: RecordsTag) {
        self.synced = self.synced.max(tag);
    }

    /// Somebody fetches the whole records.
    pub fn fetch(&mut self, now: Time, from: NodeId, fetch: &FetchSnapshot, effects: &mut Effects) {
        if !self.state.whole {
            return;
        }
        if let Some(chunk) = self
            .images
            .chunk(now, from, fetch, self.state.tag, &self.records)
        {
            effects.control(from, ControlMessage::SnapshotChunk(chunk));
        }
    }

    /// A piece of the whole records came.
    pub fn chunk(&mut self, now: Time, from: NodeId, chunk: SnapshotChunk, effects: &mut Effects) {
        let Some(collection) = &mut self.collection else {
            return;
        };
        let Some((tag, records)) = collection.take(now, from, chunk, effects) else {
            return;
        };
        self.collection = None;
        self.install(tag, records, effects);
    }

    fn install(&mut self, tag: RecordsTag, records: Records, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        let epoch = followed.epoch;
        let tag = if tag == followed.base {
            RecordsTag { epoch, number: 0 }
        } else {
            tag
        };
        let newer = tag > self.state.tag || !self.state.whole;
        if tag.epoch != epoch || !newer || self.state.promise.epoch != epoch {
            return;
        }
        self.records = records;
        self.state.tag = tag;
        self.state.whole = true;
        self.behind_since = None;
        while let Some(changes) = self.buffered.remove(&(self.state.tag.number + 1)) {
            self.records.apply(&changes);
            self.state.tag.number += 1;
        }
        self.store(self.records.rewrite(), effects);
    }

    /// Repeats requests and drops what is old. Pieces are kept while no owner is heard: its term may go on.
    pub fn tick(&mut self, now: Time, effects: &mut Effects) {
        if let Some(collection) = self.collection.as_mut().filter(|_| now < self.lease_until) {
            collection.tick(now, effects);
        }
        self.images.tick(now);
    }

    /// When something is due.
    pub fn next_wake(&self) -> Option<Time> {
        let collection = self.collection.as_ref().map(Collection::next_wake);
        let collection = collection.filter(|due| *due < self.lease_until);
        [collection, self.images.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
