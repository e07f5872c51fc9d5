//! A simulation of the runner, the agent and the scheduler in steps of one millisecond, with a check of the invariants
//! after each step.

use sagetrail_agent::AgentNode;
use sagetrail_protocol::directory::Directory;
use sagetrail_protocol::node::{
    Event, HealthCheckId, HealthCheckResult, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId,
    Method, Node, Outbox,
};
use sagetrail_protocol::{List, Message, Time};
use sagetrail_test_support::SeededRandom;

use super::network::{HeartbeatCall, Network, Transmission};
use super::runner::Runner;
use super::scheduler::Scheduler;
use crate::common::{clock, settings, AGENT, LEADER};

const TASKS: [&str; 3] = ["a.0.0.0", "b.0.0.0", "c.0.0.0"];

/// The agent's process, which restarts with another incarnation after it was stopped.
#[derive(Default)]
struct AgentProcess {
    /// `None` while the process is down.
    node: Option<AgentNode>,
    incarnation: u64,
    started_ms: u64,
    restart_ms: u64,
    /// The instances whose deregistration this incarnation has acknowledged.
    deregistered: Vec<String>,
}

/// The whole model, with counters of its events.
pub(crate) struct Cluster {
    random: SeededRandom,
    now_ms: u64,
    network: Network,
    agent: AgentProcess,
    runner: Runner,
    scheduler: Scheduler,
    /// The time until which the agent cannot reach the scheduler.
    partitioned_until_ms: u64,
    /// Whether runners deregister and continue to serve before they end, and some heartbeats arrive seconds late.
    has_departures: bool,
    /// The number of runs that runners started.
    pub starts: u64,
    /// The number of dead runners that health checks found.
    pub deaths_found: u64,
    /// The number of runners that deregistered and ended.
    pub departed: u64,
    /// The number of heartbeats that were seconds late.
    pub late_heartbeats: u64,
}

impl Cluster {
    /// Creates a model with crashes, restarts, partitions and elections.
    pub(crate) fn new(seed: u64) -> Cluster {
        Cluster {
            random: SeededRandom::new(seed),
            now_ms: 0,
            network: Network::default(),
            agent: AgentProcess::default(),
            runner: Runner::new(1, 0),
            scheduler: Scheduler::new(),
            partitioned_until_ms: 0,
            has_departures: false,
            starts: 0,
            deaths_found: 0,
            departed: 0,
            late_heartbeats: 0,
        }
    }

    /// Creates a model that also has departures of runners and late heartbeats.
    pub(crate) fn with_departures(seed: u64) -> Cluster {
        Cluster {
            has_departures: true,
            ..Cluster::new(seed)
        }
    }

