//! Claims of this member, and its part as a replica of others' claims.

use super::frames::FrameBody;
use super::Node;
use crate::records::{
    ClaimMessage, ClaimOutcome, Completion, OutboundClaim, RecordsRequest, WorkItemName,
};

impl Node {
    /// Claims a name at its replicas, and returns the claim's number. `copies` is the number of other members that
    /// must hold the record.
    pub fn claim_name(&mut self, now: f64, name: WorkItemName, copies: usize) -> u64 {
        let number = self.claims.claim(now, name, &self.members, copies);
        self.send_claims(now);
        number
    }

    /// The outcome of a claim, once it is known; it is returned once.
    pub fn claim_outcome(&mut self, now: f64, number: u64) -> Option<ClaimOutcome> {
        self.claims.outcome(now, number)
    }

    /// Withdraws a claim that nobody waits for any more: nothing was sent under it.
    pub fn abandon_claim(&mut self, now: f64, number: u64) {
        self.claims.abandon(number);
        self.send_claims(now);
    }

    /// Reports the end of a work item that this member owns.
    pub fn complete_claim(&mut self, now: f64, number: u64, completion: Completion) {
        self.claims.complete(number, completion);
        self.send_claims(now);
    }

    /// Sends the claims and ends that are due. This member's own replica is asked directly.
    pub(super) fn send_claims(&mut self, now: f64) {
        let mut messages = Vec::new();
        self.claims.tick(now, &mut messages);
        for OutboundClaim { to, message } in messages {
            match to == self.member {
                true => self.claim_at_own_replica(now, message),
                false => self.send(to, &frame_body(message)),
            }
        }
    }

    fn claim_at_own_replica(&mut self, now: f64, message: ClaimMessage) {
        let owner = self.as_owner();
        match message {
            ClaimMessage::Claim {
                name,
                number,
                epoch,
            } => {
                let reply = self.record_replica.claim(now, owner, number, name, epoch);
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

    /// Asks others for their records while this member does not know what its earlier process may have granted.
    pub(super) fn request_records(&mut self, now: f64) {
        let requests = self.record_replica.recovery_requests(now, &self.others());
        for RecordsRequest { to, after } in requests {
            self.send(to, &FrameBody::RecordsRequest { after });
        }
        self.recovery_deadline = self.record_replica.deadline(now);
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
