//! Attempts: what reaches a runner, and what is made of its answer.
use crate::stage::*;

#[test]
fn what_a_client_says_to_the_runner_goes_on_with_every_attempt() {
    let stage = Stage::start(2);
    let mut client = stage.client();
    client.send(
        "POST /rerun?key=7f3a HTTP/1.1\r\nHost: a\r\nReq-Id: 9b1f\r\nReq-Kind: rerun\r\nReq-Deadline: 4000m\r\n\
         Idempotency-Key: 6328 52c2\r\nReq-Extra: slots=1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: between us\r\n\
         TE: trailers\r\nContent-Length: 5\r\n\r\nwaves",
    );
    let (a, b) = (&stage.runners[0], &stage.runners[1]);
    let (first, other) = match a.poll(400) {
        Some(handed) => (handed, b),
        None => (b.next(), a),
    };
    first.answer("503 Service Unavailable", "Srv-Declined: 1\r\n");
    for handed in [first, other.next()] {
        let header = |name: &str| handed.message.header(name);
        assert_eq!(header("idempotency-key"), Some("6328 52c2"));
        assert_eq!((header("req-id"), header("req-extra")), (Some("9b1f"), Some("slots=1")));
        assert_eq!(handed.message.headers.matches("req-deadline").count(), 1, "it is told anew");
        assert_eq!(handed.message.headers.matches("content-length").count(), 1);
        assert_eq!((header("connection"), header("x-hop"), header("te")), (None, None, None));
        assert_eq!(handed.message.body, "waves");
    }
}
