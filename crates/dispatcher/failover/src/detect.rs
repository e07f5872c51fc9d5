//! Whether a whole site is lost. A loss is one cause: many of its runners silent or unreachable at once, against what
//! the rest do at the same time. Told apart from a crowd and from work that fails anywhere (the rest fails too), from
//! a shorter list (nothing failed), and, where peers talk, from a cut of one's own links (others reach it).

use crate::pace::{Pace, Stage};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// A sight says something for this long: a few hand-offs, or one silence and a half.
const FRESH_S: f64 = 2.0;
/// At a lost site nine in ten sights are bad; at a well one as many as at the rest, one in 33 at the least (the rate
/// of the module's own test).
const LOST: f64 = 0.9;
const WELL: f64 = 0.03;
/// Believed at 99 to 1: ln(0.99/0.01), against one in a hundred taken for lost by chance.
const SURE: f64 = 4.6;
/// So many of a site's runners must be bad, and most of those seen: fewer are runners' own troubles.
const LEAST: usize = 2;
const MOST: f64 = 0.6;

/// What is known of a site's loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Well,
    /// Nobody who tells reaches it, or nobody tells.
    Lost,
    /// Others reach it: the cut is on this side.
    CutFromHere,
}

/// What was last seen of a runner, by this dispatcher and by others; seconds.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    pub good: f64,
    pub bad: f64,
    pub others_good: f64,
    pub others_bad: f64,
}

impl Default for Sight {
    fn default() -> Self {
        let never = f64::NEG_INFINITY;
        Sight {
            good: never,
            bad: never,
            others_good: never,
            others_bad: never,
        }
    }
}

impl Sight {
    fn looks(good: f64, bad: f64, now: f64) -> Option<bool> {
        match () {
            () if bad >= good && now < bad + FRESH_S => Some(false),
            () if good > bad && now < good + FRESH_S => Some(true),
            () => None,
        }
    }

    /// Own sights first, what others saw where there are none.
    fn well(&self, now: f64) -> Option<bool> {
        Sight::looks(self.good, self.bad, now).or(Sight::looks(
            self.others_good,
            self.others_bad,
            now,
        ))
    }
}

struct Runner {
    id: u64,
    site: u16,
    listed: bool,
    sight: Sight,
}

struct Held {
    cause: Cause,
    since: f64,
    pace: Pace,
    /// Scouts' sights since it was lost, or since the portion last grew.
    good: u32,
    bad: u32,
}

pub struct Sites {
    me: u64,
    runners: BTreeMap<usize, Runner>,
    held: BTreeMap<u16, Held>,
    step_s: f64,
}

/// A number for a pair, the same at every dispatcher.
fn draw(a: u64, b: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(a);
    hasher.write_u64(b);
    hasher.finish()
}

impl Sites {
    /// `me`: a number for this dispatcher; `step_s`: a returning site's portion grows no faster than this.
    pub fn new(me: u64, step_s: f64) -> Sites {
        Sites {
            me,
            runners: BTreeMap::new(),
            held: BTreeMap::new(),
            step_s,
        }
    }

    /// What the list says of a runner. One that leaves the list is no loss: nothing failed.
    pub fn listed(&mut self, place: usize, id: u64, site: u16, listed: bool) {
        let fresh = Runner {
            id,
            site,
            listed,
            sight: Sight::default(),
        };
        let runner = self.runners.entry(place).or_insert(fresh);
        (runner.site, runner.listed) = (site, listed);
    }

    pub fn saw(&mut self, now: f64, place: usize, good: bool) {
        let Some(runner) = self.runners.get_mut(&place) else {
            return;
        };
        if good {
            runner.sight.good = now
        } else {
            runner.sight.bad = now
        }
        let site = runner.site;
        let Some(held) = self.held.get_mut(&site) else {
            return;
        };
        match (held.pace.stage(), good) {
            // A scout's: what failed before it served says nothing of now.
            (Stage::Lost, false) => (held.good, held.bad) = (0, 0),
            (_, true) => held.good += 1,
            (_, false) => held.bad += 1,
        }
    }

    /// What another saw, at that time.
    pub fn heard(&mut self, at: f64, place: usize, good: bool) {
        let Some(runner) = self.runners.get_mut(&place) else {
            return;
        };
        let last = if good {
            &mut runner.sight.others_good
        } else {
            &mut runner.sight.others_bad
        };
        *last = last.max(at);
    }

