//! Room kept for urgent work never shuts out lesser work that could run.

mod test_cluster;
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
fn runners_that_leave_do_not_count_for_what_is_kept() {
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
fn work_that_can_run_nowhere_keeps_no_room() {
    let mut cluster = TestCluster::new(1);
    urgent(&mut cluster, MANY);
    cluster.submit(LESSER, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
}
