//! Runners of an exchange: updates of the endpoint list, operators' calls, and the state that the next process takes
//! over.

use crate::endpoint_list::{DiscoveryUpdate, Endpoint, Lifecycle, ListEntry};
use crate::exchange::Exchange;
use crate::message::name_hash;
use crate::saved_state::{
    CategoryDuration, HandoverState, LearnedState, RunnerEstimate, RunnerSnapshot,
};
use crate::state::{AttemptId, ExchangeHost, ExchangeState, OpenItem};
use sagetrail_policy::{ListUpdate, ListedRunner, Outcome, RunnerHandover, WorkItem};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

impl<O: ExchangeHost> Exchange<O> {
    // ---- endpoint list ----

    /// Discovery has failed. The last list stays in force.
    pub fn discovery_failed(&mut self) {
        self.dispatcher.discovery_failed(self.state.now_s);
    }

    /// Applies an update of the endpoint list.
    pub fn apply_update(&mut self, update: DiscoveryUpdate) {
        let kind = if update.is_full {
            ListUpdate::Full
        } else {
            ListUpdate::Changes
        };
        self.apply_list(update, kind);
    }

    /// Applies an endpoint list from before the start of the exchange. Returns the number of runners for which learned
    /// values were restored.
    pub fn apply_cached_list(&mut self, update: DiscoveryUpdate) -> usize {
        self.apply_list(update, ListUpdate::Cached)
    }

    /// Applies a list of this kind and returns the number of runners for which learned values were restored.
    fn apply_list(&mut self, update: DiscoveryUpdate, kind: ListUpdate) -> usize {
        // Attempts may begin during half of the grace only. The other half is for the time between the writing of the
        // list and its reading here.
        let closed_from_s = self.state.now_s + 0.5 * self.state.drain_grace_s;
        if kind != ListUpdate::Changes {
            self.state.load.endpoints.iter().for_each(|endpoint| {
                endpoint
                    .closed_from_s
                    .set(endpoint.closed_from_s.get().min(closed_from_s))
            });
        }
        let mut entries = Vec::with_capacity(update.entries.len());
        for entry in update.entries {
            if let Some(applied) = self.state.apply_entry(entry, closed_from_s) {
                entries.push(applied);
            }
        }
        if kind == ListUpdate::Full {
            self.state
                .load
                .endpoints
                .iter()
                .for_each(|endpoint| endpoint.is_listed.set(false));
        }
        for (index, listed) in &entries {
            self.state.load.endpoints[*index]
                .is_listed
                .set(listed.is_some());
        }
        // An update that names no runner must not pass for the list: it may be only the first heartbeat.
        self.state
            .host
            .set_has_endpoints(kind == ListUpdate::Full || !self.state.load.endpoints.is_empty());
        self.dispatcher
            .update_list(self.state.now_s, kind, &entries);
        self.apply_agreed_out_of_service(&entries);
        self.end_attempts_at_restarted_runners(&entries);
        self.restore_saved_runners(&entries)
    }

    /// Takes the runner with this name out of service, whatever the endpoint list says, or puts it back. Returns false
    /// if no list ever named it.
    pub fn set_out_of_service(&mut self, id: &str, is_out: bool) -> bool {
        let Some(&index) = self.state.runner_indices.get(id) else {
            return false;
        };
        let endpoint = &self.state.load.endpoints[index];
        if endpoint.out_of_service.replace(is_out) != is_out {
            self.state.host.close_idle_connections(index);
            let action = if is_out {
                "taken out of service"
            } else {
                "put back into service"
            };
            tracing::info!(
                "runner {action} by an operator runner={} address={}",
                endpoint.name,
                endpoint.address.get()
            );
        }
        self.dispatcher
            .set_disabled(self.state.now_s, index, is_out);
        true
    }

    /// Replaces the names of the runners that all dispatchers have agreed to take out of service. They may include
    /// runners that no list has named yet.
    pub fn set_agreed_out_of_service(&mut self, names: BTreeSet<String>) {
        let before = std::mem::replace(&mut self.state.agreed_out_of_service, names.clone());
        before
            .difference(&names)
            .for_each(|id| _ = self.set_out_of_service(id, false));
        names
            .difference(&before)
            .for_each(|id| _ = self.set_out_of_service(id, true));
    }

