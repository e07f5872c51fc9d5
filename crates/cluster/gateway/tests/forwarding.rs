//! Guards against requests that are not forwarded to the current leader, are not retried after a loss, are retried too
//! often, or are answered with a rejection although a copy of them may still be accepted.

mod common;

use sagetrail_protocol::client::{ClientMethod, ClientReply};
use sagetrail_protocol::collections::Blob;
use sagetrail_protocol::node::{Event, Method};
use sagetrail_protocol::{Message, NodeId};

use common::{TestGateway, CORE};

#[test]
fn a_request_is_forwarded_to_the_leader_and_its_answer_to_the_client() {
    let mut gateway = TestGateway::connected();
    let id = gateway.submit();
    let (to, request) = gateway.requests().remove(0);
    assert_eq!(to, CORE[0]);
    assert_eq!(
        (request.method, &*request.host),
        (ClientMethod::Submit, "a.example")
    );
    assert_eq!((request.config_version, request.remaining_ms), (5, 3000));
    assert_eq!(gateway.status_of(id), None);
    gateway.receive_reply(CORE[0], request.request, 200);
    let reply = gateway.reply_to(id).unwrap();
    assert_eq!((reply.status, reply.retry_after_s), (200, None));
    assert_eq!(reply.body, b"{\"state\":\"queued\"}");
    gateway.receive_reply(CORE[0], request.request, 200);
    assert_eq!(gateway.status_of(id), Some(200));
}

#[test]
fn http_methods_map_to_client_methods() {
    let mut gateway = TestGateway::connected();
    gateway.http(Method::Get, b"left out".to_vec(), None);
    gateway.http(Method::Delete, Vec::new(), Some(800));
    let requests = gateway.requests();
    assert_eq!(requests[0].1.method, ClientMethod::Read);
    assert!(requests[0].1.body.is_empty());
    assert_eq!(
        (requests[1].1.method, requests[1].1.remaining_ms),
        (ClientMethod::Cancel, 800)
    );
    let other = gateway.http(Method::Other, Vec::new(), None);
    assert_eq!(gateway.status_of(other), Some(405));
}

#[test]
fn retry_after_is_rounded_up() {
    let mut gateway = TestGateway::connected();
    let id = gateway.submit();
    let request = gateway.requests()[0].1.request;
    let reply = ClientReply {
        request,
        status: 429,
        retry_after_ms: 1001,
        body: Blob::default(),
        config_version: 5,
    };
    gateway.receive(CORE[0], Message::ClientReply(reply));
    let reply = gateway.reply_to(id).unwrap();
    assert_eq!((reply.status, reply.retry_after_s), (429, Some(2)));
}

#[test]
fn a_lost_request_is_retried_with_the_same_number() {
    let mut gateway = TestGateway::connected();
    let id = gateway.submit();
    gateway.advance(249);
    assert_eq!(gateway.requests().len(), 1);
    gateway.advance(1);
    assert_eq!(gateway.requests().len(), 2);
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    gateway.advance(499);
    assert_eq!(gateway.requests().len(), 2);
    gateway.advance(1);
    let requests = gateway.requests();
    assert_eq!(requests.len(), 3);
    assert!(requests
        .iter()
        .all(|(to, request)| *to == CORE[0] && request.request == requests[0].1.request));
    assert_eq!(requests[2].1.remaining_ms, 2250);
    gateway.receive_reply(CORE[0], requests[0].1.request, 200);
    assert_eq!(gateway.status_of(id), Some(200));
    gateway.clear_outbox();
    gateway.advance_in_contact(3000, CORE[0], 1, 5);
    assert!(gateway.requests().is_empty());
}

#[test]
fn a_sent_request_without_an_answer_ends_with_504() {
    for method in [Method::Post, Method::Get, Method::Delete] {
        let mut gateway = TestGateway::connected();
        let id = gateway.http(method, Vec::new(), Some(2000));
        gateway.advance(1849);
        assert_eq!(gateway.status_of(id), None);
        gateway.advance(1);
        assert_eq!(gateway.status_of(id), Some(504));
    }
}

