//! The record of hand-offs under loss, doubles, crashes and restarts: a name is owned by one, ever.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_replicated_store::{
    Answer, ClaimMessage, ClaimReply, Claims, Ended, Holder, Name, Outcome, Owner, RecordPage,
    RetryPolicy,
};
use std::collections::BTreeMap;

const KEEP_S: f64 = 6.0;

struct Member {
    holder: Holder,
    claims: Claims,
    birth: u64,
    /// Down, or stopped, until then.
    up: f64,
    /// Names asked for, by number.
    asked: BTreeMap<u64, Name>,
    out: Vec<(u64, f64)>,
}

enum Wire {
    Sent(ClaimMessage),
    Said(u64, u32, ClaimReply),
    Heard(u64),
    Records(Option<Name>),
    Told(RecordPage),
}

/// A day of clients that come again wherever, and members that crash; how often a name was owned twice.
fn day(seed: u64, forgets_start: bool) -> (u32, u32) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let members = 3 + (seed % 3) as usize;
    let copies = if members == 5 && seed.is_multiple_of(2) {
        2
    } else {
        1
    };
    let loss = [0.0, 0.1, 0.3][(seed / 3 % 3) as usize];
    let late_s = [0.005, 0.05, 0.4][(seed / 9 % 3) as usize];
    let all: Vec<u64> = (0..members as u64).collect();
    let start = |now: f64, me: u64, birth: u64| {
        let mut holder = Holder::new(now, KEEP_S);
        if forgets_start {
            holder.forget_start();
        }
        let (claims, asked, out) = (Claims::new(me), BTreeMap::new(), Vec::new());
        Member {
            holder,
            claims,
            birth,
            up: now,
            asked,
            out,
        }
    };
    let mut all_members: Vec<Member> = (0..members)
        .map(|n| start(-10.0, n as u64, n as u64 + 1))
        .collect();
    let mut wire: BTreeMap<(u64, u64), (usize, usize, u64, Wire)> = BTreeMap::new();
    let (mut no, mut births) = (0u64, 100u64);
    // By name: who may have had an effect, not counting those that said that they never sent anything.
    let mut owners: BTreeMap<Name, u32> = BTreeMap::new();
    let mut names: Vec<(Name, f64)> = Vec::new();
    let (mut twice, mut owned) = (0, 0);
    let mut now = 0.0;
    while now < 8.0 {
        now += 0.01;
        let n = chance.random_range(0..members);
        if now < 5.0 && chance.random::<f64>() < 0.15 {
            // A new name, or one that its client asks for again.
            let again = !names.is_empty() && chance.random::<f64>() < 0.6;
            let name = match again {
                true => {
                    let (name, at) = names[chance.random_range(0..names.len())];
                    if now > at + 3.0 {
                        continue;
                    } else {
                        name
                    }
                }
                false => {
                    let name = Name::of("once", &format!("{}", names.len()));
                    names.push((name, now));
                    name
                }
            };
            if now >= all_members[n].up {
                let asked = all_members[n].claims.ask(now, name, &all, copies);
                all_members[n].asked.insert(asked, name);
            }
        }
        if chance.random::<f64>() < 0.005 {
            // Stopped: it goes on with what it had when it wakes.
            all_members[n].up = now + 2.0 * chance.random::<f64>();
        }
        if chance.random::<f64>() < 0.01 {
            births += 1;
            all_members[n] = start(now + 0.3 * chance.random::<f64>(), n as u64, births);
        }
        // What is due on the wire.
        while let Some((&key, _)) = wire
            .first_key_value()
            .filter(|((at, _), _)| *at as f64 / 1e6 <= now)
        {
            let Some((from, to, birth, what)) = wire.remove(&key) else {
                break;
            };
            if now < all_members[to].up {
                if chance.random::<f64>() < 0.5 {
                    // It waits in the socket of one that is stopped.
                    wire.insert(
                        ((all_members[to].up * 1e6) as u64 + 1, key.1),
                        (from, to, birth, what),
                    );
                }
                continue;
            }
            let member = &mut all_members[to];
            let answer = match what {
                Wire::Sent(ClaimMessage::Claim { name, no, epoch }) => {
                    let verdict = member.holder.claim(
                        now,
                        Owner {
                            who: from as u64,
                            birth,
                        },
                        no,
                        name,
                        epoch,
                    );
                    Some(Wire::Said(no, epoch, verdict))
                }
                Wire::Sent(ClaimMessage::End { name, no, ended }) => {
                    member.holder.ended(
                        Owner {
                            who: from as u64,
                            birth,
                        },
                        no,
                        name,
                        ended,
                    );
                    Some(Wire::Heard(no))
                }
                // Answers to a former process are none of this one's.
                Wire::Said(..) | Wire::Heard(_) if birth != member.birth => None,
                Wire::Said(no, epoch, verdict) => {
                    member.claims.answered(from as u64, no, epoch, verdict);
                    None
                }
                Wire::Heard(no) => {
                    member.claims.confirmed(from as u64, no);
                    None
                }
                Wire::Records(after) => member.holder.page(now, after).map(Wire::Told),
                Wire::Told(..) if birth != member.birth => None,
                Wire::Told(page) => {
                    let others: Vec<u64> =
                        (0..members as u64).filter(|n| *n != to as u64).collect();
                    member.holder.take_page(now, from as u64, page, &others);
                    None
                }
            };
            if let Some(answer) = answer.filter(|_| chance.random::<f64>() >= loss) {
                no += 1;
                let at = ((now + late_s * chance.random::<f64>()) * 1e6) as u64;
                wire.insert((at, no), (to, from, birth, answer));
            }
        }
        for (n, member) in all_members.iter_mut().enumerate() {
            if now < member.up {
                continue;
            }
            let asked: Vec<u64> = member.asked.keys().copied().collect();
            for asked in asked {
                let Some(outcome) = member.claims.outcome(now, asked) else {
                    continue;
                };
                let Some(name) = member.asked.remove(&asked) else {
                    continue;
                };
                if let Outcome::Own { .. } = outcome {
                    owned += 1;
                    // Deferred unsent now and then; else there is an effect.
                    if chance.random::<f64>() < 0.3 {
                        member.claims.ended(
                            asked,
                            Ended {
                                status: 503,
                                ran: false,
                                body: None,
                            },
                        );
                    } else {
                        let effects = owners.entry(name).or_default();
                        *effects += 1;
                        twice += u32::from(*effects > 1);
                        member.out.push((asked, now + 0.5));
                    }
                }
            }
            let (over, rest) = member.out.drain(..).partition(|(_, at)| now >= *at);
            member.out = rest;
            let over: Vec<(u64, f64)> = over;
            for (asked, _) in over {
                member.claims.ended(
                    asked,
                    Ended {
                        status: 200,
                        ran: true,
                        body: Some(vec![1]),
                    },
                );
            }
            let mut post = Vec::new();
            member.claims.tick(now, &mut post);
            let birth = member.birth;
            let others: Vec<u64> = (0..members as u64)
                .filter(|other| *other != n as u64)
                .collect();
            for (to, after) in member.holder.recovery_requests(now, &others) {
                if chance.random::<f64>() >= loss {
                    no += 1;
                    let at = ((now + late_s * chance.random::<f64>()) * 1e6) as u64;
                    wire.insert((at, no), (n, to as usize, birth, Wire::Records(after)));
                }
            }
            for (to, sent) in post {
                let copies = if chance.random::<f64>() < 0.1 { 2 } else { 1 };
                for _ in 0..copies {
                    if chance.random::<f64>() < loss {
                        continue;
                    }
                    no += 1;
                    let at = ((now + late_s * chance.random::<f64>()) * 1e6) as u64;
                    wire.insert((at, no), (n, to as usize, birth, Wire::Sent(sent.clone())));
                }
            }
        }
    }
    (twice, owned)
}

