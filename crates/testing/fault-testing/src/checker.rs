//! Checks the records of a run: the four rules over the whole fleet, one final answer for each request, the bounds on
//! what dispatchers share, and the expectations of the scenario. The checks use only what runners, clients and the
//! stand-in of the list observed, never what dispatchers report about themselves.
//!
//! All times are in seconds since the run began.

use crate::names::{Node, Participants};
use crate::records::{End, HandOff, Records, RequestRecord};
use crate::scenario::{Category, Scenario};
use crate::schedule::ScheduledFault;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The tolerance, in seconds, for comparing times that two processes of one loaded machine measured.
const SLACK_S: f64 = 0.1;
/// An answer at most this many seconds past its expiry earns nothing but violates no rule. A later one counts as
/// lost.
const LATE_S: f64 = 0.5;
/// Work sent to a cold runner within a span may reach this multiple of its limit, because the sizes of work items are
/// random. The operators' rule 4 allows a small excess too.
const COLD_TOLERANCE: f64 = 1.1;
/// The length, in seconds, of the span over which a healthy runner is checked for being shut out.
const SHUT_OUT_SPAN_S: f64 = 4.0;
/// A span is checked only if runners got at least this many hand-offs each on average.
const SHUT_OUT_MIN_AVERAGE: usize = 24;
/// A runner is shut out if it got less than the average divided by this number, that is less than a quarter.
const SHUT_OUT_DIVISOR: usize = 4;

/// A violation of a rule, a bound or an expectation. The field names are keys of the JSON report.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Violation {
    /// The name of the finding, such as `rule-1` or `bound-cap`.
    pub rule: &'static str,
    /// The dispatcher, runner or category at fault, or `all`.
    pub who: String,
    /// When the violation happened, in seconds since the run began.
    pub at: f64,
    /// A description of the violation for people.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} at {:.3} s: {}",
            self.rule, self.who, self.at, self.what
        )
    }
}

/// The inputs of a run: its scenario, the participants and the faults that were drawn for it.
pub struct RunInputs<'a> {
    pub scenario: &'a Scenario,
    pub participants: &'a Participants,
    pub schedule: &'a [ScheduledFault],
}

impl RunInputs<'_> {
    fn category(&self, n: usize) -> &Category {
        &self.scenario.categories[n]
    }

    /// Whether a fault affected the link between two nodes, in either direction, at some moment of a span. The effect
    /// of a cut or a stall outlasts it by 3.5 s, that of another fault by 0.5 s, each plus its delay and jitter.
    fn link_was_faulty(&self, a: Node, b: Node, from: f64, to: f64) -> bool {
        let active = |fault: &&ScheduledFault| {
            let aftermath_s = if fault.kind == "cut" || fault.kind == "stall" {
                3.5
            } else {
                0.5
            };
            fault.from <= to && from <= fault.to + aftermath_s + fault.delay_s + fault.jitter_s
        };
        let on =
            |fault: &ScheduledFault| fault.links.contains(&(a, b)) || fault.links.contains(&(b, a));
        self.schedule.iter().filter(active).any(on)
    }

    /// Whether a fault affected a runner at some moment of a span or in the 4 s before it. A failing category affects
    /// all runners.
    fn runner_was_faulty(&self, runner: usize, from: f64, to: f64) -> bool {
        let node = Node::Runner(runner);
        let then = |fault: &&ScheduledFault| fault.from <= to && from <= fault.to + 4.0;
        let on =
            |fault: &ScheduledFault| fault.nodes.contains(&node) || fault.kind == "fail-category";
        self.schedule.iter().filter(then).any(on)
    }
}

/// Whether a dispatcher was absent at some moment of a span, or crashed before it or up to 1 s after it. With
/// `died`, only absences in which the process was killed count, not those in which it was paused.
fn was_absent(records: &Records, dispatcher: usize, from: f64, to: f64, died: bool) -> bool {
    let counts = |absence: &&crate::records::Absence| {
        absence.dispatcher == dispatcher && (absence.died || !died)
    };
    let gone = records
        .absences
        .iter()
        .filter(counts)
        .any(|a| a.from <= to && from <= a.to);
    gone || records
        .crashes
        .iter()
        .any(|(who, at, _)| *who == dispatcher && *at <= to + 1.0)
}

