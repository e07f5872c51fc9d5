//! One member of the fleet: it exchanges membership, leases, evidence and counts in frames with the others.

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

/// Interval in seconds at which a member sends its report: all members learn of a runner's fault within a few
/// intervals.
const REPORT_INTERVAL_S: f64 = 0.2;
/// Number of members to which a report is sent in each interval; in small fleets it goes to all.
const REPORT_RECEIVERS: usize = 6;
/// Interval in seconds at which leases are requested while there is work.
const LEASE_INTERVAL_S: f64 = 0.1;
/// A budget that the caller does not reference for this many seconds is removed.
const BUDGET_RETENTION_S: f64 = 60.0;
/// Maximum number of lease requests in one datagram; each has at most 32 bytes.
const REQUESTS_PER_DATAGRAM: usize = 40;
/// Mean interval in seconds at which a member starts an exchange: state lost with datagrams is repaired within a few
/// intervals.
const EXCHANGE_INTERVAL_S: f64 = 2.0;
/// Reports older than this many seconds do not count as evidence.
const MAX_EVIDENCE_AGE_S: f64 = 2.0;

/// Maximum numbers of entries in a report that is sent.
#[derive(Clone, Copy)]
struct ReportSize {
    evidence: usize,
    running: usize,
}

impl ReportSize {
    /// Fits a datagram: an entry of evidence has at most 14 bytes, which leaves space for the rest of the report.
    const DATAGRAM: ReportSize = ReportSize {
        evidence: 50,
        running: 40,
    };
    /// Complete, for an exchange.
    const FULL: ReportSize = ReportSize {
        evidence: usize::MAX,
        running: usize::MAX,
    };
}

/// State of a member as known to this member, shown to operators.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    /// Configured name of the member.
    pub name: String,
    /// Index of the member's site.
    pub site: u16,
    /// State of the member by the membership protocol.
    pub state: MemberState,
    /// Highest known incarnation of the member.
    pub incarnation: u64,
    /// Time in seconds for which the member has been in this state.
    pub since_s: f64,
    /// Time in seconds since a frame that the member sent itself was received; 0 for this member, infinity for never.
    pub received_s: f64,
    /// Age of the member's last report in seconds, if there is one.
    pub report_s: Option<f64>,
}

/// One member of the fleet. It does no I/O: the caller supplies the time in seconds, passes in received frames, records
/// its observations and uses, and sends the returned datagrams.
pub struct Node {
    /// The membership protocol.
    pub membership: Membership,
    /// Limits that the members share.
    pub budgets: Budgets,
    /// This member's own observations of runners.
    pub observations: Observations,
    /// Last report of each member.
    pub reports: ReportTable,
    evidence_rules: EvidenceRules,
    codec: Codec,
    process: u64,
    site_count: usize,
    /// Sequence number of this member's last frame.
    frame_sequence: u64,
    /// Version of this member's last report.
    report_version: u64,
    arrivals: ArrivalCounter,
    /// Number of this member's jobs running at each runner, in sixteenths, in ascending order of the runners' numbers.
    running: Vec<(u64, u16)>,
    /// Time of the next report. This time and the next two are in seconds on the caller's clock.
    next_report_at_s: f64,
    next_lease_request_at_s: f64,
    next_exchange_at_s: f64,
    random: Pcg64Mcg,
    /// Number of rejected frames by reason.
    pub rejected: BTreeMap<FrameError, u64>,
    /// Datagrams sent.
    pub sent: Traffic,
    /// Frames received from members of the roster; a frame whose content is rejected afterwards is included.
    pub received: Traffic,
}

