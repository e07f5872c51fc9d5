//! Guards against runner leases that outlast the agent's lease, and against outdated commands in answers to heartbeats.
//! Both could come about when the agent is partitioned from the scheduler or suspended for up to 22 s, when answers of
//! the scheduler arrive late, and when another scheduler is elected.

mod common;

use serde_json::{json, Value};

use sagetrail_protocol::agent::{RunnerCommands, AGENT_LEASE_MS};
use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::{List, Message, NodeId, Term, Time};
use sagetrail_test_support::SeededRandom;

use common::{commands, start, TestAgent, INCARNATION, LEADER, OTHER, TASK};

const SCHEDULES: u64 = 300;
/// The maximum interval between two heartbeats of the runner, in milliseconds.
const MAX_HEARTBEAT_INTERVAL_MS: u64 = 100;
const MICROS_PER_MS: u64 = 1_000;

/// The time from which the scheduler's answer extends the agent's lease.
#[derive(Clone, Copy, PartialEq, Debug)]
enum LeaseStart {
    /// The lease counts from the time at which the report was sent, which is correct.
    ReportSent,
    /// The lease counts from the arrival of the answer, which is wrong; the checker must flag it.
    AnswerArrival,
}

/// An answer of the scheduler in transit.
struct Answer {
    arrival_ms: u64,
    from: NodeId,
    commands: RunnerCommands,
}

/// An agent, its runner and its connection to the scheduler.
struct Connection {
    agent: TestAgent,
    random: SeededRandom,
    lease_start: LeaseStart,
    term: Term,
    is_partitioned: bool,
    /// The answers in transit; some of them arrive during a partition.
    in_transit: Vec<Answer>,
    sequence: u64,
    /// The time at which the latest answered report was sent, in microseconds.
    answered_report_sent_at: u64,
    fencing_token: u64,
    observed: u64,
    violations: Vec<String>,
}

