//! Guards against elections that are caused by a processor quota. A process runs at full speed until it has used the
//! quota of a period, and then does not run for the rest of the period. Without other faults this must not cause an
//! election.

mod support;
use rand::Rng;
use support::cluster::Cluster;
use support::requests::config;

const MEMBERS: usize = 5;
const SEEDS: u64 = 10;
/// The quota period of the platform, in milliseconds.
const PERIOD_MS: u64 = 100;
/// The number of periods in a schedule.
const PERIODS: usize = 300;
/// The shortest and the longest time for which a process runs in a period, in milliseconds. The time is short if the
/// process uses the quota all at once, and long if it uses hardly any of it.
const SHORTEST_RUN_MS: u64 = 5;
const LONGEST_RUN_MS: u64 = 60;

/// One period.
struct Period {
    /// The times at which machines stop running, in milliseconds from the start of the period, with the machine.
    pauses: Vec<(u64, usize)>,
}

impl Period {
    /// Returns a period in which every machine runs for a random time and then stands still.
    fn random(cluster: &mut Cluster) -> Period {
        let mut pauses: Vec<(u64, usize)> = (0..MEMBERS)
            .map(|machine| {
                let run_ms = cluster
                    .random
                    .random_range(SHORTEST_RUN_MS..=LONGEST_RUN_MS);
                (run_ms, machine)
            })
            .collect();
        pauses.sort_unstable();
        Period { pauses }
    }

    fn run(self, cluster: &mut Cluster) {
        let mut elapsed_ms = 0;
        for (at_ms, machine) in self.pauses {
            cluster.run(at_ms - elapsed_ms);
            elapsed_ms = at_ms;
            cluster.freeze(machine);
        }
        cluster.run(PERIOD_MS - elapsed_ms);
        (0..MEMBERS).for_each(|machine| cluster.thaw(machine));
    }
}

#[test]
fn a_processor_quota_causes_no_election() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        let terms = cluster.terms();
        for request in 0..PERIODS as u64 {
            let leader = cluster.leader().expect("no leader");
            cluster.submit(leader, request);
            Period::random(&mut cluster).run(&mut cluster);
        }
        cluster.run(1_000);
        assert_eq!(cluster.terms(), terms, "seed {seed}: an election");
        assert_eq!(cluster.acked(), PERIODS, "seed {seed}");
    }
}

#[test]
fn changes_are_acknowledged_under_a_quota() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        for version in 1..=10 {
            let path = "/v1/config/replace";
            let method = sagetrail_protocol::node::Method::Post;
            let body = config(version);
            let number = cluster.http(0, method, path, Some(version - 1), &body);
            for _ in 0..10 {
                Period::random(&mut cluster).run(&mut cluster);
            }
            assert_eq!(
                cluster.status(number),
                200,
                "seed {seed}, version {version}"
            );
        }
    }
}
