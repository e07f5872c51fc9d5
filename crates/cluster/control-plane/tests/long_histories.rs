//! Guards against lost records and configurations under mixed faults in clusters with many of them. Each schedule is
//! drawn from a seed. At the start of every term, the service of the tests checks that no acknowledged request is
//! missing and that the configuration version has not decreased.

mod support;
use rand::Rng;
use sagetrail_protocol::node::Method;
use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::OnceLock;
use support::cluster::Cluster;
use support::histories::History;
use support::network::Conditions;
use support::requests::config;

const STEPS: usize = 14;
/// The number of preloaded records. A few large records are enough for a snapshot of several chunks.
const ROWS: usize = 40;
const ROW_BYTES: usize = 15_000;
const LOSSY: Conditions = Conditions {
    loss: 0.02,
    duplication: 0.03,
    delay_us: (200, 15_000),
    sync_us: (1_000, 15_000),
};
/// The time for an election and for catching up after the last fault, in milliseconds.
const CATCH_UP_AFTER_FAULTS_MS: u64 = 1_500 + 4_000;

/// A chain of changes of the configuration, each of which is sent until it is confirmed.
#[derive(Default)]
struct Changes {
    /// The newest confirmed version.
    acknowledged: u64,
    /// The numbers of the requests for the next version.
    sent: Vec<u64>,
}

impl Changes {
    fn step(&mut self, cluster: &mut Cluster) {
        if self
            .sent
            .iter()
            .any(|number| cluster.status(*number) == 200)
        {
            self.acknowledged += 1;
            self.sent.clear();
        }
        let index = cluster.random.random_range(0..cluster.machines.len());
        if cluster.machines[index].node.is_some() {
            let body = config(self.acknowledged + 1);
            let base = Some(self.acknowledged);
            self.sent
                .push(cluster.http(index, Method::Post, "/v1/config/replace", base, &body));
        }
    }
}

/// A schedule of faults on a cluster with many records.
struct Schedule {
    history: History,
    changes: Changes,
    /// The members whose disks were emptied and that do not have all records again yet.
    lost: BTreeSet<usize>,
    context: String,
}

/// The time within which a request is acknowledged after the last member has caught up, in milliseconds.
const SERVED_MS: u64 = 500;
/// The time for the expiry of a lease, the longest delay of a candidacy, its two rounds and a read of the register, in
/// milliseconds.
const ELECTION_MS: u64 = 2_000;
const SERVED_STEP_MS: u64 = 100;

/// The time within which a change is confirmed, in milliseconds.
const CHANGE_MS: u64 = 25;
const CHANGES: u64 = 700;

/// The time between the catching up of the last member and the acknowledgement of a request, for one seed.
struct Served {
    seed: u64,
    after_ms: u64,
}

impl Schedule {
    fn new(members: usize, seed: u64) -> Schedule {
        let mut history = History::new(members, seed, ROWS, ROW_BYTES, None);
        history.rate = 150;
        history.cluster.conditions = LOSSY;
        let (changes, lost) = (Changes::default(), BTreeSet::new());
        Schedule {
            history,
            changes,
            lost,
            context: format!("{members} members, seed {seed}"),
        }
    }

    fn inject_fault(&mut self) {
        let count = self.history.cluster.machines.len();
        let cluster = &mut self.history.cluster;
        let index = cluster.random.random_range(0..count);
        match cluster.random.random_range(0..10) {
            0 | 1 if self.lost.len() < (count - 1) / 2 => {
                self.lost.insert(index);
                cluster.wipe(index);
            }
            2 => cluster.kill(index),
            3 => cluster.power_off(index),
            4 => cluster.freeze(index),
            5 => cluster.isolate(index),
            6 => (0..count).for_each(|index| cluster.power_off(index)),
            7 => cluster.heal_network(),
            _ => {}
        }
        for index in 0..count {
            if cluster.machines[index].node.is_none() && cluster.random.random_bool(0.6) {
                cluster.start(index, false);
            }
            if cluster.machines[index].frozen && cluster.random.random_bool(0.5) {
                cluster.thaw(index);
            }
        }
    }

