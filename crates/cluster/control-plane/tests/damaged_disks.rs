//! A disk that holds something that cannot be read is an emptied disk, never a fresh one: nobody founds on it.

mod support;
use support::cluster::{Disk, World};

const ROWS: [&[u8]; 4] = [b"acceptor", b"value", b"replica", b"members"];

/// Ways in which a row is damaged.
const DAMAGES: [fn(&mut Disk, &[u8]); 4] = [
    |disk, row| drop(disk.control.remove(row)),
    |disk, row| drop(disk.control.insert(row.to_vec(), Vec::new())),
    |disk, row| disk.control.get_mut(row).unwrap().truncate(3),
    |disk, row| disk.control.get_mut(row).unwrap().push(0),
];

fn feed(world: &mut World, requests: std::ops::Range<u64>) {
    for request in requests {
        if let Some(leader) = world.leader() {
            world.client(leader, request);
        }
        world.run(3);
    }
    world.run(300);
}

fn busy(seed: u64) -> World {
    let mut world = World::founded(3, seed);
    assert_eq!(world.replace(0, 0, 5), 200);
    feed(&mut world, 1..51);
    assert_eq!(world.acked(), 50);
    world
}

/// The bootstrapping process comes back on what `damage` left, told to found, and is alone for long; then the others come back.
fn founder_returns(world: &mut World, damage: impl Fn(&mut Disk), context: &str) {
    let terms = world.terms();
    (0..3).for_each(|index| world.power_off(index));
    damage(&mut world.machines[0].disk);
    world.start(0, true);
    world.run(9_000);
    assert_eq!(world.terms(), terms, "{context}: founded anew");
    // Killed and started again it still knows that its disk was in use.
    world.kill(0);
    world.start(0, true);
    world.run(9_000);
    assert_eq!(
        world.terms(),
        terms,
        "{context}: founded anew at the second start"
    );
    world.start(1, false);
    world.start(2, false);
    world.run(6_000);
    assert_eq!(world.read_back(0), Some(5), "{context}");
    feed(world, 1_001..1_011);
    assert_eq!(world.acked(), 60, "{context}");
    assert_eq!(
        world.machines[0].disk.records, world.machines[1].disk.records,
        "{context}"
    );
}

#[test]
fn a_founder_with_a_damaged_row_does_not_found_again() {
    for (place, row) in ROWS.into_iter().enumerate() {
        for (kind, damage) in DAMAGES.into_iter().enumerate() {
            let context = format!("row {place}, damage {kind}");
            let mut world = busy(10 * place as u64 + kind as u64);
            founder_returns(&mut world, |disk| damage(disk, row), &context);
        }
    }
}

#[test]
fn records_without_the_state_that_belongs_to_them_are_not_taken_up() {
    let mut world = busy(50);
    founder_returns(&mut world, |disk| disk.control.clear(), "records alone");
}

#[test]
fn a_member_with_a_damaged_row_neither_votes_nor_leads_until_it_is_filled() {
    for (place, row) in ROWS.into_iter().enumerate() {
        for (kind, damage) in DAMAGES.into_iter().enumerate() {
            let context = format!("row {place}, damage {kind}");
            let mut world = busy(100 + 10 * place as u64 + kind as u64);
            (0..3).for_each(|index| world.power_off(index));
            let missing = world.machines[1]
                .disk
                .records
                .keys()
                .next()
                .unwrap()
                .clone();
            world.machines[1].disk.records.remove(&missing);
            damage(&mut world.machines[1].disk, row);
            let terms = world.terms();
            // With one more member it would be a majority.
            world.start(1, false);
            world.start(2, false);
            world.run(5_000);
            assert_eq!(
                world.terms(),
                terms,
                "{context}: elected by a member that forgot"
            );
            world.start(0, false);
            world.run(5_000);
            assert_eq!(world.read_back(1), Some(5), "{context}");
            assert_eq!(
                world.machines[1].disk.records, world.machines[0].disk.records,
                "{context}"
            );
        }
    }
}

#[test]
fn an_empty_disk_is_a_fresh_one() {
    let mut world = World::new(3, 60);
    (0..3).for_each(|index| world.start(index, true));
    world.run(4_000);
    assert!(world.leader().is_some());
}
