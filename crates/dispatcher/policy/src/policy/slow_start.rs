//! What a runner that has just started may be sent.

use super::*;

impl Dispatcher {
    /// What a runner may be sent by all within the rule's span; `None` for a warm one.
    pub(crate) fn cold_whole(&self, r: usize, now: f64) -> Option<f64> {
        let (runner, t) = (&self.runners[r], &self.config);
        let age = now - runner.born();
        let warm = (age - t.overload_window_s).max(0.0) / t.warm_up_s;
        let present =
            runner.capacity * (t.slow_start_fraction + (1.0 - t.slow_start_fraction) * warm);
        // 1.4: all parts in full are the limit, by the 0.75 in `size_up`. The spread of sizes lives on what
        // most leave unused: the worst of 432 hunted days came to three fifths.
        (age < t.warm_up_s).then_some(1.4 * t.overload_multiple * present * t.overload_window_s)
    }

    /// What may still be sent. Guards against pushing over a runner that has just started: the work sent to
    /// it, whatever became of it, stays under this dispatcher's part of what the rule allows in any span.
    pub(super) fn cold_left(&self, r: usize, now: f64) -> f64 {
        let (runner, t) = (&self.runners[r], &self.config);
        let Some(whole) = self.cold_whole(r, now) else {
            return f64::INFINITY;
        };
        // Even parts among many are under any work item's size, and what is left to who has no work is lost:
        // as many as the whole has room for, in rank order, may send so much as the largest usual one each.
        let largest = self.usual.iter().copied().fold(0.0, f64::max) + self.fetch_s;
        let heads = ((whole / largest) as usize).clamp(1, t.dispatcher_count);
        let part = if heads == t.dispatcher_count {
            whole / heads as f64
        } else {
            largest.min(whole)
        };
        let mine = match runner.part {
            // Where parts are lent: three quarters, since a part is then used in full and sizes spread.
            Some(part) => 0.75 * part * whole,
            None if runner.ahead < heads && !self.lent => part,
            None => 0.0,
        };
        if !self.leaves(r, now) {
            mine - self.cold_spent(r, now)
        } else {
            -1.0
        }
    }

    /// What a work item weighs on a cold runner. Guards against counting by the hint alone: a runner that has
    /// just started holds nothing, so every work item fetches first.
    pub(super) fn cold_size(&self, job: &Job) -> f64 {
        let warm = if self.lent {
            self.warm[job.category]
        } else {
            1.0
        };
        (warm * self.expected(job) + self.fetch_s) * job.slots
    }

    /// What a warm runner of a kind does in a second, in the unit of `expected`: its slots over its pace.
    /// Where nobody reports slots, a cap is only our part of them; the most of ours seen running at once on
    /// one is what they have at the least. 0.75 since slots may outnumber cores. Lent parts: in warm runs.
    pub(super) fn size_up(&mut self, kind: u8, now: f64) {
        let used = || self.chosen.iter().map(|&r| &self.runners[r]);
        let slots = |r: &Runner| {
            if r.at.kind == kind {
                r.most.max(r.slots)
            } else {
                0.0
            }
        };
        let most = used().map(slots).fold(CAP_START, f64::max);
        // Guards against one unwell that is all its kind has warm, by whose pace the cold ones get nothing.
        let grown = || used().filter(|r| now > r.born() + self.config.warm_up_s);
        let like = |r: &&Runner| r.at.kind == kind && r.resting.is_none();
        let few = grown().filter(like).count() < 3;
        let pace = median(grown().filter(|r| few || like(r)).map(|r| r.pace)).unwrap_or(1.0);
        let pace = if self.lent { 1.0 } else { pace };
        // One of many sees too little of a runner: what all together have running on a warm one, where told;
        // else as if all were as busy, but 2.5 times what was seen at the most, in case they are not.
        let all = || {
            let busy = self.busy.mean().unwrap_or(0.0) * self.config.dispatcher_count as f64;
            (busy / grown().count().max(1) as f64).min(2.5 * most)
        };
        let most = most.max(if self.told_most > 0.0 {
            self.told_most
        } else {
            all()
        });
        let of_kind = self.runners.iter_mut().filter(|r| r.at.kind == kind);
        of_kind.for_each(|r| r.capacity = 0.75 * most / pace);
    }
}
