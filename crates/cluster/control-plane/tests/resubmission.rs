//! Repeats: an order that was taken is never refused, however late and at whichever member it is sent again.

mod support;
use rand::Rng;
use support::operators::{patch, read_back, replacement, Answering, Operators, Order};
use support::cluster::World;

/// More changes than the register's value names.
const MANY_CHANGES: u64 = 2_100;
/// Places in a long history, by the base of the change.
const PLACES: [u64; 6] = [0, 1, 700, 1_500, MANY_CHANGES - 65, MANY_CHANGES - 1];

/// Replacements and patches in turn.
fn order(base: u64, mark: &str) -> Order {
    if base.is_multiple_of(2) {
        replacement(base, base + 1, mark)
    } else {
        patch(base, base + 1, mark)
    }
}

fn change_often(
    world: &mut World,
    operators: &mut Operators,
    bases: std::ops::Range<u64>,
    through: &[usize],
) {
    for base in bases {
        let index = through[base as usize % through.len()];
        let number = operators.send(world, index, &order(base, "a"));
        while world.status(number) == 0 {
            world.run(1);
        }
        assert_eq!(world.status(number), 200, "base {base}");
    }
}

fn with_many_changes(seed: u64, through: &[usize]) -> (World, Operators) {
    let mut world = World::founded(3, seed);
    let mut operators = Operators::new(Answering::Sound);
    change_often(&mut world, &mut operators, 0..MANY_CHANGES, through);
    (world, operators)
}

/// What was taken is confirmed, what lost is refused.
fn repeat_all(world: &mut World, operators: &mut Operators, through: &[usize]) {
    for base in PLACES {
        for index in through {
            assert_eq!(
                operators.insist(world, *index, &order(base, "a")),
                200,
                "base {base} at {index}"
            );
            assert_eq!(
                operators.insist(world, *index, &order(base, "b")),
                412,
                "base {base} at {index}"
            );
        }
    }
    let read = read_back(world, through[0]);
    assert_eq!(operators.check(world, &read), Ok(()));
}

fn archived(world: &World, index: usize) -> usize {
    world.machines[index]
        .disk
        .control
        .keys()
        .filter(|key| key.starts_with(b"change/"))
        .count()
}

fn caught_up(world: &World, index: usize) -> bool {
    world.machines[index]
        .node
        .as_ref()
        .is_some_and(|node| node.changes_caught_up())
}

#[test]
fn after_thousands_of_changes() {
    let (mut world, mut operators) = with_many_changes(1, &[0, 1, 2]);
    repeat_all(&mut world, &mut operators, &[0, 1, 2]);
}

#[test]
fn at_a_member_that_never_saw_the_change() {
    let mut world = World::founded(3, 2);
    let mut operators = Operators::new(Answering::Sound);
    world.cut_off(2);
    change_often(&mut world, &mut operators, 0..MANY_CHANGES, &[0, 1]);
    world.mend();
    // Until the missing changes are there, the answer is open; it never is a refusal of what was taken.
    for base in PLACES {
        let status = operators.ask(&mut world, 2, &order(base, "a"));
        assert!([200, 503, 504].contains(&status), "base {base}: {status}");
    }
    world.run(3_000);
    assert!(caught_up(&world, 2));
    assert!(archived(&world, 2) as u64 > MANY_CHANGES - 64);
    repeat_all(&mut world, &mut operators, &[2]);
}

#[test]
fn after_all_lost_power() {
    let (mut world, mut operators) = with_many_changes(3, &[0, 1, 2]);
    (0..3).for_each(|index| world.power_off(index));
    world.run(500);
    (0..3).for_each(|index| world.start(index, false));
    world.run(3_000);
    repeat_all(&mut world, &mut operators, &[0, 1, 2]);
}

#[test]
fn after_an_emptied_disk_and_with_nobody_else_who_knew() {
    let (mut world, mut operators) = with_many_changes(4, &[0, 1, 2]);
    for index in 0..2 {
        world.wipe(index);
        world.run(500);
        world.start(index, false);
        world.run(4_000);
        assert!(caught_up(&world, index));
    }
    // The last one that saw the changes itself is gone.
    world.kill(2);
    world.run(2_500);
    repeat_all(&mut world, &mut operators, &[0, 1]);
}

#[test]
fn at_a_new_machine_in_the_place_of_a_lost_one() {
    let (mut world, mut operators) = with_many_changes(5, &[0, 1, 2]);
    let gone = (world.leader().unwrap() + 1) % 3;
    world.wipe(gone);
    let successor = world.add_machine();
    world.start(successor, false);
    world.run(10_000);
    assert!(caught_up(&world, successor));
    assert!(archived(&world, successor) as u64 > MANY_CHANGES - 64);
    repeat_all(&mut world, &mut operators, &[successor]);
}

