//! Guards against small tasks spread over all runners, which would leave no whole runner free for large tasks and
//! gangs.

mod test_cluster;

use test_cluster::TestCluster;

const GANG_JOB: &str = "00000000000000aa";

#[test]
fn small_tasks_leave_whole_runners_free_for_large_tasks() {
    let mut cluster = TestCluster::new(4);
    for number in 0..4u64 {
        cluster.submit(
            &format!("{number:016x}"),
            r#"{"stages":[{"count":1,"cpu":1000}]}"#,
        );
        cluster.commit();
        cluster.execute_commands();
    }
    let first = cluster.running()[0].node;
    assert!(cluster.running().iter().all(|run| run.node == first));
    cluster.submit(
        GANG_JOB,
        r#"{"stages":[{"count":3,"cpu":4000,"gang":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    let running = cluster.running();
    let members = running.iter().filter(|run| run.task.starts_with(GANG_JOB));
    assert_eq!(members.count(), 3);
}
