//! Races: of several contents on top of one version at most one is ever confirmed, and that one is read back,
//! whoever dies between the rounds and whichever answers are lost.

mod support;
use rand::Rng;
use support::operators::{
    abandon, is_clear, patch, read_back, replacement, Answering, Operators, Order,
};
use support::cluster::{Weather, World, CALM};

const WINDY: Weather = Weather {
    loss: 0.03,
    twice: 0.03,
    delay_us: (200, 8_000),
    sync_us: (1_000, 9_000),
};
/// Between two rounds a member's own disk is done long before the others hear of the second one.
const FAR_APART: Weather = Weather {
    loss: 0.0,
    twice: 0.0,
    delay_us: (5_000, 9_000),
    sync_us: (500, 2_000),
};
/// A member dies at each millisecond up to this one after the orders were sent.
const DEATHS_MS: u64 = 30;
const DEATH_SEEDS: u64 = 1_080;
/// With so many changes the value is large enough that a patch is sent without it.
const LONG_HISTORY: u64 = 24;

#[derive(Clone, Copy)]
enum Death {
    Kill,
    PowerOff,
    EmptiedDisk,
}

const DEATHS: [Death; 3] = [Death::Kill, Death::PowerOff, Death::EmptiedDisk];

fn die(world: &mut World, index: usize, death: Death) {
    match death {
        Death::Kill => world.kill(index),
        Death::PowerOff => world.power_off(index),
        Death::EmptiedDisk => world.wipe(index),
    }
}

/// Sends the orders again in turns, each at the next running member, until all have a clear answer.
fn insist_on_all(world: &mut World, operators: &mut Operators, orders: &[Order], count: usize) {
    let mut open: Vec<Order> = orders.to_vec();
    for turn in 0..60 {
        let numbers: Vec<u64> = (open.iter().enumerate())
            .map(|(place, order)| operators.send(world, (turn + place) % count, order))
            .collect();
        world.run(1_200);
        let mut answers = numbers
            .iter()
            .map(|number| operators.status(world, *number));
        open.retain(|_| !answers.next().is_some_and(is_clear));
        if open.is_empty() {
            return;
        }
    }
    panic!("{} orders have no clear answer", open.len());
}

/// Two operators under one number at different members, all first answers lost, a member dying in between.
fn two_operators(answering: Answering, count: usize, seed: u64) -> Result<(), String> {
    let mut world = World::founded(count, 10_000 + seed);
    let mut operators = Operators::new(answering);
    let base = if seed.is_multiple_of(6) {
        LONG_HISTORY
    } else {
        1
    };
    for former in 0..base {
        assert_eq!(
            operators.ask(&mut world, 0, &replacement(former, former + 1, "former")),
            200
        );
    }
    if seed.is_multiple_of(4) {
        world.weather = WINDY;
    }
    let rival = if seed.is_multiple_of(2) {
        patch(base, base + 2, "right")
    } else {
        replacement(base, base + 2, "right")
    };
    let orders = [replacement(base, base + 2, "left"), rival];
    let first = world.random.random_range(0..count);
    let second = (first + world.random.random_range(1..count)) % count;
    let numbers = [
        operators.send(&mut world, first, &orders[0]),
        operators.send(&mut world, second, &orders[1]),
    ];
    let victim = world.random.random_range(0..count);
    world.run(seed % DEATHS_MS);
    die(
        &mut world,
        victim,
        DEATHS[(seed / DEATHS_MS) as usize % DEATHS.len()],
    );
    let patience = world.random.random_range(0..10);
    world.run(patience);
    numbers
        .into_iter()
        .for_each(|number| abandon(&mut world, number));
    let pause = world.random.random_range(0..1_500);
    world.run(pause);
    world.start(victim, false);
    insist_on_all(&mut world, &mut operators, &orders, count);
    // And once more, at each member.
    for index in 0..count {
        for order in &orders {
            operators.insist(&mut world, index, order);
        }
        let read = read_back(&mut world, index);
        operators.check(&world, &read)?;
        if read.is_none_or(|(version, _)| version != base + 2) {
            return Err("neither content is in force".to_owned());
        }
    }
    Ok(())
}

#[test]
fn two_operators_under_one_number_while_a_member_of_three_dies() {
    for seed in 0..DEATH_SEEDS {
        assert_eq!(
            two_operators(Answering::Sound, 3, seed),
            Ok(()),
            "seed {seed}"
        );
    }
}

#[test]
fn two_operators_under_one_number_while_a_member_of_five_dies() {
    for seed in 0..DEATH_SEEDS / 4 {
        assert_eq!(
            two_operators(Answering::Sound, 5, 50_000 + seed),
            Ok(()),
            "seed {seed}"
        );
    }
}

