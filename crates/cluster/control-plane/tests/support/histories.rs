//! Long histories: many records, a steady rate of requests, and when a member holds what was acknowledged.

use super::speeds::Speeds;
use super::cluster::{World, CALM};
use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::Message;
use std::collections::VecDeque;

/// Keys of preloaded records begin here; requests are numbered from 1.
const PRELOADED: u64 = 1 << 40;
/// A member that holds what was acknowledged so long ago keeps up, in milliseconds.
const LAG_MS: u64 = 200;
const STEP_MS: u64 = 5;

/// A core with a history, under a steady rate of requests.
pub(crate) struct History {
    pub world: World,
    /// Requests a second.
    pub rate: u64,
    /// Bytes of a request.
    pub bytes: usize,
    sent: u64,
    owed_us: u64,
    rows: usize,
    /// How many requests were acknowledged at the end of each of the last steps.
    acked: VecDeque<usize>,
}

impl History {
    /// `count` members with so many records of so many bytes on their disks, which have elected an leader.
    pub(crate) fn new(
        count: usize,
        seed: u64,
        rows: usize,
        bytes: usize,
        speeds: Option<Speeds>,
    ) -> History {
        let mut world = World::founded(count, seed);
        (0..count).for_each(|index| world.power_off(index));
        let table: Vec<_> = (0..rows as u64)
            .map(|row| {
                (
                    (PRELOADED + row).to_be_bytes().to_vec(),
                    vec![row as u8; bytes],
                )
            })
            .collect();
        world
            .machines
            .iter_mut()
            .for_each(|machine| machine.disk.records.extend(table.iter().cloned()));
        world.run(1_000);
        (0..count).for_each(|index| world.start(index, false));
        world.weather = CALM;
        world.speeds = speeds;
        world.run(3_000);
        assert!(world.leader().is_some(), "nobody schedules");
        History {
            world,
            rate: 0,
            bytes,
            sent: 0,
            owed_us: 0,
            rows,
            acked: VecDeque::new(),
        }
    }

    /// Runs for so long under the rate.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(STEP_MS) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.owed_us += self.rate * STEP_MS * 1_000;
        while self.owed_us >= 1_000_000 {
            self.owed_us -= 1_000_000;
            self.sent += 1;
            if let Some(leader) = self.world.leader() {
                self.world.client_with(leader, self.sent, self.bytes);
            }
        }
        self.world.run(STEP_MS);
        self.acked.push_back(self.world.acked());
        if self.acked.len() as u64 > LAG_MS / STEP_MS {
            self.acked.pop_front();
        }
    }

    /// Whether a member has on disk all that was acknowledged a little ago.
    pub(crate) fn keeps_up(&self, index: usize) -> bool {
        let wanted = self.rows + self.acked.front().copied().unwrap_or_default();
        self.world.machines[index].disk.records.len() >= wanted
    }

    /// Runs until these members keep up; for each the time that took, `None` where it took longer than the limit.
    pub(crate) fn catch_up(&mut self, members: &[usize], limit_ms: u64) -> Vec<Option<u64>> {
        let mut times = vec![None; members.len()];
        for at in (STEP_MS..=limit_ms).step_by(STEP_MS as usize) {
            self.step();
            for (place, member) in members.iter().enumerate() {
                if times[place].is_none() && self.keeps_up(*member) {
                    times[place] = Some(at);
                }
            }
            if times.iter().all(Option::is_some) {
                break;
            }
        }
        times
    }

    /// Ends the load; then all members that run hold the same.
    pub(crate) fn finish(&mut self, context: &str) {
        self.rate = 0;
        self.world.run(6_000);
        let leader = self
            .world
            .leader()
            .unwrap_or_else(|| panic!("{context}: nobody schedules"));
        let wanted = self.world.machines[leader].disk.records.clone();
        assert!(
            wanted.len() >= self.rows + self.world.acked(),
            "{context}: the owner lacks records"
        );
        for machine in self
            .world
            .machines
            .iter()
            .filter(|machine| machine.node.is_some())
        {
            assert!(
                machine.disk.records == wanted,
                "{context}: {} differs from the owner",
                machine.id
            );
        }
    }

    /// Members other than the leader, in order.
    pub(crate) fn followers(&self) -> Vec<usize> {
        let leader = self.world.leader().unwrap();
        (0..self.world.machines.len())
            .filter(|index| *index != leader)
            .collect()
    }
}

/// The message among core processes, if it is one.
pub(crate) fn control(message: &mut Message) -> Option<&mut ControlMessage> {
    match message {
        Message::Control(control) => Some(control),
        _ => None,
    }
}
