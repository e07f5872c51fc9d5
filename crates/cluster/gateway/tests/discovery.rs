//! Guards against a gateway that never finds the leader or a configuration parent, that floods the core with hellos
//! or subscriptions once it is connected, or that stays with a configuration parent that has gone silent.

mod common;

use sagetrail_protocol::NodeId;

use common::{TestGateway, CORE};

#[test]
fn seeds_get_a_hello_at_the_start() {
    let mut gateway = TestGateway::new();
    assert_eq!(gateway.hellos(), CORE);
    assert_eq!(gateway.subscriptions().len(), 1);
    gateway.clear_outbox();
    gateway.advance(1000);
    assert_eq!(gateway.hellos().len(), 12);
}

#[test]
fn a_connected_gateway_sends_little() {
    let mut gateway = TestGateway::connected();
    gateway.advance_in_contact(10_000, CORE[0], 1, 5);
    assert!(gateway.hellos().len() <= 26, "{}", gateway.hellos().len());
    assert!(
        gateway.subscriptions().len() <= 26,
        "{}",
        gateway.subscriptions().len()
    );
    assert!(gateway.relayed().is_empty());
    assert!(gateway.hellos().iter().any(|node| *node != CORE[0]));
}

#[test]
fn a_silent_configuration_parent_is_replaced() {
    let mut gateway = TestGateway::connected();
    gateway.advance(3000);
    let parents: Vec<NodeId> = gateway
        .subscriptions()
        .into_iter()
        .map(|(parent, _)| parent)
        .collect();
    assert!(
        CORE.iter().all(|node| parents.contains(node)),
        "{parents:?}"
    );
    assert!(gateway.subscriptions().iter().all(|(_, have)| *have == 5));
    gateway.clear_outbox();
    gateway.advance_in_contact(3000, CORE[0], 1, 5);
    let parents = gateway.subscriptions();
    assert!(
        parents.iter().all(|(parent, _)| *parent == parents[0].0),
        "{parents:?}"
    );
}
