//! A day of a cluster, from its plan to its report.

use crate::checker::{check, Limits};
use crate::client::Clients;
use crate::cluster::{ClusterPlan, Factories, Place, PlannedFault, SimulatedCluster};
use crate::disk::DiskSpeed;
use crate::engine::{Chance, Micros, MILLISECOND, SECOND};
use crate::faults::{random_schedule, Fault, FaultField};
use crate::history::Observation;
use crate::network::LinkQuality;
use crate::operator::{Change, ChangeKind, Operator};
use crate::report::Report;
use crate::runner::{Runner, RunnerPlan};
use crate::topology::{capacity, draw_patch, first_configuration, nodes, queues};
use crate::workload::{draw, Workload, WorkloadPlan, HOST};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{NodeId, NodeKind};

/// Zones of all machines.
const ZONES: usize = 4;
/// Racks have so many runners.
const RACK: usize = 3;
/// So many core machines are replaced at most.
const SUCCESSORS: usize = 8;
/// A machine's steady clock is off by at most so many millionths.
const CLOCK_DRIFT_PPM: u64 = 20_000;
/// So long after the machines are back from the final fault requests are served again.
const RECOVERY_MS: u64 = 12_000;
/// A change of the configuration precedes the final fault by at most so much.
const BEFORE_FINAL_FAULT: Micros = 400 * MILLISECOND;
/// Traffic starts so long after the machines.
const LEAD: Micros = 10 * SECOND;
/// After the traffic's end so long is given for jobs to end.
const TAIL: Micros = 70 * SECOND;
/// The last so much of a day is without fault.
const QUIET: Micros = 10 * SECOND;

/// The plan of a day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of all random choices.
    pub seed: u64,
    /// How many core processes.
    pub cores: usize,
    /// How many frontends.
    pub frontends: usize,
    /// Agents, each with its runners, for each service.
    pub sides_per_service: usize,
    /// How many core machines may be lost at once.
    pub tolerated: u32,
    /// How long traffic lasts.
    pub length: Micros,
    /// How many jobs come.
    pub jobs: u64,
    /// Changes of the configuration during the day.
    pub changes: u64,
    /// The part of answers to the operator that are lost.
    pub lost_answers: f64,
    /// The bounds that hold between clients, runners and the cluster.
    pub bounds: Bounds,
    /// The quality of all links.
    pub links: LinkQuality,
    /// The speed of all disks.
    pub disks: DiskSpeed,
    /// Each machine's steady clock runs fast or slow by at most so many millionths.
    pub clock_drift_ppm: u64,
    /// The interval of runners' heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// The part of runs that fail by their own fault.
    pub failing: f64,
    /// The part of jobs all of whose runs fail.
    pub poison: f64,
    /// The share of jobs that last until they are cancelled.
    pub long_running: f64,
    /// The share of jobs with due times.
    pub repeated: f64,
    /// The share of gangs where runners have graphics processors.
    pub gangs: f64,
    /// True where there is room enough for all jobs.
    pub all_must_finish: bool,
    /// The share of jobs that are cancelled.
    pub cancelled: f64,
    /// When all machines lose power, counted from the traffic's begin. No fault is drawn for later.
    pub final_power_loss: Option<Micros>,
    /// Faults drawn from the seed.
    pub random_faults: bool,
    /// Faults besides.
    pub faults: Vec<PlannedFault>,
}

impl Scenario {
    /// A day without fault.
    pub fn calm(seed: u64) -> Scenario {
        Scenario {
            seed,
            cores: 5,
            frontends: 3,
            sides_per_service: 4,
            tolerated: 1,
            length: 30 * SECOND,
            jobs: 60,
            changes: 4,
            lost_answers: 0.0,
            bounds: Bounds::default(),
            links: LinkQuality::default(),
            disks: DiskSpeed::default(),
            clock_drift_ppm: CLOCK_DRIFT_PPM,
            heartbeat_ms: 1_500,
            failing: 0.03,
            poison: 0.02,
            long_running: 0.05,
            repeated: 0.1,
            gangs: 0.25,
            all_must_finish: true,
            cancelled: 0.1,
            final_power_loss: None,
            random_faults: false,
            faults: Vec::new(),
        }
    }