/// Returns all violations in the records of a run, ordered by time.
pub fn find_violations(inputs: &RunInputs, records: &Records) -> Vec<Violation> {
    let mut by_request: BTreeMap<&str, Vec<&HandOff>> = BTreeMap::new();
    records
        .hos
        .iter()
        .for_each(|ho| by_request.entry(&ho.id).or_default().push(ho));
    by_request
        .values_mut()
        .for_each(|hos| hos.sort_by(|a, b| a.came.total_cmp(&b.came)));
    // Recorded work stays one work item under the id of its first try, whichever dispatchers its client repeats it
    // to.
    let firsts: BTreeMap<&str, &str> = records
        .wis
        .iter()
        .filter_map(|wi| Some((wi.id.as_str(), wi.first.as_deref()?)))
        .collect();
    let mut by_name: BTreeMap<&str, Vec<&HandOff>> = BTreeMap::new();
    for ho in records
        .hos
        .iter()
        .filter(|ho| inputs.category(ho.category).record > 0)
    {
        by_name
            .entry(firsts.get(ho.id.as_str()).copied().unwrap_or(&ho.id))
            .or_default()
            .push(ho);
    }
    by_name
        .values_mut()
        .for_each(|hos| hos.sort_by(|a, b| a.came.total_cmp(&b.came)));
    let mut violations = Vec::new();
    for (who, at, how) in &records.crashes {
        let who = Node::Dispatcher(*who).name();
        violations.push(Violation {
            rule: "crash",
            who,
            at: *at,
            what: format!("the process exited unexpectedly: {how}"),
        });
    }
    for wi in &records.wis {
        check_answer(
            inputs,
            records,
            wi,
            by_request.get(wi.id.as_str()).map_or(&[], |hos| hos),
            &mut violations,
        );
    }
    let unrecorded = |hos: &&Vec<&HandOff>| inputs.category(hos[0].category).record == 0;
    for hos in by_request
        .values()
        .filter(unrecorded)
        .chain(by_name.values())
    {
        check_repeats(inputs, hos, &mut violations);
    }
    check_drains(records, &mut violations);
    check_agreed_bans(inputs, records, &mut violations);
    check_cold_limits(inputs, records, &mut violations);
    check_caps(inputs, records, &mut violations);
    check_resends(inputs, &by_request, &mut violations);
    check_shut_out(inputs, records, &mut violations);
    check_expectations(inputs, records, &mut violations);
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    violations
}

/// Returns a violation by a dispatcher.
fn dispatcher_violation(rule: &'static str, dispatcher: usize, at: f64, what: String) -> Violation {
    Violation {
        rule,
        who: Node::Dispatcher(dispatcher).name(),
        at,
        what,
    }
}

/// Whether a hand-off may have run as far as its sender can know: the runner neither declined it nor handed it back.
fn may_have_run(ho: &HandOff) -> bool {
    ho.started.is_some() || !matches!(ho.ended, Some((_, End::Declined)))
}

