//! Claims that this member makes, and the exchange of claims and records with its own replica and other replicas.

use super::frames::FrameBody;
use super::Node;
use crate::records::{
    ClaimMessage, ClaimOutcome, Completion, OutboundClaim, RecordsRequest, WorkItemName,
};

impl Node {
    /// Claims a name at its replicas and returns the number of the claim. `copies` is the number of other members that
    /// must hold the record.
    pub fn claim_name(&mut self, now_s: f64, name: WorkItemName, copies: usize) -> u64 {
        let number = self.claims.claim(now_s, name, &self.members, copies);
        self.send_claims(now_s);
        number
    }

    /// Returns the outcome of a claim when it is known. The outcome is returned only once.
    pub fn claim_outcome(&mut self, now_s: f64, number: u64) -> Option<ClaimOutcome> {
        self.claims.outcome(now_s, number)
    }

    /// Withdraws a claim whose outcome is no longer needed. Nothing may have been sent under it.
    pub fn abandon_claim(&mut self, now_s: f64, number: u64) {
        self.claims.abandon(number);
        self.send_claims(now_s);
    }

    /// Reports the end of a work item that this member owns.
    pub fn complete_claim(&mut self, now_s: f64, number: u64, completion: Completion) {
        self.claims.complete(number, completion);
        self.send_claims(now_s);
    }

    /// Sends the claims and completions that are due. Those for this member's own replica are passed to it directly.
    pub(super) fn send_claims(&mut self, now_s: f64) {
        let mut messages = Vec::new();
        self.claims.tick(now_s, &mut messages);
        for OutboundClaim { to, message } in messages {
            match to == self.member {
                true => self.claim_at_own_replica(now_s, message),
                false => self.send(to, &frame_body(message)),
            }
        }
    }

    fn claim_at_own_replica(&mut self, now_s: f64, message: ClaimMessage) {
        let owner = self.as_owner();
        match message {
            ClaimMessage::Claim {
                name,
                number,
                epoch,
            } => {
                let reply = self.record_replica.claim(now_s, owner, number, name, epoch);
                self.claims.receive_reply(self.member, number, epoch, reply);
            }
            ClaimMessage::End {
                name,
                number,
                completion,
            } => {
                self.record_replica
                    .complete(owner, number, name, completion);
                self.claims.receive_confirmation(self.member, number);
            }
        }
    }

    /// Asks the other members for their records while this member does not know which claims its earlier process may
    /// have granted.
    pub(super) fn request_records(&mut self, now_s: f64) {
        let requests = self.record_replica.recovery_requests(now_s, &self.others());
        for RecordsRequest { to, after } in requests {
            self.send(to, &FrameBody::RecordsRequest { after });
        }
        self.recovery_deadline_s = self.record_replica.deadline(now_s);
    }
}

fn frame_body(message: ClaimMessage) -> FrameBody {
    match message {
        ClaimMessage::Claim {
            name,
            number,
            epoch,
        } => FrameBody::Claim {
            name,
            number,
            epoch,
        },
        ClaimMessage::End {
            name,
            number,
            completion,
        } => FrameBody::End {
            name,
            number,
            completion,
        },
    }
}
