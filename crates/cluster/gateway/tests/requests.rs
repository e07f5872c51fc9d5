//! Clients' requests: sent, sent again, answered, given up.

mod common;

use common::{Rig, CORE};
use sagetrail_protocol::client::{ClientMethod, ClientReply};
use sagetrail_protocol::collections::Blob;
use sagetrail_protocol::node::{Event, Method};
use sagetrail_protocol::{Message, NodeId};

#[test]
fn a_request_goes_to_the_leader_and_its_answer_back() {
    let mut rig = Rig::settled();
    let id = rig.submit();
    let (to, request) = rig.requests().remove(0);
    assert_eq!(to, CORE[0]);
    assert_eq!(
        (request.method, &*request.host),
        (ClientMethod::Submit, "a.example")
    );
    assert_eq!((request.config_version, request.remaining_ms), (5, 3000));
    assert_eq!(rig.status_of(id), None);
    rig.answer(CORE[0], request.request, 200);
    let reply = rig.reply_to(id).unwrap();
    assert_eq!((reply.status, reply.retry_after_s), (200, None));
    assert_eq!(reply.body, b"{\"state\":\"queued\"}");
    rig.answer(CORE[0], request.request, 200);
    assert_eq!(rig.status_of(id), Some(200));
}

#[test]
fn methods_keep_their_meaning() {
    let mut rig = Rig::settled();
    rig.http(Method::Get, b"left out".to_vec(), None);
    rig.http(Method::Delete, Vec::new(), Some(800));
    let requests = rig.requests();
    assert_eq!(requests[0].1.method, ClientMethod::Read);
    assert!(requests[0].1.body.is_empty());
    assert_eq!(
        (requests[1].1.method, requests[1].1.remaining_ms),
        (ClientMethod::Cancel, 800)
    );
    let other = rig.http(Method::Other, Vec::new(), None);
    assert_eq!(rig.status_of(other), Some(405));
}

#[test]
fn retry_after_is_rounded_up() {
    let mut rig = Rig::settled();
    let id = rig.submit();
    let request = rig.requests()[0].1.request;
    let reply = ClientReply {
        request,
        status: 429,
        retry_after_ms: 1001,
        body: Blob::default(),
        config_version: 5,
    };
    rig.message(CORE[0], Message::ClientReply(reply));
    let reply = rig.reply_to(id).unwrap();
    assert_eq!((reply.status, reply.retry_after_s), (429, Some(2)));
}

#[test]
fn a_lost_request_is_sent_again_under_its_number() {
    let mut rig = Rig::settled();
    let id = rig.submit();
    rig.pass(249);
    assert_eq!(rig.requests().len(), 1);
    rig.pass(1);
    assert_eq!(rig.requests().len(), 2);
    rig.directory(CORE[0], 1, CORE[0]);
    rig.pass(499);
    assert_eq!(rig.requests().len(), 2);
    rig.pass(1);
    let requests = rig.requests();
    assert_eq!(requests.len(), 3);
    assert!(requests
        .iter()
        .all(|(to, request)| *to == CORE[0] && request.request == requests[0].1.request));
    assert_eq!(requests[2].1.remaining_ms, 2250);
    rig.answer(CORE[0], requests[0].1.request, 200);
    assert_eq!(rig.status_of(id), Some(200));
    rig.clear();
    rig.pass_in_touch(3000, CORE[0], 1, 5);
    assert!(rig.requests().is_empty());
}

#[test]
fn a_request_that_was_sent_ends_unknown() {
    for method in [Method::Post, Method::Get, Method::Delete] {
        let mut rig = Rig::settled();
        let id = rig.http(method, Vec::new(), Some(2000));
        rig.pass(1849);
        assert_eq!(rig.status_of(id), None);
        rig.pass(1);
        assert_eq!(rig.status_of(id), Some(504));
    }
}

#[test]
fn a_request_that_was_never_sent_is_refused() {
    let mut rig = Rig::new();
    rig.update(CORE[1], 5);
    let id = rig.submit();
    rig.pass(299);
    assert_eq!(rig.status_of(id), None);
    rig.pass(1);
    let reply = rig.reply_to(id).unwrap();
    assert_eq!((reply.status, reply.retry_after_s), (503, Some(1)));
    assert!(rig.requests().is_empty());
}

#[test]
fn a_waiting_request_leaves_once_an_leader_is_known() {
    let mut rig = Rig::new();
    rig.update(CORE[1], 5);
    let id = rig.submit();
    rig.pass(200);
    rig.directory(CORE[2], 4, CORE[1]);
    let requests = rig.requests();
    assert_eq!((requests.len(), requests[0].0), (1, CORE[1]));
    rig.pass(200);
    assert_eq!(rig.status_of(id), None);
}

#[test]
fn without_leader_and_configuration_it_is_refused_at_once() {
    let mut rig = Rig::new();
    let id = rig.submit();
    assert_eq!(rig.status_of(id), Some(503));
}

#[test]
fn new_jobs_are_refused_while_the_leader_is_silent() {
    let mut rig = Rig::settled();
    rig.pass(1501);
    let id = rig.submit();
    assert_eq!(rig.status_of(id), Some(503));
    assert!(rig.requests().is_empty());
    let read = rig.http(Method::Get, Vec::new(), None);
    assert_eq!(rig.status_of(read), None);
    assert_eq!(rig.requests().len(), 1);
    rig.directory(CORE[0], 1, CORE[0]);
    let id = rig.submit();
    assert_eq!(rig.status_of(id), None);
}

