//! The judge. It goes by what runners, clients and the list's stand-in saw, never by what dispatchers say: the four
//! rules over the whole fleet, one final answer each, the bounds on what is shared, and what a scenario expects.

use crate::names::{Cast, Node};
use crate::records::{End, Ho, Records, Wi};
use crate::scenario::{Category, Scenario};
use crate::schedule::What;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Times told by two clocks of one machine under load differ by so much.
const SLACK_S: f64 = 0.1;
/// An answer so long past its expiry only earns nothing; later, it is lost.
const LATE_S: f64 = 0.5;
/// The chance in sizes: a span may hold this much more than its limit (as the operators' rule 4 has a little).
const CHANCE: f64 = 1.1;
/// Judged for being shut out: a well runner over so long, where so many hand-offs came to each on average; it
/// must get a quarter of that at the least.
const SHUT_S: f64 = 4.0;
const SHUT_EACH: usize = 24;
const SHUT_PART: usize = 4;

/// What was broken, by whom and when.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Break {
    pub rule: &'static str,
    pub who: String,
    pub at: f64,
    pub what: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} at {:.3} s: {}",
            self.rule, self.who, self.at, self.what
        )
    }
}

/// What was played.
pub struct World<'a> {
    pub scenario: &'a Scenario,
    pub cast: &'a Cast,
    pub schedule: &'a [What],
}

impl World<'_> {
    fn category(&self, n: usize) -> &Category {
        &self.scenario.categories[n]
    }

    /// A link was hurt, either way, at some moment of a span; or its wake.
    fn hurt(&self, a: Node, b: Node, from: f64, to: f64) -> bool {
        let spoilt = |what: &&What| {
            let wake = if what.what == "cut" || what.what == "stall" {
                3.5
            } else {
                0.5
            };
            what.from <= to && from <= what.to + wake + what.delay_s + what.jitter_s
        };
        let on = |what: &What| what.ways.contains(&(a, b)) || what.ways.contains(&(b, a));
        self.schedule.iter().filter(spoilt).any(on)
    }

    /// A runner was ill or gone at some moment of a span.
    fn ill(&self, runner: usize, from: f64, to: f64) -> bool {
        let node = Node::Runner(runner);
        let then = |what: &&What| what.from <= to && from <= what.to + 4.0;
        let on = |what: &What| what.nodes.contains(&node) || what.what == "fail-category";
        self.schedule.iter().filter(then).any(on)
    }
}

/// A dispatcher did not run, or not as it should, at some moment of a span.
fn absent(records: &Records, dispatcher: usize, from: f64, to: f64, died: bool) -> bool {
    let of = |a: &&crate::records::Absence| a.dispatcher == dispatcher && (a.died || !died);
    let gone = records
        .absences
        .iter()
        .filter(of)
        .any(|a| a.from <= to && from <= a.to);
    gone || records
        .crashes
        .iter()
        .any(|(who, at, _)| *who == dispatcher && *at <= to + 1.0)
}

pub fn judge(world: &World, records: &Records) -> Vec<Break> {
    let mut by_wi: BTreeMap<&str, Vec<&Ho>> = BTreeMap::new();
    records
        .hos
        .iter()
        .for_each(|ho| by_wi.entry(&ho.id).or_default().push(ho));
    by_wi
        .values_mut()
        .for_each(|hos| hos.sort_by(|a, b| a.came.total_cmp(&b.came)));
    // Recorded work is one work item under its name, however often its client asks, and whom.
    let firsts: BTreeMap<&str, &str> = records
        .wis
        .iter()
        .filter_map(|wi| Some((wi.id.as_str(), wi.first.as_deref()?)))
        .collect();
    let mut by_name: BTreeMap<&str, Vec<&Ho>> = BTreeMap::new();
    for ho in records
        .hos
        .iter()
        .filter(|ho| world.category(ho.category).record > 0)
    {
        by_name
            .entry(firsts.get(ho.id.as_str()).copied().unwrap_or(&ho.id))
            .or_default()
            .push(ho);
    }
    by_name
        .values_mut()
        .for_each(|hos| hos.sort_by(|a, b| a.came.total_cmp(&b.came)));
    let mut breaks = Vec::new();
    for (who, at, how) in &records.crashes {
        let who = Node::Dispatcher(*who).name();
        breaks.push(Break {
            rule: "crash",
            who,
            at: *at,
            what: format!("it ended by itself: {how}"),
        });
    }
    for wi in &records.wis {
        answered(
            world,
            records,
            wi,
            by_wi.get(wi.id.as_str()).map_or(&[], |hos| hos),
            &mut breaks,
        );
    }
    let unrecorded = |hos: &&Vec<&Ho>| world.category(hos[0].category).record == 0;
    for hos in by_wi.values().filter(unrecorded).chain(by_name.values()) {
        repeated(world, hos, &mut breaks);
    }
    drained(records, &mut breaks);
    banned(world, records, &mut breaks);
    cold(world, records, &mut breaks);
    caps(world, records, &mut breaks);
    resends(world, &by_wi, &mut breaks);
    shut_out(world, records, &mut breaks);
    expected(world, records, &mut breaks);
    breaks.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaks
}

