//! One member's view of all others, and the protocol that keeps the view up to date.

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

/// Maximum valid incarnation, the year 2200 in milliseconds of Unix time: no clock gives a higher one.
const MAX_INCARNATION: u64 = 7_300_000_000_000;
/// A tick that is late by more than this many probe intervals shows that this process did not run.
const STALL_INTERVALS: f64 = 2.0;
/// Reporter of a claim that is derived from a received frame: an `Alive` claim needs no member's number.
const NO_REPORTER: u64 = 0;

/// Counts of protocol events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of probes started.
    pub probes: u64,
    /// Number of suspicions of other members.
    pub suspected: u64,
    /// Number of those suspicions that were refuted, so that the member was alive.
    pub refuted: u64,
    /// Number of members declared dead.
    pub declared_dead: u64,
    /// Number of times that this member was suspected although it was alive.
    pub self_suspected: u64,
    /// Number of times that this process did not run for more than two probe intervals.
    pub stalls: u64,
}

/// Claim about the state of a member, given by its index in the roster.
#[derive(Clone, Copy)]
struct Claim {
    member: usize,
    incarnation: u64,
    state: MemberState,
    /// Number of the member that makes the claim.
    reporter: u64,
}

/// Membership protocol of one member. It does no I/O: the caller supplies the time in seconds, passes in received
/// messages, and sends the messages in the outbox.
pub struct Membership {
    config: SwimConfig,
    /// Incarnation of this member.
    incarnation: u64,
    members: MemberTable,
    suspicions: SuspicionTimers,
    updates: DisseminationQueue,
    detector: FailureDetector,
    health: LocalHealth,
    next_probe_at_s: f64,
    last_tick_at_s: f64,
    random: Pcg64Mcg,
    /// Counts of protocol events since the start.
    pub counters: Counters,
}

