//! Thirty dispatchers together at runners that have just started, judged by the sum of what reaches those.

#[allow(dead_code)] // Other stories use more of it.
mod fake;
use fake::*;
use sagetrail_policy::*;
use std::collections::{BTreeMap, VecDeque};

const IDEMPOTENT: usize = 0;

const FLEET: usize = 30;
/// Runners are replaced from here on, when all have learnt how long work takes.
const RELEASE_S: f64 = 120.0;
const END_S: f64 = 132.0;
const TICK_S: f64 = 0.01;

struct Days {
    seed: u64,
    slots: usize,
    /// What one work item is in the mean, in seconds of a slot.
    mean_s: f64,
    /// How much of what all runners can do is asked for, and how many of these are replaced.
    load: f64,
    replaced: usize,
    /// Dispatchers that start anew during the release.
    restarts: bool,
}

/// Chance, the same for a seed (xorshift).
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// One job at a runner: whose, which, its attempt, its size.
type Sent = (usize, WorkItem, u16, f64);

#[derive(Default)]
struct Machine {
    started_at_s: Option<f64>,
    runs: Vec<(f64, Sent)>,
    waits: VecDeque<Sent>,
    /// When something came, while it was cold.
    sent: Vec<f64>,
}

struct Member {
    dispatcher: Dispatcher,
    host: RecordingHost,
    attempts: BTreeMap<u32, u16>,
    sizes: BTreeMap<u32, f64>,
    /// When it hears of each start.
    hears: Vec<(f64, usize)>,
}

fn fleet_terms(me: usize) -> PolicyConfig {
    PolicyConfig {
        dispatcher_count: FLEET,
        dispatcher_index: me,
        slow_start_fraction: 0.12,
        warm_up_s: 24.0,
        reports_acceptance: true,
        ..default_config()
    }
}

fn warmth(age: f64, config: &PolicyConfig) -> f64 {
    config.slow_start_fraction
        + (1.0 - config.slow_start_fraction) * (age / config.warm_up_s).clamp(0.0, 1.0)
}

