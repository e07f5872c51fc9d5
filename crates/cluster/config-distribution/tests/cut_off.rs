//! A relay that is cut off from the core, or stands still, while answers of the core are held up on their way: it
//! never says that its knowledge is younger than it is.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_config_distribution::Relay;
use sagetrail_protocol::distribution::{ConfigCurrent, ConfigUpdate, Subscribe};
use sagetrail_protocol::{Blob, Message, NodeId, Time};

const SCHEDULES: u64 = 300;
const TICK_MS: u64 = 5;
/// A configuration is taken this often, in milliseconds.
const CHANGE_MS: u64 = 700;
/// A core process hands out what it made sure of so long ago, at most, in milliseconds.
const HANDOUT_MS: u64 = 1_000;

fn node(number: u32) -> NodeId {
    NodeId {
        ip: number,
        port: 7380,
    }
}

/// A relay, its core processes 1 to 3, and a child that asks it.
struct Line {
    relay: Relay,
    now: Time,
    random: Pcg64Mcg,
    cut: bool,
    /// After the return nothing more is held up.
    returned: bool,
    /// Answers of the core on their way.
    coming: Vec<(Time, NodeId, Message)>,
    /// When each version, from 1 on, was taken.
    taken: Vec<Time>,
    violations: Vec<String>,
}

impl Line {
    fn new(seed: u64) -> Line {
        let mut relay = Relay::new(node(9), seed);
        relay.set_candidates(&[node(1), node(2), node(3)], &[]);
        Line {
            relay,
            now: Time(1),
            random: Pcg64Mcg::seed_from_u64(seed),
            cut: false,
            returned: false,
            coming: Vec::new(),
            taken: vec![Time(1)],
            violations: Vec::new(),
        }
    }

    fn newest_at(&self, moment: Time) -> u64 {
        self.taken.iter().filter(|taken| **taken <= moment).count() as u64
    }

    /// A core process answers by what it made sure of a while ago; some answers are held up for long.
    fn serve(&mut self, core: NodeId, subscribe: &Subscribe) {
        let age_ms = self.random.random_range(0..HANDOUT_MS);
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
        let held = !self.returned && self.random.random_bool(0.15);
        let way_ms = if held {
            self.random.random_range(1..22_000)
        } else {
            5
        };
        self.coming
            .push((self.now.plus_millis(way_ms), core, answer));
    }

    fn take(&mut self, from: NodeId, message: Message) {
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
            .coming
            .extract_if(.., |(at, _, _)| *at <= now)
            .collect();
        due.into_iter()
            .for_each(|(_, from, message)| self.take(from, message));
    }

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
        let told_us = current.age_ms.saturating_add(1).saturating_mul(1_000);
        let newest = self.newest_at(Time(self.now.0.saturating_sub(told_us)));
        if current.version < newest {
            self.violations
                .push(format!("{current:?} at {:?}, {newest} was there", self.now));
        }
    }

    fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_millis(span_ms);
        while self.now < end {
            self.now = self.now.plus_millis(TICK_MS);
            if self
                .taken
                .last()
                .is_some_and(|last| self.now >= last.plus_millis(CHANGE_MS))
            {
                self.taken.push(self.now);
            }
            self.deliver();
            for (core, message) in self.relay.wake(self.now) {
                if let (false, Message::Subscribe(subscribe)) = (self.cut, message) {
                    self.serve(core, &subscribe);
                }
            }
            self.check();
        }
    }

    /// The relay stands still, and goes on with what waited.
    fn freeze(&mut self, span_ms: u64) {
        let end = self.now.plus_millis(span_ms);
        while self
            .taken
            .last()
            .is_some_and(|last| end >= last.plus_millis(CHANGE_MS))
        {
            let last = *self.taken.last().unwrap();
            self.taken.push(last.plus_millis(CHANGE_MS));
        }
        self.now = end;
        self.deliver();
        self.check();
    }

    fn play(mut self) -> Vec<String> {
        self.run(3_000);
        let span_ms = self.random.random_range(1_000..22_000);
        if self.random.random_bool(0.5) {
            self.freeze(span_ms);
        } else {
            self.cut = true;
            self.run(span_ms);
            self.cut = false;
        }
        self.returned = true;
        self.run(3_000);
        let newest = self.newest_at(self.now);
        if self
            .relay
            .newest()
            .is_none_or(|(version, _)| version + 2 < newest)
        {
            self.violations
                .push("behind 3 s after the return".to_owned());
        }
        self.violations
    }
}

#[test]
fn a_relay_never_says_that_its_knowledge_is_younger_than_it_is() {
    let broken: Vec<(u64, Vec<String>)> = (0..SCHEDULES)
        .map(|seed| (seed, Line::new(seed).play()))
        .filter(|(_, found)| !found.is_empty())
        .collect();
    assert!(
        broken.is_empty(),
        "{} of {SCHEDULES} schedules; the first: {:?}",
        broken.len(),
        broken[0]
    );
}
