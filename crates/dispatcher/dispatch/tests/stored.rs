//! State that the next process of a dispatcher takes over. An earlier build's state must be read without loss, and this
//! build must write the same text; otherwise an upgrade loses the state or misreads it.
//!
//! If the format has to change on purpose, `WRITE_STORED=1 cargo test -p sagetrail-dispatch --test stored` writes
//! `fixtures/passed.json` again, so that the commit shows the change.

use sagetrail_dispatch::{
    category_terms_hash, CategoryDuration, HandoverState, LearnedState, Lifecycle, ListEntry,
    RunnerEstimate, RunnerSnapshot,
};
use sagetrail_policy::{Category, Placement, Repeat, Scope};
use std::path::PathBuf;

const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone];

fn entry(number: u16, lifecycle: Lifecycle) -> ListEntry {
    ListEntry {
        id: format!("s-{number}"),
        address: (number != 3).then(|| ([127, 0, 0, 1], 4000 + number).into()),
        kind: 1,
        zone: 2,
        cell: 3,
        started_unix_s: 1000.5,
        lifecycle,
    }
}

fn runner_snapshot(number: u16, lifecycle: Lifecycle) -> RunnerSnapshot {
    RunnerSnapshot {
        entry: entry(number, lifecycle),
        out_of_service_since_s: Some(2000.25),
        back_in_service_at_s: None,
        cold_sends: vec![(2001.5, 1.0), (2002.5, 2.0)],
        evidence: 0.75,
        excluded_until_s: Some(2003.0),
        exclusion_s: 0.5,
    }
}

fn handover_state() -> HandoverState {
    HandoverState {
        is_draining: true,
        deployment: 17,
        learned: LearnedState {
            version: 1,
            deployment: 17,
            written_at_s: 1999.5,
            category_durations: vec![CategoryDuration {
                terms_hash: 18,
                seconds: 0.25,
            }],
            runners: vec![RunnerEstimate {
                name: "s-1".to_string(),
                address: "127.0.0.1:4001".to_string(),
                started_unix_s: 1000.5,
                slots: 6.0,
                pace: 1.5,
            }],
        },
        runners: LIFECYCLES
            .into_iter()
            .zip(1..)
            .map(|(lifecycle, number)| runner_snapshot(number, lifecycle))
            .collect(),
    }
}

fn fixture_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/passed.json")
}

fn stored_text() -> String {
    std::fs::read_to_string(fixture_path()).unwrap()
}

#[test]
fn the_handover_state_is_written_as_stored() {
    let text = serde_json::to_string(&handover_state()).unwrap();
    if std::env::var_os("WRITE_STORED").is_some() {
        std::fs::create_dir_all(fixture_path().parent().unwrap()).unwrap();
        std::fs::write(fixture_path(), &text).unwrap();
    }
    assert_eq!(text, stored_text());
}

#[test]
fn the_stored_handover_state_is_read_without_loss() {
    let read: HandoverState = serde_json::from_str(&stored_text()).unwrap();
    assert_eq!(
        serde_json::to_string(&read).unwrap(),
        serde_json::to_string(&handover_state()).unwrap()
    );
}

/// The learned values of a category are dropped if its hash differs. The hash depends on all fields of the category and
/// their names.
#[test]
fn hashes_of_category_terms_are_as_stored() {
    let category = |repeat| Category {
        due_s: 0.5,
        stretch: 0.25,
        payoff: 1.0,
        tardy: 0.2,
        repeat,
        window_s: 3.0,
        placement: Placement {
            kinds: vec![1],
            zones: vec![2],
        },
    };
    let repeats = [
        Repeat::Idempotent,
        Repeat::Keyed(Scope::All),
        Repeat::Keyed(Scope::Zone),
        Repeat::Keyed(Scope::Cell),
        Repeat::AtMostOnce,
    ];
    let hashes = repeats.map(|repeat| category_terms_hash("name", &category(repeat)));
    let expected = [
        4489956296849528677,
        16442027526128441362,
        14556048950111795011,
        5566738929150478049,
        15883430893644256669,
    ];
    assert_eq!(hashes, expected);
}
