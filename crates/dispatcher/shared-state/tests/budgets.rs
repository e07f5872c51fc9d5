//! Budgets under random schedules of loss, duplication, reordering, pauses, crashes and clock drift. Guards against the
//! sum of the amounts in use at all members exceeding the limit. Faulty variants of the protocol run on the same
//! schedules, and the check must detect each of them.

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
const SPEND_S: f64 = 1.0;
const LEASE_S: f64 = 3.0;

/// Fault that a variant of the protocol has.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Absent,
    /// Reads the usable amount once and spends it later, regardless of a pause in between.
    ReadsBeforePause,
    /// Does not record the amount in use.
    RecordsNoUse,
    /// A restarted process behaves as if it had always run.
    IgnoresItsStart,
    /// All processes of a member have the same process number.
    SharedProcessNumber,
    /// A lease lasts longer for the borrower than for the lender.
    LongerLease,
    /// Duplicate and late requests are handled as new ones.
    AcceptsStaleRequests,
    /// Each side of a partition owns the rights of the other side.
    RightsByMembership,
    /// The lender does not wait for uses to end.
    IgnoresUseDuration,
    /// The rates of the clocks differ by more than the maximum that the protocol assumes.
    Drift,
}

enum Payload {
    Request(u64, LeaseRequest),
    Grant(LeaseGrant),
}

struct Member {
    budgets: Budgets,
    process: u64,
    /// Offset of the sequence numbers of its requests.
    sequence_offset: u32,
    /// Offset of the local clock in seconds: local time is `clock_offset_s + clock_rate x true time`.
    clock_offset_s: f64,
    clock_rate: f64,
    paused_until_s: f64,
    /// Usable amount that was read in the previous turn.
    previously_usable: u64,
    demand: u64,
    /// Uses of this process: amount, end in seconds on its clock.
    uses: Vec<(u64, f64)>,
}

fn lending_terms(fault: Fault) -> BTreeMap<BudgetKind, LendingTerms> {
    let spend_s = if fault == Fault::IgnoresUseDuration {
        0.0
    } else {
        SPEND_S
    };
    [(
        BudgetKind::SlowStart,
        LendingTerms {
            lease_s: LEASE_S,
            spend_s,
            owner_count: 3,
        },
    )]
    .into()
}

struct Simulation {
    now_s: f64,
    members: Vec<Member>,
    /// Uses of all processes, including ended ones: amount, end in seconds of true time.
    in_use: Vec<(u64, f64)>,
    in_flight: Vec<(f64, usize, usize, Payload)>,
    random: Pcg64Mcg,
    loss: f64,
    duplication: f64,
    max_delay_s: f64,
    partition: Option<u32>,
    fault: Fault,
    max_in_use_seen: u64,
    limit: u64,
}

impl Simulation {
    fn new(member_count: usize, seed: u64, fault: Fault) -> Simulation {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let max_drift = if fault == Fault::Drift { 0.3 } else { 0.01 };
        let members = (0..member_count)
            .map(|member_index| {
                let (clock_offset_s, clock_rate) = (
                    random.random_range(-5.0..5.0),
                    1.0 + random.random_range(-max_drift..=max_drift),
                );
                let mut numbers: Vec<u64> = (0..member_count as u64).collect();
                if fault == Fault::RightsByMembership {
                    // The member treats the other half of the members as gone.
                    numbers.retain(|number| *number as usize % 2 == member_index % 2);
                }
                let own_index = numbers
                    .iter()
                    .position(|number| *number as usize == member_index)
                    .unwrap();
                let mut budgets = Budgets::new(
                    numbers,
                    own_index,
                    member_index as u64,
                    lending_terms(fault),
                    clock_offset_s - 100.0,
                );
                budgets.set_limit(clock_offset_s, KEY, LIMIT);
                Member {
                    budgets,
                    process: member_index as u64,
                    sequence_offset: 0,
                    clock_offset_s,
                    clock_rate,
                    paused_until_s: 0.0,
                    previously_usable: 0,
                    demand: 0,
                    uses: Vec::new(),
                }
            })
            .collect();
        Simulation {
            now_s: 0.0,
            members,
            in_use: Vec::new(),
            in_flight: Vec::new(),
            loss: random.random_range(0.0..0.4),
            duplication: random.random_range(0.0..0.3),
            max_delay_s: if random.random_bool(0.5) {
                random.random_range(0.001..0.6)
            } else {
                0.01
            },
            random,
            partition: None,
            fault,
            max_in_use_seen: 0,
            limit: LIMIT,
        }
    }

    fn local_time_s(&self, member_index: usize) -> f64 {
        let member = &self.members[member_index];
        member.clock_offset_s + member.clock_rate * self.now_s
    }

