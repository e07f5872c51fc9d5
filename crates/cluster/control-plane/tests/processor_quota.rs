//! A share of a core given as a quota: a process runs at full speed until the quota of a period is spent, and then stands
//! still for the rest of it. On a quiet day no election may come of that.

mod support;
use rand::Rng;
use support::cluster::Cluster;
use support::requests::config;

const MEMBERS: usize = 5;
const SEEDS: u64 = 10;
/// The platform's period, in milliseconds.
const PERIOD_MS: u64 = 100;
const PERIODS: usize = 300;
/// What is left of a period where a process uses hardly anything, and where it spends all at once, in milliseconds.
const SHORTEST_RUN_MS: u64 = 5;
const LONGEST_RUN_MS: u64 = 60;

/// The moments of one period at which something changes, in milliseconds from its start, with the machine concerned.
struct Period {
    pauses: Vec<(u64, usize)>,
}

impl Period {
    /// Every machine runs for a while and stands still until the period ends.
    fn draw(cluster: &mut Cluster) -> Period {
        let mut pauses: Vec<(u64, usize)> = (0..MEMBERS)
            .map(|machine| {
                let runs_ms = cluster
                    .random
                    .random_range(SHORTEST_RUN_MS..=LONGEST_RUN_MS);
                (runs_ms, machine)
            })
            .collect();
        pauses.sort_unstable();
        Period { pauses }
    }

    fn play(self, cluster: &mut Cluster) {
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
fn a_quiet_day_under_a_quota_has_no_election() {
    for seed in 1..=SEEDS {
        let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
        let terms = cluster.terms();
        for request in 0..PERIODS as u64 {
            let leader = cluster.leader().expect("a leader");
            cluster.submit(leader, request);
            Period::draw(&mut cluster).play(&mut cluster);
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
                Period::draw(&mut cluster).play(&mut cluster);
            }
            assert_eq!(
                cluster.status(number),
                200,
                "seed {seed}, version {version}"
            );
        }
    }
}
