//! The claims of this member: pending, owned, and ended but not confirmed.

use std::collections::{BTreeMap, BTreeSet};

use super::claim::{Claim, ClaimOutcome};
use super::record::{ClaimReply, Completion, MAX_BODY_BYTES};
use super::work_item_name::{replicas, WorkItemName};

/// How often an end is reported to a replica that does not confirm it.
const MAX_END_REPORTS: u32 = 20;
/// Interval of these reports, seconds.
const END_REPORT_INTERVAL_S: f64 = 0.25;

/// A message to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimMessage {
    /// A claim of a name.
    Claim {
        /// The name.
        name: WorkItemName,
        /// The claim's number.
        number: u64,
        /// Its epoch.
        epoch: u32,
    },
    /// The end of a claim's work item.
    End {
        /// The name.
        name: WorkItemName,
        /// The claim's number.
        number: u64,
        /// How it ended.
        completion: Completion,
    },
}

/// A message to a replica, with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundClaim {
    /// The member that receives the message.
    pub to: u64,
    /// The message.
    pub message: ClaimMessage,
}

/// A name that this member owns.
struct OwnedName {
    name: WorkItemName,
    replicas: Vec<u64>,
}

/// An end that not all replicas have confirmed.
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
    /// Claims whose outcome is not known, by number.
    pending: BTreeMap<u64, Claim>,
    /// Owned names, by the number of the claim.
    owned: BTreeMap<u64, OwnedName>,
    /// Ends that not all replicas have confirmed, by the number of the claim.
    reports: BTreeMap<u64, EndReport>,
    /// Those among them that were not sent yet.
    unsent_reports: Vec<u64>,
    /// When all reports are sent again, seconds.
    next_report: f64,
    last_number: u64,
}

impl Claims {
    /// No claims yet.
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

    /// Claims a name at its replicas among the `members`, and returns the claim's number. It needs a majority of the
    /// replicas, and grants of `copies` other members.
    pub fn claim(&mut self, now: f64, name: WorkItemName, members: &[u64], copies: usize) -> u64 {
        self.last_number += 1;
        let replicas = replicas(name, members, copies);
        let own_copy = usize::from(replicas.contains(&self.member));
        let majority = replicas.len() / 2 + 1;
        let quorum = majority.max(copies + own_copy);
        self.pending
            .insert(self.last_number, Claim::new(now, name, replicas, quorum));
        self.last_number
    }

    /// When [`tick`](Claims::tick) is to be called next, seconds.
    pub fn deadline(&self) -> f64 {
        if !self.unsent_reports.is_empty() {
            return 0.0;
        }
        let claims = self
            .pending
            .values()
            .map(|claim| claim.next_send)
            .fold(f64::INFINITY, f64::min);
        match self.reports.is_empty() {
            true => claims,
            false => claims.min(self.next_report),
        }
    }

    /// Adds the messages that are due.
    pub fn tick(&mut self, now: f64, messages: &mut Vec<OutboundClaim>) {
        self.send_claims(now, messages);
        let mut reports = std::mem::take(&mut self.unsent_reports);
        if now >= self.next_report {
            self.next_report = now + END_REPORT_INTERVAL_S;
            self.reports.retain(|_, report| {
                report.sends < MAX_END_REPORTS && !report.unconfirmed.is_empty()
            });
            reports = self.reports.keys().copied().collect();
        }
        for number in reports {
            self.send_report(number, messages);
        }
    }

    fn send_claims(&mut self, now: f64, messages: &mut Vec<OutboundClaim>) {
        for (&number, claim) in &mut self.pending {
            let receivers = claim.receivers(now);
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

    /// Takes a replica's reply to a claim; one to another epoch is ignored.
    pub fn receive_reply(&mut self, from: u64, number: u64, epoch: u32, reply: ClaimReply) {
        let claim = self
            .pending
            .get_mut(&number)
            .filter(|claim| claim.epoch == epoch);
        if let Some(claim) = claim {
            claim.receive_reply(from, reply);
        }
    }

    /// The outcome of a claim, once it is known. It is returned once.
    pub fn outcome(&mut self, now: f64, number: u64) -> Option<ClaimOutcome> {
        let outcome = self.pending.get_mut(&number)?.decide(now)?;
        let Claim { name, replicas, .. } = self.pending.remove(&number)?;
        let owned = OwnedName { name, replicas };
        match outcome {
            ClaimOutcome::Owned { .. } => _ = self.owned.insert(number, owned),
            // The replicas that granted it learn that nothing was sent under it.
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

    /// Withdraws a claim: nothing was sent under it, whatever its outcome.
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

    /// A replica has confirmed an end.
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
