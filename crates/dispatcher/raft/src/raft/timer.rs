//! Timers: the election timeout, and what is due next.

use super::rollback_check::QUERY_INTERVAL_S;
use super::{Raft, Role};
use rand::Rng;

impl Raft {
    /// The next election timeout begins now: one to two times the configured one.
    pub(super) fn reset_election_timer(&mut self, now: f64) {
        let chunk: f64 = self.random.random();
        self.election_deadline = now + self.timing.election_timeout_s * (1.0 + chunk);
    }

    /// When `tick` is to be called next.
    pub fn deadline(&self) -> f64 {
        let query = self
            .rollback_check
            .as_ref()
            .map_or(f64::INFINITY, |check| check.next_query);
        let protocol = match &self.role {
            Role::Leader(state) => state.next_heartbeat,
            _ if self.voters().is_empty() => self.last_tick + QUERY_INTERVAL_S,
            _ => self.election_deadline,
        };
        protocol.min(query)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.recover_from_pause(now);
        self.last_tick = now;
        if self.fault.is_some() {
            return;
        }
        self.tick_rollback_check(now);
        if self.voters().is_empty() {
            return self.tick_blank(now);
        }
        match self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_deadline => {
                self.reset_election_timer(now);
                self.start_election(now, true);
            }
            _ => {}
        }
    }

    /// Guards against a process that was stopped and calls for votes, or sends as a leader, when it wakes.
    fn recover_from_pause(&mut self, now: f64) {
        if now <= self.deadline() + self.timing.election_timeout_s {
            return;
        }
        self.reset_election_timer(now);
        if self.is_leader() {
            self.step_down(now, None);
        }
    }

    fn tick_blank(&mut self, now: f64) {
        match self.rollback_check {
            None => self.bootstrap(now),
            Some(_) => self.query_disk(true),
        }
    }
}
