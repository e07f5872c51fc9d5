//! What the decisions keep of each work item, attempt and runner.

use crate::interface::*;
use crate::pcg::{pair_hash, Pcg};
use crate::policy::{
    ASKED, CAP_START, KEYS, KEY_AGE_S, LEAST, NEAR, OUTCOMES, REST_S, RUNS, WAITS,
};
use crate::ring::Ring;
use crate::WorkItem;
use std::collections::{BTreeMap, VecDeque};

pub(crate) struct Attempt {
    pub runner: usize,
    pub no: u16,
    pub sent: f64,
    pub started: Option<f64>,
    /// When the last sign came that it moves, and how much of it was done by then.
    pub moved: f64,
    pub share: f64,
    pub doubts: u32,
    pub cancelled: bool,
    pub at_cap: bool,
    /// Whether its key is not there, where both signs agree: a place of the key, and served there lately.
    pub fetches: Option<bool>,
}

impl Attempt {
    pub(crate) fn new(
        runner: usize,
        no: u16,
        sent: f64,
        at_cap: bool,
        fetches: Option<bool>,
    ) -> Self {
        Attempt {
            runner,
            no,
            sent,
            started: None,
            moved: sent,
            share: 0.0,
            doubts: 0,
            cancelled: false,
            at_cap,
            fetches,
        }
    }
}

impl Attempt {
    /// How much longer it runs, by its progress.
    pub(crate) fn left_s(&self) -> f64 {
        match self.share > 0.0 {
            true => (self.moved - self.sent) / self.share * (1.0 - self.share),
            false => 0.0,
        }
    }
}

pub(crate) struct Work {
    pub job: Job,
    /// When it was first asked for, as far as is known; when it was taken.
    pub begun: f64,
    pub taken: f64,
    pub live: bool,
    pub ended: bool,
    /// Turned away at the door: what remains does not bear all.
    pub refused: bool,
    pub made: u16,
    pub out: Option<Attempt>,
    /// Since when, and on which runner, it may have run.
    pub ran: Option<(f64, usize)>,
    /// The runner that last failed it, passed over until then.
    pub avoid: (usize, f64),
    /// The runner its key belongs to by hash, as long as no entry says more.
    pub home: usize,
    /// The runners it looks at, highest in its key's order first.
    pub near: Ring<usize, NEAR>,
    /// So many of these are its key's own.
    pub own: usize,
    /// How many of these it has asked in this round, and when it may again.
    pub asked: usize,
    pub ask_at: f64,
    pub rounds: i32,
    /// P at a runner that does not hold its key, for the present pass.
    pub odds: f64,
    /// It waits for a busy holder rather than go elsewhere.
    pub waits: bool,
    /// What it pays for a second of a slot, in a crowd; and the slots it must leave free.
    pub value: f64,
    pub spare: f64,
    /// The runners that hold its key.
    pub holders: Ring<usize, 8>,
}

impl Work {
    pub(crate) fn new(job: Job, begun: f64, taken: f64) -> Self {
        Work {
            job,
            begun,
            taken,
            live: true,
            ended: false,
            refused: false,
            made: 0,
            out: None,
            ran: None,
            avoid: (usize::MAX, taken),
            home: usize::MAX,
            near: Ring::default(),
            own: 0,
            asked: 0,
            ask_at: taken,
            rounds: 0,
            odds: 0.0,
            waits: false,
            value: 0.0,
            spare: 0.0,
            holders: Ring::default(),
        }
    }
}