    fn send(&mut self, from: usize, to: usize, message: impl Fn() -> Payload) {
        let copies = 1 + usize::from(self.random.random_bool(self.duplication));
        for _ in 0..copies {
            let is_separated = self
                .partition
                .is_some_and(|sides| (sides >> from ^ sides >> to) & 1 == 1);
            if !is_separated && !self.random.random_bool(self.loss) {
                let at = self.now_s + self.random.random_range(0.0..self.max_delay_s);
                self.in_flight.push((at, from, to, message()));
            }
        }
    }

    fn restart(&mut self, member_index: usize) {
        let local_time_s = self.local_time_s(member_index);
        let started_at_s = if self.fault == Fault::IgnoresItsStart {
            local_time_s - 100.0
        } else {
            local_time_s
        };
        let member_count = self.members.len() as u64;
        let process = if self.fault == Fault::SharedProcessNumber {
            member_index as u64
        } else {
            self.random.random()
        };
        let mut budgets = Budgets::new(
            (0..member_count).collect(),
            member_index,
            process,
            lending_terms(self.fault),
            started_at_s,
        );
        budgets.set_limit(local_time_s, KEY, self.limit);
        let member = &mut self.members[member_index];
        (member.budgets, member.process, member.paused_until_s) = (budgets, process, 0.0);
        member.uses.clear();
        if self.fault == Fault::SharedProcessNumber {
            member.sequence_offset += 10_000;
        }
    }

    fn record_use(&mut self, member_index: usize) -> u64 {
        let local_time_s = self.local_time_s(member_index);
        let member = &mut self.members[member_index];
        member.uses.retain(|(_, end)| local_time_s < *end);
        let in_use: u64 = member.uses.iter().map(|(amount, _)| amount).sum();
        let recorded = if self.fault == Fault::RecordsNoUse {
            0
        } else {
            in_use
        };
        member
            .budgets
            .record_use(local_time_s, KEY, recorded, member.demand);
        in_use
    }

    /// Turn of one member: handles received messages, spends, and sends requests.
    fn run_turn(&mut self, member_index: usize) {
        if self.now_s < self.members[member_index].paused_until_s {
            return;
        }
        let due = |message: &(f64, usize, usize, Payload)| {
            message.2 == member_index && message.0 <= self.now_s
        };
        let mut received = Vec::new();
        let mut at = 0;
        while at < self.in_flight.len() {
            if due(&self.in_flight[at]) {
                received.push(self.in_flight.swap_remove(at));
            } else {
                at += 1;
            }
        }
        for (_, from, _, message) in received {
            self.record_use(member_index);
            let local_time_s = self.local_time_s(member_index);
            match message {
                Payload::Request(process, mut request) => {
                    let sequence = request.sequence;
                    if self.fault == Fault::AcceptsStaleRequests {
                        // Increasing numbers make each request appear to be the newest.
                        request.sequence = (self.now_s * 1e4) as u32 + 1;
                    }
                    if let Some(mut grant) = self.members[member_index].budgets.receive_request(
                        local_time_s,
                        from,
                        process,
                        request,
                    ) {
                        grant.sequence = sequence;
                        if self.fault == Fault::LongerLease {
                            grant.lease_ms *= 2;
                        }
                        self.send(member_index, from, || Payload::Grant(grant));
                    }
                }
                Payload::Grant(mut grant) => {
                    grant.sequence = grant
                        .sequence
                        .wrapping_sub(self.members[member_index].sequence_offset);
                    let _ = self.members[member_index]
                        .budgets
                        .receive_grant(from, grant);
                }
            }
        }
        let in_use = self.record_use(member_index);
        let local_time_s = self.local_time_s(member_index);
        let mut usable = self.members[member_index].budgets.usable(local_time_s, KEY);
        if self.fault == Fault::ReadsBeforePause {
            std::mem::swap(
                &mut self.members[member_index].previously_usable,
                &mut usable,
            );
        }
        if in_use < usable.min(self.members[member_index].demand) {
            let amount = self
                .random
                .random_range(1..=usable.min(self.members[member_index].demand) - in_use);
            let use_s = self.random.random_range(0.5..1.0) * SPEND_S;
            let member = &mut self.members[member_index];
            member.uses.push((amount, local_time_s + use_s));
            self.in_use
                .push((amount, self.now_s + use_s / member.clock_rate));
            self.record_use(member_index);
        }
        let mut requests = Vec::new();
        self.members[member_index]
            .budgets
            .request_leases(local_time_s, &mut requests);
        let process = self.members[member_index].process;
        for (to, mut request) in requests {
            request.sequence += self.members[member_index].sequence_offset;
            self.send(member_index, to, || Payload::Request(process, request));
        }
    }

