//! Shared state of the fleet: passes observations and the use of budgets from the exchange to the node, and what other
//! members share to the policy. `links` sends and receives the frames.

use crate::trial::Broken;
use rand::{Rng, SeedableRng};
use sagetrail_dispatch::{name_hash, Endpoint, Load, Observation};
use sagetrail_policy::Dispatcher;
use sagetrail_settings::Fleet as FleetSettings;
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

/// Limit of the budget of a cold runner, in millionths of what all dispatchers together may send it.
const COLD_BUDGET_LIMIT: u64 = 1_000_000;
/// Interval in seconds at which the evidence of all members about runners is evaluated.
const EVALUATION_INTERVAL_S: f64 = 0.1;
/// Reports of other members are used for this many seconds.
const REPORT_VALID_S: f64 = 2.0;
/// Length in seconds of the window within which resends are limited.
const RESEND_WINDOW_S: f64 = 1.0;

/// State that this dispatcher shares with the other members of the fleet. Times are in seconds on the process clock.
pub(crate) struct Fleet {
    pub node: RefCell<Node>,
    /// Notified when a lease is needed at once.
    pub lease_wake: Notify,
    /// Address of each member, by its index.
    pub addresses: Vec<SocketAddr>,
    /// Address at which this member listens to the others.
    pub listen: SocketAddr,
    /// Names of the sites, sorted.
    sites: Vec<String>,
    /// Whether budgets and evidence are shared.
    is_sharing: bool,
    /// Budget and limit of each category; `None` for a category without a cap.
    caps: RefCell<Vec<Option<(BudgetKey, u64)>>>,
    /// Limit of the resends of the whole fleet within a window.
    max_resends: Cell<Option<u64>>,
    /// Times of the own resends within the window.
    resent_at: RefCell<VecDeque<f64>>,
    /// Budget of each cold runner in use, by the index of the runner.
    cold: RefCell<BTreeMap<usize, BudgetKey>>,
    /// Index of each runner, by the hash of its name.
    runner_indices: RefCell<BTreeMap<u64, usize>>,
    /// Mean number of own jobs that run at each runner.
    mean_running: RefCell<Vec<f64>>,
    /// When the evidence is evaluated next.
    next_evaluation_s: Cell<f64>,
    /// Only in a broken variant: until when each runner is shut out.
    shut_out_until: RefCell<BTreeMap<usize, f64>>,
    broken: Option<Broken>,
}

/// Budget and limit of each category; `None` for a category without a cap.
fn category_budgets(
    settings: &FleetSettings,
    categories: &[String],
) -> Vec<Option<(BudgetKey, u64)>> {
    let cap = |name: &String| {
        settings.caps.get(name).map(|limit| {
            (
                BudgetKey {
                    kind: BudgetKind::Category,
                    subject: name_hash(name),
                },
                *limit,
            )
        })
    };
    categories.iter().map(cap).collect()
}

/// Budget of the resends.
const RESENDS: BudgetKey = BudgetKey {
    kind: BudgetKind::Resubmissions,
    subject: 0,
};

