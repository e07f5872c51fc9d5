//! The arrival of work, and the work items that are still held.
use super::{AttemptRef, Event, HeldItem, History, ItemRef, ITEMS_PER_LEAVING_CLIENT};
use rand::Rng;
use sagetrail_policy::{Job, WorkItem};

impl History {
    /// Submits a work item with the probability of an arrival and returns whether one arrived.
    pub(super) fn submit_work(&mut self) -> bool {
        // A burst arrives in the middle of every 20 s.
        let is_burst = (800..1_200).contains(&(self.step % 2_000));
        let arrives = self.chance(if is_burst { 0.6 } else { 0.2 });
        if arrives {
            let job = self.draw_job();
            let work_item = self.dispatcher.submit(self.host.now, job).unwrap();
            self.track(work_item);
        }
        arrives
    }

    fn draw_job(&mut self) -> Job {
        let key = self.random.random_range(0..20u32);
        let hinted = self.chance(0.5);
        let large = self.chance(0.1);
        Job {
            category: self.random.random_range(0..4),
            // Some keys are more frequent than others. Two of the twenty draws, 0 and 1, give 0, which means no key.
            key: key * key / 4,
            expires_at_s: self.host.now + 0.3 + 8.0 * self.random.random::<f64>(),
            hint_s: if hinted {
                0.4 * self.random.random::<f64>()
            } else {
                0.0
            },
            slots: if large { 2.0 } else { 1.0 },
            memory: if large { 2.0 } else { 0.5 },
        }
    }

    /// Keeps a work item as held, and draws whether its client leaves early.
    fn track(&mut self, work_item: WorkItem) {
        self.last_number += 1;
        let number = self.last_number;
        let held = HeldItem {
            number,
            attempt_count: 0,
            client_has_left: false,
            in_flight: None,
        };
        self.held.insert(work_item.0, held);
        if self.random.random_range(0..ITEMS_PER_LEAVING_CLIENT) == 0 {
            let after_steps = self.draw_steps(0.1, 3.0);
            self.schedule(
                after_steps,
                Event::ClientLeft(ItemRef { work_item, number }),
            );
        }
    }

    /// Whether the work item is held, and its handle has not been reused.
    pub(super) fn is_held(&self, item: ItemRef) -> bool {
        let held = self.held.get(&item.work_item.0);
        held.is_some_and(|held| held.number == item.number)
    }

    /// Whether the attempt is in flight.
    pub(super) fn is_in_flight(&self, attempt_ref: AttemptRef) -> bool {
        let held = self.held.get(&attempt_ref.item.work_item.0);
        self.is_held(attempt_ref.item)
            && held
                .unwrap()
                .in_flight
                .is_some_and(|(attempt, _)| attempt == attempt_ref.attempt)
    }
}
