//! Anti-entropy between two members over a stream (Demers et al., *Epidemic Algorithms for Replicated Database
//! Maintenance*, PODC 1987; push and pull): request with a digest, reply with what the asker lacks and a digest, end
//! with what the replier lacks.

use rand::Rng;
use sagetrail_swim::{FrameError, Update, MAX_SYNC_BYTES};

use super::frames::Body;
use super::{Node, ReportSize, EXCHANGE_INTERVAL_S};
use crate::reports::{ArrivalCounts, Digest, Report};

/// One exchange in this many may be with a dead member: two halves of a partition find each other again.
const EXCHANGES_PER_TRY_OF_THE_DEAD: u32 = 8;

impl Node {
    /// Starts an exchange if one is due: the other member's index in the roster, and the frame to send it.
    pub fn start_exchange(&mut self, now: f64) -> Option<(usize, Vec<u8>)> {
        if now < self.next_exchange_at {
            return None;
        }
        self.next_exchange_at = now + EXCHANGE_INTERVAL_S * (0.5 + self.random.random::<f64>());
        let to = self.choose_exchange_partner()?;
        self.join_full_report(now);
        let body = Body::ExchangeRequest {
            updates: self.membership.full_state(),
            have: self.reports.digest(),
        };
        Some((to, self.frame(&body)))
    }

    fn choose_exchange_partner(&mut self) -> Option<usize> {
        let with_dead = self.random.random_range(0..EXCHANGES_PER_TRY_OF_THE_DEAD) == 0;
        let own_index = self.membership.own_index();
        let is_candidate = |member: &usize| {
            *member != own_index && (with_dead || self.membership.is_reachable(*member))
        };
        let candidates: Vec<usize> = (0..self.membership.roster().len())
            .filter(is_candidate)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.random.random_range(0..candidates.len())])
    }

    /// Takes a frame of an exchange; the reply for the same stream, if there is one. An invalid frame is counted in
    /// [`Node::rejected`].
    pub fn receive_exchange(&mut self, now: f64, frame: &[u8]) -> Option<Vec<u8>> {
        let opened = match self.open(now, frame, MAX_SYNC_BYTES) {
            Ok(opened) => opened,
            Err(error) => {
                self.count_rejected(Err(error));
                return None;
            }
        };
        match opened.body {
            Body::ExchangeRequest { updates, have } => {
                self.join_received(now, &updates, Vec::new(), Vec::new());
                Some(self.reply(now, &have))
            }
            Body::ExchangeReply {
                updates,
                have,
                reports,
                counts,
            } => {
                self.join_received(now, &updates, reports, counts);
                let body = Body::ExchangeEnd {
                    reports: self.reports.missing_from(now, &have),
                    counts: self.reports.counts(),
                };
                Some(self.frame(&body))
            }
            Body::ExchangeEnd { reports, counts } => {
                self.join_received(now, &[], reports, counts);
                None
            }
            Body::Swim(_) | Body::LeaseRequests(_) | Body::LeaseGrants(_) | Body::Report(_) => {
                self.count_rejected(Err(FrameError::InvalidValue));
                None
            }
        }
    }

    fn reply(&mut self, now: f64, have: &[Digest]) -> Vec<u8> {
        self.join_full_report(now);
        let body = Body::ExchangeReply {
            updates: self.membership.full_state(),
            have: self.reports.digest(),
            reports: self.reports.missing_from(now, have),
            counts: self.reports.counts(),
        };
        self.frame(&body)
    }

    fn join_full_report(&mut self, now: f64) {
        let report = self.own_report(now, ReportSize::FULL);
        self.join_own_report(now, report);
    }

    /// Joins what is valid, and counts the frame as rejected when anything in it is not.
    fn join_received(
        &mut self,
        now: f64,
        updates: &[Update],
        reports: Vec<Report>,
        counts: Vec<ArrivalCounts>,
    ) {
        let mut joined = self.membership.apply_updates(now, updates);
        let own_number = self.own_number();
        for report in reports {
            if self.membership.index_of(report.member).is_none() || report.member == own_number {
                continue;
            }
            joined = joined.and(self.reports.join(now, report));
        }
        joined = joined.and(self.reports.join_counts(counts));
        self.count_rejected(joined);
    }
}
