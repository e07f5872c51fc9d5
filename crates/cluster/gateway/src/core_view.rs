//! Who the core processes are, which of them schedules, and whether that one answers.

use sagetrail_protocol::directory::{Directory, HELLO_INTERVAL_MS};
use sagetrail_protocol::{NodeId, Term, Time};

/// The leader is sought among all core processes, and reached through relays, once silent for so long.
const SILENT_MS: u64 = 700;
/// New jobs are refused once the leader has been silent for so long.
const UNRESPONSIVE_MS: u64 = 1500;
/// The leader counts as answering, for readiness, for so long after its last word.
const ANSWERED_MS: u64 = 2500;
/// The leader is sought this often.
const SEEK_INTERVAL_MS: u64 = 250;
/// Greetings asked for out of turn are at least so far apart.
const LEAST_INTERVAL_MS: u64 = 50;
/// Each so many greetings another core process is asked as well, for a newer term than the leader knows.
const SECOND_OPINION_EVERY: u64 = 4;

/// A scheduler and its term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Leader {
    pub(crate) node: NodeId,
    pub(crate) term: Term,
}

/// What is known of the core.
#[derive(Debug)]
pub(crate) struct CoreView {
    own: NodeId,
    seeds: Vec<NodeId>,
    members: Vec<NodeId>,
    members_version: u64,
    relays: Vec<NodeId>,
    /// The newest term of which an leader was named.
    term: Term,
    leader: Option<Leader>,
    /// Said of itself that it is not the leader; only its own word changes that.
    disowned: Option<Leader>,
    adopted_at: Time,
    heard_at: Option<Time>,
    heard_directly_at: Option<Time>,
    /// No word is a sign of life before.
    distrusted_until: Time,
    next_hello: Time,
    last_hello: Option<Time>,
    hellos: u64,
}

impl CoreView {
    /// Knows the seeds only.
    pub(crate) fn new(own: NodeId, seeds: Vec<NodeId>, now: Time) -> CoreView {
        CoreView {
            own,
            seeds,
            members: Vec::new(),
            members_version: 0,
            relays: Vec::new(),
            term: 0,
            leader: None,
            disowned: None,
            adopted_at: now,
            heard_at: None,
            heard_directly_at: None,
            distrusted_until: now,
            next_hello: now,
            last_hello: None,
            hellos: 0,
        }
    }

    /// The scheduler as far as known.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        self.leader.map(|leader| leader.node)
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

    /// Who may pass messages on to the leader.
    pub(crate) fn relays(&self) -> Vec<NodeId> {
        let mut relays = Vec::new();
        for node in self.core().iter().chain(&self.relays) {
            let third = *node != self.own && Some(*node) != self.leader();
            if third && !relays.contains(node) {
                relays.push(*node);
            }
        }
        relays
    }

    /// Takes a directory that `from` sent. True where another leader is known now.
    pub(crate) fn take_directory(
        &mut self,
        now: Time,
        from: NodeId,
        direct: bool,
        directory: Directory,
    ) -> bool {
        if directory.members_version >= self.members_version && !directory.members.is_empty() {
            self.members_version = directory.members_version;
            self.members = directory.members.0;
        }
        if directory.term >= self.term {
            self.relays = directory.relays.0;
        }
        let named = Leader {
            node: directory.leader,
            term: directory.term,
        };
        let adopted = self.take_leader(now, from, named);
        if self.leader() == Some(from) && self.leader != Some(named) {
            self.disown(now, from);
        }
        if self.leader == Some(named) {
            self.heard_from(now, from, direct);
        }
        adopted
    }

    /// Takes the word of `from` that it is not the scheduler. True where another leader is known now.
    pub(crate) fn take_not_leader(&mut self, now: Time, from: NodeId, named: Leader) -> bool {
        let adopted = named.node != from && self.take_leader(now, from, named);
        if self.leader() == Some(from) {
            self.disown(now, from);
        }
        adopted
    }

