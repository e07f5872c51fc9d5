//! Days whose digests are kept: code that means to change no decision leaves each of them as it is.
//!
//! A line of the fixture is a kind of day, its seed and its digest. Where a change is meant to show in the days, the
//! test's output has the new lines; `sagetrail-simulation --digest` prints the same for any seed.

use sagetrail_simulation::scenario::Scenario;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

const KEPT: &str = include_str!("fixtures/day-digests.txt");
/// So many days are played at once.
const AT_ONCE: usize = 4;

struct Day {
    kind: &'static str,
    seed: u64,
    digest: &'static str,
}

impl Day {
    fn read(line: &'static str) -> Day {
        let fields: Vec<&str> = line.split(' ').collect();
        let [kind, seed, digest] = fields[..] else {
            panic!("not KIND SEED DIGEST: {line}");
        };
        Day {
            kind,
            seed: seed.parse().unwrap(),
            digest,
        }
    }

    fn scenario(&self) -> Scenario {
        match self.kind {
            "calm" => Scenario::calm(self.seed),
            "troubled" => Scenario::troubled(self.seed),
            "pressed" => Scenario::pressed(self.seed),
            "recovering" => Scenario::recovering(self.seed),
            other => panic!("no kind of day: {other}"),
        }
    }

    /// The line with the digest as it is now, where that is another one.
    fn changed(&self) -> Option<String> {
        let digest = self.scenario().run().digest;
        (digest != self.digest).then(|| format!("{} {} {digest}", self.kind, self.seed))
    }
}

fn kept() -> Vec<Day> {
    KEPT.lines().map(Day::read).collect()
}

/// Plays days, several at once; gives the lines that have changed.
fn changed(days: &[Day]) -> BTreeSet<String> {
    let next = AtomicUsize::new(0);
    let changed = Mutex::new(BTreeSet::new());
    let play = || {
        while let Some(day) = days.get(next.fetch_add(1, Ordering::Relaxed)) {
            let line = day.changed();
            changed.lock().unwrap().extend(line);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(play);
        }
    });
    changed.into_inner().unwrap()
}

#[test]
fn days_are_the_same_to_the_last_byte() {
    let changed: Vec<String> = changed(&kept()).into_iter().collect();
    assert!(
        changed.is_empty(),
        "these days are others now:\n{}",
        changed.join("\n")
    );
}

#[test]
fn forty_days_of_all_kinds_have_the_digests_of_the_fixture_and_no_two_the_same() {
    let days = kept();
    let digests: BTreeSet<&str> = days.iter().map(|day| day.digest).collect();
    assert_eq!((days.len(), digests.len()), (40, 40));
    for kind in ["calm", "troubled", "pressed", "recovering"] {
        assert!(days.iter().filter(|day| day.kind == kind).count() >= 8);
    }
}
