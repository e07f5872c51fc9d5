//! The delivery of events to the dispatcher.
use super::{AttemptRef, Event, History};
use sagetrail_policy::Outcome;

impl History {
    /// Delivers the events that are due and returns whether there were any.
    pub(super) fn deliver_events(&mut self) -> bool {
        let mut delivered = false;
        while let Some(entry) = self.pending_events.first_entry() {
            if entry.key().0 > self.step {
                break;
            }
            let event = entry.remove();
            self.deliver(event);
            delivered = true;
        }
        delivered
    }

    fn deliver(&mut self, event: Event) {
        let now = self.host.now;
        match event {
            Event::Accepted(attempt_ref) if self.is_in_flight(attempt_ref) => {
                attempt_ref
                    .item
                    .work_item
                    .accepted(&mut self.dispatcher, now, attempt_ref.attempt);
            }
            Event::Started(attempt_ref) if self.is_in_flight(attempt_ref) => {
                self.report_start(attempt_ref)
            }
            Event::Progressed(attempt_ref, progress) if self.is_in_flight(attempt_ref) => {
                let work_item = attempt_ref.item.work_item;
                work_item.progressed(&mut self.dispatcher, now, attempt_ref.attempt, progress);
            }
            Event::AttemptEnded(attempt_ref, outcome) if self.is_in_flight(attempt_ref) => {
                self.end_attempt(attempt_ref, outcome)
            }
            Event::ClientLeft(item) if self.is_held(item) => {
                self.held
                    .get_mut(&item.work_item.0)
                    .unwrap()
                    .client_has_left = true;
                item.work_item
                    .client_left(&mut self.dispatcher, &mut self.host);
            }
            Event::ProbeEnded(runner, outcome, report) => {
                self.dispatcher.probe_ended(now, runner, outcome, &report);
            }
            Event::ListChanged(runner, listing) => {
                let changes = sagetrail_policy::ListUpdate::Changes;
                self.dispatcher
                    .update_list(now, changes, &[(runner, listing)]);
            }
            Event::FullList => self.send_full_list(sagetrail_policy::ListUpdate::Full),
            Event::ListFailed => self.dispatcher.discovery_failed(now),
            _ => {}
        }
    }

    fn report_start(&mut self, attempt_ref: AttemptRef) {
        let (_, runner) = self.held[&attempt_ref.item.work_item.0].in_flight.unwrap();
        self.machines[runner].running += 1;
        let work_item = attempt_ref.item.work_item;
        work_item.started(&mut self.dispatcher, self.host.now, attempt_ref.attempt);
    }

    fn end_attempt(&mut self, attempt_ref: AttemptRef, outcome: Outcome) {
        let held = self.held.get_mut(&attempt_ref.item.work_item.0).unwrap();
        let (_, runner) = held.in_flight.take().unwrap();
        let is_answered = held.client_has_left || outcome == Outcome::Finished;
        let machine = &mut self.machines[runner];
        machine.running = machine.running.saturating_sub(1);
        let work_item = attempt_ref.item.work_item;
        work_item.attempt_ended(
            &mut self.dispatcher,
            &mut self.host,
            attempt_ref.attempt,
            outcome,
            is_answered,
        );
    }

    pub(super) fn send_full_list(&mut self, update: sagetrail_policy::ListUpdate) {
        let listing = self.machines.iter().map(|machine| machine.listing);
        let entries: Vec<_> = listing.enumerate().collect();
        self.dispatcher.update_list(self.host.now, update, &entries);
    }
}
