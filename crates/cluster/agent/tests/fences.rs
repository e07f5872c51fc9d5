//! A run that its scheduler has given up never runs: a runner, its agent and a scheduler on a bad network, with
//! lost and late answers, agents that start anew, crashing runners, cuts and elections.

mod common;
mod model;
use model::world::World;

#[test]
fn what_is_given_up_never_runs() {
    let (mut starts, mut over, mut deaths) = (0, 0, 0);
    for seed in 1..=60 {
        let mut world = World::new(seed);
        world.play(120_000);
        starts += world.starts;
        over += world.over();
        deaths += world.deaths_found;
    }
    assert!(deaths > 50, "{deaths} crashed runners found by a look");
    assert!(
        starts > 1_000 && over > 1_000,
        "{starts} starts, {over} given up"
    );
}
