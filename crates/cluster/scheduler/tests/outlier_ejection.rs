//! Runners judged by what becomes of work there.

mod test_cluster;
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::NodeId;
use test_cluster::{config, node, World};

/// Submits jobs of one task each.
fn submit_jobs(world: &mut World, ids: std::ops::Range<u64>) {
    for id in ids {
        world.submit(
            &format!("{id:016x}"),
            r#"{"stages":[{"count":1,"cpu":900}]}"#,
        );
    }
    world.commit();
    world.obey_all();
}

/// Ends all runs: those at `bad` fail, the others end well.
fn end_with_failures_at(world: &mut World, bad: &[NodeId]) {
    for (at, task, _) in world.running() {
        let end = if bad.contains(&at) {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        world
            .runners
            .get_mut(&at)
            .expect("a runner")
            .end(&task, end);
    }
    world.report_all();
}

fn running_at(world: &World, at: NodeId) -> usize {
    world
        .running()
        .iter()
        .filter(|(node, _, _)| *node == at)
        .count()
}

#[test]
fn a_runner_that_fails_what_others_do_rests_and_is_tried_with_one_run() {
    let mut world = World::with_config(4, config(1, 9, 1));
    submit_jobs(&mut world, 0..16);
    assert_eq!(running_at(&world, node(1)), 4);
    end_with_failures_at(&mut world, &[node(1)]);
    world.obey_all();
    submit_jobs(&mut world, 100..116);
    assert_eq!(running_at(&world, node(1)), 0);
    for _ in 0..11 {
        world.pass_ms(100);
        world.report_all();
    }
    world.obey_all();
    assert_eq!(running_at(&world, node(1)), 1);
}

#[test]
fn many_failures_of_one_job_blame_no_runner() {
    let mut world = World::with_config(4, config(1, 9, 1));
    world.submit("00000000000000aa", r#"{"stages":[{"count":16,"cpu":900}]}"#);
    world.commit();
    world.obey_all();
    end_with_failures_at(&mut world, &[node(1)]);
    world.obey_all();
    submit_jobs(&mut world, 100..116);
    assert!(running_at(&world, node(1)) > 1);
}

#[test]
fn where_many_fail_none_is_shut_out() {
    let mut world = World::with_config(4, config(1, 9, 1));
    submit_jobs(&mut world, 0..16);
    end_with_failures_at(&mut world, &[node(0), node(1), node(2)]);
    submit_jobs(&mut world, 100..132);
    world.pass_ms(100);
    world.commit();
    world.obey_all();
    assert_eq!(world.running().len(), 16);
}
