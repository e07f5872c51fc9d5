//! The record of hand-offs: claims of this member, and its own part as a replica.

use super::frames::Body;
use super::Node;
use crate::records::{ClaimMessage, Ended, Name, Outcome};

impl Node {
    /// Asks for a name; the claim's number. `outcome` says what came of it.
    pub fn claim_name(&mut self, now: f64, name: Name, copies: usize) -> u64 {
        let no = self.claims.ask(now, name, &self.members, copies);
        self.send_claims(now);
        no
    }

    /// What came of a claim, once that is known.
    pub fn outcome(&mut self, now: f64, no: u64) -> Option<Outcome> {
        self.claims.outcome(now, no)
    }

    /// Nobody waits for this claim any more.
    pub fn abandon_claim(&mut self, now: f64, no: u64) {
        self.claims.give_up(no);
        self.send_claims(now);
    }

    /// An owned work item has been answered.
    pub fn ended(&mut self, now: f64, no: u64, ended: Ended) {
        self.claims.ended(no, ended);
        self.send_claims(now);
    }

    /// Sends claims and ends that are due; its own replica is asked directly.
    pub(super) fn send_claims(&mut self, now: f64) {
        let mut messages = Vec::new();
        self.claims.tick(now, &mut messages);
        for (to, message) in messages {
            match to == self.me {
                true => self.claim_here(now, message),
                false => self.send(to, &body(message)),
            }
        }
    }

    fn claim_here(&mut self, now: f64, message: ClaimMessage) {
        let owner = self.owner();
        match message {
            ClaimMessage::Claim { name, no, epoch } => {
                let reply = self.holder.claim(now, owner, no, name, epoch);
                self.claims.answered(self.me, no, epoch, reply);
            }
            ClaimMessage::End { name, no, ended } => {
                self.holder.ended(owner, no, name, ended);
                self.claims.confirmed(self.me, no);
            }
        }
    }

    /// Asks others for their records while this member does not know what it may have granted.
    pub(super) fn request_records(&mut self, now: f64) {
        for (to, after) in self.holder.recovery_requests(now, &self.others()) {
            self.send(to, &Body::RecordsRequest { after });
        }
        self.holder_due = self.holder.due(now);
    }
}

fn body(message: ClaimMessage) -> Body {
    match message {
        ClaimMessage::Claim { name, no, epoch } => Body::Claim { name, no, epoch },
        ClaimMessage::End { name, no, ended } => Body::End { name, no, ended },
    }
}
