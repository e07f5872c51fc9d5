//! The present state of each link. A link leads from one node to another in one direction.

use crate::names::Node;
use crate::schedule::ScheduledFault;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The effect of the active faults on the traffic of a link.
#[derive(Clone, Debug, PartialEq, Default)]
pub(crate) struct Way {
    pub drop: f64,
    pub delay_s: f64,
    pub jitter_s: f64,
    pub reorder: f64,
    pub double: f64,
    /// The limit in bytes per second; 0 for no limit.
    pub rate: f64,
    pub stall: bool,
    pub reset: bool,
    pub refuse: bool,
    pub cut: bool,
    pub black_hole: bool,
}

impl Way {
    /// Whether the link delivers nothing at present.
    pub(crate) fn held(&self) -> bool {
        self.cut || self.stall
    }

    fn with(&mut self, what: &ScheduledFault) {
        match what.what {
            "drop" => self.drop = 1.0 - (1.0 - self.drop) * (1.0 - what.p),
            "delay" => {
                self.delay_s += what.delay_s;
                self.jitter_s += what.jitter_s;
            }
            "reorder" => self.reorder = self.reorder.max(what.p),
            "double" => self.double = self.double.max(what.p),
            "throttle" => {
                self.rate = if self.rate > 0.0 {
                    self.rate.min(what.rate)
                } else {
                    what.rate
                }
            }
            "stall" => self.stall = true,
            "reset" => self.reset = true,
            "refuse" => self.refuse = true,
            "cut" => self.cut = true,
            "black-hole" => self.black_hole = true,
            _ => {}
        }
    }
}

pub(crate) type Told = watch::Receiver<Way>;
type Senders = HashMap<(Node, Node), watch::Sender<Way>>;

/// All links. Each is created at its first use.
#[derive(Clone, Default)]
pub(crate) struct Ways {
    all: Arc<Mutex<Senders>>,
    active: Arc<Mutex<Vec<(usize, ScheduledFault)>>>,
}

impl Ways {
    pub(crate) fn way(&self, from: Node, to: Node) -> Told {
        let mut all = self.all.lock().unwrap();
        all.entry((from, to))
            .or_insert_with(|| watch::Sender::new(Way::default()))
            .subscribe()
    }

    fn set(&self, ways: &[(Node, Node)]) {
        let (mut all, active) = (self.all.lock().unwrap(), self.active.lock().unwrap());
        for pair in ways {
            let mut way = Way::default();
            active
                .iter()
                .filter(|(_, what)| what.ways.contains(pair))
                .for_each(|(_, what)| way.with(what));
            let sender = all
                .entry(*pair)
                .or_insert_with(|| watch::Sender::new(Way::default()));
            sender.send_if_modified(|old| std::mem::replace(old, way.clone()) != way);
        }
    }

    pub(crate) fn begin(&self, no: usize, what: &ScheduledFault) {
        self.active.lock().unwrap().push((no, what.clone()));
        self.set(&what.ways);
    }

    pub(crate) fn end(&self, no: usize) {
        let mut active = self.active.lock().unwrap();
        let Some(at) = active.iter().position(|(other, _)| *other == no) else {
            return;
        };
        let (_, what) = active.swap_remove(at);
        drop(active);
        self.set(&what.ways);
    }
}
