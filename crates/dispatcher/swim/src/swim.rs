//! The membership protocol. Each period one member is probed, in a shuffled round; who does not answer is probed
//! through others, then suspected, then held dead; the accused refutes by a higher incarnation. How long all that
//! takes grows with how badly this member itself has fared of late (Lifeguard), since a slow accuser is as common
//! as a dead accused. The roster is fixed: a name that nobody configured is nobody.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SwimConfig {
    /// A probe each so often.
    pub probe_interval_s: f64,
    /// A probe's answer is waited for this long before others are asked to try.
    pub ack_timeout_s: f64,
    /// How many others are asked.
    pub indirect_probes: usize,
}

impl Default for SwimConfig {
    /// 0.3 s: a dead one of three is suspected within a second; two datagrams a period are nothing. 0.1 s: many
    /// round trips on a private network.
    fn default() -> Self {
        SwimConfig {
            probe_interval_s: 0.3,
            ack_timeout_s: 0.1,
            indirect_probes: 3,
        }
    }
}

/// Lifeguard's figures: suspicion lasts 4 log10(n) periods where many accuse, 6 times that where one does.
const SUSPICION: f64 = 4.0;
const ALONE: f64 = 6.0;
/// So many independent accusers make suspicion shortest.
const ACCUSERS: usize = 3;
/// Local health runs from 0 to 8: all times are 1 to 9 times as long.
const WORST: u32 = 8;
/// An update is passed on 4 log2(n) times (SWIM's lambda log n).
const TOLD: f64 = 4.0;
/// Updates in one message: some 20 bytes each, a third of a datagram.
const UPDATES: usize = 20;
/// The dead are probed in one round of so many, so that two halves find each other again.
const REVIVE: u32 = 4;
/// A message's figures beyond this come from no clock: the year 2200 in milliseconds.
const LATEST: u64 = 7_300_000_000_000;

/// One who may be there.
#[derive(Clone, Debug)]
pub struct Peer {
    pub name: String,
    /// A hash of its name, by which it goes on the links.
    pub number: u64,
    pub site: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Never heard of.
    Unknown,
    Alive,
    Suspect,
    Dead,
}

impl MemberState {
    /// The spelling on the operators' page of members.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Unknown => "unknown",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
        }
    }
}

/// What one says of another; of `reporter` who suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub member: u64,
    pub incarnation: u64,
    pub state: MemberState,
    pub reporter: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Ping {
        sequence: u32,
        updates: Vec<Update>,
    },
    Ack {
        sequence: u32,
        updates: Vec<Update>,
    },
    /// Probe `target` for me.
    PingReq {
        sequence: u32,
        target: u64,
        updates: Vec<Update>,
    },
    /// I could not reach it either: says that I am well myself.
    Nack {
        sequence: u32,
    },
}

/// How one member stands in another's eyes.
#[derive(Clone, Debug)]
pub struct MemberView {
    pub state: MemberState,
    pub incarnation: u64,
    /// Since when, and when it was last heard itself; seconds on the caller's clock.
    pub since: f64,
    pub last_received: f64,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub probes: u64,
    pub suspected: u64,
    /// Of those, refuted: nobody had died.
    pub refuted: u64,
    pub declared_dead: u64,
    /// This member was suspected by others while it lived.
    pub self_suspected: u64,
    pub stalls: u64,
}

struct Suspicion {
    until: f64,
    from: f64,
    accusers: Vec<u64>,
}

struct Probe {
    who: usize,
    sequence: u32,
    until: f64,
    /// Others have been asked; how many of them could not reach it but said so.
    asked: usize,
    neither: usize,
    end: f64,
}

/// A probe made for another.
struct Favour {
    sequence: u32,
    theirs: u32,
    asker: usize,
    until: f64,
}

