//! Algorithm 1: which held task starts at which runner with room. Plain values in, choices out.
//!
//! Runners with room are visited in random order. At each, every held step whose tasks fit gets its cost there and
//! its mean cost over the runners with room; the largest P = 1 − e^(−mean/cost) wins, ties go to the longest held.
//! Below `P_MIN`, or on losing the coin, the runner is skipped for another. What is skipped by all in one pass
//! takes its cheapest runner with room. Priorities go before all this; gangs are placed whole.

use crate::ids::StepId;
use crate::preemption::Reservation;
use crate::reserved_capacity::URGENT;
use rand::seq::SliceRandom;
use rand::Rng;
use sagetrail_policy::start_chance;
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Below this chance a runner is skipped. Just under 1 − 1/e: a runner away from the data is passed over while any
/// near it has room (P = 1 − e^(−far share) < P_MIN), and takes its chance where none has.
pub const P_MIN: f64 = 0.63;
/// The cost of a task away from its data; near it the cost is zero.
const FAR_COST: f64 = 1.0;
/// The mean cost is taken over so many of the runners with room, at random.
const SAMPLED_RUNNERS: usize = 64;
/// A gang bound to a rack waits so long for one before it is spread, in milliseconds.
const RACK_WAIT_MS: u64 = 1_500;

/// A runner with room.
#[derive(Clone, Debug)]
pub struct AvailableRunner {
    pub node: NodeId,
    pub room: Resources,
    pub labels: Arc<[String]>,
    /// Its room is kept for this step, unless the other one has a higher priority.
    pub reserved: Option<Reservation>,
    /// At most so many further starts (a suspect runner is tried with one).
    pub starts: u32,
}

impl AvailableRunner {
    /// The rack among its labels: the last one.
    fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// A step with tasks that wait.
#[derive(Clone, Debug)]
pub struct PendingStep {
    pub id: StepId,
    pub priority: u32,
    pub resources: Resources,
    /// How many tasks wait.
    pub waiting: u32,
    /// All of them start together, or none.
    pub gang: bool,
    /// The tasks go on until the job is cancelled.
    pub long_running: bool,
    pub rack_local: bool,
    /// Since when it is held, in milliseconds.
    pub held_ms: u64,
    /// The rack of its data; empty for none.
    pub affinity: String,
    /// Whether its constraints let it run at a runner with these labels.
    pub constraints: crate::spec::Labels,
    /// At most so many of its tasks at one runner; 0 for any number.
    pub anti_affinity: u32,
    /// How many of its tasks each runner carries.
    pub running_at: BTreeMap<NodeId, u32>,
    /// How many of its waiting tasks avoid a runner.
    pub avoiding: BTreeMap<NodeId, u32>,
}

/// One task of the step starts at the runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    pub step: StepId,
    pub runner: NodeId,
}

/// True where `wanted` fits into `room`.
pub fn fits(wanted: Resources, room: Resources) -> bool {
    wanted.cpu <= room.cpu && wanted.mem_mb <= room.mem_mb && wanted.gpu <= room.gpu
}

/// Adds to room.
pub fn add(room: &mut Resources, more: Resources) {
    room.cpu = room.cpu.saturating_add(more.cpu);
    room.mem_mb = room.mem_mb.saturating_add(more.mem_mb);
    room.gpu = room.gpu.saturating_add(more.gpu);
}

fn take(room: &mut Resources, wanted: Resources) {
    room.cpu -= wanted.cpu;
    room.mem_mb -= wanted.mem_mb;
    room.gpu -= wanted.gpu;
}

/// How many times `wanted` fits into `room`, at most `most`.
pub fn fit_count(wanted: Resources, room: Resources, most: u32) -> u32 {
    let part = |wanted: u64, room: u64| room.checked_div(wanted).unwrap_or(u64::from(most));
    let times = part(wanted.cpu, room.cpu)
        .min(part(wanted.mem_mb, room.mem_mb))
        .min(part(wanted.gpu, room.gpu));
    times.min(u64::from(most)) as u32
}

