//! Where clients and runners meet: what happens is turned into calls on the decisions, which then decide once.

use crate::desk::{
    micros, Desk, Load, Outside, Saw, Taken, Task, Ticket, EXPIRY, LEAD_S, OVERDUE_S,
};
use crate::message::{Answer, Broken, Callback, Order, Reply, State};
use sagetrail_policy::{Dispatcher, Host, Job, Outcome, WorkItem};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A start waits this long for the end that it may have overtaken. On loopback half overtake, by 0.2 ms at
/// the most; ten times and more for a real network, and still nothing beside a run.
const BEHIND_S: f64 = 0.005;

/// Call `at` with the time, then make the calls at hand, each by `guarded`, then `settle`; again when `due`.
pub struct Exchange<O: Outside> {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) desk: Desk<O>,
}

/// What an exchange is started with; times in seconds, `unix` at 0 on its clock.
pub struct Parts {
    pub unix: f64,
    pub dial_s: f64,
    pub drain_s: f64,
    pub most_held: usize,
    pub retry_after_s: f64,
    pub two_at_once: bool,
    pub may_cancel: bool,
}

impl<O: Outside> Exchange<O> {
    pub fn new(dispatcher: Dispatcher, outside: O, parts: Parts, now: f64) -> Self {
        let Parts {
            unix,
            dial_s,
            drain_s,
            most_held,
            retry_after_s,
            two_at_once,
            may_cancel,
        } = parts;
        let desk = Desk {
            outside,
            now,
            unix,
            dial_s,
            drain_s,
            load: Load::default(),
            members: Vec::new(),
            places: HashMap::new(),
            taken: Vec::new(),
            ids: HashMap::new(),
            serial: 0,
            timers: BTreeMap::new(),
            starts: VecDeque::new(),
            wake_at: 0.0,
            most_held,
            retry_after_s,
            two_at_once,
            may_cancel,
            held_out: BTreeSet::new(),
            carried: HashMap::new(),
            end_at: f64::INFINITY,
        };
        Exchange { dispatcher, desk }
    }

    /// The wall clock was found to be off by so much.
    pub fn clock_jumped(&mut self, by_s: f64) {
        self.desk.unix += by_s;
    }

    /// From now on all that is told happens at this time.
    pub fn at(&mut self, now: f64) {
        self.desk.now = now;
    }

    /// When it is to settle again without any news.
    pub fn due(&self) -> f64 {
        let timer = self
            .desk
            .timers
            .first_key_value()
            .map_or(f64::INFINITY, |(at, _)| at.0 as f64 / 1e6);
        let start = self
            .desk
            .starts
            .front()
            .map_or(f64::INFINITY, |(at, _)| at + BEHIND_S);
        self.desk.wake_at.min(timer).min(start)
    }

    /// Looks at what has become due, then decides once.
    pub fn settle(&mut self) {
        self.guarded(Exchange::timers);
        let settled = self.desk.now - BEHIND_S;
        self.guarded(|exchange| exchange.pass_starts(|_, at, _| at <= settled));
        self.guarded(|exchange| {
            if exchange.desk.wake_at <= exchange.desk.now {
                exchange.desk.wake_at = f64::INFINITY;
            }
            let (desk, dispatcher) = (&mut exchange.desk, &mut exchange.dispatcher);
            desk.outside.advise(desk.now, dispatcher, &desk.load);
            dispatcher.decide(desk);
            desk.outside.spent(desk.now, dispatcher, &desk.load);
        });
    }

