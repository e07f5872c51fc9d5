//! What the list says, and which runners are used.

use super::*;

impl Dispatcher {
    /// What the list says. `None` for a runner means it is gone.
    pub fn update_list(
        &mut self,
        now: f64,
        news: ListUpdate,
        entries: &[(usize, Option<ListedRunner>)],
    ) {
        let stays_open = self.config.unlisted_may_serve;
        if news != ListUpdate::Changes {
            let named: BTreeSet<usize> = entries.iter().map(|(index, _)| *index).collect();
            let missing = (0..self.runners.len()).filter(|r| !named.contains(r));
            missing.for_each(|r| self.runners[r].gone(now, stays_open));
        }
        for &(index, listed) in entries {
            let known = self.runners.len().max(index + 1);
            self.runners.resize_with(known, Runner::new);
            let runner = &mut self.runners[index];
            match listed {
                None => runner.gone(now, stays_open),
                Some(listed) => {
                    // A restart forgets keys, room and verdicts: the new process has none of them.
                    // Guards against clocks that differ: any other stamp is another start, and that was not
                    // after the list told of it.
                    let off = self.config.start_time_error_s;
                    let moved = listed.started_at_s - runner.at.started_at_s;
                    let started = moved > 1e-6 || off > 0.0 && moved < -1e-6;
                    if started {
                        runner.restart();
                        runner.start = if off > 0.0 {
                            now.min(listed.started_at_s + off)
                        } else {
                            listed.started_at_s
                        };
                    }
                    runner.rank = pair_hash(self.config.dispatcher_index as u64, listed.id);
                    runner.at = listed;
                    if started {
                        self.share(index);
                    }
                }
            }
        }
        if self.config.requests_list && news != ListUpdate::Cached {
            (self.next_ask, self.ask_again_s) =
                (f64::INFINITY, self.config.list_request_spread_s());
        }
        self.choose_anew(now);
    }

    /// Operators take a runner out, or put it back: restarted meanwhile, perhaps, and the list may be late.
    pub fn set_disabled(&mut self, now: f64, r: usize, out: bool) {
        match (self.runners[r].out, out) {
            (None, true) => self.runners[r].out = Some(now),
            (Some(since), false) => self.runners[r].put_back(since, now),
            _ => return,
        }
        self.share(r);
        self.choose_anew(now);
    }

    /// Other runners may be used than before: what is held finds its places among them.
    pub(crate) fn choose_anew(&mut self, now: f64) {
        self.choose();
        self.next_look = now;
        (0..self.held.len()).for_each(|place| self.find_home(self.held[place], now));
    }

    /// Guards against hundreds of connections: who cannot use all runners uses those that rank highest in a
    /// hash of its own number and theirs; as many, by themselves, of those open to the same bound categories.
    /// Where a fetch is priced no lower than crossing, all use all, so that a key lies at the same places.
    pub(super) fn choose(&mut self) {
        let all = self.config.uses_load_probes || self.config.fetch_cost_dominates;
        let most = if all {
            usize::MAX
        } else {
            self.wanted as usize
        };
        let runners = &self.runners;
        let bound: Vec<&Placement> = self
            .config
            .categories
            .iter()
            .map(|c| &c.placement)
            .filter(|p| p.binds())
            .collect();
        let open_to = |r: usize| {
            bound
                .iter()
                .map(|p| p.admits(&runners[r].at))
                .collect::<Vec<bool>>()
        };
        let ready = (0..runners.len()).filter(|&r| runners[r].ready());
        let mut ready: Vec<_> = ready.map(|r| (open_to(r), !runners[r].rank, r)).collect();
        ready.sort_unstable();
        let alike = ready.chunk_by(|a, b| a.0 == b.0);
        self.chosen = alike
            .flat_map(|group| group.iter().take(most))
            .map(|(.., r)| *r)
            .collect();
        self.chosen.sort_unstable();
        self.orders.clear();
    }

    /// A call to the list failed, or its subscription broke: ask again soon, with jitter.
    pub fn discovery_failed(&mut self, now: f64) {
        self.next_ask = now + self.ask_again_s * self.pcg.uniform();
        self.ask_again_s = self.config.list_retry_spread_s(self.ask_again_s);
    }
}
