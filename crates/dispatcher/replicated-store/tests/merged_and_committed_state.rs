//! Guards against replicas of the merged state that do not converge or that bring back removed items, and against
//! overrides and settings in the committed state that replace a command that their operator had not seen.

use proptest::prelude::*;
use sagetrail_replicated_store::{
    Command, CommittedState, Item, ItemCounts, Key, MergedState, OverrideTarget, Proposal, Stamp,
};

const OWNERS: u64 = 3;

fn items() -> impl Strategy<Value = Vec<(Key, Item)>> {
    let item = (0..OWNERS, 0..4u8, 1..3u64, 1..9u64, any::<bool>()).prop_map(
        |(owner, key, incarnation, version, live)| {
            let stamp = Stamp {
                incarnation,
                version: version * 4 + u64::from(key),
            };
            // Each stamp of an owner belongs to one key and one value.
            let live = live ^ (stamp.version.is_multiple_of(3));
            let value = (live && stamp.version % 2 == 1)
                .then(|| vec![stamp.version as u8, incarnation as u8]);
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
        // The items are in ascending order of their stamps, as a replica that has all of them sends them. Each stamp
        // belongs to one item.
        items.sort_by_key(|(key, item)| (key.owner, item.stamp));
        items.dedup_by_key(|(key, item)| (key.owner, item.stamp));
        items
    })
}

fn joined(parts: &[&[(Key, Item)]]) -> MergedState {
    let mut merged = MergedState::new(99, 1, 100.0, 0.0);
    for part in parts {
        for (key, item) in part.iter() {
            merged.join(0.0, key.clone(), item.clone());
        }
    }
    merged
}

fn live_values(merged: &MergedState) -> Vec<(Key, Vec<u8>)> {
    merged
        .with_prefix("")
        .map(|(key, value)| (key.clone(), value.to_vec()))
        .collect()
}

proptest! {
    #[test]
    fn the_join_is_idempotent(items in items()) {
        let once = joined(&[&items]);
        let twice = joined(&[&items, &items]);
        prop_assert_eq!(live_values(&once), live_values(&twice));
        prop_assert_eq!(once.digest(), twice.digest());
    }

    #[test]
    fn two_replicas_that_exchange_converge(items in items(), a in 0..40usize, b in 0..40usize) {
        // Each replica has the items before a random index.
        let items_before = |end: usize| -> Vec<(Key, Item)> {
            items.iter().enumerate().filter(|(index, _)| *index < end).map(|(_, item)| item.clone()).collect()
        };
        let (mut one, mut other) = (joined(&[&items_before(a)]), joined(&[&items_before(b)]));
        for _ in 0..4 {
            for (key, item) in one.delta(&other.digest(), 1 << 20) {
                other.join(0.0, key, item);
            }
            for (key, item) in other.delta(&one.digest(), 1 << 20) {
                one.join(0.0, key, item);
            }
        }
        prop_assert_eq!(live_values(&one), live_values(&other));
        prop_assert_eq!(one.digest(), other.digest());
    }
}

fn counts(items: usize, tombstones: usize) -> ItemCounts {
    ItemCounts { items, tombstones }
}

fn replicate(from: &MergedState, to: &mut MergedState, now_s: f64, member: u64) {
    to.receive_digest(now_s, member, &from.digest());
    for (key, item) in from.delta(&to.digest(), 1 << 20) {
        to.join(now_s, key, item);
    }
}

#[test]
fn a_removed_item_does_not_come_back_from_a_replica_that_was_away() {
    let mut owner = MergedState::new(1, 5, 100.0, 0.0);
    let (mut b, mut c) = (
        MergedState::new(2, 5, 100.0, 0.0),
        MergedState::new(3, 5, 100.0, 0.0),
    );
    owner.put(0.0, "word/runner/r1", Some(vec![1]));
    replicate(&owner, &mut b, 1.0, 1);
    replicate(&owner, &mut c, 1.0, 1);
    let saved_copy = c.encode();
    owner.put(2.0, "word/runner/r1", None);
    replicate(&owner, &mut b, 3.0, 1);
    replicate(&owner, &mut c, 3.0, 1);
    assert_eq!(b.count(), counts(1, 1), "the removal leaves a tombstone");
    // All members have the tombstone, so it is collected.
    for (digest, member) in [(owner.digest(), 1), (c.digest(), 3)] {
        b.receive_digest(4.0, member, &digest);
    }
    b.collect_tombstones(4.0, &[1, 3]);
    assert_eq!(b.count(), counts(0, 0));
    // A replica restarts with a copy from before the removal.
    let mut old = MergedState::new(3, 6, 100.0, 5.0);
    old.restore(5.0, &saved_copy, 4.0).unwrap();
    assert_eq!(old.get(1, "word/runner/r1"), Some(&[1][..]));
    replicate(&old, &mut b, 5.0, 3);
    assert_eq!(
        b.get(1, "word/runner/r1"),
        None,
        "the removed item was brought back"
    );
    replicate(&b, &mut old, 5.0, 2);
    // A copy that is older than the retention time of tombstones restores no items of other members.
    let mut expired_copy = MergedState::new(3, 7, 100.0, 500.0);
    expired_copy.restore(500.0, &saved_copy, 400.0).unwrap();
    assert_eq!(expired_copy.get(1, "word/runner/r1"), None);
}

