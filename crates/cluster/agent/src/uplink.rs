//! The way to the scheduler: who it is, who may know, and who passes messages on while it cannot be reached.

use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::directory::{Directory, Hello, HELLO_INTERVAL_MS};
use sagetrail_protocol::frame;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Blob, Message, NodeId, Term, Time};

/// A scheduler that leaves reports without an answer for longer is looked for, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 700;
/// While it looks for the scheduler, a process asks this often, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 250;
/// So many processes are asked at once during a search.
const SEARCH_WIDTH: usize = 3;
/// A core process that leaves a question without an answer for longer is passed over, in milliseconds.
const CONTACT_TIMEOUT_MS: u64 = HELLO_INTERVAL_MS + SEARCH_INTERVAL_MS;
/// Without any directory for so long, others are asked to pass a question on, in milliseconds.
const DIRECTORY_TIMEOUT_MS: u64 = 1_500;
/// The most processes of a kind that are remembered.
const MAX_KNOWN: usize = 1_024;

/// Knows, or looks for, the scheduler.
#[derive(Debug)]
pub(crate) struct Uplink {
    node: NodeId,
    hello: Hello,
    seeds: Vec<NodeId>,
    members: Vec<NodeId>,
    members_version: u64,
    relays: Vec<NodeId>,
    term: Term,
    leader: Option<NodeId>,
    last_asked: Option<Time>,
    cursor: usize,
    last_directory: Option<Time>,
    /// The first report since the last answer of the scheduler.
    unanswered_since: Option<Time>,
    /// The same, of answers that came straight.
    unanswered_straight_since: Option<Time>,
    /// Who passed the last answer on.
    relay: Option<NodeId>,
    relay_cursor: usize,
}

impl Uplink {
    /// A process that knows its seeds alone.
    pub(crate) fn new(node: NodeId, hello: Hello, seeds: Vec<NodeId>, seed: u64) -> Uplink {
        Uplink {
            node,
            hello,
            seeds,
            members: Vec::new(),
            members_version: 0,
            relays: Vec::new(),
            term: 0,
            leader: None,
            last_asked: None,
            cursor: seed as usize,
            last_directory: None,
            unanswered_since: None,
            unanswered_straight_since: None,
            relay: None,
            relay_cursor: seed as usize,
        }
    }

    /// The scheduler, if it is known.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The settings name other seeds.
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

    /// Who passes configurations on, best first.
    pub(crate) fn config_relays(&self) -> &[NodeId] {
        &self.relays
    }

    /// Notes the version of the configuration that is held, told with each greeting.
    pub(crate) fn holds(&mut self, config_version: u64) {
        self.hello.config_version = config_version;
    }

    /// Takes a core process's word of who is who.
    pub(crate) fn directory(&mut self, now: Time, directory: Directory) {
        self.last_directory = Some(now);
        if directory.members_version >= self.members_version && !directory.members.is_empty() {
            self.members_version = directory.members_version;
            self.members = known(directory.members.0);
        }
        self.relays = known(directory.relays.0);
        let told = Some(directory.leader).filter(|leader| *leader != NodeId::default());
        self.learn(directory.term, told);
    }

    /// Takes a refusal by a process that is not the scheduler.
    pub(crate) fn not_leader(&mut self, from: NodeId, refusal: &NotLeader) {
        if refusal.term >= self.term && self.leader == Some(from) {
            self.leader = None;
        }
        let told =
            Some(refusal.leader).filter(|leader| *leader != NodeId::default() && *leader != from);
        self.learn(refusal.term, told);
    }

    /// Takes note of orders of a term, and of the way they came; `answer` where they answer a report.
    pub(crate) fn heard(&mut self, from: NodeId, term: Term, relay: Option<NodeId>, answer: bool) {
        self.learn(term, Some(from));
        if self.leader != Some(from) || !answer {
            return;
        }
        self.unanswered_since = None;
        self.relay = relay;
        if relay.is_none() {
            self.unanswered_straight_since = None;
        }
    }

    /// Sends a report to the scheduler; also by another process where the straight way is silent.
    pub(crate) fn report(&mut self, now: Time, message: Message, outbox: &mut Outbox) {
        let Some(leader) = self.leader else { return };
        let straight_since = *self.unanswered_straight_since.get_or_insert(now);
        let since = *self.unanswered_since.get_or_insert(now);
        if now.millis_since(straight_since) > ANSWER_TIMEOUT_MS {
            if now.millis_since(since) > ANSWER_TIMEOUT_MS {
                self.relay = None;
            }
            self.relay_to(leader, &message, outbox);
        }
        outbox.send(leader, message);
    }

