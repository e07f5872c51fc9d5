//! Where clients and runners meet: one task owns the decisions, turns what happens into calls on them, and
//! carries out what they ask.
use crate::handover::{Inherited, State as Former};
use crate::http::{Answer, Outgoing, Reply};
use crate::learnt::{Known, Learnt, Usual};
use crate::list::{Life, Member, Told};
use crate::runners::{self, Broken, Errand, Pool, Runner};
use bytes::Bytes;
use sagetrail_policy::{Dispatcher, Host, Job, Kept, Listed, News, Outcome, Wi};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::pending;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;

/// Seconds since the start, and what Unix time that was.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: f64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock { start: Instant::now(), unix: unix.map_or(0.0, |unix| unix.as_secs_f64()) }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub async fn sleep_until(&self, at: f64) {
        match Duration::try_from_secs_f64(at.max(0.0)) {
            Ok(after) => tokio::time::sleep_until((self.start + after).into()).await,
            Err(_) => pending().await,
        }
    }
}

type Call = Box<dyn FnOnce(&mut Exchange)>;

/// Where the connections lay their calls on the exchange, and where the operators lay theirs, which go first:
/// guards against a yes that waits behind a full tray.
#[derive(Clone)]
pub struct Tray {
    calls: mpsc::Sender<Call>,
    first: mpsc::Sender<Call>,
}

/// What lies on the tray.
pub struct Calls {
    calls: mpsc::Receiver<Call>,
    first: mpsc::Receiver<Call>,
}

impl Calls {
    async fn next(&mut self) -> Option<Call> {
        tokio::select! {
            biased;
            call = self.first.recv() => call,
            call = self.calls.recv() => call,
        }
    }

    fn at_hand(&mut self) -> Option<Call> {
        self.first.try_recv().or_else(|_| self.calls.try_recv()).ok()
    }
}

impl Tray {
    /// More than there are connections: each lays down one call at a time.
    const MOST: usize = 4096;

    /// More than an operators' door has places.
    const FIRST: usize = 64;

    pub fn new() -> (Tray, Calls) {
        let (to_calls, calls) = mpsc::channel(Tray::MOST);
        let (to_first, first) = mpsc::channel(Tray::FIRST);
        (Tray { calls: to_calls, first: to_first }, Calls { calls, first })
    }

    /// Asks the exchange something ahead of all else; `None` if it could not answer.
    pub async fn ask<T: 'static>(&self, ask: impl FnOnce(&mut Exchange) -> T + 'static) -> Option<T> {
        let (tell, told) = oneshot::channel();
        let call = Box::new(move |exchange: &mut Exchange| drop(tell.send(ask(exchange))));
        self.first.send(call).await.ok()?;
        told.await.ok()
    }

    pub async fn call(&self, call: impl FnOnce(&mut Exchange) + 'static) {
        let _ = self.calls.send(Box::new(call)).await;
    }

    /// The same from where nothing can wait.
    pub fn put(&self, call: impl FnOnce(&mut Exchange) + 'static) {
        if let Err(mpsc::error::TrySendError::Full(call)) = self.calls.try_send(Box::new(call)) {
            let tray = self.calls.clone();
            spawn_local(async move { drop(tray.send(call).await) });
        }
    }
}

/// A work item's request as it goes on to a runner.
pub struct Order {
    pub id: Rc<str>,
    pub target: String,
    pub body: Bytes,
}

/// What a runner tells of a job.
#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Word {
    pub id: String,
    pub from: String,
    #[serde(flatten)]
    pub state: State,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum State {
    Started,
    Running {
        #[serde(default)]
        share: f64,
    },
    Done {
        #[serde(default)]
        result: String,
    },
    Failed,
    Returned,
    Lost,
}

/// A hand-off that is out.
struct Out {
    no: u16,
    runner: usize,
    sent: f64,
    drop_at: f64,
    stop: Option<oneshot::Sender<()>>,
    whole: Rc<Cell<bool>>,
    /// By its 202, or by news that came before that.
    accepted: bool,
    /// The decisions have called it off; and the runner did not confirm that.
    off: bool,
    unheard: bool,
}

