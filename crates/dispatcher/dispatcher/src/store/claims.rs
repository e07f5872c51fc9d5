//! Claims of recorded work items, for the client connections.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use sagetrail_replicated_store::{
    ClaimOutcome, Completion, RetryAnswer, RetryPolicy, WorkItemName, CLAIM_TIMEOUT_S,
};
use sagetrail_settings::Recorded;

use super::Store;
use crate::trial::Broken;

impl Store {
    /// How work items of a category are recorded; `None` if they are not. `category` is its index in the configuration.
    pub(crate) fn recorded(&self, category: usize) -> Option<&Recorded> {
        self.config.recorded.get(category)?.as_ref()
    }

    /// Claims a work item before it is accepted, and returns the claim's number; `None` if the category is served
    /// without a record when too few members can be asked.
    ///
    /// # Errors
    ///
    /// The answer to the client, if another dispatcher has the work item or too few members can be asked.
    ///
    /// # Cancel safety
    ///
    /// A claim whose future is dropped stays at the node until its time-out.
    pub(crate) async fn claim(
        &self,
        category: &str,
        client_key: &str,
        recorded: &Recorded,
    ) -> Result<Option<u64>, RetryAnswer> {
        if self.broken == Some(Broken::RecordsNothing) {
            return Ok(None);
        }
        let name = WorkItemName::new(category, client_key);
        let (outcome_sender, outcome) = oneshot::channel();
        let number = self
            .node
            .borrow_mut()
            .claim_name(self.clock.now(), name, recorded.copies);
        self.waiting_claims
            .borrow_mut()
            .insert(number, outcome_sender);
        self.send_and_write();
        self.answer_all_claims();
        self.wake.notify_one();
        let outcome = timeout(Duration::from_secs_f64(CLAIM_TIMEOUT_S), outcome)
            .await
            .ok()
            .and_then(Result::ok);
        self.waiting_claims.borrow_mut().remove(&number);
        // The claim is abandoned, so that it is not granted when nobody waits for it.
        let outcome = outcome.unwrap_or_else(|| {
            self.node
                .borrow_mut()
                .abandon_claim(self.clock.now(), number);
            ClaimOutcome::NoQuorum
        });
        match outcome {
            ClaimOutcome::Owned { .. } => Ok(Some(number)),
            ClaimOutcome::NoQuorum if recorded.may_send_unrecorded => Ok(None),
            outcome => {
                let policy = RetryPolicy {
                    window_s: recorded.window_s,
                };
                Err(policy.answer(&outcome))
            }
        }
    }

    /// Reports the end of a claimed work item.
    pub(crate) fn complete_claim(&self, number: u64, completion: Completion) {
        self.node
            .borrow_mut()
            .complete_claim(self.clock.now(), number, completion);
        self.send_and_write();
        self.wake.notify_one();
    }

    /// Reports the outcomes of waiting claims to which a member has replied.
    pub(super) fn answer_replied_claims(&self) {
        let replied = std::mem::take(&mut self.node.borrow_mut().answered_claims);
        self.answer_claims(replied);
    }

    /// Reports the outcomes of all waiting claims that are decided, by replies or by time-outs.
    pub(super) fn answer_all_claims(&self) {
        self.node.borrow_mut().answered_claims.clear();
        let waiting = self.waiting_claims.borrow().keys().copied().collect();
        self.answer_claims(waiting);
    }

    fn answer_claims(&self, numbers: Vec<u64>) {
        let now = self.clock.now();
        for number in numbers {
            let outcome = self.node.borrow_mut().claim_outcome(now, number);
            let Some(outcome) = outcome else {
                continue;
            };
            if let Some(sender) = self.waiting_claims.borrow_mut().remove(&number) {
                // The client may have disconnected meanwhile.
                let _ = sender.send(outcome);
            }
        }
    }
}
