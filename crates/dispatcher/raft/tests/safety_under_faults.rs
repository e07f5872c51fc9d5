//! What is agreed stays agreed under loss, doubles, reordering, cuts, pauses, crashes, lost and old disks.

mod sim;

use rand::Rng;
use sim::{Broken, World};

/// One day with faults by the seed; then all is well for a while, and everybody must have the same.
fn day(seed: u64, broken: Broken) -> World {
    let members = 3 + (seed % 4) as usize;
    let voters = if members >= 5 && seed.is_multiple_of(3) {
        5
    } else {
        3
    };
    let mut world = World::new(members, voters, seed, broken);
    world.until(1.5);
    world.loss = [0.0, 0.05, 0.3][(seed / 2 % 3) as usize];
    world.jitter_s = [0.003, 0.05, 0.3][(seed / 5 % 3) as usize];
    let wanted: Vec<usize> = (0..voters).collect();
    // At most as many disks are hurt at once as a majority can do without: one, and healed before the next.
    let mut hurt: Option<usize> = None;
    let mut down: Option<(usize, f64)> = None;
    for step in 0..60 {
        let at = world.now + 0.1;
        let any = world.chance.random_range(0..members);
        if let Some(n) = hurt.filter(|n| world.votes(*n) && world.given_to(*n) + 2 >= world.most())
        {
            let _ = n;
            hurt = None;
        }
        match world.chance.random_range(0..24) {
            0 if down.is_none() => {
                world.kill(any);
                down = Some((any, at + world.chance.random::<f64>()));
            }
            1 if down.is_none() && hurt.is_none() && any < voters => {
                world.kill(any);
                world.lose_disk(any);
                (hurt, down) = (Some(any), Some((any, at + 0.3)));
            }
            2 if down.is_none() && hurt.is_none() && any < voters => {
                world.kill(any);
                world.give_old(any);
                (hurt, down) = (Some(any), Some((any, at + 0.3)));
            }
            3 => {
                let for_s = 2.0 * world.chance.random::<f64>();
                world.pause(any, for_s);
            }
            4 => {
                let other = world.chance.random_range(0..members);
                world.cuts.push((any, other));
            }
            5 => {
                let others: Vec<(usize, usize)> = (0..members)
                    .flat_map(|other| [(any, other), (other, any)])
                    .collect();
                world.cuts = others;
            }
            6 | 7 => world.cuts.clear(),
            8 => world.slow_disk(any, 0.2),
            9 => world.slow_disk(any, 0.001),
            10 => world.keep_copy(any),
            12 if down.is_none() => {
                world.fail_disk(any);
                down = Some((any, at + 2.0 * world.chance.random::<f64>()));
            }
            11 if down.is_none() => {
                // Power lost at all at once.
                (0..members).for_each(|n| world.kill(n));
                (0..members).for_each(|n| world.restart(n));
            }
            _ => {}
        }
        if let Some((n, until)) = down.filter(|(_, until)| world.now >= *until) {
            let _ = until;
            world.kill(n);
            world.restart(n);
            down = None;
        }
        for n in 0..members {
            world.propose(n);
            if (step + n) % 3 == 0 {
                world.read(n);
            }
            if step % 2 == 0 {
                world.towards(n, &wanted);
            }
        }
        world.until(at);
    }
    // The cause ends.
    (world.loss, world.jitter_s) = (0.0, 0.003);
    world.cuts.clear();
    if let Some((n, _)) = down {
        world.kill(n);
    }
    for n in 0..members {
        world.pause(n, 0.0);
        world.slow_disk(n, 0.001);
        if !world.up(n) {
            world.restart(n);
        }
    }
    for _ in 0..60 {
        let at = world.now + 0.1;
        for n in 0..members {
            world.towards(n, &wanted);
        }
        world.until(at);
    }
    for n in 0..members {
        world.propose(n);
    }
    let end = world.now + 1.0;
    world.until(end);
    if world.leader().is_none() {
        world
            .faults
            .push("nobody leads when all is well again".to_string());
    }
    for n in 0..members {
        if world.given_to(n) < world.most() {
            world
                .faults
                .push(format!("{n} has {} of {}", world.given_to(n), world.most()));
        }
        if n < voters && !world.votes(n) {
            world
                .faults
                .push(format!("{n} does not vote when all is well again"));
        }
    }
    world
}

fn schedules() -> u64 {
    std::env::var("SCHEDULES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(10_000)
}

#[test]
fn what_is_agreed_is_never_lost_in_thousands_of_schedules() {
    let threads = std::thread::available_parallelism()
        .map_or(4, |n| n.get() as u64)
        .min(6);
    let each: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || {
                let (mut reads, mut most) = (0, 0);
                for seed in (0..schedules()).filter(|seed| seed % threads == thread) {
                    let world = day(seed, Broken::No);
                    assert!(
                        world.faults.is_empty(),
                        "seed {seed}: {:?}",
                        &world.faults[..world.faults.len().min(4)]
                    );
                    reads += world.reads_done;
                    most += world.most();
                }
                (reads, most)
            })
        })
        .collect();
    let (reads, most) = each
        .into_iter()
        .map(|t| t.join().unwrap())
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    println!(
        "{} schedules, {most} entries agreed, {reads} reads",
        schedules()
    );
    assert!(
        reads as u64 > schedules() && most > 20 * schedules(),
        "nothing was agreed or read"
    );
}

#[test]
fn broken_variants_are_caught_on_the_same_schedules() {
    let all = [
        Broken::PromisesFirst,
        Broken::SameName,
        Broken::TrustsOldCopies,
        Broken::SyncLies,
        Broken::ReadsUnasked,
        Broken::ShortSnapshot,
        Broken::ForgetsCuts,
    ];
    let each = all.map(|broken| {
        (
            broken,
            std::thread::spawn(move || {
                (0..6_000).find(|seed| !day(*seed, broken).faults.is_empty())
            }),
        )
    });
    for (broken, thread) in each {
        let caught = thread.join().unwrap_or(Some(0));
        println!("{broken:?}: at seed {caught:?}");
        assert!(caught.is_some(), "{broken:?} is not caught");
    }
}
