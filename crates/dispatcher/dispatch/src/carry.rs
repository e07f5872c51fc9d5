//! What the list says, what operators say by hand, and what goes on to the next process.

use crate::desk::{Desk, Outside, Taken, Ticket};
use crate::exchange::Exchange;
use crate::learnt::{Inherited, Known, Learnt, Passed, Usual};
use crate::message::number;
use crate::roster::{Gate, Life, Member, Told};
use sagetrail_policy::{ListUpdate, ListedRunner, Outcome, RunnerHandover, WorkItem};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

impl<O: Outside> Exchange<O> {
    // ---- the list ----

    pub fn discovery_failed(&mut self) {
        self.dispatcher.discovery_failed(self.desk.now);
    }

    pub fn listed(&mut self, told: Told) {
        let news = if told.whole {
            ListUpdate::Full
        } else {
            ListUpdate::Changes
        };
        self.apply(told, news);
    }

    /// The list as it was before the start.
    pub fn known(&mut self, told: Told) -> usize {
        self.apply(told, ListUpdate::Cached)
    }

    fn apply(&mut self, told: Told, news: ListUpdate) -> usize {
        // Half of the grace: the rest is for what lies between the list's writing and our reading.
        let shut_at = self.desk.now + 0.5 * self.desk.drain_s;
        if news != ListUpdate::Changes {
            self.desk
                .load
                .gates
                .iter()
                .for_each(|runner| runner.shut_at.set(runner.shut_at.get().min(shut_at)));
        }
        let mut entries = Vec::with_capacity(told.members.len());
        for member in told.members {
            if let Some(entry) = self.desk.entry(member, shut_at) {
                entries.push(entry);
            }
        }
        if news == ListUpdate::Full {
            self.desk
                .load
                .gates
                .iter()
                .for_each(|runner| runner.listed.set(false));
        }
        for (place, listed) in &entries {
            self.desk.load.gates[*place].listed.set(listed.is_some());
        }
        // Guards against a first beat of the list taken for the list itself: nothing has been named yet.
        self.desk
            .outside
            .has_list(news == ListUpdate::Full || !self.desk.load.gates.is_empty());
        self.dispatcher.update_list(self.desk.now, news, &entries);
        self.hold_out(&entries);
        self.bury(&entries);
        self.carry(&entries)
    }

    /// Operators take a runner out, whatever the list says, or put it back; false for one never listed.
    pub fn by_hand(&mut self, id: &str, out: bool) -> bool {
        let Some(&place) = self.desk.places.get(id) else {
            return false;
        };
        let runner = &self.desk.load.gates[place];
        if runner.out.replace(out) != out {
            self.desk.outside.drop_idle(place);
            let what = if out { "taken out" } else { "put back" };
            tracing::info!("{} ({}) {what} by hand", runner.name, runner.address.get());
        }
        self.dispatcher.set_disabled(self.desk.now, place, out);
        true
    }

    /// All that operators hold out, agreed among the dispatchers: also those that no list has named yet.
    pub fn held_out(&mut self, out: BTreeSet<String>) {
        let before = std::mem::replace(&mut self.desk.held_out, out.clone());
        before
            .difference(&out)
            .for_each(|id| _ = self.by_hand(id, false));
        out.difference(&before)
            .for_each(|id| _ = self.by_hand(id, true));
    }

    /// Guards against a first attempt to a runner that is named after the word on it.
    fn hold_out(&mut self, entries: &[(usize, Option<ListedRunner>)]) {
        if self.desk.held_out.is_empty() {
            return;
        }
        for (place, _) in entries {
            let gate = &self.desk.load.gates[*place];
            if !gate.out.get() && self.desk.held_out.contains(&gate.name) {
                let name = gate.name.clone();
                self.by_hand(&name, true);
            }
        }
    }

    /// What the exchange asks of the world.
    pub fn outside(&mut self) -> &mut O {
        &mut self.desk.outside
    }

    pub fn now(&self) -> f64 {
        self.desk.now
    }

