//! Operators who send orders through any process, and a checker of all the answers that they were given.

use super::cluster::{config, World};
use sagetrail_protocol::node::{Event, HttpRequestId, Method};
use std::collections::BTreeMap;

/// The longest wait for an answer, in milliseconds.
const PATIENCE_MS: u64 = 5_000;
/// An order that was left open is sent this often before a test gives up.
const MAX_TRIES: usize = 20;

/// An order of the operator.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Order {
    pub path: &'static str,
    pub base: u64,
    pub version: u64,
    pub content: String,
}

/// A whole configuration; `mark` tells apart the contents under one number.
pub(crate) fn replacement(base: u64, version: u64, mark: &str) -> Order {
    let content = config(version).replace("/p", &format!("/{mark}p"));
    Order {
        path: "/v1/config/replace",
        base,
        version,
        content,
    }
}

/// A change of the only route, with the same effect as `replacement`.
pub(crate) fn patch(base: u64, version: u64, mark: &str) -> Order {
    let complete: serde_json::Value =
        serde_json::from_str(&replacement(base, version, mark).content).unwrap();
    let content =
        serde_json::json!({ "version": version, "upsert": { "routes": complete["routes"] } });
    Order {
        path: "/v1/config/patch",
        base,
        version,
        content: content.to_string(),
    }
}

/// How the processes answer: as they do, or as one that a checker must find out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Answering {
    Sound,
    /// An order that was confirmed before is refused.
    RefusesRepeats,
    /// Any order is confirmed whose number a confirmed one had.
    ConfirmsByVersion,
}

struct Attempt {
    order: Order,
    number: u64,
}

/// All orders sent in one world.
pub(crate) struct Operators {
    answering: Answering,
    attempts: Vec<Attempt>,
}

impl Operators {
    pub(crate) fn new(answering: Answering) -> Operators {
        Operators {
            answering,
            attempts: Vec::new(),
        }
    }

    /// Sends an order and gives the request's number.
    pub(crate) fn send(&mut self, world: &mut World, index: usize, order: &Order) -> u64 {
        let number = world.http(
            index,
            Method::Post,
            order.path,
            Some(order.base),
            &order.content,
        );
        self.attempts.push(Attempt {
            order: order.clone(),
            number,
        });
        number
    }

    /// Sends an order and waits for the answer; 0 where there is none.
    pub(crate) fn ask(&mut self, world: &mut World, index: usize, order: &Order) -> u16 {
        let number = self.send(world, index, order);
        let end = world.now + PATIENCE_MS * 1000;
        while world.status(number) == 0 && world.now < end {
            world.run(1);
        }
        self.status(world, number)
    }

    /// Sends an order again and again, as the operator does, until the answer is clear.
    pub(crate) fn insist(&mut self, world: &mut World, index: usize, order: &Order) -> u16 {
        for _ in 0..MAX_TRIES {
            let status = self.ask(world, index, order);
            if is_clear(status) {
                return status;
            }
            world.run(300);
        }
        panic!("no clear answer to {} on {}", order.version, order.base);
    }

    /// All orders that were ever sent, each once.
    pub(crate) fn orders(&self) -> Vec<Order> {
        let mut orders: Vec<Order> = self
            .attempts
            .iter()
            .map(|attempt| attempt.order.clone())
            .collect();
        orders.sort();
        orders.dedup();
        orders
    }

    /// The answer to one request.
    pub(crate) fn status(&self, world: &World, number: u64) -> u16 {
        let answers = self.answers(world);
        let place = self
            .attempts
            .iter()
            .position(|attempt| attempt.number == number);
        place.map_or(0, |place| answers[place].1)
    }

    /// Each attempt's order and the answer to it, 0 where there is none.
    fn answers(&self, world: &World) -> Vec<(&Order, u16)> {
        let mut answers: Vec<(&Order, u16)> = Vec::new();
        for attempt in &self.attempts {
            let status = world.status(attempt.number);
            let confirmed = |wanted: &dyn Fn(&Order) -> bool| {
                answers
                    .iter()
                    .any(|(order, status)| *status == 200 && wanted(order))
            };
            let answer = match self.answering {
                Answering::RefusesRepeats
                    if status == 200 && confirmed(&|order| *order == attempt.order) =>
                {
                    412
                }
                Answering::ConfirmsByVersion
                    if status == 412
                        && confirmed(&|order| order.version == attempt.order.version) =>
                {
                    200
                }
                _ => status,
            };
            answers.push((&attempt.order, answer));
        }
        answers
    }

    /// What must hold of all answers that were given, and of the configuration read back last.
    pub(crate) fn check(
        &self,
        world: &World,
        read_back: &Option<(u64, String)>,
    ) -> Result<(), String> {
        let answers = self.answers(world);
        let taken: Vec<&Order> = answers
            .iter()
            .filter(|answer| answer.1 == 200)
            .map(|answer| answer.0)
            .collect();
        let mut by_base: BTreeMap<u64, &Order> = BTreeMap::new();
        for order in taken {
            let winner = by_base.entry(order.base).or_insert(order);
            if *winner != order {
                return Err(format!(
                    "two changes on top of {} were confirmed",
                    order.base
                ));
            }
        }
        for (order, status) in &answers {
            if (400..500).contains(status) && by_base.get(&order.base) == Some(order) {
                return Err(format!(
                    "{} on {} was taken and refused with {status}",
                    order.version, order.base
                ));
            }
        }
        check_chain(&by_base)?;
        check_read_back(&by_base, read_back)
    }
}

/// Every confirmed change ends before the next one begins.
fn check_chain(by_base: &BTreeMap<u64, &Order>) -> Result<(), String> {
    for (former, later) in by_base.values().zip(by_base.values().skip(1)) {
        if former.version > later.base {
            return Err(format!(
                "{} was confirmed within {} to {}",
                later.base, former.base, former.version
            ));
        }
    }
    Ok(())
}

/// What is read back is the newest confirmed change, or one without a clear answer on top of it.
fn check_read_back(
    by_base: &BTreeMap<u64, &Order>,
    read_back: &Option<(u64, String)>,
) -> Result<(), String> {
    let Some(newest) = by_base.values().next_back() else {
        return Ok(());
    };
    match read_back {
        Some((version, _)) if *version < newest.version => {
            Err(format!("{version} read back is too old"))
        }
        Some((version, mark)) if *version == newest.version && !newest.content.contains(mark) => {
            Err(format!("{version} read back is not what was confirmed"))
        }
        Some(_) => Ok(()),
        None => Err("nothing was read back".to_owned()),
    }
}

/// Whether an operator does not send the order again after this answer.
pub(crate) fn is_clear(status: u16) -> bool {
    (200..500).contains(&status)
}

/// The caller closes its connection: the answer is lost.
pub(crate) fn abandon(world: &mut World, number: u64) {
    for index in 0..world.machines.len() {
        world.event(
            index,
            Event::HttpAbandoned {
                id: HttpRequestId(number),
            },
        );
    }
}

/// The path prefix of the only route in the configuration read back, with its version.
pub(crate) fn read_back(world: &mut World, index: usize) -> Option<(u64, String)> {
    for _ in 0..MAX_TRIES {
        let number = world.http(index, Method::Get, "/v1/config/get", None, "");
        world.run(300);
        let Some(reply) = world
            .replies
            .get(&number)
            .filter(|reply| reply.status == 200)
        else {
            continue;
        };
        let json: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
        let prefix = json["routes"][0]["path_prefix"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        return json["version"].as_u64().map(|version| (version, prefix));
    }
    None
}
