//! One placement pass: decides which waiting task starts at which runner.
//!
//! It implements Algorithm 1 of "Probabilistic Network-Aware Task Placement for MapReduce Scheduling" (section II-C).
//! Runners with free capacity are visited in order, the one with the least free capacity first. At each runner, every
//! pending step whose tasks fit there gets its cost at this runner and its mean cost over the available runners. The
//! step with the largest probability P = 1 - e^(-mean/cost) is chosen; among equals, the first in the backlog. If P is
//! below `P_MIN`, or a random draw with probability P fails, the pass moves on to the next runner. As in delay
//! scheduling (Zaharia et al., EuroSys 2010), tasks thereby wait for a runner near their data; `locality` decides which
//! tasks wait longer than one pass. Other tasks that were skipped at every runner start at their cheapest runner at the
//! end of the pass.
//!
//! Steps of a higher priority are placed before those of a lower one. All tasks of a gang are placed together, or none
//! is.

use rand::seq::SliceRandom;
use rand::Rng;
use sagetrail_policy::start_chance;
use sagetrail_protocol::agent::Resources;
use std::ops::Range;

use super::gang::{choose_slots, GangSlots, RackSlots, RackSpread};
use super::inputs::{AvailableRunner, PendingStep, Placement};
use crate::capacity::{add, fit_count, fits, leaves_free, subtract};
use crate::reserved_capacity::URGENT;

/// The minimum probability P at which a task may start; below it the runner is skipped. It is just under 1 - 1/e. A
/// runner away from the data is skipped while any runner near the data has free capacity, because then
/// P = 1 - e^(-share of far runners) < `P_MIN`. If no near runner has free capacity, P is 1 - 1/e and a random draw
/// decides.
pub const P_MIN: f64 = 0.63;
/// The cost of a task at a runner away from its data; near the data the cost is zero. Costs have no unit.
const FAR_COST: f64 = 1.0;
/// The maximum number of runners over which the mean cost of a step is taken, starting with the fullest.
const SAMPLED_RUNNERS: usize = 64;

/// A step and the probability that it starts at the runner being visited.
#[derive(Clone, Copy)]
struct Candidate {
    /// The step's index in the pass.
    step: usize,
    /// The probability P of Algorithm 1, from 0 to 1.
    chance: f64,
}

/// One pass over the available runners and the pending steps of a service. Methods refer to steps and runners by their
/// index in the pass.
pub struct Pass<'a, R: Rng> {
    /// The available runners in the order of the visit: least free capacity first, in random order among equals.
    runners: Vec<AvailableRunner>,
    /// The pending steps in the order of the backlog.
    steps: Vec<PendingStep>,
    /// The capacity, over all runners together, that non-urgent steps must leave free.
    reserved: Resources,
    /// The free capacity of all runners together.
    free: Resources,
    /// The mean cost of each step over the available runners at the start of the pass, by the step's index.
    mean_costs: Vec<f64>,
    /// The random number generator for the order of equal runners and for the draws.
    random: &'a mut R,
    /// The placements decided so far.
    placements: Vec<Placement>,
}

