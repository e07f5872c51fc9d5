//! Timers: heartbeats, election timeouts, queries about the disk.

use rand::Rng;

use super::rollback_check::QUERY_INTERVAL_S;
use super::{Raft, Role};

impl Raft {
    /// Draws the next election timeout: one to two times the configured one (Raft, 5.2).
    pub(super) fn reset_election_timer(&mut self, now: f64) {
        let fraction: f64 = self.random.random();
        self.election_deadline = now + self.timing.election_timeout_s * (1.0 + fraction);
    }

    /// When [`tick`](Raft::tick) is to be called next, seconds. Any other call may change it.
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

    /// Does everything that is due: heartbeats, elections, queries about the disk. Harmless before the deadline.
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
                self.start_pre_vote(now);
            }
            _ => {}
        }
    }

    /// A process that was stopped must neither start an election nor go on as leader when it continues: others have
    /// moved on, and their messages wait in its sockets.
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
