//! Guards against wrong answers of a core member that is isolated or frozen, or whose clock is wrong, for up to 22
//! seconds. The checker examines its answers to the operator, to clients and to subscribers of configurations, during
//! the fault and right after it.

mod checker;
#[path = "../support/mod.rs"]
mod support;
mod trial;
use checker::Rule;
use std::collections::BTreeMap;
use std::ops::Range;
use trial::{Fault, Trial, Variant};

/// The results of the schedules of one fault.
#[derive(Default, Debug)]
struct Tally {
    /// The number of schedules that violated a rule.
    broken: usize,
    /// The number of violations of each rule.
    rules: BTreeMap<Rule, usize>,
    /// The first violation, with its seed.
    first: Option<String>,
}

fn tally(variant: Variant, fault: Fault, seeds: Range<u64>) -> Tally {
    let mut tally = Tally::default();
    for seed in seeds {
        let found = Trial::new(seed, variant, fault).run_to_end().violations();
        let Some((_, violation)) = found.first() else {
            continue;
        };
        tally.broken += 1;
        tally
            .first
            .get_or_insert(format!("seed {seed}: {violation}"));
        found
            .iter()
            .for_each(|(rule, _)| *tally.rules.entry(*rule).or_default() += 1);
    }
    tally
}

fn assert_rules_hold(fault: Fault) {
    let tally = tally(Variant::Correct, fault, 0..SCHEDULES);
    assert_eq!(tally.broken, 0, "{fault:?}: {tally:?}");
}

/// The number of schedules for each fault.
const SCHEDULES: u64 = 150;

#[test]
fn rules_hold_for_a_member_isolated_in_both_directions() {
    assert_rules_hold(Fault::BothDirections);
}

#[test]
fn rules_hold_for_a_member_whose_messages_are_lost() {
    assert_rules_hold(Fault::Outbound);
}

#[test]
fn rules_hold_for_a_member_that_receives_no_messages() {
    assert_rules_hold(Fault::Inbound);
}

#[test]
fn rules_hold_for_a_member_isolated_from_the_core_only() {
    assert_rules_hold(Fault::CoreOnly);
}

#[test]
fn rules_hold_for_a_member_isolated_from_the_core_together_with_the_operator() {
    assert_rules_hold(Fault::CoreOnlyOthersUnreachable);
}

#[test]
fn rules_hold_for_a_member_isolated_from_the_operator_only() {
    assert_rules_hold(Fault::OperatorOnly);
}

#[test]
fn rules_hold_for_members_that_are_all_isolated_from_each_other() {
    assert_rules_hold(Fault::AllIsolated);
}

#[test]
fn rules_hold_for_a_frozen_and_resumed_member() {
    assert_rules_hold(Fault::Frozen);
}

#[test]
fn the_checker_detects_members_that_answer_without_a_majority() {
    let variants = [
        (Variant::ReadsLocally, Rule::NewestIsRead),
        (Variant::ConfirmsLocally, Rule::NoAnswerWithoutMajority),
        (Variant::RejectsLocally, Rule::NoWrongRejection),
    ];
    for (variant, rule) in variants {
        let tally = tally(variant, Fault::CoreOnly, 0..12);
        assert!(
            tally.broken >= 9 && tally.rules.contains_key(&rule),
            "{variant:?}: {tally:?}"
        );
    }
}

#[test]
fn the_journal_detects_a_lease_on_a_stopped_clock() {
    let play = |seed| Trial::new(seed, Variant::ClockStops, Fault::Frozen).run_to_end();
    let panics = |seed: &u64| std::panic::catch_unwind(|| play(*seed)).is_err();
    // With even seeds the frozen member is the leader.
    let flagged = (0..12).map(|half| 2 * half).filter(panics).count();
    assert!(flagged >= 9, "{flagged} of 12 schedules were flagged");
}
