//! Leader discovery: who the core processes are, and which of them is the leader of the newest term.
//!
//! A gateway sends `Hello` to the leader it knows, now and then to another core process as well, and to all of them
//! while it knows none. Each answers with a `Directory` that names the leader and its term. A newer term always wins; a
//! term whose leader has resigned is believed again only if that leader itself confirms it.

use sagetrail_protocol::directory::{Directory, HELLO_INTERVAL_MS};
use sagetrail_protocol::{NodeId, Term, Time};

use crate::contact::{LeaderContact, Route};

/// Interval of hellos while the leader is sought, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 250;
/// The shortest interval of hellos, also of those that are brought forward, in milliseconds.
const MIN_INTERVAL_MS: u64 = 50;
/// One in this many hellos also goes to another core process, which may know of a newer term than the leader does.
const SECOND_OPINION_EVERY: u64 = 4;

/// A leader and its term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Leader {
    /// The process.
    pub(crate) node: NodeId,
    /// The term for which it was elected.
    pub(crate) term: Term,
}

/// Whether a message has changed which leader is known.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Discovery {
    /// Another leader, or one of a newer term, is known now: pending requests go to it.
    NewLeader,
    /// No leader was added.
    Unchanged,
}

/// What is known of the core processes and their leader.
#[derive(Debug)]
pub(crate) struct LeaderDiscovery {
    own: NodeId,
    seeds: Vec<NodeId>,
    members: Vec<NodeId>,
    /// The version of `members`; an older list never replaces a newer one.
    members_version: u64,
    config_relays: Vec<NodeId>,
    /// The newest term of which a leader was named.
    term: Term,
    leader: Option<Leader>,
    /// A leader that said it is none; only its own message reinstates it.
    resigned: Option<Leader>,
    contact: LeaderContact,
    next_hello: Time,
    last_hello: Option<Time>,
    /// Rounds of hellos so far.
    hellos: u64,
}

impl LeaderDiscovery {
    /// Knows the seeds only, and is due to send hellos at once.
    pub(crate) fn new(own: NodeId, seeds: Vec<NodeId>, now: Time) -> LeaderDiscovery {
        LeaderDiscovery {
            own,
            seeds,
            members: Vec::new(),
            members_version: 0,
            config_relays: Vec::new(),
            term: 0,
            leader: None,
            resigned: None,
            contact: LeaderContact::new(now),
            next_hello: now,
            last_hello: None,
            hellos: 0,
        }
    }

    /// The leader, if one is known.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        self.leader.map(|leader| leader.node)
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

    /// The processes that can relay messages to the leader: neither this one nor the leader, each once.
    pub(crate) fn message_relays(&self) -> Vec<NodeId> {
        let mut relays = Vec::new();
        for node in self.core().iter().chain(&self.config_relays) {
            let is_third = *node != self.own && Some(*node) != self.leader();
            if is_third && !relays.contains(node) {
                relays.push(*node);
            }
        }
        relays
    }

    /// Receives a directory of `from`.
    pub(crate) fn receive_directory(
        &mut self,
        now: Time,
        from: NodeId,
        route: Route,
        directory: Directory,
    ) -> Discovery {
        if directory.members_version >= self.members_version && !directory.members.is_empty() {
            self.members_version = directory.members_version;
            self.members = directory.members.0;
        }
        if directory.term >= self.term {
            self.config_relays = directory.relays.0;
        }
        let named = Leader {
            node: directory.leader,
            term: directory.term,
        };
        let discovery = self.consider(now, from, named);
        if self.leader() == Some(from) && self.leader != Some(named) {
            self.resign(now, from);
        }
        if self.leader == Some(named) {
            self.record_contact(now, from, route);
        }
        discovery
    }

    /// Receives the message of `from` that it is not the leader, and which one it knows instead.
    pub(crate) fn receive_not_leader(
        &mut self,
        now: Time,
        from: NodeId,
        named: Leader,
    ) -> Discovery {
        let discovery = if named.node == from {
            Discovery::Unchanged
        } else {
            self.consider(now, from, named)
        };
        if self.leader() == Some(from) {
            self.resign(now, from);
        }
        discovery
    }