    /// Runs the schedule. Returns the time between the catching up of the last member and the acknowledgement of a
    /// request, in milliseconds.
    fn run(mut self) -> u64 {
        for _ in 0..STEPS {
            self.inject_fault();
            for _ in 0..4 {
                self.changes.step(&mut self.history.cluster);
                let pause = self.history.cluster.random.random_range(20..200);
                self.history.run(pause);
            }
            let history = &self.history;
            let is_incomplete = |member: &usize| {
                history.cluster.machines[*member].node.is_none()
                    || !has_all_records(history, *member)
            };
            self.lost.retain(is_incomplete);
        }
        let members: Vec<usize> = (0..self.history.cluster.machines.len()).collect();
        self.history.cluster.end_faults(members.iter().copied());
        let times = self.history.catch_up(&members, CATCH_UP_AFTER_FAULTS_MS);
        assert!(
            times.iter().all(Option::is_some),
            "{}: {times:?}",
            self.context
        );
        let before = self.history.cluster.acked();
        let mut served_after_ms = 0;
        while self.history.cluster.acked() == before && served_after_ms < ELECTION_MS {
            self.history.run(SERVED_STEP_MS);
            served_after_ms += SERVED_STEP_MS;
        }
        assert!(
            self.history.cluster.acked() > before,
            "{}: no request is acknowledged",
            self.context
        );
        self.history.finish(&self.context);
        self.changes.step(&mut self.history.cluster);
        for member in members {
            let version = self.history.cluster.read_version(member);
            let newest = Some(self.changes.acknowledged).filter(|newest| *newest > 0);
            assert!(
                version >= newest,
                "{}: read version {version:?}, expected at least {newest:?}",
                self.context
            );
        }
        served_after_ms
    }
}

/// Returns whether a member has all acknowledged records on disk. Such a member reports them and votes again.
fn has_all_records(history: &History, member: usize) -> bool {
    history.cluster.machines[member].disk.records.len() >= ROWS + history.cluster.acked()
}

fn run_all(members: usize, seeds: Range<u64>) -> Vec<Served> {
    let run = |seed| Served {
        seed,
        after_ms: Schedule::new(members, seed).run(),
    };
    seeds.map(run).collect()
}

/// Returns the results of the schedules with three members, which are run once for all tests.
fn schedules_of_three() -> &'static [Served] {
    static SCHEDULES: OnceLock<Vec<Served>> = OnceLock::new();
    SCHEDULES.get_or_init(|| run_all(3, 10_000..10_200))
}

fn assert_served_in_time<'a>(schedules: impl Iterator<Item = &'a Served>) {
    for Served { seed, after_ms } in schedules {
        assert!(
            *after_ms <= SERVED_MS,
            "seed {seed}: served after {after_ms} ms"
        );
    }
}

#[test]
fn three_members_keep_long_histories_under_mixed_faults() {
    assert_served_in_time(schedules_of_three().iter());
}

#[test]
fn three_members_serve_500_ms_after_the_last_has_caught_up() {
    assert_served_in_time(schedules_of_three().iter());
}

#[test]
fn five_members_keep_long_histories_under_mixed_faults() {
    assert_served_in_time(run_all(5, 20_000..20_100).iter());
}

/// Returns five members with thousands of records under a steady rate of requests, and the two members that are off.
fn history_with_two_members_off() -> (History, Vec<usize>) {
    let mut history = History::new(5, 7, 2_000, 200, None);
    history.rate = 300;
    let late = history.followers()[..2].to_vec();
    history.run(100);
    late.iter()
        .for_each(|member| history.cluster.power_off(*member));
    (history, late)
}

/// Changes the configuration many times. Each change is based on the one before and is confirmed within `CHANGE_MS`.
fn change_many(history: &mut History) {
    let leader = history.cluster.leader().unwrap();
    for version in 1..=CHANGES {
        let number = history.cluster.http(
            leader,
            Method::Post,
            "/v1/config/replace",
            Some(version - 1),
            &config(version),
        );
        history.run(CHANGE_MS);
        assert_eq!(history.cluster.status(number), 200, "version {version}");
    }
}

#[test]
fn each_of_700_changes_is_acknowledged_within_25_ms() {
    let (mut history, _) = history_with_two_members_off();
    change_many(&mut history);
}

#[test]
fn a_member_that_missed_hundreds_of_configurations_and_thousands_of_records_leads_with_the_newest()
{
    let (mut history, late) = history_with_two_members_off();
    change_many(&mut history);
    // One of the two members also loses its disk. The majority then consists of these two and one member with all
    // state.
    history.cluster.wipe(late[0]);
    late.iter()
        .for_each(|member| history.cluster.start(*member, false));
    assert!(history.catch_up(&late, 4_000).iter().all(Option::is_some));
    let others: Vec<usize> = (0..5).filter(|index| !late.contains(index)).collect();
    history.cluster.power_off(others[0]);
    history.cluster.power_off(others[1]);
    history.run(3_000);
    for member in late.iter().chain([&others[2]]) {
        assert_eq!(history.cluster.read_version(*member), Some(CHANGES));
    }
    history.finish("after 700 configurations");
}
