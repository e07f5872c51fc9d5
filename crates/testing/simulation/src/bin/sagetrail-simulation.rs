//! Plays simulated days and prints the rules they break.

use argh::FromArgs;
use sagetrail_simulation::report::Report;
use sagetrail_simulation::scenario::Scenario;

/// Plays simulated days of a cluster and prints the rules that they break.
#[derive(FromArgs)]
struct Arguments {
    /// the first day's seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many days, each with the next seed
    #[argh(option, default = "1")]
    days: u64,
    /// days without fault
    #[argh(switch)]
    calm: bool,
    /// hit by faults days with more work
    #[argh(switch)]
    pressed: bool,
    /// hit by faults days that go on after a loss of all power
    #[argh(switch)]
    recovering: bool,
    /// print a digest of each day: the same day, the same digest
    #[argh(switch)]
    digest: bool,
    /// print all that was seen
    #[argh(switch)]
    history: bool,
    /// print only what was seen of this job, or of this text
    #[argh(option)]
    about: Option<String>,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.days {
        let scenario = scenario(&arguments, seed);
        let report = scenario.run();
        print_history(&arguments, &report);
        print_report(seed, &report);
        if arguments.digest {
            println!("  digest {}", report.digest);
        }
        if !report.violations.is_empty() || !report.codec_faults.is_empty() {
            broken += 1;
        }
    }
    println!("{} days, {broken} with broken rules", arguments.days);
    if broken > 0 {
        std::process::exit(1);
    }
}

fn scenario(arguments: &Arguments, seed: u64) -> Scenario {
    if arguments.calm {
        Scenario::calm(seed)
    } else if arguments.pressed {
        Scenario::pressed(seed)
    } else if arguments.recovering {
        Scenario::recovering(seed)
    } else {
        Scenario::troubled(seed)
    }
}

fn print_history(arguments: &Arguments, report: &Report) {
    for seen in &report.history.observations {
        let line = format!("{:>10.3} {:?}", seen.at as f64 / 1e6, seen.observation);
        let wanted = arguments
            .about
            .as_ref()
            .is_some_and(|about| line.contains(about.as_str()));
        if arguments.history || wanted {
            println!("{line}");
        }
    }
}

fn print_report(seed: u64, report: &Report) {
    println!(
        "seed {seed}: {} submitted, {} accepted, {} completed, {} failed, {} cancelled, {} starts, first start p50 {} ms p99 {} ms, {} messages of {} bytes",
        report.submitted,
        report.accepted,
        report.completed,
        report.failed,
        report.cancelled,
        report.starts,
        report.start_p50_ms,
        report.start_p99_ms,
        report.messages,
        report.message_bytes
    );
    for job in named_jobs(report) {
        println!("  {job:?}");
    }
    for violation in &report.violations {
        println!("  {violation}");
    }
    for fault in &report.codec_faults {
        println!("  codec: {fault}");
    }
}

/// The jobs that violations name.
fn named_jobs(report: &Report) -> Vec<&sagetrail_simulation::job::JobDefinition> {
    let named = |id: &String| {
        report
            .violations
            .iter()
            .any(|violation| violation.detail.contains(id.as_str()))
    };
    report
        .history
        .jobs
        .jobs
        .values()
        .filter(|job| named(&job.id))
        .collect()
}