fn of_dispatcher(rule: &'static str, dispatcher: usize, at: f64, what: String) -> Break {
    Break {
        rule,
        who: Node::Dispatcher(dispatcher).name(),
        at,
        what,
    }
}

/// It may have run, for all that anybody knows who sent it: not turned away and not handed back.
fn may_have_run(ho: &Ho) -> bool {
    ho.started.is_some() || !matches!(ho.ended, Some((_, End::Declined)))
}

/// Rule 1: what was taken gets one final answer before its expiry, and what is served was made by a runner.
fn answered(world: &World, records: &Records, wi: &Wi, hos: &[&Ho], breaks: &mut Vec<Break>) {
    let (Some(sent), d) = (wi.sent, wi.dispatcher) else {
        return;
    };
    let end = wi.intended + wi.wait_s;
    let link = (Node::Clients, Node::Dispatcher(d));
    // What a dead process held is its client's to repeat, and what a link swallowed never came.
    let excused = absent(records, d, sent - SLACK_S, end + LATE_S, false)
        || world.hurt(link.0, link.1, sent - SLACK_S, end + LATE_S);
    match &wi.answer {
        Some((at, 200, body)) => {
            let made = |id: &str| {
                records
                    .results
                    .get(id)
                    .is_some_and(|results| results.contains(body))
            };
            let first = wi.first.as_deref().unwrap_or(&wi.id);
            let theirs = |other: &&Wi| other.first.as_deref() == Some(first);
            let made = made(&wi.id)
                || world.category(wi.category).record > 0
                    && (made(first)
                        || records
                            .wis
                            .iter()
                            .filter(theirs)
                            .any(|other| made(&other.id)));
            if !made {
                let what = format!("{} was answered 200 with what no runner made for it", wi.id);
                breaks.push(of_dispatcher("rule-1", d, *at, what));
            }
        }
        Some((at, status, _)) => {
            let terms = world.category(wi.category);
            let harmless =
                terms.repeat == "rerunnable" || terms.repeat == "ticketed" && terms.group == "all";
            let ran = hos.iter().find(|ho| may_have_run(ho) && ho.came <= *at);
            if let (503 | 429, false, Some(ho)) = (status, harmless, ran) {
                let what = format!(
                    "{} was deferred and may have run at {}",
                    wi.id,
                    Node::Runner(ho.runner).name()
                );
                breaks.push(of_dispatcher("rule-2", d, *at, what));
            }
        }
        None if excused => {}
        None => {
            let how = if wi.closed.is_some() {
                "its connection was closed"
            } else {
                "none came"
            };
            breaks.push(of_dispatcher(
                "rule-1",
                d,
                end,
                format!("{} got no answer: {how}", wi.id),
            ));
        }
    }
    if let Some((at, status, _)) = &wi.answer {
        if *at > end + LATE_S && !excused {
            let what = format!(
                "{} was answered {status} {:.2} s past its expiry",
                wi.id,
                at - end
            );
            breaks.push(of_dispatcher("rule-1", d, *at, what));
        }
    }
}

