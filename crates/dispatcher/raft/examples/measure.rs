//! `cargo run --release -p sagetrail-raft --example measure`: times on a simulated network (0.5 to 3.5 ms a way, a
//! sync of 1 ms), medians and worst of 200 seeds.

#[allow(dead_code)]
#[path = "../tests/simulated_cluster/mod.rs"]
mod simulated_cluster;

use simulated_cluster::{Defect, SimulatedCluster};

fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    format!(
        "{:.3} (worst {:.3})",
        all[all.len() / 2],
        all[all.len() - 1]
    )
}

fn run_until(
    cluster: &mut SimulatedCluster,
    most_s: f64,
    done: impl Fn(&SimulatedCluster) -> bool,
) -> f64 {
    let began = cluster.now;
    while !done(cluster) && cluster.now < began + most_s {
        let next = cluster.now + 0.002;
        cluster.run_until(next);
    }
    cluster.now - began
}

fn main() {
    println!("members voters  bootstrapped  new leader  command at all  recovered from a lost disk, 2,000 entries  messages/s each");
    for (members, voters) in [(3, 3), (5, 5), (12, 3), (25, 5)] {
        let (mut founded, mut led, mut told, mut back, mut idle) =
            (vec![], vec![], vec![], vec![], vec![]);
        for seed in 0..if members > 5 { 20 } else { 200 } {
            let mut cluster = SimulatedCluster::new(members, voters, seed, Defect::None);
            founded.push(run_until(&mut cluster, 10.0, |cluster| {
                cluster.leader().is_some() && cluster.highest_committed() >= 2
            }));
            let end = cluster.now + 1.0;
            cluster.run_until(end);
            let Some(leader) = cluster.leader() else {
                continue;
            };
            let before = cluster.messages_sent;
            let end = cluster.now + 5.0;
            cluster.run_until(end);
            idle.push((cluster.messages_sent - before) as f64 / 5.0 / members as f64);
            let most = cluster.highest_committed();
            cluster.propose(leader);
            let all = move |cluster: &SimulatedCluster| {
                (0..cluster.members.len()).all(|node| cluster.applied_index(node) > most)
            };
            told.push(run_until(&mut cluster, 5.0, all));
            for _ in 0..2_000 {
                cluster.propose(leader);
                let end = cluster.now + 0.0005;
                cluster.run_until(end);
            }
            let end = cluster.now + 3.0;
            cluster.run_until(end);
            cluster.kill(leader);
            led.push(run_until(&mut cluster, 20.0, |cluster| {
                cluster.leader().is_some()
            }));
            cluster.restart(leader);
            let end = cluster.now + 3.0;
            cluster.run_until(end);
            let Some(leader) = cluster.leader() else {
                continue;
            };
            let lost = (0..voters).find(|node| *node != leader).unwrap_or(0);
            cluster.kill(lost);
            cluster.replace_disk(lost);
            cluster.restart(lost);
            let most = cluster.highest_committed();
            let there = move |cluster: &SimulatedCluster| cluster.applied_index(lost) >= most;
            back.push(run_until(&mut cluster, 60.0, there));
        }
        println!(
            "{members:>7} {voters:>6}  {}  {}  {}  {}  {}",
            spread(founded),
            spread(led),
            spread(told),
            spread(back),
            spread(idle)
        );
    }
}
