//! The rules on placement, on effects and on answers.

use super::*;

impl Dispatcher {
    /// A category is sent to no other runners than those it is bound to, whatever becomes of these.
    pub(crate) fn open_to(&self, w: u32, r: usize) -> bool {
        self.category(w).placement.admits(&self.runners[r].at)
    }

    pub(super) fn may_go(&self, w: u32, r: usize, now: f64) -> bool {
        let work = &self.works[w as usize];
        let Some((_, first)) = work.ran else {
            return true;
        };
        let category = self.category(w);
        let (a, b) = (&self.runners[first].at, &self.runners[r].at);
        match category.repeat {
            Repeat::Idempotent => true,
            Repeat::AtMostOnce => false,
            Repeat::Keyed(scope) => {
                now < self.repeat_by(w)
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => a.zone == b.zone,
                        Scope::Cell => a.cell == b.cell,
                    }
            }
        }
    }

    pub(super) fn may_resend(&self, w: u32, now: f64) -> bool {
        let work = &self.works[w as usize];
        let first = work.made == 0 || self.resends >= 1.0 && !self.fails_anywhere(work.job.key);
        first
            && work.made < self.config.max_attempts
            && work.ran.is_none_or(|(_, first)| self.may_go(w, first, now))
    }

    /// The final answer for what is given up on: deferred where that is harmless, else written off.
    pub(super) fn end(&mut self, host: &mut impl Host, w: u32, in_time: bool) {
        let again = matches!(
            self.category(w).repeat,
            Repeat::Idempotent | Repeat::Keyed(Scope::All)
        );
        let work = &mut self.works[w as usize];
        let refused = work.refused;
        work.ended = true;
        if in_time && (again || work.ran.is_none()) {
            let backlog: f64 = self
                .held
                .iter()
                .map(|&h| self.expected(&self.works[h as usize].job))
                .sum();
            let ready = self.runners.iter().filter(|r| r.ready()).count().max(1) as f64;
            // Guards against all who are refused coming back at once.
            let apart = if refused {
                1.0 + self.pcg.uniform()
            } else {
                0.0
            };
            host.defer(
                WorkItem(w),
                (0.2 + backlog / ready + apart).min(self.config.max_retry_after_s),
            );
        } else {
            host.write_off(WorkItem(w));
        }
        self.release(host, w);
    }

    pub(super) fn cancel(&mut self, host: &mut impl Host, w: u32) {
        let may = self.config.may_cancel;
        if let Some(attempt) = self.works[w as usize]
            .out
            .as_mut()
            .filter(|a| may && !a.cancelled)
        {
            attempt.cancelled = true;
            host.cancel(WorkItem(w), attempt.no);
        }
    }
}
