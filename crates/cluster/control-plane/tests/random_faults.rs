//! Guards against lost or contradicting answers under random faults: loss, delay and reordering of messages, crashes
//! with unsynced writes, and the replacement of members. Each of the hundreds of schedules is drawn from a seed.

mod support;
use rand::Rng;
use sagetrail_protocol::node::Method;
use sagetrail_protocol::NodeId;
use std::collections::{BTreeMap, BTreeSet};
use support::cluster::{id, Cluster};
use support::network::Conditions;
use support::requests::config;

const STEPS: usize = 60;
/// The number of steps between faults with odd seeds. With even seeds a fault may occur in each step.
const FAULT_INTERVAL_STEPS: usize = 5;
const LOSSY: Conditions = Conditions {
    loss: 0.05,
    duplication: 0.05,
    delay_us: (200, 30_000),
    sync_us: (1_000, 20_000),
};

/// The replacement of machines, which are removed permanently.
#[derive(Default)]
struct Replacements {
    /// The machine whose process was sent SIGTERM and has not been removed yet.
    leaving: Option<usize>,
    /// The machines that were removed.
    retired: BTreeSet<usize>,
}

/// Sets the seeds to members as the leader reports them, or as `other` reports them if there is no leader.
fn set_members_as_seeds(cluster: &mut Cluster, other: usize) {
    let informant = cluster.leader().unwrap_or(other);
    let members: Vec<NodeId> = cluster.members(informant).into_iter().take(3).collect();
    if !members.is_empty() {
        cluster.set_seeds(members);
    }
}

impl Replacements {
    /// Starts a successor and sends SIGTERM to a member. Once the process has ended, its machine is removed with its
    /// disk if it is no longer a member, and is restarted otherwise.
    fn step(&mut self, cluster: &mut Cluster) {
        let Some(leaving) = self.leaving else {
            return self.begin(cluster);
        };
        let ended = cluster.machines[leaving].finished || cluster.machines[leaving].node.is_none();
        if !ended {
            return;
        }
        self.leaving = None;
        let member = cluster.machines[leaving].node.is_none()
            || cluster.members(leaving).contains(&id(leaving));
        if member {
            return cluster.kill(leaving);
        }
        cluster.wipe(leaving);
        self.retired.insert(leaving);
    }

    fn begin(&mut self, cluster: &mut Cluster) {
        let index = cluster.random.random_range(0..cluster.machines.len());
        let machine = &cluster.machines[index];
        if machine.node.is_none() || machine.frozen || !cluster.members(index).contains(&id(index))
        {
            return;
        }
        set_members_as_seeds(cluster, index);
        let successor = cluster.add_machine();
        cluster.start(successor, false);
        cluster.terminate(index);
        self.leaving = Some(index);
    }

    /// Returns all machines that have not been removed.
    fn present(&self, cluster: &Cluster) -> Vec<usize> {
        (0..cluster.machines.len())
            .filter(|index| !self.retired.contains(index))
            .collect()
    }
}

struct Change {
    base: u64,
    version: u64,
    content: String,
    number: u64,
}

fn pick(cluster: &mut Cluster, present: &[usize]) -> usize {
    present[cluster.random.random_range(0..present.len())]
}

fn inject_fault(cluster: &mut Cluster, present: &[usize], wiped: &mut usize) {
    let index = pick(cluster, present);
    let down = |cluster: &Cluster, index: usize| cluster.machines[index].node.is_none();
    match cluster.random.random_range(0..12) {
        0 => cluster.kill(index),
        1 => cluster.power_off(index),
        2 => cluster.freeze(index),
        3 if cluster.machines[index].frozen => cluster.thaw(index),
        4 => cluster.isolate(index),
        5 => cluster.heal_network(),
        6 => present.iter().for_each(|index| cluster.power_off(*index)),
        7 if *wiped == 0 => {
            *wiped = 1;
            cluster.wipe(index);
        }
        _ => {}
    }
    let other = pick(cluster, present);
    if down(cluster, other) {
        cluster.start(other, false);
    }
    let thawed = pick(cluster, present);
    if cluster.machines[thawed].frozen {
        cluster.thaw(thawed);
    }
}

fn change(cluster: &mut Cluster, present: &[usize], newest: u64) -> Change {
    let version = newest + cluster.random.random_range(1..3);
    let mark: u32 = cluster.random.random_range(0..1000);
    let content = config(version).replace("/p", &format!("/x{mark}p"));
    let index = pick(cluster, present);
    let number = cluster.http(
        index,
        Method::Post,
        "/v1/config/replace",
        Some(newest),
        &content,
    );
    Change {
        base: newest,
        version,
        content,
        number,
    }
}

fn version_read(cluster: &Cluster, number: u64) -> Option<u64> {
    let reply = cluster
        .replies
        .get(&number)
        .filter(|reply| reply.status == 200)?;
    let json: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    json["version"].as_u64()
}

