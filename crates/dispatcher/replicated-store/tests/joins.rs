//! Merged state: its join, what is dropped, copies that were away. And what the agreed log makes of words.

use proptest::prelude::*;
use sagetrail_replicated_store::{About, Facts, Item, Key, Merged, Op, Proposal, Stamp};

const OWNERS: u64 = 3;

fn items() -> impl Strategy<Value = Vec<(Key, Item)>> {
    let item = (0..OWNERS, 0..4u8, 1..3u64, 1..9u64, any::<bool>()).prop_map(
        |(owner, key, inc, version, live)| {
            let stamp = Stamp {
                incarnation: inc,
                version: version * 4 + u64::from(key),
            };
            // An owner's stamp is of one key and one value alone.
            let live = live ^ (stamp.version.is_multiple_of(3));
            let value =
                (live && stamp.version % 2 == 1).then(|| vec![stamp.version as u8, inc as u8]);
            (
                Key {
                    owner,
                    name: format!("k{key}"),
                },
                Item { stamp, value },
            )
        },
    );
    proptest::collection::vec(item, 0..40).prop_map(|mut items| {
        // Oldest first, as they come from whoever has them all; one stamp, one item.
        items.sort_by_key(|(key, item)| (key.owner, item.stamp));
        items.dedup_by_key(|(key, item)| (key.owner, item.stamp));
        items
    })
}

fn joined(parts: &[&[(Key, Item)]]) -> Merged {
    let mut merged = Merged::new(99, 1, 100.0, 0.0);
    for part in parts {
        for (key, item) in part.iter() {
            merged.join(0.0, key.clone(), item.clone());
        }
    }
    merged
}

fn live(merged: &Merged) -> Vec<(Key, Vec<u8>)> {
    merged
        .under("")
        .map(|(key, value)| (key.clone(), value.to_vec()))
        .collect()
}

proptest! {
    #[test]
    fn joining_twice_or_what_is_there_changes_nothing(items in items()) {
        let once = joined(&[&items]);
        let twice = joined(&[&items, &items]);
        prop_assert_eq!(live(&once), live(&twice));
        prop_assert_eq!(once.digest(), twice.digest());
    }

    #[test]
    fn two_copies_that_exchange_end_the_same(items in items(), a in 0..40usize, b in 0..40usize) {
        // Each has an owner's items up to some place.
        let upto = |n: usize| -> Vec<(Key, Item)> {
            items.iter().enumerate().filter(|(at, _)| *at < n).map(|(_, item)| item.clone()).collect()
        };
        let (mut one, mut other) = (joined(&[&upto(a)]), joined(&[&upto(b)]));
        for _ in 0..4 {
            for (key, item) in one.beyond(&other.digest(), 1 << 20) {
                other.join(0.0, key, item);
            }
            for (key, item) in other.beyond(&one.digest(), 1 << 20) {
                one.join(0.0, key, item);
            }
        }
        prop_assert_eq!(live(&one), live(&other));
        prop_assert_eq!(one.digest(), other.digest());
    }
}

fn spread(from: &Merged, to: &mut Merged, now: f64, who: u64) {
    to.heard(now, who, &from.digest());
    for (key, item) in from.beyond(&to.digest(), 1 << 20) {
        to.join(now, key, item);
    }
}

#[test]
fn what_its_owner_dropped_does_not_come_back_from_a_copy_that_was_away() {
    let mut owner = Merged::new(1, 5, 100.0, 0.0);
    let (mut b, mut c) = (Merged::new(2, 5, 100.0, 0.0), Merged::new(3, 5, 100.0, 0.0));
    owner.put(0.0, "word/runner/r1", Some(vec![1]));
    spread(&owner, &mut b, 1.0, 1);
    spread(&owner, &mut c, 1.0, 1);
    let away = c.write();
    owner.put(2.0, "word/runner/r1", None);
    spread(&owner, &mut b, 3.0, 1);
    spread(&owner, &mut c, 3.0, 1);
    assert_eq!(b.count(), (1, 1), "a mark");
    // All have it: the mark goes.
    for (digest, who) in [(owner.digest(), 1), (c.digest(), 3)] {
        b.heard(4.0, who, &digest);
    }
    b.sweep(4.0, &[1, 3]);
    assert_eq!(b.count(), (0, 0));
    // One comes with a copy from before.
    let mut old = Merged::new(3, 6, 100.0, 5.0);
    assert!(old.take_up(5.0, &away, 4.0));
    assert_eq!(old.get(1, "word/runner/r1"), Some(&[1][..]));
    spread(&old, &mut b, 5.0, 3);
    assert_eq!(b.get(1, "word/runner/r1"), None, "brought back");
    spread(&b, &mut old, 5.0, 2);
    // A copy older than marks are kept brings nothing of others.
    let mut older = Merged::new(3, 7, 100.0, 500.0);
    assert!(older.take_up(500.0, &away, 400.0));
    assert_eq!(older.get(1, "word/runner/r1"), None);
}