pub(crate) struct Runner {
    pub at: ListedRunner,
    /// When it started, at the latest.
    pub start: f64,
    /// Out by hand, and since when; and when it was put back with no start told since.
    pub out: Option<f64>,
    pub back: f64,
    pub mine: f64,
    /// The last pass that looked at it, and the room left in it.
    pub pass: u64,
    pub room: f64,
    pub cold_left: f64,
    /// How many dispatchers rank before this one there.
    pub ahead: usize,
    pub memory: f64,
    /// Free by its last report less what was sent since; when that came, and when the probe out now went.
    pub free: f64,
    pub free_memory: f64,
    /// How busy it says it is, by its queue or its cores.
    pub busy: f64,
    pub reported: f64,
    /// When it last said 'full'.
    pub refused: f64,
    pub probed: Option<f64>,
    /// The most slots seen free there.
    pub slots: f64,
    /// What it ranks here by hash.
    pub rank: u64,
    /// What a warm runner of its kind does; kept up only while some are cold.
    pub capacity: f64,
    pub cap: f64,
    /// How many of our jobs run there, and the most that did at once.
    pub running: f64,
    pub most: f64,
    /// What the cap may not pass, and until when.
    pub ceiling: (f64, f64),
    pub keys: Ring<(u32, f64), KEYS>,
    /// How long its last work took beside what was expected, and the median.
    pub paces: Ring<f64, 8>,
    pub pace: f64,
    pub cold_sent: VecDeque<(f64, f64)>,
    /// What this dispatcher holds of what all may send it while it is cold, where parts are lent; 0 to 1.
    pub part: Option<f64>,
    /// Its site is lost, or has not come back so far.
    pub away: bool,
    pub left_until: f64,
    /// How long work last waited there for its start, and when that was learnt.
    pub wait: (f64, f64),
    /// When it last gave a sign of a job; when it last took one.
    pub heard: f64,
    pub took: f64,
    pub evidence: f64,
    pub resting: Option<f64>,
    /// The evidence against it in each category, and until when that leaves it alone.
    pub shuns: Vec<(f64, f64)>,
    pub rest_s: f64,
    /// Until when its trial is waited for before another.
    pub trial: Option<f64>,
}

impl Runner {
    pub(crate) fn new() -> Self {
        Runner {
            at: ListedRunner {
                id: 0,
                kind: 0,
                started_at_s: f64::NEG_INFINITY,
                cell: 0,
                zone: 0,
                ready: false,
            },
            start: f64::NEG_INFINITY,
            out: None,
            back: f64::NEG_INFINITY,
            mine: 0.0,
            pass: 0,
            room: 0.0,
            cold_left: 0.0,
            ahead: 0,
            memory: 0.0,
            free: 0.0,
            free_memory: f64::INFINITY,
            busy: 0.0,
            reported: f64::NEG_INFINITY,
            refused: f64::NEG_INFINITY,
            probed: None,
            slots: 0.0,
            rank: 0,
            capacity: CAP_START,
            cap: CAP_START,
            running: 0.0,
            most: 0.0,
            ceiling: (f64::INFINITY, f64::NEG_INFINITY),
            keys: Ring::default(),
            paces: Ring::default(),
            pace: 1.0,
            cold_sent: VecDeque::new(),
            part: None,
            away: false,
            left_until: f64::NEG_INFINITY,
            wait: (0.0, f64::NEG_INFINITY),
            heard: f64::NEG_INFINITY,
            took: f64::NEG_INFINITY,
            evidence: 0.0,
            resting: None,
            shuns: Vec::new(),
            rest_s: REST_S,
            trial: None,
        }
    }

    pub(crate) fn restart(&mut self) {
        let old = std::mem::replace(self, Runner::new());
        (self.mine, self.memory, self.rank, self.probed) =
            (old.mine, old.memory, old.rank, old.probed);
        (self.cold_sent, self.running, self.out) = (old.cold_sent, old.running, old.out);
        (self.part, self.away) = (old.part, old.away);
    }

    /// The list names it as gone, or leaves it out. Where that binds nobody it proves nothing either, and is a
    /// verdict of the list's like one of our own: a trial shows what is so.
    pub(crate) fn gone(&mut self, now: f64, stays_open: bool) {
        self.at.ready &= stays_open;
        if self.at.ready && self.resting.is_none() {
            self.resting = Some(now);
        }
    }

    /// The list names it as ready, no operator has taken it out, and its site is there.
    pub(crate) fn ready(&self) -> bool {
        self.at.ready && self.out.is_none() && !self.away
    }

    /// When it started, as far as is known.
    pub(crate) fn born(&self) -> f64 {
        self.start.max(self.back)
    }

    /// After a ban nothing of before holds. Guards against a process of whose start the list has not told: it
    /// counts as cold from now on.
    pub(crate) fn put_back(&mut self, since: f64, now: f64) {
        let (at, start) = (self.at, self.start);
        self.restart();
        (self.at, self.start, self.out) = (at, start, None);
        if at.started_at_s < since {
            self.back = now;
        }
    }
}

