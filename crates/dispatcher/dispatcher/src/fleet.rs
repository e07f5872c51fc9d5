//! Between the exchange and the other members: what was seen and spent goes to the node, what is shared to the
//! decisions. No socket here; `links` carries the frames.

use crate::trial::Broken;
use rand::{Rng, SeedableRng};
use sagetrail_dispatch::{name_hash, Endpoint, Load, Observation};
use sagetrail_policy::Dispatcher;
use sagetrail_settings::Fleet as Said;
use sagetrail_shared_state::{
    BudgetKey, BudgetKind, EvidenceRules, LendingTerms, Node, NodeConfig, RunnerVerdict,
};
use sagetrail_swim::{Peer, SwimConfig};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// A cold runner's whole, in millionths.
const WHOLE: u64 = 1_000_000;
/// What is heard of runners is weighed this often.
const HEAR_S: f64 = 0.1;
/// Jobs elsewhere count as running for so long after they were told.
const TOLD_S: f64 = 2.0;
/// Resends are limited within any second.
const RESENDS_S: f64 = 1.0;

pub(crate) struct Fleet {
    pub node: RefCell<Node>,
    /// Rung when a part is short, or there is nothing to wait for.
    pub lease_wake: Notify,
    /// Where each member is reached.
    pub addresses: Vec<SocketAddr>,
    pub listen: SocketAddr,
    sites: Vec<String>,
    sharing: bool,
    caps: RefCell<Vec<Option<(BudgetKey, u64)>>>,
    resends: Cell<Option<u64>>,
    resent: RefCell<VecDeque<f64>>,
    /// The budget of each cold runner in use.
    cold: RefCell<BTreeMap<usize, BudgetKey>>,
    places: RefCell<BTreeMap<u64, usize>>,
    /// Jobs of ours that run at each runner, in the mean.
    runs: RefCell<Vec<f64>>,
    next_hear: Cell<f64>,
    believed: RefCell<BTreeMap<usize, f64>>,
    broken: Option<Broken>,
}

fn caps(said: &Said, categories: &[String]) -> Vec<Option<(BudgetKey, u64)>> {
    let cap = |name: &String| {
        said.caps.get(name).map(|most| {
            (
                BudgetKey {
                    kind: BudgetKind::Category,
                    subject: name_hash(name),
                },
                *most,
            )
        })
    };
    categories.iter().map(cap).collect()
}

const RESENDS: BudgetKey = BudgetKey {
    kind: BudgetKind::Resubmissions,
    subject: 0,
};

impl Fleet {
    /// `longest_s`: how long a work item may be out at the most; `span_s`: of the rule on cold runners.
    pub(crate) fn new(
        said: &Said,
        categories: &[String],
        longest_s: f64,
        span_s: f64,
        unix: f64,
        now: f64,
        broken: Option<Broken>,
    ) -> Rc<Fleet> {
        let mut sites: Vec<&str> = said
            .members
            .iter()
            .map(|member| member.site.as_str())
            .collect();
        sites.sort_unstable();
        sites.dedup();
        let site = |name: &str| sites.iter().position(|site| *site == name).unwrap_or(0) as u16;
        let peer = |member: &sagetrail_settings::Member| Peer {
            name: member.name.clone(),
            number: name_hash(&member.name),
            site: site(&member.site),
        };
        let all = said.members.len();
        let hold_s = if broken == Some(Broken::LendsTooSoon) {
            0.0
        } else {
            longest_s
        };
        let lending = [
            (
                BudgetKind::SlowStart,
                LendingTerms {
                    lease_s: said.lease_s,
                    spend_s: span_s,
                    owner_count: said.owners,
                },
            ),
            (
                BudgetKind::Resubmissions,
                LendingTerms {
                    lease_s: said.lease_s,
                    spend_s: RESENDS_S,
                    owner_count: all,
                },
            ),
            (
                BudgetKind::Category,
                LendingTerms {
                    lease_s: said.lease_s,
                    spend_s: hold_s,
                    owner_count: all,
                },
            ),
        ];
        let judge = match broken {
            Some(Broken::BelievesOne) => EvidenceRules {
                reporters: 1,
                sites: 1,
                most_out: 1.0,
                own_fault: 1.0,
                fresh_s: 4.0,
                least_bad: 1,
                own_first: false,
            },
            _ => EvidenceRules::default(),
        };
        let terms = NodeConfig {
            fleet: said.name.clone(),
            roster: said.members.iter().map(peer).collect(),
            own_index: said.me,
            swim: SwimConfig {
                probe_interval_s: said.probe_s,
                ack_timeout_s: said.ack_s,
                indirect_probes: said.helpers,
            },
            lending: lending.into(),
            evidence_rules: judge,
            category_count: categories.len(),
            incarnation: (unix * 1e3) as u64,
            process: rand_pcg::Pcg64Mcg::from_os_rng().random(),
        };
        // Long ago, to a process that forgets when it started.
        let began = if broken == Some(Broken::ForgetsItsStart) {
            now - 1e6
        } else {
            now
        };
        let mut node = Node::new(terms, now);
        node.budgets.set_started_at(began);
        Rc::new(Fleet {
            node: RefCell::new(node),
            lease_wake: Notify::new(),
            addresses: said.members.iter().map(|member| member.at).collect(),
            listen: said.listen,
            sites: sites.iter().map(ToString::to_string).collect(),
            sharing: said.sharing,
            caps: RefCell::new(caps(said, categories)),
            resends: Cell::new(said.resends),
            resent: RefCell::default(),
            cold: RefCell::default(),
            places: RefCell::default(),
            runs: RefCell::default(),
            next_hear: Cell::new(0.0),
            believed: RefCell::default(),
            broken,
        })
    }

