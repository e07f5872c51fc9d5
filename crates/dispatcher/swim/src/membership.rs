//! One member's view of all others, and the protocol that keeps it.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config::SwimConfig;
use crate::dissemination::{DisseminationQueue, MAX_PIGGYBACKED};
use crate::failure_detector::{FailureDetector, LateProbe, PingOrigin};
use crate::frame::FrameError;
use crate::local_health::LocalHealth;
use crate::member_table::{MemberTable, MemberView, Peer};
use crate::message::{MemberState, Message, Outbox, Update};
use crate::suspicion::SuspicionTimers;

/// An incarnation beyond this comes from no clock: the year 2200 in milliseconds of Unix time.
const MAX_INCARNATION: u64 = 7_300_000_000_000;
/// A tick that comes later than this many probe intervals shows that this process did not run.
const STALL_INTERVALS: f64 = 2.0;
/// The reporter of a claim that follows from a received frame: no member's number is needed for `Alive`.
const NO_REPORTER: u64 = 0;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes started.
    pub probes: u64,
    /// Suspicions of other members.
    pub suspected: u64,
    /// Of those, refuted: nobody had died.
    pub refuted: u64,
    /// Members declared dead.
    pub declared_dead: u64,
    /// Times that this member was suspected while it lived.
    pub self_suspected: u64,
    /// Times that this process did not run for a while.
    pub stalls: u64,
}

/// What is claimed of a member, by its index in the roster.
#[derive(Clone, Copy)]
struct Claim {
    member: usize,
    incarnation: u64,
    state: MemberState,
    /// The number of the member that claims it.
    reporter: u64,
}

/// The membership protocol of one member. It does no I/O: the caller gives the time in seconds, hands in received
/// messages, and sends what is put into the outbox.
pub struct Membership {
    config: SwimConfig,
    /// This member's own incarnation.
    incarnation: u64,
    members: MemberTable,
    suspicions: SuspicionTimers,
    updates: DisseminationQueue,
    detector: FailureDetector,
    health: LocalHealth,
    next_probe_at: f64,
    last_tick_at: f64,
    random: Pcg64Mcg,
    /// Counts since the start.
    pub counters: Counters,
}

