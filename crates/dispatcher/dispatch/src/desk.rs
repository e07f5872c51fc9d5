//! What is in hand, and how what the decisions ask for is carried out.

use crate::learnt::Known;
use crate::message::{Order, Outgoing, Reply};
use crate::roster::{Gate, Member};
use sagetrail_policy::{Dispatcher, Host, Outcome, WorkItem};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// What the exchange needs done in the world. Its answers come back as calls on the exchange, later.
pub trait Outside {
    /// Who waits for an answer.
    type Client;
    /// A message on its way to a runner, and what stops it. Dropped unstopped, it goes on.
    type Errand;

    /// Fails only if the client has gone, and then nothing is owed.
    fn answer(&mut self, client: Self::Client, reply: Reply);
    fn gone(client: &Self::Client) -> bool;
    /// Takes a message to a runner and tells `Exchange::errand_ended` how that went, exactly once; `whole` is
    /// set with the last byte written. Given up at `until`.
    fn begin(
        &mut self,
        task: Task,
        runner: usize,
        message: Outgoing,
        until: f64,
        whole: Rc<Cell<bool>>,
    ) -> Self::Errand;
    fn stop(&mut self, errand: Self::Errand);
    /// Calls `Exchange::again` after a pause.
    fn again(&mut self, task: Task);
    /// A runner has been named for the first time; its place is the next.
    fn enlist(&mut self, gate: Rc<Gate>);
    /// Connections to this runner lead nowhere any more.
    fn drop_idle(&mut self, runner: usize);
    fn ask_discovery(&mut self);
    fn has_list(&mut self, has: bool);

    // ---- where dispatchers share; nothing, where they do not ----

    /// A work item has been taken.
    fn took(&mut self, _now: f64, _category: usize) {}
    /// Until when an attempt of this kind may begin: what it is spent from ends then. Looked at where its first
    /// byte is written. Guards against a process paused in between.
    fn spend_by(&self, _now: f64, _runner: usize, _category: usize) -> f64 {
        f64::INFINITY
    }
    /// A attempt goes out; `again` if it is not its work item's first.
    fn goes(&mut self, _now: f64, _again: bool) {}
    /// What was seen of a runner.
    fn saw(&mut self, _now: f64, _runner: usize, _what: Saw) {}
    /// Before the decisions look: tells them what others share.
    fn advise(&mut self, _now: f64, _dispatcher: &mut Dispatcher, _load: &Load) {}
    /// After they have: what is spent now.
    fn spent(&mut self, _now: f64, _dispatcher: &Dispatcher, _load: &Load) {}
}

/// A sign of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Saw {
    Finished,
    /// It took an attempt, or a job of it failed: it is there.
    Heard,
    Failed,
    /// Not reached, reset, out of time, or no sign where one was due.
    Silent,
}

/// What is in hand, by category and by runner.
#[derive(Default)]
pub struct Load {
    pub gates: Vec<Rc<Gate>>,
    pub taken: Vec<u32>,
    pub out: Vec<u32>,
    /// Jobs that have started, by runner.
    pub runs: Vec<u32>,
}

impl Load {
    fn count(counts: &mut Vec<u32>, place: usize, more: bool) {
        counts.resize(counts.len().max(place + 1), 0);
        counts[place] = if more {
            counts[place] + 1
        } else {
            counts[place].saturating_sub(1)
        };
    }

    pub(crate) fn takes(&mut self, category: usize, more: bool) {
        Load::count(&mut self.taken, category, more);
    }

    pub(crate) fn sends(&mut self, category: usize, more: bool) {
        Load::count(&mut self.out, category, more);
    }

    pub(crate) fn starts(&mut self, runner: usize, more: bool) {
        Load::count(&mut self.runs, runner, more);
    }
}

/// A work item's attempt, told apart from all others there ever were.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(crate) work_item: WorkItem,
    pub(crate) serial: u64,
    pub(crate) no: u16,
}

/// What a message to a runner is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    Attempt(Ticket),
    /// Giving it up, and what is told of the attempt once that is known.
    GiveUp(Ticket, Option<Outcome>),
}