#[test]
fn through_a_process_that_is_no_member() {
    let (mut world, mut operators) = with_many_changes(6, &[0, 1, 2]);
    let spare = world.add_machine();
    world.start(spare, false);
    world.run(3_000);
    assert!(caught_up(&world, spare));
    repeat_all(&mut world, &mut operators, &[spare]);
}

#[test]
fn what_nobody_knows_any_more_is_left_open() {
    let (mut world, mut operators) = with_many_changes(7, &[0, 1, 2]);
    for index in 0..3 {
        world.kill(index);
        world.machines[index]
            .disk
            .control
            .retain(|key, _| !key.starts_with(b"change/"));
    }
    (0..3).for_each(|index| world.start(index, false));
    world.run(4_000);
    for index in 0..3 {
        assert!(caught_up(&world, index));
        assert_eq!(operators.ask(&mut world, index, &order(0, "a")), 504);
        assert_eq!(operators.ask(&mut world, index, &order(0, "b")), 504);
        assert_eq!(
            operators.ask(&mut world, index, &order(MANY_CHANGES - 1, "a")),
            200
        );
    }
    let read = read_back(&mut world, 0);
    assert_eq!(operators.check(&world, &read), Ok(()));
}

#[test]
fn a_gap_in_the_archive_is_filled() {
    let (mut world, mut operators) = with_many_changes(8, &[0, 1, 2]);
    world.kill(1);
    let rows = &mut world.machines[1].disk.control;
    let in_gap =
        |base: u64| (100..300).contains(&base) || (1_000..1_010).contains(&base) || base < 5;
    rows.retain(|key, _| match key.strip_prefix(b"change/") {
        Some(base) => !in_gap(u64::from_be_bytes(base.try_into().unwrap())),
        None => true,
    });
    world.start(1, false);
    world.run(3_000);
    assert!(caught_up(&world, 1));
    world.kill(0);
    world.run(2_500);
    for base in [0, 4, 100, 299, 1_005] {
        assert_eq!(
            operators.insist(&mut world, 1, &order(base, "a")),
            200,
            "base {base}"
        );
        assert_eq!(
            operators.insist(&mut world, 1, &order(base, "b")),
            412,
            "base {base}"
        );
    }
}

#[test]
fn a_process_whose_peers_are_gone_keeps_asking_at_a_growing_interval() {
    let (mut world, _) = with_many_changes(9, &[0, 1, 2]);
    for index in 0..3 {
        world.kill(index);
        world.machines[index]
            .disk
            .control
            .retain(|key, _| !key.starts_with(b"change/"));
    }
    (0..3).for_each(|index| world.start(index, false));
    world.run(60_000);
    let before = world.events;
    world.run(30_000);
    let rate = (world.events - before) / 90;
    assert!(rate < 60, "{rate} events a second at each process");
}

/// One member at a time is killed, without power, cut off or has its disk emptied, while the history grows.
fn outages(seed: u64) {
    let mut world = World::founded(3, 500 + seed);
    let mut operators = Operators::new(Answering::Sound);
    let mut down = None;
    for base in 0..400 {
        if base % 20 == 0 {
            down = match down {
                Some(index) => come_back(&mut world, index),
                None => go_down(&mut world),
            };
        }
        let up: Vec<usize> = (0..3).filter(|index| down != Some(*index)).collect();
        let index = up[world.random.random_range(0..up.len())];
        assert_eq!(
            operators.insist(&mut world, index, &order(base, "a")),
            200,
            "seed {seed}, base {base}"
        );
    }
    down.and_then(|index| come_back(&mut world, index));
    world.run(5_000);
    for base in (0..400).step_by(9) {
        let index = base as usize % 3;
        assert_eq!(
            operators.insist(&mut world, index, &order(base, "a")),
            200,
            "seed {seed}, base {base}"
        );
        assert_eq!(
            operators.insist(&mut world, index, &order(base, "b")),
            412,
            "seed {seed}, base {base}"
        );
    }
    let read = read_back(&mut world, 0);
    assert_eq!(operators.check(&world, &read), Ok(()), "seed {seed}");
}

fn go_down(world: &mut World) -> Option<usize> {
    let index = world.random.random_range(0..3);
    match world.random.random_range(0..4) {
        0 => world.kill(index),
        1 => world.power_off(index),
        2 => world.cut_off(index),
        // What it alone knew would be lost.
        _ if (0..3).all(|index| caught_up(world, index)) => world.wipe(index),
        _ => return None,
    }
    Some(index)
}

fn come_back(world: &mut World, index: usize) -> Option<usize> {
    world.mend();
    if world.machines[index].node.is_none() {
        world.start(index, false);
        world.run(3_000);
    }
    None
}

#[test]
fn a_history_with_outages_is_known_whole_at_the_end() {
    (0..12).for_each(outages);
}
