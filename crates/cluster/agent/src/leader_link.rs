//! The link to the leader: which process is the leader, which processes may know it, and which processes relay messages
//! while it cannot be reached directly.

use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::directory::{Directory, Hello, HELLO_INTERVAL_MS};
use sagetrail_protocol::frame;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Blob, Message, NodeId, Term, Time};

/// The time without an answer to a report after which a search for the leader starts, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 700;
/// The interval of hellos during a search for the leader, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 250;
/// The number of processes that receive a hello at the same time during a search.
const SEARCH_WIDTH: usize = 3;
/// The time without a directory after which hellos go to another core process, in milliseconds.
const CONTACT_TIMEOUT_MS: u64 = HELLO_INTERVAL_MS + SEARCH_INTERVAL_MS;
/// The time without a directory after which hellos are also sent through relays, in milliseconds.
const DIRECTORY_TIMEOUT_MS: u64 = 1_500;
/// The maximum number of core members, and of configuration relays, that are remembered.
const MAX_KNOWN_NODES: usize = 1_024;

/// The route by which a message arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Route {
    /// The sender sent the message over its own connection.
    Direct,
    /// A third process relayed the message.
    Relayed {
        /// The process that relayed the message.
        by: NodeId,
    },
}

/// Finds the leader and sends reports to it.
#[derive(Debug)]
pub(crate) struct LeaderLink {
    own_node: NodeId,
    hello: Hello,
    seeds: Vec<NodeId>,
    members: Vec<NodeId>,
    /// The version of `members`; an older list never replaces a newer one.
    members_version: u64,
    config_relays: Vec<NodeId>,
    /// The newest known term.
    term: Term,
    leader: Option<NodeId>,
    /// The time at which the last hellos were sent.
    last_hello: Option<Time>,
    /// The position in the list of core processes at which the next hellos start.
    hello_cursor: usize,
    /// The time at which the last directory was received.
    last_directory: Option<Time>,
    /// The time at which the first report since the leader's last answer was sent.
    unanswered_since: Option<Time>,
    /// The time at which the first report since the leader's last direct answer was sent.
    unanswered_directly_since: Option<Time>,
    /// The process that relayed the last answer.
    working_relay: Option<NodeId>,
    /// The position in the list of possible relays of the one that was used last.
    relay_cursor: usize,
}

impl LeaderLink {
    /// Creates a link that knows only the seeds.
    pub(crate) fn new(own_node: NodeId, hello: Hello, seeds: Vec<NodeId>, seed: u64) -> LeaderLink {
        LeaderLink {
            own_node,
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

    /// Returns the leader, if it is known.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Replaces the seeds after a change of the settings.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// Returns the core members, or the seeds while no members are known.
    pub(crate) fn core(&self) -> &[NodeId] {
        if self.members.is_empty() {
            &self.seeds
        } else {
            &self.members
        }
    }

    /// Returns the processes that relay configurations, best first.
    pub(crate) fn config_relays(&self) -> &[NodeId] {
        &self.config_relays
    }

    /// Sets the configuration version that hellos contain.
    pub(crate) fn set_config_version(&mut self, config_version: u64) {
        self.hello.config_version = config_version;
    }

    /// Receives the directory of a core process.
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

    /// Receives a message in which `from` says that it is not the leader.
    pub(crate) fn receive_not_leader(&mut self, from: NodeId, not_leader: &NotLeader) {
        if not_leader.term >= self.term && self.leader == Some(from) {
            self.leader = None;
        }
        let named = Some(not_leader.leader)
            .filter(|leader| *leader != NodeId::default() && *leader != from);
        self.learn(not_leader.term, named);
    }

    /// Records the leader of a term, which is the sender of commands of that term.
    pub(crate) fn learn_leader(&mut self, term: Term, leader: NodeId) {
        self.learn(term, Some(leader));
    }

    /// Records an answer to a report and the route by which it arrived.
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

    /// Sends a report to the leader. Also sends it through a relay if the direct connection gives no answers.
    pub(crate) fn send_report(&mut self, now: Time, report: Message, outbox: &mut Outbox) {
        let Some(leader) = self.leader else { return };
        let unanswered_directly_since = *self.unanswered_directly_since.get_or_insert(now);
        let unanswered_since = *self.unanswered_since.get_or_insert(now);
        if is_timed_out(now, unanswered_directly_since) {
            if is_timed_out(now, unanswered_since) {
                self.working_relay = None;
            }
            self.send_by_relay(leader, &report, outbox);
        }
        outbox.send(leader, report);
    }

    /// Sends the hellos that are due. A hello asks for the leader and renews this process's entry in the directory.
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

    /// Returns the time at which hellos are due: the regular time, or earlier if the leader is unknown or has not
    /// answered for too long.
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

    /// Adopts a newer term and its leader, or a leader of the known term if that term has none yet.
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

    /// Sends a hello to the core process at the cursor, which stays at a process that answers. During a search, sends
    /// hellos to several processes in rotation. The seeds are included during a search and while no members are known.
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
        targets.retain(|target| *target != self.own_node);
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

    /// Sends a message through a process that may reach the receiver: the one that relayed the last answer, or else the
    /// next one in rotation.
    fn send_by_relay(&mut self, to: NodeId, message: &Message, outbox: &mut Outbox) {
        let Some(relay) = self.working_relay.or_else(|| self.next_relay(to)) else {
            return;
        };
        let Ok(payload) = frame::encode(message) else {
            return;
        };
        let relayed = Relayed {
            from: self.own_node,
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
            .filter(|relay| *relay != to && *relay != self.own_node)
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

/// Shortens a list of processes to [`MAX_KNOWN_NODES`].
fn bounded(mut nodes: Vec<NodeId>) -> Vec<NodeId> {
    nodes.truncate(MAX_KNOWN_NODES);
    nodes
}