#[test]
fn ten_thousand_schedules_and_no_name_has_two_effects() {
    let schedules: u64 = std::env::var("SCHEDULES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(10_000);
    let threads = std::thread::available_parallelism()
        .map_or(4, |n| n.get() as u64)
        .min(6);
    let all: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut owned = 0;
                for seed in (0..schedules).filter(|seed| seed % threads == thread) {
                    let (twice, n) = day(seed, false);
                    assert_eq!(twice, 0, "seed {seed}");
                    owned += u64::from(n);
                }
                owned
            })
        })
        .collect();
    let owned: u64 = all.into_iter().map(|thread| thread.join().unwrap()).sum();
    assert!(
        owned > 10 * schedules,
        "{owned} names owned in {schedules} schedules"
    );
}

#[test]
fn a_member_that_forgets_its_start_is_caught() {
    let caught = (0..2_000).find(|seed| day(*seed, true).0 > 0);
    println!("at seed {caught:?}");
    assert!(caught.is_some());
}

#[test]
fn a_retry_is_answered_by_rule_2() {
    let known = |status, ran, body: Option<&[u8]>| Outcome::Known {
        ended: Ended {
            status,
            ran,
            body: body.map(<[u8]>::to_vec),
        },
        age_ms: 1000,
    };
    let exclusive = RetryPolicy { window_s: None };
    let ticketed = RetryPolicy {
        window_s: Some(2.0),
    };
    let given = Answer::Say {
        status: 200,
        body: b"r".to_vec(),
    };
    assert_eq!(
        exclusive.answer(&known(200, true, Some(b"r"))),
        given,
        "what was made once is given again"
    );
    assert_eq!(
        exclusive.answer(&known(200, true, None)),
        Answer::WriteOff,
        "made, and too long to keep"
    );
    assert_eq!(exclusive.answer(&known(502, true, None)), Answer::WriteOff);
    assert_eq!(
        exclusive.answer(&Outcome::InHand { age_ms: 100 }),
        Answer::WriteOff,
        "it may have run"
    );
    assert_eq!(
        ticketed.answer(&Outcome::InHand { age_ms: 100 }),
        Answer::Later,
        "within its window"
    );
    assert_eq!(
        ticketed.answer(&Outcome::InHand { age_ms: 2100 }),
        Answer::WriteOff,
        "past it"
    );
    assert_eq!(
        exclusive.answer(&known(503, false, None)),
        Answer::Later,
        "it provably never ran"
    );
    assert_eq!(exclusive.answer(&Outcome::TooFew), Answer::Later);
}

#[test]
fn records_are_bounded_and_end() {
    let mut holder = Holder::new(-100.0, KEEP_S);
    for n in 0..100_000u64 {
        let name = Name(u128::from(n));
        assert_eq!(
            holder.claim(1.0, Owner { who: 1, birth: 1 }, n, name, 1),
            ClaimReply::Granted
        );
    }
    assert_eq!(
        holder.claim(1.0, Owner { who: 1, birth: 1 }, 0, Name(u128::MAX), 1),
        ClaimReply::Unavailable,
        "no room"
    );
    assert_eq!(
        holder.claim(
            1.0 + 1.1 * KEEP_S,
            Owner { who: 1, birth: 1 },
            0,
            Name(u128::MAX),
            1
        ),
        ClaimReply::Granted,
        "room again"
    );
    assert_eq!(holder.count(), 1);
}
