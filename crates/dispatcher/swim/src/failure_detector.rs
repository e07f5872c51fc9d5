//! Failure detector: the probe of the present protocol period, and indirect pings on behalf of other members (SWIM,
//! section 3.1).

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::config::SwimConfig;
use crate::member_table::MemberTable;
use crate::message::MemberState;

/// Dead members are probed in one of this many rounds, so that the two sides of a partition reconnect when it heals.
const ROUNDS_PER_DEAD_MEMBER_PROBE: u32 = 4;
/// Fraction of a protocol period after which a probe has failed.
const PROBE_TIMEOUT_FRACTION: f64 = 0.95;
/// Maximum number of indirect pings in progress on behalf of others, for each member of the roster: more than the
/// protocol requests.
const MAX_RELAYED_PER_MEMBER: usize = 4;

/// Probe of one member. Deadlines are in seconds on the caller's clock.
struct Probe {
    target: usize,
    sequence: u32,
    /// Time at which other members are asked for indirect pings.
    ack_deadline_s: f64,
    /// Time at which the probe has failed.
    deadline_s: f64,
    /// Number of members that were asked for an indirect ping.
    indirect_pings: usize,
    /// Number of those that replied that they could not reach the target either.
    nacks: usize,
}

/// Indirect ping on behalf of another member.
struct RelayedPing {
    sequence: u32,
    origin: PingOrigin,
    deadline_s: f64,
}

/// Member that requested an indirect ping, and the sequence number of its request.
#[derive(Clone, Copy)]
pub(crate) struct PingOrigin {
    pub(crate) requester: usize,
    pub(crate) sequence: u32,
}

/// Probe whose direct ping was not answered in time.
#[derive(Clone, Copy)]
pub(crate) struct LateProbe {
    pub(crate) target: usize,
    pub(crate) sequence: u32,
}

/// Probe that was answered neither directly nor indirectly.
#[derive(Clone, Copy)]
pub(crate) struct FailedProbe {
    pub(crate) target: usize,
    /// Whether every member that was asked replied that it could not reach the target, so that this member's own links
    /// work.
    pub(crate) all_nacked: bool,
}

/// Probes one member in each protocol period.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// Last sequence number used.
    sequence: u32,
    probe: Option<Probe>,
    relayed: Vec<RelayedPing>,
    /// Members that must still be probed in this round, in reverse order.
    round: Vec<usize>,
    /// Number of rounds started.
    round_count: u32,
}

impl FailureDetector {
    /// Chooses the next member from a shuffled round over all others, so that each is probed within n periods (SWIM,
    /// section 4.3).
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
        self.round_count += 1;
        let with_dead = self
            .round_count
            .is_multiple_of(ROUNDS_PER_DEAD_MEMBER_PROBE);
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

    /// Starts the probe of a period and returns the sequence number of its ping.
    pub(crate) fn start_probe(
        &mut self,
        now_s: f64,
        target: usize,
        config: &SwimConfig,
        health_multiplier: f64,
    ) -> u32 {
        self.sequence += 1;
        let ack_deadline_s = now_s + config.ack_timeout_s * health_multiplier;
        // An indirect answer may arrive during the rest of the period.
        let deadline_s =
            now_s + PROBE_TIMEOUT_FRACTION * config.probe_interval_s * health_multiplier;
        self.probe = Some(Probe {
            target,
            sequence: self.sequence,
            ack_deadline_s,
            deadline_s: deadline_s.max(ack_deadline_s),
            indirect_pings: 0,
            nacks: 0,
        });
        self.sequence
    }

    /// The present probe, if its ack is late and no indirect ping was requested yet.
    pub(crate) fn late_probe(&self, now_s: f64) -> Option<LateProbe> {
        let probe = self.probe.as_ref()?;
        (probe.ack_deadline_s <= now_s && probe.indirect_pings == 0).then_some(LateProbe {
            target: probe.target,
            sequence: probe.sequence,
        })
    }

    /// Records the number of members that were asked to ping the probe's target.
    pub(crate) fn record_indirect_pings(&mut self, count: usize) {
        if let Some(probe) = &mut self.probe {
            probe.indirect_pings = count;
            if count == 0 {
                probe.ack_deadline_s = probe.deadline_s;
            }
        }
    }

    /// Ends the probe that an ack answers. Returns false if it answers none.
    pub(crate) fn acknowledge(&mut self, sequence: u32) -> bool {
        self.probe
            .take_if(|probe| probe.sequence == sequence)
            .is_some()
    }

    /// Counts a nack if it answers the present probe.
    pub(crate) fn count_nack(&mut self, sequence: u32) {
        if let Some(probe) = self
            .probe
            .as_mut()
            .filter(|probe| probe.sequence == sequence)
        {
            probe.nacks += 1;
        }
    }

    /// Ends the probe if its deadline has passed, and returns it as failed.
    pub(crate) fn take_failed_probe(&mut self, now_s: f64) -> Option<FailedProbe> {
        let probe = self.probe.take_if(|probe| probe.deadline_s <= now_s)?;
        Some(FailedProbe {
            target: probe.target,
            all_nacked: probe.indirect_pings > 0 && probe.nacks >= probe.indirect_pings,
        })
    }

    /// Starts an indirect ping on behalf of another member. Returns its sequence number, or `None` if too many are in
    /// progress.
    pub(crate) fn relay(
        &mut self,
        origin: PingOrigin,
        deadline_s: f64,
        member_count: usize,
    ) -> Option<u32> {
        if self.relayed.len() >= MAX_RELAYED_PER_MEMBER * member_count {
            return None;
        }
        self.sequence += 1;
        self.relayed.push(RelayedPing {
            sequence: self.sequence,
            origin,
            deadline_s,
        });
        Some(self.sequence)
    }

    /// Ends the indirect ping that an ack answers, and returns its origin.
    pub(crate) fn take_relayed(&mut self, sequence: u32) -> Option<PingOrigin> {
        let index = self
            .relayed
            .iter()
            .position(|ping| ping.sequence == sequence)?;
        Some(self.relayed.swap_remove(index).origin)
    }

    /// Ends the indirect pings that were not answered in time, and returns their origins.
    pub(crate) fn take_expired_relayed(&mut self, now_s: f64) -> Vec<PingOrigin> {
        let mut expired = Vec::new();
        for index in (0..self.relayed.len()).rev() {
            if self.relayed[index].deadline_s <= now_s {
                expired.push(self.relayed.swap_remove(index).origin);
            }
        }
        expired
    }

    /// Drops the probe and the indirect pings in progress.
    pub(crate) fn reset(&mut self) {
        self.probe = None;
        self.relayed.clear();
    }

    /// Time at which the probe must be handled next; infinity without one.
    pub(crate) fn next_deadline(&self) -> f64 {
        match &self.probe {
            Some(probe) if probe.indirect_pings == 0 => probe.ack_deadline_s.min(probe.deadline_s),
            Some(probe) => probe.deadline_s,
            None => f64::INFINITY,
        }
    }
}