    /// Asks who the scheduler is, and so renews the lease of membership, when that is due.
    pub(crate) fn poll(&mut self, now: Time, outbox: &mut Outbox) {
        if now < self.hello_due() {
            return;
        }
        let searching = self.is_searching(now);
        self.last_asked = Some(now);
        if searching {
            self.cursor = self.cursor.wrapping_add(SEARCH_WIDTH);
        } else if !self.heard_directory_within(now, CONTACT_TIMEOUT_MS) {
            self.cursor = self.cursor.wrapping_add(1);
        }
        self.ask(searching, outbox);
        if !self.heard_directory_within(now, DIRECTORY_TIMEOUT_MS) {
            self.ask_by_relay(outbox);
        }
    }

    /// When `poll` is due: at the regular time, or once the scheduler has been silent for too long.
    pub(crate) fn hello_due(&self) -> Time {
        let Some(last_asked) = self.last_asked else {
            return Time(0);
        };
        let search_due = last_asked.plus_millis(SEARCH_INTERVAL_MS);
        if self.leader.is_none() {
            return search_due;
        }
        let regular_due = last_asked.plus_millis(HELLO_INTERVAL_MS);
        let Some(since) = self.unanswered_since else {
            return regular_due;
        };
        regular_due.min(search_due.max(since.plus_millis(ANSWER_TIMEOUT_MS + 1)))
    }

    fn heard_directory_within(&self, now: Time, millis: u64) -> bool {
        self.last_directory
            .is_some_and(|at| now.millis_since(at) <= millis)
    }

    fn is_searching(&self, now: Time) -> bool {
        let silent = |since| now.millis_since(since) > ANSWER_TIMEOUT_MS;
        self.leader.is_none() || self.unanswered_since.is_some_and(silent)
    }

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
        self.unanswered_straight_since = None;
        self.relay = None;
    }

    /// Asks the core process that answers, in a search several in turn; the seeds as well in a search, or where no
    /// others are known.
    fn ask(&mut self, searching: bool, outbox: &mut Outbox) {
        let width = if searching { SEARCH_WIDTH } else { 1 };
        let mut targets = self.members.clone();
        if searching || targets.is_empty() {
            let seeds = self
                .seeds
                .iter()
                .filter(|seed| !self.members.contains(seed));
            targets.extend(seeds.copied());
        }
        targets.retain(|target| *target != self.node);
        for offset in 0..width.min(targets.len()) {
            let place = self.cursor.wrapping_add(offset) % targets.len();
            outbox.send(targets[place], Message::Hello(self.hello.clone()));
        }
    }

    fn ask_by_relay(&mut self, outbox: &mut Outbox) {
        if self.members.is_empty() {
            return;
        }
        let target = self.members[self.cursor % self.members.len()];
        self.relay = None;
        self.relay_to(target, &Message::Hello(self.hello.clone()), outbox);
    }

    /// Hands a message to a process that may reach its receiver: the one that did last, else each in turn.
    fn relay_to(&mut self, to: NodeId, message: &Message, outbox: &mut Outbox) {
        let Some(relay) = self.relay.or_else(|| self.next_relay(to)) else {
            return;
        };
        let Ok(payload) = frame::encode(message) else {
            return;
        };
        let relayed = Relayed {
            from: self.node,
            to,
            payload: Blob(payload),
        };
        outbox.send(relay, Message::Relayed(relayed));
    }

    fn next_relay(&mut self, to: NodeId) -> Option<NodeId> {
        let members = self.members.iter().chain(&self.relays).chain(&self.seeds);
        let usable: Vec<NodeId> = members
            .copied()
            .filter(|relay| *relay != to && *relay != self.node)
            .collect();
        if usable.is_empty() {
            return None;
        }
        self.relay_cursor = self.relay_cursor.wrapping_add(1);
        Some(usable[self.relay_cursor % usable.len()])
    }
}

/// As many processes as are remembered.
fn known(mut nodes: Vec<NodeId>) -> Vec<NodeId> {
    nodes.truncate(MAX_KNOWN);
    nodes
}
