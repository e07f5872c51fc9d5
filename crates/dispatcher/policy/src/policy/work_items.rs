//! The events of a work item: its arrival, the reports on its attempts, and the departure of its client.

use super::*;

/// The handle of a work item. It may be assigned to another work item after `Host::release_handle`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WorkItem(pub u32);

impl WorkItem {
    /// Applies that the job of an attempt has started. `attempt` counts the attempts of the work item from 0.
    pub fn started(self, dispatcher: &mut Dispatcher, now: f64, attempt: u16) {
        // The report may come twice.
        let is_first_report = |in_flight: &&mut Attempt| {
            in_flight.number == attempt && in_flight.started_at_s.is_none()
        };
        let Some(in_flight) = dispatcher.work_items[self.0 as usize]
            .in_flight
            .as_mut()
            .filter(is_first_report)
        else {
            return;
        };
        (in_flight.started_at_s, in_flight.last_sign_at_s) = (Some(now), now);
        let (waited_s, runner) = (
            now - in_flight.sent_at_s,
            &mut dispatcher.runners[in_flight.runner],
        );
        dispatcher.start_waits.push((waited_s, now));
        runner.heard_at_s = now;
        runner.own_running += 1.0;
        runner.start_wait = (waited_s, now);
        runner.most_own_running = runner.most_own_running.max(runner.own_running);
        // A late start limits the slot cap to the jobs that run now. If a runner only answers "full" after a
        // long queue has formed, a late start is the first sign that the cap exceeds its slots. If more of
        // this dispatcher's jobs ran there before and no other dispatcher sends, the cause is a lost job that
        // still runs, and the limit holds for a shorter time.
        if waited_s > PROMPT_START_S && runner.own_running < runner.slot_cap {
            let is_temporary = dispatcher.config.dispatcher_count == 1
                && runner.own_running < runner.most_own_running;
            runner.slot_cap = runner.own_running;
            runner.slot_cap_limit = (runner.slot_cap, now + if is_temporary { 1.0 } else { 10.0 });
        }
    }

    /// Applies that the runner has accepted an attempt.
    pub fn accepted(self, dispatcher: &mut Dispatcher, now: f64, attempt: u16) {
        let Some(in_flight) = dispatcher.work_items[self.0 as usize]
            .in_flight
            .as_mut()
            .filter(|in_flight| in_flight.number == attempt)
        else {
            return;
        };
        in_flight.last_sign_at_s = in_flight.last_sign_at_s.max(now);
        dispatcher.runners[in_flight.runner].accepted_at_s = now;
    }

    /// Applies a progress report of an attempt's job; `progress` is the fraction that is done, 0 to 1.
    pub fn progressed(self, dispatcher: &mut Dispatcher, now: f64, attempt: u16, progress: f64) {
        let Some(in_flight) = dispatcher.work_items[self.0 as usize]
            .in_flight
            .as_mut()
            .filter(|in_flight| in_flight.number == attempt)
        else {
            return;
        };
        (in_flight.last_sign_at_s, in_flight.progress) = (now, progress);
        dispatcher.runners[in_flight.runner].heard_at_s = now;
    }

    /// Applies that the client has left, so that no answer is owed any more.
    pub fn client_left(self, dispatcher: &mut Dispatcher, host: &mut impl Host) {
        dispatcher.held.retain(|&handle| handle != self.0);
        dispatcher.work_items[self.0 as usize].ended = true;
        dispatcher.cancel_attempt(host, self.0);
        dispatcher.release_if_done(host, self.0);
    }

    /// Applies the end of an attempt. `is_answered` tells that the client has been answered, so that there is
    /// no retry.
    pub fn attempt_ended(
        self,
        dispatcher: &mut Dispatcher,
        host: &mut impl Host,
        attempt: u16,
        outcome: Outcome,
        is_answered: bool,
    ) {
        let now = host.now();
        let work_item = &mut dispatcher.work_items[self.0 as usize];
        let Some(attempt) = work_item
            .in_flight
            .take_if(|in_flight| in_flight.number == attempt)
        else {
            return;
        };
        let job = work_item.job;
        dispatcher.runners[attempt.runner].count_ended(&job, &attempt);
        dispatcher.needs_pass = true;
        dispatcher.record_outcome(&job, &attempt, now, outcome);
        let work_item = &mut dispatcher.work_items[self.0 as usize];
        work_item.ended |= is_answered;
        if !outcome.proves_not_run() && outcome != Outcome::Finished {
            work_item
                .may_have_run
                .get_or_insert((attempt.sent_at_s, attempt.runner));
        }
        if work_item.ended {
            return dispatcher.release_if_done(host, self.0);
        }
        // 20 ms, because an attempt that ends at the expiry is reported within a batch or two of it.
        if now > job.expires_at_s - 0.02 {
            return dispatcher.give_up(host, self.0, false);
        }
        // For 1 s the work item is not sent back to the runner that failed it.
        work_item.avoided = (
            attempt.runner,
            if outcome == Outcome::StaleConnection {
                now
            } else {
                now + 1.0
            },
        );
        if !dispatcher.may_attempt(self.0, now) {
            return dispatcher.give_up(host, self.0, true);
        }
        dispatcher.hold(now, self.0);
    }
}

impl Dispatcher {
    /// Accepts a work item, which is held until `decide` assigns it to a runner; `None` if its category is
    /// unknown.
    pub fn submit(&mut self, now: f64, job: Job) -> Option<WorkItem> {
        self.config.categories.get(job.category)?;
        self.recent_keys.push(job.key);
        // A client gives up all its tries at the same instant. So the difference between the longest wait
        // seen and the wait that is left tells when the first try came, from which the due time counts.
        let first_requested_at_s =
            self.longest_expiries
                .get_mut(job.category)
                .map_or(now, |longest_s| {
                    *longest_s = longest_s.max(job.expires_at_s - now);
                    now.min(job.expires_at_s - *longest_s)
                });
        let handle = self.store(WorkItemState::new(job, first_requested_at_s, now));
        // Work that the remaining sites have no capacity for is rejected, so that the loss of one site does
        // not bring down the next.
        let admitted = self
            .admitted_fractions
            .get(job.category)
            .copied()
            .unwrap_or(1.0);
        self.work_items[handle as usize].rejected =
            admitted < 1.0 && self.pcg.uniform() >= admitted;
        self.hold(now, handle);
        Some(WorkItem(handle))
    }

    /// Holds a work item, in the order of arrival, until it is assigned to a runner.
    pub(super) fn hold(&mut self, now: f64, handle: u32) {
        self.needs_pass = true;
        self.select_candidates(handle, now);
        let WorkItemState {
            received_at_s,
            job,
            rejected,
            ..
        } = self.work_items[handle as usize];
        self.work_items[handle as usize].key_holders = self.find_key_holders(handle, now);
        let position = self
            .held
            .partition_point(|&held| self.work_items[held as usize].received_at_s <= received_at_s);
        self.held.insert(position, handle);
        // A work item may arrive, or come back from an attempt, so late that it must be given up at once.
        self.next_check_at_s = self.next_check_at_s.min(if rejected {
            now
        } else {
            job.expires_at_s - 2.0 * CHECK_INTERVAL_S
        });
    }
}
