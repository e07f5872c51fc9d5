//! One member: membership, leases, evidence and counts on the same frames.

mod arrivals;
mod config;
mod exchange;
mod frames;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_swim::{
    Codec, Envelope, FrameError, MemberState, Membership, Message, Peer, MAX_DATAGRAM_BYTES,
};

use crate::budgets::{Budgets, LeaseGrant, LeaseRequest};
use crate::evidence::{EvidenceRules, RunnerVerdict, Witness};
use crate::observations::Observations;
use crate::reports::{Report, ReportTable};
use arrivals::ArrivalCounter;
use frames::Body;

pub use config::NodeConfig;
pub use frames::{Datagrams, Traffic};

/// How often a member sends its report, in seconds: a runner's fault is known to all within a few of these.
const REPORT_INTERVAL_S: f64 = 0.2;
/// To how many members it goes at a time; in small fleets to all.
const REPORT_RECEIVERS: usize = 6;
/// How often leases are requested while there is work, in seconds.
const LEASE_INTERVAL_S: f64 = 0.1;
/// After this time a budget that nobody names is removed, in seconds.
const BUDGET_RETENTION_S: f64 = 60.0;
/// Requests in one datagram, of at most 32 bytes each.
const REQUESTS_PER_DATAGRAM: usize = 40;
/// How often a member starts an exchange on average, in seconds: what datagrams lost is repaired within a few.
const EXCHANGE_INTERVAL_S: f64 = 2.0;
/// Older reports are no evidence, in seconds.
const MAX_EVIDENCE_AGE_S: f64 = 2.0;

/// How much of a report is sent.
#[derive(Clone, Copy)]
struct ReportSize {
    evidence: usize,
    running: usize,
}

impl ReportSize {
    /// For a datagram: evidence of at most 14 bytes each, with space for the rest.
    const DATAGRAM: ReportSize = ReportSize {
        evidence: 50,
        running: 40,
    };
    /// For an exchange.
    const FULL: ReportSize = ReportSize {
        evidence: usize::MAX,
        running: usize::MAX,
    };
}

/// How a member stands as seen from here, for operators.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// Its configured name.
    pub name: String,
    /// The index of its site.
    pub site: u16,
    /// Its state by the membership protocol.
    pub state: MemberState,
    /// Its highest known incarnation.
    pub incarnation: u64,
    /// How long it has been in this state, in seconds.
    pub since_s: f64,
    /// How long ago a frame of its own was received, in seconds; 0 for this member, infinity for never.
    pub received_s: f64,
    /// The age of its last report in seconds, if there is one.
    pub report_s: Option<f64>,
}

/// One member. It does no I/O: the caller gives the time in seconds, hands in received frames, records what it
/// observed and used, and sends what is put into the datagrams.
pub struct Node {
    /// The membership protocol.
    pub membership: Membership,
    /// The shared limits.
    pub budgets: Budgets,
    /// What this member observed of runners itself.
    pub observations: Observations,
    /// The last report of each member.
    pub reports: ReportTable,
    evidence_rules: EvidenceRules,
    codec: Codec,
    process: u64,
    site_count: usize,
    /// Numbers this member's frames.
    frame_sequence: u64,
    /// Numbers this member's reports.
    report_version: u64,
    arrivals: ArrivalCounter,
    /// Jobs running at runners in sixteenths, by the runner's number in ascending order.
    running: Vec<(u64, u16)>,
    next_report_at: f64,
    next_lease_request_at: f64,
    next_exchange_at: f64,
    random: Pcg64Mcg,
    /// Rejected frames by reason.
    pub rejected: BTreeMap<FrameError, u64>,
    /// Datagrams sent.
    pub sent: Traffic,
    /// Frames received and not rejected.
    pub received: Traffic,
}

impl Node {
    /// A member of which nobody knows yet.
    ///
    /// # Panics
    ///
    /// When `own_index` is not in the roster.
    #[must_use]
    pub fn new(config: NodeConfig, now: f64) -> Node {
        let NodeConfig {
            fleet,
            roster,
            own_index,
            swim,
            lending,
            evidence_rules,
            category_count,
            incarnation,
            process,
        } = config;
        let numbers: Vec<u64> = roster.iter().map(|peer| peer.number).collect();
        let mut sites: Vec<u16> = roster.iter().map(|peer| peer.site).collect();
        sites.sort_unstable();
        sites.dedup();
        let mut random = Pcg64Mcg::seed_from_u64(process);
        let spread = random.random::<f64>();
        Node {
            membership: Membership::new(swim, roster, own_index, incarnation, process, now),
            budgets: Budgets::new(numbers, own_index, process, lending, now),
            observations: Observations::default(),
            reports: ReportTable::default(),
            evidence_rules,
            codec: Codec::new(&fleet),
            process,
            site_count: sites.len(),
            frame_sequence: 0,
            report_version: 0,
            arrivals: ArrivalCounter::new(category_count),
            running: Vec::new(),
            next_report_at: now + REPORT_INTERVAL_S * spread,
            next_lease_request_at: now,
            next_exchange_at: now + EXCHANGE_INTERVAL_S * spread,
            random,
            rejected: BTreeMap::new(),
            sent: Traffic::default(),
            received: Traffic::default(),
        }
    }