#[test]
fn the_checker_finds_a_process_that_refuses_repeats() {
    for seed in 0..20 {
        let found = two_operators(Answering::RefusesRepeats, 3, seed).unwrap_err();
        assert!(
            found.contains("was taken and refused"),
            "seed {seed}: {found}"
        );
    }
}

#[test]
fn the_checker_finds_a_process_that_confirms_by_number() {
    for seed in 0..20 {
        let found = two_operators(Answering::ConfirmsByVersion, 3, seed).unwrap_err();
        assert!(
            found.contains("two changes on top of"),
            "seed {seed}: {found}"
        );
    }
}

#[test]
fn a_repeat_while_a_newer_change_is_in_flight() {
    for seed in 0..300 {
        let mut world = World::founded(3, 20_000 + seed);
        let mut operators = Operators::new(Answering::Sound);
        let (taken, lost) = (replacement(0, 5, "taken"), replacement(0, 5, "lost"));
        assert_eq!(operators.ask(&mut world, 0, &taken), 200);
        let newer = replacement(5, 8, "newer");
        let at = world.random.random_range(0..3);
        let newest = operators.send(&mut world, at, &newer);
        world.run(seed % 20);
        let repeats: Vec<u64> = (0..3)
            .map(|index| operators.send(&mut world, index, &taken))
            .collect();
        let losers: Vec<u64> = (0..3)
            .map(|index| operators.send(&mut world, index, &lost))
            .collect();
        world.run(3_000);
        assert_eq!(operators.status(&world, newest), 200, "seed {seed}");
        for number in repeats {
            assert_eq!(operators.status(&world, number), 200, "seed {seed}");
        }
        for number in losers {
            assert_eq!(operators.status(&world, number), 412, "seed {seed}");
        }
        let read = read_back(&mut world, 1);
        assert_eq!(operators.check(&world, &read), Ok(()), "seed {seed}");
    }
}

#[test]
fn eight_orders_at_once_on_one_version_each_sent_to_two_members() {
    for seed in 0..100 {
        let mut world = World::founded(3, 30_000 + seed);
        let mut operators = Operators::new(Answering::Sound);
        assert_eq!(
            operators.ask(&mut world, 0, &replacement(0, 5, "first")),
            200
        );
        let kind = |place: u64| {
            if place.is_multiple_of(2) {
                replacement
            } else {
                patch
            }
        };
        let orders: Vec<Order> = (0..8)
            .map(|place| kind(place)(5, 6 + place / 4, &format!("mark{place}")))
            .collect();
        let mut numbers = Vec::new();
        for (place, order) in orders.iter().enumerate() {
            numbers.push((order, operators.send(&mut world, place % 3, order)));
            numbers.push((order, operators.send(&mut world, (place + 1) % 3, order)));
        }
        world.run(6_000);
        let taken = numbers
            .iter()
            .filter(|(_, number)| operators.status(&world, *number) == 200);
        let mut taken: Vec<&Order> = taken.map(|(order, _)| *order).collect();
        taken.dedup();
        assert_eq!(taken.len(), 1, "seed {seed}");
        insist_on_all(&mut world, &mut operators, &orders, 3);
        let read = read_back(&mut world, 2);
        assert_eq!(operators.check(&world, &read), Ok(()), "seed {seed}");
    }
}

#[test]
fn eight_orders_at_once_each_on_top_of_the_one_before() {
    for seed in 0..100 {
        let mut world = World::founded(3, 40_000 + seed);
        let mut operators = Operators::new(Answering::Sound);
        let orders: Vec<Order> = (0..8)
            .map(|base| replacement(base, base + 1, "a"))
            .collect();
        let one_member = seed.is_multiple_of(2);
        let numbers: Vec<u64> = (orders.iter().enumerate())
            .map(|(place, order)| {
                operators.send(&mut world, if one_member { 1 } else { place % 3 }, order)
            })
            .collect();
        world.run(6_000);
        let statuses: Vec<u16> = numbers
            .iter()
            .map(|number| operators.status(&world, *number))
            .collect();
        if one_member {
            assert_eq!(statuses, [200; 8], "seed {seed}");
        }
        let read = read_back(&mut world, 0);
        assert_eq!(operators.check(&world, &read), Ok(()), "seed {seed}");
        let version = read.map(|(version, _)| version);
        let confirmed = statuses.iter().filter(|status| **status == 200).count() as u64;
        assert_eq!(
            version,
            Some(confirmed),
            "seed {seed}: a refused order is in force"
        );
    }
}

