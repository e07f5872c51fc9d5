//! What becomes of a work item: taken, held, started, come back, left.

use super::*;

/// A work item's handle.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WorkItem(pub u32);

impl WorkItem {
    /// The attempt's job has started.
    pub fn started(self, d: &mut Dispatcher, now: f64, no: u16) {
        let first = |a: &&mut Attempt| a.no == no && a.started.is_none(); // A callback may come twice.
        let Some(attempt) = d.works[self.0 as usize].out.as_mut().filter(first) else {
            return;
        };
        (attempt.started, attempt.moved) = (Some(now), now);
        let (waited, runner) = (now - attempt.sent, &mut d.runners[attempt.runner]);
        d.waits.push((waited, now));
        runner.heard = now;
        runner.running += 1.0;
        runner.wait = (waited, now);
        runner.most = runner.most.max(runner.running);
        // Guards against a cap past the slots: with no 'full' before a long queue, a late start is the first
        // sign, a soft 'full'. Where more of ours ran before and nobody else sends, a lost job runs on.
        if waited > PROMPT_S && runner.running < runner.cap {
            let passing = d.config.dispatcher_count == 1 && runner.running < runner.most;
            runner.cap = runner.running;
            runner.ceiling = (runner.cap, now + if passing { 1.0 } else { 10.0 });
        }
    }

    /// The runner has said that it takes the attempt.
    pub fn accepted(self, d: &mut Dispatcher, now: f64, no: u16) {
        let Some(out) = d.works[self.0 as usize]
            .out
            .as_mut()
            .filter(|out| out.no == no)
        else {
            return;
        };
        out.moved = out.moved.max(now);
        d.runners[out.runner].took = now;
    }

    /// So much of the attempt's job is done.
    pub fn progressed(self, d: &mut Dispatcher, now: f64, no: u16, share: f64) {
        let Some(out) = d.works[self.0 as usize]
            .out
            .as_mut()
            .filter(|out| out.no == no)
        else {
            return;
        };
        (out.moved, out.share) = (now, share);
        d.runners[out.runner].heard = now;
    }

    /// The client has gone; nothing is owed any more.
    pub fn client_left(self, d: &mut Dispatcher, host: &mut impl Host) {
        d.held.retain(|&w| w != self.0);
        d.works[self.0 as usize].ended = true;
        d.cancel(host, self.0);
        d.release(host, self.0);
    }

    /// A attempt has come back.
    pub fn attempt_ended(
        self,
        d: &mut Dispatcher,
        host: &mut impl Host,
        no: u16,
        outcome: Outcome,
        settled: bool,
    ) {
        let now = host.now();
        let work = &mut d.works[self.0 as usize];
        let Some(attempt) = work.out.take_if(|attempt| attempt.no == no) else {
            return;
        };
        let job = work.job;
        d.runners[attempt.runner].unload(&job, &attempt);
        d.changed = true;
        d.learn(&job, &attempt, now, outcome);
        let work = &mut d.works[self.0 as usize];
        work.ended |= settled;
        if !outcome.proves_not_run() && outcome != Outcome::Finished {
            work.ran.get_or_insert((attempt.sent, attempt.runner));
        }
        if work.ended {
            return d.release(host, self.0);
        }
        // 20 ms: a time-out trimmed to the expiry arrives within a batch or two of it.
        if now > job.expires_at_s - 0.02 {
            return d.end(host, self.0, false);
        }
        // Guards against giving the same failing runner its work straight back.
        work.avoid = (
            attempt.runner,
            if outcome == Outcome::StaleConnection {
                now
            } else {
                now + 1.0
            },
        );
        if !d.may_resend(self.0, now) {
            return d.end(host, self.0, true);
        }
        d.hold(now, self.0);
    }
}

impl Dispatcher {
    /// Takes a work item of a known category; it is held until `decide` finds it a runner.
    pub fn submit(&mut self, now: f64, job: Job) -> Option<WorkItem> {
        self.config.categories.get(job.category)?;
        self.asked.push(job.key);
        // Guards against repeats that look fresh: a client gives up all tries at one time, so what is left of
        // the longest wait seen tells when its first try came, by which it is due.
        let begun = self.longest.get_mut(job.category).map_or(now, |longest| {
            *longest = longest.max(job.expires_at_s - now);
            now.min(job.expires_at_s - *longest)
        });
        let id = self.place(Work::new(job, begun, now));
        // Guards against the loss of a site taking the next one along: what would not fit is not begun.
        let part = self.admit.get(job.category).copied().unwrap_or(1.0);
        self.works[id as usize].refused = part < 1.0 && self.pcg.uniform() >= part;
        self.hold(now, id);
        Some(WorkItem(id))
    }

    pub(super) fn hold(&mut self, now: f64, w: u32) {
        self.changed = true;
        self.find_home(w, now);
        let Work {
            taken,
            job,
            refused,
            ..
        } = self.works[w as usize];
        self.works[w as usize].holders = self.holders(w, now);
        let place = self
            .held
            .partition_point(|&h| self.works[h as usize].taken <= taken);
        self.held.insert(place, w);
        // Guards against work that arrives, or comes back, with its expiry already upon it.
        self.next_look = self.next_look.min(if refused {
            now
        } else {
            job.expires_at_s - 2.0 * LOOK_S
        });
    }
}
