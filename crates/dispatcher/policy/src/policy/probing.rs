//! Load probes, for runners that report their load in no other way, and the queues that work joins if all are
//! full.

use super::*;

impl Dispatcher {
    /// Sends load probes for the held work items that lack a valid load report of an eligible candidate, one
    /// at a time for each work item and best candidate first. After all candidates were found full the next
    /// round follows after a wait that doubles with each round. At most one probe is in flight to a runner. A
    /// probe that takes long shows that its runner is busy, so the next candidate is probed.
    pub(super) fn send_probes(&mut self, host: &mut impl Host) {
        let now = host.now();
        let probe_wait_s = 3.0
            * self
                .probe_times
                .quantile(0.5)
                .unwrap_or(SILENCE_S / 3.0)
                .max(1e-3);
        self.next_probe_at_s = f64::INFINITY;
        let mut has_valid_report = false;
        for position in 0..self.held.len() {
            let handle = self.held[position];
            let work_item = &self.work_items[handle as usize];
            let (mut probed, mut next_at_s) = (work_item.probed, work_item.next_probe_at_s);
            let candidates = &work_item.candidates.clone();
            let candidates =
                &candidates.samples()[..candidates.samples().len().min(PROBE_CANDIDATES)];
            let probe_wait_ends_at_s = |runner: &usize| {
                self.runners[*runner]
                    .probe_sent_at_s
                    .map(|sent_at_s| sent_at_s + probe_wait_s)
                    .filter(|ends_at_s| now < *ends_at_s)
            };
            let in_flight_until_s = candidates[..probed.min(candidates.len())]
                .iter()
                .filter_map(probe_wait_ends_at_s)
                .fold(f64::NEG_INFINITY, f64::max);
            next_at_s = next_at_s.max(in_flight_until_s);
            // How many candidates have room by a valid report, or were probed because theirs is not valid.
            let mut promising = 0;
            // In a later round only one candidate is probed, since all were found full before.
            let probe_limit = if work_item.probe_rounds > 0 {
                (probed + 1).min(candidates.len())
            } else {
                candidates.len()
            };
            while now >= next_at_s && promising == 0 && probed < probe_limit {
                let runner = candidates[probed];
                probed += 1;
                let is_report_valid =
                    now < self.runners[runner].reported_at_s + self.report_lifetime_s;
                let has_room =
                    self.runners[runner].free_slots >= self.work_items[handle as usize].job.slots;
                if !self.is_eligible(handle, runner, now) || is_report_valid && !has_room {
                    continue;
                }
                promising += 1;
                has_valid_report |= is_report_valid;
                if !is_report_valid && self.runners[runner].probe_sent_at_s.is_none() {
                    self.runners[runner].probe_sent_at_s = Some(now);
                    host.probe(runner);
                }
            }
            // If a network partition makes all candidates ineligible, the next runners in the key's order
            // take their place.
            if promising == 0
                && now >= next_at_s
                && !candidates
                    .iter()
                    .any(|&runner| self.is_eligible(handle, runner, now))
            {
                self.select_candidates(handle, now);
            }
            let work_item = &mut self.work_items[handle as usize];
            if promising > 0 {
                next_at_s = now + probe_wait_s;
            } else if now >= next_at_s {
                work_item.next_probe_at_s = now
                    + (self.report_lifetime_s / REPORT_LIFETIME).max(probe_wait_s)
                        * 2f64.powi(work_item.probe_rounds.min(8));
                (next_at_s, work_item.probe_rounds) =
                    (work_item.next_probe_at_s, work_item.probe_rounds + 1);
                probed = if work_item.probe_rounds == 1 || probed >= candidates.len() {
                    0
                } else {
                    probed
                };
            }
            work_item.probed = probed;
            self.next_probe_at_s = self.next_probe_at_s.min(next_at_s);
        }
        if has_valid_report {
            self.assign_held(host);
        }
    }

    /// Sends work items whose candidates were all probed and found full to the least loaded of them, within
    /// the slot cap: a short queue at a holder of the key costs less than a free slot that is found only by
    /// the next probe.
    pub(super) fn send_to_full_runners(&mut self, host: &mut impl Host) {
        let now = host.now();
        let mut position = 0;
        while position < self.held.len() {
            let work_item = &self.work_items[self.held[position] as usize];
            let may_queue_at = |index: &&usize| {
                let runner = &self.runners[**index];
                self.is_eligible(self.held[position], **index, now)
                    && work_item.job.slots <= runner.slot_cap.floor() - runner.own_slots
                    && now >= runner.full_at_s + self.report_lifetime_s
                    && self.cold_work(&work_item.job) <= runner.cold_budget
            };
            let may_queue = work_item.probe_rounds > 0 && work_item.reserve_slots <= 0.0;
            let tenths_of_load = |index: &usize| (10.0 * self.runners[*index].load) as i64;
            let candidates = work_item.candidates.samples().iter().take(PROBE_CANDIDATES);
            match candidates
                .filter(|index| may_queue && may_queue_at(index))
                .copied()
                .min_by_key(tenths_of_load)
            {
                Some(runner) => self.send(host, position, runner),
                None => position += 1,
            }
        }
    }
}