    /// A day with faults drawn from the seed.
    pub fn troubled(seed: u64) -> Scenario {
        Scenario {
            random_faults: true,
            lost_answers: 0.1,
            ..Scenario::calm(seed)
        }
    }

    /// A hit by faults day with more work than there is room for at times.
    pub fn pressed(seed: u64) -> Scenario {
        Scenario {
            all_must_finish: false,
            jobs: 220,
            long_running: 0.04,
            cancelled: 0.25,
            failing: 0.08,
            changes: 12,
            ..Scenario::troubled(seed)
        }
    }

    /// A hit by faults day that goes on after a loss of all power.
    pub fn recovering(seed: u64) -> Scenario {
        Scenario {
            length: 60 * SECOND,
            jobs: 110,
            final_power_loss: Some(36 * SECOND),
            ..Scenario::troubled(seed)
        }
    }

    /// The core processes.
    pub fn core_nodes(&self) -> Vec<NodeId> {
        nodes(1, self.cores)
    }

    /// Machines that may take the places of core machines.
    pub fn successor_nodes(&self) -> Vec<NodeId> {
        nodes(4, SUCCESSORS)
    }

    /// The gateways.
    pub fn frontend_nodes(&self) -> Vec<NodeId> {
        nodes(2, self.frontends)
    }

    /// The agents; the runner of the same index stands beside each.
    pub fn side_nodes(&self) -> Vec<NodeId> {
        nodes(3, 2 * self.sides_per_service)
    }

    /// When traffic begins and ends, and the day.
    fn traffic_end(&self) -> Micros {
        LEAD + self.length
    }

    /// Plays the day with the real processes.
    pub fn run(&self) -> Report {
        self.run_with(crate::real::factories())
    }

    /// Plays the day with these processes.
    pub fn run_with(&self, factories: Factories) -> Report {
        let mut chance = Chance::new(self.seed ^ 0x0da7);
        let workload = draw(&mut chance, &self.workload_plan());
        let jobs = workload.job_table.clone();
        let mut cluster = SimulatedCluster::new(self.world_plan(), factories, jobs);
        let runners = self.runners(&mut chance);
        let operator = Operator::new(self.operator_plan(&mut chance));
        let faults = self.fault_plan(&mut chance);
        cluster.begin(
            runners,
            Clients::new(workload.plans.clone()),
            operator,
            faults,
        );
        let end = self.traffic_end() + TAIL;
        cluster.run_until(end);
        cluster.history().note(end, Observation::DayEnd);
        self.report(&mut cluster, &workload)
    }

    fn world_plan(&self) -> ClusterPlan {
        let mut places = Vec::new();
        for (kind, nodes) in [
            (NodeKind::Core, self.core_nodes()),
            (NodeKind::Frontend, self.frontend_nodes()),
            (NodeKind::Side, self.side_nodes()),
        ] {
            let placed = nodes.into_iter().enumerate();
            places.extend(placed.map(|(index, node)| Place {
                node,
                kind,
                zone: index % ZONES,
            }));
        }
        ClusterPlan {
            seed: self.seed,
            places,
            seeds: self.core_nodes().into_iter().take(3).collect(),
            bounds: self.bounds,
            tolerated_machines: self.tolerated,
            heartbeat_ms: self.heartbeat_ms,
            links: self.links,
            disks: self.disks,
            lost_answers: self.lost_answers,
            clock_drift_ppm: self.clock_drift_ppm,
        }
    }

    fn workload_plan(&self) -> WorkloadPlan {
        WorkloadPlan {
            queues: queues(),
            from: LEAD,
            until: self.traffic_end(),
            jobs: self.jobs,
            gangs: self.gangs,
            long_running: self.long_running,
            repeated: self.repeated,
            cancelled: self.cancelled,
            poison: self.poison,
            failing: self.failing,
            racks: vec!["rack-0".into(), "rack-1".into()],
            labels: vec!["a".into()],
        }
    }

