//! Guards against two owners of one name, and so two effects of one work item. The faults are message loss, duplicates,
//! delays, pauses, crashes and restarts of members.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_replicated_store::{
    ClaimMessage, ClaimOutcome, ClaimReply, Claims, Completion, OutboundClaim, Owner, RecordPage,
    RecordReplica, RecordsRequest, RetryAnswer, RetryPolicy, WorkItemName,
};

/// Time for which records are kept, seconds.
const RETENTION_S: f64 = 6.0;
/// End of a schedule, and end of its part with new claims, seconds.
const END_S: f64 = 8.0;
const LAST_CLAIM_S: f64 = 5.0;
const STEP_S: f64 = 0.01;
/// Time for which a client retries, seconds.
const RETRY_WINDOW_S: f64 = 3.0;
/// Duration of a work item, seconds.
const SERVICE_S: f64 = 0.5;

/// A member with its replica of records, its claims, and the work items that it runs.
struct Member {
    record_replica: RecordReplica,
    claims: Claims,
    process: u64,
    /// Time until which the member is stopped or paused, seconds.
    up_from_s: f64,
    /// Names of the pending claims, by the number of the claim.
    pending: BTreeMap<u64, WorkItemName>,
    running: Vec<RunningItem>,
}

/// A running work item, with the number of its claim.
struct RunningItem {
    claim: u64,
    done_s: f64,
}

/// The content of a message.
enum Payload {
    Claim(ClaimMessage),
    ClaimReply(u64, u32, ClaimReply),
    EndConfirmed(u64),
    RecordsRequest(Option<WorkItemName>),
    Records(RecordPage),
}

/// A message in flight.
struct InFlight {
    from: usize,
    to: usize,
    /// The process that sent the request.
    process: u64,
    payload: Payload,
}

/// The result of a schedule.
#[derive(Default)]
struct Tally {
    /// Number of effects beyond the first of a name.
    double_effects: u32,
    /// Number of claims that owned their names.
    owned: u32,
}

