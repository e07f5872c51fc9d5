//! `cargo run --release -p sagetrail-raft --example measure`: times on a simulated network (0.5 to 3.5 ms a way, a
//! sync of 1 ms), medians and worst of 200 seeds.

#[allow(dead_code)]
#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{Broken, World};

fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    format!(
        "{:.3} (worst {:.3})",
        all[all.len() / 2],
        all[all.len() - 1]
    )
}

fn until(world: &mut World, most_s: f64, done: impl Fn(&World) -> bool) -> f64 {
    let began = world.now;
    while !done(world) && world.now < began + most_s {
        let next = world.now + 0.002;
        world.until(next);
    }
    world.now - began
}

fn main() {
    println!("members voters  founded  new leader  word to all  back after a lost disk, 2,000 entries  letters/s each");
    for (members, voters) in [(3, 3), (5, 5), (12, 3), (25, 5)] {
        let (mut founded, mut led, mut told, mut back, mut idle) =
            (vec![], vec![], vec![], vec![], vec![]);
        for seed in 0..if members > 5 { 20 } else { 200 } {
            let mut world = World::new(members, voters, seed, Broken::No);
            founded.push(until(&mut world, 10.0, |world| {
                world.leader().is_some() && world.most() >= 2
            }));
            let end = world.now + 1.0;
            world.until(end);
            let Some(leader) = world.leader() else {
                continue;
            };
            let before = world.letters;
            let end = world.now + 5.0;
            world.until(end);
            idle.push((world.letters - before) as f64 / 5.0 / members as f64);
            let most = world.most();
            world.propose(leader);
            let all =
                move |world: &World| (0..world.members.len()).all(|n| world.given_to(n) > most);
            told.push(until(&mut world, 5.0, all));
            for _ in 0..2_000 {
                world.propose(leader);
                let end = world.now + 0.0005;
                world.until(end);
            }
            let end = world.now + 3.0;
            world.until(end);
            world.kill(leader);
            led.push(until(&mut world, 20.0, |world| world.leader().is_some()));
            world.restart(leader);
            let end = world.now + 3.0;
            world.until(end);
            let Some(leader) = world.leader() else {
                continue;
            };
            let lost = (0..voters).find(|n| *n != leader).unwrap_or(0);
            world.kill(lost);
            world.lose_disk(lost);
            world.restart(lost);
            let most = world.most();
            let there = move |world: &World| world.given_to(lost) >= most;
            back.push(until(&mut world, 60.0, there));
        }
        println!(
            "{members:>7} {voters:>6}  {}  {}  {}  {}  {}",
            spread(founded),
            spread(led),
            spread(told),
            spread(back),
            spread(idle)
        );
    }
}