fn run_schedule(count: usize, seed: u64, replacing: bool) {
    let mut cluster = Cluster::bootstrapped(count, seed);
    cluster.conditions = LOSSY;
    let mut changes: Vec<Change> = Vec::new();
    let mut newest = 0;
    let mut request = 0;
    let mut wiped = 0;
    let mut last_read = None;
    let mut replacements = Replacements::default();
    for step in 0..STEPS {
        if replacing {
            replacements.step(&mut cluster);
        }
        let present = replacements.present(&cluster);
        if seed.is_multiple_of(2) || step.is_multiple_of(FAULT_INTERVAL_STEPS) {
            inject_fault(&mut cluster, &present, &mut wiped);
        }
        for _ in 0..10 {
            request += 1;
            let index = pick(&mut cluster, &present);
            cluster.submit(index, request);
            present.iter().for_each(|index| cluster.read(*index));
            let pause = cluster.random.random_range(1..30);
            cluster.run(pause);
        }
        changes.push(change(&mut cluster, &present, newest));
        if let Some(repeated) = changes.iter().rev().nth(3) {
            let (base, content) = (repeated.base, repeated.content.clone());
            let index = pick(&mut cluster, &present);
            cluster.http(
                index,
                Method::Post,
                "/v1/config/replace",
                Some(base),
                &content,
            );
        }
        let pause = cluster.random.random_range(10..400);
        cluster.run(pause);
        newest = newest.max(
            last_read
                .and_then(|number| version_read(&cluster, number))
                .unwrap_or(0),
        );
        let index = pick(&mut cluster, &present);
        last_read = Some(cluster.http(index, Method::Get, "/v1/config/get", None, ""));
        let acked = changes
            .iter()
            .filter(|change| cluster.status(change.number) == 200);
        newest = acked
            .map(|change| change.version)
            .max()
            .unwrap_or(newest)
            .max(newest);
    }
    let present = replacements.present(&cluster);
    cluster.end_faults(present.iter().copied());
    cluster.run(6_000);
    if replacements.leaving.is_some() {
        // The process that was sent SIGTERM has ended by now.
        replacements.step(&mut cluster);
        let present = replacements.present(&cluster);
        cluster.end_faults(present.iter().copied());
        cluster.run(6_000);
    }
    if replacing {
        set_members_as_seeds(&mut cluster, present[0]);
        cluster.run(4_000);
    }
    let present = replacements.present(&cluster);
    check_changes(&mut cluster, &changes, &present, seed);
    let before = cluster.acked();
    let leader = cluster
        .leader()
        .unwrap_or_else(|| panic!("seed {seed}: no leader"));
    cluster.submit(leader, 1_000_000);
    cluster.run(500);
    assert_eq!(
        cluster.acked(),
        before + 1,
        "seed {seed}: no request is acknowledged"
    );
    let members = cluster.members(leader);
    assert_eq!(members.len(), count, "seed {seed}: {members:?}");
    assert!(
        replacements
            .retired
            .iter()
            .all(|index| !members.contains(&id(*index))),
        "seed {seed}: {members:?}"
    );
}

fn check_changes(cluster: &mut Cluster, changes: &[Change], present: &[usize], seed: u64) {
    let mut by_base: BTreeMap<u64, &str> = BTreeMap::new();
    for change in changes
        .iter()
        .filter(|change| cluster.status(change.number) == 200)
    {
        let winner = by_base.entry(change.base).or_insert(&change.content);
        assert_eq!(
            *winner, change.content,
            "seed {seed}: two changes on base {} were confirmed",
            change.base
        );
    }
    let newest = changes
        .iter()
        .filter(|change| cluster.status(change.number) == 200)
        .map(|change| change.version)
        .max();
    for index in present.iter().copied() {
        let read = cluster.read_version(index);
        assert!(
            read >= newest,
            "seed {seed}: read version {read:?}, expected at least {newest:?}"
        );
    }
    let confirmed: Vec<&Change> = changes
        .iter()
        .filter(|change| cluster.status(change.number) == 200)
        .collect();
    for change in confirmed {
        let index = present[0];
        let number = cluster.http(
            index,
            Method::Post,
            "/v1/config/replace",
            Some(change.base),
            &change.content,
        );
        cluster.run(300);
        assert_eq!(
            cluster.status(number),
            200,
            "seed {seed}: version {} was rejected when sent again",
            change.version
        );
    }
}

#[test]
fn three_members_stay_consistent_under_random_faults() {
    (0..150).for_each(|seed| run_schedule(3, 1_000 + seed, false));
}

#[test]
fn five_members_stay_consistent_under_random_faults() {
    (0..60).for_each(|seed| run_schedule(5, 5_000 + seed, false));
}

#[test]
fn three_members_are_replaced_under_random_faults() {
    (0..150).for_each(|seed| run_schedule(3, 9_000 + seed, true));
}

#[test]
fn five_members_are_replaced_under_random_faults() {
    (0..60).for_each(|seed| run_schedule(5, 13_000 + seed, true));
}
