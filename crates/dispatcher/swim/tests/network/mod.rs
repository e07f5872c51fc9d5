//! Membership on a network of messages that are lost, doubled, late and out of order, by seed.

#![allow(dead_code)]
use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_swim::{
    Codec, Counters, Envelope, MemberState, Membership, Message, Outbox, Peer, SwimConfig,
    MAX_DATAGRAM_BYTES,
};

struct InFlight {
    from: usize,
    to: usize,
    /// The process of the receiver that it was sent to.
    process: u64,
    frame: Vec<u8>,
}

pub(crate) struct Network {
    pub now: f64,
    pub members: Vec<Option<Membership>>,
    roster: Vec<Peer>,
    queue: BTreeMap<(u64, u64), InFlight>,
    sent: u64,
    pub bytes: u64,
    pub random: Pcg64Mcg,
    pub loss: f64,
    pub duplication: f64,
    pub delay_s: (f64, f64),
    /// Links, from and to, that nothing passes.
    pub blocked: Vec<(usize, usize)>,
    pub paused: Vec<bool>,
    processes: Vec<u64>,
    codec: Codec,
}

pub(crate) fn roster(n: usize) -> Vec<Peer> {
    (0..n)
        .map(|m| Peer {
            name: format!("m{m}"),
            number: 1000 + m as u64,
            site: (m % 3) as u16,
        })
        .collect()
}

impl Network {
    pub(crate) fn new(n: usize, seed: u64) -> Network {
        let mut network = Network {
            now: 0.0,
            members: (0..n).map(|_| None).collect(),
            roster: roster(n),
            queue: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            delay_s: (0.0005, 0.002),
            blocked: Vec::new(),
            paused: vec![false; n],
            processes: vec![0; n],
            codec: Codec::new("test"),
        };
        (0..n).for_each(|who| network.start(who, 1000));
        network
    }

    pub(crate) fn start(&mut self, who: usize, incarnation: u64) {
        self.processes[who] += 1;
        let seed = self.random.random();
        self.members[who] = Some(Membership::new(
            SwimConfig::default(),
            self.roster.clone(),
            who,
            incarnation,
            seed,
            self.now,
        ));
    }

    pub(crate) fn stop(&mut self, who: usize) {
        self.members[who] = None;
    }

    fn send(&mut self, from: usize, outbox: Outbox) {
        for (to, message) in outbox {
            let Some(member) = &self.members[from] else {
                return;
            };
            let (number, incarnation) = (self.roster[from].number, member.incarnation());
            let envelope = Envelope {
                sender: number,
                process: self.processes[from],
                incarnation,
                sequence: self.sent,
            };
            let frame = self.codec.encode(&envelope, &message);
            assert!(frame.len() <= MAX_DATAGRAM_BYTES);
            self.bytes += frame.len() as u64;
            let copies = 1 + self.random.random_bool(self.duplication) as usize;
            for _ in 0..copies {
                if self.random.random_bool(self.loss) {
                    continue;
                }
                let late = self.random.random_range(self.delay_s.0..=self.delay_s.1);
                self.sent += 1;
                let at = ((self.now + late) * 1e6) as u64;
                self.queue.insert(
                    (at, self.sent),
                    InFlight {
                        from,
                        to,
                        process: self.processes[to],
                        frame: frame.clone(),
                    },
                );
            }
        }
    }

    /// Runs until the time, or until the test holds; true if it did.
    pub(crate) fn run_until(&mut self, end: f64, mut test: impl FnMut(&Network) -> bool) -> bool {
        loop {
            let awake = |who: &usize| !self.paused[*who] && self.members[*who].is_some();
            let due = |who: usize| {
                self.members[who]
                    .as_ref()
                    .map_or(f64::INFINITY, |m| m.due().max(self.now))
            };
            let next = (0..self.members.len())
                .filter(awake)
                .map(|who| (due(who), who));
            let next = next
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .unwrap_or((f64::INFINITY, 0));
            let frame = self
                .queue
                .first_key_value()
                .map_or(f64::INFINITY, |((at, _), _)| *at as f64 / 1e6);
            if next.0.min(frame) > end {
                self.now = end;
                return test(self);
            }
            let mut outbox = Outbox::new();
            if frame <= next.0 {
                self.now = frame.max(self.now);
                let Some((
                    key,
                    InFlight {
                        from,
                        to,
                        process,
                        frame,
                    },
                )) = self.queue.pop_first()
                else {
                    return false;
                };
                if self.blocked.contains(&(from, to)) || process != self.processes[to] {
                    continue;
                }
                if self.paused[to] {
                    // The socket's buffer keeps it: it is read at the end of the pause.
                    self.queue.insert(
                        (key.0 + 50_000, key.1),
                        InFlight {
                            from,
                            to,
                            process,
                            frame,
                        },
                    );
                    continue;
                }
                let (envelope, message): (Envelope, Message) =
                    self.codec.decode(&frame, MAX_DATAGRAM_BYTES).unwrap();
                let Some(member) = &mut self.members[to] else {
                    continue;
                };
                member.confirm_alive(self.now, from, envelope.incarnation);
                member
                    .receive(self.now, from, message, &mut outbox)
                    .unwrap();
                self.send(to, outbox);
            } else {
                self.now = next.0;
                self.members[next.1]
                    .as_mut()
                    .unwrap()
                    .tick(self.now, &mut outbox);
                self.send(next.1, outbox);
            }
            if test(self) {
                return true;
            }
        }
    }

    pub(crate) fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        self.run_until(end, |_| false);
    }

    pub(crate) fn state(&self, of: usize, by: usize) -> MemberState {
        self.members[by].as_ref().unwrap().view(of).state
    }

    pub(crate) fn all_hold(&self, of: usize, state: MemberState) -> bool {
        (0..self.members.len())
            .all(|by| by == of || self.members[by].is_none() || self.state(of, by) == state)
    }

    pub(crate) fn all_alive(&self) -> bool {
        (0..self.members.len()).all(|of| self.all_hold(of, MemberState::Alive))
    }

    pub(crate) fn counters(&self) -> Counters {
        let mut all = Counters::default();
        for counters in self.members.iter().flatten().map(|member| member.counters) {
            all.suspected += counters.suspected;
            all.refuted += counters.refuted;
            all.declared_dead += counters.declared_dead;
            all.self_suspected += counters.self_suspected;
            all.probes += counters.probes;
        }
        all
    }
}
