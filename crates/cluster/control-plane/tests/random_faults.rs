//! Hundreds of schedules of mixed trouble, each from a seed: loss, delay, reordering, crashes with unsynced writes, members
//! that are replaced meanwhile.

mod support;
use rand::Rng;
use sagetrail_protocol::node::Method;
use sagetrail_protocol::NodeId;
use std::collections::{BTreeMap, BTreeSet};
use support::cluster::{config, id, Weather, World, CALM};

const STEPS: usize = 60;
/// With odd seeds trouble comes only at each so many steps.
const CALM_STEPS: usize = 5;
const ROUGH: Weather = Weather {
    loss: 0.05,
    twice: 0.05,
    delay_us: (200, 30_000),
    sync_us: (1_000, 20_000),
};

/// Machines that come and go for good.
#[derive(Default)]
struct Replacements {
    /// Asked to end, and not gone yet.
    leaving: Option<usize>,
    retired: BTreeSet<usize>,
}

/// The platform names machines that serve as seeds: members by the word of the scheduler, or of `other` where none is up.
fn name_members(world: &mut World, other: usize) {
    let teller = world.leader().unwrap_or(other);
    let members: Vec<NodeId> = world.members(teller).into_iter().take(3).collect();
    if !members.is_empty() {
        world.name_seeds(members);
    }
}

impl Replacements {
    /// Starts a successor and asks a member to end; once that one has ended, it is gone with its disk if it was a member
    /// no more, and restarts otherwise.
    fn step(&mut self, world: &mut World) {
        let Some(leaving) = self.leaving else {
            return self.begin(world);
        };
        let ended = world.machines[leaving].finished || world.machines[leaving].node.is_none();
        if !ended {
            return;
        }
        self.leaving = None;
        let member =
            world.machines[leaving].node.is_none() || world.members(leaving).contains(&id(leaving));
        if member {
            return world.kill(leaving);
        }
        world.wipe(leaving);
        self.retired.insert(leaving);
    }

    fn begin(&mut self, world: &mut World) {
        let index = world.random.random_range(0..world.machines.len());
        let machine = &world.machines[index];
        if machine.node.is_none() || machine.frozen || !world.members(index).contains(&id(index)) {
            return;
        }
        name_members(world, index);
        let successor = world.add_machine();
        world.start(successor, false);
        world.terminate(index);
        self.leaving = Some(index);
    }

    /// All machines that are there for the cluster.
    fn present(&self, world: &World) -> Vec<usize> {
        (0..world.machines.len())
            .filter(|index| !self.retired.contains(index))
            .collect()
    }
}

struct Order {
    base: u64,
    version: u64,
    content: String,
    number: u64,
}

fn pick(world: &mut World, present: &[usize]) -> usize {
    present[world.random.random_range(0..present.len())]
}

fn trouble(world: &mut World, present: &[usize], wiped: &mut usize) {
    let index = pick(world, present);
    let down = |world: &World, index: usize| world.machines[index].node.is_none();
    match world.random.random_range(0..12) {
        0 => world.kill(index),
        1 => world.power_off(index),
        2 => world.freeze(index),
        3 if world.machines[index].frozen => world.thaw(index),
        4 => world.cut_off(index),
        5 => world.mend(),
        6 => present.iter().for_each(|index| world.power_off(*index)),
        7 if *wiped == 0 => {
            *wiped = 1;
            world.wipe(index);
        }
        _ => {}
    }
    let other = pick(world, present);
    if down(world, other) {
        world.start(other, false);
    }
    let thawed = pick(world, present);
    if world.machines[thawed].frozen {
        world.thaw(thawed);
    }
}

fn heal(world: &mut World, present: &[usize]) {
    world.mend();
    world.weather = CALM;
    for index in present.iter().copied() {
        if world.machines[index].node.is_none() {
            world.start(index, false);
        }
        if world.machines[index].frozen {
            world.thaw(index);
        }
    }
    world.run(6_000);
}

fn order(world: &mut World, present: &[usize], newest: u64) -> Order {
    let version = newest + world.random.random_range(1..3);
    let mark: u32 = world.random.random_range(0..1000);
    let content = config(version).replace("/p", &format!("/x{mark}p"));
    let index = pick(world, present);
    let number = world.http(
        index,
        Method::Post,
        "/v1/config/replace",
        Some(newest),
        &content,
    );
    Order {
        base: newest,
        version,
        content,
        number,
    }
}

fn version_read(world: &World, number: u64) -> Option<u64> {
    let reply = world
        .replies
        .get(&number)
        .filter(|reply| reply.status == 200)?;
    let json: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    json["version"].as_u64()
}