/// Rule 1: a request that a dispatcher accepted gets one final answer before its expiry, and the body of an answer
/// with status 200 is a result that a runner produced for it. Rule 2 is checked here for deferrals: a request that
/// may have run is not answered with 503 or 429, unless its category may run twice.
fn check_answer(
    inputs: &RunInputs,
    records: &Records,
    wi: &RequestRecord,
    hos: &[&HandOff],
    violations: &mut Vec<Violation>,
) {
    let (Some(sent), dispatcher) = (wi.sent, wi.dispatcher) else {
        return;
    };
    let end = wi.intended + wi.wait_s;
    let link = (Node::Clients, Node::Dispatcher(dispatcher));
    // The client must repeat what a dead process held, and what a faulty link lost never reached the dispatcher.
    let excused = was_absent(records, dispatcher, sent - SLACK_S, end + LATE_S, false)
        || inputs.link_was_faulty(link.0, link.1, sent - SLACK_S, end + LATE_S);
    match &wi.answer {
        Some((at, 200, body)) => {
            let made = |id: &str| {
                records
                    .results
                    .get(id)
                    .is_some_and(|results| results.contains(body))
            };
            let first = wi.first.as_deref().unwrap_or(&wi.id);
            let theirs = |other: &&RequestRecord| other.first.as_deref() == Some(first);
            let made = made(&wi.id)
                || inputs.category(wi.category).record > 0
                    && (made(first)
                        || records
                            .wis
                            .iter()
                            .filter(theirs)
                            .any(|other| made(&other.id)));
            if !made {
                let what = format!(
                    "{} was answered 200 with a body that no runner produced for it",
                    wi.id
                );
                violations.push(dispatcher_violation("rule-1", dispatcher, *at, what));
            }
        }
        Some((at, status, _)) => {
            let terms = inputs.category(wi.category);
            let harmless =
                terms.repeat == "rerunnable" || terms.repeat == "ticketed" && terms.group == "all";
            let ran = hos.iter().find(|ho| may_have_run(ho) && ho.came <= *at);
            if let (503 | 429, false, Some(ho)) = (status, harmless, ran) {
                let what = format!(
                    "{} was deferred and may have run at {}",
                    wi.id,
                    Node::Runner(ho.runner).name()
                );
                violations.push(dispatcher_violation("rule-2", dispatcher, *at, what));
            }
        }
        None if excused => {}
        None => {
            let how = if wi.closed.is_some() {
                "its connection was closed"
            } else {
                "no response arrived"
            };
            violations.push(dispatcher_violation(
                "rule-1",
                dispatcher,
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
            violations.push(dispatcher_violation("rule-1", dispatcher, *at, what));
        }
    }
}

/// Rule 2: a work item has no effect twice and is at one runner at a time. `hos` are the hand-offs of one work item
/// in the order of their arrival.
fn check_repeats(inputs: &RunInputs, hos: &[&HandOff], violations: &mut Vec<Violation>) {
    for (n, later) in hos.iter().enumerate().skip(1) {
        let terms = inputs.category(later.category);
        let dispatcher = later.dispatcher;
        let site = |ho: &HandOff| ho.runner % inputs.participants.sites.len();
        for earlier in &hos[..n] {
            // The earlier hand-off had arrived and was not over when the later one left.
            if earlier.over() > later.left + SLACK_S && earlier.came < later.left {
                let what = format!(
                    "{} was handed to {} while {} had it",
                    later.id,
                    Node::Runner(later.runner).name(),
                    Node::Runner(earlier.runner).name()
                );
                violations.push(dispatcher_violation("rule-2", dispatcher, later.left, what));
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
                violations.push(dispatcher_violation("rule-2", dispatcher, later.left, what));
            }
        }
    }
}

/// Rule 3: a dispatcher sends no first byte to a runner once the grace has passed since the list reported the runner
/// as not ready, or since an operator took the runner out of service at this dispatcher.
fn check_drains(records: &Records, violations: &mut Vec<Violation>) {
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
            // A dispatcher that was paused reads the update only after it runs again.
            let stopped = was_absent(records, ho.dispatcher, word.at, ho.left - grace, false);
            if !stopped {
                let what = format!(
                    "{} was handed to {}, told at {:.3} s not to be used",
                    ho.id,
                    Node::Runner(ho.runner).name(),
                    word.at
                );
                violations.push(dispatcher_violation("rule-3", ho.dispatcher, ho.left, what));
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
            let since = was_absent(records, ho.dispatcher, *from, ho.left, true);
            if !since {
                let name = Node::Runner(ho.runner).name();
                let what = format!(
                    "{} was handed to {name}, out by hand since {from:.3} s",
                    ho.id
                );
                violations.push(dispatcher_violation("rule-3", ho.dispatcher, ho.left, what));
            }
        }
    }
}

/// Bound: a ban that the voters agreed on holds at every dispatcher. A dispatcher that is running and can reach the
/// others sends no first byte to a banned runner, also after a restart.
fn check_agreed_bans(inputs: &RunInputs, records: &Records, violations: &mut Vec<Violation>) {
    let Some(store) = &inputs.scenario.store else {
        return;
    };
    let grace = store.within.0 + 0.3 + SLACK_S;
    for ho in &records.hos {
        let out = records.banned.iter().find(|(runner, from, to)| {
            *runner == ho.runner && from + grace < ho.left && ho.left < *to
        });
        let Some((_, from, _)) = out else { continue };
        let sender = Node::Dispatcher(ho.dispatcher);
        let since = ho.left - grace;
        // A dispatcher that hears fewer than half of the others may not hear the leader.
        let others = (0..inputs.participants.dispatchers)
            .map(Node::Dispatcher)
            .filter(|other| *other != sender);
        let faulty_links = others
            .filter(|other| inputs.link_was_faulty(sender, *other, since, ho.left))
            .count();
        let cut = 2 * faulty_links > inputs.participants.dispatchers - 1;
        if !cut && !was_absent(records, ho.dispatcher, since, ho.left, false) {
            let name = Node::Runner(ho.runner).name();
            let what = format!(
                "{} was handed to {name}, out for all since {from:.3} s",
                ho.id
            );
            violations.push(dispatcher_violation(
                "bound-agreed",
                ho.dispatcher,
                ho.left,
                what,
            ));
        }
    }
}

/// For each cold process of a runner: the runner, the number of the process, the largest share of its limit that was
/// sent to it within any span (1.0 is the limit), and the start of that span in seconds.
pub(crate) fn cold_use(inputs: &RunInputs, records: &Records) -> Vec<(usize, u32, f64, f64)> {
    let rule = &inputs.scenario.cold;
    let mut used = Vec::new();
    for birth in records.births.iter().filter(|birth| birth.cold) {
        // Counts only hand-offs of dispatchers that the list had told of the start of this process.
        let told = |ho: &&HandOff| {
            let word = |w: &&crate::records::ListUpdate| {
                w.dispatcher == ho.dispatcher && w.runner == ho.runner
            };
            records
                .words
                .iter()
                .filter(word)
                .any(|w| w.process == birth.process && w.at + SLACK_S / 2.0 < ho.left)
        };
        let mine = |ho: &&HandOff| ho.runner == birth.runner && ho.process == birth.process;
        let mut sent: Vec<&HandOff> = records
            .hos
            .iter()
            .filter(mine)
            .filter(|ho| ho.left - birth.at < rule.time.0)
            .filter(told)
            .collect();
        sent.sort_by(|a, b| a.left.total_cmp(&b.left));
        let fetch = inputs.scenario.runners.fetch.0;
        let (mut most, mut at) = (0.0f64, birth.at);
        for (n, first) in sent.iter().enumerate() {
            let span = sent[n..]
                .iter()
                .take_while(|ho| ho.left < first.left + rule.span.0);
            let all: f64 = span.map(|ho| ho.work_s + fetch).sum();
            let age = ((first.left - birth.at + 0.5 * rule.span.0) / rule.time.0).clamp(0.0, 1.0);
            let present =
                inputs.scenario.runners.slots as f64 * (rule.from + (1.0 - rule.from) * age);
            let part = all / (rule.multiple * present * rule.span.0).max(1e-9);
            if part > most {
                (most, at) = (part, first.left);
            }
        }
        used.push((birth.runner, birth.process, most, at));
    }
    used
}

/// Rule 4: the work that all dispatchers together send to a cold runner stays under its limit in any span.
fn check_cold_limits(inputs: &RunInputs, records: &Records, violations: &mut Vec<Violation>) {
    for (runner, _, most, at) in cold_use(inputs, records) {
        if most > COLD_TOLERANCE {
            let what = format!(
                "{:.0}% of what it may be sent by all within its span",
                100.0 * most
            );
            violations.push(Violation {
                rule: "rule-4",
                who: Node::Runner(runner).name(),
                at,
                what,
            });
        }
    }
}

/// Bound: the hand-offs of a category that all dispatchers together have at runners stay within the cap.
fn check_caps(inputs: &RunInputs, records: &Records, violations: &mut Vec<Violation>) {
    if !inputs.scenario.fleet.sharing {
        return;
    }
    let longest = inputs
        .scenario
        .categories
        .iter()
        .map(|c| c.expiry.0)
        .fold(0.0, f64::max);
    let within = inputs
        .scenario
        .store
        .as_ref()
        .map_or(0.0, |store| store.within.0);
    // An agreed cap binds once all dispatchers have received it and all leases under the previous cap have ended.
    let wait = within + inputs.scenario.fleet.lease.0 + longest;
    for (name, &first) in &inputs.scenario.fleet.caps {
        let n = inputs
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
            // A hand-off counts from when it left until it ended or its dispatcher stopped waiting for it.
            if ho.over() > ho.left {
                edges.extend([(ho.left, 1), (ho.over(), -1)]);
            }
        }
        edges.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let agreed: Vec<(f64, u64)> = records
            .caps
            .iter()
            .filter(|(_, of, _)| Some(*of) == n)
            .map(|(at, _, cap)| (*at, *cap))
            .collect();
        // The largest of the caps that may be in force at some dispatcher.
        let cap_in_force = |at: f64| {
            let old = agreed.iter().rposition(|(since, _)| since + wait <= at);
            let from = old.map_or(0, |old| old);
            let first = if old.is_none() { first } else { 0 };
            agreed[from..]
                .iter()
                .filter(|(since, _)| *since - within <= at)
                .map(|(_, cap)| *cap)
                .fold(first, u64::max)
        };
        let (mut out, mut worst): (i64, Option<(i64, f64, u64)>) = (0, None);
        for (at, change) in edges {
            out += change;
            if out > cap_in_force(at) as i64 && worst.is_none_or(|(most, ..)| out > most) {
                worst = Some((out, at, cap_in_force(at)));
            }
        }
        if let Some((most, when, cap)) = worst {
            let what = format!("{most} work items were at runners at once, the cap is {cap}");
            violations.push(Violation {
                rule: "bound-cap",
                who: name.clone(),
                at: when,
                what,
            });
        }
    }
}