impl Node {
    /// Creates a member that the others do not know yet.
    ///
    /// # Panics
    ///
    /// Panics if `own_index` is not an index in the roster.
    #[must_use]
    pub fn new(config: NodeConfig, now_s: f64) -> Node {
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
            membership: Membership::new(swim, roster, own_index, incarnation, process, now_s),
            budgets: Budgets::new(numbers, own_index, process, lending, now_s),
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
            next_report_at_s: now_s + REPORT_INTERVAL_S * spread,
            next_lease_request_at_s: now_s,
            next_exchange_at_s: now_s + EXCHANGE_INTERVAL_S * spread,
            random,
            rejected: BTreeMap::new(),
            sent: Traffic::default(),
            received: Traffic::default(),
        }
    }

    fn own_number(&self) -> u64 {
        self.membership.roster()[self.membership.own_index()].number
    }

    /// Counts a work item that this member accepted.
    pub fn record_arrival(&mut self, now_s: f64, category: usize) {
        self.arrivals.record(now_s, category);
    }

    /// Sets the number of this member's running jobs, in sixteenths, in ascending order of the runners' numbers.
    pub fn set_running(&mut self, running: Vec<(u64, u16)>) {
        self.running = running;
    }

    /// Time at which the caller must call [`Node::tick`] next, in seconds on its clock.
    #[must_use]
    pub fn due(&self) -> f64 {
        self.membership
            .due()
            .min(self.next_report_at_s)
            .min(self.next_lease_request_at_s)
            .min(self.next_exchange_at_s)
    }

    /// Performs all actions that are due, except exchanges, which [`Node::start_exchange`] starts.
    pub fn tick(&mut self, now_s: f64, datagrams: &mut Datagrams) {
        if now_s >= self.membership.due() {
            let mut outbox = Vec::new();
            self.membership.tick(now_s, &mut outbox);
            self.send_membership(outbox, datagrams);
        }
        if now_s >= self.next_report_at_s {
            self.next_report_at_s = now_s + REPORT_INTERVAL_S;
            self.send_report(now_s, datagrams);
        }
        if now_s >= self.next_lease_request_at_s {
            self.next_lease_request_at_s = now_s + LEASE_INTERVAL_S;
            self.reports.expire(now_s);
            self.budgets.remove_unused(now_s, BUDGET_RETENTION_S);
            self.request_leases(now_s, datagrams);
        }
    }

    /// Requests leases where the usable amount is too small. The caller also calls this when work arrives that needs
    /// one.
    pub fn request_leases(&mut self, now_s: f64, datagrams: &mut Datagrams) {
        let mut requests = Vec::new();
        self.budgets.request_leases(now_s, &mut requests);
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

    /// Handles a received datagram and appends the replies to `datagrams`. An invalid one is counted in
    /// [`Node::rejected`].
    pub fn receive_datagram(&mut self, now_s: f64, frame: &[u8], datagrams: &mut Datagrams) {
        let handled = self
            .open(now_s, frame, MAX_DATAGRAM_BYTES)
            .and_then(|opened| self.handle(now_s, opened, datagrams));
        self.count_rejected(handled);
    }

    fn handle(
        &mut self,
        now_s: f64,
        opened: ReceivedFrame,
        datagrams: &mut Datagrams,
    ) -> Result<(), FrameError> {
        let ReceivedFrame {
            from,
            envelope,
            body,
        } = opened;
        match body {
            Body::Swim(message) => {
                let mut outbox = Vec::new();
                let received = self.membership.receive(now_s, from, message, &mut outbox);
                self.send_membership(outbox, datagrams);
                received
            }
            Body::LeaseRequests(requests) => {
                let grant = |request| {
                    self.budgets
                        .receive_request(now_s, from, envelope.process, request)
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
            // A member sends only its own report in datagrams.
            Body::Report(report) if report.member == envelope.sender => {
                self.reports.join(now_s, report)
            }
            Body::Report(_)
            | Body::ExchangeRequest { .. }
            | Body::ExchangeReply { .. }
            | Body::ExchangeEnd { .. } => Err(FrameError::InvalidValue),
        }
    }

    /// Verdicts on runners from the evidence of all members, including this one, by the runner's number.
    pub fn verdicts(&mut self, now_s: f64) -> Vec<(u64, RunnerVerdict)> {
        let own_evidence = self.observations.evidence(now_s);
        let own_index = self.membership.own_index();
        let roster = self.membership.roster();
        let mut witnesses = vec![Witness {
            site: roster[own_index].site,
            is_own: true,
            age_s: 0.0,
            evidence: &own_evidence,
        }];
        for (report, age_s) in self.reports.fresh(now_s, MAX_EVIDENCE_AGE_S) {
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

    /// Maximum over all runners of the number of jobs of all members running there, in sixteenths, by the reports from
    /// the last `within_s` seconds.
    #[must_use]
    pub fn max_running(&self, now_s: f64, within_s: f64) -> u64 {
        let own_number = self.own_number();
        let mut by_runner: BTreeMap<u64, u64> = self
            .running
            .iter()
            .map(|(runner, jobs)| (*runner, u64::from(*jobs)))
            .collect();
        for (report, _) in self.reports.fresh(now_s, within_s) {
            if report.member == own_number {
                continue;
            }
            for (runner, jobs) in &report.running {
                *by_runner.entry(*runner).or_default() += u64::from(*jobs);
            }
        }
        by_runner.into_values().max().unwrap_or(0)
    }

    /// State of all members as known to this member, in the order of the roster.
    #[must_use]
    pub fn member_statuses(&self, now_s: f64) -> Vec<MemberStatus> {
        let roster = self.membership.roster().iter().enumerate();
        roster
            .map(|(member, peer)| self.member_status(now_s, member, peer))
            .collect()
    }

    fn member_status(&self, now_s: f64, member: usize, peer: &Peer) -> MemberStatus {
        let view = self.membership.view(member);
        let received_s = if member == self.membership.own_index() {
            0.0
        } else {
            now_s - view.last_received
        };
        MemberStatus {
            name: peer.name.clone(),
            site: peer.site,
            state: view.state,
            incarnation: view.incarnation,
            since_s: now_s - view.since,
            received_s,
            report_s: self.reports.age(now_s, peer.number),
        }
    }

    /// Creates the next report of this member.
    fn own_report(&mut self, now_s: f64, size: ReportSize) -> Report {
        self.report_version += 1;
        let mut evidence = self.observations.evidence(now_s);
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

    /// Joins this member's report into the table. A report with too many categories is dropped here as at the
    /// receivers.
    fn join_own_report(&mut self, now_s: f64, report: Report) {
        let _ = self.reports.join(now_s, report);
    }

    fn send_report(&mut self, now_s: f64, datagrams: &mut Datagrams) {
        let mut report = self.own_report(now_s, ReportSize::DATAGRAM);
        self.join_own_report(now_s, report.clone());
        // Many categories leave less space for the rest, which is then transferred in exchanges.
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
        // Bodies are cut to the size of a datagram where they are created; the rest is transferred in an exchange.
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

    fn open(
        &mut self,
        now_s: f64,
        frame: &[u8],
        max_bytes: usize,
    ) -> Result<ReceivedFrame, FrameError> {
        let (envelope, body) = self.codec.decode::<Body>(frame, max_bytes)?;
        let from = self
            .membership
            .index_of(envelope.sender)
            .filter(|from| *from != self.membership.own_index())
            .ok_or(FrameError::UnknownSender)?;
        self.received.count(frame);
        self.membership
            .confirm_alive(now_s, from, envelope.incarnation);
        Ok(ReceivedFrame {
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

/// Decoded frame from a member of the roster.
struct ReceivedFrame {
    /// Index of the sender in the roster.
    from: usize,
    envelope: Envelope,
    body: Body,
}
