//! Every decision of sagetrail. How to call it: make a `Dispatcher` from its `Terms` and a seed, tell it the
//! list with `listed`, take work items with `take`, and tell each handle (`WorkItem`) what becomes of it:
//! `started`, `progressed`, `outcome`, `left`. After a batch of news, and whenever a wake asked for comes
//! due, call `decide`: it visits the runners and acts through the `Host`. Before a planned end, `end_by`. The
//! interface (`Host`, `Terms`, `Job`, `Listed`, `Outcome`) is defined in `terms.rs`.
use crate::chance::start_chance;
use crate::pcg::draw;
use crate::ring::{median, Ring};
pub use crate::state::Dispatcher;
use crate::state::{Attempt, Runner, Work};
use crate::terms::*;
use std::collections::BTreeSet;

/// P-min: just under 1 - 1/e, so a runner without the key is passed over while any with room has it.
const P_MIN: f64 = 0.63;
/// What fetching a key costs where no other cost is known; the same at each runner without it.
const FAR_COST: f64 = 1.0;
/// The key table: how many entries a runner, and how long one lasts (DESIGN). Few and recent beat many (8,
/// 14): a wrong entry draws work to a fetch that looked free, a missing one costs a coin at most.
pub const KEYS: usize = 5;
pub const KEY_AGE_S: f64 = 30.0;
/// The slot cap of a runner that reports nothing starts here (DESIGN).
pub const CAP_START: f64 = 2.0;
/// So many runners of a kind are used for each work item of ours that runs: each is then heard of every few
/// runs, and all dispatchers together use each several times over (2 and 3 lose keys, more lose sight).
const FOR_EACH: f64 = 4.0;
/// So many are used at the least: as many as a work item looks at.
pub const LEAST: f64 = NEAR as f64;
/// A key has so many times the places that its share of the arrivals fills: room for a crowd at some of them.
const SPREAD: f64 = 2.0;
/// That share is taken from so many: the rarest key that fills more than one of sixty runners shows.
pub const ASKED: usize = 64;
/// A wait is remembered so many times as long as it was: the longer the queue, the longer it takes to drain.
const REMEMBERED: f64 = 4.0;
/// A work item's places, where runners must be probed: with three in four slots taken, six all full are rare.
pub const PLACES: usize = 4;
/// A work item looks at so many runners: with three in four full, one in a hundred finds no room.
pub const NEAR: usize = 16;
/// A report is held for true for this part of a usual job: load changes as jobs come and go.
const FRESH: f64 = 0.25;
/// Housekeeping, doubts and give-ups are looked at this often: fine beside due times, cheap in CPU.
const LOOK_S: f64 = 0.1;
/// What each work item of ours there adds to a wait, in usual runs by the slots seen; 0.1 and 0.5 lose.
const LOAD: f64 = 0.25;
/// A start later than this after its attempt has waited for a slot: several times a connection's cost.
const PROMPT_S: f64 = 0.1;
/// So many of the last waits for a start are kept: with fewer, nothing is known of others' work.
pub const WAITS: usize = 32;
/// So many of the last outcomes tell how often work fails anywhere: one in sixty shows.
pub const OUTCOMES: usize = 64;
/// Silence longer than this is a sign: several times what the word of taking or starting a job takes.
const QUIET_S: f64 = 0.35;

/// A work item's handle.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WorkItem(pub u32);

impl WorkItem {
    /// The attempt's job has started.
    pub fn started(self, d: &mut Dispatcher, now: f64, no: u16) {
        let first = |a: &&mut Attempt| a.no == no && a.started.is_none(); // A callback may come twice.
        let Some(attempt) = d.works[self.0 as usize].out.as_mut().filter(first) else { return };
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
            let passing = d.terms.replicas == 1 && runner.running < runner.most;
            runner.cap = runner.running;
            runner.ceiling = (runner.cap, now + if passing { 1.0 } else { 10.0 });
        }
    }

    /// The runner has said that it takes the attempt.
    pub fn accepted(self, d: &mut Dispatcher, now: f64, no: u16) {
        let Some(out) = d.works[self.0 as usize].out.as_mut().filter(|out| out.no == no) else { return };
        out.moved = out.moved.max(now);
        d.runners[out.runner].took = now;
    }

    /// So much of the attempt's job is done.
    pub fn progressed(self, d: &mut Dispatcher, now: f64, no: u16, share: f64) {
        let Some(out) = d.works[self.0 as usize].out.as_mut().filter(|out| out.no == no) else { return };
        (out.moved, out.share) = (now, share);
        d.runners[out.runner].heard = now;
    }

    /// The client has gone; nothing is owed any more.
    pub fn left(self, d: &mut Dispatcher, host: &mut impl Host) {
        d.held.retain(|&w| w != self.0);
        d.works[self.0 as usize].ended = true;
        d.cancel(host, self.0);
        d.release(host, self.0);
    }

    /// A attempt has come back.
    pub fn outcome(self, d: &mut Dispatcher, host: &mut impl Host, no: u16, outcome: Outcome, settled: bool) {
        let now = host.now();
        let work = &mut d.works[self.0 as usize];
        let Some(attempt) = work.out.take_if(|attempt| attempt.no == no) else { return };
        let job = work.job;
        d.runners[attempt.runner].unload(&job, &attempt);
        d.changed = true;
        d.learn(&job, &attempt, now, outcome);
        let work = &mut d.works[self.0 as usize];
        work.ended |= settled;
        if !outcome.never_ran() && outcome != Outcome::Finished {
            work.ran.get_or_insert((attempt.sent, attempt.runner));
        }
        if work.ended {
            return d.release(host, self.0);
        }
        // 20 ms: a time-out trimmed to the expiry arrives within a batch or two of it.
        if now > job.expiry - 0.02 {
            return d.end(host, self.0, false);
        }
        // Guards against giving the same failing runner its work straight back.
        work.avoid = (attempt.runner, if outcome == Outcome::Stale { now } else { now + 1.0 });
        if !d.may_resend(self.0, now) {
            return d.end(host, self.0, true);
        }
        d.hold(now, self.0);
    }
}

