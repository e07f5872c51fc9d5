//! Drawn histories whose decisions are kept as digests: code that means to change none leaves each as it is.
//!
//! A line of the fixture is a way of working, a seed and the digest of all decisions in a history drawn by that seed.
mod drawn;
#[allow(dead_code)] // Other tests use more of it.
mod fake;

use drawn::recorder::{Kind, KINDS};
use drawn::{History, Way};
use sha2::{Digest, Sha256};

const KEPT: &str = include_str!("fixtures/decision-digests.txt");
const SEEDS: u64 = 20;

fn digest(decisions: &[u8]) -> String {
    let digest = Sha256::digest(decisions);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn played(way: Way, seed: u64) -> History {
    let mut history = History::new(way, seed);
    history.play();
    history
}

#[test]
fn decisions_are_the_same_to_the_last_digit() {
    let line = |way: Way, seed| {
        let history = played(way, seed);
        format!(
            "{} {seed} {}\n",
            way.name(),
            digest(&history.host.decisions)
        )
    };
    let line = &line;
    let now: String = Way::ALL
        .into_iter()
        .flat_map(|way| (1..=SEEDS).map(move |seed| line(way, seed)))
        .collect();
    assert!(now == KEPT, "these are the decisions now:\n{now}");
}

#[test]
fn each_kind_of_decision_is_among_those_kept() {
    let usual = [
        Kind::Attempt,
        Kind::Defer,
        Kind::WriteOff,
        Kind::Cancel,
        Kind::Forget,
        Kind::Wake,
        Kind::Doubt,
        Kind::Log,
        Kind::Figure,
    ];
    for way in Way::ALL {
        let mut counts = [0; KINDS];
        for seed in 1..=SEEDS {
            let history = played(way, seed);
            counts
                .iter_mut()
                .zip(history.host.counts)
                .for_each(|(sum, count)| *sum += count);
        }
        let of = |kind: Kind| counts[kind as usize];
        assert!(
            usual.into_iter().all(|kind| of(kind) > 0),
            "{way:?}: {counts:?}"
        );
        assert_eq!(
            of(Kind::Probe) > 0,
            way == Way::Probing,
            "{way:?}: {counts:?}"
        );
        assert_eq!(
            of(Kind::Watch) > 0,
            way == Way::Shared,
            "{way:?}: {counts:?}"
        );
    }
}
