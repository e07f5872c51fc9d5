//! Guards against a gateway that reports itself ready without a leader that answers or without a recently confirmed
//! configuration, so that the platform would send it clients that it cannot serve.

mod common;

use common::{TestGateway, CORE};

#[test]
fn readiness_needs_leader_and_configuration() {
    let mut gateway = TestGateway::new();
    assert_eq!(gateway.readiness(), 503);
    gateway.receive_directory(CORE[1], 1, CORE[0]);
    gateway.receive_update(CORE[1], 5);
    assert_eq!(gateway.readiness(), 503);
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    assert_eq!(gateway.readiness(), 200);
    gateway.advance_in_contact(5000, CORE[0], 1, 5);
    assert_eq!(gateway.readiness(), 200);
    gateway.advance(2400);
    assert_eq!(gateway.readiness(), 200);
    gateway.advance(200);
    assert_eq!(gateway.readiness(), 503);
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    assert_eq!(gateway.readiness(), 503);
    gateway.receive_current(CORE[2], 5, 100);
    assert_eq!(gateway.readiness(), 200);
}

#[test]
fn an_old_confirmation_of_the_configuration_does_not_count() {
    let mut gateway = TestGateway::connected();
    for _ in 0..30 {
        gateway.advance(100);
        gateway.receive_directory(CORE[0], 1, CORE[0]);
        gateway.receive_current(CORE[1], 5, 1600);
        gateway.receive_current(CORE[1], 4, 0);
    }
    assert_eq!(gateway.readiness(), 503);
}
