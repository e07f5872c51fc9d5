//! Random histories whose decisions are compared with recorded digests. A change of code that is not meant to change
//! decisions leaves every digest as it is.
//!
//! A line of the fixture holds the name of a mode, a seed, and the digest of all decisions in that history.

mod drawn;
#[allow(dead_code)] // Other tests use the remaining helpers.
mod fake;

use drawn::recorder::{Kind, KINDS};
use drawn::{History, Mode};
use sha2::{Digest, Sha256};

const EXPECTED: &str = include_str!("fixtures/decision-digests.txt");
/// The histories of each mode have the seeds from 1 to this one.
const SEEDS: u64 = 20;

/// The SHA-256 digest in hexadecimal digits.
fn digest(decisions: &[u8]) -> String {
    let digest = Sha256::digest(decisions);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn run_history(mode: Mode, seed: u64) -> History {
    let mut history = History::new(mode, seed);
    history.run();
    history
}

/// Guards against an unintended change of a decision, down to the last bit of its numbers.
#[test]
fn decisions_match_the_recorded_digests() {
    let line = |mode: Mode, seed| {
        let history = run_history(mode, seed);
        format!(
            "{} {seed} {}\n",
            mode.name(),
            digest(&history.host.decisions)
        )
    };
    let line = &line;
    let actual: String = Mode::ALL
        .into_iter()
        .flat_map(|mode| (1..=SEEDS).map(move |seed| line(mode, seed)))
        .collect();
    assert!(
        actual == EXPECTED,
        "the digests of the present decisions:\n{actual}"
    );
}

/// Guards against histories that miss a kind of decision, so that the digests would not show its change.
#[test]
fn every_kind_of_decision_occurs_in_the_histories() {
    let common = [
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
    for mode in Mode::ALL {
        let mut counts = [0; KINDS];
        for seed in 1..=SEEDS {
            let history = run_history(mode, seed);
            counts
                .iter_mut()
                .zip(history.host.counts)
                .for_each(|(sum, count)| *sum += count);
        }
        let count_of = |kind: Kind| counts[kind as usize];
        assert!(
            common.into_iter().all(|kind| count_of(kind) > 0),
            "{mode:?}: {counts:?}"
        );
        assert_eq!(
            count_of(Kind::Probe) > 0,
            mode == Mode::Probing,
            "{mode:?}: {counts:?}"
        );
        assert_eq!(
            count_of(Kind::Watch) > 0,
            mode == Mode::Shared,
            "{mode:?}: {counts:?}"
        );
    }
}
