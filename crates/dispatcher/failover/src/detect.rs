//! Detects the loss of a whole site.
//!
//! A loss is one cause: many runners of a site are silent or unreachable at once, compared with the runners of the
//! other sites at the same time. It differs from overload and from jobs that fail on every runner, where the other
//! sites fail too; from a shorter endpoint list, where nothing failed; and, if other dispatchers share their results,
//! from a network partition on this side, where others still reach the site.
//!
//! While a site is lost, a dispatcher sends attempts to a single runner there, its canary, to notice the recovery.

use crate::failback::{FailbackPacing, FailbackStage};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// A result counts for this many seconds: a few attempts, or one and a half times the time after which a silent
/// attempt is noticed.
const RESULT_VALID_S: f64 = 2.0;
/// Share of failed results assumed at a lost site: nine in ten.
const LOST_FAILURE_RATE: f64 = 0.9;
/// Lower bound of the share of failed results assumed at a healthy site: 1 in 33, the rate in this module's own test.
/// Above that bound a healthy site is assumed to fail as often as the other sites.
const MIN_HEALTHY_FAILURE_RATE: f64 = 0.03;
/// Log odds above which a site counts as lost: 99 to 1, ln(0.99/0.01), so that one healthy site in a hundred is taken
/// for lost by chance.
const LOST_LOG_ODDS: f64 = 4.6;
/// A site can only be lost if at least this many of its runners fail: fewer are faults of single runners.
const MIN_FAILED_RUNNERS: usize = 2;
/// A site can only be lost if at least this share of its runners with a valid result fails, for the same reason.
const MIN_FAILED_SHARE: f64 = 0.6;

/// What is known about the reachability of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteHealth {
    /// The site is in use without restriction.
    Healthy,
    /// No dispatcher that shares its results reaches the site, or none shares results.
    Lost,
    /// Other dispatchers reach the site: the network partition is on this side.
    UnreachableFromHere,
}

/// When a runner last succeeded and last failed, as seen by this dispatcher and by others. Times are in seconds on
/// the host's clock; negative infinity stands for never.
#[derive(Clone, Copy, Debug)]
pub struct LastResults {
    /// Last success of an attempt by this dispatcher.
    pub last_success_s: f64,
    /// Last failure of an attempt by this dispatcher.
    pub last_failure_s: f64,
    /// Last success that another dispatcher reported.
    pub last_peer_success_s: f64,
    /// Last failure that another dispatcher reported.
    pub last_peer_failure_s: f64,
}

impl Default for LastResults {
    fn default() -> Self {
        let never = f64::NEG_INFINITY;
        LastResults {
            last_success_s: never,
            last_failure_s: never,
            last_peer_success_s: never,
            last_peer_failure_s: never,
        }
    }
}

impl LastResults {
    /// Whether the later of two results was a success. `None` if it is no longer valid; a tie counts as a failure.
    fn later_succeeded(success_s: f64, failure_s: f64, now_s: f64) -> Option<bool> {
        match () {
            () if failure_s >= success_s && now_s < failure_s + RESULT_VALID_S => Some(false),
            () if success_s > failure_s && now_s < success_s + RESULT_VALID_S => Some(true),
            () => None,
        }
    }

    /// Whether the runner is healthy by this dispatcher's own results, or by the others' results if it has none that
    /// are valid. `None` if neither has any.
    fn is_healthy(&self, now_s: f64) -> Option<bool> {
        LastResults::later_succeeded(self.last_success_s, self.last_failure_s, now_s).or(
            LastResults::later_succeeded(self.last_peer_success_s, self.last_peer_failure_s, now_s),
        )
    }
}

struct Runner {
    /// Hash of the runner's name, the same at every dispatcher.
    id: u64,
    site: u16,
    /// Whether the endpoint list names the runner now.
    is_listed: bool,
    results: LastResults,
}

/// State of a site from its loss until its failback is complete.
struct SiteFailover {
    health: SiteHealth,
    /// When the site was found lost, in seconds on the host's clock.
    since_s: f64,
    pace: FailbackPacing,
    /// Successes since the loss or since the portion in use last changed.
    successes: u32,
    /// Failures over the same time.
    failures: u32,
}

/// Failure detector for whole sites.
pub struct SiteFailureDetector {
    /// Hash of this dispatcher's name.
    own_id: u64,
    /// Runners by their index in the host's table.
    runners: BTreeMap<usize, Runner>,
    /// Sites that are lost or returning, by their zone.
    failovers: BTreeMap<u16, SiteFailover>,
    /// Shortest time in seconds between two steps of a failback.
    step_s: f64,
}

