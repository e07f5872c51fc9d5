//! Algorithm 1 of "Probabilistic Network-Aware Task Placement for MapReduce Scheduling" (section II-C): which waiting
//! task starts at which runner.
//!
//! Runners with free capacity are visited from the fullest on. At each, every pending step whose tasks fit gets its cost
//! there and its mean cost over the available runners; the largest P = 1 - e^(-mean/cost) wins, ties go to the first
//! in the backlog. Below `P_MIN`, or on losing the coin, the runner is skipped for another, as in delay scheduling
//! (Zaharia et al., EuroSys 2010) work waits for a runner near its data; `locality` decides which tasks wait longer than
//! one pass. What else all runners skipped in one pass takes its cheapest one. Priorities go before all this; gangs are placed complete.

use rand::seq::SliceRandom;
use rand::Rng;
use sagetrail_policy::start_chance;
use sagetrail_protocol::agent::Resources;
use std::ops::Range;

use super::gang::{choose_slots, GangSlots, RackSlots, Spread};
use super::inputs::{AvailableRunner, PendingStep, Placement};
use crate::capacity::{add, fit_count, fits, subtract};
use crate::reserved_capacity::URGENT;

/// Below this chance a runner is skipped. Just under 1 - 1/e: a runner away from the data is passed over while any
/// near it has free capacity (P = 1 - e^(-far share) < P_MIN), and takes its chance where none has.
pub const P_MIN: f64 = 0.63;
/// The cost of a task away from its data; near it the cost is zero.
const FAR_COST: f64 = 1.0;
/// The mean cost is taken over the first so many of the shuffled runners.
const SAMPLED_RUNNERS: usize = 64;

/// A step and its chance to start at the runner in question.
#[derive(Clone, Copy)]
struct Candidate {
    /// The step's index in the pass.
    step: usize,
    /// P of Algorithm 1, 0 to 1.
    chance: f64,
}

/// One pass over the available runners and the pending steps of a service. Steps and runners are named by their index.
pub struct Pass<'a, R: Rng> {
    /// In the order in which they are visited: the fullest first, at random among equals.
    runners: Vec<AvailableRunner>,
    /// In the order of the backlog.
    steps: Vec<PendingStep>,
    /// Capacity that work which is not urgent leaves free, over all runners.
    reserved: Resources,
    /// Free capacity of all runners together.
    free: Resources,
    /// The mean cost of each step over the available runners, as the pass began.
    mean_costs: Vec<f64>,
    random: &'a mut R,
    placed: Vec<Placement>,
}