#[test]
fn an_unsent_request_is_rejected_with_503() {
    let mut gateway = TestGateway::new();
    gateway.receive_update(CORE[1], 5);
    let id = gateway.submit();
    gateway.advance(299);
    assert_eq!(gateway.status_of(id), None);
    gateway.advance(1);
    let reply = gateway.reply_to(id).unwrap();
    assert_eq!((reply.status, reply.retry_after_s), (503, Some(1)));
    assert!(gateway.requests().is_empty());
}

#[test]
fn a_pending_request_is_sent_once_a_leader_is_known() {
    let mut gateway = TestGateway::new();
    gateway.receive_update(CORE[1], 5);
    let id = gateway.submit();
    gateway.advance(200);
    gateway.receive_directory(CORE[2], 4, CORE[1]);
    let requests = gateway.requests();
    assert_eq!((requests.len(), requests[0].0), (1, CORE[1]));
    gateway.advance(200);
    assert_eq!(gateway.status_of(id), None);
}

#[test]
fn without_leader_and_configuration_requests_are_rejected_at_once() {
    let mut gateway = TestGateway::new();
    let id = gateway.submit();
    assert_eq!(gateway.status_of(id), Some(503));
}

#[test]
fn submissions_are_rejected_while_the_leader_is_silent() {
    let mut gateway = TestGateway::connected();
    gateway.advance(1501);
    let id = gateway.submit();
    assert_eq!(gateway.status_of(id), Some(503));
    assert!(gateway.requests().is_empty());
    let read = gateway.http(Method::Get, Vec::new(), None);
    assert_eq!(gateway.status_of(read), None);
    assert_eq!(gateway.requests().len(), 1);
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    let id = gateway.submit();
    assert_eq!(gateway.status_of(id), None);
}

#[test]
fn a_rejection_is_not_forwarded_while_another_copy_is_in_flight() {
    for status in [404, 429, 503] {
        let mut gateway = TestGateway::connected();
        let id = gateway.submit();
        gateway.advance(250);
        let request = gateway.requests()[0].1.request;
        gateway.receive_reply(CORE[0], request, status);
        assert_eq!(gateway.status_of(id), Some(504));
        let read = gateway.http(Method::Get, Vec::new(), None);
        gateway.advance(250);
        let request = gateway.requests().last().unwrap().1.request;
        gateway.receive_reply(CORE[0], request, status);
        assert_eq!(gateway.status_of(read), Some(status));
    }
}

#[test]
fn a_new_leader_gets_the_pending_requests_at_once() {
    let mut gateway = TestGateway::connected();
    let (first, second) = (gateway.submit(), gateway.submit());
    let numbers: Vec<u64> = gateway
        .requests()
        .iter()
        .map(|(_, request)| request.request)
        .collect();
    gateway.clear_outbox();
    gateway.receive_not_leader(CORE[0], numbers[0], 2, CORE[2]);
    let requests = gateway.requests();
    assert_eq!(
        requests.iter().map(|(to, _)| *to).collect::<Vec<_>>(),
        [CORE[2], CORE[2]]
    );
    gateway.receive_reply(CORE[2], numbers[0], 200);
    gateway.receive_reply(CORE[2], numbers[1], 200);
    assert_eq!(
        (gateway.status_of(first), gateway.status_of(second)),
        (Some(200), Some(200))
    );
}

#[test]
fn older_terms_are_ignored() {
    let mut gateway = TestGateway::connected();
    gateway.receive_directory(CORE[0], 5, CORE[0]);
    gateway.submit();
    let number = gateway.requests()[0].1.request;
    gateway.clear_outbox();
    gateway.receive_directory(CORE[1], 4, CORE[1]);
    gateway.receive_not_leader(CORE[1], number, 3, CORE[1]);
    assert!(gateway.requests().is_empty());
    gateway.advance(250);
    assert!(gateway.requests().iter().all(|(to, _)| *to == CORE[0]));
}