    fn own_number(&self) -> u64 {
        self.membership.roster()[self.membership.own_index()].number
    }

    /// Counts a work item that this member took.
    pub fn record_arrival(&mut self, now: f64, category: usize) {
        self.arrivals.record(now, category);
    }

    /// Sets how many jobs of this member run, in sixteenths, by the runner's number in ascending order.
    pub fn set_running(&mut self, running: Vec<(u64, u16)>) {
        self.running = running;
    }

    /// When [`Node::tick`] is to be called next, in seconds of the caller's clock.
    #[must_use]
    pub fn due(&self) -> f64 {
        self.membership
            .due()
            .min(self.next_report_at)
            .min(self.next_lease_request_at)
            .min(self.next_exchange_at)
    }

    /// Does what is due by now, but for exchanges, which [`Node::start_exchange`] starts.
    pub fn tick(&mut self, now: f64, datagrams: &mut Datagrams) {
        if now >= self.membership.due() {
            let mut outbox = Vec::new();
            self.membership.tick(now, &mut outbox);
            self.send_membership(outbox, datagrams);
        }
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL_S;
            self.send_report(now, datagrams);
        }
        if now >= self.next_lease_request_at {
            self.next_lease_request_at = now + LEASE_INTERVAL_S;
            self.reports.expire(now);
            self.budgets.remove_unused(now, BUDGET_RETENTION_S);
            self.request_leases(now, datagrams);
        }
    }

    /// Requests leases for what is short. Also to be called when work has come that needs one.
    pub fn request_leases(&mut self, now: f64, datagrams: &mut Datagrams) {
        let mut requests = Vec::new();
        self.budgets.request_leases(now, &mut requests);
        let mut by_lender: BTreeMap<usize, Vec<LeaseRequest>> = BTreeMap::new();
        for (lender, request) in requests {
            by_lender.entry(lender).or_default().push(request);
        }
        for (lender, requests) in by_lender {
            for part in requests.chunks(REQUESTS_PER_DATAGRAM) {
                self.send(lender, &Body::LeaseRequests(part.to_vec()), datagrams);
            }
        }
    }

    /// Takes a datagram; replies are put into `datagrams`. An invalid one is counted in [`Node::rejected`].
    pub fn receive_datagram(&mut self, now: f64, frame: &[u8], datagrams: &mut Datagrams) {
        let handled = self
            .open(now, frame, MAX_DATAGRAM_BYTES)
            .and_then(|opened| self.handle(now, opened, datagrams));
        self.count_rejected(handled);
    }

    fn handle(
        &mut self,
        now: f64,
        opened: Opened,
        datagrams: &mut Datagrams,
    ) -> Result<(), FrameError> {
        let Opened {
            from,
            envelope,
            body,
        } = opened;
        match body {
            Body::Swim(message) => {
                let mut outbox = Vec::new();
                let received = self.membership.receive(now, from, message, &mut outbox);
                self.send_membership(outbox, datagrams);
                received
            }
            Body::LeaseRequests(requests) => {
                let grant = |request| {
                    self.budgets
                        .receive_request(now, from, envelope.process, request)
                };
                let grants: Vec<LeaseGrant> = requests.into_iter().filter_map(grant).collect();
                if !grants.is_empty() {
                    self.send(from, &Body::LeaseGrants(grants), datagrams);
                }
                Ok(())
            }
            Body::LeaseGrants(grants) => grants
                .into_iter()
                .try_for_each(|grant| self.budgets.receive_grant(from, grant)),
            // In datagrams a member sends only its own report.
            Body::Report(report) if report.member == envelope.sender => {
                self.reports.join(now, report)
            }
            Body::Report(_)
            | Body::ExchangeRequest { .. }
            | Body::ExchangeReply { .. }
            | Body::ExchangeEnd { .. } => Err(FrameError::InvalidValue),
        }
    }

    /// What the members' evidence, that of this one among it, says of runners, by the runner's number.
    pub fn verdicts(&mut self, now: f64) -> Vec<(u64, RunnerVerdict)> {
        let own_evidence = self.observations.evidence(now);
        let own_index = self.membership.own_index();
        let roster = self.membership.roster();
        let mut witnesses = vec![Witness {
            site: roster[own_index].site,
            is_own: true,
            age_s: 0.0,
            evidence: &own_evidence,
        }];
        for (report, age_s) in self.reports.fresh(now, MAX_EVIDENCE_AGE_S) {
            let member = self.membership.index_of(report.member);
            let Some(member) = member.filter(|member| *member != own_index) else {
                continue;
            };
            witnesses.push(Witness {
                site: roster[member].site,
                is_own: false,
                age_s,
                evidence: &report.evidence,
            });
        }
        self.evidence_rules.evaluate(&witnesses, self.site_count)
    }

    /// The most jobs of all members that run on one runner, in sixteenths, by reports of the last `within_s` seconds.
    #[must_use]
    pub fn max_running(&self, now: f64, within_s: f64) -> u64 {
        let own_number = self.own_number();
        let mut by_runner: BTreeMap<u64, u64> = self
            .running
            .iter()
            .map(|(runner, jobs)| (*runner, u64::from(*jobs)))
            .collect();
        for (report, _) in self.reports.fresh(now, within_s) {
            if report.member == own_number {
                continue;
            }
            for (runner, jobs) in &report.running {
                *by_runner.entry(*runner).or_default() += u64::from(*jobs);
            }
        }
        by_runner.into_values().max().unwrap_or(0)
    }

    /// How all members stand as seen from here, in the order of the roster.
    #[must_use]
    pub fn member_statuses(&self, now: f64) -> Vec<MemberStatus> {
        let roster = self.membership.roster().iter().enumerate();
        roster
            .map(|(member, peer)| self.member_status(now, member, peer))
            .collect()
    }

    fn member_status(&self, now: f64, member: usize, peer: &Peer) -> MemberStatus {
        let view = self.membership.view(member);
        let received_s = if member == self.membership.own_index() {
            0.0
        } else {
            now - view.last_received
        };
        MemberStatus {
            name: peer.name.clone(),
            site: peer.site,
            state: view.state,
            incarnation: view.incarnation,
            since_s: now - view.since,
            received_s,
            report_s: self.reports.age(now, peer.number),
        }
    }

    /// This member's own report.
    fn own_report(&mut self, now: f64, size: ReportSize) -> Report {
        self.report_version += 1;
        let mut evidence = self.observations.evidence(now);
        evidence.truncate(size.evidence);
        let mut running = self.running.clone();
        if running.len() > size.running {
            running.sort_by_key(|(_, jobs)| Reverse(*jobs));
            running.truncate(size.running);
            running.sort_unstable();
        }
        Report {
            member: self.own_number(),
            process: self.process,
            incarnation: self.membership.incarnation(),
            version: self.report_version,
            age_ms: 0,
            arrivals: self.arrivals.totals().to_vec(),
            peaks: self.arrivals.peaks().to_vec(),
            running,
            running_all: self.running.iter().map(|(_, jobs)| u32::from(*jobs)).sum(),
            evidence,
        }
    }

    /// Joins the own report to the others. One of too many categories is not joined, as at the receivers.
    fn join_own_report(&mut self, now: f64, report: Report) {
        let _ = self.reports.join(now, report);
    }

    fn send_report(&mut self, now: f64, datagrams: &mut Datagrams) {
        let mut report = self.own_report(now, ReportSize::DATAGRAM);
        self.join_own_report(now, report.clone());
        // Many categories leave less space: the rest goes by exchanges.
        while self.frame(&Body::Report(report.clone())).len() > MAX_DATAGRAM_BYTES {
            let (evidence, running) = (report.evidence.len() / 2, report.running.len() / 2);
            report.evidence.truncate(evidence);
            report.running.truncate(running);
            if evidence + running == 0 {
                return;
            }
        }
        let mut others: Vec<usize> = (0..self.membership.roster().len())
            .filter(|member| self.membership.is_reachable(*member))
            .collect();
        for place in 0..others.len().min(REPORT_RECEIVERS) {
            let other = self.random.random_range(place..others.len());
            others.swap(place, other);
            self.send(others[place], &Body::Report(report.clone()), datagrams);
        }
    }

    fn send_membership(&mut self, outbox: Vec<(usize, Message)>, datagrams: &mut Datagrams) {
        for (to, message) in outbox {
            self.send(to, &Body::Swim(message), datagrams);
        }
    }

    fn send(&mut self, to: usize, body: &Body, datagrams: &mut Datagrams) {
        let frame = self.frame(body);
        // A body is cut to fit where it is made; the rest goes by an exchange.
        if frame.len() <= MAX_DATAGRAM_BYTES {
            self.sent.count(&frame);
            datagrams.push((to, frame));
        }
    }

    fn frame(&mut self, body: &Body) -> Vec<u8> {
        self.frame_sequence += 1;
        let envelope = Envelope {
            sender: self.own_number(),
            process: self.process,
            incarnation: self.membership.incarnation(),
            sequence: self.frame_sequence,
        };
        self.codec.encode(&envelope, body)
    }

    fn open(&mut self, now: f64, frame: &[u8], max_bytes: usize) -> Result<Opened, FrameError> {
        let (envelope, body) = self.codec.decode::<Body>(frame, max_bytes)?;
        let from = self
            .membership
            .index_of(envelope.sender)
            .filter(|from| *from != self.membership.own_index())
            .ok_or(FrameError::UnknownSender)?;
        self.received.count(frame);
        self.membership
            .confirm_alive(now, from, envelope.incarnation);
        Ok(Opened {
            from,
            envelope,
            body,
        })
    }

    fn count_rejected(&mut self, handled: Result<(), FrameError>) {
        if let Err(error) = handled {
            *self.rejected.entry(error).or_default() += 1;
        }
    }
}

/// A decoded frame of a known member.
struct Opened {
    /// The sender's index in the roster.
    from: usize,
    envelope: Envelope,
    body: Body,
}
