//! Claims of work items under loss, duplicates, pauses, crashes and restarts: a name has one owner, ever.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_replicated_store::{
    ClaimMessage, ClaimOutcome, ClaimReply, Claims, Completion, OutboundClaim, Owner, RecordPage,
    RecordReplica, RecordsRequest, RetryAnswer, RetryPolicy, WorkItemName,
};

/// Time for which records are kept, seconds.
const RETENTION_S: f64 = 6.0;
/// Length of a schedule, and the part of it with new claims, seconds.
const END_S: f64 = 8.0;
const LAST_CLAIM_S: f64 = 5.0;
const STEP_S: f64 = 0.01;
/// A client retries for this long, seconds.
const RETRY_WINDOW_S: f64 = 3.0;
/// A work item takes this long, seconds.
const SERVICE_S: f64 = 0.5;

/// A member: its part as a replica, its claims, and the work items it runs.
struct Member {
    record_replica: RecordReplica,
    claims: Claims,
    process: u64,
    /// It is down or paused until then, seconds.
    up_at: f64,
    /// Pending claims: names by number.
    pending: BTreeMap<u64, WorkItemName>,
    running: Vec<RunningItem>,
}

/// A work item that runs, by the number of its claim.
struct RunningItem {
    claim: u64,
    done_at: f64,
}

/// The content of a message.
enum Payload {
    Claim(ClaimMessage),
    ClaimReply(u64, u32, ClaimReply),
    EndConfirmed(u64),
    RecordsRequest(Option<WorkItemName>),
    Records(RecordPage),
}

/// A message under way.
struct InFlight {
    from: usize,
    to: usize,
    /// The process that sent the request.
    process: u64,
    payload: Payload,
}

/// What a schedule has shown.
#[derive(Default)]
struct Tally {
    /// Names with more than one effect.
    double_effects: u32,
    /// Claims that owned their names.
    owned: u32,
}

/// Clients that retry anywhere, and members that crash; one schedule by its seed.
struct Schedule {
    random: Pcg64Mcg,
    ids: Vec<u64>,
    copies: usize,
    loss: f64,
    max_delay_s: f64,
    skip_recovery: bool,
    members: Vec<Member>,
    /// By arrival time in microseconds and number.
    in_flight: BTreeMap<(u64, u64), InFlight>,
    message_count: u64,
    process_count: u64,
    /// By name: work items that may have had an effect.
    effects: BTreeMap<WorkItemName, u32>,
    /// All names, and when they were first claimed.
    names: Vec<(WorkItemName, f64)>,
    tally: Tally,
    now: f64,
}

impl Schedule {
    fn new(seed: u64, skip_recovery: bool) -> Schedule {
        let member_count = 3 + (seed % 3) as usize;
        let copies = if member_count == 5 && seed.is_multiple_of(2) {
            2
        } else {
            1
        };
        let mut schedule = Schedule {
            random: Pcg64Mcg::seed_from_u64(seed),
            ids: (0..member_count as u64).collect(),
            copies,
            loss: [0.0, 0.1, 0.3][(seed / 3 % 3) as usize],
            max_delay_s: [0.005, 0.05, 0.4][(seed / 9 % 3) as usize],
            skip_recovery,
            members: Vec::new(),
            in_flight: BTreeMap::new(),
            message_count: 0,
            process_count: 100,
            effects: BTreeMap::new(),
            names: Vec::new(),
            tally: Tally::default(),
            now: 0.0,
        };
        for id in 0..member_count as u64 {
            let member = schedule.start(-10.0, id, id + 1);
            schedule.members.push(member);
        }
        schedule
    }

