//! Members that find a value undecided at the same time, where a round takes longer than the pauses between rounds.

mod support;
use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::node::Method;
use sagetrail_protocol::Message;
use support::cluster::{id, Cluster};
use support::operators::patch;
use support::requests::large_config;
use support::speeds::{Speeds, SMALL_SITE};

const MEMBERS: usize = 5;
const ROUTES: usize = 400;
/// Links on which a value of some 76,000 bytes takes 76 ms.
const THIN_LINKS: Speeds = Speeds {
    link_bytes_per_us: 1,
    ..SMALL_SITE
};
/// The members go on so long after the proposer has gone, in milliseconds.
const AFTER_MS: u64 = 6_000;
/// In that time the members may send so many values in all.
const MAX_VALUES: u64 = 60;

/// A cluster on thin links in which two members of the four that are left have accepted a change.
fn with_undecided_change(seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
    let body = large_config(1, ROUTES);
    let number = cluster.http(0, Method::Post, "/v1/config/replace", Some(0), &body);
    cluster.run(2_000);
    assert_eq!(cluster.status(number), 200);
    cluster.speeds = Some(THIN_LINKS);
    cluster.run(2_000);
    cluster.tamper = Some(Box::new(move |from, to, message| {
        let accepts = matches!(
            message,
            Message::Control(ControlMessage::Accept(_) | ControlMessage::AcceptChange(_))
        );
        !accepts || from != id(0) || to == id(1) || to == id(2)
    }));
    let change = patch(1, 2, "undecided");
    let path = "/v1/config/patch";
    cluster.http(0, Method::Post, path, Some(1), &change.content);
    cluster.run(150);
    cluster.power_off(0);
    cluster.tamper = None;
    cluster
}

#[test]
fn members_settle_a_value_without_competing_for_it() {
    for seed in 1..=12 {
        let mut cluster = with_undecided_change(seed);
        let before = cluster.sent_bytes;
        cluster.run(AFTER_MS);
        let bytes = cluster.sent_bytes - before;
        let value = cluster.machines[1].disk.control[&b"value"[..]].len() as u64;
        assert!(
            bytes < MAX_VALUES * value,
            "seed {seed}: {bytes} bytes with values of {value}"
        );
        let versions: Vec<Option<u64>> = (1..MEMBERS).map(|i| cluster.read_back(i)).collect();
        assert!(versions.iter().all(|version| *version == versions[0]));
        assert!(versions[0] >= Some(1), "seed {seed}: {versions:?}");
    }
}
