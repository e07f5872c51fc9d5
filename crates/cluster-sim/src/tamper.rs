//! Processes that are broken on purpose, to see that the checker notices.
use crate::process::{Birth, Factory};
use sagetrail_wire::node::{Event, HttpReply, HttpRequest, Node, Now, Outbox};
use sagetrail_wire::Time;

/// What is done to a process on its way to and from the world.
#[derive(Clone, Copy)]
pub struct Tampering {
    /// Changes a request before the process reads it.
    pub request: fn(&mut HttpRequest),
    /// Changes an answer after the process gave it.
    pub reply: fn(&mut HttpReply),
    /// Changes what the process is given at its start.
    pub birth: fn(&mut Birth),
}

impl Default for Tampering {
    fn default() -> Self {
        Tampering { request: |_| (), reply: |_| (), birth: |_| () }
    }
}

struct Tampered {
    inner: Box<dyn Node>,
    tampering: Tampering,
}

impl Node for Tampered {
    fn handle(&mut self, now: Now, mut event: Event, outbox: &mut Outbox) {
        if let Event::Http { request, .. } = &mut event {
            (self.tampering.request)(request);
        }
        self.inner.handle(now, event, outbox);
        for (_, reply) in &mut outbox.replies {
            (self.tampering.reply)(reply);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        self.inner.next_wake()
    }
}

/// Processes as `factory` makes them, tampered with.
pub fn tamper(mut factory: Factory, tampering: Tampering) -> Factory {
    Box::new(move |mut birth: Birth, outbox: &mut Outbox| {
        (tampering.birth)(&mut birth);
        let inner = factory(birth, outbox);
        let node: Box<dyn Node> = Box::new(Tampered { inner, tampering });
        node
    })
}