/// The most that any cold runner got within the rule's span, beside its budget N and 2 x root of N + 2 for chance, and beside
/// N alone.
fn play(days: &Days) -> (f64, f64) {
    const RUNNERS: usize = 12;
    let mut pcg = Chance(days.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let config = fleet_terms(0);
    let listed = |runner: usize, started_at_s: f64| {
        (
            runner,
            Some(ListedRunner {
                started_at_s,
                ..listed_runner(runner as u64)
            }),
        )
    };
    let fresh = |me: usize, now: f64, seed: u64, machines: &[Machine]| {
        let mut dispatcher = Dispatcher::new(fleet_terms(me), seed, now);
        dispatcher.begin_without_history(now);
        let started_at_s = |m: &Machine| m.started_at_s.unwrap_or(f64::NEG_INFINITY);
        let all: Vec<_> = machines
            .iter()
            .enumerate()
            .map(|(runner, m)| listed(runner, started_at_s(m)))
            .collect();
        dispatcher.update_list(now, ListUpdate::Full, &all);
        let host = RecordingHost {
            now,
            ..RecordingHost::default()
        };
        Member {
            dispatcher,
            host,
            attempts: BTreeMap::new(),
            sizes: BTreeMap::new(),
            hears: Vec::new(),
        }
    };
    let mut machines: Vec<Machine> = (0..RUNNERS).map(|_| Machine::default()).collect();
    let mut members: Vec<Member> = (0..FLEET)
        .map(|me| fresh(me, 100.0, days.seed * 100 + me as u64, &machines))
        .collect();
    let mut starts: Vec<(f64, usize)> = (0..days.replaced)
        .map(|runner| (RELEASE_S + 3.0 * pcg.next(), runner))
        .collect();
    let mut restarts: Vec<(f64, usize)> = (0..FLEET)
        .filter(|me| days.restarts && me % 10 < 7)
        .map(|me| (RELEASE_S + 4.5 + 0.1 * pcg.next(), me))
        .collect();
    let rate = days.load * (RUNNERS * days.slots) as f64 / days.mean_s;
    let (mut now, mut worst, mut used) = (100.0, 0.0f64, 0.0f64);
    while now < END_S {
        now += TICK_S;
        for (_, runner) in starts.extract_if(.., |(at, _)| *at <= now) {
            machines[runner] = Machine {
                started_at_s: Some(now),
                ..Machine::default()
            };
            // Lists come late, to each at another time.
            members
                .iter_mut()
                .for_each(|m| m.hears.push((now + 2.0 * pcg.next(), runner)));
        }
        for (_, me) in restarts.extract_if(.., |(at, _)| *at <= now) {
            members[me] = fresh(me, now, days.seed * 100 + 50 + me as u64, &machines);
            // What it had waiting is given up; what runs, runs on for nobody.
            for machine in &mut machines {
                machine.waits.retain(|job| job.0 != me);
                let runs = machine.runs.iter_mut().filter(|(_, job)| job.0 == me);
                runs.for_each(|(_, job)| job.0 = usize::MAX);
            }
        }
        // A herd: all who were refused come back within a second.
        let herd = if (RELEASE_S + 4.0..RELEASE_S + 5.0).contains(&now) {
            4.0
        } else {
            1.0
        };
        for (me, member) in members.iter_mut().enumerate() {
            member.host.now = now;
            for (_, runner) in member.hears.extract_if(.., |(at, _)| *at <= now) {
                let started_at_s = machines[runner].started_at_s.unwrap_or(f64::NEG_INFINITY);
                member.dispatcher.update_list(
                    now,
                    ListUpdate::Changes,
                    &[listed(runner, started_at_s)],
                );
            }
            // Some see several times the mean.
            let own = if me % 10 == 0 { 3.0 } else { 0.8 };
            if pcg.next() < herd * own * rate / FLEET as f64 * TICK_S {
                let job = Job {
                    expires_at_s: now + 6.0,
                    ..job(IDEMPOTENT, 0)
                };
                let work_item = member.dispatcher.submit(now, job).unwrap();
                member.attempts.insert(work_item.0, 0);
                member
                    .sizes
                    .insert(work_item.0, -days.mean_s * (1.0 - pcg.next()).ln());
            }
            member.dispatcher.decide(&mut member.host);
            for asked in std::mem::take(&mut member.host.calls) {
                match asked {
                    // Who has not heard yet finds nobody at the former one's address.
                    Attempt(work_item, runner)
                        if member.hears.iter().any(|(_, other)| *other == runner) =>
                    {
                        let attempt = member.attempts[&work_item.0];
                        member.attempts.insert(work_item.0, attempt + 1);
                        member.host.end_attempt(
                            &mut member.dispatcher,
                            work_item,
                            attempt,
                            Outcome::NoConnection,
                        );
                    }
                    Attempt(work_item, runner) => {
                        let (attempt, size) =
                            (member.attempts[&work_item.0], member.sizes[&work_item.0]);
                        member.attempts.insert(work_item.0, attempt + 1);
                        machines[runner]
                            .waits
                            .push_back((me, work_item, attempt, size));
                        if machines[runner].started_at_s.is_some() {
                            machines[runner].sent.push(now);
                        }
                        work_item.accepted(&mut member.dispatcher, now, attempt);
                    }
                    Cancel(work_item, attempt) => {
                        machines.iter_mut().for_each(|m| {
                            m.waits
                                .retain(|job| (job.0, job.1, job.2) != (me, work_item, attempt));
                            m.runs.retain(|(_, job)| {
                                (job.0, job.1, job.2) != (me, work_item, attempt)
                            });
                        });
                        member.host.end_attempt(
                            &mut member.dispatcher,
                            work_item,
                            attempt,
                            Outcome::Cancelled,
                        );
                    }
                    _ => {}
                }
            }
        }
        for machine in &mut machines {
            let pace = machine
                .started_at_s
                .map_or(1.0, |started_at_s| warmth(now - started_at_s, &config));
            for (_, (me, work_item, attempt, _)) in
                machine.runs.extract_if(.., |(ends, _)| *ends <= now)
            {
                if let Some(Member {
                    dispatcher, host, ..
                }) = members.get_mut(me)
                {
                    host.end_attempt(dispatcher, work_item, attempt, Outcome::Finished);
                }
            }
            while machine.runs.len() < days.slots {
                let Some(job) = machine.waits.pop_front() else {
                    break;
                };
                job.1.started(&mut members[job.0].dispatcher, now, job.2);
                machine.runs.push((now + job.3 / pace, job));
            }
            let Some(started_at_s) = machine.started_at_s else {
                continue;
            };
            machine
                .sent
                .retain(|at| now < at + config.overload_window_s);
            let allowed = config.overload_multiple
                * days.slots as f64
                * warmth(now - started_at_s, &config)
                * config.overload_window_s
                / days.mean_s;
            let got = machine.sent.len() as f64;
            worst = worst.max(got / (allowed + 2.0 * allowed.sqrt() + 2.0));
            used = used.max(got / allowed);
        }
    }
    (worst, used)
}

#[test]
fn thirty_dispatchers_keep_a_cold_runner_within_chance_of_its_budget_and_use_it() {
    for (slots, mean_s, least) in [
        (1, 2.0, 1.0),
        (2, 0.6, 1.0),
        (4, 0.5, 0.8),
        (8, 0.2, 0.5),
        (16, 0.05, 0.3),
    ] {
        for (seed, load) in [(1, 0.95), (2, 0.6), (3, 0.95)] {
            let days = Days {
                seed,
                slots,
                mean_s,
                load,
                replaced: 6,
                restarts: seed != 1,
            };
            let (worst, used) = play(&days);
            let what = format!("{slots} slots, {mean_s} s, load {load}, seed {seed}");
            assert!(worst <= 1.0, "{what}: {worst:.2} of what chance allows");
            assert!(used >= least, "{what}: {used:.2} of the budget at the most");
        }
    }
}
