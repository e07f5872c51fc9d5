//! Idle connections: requests that cross their close, and a large number of them.

use crate::stage::*;
use std::time::Instant;

const READY: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_gets_no_reset() {
    let stage = Stage::of(1, 1024, |page| {
        page.replace(r#""ReplicasOfMe":1"#, r#""ReplicasOfMe":2"#)
    });
    let mut idle = stage.client();
    assert_eq!(idle.send(READY).answer().status(), 200);
    stage.term();
    assert!(idle.read().is_none(), "it ends between two requests");
    idle.submit("rerun", "4000m");
    // A reset would have arrived by now, and would have discarded what the client had not read yet.
    pause(50);
    assert!(idle.stream.take_error().unwrap().is_none());
    idle.submit("rerun", "4000m");
    assert!(idle.read().is_none());
    stage.runners[0].nothing(100);
}

#[test]
fn idle_connections_block_nobody_while_discovery_is_down() {
    let mut stage = Stage::with(1, 64);
    let down = free();
    let former = stage.list.watch();
    former.tell(42, false, &[]);
    stage.reload(
        &stage
            .page
            .replace(&stage.list.at.to_string(), &down.to_string()),
    );
    pause(200);
    drop(former);
    // Each connection is idle after one request.
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..100 {
        idle.push(stage.client());
        idle.last_mut().unwrap().send(READY).read();
    }
    let mut client = stage.client();
    let id = client.submit("rerun", "9000m");
    stage.runners[0].next().take();
    assert_eq!(
        stage.news(&id, "s-0", r#""done","result":"a""#),
        204,
        "a runner's call-back is heard"
    );
    assert_eq!(client.answer().body, "a");
    assert_eq!(stage.client().send(READY).answer().status(), 200);
    let (back, list) = (Instant::now(), List::at(down));
    list.watch()
        .tell(7, true, &[stage.runners[0].entry("Terminating", 0)]);
    assert!(back.elapsed().as_secs_f64() < 5.5, "{:?}", back.elapsed());
    pause(200);
    let mut client = stage.client();
    client.submit("rerun", "4000m");
    assert_eq!(client.answer().status(), 503);
    stage.term();
    let (_, log) = stage.ended();
    assert!(!log.contains("could not be accepted"), "{log}");
}
