//! Guards against a relay that understates the age of its configuration. This could come about when the relay is cut
//! off from the core, or its process is suspended, while answers of the core are delayed on the network.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_config_distribution::Relay;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use sagetrail_protocol::{Blob, Message, NodeId, Time};

const SCHEDULES: u64 = 300;
/// The step of the simulated time, in milliseconds.
const TICK_MS: u64 = 5;
/// The interval at which the core adopts a new configuration, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 700;
/// The maximum age of the confirmation on which a core process bases its answers, in milliseconds.
const MAX_CONFIRMATION_AGE_MS: u64 = 1_000;

fn node(number: u32) -> NodeId {
    NodeId {
        ip: number,
        port: 7380,
    }
}

/// A relay, its core processes 1 to 3, and a child that sends it subscriptions.
struct RelayModel {
    relay: Relay,
    now: Time,
    random: Pcg64Mcg,
    /// Whether the relay is cut off from the core.
    is_cut_off: bool,
    /// Whether the outage is over; no further answer is delayed after it.
    has_returned: bool,
    /// The answers of the core in transit, with their arrival times.
    in_transit: Vec<(Time, NodeId, Message)>,
    /// The time at which the core adopted each version, from version 1 on.
    adopted_at: Vec<Time>,
    violations: Vec<String>,
}

impl RelayModel {
    fn new(seed: u64) -> RelayModel {
        let mut relay = Relay::new(node(9), seed);
        relay.set_candidates(&[node(1), node(2), node(3)], &[]);
        RelayModel {
            relay,
            now: Time(1),
            random: Pcg64Mcg::seed_from_u64(seed),
            is_cut_off: false,
            has_returned: false,
            in_transit: Vec::new(),
            adopted_at: vec![Time(1)],
            violations: Vec::new(),
        }
    }

    /// Returns the newest version at `time`.
    fn newest_at(&self, time: Time) -> u64 {
        self.adopted_at
            .iter()
            .filter(|adopted| **adopted <= time)
            .count() as u64
    }

    /// Answers a subscription as a core process whose confirmation is up to [`MAX_CONFIRMATION_AGE_MS`] old. Some
    /// answers are delayed for a long time.
    fn answer_subscribe(&mut self, core: NodeId, subscribe: &Subscribe) {
        let age_ms = self.random.random_range(0..MAX_CONFIRMATION_AGE_MS);
        let version = self.newest_at(Time(self.now.0.saturating_sub(age_ms * 1_000)));
        let answer = if version > subscribe.known_version {
            Message::ConfigUpdate(ConfigUpdate {
                version,
                document: Blob(vec![1]),
            })
        } else {
            Message::ConfigCurrent(ConfigCurrent {
                version,
                age_ms,
                asked_at: subscribe.asked_at,
            })
        };
        let is_delayed = !self.has_returned && self.random.random_bool(0.15);
        let delay_ms = if is_delayed {
            self.random.random_range(1..22_000)
        } else {
            5
        };
        self.in_transit
            .push((self.now.plus_millis(delay_ms), core, answer));
    }

    fn receive(&mut self, from: NodeId, message: Message) {
        match message {
            Message::ConfigUpdate(update) => {
                drop(self.relay.receive_update(from, update, self.now))
            }
            Message::ConfigCurrent(current) => self.relay.receive_current(from, &current, self.now),
            _ => {}
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(at, _, _)| *at <= now)
            .collect();
        due.into_iter()
            .for_each(|(_, from, message)| self.receive(from, message));
    }

    /// Records a violation if the relay tells its child an age at which the core had a newer version.
    fn check(&mut self) {
        let answers = self.relay.receive_subscribe(
            node(20),
            Subscribe {
                known_version: u64::MAX,
                asked_at: 0,
            },
            self.now,
        );
        let Some((_, Message::ConfigCurrent(current))) = answers.last() else {
            return;
        };
        let reported_age_us = current.age_ms.saturating_add(1).saturating_mul(1_000);
        let newest = self.newest_at(Time(self.now.0.saturating_sub(reported_age_us)));
        if current.version < newest {
            self.violations.push(format!(
                "{current:?} at {:?}, but the core had version {newest}",
                self.now
            ));
        }
    }

    fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_millis(span_ms);
        while self.now < end {
            self.now = self.now.plus_millis(TICK_MS);
            if self
                .adopted_at
                .last()
                .is_some_and(|last| self.now >= last.plus_millis(CHANGE_INTERVAL_MS))
            {
                self.adopted_at.push(self.now);
            }
            self.deliver();
            for (core, message) in self.relay.wake(self.now) {
                if let (false, Message::Subscribe(subscribe)) = (self.is_cut_off, message) {
                    self.answer_subscribe(core, &subscribe);
                }
            }
            self.check();
        }
    }

    /// Suspends the relay; the answers that arrive meanwhile are delivered afterwards.
    fn suspend(&mut self, span_ms: u64) {
        let end = self.now.plus_millis(span_ms);
        while self
            .adopted_at
            .last()
            .is_some_and(|last| end >= last.plus_millis(CHANGE_INTERVAL_MS))
        {
            let last = *self.adopted_at.last().unwrap();
            self.adopted_at.push(last.plus_millis(CHANGE_INTERVAL_MS));
        }
        self.now = end;
        self.deliver();
        self.check();
    }

    /// Suspends the relay or cuts it off once and returns the violations.
    fn find_violations(mut self) -> Vec<String> {
        self.run(3_000);
        let span_ms = self.random.random_range(1_000..22_000);
        if self.random.random_bool(0.5) {
            self.suspend(span_ms);
        } else {
            self.is_cut_off = true;
            self.run(span_ms);
            self.is_cut_off = false;
        }
        self.has_returned = true;
        self.run(3_000);
        let newest = self.newest_at(self.now);
        if self
            .relay
            .newest()
            .is_none_or(|(version, _)| version + 2 < newest)
        {
            self.violations
                .push("an old version 3 s after the return".to_owned());
        }
        self.violations
    }
}

#[test]
fn a_relay_never_understates_the_age_of_its_configuration() {
    let failed: Vec<(u64, Vec<String>)> = (0..SCHEDULES)
        .map(|seed| (seed, RelayModel::new(seed).find_violations()))
        .filter(|(_, found)| !found.is_empty())
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {SCHEDULES} schedules have violations; the first: {:?}",
        failed.len(),
        failed[0]
    );
}