/// A attempt that is out.
pub(crate) struct Out<E> {
    pub no: u16,
    pub runner: usize,
    pub sent: f64,
    pub drop_at: f64,
    pub errand: Option<E>,
    pub whole: Rc<Cell<bool>>,
    /// By its 202, or by news that came before that.
    pub accepted: bool,
    pub started: bool,
    /// The decisions have called it off; and the runner did not confirm that.
    pub off: bool,
    pub unheard: bool,
}

/// A work item in hand.
pub(crate) struct Taken<C, E> {
    pub serial: u64,
    pub category: usize,
    pub order: Order,
    pub answer: Option<C>,
    pub expiry: f64,
    pub made: u16,
    pub out: Option<Out<E>>,
    /// The runners that an earlier attempt was written to: their word may still be about that.
    pub before: Vec<usize>,
}

/// In place of an attempt's number in the timers: the work item's own expiry.
pub(crate) const EXPIRY: u16 = u16::MAX;
/// A work item unanswered this long past its expiry is answered by the exchange itself.
pub(crate) const OVERDUE_S: f64 = 0.01;
/// At the end attempts are dropped this long before everything must be settled.
pub(crate) const LEAD_S: f64 = 0.05;

/// What the decisions ask for is carried out here.
pub(crate) struct Desk<O: Outside> {
    pub outside: O,
    pub now: f64,
    /// What Unix time it was at 0 on the exchange's clock.
    pub unix: f64,
    pub dial_s: f64,
    pub drain_s: f64,
    pub load: Load,
    /// What the list last said of each.
    pub members: Vec<Member>,
    pub places: HashMap<String, usize>,
    pub taken: Vec<Option<Taken<O::Client, O::Errand>>>,
    pub ids: HashMap<Rc<str>, WorkItem>,
    pub serial: u64,
    pub timers: BTreeMap<(u64, u64, u16), WorkItem>,
    /// Starts told and not yet passed on, by when they came.
    pub starts: VecDeque<(f64, Ticket)>,
    pub wake_at: f64,
    pub most_held: usize,
    pub retry_after_s: f64,
    /// A work item may be at two runners at once.
    pub two_at_once: bool,
    pub may_cancel: bool,
    /// Runners that operators hold out at all dispatchers.
    pub held_out: BTreeSet<String>,
    /// What an earlier process learnt of runners that the list has not named yet.
    pub carried: HashMap<String, Known>,
    /// When the process is to have settled everything.
    pub end_at: f64,
}

pub(crate) fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

impl<O: Outside> Desk<O> {
    pub(crate) fn taken(
        &mut self,
        work_item: WorkItem,
    ) -> Option<&mut Taken<O::Client, O::Errand>> {
        self.taken.get_mut(work_item.0 as usize)?.as_mut()
    }

    /// The attempt that a ticket names, if it is still out.
    pub(crate) fn out(&mut self, ticket: Ticket) -> Option<&mut Out<O::Errand>> {
        let taken = self
            .taken(ticket.work_item)
            .filter(|taken| taken.serial == ticket.serial)?;
        taken.out.as_mut().filter(|out| out.no == ticket.no)
    }

    pub(crate) fn answer(&mut self, work_item: WorkItem, reply: Reply) {
        if let Some(client) = self.taken(work_item).and_then(|taken| taken.answer.take()) {
            self.outside.answer(client, reply);
        }
    }

    /// Takes an attempt back: by its connection as long as the runner has not taken it, by word after. `then`
    /// says what is told once it is known to be given up.
    pub(crate) fn call_off(&mut self, ticket: Ticket, then: Option<Outcome>) {
        let until = self.now + 2.0 * self.dial_s;
        let may_cancel = self.may_cancel;
        let Some(taken) = self
            .taken(ticket.work_item)
            .filter(|taken| taken.serial == ticket.serial)
        else {
            return;
        };
        let give_up = Outgoing::GiveUp {
            id: taken.order.id.to_string(),
        };
        let Some(out) = taken.out.as_mut().filter(|out| out.no == ticket.no) else {
            return;
        };
        out.off = true;
        let (errand, accepted, runner) = (out.errand.take(), out.accepted, out.runner);
        // Closes the connection, if that still waits for an answer.
        errand
            .into_iter()
            .for_each(|errand| self.outside.stop(errand));
        if accepted && may_cancel {
            let task = Task::GiveUp(ticket, then);
            let errand = self
                .outside
                .begin(task, runner, give_up, until, Rc::default());
            if let Some(out) = self.out(ticket) {
                out.errand = Some(errand);
            }
        }
    }
}

