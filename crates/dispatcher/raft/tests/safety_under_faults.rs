//! Guards against violations of Raft's safety: a committed entry is lost or replaced, or a read is not linearizable.
//! The faults are message loss, duplicates, reordering, partitions, pauses, crashes, power failures, lost disks and
//! disks that were rolled back. Also guards against a lack of liveness once the faults have ended.

mod simulated_cluster;

use rand::Rng;
use simulated_cluster::{Defect, SimulatedCluster};

/// Number of steps with faults, and number of steps without faults for the recovery; a step takes 0.1 s.
const FAULT_STEPS: usize = 60;
const RECOVERY_STEPS: usize = 60;
const STEP_S: f64 = 0.1;
/// Jitter of a healthy network, and duration of a sync on a healthy and on a slow disk, seconds.
const HEALTHY_JITTER_S: f64 = 0.003;
const HEALTHY_SYNC_S: f64 = 0.001;
const SLOW_SYNC_S: f64 = 0.2;
/// Time for which a member is stopped when its disk is replaced or rolled back, seconds.
const DISK_CHANGE_S: f64 = 0.3;

/// A stopped member, and the time at which it is started again.
#[derive(Clone, Copy)]
struct Outage {
    node: usize,
    until_s: f64,
}

/// A schedule of faults, determined by its seed.
struct Schedule {
    cluster: SimulatedCluster,
    members: usize,
    voters: usize,
    wanted_voters: Vec<usize>,
    /// The member whose disk is damaged. At most one disk is damaged at a time, and its member recovers before the next
    /// disk is damaged, so that a majority of the disks stays intact.
    damaged_node: Option<usize>,
    outage: Option<Outage>,
}

impl Schedule {
    fn new(seed: u64, defect: Defect) -> Schedule {
        let members = 3 + (seed % 4) as usize;
        let voters = if members >= 5 && seed.is_multiple_of(3) {
            5
        } else {
            3
        };
        let mut cluster = SimulatedCluster::new(members, voters, seed, defect);
        cluster.run_until(1.5);
        cluster.loss_probability = [0.0, 0.05, 0.3][(seed / 2 % 3) as usize];
        cluster.jitter_s = [HEALTHY_JITTER_S, 0.05, 0.3][(seed / 5 % 3) as usize];
        Schedule {
            cluster,
            members,
            voters,
            wanted_voters: (0..voters).collect(),
            damaged_node: None,
            outage: None,
        }
    }

    fn fault_step(&mut self, step: usize) {
        let step_end_s = self.cluster.now_s + STEP_S;
        let target = self.cluster.random.random_range(0..self.members);
        self.clear_recovered_node();
        self.inject_fault(step_end_s, target);
        if let Some(outage) = self
            .outage
            .filter(|outage| self.cluster.now_s >= outage.until_s)
        {
            self.cluster.kill(outage.node);
            self.cluster.restart(outage.node);
            self.outage = None;
        }
        self.submit_requests(step);
        self.cluster.run_until(step_end_s);
    }

    /// Clears the damaged member once it has recovered: it votes again and lacks at most two committed
    /// entries.
    fn clear_recovered_node(&mut self) {
        let cluster = &self.cluster;
        let has_recovered = |node: usize| {
            cluster.can_vote(node) && cluster.applied_index(node) + 2 >= cluster.highest_committed()
        };
        if self.damaged_node.is_some_and(has_recovered) {
            self.damaged_node = None;
        }
    }

    fn inject_fault(&mut self, step_end_s: f64, target: usize) {
        let may_stop = self.outage.is_none();
        let may_damage = may_stop && self.damaged_node.is_none() && target < self.voters;
        let cluster = &mut self.cluster;
        match cluster.random.random_range(0..24) {
            0 if may_stop => {
                cluster.kill(target);
                let duration_s = cluster.random.random::<f64>();
                self.stop_until(target, step_end_s + duration_s);
            }
            1 if may_damage => {
                cluster.kill(target);
                cluster.replace_disk(target);
                self.damaged_node = Some(target);
                self.stop_until(target, step_end_s + DISK_CHANGE_S);
            }
            2 if may_damage => {
                cluster.kill(target);
                cluster.restore_disk_copy(target);
                self.damaged_node = Some(target);
                self.stop_until(target, step_end_s + DISK_CHANGE_S);
            }
            3 => {
                let duration_s = 2.0 * cluster.random.random::<f64>();
                cluster.pause(target, duration_s);
            }
            4 => {
                let other = cluster.random.random_range(0..self.members);
                cluster.cut_links.push((target, other));
            }
            5 => {
                cluster.cut_links = (0..self.members)
                    .flat_map(|other| [(target, other), (other, target)])
                    .collect();
            }
            6 | 7 => cluster.cut_links.clear(),
            8 => cluster.slow_disk(target, SLOW_SYNC_S),
            9 => cluster.slow_disk(target, HEALTHY_SYNC_S),
            10 => cluster.copy_disk(target),
            11 if may_stop => self.fail_power(),
            12 if may_stop => {
                cluster.fail_disk(target);
                let duration_s = 2.0 * cluster.random.random::<f64>();
                self.stop_until(target, step_end_s + duration_s);
            }
            _ => {}
        }
    }