    fn runners(&self, chance: &mut Chance) -> Vec<Runner> {
        let services = queues();
        let sides = self.side_nodes();
        let runner = |(number, agent): (usize, &NodeId)| {
            let queue = &services[number / self.sides_per_service];
            let own = number % self.sides_per_service;
            let large = queue.has_gpu;
            let plan = RunnerPlan {
                number,
                agent: *agent,
                service: queue.service.clone(),
                zone: format!("zone-{}", number % ZONES),
                capacity: capacity(large),
                labels: vec![
                    if own % 3 == 2 { "b".into() } else { "a".into() },
                    format!("rack-{}", own / RACK),
                ],
                guards: false,
                slowness_percent: [80, 100, 125][chance.index(3)],
                clock_slow_ppm: chance.between(0, CLOCK_DRIFT_PPM + 1),
                heartbeat: self.heartbeat_ms * MILLISECOND,
                failing: 0.0,
            };
            Runner::new(plan, chance.between(0, 2 * SECOND))
        };
        sides.iter().enumerate().map(runner).collect()
    }

    fn operator_plan(&self, chance: &mut Chance) -> Vec<Change> {
        let mut changes = vec![Change {
            at: SECOND,
            kind: ChangeKind::Bootstrap(first_configuration()),
            step: 1,
        }];
        for number in 0..self.changes {
            let at = chance.between(LEAD, self.traffic_end());
            let patch = draw_patch(chance, number);
            let second = draw_patch(chance, number + 100);
            let step = chance.between(1, 4);
            let kinds = match chance.between(0, 6) {
                0 => vec![ChangeKind::Replace(patch)],
                1 => vec![ChangeKind::Patch(patch), ChangeKind::Replace(second)],
                2 => vec![ChangeKind::Invalid],
                3 => vec![ChangeKind::Repeat],
                _ => vec![ChangeKind::Patch(patch)],
            };
            changes.extend(kinds.into_iter().map(|kind| Change { at, kind, step }));
        }
        if let Some(at) = self.final_power_loss {
            let at = LEAD + at - chance.between(0, BEFORE_FINAL_FAULT);
            changes.push(Change {
                at,
                kind: ChangeKind::Patch(draw_patch(chance, self.changes)),
                step: 1,
            });
        }
        changes.extend(self.health_checks(chance));
        let last = self.traffic_end() + TAIL - QUIET / 2;
        changes.push(Change {
            at: last,
            kind: ChangeKind::Read,
            step: 1,
        });
        changes
    }

    fn health_checks(&self, chance: &mut Chance) -> Vec<Change> {
        let health_check = |_| {
            let prefix = format!("/extra-{}/", chance.between(0, 4));
            let kind = ChangeKind::QueueCount {
                host: HOST.into(),
                prefix,
            };
            Change {
                at: chance.between(LEAD, self.traffic_end() + TAIL / 2),
                kind,
                step: 1,
            }
        };
        (0..40).map(health_check).collect()
    }

    fn fault_plan(&self, chance: &mut Chance) -> Vec<PlannedFault> {
        let mut faults = self.faults.clone();
        if self.random_faults {
            let field = FaultField {
                cores: self.core_nodes(),
                successors: self.successor_nodes(),
                frontends: self.frontend_nodes(),
                sides: self.side_nodes(),
                runners: 2 * self.sides_per_service,
                tolerated: self.tolerated as usize,
                catch_up: (self.bounds.catch_up_s * 1e6) as Micros,
            };
            faults.extend(random_schedule(
                chance,
                &field,
                LEAD / 2,
                self.last_fault_end(),
            ));
        }
        if let Some(at) = self.final_power_loss {
            let back_after = chance.between(200, 3_000) * MILLISECOND;
            faults.push(PlannedFault {
                at: LEAD + at,
                fault: Fault::FinalPowerLoss { back_after },
            });
        }
        faults
    }

    /// Drawn faults begin before this.
    fn last_fault_end(&self) -> Micros {
        match self.final_power_loss {
            Some(at) => LEAD + at - QUIET,
            None => self.traffic_end() + QUIET,
        }
    }

    fn report(&self, cluster: &mut SimulatedCluster, workload: &Workload) -> Report {
        let limits = Limits {
            bounds: self.bounds,
            visible_ms: 3_000,
            finish_ms: 14_000,
            recovery_ms: RECOVERY_MS,
            all_must_finish: self.all_must_finish,
        };
        let violations = check(cluster.history(), limits);
        let mut report = Report::from_history(cluster.history(), workload);
        report.violations = violations;
        report.codec_faults = cluster.codec_faults.clone();
        report.messages = cluster.messages;
        report.message_bytes = cluster.message_bytes;
        report.digest = cluster.digest();
        report.history = std::mem::take(cluster.history());
        report
    }
}
