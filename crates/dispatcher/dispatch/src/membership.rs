//! Runners of an exchange: updates of the endpoint list, operators' calls, and the state that the next process takes
//! over.

use crate::endpoint_list::{Gate, Life, Member, Told};
use crate::exchange::Exchange;
use crate::message::number;
use crate::saved_state::{Inherited, Known, Learnt, Passed, Usual};
use crate::state::{ExchangeState, OpenItem, Outside, Ticket};
use sagetrail_policy::{ListUpdate, ListedRunner, Outcome, RunnerHandover, WorkItem};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

impl<O: Outside> Exchange<O> {
    // ---- endpoint list ----

    /// Discovery has failed. The last list stays in force.
    pub fn discovery_failed(&mut self) {
        self.dispatcher.discovery_failed(self.state.now_s);
    }

    /// Applies an update of the endpoint list.
    pub fn listed(&mut self, update: Told) {
        let kind = if update.whole {
            ListUpdate::Full
        } else {
            ListUpdate::Changes
        };
        self.apply(update, kind);
    }

    /// Applies an endpoint list from before the start of the exchange. Returns the number of runners for which learned
    /// values were restored.
    pub fn known(&mut self, update: Told) -> usize {
        self.apply(update, ListUpdate::Cached)
    }

    fn apply(&mut self, update: Told, kind: ListUpdate) -> usize {
        // Attempts may begin during half of the grace only. The other half is for the time between the writing of the
        // list and its reading here.
        let closed_from_s = self.state.now_s + 0.5 * self.state.drain_grace_s;
        if kind != ListUpdate::Changes {
            self.state.load.gates.iter().for_each(|endpoint| {
                endpoint
                    .shut_at
                    .set(endpoint.shut_at.get().min(closed_from_s))
            });
        }
        let mut entries = Vec::with_capacity(update.members.len());
        for member in update.members {
            if let Some(entry) = self.state.apply_entry(member, closed_from_s) {
                entries.push(entry);
            }
        }
        if kind == ListUpdate::Full {
            self.state
                .load
                .gates
                .iter()
                .for_each(|endpoint| endpoint.listed.set(false));
        }
        for (index, listed) in &entries {
            self.state.load.gates[*index].listed.set(listed.is_some());
        }
        // An update that names no runner must not pass for the list: it may be only the first heartbeat.
        self.state
            .host
            .has_list(kind == ListUpdate::Full || !self.state.load.gates.is_empty());
        self.dispatcher
            .update_list(self.state.now_s, kind, &entries);
        self.apply_agreed_out_of_service(&entries);
        self.end_attempts_at_restarted_runners(&entries);
        self.restore_saved_runners(&entries)
    }

