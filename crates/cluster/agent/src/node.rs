//! The agent as a node: it receives events and puts its messages and replies into an outbox.

use sagetrail_protocol::agent::RunnerCommands;
use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::frame;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{Event, Node, Now, Outbox};
use sagetrail_protocol::{Message, NodeId, NodeKind, Time};

use crate::commands::Adoption;
use crate::config_relay::ConfigRelay;
use crate::leader_link::{LeaderLink, Route};
use crate::runner_service::RunnerService;
use crate::settings::{AgentSettings, Counters};

/// The time for which the process continues to serve after a request to terminate, in milliseconds, if its grace period
/// allows it.
const SERVE_ON_MS: u64 = 800;
/// The maximum share of the grace period during which the process continues to serve.
const SERVE_ON_SHARE: f64 = 0.5;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// An agent, the process that runs beside one runner.
///
/// It spawns no threads or tasks and reads no clock. The host process calls [`Node::handle`] with each event, and with
/// `Event::Wake` at the time that [`Node::next_wake`] returns.
pub struct AgentNode {
    settings: AgentSettings,
    link: LeaderLink,
    service: RunnerService,
    config: ConfigRelay,
    /// The time at which the process ends; `None` until it is asked to terminate.
    ends_at: Option<Time>,
}

impl AgentNode {
    /// Creates an agent and sends hellos to the seeds.
    pub fn new(settings: AgentSettings, now: Now, outbox: &mut Outbox) -> AgentNode {
        let hello = Hello {
            kind: NodeKind::Side,
            incarnation: settings.incarnation,
            config_version: 0,
        };
        let seeds = settings.seeds.clone();
        let mut agent = AgentNode {
            link: LeaderLink::new(settings.node, hello, seeds, settings.seed),
            service: RunnerService::new(&settings, now.steady),
            config: ConfigRelay::new(settings.node, settings.seed),
            ends_at: None,
            settings,
        };
        agent.run_due(now.steady, outbox);
        agent
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.service.counters()
    }

    /// Returns the version of the newest configuration, 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.version()
    }

    fn receive_message(
        &mut self,
        now: Time,
        from: NodeId,
        route: Route,
        message: Message,
        outbox: &mut Outbox,
    ) {
        match message {
            Message::Directory(directory) => self.link.receive_directory(now, directory),
            Message::NotLeader(not_leader) => self.link.receive_not_leader(from, &not_leader),
            Message::RunnerCommands(commands) => self.receive_commands(now, from, route, commands),
            Message::Relayed(relayed) if route == Route::Direct => {
                self.receive_relayed(now, from, relayed, outbox);
            }
            message => self.config.receive(now, from, message, outbox),
        }
    }

    fn receive_commands(
        &mut self,
        now: Time,
        from: NodeId,
        route: Route,
        commands: RunnerCommands,
    ) {
        let term = commands.term;
        let answers_report = commands.agent == self.settings.incarnation;
        if self.service.receive_commands(now, commands) == Adoption::Older {
            return;
        }
        self.link.learn_leader(term, from);
        if answers_report {
            self.link.record_answer(from, route);
        }
    }

    /// Decodes a relayed message that is addressed to this process. Relays a message for another process if it comes
    /// from its author, so that a message is relayed only once.
    fn receive_relayed(&mut self, now: Time, from: NodeId, relayed: Relayed, outbox: &mut Outbox) {
        if relayed.to == self.settings.node {
            let route = Route::Relayed { by: from };
            match frame::decode(&relayed.payload) {
                Ok(message) => self.receive_message(now, relayed.from, route, message, outbox),
                Err(error) => {
                    log::debug!("relayed message cannot be decoded: node={from} error={error}");
                }
            }
        } else if relayed.from == from && relayed.to != from {
            outbox.send(relayed.to, Message::Relayed(relayed));
        }
    }

    /// Performs all actions that are due.
    fn run_due(&mut self, now: Time, outbox: &mut Outbox) {
        self.service.expire_lease(now);
        self.renew_subscription(now, outbox);
        self.service.send_due_health_check(now, outbox);
        self.link.send_due_hellos(now, outbox);
        if self.report_due().is_some_and(|due| due <= now) {
            let report = Message::RunnerReport(self.service.report(now));
            self.link.send_report(now, report, outbox);
        }
        if self.ends_at.is_some_and(|end| end <= now) {
            outbox.finished = true;
        }
    }

    fn renew_subscription(&mut self, now: Time, outbox: &mut Outbox) {
        self.config
            .set_candidates(self.link.core(), self.link.config_relays());
        self.link.set_config_version(self.config.version());
        self.config.send_due(now, outbox);
    }

    /// Returns the time at which the next report is due; `None` if no leader is known.
    fn report_due(&self) -> Option<Time> {
        self.link.leader()?;
        Some(self.service.report_due())
    }

    /// Makes a report due at once if the leader differs from `former`.
    fn expedite_report_to_new_leader(&mut self, former: Option<NodeId>) {
        if self.link.leader().is_some() && self.link.leader() != former {
            self.service.expedite_report();
        }
    }

    fn terminate(&mut self, now: Time) {
        let share_ms = self.settings.bounds.grace_s * SERVE_ON_SHARE * MILLIS_PER_SECOND;
        let end = now.plus_millis(SERVE_ON_MS.min(share_ms as u64));
        self.ends_at.get_or_insert(end);
    }
}

impl Node for AgentNode {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        let now = now.steady;
        let former_leader = self.link.leader();
        match event {
            Event::Message { from, message } => {
                self.receive_message(now, from, Route::Direct, message, outbox);
            }
            Event::Http {
                id,
                endpoint,
                request,
            } => {
                let reply = self.service.answer(now, endpoint, &request);
                outbox.reply(id, reply);
            }
            Event::SeedsChanged(seeds) => self.link.set_seeds(seeds),
            Event::Terminate => self.terminate(now),
            Event::HealthCheck { id, result } => self.service.receive_health_check(now, id, result),
            Event::HttpAbandoned { .. } | Event::Synced { .. } | Event::Wake => {}
        }
        self.expedite_report_to_new_leader(former_leader);
        self.run_due(now, outbox);
    }

    fn next_wake(&self) -> Option<Time> {
        let wake_times = [
            Some(self.link.hello_due()),
            self.report_due(),
            self.config.next_wake(),
            self.service.next_wake(),
            self.ends_at,
        ];
        wake_times.into_iter().flatten().min()
    }
}
