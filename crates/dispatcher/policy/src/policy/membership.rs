//! The runner list, and the subset of the runners that this dispatcher sends to.

use super::*;

impl Dispatcher {
    /// Applies an update of the runner list. An entry is a runner's index with its listing, or `None` if the
    /// runner is gone.
    pub fn update_list(
        &mut self,
        now: f64,
        update: ListUpdate,
        entries: &[(usize, Option<ListedRunner>)],
    ) {
        let unlisted_may_serve = self.config.unlisted_may_serve;
        if update != ListUpdate::Changes {
            let listed: BTreeSet<usize> = entries.iter().map(|(index, _)| *index).collect();
            let missing = (0..self.runners.len()).filter(|index| !listed.contains(index));
            missing.for_each(|index| self.runners[index].mark_unlisted(now, unlisted_may_serve));
        }
        for &(index, listing) in entries {
            let count = self.runners.len().max(index + 1);
            self.runners.resize_with(count, Runner::new);
            let runner = &mut self.runners[index];
            match listing {
                None => runner.mark_unlisted(now, unlisted_may_serve),
                Some(listing) => {
                    // A restart drops keys, room and evidence, since the new process has none of them. If
                    // clocks differ, any other start time means another start, which was at the latest when
                    // the list reported it.
                    let error_s = self.config.start_time_error_s;
                    let later_by_s = listing.started_at_s - runner.listing.started_at_s;
                    let has_restarted = later_by_s > 1e-6 || error_s > 0.0 && later_by_s < -1e-6;
                    if has_restarted {
                        runner.reset_for_new_process();
                        runner.started_at_s = if error_s > 0.0 {
                            now.min(listing.started_at_s + error_s)
                        } else {
                            listing.started_at_s
                        };
                    }
                    runner.rank = pair_hash(self.config.dispatcher_index as u64, listing.id);
                    runner.listing = listing;
                    if has_restarted {
                        self.count_dispatchers_ahead(index);
                    }
                }
            }
        }
        if self.config.requests_list && update != ListUpdate::Cached {
            (self.next_list_request_at_s, self.list_retry_spread_s) =
                (f64::INFINITY, self.config.list_request_spread_s());
        }
        self.refresh_subset(now);
    }

    /// Applies that an operator disables a runner or enables it again. The runner may have been restarted in
    /// between without a report from the list so far.
    pub fn set_disabled(&mut self, now: f64, runner: usize, disabled: bool) {
        match (self.runners[runner].disabled_at_s, disabled) {
            (None, true) => self.runners[runner].disabled_at_s = Some(now),
            (Some(disabled_at_s), false) => self.runners[runner].enable(disabled_at_s, now),
            _ => return,
        }
        self.count_dispatchers_ahead(runner);
        self.refresh_subset(now);
    }

    /// Selects the subset again after a change of the runners, and the candidates of all held work items from
    /// it.
    pub(crate) fn refresh_subset(&mut self, now: f64) {
        self.select_subset();
        self.next_check_at_s = now;
        (0..self.held.len()).for_each(|position| self.select_candidates(self.held[position], now));
    }

    /// Selects the runners that this dispatcher sends to, which avoids hundreds of connections: in each group
    /// of runners that are open to the same bound categories, those that come first in the rendezvous order
    /// of the dispatcher. If runners are probed, or if a fetch costs at least as much as crossing zones, all
    /// dispatchers use all runners, so that a key is held at the same places for all of them.
    pub(super) fn select_subset(&mut self) {
        let use_all = self.config.uses_load_probes || self.config.fetch_cost_dominates;
        let group_size = if use_all {
            usize::MAX
        } else {
            self.subset_size as usize
        };
        let runners = &self.runners;
        let binding: Vec<&Placement> = self
            .config
            .categories
            .iter()
            .map(|category| &category.placement)
            .filter(|placement| placement.binds())
            .collect();
        let admitted = |runner: usize| {
            binding
                .iter()
                .map(|placement| placement.admits(&runners[runner].listing))
                .collect::<Vec<bool>>()
        };
        let ready = (0..runners.len()).filter(|&runner| runners[runner].is_ready());
        let mut ready: Vec<_> = ready
            .map(|runner| (admitted(runner), !runners[runner].rank, runner))
            .collect();
        ready.sort_unstable();
        let groups = ready.chunk_by(|a, b| a.0 == b.0);
        self.subset = groups
            .flat_map(|group| group.iter().take(group_size))
            .map(|(.., runner)| *runner)
            .collect();
        self.subset.sort_unstable();
        self.candidate_cache.clear();
    }

    /// Applies that a request for the list failed, or that its subscription broke. The next request follows
    /// soon, at a random instant.
    pub fn discovery_failed(&mut self, now: f64) {
        self.next_list_request_at_s = now + self.list_retry_spread_s * self.pcg.uniform();
        self.list_retry_spread_s = self.config.list_retry_spread_s(self.list_retry_spread_s);
    }
}