    /// Takes the runner with this name out of service, whatever the endpoint list says, or puts it back. Returns false
    /// if no list ever named it.
    pub fn by_hand(&mut self, id: &str, out: bool) -> bool {
        let Some(&index) = self.state.runner_indices.get(id) else {
            return false;
        };
        let endpoint = &self.state.load.gates[index];
        if endpoint.out.replace(out) != out {
            self.state.host.drop_idle(index);
            let action = if out {
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
        self.dispatcher.set_disabled(self.state.now_s, index, out);
        true
    }

    /// Replaces the names of the runners that all dispatchers have agreed to take out of service. They may include
    /// runners that no list has named yet.
    pub fn held_out(&mut self, out: BTreeSet<String>) {
        let before = std::mem::replace(&mut self.state.agreed_out_of_service, out.clone());
        before
            .difference(&out)
            .for_each(|id| _ = self.by_hand(id, false));
        out.difference(&before)
            .for_each(|id| _ = self.by_hand(id, true));
    }

    /// Takes newly listed runners out of service if that was agreed before the list named them, so that not even a
    /// first attempt goes to them.
    fn apply_agreed_out_of_service(&mut self, entries: &[(usize, Option<ListedRunner>)]) {
        if self.state.agreed_out_of_service.is_empty() {
            return;
        }
        for (index, _) in entries {
            let endpoint = &self.state.load.gates[*index];
            if !endpoint.out.get() && self.state.agreed_out_of_service.contains(&endpoint.name) {
                let name = endpoint.name.clone();
                self.by_hand(&name, true);
            }
        }
    }

    /// The host of the exchange.
    pub fn outside(&mut self) -> &mut O {
        &mut self.state.host
    }

    /// The time in seconds that was set last.
    pub fn now(&self) -> f64 {
        self.state.now_s
    }

    /// The name of every runner that a list ever named, and when its process started according to the list, in Unix
    /// seconds; 0 if it started long ago.
    pub fn named(&self) -> Vec<(String, f64)> {
        self.state
            .load
            .gates
            .iter()
            .map(|endpoint| (endpoint.name.clone(), endpoint.started.get()))
            .collect()
    }

    /// The number of runners in the endpoint list, and how many of them the policy avoids now.
    pub fn listed_and_avoided(&self) -> (usize, usize) {
        let listed =
            || (0..self.state.load.gates.len()).filter(|&r| self.state.load.gates[r].listed.get());
        let now = self.state.now_s;
        (
            listed().count(),
            listed()
                .filter(|&r| self.dispatcher.is_avoided(r, now))
                .count(),
        )
    }

    // ---- learned values, which outlive a planned restart ----

    /// The values that a planned restart keeps. `terms` has the hash of each category's terms, see
    /// [`terms`](crate::terms).
    pub fn learnt(&self, terms: &[u64]) -> Learnt {
        let duration = |(n, &terms)| {
            self.dispatcher
                .usual_run_s(n)
                .map(|seconds| Usual { terms, seconds })
        };
        let saved_runner = |(index, endpoint): (usize, &Rc<Gate>)| {
            let (born, slots, pace) = self.dispatcher.learned_runner(index)?;
            let started = if born.is_finite() {
                born + self.state.unix_at_zero_s
            } else {
                0.0
            };
            let (name, address) = (endpoint.name.clone(), endpoint.address.get().to_string());
            Some(Known {
                name,
                address,
                started,
                slots,
                pace,
            })
        };
        Learnt {
            usuals: terms.iter().enumerate().filter_map(duration).collect(),
            runners: self
                .state
                .load
                .gates
                .iter()
                .enumerate()
                .filter_map(saved_runner)
                .collect(),
            ..Learnt::default()
        }
    }

    /// Restores learned values and returns the number of categories that they apply to. The values of a runner are
    /// restored when the endpoint list names it. `terms` is as for [`Exchange::learnt`].
    pub fn take_up(&mut self, saved: Learnt, terms: &[u64]) -> usize {
        self.state.saved_runners = saved
            .runners
            .into_iter()
            .map(|runner| (runner.name.clone(), runner))
            .collect();
        let duration = |saved: &Usual| {
            Some((
                terms.iter().position(|terms| *terms == saved.terms)?,
                saved.seconds,
            ))
        };
        let durations = saved.usuals.iter().filter_map(duration);
        durations
            .map(|(n, seconds)| self.dispatcher.restore_usual_run(n, seconds))
            .count()
    }

    // ---- upgrades ----

    /// State for a new process that serves at the same address from now on: learned values, and the state of every
    /// runner. From then on only the new process sends to cold runners, since the two processes together have a single
    /// share of their slow-start budget.
    pub fn hand_over(&mut self, terms: &[u64]) -> (Learnt, Vec<Inherited>) {
        self.dispatcher.yield_cold_runners(self.state.now_s, true);
        let to_unix = |at_s: f64| at_s + self.state.unix_at_zero_s;
        let handover = |(index, member): (usize, &Member)| {
            let RunnerHandover {
                disabled_at_s: out,
                enabled_at_s: back,
                cold_sends: spent,
                evidence,
                ejected_until_s: resting,
                ejection_s: rest_s,
            } = self.dispatcher.runner_handover(index);
            let (out, back, resting) = (out.map(to_unix), back.map(to_unix), resting.map(to_unix));
            let spent = spent
                .into_iter()
                .map(|(at_s, size)| (to_unix(at_s), size))
                .collect();
            Inherited {
                member: member.clone(),
                out,
                back,
                spent,
                evidence,
                resting,
                rest_s,
            }
        };
        (
            self.learnt(terms),
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
    pub fn inherit(&mut self, handover: Passed, deployment: u64, terms: &[u64]) {
        if handover.deployment == deployment {
            self.take_up(handover.learnt, terms);
        }
        // Runners that are gone are added too: operators may name every runner that was ever listed.
        for Inherited { member, .. } in &handover.runners {
            member
                .address
                .map(|address| self.state.add_runner(member, address));
        }
        let members: Vec<Member> = handover
            .runners
            .iter()
            .map(|runner| runner.member.clone())
            .collect();
        self.known(Told {
            whole: true,
            members,
            ..Told::default()
        });
        let from_unix = |at_s: f64| at_s - self.state.unix_at_zero_s;
        let mut kept = Vec::new();
        for Inherited {
            member,
            out,
            back,
            spent,
            evidence,
            resting,
            rest_s,
        } in handover.runners
        {
            let Some(&index) = self.state.runner_indices.get(&member.id) else {
                continue;
            };
            self.state.load.gates[index].out.set(out.is_some());
            let (out, back, resting) = (
                out.map(from_unix),
                back.map(from_unix),
                resting.map(from_unix),
            );
            let spent = spent
                .into_iter()
                .map(|(at_s, size)| (from_unix(at_s), size))
                .collect();
            kept.push((
                index,
                RunnerHandover {
                    disabled_at_s: out,
                    enabled_at_s: back,
                    cold_sends: spent,
                    evidence,
                    ejected_until_s: resting,
                    ejection_s: rest_s,
                },
            ));
        }
        self.dispatcher.inherit(self.state.now_s, kept);
    }

    /// Restores learned values for listed runners and returns the number of runners. The values apply only to the same
    /// process at the same address: a runner that has restarted since is cold, and nothing is known about it.
    fn restore_saved_runners(&mut self, entries: &[(usize, Option<ListedRunner>)]) -> usize {
        let mut restored = 0;
        for &(index, listed) in entries {
            let endpoint = &self.state.load.gates[index];
            let Some(saved) = self.state.saved_runners.remove(&*endpoint.name) else {
                continue;
            };
            let started_s = if saved.started > 0.0 {
                saved.started - self.state.unix_at_zero_s
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
                let id = Ticket {
                    work_item: WorkItem(index as u32),
                    serial: *serial,
                    attempt_number: attempt.number,
                };
                self.end_attempt(id, Outcome::Reset);
            }
        }
    }
}

impl<O: Outside> ExchangeState<O> {
    /// Adds a runner that is named for the first time, and returns its index.
    fn add_runner(&mut self, member: &Member, address: SocketAddr) -> usize {
        self.runner_indices
            .insert(member.id.clone(), self.load.gates.len());
        self.list_entries.push(member.clone());
        let endpoint = Rc::new(Gate::new(member.id.clone(), address, member.started));
        self.host.enlist(endpoint.clone());
        self.load.gates.push(endpoint);
        self.load.gates.len() - 1
    }

    /// Applies one entry of the endpoint list. Returns the runner's index and what the policy is told about the runner:
    /// `None` if it is gone. Returns `None` if the runner is gone before any list named it.
    fn apply_entry(
        &mut self,
        member: Member,
        closed_from_s: f64,
    ) -> Option<(usize, Option<ListedRunner>)> {
        let index = match self.runner_indices.get(&member.id) {
            Some(&index) => index,
            None => {
                let address = member.address.filter(|_| member.life != Life::Gone)?;
                self.add_runner(&member, address)
            }
        };
        let address = member.address.or(self.list_entries[index].address);
        self.list_entries[index] = Member {
            address,
            ..member.clone()
        };
        let endpoint = self.load.gates[index].clone();
        let has_moved = member
            .address
            .is_some_and(|address| endpoint.address.replace(address) != address);
        if has_moved || endpoint.started.replace(member.started) != member.started {
            self.host.drop_idle(index);
        }
        endpoint.zone.set(member.zone);
        let is_ready = member.life == Life::Ready;
        endpoint.shut_at.set(if is_ready {
            f64::INFINITY
        } else {
            endpoint.shut_at.get().min(closed_from_s)
        });
        let listed = ListedRunner {
            id: number(&member.id),
            kind: member.kind,
            started_at_s: if member.started > 0.0 {
                member.started - self.unix_at_zero_s
            } else {
                f64::NEG_INFINITY
            },
            cell: member.cell,
            zone: member.zone,
            ready: is_ready,
        };
        Some((index, (member.life != Life::Gone).then_some(listed)))
    }
}
