//! Budgets under schedules of loss, doubles, reordering, pauses, crashes and clocks that run apart: what all have out
//! never passes the limit. Broken variants are played on the same schedules and must be caught.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_shared_state::*;
use sagetrail_swim::FrameError;
use std::collections::BTreeMap;

const KEY: BudgetKey = BudgetKey {
    kind: BudgetKind::SlowStart,
    subject: 77,
};
const LIMIT: u64 = 1000;
const HOLD_S: f64 = 1.0;
const LEASE_S: f64 = 3.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    No,
    /// Looks once and spends later, however long it was paused.
    LooksBefore,
    /// Does not say what it has out.
    TellsNothing,
    /// A process that starts anew does as if it had run for ever.
    ForgetsItStarted,
    /// All processes of a name are one.
    OneProcess,
    /// A lease is longer for the borrower than for the lender.
    LongerLease,
    /// What comes twice or late is taken for new.
    TakesStale,
    /// Each side of a split owns what the other had.
    RightsOfTheLiving,
    /// Lends without waiting for spends to end.
    NoHold,
    /// Clocks further apart than stated.
    Drift,
}

enum Wire {
    Ask(u64, LeaseRequest),
    Grant(LeaseGrant),
}

struct Member {
    budgets: Budgets,
    process: u64,
    /// Its questions are numbered from here on.
    first: u32,
    /// Local time is `off + rate x true time`.
    off: f64,
    rate: f64,
    paused_until: f64,
    /// Looked at before a pause.
    looked: u64,
    demand: u64,
    /// This process's own spends: amount, end on its clock.
    spends: Vec<(u64, f64)>,
}

fn lending(broken: Broken) -> BTreeMap<BudgetKind, LendingTerms> {
    let hold_s = if broken == Broken::NoHold {
        0.0
    } else {
        HOLD_S
    };
    [(
        BudgetKind::SlowStart,
        LendingTerms {
            lease_s: LEASE_S,
            spend_s: hold_s,
            owner_count: 3,
        },
    )]
    .into()
}

struct Simulation {
    now: f64,
    members: Vec<Member>,
    /// All spends of all processes there ever were: amount, true end.
    out: Vec<(u64, f64)>,
    wire: Vec<(f64, usize, usize, Wire)>,
    random: Pcg64Mcg,
    loss: f64,
    double: f64,
    late_s: f64,
    split: Option<u32>,
    broken: Broken,
    most: u64,
    limit: u64,
}

impl Simulation {
    fn new(n: usize, seed: u64, broken: Broken) -> Simulation {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let drift = if broken == Broken::Drift { 0.3 } else { 0.01 };
        let members = (0..n)
            .map(|me| {
                let (off, rate) = (
                    random.random_range(-5.0..5.0),
                    1.0 + random.random_range(-drift..=drift),
                );
                let mut numbers: Vec<u64> = (0..n as u64).collect();
                if broken == Broken::RightsOfTheLiving {
                    // It holds the half that it is not in for gone.
                    numbers.retain(|k| *k as usize % 2 == me % 2);
                }
                let mine = numbers.iter().position(|k| *k as usize == me).unwrap();
                let mut budgets =
                    Budgets::new(numbers, mine, me as u64, lending(broken), off - 100.0);
                budgets.set_limit(off, KEY, LIMIT);
                Member {
                    budgets,
                    process: me as u64,
                    first: 0,
                    off,
                    rate,
                    paused_until: 0.0,
                    looked: 0,
                    demand: 0,
                    spends: Vec::new(),
                }
            })
            .collect();
        Simulation {
            now: 0.0,
            members,
            out: Vec::new(),
            wire: Vec::new(),
            loss: random.random_range(0.0..0.4),
            double: random.random_range(0.0..0.3),
            late_s: if random.random_bool(0.5) {
                random.random_range(0.001..0.6)
            } else {
                0.01
            },
            random,
            split: None,
            broken,
            most: 0,
            limit: LIMIT,
        }
    }

    fn local(&self, who: usize) -> f64 {
        let member = &self.members[who];
        member.off + member.rate * self.now
    }

    fn post(&mut self, from: usize, to: usize, wire: impl Fn() -> Wire) {
        let copies = 1 + usize::from(self.random.random_bool(self.double));
        for _ in 0..copies {
            let apart = self
                .split
                .is_some_and(|sides| (sides >> from ^ sides >> to) & 1 == 1);
            if !apart && !self.random.random_bool(self.loss) {
                let at = self.now + self.random.random_range(0.0..self.late_s);
                self.wire.push((at, from, to, wire()));
            }
        }
    }

