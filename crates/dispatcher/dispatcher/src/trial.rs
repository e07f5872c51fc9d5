//! Settings for tests of several processes: clocks that are off or jump, and broken variants that the checker must
//! find. The command `run` refuses them.

use crate::start::Start;
use sagetrail_dispatch::{DiscoveryUpdate, Lifecycle};
use sagetrail_policy::Repeat;

/// A variant of the program that breaks a rule or exceeds a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    LosesAnswers,
    MakesUpAnswers,
    RerunsExclusive,
    ForgetsWindows,
    TwoAtOnce,
    IgnoresDrains,
    IgnoresCold,
    WholeForEach,
    CapForEach,
    LendsTooSoon,
    ForgetsItsStart,
    BelievesOne,
    ResendsFreely,
    ForgetsWords,
    WordsStayHere,
    RecordsNothing,
    TakesClaimsEarly,
    AllToNearest,
    NoPacing,
}

use Broken::*;

impl Broken {
    /// The variant with this name in the settings.
    pub(crate) fn from_name(name: &str) -> Option<Broken> {
        Some(match name {
            "loses-answers" => LosesAnswers,
            "makes-up-answers" => MakesUpAnswers,
            "reruns-exclusive" => RerunsExclusive,
            "forgets-windows" => ForgetsWindows,
            "two-at-once" => TwoAtOnce,
            "ignores-drains" => IgnoresDrains,
            "ignores-cold" => IgnoresCold,
            "whole-for-each" => WholeForEach,
            "cap-for-each" => CapForEach,
            "lends-too-soon" => LendsTooSoon,
            "forgets-its-start" => ForgetsItsStart,
            "believes-one" => BelievesOne,
            "resends-freely" => ResendsFreely,
            "forgets-words" => ForgetsWords,
            "words-stay-here" => WordsStayHere,
            "records-nothing" => RecordsNothing,
            "takes-claims-early" => TakesClaimsEarly,
            "all-to-nearest" => AllToNearest,
            "no-pacing" => NoPacing,
            _ => return None,
        })
    }

    /// Applies a variant that differs in the settings.
    pub(crate) fn apply(self, start: &mut Start) {
        let categories = &mut start.policy.categories;
        match self {
            RerunsExclusive => categories
                .iter_mut()
                .filter(|category| category.repeat == Repeat::AtMostOnce)
                .for_each(|category| category.repeat = Repeat::Idempotent),
            ForgetsWindows => categories
                .iter_mut()
                .filter(|category| matches!(category.repeat, Repeat::Keyed(_)))
                .for_each(|category| category.repeat = Repeat::Idempotent),
            TwoAtOnce => start.allow_concurrent_attempts = true,
            IgnoresCold => start.policy.warm_up_s = 0.0,
            _ => {}
        }
    }

    /// Applies a variant that differs in the updates of the endpoint list.
    pub(crate) fn alter_update(self, update: &mut DiscoveryUpdate) {
        if self == IgnoresDrains {
            let draining = update
                .entries
                .iter_mut()
                .filter(|entry| entry.lifecycle == Lifecycle::Draining);
            draining.for_each(|entry| entry.lifecycle = Lifecycle::Ready);
        }
    }
}
