//! Fleet: its members, and what is shared among them.

use super::caps::caps;
use super::reader::Reader;
use crate::configuration::{Fleet, Member};
use crate::layers::Origin;
use std::net::{Ipv4Addr, SocketAddr};

const MIN_MEMBERS: usize = 2;
const MAX_MEMBERS: usize = 1000;
/// Placeholder for a missing address, which has been reported as a fault.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The fleet, if any key of it is given.
pub(super) fn fleet(reader: &mut Reader, name: &str, categories: &[String]) -> Option<Fleet> {
    if !reader.has_below("fleet.") {
        return None;
    }
    reader.require("fleet.name");
    reader.require("fleet.listen");
    let members = members(reader);
    let origin = reader.origin("fleet.");
    check_size(reader, &origin, members.len());
    let own_index = own_index_of(reader, &origin, name, &members);
    let caps = caps(reader, categories);
    Some(Fleet {
        name: reader.text("fleet.name").unwrap_or_default(),
        listen: address(reader, "fleet.listen"),
        sharing: reader.flag("fleet.sharing", true),
        members,
        own_index,
        probe_interval_s: reader.number("fleet.probe", 0.3),
        ack_timeout_s: reader.number("fleet.ack", 0.1),
        indirect_probes: reader.number("fleet.helpers", 3.0) as usize,
        lease_s: reader.number("fleet.lease", 3.0),
        owner_count: reader.number("fleet.owners", 3.0) as usize,
        caps,
        max_resends: reader.integer("fleet.resends"),
    })
}

fn members(reader: &mut Reader) -> Vec<Member> {
    let mut members: Vec<Member> = Vec::new();
    for n in 0..reader.count("fleet.members") {
        let member = member(reader, n, &members);
        members.push(member);
    }
    members
}

fn member(reader: &mut Reader, n: usize, earlier: &[Member]) -> Member {
    let at = |key: &str| format!("fleet.members.{n}.{key}");
    for key in ["name", "site", "at"] {
        reader.require(&at(key));
    }
    let name = reader.text(&at("name")).unwrap_or_default();
    if earlier.iter().any(|other| other.name == name) {
        reader.fault_at(&at("name"), &format!("member '{name}' stands twice"));
    }
    let site = reader.text(&at("site")).unwrap_or_default();
    Member {
        name,
        site,
        address: address(reader, &at("at")),
    }
}

fn address(reader: &Reader, path: &str) -> SocketAddr {
    reader
        .text(path)
        .and_then(|text| text.parse().ok())
        .unwrap_or(NO_ADDRESS)
}

fn check_size(reader: &mut Reader, origin: &Origin, members: usize) {
    if !(MIN_MEMBERS..=MAX_MEMBERS).contains(&members) {
        let reason = format!("{members} are not from {MIN_MEMBERS} to {MAX_MEMBERS}");
        reader.fault(origin, "fleet.members", &reason);
    }
}

fn own_index_of(reader: &mut Reader, origin: &Origin, name: &str, members: &[Member]) -> usize {
    let index = members.iter().position(|member| member.name == name);
    if index.is_none() {
        reader.fault(
            origin,
            "fleet.members",
            &format!("'{name}', this dispatcher, is not among them"),
        );
    }
    index.unwrap_or(0)
}