impl Membership {
    /// `own_index` is this member's index in the roster; `incarnation` must not lie under that of an earlier process
    /// of the same name: milliseconds of Unix time serve, and where a clock was set back, updates on this member
    /// itself raise it.
    ///
    /// # Panics
    ///
    /// When `own_index` is not in the roster.
    pub fn new(
        config: SwimConfig,
        roster: Vec<Peer>,
        own_index: usize,
        incarnation: u64,
        seed: u64,
        now: f64,
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ roster[own_index].number);
        // Spread, so that members that start together do not probe together.
        let next_probe_at = now + config.probe_interval_s * random.random::<f64>();
        let mut membership = Membership {
            incarnation,
            suspicions: SuspicionTimers::new(roster.len(), config.probe_interval_s),
            updates: DisseminationQueue::new(roster.len()),
            detector: FailureDetector::default(),
            health: LocalHealth::default(),
            members: MemberTable::new(roster, own_index, incarnation, now),
            next_probe_at,
            last_tick_at: now,
            random,
            counters: Counters::default(),
            config,
        };
        membership.disseminate(own_index);
        membership
    }

    /// This member's index in the roster.
    #[must_use]
    pub fn own_index(&self) -> usize {
        self.members.own_index()
    }

    /// This member's own incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// All members by configuration, this one among them.
    #[must_use]
    pub fn roster(&self) -> &[Peer] {
        self.members.roster()
    }

    /// The index in the roster of the member with this number.
    #[must_use]
    pub fn index_of(&self, number: u64) -> Option<usize> {
        self.members.index_of(number)
    }

    /// What is known of a member, by its index in the roster.
    ///
    /// # Panics
    ///
    /// When the index is not in the roster.
    #[must_use]
    pub fn view(&self, member: usize) -> &MemberView {
        self.members.view(member)
    }

    /// This member's local health score: 0 when well, 8 at the worst (Lifeguard).
    #[must_use]
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Whether a message to this member may arrive: it is another one and not held dead. One of which nothing is
    /// known may be there too.
    #[must_use]
    pub fn is_reachable(&self, member: usize) -> bool {
        member != self.own_index() && self.view(member).state != MemberState::Dead
    }

    /// Members that are alive or suspected, this one among them.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.members.live_count()
    }

    /// Updates for all members of which anything is known.
    #[must_use]
    pub fn full_state(&self) -> Vec<Update> {
        self.members.full_state()
    }

    /// When [`Membership::tick`] is to be called next, in seconds of the caller's clock.
    #[must_use]
    pub fn due(&self) -> f64 {
        self.next_probe_at
            .min(self.detector.next_deadline())
            .min(self.suspicions.next_deadline())
    }

    /// A frame of this member itself was received: it lives, whatever others say.
    pub fn confirm_alive(&mut self, now: f64, member: usize, incarnation: u64) {
        if member == self.own_index() {
            return;
        }
        self.members.view_mut(member).last_received = now;
        let claim = Claim {
            member,
            incarnation,
            state: MemberState::Alive,
            reporter: NO_REPORTER,
        };
        self.apply(now, claim);
    }

    /// Applies received updates.
    ///
    /// # Errors
    ///
    /// [`FrameError::InvalidValue`] when an update is about no configured member or holds an impossible value; the
    /// others are applied nevertheless.
    pub fn apply_updates(&mut self, now: f64, updates: &[Update]) -> Result<(), FrameError> {
        let max_updates = self.members.len().max(MAX_PIGGYBACKED);
        let mut all_valid = updates.len() <= max_updates;
        for update in updates.iter().take(max_updates) {
            match self.validate(update) {
                Some(claim) => self.apply(now, claim),
                None => all_valid = false,
            }
        }
        if all_valid {
            Ok(())
        } else {
            Err(FrameError::InvalidValue)
        }
    }

    fn validate(&self, update: &Update) -> Option<Claim> {
        let member = self.index_of(update.member)?;
        if update.incarnation > MAX_INCARNATION || update.state == MemberState::Unknown {
            return None;
        }
        let view = self.view(member);
        // Guards against a death that its reporter knows from hearsay alone: the member is suspected first, unless
        // it already was here.
        let is_hearsay = update.state == MemberState::Dead
            && view.state == MemberState::Alive
            && update.incarnation == view.incarnation;
        let state = if is_hearsay {
            MemberState::Suspect
        } else {
            update.state
        };
        Some(Claim {
            member,
            incarnation: update.incarnation,
            state,
            reporter: update.reporter,
        })
    }

    /// Applies a claim by SWIM's order (section 4.2): a higher incarnation overrides all; at the same one, dead
    /// overrides suspect and that alive.
    fn apply(&mut self, now: f64, claim: Claim) {
        let Claim {
            member,
            incarnation,
            state,
            reporter,
        } = claim;
        if member == self.own_index() {
            return self.refute(state, incarnation);
        }
        let view = self.members.view(member);
        let is_known = view.state != MemberState::Unknown;
        if state == MemberState::Suspect
            && view.state == MemberState::Suspect
            && incarnation == view.incarnation
        {
            return self.accuse(member, reporter);
        }
        let is_newer = incarnation > view.incarnation || !is_known;
        let overrides =
            incarnation == view.incarnation && state.precedence() > view.state.precedence();
        if !is_newer && !overrides {
            // A member that speaks under an incarnation held dead or suspect learns of it, and refutes.
            if state == MemberState::Alive
                && view.state.precedence() > MemberState::Alive.precedence()
            {
                self.disseminate(member);
            }
            return;
        }
        let view = self.members.view_mut(member);
        let state_before = std::mem::replace(&mut view.state, state);
        (view.incarnation, view.since) = (incarnation, now);
        if self.suspicions.cancel(member) && state == MemberState::Alive {
            self.counters.refuted += 1;
        }
        match state {
            MemberState::Suspect => {
                self.counters.suspected += 1;
                let multiplier = self.health.multiplier();
                self.suspicions.start(now, member, reporter, multiplier);
            }
            MemberState::Dead if state_before != MemberState::Dead => {
                self.counters.declared_dead += 1;
            }
            _ => {}
        }
        self.disseminate(member);
    }

    /// Answers a claim about this member itself by a higher incarnation, unless it says that it is alive now.
    fn refute(&mut self, state: MemberState, incarnation: u64) {
        let is_accused = state != MemberState::Alive && incarnation >= self.incarnation;
        // Guards against the incarnation of an earlier process whose clock was ahead of this one's.
        let is_outdated = incarnation > self.incarnation;
        if !is_accused && !is_outdated {
            return;
        }
        let own_index = self.own_index();
        self.incarnation = incarnation + 1;
        self.members.view_mut(own_index).incarnation = self.incarnation;
        self.disseminate(own_index);
        if is_accused {
            self.counters.self_suspected += 1;
            // Guards against a member so slow that it is thought dead accusing others in turn.
            self.health.degrade();
        }
    }

    fn accuse(&mut self, member: usize, reporter: u64) {
        let multiplier = self.health.multiplier();
        if self.suspicions.accuse(member, reporter, multiplier) {
            self.disseminate(member);
        }
    }

    fn disseminate(&mut self, member: usize) {
        self.updates.enqueue(member, self.members.update(member));
    }

    /// Handles a message of the member `from`; replies are put into the outbox.
    ///
    /// # Errors
    ///
    /// [`FrameError::InvalidValue`] when it holds an impossible value; what is valid of it is handled nevertheless.
    pub fn receive(
        &mut self,
        now: f64,
        from: usize,
        message: Message,
        outbox: &mut Outbox,
    ) -> Result<(), FrameError> {
        match message {
            Message::Ping { sequence, updates } => {
                let applied = self.apply_updates(now, &updates);
                let updates = self.updates.take_for_message();
                outbox.push((from, Message::Ack { sequence, updates }));
                applied
            }
            Message::Ack { sequence, updates } => {
                let applied = self.apply_updates(now, &updates);
                self.receive_ack(sequence, outbox);
                applied
            }
            Message::PingReq {
                sequence,
                target,
                updates,
            } => {
                let applied = self.apply_updates(now, &updates);
                let target = self
                    .index_of(target)
                    .filter(|target| *target != self.own_index())
                    .ok_or(FrameError::InvalidValue)?;
                let origin = PingOrigin {
                    requester: from,
                    sequence,
                };
                self.relay_ping(now, origin, target, outbox);
                applied
            }
            Message::Nack { sequence } => {
                self.detector.count_nack(sequence);
                Ok(())
            }
        }
    }

    fn receive_ack(&mut self, sequence: u32, outbox: &mut Outbox) {
        if self.detector.acknowledge(sequence) {
            self.health.improve();
        }
        if let Some(origin) = self.detector.take_relayed(sequence) {
            let ack = Message::Ack {
                sequence: origin.sequence,
                updates: Vec::new(),
            };
            outbox.push((origin.requester, ack));
        }
    }

    fn relay_ping(&mut self, now: f64, origin: PingOrigin, target: usize, outbox: &mut Outbox) {
        let deadline = now + self.config.ack_timeout_s;
        let member_count = self.members.len();
        if let Some(sequence) = self.detector.relay(origin, deadline, member_count) {
            let updates = self.updates.take_for_message();
            outbox.push((target, Message::Ping { sequence, updates }));
        }
    }

    /// Does what is due by now; call it at [`Membership::due`].
    pub fn tick(&mut self, now: f64, outbox: &mut Outbox) {
        self.check_for_stall(now);
        for origin in self.detector.take_expired_relayed(now) {
            let nack = Message::Nack {
                sequence: origin.sequence,
            };
            outbox.push((origin.requester, nack));
        }
        if let Some(probe) = self.detector.late_probe(now) {
            self.request_pings(probe, outbox);
        }
        self.suspect_failed_probe(now);
        for member in self.suspicions.expired(now) {
            self.declare_dead(now, member);
        }
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.config.probe_interval_s * self.health.multiplier();
            self.start_probe(now, outbox);
        }
    }

    /// Guards against a process that was paused or had no core: what it did not receive meanwhile says nothing of
    /// others. Deadlines move on by as much, and its own health suffers.
    fn check_for_stall(&mut self, now: f64) {
        let late_s = now - self.due().max(self.last_tick_at);
        self.last_tick_at = now;
        if late_s > STALL_INTERVALS * self.config.probe_interval_s {
            self.counters.stalls += 1;
            self.health.degrade();
            self.detector.reset();
            self.suspicions.postpone(late_s);
            self.next_probe_at = now;
        }
    }

    fn start_probe(&mut self, now: f64, outbox: &mut Outbox) {
        let target = self.detector.choose_target(&self.members, &mut self.random);
        let Some(target) = target else {
            return;
        };
        self.counters.probes += 1;
        let multiplier = self.health.multiplier();
        let sequence = self
            .detector
            .start_probe(now, target, &self.config, multiplier);
        let updates = self.updates.take_for_message();
        outbox.push((target, Message::Ping { sequence, updates }));
    }

    fn request_pings(&mut self, probe: LateProbe, outbox: &mut Outbox) {
        let is_able = |member: &usize| {
            *member != probe.target
                && *member != self.own_index()
                && self.view(*member).state == MemberState::Alive
        };
        let mut able: Vec<usize> = (0..self.members.len()).filter(is_able).collect();
        let target = self.members.roster()[probe.target].number;
        let count = self.config.indirect_probes.min(able.len());
        for place in 0..count {
            let other = self.random.random_range(place..able.len());
            able.swap(place, other);
            let request = Message::PingReq {
                sequence: probe.sequence,
                target,
                updates: self.updates.take_for_message(),
            };
            outbox.push((able[place], request));
        }
        self.detector.asked(count);
    }

    fn suspect_failed_probe(&mut self, now: f64) {
        let Some(probe) = self.detector.take_failed_probe(now) else {
            return;
        };
        let view = self.members.view(probe.target);
        let (state, incarnation) = (view.state, view.incarnation);
        // A member that was asked and sent not even a nack is a sign of this member's own links.
        if state != MemberState::Dead && !probe.all_nacked {
            self.health.degrade();
        }
        if state == MemberState::Alive {
            let claim = Claim {
                member: probe.target,
                incarnation,
                state: MemberState::Suspect,
                reporter: self.members.own_number(),
            };
            self.apply(now, claim);
        }
    }

    fn declare_dead(&mut self, now: f64, member: usize) {
        let claim = Claim {
            member,
            incarnation: self.members.view(member).incarnation,
            state: MemberState::Dead,
            reporter: self.members.own_number(),
        };
        self.apply(now, claim);
    }
}