    /// Every runner that was ever named, with its start by the list, in Unix seconds.
    pub fn named(&self) -> Vec<(String, f64)> {
        self.desk
            .load
            .gates
            .iter()
            .map(|gate| (gate.name.clone(), gate.started.get()))
            .collect()
    }

    /// How many runners the list names, and how many of them the decisions avoid now.
    pub fn listed_and_avoided(&self) -> (usize, usize) {
        let listed =
            || (0..self.desk.load.gates.len()).filter(|&r| self.desk.load.gates[r].listed.get());
        let now = self.desk.now;
        (
            listed().count(),
            listed()
                .filter(|&r| self.dispatcher.is_avoided(r, now))
                .count(),
        )
    }

    // ---- what outlives a planned restart ----

    pub fn learnt(&self, terms: &[u64]) -> Learnt {
        let usual = |(n, &terms)| {
            self.dispatcher
                .usual_run_s(n)
                .map(|seconds| Usual { terms, seconds })
        };
        let known = |(r, runner): (usize, &Rc<Gate>)| {
            let (born, slots, pace) = self.dispatcher.learned_runner(r)?;
            let started = if born.is_finite() {
                born + self.desk.unix
            } else {
                0.0
            };
            let (name, address) = (runner.name.clone(), runner.address.get().to_string());
            Some(Known {
                name,
                address,
                started,
                slots,
                pace,
            })
        };
        Learnt {
            usuals: terms.iter().enumerate().filter_map(usual).collect(),
            runners: self
                .desk
                .load
                .gates
                .iter()
                .enumerate()
                .filter_map(known)
                .collect(),
            ..Learnt::default()
        }
    }

    /// How many categories it was of use for; runners follow as the list names them.
    pub fn take_up(&mut self, learnt: Learnt, terms: &[u64]) -> usize {
        self.desk.carried = learnt
            .runners
            .into_iter()
            .map(|known| (known.name.clone(), known))
            .collect();
        let usual = |u: &Usual| Some((terms.iter().position(|t| *t == u.terms)?, u.seconds));
        let usuals = learnt.usuals.iter().filter_map(usual);
        usuals
            .map(|(n, seconds)| self.dispatcher.restore_usual_run(n, seconds))
            .count()
    }

    // ---- upgrades ----

    /// What a new process must know that serves at the same address from now on. Cold runners are left to it:
    /// the two together have one part of them.
    pub fn hand_over(&mut self, terms: &[u64]) -> (Learnt, Vec<Inherited>) {
        self.dispatcher.yield_cold_runners(self.desk.now, true);
        let unix = |at: f64| at + self.desk.unix;
        let inherits = |(place, member): (usize, &Member)| {
            let RunnerHandover {
                disabled_at_s: out,
                enabled_at_s: back,
                cold_sends: spent,
                evidence,
                ejected_until_s: resting,
                ejection_s: rest_s,
            } = self.dispatcher.runner_handover(place);
            let (out, back, resting) = (out.map(unix), back.map(unix), resting.map(unix));
            let spent = spent
                .into_iter()
                .map(|(at, size)| (unix(at), size))
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
            self.desk.members.iter().enumerate().map(inherits).collect(),
        )
    }

    /// The new process has ended before its time.
    pub fn hand_over_failed(&mut self) {
        self.dispatcher.yield_cold_runners(self.desk.now, false);
    }

