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

/// The maximum number of batches that are buffered until an earlier batch or the complete records arrive.
const MAX_BUFFERED: usize = 256;

/// The term that this replica follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FollowedTerm {
    /// The term.
    pub term: Term,
    /// The process that leads it.
    pub leader: NodeId,
    /// The position of the records on which the term builds.
    base: RecordsPosition,
    /// The process from which the base can be fetched.
    source: NodeId,
}

/// The status that a process reports with each acknowledgement of a lease renewal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessStatus {
    /// Whether the process has been requested to terminate.
    pub leaving: bool,
    /// Whether the process has the register's newest value and all accepted changes.
    pub caught_up: bool,
}

/// The replica of one process.
#[derive(Debug)]
pub(crate) struct Replica {
    /// The address of this process.
    node: NodeId,
    /// The state that is on disk or is being written to it.
    pub state: ReplicaState,
    /// The newest position that is known to be synced to disk, which is at most `state.position`.
    pub synced: RecordsPosition,
    /// The records, with all batches up to `state.position` applied.
    pub records: Records,
    /// The time before which no other term is promised, because a granted lease may not have expired.
    pub lease_until: Time,
    /// The term whose leader this replica follows; `None` until a renewal has arrived since the start.
    pub(crate) followed: Option<FollowedTerm>,
    /// The term whose leader is known to be recorded on disk. Only then does the replica grant a lease to that leader.
    leader_on_disk: Option<Term>,
    /// The batches of the followed term after `state.position`, by number.
    buffered: BTreeMap<u64, List<RecordChange>>,
    /// The snapshot that is being fetched.
    transfer: Option<SnapshotTransfer>,
    /// The time since which the leader has continuously had newer batches than this replica.
    behind_since: Option<Time>,
    /// The snapshots for other replicas.
    snapshots: SnapshotStore,
}

impl Replica {
    /// Creates a replica that has just started. It may have granted a lease in its former incarnation, so it promises
    /// no term for the duration of a lease.
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

    /// Returns the highest known term and its leader, or the default node if the leader is unknown.
    pub(crate) fn promised_term(&self) -> (Term, NodeId) {
        match &self.followed {
            Some(followed) if followed.term == self.state.promise.term => {
                (followed.term, followed.leader)
            }
            _ => (self.state.promise.term, NodeId::default()),
        }
    }

    /// Returns the leader while its lease may not have expired.
    pub(crate) fn live_leader(&self, now: Time) -> Option<NodeId> {
        let (_, leader) = self.promised_term();
        (now < self.lease_until && leader != NodeId::default()).then_some(leader)
    }

    /// Handles a leader's request to renew its lease.
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
            return effects.send_control(from, ack);
        }
        self.lease_until = now.plus_millis(LEASE_MS);
        self.follow(from, renew);
        self.record_leader(from, renew.term);
        let ack = self.renew_ack(renew, status);
        if self.leader_on_disk == Some(renew.term) {
            effects.send_control(from, ack);
        } else {
            let mut then = vec![(self.node, ack.clone())];
            then.extend((from != self.node).then_some((from, ack)));
            effects.write(vec![put_replica(&self.state)], then);
        }
        self.catch_up(now, renew.number, effects);
    }

    /// Records the leader in the promise. After a restart only the promise tells which process may hold a lease, and
    /// the promise may have been made to a candidate that lost the election.
    fn record_leader(&mut self, leader: NodeId, term: Term) {
        if (self.state.promise.term, self.state.promise.node) != (term, leader) {
            self.state.promise = TermPromise {
                term,
                node: leader,
                incarnation: 0,
            };
        }
    }

    /// Handles the sync of the state that records the term's leader as the holder of the lease.
    pub(crate) fn on_leader_synced(&mut self, term: Term) {
        self.leader_on_disk = self.leader_on_disk.max(Some(term));
    }

    /// Drops the buffered batches and the snapshot transfer of an earlier term.
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

    /// Enters the followed term if this replica has the term's base, and fetches a snapshot otherwise. `newest` is the
    /// number of the leader's newest batch.
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

    /// Returns whether batches have been missing for `BEHIND_MS`. The leader sends further batches once it is notified
    /// of the synced ones, so a replica that waits for its disk is not behind.
    fn is_long_behind(&mut self, now: Time, newest: u64) -> bool {
        let behind = newest > self.state.position.number && self.synced == self.state.position;
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
        self.behind_since
            .is_some_and(|since| now >= since.plus_millis(BEHIND_MS))
    }

    /// Starts the transfer of a snapshot. A transfer in progress continues from its source until that source is silent.
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

    /// Returns the oldest position at which a snapshot is useful. A replica whose disk was emptied may have lost
    /// batches that it had acknowledged. These are no newer than the leader's newest batch. Any other replica still has
    /// everything that it acknowledged.
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

    /// Returns whether a snapshot is being fetched from a source that is silent.
    pub(crate) fn source_is_silent(&self, now: Time) -> bool {
        self.transfer
            .as_ref()
            .is_some_and(|transfer| transfer.source_is_silent(now))
    }

    /// Handles a batch from the leader.
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
                effects.send_control(from, ControlMessage::RecordsSynced(synced));
            }
            return;
        }
        if self.buffered.len() < MAX_BUFFERED {
            self.buffered.insert(batch.number, batch.changes);
        }
        self.apply_buffered(effects);
    }

    /// Applies the buffered batches that can be applied and writes them to disk.
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
            // No snapshot is needed as long as batches arrive.
            self.behind_since = None;
            self.transfer = None;
            self.write(operations, effects);
        }
    }

    /// Applies the buffered batches that follow the position without a gap. Returns the operations for the disk.
    fn apply_consecutive(&mut self) -> Vec<DiskOperation> {
        let mut operations = Vec::new();
        while let Some(changes) = self.buffered.remove(&(self.state.position.number + 1)) {
            operations.extend(self.records.apply(&changes));
            self.state.position.number += 1;
        }
        operations
    }

    /// Writes the operations and the state. The leader and this process are notified once they are synced.
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

    /// Handles the sync of the records up to `position`.
    pub(crate) fn on_synced(&mut self, position: RecordsPosition) {
        self.synced = self.synced.max(position);
    }

    /// Handles another replica's request for a chunk of a snapshot.
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
            effects.send_control(from, ControlMessage::SnapshotChunk(chunk));
        }
    }

    /// Handles a chunk of the snapshot that this replica fetches.
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

    /// Replaces the records by a transferred snapshot if that is newer and its term is the promised one.
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

    /// Sends requests again if due and drops expired snapshots. Received chunks are retained while there is no leader,
    /// because its term may continue.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) {
        if let Some(transfer) = self.transfer.as_mut().filter(|_| now < self.lease_until) {
            transfer.tick(now, effects);
        }
        self.snapshots.tick(now);
    }

    /// Returns when the next step is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let transfer = self.transfer.as_ref().map(SnapshotTransfer::next_wake);
        let transfer = transfer.filter(|due| *due < self.lease_until);
        [transfer, self.snapshots.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