impl<'a, R: Rng> Pass<'a, R> {
    /// A pass over these runners and steps, which come in the order of the backlog. Work that is not urgent leaves
    /// `reserved` free, over all runners together.
    pub fn new(
        mut runners: Vec<AvailableRunner>,
        steps: Vec<PendingStep>,
        reserved: Resources,
        random: &'a mut R,
    ) -> Pass<'a, R> {
        runners.shuffle(random);
        // Best fit: work that needs a whole runner, or several, finds them as long as small work leaves them empty.
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
            placed: Vec::new(),
        };
        pass.mean_costs = (0..pass.steps.len())
            .map(|step| pass.mean_cost(step))
            .collect();
        pass
    }

    /// Decides which tasks start, one priority after the other: gangs first, then single tasks.
    #[must_use]
    pub fn run(mut self) -> Vec<Placement> {
        let mut first = 0;
        while first < self.steps.len() {
            let level = self.priority_level(first);
            let (gangs, singles): (Vec<usize>, Vec<usize>) =
                level.clone().partition(|&step| self.steps[step].gang);
            gangs.into_iter().for_each(|step| self.place_gang(step));
            self.visit_runners(level.clone());
            singles
                .into_iter()
                .for_each(|step| self.place_cheapest(step));
            first = level.end;
        }
        self.placed
    }

    /// The steps of one priority, from the first one on.
    fn priority_level(&self, first: usize) -> Range<usize> {
        let priority = self.steps[first].priority;
        let steps = self.steps[first..].iter();
        let count = steps.take_while(|step| step.priority == priority).count();
        first..first + count
    }

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

    /// True where the chance is large enough and the coin is won. A certain start tosses none.
    fn accepts(&mut self, chance: f64) -> bool {
        chance >= P_MIN && (chance >= 1.0 || self.random.random::<f64>() < chance)
    }

    /// The step with the largest P at a runner; ties go to the first in the backlog.
    fn best_candidate(&self, level: Range<usize>, runner: usize) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for step in level {
            if self.steps[step].gang || !self.may_start(step, runner) {
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

    fn cost(&self, step: usize, runner: usize) -> f64 {
        let rack = &self.steps[step].affinity;
        if rack.is_empty() || self.runners[runner].labels.contains(rack) {
            0.0
        } else {
            FAR_COST
        }
    }

    /// The mean cost of a step over the runners at which one of its tasks may start.
    fn mean_cost(&self, step: usize) -> f64 {
        if self.steps[step].affinity.is_empty() {
            return 0.0;
        }
        let sample = 0..self.runners.len().min(SAMPLED_RUNNERS);
        let open: Vec<usize> = sample
            .filter(|&runner| self.may_start(step, runner))
            .collect();
        let total: f64 = open.iter().map(|&runner| self.cost(step, runner)).sum();
        total / open.len().max(1) as f64
    }

    /// True where one waiting task of the step may start at the runner.
    fn may_start(&self, step: usize, runner: usize) -> bool {
        let is_held = self.steps[step].far_tasks == 0 && self.cost(step, runner) > 0.0;
        let (step, runner) = (&self.steps[step], &self.runners[runner]);
        let reserved_for_other = runner
            .reservation
            .is_some_and(|reservation| step.is_excluded_by(&reservation));
        !is_held
            && (step.takes_stragglers || !runner.straggler)
            && step.has_task_for(runner.node)
            && self.leaves_reserved_capacity(step)
            && !reserved_for_other
            && runner.max_starts > 0
            && fits(step.resources, runner.free)
            && step.anti_affinity_left(runner.node) > 0
            && step.constraints.all_in(&runner.labels)
    }

    /// True where the capacity reserved for urgent work stays free. Long-running work may use it: it would wait for
    /// ever.
    fn leaves_reserved_capacity(&self, step: &PendingStep) -> bool {
        let mut needed = self.reserved;
        add(&mut needed, step.resources);
        step.priority == URGENT || step.long_running || fits(needed, self.free)
    }

    fn place(&mut self, step: usize, runner: usize) {
        let is_far = self.cost(step, runner) > 0.0;
        let step = &mut self.steps[step];
        let runner = &mut self.runners[runner];
        subtract(&mut runner.free, step.resources);
        subtract(&mut self.free, step.resources);
        runner.max_starts -= 1;
        step.waiting -= 1;
        if is_far {
            step.far_tasks = step.far_tasks.saturating_sub(1);
        }
        *step.assigned_at.entry(runner.node).or_default() += 1;
        self.placed.push(Placement {
            step: step.id,
            runner: runner.node,
        });
    }

    /// What is left of a step starts at its cheapest runners.
    fn place_cheapest(&mut self, step: usize) {
        while self.steps[step].waiting > 0 {
            let open = (0..self.runners.len()).filter(|&runner| self.may_start(step, runner));
            let by_cost =
                |a: &usize, b: &usize| self.cost(step, *a).total_cmp(&self.cost(step, *b));
            let Some(runner) = open.min_by(by_cost) else {
                return;
            };
            self.place(step, runner);
        }
    }

    /// Places all tasks of a gang or none.
    fn place_gang(&mut self, step: usize) {
        let gang = &self.steps[step];
        let spread = if gang.holds_for_rack {
            Spread::Forbidden
        } else {
            Spread::Allowed
        };
        let available: Vec<RackSlots> = (0..self.runners.len())
            .map(|runner| self.rack_slots(step, runner))
            .collect();
        let chosen = choose_slots(&available, gang.waiting, spread);
        for GangSlots { runner, tasks } in chosen.unwrap_or_default() {
            (0..tasks).for_each(|_| self.place(step, runner));
        }
    }

    /// How many tasks of a gang fit at one runner.
    fn rack_slots(&self, step: usize, runner: usize) -> RackSlots<'_> {
        let tasks = if self.may_start(step, runner) {
            let (step, runner) = (&self.steps[step], &self.runners[runner]);
            let limit = step.waiting.min(runner.max_starts);
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
