//! The failure detector: the probe of this protocol period, and pings made for other members (SWIM, section 3.1).

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::config::SwimConfig;
use crate::member_table::MemberTable;
use crate::message::MemberState;

/// Dead members are probed in one round of this many, so that two halves of a partition find each other again.
const ROUNDS_PER_PROBE_OF_THE_DEAD: u32 = 4;
/// The part of a protocol period after which a probe has failed.
const PROBE_TIMEOUT_PART: f64 = 0.95;
/// Pings in progress for others, a member: more than the protocol asks for.
const MAX_RELAYED_PER_MEMBER: usize = 4;

struct Probe {
    target: usize,
    sequence: u32,
    /// When other members are asked to ping.
    ack_deadline: f64,
    /// When the probe has failed.
    deadline: f64,
    /// How many members were asked to ping.
    asked: usize,
    /// How many of those could not reach the target either, and said so.
    nacks: usize,
}

/// A ping on behalf of another member.
struct RelayedPing {
    sequence: u32,
    origin: PingOrigin,
    deadline: f64,
}

/// Who asked for a relayed ping, and the sequence number of its request.
#[derive(Clone, Copy)]
pub(crate) struct PingOrigin {
    pub(crate) requester: usize,
    pub(crate) sequence: u32,
}

/// A probe whose direct ping was not answered in time.
#[derive(Clone, Copy)]
pub(crate) struct LateProbe {
    pub(crate) target: usize,
    pub(crate) sequence: u32,
}

/// A probe that was answered by nobody.
#[derive(Clone, Copy)]
pub(crate) struct FailedProbe {
    pub(crate) target: usize,
    /// Every member that was asked said that it could not reach the target: this member's own links work.
    pub(crate) all_nacked: bool,
}

/// Probes one member a period.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// The last sequence number given out.
    sequence: u32,
    probe: Option<Probe>,
    relayed: Vec<RelayedPing>,
    /// Members still to be probed in this round, last first.
    round: Vec<usize>,
    rounds: u32,
}

impl FailureDetector {
    /// Chooses the next member from a shuffled round over all others: each is probed within n periods (SWIM, section
    /// 4.3).
    pub(crate) fn choose_target(
        &mut self,
        members: &MemberTable,
        random: &mut Pcg64Mcg,
    ) -> Option<usize> {
        if self.round.is_empty() {
            self.start_round(members, random);
        }
        self.round.pop()
    }

    fn start_round(&mut self, members: &MemberTable, random: &mut Pcg64Mcg) {
        self.rounds += 1;
        let with_dead = self.rounds.is_multiple_of(ROUNDS_PER_PROBE_OF_THE_DEAD);
        let is_probed = |member: &usize| {
            *member != members.own_index()
                && (with_dead || members.view(*member).state != MemberState::Dead)
        };
        self.round = (0..members.len()).filter(is_probed).collect();
        for last in (1..self.round.len()).rev() {
            let other = random.random_range(0..=last);
            self.round.swap(last, other);
        }
    }

    /// Starts the probe of a period; the sequence number of its ping.
    pub(crate) fn start_probe(
        &mut self,
        now: f64,
        target: usize,
        config: &SwimConfig,
        health_multiplier: f64,
    ) -> u32 {
        self.sequence += 1;
        let ack_deadline = now + config.ack_timeout_s * health_multiplier;
        // An answer by way of others has what is left of the period.
        let deadline = now + PROBE_TIMEOUT_PART * config.probe_interval_s * health_multiplier;
        self.probe = Some(Probe {
            target,
            sequence: self.sequence,
            ack_deadline,
            deadline: deadline.max(ack_deadline),
            asked: 0,
            nacks: 0,
        });
        self.sequence
    }

    /// The probe, when its ack is late and nobody was asked to ping yet.
    pub(crate) fn late_probe(&self, now: f64) -> Option<LateProbe> {
        let probe = self.probe.as_ref()?;
        (probe.ack_deadline <= now && probe.asked == 0).then_some(LateProbe {
            target: probe.target,
            sequence: probe.sequence,
        })
    }

    /// Notes how many members were asked to ping the probe's target.
    pub(crate) fn asked(&mut self, count: usize) {
        if let Some(probe) = &mut self.probe {
            probe.asked = count;
            if count == 0 {
                probe.ack_deadline = probe.deadline;
            }
        }
    }

    /// Ends the probe that this ack answers; false when it answers none.
    pub(crate) fn acknowledge(&mut self, sequence: u32) -> bool {
        self.probe
            .take_if(|probe| probe.sequence == sequence)
            .is_some()
    }

    /// Counts a nack for the probe.
    pub(crate) fn count_nack(&mut self, sequence: u32) {
        if let Some(probe) = self
            .probe
            .as_mut()
            .filter(|probe| probe.sequence == sequence)
        {
            probe.nacks += 1;
        }
    }

    /// Ends the probe if its time is over.
    pub(crate) fn take_failed_probe(&mut self, now: f64) -> Option<FailedProbe> {
        let probe = self.probe.take_if(|probe| probe.deadline <= now)?;
        Some(FailedProbe {
            target: probe.target,
            all_nacked: probe.asked > 0 && probe.nacks >= probe.asked,
        })
    }

    /// Starts a ping on behalf of another member; its sequence number, or nothing when too many are in progress.
    pub(crate) fn relay(
        &mut self,
        origin: PingOrigin,
        deadline: f64,
        member_count: usize,
    ) -> Option<u32> {
        if self.relayed.len() >= MAX_RELAYED_PER_MEMBER * member_count {
            return None;
        }
        self.sequence += 1;
        self.relayed.push(RelayedPing {
            sequence: self.sequence,
            origin,
            deadline,
        });
        Some(self.sequence)
    }

    /// Ends the relayed ping that this ack answers.
    pub(crate) fn take_relayed(&mut self, sequence: u32) -> Option<PingOrigin> {
        let place = self
            .relayed
            .iter()
            .position(|ping| ping.sequence == sequence)?;
        Some(self.relayed.swap_remove(place).origin)
    }

    /// Ends the relayed pings that were not answered in time.
    pub(crate) fn take_expired_relayed(&mut self, now: f64) -> Vec<PingOrigin> {
        let mut expired = Vec::new();
        for place in (0..self.relayed.len()).rev() {
            if self.relayed[place].deadline <= now {
                expired.push(self.relayed.swap_remove(place).origin);
            }
        }
        expired
    }

    /// Drops all that is in progress.
    pub(crate) fn reset(&mut self) {
        self.probe = None;
        self.relayed.clear();
    }

    /// When the probe needs attention; infinity without one.
    pub(crate) fn next_deadline(&self) -> f64 {
        match &self.probe {
            Some(probe) if probe.asked == 0 => probe.ack_deadline.min(probe.deadline),
            Some(probe) => probe.deadline,
            None => f64::INFINITY,
        }
    }
}