/// Rule 2: no effect twice, and one hand-off at once. Hand-offs of one work item, in the order in which they came.
fn repeated(world: &World, hos: &[&Ho], breaks: &mut Vec<Break>) {
    for (n, later) in hos.iter().enumerate().skip(1) {
        let terms = world.category(later.category);
        let d = later.dispatcher;
        let site = |ho: &Ho| ho.runner % world.cast.sites.len();
        for earlier in &hos[..n] {
            // It left before the later one came, and what it did there was not over when that one left.
            if earlier.over() > later.left + SLACK_S && earlier.came < later.left {
                let what = format!(
                    "{} was handed to {} while {} had it",
                    later.id,
                    Node::Runner(later.runner).name(),
                    Node::Runner(earlier.runner).name()
                );
                breaks.push(of_dispatcher("rule-2", d, later.left, what));
            }
            if !may_have_run(earlier) || earlier.came > later.left {
                continue;
            }
            let what = match terms.repeat.as_str() {
                "exclusive" => Some("exclusive work"),
                "ticketed" if later.left > earlier.left + terms.window.0 + SLACK_S => {
                    Some("ticketed work past its window")
                }
                "ticketed" if terms.group != "all" && site(later) != site(earlier) => {
                    Some("ticketed work outside its group")
                }
                _ => None,
            };
            if let Some(kind) = what {
                let what = format!(
                    "{}, {kind}, was handed to {} and may have run at {}",
                    later.id,
                    Node::Runner(later.runner).name(),
                    Node::Runner(earlier.runner).name()
                );
                breaks.push(of_dispatcher("rule-2", d, later.left, what));
            }
        }
    }
}

/// Rule 3: no first byte to a runner after the grace, by list or by hand.
fn drained(records: &Records, breaks: &mut Vec<Break>) {
    let grace = 0.3 + 0.05 + SLACK_S;
    for ho in &records.hos {
        let words = records
            .words
            .iter()
            .filter(|word| word.dispatcher == ho.dispatcher && word.runner == ho.runner);
        let last = words
            .filter(|word| word.at < ho.left)
            .max_by(|a, b| a.at.total_cmp(&b.at));
        if let Some(word) = last.filter(|word| !word.ready && ho.left > word.at + grace) {
            // One that was stopped has not read it before it runs again.
            let stopped = absent(records, ho.dispatcher, word.at, ho.left - grace, false);
            if !stopped {
                let what = format!(
                    "{} was handed to {}, told at {:.3} s not to be used",
                    ho.id,
                    Node::Runner(ho.runner).name(),
                    word.at
                );
                breaks.push(of_dispatcher("rule-3", ho.dispatcher, ho.left, what));
            }
        }
        let out = records
            .by_hand
            .iter()
            .find(|(runner, dispatcher, from, to)| {
                *runner == ho.runner
                    && *dispatcher == ho.dispatcher
                    && *from + SLACK_S < ho.left
                    && ho.left < *to
            });
        if let Some((_, _, from, _)) = out {
            let since = absent(records, ho.dispatcher, *from, ho.left, true);
            if !since {
                let name = Node::Runner(ho.runner).name();
                let what = format!(
                    "{} was handed to {name}, out by hand since {from:.3} s",
                    ho.id
                );
                breaks.push(of_dispatcher("rule-3", ho.dispatcher, ho.left, what));
            }
        }
    }
}

