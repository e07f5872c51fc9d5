//! The replica of one process: the terms it has promised, the lease it has granted, and its copy of the records.

use crate::effects::Effects;
use crate::persisted::{put_replica, ReplicaState, TermPromise};
use crate::records::Records;
use crate::snapshot::SnapshotStore;
use crate::snapshot_transfer::{SnapshotTransfer, TransferredSnapshot};
use crate::timing::{BEHIND_MS, LEASE_MS};
use sagetrail_protocol::control::{
    ControlMessage, FetchSnapshot, RecordBatch, RecordChange, RecordsPosition, RecordsSynced,
    Renew, RenewAck, SnapshotChunk,
};
use sagetrail_protocol::node::DiskOperation;
use sagetrail_protocol::{List, NodeId, Term, Time};
use std::collections::BTreeMap;

/// So many batches are buffered until an earlier batch or the complete records arrive.
const MAX_BUFFERED: usize = 256;

/// The term that this replica follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FollowedTerm {
    /// The term.
    pub term: Term,
    /// The process that leads it.
    pub leader: NodeId,
    /// The state on which the term builds.
    base: RecordsPosition,
    /// The process from which the base can be fetched.
    source: NodeId,
}

/// What the process reports of itself with each acknowledgement of a lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessStatus {
    /// It was asked to end.
    pub leaving: bool,
    /// It knows the register's newest value and all accepted changes.
    pub caught_up: bool,
}

/// The replica of one process.
#[derive(Debug)]
pub(crate) struct Replica {
    node: NodeId,
    /// As on disk, or being written there.
    pub state: ReplicaState,
    /// The newest position that is surely on disk; at most `state.position`.
    pub synced: RecordsPosition,
    /// The records, with all batches up to `state.position` applied.
    pub records: Records,
    /// No term is promised before: a lease may be running.
    pub lease_until: Time,
    pub(crate) followed: Option<FollowedTerm>,
    /// The term whose leader is surely named on disk: only then is a lease granted to it.
    leader_on_disk: Option<Term>,
    /// Batches of the followed term after `state.position`, by number.
    buffered: BTreeMap<u64, List<RecordChange>>,
    /// The snapshot that is being fetched.
    transfer: Option<SnapshotTransfer>,
    /// Since when the leader has had newer batches than this replica, without a pause.
    behind_since: Option<Time>,
    /// Snapshots for other replicas.
    snapshots: SnapshotStore,
}

