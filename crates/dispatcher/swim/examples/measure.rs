//! Measures detection time, false suspicions and traffic by the number of members. Run it with `cargo run --release -p
//! sagetrail-swim --example measure`. The results are in `docs/members.md`.

#[path = "../tests/network/mod.rs"]
mod network;

use std::time::Instant;

use network::Network;
use sagetrail_swim::MemberState;

fn main() {
    println!("members  loss  first suspects s  first holds dead s  all know s  suspected/member-hour  bytes/s a member  CPU us/s a member");
    for n in [3, 12, 25, 100, 300] {
        for loss in [0.0, 0.05, 0.3] {
            let (mut first_suspected_s, mut first_dead_s, mut all_dead_s) =
                (Vec::new(), Vec::new(), Vec::new());
            let (mut hours, mut false_suspicions, mut bytes, mut cpu_us) = (0.0, 0u64, 0.0, 0.0);
            for seed in 0..(600 / n).clamp(3, 30) as u64 {
                let mut network = Network::new(n, seed);
                if loss > 0.2 {
                    network.delay_s = (0.0, 0.5);
                }
                network.loss = loss;
                network.run(20.0);
                let (bytes_before, suspected_before, started_at) =
                    (network.bytes, network.counters().suspected, Instant::now());
                network.run(20.0);
                bytes += (network.bytes - bytes_before) as f64 / 20.0 / n as f64;
                cpu_us += started_at.elapsed().as_secs_f64() * 1e6 / 20.0 / n as f64;
                false_suspicions += network.counters().suspected - suspected_before;
                hours += 20.0 * n as f64 / 3600.0;
                network.stop(0);
                let stopped_at_s = network.now_s;
                let any_sees =
                    |network: &Network, state| (1..n).any(|by| network.state(0, by) == state);
                network.run_until(stopped_at_s + 200.0, |network| {
                    any_sees(network, MemberState::Suspect) || any_sees(network, MemberState::Dead)
                });
                first_suspected_s.push(network.now_s - stopped_at_s);
                network.run_until(stopped_at_s + 200.0, |network| {
                    any_sees(network, MemberState::Dead)
                });
                first_dead_s.push(network.now_s - stopped_at_s);
                network.run_until(stopped_at_s + 200.0, |network| {
                    network.all_see(0, MemberState::Dead)
                });
                all_dead_s.push(network.now_s - stopped_at_s);
            }
            let runs = all_dead_s.len() as f64;
            let median = |mut times: Vec<f64>| {
                times.sort_unstable_by(f64::total_cmp);
                times[times.len() / 2]
            };
            println!(
                "{n:7}  {loss:4}  {:16.2}  {:18.2}  {:10.2}  {:21.1}  {:16.0}  {:17.0}",
                median(first_suspected_s),
                median(first_dead_s),
                median(all_dead_s),
                false_suspicions as f64 / hours,
                bytes / runs,
                cpu_us / runs
            );
        }
    }
}