/// A work item in hand.
struct Taken {
    serial: u64,
    order: Order,
    answer: Option<oneshot::Sender<Reply>>,
    expiry: f64,
    made: u16,
    out: Option<Out>,
}

/// A work item's hand-off, told apart from all others there ever were.
#[derive(Clone, Copy)]
struct Ticket {
    wi: Wi,
    serial: u64,
    no: u16,
}

/// In place of a hand-off's number in the timers: the work item's own expiry.
const EXPIRY: u16 = u16::MAX;
/// A start waits this long for the end that it may have overtaken. On loopback half overtake, by 0.2 ms at
/// the most; ten times and more for a real network, and still nothing beside a run.
const BEHIND_S: f64 = 0.005;
/// A work item unanswered this long past its expiry is answered by the exchange itself.
const OVERDUE_S: f64 = 0.01;

/// At the end hand-offs are dropped this long before everything must be settled.
const LEAD_S: f64 = 0.05;

/// What the decisions ask for is carried out here.
struct Desk {
    clock: Clock,
    now: f64,
    tray: Tray,
    pool: Rc<Pool>,
    ask_list: Rc<Notify>,
    has_list: Rc<Cell<bool>>,
    drain_s: f64,
    runners: Vec<Rc<Runner>>,
    /// What the list last said of each.
    members: Vec<Member>,
    places: HashMap<String, usize>,
    taken: Vec<Option<Taken>>,
    ids: HashMap<Rc<str>, Wi>,
    serial: u64,
    timers: BTreeMap<(u64, u64, u16), Wi>,
    /// Starts told and not yet passed on, by when they came.
    starts: VecDeque<(f64, Ticket)>,
    wake_at: f64,
    most_held: usize,
    come_back_s: f64,
    /// A work item may be at two runners at once.
    two_at_once: bool,
    may_cancel: bool,
    /// What an earlier process learnt of runners that the list has not named yet.
    carried: HashMap<String, Known>,
    /// When the process is to have settled everything.
    end_at: f64,
}

pub struct Exchange {
    dispatcher: Dispatcher,
    desk: Desk,
}

fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

/// A number for a name, the same at every dispatcher (FNV-1a).
pub fn number(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |n, b| (n ^ b as u64).wrapping_mul(0x100_0000_01b3))
}

impl Desk {
    fn taken(&mut self, wi: Wi) -> Option<&mut Taken> {
        self.taken.get_mut(wi.0 as usize)?.as_mut()
    }

    /// The hand-off that a ticket names, if it is still out.
    fn out(&mut self, ticket: Ticket) -> Option<&mut Out> {
        let taken = self.taken(ticket.wi).filter(|taken| taken.serial == ticket.serial)?;
        taken.out.as_mut().filter(|out| out.no == ticket.no)
    }

    fn answer(&mut self, wi: Wi, reply: Reply) {
        if let Some(answer) = self.taken(wi).and_then(|taken| taken.answer.take()) {
            // Fails only if the client has gone, and then nothing is owed.
            let _ = answer.send(reply);
        }
    }

    /// Takes a hand-off back: by its connection as long as the runner has not taken it, by word after. `then`
    /// says what is told once it is known to be given up.
    fn call_off(&mut self, ticket: Ticket, then: Option<Outcome>) {
        let until = self.now + 2.0 * self.pool.dial_s;
        let (tray, may_cancel) = (self.tray.clone(), self.may_cancel);
        let Some(taken) = self.taken(ticket.wi).filter(|taken| taken.serial == ticket.serial) else { return };
        let give_up = Outgoing::GiveUp { id: taken.order.id.to_string() };
        let Some(out) = taken.out.as_mut().filter(|out| out.no == ticket.no) else { return };
        out.off = true;
        // Closes the connection, if that still waits for an answer.
        if let Some(stop) = out.stop.take() {
            let _ = stop.send(());
        }
        if !out.accepted || !may_cancel {
            return;
        }
        let told = move |exchange: &mut Exchange, ended| exchange.given_up(ticket, then, ended);
        let (errand, stop, _) = Errand::new(&tray, give_up, until, told);
        out.stop = Some(stop);
        let place = out.runner;
        spawn_local(runners::run(self.pool.clone(), self.runners[place].clone(), errand));
    }
}