impl Replica {
    /// A replica that has just started and may have granted a lease in its former incarnation.
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
            transfer: None,
            behind_since: None,
            snapshots: SnapshotStore::default(),
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
    pub(crate) fn on_renew(
        &mut self,
        now: Time,
        from: NodeId,
        renew: &Renew,
        status: ProcessStatus,
        effects: &mut Effects,
    ) {
        if renew.term < self.state.promise.term {
            let ack = self.renew_ack(renew, status);
            return effects.control(from, ack);
        }
        self.lease_until = now.plus_millis(LEASE_MS);
        self.follow(from, renew);
        self.record_leader(from, renew.term);
        let ack = self.renew_ack(renew, status);
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
    fn record_leader(&mut self, leader: NodeId, term: Term) {
        if (self.state.promise.term, self.state.promise.node) != (term, leader) {
            self.state.promise = TermPromise {
                term,
                node: leader,
                incarnation: 0,
            };
        }
    }

    /// The leader of the term has been synced as the holder of the lease.
    pub(crate) fn on_leader_synced(&mut self, term: Term) {
        self.leader_on_disk = self.leader_on_disk.max(Some(term));
    }

    /// Drops batches and chunks of an earlier term.
    pub(crate) fn drop_transfers(&mut self) {
        self.transfer = None;
        self.buffered.clear();
        self.behind_since = None;
    }

    fn renew_ack(&self, renew: &Renew, status: ProcessStatus) -> ControlMessage {
        ControlMessage::RenewAck(RenewAck {
            term: renew.term,
            sent_at: renew.sent_at,
            promised: self.state.promise.term,
            position: self.synced,
            leaving: status.leaving,
            caught_up: status.caught_up,
        })
    }

    fn follow(&mut self, leader: NodeId, renew: &Renew) {
        if self
            .followed
            .is_none_or(|followed| followed.term != renew.term)
        {
            self.drop_transfers();
        }
        self.followed = Some(FollowedTerm {
            term: renew.term,
            leader,
            base: renew.base,
            source: renew.source,
        });
    }

    /// Enters the followed term where this replica has its base, else fetches a snapshot. `newest`: the number of the
    /// leader's newest batch.
    fn catch_up(&mut self, now: Time, newest: u64, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        if self.state.position.term == followed.term && self.state.complete {
            if self.is_long_behind(now, newest) {
                self.fetch_snapshot(now, followed, newest, effects);
            }
            return;
        }
        if self.state.position == followed.base && self.state.complete {
            self.state.position = RecordsPosition {
                term: followed.term,
                number: 0,
            };
            self.write(Vec::new(), effects);
            return self.apply_buffered(effects);
        }
        self.fetch_snapshot(now, followed, newest, effects);
    }

    /// Whether batches have been missing for `BEHIND_MS`. The leader sends more once it is notified of what was synced: a
    /// replica that waits for its disk is not behind.
    fn is_long_behind(&mut self, now: Time, newest: u64) -> bool {
        let behind = newest > self.state.position.number && self.synced == self.state.position;
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
        self.behind_since
            .is_some_and(|since| now >= since.plus_millis(BEHIND_MS))
    }

    /// A transfer goes on from the source with which it began, while that one sends.
    fn fetch_snapshot(
        &mut self,
        now: Time,
        followed: FollowedTerm,
        newest: u64,
        effects: &mut Effects,
    ) {
        let source = followed.source;
        if source == self.node {
            return;
        }
        let oldest = self.oldest_useful(followed.term, newest);
        match &mut self.transfer {
            None => {
                self.transfer = Some(SnapshotTransfer::start(
                    now,
                    followed.term,
                    source,
                    oldest,
                    effects,
                ));
            }
            Some(transfer) if transfer.source != source && transfer.source_is_silent(now) => {
                transfer.change_source(now, source, effects);
            }
            Some(_) => {}
        }
    }

    /// The oldest position of which a snapshot is of use. With its disk a replica may have lost what it acknowledged,
    /// which is no newer than the leader's newest batch; otherwise its own state holds all of that.
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

    /// Whether a snapshot is being fetched from a source that sends nothing.
    pub(crate) fn source_is_silent(&self, now: Time) -> bool {
        self.transfer
            .as_ref()
            .is_some_and(|transfer| transfer.source_is_silent(now))
    }

    /// A batch has arrived.
    pub(crate) fn on_batch(&mut self, from: NodeId, batch: RecordBatch, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        let current = followed.term == batch.term && followed.leader == from;
        if !current || self.state.promise.term != batch.term {
            return;
        }
        if self.state.position.term == batch.term && batch.number <= self.state.position.number {
            if batch.number <= self.synced.number && self.synced.term == batch.term {
                let synced = RecordsSynced {
                    position: self.synced,
                };
                effects.control(from, ControlMessage::RecordsSynced(synced));
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
        let before = self.state.position.number;
        let operations = self.apply_consecutive();
        let number = self.state.position.number;
        self.buffered.retain(|buffered, _| *buffered > number);
        if number > before {
            // Where batches arrive there is no need for a snapshot.
            self.behind_since = None;
            self.transfer = None;
            self.write(operations, effects);
        }
    }

    /// Applies the buffered batches that follow the position without a gap, and gives what is to be written.
    fn apply_consecutive(&mut self) -> Vec<DiskOperation> {
        let mut operations = Vec::new();
        while let Some(changes) = self.buffered.remove(&(self.state.position.number + 1)) {
            operations.extend(self.records.apply(&changes));
            self.state.position.number += 1;
        }
        operations
    }

    /// Writes the operations and the state; once they are synced the leader and this process are notified.
    fn write(&mut self, mut operations: Vec<DiskOperation>, effects: &mut Effects) {
        operations.push(put_replica(&self.state));
        let synced = ControlMessage::RecordsSynced(RecordsSynced {
            position: self.state.position,
        });
        let mut then = vec![(self.node, synced.clone())];
        if let Some(followed) = self
            .followed
            .filter(|followed| followed.leader != self.node)
        {
            then.push((followed.leader, synced));
        }
        effects.write(operations, then);
    }

    /// The records have been synced up to this position.
    pub(crate) fn on_synced(&mut self, position: RecordsPosition) {
        self.synced = self.synced.max(position);
    }

    /// Another replica fetches a snapshot.
    pub(crate) fn on_fetch_snapshot(
        &mut self,
        now: Time,
        from: NodeId,
        fetch: &FetchSnapshot,
        effects: &mut Effects,
    ) {
        if !self.state.complete {
            return;
        }
        let chunk =
            self.snapshots
                .requested_chunk(now, from, fetch, self.state.position, &self.records);
        if let Some(chunk) = chunk {
            effects.control(from, ControlMessage::SnapshotChunk(chunk));
        }
    }

    /// A chunk of the snapshot that this replica fetches has arrived.
    pub(crate) fn on_snapshot_chunk(
        &mut self,
        now: Time,
        from: NodeId,
        chunk: SnapshotChunk,
        effects: &mut Effects,
    ) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let Some(snapshot) = transfer.on_chunk(now, from, chunk, effects) else {
            return;
        };
        self.transfer = None;
        self.install(snapshot, effects);
    }

    fn install(&mut self, snapshot: TransferredSnapshot, effects: &mut Effects) {
        let Some(followed) = self.followed else {
            return;
        };
        let term = followed.term;
        let position = if snapshot.position == followed.base {
            RecordsPosition { term, number: 0 }
        } else {
            snapshot.position
        };
        let newer = position > self.state.position || !self.state.complete;
        if position.term != term || !newer || self.state.promise.term != term {
            return;
        }
        self.records = snapshot.records;
        self.state.position = position;
        self.state.complete = true;
        self.behind_since = None;
        self.apply_consecutive();
        self.write(self.records.rewrite(), effects);
    }

    /// Sends requests again and drops old snapshots. Chunks stay while there is no leader: its term may go on.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) {
        if let Some(transfer) = self.transfer.as_mut().filter(|_| now < self.lease_until) {
            transfer.tick(now, effects);
        }
        self.snapshots.tick(now);
    }

    /// When something is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let transfer = self.transfer.as_ref().map(SnapshotTransfer::next_wake);
        let transfer = transfer.filter(|due| *due < self.lease_until);
        [transfer, self.snapshots.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