/// One pass over the runners with room and the held steps of a service. `held` is sorted, longest held first
/// within a priority.
pub struct Pass<'a, R: Rng> {
    runners: Vec<AvailableRunner>,
    held: Vec<PendingStep>,
    /// Room that work which is not urgent leaves free, over all runners.
    kept: Resources,
    /// Room of all runners together.
    free: Resources,
    /// The mean cost of each held step over the runners with room, as the pass began.
    mean_costs: Vec<f64>,
    random: &'a mut R,
    placed: Vec<Placement>,
}

impl<'a, R: Rng> Pass<'a, R> {
    /// A pass over these; work that is not urgent leaves so much room free.
    pub fn new(
        mut runners: Vec<AvailableRunner>,
        held: Vec<PendingStep>,
        kept: Resources,
        random: &'a mut R,
    ) -> Pass<'a, R> {
        runners.shuffle(random);
        let mut free = Resources::default();
        runners
            .iter()
            .for_each(|runner| add(&mut free, runner.room));
        let mut pass = Pass {
            runners,
            held,
            kept,
            free,
            mean_costs: Vec::new(),
            random,
            placed: Vec::new(),
        };
        pass.mean_costs = (0..pass.held.len()).map(|h| pass.mean_cost(h)).collect();
        pass
    }

    /// The tasks to start.
    pub fn run(mut self) -> Vec<Placement> {
        let mut first = 0;
        while first < self.held.len() {
            let priority = self.held[first].priority;
            let count = self.held[first..]
                .iter()
                .take_while(|held| held.priority == priority)
                .count();
            let level = first..first + count;
            let (gangs, singles): (Vec<usize>, Vec<usize>) =
                level.clone().partition(|&h| self.held[h].gang);
            gangs.into_iter().for_each(|h| self.place_gang(h));
            self.visit_runners(level);
            singles.into_iter().for_each(|h| self.place_cheapest(h));
            first += count;
        }
        self.placed
    }

    fn visit_runners(&mut self, level: std::ops::Range<usize>) {
        for r in 0..self.runners.len() {
            while let Some((h, chance)) = self.largest_chance(level.clone(), r) {
                if chance < P_MIN || (chance < 1.0 && self.random.random::<f64>() >= chance) {
                    break;
                }
                self.place(h, r);
            }
        }
    }

    /// The held step with the largest P at a runner; ties to the longest held.
    fn largest_chance(&self, level: std::ops::Range<usize>, r: usize) -> Option<(usize, f64)> {
        let mut best: Option<(usize, f64)> = None;
        for h in level {
            if self.held[h].gang || !self.may_start(h, r) {
                continue;
            }
            let chance = start_chance(self.mean_costs[h], self.cost(h, r));
            if best.is_none_or(|(_, most)| chance > most) {
                best = Some((h, chance));
            }
            if chance >= 1.0 {
                break;
            }
        }
        best
    }

    fn cost(&self, h: usize, r: usize) -> f64 {
        let rack = &self.held[h].affinity;
        if rack.is_empty() || self.runners[r].labels.contains(rack) {
            0.0
        } else {
            FAR_COST
        }
    }

    /// The mean cost of a step over the runners with room for one of its tasks.
    fn mean_cost(&self, h: usize) -> f64 {
        if self.held[h].affinity.is_empty() {
            return 0.0;
        }
        let sample = 0..self.runners.len().min(SAMPLED_RUNNERS);
        let open: Vec<usize> = sample.filter(|&r| self.may_start(h, r)).collect();
        let total: f64 = open.iter().map(|&r| self.cost(h, r)).sum();
        total / open.len().max(1) as f64
    }

    /// True where one waiting task of the step may start at the runner.
    fn may_start(&self, h: usize, r: usize) -> bool {
        let (held, runner) = (&self.held[h], &self.runners[r]);
        let avoiding = held.avoiding.get(&runner.node).copied().unwrap_or(0);
        let kept = runner
            .reserved
            .is_some_and(|r| r.step != held.id && r.priority <= held.priority);
        held.waiting > avoiding
            && self.leaves_reserved_capacity(held)
            && !kept
            && runner.starts > 0
            && fits(held.resources, runner.room)
            && self.within_anti_affinity(h, r)
            && held.constraints.all_in(&runner.labels)
    }

    /// True where the room kept for urgent work stays free. Lasting work takes of it: it would wait for ever.
    fn leaves_reserved_capacity(&self, held: &PendingStep) -> bool {
        let mut needed = self.kept;
        add(&mut needed, held.resources);
        held.priority == URGENT || held.long_running || fits(needed, self.free)
    }

    fn within_anti_affinity(&self, h: usize, r: usize) -> bool {
        let held = &self.held[h];
        let running_at = held
            .running_at
            .get(&self.runners[r].node)
            .copied()
            .unwrap_or(0);
        held.anti_affinity == 0 || running_at < held.anti_affinity
    }

    fn place(&mut self, h: usize, r: usize) {
        let held = &mut self.held[h];
        let runner = &mut self.runners[r];
        take(&mut runner.room, held.resources);
        take(&mut self.free, held.resources);
        runner.starts -= 1;
        held.waiting -= 1;
        *held.running_at.entry(runner.node).or_default() += 1;
        self.placed.push(Placement {
            step: held.id,
            runner: runner.node,
        });
    }

    /// Whatever is left of a step takes its cheapest runner with room.
    fn place_cheapest(&mut self, h: usize) {
        while self.held[h].waiting > 0 {
            let open = (0..self.runners.len()).filter(|&r| self.may_start(h, r));
            let cheapest = open.min_by(|&a, &b| self.cost(h, a).total_cmp(&self.cost(h, b)));
            let Some(r) = cheapest else { return };
            self.place(h, r);
        }
    }

    /// Places all tasks of a gang or none; in one rack where it asks for that and one has room.
    fn place_gang(&mut self, h: usize) {
        let held = &self.held[h];
        let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (r, runner) in self.runners.iter().enumerate() {
            racks.entry(runner.rack()).or_default().push(r);
        }
        let within = racks
            .into_values()
            .filter_map(|runners| self.gang_slots(h, runners));
        let tightest = within.min_by_key(|slots| slots.len());
        let spread = || self.gang_slots(h, (0..self.runners.len()).collect());
        let slots = match held.rack_local && held.held_ms < RACK_WAIT_MS {
            true => tightest,
            false => tightest.or_else(spread),
        };
        for slot in slots.unwrap_or_default() {
            (0..slot.tasks).for_each(|_| self.place(h, slot.runner));
        }
    }

    /// Seats for all tasks of a gang among these runners, on as few of them as can be.
    fn gang_slots(&self, h: usize, runners: Vec<usize>) -> Option<Vec<GangSlots>> {
        let held = &self.held[h];
        let mut slots: Vec<GangSlots> = runners
            .into_iter()
            .map(|r| GangSlots {
                runner: r,
                tasks: self.slots_at(h, r),
            })
            .collect();
        slots.retain(|slot| slot.tasks > 0);
        slots.sort_by_key(|slot| std::cmp::Reverse(slot.tasks));
        let mut left = held.waiting;
        for slot in &mut slots {
            slot.tasks = slot.tasks.min(left);
            left -= slot.tasks;
        }
        slots.retain(|slot| slot.tasks > 0);
        (left == 0).then_some(slots)
    }

    fn slots_at(&self, h: usize, r: usize) -> u32 {
        let (held, runner) = (&self.held[h], &self.runners[r]);
        if !self.may_start(h, r) {
            return 0;
        }
        let slots = fit_count(held.resources, runner.room, held.waiting.min(runner.starts));
        if held.anti_affinity == 0 {
            return slots;
        }
        let running_at = held.running_at.get(&runner.node).copied().unwrap_or(0);
        slots.min(held.anti_affinity.saturating_sub(running_at))
    }
}

/// So many tasks of a gang at a runner.
struct GangSlots {
    /// Its place among the runners with room.
    runner: usize,
    tasks: u32,
}