pub struct Dispatcher {
    pub(crate) config: PolicyConfig,
    pub(crate) pcg: Pcg,
    /// Room or work has come since the last pass.
    pub(crate) changed: bool,
    pub(crate) last_pass: f64,
    pub(crate) passes: u64,
    /// The runners that rank highest for each key met lately, and for each category that is bound to some.
    pub(crate) orders: BTreeMap<(u32, Option<usize>), Ring<usize, NEAR>>,
    pub(crate) works: Vec<Work>,
    pub(crate) free: Vec<u32>,
    pub(crate) held: Vec<u32>,
    pub(crate) runners: Vec<Runner>,
    pub(crate) open: Vec<usize>,
    /// The runners in use.
    pub(crate) chosen: Vec<usize>,
    /// How many of a kind are wanted.
    pub(crate) wanted: f64,
    pub(crate) runs: Vec<Ring<f64, 32>>,
    pub(crate) usual: Vec<f64>,
    /// The hints of the same runs, where there were any, and how much longer than these they took.
    pub(crate) hints: Vec<Ring<f64, 32>>,
    pub(crate) hinted: Vec<f64>,
    /// The longest that a client of each category was willing to wait; empty where that tells nothing.
    pub(crate) longest: Vec<f64>,
    pub(crate) ratios: Ring<f64, 64>,
    /// How much longer than expected work took where its key was not held.
    pub(crate) fetches: Ring<f64, 32>,
    /// How long work ran at warm runners where its key was, and where it was not.
    pub(crate) near_runs: Ring<f64, RUNS>,
    pub(crate) far_runs: Ring<f64, RUNS>,
    /// The keys asked for last, and how much of ours was running at the last looks.
    pub(crate) asked: Ring<u32, ASKED>,
    pub(crate) busy: Ring<f64, 256>,
    /// What a fetch adds to the expected run; what going where a key is not costs, beside a wait.
    pub(crate) fetch_s: f64,
    pub(crate) far_s: f64,
    pub(crate) mean_run: f64,
    /// How long the fleet takes beside what is expected; the median of the last, never under 1.
    pub(crate) pace: f64,
    /// When last something held had waited half its spare time.
    pub(crate) crowded_at: f64,
    pub(crate) next_look: f64,
    /// How long probes took; for how long a report is held for true; when the next probe may be due.
    pub(crate) probe_times: Ring<f64, 16>,
    pub(crate) fresh_s: f64,
    pub(crate) next_seek: f64,
    /// How long attempts waited for their start, and when that was told.
    pub(crate) waits: Ring<(f64, f64), WAITS>,
    /// Where work ended of late, whether by an error, and its key.
    pub(crate) errors: Ring<(usize, bool, u32), OUTCOMES>,
    /// The median of those told of late, and the longest of all.
    pub(crate) wait_s: f64,
    pub(crate) longest_wait: f64,
    /// Until when another process of this dispatcher has its part of the cold runners.
    pub(crate) leaves_cold: f64,
    /// When it began, with nothing known of what a process before it sent.
    pub(crate) began: f64,
    /// Where dispatchers share: what is left of each category's cap and of the resends, and the most that all
    /// together have running on one runner.
    pub(crate) left: Vec<f64>,
    pub(crate) lent: bool,
    pub(crate) admit: Vec<f64>,
    /// The last runs on warm runners, and how long these take beside the usual.
    pub(crate) warm_runs: Vec<Ring<f64, 32>>,
    pub(crate) warm: Vec<f64>,
    pub(crate) resends: f64,
    pub(crate) told_most: f64,
    pub(crate) next_ask: f64,
    pub(crate) ask_again_s: f64,
    pub(crate) wake_at: f64,
}

