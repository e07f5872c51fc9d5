//! Timers of heartbeats, elections and disk queries.

use rand::Rng;

use super::rollback_check::QUERY_INTERVAL_S;
use super::{Raft, Role};

impl Raft {
    /// Draws the next election timeout at random between one and two times the configured one (Raft, 5.2).
    pub(super) fn reset_election_timer(&mut self, now_s: f64) {
        let fraction: f64 = self.random.random();
        self.election_deadline_s = now_s + self.timing.election_timeout_s * (1.0 + fraction);
    }

    /// The time at which [`tick`](Raft::tick) must be called next, seconds. Any other call may change it.
    pub fn deadline(&self) -> f64 {
        let query_s = self
            .rollback_check
            .as_ref()
            .map_or(f64::INFINITY, |check| check.next_query_s);
        let protocol_s = match &self.role {
            Role::Leader(state) => state.next_heartbeat_s,
            _ if self.voters().is_empty() => self.last_tick_s + QUERY_INTERVAL_S,
            _ => self.election_deadline_s,
        };
        protocol_s.min(query_s)
    }

    /// Sends the heartbeats and disk queries and starts the elections that are due. May be called before the deadline.
    pub fn tick(&mut self, now_s: f64) {
        self.recover_from_pause(now_s);
        self.last_tick_s = now_s;
        if self.fault.is_some() {
            return;
        }
        self.tick_rollback_check(now_s);
        if self.voters().is_empty() {
            return self.tick_blank(now_s);
        }
        match self.role {
            Role::Leader(_) => self.tick_leader(now_s),
            _ if now_s >= self.election_deadline_s => {
                self.reset_election_timer(now_s);
                self.start_pre_vote(now_s);
            }
            _ => {}
        }
    }

    /// Handles the resumption of a process that was paused. It must neither start an election nor continue as leader:
    /// the other members may have elected a leader meanwhile, and their messages wait in its sockets.
    fn recover_from_pause(&mut self, now_s: f64) {
        if now_s <= self.deadline() + self.timing.election_timeout_s {
            return;
        }
        self.reset_election_timer(now_s);
        if self.is_leader() {
            self.step_down(now_s, None);
        }
    }

    fn tick_blank(&mut self, now_s: f64) {
        match self.rollback_check {
            None => self.bootstrap(now_s),
            Some(_) => self.query_disk(true),
        }
    }
}
