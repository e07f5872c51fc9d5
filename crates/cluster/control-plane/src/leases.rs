//! Leases of membership of the processes outside the core. Each of these greets one core process, so core processes
//! tell each other, in a message whose size does not grow with their number.

use crate::timing::SHARE_INTERVAL_MS;
use sagetrail_config_distribution::best_relays;
use sagetrail_protocol::control::{MemberLease, MemberLeases};
use sagetrail_protocol::directory::{MAX_RELAYS, MEMBER_LEASE_MS};
use sagetrail_protocol::{List, NodeId, NodeKind, Time};
use std::collections::BTreeMap;

/// So many leases are kept at one process.
const MAX_LEASES: usize = 4_096;
/// The core serves configurations to so many processes for each of its own before it names relays.
pub(crate) const DIRECT_CHILDREN: u64 = 16;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// A process that has greeted this one.
#[derive(Clone, Copy, Debug)]
struct Lease {
    kind: NodeKind,
    until: Time,
}

/// What another core process told.
#[derive(Debug)]
struct Told {
    count: u32,
    until: Time,
    relays: BTreeMap<NodeId, Time>,
}

/// The leases held here, and what other core processes told of theirs.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    own: BTreeMap<NodeId, Lease>,
    told: BTreeMap<NodeId, Told>,
    /// The best relays of all, and until when each holds a lease.
    best: Vec<(NodeId, Time)>,
    share_at: Time,
}

impl Leases {
    /// A process outside the core said hello.
    pub(crate) fn hear(&mut self, now: Time, node: NodeId, kind: NodeKind) {
        if self.own.contains_key(&node) || self.own.len() < MAX_LEASES {
            self.own.insert(
                node,
                Lease {
                    kind,
                    until: now.plus_millis(MEMBER_LEASE_MS),
                },
            );
        }
    }

    /// Another core process told of its leases.
    pub(crate) fn take(&mut self, now: Time, from: NodeId, leases: &MemberLeases) {
        let until = |lease: &MemberLease| {
            now.plus_millis(u64::from(lease.remaining_ms).min(MEMBER_LEASE_MS))
        };
        let relays = leases
            .relays
            .iter()
            .take(MAX_RELAYS)
            .map(|lease| (lease.node, until(lease)));
        let told = Told {
            count: leases.count,
            until: now.plus_millis(MEMBER_LEASE_MS),
            relays: relays.collect(),
        };
        self.told.insert(from, told);
    }

    /// What the other core processes are to be told, once that is due and there is anything to tell.
    pub(crate) fn share(&mut self, now: Time) -> Option<MemberLeases> {
        if now < self.share_at {
            return None;
        }
        self.share_at = now.plus_millis(SHARE_INTERVAL_MS);
        self.own.retain(|_, lease| lease.until > now);
        self.told.retain(|_, told| told.until > now);
        self.best = self.choose(now);
        (!self.own.is_empty()).then(|| self.summary(now))
    }

    /// When `share` is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let idle = self.own.is_empty() && self.told.is_empty();
        (!idle).then_some(self.share_at)
    }

    /// The relays that hold a lease, best first; none while `core` processes serve all themselves.
    pub(crate) fn relays(&self, now: Time, core: usize) -> Vec<NodeId> {
        if self.count(now) <= DIRECT_CHILDREN * core as u64 {
            return Vec::new();
        }
        let live = self.best.iter().filter(|(_, until)| *until > now);
        live.map(|(node, _)| *node).collect()
    }

    /// How many leases are held, here and elsewhere; one that was renewed at two processes counts twice.
    fn count(&self, now: Time) -> u64 {
        let told = self.told.values().filter(|told| told.until > now);
        self.own.len() as u64 + told.map(|told| u64::from(told.count)).sum::<u64>()
    }

    fn summary(&self, now: Time) -> MemberLeases {
        let own = self.own_relays();
        let lease = |node: NodeId| MemberLease {
            node,
            remaining_ms: millis_until(own[&node], now),
        };
        let best = best_relays(own.keys().copied().collect(), MAX_RELAYS);
        MemberLeases {
            count: self.own.len() as u32,
            relays: List(best.into_iter().map(lease).collect()),
        }
    }

    fn choose(&self, now: Time) -> Vec<(NodeId, Time)> {
        let mut all = self.own_relays();
        for (node, until) in self.told.values().flat_map(|told| &told.relays) {
            let known = all.entry(*node).or_insert(*until);
            *known = (*known).max(*until);
        }
        all.retain(|_, until| *until > now);
        let best = best_relays(all.keys().copied().collect(), MAX_RELAYS);
        best.into_iter().map(|node| (node, all[&node])).collect()
    }

    fn own_relays(&self) -> BTreeMap<NodeId, Time> {
        let relays = self
            .own
            .iter()
            .filter(|(_, lease)| lease.kind.relay_weight() > 0);
        relays.map(|(node, lease)| (*node, lease.until)).collect()
    }
}

fn millis_until(until: Time, now: Time) -> u16 {
    let millis = until.0.saturating_sub(now.0) / MICROS_PER_MS;
    u16::try_from(millis).unwrap_or(u16::MAX)
}
