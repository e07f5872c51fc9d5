//! The three on their network, and what must hold at each millisecond.

use super::chance::Chance;
use super::runner::Runner;
use super::scheduler::Scheduler;
use crate::common::{now, settings, AGENT, LEADER};
use sagetrail_agent::AgentNode;
use sagetrail_protocol::directory::Directory;
use sagetrail_protocol::node::{
    Event, HealthCheckId, HealthCheckResult, HttpEndpoint, HttpRequest, HttpRequestId, Method,
    Node, Outbox,
};
use sagetrail_protocol::{List, Message, Time};

const TASKS: [&str; 3] = ["a.0.0.0", "b.0.0.0", "c.0.0.0"];

enum Letter {
    /// For one life of the agent, or for whichever it meets.
    Heartbeat {
        agent: Option<u64>,
        runner: u64,
        sequence: u64,
        instance: String,
        body: Vec<u8>,
    },
    Answer {
        runner: u64,
        sequence: u64,
        body: Vec<u8>,
    },
    Deregister {
        runner: u64,
        instance: String,
    },
    Deregistered {
        runner: u64,
    },
    ToAgent {
        agent: u64,
        message: Message,
    },
    ToScheduler {
        term: u64,
        message: Message,
    },
    HealthCheck {
        agent: u64,
        id: HealthCheckId,
    },
    Probed {
        agent: u64,
        id: HealthCheckId,
        result: HealthCheckResult,
    },
}

pub(crate) struct World {
    chance: Chance,
    now_ms: u64,
    letters: Vec<(u64, Letter)>,
    agent: Option<AgentNode>,
    agent_number: u64,
    agent_started_ms: u64,
    agent_back_ms: u64,
    runner: Runner,
    scheduler: Scheduler,
    cut_until_ms: u64,
    /// Runners deregister first and serve on; heartbeats come seconds late at times.
    departures: bool,
    /// Whom this life of the agent has heard deregister.
    leaving: Vec<String>,
    pub starts: u64,
    pub deaths_found: u64,
    pub departed: u64,
    pub late: u64,
}

impl World {
    pub(crate) fn new(seed: u64) -> World {
        World {
            chance: Chance::new(seed),
            now_ms: 0,
            letters: Vec::new(),
            agent: None,
            agent_number: 0,
            agent_started_ms: 0,
            agent_back_ms: 0,
            runner: Runner::new(1, 0),
            scheduler: Scheduler::new(),
            cut_until_ms: 0,
            departures: false,
            leaving: Vec::new(),
            starts: 0,
            deaths_found: 0,
            departed: 0,
            late: 0,
        }
    }

    pub(crate) fn with_departures(seed: u64) -> World {
        World {
            departures: true,
            ..World::new(seed)
        }
    }

    pub(crate) fn over(&self) -> usize {
        self.scheduler.over.len()
    }

