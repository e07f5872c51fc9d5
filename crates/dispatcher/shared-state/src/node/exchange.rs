//! Anti-entropy between two members over a stream (Demers et al., *Epidemic Algorithms for Replicated Database
//! Maintenance*, PODC 1987; push and pull). The request has a digest, the reply has a digest and the reports that the
//! requester lacks, and the end has the reports that the replier lacks.

use rand::Rng;
use sagetrail_swim::{FrameError, Update, MAX_SYNC_BYTES};

use super::frames::Body;
use super::{Node, ReportSize, EXCHANGE_INTERVAL_S};
use crate::reports::{ArrivalCounts, Digest, Report};

/// One exchange in this many, on average, may be with a dead member, so that the two sides of a partition reconnect
/// when it heals.
const EXCHANGES_PER_DEAD_MEMBER_ATTEMPT: u32 = 8;

impl Node {
    /// Starts an exchange if one is due. Returns the other member's index in the roster and the frame to send to it.
    pub fn start_exchange(&mut self, now_s: f64) -> Option<(usize, Vec<u8>)> {
        if now_s < self.next_exchange_at_s {
            return None;
        }
        self.next_exchange_at_s = now_s + EXCHANGE_INTERVAL_S * (0.5 + self.random.random::<f64>());
        let partner = self.choose_exchange_partner()?;
        self.join_full_report(now_s);
        let body = Body::ExchangeRequest {
            updates: self.membership.full_state(),
            have: self.reports.digest(),
        };
        Some((partner, self.frame(&body)))
    }

    fn choose_exchange_partner(&mut self) -> Option<usize> {
        let with_dead = self
            .random
            .random_range(0..EXCHANGES_PER_DEAD_MEMBER_ATTEMPT)
            == 0;
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

    /// Handles a received frame of an exchange. Returns the reply for the same stream, if there is one. An invalid
    /// frame is counted in [`Node::rejected`].
    pub fn receive_exchange(&mut self, now_s: f64, frame: &[u8]) -> Option<Vec<u8>> {
        let opened = match self.open(now_s, frame, MAX_SYNC_BYTES) {
            Ok(opened) => opened,
            Err(error) => {
                self.count_rejected(Err(error));
                return None;
            }
        };
        match opened.body {
            Body::ExchangeRequest { updates, have } => {
                self.join_received(now_s, &updates, Vec::new(), Vec::new());
                Some(self.reply(now_s, &have))
            }
            Body::ExchangeReply {
                updates,
                have,
                reports,
                counts,
            } => {
                self.join_received(now_s, &updates, reports, counts);
                let body = Body::ExchangeEnd {
                    reports: self.reports.missing_from(now_s, &have),
                    counts: self.reports.counts(),
                };
                Some(self.frame(&body))
            }
            Body::ExchangeEnd { reports, counts } => {
                self.join_received(now_s, &[], reports, counts);
                None
            }
            Body::Swim(_) | Body::LeaseRequests(_) | Body::LeaseGrants(_) | Body::Report(_) => {
                self.count_rejected(Err(FrameError::InvalidValue));
                None
            }
        }
    }

    fn reply(&mut self, now_s: f64, have: &[Digest]) -> Vec<u8> {
        self.join_full_report(now_s);
        let body = Body::ExchangeReply {
            updates: self.membership.full_state(),
            have: self.reports.digest(),
            reports: self.reports.missing_from(now_s, have),
            counts: self.reports.counts(),
        };
        self.frame(&body)
    }

    fn join_full_report(&mut self, now_s: f64) {
        let report = self.own_report(now_s, ReportSize::FULL);
        self.join_own_report(now_s, report);
    }

    /// Joins the valid values, and counts the frame as rejected if any value in it is invalid.
    fn join_received(
        &mut self,
        now_s: f64,
        updates: &[Update],
        reports: Vec<Report>,
        counts: Vec<ArrivalCounts>,
    ) {
        let mut joined = self.membership.apply_updates(now_s, updates);
        let own_number = self.own_number();
        for report in reports {
            if self.membership.index_of(report.member).is_none() || report.member == own_number {
                continue;
            }
            joined = joined.and(self.reports.join(now_s, report));
        }
        joined = joined.and(self.reports.join_counts(counts));
        self.count_rejected(joined);
    }
}