impl<'a, R: Rng> Pass<'a, R> {
    /// Creates a pass over these runners and steps; `steps` must be in the order of the backlog. Non-urgent steps leave
    /// `reserved` free over all runners together.
    pub fn new(
        mut runners: Vec<AvailableRunner>,
        steps: Vec<PendingStep>,
        reserved: Resources,
        random: &'a mut R,
    ) -> Pass<'a, R> {
        runners.shuffle(random);
        // Best fit: filling the fullest runners first keeps others empty for work that needs one or several whole
        // runners.
        runners.sort_by_key(|runner| (runner.free.gpu, runner.free.cpu));
        let mut free = Resources::default();
        runners
            .iter()
            .for_each(|runner| add(&mut free, runner.free));
        let mut pass = Pass {
            runners,
            steps,
            reserved,
            free,
            mean_costs: Vec::new(),
            random,
            placements: Vec::new(),
        };
        pass.mean_costs = (0..pass.steps.len())
            .map(|step| pass.mean_cost(step))
            .collect();
        pass
    }

    /// Decides which tasks start, one priority after the other; within a priority gangs come before single tasks.
    #[must_use]
    pub fn run(mut self) -> Vec<Placement> {
        let mut first = 0;
        while first < self.steps.len() {
            let level = self.priority_level(first);
            let (gangs, singles): (Vec<usize>, Vec<usize>) =
                level.clone().partition(|&step| self.steps[step].is_gang);
            gangs.into_iter().for_each(|step| self.place_gang(step));
            self.visit_runners(level.clone());
            singles
                .into_iter()
                .for_each(|step| self.place_cheapest(step));
            first = level.end;
        }
        self.placements
    }

    /// Returns the range of steps, starting at `first`, that have the priority of the step at `first`.
    fn priority_level(&self, first: usize) -> Range<usize> {
        let priority = self.steps[first].priority;
        let steps = self.steps[first..].iter();
        let count = steps.take_while(|step| step.priority == priority).count();
        first..first + count
    }

    /// Visits all runners and starts tasks of single-task steps of this priority there, as in Algorithm 1.
    fn visit_runners(&mut self, level: Range<usize>) {
        for runner in 0..self.runners.len() {
            while let Some(candidate) = self.best_candidate(level.clone(), runner) {
                if !self.accepts(candidate.chance) {
                    break;
                }
                self.place(candidate.step, runner);
            }
        }
    }

    /// Returns true if the probability is at least `P_MIN` and the random draw succeeds. No number is drawn for a
    /// probability of 1.
    fn accepts(&mut self, chance: f64) -> bool {
        chance >= P_MIN && (chance >= 1.0 || self.random.random::<f64>() < chance)
    }

    /// Returns the step with the largest probability P at a runner; among equals, the first in the backlog.
    fn best_candidate(&self, level: Range<usize>, runner: usize) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for step in level {
            if self.steps[step].is_gang || !self.may_start(step, runner) {
                continue;
            }
            let chance = start_chance(self.mean_costs[step], self.cost(step, runner));
            if best.is_none_or(|best| chance > best.chance) {
                best = Some(Candidate { step, chance });
            }
            if chance >= 1.0 {
                break;
            }
        }
        best
    }

    /// Returns the cost of a step's task at a runner: zero near its data, `FAR_COST` away from it.
    fn cost(&self, step: usize, runner: usize) -> f64 {
        let rack = &self.steps[step].affinity;
        if rack.is_empty() || self.runners[runner].labels.contains(rack) {
            0.0
        } else {
            FAR_COST
        }
    }

    /// Returns the mean cost of a step over those of the first `SAMPLED_RUNNERS` runners at which one of its tasks may
    /// start.
    fn mean_cost(&self, step: usize) -> f64 {
        if self.steps[step].affinity.is_empty() {
            return 0.0;
        }
        let sample = 0..self.runners.len().min(SAMPLED_RUNNERS);
        let eligible: Vec<usize> = sample
            .filter(|&runner| self.may_start(step, runner))
            .collect();
        let total: f64 = eligible.iter().map(|&runner| self.cost(step, runner)).sum();
        total / eligible.len().max(1) as f64
    }

    /// Returns true if one waiting task of the step may start at the runner.
    fn may_start(&self, step: usize, runner: usize) -> bool {
        let is_held = self.steps[step].max_far_tasks == 0 && self.cost(step, runner) > 0.0;
        let (step, runner) = (&self.steps[step], &self.runners[runner]);
        let reserved_for_other = runner
            .reservation
            .is_some_and(|reservation| step.is_excluded_by(&reservation));
        !is_held
            && (step.takes_stragglers || !runner.is_straggler)
            && step.has_task_for(runner.node)
            && self.leaves_reserved_capacity(step)
            && !reserved_for_other
            && runner.max_starts > 0
            && runner.run_slots > 0
            && fits(step.resources, runner.free)
            && step.anti_affinity_left(runner.node) > 0
            && step.constraints.all_in(&runner.labels)
    }

    /// Returns true if one more task of the step leaves the capacity reserved for urgent work free. Urgent steps may
    /// use that capacity. Long-running steps may use it too, because otherwise they could wait forever.
    fn leaves_reserved_capacity(&self, step: &PendingStep) -> bool {
        step.priority == URGENT
            || step.long_running
            || leaves_free(step.resources, self.reserved, self.free)
    }

    /// Places one task of a step without a gang at a runner.
    fn place(&mut self, step: usize, runner: usize) {
        self.place_task(step, runner);
        self.runners[runner].max_starts -= 1;
    }

    /// Places one task of a step at a runner, without counting it as a start.
    fn place_task(&mut self, step: usize, runner: usize) {
        let is_far = self.cost(step, runner) > 0.0;
        let step = &mut self.steps[step];
        let runner = &mut self.runners[runner];
        subtract(&mut runner.free, step.resources);
        subtract(&mut self.free, step.resources);
        runner.run_slots -= 1;
        step.waiting -= 1;
        if is_far {
            step.max_far_tasks = step.max_far_tasks.saturating_sub(1);
        }
        *step.assigned_per_runner.entry(runner.node).or_default() += 1;
        self.placements.push(Placement {
            step: step.id,
            runner: runner.node,
        });
    }

    /// Places the remaining tasks of a step at its cheapest runners, until no runner may take another one.
    fn place_cheapest(&mut self, step: usize) {
        while self.steps[step].waiting > 0 {
            let eligible = (0..self.runners.len()).filter(|&runner| self.may_start(step, runner));
            let by_cost =
                |a: &usize, b: &usize| self.cost(step, *a).total_cmp(&self.cost(step, *b));
            let Some(runner) = eligible.min_by(by_cost) else {
                return;
            };
            self.place(step, runner);
        }
    }

    /// Places all tasks of a gang, or none of them. Suspect runners take part only if the others do not suffice, because
    /// a member that fails ends the runs of all.
    fn place_gang(&mut self, step: usize) {
        let slots: Vec<RackSlots> = (0..self.runners.len())
            .map(|runner| self.rack_slots(step, runner))
            .collect();
        let is_suspect = |slots: &&RackSlots| self.runners[slots.slots.runner].is_suspect;
        let mut chosen = None;
        if slots.iter().any(|slots| is_suspect(&slots)) {
            let healthy = slots.iter().filter(|slots| !is_suspect(slots));
            let healthy: Vec<RackSlots> = healthy.copied().collect();
            chosen = self.choose_gang_slots(step, &healthy);
        }
        let chosen = chosen.or_else(|| self.choose_gang_slots(step, &slots));
        for GangSlots { runner, tasks } in chosen.unwrap_or_default() {
            (0..tasks).for_each(|_| self.place_task(step, runner));
            self.runners[runner].max_starts -= 1;
        }
    }

    fn choose_gang_slots(&self, step: usize, available: &[RackSlots]) -> Option<Vec<GangSlots>> {
        let gang = &self.steps[step];
        let spread = if gang.holds_for_rack {
            RackSpread::Forbidden
        } else {
            RackSpread::Allowed
        };
        choose_slots(available, gang.waiting, spread)
    }

    /// Returns the slots for a gang's tasks at one runner, with the runner's rack.
    fn rack_slots(&self, step: usize, runner: usize) -> RackSlots<'_> {
        let tasks = if self.may_start(step, runner) {
            let (step, runner) = (&self.steps[step], &self.runners[runner]);
            let limit = step.waiting.min(runner.run_slots);
            fit_count(step.resources, runner.free, limit).min(step.anti_affinity_left(runner.node))
        } else {
            0
        };
        RackSlots {
            rack: self.runners[runner].rack(),
            slots: GangSlots { runner, tasks },
        }
    }
}