    /// Guards against a fault in one call ending the dispatcher: all else in hand is still settled.
    pub fn guarded(&mut self, call: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| call(self))).is_err() {
            tracing::error!("a fault in the exchange was contained");
            self.desk.wake_at = self.desk.now + 0.1;
        }
    }

    fn timers(&mut self) {
        while let Some((&(at, serial, no), &work_item)) = self.desk.timers.first_key_value() {
            if at > micros(self.desk.now) {
                return;
            }
            self.desk.timers.pop_first();
            let Some(taken) = self
                .desk
                .taken(work_item)
                .filter(|taken| taken.serial == serial)
            else {
                continue;
            };
            if no == EXPIRY {
                if taken.answer.is_some() {
                    tracing::error!(
                        "work item {} was overdue and is written off",
                        taken.order.id
                    );
                    self.desk.write_off(work_item);
                    work_item.client_left(&mut self.dispatcher, &mut self.desk);
                }
            } else if taken.out.as_ref().is_some_and(|out| out.no == no) {
                let ticket = Ticket {
                    work_item,
                    serial,
                    no,
                };
                self.desk.call_off(ticket, None);
                self.ended(ticket, Outcome::Timeout);
            }
        }
    }

    // ---- the clients ----

    /// A client hands in a work item and waits for its answer.
    pub fn take(&mut self, order: Order, job: Job, wait_s: f64, answer: O::Client) {
        let now = self.desk.now;
        if self.desk.ids.contains_key(&order.id) {
            return self
                .desk
                .outside
                .answer(answer, Reply::new(400, "this Req-Id is in hand already\n"));
        }
        if self.desk.ids.len() >= self.desk.most_held {
            let retry_after_s = self.desk.retry_after_s;
            let reply = Reply {
                retry_after_s,
                ..Reply::new(503, "too many in hand\n")
            };
            return self.desk.outside.answer(answer, reply);
        }
        let expiry = (now + wait_s).min(self.desk.end_at);
        let Some(work_item) = self.dispatcher.submit(
            now,
            Job {
                expires_at_s: expiry,
                ..job
            },
        ) else {
            return self
                .desk
                .outside
                .answer(answer, Reply::new(404, "unknown category\n"));
        };
        self.desk.serial += 1;
        let serial = self.desk.serial;
        self.desk.ids.insert(order.id.clone(), work_item);
        self.desk
            .timers
            .insert((micros(expiry + OVERDUE_S), serial, EXPIRY), work_item);
        let place = work_item.0 as usize;
        if self.desk.taken.len() <= place {
            self.desk.taken.resize_with(place + 1, || None);
        }
        let category = job.category;
        self.desk.load.takes(category, true);
        self.desk.outside.took(now, category);
        let answer = Some(answer);
        self.desk.taken[place] = Some(Taken {
            serial,
            category,
            order,
            answer,
            expiry,
            made: 0,
            out: None,
            before: Vec::new(),
        });
    }

    /// The process is to end: all that is out is dropped a little before, so that what may run again can
    /// still be deferred.
    pub fn end_by(&mut self, at: f64) {
        self.desk.end_at = at;
        self.dispatcher.set_shutdown_at(at);
        for (place, taken) in self.desk.taken.iter_mut().enumerate() {
            let Some(taken) = taken else { continue };
            let mut timers = vec![(taken.expiry + OVERDUE_S, at + OVERDUE_S, EXPIRY)];
            taken.expiry = taken.expiry.min(at);
            if let Some(out) = &mut taken.out {
                timers.push((out.drop_at, at - LEAD_S, out.no));
                out.drop_at = out.drop_at.min(at - LEAD_S);
            }
            for (was, most, no) in timers {
                self.desk.timers.remove(&(micros(was), taken.serial, no));
                self.desk.timers.insert(
                    (micros(was.min(most)), taken.serial, no),
                    WorkItem(place as u32),
                );
            }
        }
    }

    /// The client of this work item has closed its connection.
    pub fn left(&mut self, id: &str) {
        let Some(&work_item) = self.desk.ids.get(id) else {
            return;
        };
        // Not the one that was turned away for the same id.
        let gone = |taken: &&mut Taken<_, _>| taken.answer.as_ref().is_some_and(O::gone);
        if let Some(taken) = self.desk.taken(work_item).filter(gone) {
            taken.answer = None;
            work_item.client_left(&mut self.dispatcher, &mut self.desk);
        }
        // Guards against an attempt that begins once nobody waits: where giving up is not allowed, one whose connection
        // is still coming up is held back all the same.
        let Some(taken) = self
            .desk
            .taken(work_item)
            .filter(|taken| taken.answer.is_none())
        else {
            return;
        };
        let serial = taken.serial;
        if let Some(out) = taken
            .out
            .as_ref()
            .filter(|out| !out.off && !out.whole.get())
        {
            let ticket = Ticket {
                work_item,
                serial,
                no: out.no,
            };
            self.desk.call_off(ticket, None);
        }
    }

    // ---- the runners ----

    /// What a runner tells, if it is about the attempt that is out there now; false if the work item is not in
    /// hand here.
    pub fn callback(&mut self, callback: Callback) -> bool {
        let Some(&work_item) = self.desk.ids.get(callback.id.as_str()) else {
            return false;
        };
        self.callback_of(work_item, callback);
        true
    }

    fn callback_of(&mut self, work_item: WorkItem, callback: Callback) {
        let now = self.desk.now;
        let Some(serial) = self.desk.taken(work_item).map(|taken| taken.serial) else {
            return;
        };
        let Some(out) = self
            .desk
            .taken(work_item)
            .and_then(|taken| taken.out.as_ref())
        else {
            return;
        };
        // Guards against news of an earlier attempt: from another runner, or before this one was written.
        let (no, runner, whole) = (out.no, out.runner, out.whole.get());
        if !whole || self.desk.load.gates[runner].name != callback.from {
            return;
        }
        let ticket = Ticket {
            work_item,
            serial,
            no,
        };
        // Guards against closing the connection of a job whose 202 is under way, and calling that given up.
        if let Some(out) = self.desk.out(ticket) {
            out.accepted = true;
        }
        work_item.accepted(&mut self.dispatcher, now, no);
        match callback.state {
            State::Started => self.desk.starts.push_back((now, ticket)),
            State::Running { share } => {
                work_item.progressed(&mut self.dispatcher, now, no, share.clamp(0.0, 1.0))
            }
            State::Done { result } => {
                self.desk.answer(work_item, Reply::new(200, result));
                self.ended(ticket, Outcome::Finished);
            }
            State::Failed => self.ended_by_callback(ticket, Outcome::Error),
            State::Returned => self.ended_by_callback(ticket, Outcome::Full),
            State::Lost => self.ended_by_callback(ticket, Outcome::Reset),
        }
    }

    /// A runner says how an attempt ended. Guards against its word on an earlier one there, told late or once more:
    /// this one may run on, so it is given up first, and counts as one that may have run.
    fn ended_by_callback(&mut self, ticket: Ticket, outcome: Outcome) {
        let runner = self.desk.out(ticket).map(|out| out.runner);
        let taken = self.desk.taken(ticket.work_item);
        let earlier =
            taken.is_some_and(|taken| taken.before.iter().any(|before| Some(*before) == runner));
        match earlier {
            false => self.ended(ticket, outcome),
            true if self.desk.may_cancel => self.desk.call_off(ticket, Some(Outcome::Reset)),
            true => {}
        }
    }

    /// A message to a runner has done its part, or never could.
    pub fn errand_ended(&mut self, task: Task, ended: Result<Answer, Broken>) {
        match task {
            Task::Attempt(ticket) => self.came_back(ticket, ended),
            Task::GiveUp(ticket, then) => self.given_up(ticket, then, ended),
        }
    }

    /// The pause asked for is over.
    pub fn again(&mut self, task: Task) {
        if let Task::GiveUp(ticket, then) = task {
            self.desk.call_off(ticket, then);
        }
    }

    fn came_back(&mut self, ticket: Ticket, ended: Result<Answer, Broken>) {
        let Some(out) = self.desk.out(ticket) else {
            return;
        };
        let off = out.off;
        if off && out.accepted {
            return;
        }
        let outcome = match ended {
            Ok(Answer { status: 202, .. }) => {
                out.accepted = true;
                let runner = out.runner;
                self.desk.outside.saw(self.desk.now, runner, Saw::Heard);
                if off {
                    self.desk.call_off(ticket, Some(Outcome::Cancelled));
                }
                return ticket
                    .work_item
                    .accepted(&mut self.dispatcher, self.desk.now, ticket.no);
            }
            Ok(Answer {
                status: 503 | 504,
                declined: true,
                doubtful: false,
                ..
            }) => Outcome::Full,
            Ok(Answer {
                status: 503 | 504,
                declined: true,
                ..
            }) => Outcome::MaybeFull,
            Ok(_) => Outcome::Error,
            Err(Broken::Unsent) => Outcome::NotSent,
            Err(Broken::Unreached) => Outcome::NoConnection,
            Err(Broken::Unanswered | Broken::Stale) if off => Outcome::Cancelled,
            Err(Broken::Unanswered) => Outcome::Reset,
            Err(Broken::Stale) => Outcome::StaleConnection,
        };
        self.ended(ticket, outcome);
    }

    /// The runner has been told to give an attempt up, or could not be. Guards against a second copy beside
    /// one that runs on behind a cut: where two at once are not allowed, what could not be told is told
    /// again until its client gives up. A refused connection proves nothing, a full runner refuses too; of a
    /// process that died its machine tells, and the list of one that started again.
    fn given_up(&mut self, ticket: Ticket, then: Option<Outcome>, ended: Result<Answer, Broken>) {
        let (Some(then), Some(taken)) = (then, self.desk.taken(ticket.work_item)) else {
            return;
        };
        let id = taken.order.id.clone();
        if self.desk.two_at_once || ended.is_ok() {
            self.ended(ticket, then);
        } else {
            if let Some(out) = self.desk.out(ticket).filter(|out| !out.unheard) {
                out.unheard = true;
                let place = out.runner;
                tracing::warn!(
                    "{} does not confirm giving up work item {id}",
                    self.desk.load.gates[place].name
                );
            }
            // Paced: a runner may hang up at once, and every new connection costs it work.
            self.desk.outside.again(Task::GiveUp(ticket, Some(then)));
        }
    }

    pub(crate) fn ended(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(drop_at) = self.desk.out(ticket).map(|out| out.drop_at) else {
            return;
        };
        let Ticket {
            work_item,
            serial,
            no,
        } = ticket;
        self.desk.timers.remove(&(micros(drop_at), serial, no));
        self.pass_starts(|_, _, other| other.serial == serial);
        let Some(taken) = self.desk.taken(work_item) else {
            return;
        };
        let category = taken.category;
        let Some(out) = taken.out.take() else { return };
        if out.whole.get() {
            taken.before.push(out.runner);
        }
        self.desk.load.sends(category, false);
        if out.started {
            self.desk.load.starts(out.runner, false);
        }
        let saw = match outcome {
            Outcome::Finished => Some(Saw::Finished),
            Outcome::Error => Some(Saw::Failed),
            Outcome::Reset | Outcome::NoConnection | Outcome::Timeout => Some(Saw::Silent),
            _ => None,
        };
        saw.into_iter()
            .for_each(|saw| self.desk.outside.saw(self.desk.now, out.runner, saw));
        let settled = outcome == Outcome::Finished;
        work_item.attempt_ended(&mut self.dispatcher, &mut self.desk, no, outcome, settled);
        self.pass_starts(|desk, _, other| {
            desk.out(other)
                .is_some_and(|next| next.runner == out.runner)
        });
    }

    /// Passes on the starts that the test picks. Guards against a start that overtakes the end that made way
    /// for it: a runner tells both at once, on two connections, and would seem to run one job too many.
    fn pass_starts(&mut self, pick: impl Fn(&mut Desk<O>, f64, Ticket) -> bool) {
        for _ in 0..self.desk.starts.len() {
            let Some((at, ticket)) = self.desk.starts.pop_front() else {
                return;
            };
            if !pick(&mut self.desk, at, ticket) {
                self.desk.starts.push_back((at, ticket));
            } else if let Some(out) = self.desk.out(ticket) {
                let (runner, again) = (out.runner, std::mem::replace(&mut out.started, true));
                if !again {
                    self.desk.load.starts(runner, true);
                }
                ticket
                    .work_item
                    .started(&mut self.dispatcher, at, ticket.no);
            }
        }
    }
}