impl Membership {
    /// Creates the protocol state at the time `now_s`. `own_index` is this member's index in the roster. `incarnation`
    /// must not be lower than that of an earlier process of the same name: Unix time in milliseconds is suitable, and
    /// if the clock was set back, updates about this member raise the incarnation. `seed` seeds the random choices.
    ///
    /// # Panics
    ///
    /// Panics if `own_index` is not an index in the roster.
    pub fn new(
        config: SwimConfig,
        roster: Vec<Peer>,
        own_index: usize,
        incarnation: u64,
        seed: u64,
        now_s: f64,
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ roster[own_index].number);
        // The first probe is at a random time, so that members that start together do not probe at the same time.
        let next_probe_at_s = now_s + config.probe_interval_s * random.random::<f64>();
        let mut membership = Membership {
            incarnation,
            suspicions: SuspicionTimers::new(roster.len(), config.probe_interval_s),
            updates: DisseminationQueue::new(roster.len()),
            detector: FailureDetector::default(),
            health: LocalHealth::default(),
            members: MemberTable::new(roster, own_index, incarnation, now_s),
            next_probe_at_s,
            last_tick_at_s: now_s,
            random,
            counters: Counters::default(),
            config,
        };
        membership.disseminate(own_index);
        membership
    }

    /// Index of this member in the roster.
    #[must_use]
    pub fn own_index(&self) -> usize {
        self.members.own_index()
    }

    /// Incarnation of this member.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// All configured members, including this one.
    #[must_use]
    pub fn roster(&self) -> &[Peer] {
        self.members.roster()
    }

    /// Index in the roster of the member with this number, if there is one.
    #[must_use]
    pub fn index_of(&self, number: u64) -> Option<usize> {
        self.members.index_of(number)
    }

    /// This member's view of the member with this index in the roster.
    ///
    /// # Panics
    ///
    /// Panics if the index is not in the roster.
    #[must_use]
    pub fn view(&self, member: usize) -> &MemberView {
        self.members.view(member)
    }

    /// Local health score of this member: 0 is healthy, 8 is the worst (Lifeguard).
    #[must_use]
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Whether a message to this member may arrive: it is another member and is not known as dead. A member in state
    /// `Unknown` counts as reachable.
    #[must_use]
    pub fn is_reachable(&self, member: usize) -> bool {
        member != self.own_index() && self.view(member).state != MemberState::Dead
    }

    /// Number of members that are alive or suspected, including this one.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.members.live_count()
    }

    /// Updates about all members whose state is known.
    #[must_use]
    pub fn full_state(&self) -> Vec<Update> {
        self.members.full_state()
    }

    /// Time at which the caller must call [`Membership::tick`] next, in seconds on its clock.
    #[must_use]
    pub fn due(&self) -> f64 {
        self.next_probe_at_s
            .min(self.detector.next_deadline())
            .min(self.suspicions.next_deadline())
    }

    /// Records that a frame sent by this member was received: it is alive, regardless of the reports of others.
    pub fn confirm_alive(&mut self, now_s: f64, member: usize, incarnation: u64) {
        if member == self.own_index() {
            return;
        }
        self.members.view_mut(member).last_received = now_s;
        let claim = Claim {
            member,
            incarnation,
            state: MemberState::Alive,
            reporter: NO_REPORTER,
        };
        self.apply(now_s, claim);
    }

    /// Applies received updates.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::InvalidValue`] if there are too many updates, or if one is about no configured member or
    /// has an invalid value. Valid updates are applied nevertheless.
    pub fn apply_updates(&mut self, now_s: f64, updates: &[Update]) -> Result<(), FrameError> {
        let max_updates = self.members.len().max(MAX_PIGGYBACKED);
        let mut all_valid = updates.len() <= max_updates;
        for update in updates.iter().take(max_updates) {
            match self.validate(update) {
                Some(claim) => self.apply(now_s, claim),
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
        // The reporter of a dead member may only forward a report of others. The member is therefore suspected first,
        // unless it is already suspected here.
        let is_forwarded_death = update.state == MemberState::Dead
            && view.state == MemberState::Alive
            && update.incarnation == view.incarnation;
        let state = if is_forwarded_death {
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

    /// Applies a claim by SWIM's order (section 4.2): a higher incarnation overrides all states. At the same
    /// incarnation, dead overrides suspect, and suspect overrides alive.
    fn apply(&mut self, now_s: f64, claim: Claim) {
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
            return self.add_reporter(member, reporter);
        }
        let is_newer = incarnation > view.incarnation || !is_known;
        let overrides =
            incarnation == view.incarnation && state.precedence() > view.state.precedence();
        if !is_newer && !overrides {
            // A member that sends under an incarnation known as dead or suspect must learn of that, so that it can
            // refute.
            if state == MemberState::Alive
                && view.state.precedence() > MemberState::Alive.precedence()
            {
                self.disseminate(member);
            }
            return;
        }
        let view = self.members.view_mut(member);
        let state_before = std::mem::replace(&mut view.state, state);
        (view.incarnation, view.since) = (incarnation, now_s);
        if self.suspicions.cancel(member) && state == MemberState::Alive {
            self.counters.refuted += 1;
        }
        match state {
            MemberState::Suspect => {
                self.counters.suspected += 1;
                let multiplier = self.health.multiplier();
                self.suspicions.start(now_s, member, reporter, multiplier);
            }
            MemberState::Dead if state_before != MemberState::Dead => {
                self.counters.declared_dead += 1;
            }
            _ => {}
        }
        self.disseminate(member);
    }

    /// Refutes a claim about this member with a higher incarnation, unless the claim is that it is alive at its present
    /// incarnation or is about an earlier one.
    fn refute(&mut self, state: MemberState, incarnation: u64) {
        let is_reported_failed = state != MemberState::Alive && incarnation >= self.incarnation;
        // An earlier process of this name may have had a clock that was ahead of this one's.
        let is_outdated = incarnation > self.incarnation;
        if !is_reported_failed && !is_outdated {
            return;
        }
        let own_index = self.own_index();
        self.incarnation = incarnation + 1;
        self.members.view_mut(own_index).incarnation = self.incarnation;
        self.disseminate(own_index);
        if is_reported_failed {
            self.counters.self_suspected += 1;
            // A member so slow that others suspect it must not suspect others in turn.
            self.health.degrade();
        }
    }

    fn add_reporter(&mut self, member: usize, reporter: u64) {
        let multiplier = self.health.multiplier();
        if self.suspicions.add_reporter(member, reporter, multiplier) {
            self.disseminate(member);
        }
    }

    fn disseminate(&mut self, member: usize) {
        self.updates.enqueue(member, self.members.update(member));
    }

    /// Handles a message of the member with index `from` and appends the replies to the outbox.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::InvalidValue`] if the message has an invalid value. Its valid updates are applied
    /// nevertheless.
    pub fn receive(
        &mut self,
        now_s: f64,
        from: usize,
        message: Message,
        outbox: &mut Outbox,
    ) -> Result<(), FrameError> {
        match message {
            Message::Ping { sequence, updates } => {
                let applied = self.apply_updates(now_s, &updates);
                let updates = self.updates.take_for_message();
                outbox.push((from, Message::Ack { sequence, updates }));
                applied
            }
            Message::Ack { sequence, updates } => {
                let applied = self.apply_updates(now_s, &updates);
                self.receive_ack(sequence, outbox);
                applied
            }
            Message::PingReq {
                sequence,
                target,
                updates,
            } => {
                let applied = self.apply_updates(now_s, &updates);
                let target = self
                    .index_of(target)
                    .filter(|target| *target != self.own_index())
                    .ok_or(FrameError::InvalidValue)?;
                let origin = PingOrigin {
                    requester: from,
                    sequence,
                };
                self.relay_ping(now_s, origin, target, outbox);
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

    fn relay_ping(&mut self, now_s: f64, origin: PingOrigin, target: usize, outbox: &mut Outbox) {
        let deadline_s = now_s + self.config.ack_timeout_s;
        let member_count = self.members.len();
        if let Some(sequence) = self.detector.relay(origin, deadline_s, member_count) {
            let updates = self.updates.take_for_message();
            outbox.push((target, Message::Ping { sequence, updates }));
        }
    }

    /// Performs all actions that are due. The caller calls it at [`Membership::due`].
    pub fn tick(&mut self, now_s: f64, outbox: &mut Outbox) {
        self.check_for_stall(now_s);
        for origin in self.detector.take_expired_relayed(now_s) {
            let nack = Message::Nack {
                sequence: origin.sequence,
            };
            outbox.push((origin.requester, nack));
        }
        if let Some(probe) = self.detector.late_probe(now_s) {
            self.request_pings(probe, outbox);
        }
        self.suspect_failed_probe(now_s);
        for member in self.suspicions.expired(now_s) {
            self.declare_dead(now_s, member);
        }
        if now_s >= self.next_probe_at_s {
            self.next_probe_at_s = now_s + self.config.probe_interval_s * self.health.multiplier();
            self.start_probe(now_s, outbox);
        }
    }

    /// Detects that this process was paused or had no core. Messages that it did not receive meanwhile are no evidence
    /// against other members, so probes are dropped, suspicions are postponed by that time, and local health degrades.
    fn check_for_stall(&mut self, now_s: f64) {
        let late_s = now_s - self.due().max(self.last_tick_at_s);
        self.last_tick_at_s = now_s;
        if late_s > STALL_INTERVALS * self.config.probe_interval_s {
            self.counters.stalls += 1;
            self.health.degrade();
            self.detector.reset();
            self.suspicions.postpone(late_s);
            self.next_probe_at_s = now_s;
        }
    }

    fn start_probe(&mut self, now_s: f64, outbox: &mut Outbox) {
        let target = self.detector.choose_target(&self.members, &mut self.random);
        let Some(target) = target else {
            return;
        };
        self.counters.probes += 1;
        let multiplier = self.health.multiplier();
        let sequence = self
            .detector
            .start_probe(now_s, target, &self.config, multiplier);
        let updates = self.updates.take_for_message();
        outbox.push((target, Message::Ping { sequence, updates }));
    }

    fn request_pings(&mut self, probe: LateProbe, outbox: &mut Outbox) {
        let can_help = |member: &usize| {
            *member != probe.target
                && *member != self.own_index()
                && self.view(*member).state == MemberState::Alive
        };
        let mut helpers: Vec<usize> = (0..self.members.len()).filter(can_help).collect();
        let target = self.members.roster()[probe.target].number;
        let count = self.config.indirect_probes.min(helpers.len());
        for index in 0..count {
            let other = self.random.random_range(index..helpers.len());
            helpers.swap(index, other);
            let request = Message::PingReq {
                sequence: probe.sequence,
                target,
                updates: self.updates.take_for_message(),
            };
            outbox.push((helpers[index], request));
        }
        self.detector.record_indirect_pings(count);
    }

    fn suspect_failed_probe(&mut self, now_s: f64) {
        let Some(probe) = self.detector.take_failed_probe(now_s) else {
            return;
        };
        let view = self.members.view(probe.target);
        let (state, incarnation) = (view.state, view.incarnation);
        // If a member that was asked to ping did not even send a nack, this member's own links are likely to be faulty.
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
            self.apply(now_s, claim);
        }
    }

    fn declare_dead(&mut self, now_s: f64, member: usize) {
        let claim = Claim {
            member,
            incarnation: self.members.view(member).incarnation,
            state: MemberState::Dead,
            reporter: self.members.own_number(),
        };
        self.apply(now_s, claim);
    }
}
