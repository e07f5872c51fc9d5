//! Long histories of records and configurations in mixed trouble, many schedules, each from a seed. In every term that
//! starts the service of the tests checks that nothing acknowledged is missing and no configuration goes back.
mod support;
use rand::Rng;
use sagetrail_protocol::node::Method;
use std::collections::BTreeSet;
use support::histories::History;
use support::world::{config, Weather, World, CALM};

const STEPS: usize = 14;
/// Few large records make an image of several pieces.
const ROWS: usize = 40;
const ROW_BYTES: usize = 15_000;
const ROUGH: Weather = Weather {
    loss: 0.02,
    twice: 0.03,
    delay_us: (200, 15_000),
    sync_us: (1_000, 15_000),
};
/// After the last trouble: an election, and the time to catch up.
const HEALED_MS: u64 = 1_500 + 4_000;

/// Changes of the configuration, one on top of the other, each sent until it is acknowledged.
#[derive(Default)]
struct Orders {
    acknowledged: u64,
    sent: Vec<u64>,
}

impl Orders {
    fn step(&mut self, world: &mut World) {
        if self.sent.iter().any(|number| world.status(*number) == 200) {
            self.acknowledged += 1;
            self.sent.clear();
        }
        let index = world.random.random_range(0..world.machines.len());
        if world.machines[index].node.is_some() {
            let body = config(self.acknowledged + 1);
            let base = Some(self.acknowledged);
            self.sent
                .push(world.http(index, Method::Post, "/v1/config/replace", base, &body));
        }
    }
}

struct Schedule {
    history: History,
    orders: Orders,
    /// Members whose disks were emptied and that do not hold everything again.
    lost: BTreeSet<usize>,
    context: String,
}

/// A lease that runs out, the longest pause before a candidacy, its two rounds and a read of the register.
const ELECTION_MS: u64 = 2_000;

/// A round that competes with another is tried again within this.
const ORDER_MS: u64 = 500;

impl Schedule {
    fn new(members: usize, seed: u64) -> Schedule {
        let mut history = History::new(members, seed, ROWS, ROW_BYTES, None);
        history.rate = 150;
        history.world.weather = ROUGH;
        let (orders, lost) = (Orders::default(), BTreeSet::new());
        Schedule {
            history,
            orders,
            lost,
            context: format!("{members} members, seed {seed}"),
        }
    }

    fn trouble(&mut self) {
        let count = self.history.world.machines.len();
        let world = &mut self.history.world;
        let index = world.random.random_range(0..count);
        match world.random.random_range(0..10) {
            0 | 1 if self.lost.len() < (count - 1) / 2 => {
                self.lost.insert(index);
                world.wipe(index);
            }
            2 => world.kill(index),
            3 => world.power_off(index),
            4 => world.freeze(index),
            5 => world.cut_off(index),
            6 => (0..count).for_each(|index| world.power_off(index)),
            7 => world.mend(),
            _ => {}
        }
        for index in 0..count {
            if world.machines[index].node.is_none() && world.random.random_bool(0.6) {
                world.start(index, false);
            }
            if world.machines[index].frozen && world.random.random_bool(0.5) {
                world.thaw(index);
            }
        }
    }

    fn play(mut self) {
        for _ in 0..STEPS {
            self.trouble();
            for _ in 0..4 {
                self.orders.step(&mut self.history.world);
                let pause = self.history.world.random.random_range(20..200);
                self.history.run(pause);
            }
            let history = &self.history;
            let complete = |member: &usize| {
                history.world.machines[*member].node.is_none() || !holds_all(history, *member)
            };
            self.lost.retain(complete);
        }
        self.heal();
        let members: Vec<usize> = (0..self.history.world.machines.len()).collect();
        let times = self.history.catch_up(&members, HEALED_MS);
        assert!(
            times.iter().all(Option::is_some),
            "{}: {times:?}",
            self.context
        );
        let before = self.history.world.acked();
        for _ in 0..ELECTION_MS / 100 {
            self.history.run(100);
            if self.history.world.acked() > before {
                break;
            }
        }
        assert!(
            self.history.world.acked() > before,
            "{}: the service stands still",
            self.context
        );
        self.history.finish(&self.context);
        self.orders.step(&mut self.history.world);
        for member in members {
            let version = self.history.world.read_back(member);
            let newest = Some(self.orders.acknowledged).filter(|newest| *newest > 0);
            assert!(
                version >= newest,
                "{}: {version:?} after {newest:?}",
                self.context
            );
        }
    }

    fn heal(&mut self) {
        let world = &mut self.history.world;
        world.mend();
        world.weather = CALM;
        for index in 0..world.machines.len() {
            if world.machines[index].node.is_none() {
                world.start(index, false);
            }
            if world.machines[index].frozen {
                world.thaw(index);
            }
        }
    }
}

/// Whether a member has on disk everything that was acknowledged, and says so: it votes again.
fn holds_all(history: &History, member: usize) -> bool {
    history.world.machines[member].disk.records.len() >= ROWS + history.world.acked()
}

#[test]
fn three_members_in_mixed_trouble() {
    (0..200).for_each(|seed| Schedule::new(3, 10_000 + seed).play());
}

#[test]
fn five_members_in_mixed_trouble() {
    (0..100).for_each(|seed| Schedule::new(5, 20_000 + seed).play());
}

#[test]
fn a_member_that_missed_hundreds_of_configurations_and_thousands_of_records_leads_with_the_newest()
{
    let mut history = History::new(5, 7, 2_000, 200, None);
    history.rate = 300;
    let late = history.followers()[..2].to_vec();
    history.run(100);
    late.iter()
        .for_each(|member| history.world.power_off(*member));
    let leader = history.world.leader().unwrap();
    for version in 1..=700 {
        let number = history.world.http(
            leader,
            Method::Post,
            "/v1/config/replace",
            Some(version - 1),
            &config(version),
        );
        history.run(25);
        for _ in 0..ORDER_MS / 25 {
            if history.world.status(number) == 0 {
                history.run(25);
            }
        }
        assert_eq!(history.world.status(number), 200, "version {version}");
    }
    // One of the two also loses its disk; the majority then consists of these two and one that knows everything.
    history.world.wipe(late[0]);
    late.iter()
        .for_each(|member| history.world.start(*member, false));
    assert!(history.catch_up(&late, 4_000).iter().all(Option::is_some));
    let others: Vec<usize> = (0..5).filter(|index| !late.contains(index)).collect();
    history.world.power_off(others[0]);
    history.world.power_off(others[1]);
    history.run(3_000);
    for member in late.iter().chain([&others[2]]) {
        assert_eq!(history.world.read_back(*member), Some(700));
    }
    history.finish("after 700 configurations");
}