    fn start(&self, now: f64, id: u64, process: u64) -> Member {
        let mut record_replica = RecordReplica::new(now, RETENTION_S);
        if self.skip_recovery {
            record_replica.skip_recovery();
        }
        Member {
            record_replica,
            claims: Claims::new(id),
            process,
            up_at: now,
            pending: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    fn run(mut self) -> Tally {
        while self.now < END_S {
            self.now += STEP_S;
            let target = self.random.random_range(0..self.members.len());
            let is_claiming = self.now < LAST_CLAIM_S && self.random.random::<f64>() < 0.15;
            if is_claiming && !self.claim_at(target) {
                continue;
            }
            self.inject_fault(target);
            self.deliver_due();
            for index in 0..self.members.len() {
                self.tick_member(index);
            }
        }
        self.tally
    }

    /// Claims a new name, or one that its client retries. False if its client has given up.
    fn claim_at(&mut self, target: usize) -> bool {
        let is_retry = !self.names.is_empty() && self.random.random::<f64>() < 0.6;
        let name = match is_retry {
            true => {
                let (name, claimed_at) = self.names[self.random.random_range(0..self.names.len())];
                if self.now > claimed_at + RETRY_WINDOW_S {
                    return false;
                }
                name
            }
            false => {
                let name = WorkItemName::new("once", &format!("{}", self.names.len()));
                self.names.push((name, self.now));
                name
            }
        };
        let member = &mut self.members[target];
        if self.now >= member.up_at {
            let number = member.claims.claim(self.now, name, &self.ids, self.copies);
            member.pending.insert(number, name);
        }
        true
    }

    /// Pauses or restarts a member now and then. One that was paused continues with the state it had.
    fn inject_fault(&mut self, target: usize) {
        if self.random.random::<f64>() < 0.005 {
            self.members[target].up_at = self.now + 2.0 * self.random.random::<f64>();
        }
        if self.random.random::<f64>() < 0.01 {
            self.process_count += 1;
            let started_at = self.now + 0.3 * self.random.random::<f64>();
            self.members[target] = self.start(started_at, target as u64, self.process_count);
        }
    }

    fn deliver_due(&mut self) {
        while let Some((&key, _)) = self.in_flight.first_key_value() {
            if key.0 as f64 / 1e6 > self.now {
                return;
            }
            let Some(message) = self.in_flight.remove(&key) else {
                return;
            };
            let up_at = self.members[message.to].up_at;
            if self.now >= up_at {
                self.deliver(message);
            } else if self.random.random::<f64>() < 0.5 {
                // It waits in the socket of a paused process.
                let key = ((up_at * 1e6) as u64 + 1, key.1);
                self.in_flight.insert(key, message);
            }
        }
    }

    fn deliver(&mut self, message: InFlight) {
        let InFlight {
            from,
            to,
            process,
            payload,
        } = message;
        let reply = self.receive(from, to, process, payload);
        if let Some(payload) = reply.filter(|_| self.random.random::<f64>() >= self.loss) {
            self.post(InFlight {
                from: to,
                to: from,
                process,
                payload,
            });
        }
    }

    fn receive(
        &mut self,
        from: usize,
        to: usize,
        process: u64,
        payload: Payload,
    ) -> Option<Payload> {
        let now = self.now;
        let member = &mut self.members[to];
        let sender = Owner {
            member: from as u64,
            process,
        };
        let is_for_this_process = process == member.process;
        match payload {
            Payload::Claim(ClaimMessage::Claim {
                name,
                number,
                epoch,
            }) => {
                let replica = &mut member.record_replica;
                let reply = replica.claim(now, sender, number, name, epoch);
                Some(Payload::ClaimReply(number, epoch, reply))
            }
            Payload::Claim(ClaimMessage::End {
                name,
                number,
                completion,
            }) => {
                member
                    .record_replica
                    .complete(sender, number, name, completion);
                Some(Payload::EndConfirmed(number))
            }
            Payload::RecordsRequest(after) => {
                member.record_replica.page(now, after).map(Payload::Records)
            }
            // A reply to an earlier process.
            _ if !is_for_this_process => None,
            Payload::ClaimReply(number, epoch, reply) => {
                member
                    .claims
                    .receive_reply(from as u64, number, epoch, reply);
                None
            }
            Payload::EndConfirmed(number) => {
                member.claims.receive_confirmation(from as u64, number);
                None
            }
            Payload::Records(page) => {
                let others: Vec<u64> = others(&self.ids, to);
                member
                    .record_replica
                    .receive_page(now, from as u64, page, &others);
                None
            }
        }
    }

    /// Sends a message with a random delay.
    fn post(&mut self, message: InFlight) {
        self.message_count += 1;
        let arrives_at = self.now + self.max_delay_s * self.random.random::<f64>();
        let key = ((arrives_at * 1e6) as u64, self.message_count);
        self.in_flight.insert(key, message);
    }

    fn tick_member(&mut self, index: usize) {
        if self.now < self.members[index].up_at {
            return;
        }
        self.take_outcomes(index);
        self.complete_items(index);
        let mut messages = Vec::new();
        self.members[index].claims.tick(self.now, &mut messages);
        self.request_records(index);
        for message in messages {
            self.send_claim(index, message);
        }
    }

    fn take_outcomes(&mut self, index: usize) {
        let member = &mut self.members[index];
        let numbers: Vec<u64> = member.pending.keys().copied().collect();
        for number in numbers {
            let Some(outcome) = member.claims.outcome(self.now, number) else {
                continue;
            };
            let Some(name) = member.pending.remove(&number) else {
                continue;
            };
            let ClaimOutcome::Owned { .. } = outcome else {
                continue;
            };
            self.tally.owned += 1;
            // Now and then it is deferred without being sent; otherwise it has an effect.
            if self.random.random::<f64>() < 0.3 {
                let never_sent = Completion {
                    status: 503,
                    may_have_run: false,
                    body: None,
                };
                member.claims.complete(number, never_sent);
            } else {
                let effects = self.effects.entry(name).or_default();
                *effects += 1;
                self.tally.double_effects += u32::from(*effects > 1);
                member.running.push(RunningItem {
                    claim: number,
                    done_at: self.now + SERVICE_S,
                });
            }
        }
    }

    fn complete_items(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        let (done, running): (Vec<RunningItem>, Vec<RunningItem>) = member
            .running
            .drain(..)
            .partition(|item| now >= item.done_at);
        member.running = running;
        for item in done {
            let completion = Completion {
                status: 200,
                may_have_run: true,
                body: Some(vec![1]),
            };
            member.claims.complete(item.claim, completion);
        }
    }

    fn request_records(&mut self, index: usize) {
        let others = others(&self.ids, index);
        let member = &mut self.members[index];
        let process = member.process;
        let requests = member.record_replica.recovery_requests(self.now, &others);
        for RecordsRequest { to, after } in requests {
            if self.random.random::<f64>() >= self.loss {
                self.post(InFlight {
                    from: index,
                    to: to as usize,
                    process,
                    payload: Payload::RecordsRequest(after),
                });
            }
        }
    }

    /// Sends a message of the claims, sometimes twice.
    fn send_claim(&mut self, index: usize, outbound: OutboundClaim) {
        let process = self.members[index].process;
        let copies = if self.random.random::<f64>() < 0.1 {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.random.random::<f64>() < self.loss {
                continue;
            }
            self.post(InFlight {
                from: index,
                to: outbound.to as usize,
                process,
                payload: Payload::Claim(outbound.message.clone()),
            });
        }
    }
}

fn others(ids: &[u64], own: usize) -> Vec<u64> {
    ids.iter().copied().filter(|id| *id != own as u64).collect()
}

#[test]
fn no_name_has_two_effects_in_ten_thousand_schedules() {
    let schedules: u64 = std::env::var("SCHEDULES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(10_000);
    let threads = std::thread::available_parallelism()
        .map_or(4, |count| count.get() as u64)
        .min(6);
    let all: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut owned = 0;
                for seed in (0..schedules).filter(|seed| seed % threads == thread) {
                    let tally = Schedule::new(seed, false).run();
                    assert_eq!(tally.double_effects, 0, "seed {seed}");
                    owned += u64::from(tally.owned);
                }
                owned
            })
        })
        .collect();
    let owned: u64 = all.into_iter().map(|thread| thread.join().unwrap()).sum();
    println!("{owned} names owned in {schedules} schedules");
    assert!(
        owned > 10 * schedules,
        "{owned} names owned in {schedules} schedules"
    );
}

