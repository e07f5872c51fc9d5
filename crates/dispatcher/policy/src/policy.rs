//! All decisions of sagetrail. A host makes a `Dispatcher` from a `PolicyConfig` and a seed, applies the
//! runner list with `update_list` and passes work items in with `submit`, which returns a handle
//! (`WorkItem`). It reports what happens to each handle: `accepted`, `started`, `progressed`,
//! `attempt_ended`, `client_left`. It calls `decide` after each batch of events and whenever a requested wake
//! is due; `decide` assigns held work items to runners and acts through the `Host`. Before a planned end of
//! the process it calls `set_shutdown_at`. The interface (`Host`, `PolicyConfig`, `Job`, `ListedRunner`,
//! `Outcome`) is defined in `interface.rs`.

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
use crate::state::{Attempt, Runner, WorkItemState};
use std::collections::BTreeSet;
pub use work_items::WorkItem;

/// The smallest start probability P that is tried. It is just under 1 - 1/e, so that a runner without the key
/// is skipped while any runner with room has it.
const MIN_START_CHANCE: f64 = 0.63;
/// The cost of fetching a key in the start probability; it is the same at each runner without the key, since
/// no other cost is known.
const FETCH_COST: f64 = 1.0;
/// The entries of the key table for each runner (see docs/design.md). Few and recent entries work better than
/// many (8 or 14): a wrong entry sends work to a fetch that looked free, a missing one costs one random draw
/// at most.
pub(crate) const KEYS_PER_RUNNER: usize = 5;
/// The seconds that an entry of the key table stays valid (see docs/design.md).
pub(crate) const KEY_LIFETIME_S: f64 = 30.0;
/// The initial slot cap of a runner that does not report its load (see docs/design.md).
pub(crate) const INITIAL_SLOT_CAP: f64 = 2.0;
/// The subset has this many runners of a group for each running job of this dispatcher. Then each runner is
/// heard of every few runs, and each runner is in the subsets of several dispatchers. With 2 or 3, work finds
/// a holder of its key less often; with more than 4, too little is heard of each runner.
const SUBSET_PER_RUNNING_JOB: f64 = 4.0;
/// The smallest subset size of a group: as many runners as a work item has candidates.
pub(crate) const MIN_SUBSET_SIZE: f64 = CANDIDATES as f64;
/// A key has this many times as many runners of its own as its share of the arrivals can fill, so that some
/// of them may be congested.
const KEY_SPREAD: f64 = 2.0;
/// The share of a key in the arrivals is measured over this many arrivals. This shows the rarest key that
/// fills more than one of some hundred runners.
pub(crate) const KEY_SAMPLES: usize = 512;
/// A start wait is taken into account for this many times its own length, since a longer queue takes longer
/// to drain.
const WAIT_MEMORY: f64 = 4.0;
/// The candidates of a work item if runners must be probed. With three in four slots in use, six full runners
/// in a row are rare.
pub(crate) const PROBE_CANDIDATES: usize = 4;
/// The candidates of a work item. With three in four runners full, one work item in a hundred finds no room.
pub(crate) const CANDIDATES: usize = 16;
/// A load report stays valid for this fraction of the mean run time, since the load changes as jobs start and
/// end.
const REPORT_LIFETIME: f64 = 0.25;
/// The seconds between two periodic checks of silences, deadlines and subset sizes. This is short compared
/// with due times and cheap in CPU time.
const CHECK_INTERVAL_S: f64 = 0.1;
/// The wait that each of this dispatcher's work items at a runner adds, in mean run times divided by the
/// slots seen there. 0.1 and 0.5 give worse results.
const OWN_LOAD_WEIGHT: f64 = 0.25;
/// A start that comes more seconds than this after its attempt was sent has waited for a slot. It is several
/// times the time to open a connection.
const PROMPT_START_S: f64 = 0.1;
/// The number of start waits that are kept. Until there are this many, the load by other dispatchers counts
/// as unknown.
pub(crate) const START_WAIT_SAMPLES: usize = 32;
/// The number of run times with a fetch, and of those without, from which the cost of a fetch is estimated.
/// Run times vary widely, so that many are needed.
pub(crate) const RUN_SAMPLES: usize = 64;
/// A fetch costs this many times its duration, because it occupies a slot that other work waits for. 1.5
/// gives a worse result in the scenario `cardiff`.
const FETCH_PRICE: f64 = 3.0;
/// The number of results from which the rate of failures at all runners is estimated; a rate of one in sixty
/// shows.
pub(crate) const RESULT_SAMPLES: usize = 64;
/// Silence for more seconds than this is a bad sign. It is several times what the report of an acceptance or
/// a start takes.
const SILENCE_S: f64 = 0.35;
/// The length of a first ejection in seconds. A short pause of a healthy runner is over by then, a real fault
/// rarely is.
pub(crate) const FIRST_EJECTION_S: f64 = 1.5;

impl Dispatcher {
    /// Announces that the process ends at `at_s`: no work item may outlast it.
    pub fn set_shutdown_at(&mut self, at_s: f64) {
        self.work_items.iter_mut().for_each(|work_item| {
            work_item.job.expires_at_s = work_item.job.expires_at_s.min(at_s)
        });
        // From now on requests arrive with less time left, which does not make them retries.
        self.longest_expiries.clear();
        self.next_check_at_s = self.next_check_at_s.min(at_s - 2.0 * CHECK_INTERVAL_S);
    }

    /// Runs what is due and assigns held work items to runners. The host calls it once after each batch of
    /// events and at each wake.
    pub fn decide(&mut self, host: &mut impl Host) {
        let now = host.now();
        // A wake may come early by a rounding error; 1 us is the resolution of the clock.
        let due_by = now + 1e-6;
        if due_by >= self.next_list_request_at_s {
            host.request_list();
            self.next_list_request_at_s =
                now + self.config.list_request_limit_s * (0.3 + 0.2 * self.pcg.uniform());
        }
        if due_by >= self.next_check_at_s {
            self.next_check_at_s = now + CHECK_INTERVAL_S;
            self.run_periodic_checks(host);
            self.needs_pass = true;
        }
        self.needs_pass |= due_by >= self.next_probe_at_s;
        // Most events under high load bring neither room nor work, and need no pass.
        if std::mem::take(&mut self.needs_pass) {
            self.assign_held(host);
            if self.config.uses_load_probes {
                self.send_probes(host);
                self.send_to_full_runners(host);
            }
        }
        let has_work = self.work_items.len() > self.free_handles.len();
        let next_at_s = if has_work {
            self.next_check_at_s
                .min(self.next_list_request_at_s)
                .min(self.next_probe_at_s)
        } else {
            self.next_list_request_at_s
        };
        if self.wake_at_s <= due_by || next_at_s < self.wake_at_s - 1e-6 {
            self.wake_at_s = next_at_s;
            host.wake_in((next_at_s - now).max(0.0));
        }
    }
}