/// Hash of a pair of ids, the same at every dispatcher.
fn pair_hash(first: u64, second: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(first);
    hasher.write_u64(second);
    hasher.finish()
}

impl SiteFailureDetector {
    /// Creates a detector without runners. `own_id` is a hash of this dispatcher's name; `step_s` is the shortest
    /// time in seconds between two steps of a site's failback.
    pub fn new(own_id: u64, step_s: f64) -> SiteFailureDetector {
        SiteFailureDetector {
            own_id,
            runners: BTreeMap::new(),
            failovers: BTreeMap::new(),
            step_s,
        }
    }

    /// Sets the site of the runner with index `index` and whether the endpoint list names it. `id` is the hash of the
    /// runner's name. A runner that leaves the list does not count as failed.
    pub fn set_runner(&mut self, index: usize, id: u64, site: u16, is_listed: bool) {
        let new_runner = Runner {
            id,
            site,
            is_listed,
            results: LastResults::default(),
        };
        let runner = self.runners.entry(index).or_insert(new_runner);
        (runner.site, runner.is_listed) = (site, is_listed);
    }

    /// Records the result of an attempt by this dispatcher at the runner with index `index`. `now_s` is the present time. An
    /// unknown runner is ignored.
    pub fn record_result(&mut self, now_s: f64, index: usize, succeeded: bool) {
        let Some(runner) = self.runners.get_mut(&index) else {
            return;
        };
        if succeeded {
            runner.results.last_success_s = now_s
        } else {
            runner.results.last_failure_s = now_s
        }
        let site = runner.site;
        let Some(failover) = self.failovers.get_mut(&site) else {
            return;
        };
        match (failover.pace.stage(), succeeded) {
            // A failure of the canary resets the counts: failures from before it succeeded say nothing about the
            // present.
            (FailbackStage::Lost, false) => (failover.successes, failover.failures) = (0, 0),
            (_, true) => failover.successes += 1,
            (_, false) => failover.failures += 1,
        }
    }

    /// Records the result of an attempt by another dispatcher, made at `at_s` seconds on this host's clock. An unknown
    /// runner is ignored.
    pub fn record_peer_result(&mut self, at_s: f64, index: usize, succeeded: bool) {
        let Some(runner) = self.runners.get_mut(&index) else {
            return;
        };
        let last = if succeeded {
            &mut runner.results.last_peer_success_s
        } else {
            &mut runner.results.last_peer_failure_s
        };
        *last = last.max(at_s);
    }

    /// Listed runners of the selected sites that have a valid result: how many of them fail, and how many there are.
    fn count_failed(&self, now_s: f64, is_selected: impl Fn(u16) -> bool) -> (usize, usize) {
        let known = self
            .runners
            .values()
            .filter(|runner| runner.is_listed && is_selected(runner.site))
            .filter_map(|runner| runner.results.is_healthy(now_s));
        known.fold((0, 0), |(failed, all), is_healthy| {
            (failed + usize::from(!is_healthy), all + 1)
        })
    }

    /// Natural logarithm of the odds that a site is lost, from the results of its runners compared with those of the
    /// other sites. `now_s` is the present time.
    pub fn log_odds_of_loss(&self, now_s: f64, site: u16) -> f64 {
        let (failed, all) = self.count_failed(now_s, |other| other == site);
        let (failed_elsewhere, all_elsewhere) = self.count_failed(now_s, |other| other != site);
        // Overload, or jobs that fail on every runner, must not count as a loss, so the failure rate of the other
        // sites is the baseline. Without results from the other sites the baseline is one half: nothing shows that
        // they are healthy.
        let baseline = ((failed_elsewhere as f64 + 0.5) / (all_elsewhere as f64 + 1.0))
            .clamp(MIN_HEALTHY_FAILURE_RATE, 0.95);
        failed as f64 * (LOST_FAILURE_RATE / baseline).ln()
            + (all - failed) as f64 * ((1.0 - LOST_FAILURE_RATE) / (1.0 - baseline)).ln()
    }