    /// Runners of a site that look bad, of those of which anything is known.
    fn count(&self, now: f64, of: impl Fn(u16) -> bool) -> (usize, usize) {
        let known = self
            .runners
            .values()
            .filter(|r| r.listed && of(r.site))
            .filter_map(|r| r.sight.well(now));
        known.fold((0, 0), |(bad, all), well| {
            (bad + usize::from(!well), all + 1)
        })
    }

    /// How sure it is that a site is lost: the log odds of its runners' sights against the rest's.
    pub fn odds(&self, now: f64, site: u16) -> f64 {
        let (bad, all) = self.count(now, |of| of == site);
        let (bad_else, all_else) = self.count(now, |of| of != site);
        // Guards against a crowd, or work that fails anywhere: what the rest does counts as well. Nothing known of
        // the rest is no sign that it is well.
        let usual = ((bad_else as f64 + 0.5) / (all_else as f64 + 1.0)).clamp(WELL, 0.95);
        bad as f64 * (LOST / usual).ln() + (all - bad) as f64 * ((1.0 - LOST) / (1.0 - usual)).ln()
    }

    /// Looks at all sites; those whose state has changed, with what is the matter.
    pub fn look(&mut self, now: f64) -> Vec<(u16, Cause, Stage)> {
        let mut sites: Vec<u16> = self
            .runners
            .values()
            .filter(|r| r.listed)
            .map(|r| r.site)
            .collect();
        sites.sort_unstable();
        sites.dedup();
        let mut changed = Vec::new();
        for site in sites {
            let (bad, all) = self.count(now, |of| of == site);
            let lost =
                bad >= LEAST && bad as f64 >= MOST * all as f64 && self.odds(now, site) > SURE;
            match self.held.get(&site) {
                None if lost => {
                    let cause = self.cause(now, site);
                    let pace = Pace::new(now, self.step_s);
                    self.held.insert(
                        site,
                        Held {
                            cause,
                            since: now,
                            pace,
                            good: 0,
                            bad: 0,
                        },
                    );
                    changed.push((site, cause, Stage::Lost));
                }
                Some(_) => {
                    let cause = self.cause(now, site);
                    let Some(held) = self.held.get_mut(&site) else {
                        continue;
                    };
                    let before = held.pace.stage();
                    if before == Stage::Lost
                        && held.cause == Cause::Lost
                        && cause == Cause::CutFromHere
                    {
                        held.cause = cause;
                        changed.push((site, cause, Stage::Lost));
                    }
                    let served = (held.good, held.bad);
                    let portion = self
                        .runners
                        .values()
                        .filter(|r| r.site == site && r.listed)
                        .count();
                    if held.pace.step(now, served, lost, portion) {
                        (held.good, held.bad) = (0, 0);
                    }
                    let stage = held.pace.stage();
                    let cause = held.cause;
                    if stage == Stage::Whole && now >= held.since + self.step_s {
                        self.held.remove(&site);
                        changed.push((site, Cause::Well, Stage::Whole));
                    } else if stage != before {
                        changed.push((site, cause, stage));
                    }
                }
                None => {}
            }
        }
        changed
    }

    /// Others reach a runner after it failed here. What they saw before says nothing of now.
    fn cause(&self, now: f64, site: u16) -> Cause {
        let reached = |r: &Runner| {
            let Sight {
                bad,
                others_good,
                others_bad,
                ..
            } = r.sight;
            others_good > bad.max(others_bad) && bad.is_finite() && now < others_good + FRESH_S
        };
        match self
            .runners
            .values()
            .any(|r| r.site == site && r.listed && reached(r))
        {
            true => Cause::CutFromHere,
            false => Cause::Lost,
        }
    }

    /// Runners that get nothing for now: those of a lost site but for this dispatcher's scout, and of a returning
    /// one those whose turn has not come. The portion is the same at every dispatcher, so that a key's home is.
    pub fn away(&self) -> Vec<usize> {
        let mut away = Vec::new();
        for (site, held) in &self.held {
            let of = |r: &&Runner| r.site == *site && r.listed;
            let scout = self
                .runners
                .values()
                .filter(of)
                .map(|r| draw(self.me, r.id))
                .max();
            let kept = |r: &Runner| held.pace.admits(r.id) || scout == Some(draw(self.me, r.id));
            let gone = self.runners.iter().filter(|(_, r)| of(r) && !kept(r));
            away.extend(gone.map(|(place, _)| *place));
        }
        away.sort_unstable();
        away
    }

    /// Sites that are lost or on their way back, with since when.
    pub fn troubled(&self) -> Vec<(u16, Cause, Stage, f64)> {
        self.held
            .iter()
            .map(|(site, held)| (*site, held.cause, held.pace.stage(), held.since))
            .collect()
    }
}
