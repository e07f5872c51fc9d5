//! Leader discovery: finds the core processes, and which of them is the leader of the newest term.
//!
//! A gateway sends `Hello` to the leader it knows, periodically also to one other core process, and to all of them
//! while it knows no leader. Each process answers with a `Directory` that names the leader and its term. A newer term
//! always takes precedence. After a leader has resigned, it is accepted again for the same term only if that process
//! itself confirms it.

use sagetrail_protocol::directory::{Directory, HELLO_INTERVAL_MS};
use sagetrail_protocol::{NodeId, Term, Time};

use crate::contact::{LeaderContact, Route};

/// The interval of hellos while no leader is known or the leader is silent, in milliseconds.
const SEARCH_HELLO_INTERVAL_MS: u64 = 250;
/// The shortest interval between two rounds of hellos, in milliseconds; it also limits expedited hellos.
const MIN_HELLO_INTERVAL_MS: u64 = 50;
/// Every this many rounds, the hello also goes to one other core process, which may know a newer term than the leader.
const OTHER_MEMBER_EVERY_ROUNDS: u64 = 4;

/// A leader and its term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Leader {
    /// The address of the leader process.
    pub(crate) node: NodeId,
    /// The term for which the process was elected.
    pub(crate) term: Term,
}

/// The effect of a received message on the known leader.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum LeaderChange {
    /// A different leader, or a leader of a newer term, was adopted; pending requests must be sent to it.
    NewLeader,
    /// No leader was adopted.
    Unchanged,
}

/// The known core processes, the known leader, and the schedule of hellos.
#[derive(Debug)]
pub(crate) struct LeaderDiscovery {
    own_node: NodeId,
    seeds: Vec<NodeId>,
    members: Vec<NodeId>,
    /// The version of `members`; a list with an older version never replaces a newer one.
    members_version: u64,
    config_relays: Vec<NodeId>,
    /// The newest term for which a leader was adopted; 0 if there is none.
    term: Term,
    leader: Option<Leader>,
    /// The last leader that reported it is not the leader; only a message of its own reinstates it for that term.
    resigned: Option<Leader>,
    contact: LeaderContact,
    next_hello: Time,
    last_hello: Option<Time>,
    /// The number of rounds of hellos sent so far.
    hello_rounds: u64,
}

impl LeaderDiscovery {
    /// Creates a discovery that knows only the seeds and is due to send hellos immediately.
    pub(crate) fn new(own_node: NodeId, seeds: Vec<NodeId>, now: Time) -> LeaderDiscovery {
        LeaderDiscovery {
            own_node,
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
            hello_rounds: 0,
        }
    }

