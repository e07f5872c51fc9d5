//! Event loop of the store: runs the timers of the node, sends frames to the links and batches to the disk.

use std::rc::Rc;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;

use sagetrail_raft::RaftError;
use sagetrail_replicated_store::{encode_header, OutboundFrame};

use super::{DiskError, Store};
use crate::client_context::ClientContext;
use crate::disk::{WriteJob, WriteOutcome};
use crate::sockets::Mailbox;

/// Largest number of batches that wait for the disk. With more the disk counts as failed.
const MAX_WAITING_BATCHES: usize = 4096;
/// Shortest interval in seconds at which the merged state is saved.
const SAVE_INTERVAL_S: f64 = 2.0;

impl Store {
    /// Runs the node until the process ends.
    pub(crate) async fn run(
        self: Rc<Self>,
        mut write_outcomes: mpsc::UnboundedReceiver<WriteOutcome>,
        mailbox: Mailbox,
        client_context: Rc<ClientContext>,
    ) {
        self.process_output(&mailbox, &client_context);
        loop {
            let deadline = self.node.borrow().deadline();
            let outcome = tokio::select! {
                outcome = write_outcomes.recv() => outcome,
                () = self.clock.sleep_until(deadline) => None,
                () = self.wake.notified() => None,
            };
            if let Some(outcome) = outcome {
                self.complete_writes(outcome);
            }
            let now = self.clock.now();
            if self.node.borrow().deadline() <= now {
                self.node.borrow_mut().tick(now);
            }
            self.process_output(&mailbox, &client_context);
        }
    }

    /// Receives a frame from another member.
    pub(crate) fn receive_frame(&self, frame: &[u8]) {
        self.node.borrow_mut().receive(self.clock.now(), frame);
        self.wake.notify_one();
        self.send_and_write();
        self.answer_replied_claims();
    }

    /// Sends the frames of the batches that are synced, or stops acknowledging if the disk failed.
    fn complete_writes(&self, outcome: WriteOutcome) {
        let now = self.clock.now();
        match outcome {
            Ok(synced_batches) => {
                for _ in 0..synced_batches {
                    let Some(batch) = self.writing.borrow_mut().pop_front() else {
                        return;
                    };
                    self.send(batch.frames);
                    self.node.borrow_mut().persisted(now, batch.position);
                }
            }
            Err(error) => {
                tracing::error!("store disk failed, no writes are acknowledged any more: {error}");
                self.writing.borrow_mut().clear();
                self.node.borrow_mut().fail_disk();
            }
        }
    }

    fn send(&self, frames: Vec<OutboundFrame>) {
        for OutboundFrame { to, bytes } in frames {
            if let Some(queue) = self.queues.get(&to) {
                // A frame that does not fit into the queue is lost, as on the network. Frames that matter are sent
                // again.
                let _ = queue.try_send(Bytes::from(bytes));
            }
        }
    }

    /// Sends the frames of the node and passes its batches to the disk.
    pub(super) fn send_and_write(&self) {
        let outbound = std::mem::take(&mut self.node.borrow_mut().outbound);
        self.send(outbound);
        loop {
            let Some(batch) = self.node.borrow_mut().next_batch() else {
                return;
            };
            let waiting_batches = self.writing.borrow().len();
            if waiting_batches == 0 && batch.bytes.is_empty() {
                self.send(batch.frames);
                continue;
            }
            if waiting_batches >= MAX_WAITING_BATCHES {
                return self.complete_writes(Err(DiskError::TooSlow { waiting_batches }));
            }
            let bytes = batch.bytes.clone();
            self.disk.submit(match batch.rewrite {
                true => WriteJob::ReplaceJournal(bytes),
                false => WriteJob::AppendToJournal(bytes),
            });
            self.writing.borrow_mut().push_back(batch);
        }
    }

    /// Does what the node requires after a change.
    fn process_output(&self, mailbox: &Mailbox, client_context: &Rc<ClientContext>) {
        let now = self.clock.now();
        let fault = self.node.borrow().fault();
        if let Some(fault) = fault {
            self.restart_blank(now, fault);
        }
        self.send_and_write();
        self.answer_all_claims();
        self.fleet.set_lending(self.may_lend(now));
        let (changed, is_behind) = {
            let mut node = self.node.borrow_mut();
            (std::mem::take(&mut node.changed), node.is_behind())
        };
        if changed {
            self.apply_state(is_behind, mailbox, client_context);
            self.needs_save.set(true);
            self.changes.send_modify(|changes| *changes += 1);
        }
        self.save_merged_state(now);
    }

    /// Renames the journal, and rejoins the cluster with a blank disk.
    fn restart_blank(&self, now: f64, fault: RaftError) {
        tracing::error!("replicated log cannot be used, it is renamed and this member rejoins without state: {fault}");
        let disk = rand_pcg::Pcg64Mcg::from_os_rng().random();
        self.writing.borrow_mut().clear();
        let header = encode_header(self.fleet_checksum, self.member, disk, 0);
        self.disk.submit(WriteJob::PutJournalAside(header));
        self.node.borrow_mut().restart_blank(now, disk);
    }

    /// Whether this member may grant leases of budgets: it has contact with a leader, is not behind, and is not
    /// excluded by an operator.
    fn may_lend(&self, now: f64) -> bool {
        let node = self.node.borrow();
        let status = node.status(now);
        let is_current = status.since_leader_s < self.config.stale_s || status.term == 0;
        let is_disabled = node.committed.lending_disabled.contains(&self.member);
        is_current && !node.is_behind() && !is_disabled
    }

    fn save_merged_state(&self, now: f64) {
        if self.needs_save.get() && now >= self.next_save_s.get() {
            self.needs_save.set(false);
            self.next_save_s.set(now + SAVE_INTERVAL_S);
            let bytes = self.node.borrow().merged.encode();
            self.disk.submit(WriteJob::SaveMergedState(bytes));
        }
    }
}
