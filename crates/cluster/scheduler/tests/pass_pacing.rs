//! What changes with the number of runners, and what does not.

mod test_cluster;
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::service::Service;
use test_cluster::{node, World};

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";
const ONE_TASK: &str = r#"{"stages":[{"count":1,"cpu":500}]}"#;
/// More than passes follow each event with.
const MANY: u32 = 400;

fn started(world: &World) -> usize {
    world.orders.values().map(|orders| orders.start.len()).sum()
}

#[test]
fn with_few_runners_each_job_is_placed_at_once() {
    let mut world = World::new(4);
    for job in [A, B] {
        world.submit(job, ONE_TASK);
        world.commit();
    }
    assert_eq!(started(&world), 2);
}

#[test]
fn with_many_runners_what_comes_soon_after_a_pass_waits_for_the_next() {
    let mut world = World::new(MANY);
    world.pass_ms(50);
    world.submit(A, ONE_TASK);
    world.commit();
    world.submit(B, ONE_TASK);
    world.commit();
    assert_eq!(started(&world), 1);
    let due = world.scheduler.next_wake().expect("a pass is due");
    assert!(due > world.now.steady);
    assert!(due.millis_since(world.now.steady) < 10, "and soon");
    world.pass_ms(due.millis_since(world.now.steady) + 1);
    world.commit();
    assert_eq!(started(&world), 2);
}

#[test]
fn with_many_runners_an_idle_queue_asks_for_no_pass() {
    let mut world = World::new(MANY);
    world.pass_ms(200);
    world.pass_ms(5);
    world.submit(A, ONE_TASK);
    world.commit();
    assert_eq!(started(&world), 1);
    let due = world.scheduler.next_wake().expect("the timer");
    assert!(
        due.millis_since(world.now.steady) >= 50,
        "nothing is held, so the timer alone is due"
    );
}

#[test]
fn an_end_is_observed_at_its_runner_once_its_batch_is_kept_and_nowhere_else() {
    let mut world = World::new(4);
    world.submit(A, ONE_TASK);
    world.commit();
    world.obey_all();
    let (at, task, _) = world.running()[0].clone();
    world
        .runners
        .get_mut(&at)
        .expect("it runs there")
        .end(&task, RunEnd::Done);
    world.report(at);
    assert_eq!(world.orders[&at].observed, 0);
    world.commit();
    assert_eq!(world.orders[&at].observed, 1);
    let others = (0..4).map(node).filter(|other| *other != at);
    assert!(others
        .into_iter()
        .all(|other| world.orders[&other].observed == 0));
}
