//! The connection to the leader: who it is, who may know, and who relays messages while it cannot be reached directly.

use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::directory::{Directory, Hello, HELLO_INTERVAL_MS};
use sagetrail_protocol::frame;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Blob, Message, NodeId, Term, Time};

/// Time without an answer to a report after which the leader is sought, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 700;
/// Interval of hellos while the leader is sought, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 250;
/// The number of processes that are sent a hello at once during a search.
const SEARCH_WIDTH: usize = 3;
/// Time without a directory after which another core process is asked, in milliseconds.
const CONTACT_TIMEOUT_MS: u64 = HELLO_INTERVAL_MS + SEARCH_INTERVAL_MS;
/// Time without a directory after which hellos are relayed too, in milliseconds.
const DIRECTORY_TIMEOUT_MS: u64 = 1_500;
/// The most processes of a kind that are remembered.
const MAX_KNOWN: usize = 1_024;

/// The way by which a message came.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Route {
    /// From its author over a connection of its own.
    Direct,
    /// Through a third process.
    Relayed {
        /// That process.
        by: NodeId,
    },
}

/// Finds the leader, and sends reports to it.
#[derive(Debug)]
pub(crate) struct LeaderLink {
    own: NodeId,
    hello: Hello,
    seeds: Vec<NodeId>,
    members: Vec<NodeId>,
    /// The version of `members`; an older list never replaces a newer one.
    members_version: u64,
    config_relays: Vec<NodeId>,
    /// The newest term that was named.
    term: Term,
    leader: Option<NodeId>,
    last_hello: Option<Time>,
    /// The position among the core processes from which on hellos are sent.
    hello_cursor: usize,
    last_directory: Option<Time>,
    /// When the first report was sent since the leader's last answer.
    unanswered_since: Option<Time>,
    /// The same since its last direct answer.
    unanswered_directly_since: Option<Time>,
    /// The process that relayed the last answer.
    working_relay: Option<NodeId>,
    relay_cursor: usize,
}

impl LeaderLink {
    /// A link that knows the seeds only.
    pub(crate) fn new(own: NodeId, hello: Hello, seeds: Vec<NodeId>, seed: u64) -> LeaderLink {
        LeaderLink {
            own,
            hello,
            seeds,
            members: Vec::new(),
            members_version: 0,
            config_relays: Vec::new(),
            term: 0,
            leader: None,
            last_hello: None,
            hello_cursor: seed as usize,
            last_directory: None,
            unanswered_since: None,
            unanswered_directly_since: None,
            working_relay: None,
            relay_cursor: seed as usize,
        }
    }

    /// The leader, if one is known.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Replaces the seeds by those of changed settings.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// The members of the core, or the seeds before any are known.
    pub(crate) fn core(&self) -> &[NodeId] {
        if self.members.is_empty() {
            &self.seeds
        } else {
            &self.members
        }
    }

    /// The processes that relay configurations, best first.
    pub(crate) fn config_relays(&self) -> &[NodeId] {
        &self.config_relays
    }

    /// Sets the configuration version that hellos name.
    pub(crate) fn set_config_version(&mut self, config_version: u64) {
        self.hello.config_version = config_version;
    }

    /// Receives a core process's directory.
    pub(crate) fn receive_directory(&mut self, now: Time, directory: Directory) {
        self.last_directory = Some(now);
        if directory.members_version >= self.members_version && !directory.members.is_empty() {
            self.members_version = directory.members_version;
            self.members = bounded(directory.members.0);
        }
        self.config_relays = bounded(directory.relays.0);
        let named = Some(directory.leader).filter(|leader| *leader != NodeId::default());
        self.learn(directory.term, named);
    }

    /// Receives the message of `from` that it is not the leader.
    pub(crate) fn receive_not_leader(&mut self, from: NodeId, bounce: &NotLeader) {
        if bounce.term >= self.term && self.leader == Some(from) {
            self.leader = None;
        }
        let named =
            Some(bounce.leader).filter(|leader| *leader != NodeId::default() && *leader != from);
        self.learn(bounce.term, named);
    }

    /// Learns from commands who the leader of a term is.
    pub(crate) fn learn_leader(&mut self, term: Term, leader: NodeId) {
        self.learn(term, Some(leader));
    }

    /// Records an answer to a report, and by which route it came.
    pub(crate) fn record_answer(&mut self, from: NodeId, route: Route) {
        if self.leader != Some(from) {
            return;
        }
        self.unanswered_since = None;
        match route {
            Route::Direct => {
                self.unanswered_directly_since = None;
                self.working_relay = None;
            }
            Route::Relayed { by } => self.working_relay = Some(by),
        }
    }

    /// Sends a report to the leader, through a relay too where the direct connection is silent.
    pub(crate) fn send_report(&mut self, now: Time, report: Message, outbox: &mut Outbox) {
        let Some(leader) = self.leader else { return };
        let directly_since = *self.unanswered_directly_since.get_or_insert(now);
        let since = *self.unanswered_since.get_or_insert(now);
        if is_timed_out(now, directly_since) {
            if is_timed_out(now, since) {
                self.working_relay = None;
            }
            self.send_by_relay(leader, &report, outbox);
        }
        outbox.send(leader, report);
    }