pub struct Membership {
    pace: SwimConfig,
    me: usize,
    incarnation: u64,
    roster: Vec<Peer>,
    numbers: BTreeMap<u64, usize>,
    seen: Vec<MemberView>,
    suspicions: BTreeMap<usize, Suspicion>,
    /// What is still to be told, and how often.
    news: BTreeMap<usize, (Update, u32)>,
    round: Vec<usize>,
    rounds: u32,
    probe: Option<Probe>,
    favours: Vec<Favour>,
    next: f64,
    last: f64,
    sequence: u32,
    health: u32,
    chance: Pcg64Mcg,
    pub counters: Counters,
}

pub type Outbox = Vec<(usize, Message)>;

impl Membership {
    /// `me` is this member's place in the roster; `incarnation` must not lie under an earlier process's of the
    /// same name: milliseconds of Unix time do, and where a clock was set back, hearing of itself mends it.
    pub fn new(
        pace: SwimConfig,
        roster: Vec<Peer>,
        me: usize,
        incarnation: u64,
        seed: u64,
        now: f64,
    ) -> Self {
        let unknown = MemberView {
            state: MemberState::Unknown,
            incarnation: 0,
            since: now,
            last_received: f64::NEG_INFINITY,
        };
        let mut seen = vec![unknown; roster.len()];
        seen[me] = MemberView {
            state: MemberState::Alive,
            incarnation,
            since: now,
            last_received: now,
        };
        let numbers = roster
            .iter()
            .enumerate()
            .map(|(n, peer)| (peer.number, n))
            .collect();
        let mut chance = Pcg64Mcg::seed_from_u64(seed ^ roster[me].number);
        // Spread, so that a fleet started at once does not probe at once.
        let next = now + pace.probe_interval_s * chance.random::<f64>();
        let mut members = Membership {
            pace,
            me,
            incarnation,
            roster,
            numbers,
            seen,
            suspicions: BTreeMap::new(),
            news: BTreeMap::new(),
            round: Vec::new(),
            rounds: 0,
            probe: None,
            favours: Vec::new(),
            next,
            last: now,
            sequence: 0,
            health: 0,
            chance,
            counters: Counters::default(),
        };
        members.spread(me);
        members
    }