    /// Takes up what the process before had.
    pub fn inherit(&mut self, state: Passed, deployment: u64, terms: &[u64]) {
        if state.deployment == deployment {
            self.take_up(state.learnt, terms);
        }
        // Also those that are gone: whoever was listed once is known at the operators' door.
        for Inherited { member, .. } in &state.runners {
            member
                .address
                .map(|address| self.desk.enlist(member, address));
        }
        let members: Vec<Member> = state
            .runners
            .iter()
            .map(|inherited| inherited.member.clone())
            .collect();
        self.known(Told {
            whole: true,
            members,
            ..Told::default()
        });
        let here = |at: f64| at - self.desk.unix;
        let mut kept = Vec::new();
        for Inherited {
            member,
            out,
            back,
            spent,
            evidence,
            resting,
            rest_s,
        } in state.runners
        {
            let Some(&place) = self.desk.places.get(&member.id) else {
                continue;
            };
            self.desk.load.gates[place].out.set(out.is_some());
            let (out, back, resting) = (out.map(here), back.map(here), resting.map(here));
            let spent = spent
                .into_iter()
                .map(|(at, size)| (here(at), size))
                .collect();
            kept.push((
                place,
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
        self.dispatcher.inherit(self.desk.now, kept);
    }

    /// Only for the same process at the same address; a runner that started since is cold and unknown.
    fn carry(&mut self, entries: &[(usize, Option<ListedRunner>)]) -> usize {
        let mut carried = 0;
        for &(place, listed) in entries {
            let runner = &self.desk.load.gates[place];
            let Some(known) = self.desk.carried.remove(&*runner.name) else {
                continue;
            };
            let born = if known.started > 0.0 {
                known.started - self.desk.unix
            } else {
                f64::NEG_INFINITY
            };
            // 10 ms: clocks are read twice, processes take longer to start.
            let same = |listed: ListedRunner| {
                listed.started_at_s == born || (listed.started_at_s - born).abs() < 0.01
            };
            if listed.is_some_and(same) && runner.address.get().to_string() == known.address {
                self.dispatcher
                    .restore_runner(place, known.slots, known.pace);
                carried += 1;
            }
        }
        carried
    }

    /// Guards against waiting for word of jobs whose machine vanished without one: a process that has started
    /// again has none of the earlier one's.
    fn bury(&mut self, entries: &[(usize, Option<ListedRunner>)]) {
        let born: BTreeMap<usize, f64> = entries
            .iter()
            .filter_map(|(place, listed)| Some((*place, (*listed)?.started_at_s)))
            .collect();
        for place in 0..self.desk.taken.len() {
            let Some(Taken {
                serial,
                out: Some(out),
                ..
            }) = &self.desk.taken[place]
            else {
                continue;
            };
            if out.accepted && born.get(&out.runner).is_some_and(|born| *born > out.sent) {
                let ticket = Ticket {
                    work_item: WorkItem(place as u32),
                    serial: *serial,
                    no: out.no,
                };
                self.ended(ticket, Outcome::Reset);
            }
        }
    }
}

impl<O: Outside> Desk<O> {
    /// A place for a runner that is named for the first time.
    fn enlist(&mut self, member: &Member, address: SocketAddr) -> usize {
        self.places.insert(member.id.clone(), self.load.gates.len());
        self.members.push(member.clone());
        let gate = Rc::new(Gate::new(member.id.clone(), address, member.started));
        self.outside.enlist(gate.clone());
        self.load.gates.push(gate);
        self.load.gates.len() - 1
    }

    fn entry(&mut self, member: Member, shut_at: f64) -> Option<(usize, Option<ListedRunner>)> {
        let place = match self.places.get(&member.id) {
            Some(&place) => place,
            None => {
                // One that is gone before it was ever named is nobody.
                let address = member.address.filter(|_| member.life != Life::Gone)?;
                self.enlist(&member, address)
            }
        };
        let address = member.address.or(self.members[place].address);
        self.members[place] = Member {
            address,
            ..member.clone()
        };
        let runner = self.load.gates[place].clone();
        let moved = member
            .address
            .is_some_and(|address| runner.address.replace(address) != address);
        if moved || runner.started.replace(member.started) != member.started {
            self.outside.drop_idle(place);
        }
        runner.zone.set(member.zone);
        let ready = member.life == Life::Ready;
        runner.shut_at.set(if ready {
            f64::INFINITY
        } else {
            runner.shut_at.get().min(shut_at)
        });
        let listed = ListedRunner {
            id: number(&member.id),
            kind: member.kind,
            started_at_s: if member.started > 0.0 {
                member.started - self.unix
            } else {
                f64::NEG_INFINITY
            },
            cell: member.cell,
            zone: member.zone,
            ready,
        };
        Some((place, (member.life != Life::Gone).then_some(listed)))
    }
}