    fn total_in_use(&mut self) -> u64 {
        let now_s = self.now_s;
        self.in_use.retain(|(_, end)| now_s < *end);
        self.in_use.iter().map(|(amount, _)| amount).sum()
    }

    /// Performs one step. Returns whether the total amount in use is within the limit.
    fn step(&mut self) -> bool {
        self.now_s += self.random.random_range(0.01..0.08);
        for member_index in 0..self.members.len() {
            self.run_turn(member_index);
        }
        let in_use = self.total_in_use();
        self.max_in_use_seen = self.max_in_use_seen.max(in_use);
        in_use <= self.limit
    }

    fn inject_fault(&mut self) {
        let member_index = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..100) {
            0..3 => self.restart(member_index),
            3..8 => {
                let pause = self.random.random_range(0.1..6.0);
                self.members[member_index].paused_until_s = self.now_s + pause;
            }
            8..12 => self.partition = self.partition.is_none().then(|| self.random.random()),
            12..40 => self.members[member_index].demand = self.random.random_range(0..=LIMIT),
            _ => {}
        }
    }
}

/// Runs one schedule. Returns false if the limit was exceeded.
fn limit_holds(seed: u64, fault: Fault) -> bool {
    let member_count = 2 + (seed % 5) as usize;
    let mut simulation = Simulation::new(member_count, seed, fault);
    (0..250).all(|_| {
        simulation.inject_fault();
        simulation.step()
    })
}