    fn stop_until(&mut self, node: usize, until_s: f64) {
        self.outage = Some(Outage { node, until_s });
    }

    /// Stops all members at the same time and starts them again.
    fn fail_power(&mut self) {
        (0..self.members).for_each(|node| self.cluster.kill(node));
        (0..self.members).for_each(|node| self.cluster.restart(node));
    }

    fn submit_requests(&mut self, step: usize) {
        for node in 0..self.members {
            self.cluster.propose(node);
            if (step + node).is_multiple_of(3) {
                self.cluster.read(node);
            }
            if step.is_multiple_of(2) {
                self.cluster.reconfigure(node, &self.wanted_voters);
            }
        }
    }

    /// Ends all faults and runs the cluster until it should have recovered.
    fn recover(&mut self) {
        (self.cluster.loss_probability, self.cluster.jitter_s) = (0.0, HEALTHY_JITTER_S);
        self.cluster.cut_links.clear();
        if let Some(outage) = self.outage {
            self.cluster.kill(outage.node);
        }
        for node in 0..self.members {
            self.cluster.pause(node, 0.0);
            self.cluster.slow_disk(node, HEALTHY_SYNC_S);
            if !self.cluster.is_running(node) {
                self.cluster.restart(node);
            }
        }
        for _ in 0..RECOVERY_STEPS {
            let step_end_s = self.cluster.now_s + STEP_S;
            for node in 0..self.members {
                self.cluster.reconfigure(node, &self.wanted_voters);
            }
            self.cluster.run_until(step_end_s);
        }
        for node in 0..self.members {
            self.cluster.propose(node);
        }
        let end_s = self.cluster.now_s + 1.0;
        self.cluster.run_until(end_s);
    }

    /// Checks that without faults there is a leader, every member has all entries, and every wanted voter votes.
    fn check_liveness(&mut self) {
        if self.cluster.leader().is_none() {
            self.record_violation("no leader after recovery".to_string());
        }
        for node in 0..self.members {
            let applied = self.cluster.applied_index(node);
            let committed = self.cluster.highest_committed();
            if applied < committed {
                self.record_violation(format!("{node} has {applied} of {committed}"));
            }
            if node < self.voters && !self.cluster.can_vote(node) {
                self.record_violation(format!("{node} does not vote after recovery"));
            }
        }
    }

    fn record_violation(&mut self, violation: String) {
        self.cluster.violations.push(violation);
    }
}

/// Runs a schedule. The returned cluster contains the violations.
fn run_schedule(seed: u64, defect: Defect) -> SimulatedCluster {
    let mut schedule = Schedule::new(seed, defect);
    for step in 0..FAULT_STEPS {
        schedule.fault_step(step);
    }
    schedule.recover();
    schedule.check_liveness();
    schedule.cluster
}

/// The number of schedules. The environment variable `SCHEDULES` overrides it.
fn schedule_count() -> u64 {
    std::env::var("SCHEDULES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(10_000)
}

#[test]
fn committed_entries_are_never_lost_in_ten_thousand_schedules_of_faults() {
    let threads = std::thread::available_parallelism()
        .map_or(4, |count| count.get() as u64)
        .min(6);
    let handles: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || {
                let (mut reads, mut committed) = (0, 0);
                for seed in (0..schedule_count()).filter(|seed| seed % threads == thread) {
                    let cluster = run_schedule(seed, Defect::None);
                    assert!(
                        cluster.violations.is_empty(),
                        "seed {seed}: {:?}",
                        &cluster.violations[..cluster.violations.len().min(4)]
                    );
                    reads += cluster.completed_reads;
                    committed += cluster.highest_committed();
                }
                (reads, committed)
            })
        })
        .collect();
    let (reads, committed) = handles
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    println!(
        "{} schedules, {committed} entries agreed, {reads} reads",
        schedule_count()
    );
    assert!(
        reads as u64 > schedule_count() && committed > 20 * schedule_count(),
        "nothing was agreed or read"
    );
}

#[test]
fn each_injected_defect_is_detected_by_the_same_schedules() {
    let all = [
        Defect::SendsBeforeSync,
        Defect::KeepsDiskIdentity,
        Defect::IgnoresRollback,
        Defect::LosesSyncedRecords,
        Defect::ReadsWithoutQuorum,
        Defect::TruncatesSnapshots,
        Defect::SkipsTruncates,
    ];
    let handles = all.map(|defect| {
        (
            defect,
            std::thread::spawn(move || {
                (0..6_000).find(|seed| !run_schedule(*seed, defect).violations.is_empty())
            }),
        )
    });
    for (defect, thread) in handles {
        let detected_at = thread.join().unwrap_or(Some(0));
        println!("{defect:?}: at seed {detected_at:?}");
        assert!(detected_at.is_some(), "{defect:?} is not detected");
    }
}