    /// Takes up limits that a changed page says: here they bind at once.
    pub(crate) fn set_limits(&self, said: &Said, categories: &[String]) {
        let new = caps(said, categories);
        if *self.caps.borrow() != new || self.resends.get() != said.resends {
            tracing::info!("the page names other limits to share");
        }
        self.caps.replace(new);
        self.resends.set(said.resends);
    }

    pub(crate) fn record_arrival(&self, now: f64, category: usize) {
        self.node.borrow_mut().record_arrival(now, category);
    }

    pub(crate) fn record_observation(&self, now: f64, endpoint: &Endpoint, what: Observation) {
        let good = match what {
            Observation::Finished => true,
            Observation::Failed | Observation::NoResponse => false,
            Observation::Responded => return,
        };
        self.node
            .borrow_mut()
            .observations
            .record(now, name_hash(&endpoint.name), good);
    }

    /// What others saw of runners in the last seconds: when, at which place, whether good.
    pub(crate) fn for_each_peer_result(&self, now: f64, mut tell: impl FnMut(f64, usize, bool)) {
        if !self.sharing {
            return;
        }
        let (node, places) = (self.node.borrow(), self.places.borrow());
        let me = node.membership.roster()[node.membership.own_index()].number;
        for (report, age_s) in node
            .reports
            .fresh(now, TOLD_S)
            .filter(|(report, _)| report.member != me)
        {
            for seen in &report.evidence {
                let Some(&place) = places.get(&seen.runner) else {
                    continue;
                };
                let at = |ago: u16| now - age_s - f64::from(ago) / 100.0;
                if seen.last_success_ago < u16::MAX {
                    tell(at(seen.last_success_ago), place, true);
                }
                if seen.last_failure_ago < u16::MAX {
                    tell(at(seen.last_failure_ago), place, false);
                }
            }
        }
    }

    /// Work items of a category that all took so far, as far as is known.
    pub(crate) fn arrivals(&self, now: f64, category: usize) -> u64 {
        self.node.borrow().reports.arrivals(now, category).sum
    }

    pub(crate) fn record_attempt(&self, now: f64, again: bool) {
        if again {
            self.resent.borrow_mut().push_back(now);
        }
    }

    pub(crate) fn budget_usable_until(&self, now: f64, runner: usize, category: usize) -> f64 {
        let node = self.node.borrow();
        let cold = self
            .cold
            .borrow()
            .get(&runner)
            .map(|key| node.budgets.usable_until(now, *key));
        let cap = self
            .caps
            .borrow()
            .get(category)
            .copied()
            .flatten()
            .map(|(key, _)| node.budgets.usable_until(now, key));
        cold.unwrap_or(f64::INFINITY)
            .min(cap.unwrap_or(f64::INFINITY))
    }

    /// Whether parts are lent from here.
    pub(crate) fn set_lending(&self, yes: bool) {
        self.node.borrow_mut().budgets.lends = yes;
    }

