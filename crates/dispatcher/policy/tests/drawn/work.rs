//! Work as it arrives, and what of it is still held.
use super::{Held, History, News, Owed, Sent, LEAVERS};
use rand::Rng;
use sagetrail_policy::{Job, WorkItem};

impl History {
    pub(super) fn arrive(&mut self) -> bool {
        // A crowd in the middle of each twenty seconds.
        let crowd = (800..1_200).contains(&(self.step % 2_000));
        let arrives = self.chance(if crowd { 0.6 } else { 0.2 });
        if arrives {
            let job = self.draw_job();
            let work_item = self.dispatcher.submit(self.host.now, job).unwrap();
            self.hold(work_item);
        }
        arrives
    }

    fn draw_job(&mut self) -> Job {
        let key = self.random.random_range(0..20u32);
        let hinted = self.chance(0.5);
        let large = self.chance(0.1);
        Job {
            category: self.random.random_range(0..4),
            // Some keys are asked for more than others; one in twenty asks for none.
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

    fn hold(&mut self, work_item: WorkItem) {
        self.asked += 1;
        let number = self.asked;
        let held = Held {
            number,
            made: 0,
            left: false,
            out: None,
        };
        self.held.insert(work_item.0, held);
        if self.random.random_range(0..LEAVERS) == 0 {
            let after = self.span(0.1, 3.0);
            self.expect(after, News::Left(Owed { work_item, number }));
        }
    }

    pub(super) fn owes(&self, owed: Owed) -> bool {
        let held = self.held.get(&owed.work_item.0);
        held.is_some_and(|held| held.number == owed.number)
    }

    pub(super) fn is_out(&self, sent: Sent) -> bool {
        let held = self.held.get(&sent.owed.work_item.0);
        self.owes(sent.owed) && held.unwrap().out.is_some_and(|(no, _)| no == sent.no)
    }
}
