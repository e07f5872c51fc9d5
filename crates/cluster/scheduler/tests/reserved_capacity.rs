//! Room kept for urgent work never shuts out lesser work that could run.

mod test_cluster;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{node, World};

const URGENT: &str = "00000000000000aa";
const LESSER: &str = "00000000000000bb";
/// As many tasks as all runners can take, and again.
const MANY: &str = r#"{"stages":[{"count":40,"cpu":1000,"constraints":"b"}]}"#;

fn urgent(world: &mut World, body: &str) {
    world.request(ClientMethod::Submit, &format!("/urgent/{URGENT}"), body);
    world.commit();
}

#[test]
fn runners_that_leave_do_not_count_for_what_is_kept() {
    let mut world = World::new(4);
    (1..4).for_each(|number| world.runners.get_mut(&node(number)).unwrap().draining = true);
    world.report_all();
    urgent(&mut world, &MANY.replace(r#","constraints":"b""#, ""));
    world.obey_all();
    assert_eq!(world.running().len(), 4);
    world.request(ClientMethod::Cancel, &format!("/urgent/{URGENT}"), "");
    world.commit();
    world.obey_all();
    assert!(world.running().is_empty());
    world.submit(LESSER, r#"{"stages":[{"count":1,"cpu":1000}]}"#);
    world.commit();
    world.obey_all();
    assert_eq!(world.running().len(), 1);
}

#[test]
fn work_that_can_run_nowhere_keeps_no_room() {
    let mut world = World::new(1);
    urgent(&mut world, MANY);
    world.submit(LESSER, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    world.commit();
    world.obey_all();
    assert_eq!(world.running().len(), 4);
}
