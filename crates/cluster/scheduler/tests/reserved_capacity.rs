//! Capacity reserved for urgent work: it is left free, and never keeps out lesser work that could run.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{node, TestCluster};

const URGENT: &str = "00000000000000aa";
const LESSER: &str = "00000000000000bb";
/// As many tasks as all runners can take, and again.
const MANY: &str = r#"{"stages":[{"count":40,"cpu":1000,"constraints":"b"}]}"#;

fn urgent(cluster: &mut TestCluster, body: &str) {
    cluster.request(ClientMethod::Submit, &format!("/urgent/{URGENT}"), body);
    cluster.commit();
}

#[test]
fn draining_runners_do_not_count_for_reserved_capacity() {
    let mut cluster = TestCluster::new(4);
    (1..4).for_each(|number| cluster.runners.get_mut(&node(number)).unwrap().draining = true);
    cluster.report_all();
    urgent(&mut cluster, &MANY.replace(r#","constraints":"b""#, ""));
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
    cluster.request(ClientMethod::Cancel, &format!("/urgent/{URGENT}"), "");
    cluster.commit();
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
    cluster.submit(LESSER, r#"{"stages":[{"count":1,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
}

#[test]
fn work_that_can_run_nowhere_reserves_no_capacity() {
    let mut cluster = TestCluster::new(1);
    urgent(&mut cluster, MANY);
    cluster.submit(LESSER, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
}

#[test]
fn lesser_work_leaves_the_capacity_that_urgent_work_lately_needed() {
    let mut cluster = TestCluster::new(2);
    let urgent = format!("/urgent/{URGENT}");
    cluster.request(
        ClientMethod::Submit,
        &urgent,
        r#"{"stages":[{"count":2,"cpu":1000}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    cluster.advance_ms(100);
    cluster.end_all_runs(RunEnd::Done);
    cluster.advance_ms(100);
    cluster.submit(LESSER, r#"{"stages":[{"count":8,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 6);
}