impl Dispatcher {
    pub fn new(config: PolicyConfig, seed: u64, now: f64) -> Self {
        let mut pcg = Pcg::new(seed);
        // Spread, since all dispatchers may start together and the list answers few calls a second.
        let next_ask = if config.requests_list {
            now + config.list_request_spread_s() * pcg.uniform()
        } else {
            f64::INFINITY
        };
        let ask_again_s = config.list_request_spread_s();
        Dispatcher {
            runs: vec![Ring::default(); config.categories.len()],
            usual: config.categories.iter().map(|c| c.due_s).collect(),
            hints: vec![Ring::default(); config.categories.len()],
            hinted: vec![1.0; config.categories.len()],
            longest: vec![
                0.0;
                if config.expiry_error_s > 0.0 {
                    0
                } else {
                    config.categories.len()
                }
            ],
            warm_runs: vec![Ring::default(); config.categories.len()],
            warm: vec![1.0; config.categories.len()],
            config,
            pcg,
            changed: true,
            last_pass: now,
            passes: 0,
            orders: BTreeMap::new(),
            works: Vec::new(),
            free: Vec::new(),
            held: Vec::new(),
            runners: Vec::new(),
            open: Vec::new(),
            chosen: Vec::new(),
            wanted: LEAST,
            ratios: Ring::default(),
            near_runs: Ring::default(),
            far_runs: Ring::default(),
            fetches: Ring::default(),
            asked: Ring::default(),
            busy: Ring::default(),
            fetch_s: 0.0,
            far_s: 0.0,
            mean_run: 0.0,
            pace: 1.0,
            crowded_at: f64::NEG_INFINITY,
            next_look: now,
            probe_times: Ring::default(),
            fresh_s: 0.0,
            next_seek: f64::INFINITY,
            waits: Ring::default(),
            errors: Ring::default(),
            wait_s: 0.0,
            longest_wait: 0.0,
            leaves_cold: f64::NEG_INFINITY,
            began: f64::NEG_INFINITY,
            left: Vec::new(),
            lent: false,
            admit: Vec::new(),
            resends: f64::INFINITY,
            told_most: 0.0,
            next_ask,
            ask_again_s,
            wake_at: f64::INFINITY,
        }
    }
}

impl Runner {
    /// A work item comes (1) or goes (-1).
    pub(crate) fn load(&mut self, job: &Job, sign: f64) {
        self.mine += sign * job.slots;
        self.room -= sign * job.slots;
        self.memory += sign * job.memory;
        if sign > 0.0 {
            self.free -= job.slots;
            self.free_memory -= job.memory;
        }
    }

    /// A attempt has come back.
    pub(crate) fn unload(&mut self, job: &Job, attempt: &Attempt) {
        self.load(job, -1.0);
        self.running -= if attempt.started.is_some() { 1.0 } else { 0.0 };
    }

    /// It does not rest, or is due for a trial.
    pub(crate) fn tried(&self, now: f64) -> bool {
        self.resting
            .is_none_or(|until| now >= until.max(self.trial.unwrap_or(until)))
    }

    pub(crate) fn shun(&mut self, category: usize) -> &mut (f64, f64) {
        let count = self.shuns.len().max(category + 1);
        self.shuns.resize(count, (0.0, f64::NEG_INFINITY));
        &mut self.shuns[category]
    }

    pub(crate) fn shunned(&self, category: usize, now: f64) -> bool {
        self.shuns
            .get(category)
            .is_some_and(|(_, until)| now < *until)
    }

    pub(crate) fn holds(&self, key: u32, now: f64) -> bool {
        key != 0
            && self
                .keys
                .samples()
                .iter()
                .any(|&(k, at)| k == key && now < at + KEY_AGE_S)
    }

    pub(crate) fn learn_key(&mut self, key: u32, now: f64) {
        if key == 0 {
            return;
        }
        match self.keys.samples_mut().iter_mut().find(|(k, _)| *k == key) {
            Some(entry) => entry.1 = now,
            // The longest unused goes first, as at the runner.
            None => self.keys.push_replacing_first((key, now), |a, b| a.1 < b.1),
        }
    }
}

impl Dispatcher {
    /// A runner that gets nothing now, whatever its room: it drains, rests, or could not be reached just now.
    pub fn is_avoided(&self, r: usize, now: f64) -> bool {
        let runner = self.runners.get(r);
        runner.is_none_or(|runner| {
            !runner.ready() || runner.resting.is_some() || now < runner.left_until
        })
    }
}

/// What a process that takes over must know of a runner: a ban, a return, what was sent while it was cold,
/// and a verdict.
#[derive(Clone, Debug)]
pub struct RunnerHandover {
    pub disabled_at_s: Option<f64>,
    pub enabled_at_s: Option<f64>,
    pub cold_sends: Vec<(f64, f64)>,
    pub evidence: f64,
    pub ejected_until_s: Option<f64>,
    pub ejection_s: f64,
}

/// Upgrades: two processes that are one dispatcher to the rules.
impl Dispatcher {
    /// Leaves cold runners to another process, or takes them up again. Guards against what that one sent just
    /// before it died, which nobody here knows of: it counts for as long as the rule looks back.
    pub fn yield_cold_runners(&mut self, now: f64, leave: bool) {
        self.leaves_cold = if leave {
            f64::INFINITY
        } else {
            now + self.config.overload_window_s
        };
    }