impl<O: Outside> Host for Desk<O> {
    fn now(&self) -> f64 {
        self.now
    }

    fn send_attempt(&mut self, work_item: WorkItem, runner: usize, drop_at: f64, begin_by: f64) {
        let (sent, drop_at) = (self.now, drop_at.min(self.end_at - LEAD_S));
        let Some(taken) = self.taken(work_item) else {
            return;
        };
        let (no, category) = (taken.made, taken.category);
        taken.made += 1;
        let ticket = Ticket {
            work_item,
            serial: taken.serial,
            no,
        };
        let Order {
            target,
            headers,
            body,
            gone,
            ..
        } = &taken.order;
        let (target, headers, body, gone) =
            (target.clone(), headers.clone(), body.clone(), gone.clone());
        let begin_by = begin_by.min(self.outside.spend_by(sent, runner, category));
        let message = Outgoing::Work {
            target,
            headers,
            wait_s: 0.0,
            begin_by,
            gone,
            body,
        };
        self.outside.goes(sent, no > 0);
        self.load.sends(category, true);
        let whole = Rc::new(Cell::new(false));
        let errand = Some(self.outside.begin(
            Task::Attempt(ticket),
            runner,
            message,
            drop_at,
            whole.clone(),
        ));
        let (accepted, started, off, unheard) = (false, false, false, false);
        if let Some(taken) = self.taken(work_item) {
            taken.out = Some(Out {
                no,
                runner,
                sent,
                drop_at,
                errand,
                whole,
                accepted,
                started,
                off,
                unheard,
            });
        }
        self.timers
            .insert((micros(drop_at), ticket.serial, no), work_item);
    }

    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64) {
        self.answer(
            work_item,
            Reply {
                retry_after_s,
                ..Reply::new(503, "deferred\n")
            },
        );
    }

    fn write_off(&mut self, work_item: WorkItem) {
        self.answer(work_item, Reply::new(502, "written off\n"));
    }

    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        let Some(taken) = self.taken(work_item) else {
            return;
        };
        let ticket = Ticket {
            work_item,
            serial: taken.serial,
            no: attempt,
        };
        if taken
            .out
            .as_ref()
            .is_some_and(|out| out.no == attempt && !out.off)
        {
            // While its client still waits, it is called off for its runner's sake.
            let runner = taken.out.as_ref().map_or(0, |out| out.runner);
            if taken.answer.is_some() {
                self.outside.saw(self.now, runner, Saw::Silent);
            }
            self.call_off(ticket, Some(Outcome::Cancelled));
        }
    }

    fn release_handle(&mut self, work_item: WorkItem) {
        if let Some(taken) = self
            .taken
            .get_mut(work_item.0 as usize)
            .and_then(Option::take)
        {
            self.load.takes(taken.category, false);
            if let Some(out) = &taken.out {
                self.load.sends(taken.category, false);
                if out.started {
                    self.load.starts(out.runner, false);
                }
            }
            self.ids.remove(&taken.order.id);
            self.timers
                .remove(&(micros(taken.expiry + OVERDUE_S), taken.serial, EXPIRY));
        }
    }

    fn probe(&mut self, _: usize) {
        // This protocol has no probe; the terms say so too.
    }

    fn wake_in(&mut self, in_s: f64) {
        self.wake_at = self.now + in_s;
    }

    fn runner_silent(&mut self, runner: usize) {
        self.outside.saw(self.now, runner, Saw::Silent);
    }

    fn request_list(&mut self) {
        self.outside.ask_discovery();
    }

    fn log(&mut self, runner: usize, line: &str) {
        let runner = &self.load.gates[runner];
        tracing::info!("{} ({}) {line}", runner.name, runner.address.get());
    }
}