#[test]
fn a_replica_that_skips_recovery_is_detected() {
    let caught = (0..2_000).find(|seed| Schedule::new(*seed, true).run().double_effects > 0);
    println!("at seed {caught:?}");
    assert!(caught.is_some());
}

#[test]
fn retries_are_answered_by_rule_2() {
    let known = |status, may_have_run, body: Option<&[u8]>| ClaimOutcome::Completed {
        completion: Completion {
            status,
            may_have_run,
            body: body.map(<[u8]>::to_vec),
        },
        age_ms: 1000,
    };
    let exclusive = RetryPolicy { window_s: None };
    let ticketed = RetryPolicy {
        window_s: Some(2.0),
    };
    let repeated = RetryAnswer::Repeat {
        status: 200,
        body: b"r".to_vec(),
    };
    assert_eq!(
        exclusive.answer(&known(200, true, Some(b"r"))),
        repeated,
        "what was made once is given again"
    );
    assert_eq!(
        exclusive.answer(&known(200, true, None)),
        RetryAnswer::WriteOff,
        "made, and too long to keep"
    );
    assert_eq!(
        exclusive.answer(&known(502, true, None)),
        RetryAnswer::WriteOff
    );
    assert_eq!(
        exclusive.answer(&ClaimOutcome::InFlight { age_ms: 100 }),
        RetryAnswer::WriteOff,
        "it may have run"
    );
    assert_eq!(
        ticketed.answer(&ClaimOutcome::InFlight { age_ms: 100 }),
        RetryAnswer::RetryLater,
        "within its window"
    );
    assert_eq!(
        ticketed.answer(&ClaimOutcome::InFlight { age_ms: 2100 }),
        RetryAnswer::WriteOff,
        "past it"
    );
    assert_eq!(
        exclusive.answer(&known(503, false, None)),
        RetryAnswer::RetryLater,
        "it provably never ran"
    );
    assert_eq!(
        exclusive.answer(&ClaimOutcome::NoQuorum),
        RetryAnswer::RetryLater
    );
}

#[test]
fn records_are_bounded_and_expire() {
    let mut record_replica = RecordReplica::new(-100.0, RETENTION_S);
    for number in 0..100_000u64 {
        let name = WorkItemName(u128::from(number));
        assert_eq!(
            record_replica.claim(
                1.0,
                Owner {
                    member: 1,
                    process: 1
                },
                number,
                name,
                1
            ),
            ClaimReply::Granted
        );
    }
    assert_eq!(
        record_replica.claim(
            1.0,
            Owner {
                member: 1,
                process: 1
            },
            0,
            WorkItemName(u128::MAX),
            1
        ),
        ClaimReply::Unavailable,
        "no room"
    );
    assert_eq!(
        record_replica.claim(
            1.0 + 1.1 * RETENTION_S,
            Owner {
                member: 1,
                process: 1
            },
            0,
            WorkItemName(u128::MAX),
            1
        ),
        ClaimReply::Granted,
        "room again"
    );
    assert_eq!(record_replica.count(), 1);
}
