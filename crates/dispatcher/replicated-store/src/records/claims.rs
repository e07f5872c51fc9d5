//! What this member claims, owns, and has to report the end of.

use super::claim::{Claim, Outcome};
use super::name::replicas;
use super::record::{ClaimReply, Ended, BODY_MOST};
use super::Name;
use std::collections::{BTreeMap, BTreeSet};

/// An end that nobody confirms is reported so often, at this interval in seconds.
const MAX_END_REPORTS: u32 = 20;
const END_REPORT_INTERVAL_S: f64 = 0.25;

/// A claim or an end on its way to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimMessage {
    /// A claim of a name.
    Claim {
        /// The name.
        name: Name,
        /// The claim's number.
        no: u64,
        /// Its step.
        epoch: u32,
    },
    /// The end of a claim.
    End {
        /// The name.
        name: Name,
        /// The claim's number.
        no: u64,
        /// How it ended.
        ended: Ended,
    },
}

/// A name that is this member's.
struct OwnedName {
    name: Name,
    replicas: Vec<u64>,
}

/// An end that not all replicas have confirmed.
struct EndReport {
    name: Name,
    ended: Ended,
    unconfirmed: BTreeSet<u64>,
    sends: u32,
}

/// What this member claims.
#[derive(Default)]
pub struct Claims {
    me: u64,
    /// Claims under way, by number.
    pending: BTreeMap<u64, Claim>,
    /// Names owned, by the number of the claim.
    owned: BTreeMap<u64, OwnedName>,
    /// Ends to report, by the number of the claim.
    reports: BTreeMap<u64, EndReport>,
    /// Of those, what was not sent yet.
    unsent_reports: Vec<u64>,
    /// When all reports are sent again.
    next_report: f64,
    last_no: u64,
}

impl Claims {
    /// Nothing is claimed yet.
    pub fn new(me: u64) -> Claims {
        Claims {
            me,
            ..Claims::default()
        }
    }

    /// How many names are owned.
    pub fn open(&self) -> usize {
        self.owned.len()
    }

    /// Asks for a name; its number here. `outcome` says what came of it.
    pub fn ask(&mut self, now: f64, name: Name, members: &[u64], copies: usize) -> u64 {
        self.last_no += 1;
        let replicas = replicas(name, members, copies);
        let own_copy = usize::from(replicas.contains(&self.me));
        let majority = replicas.len() / 2 + 1;
        let quorum = majority.max(copies + own_copy);
        self.pending
            .insert(self.last_no, Claim::new(now, name, replicas, quorum));
        self.last_no
    }

    /// When `tick` is to be called next.
    pub fn due(&self) -> f64 {
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

    /// What is to be sent now, with its receivers.
    pub fn tick(&mut self, now: f64, messages: &mut Vec<(u64, ClaimMessage)>) {
        self.send_claims(now, messages);
        let mut reports = std::mem::take(&mut self.unsent_reports);
        if now >= self.next_report {
            self.next_report = now + END_REPORT_INTERVAL_S;
            self.reports.retain(|_, report| {
                report.sends < MAX_END_REPORTS && !report.unconfirmed.is_empty()
            });
            reports = self.reports.keys().copied().collect();
        }
        for no in reports {
            self.send_report(no, messages);
        }
    }

    fn send_claims(&mut self, now: f64, messages: &mut Vec<(u64, ClaimMessage)>) {
        for (&no, claim) in &mut self.pending {
            let receivers = claim.send_to(now);
            let message = ClaimMessage::Claim {
                name: claim.name,
                no,
                epoch: claim.epoch,
            };
            messages.extend(receivers.into_iter().map(|to| (to, message.clone())));
        }
    }

    fn send_report(&mut self, no: u64, messages: &mut Vec<(u64, ClaimMessage)>) {
        let Some(report) = self.reports.get_mut(&no) else {
            return;
        };
        report.sends += 1;
        let message = ClaimMessage::End {
            name: report.name,
            no,
            ended: report.ended.clone(),
        };
        messages.extend(report.unconfirmed.iter().map(|to| (*to, message.clone())));
    }

    /// A replica has answered a claim.
    pub fn answered(&mut self, from: u64, no: u64, epoch: u32, reply: ClaimReply) {
        let claim = self
            .pending
            .get_mut(&no)
            .filter(|claim| claim.epoch == epoch);
        if let Some(claim) = claim {
            claim.take_reply(from, reply);
        }
    }

    /// What came of a claim, once that is known; it is forgotten here then, unless it is owned.
    pub fn outcome(&mut self, now: f64, no: u64) -> Option<Outcome> {
        let outcome = self.pending.get_mut(&no)?.decide(now)?;
        let Claim { name, replicas, .. } = self.pending.remove(&no)?;
        let owned = OwnedName { name, replicas };
        match outcome {
            Outcome::Own { .. } => _ = self.owned.insert(no, owned),
            // Whoever granted it is told that nothing was sent under it.
            _ => self.report_end(no, owned, Ended::never_sent()),
        }
        Some(outcome)
    }

    fn report_end(&mut self, no: u64, owned: OwnedName, ended: Ended) {
        let unconfirmed = owned.replicas.into_iter().collect();
        self.reports.insert(
            no,
            EndReport {
                name: owned.name,
                ended,
                unconfirmed,
                sends: 0,
            },
        );
        self.unsent_reports.push(no);
    }

    /// Nobody waits for this claim any more, and nothing was sent under it, whatever came of it.
    pub fn give_up(&mut self, no: u64) {
        match self.pending.remove(&no) {
            Some(Claim { name, replicas, .. }) => {
                self.report_end(no, OwnedName { name, replicas }, Ended::never_sent());
            }
            None => self.ended(no, Ended::never_sent()),
        }
    }

    /// An owned work item has been answered.
    pub fn ended(&mut self, no: u64, mut ended: Ended) {
        ended.body = ended.body.filter(|body| body.len() <= BODY_MOST);
        if let Some(owned) = self.owned.remove(&no) {
            self.report_end(no, owned, ended);
        }
    }

    /// A replica has confirmed an end.
    pub fn confirmed(&mut self, from: u64, no: u64) {
        let Some(report) = self.reports.get_mut(&no) else {
            return;
        };
        report.unconfirmed.remove(&from);
        if report.unconfirmed.is_empty() {
            self.reports.remove(&no);
        }
    }
}