    /// Sends the hellos that are due; they ask for the leader, and renew this process's entry in the directory.
    pub(crate) fn send_due_hellos(&mut self, now: Time, outbox: &mut Outbox) {
        if now < self.hello_due() {
            return;
        }
        let is_searching = self.is_searching(now);
        self.last_hello = Some(now);
        if is_searching {
            self.hello_cursor = self.hello_cursor.wrapping_add(SEARCH_WIDTH);
        } else if !self.has_directory_within(now, CONTACT_TIMEOUT_MS) {
            self.hello_cursor = self.hello_cursor.wrapping_add(1);
        }
        self.send_hellos(is_searching, outbox);
        if !self.has_directory_within(now, DIRECTORY_TIMEOUT_MS) {
            self.send_hello_by_relay(outbox);
        }
    }

    /// When hellos are due: at the regular time, or once the leader has been silent for too long.
    pub(crate) fn hello_due(&self) -> Time {
        let Some(last_hello) = self.last_hello else {
            return Time(0);
        };
        let search_due = last_hello.plus_millis(SEARCH_INTERVAL_MS);
        if self.leader.is_none() {
            return search_due;
        }
        let regular_due = last_hello.plus_millis(HELLO_INTERVAL_MS);
        let Some(since) = self.unanswered_since else {
            return regular_due;
        };
        regular_due.min(search_due.max(since.plus_millis(ANSWER_TIMEOUT_MS + 1)))
    }

    fn has_directory_within(&self, now: Time, millis: u64) -> bool {
        self.last_directory
            .is_some_and(|at| now.millis_since(at) <= millis)
    }

    fn is_searching(&self, now: Time) -> bool {
        self.leader.is_none()
            || self
                .unanswered_since
                .is_some_and(|since| is_timed_out(now, since))
    }

    /// Adopts a newer term and its leader, or a leader for the known term where it has none.
    fn learn(&mut self, term: Term, leader: Option<NodeId>) {
        if term < self.term || (term == self.term && (leader.is_none() || self.leader.is_some())) {
            return;
        }
        self.term = term;
        if self.leader == leader {
            return;
        }
        self.leader = leader;
        self.unanswered_since = None;
        self.unanswered_directly_since = None;
        self.working_relay = None;
    }

    /// Sends a hello to the core process that answers; in a search to several in rotation, the seeds included, which
    /// are also used where no members are known.
    fn send_hellos(&mut self, is_searching: bool, outbox: &mut Outbox) {
        let width = if is_searching { SEARCH_WIDTH } else { 1 };
        let mut targets = self.members.clone();
        if is_searching || targets.is_empty() {
            let seeds = self
                .seeds
                .iter()
                .filter(|seed| !self.members.contains(seed));
            targets.extend(seeds.copied());
        }
        targets.retain(|target| *target != self.own);
        for offset in 0..width.min(targets.len()) {
            let position = self.hello_cursor.wrapping_add(offset) % targets.len();
            outbox.send(targets[position], Message::Hello(self.hello.clone()));
        }
    }

    fn send_hello_by_relay(&mut self, outbox: &mut Outbox) {
        if self.members.is_empty() {
            return;
        }
        let target = self.members[self.hello_cursor % self.members.len()];
        self.working_relay = None;
        self.send_by_relay(target, &Message::Hello(self.hello.clone()), outbox);
    }

    /// Sends a message through a process that may reach its receiver: the one that did last, or else each in rotation.
    fn send_by_relay(&mut self, to: NodeId, message: &Message, outbox: &mut Outbox) {
        let Some(relay) = self.working_relay.or_else(|| self.next_relay(to)) else {
            return;
        };
        let Ok(payload) = frame::encode(message) else {
            return;
        };
        let relayed = Relayed {
            from: self.own,
            to,
            payload: Blob(payload),
        };
        outbox.send(relay, Message::Relayed(relayed));
    }

    fn next_relay(&mut self, to: NodeId) -> Option<NodeId> {
        let known = self
            .members
            .iter()
            .chain(&self.config_relays)
            .chain(&self.seeds);
        let usable: Vec<NodeId> = known
            .copied()
            .filter(|relay| *relay != to && *relay != self.own)
            .collect();
        if usable.is_empty() {
            return None;
        }
        self.relay_cursor = self.relay_cursor.wrapping_add(1);
        Some(usable[self.relay_cursor % usable.len()])
    }
}

fn is_timed_out(now: Time, since: Time) -> bool {
    now.millis_since(since) > ANSWER_TIMEOUT_MS
}

/// The processes that are remembered.
fn bounded(mut nodes: Vec<NodeId>) -> Vec<NodeId> {
    nodes.truncate(MAX_KNOWN);
    nodes
}