    /// Checks all sites at `now_s`. Returns the sites whose state has changed, with their health and stage.
    pub fn update(&mut self, now_s: f64) -> Vec<(u16, SiteHealth, FailbackStage)> {
        let mut sites: Vec<u16> = self
            .runners
            .values()
            .filter(|runner| runner.is_listed)
            .map(|runner| runner.site)
            .collect();
        sites.sort_unstable();
        sites.dedup();
        let mut changed = Vec::new();
        for site in sites {
            let (failed, all) = self.count_failed(now_s, |other| other == site);
            let looks_lost = failed >= MIN_FAILED_RUNNERS
                && failed as f64 >= MIN_FAILED_SHARE * all as f64
                && self.log_odds_of_loss(now_s, site) > LOST_LOG_ODDS;
            match self.failovers.get(&site) {
                None if looks_lost => {
                    let health = self.health(now_s, site);
                    let pace = FailbackPacing::new(now_s, self.step_s);
                    self.failovers.insert(
                        site,
                        SiteFailover {
                            health,
                            since_s: now_s,
                            pace,
                            successes: 0,
                            failures: 0,
                        },
                    );
                    changed.push((site, health, FailbackStage::Lost));
                }
                Some(_) => {
                    let health = self.health(now_s, site);
                    let Some(failover) = self.failovers.get_mut(&site) else {
                        continue;
                    };
                    let stage_before = failover.pace.stage();
                    if stage_before == FailbackStage::Lost
                        && failover.health == SiteHealth::Lost
                        && health == SiteHealth::UnreachableFromHere
                    {
                        failover.health = health;
                        changed.push((site, health, FailbackStage::Lost));
                    }
                    let results = (failover.successes, failover.failures);
                    let runner_count = self
                        .runners
                        .values()
                        .filter(|runner| runner.site == site && runner.is_listed)
                        .count();
                    if failover.pace.step(now_s, results, looks_lost, runner_count) {
                        (failover.successes, failover.failures) = (0, 0);
                    }
                    let stage = failover.pace.stage();
                    let health = failover.health;
                    if stage == FailbackStage::Complete && now_s >= failover.since_s + self.step_s {
                        self.failovers.remove(&site);
                        changed.push((site, SiteHealth::Healthy, FailbackStage::Complete));
                    } else if stage != stage_before {
                        changed.push((site, health, stage));
                    }
                }
                None => {}
            }
        }
        changed
    }

    /// Whether others reach a site that looks lost from here: they reached one of its runners after it failed here. A
    /// success from before that failure says nothing about the present.
    fn health(&self, now_s: f64, site: u16) -> SiteHealth {
        let is_reached_by_others = |runner: &Runner| {
            let LastResults {
                last_failure_s,
                last_peer_success_s,
                last_peer_failure_s,
                ..
            } = runner.results;
            last_peer_success_s > last_failure_s.max(last_peer_failure_s)
                && last_failure_s.is_finite()
                && now_s < last_peer_success_s + RESULT_VALID_S
        };
        match self
            .runners
            .values()
            .any(|runner| runner.site == site && runner.is_listed && is_reached_by_others(runner))
        {
            true => SiteHealth::UnreachableFromHere,
            false => SiteHealth::Lost,
        }
    }

    /// Indices, in ascending order, of the runners that get no attempts for now: those of a lost site except this
    /// dispatcher's canary, and those of a returning site outside the portion in use. The portion is the same at every
    /// dispatcher, so that all of them agree on a key's home runner.
    pub fn excluded_runners(&self) -> Vec<usize> {
        let mut excluded = Vec::new();
        for (site, failover) in &self.failovers {
            let is_of_site = |runner: &&Runner| runner.site == *site && runner.is_listed;
            let canary = self
                .runners
                .values()
                .filter(is_of_site)
                .map(|runner| pair_hash(self.own_id, runner.id))
                .max();
            let is_in_use = |runner: &Runner| {
                failover.pace.admits(runner.id) || canary == Some(pair_hash(self.own_id, runner.id))
            };
            let unused = self
                .runners
                .iter()
                .filter(|(_, runner)| is_of_site(runner) && !is_in_use(runner));
            excluded.extend(unused.map(|(index, _)| *index));
        }
        excluded.sort_unstable();
        excluded
    }

    /// Sites that are lost or returning, with their health, their stage, and the time of the loss in seconds.
    pub fn sites_in_failover(&self) -> Vec<(u16, SiteHealth, FailbackStage, f64)> {
        self.failovers
            .iter()
            .map(|(site, failover)| {
                (
                    *site,
                    failover.health,
                    failover.pace.stage(),
                    failover.since_s,
                )
            })
            .collect()
    }
}