impl Host for Desk {
    fn now(&self) -> f64 {
        self.now
    }

    fn hand_off(&mut self, wi: Wi, runner: usize, drop_at: f64) {
        let (tray, to, sent) = (self.tray.clone(), self.runners[runner].clone(), self.now);
        let drop_at = drop_at.min(self.end_at - LEAD_S);
        let Some(taken) = self.taken(wi) else { return };
        let no = taken.made;
        taken.made += 1;
        let ticket = Ticket { wi, serial: taken.serial, no };
        let Order { id, target, body } = &taken.order;
        let message =
            Outgoing::Work { target: target.clone(), id: id.to_string(), wait_s: 0.0, body: body.clone() };
        let came = move |exchange: &mut Exchange, ended| exchange.came_back(ticket, ended);
        let (errand, stop, whole) = Errand::new(&tray, message, drop_at, came);
        let stop = Some(stop);
        taken.out =
            Some(Out { no, runner, sent, drop_at, stop, whole, accepted: false, off: false, unheard: false });
        self.timers.insert((micros(drop_at), ticket.serial, no), wi);
        spawn_local(runners::run(self.pool.clone(), to, errand));
    }

    fn defer(&mut self, wi: Wi, come_back_s: f64) {
        self.answer(wi, Reply { come_back_s, ..Reply::new(503, "deferred\n") });
    }

    fn write_off(&mut self, wi: Wi) {
        self.answer(wi, Reply::new(502, "written off\n"));
    }

    fn cancel(&mut self, wi: Wi, ho: u16) {
        let Some(taken) = self.taken(wi) else { return };
        let ticket = Ticket { wi, serial: taken.serial, no: ho };
        if taken.out.as_ref().is_some_and(|out| out.no == ho && !out.off) {
            self.call_off(ticket, Some(Outcome::Cancelled));
        }
    }

    fn forget(&mut self, wi: Wi) {
        if let Some(taken) = self.taken.get_mut(wi.0 as usize).and_then(Option::take) {
            self.ids.remove(&taken.order.id);
            self.timers.remove(&(micros(taken.expiry + OVERDUE_S), taken.serial, EXPIRY));
        }
    }

    fn probe(&mut self, _: usize) {
        // This protocol has no probe; the terms say so too.
    }

    fn wake(&mut self, in_s: f64) {
        self.wake_at = self.now + in_s;
    }

    fn watch(&mut self) {
        self.ask_list.notify_one();
    }

    fn log(&mut self, runner: usize, line: &str) {
        let runner = &self.runners[runner];
        log::info!("{} ({}) {line}", runner.name, runner.address.get());
    }
}

pub struct Parts {
    pub clock: Clock,
    pub pool: Rc<Pool>,
    pub tray: Tray,
    pub ask_list: Rc<Notify>,
    pub has_list: Rc<Cell<bool>>,
    pub drain_s: f64,
    pub most_held: usize,
    pub come_back_s: f64,
    pub two_at_once: bool,
    pub may_cancel: bool,
}

