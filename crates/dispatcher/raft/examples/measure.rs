//! Measures times on a simulated network with a one-way delay of 0.5 to 3.5 ms and syncs of 1 ms. Prints the median and
//! the worst of 200 seeds, or of 20 seeds with more than 5 members. Run it by
//! `cargo run --release -p sagetrail-raft --example measure`.

#[allow(dead_code)]
#[path = "../tests/simulated_cluster/mod.rs"]
mod simulated_cluster;

use simulated_cluster::{Defect, SimulatedCluster};

fn median_and_worst(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    format!(
        "{:.3} (worst {:.3})",
        values[values.len() / 2],
        values[values.len() - 1]
    )
}

fn run_until(
    cluster: &mut SimulatedCluster,
    limit_s: f64,
    done: impl Fn(&SimulatedCluster) -> bool,
) -> f64 {
    let start_s = cluster.now_s;
    while !done(cluster) && cluster.now_s < start_s + limit_s {
        let step_end_s = cluster.now_s + 0.002;
        cluster.run_until(step_end_s);
    }
    cluster.now_s - start_s
}

fn main() {
    println!("members voters  bootstrapped  new leader  command at all  recovered from a lost disk, 2,000 entries  messages/s each");
    for (members, voters) in [(3, 3), (5, 5), (12, 3), (25, 5)] {
        let (
            mut bootstrap_s,
            mut election_s,
            mut replication_s,
            mut recovery_s,
            mut idle_message_rates,
        ) = (vec![], vec![], vec![], vec![], vec![]);
        for seed in 0..if members > 5 { 20 } else { 200 } {
            let mut cluster = SimulatedCluster::new(members, voters, seed, Defect::None);
            bootstrap_s.push(run_until(&mut cluster, 10.0, |cluster| {
                cluster.leader().is_some() && cluster.highest_committed() >= 2
            }));
            let end_s = cluster.now_s + 1.0;
            cluster.run_until(end_s);
            let Some(leader) = cluster.leader() else {
                continue;
            };
            let sent_before = cluster.sent_messages;
            let end_s = cluster.now_s + 5.0;
            cluster.run_until(end_s);
            idle_message_rates
                .push((cluster.sent_messages - sent_before) as f64 / 5.0 / members as f64);
            let committed = cluster.highest_committed();
            cluster.propose(leader);
            let all = move |cluster: &SimulatedCluster| {
                (0..cluster.members.len()).all(|node| cluster.applied_index(node) > committed)
            };
            replication_s.push(run_until(&mut cluster, 5.0, all));
            for _ in 0..2_000 {
                cluster.propose(leader);
                let end_s = cluster.now_s + 0.0005;
                cluster.run_until(end_s);
            }
            let end_s = cluster.now_s + 3.0;
            cluster.run_until(end_s);
            cluster.kill(leader);
            election_s.push(run_until(&mut cluster, 20.0, |cluster| {
                cluster.leader().is_some()
            }));
            cluster.restart(leader);
            let end_s = cluster.now_s + 3.0;
            cluster.run_until(end_s);
            let Some(leader) = cluster.leader() else {
                continue;
            };
            let replaced_node = (0..voters).find(|node| *node != leader).unwrap_or(0);
            cluster.kill(replaced_node);
            cluster.replace_disk(replaced_node);
            cluster.restart(replaced_node);
            let committed = cluster.highest_committed();
            let has_caught_up =
                move |cluster: &SimulatedCluster| cluster.applied_index(replaced_node) >= committed;
            recovery_s.push(run_until(&mut cluster, 60.0, has_caught_up));
        }
        println!(
            "{members:>7} {voters:>6}  {}  {}  {}  {}  {}",
            median_and_worst(bootstrap_s),
            median_and_worst(election_s),
            median_and_worst(replication_s),
            median_and_worst(recovery_s),
            median_and_worst(idle_message_rates)
        );
    }
}
