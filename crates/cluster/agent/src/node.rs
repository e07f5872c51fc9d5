//! The agent as a node: receives events, and leaves in an outbox what is to be sent and answered.

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

/// Time for which the process serves on after the notice of its end, in milliseconds, if its grace period allows.
const SERVE_ON_MS: u64 = 800;
/// The largest share of the grace period that is spent serving on.
const SERVE_ON_SHARE: f64 = 0.5;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// An agent: the process beside one runner.
///
/// It spawns nothing and has no clock of its own; the host process calls [`Node::handle`] with each event, and with
/// `Event::Wake` at [`Node::next_wake`].
pub struct AgentNode {
    settings: AgentSettings,
    link: LeaderLink,
    service: RunnerService,
    config: ConfigRelay,
    /// When the process ends, once it has been notified.
    ends_at: Option<Time>,
}

impl AgentNode {
    /// Starts, and sends hellos to the seeds.
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

    /// What has been counted so far.
    pub fn counters(&self) -> Counters {
        self.service.counters()
    }

    /// The version of the configuration, 0 for none.
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
            Message::NotLeader(bounce) => self.link.receive_not_leader(from, &bounce),
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

    /// Opens a relayed message to this process; relays, once, what its author asks to be relayed.
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

    /// Does everything that is due.
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

    /// When the next report is due; none without a leader.
    fn report_due(&self) -> Option<Time> {
        self.link.leader()?;
        Some(self.service.report_due())
    }

    /// A leader that is new to this agent receives a report at once.
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
        let wakes = [
            Some(self.link.hello_due()),
            self.report_due(),
            self.config.next_wake(),
            self.service.next_wake(),
            self.ends_at,
        ];
        wakes.into_iter().flatten().min()
    }
}