#[test]
fn a_replica_without_the_tombstone_accepts_the_old_value_until_it_receives_the_removal() {
    // The same sequence with a replica that has never held the item: it cannot know of the removal. This shows that the
    // known latest stamps protect the other replicas.
    let mut owner = MergedState::new(1, 5, 100.0, 0.0);
    owner.put(0.0, "k", Some(vec![1]));
    let disconnected = {
        let mut c = MergedState::new(3, 5, 100.0, 0.0);
        replicate(&owner, &mut c, 1.0, 1);
        c
    };
    owner.put(2.0, "k", None);
    let mut new_replica = MergedState::new(2, 5, 100.0, 2.0);
    replicate(&disconnected, &mut new_replica, 3.0, 3);
    assert_eq!(
        new_replica.get(1, "k"),
        Some(&[1][..]),
        "a replica that never received the tombstone accepts the old value"
    );
    replicate(&owner, &mut new_replica, 4.0, 1);
    assert_eq!(new_replica.get(1, "k"), None, "the removal arrived");
}

fn proposal(member: u64, sequence: u64, command: Command) -> Proposal {
    Proposal {
        member,
        process: 1,
        sequence,
        command,
    }
}

#[test]
fn overrides_from_two_sides_of_a_partition_both_hold_until_one_operator_decides() {
    let target = OverrideTarget::Runner("r1".to_string());
    let set_override = |out_of_service, seen_index| Command::Override {
        target: target.clone(),
        out_of_service,
        seen_index,
    };
    let mut committed = CommittedState::default();
    assert!(committed.apply(10, proposal(1, 1, set_override(true, 0))));
    assert!(committed.is_out_of_service(&target));
    // One side puts the target back after it has seen entry 10. The other side has not seen that, and takes the target
    // out again.
    assert!(committed.apply(11, proposal(1, 2, set_override(false, 10))));
    assert!(!committed.is_out_of_service(&target));
    assert!(committed.apply(12, proposal(2, 1, set_override(true, 10))));
    assert!(
        committed.is_out_of_service(&target),
        "out of service prevails over in service"
    );
    assert!(
        committed.apply(13, proposal(1, 3, set_override(false, 10))),
        "the operator has not seen entry 12"
    );
    assert!(committed.is_out_of_service(&target));
    assert_eq!(
        committed.overrides[&target].len(),
        2,
        "both overrides are kept"
    );
    assert!(
        committed.apply(14, proposal(1, 4, set_override(false, 13))),
        "the operator has seen both overrides"
    );
    assert!(!committed.is_out_of_service(&target));
    // A duplicated or delayed proposal changes nothing.
    assert!(!committed.apply(15, proposal(1, 1, set_override(true, 0))));
    assert!(!committed.is_out_of_service(&target));
}

#[test]
fn the_later_of_two_overrides_at_one_dispatcher_takes_effect() {
    let target = OverrideTarget::Runner("r1".to_string());
    let mut committed = CommittedState::default();
    // Both overrides were proposed before either of them was committed.
    for (sequence, out_of_service) in [(1, true), (2, false)] {
        assert!(committed.apply(
            20 + sequence,
            proposal(
                1,
                sequence,
                Command::Override {
                    target: target.clone(),
                    out_of_service,
                    seen_index: 0
                }
            )
        ));
    }
    assert!(!committed.is_out_of_service(&target));
}

#[test]
fn settings_are_accepted_only_on_the_version_that_was_seen() {
    let mut committed = CommittedState::default();
    let settings = |text: &str, base_version| Command::Settings {
        text: text.to_string(),
        base_version,
    };
    assert!(committed.apply(1, proposal(1, 1, settings("a", 0))));
    assert!(
        !committed.apply(2, proposal(1, 2, settings("b", 0))),
        "version 1 was committed first"
    );
    assert!(committed.apply(3, proposal(1, 3, settings("c", 1))));
    assert_eq!((committed.version(), committed.settings()), (2, "c"));
    assert_eq!(
        CommittedState::decode(&committed.encode()),
        Ok(committed.clone())
    );
}
