//! A gateway that is cut off from the core, or frozen, for some twenty seconds: what clients and the platform hear.

mod common;

use common::{directory, reply, Rig, CORE};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::distribution::{ConfigCurrent, Subscribe};
use sagetrail_protocol::node::{HttpRequestId, Method};
use sagetrail_protocol::{Message, NodeId};
use std::collections::BTreeMap;

/// The gateway is not ready once the leader or its configuration has been out of reach for so long, in milliseconds.
const READY_MS: u64 = 2_500;
/// New jobs are refused once the leader has been silent for so long, in milliseconds.
const RESPONSIVE_MS: u64 = 1_500;
/// One way between processes, in milliseconds.
const WAY_MS: u64 = 5;
const SCHEDULES: u64 = 150;

/// Which ways are cut.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Cut {
    Whole,
    Outbound,
    Inbound,
}

/// A gateway that may speak for the scheduler.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Variant {
    Sound,
    /// Gives 503 instead of 504.
    RefusesAlone,
    /// Gives 410 instead of 504.
    DeniesAlone,
}

struct Asked {
    method: Method,
    sent_ms: u64,
    deadline_ms: u64,
    answer: Option<(u16, u64)>,
}

/// A gateway, three core processes of which the first schedules, and a network that is cut.
struct Net {
    rig: Rig,
    random: Pcg64Mcg,
    cut: Option<Cut>,
    asked: BTreeMap<HttpRequestId, Asked>,
    /// Messages on their way to the gateway.
    coming: Vec<(u64, NodeId, Message)>,
    /// Submissions of which a copy left the gateway, by their number; lost ones too.
    left: Vec<u64>,
    variant: Variant,
    violations: Vec<String>,
}

impl Net {
    fn new(seed: u64, variant: Variant) -> Net {
        let random = Pcg64Mcg::seed_from_u64(seed);
        Net {
            rig: Rig::new(),
            random,
            cut: None,
            asked: BTreeMap::new(),
            coming: Vec::new(),
            left: Vec::new(),
            variant,
            violations: Vec::new(),
        }
    }

    fn is_cut(&self, ways: [Cut; 2]) -> bool {
        self.cut.is_some_and(|cut| ways.contains(&cut))
    }

    fn ask(&mut self) {
        let method = [Method::Post, Method::Get, Method::Delete][self.random.random_range(0..3)];
        let deadline_ms = self.random.random_range(300..4_000);
        let body = if method == Method::Post {
            b"{}".to_vec()
        } else {
            Vec::new()
        };
        let id = self.rig.http(method, body, Some(deadline_ms));
        let sent_ms = self.rig.now_ms;
        self.asked.insert(
            id,
            Asked {
                method,
                sent_ms,
                deadline_ms,
                answer: None,
            },
        );
    }

    /// Goes on by a millisecond.
    fn tick(&mut self) {
        self.rig.pass(1);
        self.take_sends();
        let now_ms = self.rig.now_ms;
        let due: Vec<_> = self
            .coming
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms)
            .collect();
        for (_, from, message) in due {
            if !self.is_cut([Cut::Whole, Cut::Inbound]) {
                self.rig.message(from, message);
            }
        }
        self.take_sends();
        self.take_replies();
    }

    fn take_sends(&mut self) {
        for (to, message) in std::mem::take(&mut self.rig.outbox.sends) {
            if let Message::ClientRequest(request) = &message {
                self.left.push(request.request);
            }
            if self.is_cut([Cut::Whole, Cut::Outbound]) {
                continue;
            }
            let answer = match message {
                Message::Hello(_) => directory(1, CORE[0]),
                Message::Subscribe(subscribe) if subscribe.known_version < 5 => {
                    self.rig.update(to, 5);
                    continue;
                }
                Message::Subscribe(Subscribe { asked_at, .. }) => {
                    Message::ConfigCurrent(ConfigCurrent {
                        version: 5,
                        age_ms: 0,
                        asked_at,
                    })
                }
                Message::ClientRequest(request) if to == CORE[0] => reply(request.request, 200),
                _ => continue,
            };
            self.coming.push((self.rig.now_ms + WAY_MS, to, answer));
        }
    }

    fn take_replies(&mut self) {
        let now_ms = self.rig.now_ms;
        for (id, reply) in std::mem::take(&mut self.rig.outbox.replies) {
            let Some(asked) = self.asked.get_mut(&id) else {
                continue;
            };
            let status = match (self.variant, reply.status) {
                (Variant::RefusesAlone, 504) => 503,
                (Variant::DeniesAlone, 504) => 410,
                (_, status) => status,
            };
            asked.answer = Some((status, now_ms));
        }
    }

    /// The number under which the gateway sends its next request.
    fn requests_left(&self) -> usize {
        self.left.len()
    }

    /// One client asks, and is followed to its answer before the next one does: what left meanwhile is its request.
    fn follow_one(&mut self) {
        let before = self.requests_left();
        self.ask();
        self.take_replies();
        self.take_sends();
        let id = *self.asked.keys().next_back().unwrap();
        while self.asked[&id].answer.is_none() {
            self.tick();
            let asked = &self.asked[&id];
            if self.rig.now_ms > asked.sent_ms + asked.deadline_ms {
                self.violations
                    .push(format!("no answer in {} ms", asked.deadline_ms));
                return;
            }
        }
        let has_left = self.requests_left() > before;
        let asked = &self.asked[&id];
        let status = asked.answer.map_or(0, |(status, _)| status);
        let allowed: &[u16] = match (self.cut, has_left) {
            (None, true) => &[200, 504],
            (None, false) => &[503],
            (Some(_), true) => &[504],
            (Some(_), false) => &[503],
        };
        if !allowed.contains(&status) {
            let (method, cut) = (asked.method, self.cut);
            self.violations.push(format!(
                "{method:?} with {cut:?}, sent on {has_left}: {status}"
            ));
        }
    }

    fn play(mut self) -> Vec<String> {
        (0..1_000).for_each(|_| self.tick());
        assert_eq!(self.rig.readiness(), 200);
        let cut = [Cut::Whole, Cut::Outbound, Cut::Inbound][self.random.random_range(0..3)];
        self.cut = Some(cut);
        // What is on its way is lost with the cut.
        self.coming.clear();
        let began_ms = self.rig.now_ms;
        let span_ms = self.random.random_range(1_000..20_000);
        while self.rig.now_ms < began_ms + span_ms {
            self.follow_one();
            let cut_ms = self.rig.now_ms - began_ms;
            if cut_ms > READY_MS && self.rig.readiness() != 503 {
                self.violations
                    .push(format!("ready after {cut_ms} ms of {cut:?}"));
            }
            let pause = self.random.random_range(0..400);
            (0..pause).for_each(|_| self.tick());
        }
        self.cut = None;
        (0..900).for_each(|_| self.tick());
        if self.rig.readiness() != 200 {
            self.violations
                .push("not ready 900 ms after the cut".to_owned());
        }
        self.follow_one();
        self.violations
    }
}

