//! Proposals and reads that a caller waits for.

use std::time::Duration;

use tokio::time::timeout;

use sagetrail_replicated_store::{Command, Node, OverrideTarget};

use super::Store;
use crate::trial::Broken;

/// Time-out for a call of the admin API that waits for a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which a read is checked: it completes without a change of state that would be reported.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Store {
    /// Waits until `check` returns a value; `None` after the time-out.
    async fn wait_for<T>(&self, mut check: impl FnMut(&mut Node) -> Option<T>) -> Option<T> {
        let mut changes = self.changes.subscribe();
        let wait = async {
            loop {
                if let Some(found) = check(&mut self.node.borrow_mut()) {
                    return found;
                }
                let _ = timeout(CHECK_INTERVAL, changes.changed()).await;
            }
        };
        timeout(COMMIT_TIMEOUT, wait).await.ok()
    }

    /// Proposes a command and waits for its commit. Returns whether it was accepted; `None` if that is not known in
    /// time, or if too many proposals wait.
    pub(super) async fn commit(&self, command: Command) -> Option<bool> {
        let sequence = self
            .node
            .borrow_mut()
            .propose(self.clock.now(), command)
            .ok()?;
        self.send_and_write();
        self.wake.notify_one();
        let outcome = self.wait_for(|node| node.proposal_outcome(sequence)).await;
        if outcome.is_none() {
            self.node.borrow_mut().abandon_proposal(sequence);
        }
        outcome
    }

    /// Takes a target out of service at all dispatchers, or puts it back. Returns whether this is committed. Out of
    /// service takes effect at once, before the commit.
    pub(crate) async fn set_out_of_service(
        &self,
        target: OverrideTarget,
        out_of_service: bool,
    ) -> bool {
        if self.broken == Some(Broken::WordsStayHere) {
            return true;
        }
        let is_out = self
            .node
            .borrow()
            .active_overrides()
            .iter()
            .any(|active| active.target == target);
        if !out_of_service && !is_out {
            return true;
        }
        let proposed =
            self.node
                .borrow_mut()
                .set_out_of_service(self.clock.now(), target, out_of_service);
        self.send_and_write();
        self.wake.notify_one();
        let Ok(sequence) = proposed else {
            return false;
        };
        let outcome = self.wait_for(|node| node.proposal_outcome(sequence)).await;
        if outcome.is_none() && !out_of_service {
            // The proposal is abandoned, because a later commit could put back what has been taken out of service again
            // meanwhile.
            self.node.borrow_mut().abandon_proposal(sequence);
        }
        outcome == Some(true)
    }

    /// Makes a linearizable read. Returns whether it completed, so that everything committed before the call is known
    /// here.
    pub(super) async fn confirm_current(&self) -> bool {
        let number = self.node.borrow_mut().read(self.clock.now());
        self.send_and_write();
        self.wait_for(|node| node.is_read_done(number).then_some(()))
            .await
            .is_some()
    }
}
