//! An agent that is cut off from the scheduler, or frozen, for some twenty seconds: what its runner's heartbeats are
//! answered, when late answers of the scheduler come and when another scheduler follows.

mod common;
mod model;
use common::{orders, start, Script, INCARNATION, LEADER, OTHER, TASK};
use model::chance::Chance;
use sagetrail_protocol::agent::{RunnerCommands, AGENT_LEASE_MS};
use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::{List, Message, NodeId, Term, Time};
use serde_json::{json, Value};

const SCHEDULES: u64 = 300;
/// The runner calls this often, in milliseconds.
const BEAT_MS: u64 = 100;
const MICROS_PER_MS: u64 = 1_000;

/// How the sending of a report is told back by the scheduler.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Stamp {
    /// As the report says.
    OfReport,
    /// As if it had been sent when the answer arrives: what no scheduler may say.
    OfArrival,
}

struct Answer {
    at_ms: u64,
    from: NodeId,
    orders: RunnerCommands,
}

/// An agent, its runner, and the way to the scheduler.
struct Line {
    script: Script,
    chance: Chance,
    stamp: Stamp,
    term: Term,
    cut: bool,
    /// Answers of the scheduler on their way; a cut may hold them up.
    coming: Vec<Answer>,
    sequence: u64,
    /// The sending of the latest report that an answer has come to, in microseconds.
    answered: u64,
    fence: u64,
    observed: u64,
    violations: Vec<String>,
}

impl Line {
    fn new(seed: u64, stamp: Stamp) -> Line {
        let mut script = Script::settled();
        let answered = script.now.0;
        script.sends.clear();
        Line {
            script,
            chance: Chance::new(seed),
            stamp,
            term: 1,
            cut: false,
            coming: Vec::new(),
            sequence: 10,
            answered,
            fence: 0,
            observed: 0,
            violations: Vec::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.script.now.0 / MICROS_PER_MS
    }

    /// The scheduler answers each report that reaches it; some answers are late.
    fn serve(&mut self) {
        for (to, message) in std::mem::take(&mut self.script.sends) {
            let Message::RunnerReport(report) = message else {
                continue;
            };
            if self.cut || to != self.leader() {
                continue;
            }
            let way_ms = if self.chance.once_in(8) {
                self.chance.below(8_000)
            } else {
                self.chance.below(20)
            };
            let revision = self.now_ms();
            let given = RunnerCommands {
                agent: INCARNATION,
                sent_at: report.sent_at,
                start: List(vec![start(TASK, self.term)]),
                observed: revision,
                ..orders(self.term, revision)
            };
            self.coming.push(Answer {
                at_ms: self.now_ms() + way_ms,
                from: to,
                orders: given,
            });
        }
    }

    /// In the first term one process schedules, in the second another.
    fn leader(&self) -> NodeId {
        if self.term == 1 {
            LEADER
        } else {
            OTHER
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms();
        let due: Vec<Answer> = self
            .coming
            .extract_if(.., |answer| answer.at_ms <= now_ms)
            .collect();
        for mut answer in due {
            self.answered = self.answered.max(answer.orders.sent_at);
            if self.stamp == Stamp::OfArrival {
                answer.orders.sent_at = self.script.now.0;
            }
            self.script
                .message(answer.from, Message::RunnerCommands(answer.orders));
        }
    }

    fn beat(&mut self) {
        self.sequence += 1;
        let answer = self.script.beat(self.sequence, json!({}));
        self.check(&answer);
    }

    fn check(&mut self, answer: &Value) {
        let now = self.script.now;
        let hold_ms = answer["hold_ms"].as_u64().unwrap_or_default();
        let lease_end = Time(self.answered).plus_millis(AGENT_LEASE_MS);
        if hold_ms > 0 && now.plus_millis(hold_ms) > lease_end {
            self.violations.push(format!(
                "a hold of {hold_ms} ms at {now:?}, the lease ends at {lease_end:?}"
            ));
        }
        if hold_ms == 0 && !answer["start"].is_null() {
            self.violations
                .push(format!("a start without a hold at {now:?}"));
        }
        let fence = answer["fence_token"].as_u64().unwrap_or(self.fence);
        let observed = answer["observed"].as_u64().unwrap_or(self.observed);
        if fence < self.fence || observed < self.observed {
            self.violations.push(format!(
                "{answer} after fence {} and {}",
                self.fence, self.observed
            ));
        }
        let attempt = answer["start"][0][1].as_u64().unwrap_or(fence);
        if attempt != fence {
            self.violations
                .push(format!("a start of another term: {answer}"));
        }
        (self.fence, self.observed) = (fence, observed);
    }

    fn run(&mut self, span_ms: u64) {
        let end_ms = self.now_ms() + span_ms;
        while self.now_ms() < end_ms {
            let pause = self.chance.below(BEAT_MS) + 1;
            self.script.pass(pause);
            self.serve();
            self.deliver();
            self.beat();
            self.serve();
        }
    }

    /// The process stands still; what comes meanwhile waits.
    fn freeze(&mut self, span_ms: u64) {
        self.script.now = self.script.now.plus_millis(span_ms);
        self.deliver();
        self.beat();
    }

    fn play(mut self) -> Vec<String> {
        self.run(1_500);
        self.cut = true;
        let span_ms = 1_000 + self.chance.below(21_000);
        if self.chance.once_in(2) {
            self.freeze(span_ms);
        } else {
            self.run(span_ms);
        }
        if span_ms > AGENT_LEASE_MS + 8_000 {
            self.sequence += 1;
            let answer = self.script.beat(self.sequence, json!({}));
            if !answer["hold_ms"].is_null() {
                self.violations.push(format!("held on after {span_ms} ms"));
            }
        }
        self.cut = false;
        if self.chance.once_in(2) {
            self.term = 2;
            // The former scheduler tells what it knows; another member of the core names the new one.
            let refusal = NotLeader {
                request: 0,
                term: 1,
                leader: NodeId::default(),
            };
            self.script.message(LEADER, Message::NotLeader(refusal));
            self.script.directory(2, OTHER);
        }
        self.run(3_000);
        self.sequence += 1;
        if self.script.beat(self.sequence, json!({}))["hold_ms"].is_null() {
            self.violations
                .push("no hold 3 s after the return".to_owned());
        }
        self.violations
    }
}

#[test]
fn no_hold_outlasts_the_lease_and_nothing_old_is_ordered() {
    for seed in 0..SCHEDULES {
        let violations = Line::new(seed, Stamp::OfReport).play();
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn the_checker_flags_a_lease_that_is_counted_from_the_arrival_of_an_answer() {
    let flagged = (0..40)
        .filter(|seed| !Line::new(*seed, Stamp::OfArrival).play().is_empty())
        .count();
    assert!(flagged >= 20, "{flagged} of 40 schedules were flagged");
}

#[test]
fn heartbeats_are_answered_all_the_while_and_held_for_as_long_as_the_lease() {
    let mut script = Script::settled();
    let began = script.now;
    let mut last_hold_ms = 0;
    for sequence in 10..210 {
        script.pass(BEAT_MS);
        let answer = script.beat(sequence, json!({}));
        if !answer["hold_ms"].is_null() {
            last_hold_ms = script.now.millis_since(began);
        }
    }
    assert!(
        (AGENT_LEASE_MS - 200..AGENT_LEASE_MS).contains(&last_hold_ms),
        "{last_hold_ms} ms"
    );
}
