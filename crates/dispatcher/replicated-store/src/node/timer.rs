//! Timers of a node.

use super::Node;

/// Interval between two runs of the maintenance of voters, tombstones and pending overrides, seconds.
const MAINTENANCE_INTERVAL_S: f64 = 0.2;

impl Node {
    /// The time at which [`tick`](Node::tick) must be called next, seconds. Any other call may change it.
    pub fn deadline(&self) -> f64 {
        let submit_s = match self.proposals.is_empty() {
            true => f64::INFINITY,
            false => self.next_submit_s,
        };
        self.raft
            .deadline()
            .min(submit_s)
            .min(self.next_gossip_s)
            .min(self.next_maintenance_s)
            .min(self.claims.deadline())
            .min(self.recovery_deadline_s)
    }

    /// Runs the timers of the log, maintenance, proposals, gossip, recovery and claims that are due.
    pub fn tick(&mut self, now_s: f64) {
        if now_s >= self.raft.deadline() {
            self.raft.tick(now_s);
        }
        if now_s >= self.next_maintenance_s {
            self.next_maintenance_s = now_s + MAINTENANCE_INTERVAL_S;
            self.maintain(now_s);
        }
        self.process_log();
        self.submit_next(now_s);
        self.gossip(now_s);
        self.request_records(now_s);
        self.send_claims(now_s);
    }

    fn maintain(&mut self, now_s: f64) {
        self.reconfigure(now_s);
        self.merged.collect_tombstones(now_s, &self.others());
        self.resolve_pending_overrides(now_s);
        if !self.possibly_out_of_service.is_empty() && !self.is_behind() {
            self.possibly_out_of_service.clear();
            self.changed = true;
        }
    }

    /// Changes the log's voters by one step towards the committed list of voters.
    fn reconfigure(&mut self, now_s: f64) {
        let wanted = match self.committed.voters.is_empty() {
            true => &self.initial_voters,
            false => &self.committed.voters,
        };
        self.raft.reconfigure(now_s, wanted);
    }
}
