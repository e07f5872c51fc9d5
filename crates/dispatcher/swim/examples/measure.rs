//! Detection time, false suspicions and traffic by the number of members: `cargo run --release -p
//! sagetrail-members --example measure`. The figures are in `docs/members.md`.

#[path = "../tests/sim/mod.rs"]
mod sim;
use sagetrail_swim::MemberState;
use sim::Net;
use std::time::Instant;

fn main() {
    println!("members  loss  first suspects s  first holds dead s  all know s  suspected/member-hour  bytes/s a member  CPU us/s a member");
    for n in [3, 12, 25, 100, 300] {
        for loss in [0.0, 0.05, 0.3] {
            let (mut suspects, mut first, mut all) = (Vec::new(), Vec::new(), Vec::new());
            let (mut hours, mut wrong, mut bytes, mut cpu) = (0.0, 0u64, 0.0, 0.0);
            for seed in 0..(600 / n).clamp(3, 30) as u64 {
                let mut net = Net::new(n, seed);
                if loss > 0.2 {
                    net.delay_s = (0.0, 0.5);
                }
                net.loss = loss;
                net.run(20.0);
                let (before, had, started) = (net.bytes, net.tally().suspected, Instant::now());
                net.run(20.0);
                bytes += (net.bytes - before) as f64 / 20.0 / n as f64;
                cpu += started.elapsed().as_secs_f64() * 1e6 / 20.0 / n as f64;
                wrong += net.tally().suspected - had;
                hours += 20.0 * n as f64 / 3600.0;
                net.kill(0);
                let died = net.now;
                let says = |net: &Net, life| (1..n).any(|by| net.life(0, by) == life);
                net.until(died + 200.0, |net| {
                    says(net, MemberState::Suspect) || says(net, MemberState::Dead)
                });
                suspects.push(net.now - died);
                net.until(died + 200.0, |net| says(net, MemberState::Dead));
                first.push(net.now - died);
                net.until(died + 200.0, |net| net.all_say(0, MemberState::Dead));
                all.push(net.now - died);
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
