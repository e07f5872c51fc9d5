//! Guards against a run that is still active, or starts, after the scheduler has given it up. This could come about
//! when messages are lost or late, agents restart, runners crash, the agent is partitioned from the scheduler, or
//! another scheduler is elected.

mod common;
mod model;

use model::Cluster;

#[test]
fn given_up_runs_never_run() {
    let (mut starts, mut given_up, mut deaths_found) = (0, 0, 0);
    for seed in 1..=60 {
        let mut cluster = Cluster::new(seed);
        cluster.run(120_000);
        starts += cluster.starts;
        given_up += cluster.given_up();
        deaths_found += cluster.deaths_found;
    }
    assert!(
        deaths_found > 50,
        "health checks found {deaths_found} crashed runners"
    );
    assert!(
        starts > 1_000 && given_up > 1_000,
        "{starts} starts, {given_up} given up"
    );
}
