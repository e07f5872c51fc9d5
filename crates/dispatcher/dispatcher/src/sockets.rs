//! Host of the exchange: carries out its I/O on sockets, and the task that owns it.

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::mailbox;
use crate::runners::{self, Pool, Runner, RunnerCall};
use crate::site_failover::SiteFailover;
use crate::trial::Broken;
use sagetrail_dispatch::{
    Endpoint, ExchangeHost, Load, Observation, Purpose, Reply, RunnerRequest,
};
use sagetrail_policy::Dispatcher;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;

pub(crate) type Exchange = sagetrail_dispatch::Exchange<Sockets>;
pub(crate) type Mailbox = mailbox::Mailbox<Exchange>;

/// Sockets and shared state of the exchange.
pub(crate) struct Sockets {
    pub mailbox: Mailbox,
    pub pool: Rc<Pool>,
    pub ask_discovery: Rc<Notify>,
    pub has_endpoints: Rc<Cell<bool>>,
    /// State shared with the other members, if a fleet is configured.
    pub fleet: Option<Rc<Fleet>>,
    /// Failover between sites, if it is enabled.
    pub site_failover: Option<SiteFailover>,
    /// Broken variant, for tests.
    pub broken: Option<Broken>,
    /// Number of replies so far.
    pub answered: u64,
}

impl ExchangeHost for Sockets {
    type Client = oneshot::Sender<Reply>;
    type RequestHandle = oneshot::Sender<()>;

    fn answer(&mut self, client: Self::Client, reply: Reply) {
        self.answered += 1;
        match self.broken {
            Some(Broken::LosesAnswers) if self.answered.is_multiple_of(40) => {
                std::mem::forget(client)
            }
            Some(Broken::MakesUpAnswers) if reply.status == 503 => {
                let _ = client.send(Reply::new(200, "made up"));
            }
            _ => _ = client.send(reply),
        }
    }

    fn has_disconnected(client: &Self::Client) -> bool {
        client.is_closed()
    }

    fn send_request(
        &mut self,
        purpose: Purpose,
        runner: usize,
        request: RunnerRequest,
        deadline: f64,
        is_written: Rc<Cell<bool>>,
    ) -> Self::RequestHandle {
        let (mailbox, to) = (
            self.mailbox.clone(),
            self.pool.runners.borrow()[runner].clone(),
        );
        let on_result =
            move |ended| mailbox.put(move |exchange| exchange.request_ended(purpose, ended));
        let (call, stop) = RunnerCall::new(request, deadline, is_written, on_result);
        spawn_local(runners::run(self.pool.clone(), to, call));
        stop
    }

    fn abort_request(&mut self, request: Self::RequestHandle) {
        let _ = request.send(());
    }

    fn schedule_retry(&mut self, purpose: Purpose) {
        let (mailbox, pause) = (
            self.mailbox.clone(),
            Duration::from_secs_f64(self.pool.connect_timeout_s),
        );
        spawn_local(async move {
            tokio::time::sleep(pause).await;
            mailbox.call(move |exchange| exchange.retry(purpose)).await;
        });
    }

    fn add_runner(&mut self, endpoint: Rc<Endpoint>) {
        self.pool.runners.borrow_mut().push(Runner::new(endpoint));
    }

    fn close_idle_connections(&mut self, runner: usize) {
        self.pool.runners.borrow()[runner].close_idle();
    }

    fn ask_discovery(&mut self) {
        self.ask_discovery.notify_one();
    }

    fn set_has_endpoints(&mut self, has_endpoints: bool) {
        self.has_endpoints.set(has_endpoints);
    }

    fn record_arrival(&mut self, now: f64, category: usize) {
        if let Some(fleet) = &self.fleet {
            fleet.record_arrival(now, category);
        }
    }

    fn budget_usable_until(&self, now: f64, runner: usize, category: usize) -> f64 {
        self.fleet.as_ref().map_or(f64::INFINITY, |fleet| {
            fleet.budget_usable_until(now, runner, category)
        })
    }

    fn record_attempt(&mut self, now: f64, is_retry: bool) {
        if let Some(fleet) = &self.fleet {
            fleet.record_attempt(now, is_retry);
        }
    }

    fn record_observation(&mut self, now: f64, runner: usize, observation: Observation) {
        if let Some(fleet) = &self.fleet {
            fleet.record_observation(
                now,
                &self.pool.runners.borrow()[runner].endpoint,
                observation,
            );
        }
        if let Some(site_failover) = &mut self.site_failover {
            site_failover.record_observation(now, runner, observation);
        }
    }

    fn apply_shared_state(&mut self, now: f64, dispatcher: &mut Dispatcher, load: &Load) {
        if let Some(fleet) = &self.fleet {
            fleet.apply_shared_state(now, dispatcher, load);
        }
        if let Some(site_failover) = &mut self.site_failover {
            site_failover.apply_shared_state(now, dispatcher, load);
        }
    }

    fn report_budget_use(&mut self, now: f64, dispatcher: &Dispatcher, load: &Load) {
        if let Some(fleet) = &self.fleet {
            fleet.report_budget_use(now, dispatcher, load);
        }
    }
}

/// Applies all queued calls, then has the policy decide once. Ends when the mailbox is closed.
pub(crate) async fn run(mut exchange: Exchange, mut calls: mailbox::Calls<Exchange>, clock: Clock) {
    loop {
        let call = tokio::select! {
            biased;
            call = calls.next() => match call {
                Some(call) => Some(call),
                None => return,
            },
            () = clock.sleep_until(exchange.next_due_s()) => None,
        };
        exchange.set_now(clock.now());
        if let Some(call) = call {
            exchange.contain_panic(call);
        }
        while let Some(call) = calls.try_next() {
            exchange.contain_panic(call);
        }
        exchange.process_due();
    }
}