    /// Tells the decisions what this member holds at this moment and what is heard.
    pub(crate) fn apply_shared_state(&self, now: f64, d: &mut Dispatcher, load: &Load) {
        if !self.sharing {
            return;
        }
        self.report_budget_use(now, d, load);
        let mut node = self.node.borrow_mut();
        for (&r, &key) in self.cold.borrow().iter() {
            let usable = if self.broken == Some(Broken::WholeForEach) {
                WHOLE
            } else {
                node.budgets.usable(now, key)
            };
            d.set_cold_share(r, Some(usable as f64 / WHOLE as f64));
        }
        let out = |category: usize| f64::from(load.attempts.get(category).copied().unwrap_or(0));
        let left = |(category, cap): (usize, &Option<(BudgetKey, u64)>)| match cap {
            Some((_, most)) if self.broken == Some(Broken::CapForEach) => {
                *most as f64 - out(category)
            }
            Some((key, _)) => node.budgets.usable(now, *key) as f64 - out(category),
            None => f64::INFINITY,
        };
        let left: Vec<f64> = self.caps.borrow().iter().enumerate().map(left).collect();
        let resends = match self.resends.get() {
            Some(_) if self.broken != Some(Broken::ResendsFreely) => {
                node.budgets.usable(now, RESENDS) as f64 - self.resent.borrow().len() as f64
            }
            _ => f64::INFINITY,
        };
        d.set_remaining_budgets(&left, resends);
        if now < self.next_hear.get() {
            return;
        }
        self.next_hear.set(now + HEAR_S);
        let mut places = self.places.borrow_mut();
        for place in places.len()..load.endpoints.len() {
            places.insert(name_hash(&load.endpoints[place].name), place);
        }
        let mut believed = self.believed.borrow_mut();
        for (of, heard) in node.verdicts(now) {
            let Some(&place) = places.get(&of) else {
                continue;
            };
            match self.broken == Some(Broken::BelievesOne) {
                true if heard == RunnerVerdict::Unhealthy => _ = believed.insert(place, now + 10.0),
                true => {}
                false => d.apply_peer_verdict(now, place, heard == RunnerVerdict::Healthy),
            }
        }
        // Only in the broken variant: a verdict that outlasts its evidence.
        believed.retain(|_, until| now < *until);
        if self.broken == Some(Broken::BelievesOne) {
            d.set_unreachable(now, &believed.keys().copied().collect::<Vec<usize>>());
        }
        // In the mean of the last second: what several tell at moments of their own does not add up otherwise.
        let mut runs = self.runs.borrow_mut();
        runs.resize(load.endpoints.len(), 0.0);
        for (mean, now) in runs
            .iter_mut()
            .zip(load.running_jobs.iter().chain(std::iter::repeat(&0)))
        {
            *mean += HEAR_S * (f64::from(*now) - *mean);
        }
        let told = |(of, place): (&u64, &usize)| {
            let sixteenths = (16.0 * runs[*place]).round() as u16;
            (sixteenths > 0).then_some((*of, sixteenths))
        };
        let running: Vec<(u64, u16)> = places.iter().filter_map(told).collect();
        node.set_running(running);
        if !self.cold.borrow().is_empty() {
            d.set_fleet_max_running(node.max_running(now, TOLD_S) as f64 / 16.0);
        }
    }

    /// Tells the node what is spent now and what could be used.
    pub(crate) fn report_budget_use(&self, now: f64, d: &Dispatcher, load: &Load) {
        if !self.sharing {
            return;
        }
        let mut node = self.node.borrow_mut();
        let mut cold = self.cold.borrow_mut();
        cold.clear();
        let mut short = false;
        for (r, spent, wants) in d.cold_usage(now) {
            let Some(endpoint) = load.endpoints.get(r) else {
                continue;
            };
            let key = BudgetKey {
                kind: BudgetKind::SlowStart,
                subject: name_hash(&format!(
                    "{} {}",
                    endpoint.name,
                    endpoint.started_unix_s.get()
                )),
            };
            if !node.budgets.set_limit(now, key, WHOLE) {
                continue;
            }
            let occupied = (spent * WHOLE as f64).ceil() as u64;
            short |= wants && node.budgets.usable(now, key) < WHOLE / 2;
            node.budgets
                .record_use(now, key, occupied, if wants { WHOLE } else { 0 });
            cold.insert(r, key);
        }
        let count = |counts: &[u32], n: usize| u64::from(counts.get(n).copied().unwrap_or(0));
        for (n, (key, most)) in self
            .caps
            .borrow()
            .iter()
            .enumerate()
            .filter_map(|(n, cap)| Some((n, (*cap)?)))
        {
            node.budgets.set_limit(now, key, most);
            let (out, taken) = (count(&load.attempts, n), count(&load.open_work_items, n));
            short |= taken > node.budgets.usable(now, key);
            node.budgets.record_use(now, key, out, taken.max(out));
        }
        if let Some(most) = self.resends.get() {
            node.budgets.set_limit(now, RESENDS, most);
            let mut resent = self.resent.borrow_mut();
            while resent.front().is_some_and(|at| now >= at + RESENDS_S) {
                resent.pop_front();
            }
            let busy = load.attempts.iter().any(|n| *n > 0);
            let want = if busy { 2 * resent.len() as u64 + 2 } else { 0 };
            node.budgets
                .record_use(now, RESENDS, resent.len() as u64, want);
        }
        if short {
            self.lease_wake.notify_one();
        }
    }