    pub(crate) fn play(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now_ms += 1;
            self.trouble();
            if self.departures {
                self.depart();
            }
            self.agent_wakes();
            self.runner.tick(self.now_ms);
            self.runner_calls();
            self.deliver();
            self.scheduler.tick(self.now_ms);
            self.decide();
            self.check();
        }
        self.starts += self.runner.starts;
    }

    fn trouble(&mut self) {
        if self.chance.once_in(15_000) {
            self.agent = None;
            self.agent_back_ms = self.now_ms + 50 + self.chance.below(4000);
        }
        if self.chance.once_in(30_000) {
            self.end_runner();
        }
        if self.chance.once_in(30_000) {
            self.cut_until_ms = self.now_ms + self.chance.below(40_000);
        }
        if self.chance.once_in(30_000) {
            self.scheduler.elect(self.now_ms);
        }
        if self.chance.once_in(60_000) {
            self.runner.draining = true;
        }
    }

    /// It is gone, and comes back as another instance.
    fn end_runner(&mut self) {
        self.starts += self.runner.starts;
        let up_ms = self.now_ms + 300 + self.chance.below(1_500);
        self.runner = Runner::new(self.runner.number + 1, up_ms);
    }

    fn depart(&mut self) {
        if self.chance.once_in(6_000) {
            self.agent = None;
            self.agent_back_ms = self.now_ms + 50 + self.chance.below(2_000);
        }
        if self.chance.once_in(8_000) {
            let serves_on_ms = 200 + self.chance.below(8_000);
            self.runner.depart(self.now_ms, serves_on_ms);
        }
        if self
            .runner
            .departure
            .as_ref()
            .is_some_and(|departure| self.now_ms >= departure.ends_ms)
        {
            self.departed += 1;
            self.end_runner();
        }
        if self.runner.deregisters(self.now_ms) {
            let (runner, instance) = (self.runner.number, self.runner.instance());
            self.send(Letter::Deregister { runner, instance });
        }
    }

    fn agent_time(&self) -> Time {
        Time(1).plus_millis(self.now_ms - self.agent_started_ms)
    }

    fn agent_wakes(&mut self) {
        if self.agent.is_none() && self.now_ms >= self.agent_back_ms {
            self.agent_number += 1;
            self.agent_started_ms = self.now_ms;
            let mut outbox = Outbox::default();
            let agent = AgentNode::new(
                settings(self.agent_number),
                now(self.agent_time()),
                &mut outbox,
            );
            self.agent = Some(agent);
            self.leaving.clear();
            self.post(outbox);
        }
        let time = self.agent_time();
        let due = self
            .agent
            .as_ref()
            .and_then(Node::next_wake)
            .is_some_and(|wake| wake <= time);
        if due && !self.chance.once_in(10) {
            self.agent_event(Event::Wake);
        }
    }

    fn agent_event(&mut self, event: Event) -> Option<(u16, Vec<u8>)> {
        let time = self.agent_time();
        let agent = self.agent.as_mut()?;
        let mut outbox = Outbox::default();
        agent.handle(now(time), event, &mut outbox);
        let reply = outbox
            .replies
            .pop()
            .map(|(_, reply)| (reply.status, reply.body));
        self.post(outbox);
        reply
    }

    fn post(&mut self, outbox: Outbox) {
        for (to, message) in outbox.sends {
            if to == LEADER && self.now_ms >= self.cut_until_ms {
                let term = self.scheduler.term;
                self.send(Letter::ToScheduler { term, message });
            }
        }
        for health_check in outbox.health_checks {
            self.send(Letter::HealthCheck {
                agent: self.agent_number,
                id: health_check.id,
            });
        }
    }

    /// A look finds the port as it is when it comes there; what it found may come late.
    fn health_check(&mut self, agent: u64, id: HealthCheckId) {
        let result = match self.chance.below(10) {
            0 => HealthCheckResult::NoAnswer,
            _ if self.now_ms < self.runner.up_ms => HealthCheckResult::Refused,
            _ => HealthCheckResult::Status(200),
        };
        self.send(Letter::Probed { agent, id, result });
    }

    fn probed(&mut self, id: HealthCheckId, result: HealthCheckResult) {
        let deaths = |world: &World| {
            world
                .agent
                .as_ref()
                .map_or(0, |agent| agent.counters().deaths)
        };
        let before = deaths(self);
        self.agent_event(Event::HealthCheck { id, result });
        self.deaths_found += deaths(self) - before;
    }

    fn send(&mut self, letter: Letter) {
        if let Some(way_ms) = self.chance.way_ms() {
            self.letters.push((self.now_ms + way_ms, letter));
        }
    }

    fn runner_calls(&mut self) {
        let Some(body) = self.runner.heartbeat(self.now_ms) else {
            return;
        };
        let sequence = self.runner.outstanding.as_ref().unwrap().sequence;
        let instance = self.runner.instance();
        let runner = self.runner.number;
        if self.departures && self.chance.once_in(8) {
            self.late += 1;
            let at_ms = self.now_ms + 1_000 + self.chance.below(4_000);
            return self.letters.push((
                at_ms,
                Letter::Heartbeat {
                    agent: None,
                    runner,
                    sequence,
                    instance,
                    body,
                },
            ));
        }
        let agent = Some(self.agent_number);
        self.send(Letter::Heartbeat {
            agent,
            runner,
            sequence,
            instance,
            body,
        });
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .letters
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, letter) in due {
            match letter {
                Letter::Heartbeat {
                    agent,
                    runner,
                    sequence,
                    instance,
                    body,
                } => {
                    self.deliver_heartbeat(agent, runner, sequence, &instance, body);
                }
                Letter::Deregister { runner, instance } => {
                    self.deliver_deregister(runner, instance)
                }
                Letter::Deregistered { runner } if runner == self.runner.number => {
                    self.runner.deregistered();
                }
                Letter::Answer {
                    runner,
                    sequence,
                    body,
                } if runner == self.runner.number => {
                    self.runner.answer(now_ms, sequence, &body);
                }
                Letter::ToAgent { agent, message } if agent == self.agent_number => {
                    self.agent_event(Event::Message {
                        from: LEADER,
                        message,
                    });
                }
                Letter::ToScheduler { term, message } if term == self.scheduler.term => {
                    self.scheduler_message(message);
                }
                Letter::HealthCheck { agent, id } => self.health_check(agent, id),
                Letter::Probed { agent, id, result } if agent == self.agent_number => {
                    self.probed(id, result);
                }
                _ => {}
            }
        }
    }

    fn deliver_heartbeat(
        &mut self,
        agent: Option<u64>,
        runner: u64,
        sequence: u64,
        instance: &str,
        body: Vec<u8>,
    ) {
        if agent.is_some_and(|agent| agent != self.agent_number) {
            return;
        }
        if let Some((200, body)) = self.call(
            format!("/v1/instances/{instance}/heartbeat"),
            sequence,
            body,
        ) {
            self.check_answer(instance, &body);
            self.send(Letter::Answer {
                runner,
                sequence,
                body,
            });
        }
    }

    fn deliver_deregister(&mut self, runner: u64, instance: String) {
        let path = format!("/v1/instances/{instance}/deregister");
        if self
            .call(path, 0, Vec::new())
            .is_some_and(|(status, _)| status == 200)
        {
            self.leaving.push(instance);
            self.send(Letter::Deregistered { runner });
        }
    }

    fn call(&mut self, path: String, number: u64, body: Vec<u8>) -> Option<(u16, Vec<u8>)> {
        let (host, method) = (String::new(), Method::Post);
        let request = HttpRequest {
            method,
            host,
            path,
            base_version: None,
            deadline_ms: None,
            body,
        };
        self.agent_event(Event::Http {
            id: HttpRequestId(number),
            endpoint: HttpEndpoint::Control,
            request,
        })
    }

    /// An agent starts nothing at a runner that it has heard deregister.
    fn check_answer(&self, instance: &str, body: &[u8]) {
        let answer: serde_json::Value = serde_json::from_slice(body).unwrap();
        let leaves = self.leaving.iter().any(|leaving| leaving == instance);
        assert!(
            !leaves || answer["start"].is_null(),
            "a start at {instance}, which leaves: {answer}"
        );
    }

    fn scheduler_message(&mut self, message: Message) {
        let agent = self.agent_number;
        let answer = match message {
            Message::Hello(_) => Message::Directory(Directory {
                members_version: 1,
                members: List(vec![LEADER]),
                next_members: List::default(),
                term: self.scheduler.term,
                leader: LEADER,
                config_version: 0,
                relays: List(vec![AGENT]),
            }),
            Message::RunnerReport(report) => {
                Message::RunnerCommands(self.scheduler.report(self.now_ms, &report))
            }
            _ => return,
        };
        self.send(Letter::ToAgent {
            agent,
            message: answer,
        });
    }

    fn decide(&mut self) {
        let task = TASKS[self.chance.below(3) as usize];
        if self.chance.once_in(300) {
            self.scheduler.assign(task);
        }
        if self.chance.once_in(2_000) {
            self.scheduler.withdraw(task);
        }
        if self.chance.once_in(8_000) {
            self.runner.end(task, "done");
        }
        if self.chance.once_in(100) && self.now_ms >= self.cut_until_ms {
            let message = Message::RunnerCommands(self.scheduler.orders());
            let agent = self.agent_number;
            self.send(Letter::ToAgent { agent, message });
        }
    }

    /// Nothing runs that was given up.
    fn check(&self) {
        for (task, attempt) in &self.scheduler.over {
            let running = self.runner.running.get(task) == Some(attempt);
            assert!(
                !running,
                "{task} run {attempt} was given up and runs at {} ms",
                self.now_ms
            );
        }
        assert!(
            !self.runner.started_after_notice,
            "a start after the notice of leaving"
        );
    }
}
