//! CONFIG and LOST of configurations: what the operator was told, and what is in force.

use super::{Judge, Rule};
use crate::configuration::Configuration;
use crate::engine::{Micros, MILLISECOND};
use crate::history::{Answer, Observation, ObservedChange, OrderNumber};
use std::collections::BTreeMap;

/// An order with its fate.
struct OrderFact {
    seen: ObservedChange,
    first_sent: Micros,
    acknowledged: Option<Micros>,
    refused: Option<Micros>,
}

/// Judges all orders, reads and counts.
pub(super) fn judge(judge: &mut Judge) {
    let orders = gather(judge);
    acknowledgements(judge, &orders);
    repeats(judge, &orders);
    reads(judge, &orders);
    read_back(judge, &orders);
    counts(judge, &orders);
}

fn gather(judge: &Judge) -> BTreeMap<OrderNumber, OrderFact> {
    let mut orders: BTreeMap<OrderNumber, OrderFact> = BTreeMap::new();
    for seen in &judge.history.observations {
        match &seen.observation {
            Observation::OrderSent(order) => {
                let fact = || OrderFact {
                    seen: order.clone(),
                    first_sent: seen.at,
                    acknowledged: None,
                    refused: None,
                };
                orders.entry(order.order).or_insert_with(fact);
            }
            Observation::OrderAnswered { order, answer } => {
                if let Some(fact) = orders.get_mut(order) {
                    fact.take(seen.at, *answer);
                }
            }
            _ => (),
        }
    }
    orders
}

impl OrderFact {
    fn take(&mut self, at: Micros, answer: Answer) {
        match answer {
            Answer::Status(200..=299) => {
                self.acknowledged.get_or_insert(at);
            }
            Answer::Status(400 | 409 | 412 | 413 | 422) => {
                self.refused.get_or_insert(at);
            }
            _ => (),
        }
    }
}

fn acknowledgements(judge: &mut Judge, orders: &BTreeMap<OrderNumber, OrderFact>) {
    let mut on_base: BTreeMap<u64, &OrderFact> = BTreeMap::new();
    for fact in orders.values() {
        let Some(at) = fact.acknowledged else {
            continue;
        };
        if !fact.seen.valid {
            judge.accuse(
                Rule::Config,
                at,
                format!("invalid order {} was acknowledged", fact.seen.order),
            );
        }
        if let Some(other) = on_base
            .insert(fact.seen.base, fact)
            .filter(|other| other.seen.content != fact.seen.content)
        {
            let detail = format!(
                "orders {} and {} on top of version {} were both acknowledged",
                other.seen.order, fact.seen.order, fact.seen.base
            );
            judge.accuse(Rule::Config, at, detail);
        }
    }
}

fn repeats(judge: &mut Judge, orders: &BTreeMap<OrderNumber, OrderFact>) {
    for fact in orders.values() {
        let (Some(acknowledged), Some(refused)) = (fact.acknowledged, fact.refused) else {
            continue;
        };
        let other = |other: &&OrderFact| {
            other.seen.order != fact.seen.order
                && other.seen.valid
                && other.first_sent < refused
                && other.seen.version > fact.seen.version
        };
        if refused > acknowledged && !orders.values().any(|one| other(&one)) {
            let detail = format!(
                "order {} was acknowledged and then refused",
                fact.seen.order
            );
            judge.accuse(Rule::Config, refused, detail);
        }
    }
}

fn reads(judge: &mut Judge, orders: &BTreeMap<OrderNumber, OrderFact>) {
    let history = judge.history;
    for seen in &history.observations {
        let Observation::ConfigRead {
            content: Some(content),
            ..
        } = &seen.observation
        else {
            continue;
        };
        let possible = orders.values().any(|fact| {
            let same = fact.seen.content.as_ref() == Some(content);
            same && (fact.refused.is_none() || fact.acknowledged.is_some())
        });
        if !possible {
            let detail = format!(
                "version {} was read, which is not as sent or was refused",
                content.version
            );
            judge.accuse(Rule::Config, seen.at, detail);
        }
    }
}

fn newest_acknowledged(orders: &BTreeMap<OrderNumber, OrderFact>, by: Micros) -> u64 {
    let known = orders
        .values()
        .filter(|fact| fact.acknowledged.is_some_and(|at| at <= by));
    known.map(|fact| fact.seen.version).max().unwrap_or(0)
}

fn read_back(judge: &mut Judge, orders: &BTreeMap<OrderNumber, OrderFact>) {
    let Some(end) = judge.facts.day_end else {
        return;
    };
    let mut reads =
        judge
            .history
            .observations
            .iter()
            .rev()
            .filter_map(|seen| match &seen.observation {
                Observation::ConfigRead { sent, content } => Some((*sent, content.clone())),
                _ => None,
            });
    let last: Option<(Micros, Option<Configuration>)> = reads.next();
    let newest = newest_acknowledged(orders, last.as_ref().map_or(end, |(sent, _)| *sent));
    let shown = last
        .and_then(|(_, content)| content)
        .map_or(0, |content| content.version);
    if shown < newest {
        let detail = format!("the last read gives version {shown}, {newest} was acknowledged");
        judge.accuse(Rule::Config, end, detail);
    }
}

/// Counts of queues: 404 only where some version that may be in force lacks the route, 200 only where one has it.
fn counts(judge: &mut Judge, orders: &BTreeMap<OrderNumber, OrderFact>) {
    let history = judge.history;
    let apply = judge.limits.bounds.config_apply_ms * MILLISECOND;
    for seen in &history.observations {
        let Observation::QueueRead {
            sent,
            host,
            prefix,
            answer,
            gateway,
        } = &seen.observation
        else {
            continue;
        };
        let status = match answer {
            Answer::Status(status @ (200 | 404)) => *status,
            _ => continue,
        };
        let settled = newest_acknowledged(orders, sent.saturating_sub(apply));
        if settled == 0 || !judge.calm.in_touch(*gateway, *sent) {
            continue;
        }
        let may_be = orders
            .values()
            .filter(|fact| fact.seen.version >= settled && fact.first_sent <= seen.at);
        let contents = may_be.filter_map(|fact| fact.seen.content.as_ref());
        let fits =
            |content: &Configuration| content.route_of(host, prefix).is_some() == (status == 200);
        if !contents.into_iter().any(fits) {
            let detail =
                format!("{gateway} answers {status} for {prefix}, version {settled} is in force");
            judge.accuse(Rule::Config, *sent, detail);
        }
    }
}