    /// Takes newly listed runners out of service if that was agreed before the list named them, so that not even a
    /// first attempt goes to them.
    fn apply_agreed_out_of_service(&mut self, entries: &[(usize, Option<ListedRunner>)]) {
        if self.state.agreed_out_of_service.is_empty() {
            return;
        }
        for (index, _) in entries {
            let endpoint = &self.state.load.endpoints[*index];
            if !endpoint.out_of_service.get()
                && self.state.agreed_out_of_service.contains(&endpoint.name)
            {
                let name = endpoint.name.clone();
                self.set_out_of_service(&name, true);
            }
        }
    }

    /// The host of the exchange.
    pub fn host(&mut self) -> &mut O {
        &mut self.state.host
    }

    /// The time in seconds that was set last.
    pub fn now(&self) -> f64 {
        self.state.now_s
    }

    /// The name of every runner that a list ever named, and when its process started according to the list, in Unix
    /// seconds; 0 if it started long ago.
    pub fn runner_starts(&self) -> Vec<(String, f64)> {
        self.state
            .load
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.name.clone(), endpoint.started_unix_s.get()))
            .collect()
    }

    /// The number of runners in the endpoint list, and how many of them the policy avoids now.
    pub fn listed_and_avoided(&self) -> (usize, usize) {
        let listed = || {
            (0..self.state.load.endpoints.len())
                .filter(|&r| self.state.load.endpoints[r].is_listed.get())
        };
        let now_s = self.state.now_s;
        (
            listed().count(),
            listed()
                .filter(|&r| self.dispatcher.is_avoided(r, now_s))
                .count(),
        )
    }

    // ---- learned values, which outlive a planned restart ----

    /// The values that a planned restart keeps. `terms` has the hash of each category's terms, see
    /// [`category_terms_hash`](crate::category_terms_hash).
    pub fn learned_state(&self, terms: &[u64]) -> LearnedState {
        let duration = |(n, &terms_hash)| {
            self.dispatcher
                .usual_run_s(n)
                .map(|seconds| CategoryDuration {
                    terms_hash,
                    seconds,
                })
        };
        let saved_runner = |(index, endpoint): (usize, &Rc<Endpoint>)| {
            let (started_at_s, slots, pace) = self.dispatcher.learned_runner(index)?;
            let started_unix_s = if started_at_s.is_finite() {
                started_at_s + self.state.unix_at_zero_s
            } else {
                0.0
            };
            let (name, address) = (endpoint.name.clone(), endpoint.address.get().to_string());
            Some(RunnerEstimate {
                name,
                address,
                started_unix_s,
                slots,
                pace,
            })
        };
        LearnedState {
            category_durations: terms.iter().enumerate().filter_map(duration).collect(),
            runners: self
                .state
                .load
                .endpoints
                .iter()
                .enumerate()
                .filter_map(saved_runner)
                .collect(),
            ..LearnedState::default()
        }
    }

    /// Restores learned values and returns the number of categories that they apply to. The values of a runner are
    /// restored when the endpoint list names it. `terms` is as for [`Exchange::learned_state`].
    pub fn restore_learned_state(&mut self, saved: LearnedState, terms: &[u64]) -> usize {
        self.state.saved_runners = saved
            .runners
            .into_iter()
            .map(|runner| (runner.name.clone(), runner))
            .collect();
        let duration = |saved: &CategoryDuration| {
            Some((
                terms.iter().position(|hash| *hash == saved.terms_hash)?,
                saved.seconds,
            ))
        };
        let durations = saved.category_durations.iter().filter_map(duration);
        durations
            .map(|(n, seconds)| self.dispatcher.restore_usual_run(n, seconds))
            .count()
    }

    // ---- upgrades ----

    /// State for a new process that serves at the same address from now on: learned values, and the state of every
    /// runner. From then on only the new process sends to cold runners, since the two processes together have a single
    /// share of their slow-start budget.
    pub fn hand_over(&mut self, terms: &[u64]) -> (LearnedState, Vec<RunnerSnapshot>) {
        self.dispatcher.yield_cold_runners(self.state.now_s, true);
        let to_unix = |at_s: f64| at_s + self.state.unix_at_zero_s;
        let handover = |(index, entry): (usize, &ListEntry)| {
            let RunnerHandover {
                disabled_at_s,
                enabled_at_s,
                cold_sends,
                evidence,
                ejected_until_s,
                ejection_s,
            } = self.dispatcher.runner_handover(index);
            let (out_of_service_since_s, back_in_service_at_s, excluded_until_s) = (
                disabled_at_s.map(to_unix),
                enabled_at_s.map(to_unix),
                ejected_until_s.map(to_unix),
            );
            let cold_sends = cold_sends
                .into_iter()
                .map(|(at_s, size)| (to_unix(at_s), size))
                .collect();
            RunnerSnapshot {
                entry: entry.clone(),
                out_of_service_since_s,
                back_in_service_at_s,
                cold_sends,
                evidence,
                excluded_until_s,
                exclusion_s: ejection_s,
            }
        };
        (
            self.learned_state(terms),
            self.state
                .list_entries
                .iter()
                .enumerate()
                .map(handover)
                .collect(),
        )
    }

    /// The new process ended too early. This process sends to cold runners again, once what the new process may have
    /// sent to them no longer counts.
    pub fn hand_over_failed(&mut self) {
        self.dispatcher.yield_cold_runners(self.state.now_s, false);
    }

    /// Takes over the state of the process before this one. `deployment` and `terms` are this process's own hashes;
    /// learned values of another deployment are dropped.
    pub fn inherit(&mut self, handover: HandoverState, deployment: u64, terms: &[u64]) {
        if handover.deployment == deployment {
            self.restore_learned_state(handover.learned, terms);
        }
        // Runners that are gone are added too: operators may name every runner that was ever listed.
        for RunnerSnapshot { entry, .. } in &handover.runners {
            entry
                .address
                .map(|address| self.state.add_runner(entry, address));
        }
        let entries: Vec<ListEntry> = handover
            .runners
            .iter()
            .map(|runner| runner.entry.clone())
            .collect();
        self.apply_cached_list(DiscoveryUpdate {
            is_full: true,
            entries,
            ..DiscoveryUpdate::default()
        });
        let from_unix = |at_s: f64| at_s - self.state.unix_at_zero_s;
        let mut runners = Vec::new();
        for RunnerSnapshot {
            entry,
            out_of_service_since_s,
            back_in_service_at_s,
            cold_sends,
            evidence,
            excluded_until_s,
            exclusion_s,
        } in handover.runners
        {
            let Some(&index) = self.state.runner_indices.get(&entry.id) else {
                continue;
            };
            self.state.load.endpoints[index]
                .out_of_service
                .set(out_of_service_since_s.is_some());
            let (disabled_at_s, enabled_at_s, ejected_until_s) = (
                out_of_service_since_s.map(from_unix),
                back_in_service_at_s.map(from_unix),
                excluded_until_s.map(from_unix),
            );
            let cold_sends = cold_sends
                .into_iter()
                .map(|(at_s, size)| (from_unix(at_s), size))
                .collect();
            runners.push((
                index,
                RunnerHandover {
                    disabled_at_s,
                    enabled_at_s,
                    cold_sends,
                    evidence,
                    ejected_until_s,
                    ejection_s: exclusion_s,
                },
            ));
        }
        self.dispatcher.inherit(self.state.now_s, runners);
    }

    /// Restores learned values for listed runners and returns the number of runners. The values apply only to the same
    /// process at the same address: a runner that has restarted since is cold, and nothing is known about it.
    fn restore_saved_runners(&mut self, entries: &[(usize, Option<ListedRunner>)]) -> usize {
        let mut restored = 0;
        for &(index, listed) in entries {
            let endpoint = &self.state.load.endpoints[index];
            let Some(saved) = self.state.saved_runners.remove(&*endpoint.name) else {
                continue;
            };
            let started_s = if saved.started_unix_s > 0.0 {
                saved.started_unix_s - self.state.unix_at_zero_s
            } else {
                f64::NEG_INFINITY
            };
            // The tolerance is 10 ms because the clocks are read twice. A process takes longer than that to start.
            let is_same_process = |listed: ListedRunner| {
                listed.started_at_s == started_s || (listed.started_at_s - started_s).abs() < 0.01
            };
            if listed.is_some_and(is_same_process)
                && endpoint.address.get().to_string() == saved.address
            {
                self.dispatcher
                    .restore_runner(index, saved.slots, saved.pace);
                restored += 1;
            }
        }
        restored
    }

    /// Ends the attempts that were sent to an earlier process of a runner that has restarted. If the machine vanished,
    /// no callback about their jobs will ever come, and the new process has none of them.
    fn end_attempts_at_restarted_runners(&mut self, entries: &[(usize, Option<ListedRunner>)]) {
        let starts_s: BTreeMap<usize, f64> = entries
            .iter()
            .filter_map(|(index, listed)| Some((*index, (*listed)?.started_at_s)))
            .collect();
        for index in 0..self.state.open_items.len() {
            let Some(OpenItem {
                serial,
                attempt: Some(attempt),
                ..
            }) = &self.state.open_items[index]
            else {
                continue;
            };
            if attempt.is_accepted
                && starts_s
                    .get(&attempt.runner)
                    .is_some_and(|started_s| *started_s > attempt.sent_at_s)
            {
                let id = AttemptId {
                    work_item: WorkItem(index as u32),
                    serial: *serial,
                    attempt_number: attempt.number,
                };
                self.end_attempt(id, Outcome::Reset);
            }
        }
    }
}

