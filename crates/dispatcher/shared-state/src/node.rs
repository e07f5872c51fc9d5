//! One member of a fleet: membership, budgets, evidence and counts on the same frames. The host hands in bytes with
//! the time, tells what it saw and spent, and sends what lies in `out`.

use crate::budgets::{BudgetKind, Budgets, LeaseGrant, LeaseRequest, LendingTerms};
use crate::evidence::{EvidenceRules, Observations, RunnerVerdict, Witness};
use crate::reports::{ArrivalCounts, Digest, Report, ReportTable};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_swim::{
    Codec, Envelope, FrameError, MemberState, Membership, Message, Peer, SwimConfig, Update,
    MAX_DATAGRAM_BYTES, MAX_SYNC_BYTES,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is seen is told this often: a runner's trouble is known to all within a few of these.
const TELL_S: f64 = 0.2;
/// To so many at a time; in small fleets to all.
const TELL_TO: usize = 6;
/// Budgets are looked at this often while there is work.
const LOOK_S: f64 = 0.1;
/// A whole exchange with one other, so often on average: what datagrams lost is made good within a few.
const WHOLE_S: f64 = 2.0;
/// Evidence in a datagram: 14 bytes each at the most, with room for the rest.
const SIGHTS_TOLD: usize = 50;
/// Runners whose running jobs go into a datagram.
const RUNNING_TOLD: usize = 40;
/// ReportTable older than this are no evidence.
const WITNESS_S: f64 = 2.0;

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Body {
    Swim(Message),
    Asks(Vec<LeaseRequest>),
    Grants(Vec<LeaseGrant>),
    Report(Report),
    /// A whole exchange's question, its answer, and what the asker has beyond that.
    Have {
        updates: Vec<Update>,
        have: Vec<Digest>,
    },
    Give {
        updates: Vec<Update>,
        have: Vec<Digest>,
        reports: Vec<Report>,
        sums: Vec<ArrivalCounts>,
    },
    Rest {
        reports: Vec<Report>,
        sums: Vec<ArrivalCounts>,
    },
}

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub fleet: String,
    pub roster: Vec<Peer>,
    pub own_index: usize,
    pub swim: SwimConfig,
    pub lending: BTreeMap<BudgetKind, LendingTerms>,
    pub evidence_rules: EvidenceRules,
    pub category_count: usize,
    /// Not under any earlier process's of this name, as far as clocks go: milliseconds of Unix time.
    pub incarnation: u64,
    /// Drawn anew by each process.
    pub process: u64,
}

/// Where frames go: a datagram to a member.
pub type Datagrams = Vec<(usize, Vec<u8>)>;

/// How a member stands, for operators.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    pub name: String,
    pub site: u16,
    pub state: MemberState,
    pub incarnation: u64,
    pub since_s: f64,
    pub received_s: f64,
    pub report_s: Option<f64>,
}

pub struct Node {
    pub membership: Membership,
    pub budgets: Budgets,
    pub observations: Observations,
    pub reports: ReportTable,
    evidence_rules: EvidenceRules,
    codec: Codec,
    process: u64,
    sites: usize,
    no: u64,
    version: u64,
    arrivals: Vec<u64>,
    /// Work items received in this second by category, and the most in any.
    second: (u64, Vec<u32>, Vec<u32>),
    running: Vec<(u64, u16)>,
    running_all: u32,
    next_tell: f64,
    next_look: f64,
    next_whole: f64,
    chance: Pcg64Mcg,
    /// Frames passed over, by reason; and sent and received in all, with their bytes.
    pub rejected: BTreeMap<FrameError, u64>,
    pub sent: (u64, u64),
    pub received: (u64, u64),
}