/// Bound: what was agreed holds everywhere: no first byte to a runner that is out by an agreed word, from any
/// dispatcher that is there and whose links to the others are whole, also after a restart.
fn banned(world: &World, records: &Records, breaks: &mut Vec<Break>) {
    let Some(store) = &world.scenario.store else {
        return;
    };
    let grace = store.within.0 + 0.3 + SLACK_S;
    for ho in &records.hos {
        let out = records.banned.iter().find(|(runner, from, to)| {
            *runner == ho.runner && from + grace < ho.left && ho.left < *to
        });
        let Some((_, from, _)) = out else { continue };
        let me = Node::Dispatcher(ho.dispatcher);
        let since = ho.left - grace;
        // Who hears under half of the others may hear nobody who leads.
        let others = (0..world.cast.dispatchers)
            .map(Node::Dispatcher)
            .filter(|other| *other != me);
        let hurt = others
            .filter(|other| world.hurt(me, *other, since, ho.left))
            .count();
        let cut = 2 * hurt > world.cast.dispatchers - 1;
        if !cut && !absent(records, ho.dispatcher, since, ho.left, false) {
            let name = Node::Runner(ho.runner).name();
            let what = format!(
                "{} was handed to {name}, out for all since {from:.3} s",
                ho.id
            );
            breaks.push(of_dispatcher("bound-agreed", ho.dispatcher, ho.left, what));
        }
    }
}

/// What was sent to each cold process of a runner, and the most of its limit in any span.
pub(crate) fn cold_use(world: &World, records: &Records) -> Vec<(usize, u32, f64, f64)> {
    let rule = &world.scenario.cold;
    let mut used = Vec::new();
    for birth in records.births.iter().filter(|birth| birth.cold) {
        // Only what came from those that had been told of its start.
        let told = |ho: &&Ho| {
            let word =
                |w: &&crate::records::Word| w.dispatcher == ho.dispatcher && w.runner == ho.runner;
            records
                .words
                .iter()
                .filter(word)
                .any(|w| w.process == birth.process && w.at + SLACK_S / 2.0 < ho.left)
        };
        let mine = |ho: &&Ho| ho.runner == birth.runner && ho.process == birth.process;
        let mut sent: Vec<&Ho> = records
            .hos
            .iter()
            .filter(mine)
            .filter(|ho| ho.left - birth.at < rule.time.0)
            .filter(told)
            .collect();
        sent.sort_by(|a, b| a.left.total_cmp(&b.left));
        let fetch = world.scenario.runners.fetch.0;
        let (mut most, mut at) = (0.0f64, birth.at);
        for (n, first) in sent.iter().enumerate() {
            let span = sent[n..]
                .iter()
                .take_while(|ho| ho.left < first.left + rule.span.0);
            let all: f64 = span.map(|ho| ho.work_s + fetch).sum();
            let age = ((first.left - birth.at + 0.5 * rule.span.0) / rule.time.0).clamp(0.0, 1.0);
            let present =
                world.scenario.runners.slots as f64 * (rule.from + (1.0 - rule.from) * age);
            let part = all / (rule.multiple * present * rule.span.0).max(1e-9);
            if part > most {
                (most, at) = (part, first.left);
            }
        }
        used.push((birth.runner, birth.process, most, at));
    }
    used
}

/// Rule 4: work sent by all to a cold runner stays under its limit in any span.
fn cold(world: &World, records: &Records, breaks: &mut Vec<Break>) {
    for (runner, _, most, at) in cold_use(world, records) {
        if most > CHANCE {
            let what = format!(
                "{:.0}% of what it may be sent by all within its span",
                100.0 * most
            );
            breaks.push(Break {
                rule: "rule-4",
                who: Node::Runner(runner).name(),
                at,
                what,
            });
        }
    }
}

