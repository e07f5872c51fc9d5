//! Detection time, false suspicions and traffic by the number of members: `cargo run --release -p
//! sagetrail-swim --example measure`. The figures are in `docs/members.md`.

#[path = "../tests/network/mod.rs"]
mod network;

use std::time::Instant;

use network::Network;
use sagetrail_swim::MemberState;

fn main() {
    println!("members  loss  first suspects s  first holds dead s  all know s  suspected/member-hour  bytes/s a member  CPU us/s a member");
    for n in [3, 12, 25, 100, 300] {
        for loss in [0.0, 0.05, 0.3] {
            let (mut suspects, mut first, mut all) = (Vec::new(), Vec::new(), Vec::new());
            let (mut hours, mut wrong, mut bytes, mut cpu) = (0.0, 0u64, 0.0, 0.0);
            for seed in 0..(600 / n).clamp(3, 30) as u64 {
                let mut network = Network::new(n, seed);
                if loss > 0.2 {
                    network.delay_s = (0.0, 0.5);
                }
                network.loss = loss;
                network.run(20.0);
                let (before, had, started) =
                    (network.bytes, network.counters().suspected, Instant::now());
                network.run(20.0);
                bytes += (network.bytes - before) as f64 / 20.0 / n as f64;
                cpu += started.elapsed().as_secs_f64() * 1e6 / 20.0 / n as f64;
                wrong += network.counters().suspected - had;
                hours += 20.0 * n as f64 / 3600.0;
                network.stop(0);
                let died = network.now;
                let says =
                    |network: &Network, state| (1..n).any(|by| network.state(0, by) == state);
                network.run_until(died + 200.0, |network| {
                    says(network, MemberState::Suspect) || says(network, MemberState::Dead)
                });
                suspects.push(network.now - died);
                network.run_until(died + 200.0, |network| says(network, MemberState::Dead));
                first.push(network.now - died);
                network.run_until(died + 200.0, |network| {
                    network.all_hold(0, MemberState::Dead)
                });
                all.push(network.now - died);
            }
            let runs = all.len() as f64;
            let median = |mut times: Vec<f64>| {
                times.sort_unstable_by(f64::total_cmp);
                times[times.len() / 2]
            };
            println!(
                "{n:7}  {loss:4}  {:16.2}  {:18.2}  {:10.2}  {:21.1}  {:16.0}  {:17.0}",
                median(suspects),
                median(first),
                median(all),
                wrong as f64 / hours,
                bytes / runs,
                cpu / runs
            );
        }
    }
}
