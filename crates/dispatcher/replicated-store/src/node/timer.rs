//! Timers of a node.

use super::Node;

/// Interval of maintenance (voters, tombstones, pending overrides), seconds.
const MAINTENANCE_INTERVAL_S: f64 = 0.2;

impl Node {
    /// When [`tick`](Node::tick) is to be called next, seconds. Any other call may change it.
    pub fn deadline(&self) -> f64 {
        let submit = match self.proposals.is_empty() {
            true => f64::INFINITY,
            false => self.next_submit,
        };
        self.raft
            .deadline()
            .min(submit)
            .min(self.next_gossip)
            .min(self.next_maintenance)
            .min(self.claims.deadline())
            .min(self.recovery_deadline)
    }

    /// Does everything that is due.
    pub fn tick(&mut self, now: f64) {
        if now >= self.raft.deadline() {
            self.raft.tick(now);
        }
        if now >= self.next_maintenance {
            self.next_maintenance = now + MAINTENANCE_INTERVAL_S;
            self.maintain(now);
        }
        self.process_log();
        self.submit_next(now);
        self.gossip(now);
        self.request_records(now);
        self.send_claims(now);
    }

    fn maintain(&mut self, now: f64) {
        self.reconfigure(now);
        self.merged.collect_tombstones(now, &self.others());
        self.settle_pending_overrides(now);
        if !self.possibly_out.is_empty() && !self.is_behind() {
            self.possibly_out.clear();
            self.changed = true;
        }
    }

    /// Moves the log's voters towards the committed ones.
    fn reconfigure(&mut self, now: f64) {
        let wanted = match self.committed.voters.is_empty() {
            true => &self.initial_voters,
            false => &self.committed.voters,
        };
        self.raft.reconfigure(now, wanted);
    }
}