/// Bound: hand-offs of a category out at runners, by all together.
fn caps(world: &World, records: &Records, breaks: &mut Vec<Break>) {
    if !world.scenario.fleet.sharing {
        return;
    }
    let longest = world
        .scenario
        .categories
        .iter()
        .map(|c| c.expiry.0)
        .fold(0.0, f64::max);
    let within = world
        .scenario
        .store
        .as_ref()
        .map_or(0.0, |store| store.within.0);
    // A cap that was agreed on binds once all have it, and what was lent under the one before has ended.
    let wait = within + world.scenario.fleet.lease.0 + longest;
    for (name, &first) in &world.scenario.fleet.caps {
        let n = world
            .scenario
            .categories
            .iter()
            .position(|category| category.name == *name);
        let mut edges: Vec<(f64, i64)> = Vec::new();
        for ho in records
            .hos
            .iter()
            .filter(|ho| Some(ho.category) == n && ho.left >= 0.0)
        {
            // Out from when it left; over when it ended, or when its dispatcher stopped waiting.
            if ho.over() > ho.left {
                edges.extend([(ho.left, 1), (ho.over(), -1)]);
            }
        }
        edges.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let said: Vec<(f64, u64)> = records
            .caps
            .iter()
            .filter(|(_, of, _)| Some(*of) == n)
            .map(|(at, _, cap)| (*at, *cap))
            .collect();
        // The largest of those that may be in force somewhere.
        let may = |at: f64| {
            let old = said.iter().rposition(|(since, _)| since + wait <= at);
            let from = old.map_or(0, |old| old);
            let first = if old.is_none() { first } else { 0 };
            said[from..]
                .iter()
                .filter(|(since, _)| *since - within <= at)
                .map(|(_, cap)| *cap)
                .fold(first, u64::max)
        };
        let (mut out, mut worst): (i64, Option<(i64, f64, u64)>) = (0, None);
        for (at, change) in edges {
            out += change;
            if out > may(at) as i64 && worst.is_none_or(|(most, ..)| out > most) {
                worst = Some((out, at, may(at)));
            }
        }
        if let Some((most, when, cap)) = worst {
            let what = format!("{most} work items were out at once, {cap} may be");
            breaks.push(Break {
                rule: "bound-cap",
                who: name.clone(),
                at: when,
                what,
            });
        }
    }
}

/// Bound: hand-offs of what had been handed off before, by all together in any second.
fn resends(world: &World, by_wi: &BTreeMap<&str, Vec<&Ho>>, breaks: &mut Vec<Break>) {
    let Some(limit) = world
        .scenario
        .fleet
        .resends
        .filter(|_| world.scenario.fleet.sharing)
    else {
        return;
    };
    let later = by_wi.values().flat_map(|hos| hos.iter().skip(1));
    let mut at: Vec<f64> = later.map(|ho| ho.left).filter(|at| *at >= 0.0).collect();
    at.sort_by(f64::total_cmp);
    // The second as the dispatchers count it begins a little before the first byte leaves.
    for (n, first) in at.iter().enumerate() {
        let within = at[n..]
            .iter()
            .take_while(|later| **later < first + 1.0 - SLACK_S)
            .count();
        if within as u64 > limit {
            let what = format!("{within} within a second, {limit} may be");
            breaks.push(Break {
                rule: "bound-resends",
                who: "all".to_string(),
                at: *first,
                what,
            });
            return;
        }
    }
}

/// Bound: nobody is shut out for all. A runner with nothing wrong gets work of those whose links to it are whole,
/// while they send to the others.
fn shut_out(world: &World, records: &Records, breaks: &mut Vec<Break>) {
    let length = world.scenario.length.0;
    let mut from = 0.5;
    while from + SHUT_S <= length {
        let to = from + SHUT_S;
        for runner in 0..world.cast.runners {
            let before = records
                .hos
                .iter()
                .any(|ho| ho.runner == runner && ho.left < from);
            let cold = records
                .births
                .iter()
                .any(|birth| birth.runner == runner && birth.cold);
            let unready = records
                .words
                .iter()
                .any(|word| word.runner == runner && !word.ready);
            let by_hand = records.by_hand.iter().any(|b| b.0 == runner);
            if !before || cold || unready || by_hand || world.ill(runner, from, to) {
                continue;
            }
            let whole = |d: &usize| {
                let (a, b) = (Node::Dispatcher(*d), Node::Runner(runner));
                !world.hurt(a, b, from, to) && !absent(records, *d, from - 2.0, to, false)
            };
            let able: Vec<usize> = (0..world.cast.dispatchers).filter(whole).collect();
            let theirs =
                |ho: &&Ho| ho.left >= from && ho.left < to && able.contains(&ho.dispatcher);
            let all = records.hos.iter().filter(theirs).count();
            let here = records
                .hos
                .iter()
                .filter(theirs)
                .filter(|ho| ho.runner == runner)
                .count();
            let each = all / world.cast.runners;
            if 2 * able.len() > world.cast.dispatchers
                && each >= SHUT_EACH
                && SHUT_PART * here < each
            {
                let what = format!(
                    "{here} hand-offs came to it within {SHUT_S} s, {each} to each on average"
                );
                let who = Node::Runner(runner).name();
                breaks.push(Break {
                    rule: "bound-shut-out",
                    who,
                    at: from,
                    what,
                });
            }
        }
        from += 0.5 * SHUT_S;
    }
}

