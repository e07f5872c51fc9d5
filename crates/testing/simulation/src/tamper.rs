//! Processes that are broken on purpose, to see that the checker notices.

use crate::process::{Factory, ProcessStart};
use sagetrail_protocol::node::{Event, HttpReply, HttpRequest, Node, Now, Outbox};
use sagetrail_protocol::Time;

/// What is done to a process on its way to and from the cluster.
#[derive(Clone, Copy)]
pub struct Tampering {
    /// Changes a request before the process reads it.
    pub request: fn(&mut HttpRequest),
    /// Changes an answer after the process gave it.
    pub reply: fn(&mut HttpReply),
    /// Changes what the process is given at its start.
    pub start: fn(&mut ProcessStart),
    /// The process's steady clock runs slower than its machine's by so many hundredths, below 100.
    pub clock_slow_percent: u64,
}

impl Default for Tampering {
    fn default() -> Self {
        Tampering {
            request: |_| (),
            reply: |_| (),
            start: |_| (),
            clock_slow_percent: 0,
        }
    }
}

struct Tampered {
    inner: Box<dyn Node>,
    tampering: Tampering,
}

impl Tampering {
    /// What the process reads where its machine's clocks show `now`.
    fn slowed(&self, now: Now) -> Now {
        Now {
            steady: Time(now.steady.0.saturating_mul(100 - self.clock_slow_percent) / 100),
            ..now
        }
    }

    /// What its machine's steady clock shows first where the process reads `steady`.
    fn of_machine(&self, steady: Time) -> Time {
        Time(
            steady
                .0
                .saturating_mul(100)
                .div_ceil(100 - self.clock_slow_percent),
        )
    }
}

impl Node for Tampered {
    fn handle(&mut self, now: Now, mut event: Event, outbox: &mut Outbox) {
        if let Event::Http { request, .. } = &mut event {
            (self.tampering.request)(request);
        }
        self.inner.handle(self.tampering.slowed(now), event, outbox);
        for (_, reply) in &mut outbox.replies {
            (self.tampering.reply)(reply);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        self.inner
            .next_wake()
            .map(|steady| self.tampering.of_machine(steady))
    }
}

/// Processes as `factory` makes them, tampered with.
pub fn tamper(mut factory: Factory, tampering: Tampering) -> Factory {
    Box::new(move |mut start: ProcessStart, outbox: &mut Outbox| {
        (tampering.start)(&mut start);
        start.now = tampering.slowed(start.now);
        let inner = factory(start, outbox);
        let node: Box<dyn Node> = Box::new(Tampered { inner, tampering });
        node
    })
}