    /// Returns the number of runs that the scheduler has given up.
    pub(crate) fn given_up(&self) -> usize {
        self.scheduler.given_up.len()
    }

    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now_ms += 1;
            self.inject_faults();
            if self.has_departures {
                self.run_departures();
            }
            self.run_agent();
            self.runner.tick(self.now_ms);
            self.send_heartbeat();
            self.deliver();
            self.scheduler.tick(self.now_ms);
            self.change_runs();
            self.check_invariants();
        }
        self.starts += self.runner.starts;
    }

    fn inject_faults(&mut self) {
        if self.random.one_in(15_000) {
            self.stop_agent(4_000);
        }
        if self.random.one_in(30_000) {
            self.replace_runner();
        }
        if self.random.one_in(30_000) {
            self.partitioned_until_ms = self.now_ms + self.random.below(40_000);
        }
        if self.random.one_in(30_000) {
            self.scheduler.elect(self.now_ms);
        }
        if self.random.one_in(60_000) {
            self.runner.is_draining = true;
        }
    }

    fn stop_agent(&mut self, max_down_ms: u64) {
        self.agent.node = None;
        self.agent.restart_ms = self.now_ms + 50 + self.random.below(max_down_ms);
    }

    /// Ends the runner, which restarts later as another instance.
    fn replace_runner(&mut self) {
        self.starts += self.runner.starts;
        let up_ms = self.now_ms + 300 + self.random.below(1_500);
        self.runner = Runner::new(self.runner.number + 1, up_ms);
    }

    fn run_departures(&mut self) {
        if self.random.one_in(6_000) {
            self.stop_agent(2_000);
        }
        if self.random.one_in(8_000) {
            let serves_on_ms = 200 + self.random.below(8_000);
            self.runner.depart(self.now_ms, serves_on_ms);
        }
        if self.runner.has_departed(self.now_ms) {
            self.departed += 1;
            self.replace_runner();
        }
        if self.runner.deregisters(self.now_ms) {
            let (runner, instance) = (self.runner.number, self.runner.instance());
            self.send(Transmission::Deregister { runner, instance });
        }
    }

    fn agent_time(&self) -> Time {
        Time(1).plus_millis(self.now_ms - self.agent.started_ms)
    }

    fn run_agent(&mut self) {
        if self.agent.node.is_none() && self.now_ms >= self.agent.restart_ms {
            self.start_agent();
        }
        let time = self.agent_time();
        let wake = self.agent.node.as_ref().and_then(Node::next_wake);
        // One wake-up in ten is delayed.
        if wake.is_some_and(|wake| wake <= time) && !self.random.one_in(10) {
            self.handle(Event::Wake);
        }
    }

    fn start_agent(&mut self) {
        self.agent.incarnation += 1;
        self.agent.started_ms = self.now_ms;
        let mut outbox = Outbox::default();
        let settings = settings(self.agent.incarnation);
        let node = AgentNode::new(settings, clock(self.agent_time()), &mut outbox);
        self.agent.node = Some(node);
        self.agent.deregistered.clear();
        self.process_outbox(outbox);
    }

    fn handle(&mut self, event: Event) -> Option<HttpReply> {
        let time = self.agent_time();
        let node = self.agent.node.as_mut()?;
        let mut outbox = Outbox::default();
        node.handle(clock(time), event, &mut outbox);
        let reply = outbox.replies.pop().map(|(_, reply)| reply);
        self.process_outbox(outbox);
        reply
    }

    fn process_outbox(&mut self, outbox: Outbox) {
        for (to, message) in outbox.sends {
            if to == LEADER && self.now_ms >= self.partitioned_until_ms {
                let term = self.scheduler.term;
                self.send(Transmission::ToScheduler { term, message });
            }
        }
        for health_check in outbox.health_checks {
            self.send(Transmission::HealthCheck {
                agent: self.agent.incarnation,
                id: health_check.id,
            });
        }
    }

    /// Sends the result of a health check, which depends on the runner's state now. The result may arrive late.
    fn check_health(&mut self, agent: u64, id: HealthCheckId) {
        let result = match self.random.below(10) {
            0 => HealthCheckResult::NoAnswer,
            _ if self.now_ms < self.runner.up_ms => HealthCheckResult::Refused,
            _ => HealthCheckResult::Status(200),
        };
        self.send(Transmission::HealthCheckResult { agent, id, result });
    }

    fn receive_health_check(&mut self, id: HealthCheckId, result: HealthCheckResult) {
        let before = self.dead_runners();
        self.handle(Event::HealthCheck { id, result });
        self.deaths_found += self.dead_runners() - before;
    }

    fn dead_runners(&self) -> u64 {
        let node = self.agent.node.as_ref();
        node.map_or(0, |node| node.counters().dead_runners)
    }

    fn send(&mut self, transmission: Transmission) {
        self.network
            .send(self.now_ms, &mut self.random, transmission);
    }

    fn send_heartbeat(&mut self) {
        let Some(body) = self.runner.heartbeat(self.now_ms) else {
            return;
        };
        let is_late = self.has_departures && self.random.one_in(8);
        let call = HeartbeatCall {
            agent: (!is_late).then_some(self.agent.incarnation),
            runner: self.runner.number,
            sequence: self.runner.pending.as_ref().unwrap().sequence,
            instance: self.runner.instance(),
            body,
        };
        if is_late {
            self.late_heartbeats += 1;
            let due_ms = self.now_ms + 1_000 + self.random.below(4_000);
            self.network.send_at(due_ms, Transmission::Heartbeat(call));
        } else {
            self.send(Transmission::Heartbeat(call));
        }
    }

    fn deliver(&mut self) {
        for transmission in self.network.arrivals(self.now_ms) {
            self.deliver_one(transmission);
        }
    }

    /// Delivers a transmission to its receiver if that agent, runner or scheduler still exists.
    fn deliver_one(&mut self, transmission: Transmission) {
        match transmission {
            Transmission::Heartbeat(call) => self.deliver_heartbeat(call),
            Transmission::Deregister { runner, instance } => {
                self.deliver_deregister(runner, instance);
            }
            Transmission::Deregistered { runner } if runner == self.runner.number => {
                self.runner.receive_deregistered();
            }
            Transmission::HeartbeatAnswer {
                runner,
                sequence,
                body,
            } if runner == self.runner.number => {
                self.runner.receive_answer(self.now_ms, sequence, &body);
            }
            Transmission::ToAgent { agent, message } if agent == self.agent.incarnation => {
                self.handle(Event::Message {
                    from: LEADER,
                    message,
                });
            }
            Transmission::ToScheduler { term, message } if term == self.scheduler.term => {
                self.answer_agent(message);
            }
            Transmission::HealthCheck { agent, id } => self.check_health(agent, id),
            Transmission::HealthCheckResult { agent, id, result }
                if agent == self.agent.incarnation =>
            {
                self.receive_health_check(id, result);
            }
            _ => {}
        }
    }

    fn deliver_heartbeat(&mut self, call: HeartbeatCall) {
        if call
            .agent
            .is_some_and(|agent| agent != self.agent.incarnation)
        {
            return;
        }
        let path = format!("/v1/instances/{}/heartbeat", call.instance);
        let reply = self.call_agent(path, call.sequence, call.body);
        if let Some(reply) = reply.filter(|reply| reply.status == 200) {
            self.check_no_start_after_deregistration(&call.instance, &reply.body);
            self.send(Transmission::HeartbeatAnswer {
                runner: call.runner,
                sequence: call.sequence,
                body: reply.body,
            });
        }
    }

    fn deliver_deregister(&mut self, runner: u64, instance: String) {
        let path = format!("/v1/instances/{instance}/deregister");
        let reply = self.call_agent(path, 0, Vec::new());
        if reply.is_some_and(|reply| reply.status == 200) {
            self.agent.deregistered.push(instance);
            self.send(Transmission::Deregistered { runner });
        }
    }

    fn call_agent(&mut self, path: String, number: u64, body: Vec<u8>) -> Option<HttpReply> {
        let request = HttpRequest {
            method: Method::Post,
            host: String::new(),
            path,
            base_version: None,
            deadline_ms: None,
            body,
        };
        self.handle(Event::Http {
            id: HttpRequestId(number),
            endpoint: HttpEndpoint::Control,
            request,
        })
    }

    /// Checks that an agent starts no run at a runner whose deregistration it has acknowledged.
    fn check_no_start_after_deregistration(&self, instance: &str, body: &[u8]) {
        let answer: serde_json::Value = serde_json::from_slice(body).unwrap();
        let is_deregistered = self
            .agent
            .deregistered
            .iter()
            .any(|known| known == instance);
        assert!(
            !is_deregistered || answer["start"].is_null(),
            "a start was sent to {instance}, which has deregistered: {answer}"
        );
    }

    fn answer_agent(&mut self, message: Message) {
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
                Message::RunnerCommands(self.scheduler.answer(self.now_ms, &report))
            }
            _ => return,
        };
        self.send(Transmission::ToAgent {
            agent: self.agent.incarnation,
            message: answer,
        });
    }

    /// Lets the scheduler assign and withdraw runs and send commands that answer no report, and lets the runner end
    /// runs.
    fn change_runs(&mut self) {
        let task = TASKS[self.random.below(3) as usize];
        if self.random.one_in(300) {
            self.scheduler.assign(task);
        }
        if self.random.one_in(2_000) {
            self.scheduler.withdraw(task);
        }
        if self.random.one_in(8_000) {
            self.runner.end(task, "done");
        }
        if self.random.one_in(100) && self.now_ms >= self.partitioned_until_ms {
            let message = Message::RunnerCommands(self.scheduler.commands());
            let agent = self.agent.incarnation;
            self.send(Transmission::ToAgent { agent, message });
        }
    }

    /// Checks that no given-up run is running and that no run was started at a draining runner.
    fn check_invariants(&self) {
        for run in &self.scheduler.given_up {
            let is_running = self.runner.running.get(&run.task) == Some(&run.attempt);
            assert!(
                !is_running,
                "{run:?} was given up but is running at {} ms",
                self.now_ms
            );
        }
        assert!(
            !self.runner.started_while_draining,
            "a run was started after a heartbeat with `draining` had been acknowledged"
        );
    }
}