impl Dispatcher {
    /// Takes a work item of a known category; it is held until `decide` finds it a runner.
    pub fn take(&mut self, now: f64, job: Job) -> Option<WorkItem> {
        self.terms.categories.get(job.category)?;
        self.asked.push(job.key);
        // Guards against repeats that look fresh: a client gives up all tries at one time, so what is left of
        // the longest wait seen tells when its first try came, by which it is due.
        let begun = self.longest.get_mut(job.category).map_or(now, |longest| {
            *longest = longest.max(job.expiry - now);
            now.min(job.expiry - *longest)
        });
        let id = self.place(Work::new(job, begun, now));
        // Guards against the loss of a site taking the next one along: what would not fit is not begun.
        let part = self.admit.get(job.category).copied().unwrap_or(1.0);
        self.works[id as usize].refused = part < 1.0 && self.pcg.chance() >= part;
        self.hold(now, id);
        Some(WorkItem(id))
    }

    /// Two in the own zone first where crossing is dearer than a fetch, then elsewhere: neither is all.
    pub(crate) fn highest(&self, key: u32, among: impl Iterator<Item = usize>) -> Ring<usize, NEAR> {
        let all = among.map(|r| (std::cmp::Reverse(self.liking(key, r)), r));
        let (mut close, mut far): (Vec<_>, Vec<_>) = all.partition(|(liking, _)| liking.0 .0);
        close.sort_unstable();
        far.sort_unstable();
        let (close, rest) = close.split_at(close.len().min(PLACES / 2));
        let (first, last) = far.split_at(far.len().min(NEAR / 2));
        let mut order = Ring::default();
        let all = [close, first, rest, last].into_iter().flatten();
        all.take(NEAR).for_each(|&(_, r)| order.push(r));
        order
    }

    /// Guards against every dispatcher fetching a key to a runner of its own: where the table is thin, all
    /// agree, without a word, on the ready runner where a key belongs (highest hash of both).
    fn find_home(&mut self, w: u32, now: f64) {
        let key = self.works[w as usize].job.key;
        let order = self.order(w);
        let left = |d: &Self, r: usize| d.terms.probes && now < d.runners[r].left_until;
        let fit = |d: &Self, r: usize| d.open_to(w, r) && d.may_go(w, r, now) && !left(d, r);
        let mut near = Ring::default();
        order.samples().iter().filter(|&&r| fit(self, r)).for_each(|&r| near.push(r));
        // Guards against a cut or a group that takes all of them: others come up in their stead.
        if near.samples().is_empty() {
            near = self.highest(key, self.chosen.iter().copied().filter(|&r| fit(self, r)));
        }
        let asked = self.asked.samples();
        let share = asked.iter().filter(|&&k| k == key).count() as f64 / asked.len().max(1) as f64;
        let work = &mut self.works[w as usize];
        work.own = (SPREAD * share * self.chosen.len() as f64).ceil() as usize;
        (work.near, work.asked) = (near, 0);
        self.best_place(w, now);
    }

    /// A key's home is its place of least cost: its own places cost a wait, the others also a fetch.
    /// Guards against dispatchers that bring each key to runners of their own: all agree on as many places as
    /// its share of the arrivals asks for, and each prefers one of these by rank.
    fn best_place(&mut self, w: u32, now: f64) {
        let work = &self.works[w as usize];
        let (job, near) = (work.job, work.near.samples());
        let size = self.cold_size(&job);
        let takes = |r: usize| self.usable(w, r, now) && size <= self.cold_left(r, now);
        let cost = |n: usize, r: usize| {
            let fetch_s =
                if n < work.own || self.runners[r].holds(job.key, now) { 0.0 } else { self.fetch_s };
            self.wait_at(r, now) + self.load_at(r, now) + fetch_s
        };
        let able = near.iter().enumerate().filter(|(_, r)| !self.terms.probes && takes(**r));
        let able = able.map(|(n, &r)| (cost(n, r), n >= work.own, !self.runners[r].rank, r));
        let least = able.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let home = least.map(|(.., r)| r).or(near.first().copied()).filter(|_| job.key != 0);
        self.works[w as usize].home = home.unwrap_or(usize::MAX);
    }

    /// What our own work there adds to the wait.
    fn load_at(&self, r: usize, now: f64) -> f64 {
        let runner = &self.runners[r];
        let full = runner.mine + 1.0 > runner.cap && now > self.crowded_at + 5.0;
        let free = if full { self.mean_run / runner.mine.max(1.0) } else { 0.0 };
        LOAD * self.mean_run * runner.mine / runner.most.max(CAP_START) + free
    }

    /// Who is liked better for a key: in the own zone where crossing is dearer than a fetch, then by hash.
    fn liking(&self, key: u32, r: usize) -> (bool, u64) {
        let runner = &self.runners[r];
        let near = self.terms.keeps_zone && runner.at.zone == self.terms.zone;
        (near, if key == 0 { runner.rank } else { draw(key as u64, runner.at.id) })
    }