    /// It begins now. Guards against a budget spent twice: what a process before this one sent just now to a runner that
    /// was cold by then, nobody knows.
    pub fn begin_without_history(&mut self, now: f64) {
        self.began = now;
    }

    /// A cold runner is not this process's now.
    pub(crate) fn leaves(&self, r: usize, now: f64) -> bool {
        let before = self.runners[r].born() < self.began;
        now < self.leaves_cold || before && now < self.began + self.config.overload_window_s
    }

    pub fn runner_handover(&self, r: usize) -> RunnerHandover {
        let runner = &self.runners[r];
        RunnerHandover {
            disabled_at_s: runner.out,
            enabled_at_s: Some(runner.back).filter(|back| back.is_finite()),
            cold_sends: runner.cold_sent.iter().copied().collect(),
            evidence: runner.evidence,
            ejected_until_s: runner.resting,
            ejection_s: runner.rest_s,
        }
    }

    /// Takes up what the process before kept, once its list has been told. The list itself is asked soon: one
    /// upgrade is no wave of starts.
    pub fn inherit(&mut self, now: f64, kept: Vec<(usize, RunnerHandover)>) {
        for (r, kept) in kept {
            let runner = &mut self.runners[r];
            (runner.out, runner.back) = (
                kept.disabled_at_s,
                kept.enabled_at_s.unwrap_or(f64::NEG_INFINITY),
            );
            (runner.evidence, runner.resting, runner.rest_s) =
                (kept.evidence, kept.ejected_until_s, kept.ejection_s);
            runner.cold_sent = kept.cold_sends.into();
            self.share(r);
        }
        self.next_ask = self.next_ask.min(now + 0.5 * self.pcg.uniform());
        self.choose_anew(now);
    }
}

/// What dispatchers share, told by a host that has others to talk to. Told nothing, all goes on as without.
impl Dispatcher {
    /// Parts, 0 to 1, of what cold runners may be sent by all; once any was said, a runner of which none is
    /// gets nothing while it is cold. Say them before each `decide`: they end.
    pub fn set_cold_share(&mut self, r: usize, part: Option<f64>) {
        self.lent |= part.is_some();
        if let Some(runner) = self.runners.get_mut(r) {
            runner.part = part;
        }
    }

    /// What is left of each category's cap, in work items, and of the resends.
    pub fn set_remaining_budgets(&mut self, left: &[f64], resends: f64) {
        let more = self
            .left
            .iter()
            .zip(left)
            .any(|(old, new)| *old < 1.0 && *new >= 1.0);
        self.changed |= more;
        self.left.clear();
        self.left.extend_from_slice(left);
        self.resends = resends;
    }

    /// Runners, in ascending order, whose site is lost or has not come back so far: they get nothing. What is out
    /// there goes on under the rule on effects.
    pub fn set_unreachable(&mut self, now: f64, away: &[usize]) {
        let mut changed = false;
        for (r, runner) in self.runners.iter_mut().enumerate() {
            let is = away.binary_search(&r).is_ok();
            changed |= std::mem::replace(&mut runner.away, is) != is;
        }
        if changed {
            self.choose_anew(now);
        }
    }

    /// The part of each category that is let in, by chance; all of it where nothing is said.
    pub fn set_admission(&mut self, parts: &[f64]) {
        self.admit.clear();
        self.admit.extend_from_slice(parts);
    }

    /// How much a work item of a category asks for, in seconds of a slot, and what one of these pays.
    pub fn usual_run_and_worth(&self, category: usize) -> (f64, f64) {
        let usual = self.usual[category].max(1e-3);
        let payoff = self.config.categories[category].payoff;
        (
            usual,
            if self.config.payoff_per_work {
                payoff
            } else {
                payoff / usual
            },
        )
    }

    /// The most that all dispatchers together have running on one runner.
    pub fn set_fleet_max_running(&mut self, most: f64) {
        self.told_most = most;
    }

    /// The cold runners in use: what of the whole was spent there within the rule's span, 0 to 1, and whether
    /// more could be used.
    pub fn cold_usage(&self, now: f64) -> Vec<(usize, f64, bool)> {
        let of = |&r: &usize| {
            let whole = self.cold_whole(r, now)?;
            let spent = self.cold_spent(r, now);
            // What is held may be for others: work that looked at this one wants it.
            let looks = |w: &u32| self.works[*w as usize].near.samples().contains(&r);
            Some((
                r,
                spent / whole.max(1e-9),
                spent > 0.0 || self.held.iter().take(32).any(looks),
            ))
        };
        self.chosen.iter().filter_map(of).collect()
    }

