//! Several members find a value undecided at the same time, while a round takes longer than the backoff between rounds.
//! If each of them repeated its rounds, they would reject each other's proposals, and each round would send the value
//! again.

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
/// Links on which sending a value of about 76,000 bytes takes 76 ms.
const SLOW_LINKS: Speeds = Speeds {
    link_bytes_per_us: 1,
    ..SMALL_SITE
};
/// How long the members run after the proposer has lost power, in milliseconds.
const OBSERVED_MS: u64 = 6_000;
/// The limit for the traffic of all members in that time, as a multiple of the value's size.
const MAX_VALUES: u64 = 60;

/// A cluster on slow links that has lost the proposer of a change after two of the four remaining members accepted it.
fn with_undecided_change(seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(MEMBERS, seed);
    let body = large_config(1, ROUTES);
    let number = cluster.http(0, Method::Post, "/v1/config/replace", Some(0), &body);
    cluster.run(2_000);
    assert_eq!(cluster.status(number), 200);
    cluster.speeds = Some(SLOW_LINKS);
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
fn members_decide_on_an_undecided_value_without_competing_rounds() {
    for seed in 1..=12 {
        let mut cluster = with_undecided_change(seed);
        let before = cluster.sent_bytes;
        cluster.run(OBSERVED_MS);
        let bytes = cluster.sent_bytes - before;
        let value = cluster.machines[1].disk.control[&b"value"[..]].len() as u64;
        assert!(
            bytes < MAX_VALUES * value,
            "seed {seed}: {bytes} bytes sent with a value of {value} bytes"
        );
        let versions: Vec<Option<u64>> = (1..MEMBERS).map(|i| cluster.read_version(i)).collect();
        assert!(versions.iter().all(|version| *version == versions[0]));
        assert!(versions[0] >= Some(1), "seed {seed}: {versions:?}");
    }
}