/// A member is cut off when only it has accepted a change; the others go on with another one.
fn accepted_by_one(seed: u64) -> bool {
    let mut world = World::founded(3, 80_000 + seed);
    let mut operators = Operators::new(Answering::Sound);
    assert_eq!(
        operators.ask(&mut world, 0, &replacement(0, 5, "first")),
        200
    );
    let orders = [replacement(5, 7, "lonely"), replacement(5, 6, "common")];
    world.weather = FAR_APART;
    operators.send(&mut world, 0, &orders[0]);
    world.run(14 + seed % 15);
    world.cut_off(0);
    world.weather = CALM;
    world.run(1_000);
    let value = &world.machines[0].disk.control[&b"value"[..]];
    let accepted = value.windows(6).any(|bytes| bytes == b"lonely");
    let common = operators.insist(&mut world, 1, &orders[1]);
    let start = if common == 200 { 6 } else { 7 };
    // Neither content is among the recent changes any more.
    for base in start..start + 80 {
        assert_eq!(
            operators.insist(&mut world, 1, &replacement(base, base + 1, "later")),
            200
        );
    }
    world.mend();
    world.run(2_000);
    for index in 0..3 {
        orders
            .iter()
            .for_each(|order| assert!(is_clear(operators.insist(&mut world, index, order))));
        let read = read_back(&mut world, index);
        assert_eq!(operators.check(&world, &read), Ok(()), "seed {seed}");
    }
    accepted && common == 200
}

#[test]
fn what_a_minority_accepted_is_not_remembered() {
    let accepted = (0..60).filter(|seed| accepted_by_one(*seed)).count();
    assert!(
        accepted >= 10,
        "only {accepted} schedules had a change that one member accepted"
    );
}

fn trouble(world: &mut World, count: usize, wiped: &mut usize) {
    let index = world.random.random_range(0..count);
    match world.random.random_range(0..10) {
        0 => world.kill(index),
        1 => world.power_off(index),
        2 => world.freeze(index),
        3 => world.cut_off(index),
        4 => world.mend(),
        5 => (0..count).for_each(|index| world.power_off(index)),
        6 if *wiped == 0 => {
            *wiped += 1;
            world.wipe(index);
        }
        _ => {}
    }
    let other = world.random.random_range(0..count);
    revive(world, other);
}

fn revive(world: &mut World, index: usize) {
    if world.machines[index].node.is_none() {
        world.start(index, false);
    } else if world.machines[index].frozen {
        world.thaw(index);
    }
}

fn heal(world: &mut World, count: usize) {
    world.mend();
    world.weather = CALM;
    (0..count).for_each(|index| revive(world, index));
    world.run(5_000);
}

/// Several operators on top of the newest confirmed version, repeats of any age, mixed trouble.
fn long_race(count: usize, seed: u64) {
    let mut world = World::founded(count, seed);
    let mut operators = Operators::new(Answering::Sound);
    assert_eq!(
        operators.ask(&mut world, 0, &replacement(0, 1, "first")),
        200
    );
    world.weather = WINDY;
    let (mut newest, mut wiped) = (1, 0);
    let mut last = Vec::new();
    for step in 0..50 {
        if step % 3 == 0 {
            trouble(&mut world, count, &mut wiped);
        }
        for rival in 0..world.random.random_range(1..4) {
            let version = newest + world.random.random_range(1..3);
            let mark = format!("s{step}r{rival}");
            let make = if world.random.random_bool(0.5) {
                replacement
            } else {
                patch
            };
            last.push(make(newest, version, &mark));
        }
        let orders = operators.orders();
        if !orders.is_empty() {
            last.push(orders[world.random.random_range(0..orders.len())].clone());
        }
        let mut numbers = Vec::new();
        for order in last.drain(..) {
            let index = world.random.random_range(0..count);
            numbers.push((operators.send(&mut world, index, &order), order));
        }
        let pause = world.random.random_range(5..500);
        world.run(pause);
        if world.random.random_bool(0.3) {
            numbers
                .iter()
                .for_each(|(number, _)| abandon(&mut world, *number));
        }
        let taken = numbers
            .iter()
            .filter(|(number, _)| world.status(*number) == 200);
        newest = taken
            .map(|(_, order)| order.version)
            .max()
            .unwrap_or(newest)
            .max(newest);
    }
    heal(&mut world, count);
    let orders = operators.orders();
    insist_on_all(&mut world, &mut operators, &orders, count);
    insist_on_all(&mut world, &mut operators, &orders, count);
    for index in 0..count {
        let read = read_back(&mut world, index);
        assert_eq!(
            operators.check(&world, &read),
            Ok(()),
            "seed {seed}, process {index}"
        );
    }
}

#[test]
fn operators_race_in_mixed_trouble_of_three() {
    (0..150).for_each(|seed| long_race(3, 60_000 + seed));
}

#[test]
fn operators_race_in_mixed_trouble_of_five() {
    (0..50).for_each(|seed| long_race(5, 70_000 + seed));
}
