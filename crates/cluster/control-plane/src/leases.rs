//! The membership leases (Gray and Cheriton, 1989) of the processes outside the core. Each of these processes says
//! hello to one core process only, so the core processes report their leases to each other. The size of a report does
//! not grow with the number of leases.

use crate::timing::SHARE_INTERVAL_MS;
use sagetrail_config_distribution::best_relays;
use sagetrail_protocol::control::{MemberLease, MemberLeases};
use sagetrail_protocol::directory::{MAX_RELAYS, MEMBER_LEASE_MS};
use sagetrail_protocol::{List, NodeId, NodeKind, Time};
use std::collections::BTreeMap;

/// The maximum number of leases that one core process holds.
const MAX_LEASES: usize = 4_096;
/// The number of processes outside the core, for each core process, above which the core names relays to distribute
/// configurations.
pub(crate) const DIRECT_CHILDREN: u64 = 16;
const MICROS_PER_MS: u64 = 1_000;

/// The lease of a process that says hello to this one.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// The kind of the process, which determines whether it can be a relay.
    kind: NodeKind,
    /// When the lease expires, unless it is renewed.
    expires_at: Time,
}

/// The leases at another core process, as it last reported them.
#[derive(Debug)]
struct PeerLeases {
    /// The number of leases at the peer.
    count: u32,
    /// When the report expires.
    expires_at: Time,
    /// The peer's best relays, each with the time at which its lease expires.
    relays: BTreeMap<NodeId, Time>,
}

/// The leases at this process, and the reports of other core processes.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    /// The leases at this process.
    own: BTreeMap<NodeId, Lease>,
    /// The latest report of each other core process.
    peers: BTreeMap<NodeId, PeerLeases>,
    /// The best relays of this process and its peers, best first, each with the time at which its lease expires.
    best_relays: Vec<(NodeId, Time)>,
    /// When the next report is due.
    report_at: Time,
}

impl Leases {
    /// Handles a hello of a process outside the core, which renews its lease.
    pub(crate) fn renew(&mut self, now: Time, node: NodeId, kind: NodeKind) {
        if self.own.contains_key(&node) || self.own.len() < MAX_LEASES {
            self.own.insert(
                node,
                Lease {
                    kind,
                    expires_at: now.plus_millis(MEMBER_LEASE_MS),
                },
            );
        }
    }

    /// Handles the report of another core process.
    pub(crate) fn on_report(&mut self, now: Time, from: NodeId, leases: &MemberLeases) {
        let expires_at = |lease: &MemberLease| {
            now.plus_millis(u64::from(lease.remaining_ms).min(MEMBER_LEASE_MS))
        };
        let relays = leases
            .relays
            .iter()
            .take(MAX_RELAYS)
            .map(|lease| (lease.node, expires_at(lease)));
        let peer = PeerLeases {
            count: leases.count,
            expires_at: now.plus_millis(MEMBER_LEASE_MS),
            relays: relays.collect(),
        };
        self.peers.insert(from, peer);
    }

    /// Returns the report to the other core processes, or `None` if no report is due or this process has no leases.
    pub(crate) fn take_report(&mut self, now: Time) -> Option<MemberLeases> {
        if now < self.report_at {
            return None;
        }
        self.report_at = now.plus_millis(SHARE_INTERVAL_MS);
        self.own.retain(|_, lease| lease.expires_at > now);
        self.peers.retain(|_, peer| peer.expires_at > now);
        self.best_relays = self.select_best_relays(now);
        (!self.own.is_empty()).then(|| self.report(now))
    }

    /// Returns when the next report is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let idle = self.own.is_empty() && self.peers.is_empty();
        (!idle).then_some(self.report_at)
    }

    /// Returns the relays that have a lease, best first, or none while the `core_size` core processes serve all other
    /// processes directly.
    pub(crate) fn relays(&self, now: Time, core_size: usize) -> Vec<NodeId> {
        if self.lease_count(now) <= DIRECT_CHILDREN * core_size as u64 {
            return Vec::new();
        }
        let live = self
            .best_relays
            .iter()
            .filter(|(_, expires_at)| *expires_at > now);
        live.map(|(node, _)| *node).collect()
    }

    /// Returns the number of leases at this process and its peers. A lease that was renewed at two processes counts
    /// twice.
    fn lease_count(&self, now: Time) -> u64 {
        let peers = self.peers.values().filter(|peer| peer.expires_at > now);
        self.own.len() as u64 + peers.map(|peer| u64::from(peer.count)).sum::<u64>()
    }

    fn report(&self, now: Time) -> MemberLeases {
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

    fn select_best_relays(&self, now: Time) -> Vec<(NodeId, Time)> {
        let mut all = self.own_relays();
        for (node, expires_at) in self.peers.values().flat_map(|peer| &peer.relays) {
            let known = all.entry(*node).or_insert(*expires_at);
            *known = (*known).max(*expires_at);
        }
        all.retain(|_, expires_at| *expires_at > now);
        let best = best_relays(all.keys().copied().collect(), MAX_RELAYS);
        best.into_iter().map(|node| (node, all[&node])).collect()
    }

    fn own_relays(&self) -> BTreeMap<NodeId, Time> {
        let relays = self
            .own
            .iter()
            .filter(|(_, lease)| lease.kind.relay_weight() > 0);
        relays
            .map(|(node, lease)| (*node, lease.expires_at))
            .collect()
    }
}

fn millis_until(expires_at: Time, now: Time) -> u16 {
    let millis = expires_at.0.saturating_sub(now.0) / MICROS_PER_MS;
    u16::try_from(millis).unwrap_or(u16::MAX)
}