impl Fleet {
    /// Creates the shared state. `max_work_item_s` is the longest time in seconds that a work item may be open,
    /// `overload_window_s` the time span of the rule on cold runners, `unix_s` the Unix time and `now` the present time
    /// on the process clock.
    pub(crate) fn new(
        settings: &FleetSettings,
        categories: &[String],
        max_work_item_s: f64,
        overload_window_s: f64,
        unix_s: f64,
        now: f64,
        broken: Option<Broken>,
    ) -> Rc<Fleet> {
        let mut sites: Vec<&str> = settings
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
        let member_count = settings.members.len();
        let category_spend_s = if broken == Some(Broken::LendsTooSoon) {
            0.0
        } else {
            max_work_item_s
        };
        let lending = [
            (
                BudgetKind::SlowStart,
                LendingTerms {
                    lease_s: settings.lease_s,
                    spend_s: overload_window_s,
                    owner_count: settings.owner_count,
                },
            ),
            (
                BudgetKind::Resubmissions,
                LendingTerms {
                    lease_s: settings.lease_s,
                    spend_s: RESEND_WINDOW_S,
                    owner_count: member_count,
                },
            ),
            (
                BudgetKind::Category,
                LendingTerms {
                    lease_s: settings.lease_s,
                    spend_s: category_spend_s,
                    owner_count: member_count,
                },
            ),
        ];
        let evidence_rules = match broken {
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
        let config = NodeConfig {
            fleet: settings.name.clone(),
            roster: settings.members.iter().map(peer).collect(),
            own_index: settings.own_index,
            swim: SwimConfig {
                probe_interval_s: settings.probe_interval_s,
                ack_timeout_s: settings.ack_timeout_s,
                indirect_probes: settings.indirect_probes,
            },
            lending: lending.into(),
            evidence_rules,
            category_count: categories.len(),
            incarnation: (unix_s * 1e3) as u64,
            process: rand_pcg::Pcg64Mcg::from_os_rng().random(),
        };
        // The broken variant behaves as if it had started long ago.
        let started_at_s = if broken == Some(Broken::ForgetsItsStart) {
            now - 1e6
        } else {
            now
        };
        let mut node = Node::new(config, now);
        node.budgets.set_started_at(started_at_s);
        Rc::new(Fleet {
            node: RefCell::new(node),
            lease_wake: Notify::new(),
            addresses: settings
                .members
                .iter()
                .map(|member| member.address)
                .collect(),
            listen: settings.listen,
            sites: sites.iter().map(ToString::to_string).collect(),
            is_sharing: settings.sharing,
            caps: RefCell::new(category_budgets(settings, categories)),
            max_resends: Cell::new(settings.max_resends),
            resent_at: RefCell::default(),
            cold: RefCell::default(),
            runner_indices: RefCell::default(),
            mean_running: RefCell::default(),
            next_evaluation_s: Cell::new(0.0),
            shut_out_until: RefCell::default(),
            broken,
        })
    }

    /// Applies the limits of changed settings. They are binding at once.
    pub(crate) fn set_limits(&self, settings: &FleetSettings, categories: &[String]) {
        let new_caps = category_budgets(settings, categories);
        if *self.caps.borrow() != new_caps || self.max_resends.get() != settings.max_resends {
            tracing::info!("limits of the fleet changed");
        }
        self.caps.replace(new_caps);
        self.max_resends.set(settings.max_resends);
    }

    /// Counts a work item that has been accepted.
    pub(crate) fn record_arrival(&self, now: f64, category: usize) {
        self.node.borrow_mut().record_arrival(now, category);
    }

    /// Records the result of an attempt as evidence for the other members. An accepted attempt is no evidence.
    pub(crate) fn record_observation(
        &self,
        now: f64,
        endpoint: &Endpoint,
        observation: Observation,
    ) {
        let succeeded = match observation {
            Observation::Finished => true,
            Observation::Failed | Observation::NoResponse => false,
            Observation::Responded => return,
        };
        self.node
            .borrow_mut()
            .observations
            .record(now, name_hash(&endpoint.name), succeeded);
    }

    /// Calls `on_result` with each recent result that another member reported: its time, the index of the runner, and
    /// whether it succeeded.
    pub(crate) fn for_each_peer_result(
        &self,
        now: f64,
        mut on_result: impl FnMut(f64, usize, bool),
    ) {
        if !self.is_sharing {
            return;
        }
        let (node, runner_indices) = (self.node.borrow(), self.runner_indices.borrow());
        let own_id = node.membership.roster()[node.membership.own_index()].number;
        for (report, age_s) in node
            .reports
            .fresh(now, REPORT_VALID_S)
            .filter(|(report, _)| report.member != own_id)
        {
            for evidence in &report.evidence {
                let Some(&index) = runner_indices.get(&evidence.runner) else {
                    continue;
                };
                let at = |ago_cs: u16| now - age_s - f64::from(ago_cs) / 100.0;
                if evidence.last_success_ago < u16::MAX {
                    on_result(at(evidence.last_success_ago), index, true);
                }
                if evidence.last_failure_ago < u16::MAX {
                    on_result(at(evidence.last_failure_ago), index, false);
                }
            }
        }
    }

    /// Number of work items of a category that all members have accepted, as far as they are reported.
    pub(crate) fn arrivals(&self, now: f64, category: usize) -> u64 {
        self.node.borrow().reports.arrivals(now, category).sum
    }

    /// Counts an attempt that is sent; only a resend counts towards a budget.
    pub(crate) fn record_attempt(&self, now: f64, is_retry: bool) {
        if is_retry {
            self.resent_at.borrow_mut().push_back(now);
        }
    }

    /// Until when an attempt may begin: the earlier end of the leases for the cold runner and for the category.
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

    /// Sets whether this member grants leases.
    pub(crate) fn set_lending(&self, is_lending: bool) {
        self.node.borrow_mut().budgets.lends = is_lending;
    }

    /// Passes to the policy what this member may use of the budgets now, and what other members share.
    pub(crate) fn apply_shared_state(&self, now: f64, dispatcher: &mut Dispatcher, load: &Load) {
        if !self.is_sharing {
            return;
        }
        self.report_budget_use(now, dispatcher, load);
        let mut node = self.node.borrow_mut();
        for (&runner, &key) in self.cold.borrow().iter() {
            let usable = if self.broken == Some(Broken::WholeForEach) {
                COLD_BUDGET_LIMIT
            } else {
                node.budgets.usable(now, key)
            };
            dispatcher.set_cold_share(runner, Some(usable as f64 / COLD_BUDGET_LIMIT as f64));
        }
        let in_flight =
            |category: usize| f64::from(load.attempts.get(category).copied().unwrap_or(0));
        let remaining = |(category, cap): (usize, &Option<(BudgetKey, u64)>)| match cap {
            Some((_, limit)) if self.broken == Some(Broken::CapForEach) => {
                *limit as f64 - in_flight(category)
            }
            Some((key, _)) => node.budgets.usable(now, *key) as f64 - in_flight(category),
            None => f64::INFINITY,
        };
        let remaining: Vec<f64> = self
            .caps
            .borrow()
            .iter()
            .enumerate()
            .map(remaining)
            .collect();
        let remaining_resends = match self.max_resends.get() {
            Some(_) if self.broken != Some(Broken::ResendsFreely) => {
                node.budgets.usable(now, RESENDS) as f64 - self.resent_at.borrow().len() as f64
            }
            _ => f64::INFINITY,
        };
        dispatcher.set_remaining_budgets(&remaining, remaining_resends);
        if now < self.next_evaluation_s.get() {
            return;
        }
        self.next_evaluation_s.set(now + EVALUATION_INTERVAL_S);
        let mut runner_indices = self.runner_indices.borrow_mut();
        for index in runner_indices.len()..load.endpoints.len() {
            runner_indices.insert(name_hash(&load.endpoints[index].name), index);
        }
        let mut shut_out_until = self.shut_out_until.borrow_mut();
        for (id, verdict) in node.verdicts(now) {
            let Some(&index) = runner_indices.get(&id) else {
                continue;
            };
            match self.broken == Some(Broken::BelievesOne) {
                true if verdict == RunnerVerdict::Unhealthy => {
                    _ = shut_out_until.insert(index, now + 10.0)
                }
                true => {}
                false => {
                    dispatcher.apply_peer_verdict(now, index, verdict == RunnerVerdict::Healthy)
                }
            }
        }
        // Only in the broken variant: a verdict that outlasts its evidence.
        shut_out_until.retain(|_, until| now < *until);
        if self.broken == Some(Broken::BelievesOne) {
            dispatcher
                .set_unreachable(now, &shut_out_until.keys().copied().collect::<Vec<usize>>());
        }
        // The mean of the last second is reported, because counts that members take at different moments cannot be
        // added up.
        let mut mean_running = self.mean_running.borrow_mut();
        mean_running.resize(load.endpoints.len(), 0.0);
        for (mean, running) in mean_running
            .iter_mut()
            .zip(load.running_jobs.iter().chain(std::iter::repeat(&0)))
        {
            *mean += EVALUATION_INTERVAL_S * (f64::from(*running) - *mean);
        }
        let to_report = |(id, index): (&u64, &usize)| {
            let sixteenths = (16.0 * mean_running[*index]).round() as u16;
            (sixteenths > 0).then_some((*id, sixteenths))
        };
        let running: Vec<(u64, u16)> = runner_indices.iter().filter_map(to_report).collect();
        node.set_running(running);
        if !self.cold.borrow().is_empty() {
            dispatcher.set_fleet_max_running(node.max_running(now, REPORT_VALID_S) as f64 / 16.0);
        }
    }

    /// Reports to the node what is used of the budgets, and what could be used.
    pub(crate) fn report_budget_use(&self, now: f64, dispatcher: &Dispatcher, load: &Load) {
        if !self.is_sharing {
            return;
        }
        let mut node = self.node.borrow_mut();
        let mut cold = self.cold.borrow_mut();
        cold.clear();
        let mut is_short = false;
        for (runner, spent, wants_more) in dispatcher.cold_usage(now) {
            let Some(endpoint) = load.endpoints.get(runner) else {
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
            if !node.budgets.set_limit(now, key, COLD_BUDGET_LIMIT) {
                continue;
            }
            let occupied = (spent * COLD_BUDGET_LIMIT as f64).ceil() as u64;
            is_short |= wants_more && node.budgets.usable(now, key) < COLD_BUDGET_LIMIT / 2;
            node.budgets.record_use(
                now,
                key,
                occupied,
                if wants_more { COLD_BUDGET_LIMIT } else { 0 },
            );
            cold.insert(runner, key);
        }
        let count = |counts: &[u32], n: usize| u64::from(counts.get(n).copied().unwrap_or(0));
        for (n, (key, limit)) in self
            .caps
            .borrow()
            .iter()
            .enumerate()
            .filter_map(|(n, cap)| Some((n, (*cap)?)))
        {
            node.budgets.set_limit(now, key, limit);
            let (in_flight, open) = (count(&load.attempts, n), count(&load.open_work_items, n));
            is_short |= open > node.budgets.usable(now, key);
            node.budgets
                .record_use(now, key, in_flight, open.max(in_flight));
        }
        if let Some(limit) = self.max_resends.get() {
            node.budgets.set_limit(now, RESENDS, limit);
            let mut resent_at = self.resent_at.borrow_mut();
            while resent_at
                .front()
                .is_some_and(|at| now >= at + RESEND_WINDOW_S)
            {
                resent_at.pop_front();
            }
            let has_attempts = load.attempts.iter().any(|n| *n > 0);
            let wanted = if has_attempts {
                2 * resent_at.len() as u64 + 2
            } else {
                0
            };
            node.budgets
                .record_use(now, RESENDS, resent_at.len() as u64, wanted);
        }
        if is_short {
            self.lease_wake.notify_one();
        }
    }

    // ---- for operators ----

    /// Text of the admin API about the members: state, traffic and rejected frames.
    pub(crate) fn members(&self, now: f64) -> String {
        let node = self.node.borrow();
        let mut lines = String::from("member site life incarnation since_s heard_s report_s\n");
        for status in node.member_statuses(now) {
            let format_age =
                |age: Option<f64>| age.map_or("-".to_string(), |age| format!("{age:.1}"));
            let heard = Some(status.received_s).filter(|age| age.is_finite());
            let state = status.state.as_str();
            let _ = writeln!(
                lines,
                "{} {} {state} {} {:.1} {} {}",
                status.name,
                self.sites[usize::from(status.site)],
                status.incarnation,
                status.since_s,
                format_age(heard),
                format_age(status.report_s)
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

    /// Text of the admin API about shared budgets, counts and runners with a bad verdict. `runner_starts` has the name
    /// and start of each runner.
    pub(crate) fn shared(
        &self,
        now: f64,
        categories: &[String],
        runner_starts: &[(String, f64)],
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
                runner_starts
                    .iter()
                    .find(of)
                    .map_or("?".to_string(), |(name, _)| name.clone())
            }
        };
        let mut lines = format!("sharing {}\n", if self.is_sharing { "on" } else { "off" });
        lines.push_str("budget of limit right lent borrowed spent usable\n");
        for budget in node.budgets.status(now) {
            let kind = budget.key.kind.as_str();
            let _ = writeln!(
                lines,
                "{kind} {} {} {} {} {} {} {}",
                name(budget.key),
                budget.limit,
                budget.right,
                budget.lent,
                budget.borrowed,
                budget.in_use,
                budget.usable
            );
        }
        lines.push_str("category taken_by_all off_by_at_most oldest_s members\n");
        for (n, category) in categories.iter().enumerate() {
            let count = node.reports.arrivals(now, n);
            let _ = writeln!(
                lines,
                "{category} {} {} {:.1} {}",
                count.sum, count.max_error, count.oldest_s, count.members
            );
        }
        lines.push_str("runner heard\n");
        for (of, heard) in node
            .verdicts(now)
            .into_iter()
            .filter(|(_, heard)| *heard == RunnerVerdict::Unhealthy)
        {
            let runner = runner_starts.iter().find(|(name, _)| name_hash(name) == of);
            let runner = runner.map_or("?", |(name, _)| name);
            let _ = writeln!(lines, "{runner} {}", heard.as_str());
        }
        lines
    }
}