    pub fn own_index(&self) -> usize {
        self.me
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn roster(&self) -> &[Peer] {
        &self.roster
    }

    pub fn index_of(&self, number: u64) -> Option<usize> {
        self.numbers.get(&number).copied()
    }

    pub fn view(&self, who: usize) -> &MemberView {
        &self.seen[who]
    }

    /// How badly this member itself fares: 0 well, 8 worst.
    pub fn local_health(&self) -> u32 {
        self.health
    }

    /// Alive or only suspected: worth sending to. Who was never heard of may be there too.
    pub fn is_reachable(&self, who: usize) -> bool {
        who != self.me && self.seen[who].state != MemberState::Dead
    }

    pub fn live_count(&self) -> usize {
        self.seen
            .iter()
            .filter(|seen| matches!(seen.state, MemberState::Alive | MemberState::Suspect))
            .count()
    }

    pub fn due(&self) -> f64 {
        let probe = self
            .probe
            .as_ref()
            .map_or(f64::INFINITY, |probe| match probe.asked {
                0 => probe.until.min(probe.end),
                _ => probe.end,
            });
        let suspicion = self
            .suspicions
            .values()
            .map(|s| s.until)
            .fold(f64::INFINITY, f64::min);
        self.next.min(probe).min(suspicion)
    }

    fn slower(&self) -> f64 {
        1.0 + self.health as f64
    }

    fn fares(&mut self, worse: bool) {
        self.health = if worse {
            (self.health + 1).min(WORST)
        } else {
            self.health.saturating_sub(1)
        };
    }

    fn log_n(&self) -> f64 {
        (self.roster.len() as f64).log2().max(1.0)
    }

    fn spread(&mut self, who: usize) {
        let MemberView {
            state, incarnation, ..
        } = self.seen[who];
        let (number, by) = (self.roster[who].number, self.roster[self.me].number);
        let times = (TOLD * self.log_n()).ceil() as u32;
        self.news.insert(
            who,
            (
                Update {
                    member: number,
                    incarnation,
                    state,
                    reporter: by,
                },
                times,
            ),
        );
    }

    /// What goes along with a message: first what was told least.
    fn updates(&mut self) -> Vec<Update> {
        let mut order: Vec<(u32, usize)> = self
            .news
            .iter()
            .map(|(who, (_, left))| (u32::MAX - left, *who))
            .collect();
        order.sort_unstable();
        let told: Vec<usize> = order
            .into_iter()
            .take(UPDATES)
            .map(|(_, who)| who)
            .collect();
        let mut updates = Vec::with_capacity(told.len());
        for who in told {
            let Some((update, left)) = self.news.get_mut(&who) else {
                continue;
            };
            updates.push(*update);
            *left -= 1;
            if *left == 0 {
                self.news.remove(&who);
            }
        }
        updates
    }

    /// All that is known, for a whole exchange.
    pub fn full_state(&self) -> Vec<Update> {
        let by = self.roster[self.me].number;
        let known = self
            .seen
            .iter()
            .zip(&self.roster)
            .filter(|(seen, _)| seen.state != MemberState::Unknown);
        known
            .map(|(seen, peer)| Update {
                member: peer.number,
                incarnation: seen.incarnation,
                state: seen.state,
                reporter: by,
            })
            .collect()
    }

    /// Some frame of this member has come itself: it lives, whatever is said of it.
    pub fn confirm_alive(&mut self, now: f64, who: usize, incarnation: u64) {
        if who != self.me {
            self.seen[who].last_received = now;
            self.believe(now, who, incarnation, MemberState::Alive, 0);
        }
    }

    /// Takes up what is said, by SWIM's order: a higher incarnation goes before all; at the same one dead goes
    /// before suspect, that before alive. What is said of this member itself is refuted.
    fn believe(&mut self, now: f64, who: usize, incarnation: u64, state: MemberState, by: u64) {
        if who == self.me {
            if state != MemberState::Alive && incarnation >= self.incarnation {
                self.incarnation = incarnation + 1;
                self.seen[who].incarnation = self.incarnation;
                self.spread(who);
                self.counters.self_suspected += 1;
                // Guards against a member so slow that it is thought dead blaming others in turn.
                self.fares(true);
            } else if incarnation > self.incarnation {
                // Guards against an earlier process's incarnation from a clock that was ahead of this one's.
                self.incarnation = incarnation + 1;
                self.seen[who].incarnation = self.incarnation;
                self.spread(who);
            }
            return;
        }
        let rank = |state: MemberState| match state {
            MemberState::Unknown => 0,
            MemberState::Alive => 1,
            MemberState::Suspect => 2,
            MemberState::Dead => 3,
        };
        let seen = &self.seen[who];
        if state == MemberState::Suspect
            && seen.state == MemberState::Suspect
            && incarnation == seen.incarnation
        {
            return self.accuse(who, by);
        }
        let newer = incarnation > seen.incarnation || seen.state == MemberState::Unknown;
        if !newer && (incarnation < seen.incarnation || rank(state) <= rank(seen.state)) {
            // Who speaks under an incarnation that is held dead, or an older one, is told so and refutes.
            if state == MemberState::Alive && rank(self.seen[who].state) > 1 {
                self.spread(who);
            }
            return;
        }
        let was = std::mem::replace(&mut self.seen[who].state, state);
        (self.seen[who].incarnation, self.seen[who].since) = (incarnation, now);
        if self.suspicions.remove(&who).is_some() && state == MemberState::Alive {
            self.counters.refuted += 1;
        }
        match state {
            MemberState::Suspect => {
                self.counters.suspected += 1;
                let least = SUSPICION
                    * (self.roster.len() as f64).log10().max(1.0)
                    * self.pace.probe_interval_s;
                let until = now + ALONE * least * self.slower();
                self.suspicions.insert(
                    who,
                    Suspicion {
                        until,
                        from: now,
                        accusers: Vec::new(),
                    },
                );
                self.accuse(who, by);
            }
            MemberState::Dead if was != MemberState::Dead => self.counters.declared_dead += 1,
            _ => {}
        }
        self.spread(who);
    }

    /// One more accuser: the more there are, the sooner it is believed.
    fn accuse(&mut self, who: usize, by: u64) {
        let least = SUSPICION
            * (self.roster.len() as f64).log10().max(1.0)
            * self.pace.probe_interval_s
            * self.slower();
        let most = ALONE * least;
        let Some(suspicion) = self.suspicions.get_mut(&who) else {
            return;
        };
        if suspicion.accusers.contains(&by) || suspicion.accusers.len() > ACCUSERS {
            return;
        }
        suspicion.accusers.push(by);
        let others = (suspicion.accusers.len() - 1) as f64;
        let part = (others + 1.0).ln() / (ACCUSERS as f64 + 1.0).ln();
        suspicion.until = suspicion.from + (most - (most - least) * part).max(least);
        self.spread(who);
    }

    /// Updates as they came; one that cannot be is passed over.
    pub fn apply_updates(&mut self, now: f64, updates: &[Update]) -> bool {
        let mut sound = updates.len() <= self.roster.len().max(UPDATES);
        for update in updates.iter().take(self.roster.len().max(UPDATES)) {
            let Some(who) = self.index_of(update.member) else {
                sound = false;
                continue;
            };
            if update.incarnation > LATEST || update.state == MemberState::Unknown {
                sound = false;
                continue;
            }
            // Guards against one that tells of a death it only heard of from nobody: it is suspected first,
            // unless it already was here.
            let state = match update.state {
                MemberState::Dead
                    if self.seen[who].state == MemberState::Alive
                        && update.incarnation == self.seen[who].incarnation =>
                {
                    MemberState::Suspect
                }
                state => state,
            };
            self.believe(now, who, update.incarnation, state, update.reporter);
        }
        sound
    }

    /// A message of `from` has come; what is to be sent for it goes to `post`. False for one that cannot be.
    pub fn receive(&mut self, now: f64, from: usize, message: Message, post: &mut Outbox) -> bool {
        match message {
            Message::Ping { sequence, updates } => {
                let sound = self.apply_updates(now, &updates);
                let updates = self.updates();
                post.push((from, Message::Ack { sequence, updates }));
                sound
            }
            Message::Ack { sequence, updates } => {
                let sound = self.apply_updates(now, &updates);
                if self
                    .probe
                    .as_ref()
                    .is_some_and(|probe| probe.sequence == sequence)
                {
                    self.probe = None;
                    self.fares(false);
                }
                if let Some(at) = self
                    .favours
                    .iter()
                    .position(|favour| favour.sequence == sequence)
                {
                    let favour = self.favours.swap_remove(at);
                    post.push((
                        favour.asker,
                        Message::Ack {
                            sequence: favour.theirs,
                            updates: Vec::new(),
                        },
                    ));
                }
                sound
            }
            Message::PingReq {
                sequence,
                target: who,
                updates,
            } => {
                let sound = self.apply_updates(now, &updates);
                let Some(who) = self.index_of(who).filter(|who| *who != self.me) else {
                    return false;
                };
                // Bounded: a few a member at once are more than the protocol asks for.
                if self.favours.len() < 4 * self.roster.len() {
                    self.sequence += 1;
                    let until = now + self.pace.ack_timeout_s;
                    self.favours.push(Favour {
                        sequence: self.sequence,
                        theirs: sequence,
                        asker: from,
                        until,
                    });
                    let updates = self.updates();
                    post.push((
                        who,
                        Message::Ping {
                            sequence: self.sequence,
                            updates,
                        },
                    ));
                }
                sound
            }
            Message::Nack { sequence } => {
                if let Some(probe) = self
                    .probe
                    .as_mut()
                    .filter(|probe| probe.sequence == sequence)
                {
                    probe.neither += 1;
                }
                true
            }
        }
    }

    /// What time alone brings; call when `due`.
    pub fn tick(&mut self, now: f64, post: &mut Outbox) {
        let late = now - self.due().max(self.last);
        self.last = now;
        // Guards against a process that was paused, or had no core: what it did not hear meanwhile says nothing
        // of others. Everything waits as much longer, and its own health suffers.
        if late > 2.0 * self.pace.probe_interval_s {
            self.counters.stalls += 1;
            self.fares(true);
            self.probe = None;
            self.favours.clear();
            self.suspicions.values_mut().for_each(|s| {
                s.until += late;
                s.from += late;
            });
            self.next = now;
        }
        for at in (0..self.favours.len()).rev() {
            if self.favours[at].until <= now {
                let favour = self.favours.swap_remove(at);
                post.push((
                    favour.asker,
                    Message::Nack {
                        sequence: favour.theirs,
                    },
                ));
            }
        }
        self.ask_others(now, post);
        self.give_up(now);
        let over: Vec<usize> = self
            .suspicions
            .iter()
            .filter(|(_, s)| s.until <= now)
            .map(|(who, _)| *who)
            .collect();
        for who in over {
            let incarnation = self.seen[who].incarnation;
            self.believe(
                now,
                who,
                incarnation,
                MemberState::Dead,
                self.roster[self.me].number,
            );
        }
        if now >= self.next {
            self.next = now + self.pace.probe_interval_s * self.slower();
            self.begin(now, post);
        }
    }

    fn begin(&mut self, now: f64, post: &mut Outbox) {
        let Some(who) = self.choose() else { return };
        self.sequence += 1;
        self.counters.probes += 1;
        let until = now + self.pace.ack_timeout_s * self.slower();
        // The answer through others has what is left of the period.
        let end = (now + 0.95 * self.pace.probe_interval_s * self.slower()).max(until);
        self.probe = Some(Probe {
            who,
            sequence: self.sequence,
            until,
            asked: 0,
            neither: 0,
            end,
        });
        let updates = self.updates();
        post.push((
            who,
            Message::Ping {
                sequence: self.sequence,
                updates,
            },
        ));
    }

    /// A shuffled round over all others: each is probed within n periods (SWIM's bounded time). The dead are in
    /// every fourth round.
    fn choose(&mut self) -> Option<usize> {
        if self.round.is_empty() {
            self.rounds += 1;
            let dead = self.rounds.is_multiple_of(REVIVE);
            let asked = |who: &usize| {
                *who != self.me && (dead || self.seen[*who].state != MemberState::Dead)
            };
            self.round = (0..self.roster.len()).filter(asked).collect();
            for at in (1..self.round.len()).rev() {
                let other = self.chance.random_range(0..=at);
                self.round.swap(at, other);
            }
        }
        self.round.pop()
    }

    fn ask_others(&mut self, now: f64, post: &mut Outbox) {
        let Some(Probe {
            who,
            sequence,
            asked: 0,
            ..
        }) = self.probe.as_ref().filter(|probe| probe.until <= now)
        else {
            return;
        };
        let (who, sequence) = (*who, *sequence);
        let mut able: Vec<usize> = (0..self.roster.len())
            .filter(|&n| {
                n != who && self.is_reachable(n) && self.seen[n].state == MemberState::Alive
            })
            .collect();
        let number = self.roster[who].number;
        let most = self.pace.indirect_probes.min(able.len());
        for at in 0..most {
            let other = self.chance.random_range(at..able.len());
            able.swap(at, other);
            let updates = self.updates();
            post.push((
                able[at],
                Message::PingReq {
                    sequence,
                    target: number,
                    updates,
                },
            ));
        }
        if let Some(probe) = &mut self.probe {
            probe.asked = most;
            probe.until = if most == 0 { probe.end } else { probe.until };
        }
    }

    fn give_up(&mut self, now: f64) {
        let Some(probe) = self.probe.take_if(|probe| probe.end <= now) else {
            return;
        };
        // Who was asked and said nothing at all, not even that, is a sign of this member's own links.
        let MemberView {
            state, incarnation, ..
        } = self.seen[probe.who];
        if state != MemberState::Dead && (probe.asked == 0 || probe.neither < probe.asked) {
            self.fares(true);
        }
        if state == MemberState::Alive {
            let by = self.roster[self.me].number;
            self.believe(now, probe.who, incarnation, MemberState::Suspect, by);
        }
    }
}