impl Node {
    pub fn new(terms: NodeConfig, now: f64) -> Node {
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
        } = terms;
        let numbers: Vec<u64> = roster.iter().map(|peer| peer.number).collect();
        let mut sites: Vec<u16> = roster.iter().map(|peer| peer.site).collect();
        sites.sort_unstable();
        sites.dedup();
        let mut chance = Pcg64Mcg::seed_from_u64(process);
        let spread = chance.random::<f64>();
        Node {
            membership: Membership::new(swim, roster, own_index, incarnation, process, now),
            budgets: Budgets::new(numbers, own_index, process, lending, now),
            observations: Observations::default(),
            reports: ReportTable::default(),
            evidence_rules,
            codec: Codec::new(&fleet),
            process,
            sites: sites.len(),
            no: 0,
            version: 0,
            arrivals: vec![0; category_count],
            second: (0, vec![0; category_count], vec![0; category_count]),
            running: Vec::new(),
            running_all: 0,
            next_tell: now + TELL_S * spread,
            next_look: now,
            next_whole: now + WHOLE_S * spread,
            chance,
            rejected: BTreeMap::new(),
            sent: (0, 0),
            received: (0, 0),
        }
    }

    fn frame(&mut self, body: &Body) -> Vec<u8> {
        self.no += 1;
        let from = self.membership.roster()[self.membership.own_index()].number;
        let envelope = Envelope {
            sender: from,
            process: self.process,
            incarnation: self.membership.incarnation(),
            sequence: self.no,
        };
        self.codec.encode(&envelope, body)
    }

    fn send(&mut self, to: usize, body: &Body, out: &mut Datagrams) {
        let frame = self.frame(body);
        // What does not fit was cut to fit by who made it; the rest goes by a whole exchange.
        if frame.len() <= MAX_DATAGRAM_BYTES {
            self.sent = (self.sent.0 + 1, self.sent.1 + frame.len() as u64);
            out.push((to, frame));
        }
    }

    fn reject(&mut self, why: FrameError) {
        *self.rejected.entry(why).or_default() += 1;
    }

    // ---- what the host tells ----

    /// A work item has been received.
    pub fn record_arrival(&mut self, now: f64, category: usize) {
        let Some(sum) = self.arrivals.get_mut(category) else {
            return;
        };
        *sum += 1;
        let (second, counts, peaks) = &mut self.second;
        if now as u64 != *second {
            *second = now as u64;
            counts.iter_mut().for_each(|n| *n = 0);
        }
        counts[category] += 1;
        peaks[category] = peaks[category].max(counts[category]);
    }

    /// Jobs of this member that run, by runner in ascending order.
    pub fn set_running(&mut self, running: Vec<(u64, u16)>) {
        self.running_all = running.iter().map(|(_, n)| u32::from(*n)).sum();
        self.running = running;
    }

    // ---- time ----

    pub fn due(&self) -> f64 {
        self.membership
            .due()
            .min(self.next_tell)
            .min(self.next_look)
            .min(self.next_whole)
    }

    /// Looks at what has become due.
    pub fn tick(&mut self, now: f64, out: &mut Datagrams) {
        let mut post = Vec::new();
        if now >= self.membership.due() {
            self.membership.tick(now, &mut post);
        }
        for (to, message) in post {
            self.send(to, &Body::Swim(message), out);
        }
        if now >= self.next_tell {
            self.next_tell = now + TELL_S;
            self.tell(now, out);
        }
        if now >= self.next_look {
            self.next_look = now + LOOK_S;
            self.reports.expire(now);
            self.budgets.remove_unused(now, 60.0);
            self.request_leases(now, out);
        }
    }

    /// Asks for parts that are short. Also called by the host when work has come that needs one.
    pub fn request_leases(&mut self, now: f64, out: &mut Datagrams) {
        let mut asks = Vec::new();
        self.budgets.request_leases(now, &mut asks);
        let mut by: BTreeMap<usize, Vec<LeaseRequest>> = BTreeMap::new();
        asks.into_iter()
            .for_each(|(to, ask)| by.entry(to).or_default().push(ask));
        for (to, asks) in by {
            // 40: under a datagram at 32 bytes each.
            for part in asks.chunks(40) {
                self.send(to, &Body::Asks(part.to_vec()), out);
            }
        }
    }

    /// This member's own report, as far as it fits `observations` and `runners`.
    fn report(&mut self, now: f64, observations: usize, runners: usize) -> Report {
        self.version += 1;
        let mut seen = self.observations.evidence(now);
        seen.truncate(observations);
        let mut running = self.running.clone();
        if running.len() > runners {
            running.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
            running.truncate(runners);
            running.sort_unstable();
        }
        Report {
            member: self.membership.roster()[self.membership.own_index()].number,
            process: self.process,
            incarnation: self.membership.incarnation(),
            version: self.version,
            age_ms: 0,
            arrivals: self.arrivals.clone(),
            peaks: self.second.2.clone(),
            running,
            running_all: self.running_all,
            evidence: seen,
        }
    }

    fn tell(&mut self, now: f64, out: &mut Datagrams) {
        let mut report = self.report(now, SIGHTS_TOLD, RUNNING_TOLD);
        self.reports.join(now, report.clone());
        // Many category_count leave less room: the rest goes by whole exchanges.
        while self.frame(&Body::Report(report.clone())).len() > MAX_DATAGRAM_BYTES {
            let (observations, runners) = (report.evidence.len() / 2, report.running.len() / 2);
            report.evidence.truncate(observations);
            report.running.truncate(runners);
            if observations + runners == 0 {
                return;
            }
        }
        let mut others: Vec<usize> = (0..self.membership.roster().len())
            .filter(|who| self.membership.is_reachable(*who))
            .collect();
        for at in 0..others.len().min(TELL_TO) {
            let other = self.chance.random_range(at..others.len());
            others.swap(at, other);
            self.send(others[at], &Body::Report(report.clone()), out);
        }
    }

    // ---- frames ----

    fn opened(&mut self, now: f64, frame: &[u8], most: usize) -> Option<(usize, Envelope, Body)> {
        let (envelope, body) = match self.codec.decode::<Body>(frame, most) {
            Ok(read) => read,
            Err(why) => {
                self.reject(why);
                return None;
            }
        };
        let Some(from) = self
            .membership
            .index_of(envelope.sender)
            .filter(|from| *from != self.membership.own_index())
        else {
            self.reject(FrameError::UnknownSender);
            return None;
        };
        self.received = (self.received.0 + 1, self.received.1 + frame.len() as u64);
        self.membership
            .confirm_alive(now, from, envelope.incarnation);
        Some((from, envelope, body))
    }

    /// A datagram has come.
    pub fn receive_datagram(&mut self, now: f64, frame: &[u8], out: &mut Datagrams) {
        let Some((from, envelope, body)) = self.opened(now, frame, MAX_DATAGRAM_BYTES) else {
            return;
        };
        let sound = match body {
            Body::Swim(message) => {
                let mut post = Vec::new();
                let sound = self
                    .membership
                    .receive(now, from, message, &mut post)
                    .is_ok();
                post.into_iter()
                    .for_each(|(to, message)| self.send(to, &Body::Swim(message), out));
                sound
            }
            Body::Asks(asks) => {
                let grants: Vec<LeaseGrant> = asks
                    .into_iter()
                    .filter_map(|ask| {
                        self.budgets
                            .receive_request(now, from, envelope.process, ask)
                    })
                    .collect();
                if !grants.is_empty() {
                    self.send(from, &Body::Grants(grants), out);
                }
                true
            }
            Body::Grants(grants) => grants
                .into_iter()
                .all(|grant| self.budgets.receive_grant(from, grant)),
            // By way of nobody: who made it sends it.
            Body::Report(report) => {
                report.member == envelope.sender && self.reports.join(now, report)
            }
            Body::Have { .. } | Body::Give { .. } | Body::Rest { .. } => false,
        };
        if !sound {
            self.reject(FrameError::InvalidValue);
        }
    }

    /// The question of a whole exchange, when one is due: with whom, and the frame.
    pub fn start_exchange(&mut self, now: f64) -> Option<(usize, Vec<u8>)> {
        if now < self.next_whole {
            return None;
        }
        self.next_whole = now + WHOLE_S * (0.5 + self.chance.random::<f64>());
        // The dead too, now and then: two halves of a split find each other again.
        let dead = self.chance.random_range(0..8) == 0;
        let others: Vec<usize> = (0..self.membership.roster().len())
            .filter(|who| {
                *who != self.membership.own_index() && (dead || self.membership.is_reachable(*who))
            })
            .collect();
        if others.is_empty() {
            return None;
        }
        let to = others[self.chance.random_range(0..others.len())];
        let whole = self.report(now, usize::MAX, usize::MAX);
        self.reports.join(now, whole);
        let body = Body::Have {
            updates: self.membership.full_state(),
            have: self.reports.digest(),
        };
        Some((to, self.frame(&body)))
    }

    fn take_up(
        &mut self,
        now: f64,
        updates: &[Update],
        reports: Vec<Report>,
        sums: Vec<ArrivalCounts>,
    ) {
        let mut sound = self.membership.apply_updates(now, updates).is_ok();
        let me = self.membership.roster()[self.membership.own_index()].number;
        for report in reports {
            if self.membership.index_of(report.member).is_none() || report.member == me {
                continue;
            }
            sound &= self.reports.join(now, report);
        }
        if !(sound & self.reports.join_counts(sums)) {
            self.reject(FrameError::InvalidValue);
        }
    }

    /// A frame of a whole exchange has come; what is to be answered on the same link, if anything.
    pub fn receive_exchange(&mut self, now: f64, frame: &[u8]) -> Option<Vec<u8>> {
        let (_, _, body) = self.opened(now, frame, MAX_SYNC_BYTES)?;
        match body {
            Body::Have { updates, have } => {
                self.take_up(now, &updates, Vec::new(), Vec::new());
                let whole = self.report(now, usize::MAX, usize::MAX);
                self.reports.join(now, whole);
                let body = Body::Give {
                    updates: self.membership.full_state(),
                    have: self.reports.digest(),
                    reports: self.reports.missing_from(now, &have),
                    sums: self.reports.counts(),
                };
                Some(self.frame(&body))
            }
            Body::Give {
                updates,
                have,
                reports,
                sums,
            } => {
                self.take_up(now, &updates, reports, sums);
                let body = Body::Rest {
                    reports: self.reports.missing_from(now, &have),
                    sums: self.reports.counts(),
                };
                Some(self.frame(&body))
            }
            Body::Rest { reports, sums } => {
                self.take_up(now, &[], reports, sums);
                None
            }
            _ => {
                self.reject(FrameError::InvalidValue);
                None
            }
        }
    }

    // ---- what the host asks ----

    /// What is heard of runners, beside the own observations.
    pub fn verdicts(&mut self, now: f64) -> Vec<(u64, RunnerVerdict)> {
        let own = self.observations.evidence(now);
        let me = self.membership.own_index();
        let mut witnesses = vec![Witness {
            site: self.membership.roster()[me].site,
            is_own: true,
            age_s: 0.0,
            evidence: &own,
        }];
        for (report, age_s) in self.reports.fresh(now, WITNESS_S) {
            let Some(who) = self
                .membership
                .index_of(report.member)
                .filter(|who| *who != me)
            else {
                continue;
            };
            let site = self.membership.roster()[who].site;
            witnesses.push(Witness {
                site,
                is_own: false,
                age_s,
                evidence: &report.evidence,
            });
        }
        self.evidence_rules.evaluate(&witnesses, self.sites)
    }

    /// The most jobs of all members that run on one runner.
    pub fn max_running(&self, now: f64, within_s: f64) -> u64 {
        let me = self.membership.roster()[self.membership.own_index()].number;
        let mut at: BTreeMap<u64, u64> = self
            .running
            .iter()
            .map(|(of, n)| (*of, u64::from(*n)))
            .collect();
        for (report, _) in self
            .reports
            .fresh(now, within_s)
            .filter(|(report, _)| report.member != me)
        {
            for (of, n) in &report.running {
                *at.entry(*of).or_default() += u64::from(*n);
            }
        }
        at.into_values().max().unwrap_or(0)
    }

    pub fn member_statuses(&self, now: f64) -> Vec<MemberStatus> {
        let of = |(n, peer): (usize, &Peer)| {
            let seen = self.membership.view(n);
            MemberStatus {
                name: peer.name.clone(),
                site: peer.site,
                state: seen.state,
                incarnation: seen.incarnation,
                since_s: now - seen.since,
                received_s: if n == self.membership.own_index() {
                    0.0
                } else {
                    now - seen.last_received
                },
                report_s: self.reports.age(now, peer.number),
            }
        };
        self.membership
            .roster()
            .iter()
            .enumerate()
            .map(of)
            .collect()
    }
}
