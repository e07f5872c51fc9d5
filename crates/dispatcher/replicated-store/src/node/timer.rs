//! Timers of a node.

use super::Node;

/// The voters are looked at this often, seconds.
const VOTERS_INTERVAL_S: f64 = 0.2;

impl Node {
    /// When `tick` is to be called next.
    pub fn due(&self) -> f64 {
        let propose = if self.proposals.is_empty() {
            f64::INFINITY
        } else {
            self.next_propose
        };
        let rest = self
            .next_merge
            .min(self.next_voters)
            .min(self.claims.due())
            .min(self.holder_due);
        self.raft.deadline().min(propose).min(rest)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        if now >= self.raft.deadline() {
            self.raft.tick(now);
        }
        if now >= self.next_voters {
            self.next_voters = now + VOTERS_INTERVAL_S;
            self.maintain(now);
        }
        self.process_log();
        self.hand_in(now);
        self.gossip(now);
        self.request_records(now);
        self.send_claims(now);
    }

    fn maintain(&mut self, now: f64) {
        self.reconfigure(now);
        self.merged.sweep(now, &self.others());
        self.settle_words(now);
        if !self.suspected.is_empty() && !self.behind() {
            self.suspected.clear();
            self.changed = true;
        }
    }

    /// Moves the log's voters towards those that are agreed on.
    fn reconfigure(&mut self, now: f64) {
        let wanted = match self.facts.voters.is_empty() {
            true => &self.initial_voters,
            false => &self.facts.voters,
        };
        self.raft.reconfigure(now, wanted);
    }
}
