//! Guards against a request that is answered twice or never, or rejected while a copy of it is in flight, when
//! messages, requests and timer wakes arrive in an arbitrary order.

mod common;

use std::collections::HashSet;

use proptest::prelude::*;

use sagetrail_protocol::node::{HttpRequestId, Method};
use sagetrail_protocol::NodeId;

use common::{TestGateway, CORE};

/// An input of the gateway. `from` and `leader` are positions in `CORE`; a position past its end names no process.
#[derive(Clone, Debug)]
enum Step {
    Advance {
        millis: u64,
    },
    Request {
        method: usize,
        deadline_ms: u64,
    },
    Directory {
        from: usize,
        term: u64,
        leader: usize,
    },
    NotLeader {
        from: usize,
        request: usize,
        term: u64,
        leader: usize,
    },
    Reply {
        from: usize,
        request: usize,
    },
    Update {
        version: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..900_u64).prop_map(|millis| Step::Advance { millis }),
        (0..3_usize, 1..4000_u64).prop_map(|(method, deadline_ms)| Step::Request {
            method,
            deadline_ms
        }),
        (0..3_usize, 0..4_u64, 0..4_usize).prop_map(|(from, term, leader)| Step::Directory {
            from,
            term,
            leader
        }),
        (0..3_usize, 0..9_usize, 0..4_u64, 0..4_usize).prop_map(|(from, request, term, leader)| {
            Step::NotLeader {
                from,
                request,
                term,
                leader,
            }
        }),
        (0..3_usize, 0..9_usize).prop_map(|(from, request)| Step::Reply { from, request }),
        (1..9_u64).prop_map(|version| Step::Update { version }),
    ]
}

fn core(position: usize) -> NodeId {
    CORE.get(position).copied().unwrap_or_default()
}

/// Returns the number of the request at `position` in the order of sending, if there is one.
fn number(gateway: &TestGateway, position: usize) -> Option<u64> {
    let mut numbers: Vec<u64> = gateway
        .requests()
        .iter()
        .map(|(_, request)| request.request)
        .collect();
    numbers.dedup();
    numbers.get(position).copied()
}

/// A gateway, the HTTP requests that it received, and the numbers of the requests answered with `NotLeader`.
struct Run {
    gateway: TestGateway,
    received: Vec<HttpRequestId>,
    answered_not_leader: HashSet<u64>,
}

impl Run {
    fn apply(&mut self, step: &Step) {
        let gateway = &mut self.gateway;
        match step {
            Step::Advance { millis } => gateway.advance(*millis),
            Step::Request {
                method,
                deadline_ms,
            } => {
                let method = [Method::Post, Method::Get, Method::Delete][*method];
                let id = gateway.http(method, Vec::new(), Some(*deadline_ms));
                self.received.push(id);
            }
            Step::Directory { from, term, leader } => {
                gateway.receive_directory(core(*from), *term, core(*leader));
            }
            Step::NotLeader {
                from,
                request,
                term,
                leader,
            } => {
                let Some(number) = number(gateway, *request) else {
                    return;
                };
                self.answered_not_leader.insert(number);
                gateway.receive_not_leader(core(*from), number, *term, core(*leader));
            }
            Step::Reply { from, request } => {
                if let Some(number) = number(gateway, *request) {
                    gateway.receive_reply(core(*from), number, 200);
                }
            }
            Step::Update { version } => gateway.receive_update(CORE[1], *version),
        }
    }
}

proptest! {
    #[test]
    fn each_request_is_answered_once(steps in proptest::collection::vec(step(), 1..80)) {
        let mut run = Run { gateway: TestGateway::new(), received: Vec::new(), answered_not_leader: HashSet::new() };
        for step in &steps {
            run.apply(step);
        }
        let Run { mut gateway, received, answered_not_leader } = run;
        gateway.advance(5000);
        for id in &received {
            let status = gateway.status_of(*id);
            prop_assert!(matches!(status, Some(200 | 503 | 504)), "{:?}", status);
        }
        let sent: Vec<u64> = gateway.requests().iter().map(|(_, request)| request.request).collect();
        let mut numbers: Vec<u64> = sent.into_iter().filter(|number| !answered_not_leader.contains(number)).collect();
        numbers.sort_unstable();
        numbers.dedup();
        let not_rejected = received.iter().filter(|id| gateway.status_of(**id) != Some(503)).count();
        prop_assert!(numbers.len() <= not_rejected, "a request with a copy in flight was rejected");
    }
}