/// A schedule with clients that retry at any member and members that crash, determined by its seed.
struct Schedule {
    random: Pcg64Mcg,
    ids: Vec<u64>,
    copies: usize,
    loss_probability: f64,
    max_delay_s: f64,
    skip_recovery: bool,
    members: Vec<Member>,
    /// Messages in flight, by arrival time in microseconds and message number.
    in_flight: BTreeMap<(u64, u64), InFlight>,
    message_count: u64,
    process_count: u64,
    /// Number of work items that may have had an effect, by name.
    effects: BTreeMap<WorkItemName, u32>,
    /// All names, with the time of their first claim in seconds.
    names: Vec<(WorkItemName, f64)>,
    tally: Tally,
    now_s: f64,
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
            loss_probability: [0.0, 0.1, 0.3][(seed / 3 % 3) as usize],
            max_delay_s: [0.005, 0.05, 0.4][(seed / 9 % 3) as usize],
            skip_recovery,
            members: Vec::new(),
            in_flight: BTreeMap::new(),
            message_count: 0,
            process_count: 100,
            effects: BTreeMap::new(),
            names: Vec::new(),
            tally: Tally::default(),
            now_s: 0.0,
        };
        for id in 0..member_count as u64 {
            let member = schedule.start(-10.0, id, id + 1);
            schedule.members.push(member);
        }
        schedule
    }

    fn start(&self, now_s: f64, id: u64, process: u64) -> Member {
        let mut record_replica = RecordReplica::new(now_s, RETENTION_S);
        if self.skip_recovery {
            record_replica.skip_recovery();
        }
        Member {
            record_replica,
            claims: Claims::new(id),
            process,
            up_from_s: now_s,
            pending: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    fn run(mut self) -> Tally {
        while self.now_s < END_S {
            self.now_s += STEP_S;
            let target = self.random.random_range(0..self.members.len());
            let is_claiming = self.now_s < LAST_CLAIM_S && self.random.random::<f64>() < 0.15;
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

    /// Claims a new name, or a name that its client retries. Returns false if the client has stopped retrying.
    fn claim_at(&mut self, target: usize) -> bool {
        let is_retry = !self.names.is_empty() && self.random.random::<f64>() < 0.6;
        let name = match is_retry {
            true => {
                let (name, claimed_s) = self.names[self.random.random_range(0..self.names.len())];
                if self.now_s > claimed_s + RETRY_WINDOW_S {
                    return false;
                }
                name
            }
            false => {
                let name = WorkItemName::new("once", &format!("{}", self.names.len()));
                self.names.push((name, self.now_s));
                name
            }
        };
        let member = &mut self.members[target];
        if self.now_s >= member.up_from_s {
            let number = member
                .claims
                .claim(self.now_s, name, &self.ids, self.copies);
            member.pending.insert(number, name);
        }
        true
    }

    /// Pauses or restarts the member at random. A paused member keeps its state.
    fn inject_fault(&mut self, target: usize) {
        if self.random.random::<f64>() < 0.005 {
            self.members[target].up_from_s = self.now_s + 2.0 * self.random.random::<f64>();
        }
        if self.random.random::<f64>() < 0.01 {
            self.process_count += 1;
            let started_s = self.now_s + 0.3 * self.random.random::<f64>();
            self.members[target] = self.start(started_s, target as u64, self.process_count);
        }
    }

    fn deliver_due(&mut self) {
        while let Some((&key, _)) = self.in_flight.first_key_value() {
            if key.0 as f64 / 1e6 > self.now_s {
                return;
            }
            let Some(message) = self.in_flight.remove(&key) else {
                return;
            };
            let up_from_s = self.members[message.to].up_from_s;
            if self.now_s >= up_from_s {
                self.deliver(message);
            } else if self.random.random::<f64>() < 0.5 {
                // The message waits in the socket of the paused process.
                let key = ((up_from_s * 1e6) as u64 + 1, key.1);
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
        if let Some(payload) =
            reply.filter(|_| self.random.random::<f64>() >= self.loss_probability)
        {
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
        let now_s = self.now_s;
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
                let reply = replica.claim(now_s, sender, number, name, epoch);
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
            Payload::RecordsRequest(after) => member
                .record_replica
                .page(now_s, after)
                .map(Payload::Records),
            // The reply is for an earlier process.
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
                    .receive_page(now_s, from as u64, page, &others);
                None
            }
        }
    }

    /// Sends a message with a random delay.
    fn post(&mut self, message: InFlight) {
        self.message_count += 1;
        let arrival_s = self.now_s + self.max_delay_s * self.random.random::<f64>();
        let key = ((arrival_s * 1e6) as u64, self.message_count);
        self.in_flight.insert(key, message);
    }

    fn tick_member(&mut self, index: usize) {
        if self.now_s < self.members[index].up_from_s {
            return;
        }
        self.take_outcomes(index);
        self.complete_items(index);
        let mut messages = Vec::new();
        self.members[index].claims.tick(self.now_s, &mut messages);
        self.request_records(index);
        for message in messages {
            self.send_claim(index, message);
        }
    }

    fn take_outcomes(&mut self, index: usize) {
        let member = &mut self.members[index];
        let numbers: Vec<u64> = member.pending.keys().copied().collect();
        for number in numbers {
            let Some(outcome) = member.claims.outcome(self.now_s, number) else {
                continue;
            };
            let Some(name) = member.pending.remove(&number) else {
                continue;
            };
            let ClaimOutcome::Owned { .. } = outcome else {
                continue;
            };
            self.tally.owned += 1;
            // Some work items are deferred without being sent; the others have an effect.
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
                    done_s: self.now_s + SERVICE_S,
                });
            }
        }
    }

    fn complete_items(&mut self, index: usize) {
        let now_s = self.now_s;
        let member = &mut self.members[index];
        let (done, running): (Vec<RunningItem>, Vec<RunningItem>) = member
            .running
            .drain(..)
            .partition(|item| now_s >= item.done_s);
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
        let requests = member.record_replica.recovery_requests(self.now_s, &others);
        for RecordsRequest { to, after } in requests {
            if self.random.random::<f64>() >= self.loss_probability {
                self.post(InFlight {
                    from: index,
                    to: to as usize,
                    process,
                    payload: Payload::RecordsRequest(after),
                });
            }
        }
    }

    /// Sends a message of the claims, sometimes as two copies.
    fn send_claim(&mut self, index: usize, outbound: OutboundClaim) {
        let process = self.members[index].process;
        let copies = if self.random.random::<f64>() < 0.1 {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.random.random::<f64>() < self.loss_probability {
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
    let handles: Vec<_> = (0..threads)
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
    let owned: u64 = handles
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .sum();
    println!("{owned} names owned in {schedules} schedules");
    assert!(
        owned > 10 * schedules,
        "{owned} names owned in {schedules} schedules"
    );
}

#[test]
fn a_replica_that_skips_recovery_is_detected() {
    let detected_at = (0..2_000).find(|seed| Schedule::new(*seed, true).run().double_effects > 0);
    println!("at seed {detected_at:?}");
    assert!(detected_at.is_some());
}

/// Guards against a retry that violates rule 2 of the dispatcher's contract.
#[test]
fn retries_are_answered_by_the_outcome_of_the_earlier_claim() {
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
        "the stored response is repeated"
    );
    assert_eq!(
        exclusive.answer(&known(200, true, None)),
        RetryAnswer::WriteOff,
        "the work item has run, and its body was too long to keep"
    );
    assert_eq!(
        exclusive.answer(&known(502, true, None)),
        RetryAnswer::WriteOff
    );
    assert_eq!(
        exclusive.answer(&ClaimOutcome::InFlight { age_ms: 100 }),
        RetryAnswer::WriteOff,
        "the work item may have run"
    );
    assert_eq!(
        ticketed.answer(&ClaimOutcome::InFlight { age_ms: 100 }),
        RetryAnswer::RetryLater,
        "the retry is within the window"
    );
    assert_eq!(
        ticketed.answer(&ClaimOutcome::InFlight { age_ms: 2100 }),
        RetryAnswer::WriteOff,
        "the retry is after the window"
    );
    assert_eq!(
        exclusive.answer(&known(503, false, None)),
        RetryAnswer::RetryLater,
        "the work item was never sent"
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
        "the replica is full"
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
        "the records have expired"
    );
    assert_eq!(record_replica.count(), 1);
}
