//! The claims of this member: pending claims, owned names, and completions that replicas have not confirmed.

use std::collections::{BTreeMap, BTreeSet};

use super::claim::{Claim, ClaimOutcome};
use super::record::{ClaimReply, Completion, MAX_BODY_BYTES};
use super::work_item_name::{replicas, WorkItemName};

/// Largest number of times that a completion is reported to a replica that does not confirm it.
const MAX_END_REPORTS: u32 = 20;
/// Interval between two reports of a completion, seconds.
const END_REPORT_INTERVAL_S: f64 = 0.25;

/// A message to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimMessage {
    /// A claim of a name.
    Claim {
        /// Name of the work item.
        name: WorkItemName,
        /// Number of the claim in its process.
        number: u64,
        /// Epoch of the claim.
        epoch: u32,
    },
    /// The end of a claim's work item.
    End {
        /// Name of the work item.
        name: WorkItemName,
        /// Number of the claim in its process.
        number: u64,
        /// The result of the work item.
        completion: Completion,
    },
}

/// A message to a replica, with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundClaim {
    /// Identifier of the member that receives the message.
    pub to: u64,
    /// The message.
    pub message: ClaimMessage,
}

/// A name that this member owns.
struct OwnedName {
    name: WorkItemName,
    replicas: Vec<u64>,
}

/// A completion that not all replicas have confirmed.
struct EndReport {
    name: WorkItemName,
    completion: Completion,
    unconfirmed: BTreeSet<u64>,
    sends: u32,
}

/// The claims of this member.
#[derive(Default)]
pub struct Claims {
    member: u64,
    /// Claims whose outcome is not known yet, by their number.
    pending: BTreeMap<u64, Claim>,
    /// Owned names, by the number of their claim.
    owned: BTreeMap<u64, OwnedName>,
    /// Completions that not all replicas have confirmed, by the number of their claim.
    reports: BTreeMap<u64, EndReport>,
    /// Numbers of the claims in `reports` whose completion has not been sent yet.
    unsent_reports: Vec<u64>,
    /// When all unconfirmed reports are sent again, seconds.
    next_report_s: f64,
    last_number: u64,
}

impl Claims {
    /// Creates an empty set of claims of a member.
    pub fn new(member: u64) -> Claims {
        Claims {
            member,
            ..Claims::default()
        }
    }

    /// The number of owned names.
    pub fn owned_count(&self) -> usize {
        self.owned.len()
    }

    /// Claims a name at its replicas among the `members` and returns the number of the claim. The claim needs grants of
    /// a majority of the replicas, and of `copies` members other than this one.
    pub fn claim(&mut self, now_s: f64, name: WorkItemName, members: &[u64], copies: usize) -> u64 {
        self.last_number += 1;
        let replicas = replicas(name, members, copies);
        let own_copy = usize::from(replicas.contains(&self.member));
        let majority = replicas.len() / 2 + 1;
        let quorum = majority.max(copies + own_copy);
        self.pending
            .insert(self.last_number, Claim::new(now_s, name, replicas, quorum));
        self.last_number
    }

    /// The time at which [`tick`](Claims::tick) must be called next, seconds.
    pub fn deadline(&self) -> f64 {
        if !self.unsent_reports.is_empty() {
            return 0.0;
        }
        let claims_s = self
            .pending
            .values()
            .map(|claim| claim.next_send_s)
            .fold(f64::INFINITY, f64::min);
        match self.reports.is_empty() {
            true => claims_s,
            false => claims_s.min(self.next_report_s),
        }
    }

    /// Adds the claims and reports that are due to `messages`.
    pub fn tick(&mut self, now_s: f64, messages: &mut Vec<OutboundClaim>) {
        self.send_claims(now_s, messages);
        let mut reports = std::mem::take(&mut self.unsent_reports);
        if now_s >= self.next_report_s {
            self.next_report_s = now_s + END_REPORT_INTERVAL_S;
            self.reports.retain(|_, report| {
                report.sends < MAX_END_REPORTS && !report.unconfirmed.is_empty()
            });
            reports = self.reports.keys().copied().collect();
        }
        for number in reports {
            self.send_report(number, messages);
        }
    }

    fn send_claims(&mut self, now_s: f64, messages: &mut Vec<OutboundClaim>) {
        for (&number, claim) in &mut self.pending {
            let receivers = claim.receivers(now_s);
            let message = ClaimMessage::Claim {
                name: claim.name,
                number,
                epoch: claim.epoch,
            };
            messages.extend(receivers.into_iter().map(|to| OutboundClaim {
                to,
                message: message.clone(),
            }));
        }
    }

    fn send_report(&mut self, number: u64, messages: &mut Vec<OutboundClaim>) {
        let Some(report) = self.reports.get_mut(&number) else {
            return;
        };
        report.sends += 1;
        let message = ClaimMessage::End {
            name: report.name,
            number,
            completion: report.completion.clone(),
        };
        messages.extend(report.unconfirmed.iter().map(|to| OutboundClaim {
            to: *to,
            message: message.clone(),
        }));
    }

    /// Processes a replica's reply to a claim. A reply to another epoch is ignored.
    pub fn receive_reply(&mut self, from: u64, number: u64, epoch: u32, reply: ClaimReply) {
        let claim = self
            .pending
            .get_mut(&number)
            .filter(|claim| claim.epoch == epoch);
        if let Some(claim) = claim {
            claim.receive_reply(from, reply);
        }
    }

    /// Returns the outcome of a claim when it is known. The outcome is returned only once.
    pub fn outcome(&mut self, now_s: f64, number: u64) -> Option<ClaimOutcome> {
        let outcome = self.pending.get_mut(&number)?.decide(now_s)?;
        let Claim { name, replicas, .. } = self.pending.remove(&number)?;
        let owned = OwnedName { name, replicas };
        match outcome {
            ClaimOutcome::Owned { .. } => _ = self.owned.insert(number, owned),
            // The replicas that granted the claim must know that nothing was sent under it.
            _ => self.report_end(number, owned, Completion::never_sent()),
        }
        Some(outcome)
    }

    fn report_end(&mut self, number: u64, owned: OwnedName, completion: Completion) {
        let unconfirmed = owned.replicas.into_iter().collect();
        self.reports.insert(
            number,
            EndReport {
                name: owned.name,
                completion,
                unconfirmed,
                sends: 0,
            },
        );
        self.unsent_reports.push(number);
    }

    /// Withdraws a claim, regardless of its outcome. Nothing may have been sent under it.
    pub fn abandon(&mut self, number: u64) {
        match self.pending.remove(&number) {
            Some(Claim { name, replicas, .. }) => {
                self.report_end(
                    number,
                    OwnedName { name, replicas },
                    Completion::never_sent(),
                );
            }
            None => self.complete(number, Completion::never_sent()),
        }
    }

    /// Reports the end of a work item that this member owns.
    pub fn complete(&mut self, number: u64, mut completion: Completion) {
        completion.body = completion.body.filter(|body| body.len() <= MAX_BODY_BYTES);
        if let Some(owned) = self.owned.remove(&number) {
            self.report_end(number, owned, completion);
        }
    }

    /// Records that a replica has confirmed a completion.
    pub fn receive_confirmation(&mut self, from: u64, number: u64) {
        let Some(report) = self.reports.get_mut(&number) else {
            return;
        };
        report.unconfirmed.remove(&from);
        if report.unconfirmed.is_empty() {
            self.reports.remove(&number);
        }
    }
}
