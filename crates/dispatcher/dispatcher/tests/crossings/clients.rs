//! Clients: pipelined requests, and how a disconnection is noticed.

use crate::stage::*;
use std::net::Shutdown;

#[test]
fn an_invalid_pipelined_request_does_not_affect_the_one_before() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    let (id, text) = job("rerun", "6000m");
    client.send(&format!("{text}no request at all\r\n\r\n"));
    stage.runners[0].next().take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(client.answer().body, "a");
    let answer = client.answer();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (400, Some("close"))
    );
    assert!(client.read().is_none());
}

/// Unread bytes would hide the end of the connection, and the attempt would go on.
#[test]
fn a_client_that_pipelines_much_and_disconnects_is_noticed() {
    let stage = Stage::start(1);
    for more in [1, 30, 3000] {
        let mut client = stage.client();
        client.submit("rerun", "9000m");
        let handed = stage.runners[0].next();
        for _ in 0..more {
            client.send(&job("rerun", "9000m").1);
        }
        drop(client);
        assert!(handed.is_closed(), "with {more} more behind it");
        stage.runners[0].nothing(100);
    }
}

#[test]
fn a_half_closed_connection_counts_as_disconnected() {
    let stage = Stage::start(1);
    let mut client = stage.client();
    client.submit("rerun", "9000m");
    let handed = stage.runners[0].next();
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(handed.is_closed());
    assert!(client.read().is_none());
}

#[test]
fn a_flood_of_pipelined_requests_closes_only_its_own_connection() {
    let stage = Stage::start(1);
    let (mut floods, mut other) = (stage.client(), stage.client());
    let id = floods.submit("rerun", "9000m");
    let runner = &stage.runners[0];
    runner.next().take();
    let (second, text) = job("rerun", "9000m");
    floods.send(&text);
    for _ in 0..40 {
        floods.send(&"GET /health/live HTTP/1.1\r\n\r\n".repeat(1000));
    }
    let theirs = other.submit("once", "6000m");
    runner.next().take();
    stage.news(&theirs, "s-0", r#""done","result":"other""#);
    assert_eq!(other.answer().body, "other");
    stage.news(&id, "s-0", r#""done","result":"first""#);
    assert_eq!(floods.answer().body, "first");
    runner.next().take();
    stage.news(&second, "s-0", r#""done","result":"second""#);
    let answer = floods.answer();
    assert_eq!(
        (answer.body.as_str(), answer.header("connection")),
        ("second", Some("close"))
    );
    assert!(floods.read().is_none());
}

#[test]
fn work_items_of_disconnected_clients_are_not_sent() {
    let stage = Stage::start(1);
    let runner = &stage.runners[0];
    let mut stays = stage.client();
    let id = stays.submit("once", "9000m");
    runner.next().take();
    let mut held: Vec<Client> = (0..40).map(|_| stage.client()).collect();
    held.iter_mut()
        .for_each(|client| _ = client.submit("once", "9000m"));
    let mut out: Vec<ReceivedRequest> = std::iter::from_fn(|| runner.poll(300)).collect();
    assert!(out.len() < 40, "some are held");
    out.drain(..).for_each(|handed| handed.take());
    // The callback that frees a slot and the disconnections are all there when the process resumes.
    let mut news = stage.client();
    stage.signal("-STOP");
    let body = format!(r#"{{"id":"{id}","from":"s-0","state":"done","result":"a"}}"#);
    news.send(&format!(
        "POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    drop(held);
    stage.signal("-CONT");
    assert_eq!(news.answer().status(), 204);
    assert_eq!(stays.answer().body, "a");
    while let Some(handed) = runner.poll(400) {
        assert!(
            handed.message.first.starts_with("DELETE"),
            "{}",
            handed.message.first
        );
        handed.answer("204 No Content", "");
    }
}

#[test]
fn pipelined_requests_are_answered_in_order_and_completely() {
    let stage = Stage::start(1);
    let runner = &stage.runners[0];
    let mut client = stage.client();
    let jobs: Vec<(String, String)> = (0..5).map(|_| job("rerun", "9000m")).collect();
    let (first, rest) = jobs.split_first().unwrap();
    client.send(&first.1);
    let handed = runner.next();
    // Half of the last request has arrived when the first response is sent.
    let behind: String = rest.iter().map(|(_, text)| text.as_str()).collect();
    let (now, later) = behind.split_at(behind.len() - 30);
    client.send(now);
    pause(50);
    handed.take();
    for (n, (id, _)) in jobs.iter().enumerate() {
        if n > 0 {
            let handed = runner.next();
            assert_eq!(handed.id(), id);
            handed.take();
        }
        assert_eq!(
            stage.news(id, "s-0", &format!(r#""done","result":"{n}""#)),
            204
        );
        assert_eq!(client.answer().body, n.to_string());
        if n == 0 {
            client.send(later);
        }
    }
}
