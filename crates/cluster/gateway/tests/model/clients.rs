//! The model's clients: each attempt sends one request on one connection, and ends with an answer or when the
//! connection is closed.

use std::collections::BTreeMap;

use sagetrail_protocol::node::{HttpRequestId, Method};

/// Identifies an HTTP request by its gateway, the gateway's incarnation and the id that it has there.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct RequestKey {
    pub gateway: usize,
    pub incarnation: u64,
    pub id: HttpRequestId,
}

/// One request of a client, and its answer if there is one.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u64,
    pub method: Method,
    pub path: String,
    pub key: RequestKey,
    /// True once the client has closed the connection or its gateway has ended.
    pub is_closed: bool,
    pub status: Option<u16>,
}

#[derive(Default)]
pub(crate) struct Clients {
    pub attempts: Vec<Attempt>,
    /// The numbers of the attempts that wait for an answer.
    waiting: BTreeMap<RequestKey, u64>,
}

impl Clients {
    /// Records a client's request and returns the number of the attempt.
    pub(crate) fn record_request(&mut self, method: Method, path: String, key: RequestKey) -> u64 {
        let number = self.attempts.len() as u64;
        self.attempts.push(Attempt {
            number,
            method,
            path,
            key,
            is_closed: false,
            status: None,
        });
        let former = self.waiting.insert(key, number);
        assert!(former.is_none(), "two requests have the same key");
        number
    }

    /// Closes the connection of an attempt, and returns the request's key if the attempt was still waiting.
    pub(crate) fn close(&mut self, number: u64) -> Option<RequestKey> {
        let attempt = &mut self.attempts[number as usize];
        if attempt.is_closed || attempt.status.is_some() {
            return None;
        }
        attempt.is_closed = true;
        self.waiting.remove(&attempt.key);
        Some(attempt.key)
    }

    /// Closes all connections to a gateway that has ended.
    pub(crate) fn close_all(&mut self, gateway: usize) {
        self.waiting.retain(|key, number| {
            self.attempts[*number as usize].is_closed |= key.gateway == gateway;
            key.gateway != gateway
        });
    }

    /// Delivers an answer to the attempt that waits for the request with this key; the answer must be for the path that
    /// the attempt requested.
    pub(crate) fn answer(&mut self, key: RequestKey, status: u16, body: &[u8]) -> &Attempt {
        let number = self.waiting.remove(&key);
        let number = number.unwrap_or_else(|| {
            panic!("no attempt waits for the answer with status {status} at {key:?}")
        });
        let attempt = &mut self.attempts[number as usize];
        attempt.status = Some(status);
        let answered_path = std::str::from_utf8(body).expect("the body is UTF-8");
        let is_by_gateway = answered_path.contains("error");
        assert!(
            is_by_gateway || answered_path == attempt.path,
            "{} was answered with the outcome of {answered_path}",
            attempt.path
        );
        attempt
    }
}