/// Bound: the repeated hand-offs that all dispatchers together send in any second stay within the limit.
fn check_resends(
    inputs: &RunInputs,
    by_request: &BTreeMap<&str, Vec<&HandOff>>,
    violations: &mut Vec<Violation>,
) {
    let Some(limit) = inputs
        .scenario
        .fleet
        .resends
        .filter(|_| inputs.scenario.fleet.sharing)
    else {
        return;
    };
    let later = by_request.values().flat_map(|hos| hos.iter().skip(1));
    let mut at: Vec<f64> = later.map(|ho| ho.left).filter(|at| *at >= 0.0).collect();
    at.sort_by(f64::total_cmp);
    // A second as the dispatchers count it begins shortly before the first byte leaves, so the window is shortened.
    for (n, first) in at.iter().enumerate() {
        let within = at[n..]
            .iter()
            .take_while(|later| **later < first + 1.0 - SLACK_S)
            .count();
        if within as u64 > limit {
            let what = format!("{within} repeated hand-offs within a second, the limit is {limit}");
            violations.push(Violation {
                rule: "bound-resends",
                who: "all".to_string(),
                at: *first,
                what,
            });
            return;
        }
    }
}

/// Bound: no healthy runner is shut out. A runner without a fault gets work from the dispatchers whose links to it
/// are intact, while they send work to other runners.
fn check_shut_out(inputs: &RunInputs, records: &Records, violations: &mut Vec<Violation>) {
    let length = inputs.scenario.length.0;
    let mut from = 0.5;
    while from + SHUT_OUT_SPAN_S <= length {
        let to = from + SHUT_OUT_SPAN_S;
        for runner in 0..inputs.participants.runners {
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
            if !before || cold || unready || by_hand || inputs.runner_was_faulty(runner, from, to) {
                continue;
            }
            let whole = |d: &usize| {
                let (a, b) = (Node::Dispatcher(*d), Node::Runner(runner));
                !inputs.link_was_faulty(a, b, from, to)
                    && !was_absent(records, *d, from - 2.0, to, false)
            };
            let reachable_from: Vec<usize> =
                (0..inputs.participants.dispatchers).filter(whole).collect();
            let theirs = |ho: &&HandOff| {
                ho.left >= from && ho.left < to && reachable_from.contains(&ho.dispatcher)
            };
            let all = records.hos.iter().filter(theirs).count();
            let here = records
                .hos
                .iter()
                .filter(theirs)
                .filter(|ho| ho.runner == runner)
                .count();
            let each = all / inputs.participants.runners;
            if 2 * reachable_from.len() > inputs.participants.dispatchers
                && each >= SHUT_OUT_MIN_AVERAGE
                && SHUT_OUT_DIVISOR * here < each
            {
                let what = format!(
                    "{here} hand-offs came to it within {SHUT_OUT_SPAN_S} s, {each} to each on average"
                );
                let who = Node::Runner(runner).name();
                violations.push(Violation {
                    rule: "bound-shut-out",
                    who,
                    at: from,
                    what,
                });
            }
        }
        from += 0.5 * SHUT_OUT_SPAN_S;
    }
}

