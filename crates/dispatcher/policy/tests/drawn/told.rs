//! What the dispatcher is told.
use super::{History, News, Sent};
use sagetrail_policy::Outcome;

impl History {
    pub(super) fn tell(&mut self) -> bool {
        let mut told = false;
        while let Some(entry) = self.coming.first_entry() {
            if entry.key().0 > self.step {
                break;
            }
            let news = entry.remove();
            self.tell_one(news);
            told = true;
        }
        told
    }

    fn tell_one(&mut self, news: News) {
        let now = self.host.now;
        match news {
            News::Accepted(sent) if self.is_out(sent) => {
                sent.owed
                    .work_item
                    .accepted(&mut self.dispatcher, now, sent.no);
            }
            News::Started(sent) if self.is_out(sent) => self.start(sent),
            News::Progressed(sent, share) if self.is_out(sent) => {
                let work_item = sent.owed.work_item;
                work_item.progressed(&mut self.dispatcher, now, sent.no, share);
            }
            News::Came(sent, outcome) if self.is_out(sent) => self.come(sent, outcome),
            News::Left(owed) if self.owes(owed) => {
                self.held.get_mut(&owed.work_item.0).unwrap().left = true;
                owed.work_item
                    .client_left(&mut self.dispatcher, &mut self.host);
            }
            News::Probed(runner, outcome, report) => {
                self.dispatcher.probe_ended(now, runner, outcome, &report);
            }
            News::Listed(runner, listed) => {
                let changes = sagetrail_policy::ListUpdate::Changes;
                self.dispatcher
                    .update_list(now, changes, &[(runner, listed)]);
            }
            News::WholeList => self.tell_whole_list(sagetrail_policy::ListUpdate::Full),
            News::ListFailed => self.dispatcher.discovery_failed(now),
            _ => {}
        }
    }

    fn start(&mut self, sent: Sent) {
        let (_, runner) = self.held[&sent.owed.work_item.0].out.unwrap();
        self.machines[runner].running += 1;
        let work_item = sent.owed.work_item;
        work_item.started(&mut self.dispatcher, self.host.now, sent.no);
    }

    fn come(&mut self, sent: Sent, outcome: Outcome) {
        let held = self.held.get_mut(&sent.owed.work_item.0).unwrap();
        let (_, runner) = held.out.take().unwrap();
        let settled = held.left || outcome == Outcome::Finished;
        let machine = &mut self.machines[runner];
        machine.running = machine.running.saturating_sub(1);
        let work_item = sent.owed.work_item;
        work_item.attempt_ended(
            &mut self.dispatcher,
            &mut self.host,
            sent.no,
            outcome,
            settled,
        );
    }

    pub(super) fn tell_whole_list(&mut self, news: sagetrail_policy::ListUpdate) {
        let listed = self.machines.iter().map(|machine| machine.listed);
        let entries: Vec<_> = listed.enumerate().collect();
        self.dispatcher.update_list(self.host.now, news, &entries);
    }
}
