//! The present state of each link. A link leads from one node to another in one direction.

use crate::names::Node;
use crate::schedule::ScheduledFault;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The effect of the active faults on the traffic of a link.
#[derive(Clone, Debug, PartialEq, Default)]
pub(crate) struct LinkState {
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

impl LinkState {
    /// Whether the link delivers nothing at present.
    pub(crate) fn is_held(&self) -> bool {
        self.cut || self.stall
    }

    fn apply(&mut self, fault: &ScheduledFault) {
        match fault.kind {
            "drop" => self.drop = 1.0 - (1.0 - self.drop) * (1.0 - fault.p),
            "delay" => {
                self.delay_s += fault.delay_s;
                self.jitter_s += fault.jitter_s;
            }
            "reorder" => self.reorder = self.reorder.max(fault.p),
            "double" => self.double = self.double.max(fault.p),
            "throttle" => {
                self.rate = if self.rate > 0.0 {
                    self.rate.min(fault.rate)
                } else {
                    fault.rate
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

pub(crate) type LinkReceiver = watch::Receiver<LinkState>;
type Senders = HashMap<(Node, Node), watch::Sender<LinkState>>;

/// All links. Each is created at its first use.
#[derive(Clone, Default)]
pub(crate) struct Links {
    all: Arc<Mutex<Senders>>,
    active: Arc<Mutex<Vec<(usize, ScheduledFault)>>>,
}

impl Links {
    pub(crate) fn watch_link(&self, from: Node, to: Node) -> LinkReceiver {
        let mut all = self.all.lock().unwrap();
        all.entry((from, to))
            .or_insert_with(|| watch::Sender::new(LinkState::default()))
            .subscribe()
    }

    fn update(&self, links: &[(Node, Node)]) {
        let (mut all, active) = (self.all.lock().unwrap(), self.active.lock().unwrap());
        for pair in links {
            let mut link = LinkState::default();
            active
                .iter()
                .filter(|(_, fault)| fault.links.contains(pair))
                .for_each(|(_, fault)| link.apply(fault));
            let sender = all
                .entry(*pair)
                .or_insert_with(|| watch::Sender::new(LinkState::default()));
            sender.send_if_modified(|old| std::mem::replace(old, link.clone()) != link);
        }
    }

    pub(crate) fn begin(&self, no: usize, fault: &ScheduledFault) {
        self.active.lock().unwrap().push((no, fault.clone()));
        self.update(&fault.links);
    }

    pub(crate) fn end(&self, no: usize) {
        let mut active = self.active.lock().unwrap();
        let Some(at) = active.iter().position(|(other, _)| *other == no) else {
            return;
        };
        let (_, fault) = active.swap_remove(at);
        drop(active);
        self.update(&fault.links);
    }
}