    /// Ignores, as signs of life, messages that arrive before `until`: they may have waited in a socket.
    pub(crate) fn ignore_contact_until(&mut self, until: Time) {
        self.contact.ignore_until(until);
    }

    /// Records that a message of `from` came.
    pub(crate) fn record_contact(&mut self, now: Time, from: NodeId, route: Route) {
        if self.leader() == Some(from) {
            self.contact.record(now, route);
        }
    }

    /// Adopts the named leader if its term is newer, or if none of this term is known.
    fn consider(&mut self, now: Time, from: NodeId, named: Leader) -> Discovery {
        let is_newer = named.term > self.term;
        let fills_vacancy = named.term == self.term && self.leader.is_none();
        let is_credible = self.resigned != Some(named) || from == named.node;
        let is_nobody = named.node == NodeId::default();
        if is_nobody || !(is_newer || fills_vacancy) || !is_credible {
            return Discovery::Unchanged;
        }
        log::info!("leader discovered: node={} term={}", named.node, named.term);
        self.term = named.term;
        self.leader = Some(named);
        self.resigned = None;
        self.contact.adopt(now);
        self.expedite_hello(now);
        Discovery::NewLeader
    }

    fn resign(&mut self, now: Time, node: NodeId) {
        log::info!("leader resigned: node={node} term={}", self.term);
        self.resigned = self.leader.take();
        self.contact.forget();
        self.expedite_hello(now);
    }

    /// Brings the next hello forward.
    pub(crate) fn expedite_hello(&mut self, now: Time) {
        let earliest = self
            .last_hello
            .map_or(now, |last| last.plus_millis(MIN_INTERVAL_MS).max(now));
        self.next_hello = self.next_hello.min(earliest);
    }

    /// True while the leader is known and has not been silent for too long to be given a new job.
    pub(crate) fn is_leader_responsive(&self, now: Time) -> bool {
        self.leader.is_some() && self.contact.is_responsive(now)
    }

    /// True while the leader is known and has sent a message recently.
    pub(crate) fn is_leader_answering(&self, now: Time) -> bool {
        self.contact.is_answering(now)
    }

    /// True where the leader is known, and silent on the direct connection.
    pub(crate) fn needs_relay(&self, now: Time) -> bool {
        self.leader.is_some() && self.contact.is_directly_silent(now)
    }

    /// When the next hello is due.
    pub(crate) fn next_hello(&self) -> Time {
        self.next_hello
    }

    /// The processes to send a hello to now; empty where none is due.
    pub(crate) fn hello_targets(&mut self, now: Time) -> Vec<NodeId> {
        if now < self.next_hello {
            return Vec::new();
        }
        self.hellos += 1;
        self.last_hello = Some(now);
        let reachable_leader = self.leader().filter(|_| !self.needs_relay(now));
        match reachable_leader {
            Some(leader) => {
                let regular = now.plus_millis(HELLO_INTERVAL_MS);
                self.next_hello = regular.min(self.contact.directly_silent_from());
                self.leader_and_second_opinion(leader)
            }
            None => {
                self.next_hello = now.plus_millis(SEARCH_INTERVAL_MS);
                self.all_known()
            }
        }
    }

    fn leader_and_second_opinion(&self, leader: NodeId) -> Vec<NodeId> {
        let mut targets = vec![leader];
        if self.hellos.is_multiple_of(SECOND_OPINION_EVERY) {
            let others: Vec<NodeId> = self
                .core()
                .iter()
                .copied()
                .filter(|node| *node != leader)
                .collect();
            let turn = (self.hellos / SECOND_OPINION_EVERY) as usize;
            targets.extend(others.get(turn % others.len().max(1)));
        }
        targets
    }

    fn all_known(&self) -> Vec<NodeId> {
        let mut targets = Vec::new();
        for node in self.leader().iter().chain(&self.members).chain(&self.seeds) {
            if *node != self.own && !targets.contains(node) {
                targets.push(*node);
            }
        }
        targets
    }
}