impl Exchange {
    pub fn new(dispatcher: Dispatcher, parts: Parts) -> Self {
        let Parts { clock, pool, tray, ask_list, has_list, drain_s, .. } = parts;
        let Parts { most_held, come_back_s, two_at_once, may_cancel, .. } = parts;
        let desk = Desk {
            clock,
            now: clock.now(),
            tray,
            pool,
            ask_list,
            has_list,
            drain_s,
            runners: Vec::new(),
            members: Vec::new(),
            places: HashMap::new(),
            taken: Vec::new(),
            ids: HashMap::new(),
            serial: 0,
            timers: BTreeMap::new(),
            starts: VecDeque::new(),
            wake_at: 0.0,
            most_held,
            come_back_s,
            two_at_once,
            may_cancel,
            carried: HashMap::new(),
            end_at: f64::INFINITY,
        };
        Exchange { dispatcher, desk }
    }

    /// Takes all news at hand, then decides once; until the tray is gone.
    pub async fn run(mut self, mut calls: Calls) {
        loop {
            let timer = self.desk.timers.first_key_value().map_or(f64::INFINITY, |(at, _)| at.0 as f64 / 1e6);
            let start = self.desk.starts.front().map_or(f64::INFINITY, |(at, _)| at + BEHIND_S);
            let due = self.desk.wake_at.min(timer).min(start);
            let call = tokio::select! {
                biased;
                call = calls.next() => match call {
                    Some(call) => Some(call),
                    None => return,
                },
                () = self.desk.clock.sleep_until(due) => None,
            };
            self.desk.now = self.desk.clock.now();
            if let Some(call) = call {
                self.guarded(call);
            }
            while let Some(call) = calls.at_hand() {
                self.guarded(call);
            }
            self.guarded(Exchange::timers);
            let settled = self.desk.now - BEHIND_S;
            self.guarded(|exchange| exchange.pass_starts(|_, at, _| at <= settled));
            self.guarded(|exchange| {
                if exchange.desk.wake_at <= exchange.desk.now {
                    exchange.desk.wake_at = f64::INFINITY;
                }
                exchange.dispatcher.decide(&mut exchange.desk);
            });
        }
    }

    /// Guards against a fault in one call ending the dispatcher: all else in hand is still settled.
    fn guarded(&mut self, call: impl FnOnce(&mut Exchange)) {
        if catch_unwind(AssertUnwindSafe(|| call(self))).is_err() {
            log::error!("a fault in the exchange was contained");
            self.desk.wake_at = self.desk.now + 0.1;
        }
    }

    fn timers(&mut self) {
        while let Some((&(at, serial, no), &wi)) = self.desk.timers.first_key_value() {
            if at > micros(self.desk.now) {
                return;
            }
            self.desk.timers.pop_first();
            let Some(taken) = self.desk.taken(wi).filter(|taken| taken.serial == serial) else { continue };
            if no == EXPIRY {
                if taken.answer.is_some() {
                    log::error!("work item {} was overdue and is written off", taken.order.id);
                    self.desk.write_off(wi);
                    wi.left(&mut self.dispatcher, &mut self.desk);
                }
            } else if taken.out.as_ref().is_some_and(|out| out.no == no) {
                let ticket = Ticket { wi, serial, no };
                self.desk.call_off(ticket, None);
                self.ended(ticket, Outcome::Timeout);
            }
        }
    }

    // ---- the clients ----

    /// A client hands in a work item and waits for its answer.
    pub fn take(&mut self, order: Order, job: Job, wait_s: f64, answer: oneshot::Sender<Reply>) {
        let now = self.desk.now;
        if self.desk.ids.contains_key(&order.id) {
            let _ = answer.send(Reply::new(400, "this Req-Id is in hand already\n"));
            return;
        }
        if self.desk.ids.len() >= self.desk.most_held {
            let come_back_s = self.desk.come_back_s;
            let _ = answer.send(Reply { come_back_s, ..Reply::new(503, "too many in hand\n") });
            return;
        }
        let expiry = (now + wait_s).min(self.desk.end_at);
        let Some(wi) = self.dispatcher.take(now, Job { expiry, ..job }) else {
            let _ = answer.send(Reply::new(404, "unknown category\n"));
            return;
        };
        self.desk.serial += 1;
        let serial = self.desk.serial;
        self.desk.ids.insert(order.id.clone(), wi);
        self.desk.timers.insert((micros(expiry + OVERDUE_S), serial, EXPIRY), wi);
        let place = wi.0 as usize;
        if self.desk.taken.len() <= place {
            self.desk.taken.resize_with(place + 1, || None);
        }
        self.desk.taken[place] =
            Some(Taken { serial, order, answer: Some(answer), expiry, made: 0, out: None });
    }

