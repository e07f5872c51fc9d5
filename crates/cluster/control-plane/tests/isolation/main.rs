//! A member of the core that is isolated, frozen or runs by a wrong clock for some twenty seconds: what it answers to the
//! operator, to clients and to those that take configurations from it, then and right after its return.

mod checker;
#[path = "../support/mod.rs"]
mod support;
mod trial;
use checker::Rule;
use std::collections::BTreeMap;
use std::ops::Range;
use trial::{Fault, Trial, Variant};

/// What schedules of a fault led to.
#[derive(Default, Debug)]
struct Tally {
    /// Schedules that broke a rule.
    broken: usize,
    /// How often each rule was broken.
    rules: BTreeMap<Rule, usize>,
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

fn assert_sound(fault: Fault) {
    let tally = tally(Variant::Sound, fault, 0..SCHEDULES);
    assert_eq!(tally.broken, 0, "{fault:?}: {tally:?}");
}

/// So many schedules for each fault.
const SCHEDULES: u64 = 150;

#[test]
fn isolated_in_both_directions() {
    assert_sound(Fault::BothDirections);
}

#[test]
fn isolated_outbound() {
    assert_sound(Fault::Outbound);
}

#[test]
fn isolated_inbound() {
    assert_sound(Fault::Inbound);
}

#[test]
fn isolated_from_the_core_only() {
    assert_sound(Fault::CoreOnly);
}

#[test]
fn isolated_from_the_core_with_the_operator_on_its_side() {
    assert_sound(Fault::OperatorOnSide);
}

#[test]
fn isolated_from_the_operator_only() {
    assert_sound(Fault::OperatorOnly);
}

#[test]
fn all_members_isolated_from_each_other() {
    assert_sound(Fault::AllIsolated);
}

#[test]
fn frozen_and_thawed() {
    assert_sound(Fault::Frozen);
}

#[test]
fn the_checker_flags_members_that_answer_without_a_majority() {
    let variants = [
        (Variant::ReadsAlone, Rule::NewestIsRead),
        (Variant::ConfirmsAlone, Rule::NothingAlone),
        (Variant::RefusesAlone, Rule::NoRefusal),
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
fn the_journal_flags_a_lease_by_a_clock_that_stops() {
    let play = |seed| Trial::new(seed, Variant::ClockStops, Fault::Frozen).run_to_end();
    let panics = |seed: &u64| std::panic::catch_unwind(|| play(*seed)).is_err();
    // With even seeds it is the scheduler that is frozen.
    let flagged = (0..12).map(|half| 2 * half).filter(panics).count();
    assert!(flagged >= 9, "{flagged} of 12 schedules were flagged");
}