    pub(crate) fn cold_spent(&self, r: usize, now: f64) -> f64 {
        let recent = self.runners[r]
            .cold_sent
            .iter()
            .filter(|(at, _)| *at > now - self.config.overload_window_s);
        recent.map(|(_, size)| size).sum()
    }
}

/// What still means the same after a planned restart.
impl Dispatcher {
    /// A category's usual time, where one was measured.
    pub fn usual_run_s(&self, category: usize) -> Option<f64> {
        self.runs[category].mean()
    }

    /// When a runner started, the slots it was seen to have and its pace, where one was measured.
    pub fn learned_runner(&self, r: usize) -> Option<(f64, f64, f64)> {
        let runner = self
            .runners
            .get(r)
            .filter(|runner| !runner.paces.samples().is_empty())?;
        Some((
            runner.at.started_at_s,
            runner.most.max(runner.slots),
            runner.pace,
        ))
    }

    pub fn restore_usual_run(&mut self, category: usize, seconds: f64) {
        self.runs[category].push(seconds);
        self.usual[category] = seconds;
    }

    pub fn restore_runner(&mut self, r: usize, slots: f64, pace: f64) {
        let runner = &mut self.runners[r];
        (runner.most, runner.pace) = (slots, pace);
        runner.paces.push(pace);
    }
}

/// The orders of so many keys are kept: several times what one dispatcher meets between two lists.
const ORDERS: usize = 4096;

impl Dispatcher {
    pub(crate) fn place(&mut self, work: Work) -> u32 {
        let id = self.free.pop().unwrap_or(self.works.len() as u32);
        if id as usize == self.works.len() {
            self.works.push(work);
        } else {
            self.works[id as usize] = work;
        }
        id
    }

    /// A run has come to its end: the samples of its runner, its category and the fleet.
    pub(crate) fn measured(&mut self, job: &Job, attempt: &Attempt, run: f64, expected: f64) {
        let runner = &mut self.runners[attempt.runner];
        runner.paces.push(run / expected);
        runner.pace = runner.paces.quantile(0.5).unwrap_or(1.0).max(0.1);
        let evidence = &mut runner.shun(job.category).0;
        *evidence = (*evidence - 0.5).max(0.0);
        self.runs[job.category].push(run);
        self.usual[job.category] = self.runs[job.category].mean().unwrap_or(run);
        let warm = attempt.sent >= self.runners[attempt.runner].born() + self.config.warm_up_s;
        if warm {
            self.warm_runs[job.category].push(run);
        }
        let usual = self.warm_runs[job.category].mean();
        self.warm[job.category] =
            usual.map_or(1.0, |warm| warm / self.usual[job.category].max(1e-3));
        if job.hint_s > 0.0 {
            self.hints[job.category].push(job.hint_s);
            self.hinted[job.category] =
                self.usual[job.category] / self.hints[job.category].mean().unwrap_or(run);
        }
        self.ratios.push(run / expected);
        match attempt.fetches {
            _ if job.key == 0 => {}
            Some(true) => {
                self.fetches.push(run - expected);
                if warm {
                    self.far_runs.push(run);
                }
            }
            Some(false) if warm => self.near_runs.push(run),
            _ => {}
        }
    }

    /// How many dispatchers rank before this one at a runner, by the hash.
    pub(crate) fn share(&mut self, r: usize) {
        let (me, replicas, runner) = (
            self.config.dispatcher_index,
            self.config.dispatcher_count,
            &mut self.runners[r],
        );
        let before =
            |peer: &usize| *peer != me && pair_hash(*peer as u64, runner.at.id) > runner.rank;
        runner.ahead = (0..replicas).filter(before).count();
    }

    /// Twice the time that four in five take, as a ratio to what is expected: far out for any spread of
    /// sizes.
    pub(crate) fn slow_ratio(&self) -> f64 {
        let known = self.ratios.samples().len() >= 8;
        self.ratios
            .quantile(0.8)
            .filter(|_| known)
            .map_or(f64::INFINITY, |ratio| 2.0 * ratio)
    }