    /// What comes before `until` may have waited for long, and is no sign of life.
    pub(crate) fn distrust(&mut self, until: Time) {
        self.distrusted_until = until;
    }

    /// Something came from `from`.
    pub(crate) fn heard_from(&mut self, now: Time, from: NodeId, direct: bool) {
        if self.leader() != Some(from) || now < self.distrusted_until {
            return;
        }
        self.heard_at = Some(now);
        if direct {
            self.heard_directly_at = Some(now);
        }
    }

    fn take_leader(&mut self, now: Time, from: NodeId, named: Leader) -> bool {
        let newer = named.term > self.term;
        let refound = named.term == self.term && self.leader.is_none();
        let credible = self.disowned != Some(named) || from == named.node;
        if named.node == NodeId::default() || !(newer || refound) || !credible {
            return false;
        }
        log::info!("scheduler is {} in term {}", named.node, named.term);
        self.term = named.term;
        self.leader = Some(named);
        self.disowned = None;
        self.adopted_at = now;
        self.heard_at = None;
        self.heard_directly_at = None;
        self.ask_soon(now);
        true
    }

    fn disown(&mut self, now: Time, node: NodeId) {
        log::info!("{node} is no longer the scheduler");
        self.disowned = self.leader.take();
        self.heard_at = None;
        self.heard_directly_at = None;
        self.ask_soon(now);
    }

    /// Brings the next greeting forward.
    pub(crate) fn ask_soon(&mut self, now: Time) {
        let earliest = self
            .last_hello
            .map_or(now, |last| last.plus_millis(LEAST_INTERVAL_MS).max(now));
        self.next_hello = self.next_hello.min(earliest);
    }

    /// True while the leader is known and has not been silent for too long to be given a new job.
    pub(crate) fn leader_responsive(&self, now: Time) -> bool {
        self.leader.is_some() && self.silent_ms(now, self.heard_at) <= UNRESPONSIVE_MS
    }

    /// True while the leader is known and has answered lately.
    pub(crate) fn leader_answers(&self, now: Time) -> bool {
        self.heard_at
            .is_some_and(|heard| now.millis_since(heard) <= ANSWERED_MS)
    }

    /// True where the leader is known and not heard on the straight way.
    pub(crate) fn wants_relay(&self, now: Time) -> bool {
        self.leader.is_some() && self.silent_ms(now, self.heard_directly_at) > SILENT_MS
    }

    /// When the leader counts as silent unless it is heard before.
    fn silent_from(&self) -> Time {
        self.heard_directly_at
            .unwrap_or(self.adopted_at)
            .plus_millis(SILENT_MS + 1)
    }

    fn silent_ms(&self, now: Time, heard: Option<Time>) -> u64 {
        now.millis_since(heard.unwrap_or(self.adopted_at))
    }

    /// When the next greeting is due.
    pub(crate) fn next_hello(&self) -> Time {
        self.next_hello
    }

    /// Whom to greet now; empty where no greeting is due.
    pub(crate) fn hello_targets(&mut self, now: Time) -> Vec<NodeId> {
        if now < self.next_hello {
            return Vec::new();
        }
        self.hellos += 1;
        self.last_hello = Some(now);
        let settled = self.leader().filter(|_| !self.wants_relay(now));
        self.next_hello = match settled {
            Some(_) => now.plus_millis(HELLO_INTERVAL_MS).min(self.silent_from()),
            None => now.plus_millis(SEEK_INTERVAL_MS),
        };
        match settled {
            Some(leader) => self.leader_and_second(leader),
            None => self.everyone(),
        }
    }

    fn leader_and_second(&self, leader: NodeId) -> Vec<NodeId> {
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

    fn everyone(&self) -> Vec<NodeId> {
        let mut targets = Vec::new();
        for node in self.leader().iter().chain(&self.members).chain(&self.seeds) {
            if *node != self.own && !targets.contains(node) {
                targets.push(*node);
            }
        }
        targets
    }
}
