//! Members on a simulated network that loses, duplicates, delays and reorders messages, as determined by a seed.

#![allow(dead_code)]
use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_swim::{
    Codec, Counters, Envelope, MemberState, Membership, Message, Outbox, Peer, SwimConfig,
    MAX_DATAGRAM_BYTES,
};

/// Frame that was sent and has not arrived yet.
struct InFlight {
    from: usize,
    to: usize,
    /// Process of the receiver to which the frame was sent.
    process: u64,
    frame: Vec<u8>,
}

pub(crate) struct Network {
    /// Simulated time in seconds.
    pub now_s: f64,
    pub members: Vec<Option<Membership>>,
    roster: Vec<Peer>,
    /// Frames in flight by the time of arrival in microseconds and the number of the frame.
    queue: BTreeMap<(u64, u64), InFlight>,
    sent: u64,
    pub bytes: u64,
    pub random: Pcg64Mcg,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplication: f64,
    /// Minimum and maximum delay of a message in seconds.
    pub delay_s: (f64, f64),
    /// Links, from and to, that deliver nothing.
    pub blocked: Vec<(usize, usize)>,
    pub paused: Vec<bool>,
    processes: Vec<u64>,
    codec: Codec,
}

pub(crate) fn roster(member_count: usize) -> Vec<Peer> {
    (0..member_count)
        .map(|member| Peer {
            name: format!("m{member}"),
            number: 1000 + member as u64,
            site: (member % 3) as u16,
        })
        .collect()
}

impl Network {
    pub(crate) fn new(member_count: usize, seed: u64) -> Network {
        let mut network = Network {
            now_s: 0.0,
            members: (0..member_count).map(|_| None).collect(),
            roster: roster(member_count),
            queue: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            delay_s: (0.0005, 0.002),
            blocked: Vec::new(),
            paused: vec![false; member_count],
            processes: vec![0; member_count],
            codec: Codec::new("test"),
        };
        (0..member_count).for_each(|member| network.start(member, 1000));
        network
    }

    pub(crate) fn start(&mut self, member: usize, incarnation: u64) {
        self.processes[member] += 1;
        let seed = self.random.random();
        self.members[member] = Some(Membership::new(
            SwimConfig::default(),
            self.roster.clone(),
            member,
            incarnation,
            seed,
            self.now_s,
        ));
    }

    pub(crate) fn stop(&mut self, member: usize) {
        self.members[member] = None;
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
                let delay_s = self.random.random_range(self.delay_s.0..=self.delay_s.1);
                self.sent += 1;
                let arrival_us = ((self.now_s + delay_s) * 1e6) as u64;
                self.queue.insert(
                    (arrival_us, self.sent),
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

    /// Runs until the time `end`, in seconds, or until `test` returns true. Returns its last result.
    pub(crate) fn run_until(&mut self, end: f64, mut test: impl FnMut(&Network) -> bool) -> bool {
        loop {
            let is_running =
                |member: &usize| !self.paused[*member] && self.members[*member].is_some();
            let due = |member: usize| {
                self.members[member]
                    .as_ref()
                    .map_or(f64::INFINITY, |member| member.due().max(self.now_s))
            };
            let next = (0..self.members.len())
                .filter(is_running)
                .map(|member| (due(member), member));
            let next = next
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .unwrap_or((f64::INFINITY, 0));
            let frame = self
                .queue
                .first_key_value()
                .map_or(f64::INFINITY, |((arrival_us, _), _)| {
                    *arrival_us as f64 / 1e6
                });
            if next.0.min(frame) > end {
                self.now_s = end;
                return test(self);
            }
            let mut outbox = Outbox::new();
            if frame <= next.0 {
                self.now_s = frame.max(self.now_s);
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
                    // The socket's buffer keeps the frame, which is read at the end of the pause.
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
                member.confirm_alive(self.now_s, from, envelope.incarnation);
                member
                    .receive(self.now_s, from, message, &mut outbox)
                    .unwrap();
                self.send(to, outbox);
            } else {
                self.now_s = next.0;
                self.members[next.1]
                    .as_mut()
                    .unwrap()
                    .tick(self.now_s, &mut outbox);
                self.send(next.1, outbox);
            }
            if test(self) {
                return true;
            }
        }
    }

    pub(crate) fn run(&mut self, seconds: f64) {
        let end = self.now_s + seconds;
        self.run_until(end, |_| false);
    }

    pub(crate) fn state(&self, of: usize, by: usize) -> MemberState {
        self.members[by].as_ref().unwrap().view(of).state
    }

    pub(crate) fn all_see(&self, of: usize, state: MemberState) -> bool {
        (0..self.members.len())
            .all(|by| by == of || self.members[by].is_none() || self.state(of, by) == state)
    }

    pub(crate) fn all_alive(&self) -> bool {
        (0..self.members.len()).all(|of| self.all_see(of, MemberState::Alive))
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