fn play(count: usize, seed: u64, replacing: bool) {
    let mut world = World::founded(count, seed);
    world.weather = ROUGH;
    let mut orders: Vec<Order> = Vec::new();
    let mut newest = 0;
    let mut request = 0;
    let mut wiped = 0;
    let mut read_back = None;
    let mut replacements = Replacements::default();
    for step in 0..STEPS {
        if replacing {
            replacements.step(&mut world);
        }
        let present = replacements.present(&world);
        if seed.is_multiple_of(2) || step.is_multiple_of(CALM_STEPS) {
            trouble(&mut world, &present, &mut wiped);
        }
        for _ in 0..10 {
            request += 1;
            let index = pick(&mut world, &present);
            world.client(index, request);
            present.iter().for_each(|index| world.read(*index));
            let pause = world.random.random_range(1..30);
            world.run(pause);
        }
        orders.push(order(&mut world, &present, newest));
        if let Some(again) = orders.iter().rev().nth(3) {
            let (base, content) = (again.base, again.content.clone());
            let index = pick(&mut world, &present);
            world.http(
                index,
                Method::Post,
                "/v1/config/replace",
                Some(base),
                &content,
            );
        }
        let pause = world.random.random_range(10..400);
        world.run(pause);
        newest = newest.max(
            read_back
                .and_then(|number| version_read(&world, number))
                .unwrap_or(0),
        );
        let index = pick(&mut world, &present);
        read_back = Some(world.http(index, Method::Get, "/v1/config/get", None, ""));
        let acked = orders
            .iter()
            .filter(|order| world.status(order.number) == 200);
        newest = acked
            .map(|order| order.version)
            .max()
            .unwrap_or(newest)
            .max(newest);
    }
    let present = replacements.present(&world);
    heal(&mut world, &present);
    if replacements.leaving.is_some() {
        // The one that was asked to end has ended by now.
        replacements.step(&mut world);
        let present = replacements.present(&world);
        heal(&mut world, &present);
    }
    if replacing {
        name_members(&mut world, present[0]);
        world.run(4_000);
    }
    let present = replacements.present(&world);
    check_orders(&mut world, &orders, &present, seed);
    let before = world.acked();
    let leader = world
        .leader()
        .unwrap_or_else(|| panic!("seed {seed}: nobody schedules"));
    world.client(leader, 1_000_000);
    world.run(500);
    assert_eq!(
        world.acked(),
        before + 1,
        "seed {seed}: the service stands still"
    );
    let members = world.members(leader);
    assert_eq!(members.len(), count, "seed {seed}: {members:?}");
    assert!(
        replacements
            .retired
            .iter()
            .all(|index| !members.contains(&id(*index))),
        "seed {seed}: {members:?}"
    );
}

fn check_orders(world: &mut World, orders: &[Order], present: &[usize], seed: u64) {
    let mut by_base: BTreeMap<u64, &str> = BTreeMap::new();
    for order in orders
        .iter()
        .filter(|order| world.status(order.number) == 200)
    {
        let winner = by_base.entry(order.base).or_insert(&order.content);
        assert_eq!(
            *winner, order.content,
            "seed {seed}: two changes on top of {}",
            order.base
        );
    }
    let newest = orders
        .iter()
        .filter(|order| world.status(order.number) == 200)
        .map(|order| order.version)
        .max();
    for index in present.iter().copied() {
        let read = world.read_back(index);
        assert!(
            read >= newest,
            "seed {seed}: {read:?} is older than {newest:?}"
        );
    }
    let taken: Vec<&Order> = orders
        .iter()
        .filter(|order| world.status(order.number) == 200)
        .collect();
    for order in taken {
        let index = present[0];
        let number = world.http(
            index,
            Method::Post,
            "/v1/config/replace",
            Some(order.base),
            &order.content,
        );
        world.run(300);
        assert_eq!(
            world.status(number),
            200,
            "seed {seed}: version {} was refused when sent again",
            order.version
        );
    }
}

#[test]
fn three_processes_in_mixed_trouble() {
    (0..150).for_each(|seed| play(3, 1_000 + seed, false));
}

#[test]
fn five_processes_in_mixed_trouble() {
    (0..60).for_each(|seed| play(5, 5_000 + seed, false));
}

#[test]
fn three_processes_are_replaced_in_mixed_trouble() {
    (0..150).for_each(|seed| play(3, 9_000 + seed, true));
}

#[test]
fn five_processes_are_replaced_in_mixed_trouble() {
    (0..60).for_each(|seed| play(5, 13_000 + seed, true));
}