    /// The process is to end: all that is out is dropped a little before, so that what may run again can
    /// still be deferred.
    pub fn end_by(&mut self, at: f64) {
        self.desk.end_at = at;
        self.dispatcher.end_by(at);
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
                self.desk.timers.insert((micros(was.min(most)), taken.serial, no), Wi(place as u32));
            }
        }
    }

    /// The client of this work item has closed its connection.
    pub fn left(&mut self, id: &str) {
        let Some(&wi) = self.desk.ids.get(id) else { return };
        // Not the one that was turned away for the same id.
        let gone = |taken: &&mut Taken| taken.answer.as_ref().is_some_and(oneshot::Sender::is_closed);
        if let Some(taken) = self.desk.taken(wi).filter(gone) {
            taken.answer = None;
            wi.left(&mut self.dispatcher, &mut self.desk);
        }
    }

    // ---- the runners ----

    /// What a runner tells, if it is about the hand-off that is out there now; false if the work item is not in
    /// hand here.
    pub fn word(&mut self, word: Word) -> bool {
        let Some(&wi) = self.desk.ids.get(word.id.as_str()) else { return false };
        self.word_of(wi, word);
        true
    }

    fn word_of(&mut self, wi: Wi, word: Word) {
        let now = self.desk.now;
        let Some(serial) = self.desk.taken(wi).map(|taken| taken.serial) else { return };
        let Some(out) = self.desk.taken(wi).and_then(|taken| taken.out.as_ref()) else { return };
        // Guards against news of an earlier hand-off: from another runner, or before this one was written.
        let (no, runner, whole) = (out.no, out.runner, out.whole.get());
        if !whole || self.desk.runners[runner].name != word.from {
            return;
        }
        let ticket = Ticket { wi, serial, no };
        // Guards against closing the connection of a job whose 202 is under way, and calling that given up.
        if let Some(out) = self.desk.out(ticket) {
            out.accepted = true;
        }
        wi.accepted(&mut self.dispatcher, now, no);
        match word.state {
            State::Started => self.desk.starts.push_back((now, ticket)),
            State::Running { share } => wi.progressed(&mut self.dispatcher, now, no, share.clamp(0.0, 1.0)),
            State::Done { result } => {
                self.desk.answer(wi, Reply::new(200, result));
                self.ended(ticket, Outcome::Finished);
            }
            State::Failed => self.ended(ticket, Outcome::Error),
            State::Returned => self.ended(ticket, Outcome::Full),
            State::Lost => self.ended(ticket, Outcome::Reset),
        }
    }

    /// The connection of a hand-off has done its part.
    fn came_back(&mut self, ticket: Ticket, ended: Result<Answer, Broken>) {
        let Some(out) = self.desk.out(ticket) else { return };
        let off = out.off;
        if off && out.accepted {
            return;
        }
        let outcome = match ended {
            Ok(Answer { status: 202, .. }) => {
                out.accepted = true;
                if off {
                    self.desk.call_off(ticket, Some(Outcome::Cancelled));
                }
                return ticket.wi.accepted(&mut self.dispatcher, self.desk.now, ticket.no);
            }
            Ok(Answer { status: 503 | 504, declined: true, .. }) => Outcome::Full,
            Ok(_) => Outcome::Error,
            Err(Broken::Unsent) => Outcome::Moot,
            Err(Broken::Unreached) => Outcome::NoConnection,
            Err(Broken::Unanswered | Broken::Stale) if off => Outcome::Cancelled,
            Err(Broken::Unanswered) => Outcome::Reset,
            Err(Broken::Stale) => Outcome::Stale,
        };
        self.ended(ticket, outcome);
    }

    /// The runner has been told to give a hand-off up, or could not be. Guards against a second copy beside
    /// one that runs on behind a cut: where two at once are not allowed, what could not be told is told
    /// again until its client gives up. A refused connection proves nothing, a full runner refuses too; of a
    /// process that died its machine tells, and the list of one that started again.
    fn given_up(&mut self, ticket: Ticket, then: Option<Outcome>, ended: Result<Answer, Broken>) {
        let (Some(then), Some(taken)) = (then, self.desk.taken(ticket.wi)) else { return };
        let id = taken.order.id.clone();
        if self.desk.two_at_once || ended.is_ok() {
            self.ended(ticket, then);
        } else {
            if let Some(out) = self.desk.out(ticket).filter(|out| !out.unheard) {
                out.unheard = true;
                let place = out.runner;
                log::warn!("{} does not confirm giving up work item {id}", self.desk.runners[place].name);
            }
            // Paced: a runner may hang up at once, and every new connection costs it work.
            let (tray, pause) = (self.desk.tray.clone(), Duration::from_secs_f64(self.desk.pool.dial_s));
            spawn_local(async move {
                tokio::time::sleep(pause).await;
                tray.call(move |exchange| exchange.desk.call_off(ticket, Some(then))).await;
            });
        }
    }

    fn ended(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(drop_at) = self.desk.out(ticket).map(|out| out.drop_at) else { return };
        let Ticket { wi, serial, no } = ticket;
        self.desk.timers.remove(&(micros(drop_at), serial, no));
        self.pass_starts(|_, _, other| other.serial == serial);
        let Some(out) = self.desk.taken(wi).and_then(|taken| taken.out.take()) else { return };
        let settled = outcome == Outcome::Finished;
        wi.outcome(&mut self.dispatcher, &mut self.desk, no, outcome, settled);
        self.pass_starts(|desk, _, other| desk.out(other).is_some_and(|next| next.runner == out.runner));
    }

    /// Passes on the starts that the test picks. Guards against a start that overtakes the end that made way
    /// for it: a runner tells both at once, on two connections, and would seem to run one job too many.
    fn pass_starts(&mut self, pick: impl Fn(&mut Desk, f64, Ticket) -> bool) {
        for _ in 0..self.desk.starts.len() {
            let Some((at, ticket)) = self.desk.starts.pop_front() else { return };
            if !pick(&mut self.desk, at, ticket) {
                self.desk.starts.push_back((at, ticket));
            } else if self.desk.out(ticket).is_some() {
                ticket.wi.started(&mut self.dispatcher, at, ticket.no);
            }
        }
    }

    // ---- the list ----

    pub fn list_failed(&mut self) {
        self.dispatcher.list_failed(self.desk.now);
    }

    pub fn listed(&mut self, told: Told) {
        let news = if told.whole { News::Whole } else { News::Changes };
        self.apply(told, news);
    }

    /// The list as it was before the start.
    pub fn known(&mut self, told: Told) -> usize {
        self.apply(told, News::Cached)
    }

    fn apply(&mut self, told: Told, news: News) -> usize {
        // Half of the grace: the rest is for what lies between the list's writing and our reading.
        let shut_at = self.desk.now + 0.5 * self.desk.drain_s;
        if news != News::Changes {
            self.desk.runners.iter().for_each(|runner| runner.shut_at.set(runner.shut_at.get().min(shut_at)));
        }
        let mut entries = Vec::with_capacity(told.members.len());
        for member in told.members {
            if let Some(entry) = self.desk.entry(member, shut_at) {
                entries.push(entry);
            }
        }
        if news == News::Whole {
            self.desk.runners.iter().for_each(|runner| runner.listed.set(false));
        }
        for (place, listed) in &entries {
            self.desk.runners[*place].listed.set(listed.is_some());
        }
        self.desk.has_list.set(news != News::Cached || !entries.is_empty());
        self.dispatcher.listed(self.desk.now, news, &entries);
        self.bury(&entries);
        self.carry(&entries)
    }

    /// Operators take a runner out, whatever the list says, or put it back; false for one never listed.
    pub fn by_hand(&mut self, id: &str, out: bool) -> bool {
        let Some(&place) = self.desk.places.get(id) else { return false };
        let runner = &self.desk.runners[place];
        if runner.out.replace(out) != out {
            runner.drop_idle();
            let what = if out { "taken out" } else { "put back" };
            log::info!("{} ({}) {what} by hand", runner.name, runner.address.get());
        }
        self.dispatcher.by_hand(self.desk.now, place, out);
        true
    }

    /// How many runners the list names, and how many of them the decisions avoid now.
    pub fn listed_and_avoided(&self) -> (usize, usize) {
        let listed = || (0..self.desk.runners.len()).filter(|&r| self.desk.runners[r].listed.get());
        let now = self.desk.clock.now();
        (listed().count(), listed().filter(|&r| self.dispatcher.avoids(r, now)).count())
    }

    // ---- what outlives a planned restart ----

    pub fn learnt(&self, terms: &[u64]) -> Learnt {
        let usual = |(n, &terms)| self.dispatcher.usual(n).map(|seconds| Usual { terms, seconds });
        let known = |(r, runner): (usize, &Rc<Runner>)| {
            let (born, slots, pace) = self.dispatcher.learnt(r)?;
            let started = if born.is_finite() { born + self.desk.clock.unix } else { 0.0 };
            let (name, address) = (runner.name.clone(), runner.address.get().to_string());
            Some(Known { name, address, started, slots, pace })
        };
        Learnt {
            usuals: terms.iter().enumerate().filter_map(usual).collect(),
            runners: self.desk.runners.iter().enumerate().filter_map(known).collect(),
            ..Learnt::default()
        }
    }

    /// How many categories it was of use for; runners follow as the list names them.
    pub fn take_up(&mut self, learnt: Learnt, terms: &[u64]) -> usize {
        self.desk.carried = learnt.runners.into_iter().map(|known| (known.name.clone(), known)).collect();
        let usual = |u: &Usual| Some((terms.iter().position(|t| *t == u.terms)?, u.seconds));
        let usuals = learnt.usuals.iter().filter_map(usual);
        usuals.map(|(n, seconds)| self.dispatcher.carry_usual(n, seconds)).count()
    }

    // ---- upgrades ----

    /// What a new process must know that serves at the same address from now on. Cold runners are left to it:
    /// the two together have one part of them.
    pub fn hand_over(&mut self, terms: &[u64]) -> (Learnt, Vec<Inherited>) {
        self.dispatcher.leave_cold(self.desk.now, true);
        let unix = |at: f64| at + self.desk.clock.unix;
        let inherits = |(place, member): (usize, &Member)| {
            let Kept { out, back, spent, evidence, resting, rest_s } = self.dispatcher.kept(place);
            let (out, back, resting) = (out.map(unix), back.map(unix), resting.map(unix));
            let spent = spent.into_iter().map(|(at, size)| (unix(at), size)).collect();
            Inherited { member: member.clone(), out, back, spent, evidence, resting, rest_s }
        };
        (self.learnt(terms), self.desk.members.iter().enumerate().map(inherits).collect())
    }

    /// The new process has ended before its time.
    pub fn hand_over_failed(&mut self) {
        self.dispatcher.leave_cold(self.desk.now, false);
    }

    /// Takes up what the process before had.
    pub fn inherit(&mut self, state: Former, deployment: u64, terms: &[u64]) {
        if state.deployment == deployment {
            self.take_up(state.learnt, terms);
        }
        // Also those that are gone: whoever was listed once is known at the operators' door.
        for Inherited { member, .. } in &state.runners {
            member.address.map(|address| self.desk.enlist(member, address));
        }
        let members: Vec<Member> = state.runners.iter().map(|inherited| inherited.member.clone()).collect();
        self.known(Told { whole: true, members, ..Told::default() });
        let here = |at: f64| at - self.desk.clock.unix;
        let mut kept = Vec::new();
        for Inherited { member, out, back, spent, evidence, resting, rest_s } in state.runners {
            let Some(&place) = self.desk.places.get(&member.id) else { continue };
            self.desk.runners[place].out.set(out.is_some());
            let (out, back, resting) = (out.map(here), back.map(here), resting.map(here));
            let spent = spent.into_iter().map(|(at, size)| (here(at), size)).collect();
            kept.push((place, Kept { out, back, spent, evidence, resting, rest_s }));
        }
        self.dispatcher.inherit(self.desk.now, kept);
    }

    /// Only for the same process at the same address; a runner that started since is cold and unknown.
    fn carry(&mut self, entries: &[(usize, Option<Listed>)]) -> usize {
        let mut carried = 0;
        for &(place, listed) in entries {
            let runner = &self.desk.runners[place];
            let Some(known) = self.desk.carried.remove(&*runner.name) else { continue };
            let born =
                if known.started > 0.0 { known.started - self.desk.clock.unix } else { f64::NEG_INFINITY };
            // 10 ms: clocks are read twice, processes take longer to start.
            let same = |listed: Listed| listed.born == born || (listed.born - born).abs() < 0.01;
            if listed.is_some_and(same) && runner.address.get().to_string() == known.address {
                self.dispatcher.carry_runner(place, known.slots, known.pace);
                carried += 1;
            }
        }
        carried
    }

    /// Guards against waiting for word of jobs whose machine vanished without one: a process that has started
    /// again has none of the earlier one's.
    fn bury(&mut self, entries: &[(usize, Option<Listed>)]) {
        let born: BTreeMap<usize, f64> =
            entries.iter().filter_map(|(place, listed)| Some((*place, (*listed)?.born))).collect();
        for place in 0..self.desk.taken.len() {
            let Some(Taken { serial, out: Some(out), .. }) = &self.desk.taken[place] else { continue };
            if out.accepted && born.get(&out.runner).is_some_and(|born| *born > out.sent) {
                let ticket = Ticket { wi: Wi(place as u32), serial: *serial, no: out.no };
                self.ended(ticket, Outcome::Reset);
            }
        }
    }
}

