//! Each answer reaches the client that asked, and a refusal is a promise: over gateways that start anew, clients that
//! go, leaders that change before they have kept what they took, relays, lost and late messages.

mod common;
mod model;
use common::{Rig, CORE, GATEWAY};
use model::world::{Sum, World};
use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{Event, Method, Outbox};

const SCHEDULES: u64 = 400;
const SCHEDULE_MS: u64 = 15_000;

#[test]
fn every_answer_is_its_callers_and_no_refused_submission_is_taken() {
    let mut all = Sum::default();
    for seed in 1..=SCHEDULES {
        let mut world = World::new(seed);
        world.play(SCHEDULE_MS);
        let sum = world.sum();
        all.accepted += sum.accepted;
        all.refused += sum.refused;
        all.unknown += sum.unknown;
        all.gone += sum.gone;
    }
    let least = [all.accepted, all.refused, all.unknown, all.gone]
        .into_iter()
        .min();
    assert!(least > Some(5_000), "{all:?}");
}

/// The same gateway at the same address, in another life: its requests' numbers must not come round again.
fn restarted(rig: &mut Rig, incarnation: u64) {
    let seeds = CORE.to_vec();
    let settings = GatewaySettings {
        node: GATEWAY,
        incarnation,
        seeds,
        bounds: Bounds::default(),
        seed: 5,
    };
    let mut outbox = Outbox::default();
    rig.node = GatewayNode::new(settings, common::clock(rig.now_ms), &mut outbox);
    rig.clear();
    rig.directory(CORE[0], 1, CORE[0]);
    rig.update(CORE[1], 5);
}

#[test]
fn an_answer_to_a_former_life_answers_nobody() {
    let mut rig = Rig::settled();
    rig.submit();
    let former = rig.requests()[0].1.request;
    restarted(&mut rig, 78);
    let client = rig.submit();
    rig.answer(CORE[0], former, 200);
    rig.not_leader(CORE[0], former, 1, CORE[0]);
    assert_eq!(rig.status_of(client), None);
    let own = rig.requests().last().unwrap().1.request;
    assert_ne!(own, former);
    rig.pass(2_850);
    assert_eq!(
        rig.status_of(client),
        Some(504),
        "its own copies are out, whatever bounced before"
    );
}

#[test]
fn an_answer_to_a_client_that_went_reaches_no_later_one() {
    let mut rig = Rig::settled();
    let gone = rig.submit();
    let number = rig.requests()[0].1.request;
    rig.event(Event::HttpAbandoned { id: gone });
    let later = rig.submit();
    rig.answer(CORE[0], number, 200);
    rig.event(Event::HttpAbandoned { id: gone });
    assert_eq!((rig.status_of(gone), rig.status_of(later)), (None, None));
}

#[test]
fn a_copy_that_bounced_says_nothing_of_one_that_was_taken() {
    let mut rig = Rig::settled();
    let client = rig.submit();
    let number = rig.requests()[0].1.request;
    rig.pass(250);
    rig.not_leader(CORE[0], number, 2, CORE[1]);
    rig.answer(CORE[1], number, 429);
    assert_eq!(
        rig.status_of(client),
        Some(504),
        "the first copy may have been kept"
    );
}

#[test]
fn at_the_end_of_the_process_nothing_that_is_out_is_refused() {
    let mut rig = Rig::settled();
    let out = rig.submit();
    rig.event(Event::Terminate);
    let bounced = rig.submit();
    let number = rig.requests()[1].1.request;
    rig.not_leader(CORE[0], number, 1, Default::default());
    rig.pass(4_600);
    assert_eq!(
        (rig.status_of(out), rig.status_of(bounced)),
        (Some(504), Some(503))
    );
}

#[test]
fn a_cancel_waits_for_an_leader_as_long_as_its_client() {
    let mut rig = Rig::settled();
    let cancel = rig.http(Method::Delete, Vec::new(), Some(3_000));
    let number = rig.requests()[0].1.request;
    rig.not_leader(CORE[0], number, 1, Default::default());
    rig.pass(2_000);
    assert_eq!(rig.status_of(cancel), None);
    rig.directory(CORE[1], 2, CORE[1]);
    assert_eq!(rig.requests().last().unwrap().0, CORE[1]);
    rig.answer(CORE[1], number, 200);
    assert_eq!(rig.status_of(cancel), Some(200));
    let cancel = rig.http(Method::Delete, Vec::new(), Some(3_000));
    rig.not_leader(CORE[1], number + 1, 2, Default::default());
    rig.pass(2_850);
    assert_eq!(rig.status_of(cancel), Some(503));
}
