//! JSON encoding of the messages between an old and a new process of one dispatcher, and of the state that a restart
//! keeps. In an upgrade two releases exchange these messages, so a changed encoding breaks the handover: a difference
//! from `fixtures/handover.txt` requires a new version, never only a new fixture. All fields of an example have
//! different values, so that a swap of two fields shows.

use sagetrail_dispatch::{
    category_terms_hash, name_hash, Callback, CategoryDuration, HandoverState, JobState,
    LearnedState, Lifecycle, ListEntry, RunnerEstimate, RunnerSnapshot,
};
use sagetrail_fixture::Fixture;
use sagetrail_policy::{Category, Placement, Repeat, Scope};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;

const FIXTURE: &str = include_str!("fixtures/handover.txt");

/// Without a wildcard, so that a new variant does not compile until it is named here.
fn state_name(state: &JobState) -> &'static str {
    match state {
        JobState::Started => "callback/started",
        JobState::Running { .. } => "callback/running",
        JobState::Done { .. } => "callback/done",
        JobState::Failed => "callback/failed",
        JobState::Returned => "callback/returned",
        JobState::Lost => "callback/lost",
    }
}

const STATES: [&str; 6] = [
    "callback/started",
    "callback/running",
    "callback/done",
    "callback/failed",
    "callback/returned",
    "callback/lost",
];

fn lifecycle_name(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Ready => "ready",
        Lifecycle::Draining => "draining",
        Lifecycle::Gone => "gone",
    }
}

const LIFECYCLES: [&str; 3] = ["ready", "draining", "gone"];

fn callbacks() -> Vec<Callback> {
    let states = [
        JobState::Started,
        JobState::Running { share: 0.25 },
        JobState::Done {
            result: "calm \"sea\"".to_string(),
        },
        JobState::Failed,
        JobState::Returned,
        JobState::Lost,
    ];
    let callback = |state| Callback {
        id: "item".to_string(),
        from: "runner".to_string(),
        state,
    };
    states.into_iter().map(callback).collect()
}

fn learned_state() -> LearnedState {
    LearnedState {
        version: 1,
        deployment: 0x0102_0304_0506_0708,
        written_at_s: 1_700_000_000.5,
        category_durations: vec![CategoryDuration {
            terms_hash: 11,
            seconds: 0.125,
        }],
        runners: vec![RunnerEstimate {
            name: "runner".to_string(),
            address: "10.0.0.1:80".to_string(),
            started_unix_s: 12.5,
            slots: 4.5,
            pace: 1.25,
        }],
    }
}

fn runner_snapshots() -> Vec<RunnerSnapshot> {
    let all_known = RunnerSnapshot {
        entry: ListEntry {
            id: "runner".to_string(),
            address: Some("10.0.0.1:80".parse().unwrap()),
            kind: 1,
            zone: 2,
            cell: 3,
            started_unix_s: 12.5,
            lifecycle: Lifecycle::Ready,
        },
        out_of_service_since_s: Some(21.5),
        back_in_service_at_s: Some(22.5),
        cold_sends: vec![(23.5, 24.5), (25.5, 26.5)],
        evidence: 27.5,
        excluded_until_s: Some(28.5),
        exclusion_s: 29.5,
    };
    let nothing_known = |id: &str, lifecycle| RunnerSnapshot {
        entry: ListEntry {
            id: id.to_string(),
            address: None,
            kind: 0,
            zone: 0,
            cell: 0,
            started_unix_s: 0.0,
            lifecycle,
        },
        out_of_service_since_s: None,
        back_in_service_at_s: None,
        cold_sends: Vec::new(),
        evidence: 0.0,
        excluded_until_s: None,
        exclusion_s: 0.0,
    };
    vec![
        all_known,
        nothing_known("leaving", Lifecycle::Draining),
        nothing_known("gone", Lifecycle::Gone),
    ]
}

fn handover_state() -> HandoverState {
    HandoverState {
        is_draining: true,
        deployment: 31,
        learned: learned_state(),
        runners: runner_snapshots(),
    }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

/// Checks that a value that is read from the fixture is written with the same text again.
fn assert_round_trip<T: DeserializeOwned + Serialize>(name: &str) {
    let fixture = Fixture::read(FIXTURE);
    let read: T = serde_json::from_str(fixture.text(name)).unwrap();
    assert_eq!(json(&read), fixture.text(name), "{name}");
}

#[test]
fn every_variant_has_an_example() {
    let named: BTreeSet<&str> = callbacks().iter().map(|c| state_name(&c.state)).collect();
    assert_eq!(named, BTreeSet::from(STATES));
    let named: BTreeSet<&str> = runner_snapshots()
        .iter()
        .map(|snapshot| lifecycle_name(snapshot.entry.lifecycle))
        .collect();
    assert_eq!(named, BTreeSet::from(LIFECYCLES));
}

#[test]
fn every_value_is_written_as_in_the_fixture() {
    let mut written = Fixture::default();
    for callback in callbacks() {
        written.add_text(state_name(&callback.state), &json(&callback));
    }
    written.add_text("learnt", &json(&learned_state()));
    written.add_text("passed", &json(&handover_state()));
    Fixture::assert_keeps(FIXTURE, &written);
}

#[test]
fn every_value_in_the_fixture_is_read() {
    for name in STATES {
        assert_round_trip::<Callback>(name);
    }
    assert_round_trip::<LearnedState>("learnt");
    assert_round_trip::<HandoverState>("passed");
}

/// Dispatchers identify runners and members to each other by these hashes.
#[test]
fn hashes_of_names_do_not_change() {
    assert_eq!(name_hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(name_hash("a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(name_hash("runner-é 12.5"), 12_569_012_519_533_245_936);
}

/// Learned values are stored and handed over under these hashes. A hash depends on the names of the category's fields
/// and variants in the code: if one of them is renamed, the hash changes and the learned values are dropped.
#[test]
fn hashes_of_category_terms_do_not_change() {
    let category = |repeat, placement| Category {
        due_s: 1.5,
        stretch: 2.5,
        payoff: 3.5,
        tardy: 0.5,
        repeat,
        window_s: 4.5,
        placement,
    };
    let bound = Placement {
        kinds: vec![1, 2],
        zones: vec![3],
    };
    let examples = [
        (Repeat::Idempotent, Placement::default()),
        (Repeat::Keyed(Scope::All), Placement::default()),
        (Repeat::Keyed(Scope::Zone), Placement::default()),
        (Repeat::Keyed(Scope::Cell), Placement::default()),
        (Repeat::AtMostOnce, bound),
    ];
    let hashes = examples
        .map(|(repeat, placement)| category_terms_hash("name", &category(repeat, placement)));
    let expected = [
        10_186_571_813_490_998_757,
        16_433_442_862_989_001_030,
        9_867_984_243_701_929_537,
        7_362_112_480_463_049_159,
        5_505_929_711_547_970_403,
    ];
    assert_eq!(hashes, expected);
}