    fn hold(&mut self, now: f64, w: u32) {
        self.changed = true;
        self.find_home(w, now);
        let Work { taken, job, refused, .. } = self.works[w as usize];
        self.works[w as usize].holders = self.holders(w, now);
        let place = self.held.partition_point(|&h| self.works[h as usize].taken <= taken);
        self.held.insert(place, w);
        // Guards against work that arrives, or comes back, with its expiry already upon it.
        self.next_look = self.next_look.min(if refused { now } else { job.expiry - 2.0 * LOOK_S });
    }

    /// What the list says. `None` for a runner means it is gone.
    pub fn listed(&mut self, now: f64, news: News, entries: &[(usize, Option<Listed>)]) {
        let stays_open = self.terms.only_draining_binds;
        if news != News::Changes {
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
                    let off = self.terms.start_off_s;
                    let moved = listed.born - runner.at.born;
                    let started = moved > 1e-6 || off > 0.0 && moved < -1e-6;
                    if started {
                        runner.restart();
                        runner.start = if off > 0.0 { now.min(listed.born + off) } else { listed.born };
                    }
                    runner.rank = draw(self.terms.me as u64, listed.id);
                    runner.at = listed;
                    if started {
                        self.share(index);
                    }
                }
            }
        }
        if self.terms.asks_for_list && news != News::Cached {
            (self.next_ask, self.ask_again_s) = (f64::INFINITY, self.terms.ask_spread_s());
        }
        self.choose_anew(now);
    }

    /// Operators take a runner out, or put it back: restarted meanwhile, perhaps, and the list may be late.
    pub fn by_hand(&mut self, now: f64, r: usize, out: bool) {
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
    fn choose(&mut self) {
        let most = if self.terms.probes { usize::MAX } else { self.wanted as usize };
        let runners = &self.runners;
        let bound: Vec<&Placement> =
            self.terms.categories.iter().map(|c| &c.placement).filter(|p| p.binds()).collect();
        let open_to = |r: usize| bound.iter().map(|p| p.admits(&runners[r].at)).collect::<Vec<bool>>();
        let ready = (0..runners.len()).filter(|&r| runners[r].ready());
        let mut ready: Vec<_> = ready.map(|r| (open_to(r), !runners[r].rank, r)).collect();
        ready.sort_unstable();
        let alike = ready.chunk_by(|a, b| a.0 == b.0);
        self.chosen = alike.flat_map(|group| group.iter().take(most)).map(|(.., r)| *r).collect();
        self.chosen.sort_unstable();
        self.orders.clear();
    }

    /// A call to the list failed, or its subscription broke: ask again soon, with jitter.
    pub fn discovery_failed(&mut self, now: f64) {
        self.next_ask = now + self.ask_again_s * self.pcg.chance();
        self.ask_again_s = self.terms.ask_again_s(self.ask_again_s);
    }

    /// The process is to end then: nothing in hand may outlast it.
    pub fn end_by(&mut self, at: f64) {
        self.works.iter_mut().for_each(|work| work.job.expiry = work.job.expiry.min(at));
        self.longest.clear(); // What comes from now on has less time left, and is no repeat for that.
        self.next_look = self.next_look.min(at - 2.0 * LOOK_S);
    }

    /// Looks at what has become due, then visits the runners. Call once after each batch of news.
    pub fn decide(&mut self, host: &mut impl Host) {
        let now = host.now();
        let by = now + 1e-6; // Guards against a wake a rounding error early: 1 us is the clock's own grain.
        if by >= self.next_ask {
            host.watch();
            self.next_ask = now + self.terms.must_ask_s * (0.3 + 0.2 * self.pcg.chance());
        }
        if by >= self.next_look {
            self.next_look = now + LOOK_S;
            self.look(host);
            self.changed = true;
        }
        self.changed |= by >= self.next_seek;
        // Only where room or work has come since the last pass: most news on a busy day is neither.
        if std::mem::take(&mut self.changed) {
            self.pass(host);
            if self.terms.probes {
                self.seek(host);
                self.queue(host);
            }
        }
        let busy = self.works.len() > self.free.len();
        let next = if busy { self.next_look.min(self.next_ask).min(self.next_seek) } else { self.next_ask };
        if self.wake_at <= by || next < self.wake_at - 1e-6 {
            self.wake_at = next;
            host.wake((next - now).max(0.0));
        }
    }

    /// How much longer work is believed to wait at a runner than at one of which nothing is known: as long as
    /// it did there, if that was of late. A cold one, as far as its budget goes, spares it the usual wait.
    pub(crate) fn wait_at(&self, r: usize, now: f64) -> f64 {
        let runner = &self.runners[r];
        let (waited, at) = runner.wait;
        match () {
            () if waited > PROMPT_S && now < at + REMEMBERED * waited => waited,
            () if now < runner.born() + self.terms.cold_s => -self.wait_s,
            () => 0.0,
        }
    }

    // ---- the mechanism ----

    fn pass(&mut self, host: &mut impl Host) {
        if self.held.is_empty() {
            return;
        }
        let now = host.now();
        self.last_pass = now;
        let mut open = std::mem::take(&mut self.open);
        open.clear();
        self.passes += 1;
        for place in 0..self.held.len() {
            for &r in self.works[self.held[place] as usize].near.samples() {
                if std::mem::replace(&mut self.runners[r].pass, self.passes) != self.passes {
                    self.runners[r].room = self.room(r, now);
                    self.runners[r].cold_left = self.cold_left(r, now);
                    open.extend(Some(r).filter(|&r| self.has_room(r, now)));
                }
            }
        }
        (1..open.len()).rev().for_each(|i| open.swap(i, self.pcg.below(i + 1)));
        if !open.is_empty() || self.terms.probes {
            self.price(&open, now);
        }
        open.retain(|&r| {
            while self.has_room(r, now) {
                let Some((place, p)) = self.largest(r, now) else { return false };
                if p < P_MIN || self.pcg.chance() >= p {
                    return true;
                }
                self.send(host, place, r);
            }
            false
        });
        // What every runner skipped takes its cheapest.
        let mut place = 0;
        while place < self.held.len() && !open.is_empty() {
            let w = self.held[place];
            let key = self.works[w as usize].job.key;
            let fitting = open.iter().copied().filter(|&r| self.fits(w, r, now));
            // Among equally cheap ones the one where all agree that the key belongs.
            match fitting.max_by_key(|&r| (self.holds(w, r), self.liking(key, r))) {
                Some(r) => {
                    self.send(host, place, r);
                    open.retain(|&r| self.has_room(r, now));
                }
                None => place += 1,
            }
        }
        self.open = open;
    }

    /// Held work that lacks a fresh view of a runner it might use asks a few at a time, best first; when all
    /// are full it waits, longer after each round. One probe is out to a runner at most, and one that takes
    /// long says that the runner is busy: the next are asked.
    fn seek(&mut self, host: &mut impl Host) {
        let now = host.now();
        let wait_s = 3.0 * self.probe_times.quantile(0.5).unwrap_or(QUIET_S / 3.0).max(1e-3);
        self.next_seek = f64::INFINITY;
        let mut again = false;
        for place in 0..self.held.len() {
            let w = self.held[place];
            let work = &self.works[w as usize];
            let (mut asked, mut at) = (work.asked, work.ask_at);
            let places = &work.near.clone();
            let places = &places.samples()[..places.samples().len().min(PLACES)];
            let out = |r: &usize| self.runners[*r].probed.map(|t| t + wait_s).filter(|t| now < *t);
            let due =
                places[..asked.min(places.len())].iter().filter_map(out).fold(f64::NEG_INFINITY, f64::max);
            at = at.max(due);
            let mut sent = 0;
            // Only one is asked in a later round: what has waited so long has learnt that all are full.
            let most = if work.rounds > 0 { (asked + 1).min(places.len()) } else { places.len() };
            while now >= at && sent == 0 && asked < most {
                let r = places[asked];
                asked += 1;
                let fresh = now < self.runners[r].reported + self.fresh_s;
                let room = self.runners[r].free >= self.works[w as usize].job.slots;
                if !self.usable(w, r, now) || fresh && !room {
                    continue;
                }
                sent += 1;
                again |= fresh;
                if !fresh && self.runners[r].probed.is_none() {
                    self.runners[r].probed = Some(now);
                    host.probe(r);
                }
            }
            // Guards against a cut that takes all its places: others come up in their stead.
            if sent == 0 && now >= at && !places.iter().any(|&r| self.usable(w, r, now)) {
                self.find_home(w, now);
            }
            let work = &mut self.works[w as usize];
            if sent > 0 {
                at = now + wait_s;
            } else if now >= at {
                work.ask_at = now + (self.fresh_s / FRESH).max(wait_s) * 2f64.powi(work.rounds.min(8));
                (at, work.rounds) = (work.ask_at, work.rounds + 1);
                asked = if work.rounds == 1 || asked >= places.len() { 0 } else { asked };
            }
            work.asked = asked;
            self.next_seek = self.next_seek.min(at);
        }
        if again {
            self.pass(host);
        }
    }

    /// What has asked all its places and found none free takes the best of them as far as the cap allows: a
    /// short queue at a holder costs less than a slot that waits to be asked.
    fn queue(&mut self, host: &mut impl Host) {
        let now = host.now();
        let mut place = 0;
        while place < self.held.len() {
            let work = &self.works[self.held[place] as usize];
            let queues = |r: &&usize| {
                let runner = &self.runners[**r];
                self.usable(self.held[place], **r, now)
                    && work.job.slots <= runner.cap.floor() - runner.mine
                    && now >= runner.refused + self.fresh_s
                    && self.cold_size(&work.job) <= runner.cold_left
            };
            let may = work.rounds > 0 && work.spare <= 0.0;
            let idlest = |r: &usize| (10.0 * self.runners[*r].busy) as i64;
            let places = work.near.samples().iter().take(PLACES);
            match places.filter(|r| may && queues(r)).copied().min_by_key(idlest) {
                Some(r) => self.send(host, place, r),
                None => place += 1,
            }
        }
    }

    /// Prices what is held for one pass.
    fn price(&mut self, open: &[usize], now: f64) {
        // Crowded: not all that is held can be in time; something has waited half its spare time.
        let spent = |w: u32| now + self.wait_s - self.works[w as usize].taken;
        let crowded = self.held.iter().any(|&w| spent(w) > 0.5 * self.category(w).due_s);
        self.crowded_at = if crowded { now } else { self.crowded_at };
        let a_slots_second = |n: usize| if self.terms.pays_by_work { 1.0 } else { self.usual[n].max(1e-3) };
        let worth = |n: usize| self.terms.categories[n].payoff / a_slots_second(n);
        let best = (0..self.usual.len()).map(worth).fold(0.0, f64::max);
        for &w in &self.held {
            let work = &self.works[w as usize];
            let category = self.category(w);
            let worth = worth(work.job.category);
            let ends = now + self.wait_s + self.pace * self.expected(&work.job);
            // A repeat that asks and is turned away costs runners more than it can still earn.
            let again = self.terms.probes && work.begun < work.taken - PROMPT_S;
            let late = again || ends > self.due(w);
            let value = if crowded { worth * if late { category.tardy } else { 1.0 } } else { 0.0 };
            // Guards against freed slots going round among cheap work while dear work waits elsewhere: in a
            // crowd what is late, or pays under 0.4 of the best, leaves a slot free; where runners are
            // asked, and dear work asks for a slot, what is late does so for 5 s more. What is late and then
            // pays nothing is not sent at all in a jam: it would make others late, who come again.
            let leaves = match self.terms.probes {
                true => late && now < self.crowded_at + 5.0,
                false => crowded && (late || worth < 0.4 * best),
            };
            let others = open.iter().filter(|&&r| !self.holds(w, r)).count();
            // Guards against the shared store: where it is the bottleneck, fetching a key once more costs
            // everybody. Work whose holders are well but busy waits for them as long as it can end in time.
            let ill = |r: &Runner| r.resting.is_some() || r.shunned(work.job.category, now);
            let well = |r: &Runner| r.ready() && !ill(r);
            let busy = others == open.len() && self.runners.get(work.home).is_some_and(well);
            let waits = !self.terms.probes && !late && busy;
            let odds = start_chance(others as f64 / open.len().max(1) as f64, FAR_COST);
            let work = &mut self.works[w as usize];
            (work.value, work.spare, work.waits, work.odds) = (value, leaves as u8 as f64, waits, odds);
        }
    }

    /// The held work item with the largest P at a runner, among those of the largest value in a crowd; ties
    /// to the longest held.
    fn largest(&self, r: usize, now: f64) -> Option<(usize, f64)> {
        let mut best: Option<(usize, f64, f64)> = None;
        for (place, &w) in self.held.iter().enumerate() {
            let work = &self.works[w as usize];
            let p = if self.holds(w, r) { 1.0 } else { work.odds };
            let ahead = best.is_none_or(|(_, v, q)| work.value > v || work.value == v && p > q);
            if ahead && self.fits(w, r, now) {
                best = Some((place, work.value, p));
            }
        }
        best.map(|(place, _, p)| (place, p))
    }

    fn send(&mut self, host: &mut impl Host, place: usize, r: usize) {
        let now = host.now();
        let w = self.held.remove(place);
        let size = self.cold_size(&self.works[w as usize].job);
        let Work { job, own, ref near, .. } = self.works[w as usize];
        let fetches = !near.samples()[..own.min(near.samples().len())].contains(&r)
            && !self.runners[r].holds(job.key, now);
        let runner = &mut self.runners[r];
        let work = &mut self.works[w as usize];
        self.left.get_mut(job.category).into_iter().for_each(|left| *left -= 1.0);
        self.resends -= if work.made > 0 { 1.0 } else { 0.0 };
        runner.load(&work.job, 1.0);
        runner.cold_left -= size;
        if now < runner.born() + self.terms.cold_s {
            runner.cold_sent.retain(|(at, _)| now < at + self.terms.fall_s);
            runner.cold_sent.push_back((now, size));
        }
        runner.trial = runner.resting.map(|_| now + runner.rest_s);
        work.out = Some(Attempt::new(r, work.made, now, runner.mine >= runner.cap, fetches));
        work.made += 1;
        // Guards against clocks that differ: the client may wait longer than was told, and be answered then.
        let drop_at = work.job.expiry + self.terms.expiry_off_s;
        host.send_attempt(WorkItem(w), r, drop_at, self.repeat_by(w));
    }

    // ---- room ----

    fn room(&self, r: usize, now: f64) -> f64 {
        let runner = &self.runners[r];
        match self.terms.probes {
            true if now < runner.reported + self.fresh_s => runner.free,
            true => 0.0,
            false => runner.cap.floor() - runner.mine,
        }
    }

    fn has_room(&self, r: usize, now: f64) -> bool {
        let runner = &self.runners[r];
        let able = runner.ready() && runner.cold_left > self.fetch_s && now >= runner.left_until;
        able && runner.tried(now) && (runner.room >= 1.0 || runner.mine <= 0.0 && !self.terms.probes)
    }

    fn fits(&self, w: u32, r: usize, now: f64) -> bool {
        let (work, runner) = (&self.works[w as usize], &self.runners[r]);
        // The cheap and frequent reasons first: on a bad day most of what is held fits nowhere. What waits
        // has no holder among the runners with room.
        let (job, probes) = (&work.job, self.terms.probes);
        let jam = !probes && self.wait_s > PROMPT_S;
        // Guards against a fetch for want of a question: its places come first, in their order.
        let asked = || work.near.samples().iter().take(work.asked).any(|&asked| asked == r);
        if work.waits
            || probes && job.key != 0 && work.rounds == 0 && !asked()
            || work.spare > 0.0 && (runner.room < job.slots + work.spare || jam && work.value <= 0.0)
            || self.cold_size(job) > runner.cold_left
            || !self.usable(w, r, now)
        {
            return false;
        }
        job.slots <= runner.room && job.memory <= runner.free_memory || runner.mine <= 0.0 && !probes
    }

    /// A runner that a work item might use, whatever its room.
    fn usable(&self, w: u32, r: usize, now: f64) -> bool {
        let (work, runner) = (&self.works[w as usize], &self.runners[r]);
        runner.ready()
            && self.left.get(work.job.category).is_none_or(|left| *left >= 1.0)
            && self.open_to(w, r)
            && (work.avoid.0 != r || now >= work.avoid.1)
            && !runner.shunned(work.job.category, now)
            && now >= runner.left_until
            && self.may_go(w, r, now)
            && (runner.resting.is_none()
                || runner.tried(now) && self.category(w).repeat == Repeat::Idempotent)
    }

    /// What a runner may be sent by all within the rule's span; `None` for a warm one.
    pub(crate) fn cold_whole(&self, r: usize, now: f64) -> Option<f64> {
        let (runner, t) = (&self.runners[r], &self.terms);
        let age = now - runner.born();
        let warm = (age - t.fall_s).max(0.0) / t.cold_s;
        let present = runner.capacity * (t.cold_from + (1.0 - t.cold_from) * warm);
        // 1.4: all parts in full are the limit, by the 0.75 in `size_up`. The spread of sizes lives on what
        // most leave unused: the worst of 432 hunted days came to three fifths.
        (age < t.cold_s).then_some(1.4 * t.fall_multiple * present * t.fall_s)
    }

    /// What may still be sent. Guards against pushing over a runner that has just started: the work sent to
    /// it, whatever became of it, stays under this dispatcher's part of what the rule allows in any span.
    fn cold_left(&self, r: usize, now: f64) -> f64 {
        let (runner, t) = (&self.runners[r], &self.terms);
        let Some(whole) = self.cold_whole(r, now) else { return f64::INFINITY };
        // Even parts among many are under any work item's size, and what is left to who has no work is lost:
        // as many as the whole has room for, in rank order, may send so much as the largest usual one each.
        let largest = self.usual.iter().copied().fold(0.0, f64::max) + self.fetch_s;
        let heads = ((whole / largest) as usize).clamp(1, t.replicas);
        let part = if heads == t.replicas { whole / heads as f64 } else { largest.min(whole) };
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
    fn cold_size(&self, job: &Job) -> f64 {
        let warm = if self.lent { self.warm[job.category] } else { 1.0 };
        (warm * self.expected(job) + self.fetch_s) * job.slots
    }

    /// What a warm runner of a kind does in a second, in the unit of `expected`: its slots over its pace.
    /// Where nobody reports slots, a cap is only our part of them; the most of ours seen running at once on
    /// one is what they have at the least. 0.75 since slots may outnumber cores. Lent parts: in warm runs.
    fn size_up(&mut self, kind: u8, now: f64) {
        let used = || self.chosen.iter().map(|&r| &self.runners[r]);
        let slots = |r: &Runner| if r.at.kind == kind { r.most.max(r.slots) } else { 0.0 };
        let most = used().map(slots).fold(CAP_START, f64::max);
        // Guards against one unwell that is all its kind has warm, by whose pace the cold ones get nothing.
        let grown = || used().filter(|r| now > r.born() + self.terms.cold_s);
        let like = |r: &&Runner| r.at.kind == kind && r.resting.is_none();
        let few = grown().filter(like).count() < 3;
        let pace = median(grown().filter(|r| few || like(r)).map(|r| r.pace)).unwrap_or(1.0);
        let pace = if self.lent { 1.0 } else { pace };
        // One of many sees too little of a runner: what all together have running on a warm one, where told;
        // else as if all were as busy, but 2.5 times what was seen at the most, in case they are not.
        let all = || {
            let busy = self.busy.mean().unwrap_or(0.0) * self.terms.replicas as f64;
            (busy / grown().count().max(1) as f64).min(2.5 * most)
        };
        let most = most.max(if self.told_most > 0.0 { self.told_most } else { all() });
        let of_kind = self.runners.iter_mut().filter(|r| r.at.kind == kind);
        of_kind.for_each(|r| r.capacity = 0.75 * most / pace);
    }

    // ---- what an outcome teaches ----

    fn learn(&mut self, job: &Job, attempt: &Attempt, now: f64, outcome: Outcome) {
        let run = now - attempt.started.unwrap_or(attempt.sent);
        let expected = self.expected(job);
        let slow = self.slow_ratio();
        let runner = &mut self.runners[attempt.runner];
        match outcome {
            Outcome::Finished => {
                runner.heard = now;
                let prompt = attempt.started.is_none_or(|s| s - attempt.sent < PROMPT_S);
                let lid = if now < runner.ceiling.1 { runner.ceiling.0 } else { f64::INFINITY };
                if attempt.at_cap && prompt && runner.cap < lid {
                    runner.cap += job.slots;
                }
                self.errors.push((attempt.runner, false));
                self.measured(job, attempt, run, expected);
                // A slow finish is a weaker sign than silence or an error: a full store slows everyone's
                // work, and large sizes come in runs. ln(0.4/0.11), one in nine of a well runner's.
                self.weigh(attempt.runner, now, if run / expected > slow { 1.3 } else { -0.5 });
                self.served(now, attempt.runner, job.key);
            }
            Outcome::Full | Outcome::Unsure => {
                runner.cap = (runner.cap / 2.0).floor().max(1.0);
                (runner.free, runner.reported, runner.refused) = (0.0, now, now);
                // Guards against a runner full of others' work, or hung with a full queue: a mild bad sign.
                self.weigh(attempt.runner, now, 1.0);
            }
            Outcome::Error | Outcome::Reset => {
                let sign = self.error_sign(attempt.runner);
                self.errors.push((attempt.runner, true));
                self.shun(attempt.runner, job.category, now, sign);
                self.weigh(attempt.runner, now, sign);
            }
            // Guards against a dead runner that is still listed: it looks idle and draws work. One failure
            // alone may be the network's; it is left alone for a second even where it cannot rest.
            Outcome::NoConnection => {
                runner.left_until = now + 1.0;
                self.weigh(attempt.runner, now, 3.0);
            }
            _ => self.weigh(attempt.runner, now, 0.0),
        }
        self.runners[attempt.runner].trial = None;
    }

    /// How much an error says against its runner: ln(0.4/p), p being the errors of late at all the others.
    /// Guards against blaming runners for what fails anywhere: a lock or a store behind all, bad requests.
    fn error_sign(&self, r: usize) -> f64 {
        let others = self.errors.samples().iter().filter(|(at, _)| *at != r);
        let (all, bad) = others.fold((0.0, 0.0), |(all, bad), (_, b)| (all + 1.0, bad + *b as u8 as f64));
        // One in 33 where nothing is known, the rate of the test itself.
        (0.4 * (all + 33.0) / (bad + 1.0)).ln().clamp(0.0, 3.0)
    }

    /// The same test for one category there, which then leaves the runner for a while. Guards against one
    /// that fails this category alone.
    fn shun(&mut self, r: usize, category: usize, now: f64, sign: f64) {
        let (evidence, _) = self.runners[r].shun(category);
        *evidence = (*evidence + sign).min(6.0);
        let evidence = *evidence;
        let gone =
            |r: &&usize| self.runners[**r].shunned(category, now) || self.runners[**r].resting.is_some();
        if evidence > 4.5 && 2 * (self.chosen.iter().filter(gone).count() + 1) <= self.chosen.len() {
            *self.runners[r].shun(category) = (2.0, now + REST_S);
        }
    }

    /// The sequential test: log odds of 'unwell' (4 in 10 bad) against 'well' (3 in 100 bad). A bad sign adds
    /// ln(0.4/0.03) = 2.6, a good one ln(0.6/0.97) = -0.5; past ln(0.95/0.01) = 4.5 the runner rests, then
    /// gets a trial, and another after each rest. At most half rest at once: beyond, it is not their trouble.
    fn weigh(&mut self, r: usize, now: f64, sign: f64) {
        let runner = &mut self.runners[r];
        runner.evidence = (runner.evidence + sign).clamp(0.0, 6.0);
        if runner.resting.is_some() && runner.trial.is_some() {
            if sign < 0.0 {
                (runner.resting, runner.evidence) = (None, 2.0);
            } else if sign > 0.0 {
                runner.rest_s = (2.0 * runner.rest_s).min(6.0);
                runner.resting = Some(now + runner.rest_s);
            }
        } else if runner.resting.is_none() && runner.evidence > 4.5 {
            let ready = || self.runners.iter().filter(|x| x.ready());
            if 2 * (ready().filter(|x| x.resting.is_some()).count() + 1) <= ready().count() {
                let runner = &mut self.runners[r];
                runner.resting = Some(now + runner.rest_s);
            }
        } else if runner.evidence == 0.0 {
            runner.rest_s = REST_S;
        }
    }

    fn due(&self, w: u32) -> f64 {
        let work = &self.works[w as usize];
        let category = self.category(w);
        let own = if work.job.hint > 0.0 { work.job.hint } else { self.expected(&work.job) };
        let since = if self.terms.probes { work.taken } else { work.begun };
        (since + category.due_s + category.stretch * own).min(work.job.expiry)
    }

    /// What others saw of a runner, weighed by the host: a bad sign that outweighs the last good ones, or
    /// that it serves others again, which ends its rest at a moment of this dispatcher's own.
    pub fn heard(&mut self, now: f64, r: usize, well: bool) {
        match self.runners[r].resting {
            None if !well => self.weigh(r, now, 6.0),
            Some(until) if well && self.runners[r].trial.is_none() && until > now + LOOK_S => {
                self.runners[r].resting = Some(now + LOOK_S * self.pcg.chance());
            }
            _ => {}
        }
    }

    // ---- the rules on placement and on effects ----

    /// A category is sent to no other runners than those it is bound to, whatever becomes of these.
    pub(crate) fn open_to(&self, w: u32, r: usize) -> bool {
        self.category(w).placement.admits(&self.runners[r].at)
    }

    fn may_go(&self, w: u32, r: usize, now: f64) -> bool {
        let work = &self.works[w as usize];
        let Some((_, first)) = work.ran else { return true };
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

    fn may_resend(&self, w: u32, now: f64) -> bool {
        let work = &self.works[w as usize];
        let first = work.made == 0 || self.resends >= 1.0;
        first
            && work.made < self.terms.most_attempts
            && work.ran.is_none_or(|(_, first)| self.may_go(w, first, now))
    }

    /// The final answer for what is given up on: deferred where that is harmless, else written off.
    fn end(&mut self, host: &mut impl Host, w: u32, in_time: bool) {
        let again = matches!(self.category(w).repeat, Repeat::Idempotent | Repeat::Keyed(Scope::All));
        let work = &mut self.works[w as usize];
        let refused = work.refused;
        work.ended = true;
        if in_time && (again || work.ran.is_none()) {
            let backlog: f64 = self.held.iter().map(|&h| self.expected(&self.works[h as usize].job)).sum();
            let ready = self.runners.iter().filter(|r| r.ready()).count().max(1) as f64;
            // Guards against all who are refused coming back at once.
            let apart = if refused { 1.0 + self.pcg.chance() } else { 0.0 };
            host.defer(WorkItem(w), (0.2 + backlog / ready + apart).min(self.terms.max_retry_after_s));
        } else {
            host.write_off(WorkItem(w));
        }
        self.release(host, w);
    }

    fn cancel(&mut self, host: &mut impl Host, w: u32) {
        let may = self.terms.may_cancel;
        if let Some(attempt) = self.works[w as usize].out.as_mut().filter(|a| may && !a.cancelled) {
            attempt.cancelled = true;
            host.cancel(WorkItem(w), attempt.no);
        }
    }

    // ---- what time alone brings ----

    fn look(&mut self, host: &mut impl Host) {
        let now = host.now();
        self.mean_run = self.usual.iter().sum::<f64>() / self.usual.len().max(1) as f64;
        self.fetch_s = self.fetches.mean().unwrap_or(0.0).max(0.0);
        self.fresh_s = FRESH * self.mean_run;
        // Guards against a wait that is over shutting work out, none of which then starts and tells.
        let lately = self.waits.samples().iter().filter(|(_, at)| now < at + 5.0);
        self.wait_s = median(lately.map(|(wait, _)| *wait)).unwrap_or(0.0);
        self.longest_wait = self.waits.samples().iter().map(|(wait, _)| *wait).fold(0.0, f64::max);
        self.pace = self.ratios.quantile(0.5).unwrap_or(1.0).max(1.0);
        for place in (0..self.held.len()).rev() {
            let w = self.held[place];
            if !self.terms.probes {
                self.best_place(w, now);
            }
            let work = &self.works[w as usize];
            let hopeless = work.refused || work.near.samples().is_empty();
            if hopeless || now > self.patience(w) || !self.may_resend(w, now) {
                self.held.remove(place);
                self.end(host, w, true);
            }
        }
        (0..self.works.len() as u32).for_each(|w| self.doubt(host, w, now));
        self.busy.push(self.runners.iter().map(|runner| runner.running).sum());
        let wanted = LEAST.max(FOR_EACH * self.busy.mean().unwrap_or(0.0)).ceil();
        if (wanted - self.wanted).abs() > 0.25 * self.wanted {
            self.wanted = wanted;
            self.choose_anew(now);
        }
        let mut sized = [false; 256];
        for place in 0..self.chosen.len() {
            let r = self.chosen[place];
            let at = self.runners[r].at;
            let cold = now < self.runners[r].born() + self.terms.cold_s;
            if cold && !std::mem::replace(&mut sized[at.kind as usize], true) {
                self.size_up(at.kind, now);
            }
            if self.runners[r].resting.is_some_and(|until| until - self.runners[r].rest_s > now - LOOK_S) {
                host.log(r, "judged unwell, rests");
            }
        }
    }

    /// Until when a held work item is worth holding.
    fn patience(&self, w: u32) -> f64 {
        let work = &self.works[w as usize];
        let (due, run) = (self.due(w), self.pace * self.expected(&work.job));
        // Where late pays nothing, it ends with the last start that a long run would still make in time.
        let late_pays = self.category(w).tardy > 0.0;
        let last =
            if late_pays { 0.5 * (due + work.job.expiry) - run } else { due - 1.4 * run - self.wait_s };
        // Never into the expiry itself: two looks before it the answer is given whatever it is.
        last.max(work.taken + LOOK_S).min(work.job.expiry - 2.0 * LOOK_S)
    }

    /// Silence and standing still are evidence too. Guards against runners that take work and answer nothing.
    fn doubt(&mut self, host: &mut impl Host, w: u32, now: f64) {
        let work = &self.works[w as usize];
        let Some(attempt) = work.out.as_ref().filter(|attempt| !attempt.cancelled) else { return };
        let (r, run, category) = (attempt.runner, self.expected(&work.job), work.job.category);
        // Guards against taking a wait behind our own long jobs for silence.
        let full = self.runners[r].running >= self.runners[r].most.max(1.0);
        let quiet_s = match attempt.started {
            // Where others' work is not known, it may wait behind theirs as long as any did lately.
            None if self.terms.probes => QUIET_S + 3.0 * run,
            // Guards against others' queues, or a jam, taken for illness: twice the longest last wait.
            None if self.terms.tells_start && !full => {
                let unknown = self.terms.replicas > 1 && self.waits.samples().len() < WAITS;
                QUIET_S + 2.0 * self.longest_wait + if unknown { 3.0 * run } else { 0.0 }
            }
            Some(_) if self.terms.progress_s > 0.0 => 2.2 * self.terms.progress_s, // Their own beat.
            _ => QUIET_S + 3.0 * run,
        };
        // Guards against a queue that no report tells of: what waits there for its start says it is full.
        let waits = self.terms.probes && attempt.started.is_none() && now > attempt.sent + PROMPT_S;
        // Guards against an attempt never taken by a runner that is well otherwise: taking is said at once.
        let unsaid = self.terms.tells_taking && attempt.moved <= attempt.sent && now > attempt.sent + QUIET_S;
        let spoke = self.runners[r].heard.max(if unsaid { self.runners[r].took } else { 0.0 });
        let heard = if attempt.started.is_some() { attempt.moved } else { attempt.moved.max(spoke) };
        let silent = now - heard > quiet_s * (1.0 + attempt.doubts as f64);
        let rerun = self.terms.categories[category].repeat != Repeat::AtMostOnce;
        if attempt.started.is_none() && now > attempt.sent + PROMPT_S {
            self.runners[r].wait = (now - attempt.sent, now);
        }
        if silent {
            self.works[w as usize].out.as_mut().unwrap().doubts += 1;
            self.weigh(r, now, 2.6);
            host.doubts(r);
        }
        if waits {
            (self.runners[r].free, self.runners[r].reported) = (0.0, now);
        }
        let out = self.works[w as usize].out.as_ref().unwrap();
        let (left, still) = (out.left_s(), out.doubts > 0 && now - out.moved > quiet_s);
        let stuck = still || left > 2.0 * run && now + left > self.due(w);
        // Guards against answers lost on the way back: a started job tells each beat, so one beat and a half
        // without word means that it has ended or stands still, be its runner well or not.
        let beat = self.terms.progress_s;
        let ended = out.started.is_some() && beat > 0.0 && now > out.moved + 1.5 * beat;
        // Only off a runner judged unwell, or that never took it, while another try can still end in time.
        if unsaid {
            self.shun(r, category, now, 6.0);
        }
        if (unsaid || ended || stuck && self.runners[r].resting.is_some()) && rerun && self.may_resend(w, now)
        {
            self.cancel(host, w);
        }
    }
}

/// A rest's first length: a pause of a healthy runner is over by then, a real trouble rarely is.
pub const REST_S: f64 = 1.5;