#[test]
fn a_merge_that_forgets_its_marks_would_be_seen() {
    // The same day with a copy that knows nothing of what it had: what the guard is worth.
    let mut owner = Merged::new(1, 5, 100.0, 0.0);
    owner.put(0.0, "k", Some(vec![1]));
    let away = {
        let mut c = Merged::new(3, 5, 100.0, 0.0);
        spread(&owner, &mut c, 1.0, 1);
        c
    };
    owner.put(2.0, "k", None);
    let mut forgetful = Merged::new(2, 5, 100.0, 2.0);
    spread(&away, &mut forgetful, 3.0, 3);
    assert_eq!(
        forgetful.get(1, "k"),
        Some(&[1][..]),
        "one that never heard of the mark takes the old value"
    );
    spread(&owner, &mut forgetful, 4.0, 1);
    assert_eq!(forgetful.get(1, "k"), None, "until it hears");
}

fn op(who: u64, no: u64, op: Op) -> Proposal {
    Proposal {
        who,
        birth: 1,
        no,
        op,
    }
}

#[test]
fn words_on_two_sides_of_a_split_both_stand_until_one_decides() {
    let about = About::Runner("r1".to_string());
    let word = |out, seen| Op::Word {
        about: about.clone(),
        out,
        seen,
    };
    let mut facts = Facts::default();
    assert!(facts.take(10, op(1, 1, word(true, 0))));
    assert!(facts.out(&about));
    // One side puts it back, knowing of that; the other, not knowing, takes it out anew.
    assert!(facts.take(11, op(1, 2, word(false, 10))));
    assert!(!facts.out(&about));
    assert!(facts.take(12, op(2, 1, word(true, 10))));
    assert!(facts.out(&about), "the more cautious holds");
    assert!(
        facts.take(13, op(1, 3, word(false, 10))),
        "without having seen 12"
    );
    assert!(facts.out(&about));
    assert_eq!(facts.words[&about].len(), 2, "both are shown");
    assert!(
        facts.take(14, op(1, 4, word(false, 13))),
        "an operator who saw both"
    );
    assert!(!facts.out(&about));
    // A doubled or late proposal changes nothing.
    assert!(!facts.take(15, op(1, 1, word(true, 0))));
    assert!(!facts.out(&about));
}

#[test]
fn at_one_door_the_later_word_holds_agreed_yet_or_not() {
    let about = About::Runner("r1".to_string());
    let mut facts = Facts::default();
    // Both were said before either was agreed.
    for (no, out) in [(1, true), (2, false)] {
        assert!(facts.take(
            20 + no,
            op(
                1,
                no,
                Op::Word {
                    about: about.clone(),
                    out,
                    seen: 0
                }
            )
        ));
    }
    assert!(!facts.out(&about));
}

#[test]
fn a_version_of_settings_stands_on_the_one_that_was_seen() {
    let mut facts = Facts::default();
    let settings = |text: &str, on| Op::Settings {
        text: text.to_string(),
        on,
    };
    assert!(facts.take(1, op(1, 1, settings("a", 0))));
    assert!(
        !facts.take(2, op(1, 2, settings("b", 0))),
        "another came first"
    );
    assert!(facts.take(3, op(1, 3, settings("c", 1))));
    assert_eq!((facts.version(), facts.settings()), (2, "c"));
    assert_eq!(Facts::read(&facts.write()), Some(facts));
}