impl<O: ExchangeHost> ExchangeState<O> {
    /// Adds a runner that is named for the first time, and returns its index.
    fn add_runner(&mut self, entry: &ListEntry, address: SocketAddr) -> usize {
        self.runner_indices
            .insert(entry.id.clone(), self.load.endpoints.len());
        self.list_entries.push(entry.clone());
        let endpoint = Rc::new(Endpoint::new(
            entry.id.clone(),
            address,
            entry.started_unix_s,
        ));
        self.host.add_runner(endpoint.clone());
        self.load.endpoints.push(endpoint);
        self.load.endpoints.len() - 1
    }

    /// Applies one entry of the endpoint list. Returns the runner's index and what the policy is told about the runner:
    /// `None` if it is gone. Returns `None` if the runner is gone before any list named it.
    fn apply_entry(
        &mut self,
        entry: ListEntry,
        closed_from_s: f64,
    ) -> Option<(usize, Option<ListedRunner>)> {
        let index = match self.runner_indices.get(&entry.id) {
            Some(&index) => index,
            None => {
                let address = entry
                    .address
                    .filter(|_| entry.lifecycle != Lifecycle::Gone)?;
                self.add_runner(&entry, address)
            }
        };
        let address = entry.address.or(self.list_entries[index].address);
        self.list_entries[index] = ListEntry {
            address,
            ..entry.clone()
        };
        let endpoint = self.load.endpoints[index].clone();
        let has_moved = entry
            .address
            .is_some_and(|address| endpoint.address.replace(address) != address);
        if has_moved
            || endpoint.started_unix_s.replace(entry.started_unix_s) != entry.started_unix_s
        {
            self.host.close_idle_connections(index);
        }
        endpoint.zone.set(entry.zone);
        let is_ready = entry.lifecycle == Lifecycle::Ready;
        endpoint.closed_from_s.set(if is_ready {
            f64::INFINITY
        } else {
            endpoint.closed_from_s.get().min(closed_from_s)
        });
        let listed = ListedRunner {
            id: name_hash(&entry.id),
            kind: entry.kind,
            started_at_s: if entry.started_unix_s > 0.0 {
                entry.started_unix_s - self.unix_at_zero_s
            } else {
                f64::NEG_INFINITY
            },
            cell: entry.cell,
            zone: entry.zone,
            ready: is_ready,
        };
        Some((
            index,
            (entry.lifecycle != Lifecycle::Gone).then_some(listed),
        ))
    }
}
