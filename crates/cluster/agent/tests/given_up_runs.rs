//! A run that the scheduler has given up never runs: a runner, its agent and a scheduler on a bad network, with lost and
//! late answers, agents that restart, runners that crash, partitions and elections.

mod common;
mod model;

use model::Cluster;

#[test]
fn given_up_runs_never_run() {
    let (mut starts, mut given_up, mut deaths) = (0, 0, 0);
    for seed in 1..=60 {
        let mut cluster = Cluster::new(seed);
        cluster.run(120_000);
        starts += cluster.starts;
        given_up += cluster.given_up();
        deaths += cluster.deaths_found;
    }
    assert!(
        deaths > 50,
        "{deaths} crashed runners found by a health check"
    );
    assert!(
        starts > 1_000 && given_up > 1_000,
        "{starts} starts, {given_up} given up"
    );
}
