//! Clusters with many records under a steady rate of requests, and the time at which a member has all acknowledged
//! ones.

use super::cluster::Cluster;
use super::network::FAULT_FREE;
use super::speeds::Speeds;
use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::Message;
use std::collections::VecDeque;

/// The first key of the preloaded records. Requests are numbered from 1.
const PRELOADED: u64 = 1 << 40;
/// A member counts as caught up if it has all records that were acknowledged this long ago, in milliseconds.
const LAG_MS: u64 = 200;
/// The duration of a step, in milliseconds.
const STEP_MS: u64 = 5;

/// A cluster with preloaded records, under a steady rate of requests.
pub(crate) struct History {
    pub cluster: Cluster,
    /// The number of requests per second.
    pub rate: u64,
    /// The size of a request's body, in bytes.
    pub bytes: usize,
    /// The number of requests that were sent.
    sent: u64,
    /// The requests that are due and not sent yet, in millionths of a request.
    accrued_us: u64,
    /// The number of preloaded records.
    rows: usize,
    /// The number of acknowledged requests at the end of each of the last steps.
    acked: VecDeque<usize>,
}

impl History {
    /// Creates `count` members that have `rows` records of `bytes` bytes each on their disks and have elected a leader.
    pub(crate) fn new(
        count: usize,
        seed: u64,
        rows: usize,
        bytes: usize,
        speeds: Option<Speeds>,
    ) -> History {
        let mut cluster = Cluster::bootstrapped(count, seed);
        (0..count).for_each(|index| cluster.power_off(index));
        let table: Vec<_> = (0..rows as u64)
            .map(|row| {
                (
                    (PRELOADED + row).to_be_bytes().to_vec(),
                    vec![row as u8; bytes],
                )
            })
            .collect();
        cluster
            .machines
            .iter_mut()
            .for_each(|machine| machine.disk.records.extend(table.iter().cloned()));
        cluster.run(1_000);
        (0..count).for_each(|index| cluster.start(index, false));
        cluster.conditions = FAULT_FREE;
        cluster.speeds = speeds;
        cluster.run(3_000);
        assert!(cluster.leader().is_some(), "no leader");
        History {
            cluster,
            rate: 0,
            bytes,
            sent: 0,
            accrued_us: 0,
            rows,
            acked: VecDeque::new(),
        }
    }

    /// Runs for at least `millis` milliseconds under the rate of requests.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(STEP_MS) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.accrued_us += self.rate * STEP_MS * 1_000;
        while self.accrued_us >= 1_000_000 {
            self.accrued_us -= 1_000_000;
            self.sent += 1;
            if let Some(leader) = self.cluster.leader() {
                self.cluster.submit_bytes(leader, self.sent, self.bytes);
            }
        }
        self.cluster.run(STEP_MS);
        self.acked.push_back(self.cluster.acked());
        if self.acked.len() as u64 > LAG_MS / STEP_MS {
            self.acked.pop_front();
        }
    }

    /// Returns whether a member has all records on disk that were acknowledged `LAG_MS` ago.
    pub(crate) fn is_caught_up(&self, index: usize) -> bool {
        let wanted = self.rows + self.acked.front().copied().unwrap_or_default();
        self.cluster.machines[index].disk.records.len() >= wanted
    }

    /// Runs until the given members have caught up. Returns the time in milliseconds that each of them took, or `None`
    /// if it took longer than the limit.
    pub(crate) fn catch_up(&mut self, members: &[usize], limit_ms: u64) -> Vec<Option<u64>> {
        let mut times = vec![None; members.len()];
        for at in (STEP_MS..=limit_ms).step_by(STEP_MS as usize) {
            self.step();
            for (place, member) in members.iter().enumerate() {
                if times[place].is_none() && self.is_caught_up(*member) {
                    times[place] = Some(at);
                }
            }
            if times.iter().all(Option::is_some) {
                break;
            }
        }
        times
    }

    /// Ends the load and checks that all running members then have the same records.
    pub(crate) fn finish(&mut self, context: &str) {
        self.rate = 0;
        self.cluster.run(6_000);
        let leader = self
            .cluster
            .leader()
            .unwrap_or_else(|| panic!("{context}: no leader"));
        let wanted = self.cluster.machines[leader].disk.records.clone();
        assert!(
            wanted.len() >= self.rows + self.cluster.acked(),
            "{context}: the leader lacks records"
        );
        for machine in self
            .cluster
            .machines
            .iter()
            .filter(|machine| machine.node.is_some())
        {
            assert!(
                machine.disk.records == wanted,
                "{context}: {} differs from the leader",
                machine.id
            );
        }
    }

    /// Returns the members other than the leader, in order.
    pub(crate) fn followers(&self) -> Vec<usize> {
        let leader = self.cluster.leader().unwrap();
        (0..self.cluster.machines.len())
            .filter(|index| *index != leader)
            .collect()
    }
}

/// Returns the control message in a message, if it is one.
pub(crate) fn control(message: &mut Message) -> Option<&mut ControlMessage> {
    match message {
        Message::Control(control) => Some(control),
        _ => None,
    }
}