#[test]
fn ten_thousand_random_schedules_never_exceed_the_limit() {
    // Run more schedules with: SCHEDULES=1000000 cargo test --release -p sagetrail-shared-state
    let schedules = std::env::var("SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(10_000);
    for seed in 0..schedules {
        assert!(limit_holds(seed, Fault::Absent), "seed {seed}");
    }
}

#[test]
fn every_faulty_variant_exceeds_the_limit() {
    use Fault::*;
    for fault in [
        ReadsBeforePause,
        RecordsNoUse,
        IgnoresItsStart,
        SharedProcessNumber,
        LongerLease,
        AcceptsStaleRequests,
        RightsByMembership,
        IgnoresUseDuration,
        Drift,
    ] {
        let caught = (0..4000).find(|seed| !limit_holds(*seed, fault));
        assert!(
            caught.is_some(),
            "{fault:?} stays within the limit on all schedules"
        );
    }
}

fn simulation_without_faults(member_count: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(member_count, seed, Fault::Absent);
    (
        simulation.loss,
        simulation.duplication,
        simulation.max_delay_s,
    ) = (0.0, 0.0, 0.01);
    simulation
}

#[test]
fn a_busy_member_borrows_an_idle_members_right_within_a_second() {
    for (member_count, busy) in [(3, 0), (3, 2), (12, 4), (25, 24)] {
        let mut simulation = simulation_without_faults(member_count, 1);
        simulation.members[busy].demand = LIMIT;
        while simulation.now_s < 1.0 {
            assert!(simulation.step());
        }
        let usable = simulation.members[busy]
            .budgets
            .usable(simulation.local_time_s(busy), KEY);
        assert!(
            usable * 10 >= LIMIT * 8,
            "{member_count}: {usable} of {LIMIT}"
        );
        // The amount stays usable, because leases are renewed before they end.
        for _ in 0..400 {
            assert!(simulation.step());
            let usable = simulation.members[busy]
                .budgets
                .usable(simulation.local_time_s(busy), KEY);
            assert!(
                usable * 10 >= LIMIT * 8,
                "{member_count}: {usable} of {LIMIT} at {}",
                simulation.now_s
            );
        }
    }
}

#[test]
fn two_busy_members_share_and_unneeded_amounts_are_returned() {
    let mut simulation = simulation_without_faults(5, 3);
    (simulation.members[0].demand, simulation.members[1].demand) = (LIMIT, LIMIT);
    while simulation.now_s < 12.0 {
        assert!(simulation.step());
    }
    let usable = |simulation: &Simulation, member_index: usize| {
        simulation.members[member_index]
            .budgets
            .usable(simulation.local_time_s(member_index), KEY)
    };
    for member_index in [0, 1] {
        assert!(
            usable(&simulation, member_index) >= LIMIT / 4,
            "{member_index}: {}",
            usable(&simulation, member_index)
        );
    }
    simulation.members[0].demand = 0;
    while simulation.now_s < 24.0 {
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
    let mut simulation = simulation_without_faults(3, 4);
    simulation.members[0].demand = LIMIT;
    while simulation.now_s < 2.0 {
        assert!(simulation.step());
    }
    simulation.loss = 1.0;
    while simulation.now_s < 2.0 + LEASE_S + SPEND_S + 1.0 {
        assert!(simulation.step());
    }
    for member_index in 0..3 {
        let usable = simulation.members[member_index]
            .budgets
            .usable(simulation.local_time_s(member_index), KEY);
        assert!(
            (LIMIT / 3..=LIMIT / 3 + 1).contains(&usable),
            "{member_index}: {usable}"
        );
    }
}

#[test]
fn a_paused_process_finds_its_lease_expired_before_it_spends() {
    let mut simulation = simulation_without_faults(3, 5);
    simulation.members[0].demand = LIMIT;
    while simulation.now_s < 2.0 {
        assert!(simulation.step());
    }
    simulation.members[0].paused_until_s = simulation.now_s + 20.0;
    simulation.members[1].demand = LIMIT;
    while simulation.now_s < 21.9 {
        assert!(simulation.step());
    }
    let usable = simulation.members[0]
        .budgets
        .usable(simulation.local_time_s(0), KEY);
    assert!(usable <= LIMIT / 3 + 1, "{usable}");
    while simulation.now_s < 26.0 {
        assert!(simulation.step());
    }
}

#[test]
fn a_restarted_process_spends_nothing_that_its_predecessor_may_have_spent_or_lent() {
    let mut simulation = simulation_without_faults(3, 6);
    simulation.members[1].demand = LIMIT;
    while simulation.now_s < 2.0 {
        assert!(simulation.step());
    }
    simulation.restart(0);
    let usable = |simulation: &Simulation| {
        simulation.members[0]
            .budgets
            .usable(simulation.local_time_s(0), KEY)
    };
    assert_eq!(usable(&simulation), 0);
    let start = simulation.now_s;
    while simulation.now_s < start + SPEND_S * 1.2 {
        assert!(simulation.step());
    }
    assert!(
        (1..LIMIT / 20).contains(&usable(&simulation)),
        "only the reserve may be usable: {}",
        usable(&simulation)
    );
    simulation.members[1].demand = 0;
    while simulation.now_s < start + 6.0 {
        assert!(simulation.step());
    }
    assert!(usable(&simulation) >= LIMIT / 3);
}

#[test]
fn a_lowered_limit_binds_at_once_where_known_and_everywhere_when_leases_expire() {
    let mut simulation = simulation_without_faults(3, 7);
    simulation.members[0].demand = LIMIT;
    while simulation.now_s < 2.0 {
        assert!(simulation.step());
    }
    // Member 0 is partitioned off, so only the others know the new limit.
    simulation.partition = Some(1);
    for member_index in [1, 2] {
        let local_time_s = simulation.local_time_s(member_index);
        simulation.members[member_index]
            .budgets
            .set_limit(local_time_s, KEY, 300);
        simulation.members[member_index].demand = LIMIT;
    }
    while simulation.now_s < 2.0 + 2.0 * (LEASE_S + SPEND_S) {
        assert!(simulation.step(), "the total never exceeds the old limit");
    }
    let local_time_s = simulation.local_time_s(0);
    simulation.members[0]
        .budgets
        .set_limit(local_time_s, KEY, 300);
    let lowered_at_s = simulation.now_s;
    while simulation.now_s < lowered_at_s + SPEND_S + 0.2 {
        simulation.step();
    }
    simulation.limit = 300;
    for _ in 0..200 {
        assert!(
            simulation.step(),
            "the total is within the new limit once all members know it and earlier uses have ended"
        );
    }
}

#[test]
fn a_limit_of_zero_allows_no_spending() {
    let mut simulation = simulation_without_faults(3, 8);
    for member_index in 0..3 {
        let local_time_s = simulation.local_time_s(member_index);
        simulation.members[member_index]
            .budgets
            .set_limit(local_time_s, KEY, 0);
        simulation.members[member_index].demand = LIMIT;
    }
    simulation.limit = 0;
    for _ in 0..200 {
        assert!(simulation.step());
    }
}

#[test]
fn invalid_grants_are_rejected() {
    let mut budgets = Budgets::new(vec![1, 2, 3], 0, 9, lending_terms(Fault::Absent), 0.0);
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
        "a late grant is ignored"
    );
    assert!(budgets.usable(10.0, KEY) <= LIMIT / 3 + 1);
    for subject in 0..100_000 {
        budgets.set_limit(
            10.0,
            BudgetKey {
                kind: BudgetKind::SlowStart,
                subject,
            },
            1,
        );
    }
    assert!(
        budgets.status(10.0).len() <= 8192,
        "the number of budgets is bounded"
    );
}