#[test]
fn a_gateway_that_is_cut_off_neither_refuses_what_it_sent_nor_answers_by_itself() {
    for seed in 0..SCHEDULES {
        let violations = Net::new(seed, Variant::Sound).play();
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn the_checker_flags_gateways_that_speak_for_the_scheduler() {
    for variant in [Variant::RefusesAlone, Variant::DeniesAlone] {
        let flagged = (0..20)
            .filter(|seed| !Net::new(*seed, variant).play().is_empty())
            .count();
        assert!(
            flagged >= 10,
            "{variant:?}: {flagged} of 20 schedules were flagged"
        );
    }
}

#[test]
fn submissions_are_refused_once_the_scheduler_is_silent() {
    let mut rig = Rig::settled();
    rig.pass_in_touch(2_000, CORE[0], 1, 5);
    rig.pass(RESPONSIVE_MS - 100);
    rig.clear();
    let early = rig.submit();
    assert_eq!(rig.requests().len(), 1);
    rig.pass(200);
    let late = rig.submit();
    assert_eq!(rig.status_of(late), Some(503));
    rig.pass(3_000);
    assert_eq!(rig.status_of(early), Some(504));
}

#[test]
fn a_thawed_gateway_is_not_ready_by_what_waited_for_it() {
    for frozen_ms in [3_000, 8_000, 20_000] {
        let mut rig = Rig::settled();
        rig.pass_in_touch(2_000, CORE[0], 1, 5);
        assert_eq!(rig.readiness(), 200);
        // It stands still, and wakes with the answers of that time in its sockets, now cut off.
        let asked_at = rig.now_ms * 1000;
        rig.now_ms += frozen_ms;
        rig.directory(CORE[0], 1, CORE[0]);
        rig.update(CORE[1], 5);
        let current = ConfigCurrent {
            version: 5,
            age_ms: 0,
            asked_at,
        };
        rig.message(CORE[1], Message::ConfigCurrent(current));
        rig.answer(CORE[0], 1, 200);
        rig.directory(CORE[0], 1, CORE[0]);
        assert_eq!(rig.readiness(), 503, "after {frozen_ms} ms");
        rig.pass(300);
        assert_eq!(rig.readiness(), 503, "after {frozen_ms} ms");
        rig.pass_in_touch(500, CORE[0], 1, 5);
        assert_eq!(rig.readiness(), 200, "after {frozen_ms} ms");
    }
}

#[test]
fn a_cut_off_member_keeps_no_gateway_ready() {
    let mut rig = Rig::settled();
    rig.pass_in_touch(1_000, CORE[0], 1, 5);
    // The former scheduler, without its lease, names nobody; members that are cut off hand nothing out.
    for _ in 0..40 {
        rig.pass(100);
        let nobody = NodeId::default();
        rig.directory(CORE[0], 1, nobody);
        rig.current(CORE[1], 5, 0);
    }
    assert_eq!(rig.readiness(), 503);
    let id = rig.http(Method::Get, Vec::new(), Some(1_000));
    rig.pass(1_000);
    assert_eq!(rig.status_of(id), Some(503));
}