/// The payoff that a request earned: all of it by its due time, its tardy share until its expiry, nothing after that.
pub(crate) fn earned_payoff(inputs: &RunInputs, wi: &RequestRecord) -> f64 {
    let terms = inputs.category(wi.category);
    match &wi.answer {
        Some((at, 200, _)) if *at <= wi.intended + wi.wait_s => {
            // The due time counts from the intended time of the first try: the end of the wait less the expiry.
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

/// The share, from 0 to 1, of the possible payoff that was earned by requests whose first try falls into a span.
/// It is 1 if no payoff was possible.
pub(crate) fn goodput(inputs: &RunInputs, records: &Records, from: f64, to: f64) -> f64 {
    let (mut all, mut got) = (0.0, 0.0);
    let mut firsts: BTreeMap<&str, f64> = BTreeMap::new();
    for wi in &records.wis {
        let name = wi.first.as_deref().unwrap_or(&wi.id);
        let best = firsts.entry(name).or_default();
        *best = best.max(earned_payoff(inputs, wi));
    }
    for wi in records
        .wis
        .iter()
        .filter(|wi| wi.first.is_none() && wi.intended >= from && wi.intended < to)
    {
        all += inputs.category(wi.category).payoff;
        got += firsts.get(wi.id.as_str()).copied().unwrap_or(0.0);
    }
    if all > 0.0 {
        got / all
    } else {
        1.0
    }
}

/// The number of hand-offs that failed, were lost, were given up or never ended.
pub(crate) fn failed_hand_offs(records: &Records) -> u64 {
    let bad = |ho: &&HandOff| {
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

/// Checks the expectations that the scenario states in its `[expect]` section.
fn check_expectations(inputs: &RunInputs, records: &Records, violations: &mut Vec<Violation>) {
    let expect = &inputs.scenario.expect;
    let length = inputs.scenario.length.0;
    let mut unmet = |what: String| {
        violations.push(Violation {
            rule: "expected",
            who: "all".to_string(),
            at: length,
            what,
        });
    };
    let got = goodput(inputs, records, 0.0, length);
    if let Some(least) = expect.goodput.filter(|least| got < *least) {
        unmet(format!("goodput {got:.3}, at least {least} is expected"));
    }
    if let Some(within) = expect.back_within {
        let first = inputs
            .schedule
            .iter()
            .map(|fault| fault.from)
            .fold(length, f64::min);
        let ends = |fault: &ScheduledFault| {
            if fault.to.is_finite() {
                fault.to
            } else {
                fault.from
            }
        };
        let last = inputs.schedule.iter().map(ends).fold(0.0, f64::max) + within.0;
        let (calm, after) = (
            goodput(inputs, records, 0.0, first),
            goodput(inputs, records, last, length),
        );
        if last >= length {
            unmet(format!(
                "the clients end at {length} s, before {last:.1} s, when goodput is expected to have recovered"
            ));
        } else if after < 0.95 * calm {
            unmet(format!(
                "goodput {after:.3} from {last:.1} s on, {calm:.3} before the first fault"
            ));
        }
    }
    if let Some(least) = expect.cold_use {
        let most = cold_use(inputs, records)
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