impl Desk {
    /// A place for a runner that is named for the first time.
    fn enlist(&mut self, member: &Member, address: SocketAddr) -> usize {
        self.places.insert(member.id.clone(), self.runners.len());
        self.members.push(member.clone());
        self.runners.push(Runner::new(member.id.clone(), address, member.started));
        *self.pool.runners.borrow_mut() = self.runners.clone();
        self.runners.len() - 1
    }

    fn entry(&mut self, member: Member, shut_at: f64) -> Option<(usize, Option<Listed>)> {
        let place = match self.places.get(&member.id) {
            Some(&place) => place,
            None => {
                // One that is gone before it was ever named is nobody.
                let address = member.address.filter(|_| member.life != Life::Gone)?;
                self.enlist(&member, address)
            }
        };
        let address = member.address.or(self.members[place].address);
        self.members[place] = Member { address, ..member.clone() };
        let runner = &self.runners[place];
        let moved = member.address.is_some_and(|address| runner.address.replace(address) != address);
        if moved || runner.started.replace(member.started) != member.started {
            runner.drop_idle();
        }
        let ready = member.life == Life::Ready;
        runner.shut_at.set(if ready { f64::INFINITY } else { runner.shut_at.get().min(shut_at) });
        let listed = Listed {
            id: number(&member.id),
            kind: member.kind,
            born: if member.started > 0.0 { member.started - self.clock.unix } else { f64::NEG_INFINITY },
            cell: member.cell,
            zone: member.zone,
            ready,
        };
        Some((place, (member.life != Life::Gone).then_some(listed)))
    }
}
