//! Guards against an answer that reaches the wrong client, and against a job that runs although its submission was
//! rejected. Both can come about when gateways restart, clients close their connections, leaders are deposed before
//! they commit the jobs they accepted, messages are relayed, or messages are lost or late.

mod common;
mod model;

use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{Event, Method, Outbox};

use common::{TestGateway, CORE, GATEWAY};
use model::{Cluster, Outcomes};

const SCHEDULES: u64 = 400;
const SCHEDULE_MS: u64 = 15_000;

#[test]
fn each_answer_reaches_its_client_and_no_rejected_submission_is_accepted() {
    let mut totals = Outcomes::default();
    for seed in 1..=SCHEDULES {
        let mut cluster = Cluster::new(seed);
        cluster.run(SCHEDULE_MS);
        let outcomes = cluster.outcomes();
        totals.accepted += outcomes.accepted;
        totals.rejected += outcomes.rejected;
        totals.unknown += outcomes.unknown;
        totals.closed += outcomes.closed;
    }
    let smallest_count = [
        totals.accepted,
        totals.rejected,
        totals.unknown,
        totals.closed,
    ]
    .into_iter()
    .min();
    assert!(smallest_count > Some(5_000), "{totals:?}");
}

/// Restarts the gateway at the same address with another incarnation, so that its request numbers must differ.
fn restart(gateway: &mut TestGateway, incarnation: u64) {
    let seeds = CORE.to_vec();
    let settings = GatewaySettings {
        node: GATEWAY,
        incarnation,
        seeds,
        bounds: Bounds::default(),
        seed: 5,
    };
    let mut outbox = Outbox::default();
    gateway.node = GatewayNode::new(settings, common::clock(gateway.now_ms), &mut outbox);
    gateway.clear_outbox();
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    gateway.receive_update(CORE[1], 5);
}

#[test]
fn an_answer_to_an_earlier_incarnation_is_dropped() {
    let mut gateway = TestGateway::connected();
    gateway.submit();
    let former_number = gateway.requests()[0].1.request;
    restart(&mut gateway, 78);
    let client = gateway.submit();
    gateway.receive_reply(CORE[0], former_number, 200);
    gateway.receive_not_leader(CORE[0], former_number, 1, CORE[0]);
    assert_eq!(gateway.status_of(client), None);
    let own_number = gateway.requests().last().unwrap().1.request;
    assert_ne!(own_number, former_number);
    gateway.advance(2_850);
    assert_eq!(
        gateway.status_of(client),
        Some(504),
        "copies of the new incarnation's request are in flight; NotLeader answered an earlier request"
    );
}

#[test]
fn an_answer_to_a_closed_connection_reaches_no_later_client() {
    let mut gateway = TestGateway::connected();
    let closed = gateway.submit();
    let number = gateway.requests()[0].1.request;
    gateway.handle(Event::HttpAbandoned { id: closed });
    let later = gateway.submit();
    gateway.receive_reply(CORE[0], number, 200);
    gateway.handle(Event::HttpAbandoned { id: closed });
    assert_eq!(
        (gateway.status_of(closed), gateway.status_of(later)),
        (None, None)
    );
}

#[test]
fn a_not_leader_answer_to_one_copy_does_not_settle_another_copy() {
    let mut gateway = TestGateway::connected();
    let client = gateway.submit();
    let number = gateway.requests()[0].1.request;
    gateway.advance(250);
    gateway.receive_not_leader(CORE[0], number, 2, CORE[1]);
    gateway.receive_reply(CORE[1], number, 429);
    assert_eq!(
        gateway.status_of(client),
        Some(504),
        "the first copy may have been committed"
    );
}

#[test]
fn shutdown_rejects_no_request_with_a_copy_in_flight() {
    let mut gateway = TestGateway::connected();
    let in_flight = gateway.submit();
    gateway.handle(Event::Terminate);
    let answered_by_non_leader = gateway.submit();
    let number = gateway.requests()[1].1.request;
    gateway.receive_not_leader(CORE[0], number, 1, Default::default());
    gateway.advance(4_600);
    assert_eq!(
        (
            gateway.status_of(in_flight),
            gateway.status_of(answered_by_non_leader)
        ),
        (Some(504), Some(503))
    );
}

#[test]
fn a_cancellation_waits_for_a_leader_until_its_deadline() {
    let mut gateway = TestGateway::connected();
    let cancellation = gateway.http(Method::Delete, Vec::new(), Some(3_000));
    let number = gateway.requests()[0].1.request;
    gateway.receive_not_leader(CORE[0], number, 1, Default::default());
    gateway.advance(2_000);
    assert_eq!(gateway.status_of(cancellation), None);
    gateway.receive_directory(CORE[1], 2, CORE[1]);
    assert_eq!(gateway.requests().last().unwrap().0, CORE[1]);
    gateway.receive_reply(CORE[1], number, 200);
    assert_eq!(gateway.status_of(cancellation), Some(200));
    let cancellation = gateway.http(Method::Delete, Vec::new(), Some(3_000));
    gateway.receive_not_leader(CORE[1], number + 1, 2, Default::default());
    gateway.advance(2_850);
    assert_eq!(gateway.status_of(cancellation), Some(503));
}