    /// How long a work item should run: by its own hint as far as hints went of late, else as its like.
    pub(crate) fn expected(&self, job: &Job) -> f64 {
        let usual = if job.hint_s > 0.0 {
            job.hint_s * self.hinted[job.category]
        } else {
            self.usual[job.category]
        };
        usual.max(1e-3)
    }

    /// A probe has come back, with a report where it was answered. Without one the runner counts as full for
    /// a moment. Guards against a cut: who cannot be reached is left alone, as after a failed attempt.
    pub fn probe_ended(&mut self, now: f64, r: usize, outcome: Outcome, report: &[f32]) {
        let Some(runner) = self.runners.get_mut(r) else {
            return;
        };
        self.probe_times
            .push(runner.probed.take().map_or(0.0, |t| now - t));
        let figure = |at: Option<usize>| at.and_then(|at| report.get(at)).map(|&f| f as f64);
        let free = figure(self.config.free_slots_index).filter(|f| f.is_finite() && *f >= 0.0);
        let memory = figure(self.config.free_memory_index).filter(|f| f.is_finite() && *f >= 0.0);
        runner.free = free.unwrap_or(0.0).round();
        runner.free_memory = memory.unwrap_or(f64::INFINITY);
        runner.slots = runner.slots.max(runner.free);
        runner.busy = figure(self.config.load_index)
            .filter(|f| f.is_finite() && *f >= 0.0)
            .unwrap_or(0.0);
        runner.reported = now;
        if outcome != Outcome::Finished {
            runner.refused = now;
        }
        if outcome == Outcome::NoConnection {
            runner.left_until = now + 1.0;
        }
        self.changed = true;
    }

    pub(crate) fn holds(&self, w: u32, r: usize) -> bool {
        let work = &self.works[w as usize];
        // A holder where work waits longer than a fetch takes is none.
        let listed = || work.holders.samples().contains(&r);
        work.home == r
            || listed()
                && (self.config.uses_load_probes || self.wait_at(r, self.last_pass) <= self.far_s)
    }

    /// The runners that rank highest for a key by a hash that all share; kept until other runners are in use.
    pub(crate) fn order(&mut self, w: u32) -> Ring<usize, NEAR> {
        let Job { key, category, .. } = self.works[w as usize].job;
        let bound = Some(category).filter(|_| self.category(w).placement.binds());
        if let Some(order) = self.orders.get(&(key, bound)) {
            return order.clone();
        }
        let order = self.highest(
            key,
            self.chosen.iter().copied().filter(|&r| self.open_to(w, r)),
        );
        if self.orders.len() >= ORDERS {
            self.orders.clear();
        }
        self.orders.insert((key, bound), order.clone());
        order
    }

    /// The runners it looks at that the key table lists for its key.
    pub(crate) fn holders(&self, w: u32, now: f64) -> Ring<usize, 8> {
        let (work, mut holders) = (&self.works[w as usize], Ring::default());
        let near = work.near.samples().iter();
        near.filter(|&&r| self.runners[r].holds(work.job.key, now))
            .for_each(|&r| holders.push(r));
        holders
    }

    /// The key table's entry for a runner, also noted on what is held, so that no pass searches the tables.
    pub(crate) fn served(&mut self, now: f64, r: usize, key: u32) {
        if key == 0 {
            return;
        }
        self.runners[r].learn_key(key, now);
        for &w in &self.held {
            let work = &mut self.works[w as usize];
            if work.job.key == key && !work.holders.samples().contains(&r) {
                work.holders.push(r);
            }
        }
    }

    pub(crate) fn release(&mut self, host: &mut impl Host, w: u32) {
        let work = &mut self.works[w as usize];
        if work.live && work.ended && work.out.is_none() {
            work.live = false;
            self.free.push(w);
            host.release_handle(WorkItem(w));
        }
    }

    pub(crate) fn category(&self, w: u32) -> &Category {
        &self.config.categories[self.works[w as usize].job.category]
    }

    /// Until when its next attempt may begin, where it may have run and runners drop repeats for a while only. 50 ms:
    /// the way there, and a moment in which this process had no core.
    pub(crate) fn repeat_by(&self, w: u32) -> f64 {
        let category = self.category(w);
        match (self.works[w as usize].ran, category.repeat) {
            (Some((since, _)), Repeat::Keyed(_)) => since + category.window_s - 0.05,
            _ => f64::INFINITY,
        }
    }
}