    /// Returns the leader, if one is known.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        self.leader.map(|leader| leader.node)
    }

    /// Replaces the seeds after the settings were reloaded.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.seeds = seeds;
    }

    /// Returns the members of the core, or the seeds while no members are known.
    pub(crate) fn core(&self) -> &[NodeId] {
        if self.members.is_empty() {
            &self.seeds
        } else {
            &self.members
        }
    }

    /// Returns the processes that relay configurations, the preferred ones first.
    pub(crate) fn config_relays(&self) -> &[NodeId] {
        &self.config_relays
    }

    /// Returns the processes that can relay messages to the leader: all known ones but this process and the leader,
    /// without duplicates.
    pub(crate) fn message_relays(&self) -> Vec<NodeId> {
        let mut relays = Vec::new();
        for node in self.core().iter().chain(&self.config_relays) {
            let can_relay = *node != self.own_node && Some(*node) != self.leader();
            if can_relay && !relays.contains(node) {
                relays.push(*node);
            }
        }
        relays
    }

    /// Receives a directory that `from` sent: updates the members and relays, and adopts the named leader if its term
    /// is newer.
    pub(crate) fn receive_directory(
        &mut self,
        now: Time,
        from: NodeId,
        route: Route,
        directory: Directory,
    ) -> LeaderChange {
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
        let change = self.adopt_if_newer(now, from, named);
        if self.leader() == Some(from) && self.leader != Some(named) {
            self.record_resignation(now, from);
        }
        if self.leader == Some(named) {
            self.record_contact(now, from, route);
        }
        change
    }

    /// Receives the message of `from` that it is not the leader, together with the leader that it knows.
    pub(crate) fn receive_not_leader(
        &mut self,
        now: Time,
        from: NodeId,
        named: Leader,
    ) -> LeaderChange {
        let change = if named.node == from {
            LeaderChange::Unchanged
        } else {
            self.adopt_if_newer(now, from, named)
        };
        if self.leader() == Some(from) {
            self.record_resignation(now, from);
        }
        change
    }

    /// Excludes messages that arrive before `until` from contact tracking, because they may have been queued in a
    /// socket.
    pub(crate) fn ignore_contact_until(&mut self, until: Time) {
        self.contact.ignore_until(until);
    }

    /// Records that a message of `from` arrived, if that process is the leader.
    pub(crate) fn record_contact(&mut self, now: Time, from: NodeId, route: Route) {
        if self.leader() == Some(from) {
            self.contact.record(now, route);
        }
    }

    /// Adopts the named leader if its term is newer than the known one, or if no leader of the known term is known.
    fn adopt_if_newer(&mut self, now: Time, from: NodeId, named: Leader) -> LeaderChange {
        let is_newer = named.term > self.term;
        let term_lacks_leader = named.term == self.term && self.leader.is_none();
        let is_credible = self.resigned != Some(named) || from == named.node;
        let names_no_leader = named.node == NodeId::default();
        if names_no_leader || !(is_newer || term_lacks_leader) || !is_credible {
            return LeaderChange::Unchanged;
        }
        log::info!("leader discovered: node={} term={}", named.node, named.term);
        self.term = named.term;
        self.leader = Some(named);
        self.resigned = None;
        self.contact.adopt(now);
        self.expedite_hello(now);
        LeaderChange::NewLeader
    }

    fn record_resignation(&mut self, now: Time, node: NodeId) {
        log::info!("leader resigned: node={node} term={}", self.term);
        self.resigned = self.leader.take();
        self.contact.forget();
        self.expedite_hello(now);
    }

    /// Reschedules the next hello to the earliest permitted time.
    pub(crate) fn expedite_hello(&mut self, now: Time) {
        let earliest = self
            .last_hello
            .map_or(now, |last| last.plus_millis(MIN_HELLO_INTERVAL_MS).max(now));
        self.next_hello = self.next_hello.min(earliest);
    }

    /// Returns whether a leader is known and has not been silent for too long to be given a new job.
    pub(crate) fn is_leader_responsive(&self, now: Time) -> bool {
        self.leader.is_some() && self.contact.is_responsive(now)
    }

    /// Returns whether a leader is known and has sent a message recently.
    pub(crate) fn is_leader_answering(&self, now: Time) -> bool {
        self.contact.is_answering(now)
    }

    /// Returns whether a leader is known but silent on the direct connection, so that messages also need a relay.
    pub(crate) fn needs_relay(&self, now: Time) -> bool {
        self.leader.is_some() && self.contact.is_directly_silent(now)
    }

    /// Returns the time at which the next hello is due.
    pub(crate) fn next_hello(&self) -> Time {
        self.next_hello
    }

    /// Returns the processes to which a hello is due now and schedules the next round; the list is empty if no hello
    /// is due.
    pub(crate) fn hello_targets(&mut self, now: Time) -> Vec<NodeId> {
        if now < self.next_hello {
            return Vec::new();
        }
        self.hello_rounds += 1;
        self.last_hello = Some(now);
        let reachable_leader = self.leader().filter(|_| !self.needs_relay(now));
        match reachable_leader {
            Some(leader) => {
                let regular_hello = now.plus_millis(HELLO_INTERVAL_MS);
                self.next_hello = regular_hello.min(self.contact.directly_silent_from());
                self.leader_and_rotating_member(leader)
            }
            None => {
                self.next_hello = now.plus_millis(SEARCH_HELLO_INTERVAL_MS);
                self.all_known_processes()
            }
        }
    }

    fn leader_and_rotating_member(&self, leader: NodeId) -> Vec<NodeId> {
        let mut targets = vec![leader];
        if self.hello_rounds.is_multiple_of(OTHER_MEMBER_EVERY_ROUNDS) {
            let others: Vec<NodeId> = self
                .core()
                .iter()
                .copied()
                .filter(|node| *node != leader)
                .collect();
            let rotation = (self.hello_rounds / OTHER_MEMBER_EVERY_ROUNDS) as usize;
            targets.extend(others.get(rotation % others.len().max(1)));
        }
        targets
    }

    fn all_known_processes(&self) -> Vec<NodeId> {
        let mut targets = Vec::new();
        for node in self.leader().iter().chain(&self.members).chain(&self.seeds) {
            if *node != self.own_node && !targets.contains(node) {
                targets.push(*node);
            }
        }
        targets
    }
}
