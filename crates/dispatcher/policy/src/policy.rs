//! Every decision of sagetrail. How to call it: make a `Dispatcher` from its `PolicyConfig` and a seed, tell it the
//! list with `listed`, take work items with `take`, and tell each handle (`WorkItem`) what becomes of it:
//! `started`, `progressed`, `outcome`, `left`. After a batch of news, and whenever a wake asked for comes
//! due, call `decide`: it visits the runners and acts through the `Host`. Before a planned end, `end_by`. The
//! interface (`Host`, `PolicyConfig`, `Job`, `ListedRunner`, `Outcome`) is defined in `interface.rs`.

mod affinity;
mod assignment;
mod health;
mod membership;
mod periodic;
mod probing;
mod rules;
mod slow_start;
mod work_items;

use crate::chance::start_chance;
use crate::interface::*;
use crate::pcg::pair_hash;
use crate::ring::{median, Ring};
pub use crate::state::Dispatcher;
use crate::state::{Attempt, Runner, Work};
use std::collections::BTreeSet;
pub use work_items::WorkItem;

/// P-min: just under 1 - 1/e, so a runner without the key is passed over while any with room has it.
const P_MIN: f64 = 0.63;
/// What fetching a key costs where no other cost is known; the same at each runner without it.
const FAR_COST: f64 = 1.0;
/// The key table: how many entries a runner, and how long one lasts (DESIGN). Few and recent beat many (8,
/// 14): a wrong entry draws work to a fetch that looked free, a missing one costs a coin at most.
pub(crate) const KEYS: usize = 5;
pub(crate) const KEY_AGE_S: f64 = 30.0;
/// The slot cap of a runner that reports nothing starts here (DESIGN).
pub(crate) const CAP_START: f64 = 2.0;
/// So many runners of a kind are used for each work item of ours that runs: each is then heard of every few
/// runs, and all dispatchers together use each several times over (2 and 3 lose keys, more lose sight).
const FOR_EACH: f64 = 4.0;
/// So many are used at the least: as many as a work item looks at.
pub(crate) const LEAST: f64 = NEAR as f64;
/// A key has so many times the places that its share of the arrivals fills: room for a crowd at some of them.
const SPREAD: f64 = 2.0;
/// That share is taken from so many: the rarest key that fills more than one of some hundred runners shows.
pub(crate) const ASKED: usize = 512;
/// A wait is remembered so many times as long as it was: the longer the queue, the longer it takes to drain.
const REMEMBERED: f64 = 4.0;
/// A work item's places, where runners must be probed: with three in four slots taken, six all full are rare.
pub(crate) const PLACES: usize = 4;
/// A work item looks at so many runners: with three in four full, one in a hundred finds no room.
pub(crate) const NEAR: usize = 16;
/// A report is held for true for this part of a usual job: load changes as jobs come and go.
const FRESH: f64 = 0.25;
/// Housekeeping, doubts and give-ups are looked at this often: fine beside due times, cheap in CPU.
const LOOK_S: f64 = 0.1;
/// What each work item of ours there adds to a wait, in usual runs by the slots seen; 0.1 and 0.5 lose.
const LOAD: f64 = 0.25;
/// A start later than this after its attempt has waited for a slot: several times a connection's cost.
const PROMPT_S: f64 = 0.1;
/// So many of the last waits for a start are kept: with fewer, nothing is known of others' work.
pub(crate) const WAITS: usize = 32;
/// So many of the last runs with a fetch, and without, tell what one takes: sizes spread widely.
pub(crate) const RUNS: usize = 64;
/// A fetch costs so many times what it takes: it holds a slot for which others wait. 1.5 loses at cardiff.
const DEAR: f64 = 3.0;
/// So many of the last outcomes tell how often work fails anywhere: one in sixty shows.
pub(crate) const OUTCOMES: usize = 64;
/// Silence longer than this is a sign: several times what the word of taking or starting a job takes.
const QUIET_S: f64 = 0.35;
/// A rest's first length: a pause of a healthy runner is over by then, a real trouble rarely is.
pub(crate) const REST_S: f64 = 1.5;

impl Dispatcher {
    /// The process is to end then: nothing in hand may outlast it.
    pub fn set_shutdown_at(&mut self, at: f64) {
        self.works
            .iter_mut()
            .for_each(|work| work.job.expires_at_s = work.job.expires_at_s.min(at));
        self.longest.clear(); // What comes from now on has less time left, and is no repeat for that.
        self.next_look = self.next_look.min(at - 2.0 * LOOK_S);
    }

    /// Looks at what has become due, then visits the runners. Call once after each batch of news.
    pub fn decide(&mut self, host: &mut impl Host) {
        let now = host.now();
        let by = now + 1e-6; // Guards against a wake a rounding error early: 1 us is the clock's own grain.
        if by >= self.next_ask {
            host.request_list();
            self.next_ask =
                now + self.config.list_request_limit_s * (0.3 + 0.2 * self.pcg.uniform());
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
            if self.config.uses_load_probes {
                self.seek(host);
                self.queue(host);
            }
        }
        let busy = self.works.len() > self.free.len();
        let next = if busy {
            self.next_look.min(self.next_ask).min(self.next_seek)
        } else {
            self.next_ask
        };
        if self.wake_at <= by || next < self.wake_at - 1e-6 {
            self.wake_at = next;
            host.wake_in((next - now).max(0.0));
        }
    }
}