    fn restart(&mut self, who: usize) {
        let local = self.local(who);
        let started = if self.broken == Broken::ForgetsItStarted {
            local - 100.0
        } else {
            local
        };
        let n = self.members.len() as u64;
        let process = if self.broken == Broken::OneProcess {
            who as u64
        } else {
            self.random.random()
        };
        let mut budgets = Budgets::new(
            (0..n).collect(),
            who,
            process,
            lending(self.broken),
            started,
        );
        budgets.set_limit(local, KEY, self.limit);
        let member = &mut self.members[who];
        (member.budgets, member.process, member.paused_until) = (budgets, process, 0.0);
        member.spends.clear();
        if self.broken == Broken::OneProcess {
            member.first += 10_000;
        }
    }

    fn tell(&mut self, who: usize) -> u64 {
        let local = self.local(who);
        let member = &mut self.members[who];
        member.spends.retain(|(_, end)| local < *end);
        let out: u64 = member.spends.iter().map(|(amount, _)| amount).sum();
        let told = if self.broken == Broken::TellsNothing {
            0
        } else {
            out
        };
        member.budgets.record_use(local, KEY, told, member.demand);
        out
    }

    /// One member's turn: reads what came, spends, asks.
    fn turn(&mut self, who: usize) {
        if self.now < self.members[who].paused_until {
            return;
        }
        let due = |w: &(f64, usize, usize, Wire)| w.2 == who && w.0 <= self.now;
        let mut came = Vec::new();
        let mut at = 0;
        while at < self.wire.len() {
            if due(&self.wire[at]) {
                came.push(self.wire.swap_remove(at));
            } else {
                at += 1;
            }
        }
        for (_, from, _, wire) in came {
            self.tell(who);
            let local = self.local(who);
            match wire {
                Wire::Ask(process, mut ask) => {
                    let no = ask.sequence;
                    if self.broken == Broken::TakesStale {
                        // As if the last were the newest: numbers that never go back.
                        ask.sequence = (self.now * 1e4) as u32 + 1;
                    }
                    if let Some(mut grant) = self.members[who]
                        .budgets
                        .receive_request(local, from, process, ask)
                    {
                        grant.sequence = no;
                        if self.broken == Broken::LongerLease {
                            grant.lease_ms *= 2;
                        }
                        self.post(who, from, || Wire::Grant(grant));
                    }
                }
                Wire::Grant(mut grant) => {
                    grant.sequence = grant.sequence.wrapping_sub(self.members[who].first);
                    let _ = self.members[who].budgets.receive_grant(from, grant);
                }
            }
        }
        let out = self.tell(who);
        let local = self.local(who);
        let mut usable = self.members[who].budgets.usable(local, KEY);
        if self.broken == Broken::LooksBefore {
            std::mem::swap(&mut self.members[who].looked, &mut usable);
        }
        if out < usable.min(self.members[who].demand) {
            let amount = self
                .random
                .random_range(1..=usable.min(self.members[who].demand) - out);
            let hold = self.random.random_range(0.5..1.0) * HOLD_S;
            let member = &mut self.members[who];
            member.spends.push((amount, local + hold));
            self.out.push((amount, self.now + hold / member.rate));
            self.tell(who);
        }
        let mut asks = Vec::new();
        self.members[who].budgets.request_leases(local, &mut asks);
        let process = self.members[who].process;
        for (to, mut ask) in asks {
            ask.sequence += self.members[who].first;
            self.post(who, to, || Wire::Ask(process, ask));
        }
    }

    fn all_out(&mut self) -> u64 {
        let now = self.now;
        self.out.retain(|(_, end)| now < *end);
        self.out.iter().map(|(amount, _)| amount).sum()
    }

    /// True while the limit holds.
    fn step(&mut self) -> bool {
        self.now += self.random.random_range(0.01..0.08);
        for who in 0..self.members.len() {
            self.turn(who);
        }
        let out = self.all_out();
        self.most = self.most.max(out);
        out <= self.limit
    }