/// What a request earned.
pub(crate) fn earned(world: &World, wi: &Wi) -> f64 {
    let terms = world.category(wi.category);
    match &wi.answer {
        Some((at, 200, _)) if *at <= wi.intended + wi.wait_s => {
            // From the first try's intended time: expiry less what was left.
            let begun = wi.intended + wi.wait_s - terms.expiry.0;
            terms.payoff
                * if *at <= begun + terms.due.0 {
                    1.0
                } else {
                    terms.tardy
                }
        }
        _ => 0.0,
    }
}

/// Of the payoff of all requests with a first try in a span, how much was earned.
pub(crate) fn goodput(world: &World, records: &Records, from: f64, to: f64) -> f64 {
    let (mut all, mut got) = (0.0, 0.0);
    let mut firsts: BTreeMap<&str, f64> = BTreeMap::new();
    for wi in &records.wis {
        let name = wi.first.as_deref().unwrap_or(&wi.id);
        let best = firsts.entry(name).or_default();
        *best = best.max(earned(world, wi));
    }
    for wi in records
        .wis
        .iter()
        .filter(|wi| wi.first.is_none() && wi.intended >= from && wi.intended < to)
    {
        all += world.category(wi.category).payoff;
        got += firsts.get(wi.id.as_str()).copied().unwrap_or(0.0);
    }
    if all > 0.0 {
        got / all
    } else {
        1.0
    }
}

/// Hand-offs that came to nothing: failed, lost, given up.
pub(crate) fn failed_hand_offs(records: &Records) -> u64 {
    let bad = |ho: &&Ho| {
        matches!(
            ho.ended,
            None | Some((_, End::Failed | End::Lost | End::GivenUp))
        )
    };
    records
        .hos
        .iter()
        .filter(|ho| ho.left >= 0.0)
        .filter(bad)
        .count() as u64
}

fn expected(world: &World, records: &Records, breaks: &mut Vec<Break>) {
    let expect = &world.scenario.expect;
    let length = world.scenario.length.0;
    let mut unmet = |what: String| {
        breaks.push(Break {
            rule: "expected",
            who: "all".to_string(),
            at: length,
            what,
        });
    };
    let got = goodput(world, records, 0.0, length);
    if let Some(least) = expect.goodput.filter(|least| got < *least) {
        unmet(format!("goodput {got:.3}, at least {least} is expected"));
    }
    if let Some(within) = expect.back_within {
        let first = world
            .schedule
            .iter()
            .map(|what| what.from)
            .fold(length, f64::min);
        let ends = |what: &What| {
            if what.to.is_finite() {
                what.to
            } else {
                what.from
            }
        };
        let last = world.schedule.iter().map(ends).fold(0.0, f64::max) + within.0;
        let (calm, after) = (
            goodput(world, records, 0.0, first),
            goodput(world, records, last, length),
        );
        if last >= length {
            unmet(format!(
                "the clients end at {length} s, before {last:.1} s, when all should be well again"
            ));
        } else if after < 0.95 * calm {
            unmet(format!(
                "goodput {after:.3} from {last:.1} s on, {calm:.3} before the first fault"
            ));
        }
    }
    if let Some(least) = expect.cold_use {
        let most = cold_use(world, records)
            .iter()
            .map(|(_, _, most, _)| *most)
            .fold(0.0, f64::max);
        if most < least {
            unmet(format!(
                "{most:.2} of what a cold runner may be sent was used, {least} is expected"
            ));
        }
    }
    if let Some(most) = expect.failed_hand_offs {
        let failed = failed_hand_offs(records);
        if failed > most {
            unmet(format!(
                "{failed} hand-offs failed, at most {most} are expected"
            ));
        }
    }
}