#[test]
fn a_refusal_is_not_passed_on_while_another_copy_is_out() {
    for status in [404, 429, 503] {
        let mut rig = Rig::settled();
        let id = rig.submit();
        rig.pass(250);
        let request = rig.requests()[0].1.request;
        rig.answer(CORE[0], request, status);
        assert_eq!(rig.status_of(id), Some(504));
        let read = rig.http(Method::Get, Vec::new(), None);
        rig.pass(250);
        let request = rig.requests().last().unwrap().1.request;
        rig.answer(CORE[0], request, status);
        assert_eq!(rig.status_of(read), Some(status));
    }
}

#[test]
fn another_leader_gets_what_waits_at_once() {
    let mut rig = Rig::settled();
    let (first, second) = (rig.submit(), rig.submit());
    let numbers: Vec<u64> = rig
        .requests()
        .iter()
        .map(|(_, request)| request.request)
        .collect();
    rig.clear();
    rig.not_leader(CORE[0], numbers[0], 2, CORE[2]);
    let requests = rig.requests();
    assert_eq!(
        requests.iter().map(|(to, _)| *to).collect::<Vec<_>>(),
        [CORE[2], CORE[2]]
    );
    rig.answer(CORE[2], numbers[0], 200);
    rig.answer(CORE[2], numbers[1], 200);
    assert_eq!(
        (rig.status_of(first), rig.status_of(second)),
        (Some(200), Some(200))
    );
}

#[test]
fn older_terms_change_nothing() {
    let mut rig = Rig::settled();
    rig.directory(CORE[0], 5, CORE[0]);
    rig.submit();
    let number = rig.requests()[0].1.request;
    rig.clear();
    rig.directory(CORE[1], 4, CORE[1]);
    rig.not_leader(CORE[1], number, 3, CORE[1]);
    assert!(rig.requests().is_empty());
    rig.pass(250);
    assert!(rig.requests().iter().all(|(to, _)| *to == CORE[0]));
}

#[test]
fn a_disowned_term_is_not_believed_to_others() {
    let mut rig = Rig::settled();
    let id = rig.submit();
    let number = rig.requests()[0].1.request;
    rig.pass(120);
    rig.clear();
    rig.not_leader(CORE[0], number, 1, NodeId::default());
    assert_eq!(rig.hellos().len(), 3);
    rig.directory(CORE[1], 1, CORE[0]);
    assert!(rig.requests().is_empty());
    rig.directory(CORE[0], 1, CORE[0]);
    assert_eq!(rig.requests().len(), 1);
    rig.not_leader(CORE[0], number, 1, NodeId::default());
    rig.directory(CORE[1], 2, CORE[1]);
    assert_eq!(rig.requests().last().unwrap().0, CORE[1]);
    rig.answer(CORE[1], number, 200);
    assert_eq!(rig.status_of(id), Some(200));
}

#[test]
fn bounces_do_not_make_a_storm() {
    let mut rig = Rig::settled();
    rig.http(Method::Get, Vec::new(), None);
    for _ in 0..100 {
        let number = rig.requests()[0].1.request;
        rig.not_leader(CORE[0], number, 1, NodeId::default());
        rig.directory(CORE[0], 1, CORE[0]);
        rig.pass(10);
    }
    assert!(rig.requests().len() <= 101, "{}", rig.requests().len());
    assert!(rig.hellos().len() <= 80, "{}", rig.hellos().len());
}

#[test]
fn what_bounced_everywhere_is_refused_and_what_did_not_is_unknown() {
    let mut rig = Rig::settled();
    let bounced = rig.submit();
    let number = rig.requests()[0].1.request;
    let other = rig.submit();
    rig.not_leader(CORE[0], number, 1, NodeId::default());
    rig.pass(300);
    assert_eq!(
        (rig.status_of(bounced), rig.status_of(other)),
        (Some(503), None)
    );
    rig.pass(2600);
    assert_eq!(rig.status_of(other), Some(504));
}

#[test]
fn bodies_over_the_limit_are_refused() {
    let mut rig = Rig::settled();
    let over = rig.http(Method::Post, vec![b' '; 101], None);
    let just = rig.http(Method::Post, vec![b' '; 100], None);
    assert_eq!(
        (rig.status_of(over), rig.status_of(just)),
        (Some(413), None)
    );
    let mut rig = Rig::new();
    rig.directory(CORE[0], 1, CORE[0]);
    let over = rig.http(Method::Post, vec![b' '; 262_145], None);
    assert_eq!(rig.status_of(over), Some(413));
}

#[test]
fn an_abandoned_request_is_forgotten() {
    let mut rig = Rig::settled();
    let id = rig.submit();
    let number = rig.requests()[0].1.request;
    rig.event(Event::HttpAbandoned { id });
    rig.clear();
    rig.pass_in_touch(4000, CORE[0], 1, 5);
    rig.answer(CORE[0], number, 200);
    assert!(rig.requests().is_empty());
    assert_eq!(rig.status_of(id), None);
}

#[test]
fn the_newest_version_seen_goes_along() {
    let mut rig = Rig::settled();
    rig.submit();
    let number = rig.requests()[0].1.request;
    rig.answer(CORE[0], number, 200);
    rig.update(CORE[1], 4);
    rig.submit();
    assert_eq!(rig.requests()[1].1.config_version, 6);
    rig.update(CORE[1], 9);
    rig.submit();
    assert_eq!(rig.requests()[2].1.config_version, 9);
}

#[test]
fn what_is_held_is_bounded() {
    let mut rig = Rig::settled();
    let ids: Vec<_> = (0..8193)
        .map(|_| rig.http(Method::Get, Vec::new(), None))
        .collect();
    assert_eq!(rig.status_of(ids[8191]), None);
    assert_eq!(rig.status_of(ids[8192]), Some(503));
}