#[test]
fn a_resigned_leader_is_reinstated_only_by_itself() {
    let mut gateway = TestGateway::connected();
    let id = gateway.submit();
    let number = gateway.requests()[0].1.request;
    gateway.advance(120);
    gateway.clear_outbox();
    gateway.receive_not_leader(CORE[0], number, 1, NodeId::default());
    assert_eq!(gateway.hellos().len(), 3);
    gateway.receive_directory(CORE[1], 1, CORE[0]);
    assert!(gateway.requests().is_empty());
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    assert_eq!(gateway.requests().len(), 1);
    gateway.receive_not_leader(CORE[0], number, 1, NodeId::default());
    gateway.receive_directory(CORE[1], 2, CORE[1]);
    assert_eq!(gateway.requests().last().unwrap().0, CORE[1]);
    gateway.receive_reply(CORE[1], number, 200);
    assert_eq!(gateway.status_of(id), Some(200));
}

#[test]
fn not_leader_answers_cause_no_retry_storm() {
    let mut gateway = TestGateway::connected();
    gateway.http(Method::Get, Vec::new(), None);
    for _ in 0..100 {
        let number = gateway.requests()[0].1.request;
        gateway.receive_not_leader(CORE[0], number, 1, NodeId::default());
        gateway.receive_directory(CORE[0], 1, CORE[0]);
        gateway.advance(10);
    }
    assert!(
        gateway.requests().len() <= 101,
        "{}",
        gateway.requests().len()
    );
    assert!(gateway.hellos().len() <= 80, "{}", gateway.hellos().len());
}

#[test]
fn a_request_without_a_copy_in_flight_is_rejected_and_others_end_with_504() {
    let mut gateway = TestGateway::connected();
    let answered_by_non_leader = gateway.submit();
    let number = gateway.requests()[0].1.request;
    let other = gateway.submit();
    gateway.receive_not_leader(CORE[0], number, 1, NodeId::default());
    gateway.advance(300);
    assert_eq!(
        (
            gateway.status_of(answered_by_non_leader),
            gateway.status_of(other)
        ),
        (Some(503), None)
    );
    gateway.advance(2600);
    assert_eq!(gateway.status_of(other), Some(504));
}

#[test]
fn bodies_over_the_limit_are_rejected() {
    let mut gateway = TestGateway::connected();
    let over_limit = gateway.http(Method::Post, vec![b' '; 101], None);
    let at_limit = gateway.http(Method::Post, vec![b' '; 100], None);
    assert_eq!(
        (gateway.status_of(over_limit), gateway.status_of(at_limit)),
        (Some(413), None)
    );
    let mut gateway = TestGateway::new();
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    let over_limit = gateway.http(Method::Post, vec![b' '; 262_145], None);
    assert_eq!(gateway.status_of(over_limit), Some(413));
}

#[test]
fn a_request_of_a_closed_connection_is_neither_retried_nor_answered() {
    let mut gateway = TestGateway::connected();
    let id = gateway.submit();
    let number = gateway.requests()[0].1.request;
    gateway.handle(Event::HttpAbandoned { id });
    gateway.clear_outbox();
    gateway.advance_in_contact(4000, CORE[0], 1, 5);
    gateway.receive_reply(CORE[0], number, 200);
    assert!(gateway.requests().is_empty());
    assert_eq!(gateway.status_of(id), None);
}

#[test]
fn requests_carry_the_newest_configuration_version() {
    let mut gateway = TestGateway::connected();
    gateway.submit();
    let number = gateway.requests()[0].1.request;
    gateway.receive_reply(CORE[0], number, 200);
    gateway.receive_update(CORE[1], 4);
    gateway.submit();
    assert_eq!(gateway.requests()[1].1.config_version, 6);
    gateway.receive_update(CORE[1], 9);
    gateway.submit();
    assert_eq!(gateway.requests()[2].1.config_version, 9);
}

#[test]
fn the_number_of_pending_requests_is_bounded() {
    let mut gateway = TestGateway::connected();
    let ids: Vec<_> = (0..8193)
        .map(|_| gateway.http(Method::Get, Vec::new(), None))
        .collect();
    assert_eq!(gateway.status_of(ids[8191]), None);
    assert_eq!(gateway.status_of(ids[8192]), Some(503));
}