    // ---- for operators ----

    pub(crate) fn members(&self, now: f64) -> String {
        let node = self.node.borrow();
        let mut lines = String::from("member site life incarnation since_s heard_s report_s\n");
        for s in node.member_statuses(now) {
            let told = |age: Option<f64>| age.map_or("-".to_string(), |age| format!("{age:.1}"));
            let heard = Some(s.received_s).filter(|age| age.is_finite());
            let life = s.state.as_str();
            let _ = writeln!(
                lines,
                "{} {} {life} {} {:.1} {} {}",
                s.name,
                self.sites[usize::from(s.site)],
                s.incarnation,
                s.since_s,
                told(heard),
                told(s.report_s)
            );
        }
        let counters = node.membership.counters;
        let _ = writeln!(
            lines,
            "own: health {} of 8, probes {}, suspected {}, refuted {}, died {}, accused {}, stalls {}",
            node.membership.local_health(),
            counters.probes,
            counters.suspected,
            counters.refuted,
            counters.declared_dead,
            counters.self_suspected,
            counters.stalls
        );
        let _ = writeln!(
            lines,
            "links: sent {} frames {} bytes, taken {} frames {} bytes",
            node.sent.frames, node.sent.bytes, node.received.frames, node.received.bytes
        );
        for (why, n) in &node.rejected {
            let _ = writeln!(lines, "passed over: {why} {n}");
        }
        lines
    }

    pub(crate) fn shared(
        &self,
        now: f64,
        categories: &[String],
        gates: &[(String, f64)],
    ) -> String {
        let mut node = self.node.borrow_mut();
        let name = |key: BudgetKey| match key.kind {
            BudgetKind::Resubmissions => "resends".to_string(),
            BudgetKind::Category => categories
                .iter()
                .find(|name| name_hash(name) == key.subject)
                .cloned()
                .unwrap_or_default(),
            BudgetKind::SlowStart => {
                let of = |(name, started): &&(String, f64)| {
                    name_hash(&format!("{name} {started}")) == key.subject
                };
                gates
                    .iter()
                    .find(of)
                    .map_or("?".to_string(), |(name, _)| name.clone())
            }
        };
        let mut lines = format!("sharing {}\n", if self.sharing { "on" } else { "off" });
        lines.push_str("budget of limit right lent borrowed spent usable\n");
        for h in node.budgets.status(now) {
            let kind = h.key.kind.as_str();
            let _ = writeln!(
                lines,
                "{kind} {} {} {} {} {} {} {}",
                name(h.key),
                h.limit,
                h.right,
                h.lent,
                h.borrowed,
                h.in_use,
                h.usable
            );
        }
        lines.push_str("category taken_by_all off_by_at_most oldest_s members\n");
        for (n, category) in categories.iter().enumerate() {
            let t = node.reports.arrivals(now, n);
            let _ = writeln!(
                lines,
                "{category} {} {} {:.1} {}",
                t.sum, t.max_error, t.oldest_s, t.members
            );
        }
        lines.push_str("runner heard\n");
        for (of, heard) in node
            .verdicts(now)
            .into_iter()
            .filter(|(_, heard)| *heard == RunnerVerdict::Unhealthy)
        {
            let runner = gates.iter().find(|(name, _)| name_hash(name) == of);
            let runner = runner.map_or("?", |(name, _)| name);
            let _ = writeln!(lines, "{runner} {}", heard.as_str());
        }
        lines
    }
}