impl Connection {
    fn new(seed: u64, lease_start: LeaseStart) -> Connection {
        let mut agent = TestAgent::connected();
        let answered_report_sent_at = agent.now.0;
        agent.sends.clear();
        Connection {
            agent,
            random: SeededRandom::new(seed),
            lease_start,
            term: 1,
            is_partitioned: false,
            in_transit: Vec::new(),
            sequence: 10,
            answered_report_sent_at,
            fencing_token: 0,
            observed: 0,
            violations: Vec::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.agent.now.0 / MICROS_PER_MS
    }

    /// Answers each report that reaches the scheduler; some answers are late.
    fn answer_reports(&mut self) {
        for (to, message) in std::mem::take(&mut self.agent.sends) {
            let Message::RunnerReport(report) = message else {
                continue;
            };
            if self.is_partitioned || to != self.leader() {
                continue;
            }
            let delay_ms = if self.random.one_in(8) {
                self.random.below(8_000)
            } else {
                self.random.below(20)
            };
            let revision = self.now_ms();
            let answer = RunnerCommands {
                agent: INCARNATION,
                sent_at: report.sent_at,
                start: List(vec![start(TASK, self.term)]),
                observed: revision,
                ..commands(self.term, revision)
            };
            self.in_transit.push(Answer {
                arrival_ms: self.now_ms() + delay_ms,
                from: to,
                commands: answer,
            });
        }
    }

    /// Returns the leader of the current term; the two terms have different leaders.
    fn leader(&self) -> NodeId {
        if self.term == 1 {
            LEADER
        } else {
            OTHER
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms();
        let arrivals: Vec<Answer> = self
            .in_transit
            .extract_if(.., |answer| answer.arrival_ms <= now_ms)
            .collect();
        for mut answer in arrivals {
            let sent_at = answer.commands.sent_at;
            self.answered_report_sent_at = self.answered_report_sent_at.max(sent_at);
            if self.lease_start == LeaseStart::AnswerArrival {
                answer.commands.sent_at = self.agent.now.0;
            }
            self.agent
                .receive(answer.from, Message::RunnerCommands(answer.commands));
        }
    }

    fn send_heartbeat(&mut self) {
        self.sequence += 1;
        let answer = self.agent.heartbeat(self.sequence, json!({}));
        self.check(&answer);
    }

    fn check(&mut self, answer: &Value) {
        let now = self.agent.now;
        let lease_ms = answer["hold_ms"].as_u64().unwrap_or_default();
        let agent_lease_end = Time(self.answered_report_sent_at).plus_millis(AGENT_LEASE_MS);
        if lease_ms > 0 && now.plus_millis(lease_ms) > agent_lease_end {
            self.violations.push(format!(
                "a lease of {lease_ms} ms was granted at {now:?}, but the agent's ends at {agent_lease_end:?}"
            ));
        }
        if lease_ms == 0 && !answer["start"].is_null() {
            self.violations
                .push(format!("a start was sent without a lease at {now:?}"));
        }
        let token = answer["fence_token"].as_u64().unwrap_or(self.fencing_token);
        let observed = answer["observed"].as_u64().unwrap_or(self.observed);
        if token < self.fencing_token || observed < self.observed {
            self.violations.push(format!(
                "{answer} came after fencing token {} and observed {}",
                self.fencing_token, self.observed
            ));
        }
        let attempt = answer["start"][0][1].as_u64().unwrap_or(token);
        if attempt != token {
            self.violations
                .push(format!("a start of another term was sent: {answer}"));
        }
        self.fencing_token = token;
        self.observed = observed;
    }

    fn run(&mut self, span_ms: u64) {
        let end_ms = self.now_ms() + span_ms;
        while self.now_ms() < end_ms {
            let interval_ms = self.random.below(MAX_HEARTBEAT_INTERVAL_MS) + 1;
            self.agent.advance(interval_ms);
            self.answer_reports();
            self.deliver();
            self.send_heartbeat();
            self.answer_reports();
        }
    }

    /// Suspends the agent's process; messages wait until it resumes.
    fn suspend(&mut self, span_ms: u64) {
        self.agent.now = self.agent.now.plus_millis(span_ms);
        self.deliver();
        self.send_heartbeat();
    }

    /// Partitions or suspends the agent once and returns the violations.
    fn find_violations(mut self) -> Vec<String> {
        self.run(1_500);
        self.is_partitioned = true;
        let span_ms = 1_000 + self.random.below(21_000);
        if self.random.one_in(2) {
            self.suspend(span_ms);
        } else {
            self.run(span_ms);
        }
        if span_ms > AGENT_LEASE_MS + 8_000 {
            self.sequence += 1;
            let answer = self.agent.heartbeat(self.sequence, json!({}));
            if !answer["hold_ms"].is_null() {
                self.violations.push(format!(
                    "a lease was granted after {span_ms} ms without contact"
                ));
            }
        }
        self.is_partitioned = false;
        if self.random.one_in(2) {
            self.term = 2;
            // The former leader resigns; another core process names the new one.
            let not_leader = NotLeader {
                request: 0,
                term: 1,
                leader: NodeId::default(),
            };
            self.agent.receive(LEADER, Message::NotLeader(not_leader));
            self.agent.receive_directory(2, OTHER);
        }
        self.run(3_000);
        self.sequence += 1;
        if self.agent.heartbeat(self.sequence, json!({}))["hold_ms"].is_null() {
            self.violations
                .push("no lease was granted 3 s after the partition".to_owned());
        }
        self.violations
    }
}

#[test]
fn runner_leases_never_outlast_the_agents_lease_and_old_commands_are_not_passed_on() {
    for seed in 0..SCHEDULES {
        let violations = Connection::new(seed, LeaseStart::ReportSent).find_violations();
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn the_checker_flags_a_lease_that_is_counted_from_the_arrival_of_an_answer() {
    let flagged = (0..40)
        .filter(|seed| {
            !Connection::new(*seed, LeaseStart::AnswerArrival)
                .find_violations()
                .is_empty()
        })
        .count();
    assert!(flagged >= 20, "{flagged} of 40 schedules were flagged");
}

#[test]
fn heartbeats_are_answered_and_leases_granted_until_the_agents_lease_expires() {
    let mut agent = TestAgent::connected();
    let began = agent.now;
    let mut last_lease_ms = 0;
    for sequence in 10..210 {
        agent.advance(MAX_HEARTBEAT_INTERVAL_MS);
        let answer = agent.heartbeat(sequence, json!({}));
        if !answer["hold_ms"].is_null() {
            last_lease_ms = agent.now.millis_since(began);
        }
    }
    assert!(
        (AGENT_LEASE_MS - 200..AGENT_LEASE_MS).contains(&last_lease_ms),
        "the last lease was granted after {last_lease_ms} ms"
    );
}