    fn trouble(&mut self) {
        let who = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..100) {
            0..3 => self.restart(who),
            3..8 => {
                let pause = self.random.random_range(0.1..6.0);
                self.members[who].paused_until = self.now + pause;
            }
            8..12 => self.split = self.split.is_none().then(|| self.random.random()),
            12..40 => self.members[who].demand = self.random.random_range(0..=LIMIT),
            _ => {}
        }
    }
}

/// Plays one schedule; false where the limit was passed.
fn play(seed: u64, broken: Broken) -> bool {
    let n = 2 + (seed % 5) as usize;
    let mut simulation = Simulation::new(n, seed, broken);
    (0..250).all(|_| {
        simulation.trouble();
        simulation.step()
    })
}

#[test]
fn ten_thousand_random_schedules_never_pass_the_limit() {
    // More by hand: SCHEDULES=1000000 cargo test --release -p sagetrail-shared-state
    let schedules = std::env::var("SCHEDULES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(10_000);
    for seed in 0..schedules {
        assert!(play(seed, Broken::No), "seed {seed}");
    }
}

#[test]
fn every_broken_variant_is_caught() {
    use Broken::*;
    for broken in [
        LooksBefore,
        TellsNothing,
        ForgetsItStarted,
        OneProcess,
        LongerLease,
        TakesStale,
        RightsOfTheLiving,
        NoHold,
        Drift,
    ] {
        let caught = (0..4000).find(|seed| !play(*seed, broken));
        assert!(caught.is_some(), "{broken:?} passes all schedules");
    }
}

fn calm(n: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(n, seed, Broken::No);
    (simulation.loss, simulation.double, simulation.late_s) = (0.0, 0.0, 0.01);
    simulation
}

#[test]
fn a_busy_member_borrows_an_idle_members_right_within_a_second() {
    for (n, busy) in [(3, 0), (3, 2), (12, 4), (25, 24)] {
        let mut simulation = calm(n, 1);
        simulation.members[busy].demand = LIMIT;
        while simulation.now < 1.0 {
            assert!(simulation.step());
        }
        let usable = simulation.members[busy]
            .budgets
            .usable(simulation.local(busy), KEY);
        assert!(usable * 10 >= LIMIT * 8, "{n}: {usable} of {LIMIT}");
        // And goes on being so: leases are renewed before they end.
        for _ in 0..400 {
            assert!(simulation.step());
            let usable = simulation.members[busy]
                .budgets
                .usable(simulation.local(busy), KEY);
            assert!(
                usable * 10 >= LIMIT * 8,
                "{n}: {usable} of {LIMIT} at {}",
                simulation.now
            );
        }
    }
}

#[test]
fn two_busy_members_share_and_unneeded_amounts_are_returned() {
    let mut simulation = calm(5, 3);
    (simulation.members[0].demand, simulation.members[1].demand) = (LIMIT, LIMIT);
    while simulation.now < 12.0 {
        assert!(simulation.step());
    }
    let usable = |simulation: &Simulation, who: usize| {
        simulation.members[who]
            .budgets
            .usable(simulation.local(who), KEY)
    };
    for who in [0, 1] {
        assert!(
            usable(&simulation, who) >= LIMIT / 4,
            "{who}: {}",
            usable(&simulation, who)
        );
    }
    simulation.members[0].demand = 0;
    while simulation.now < 24.0 {
        assert!(simulation.step());
    }
    assert!(
        usable(&simulation, 1) * 10 >= LIMIT * 8,
        "{}",
        usable(&simulation, 1)
    );
}

#[test]
fn a_partitioned_member_keeps_its_own_right() {
    let mut simulation = calm(3, 4);
    simulation.members[0].demand = LIMIT;
    while simulation.now < 2.0 {
        assert!(simulation.step());
    }
    simulation.loss = 1.0;
    while simulation.now < 2.0 + LEASE_S + HOLD_S + 1.0 {
        assert!(simulation.step());
    }
    for who in 0..3 {
        let usable = simulation.members[who]
            .budgets
            .usable(simulation.local(who), KEY);
        assert!(
            (LIMIT / 3..=LIMIT / 3 + 1).contains(&usable),
            "{who}: {usable}"
        );
    }
}

#[test]
fn a_paused_process_finds_its_lease_expired_before_it_spends() {
    let mut simulation = calm(3, 5);
    simulation.members[0].demand = LIMIT;
    while simulation.now < 2.0 {
        assert!(simulation.step());
    }
    simulation.members[0].paused_until = simulation.now + 20.0;
    simulation.members[1].demand = LIMIT;
    while simulation.now < 21.9 {
        assert!(simulation.step());
    }
    let usable = simulation.members[0]
        .budgets
        .usable(simulation.local(0), KEY);
    assert!(usable <= LIMIT / 3 + 1, "{usable}");
    while simulation.now < 26.0 {
        assert!(simulation.step());
    }
}

#[test]
fn a_restarted_process_spends_nothing_that_its_predecessor_may_have_spent_or_lent() {
    let mut simulation = calm(3, 6);
    simulation.members[1].demand = LIMIT;
    while simulation.now < 2.0 {
        assert!(simulation.step());
    }
    simulation.restart(0);
    let usable = |simulation: &Simulation| {
        simulation.members[0]
            .budgets
            .usable(simulation.local(0), KEY)
    };
    assert_eq!(usable(&simulation), 0);
    let start = simulation.now;
    while simulation.now < start + HOLD_S * 1.2 {
        assert!(simulation.step());
    }
    assert!(
        (1..LIMIT / 20).contains(&usable(&simulation)),
        "its reserve: {}",
        usable(&simulation)
    );
    simulation.members[1].demand = 0;
    while simulation.now < start + 6.0 {
        assert!(simulation.step());
    }
    assert!(usable(&simulation) >= LIMIT / 3);
}

#[test]
fn a_lowered_limit_binds_at_once_where_known_and_everywhere_when_leases_expire() {
    let mut simulation = calm(3, 7);
    simulation.members[0].demand = LIMIT;
    while simulation.now < 2.0 {
        assert!(simulation.step());
    }
    // Split off: only the others have heard of the new limit.
    simulation.split = Some(1);
    for who in [1, 2] {
        let local = simulation.local(who);
        simulation.members[who].budgets.set_limit(local, KEY, 300);
        simulation.members[who].demand = LIMIT;
    }
    while simulation.now < 2.0 + 2.0 * (LEASE_S + HOLD_S) {
        assert!(simulation.step(), "never over the old one");
    }
    let local = simulation.local(0);
    simulation.members[0].budgets.set_limit(local, KEY, 300);
    let told = simulation.now;
    while simulation.now < told + HOLD_S + 0.2 {
        simulation.step();
    }
    simulation.limit = 300;
    for _ in 0..200 {
        assert!(
            simulation.step(),
            "under the new one once the last has heard and its spends ended"
        );
    }
}

#[test]
fn a_limit_of_zero_allows_no_spending() {
    let mut simulation = calm(3, 8);
    for who in 0..3 {
        let local = simulation.local(who);
        simulation.members[who].budgets.set_limit(local, KEY, 0);
        simulation.members[who].demand = LIMIT;
    }
    simulation.limit = 0;
    for _ in 0..200 {
        assert!(simulation.step());
    }
}

#[test]
fn impossible_grants_are_rejected() {
    let mut budgets = Budgets::new(vec![1, 2, 3], 0, 9, lending(Broken::No), 0.0);
    budgets.set_limit(10.0, KEY, LIMIT);
    let grant = LeaseGrant {
        process: 9,
        key: KEY,
        sequence: 1,
        amount: LIMIT + 1,
        lease_ms: 3000,
        limit: LIMIT,
    };
    assert_eq!(
        budgets.receive_grant(1, grant),
        Err(FrameError::InvalidValue)
    );
    assert_eq!(
        budgets.receive_grant(
            1,
            LeaseGrant {
                amount: 1,
                lease_ms: u32::MAX,
                ..grant
            }
        ),
        Err(FrameError::InvalidValue)
    );
    assert_eq!(
        budgets.receive_grant(9, LeaseGrant { amount: 1, ..grant }),
        Err(FrameError::InvalidValue)
    );
    assert_eq!(
        budgets.receive_grant(1, LeaseGrant { amount: 1, ..grant }),
        Ok(()),
        "late, and passed over"
    );
    assert!(budgets.usable(10.0, KEY) <= LIMIT / 3 + 1);
    for of in 0..100_000 {
        budgets.set_limit(
            10.0,
            BudgetKey {
                kind: BudgetKind::SlowStart,
                subject: of,
            },
            1,
        );
    }
    assert!(budgets.status(10.0).len() <= 8192, "bounded");
}
