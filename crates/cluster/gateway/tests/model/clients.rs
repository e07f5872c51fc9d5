//! The clients: each asks one thing on one connection, waits or closes it, and makes another attempt where it must.

use std::collections::BTreeMap;

use sagetrail_protocol::node::{HttpRequestId, Method};

/// An HTTP request as its gateway names it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct RequestKey {
    pub gateway: usize,
    pub incarnation: u64,
    pub id: HttpRequestId,
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u64,
    pub method: Method,
    pub path: String,
    pub key: RequestKey,
    /// The client has closed the connection, or its gateway has ended.
    pub is_closed: bool,
    pub status: Option<u16>,
}

#[derive(Default)]
pub(crate) struct Clients {
    pub attempts: Vec<Attempt>,
    /// The number of each attempt that waits for its answer.
    waiting: BTreeMap<RequestKey, u64>,
}

impl Clients {
    /// A client asks; the number of its attempt.
    pub(crate) fn ask(&mut self, method: Method, path: String, key: RequestKey) -> u64 {
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
        assert!(former.is_none(), "one key for two requests");
        number
    }

    /// A client closes its connection, if it still waits.
    pub(crate) fn close(&mut self, number: u64) -> Option<RequestKey> {
        let attempt = &mut self.attempts[number as usize];
        if attempt.is_closed || attempt.status.is_some() {
            return None;
        }
        attempt.is_closed = true;
        self.waiting.remove(&attempt.key);
        Some(attempt.key)
    }

    /// A gateway ends, and with it all of its connections.
    pub(crate) fn close_all(&mut self, gateway: usize) {
        self.waiting.retain(|key, number| {
            self.attempts[*number as usize].is_closed |= key.gateway == gateway;
            key.gateway != gateway
        });
    }

    /// An answer reaches whoever waits under its key: it must be about what that one asked.
    pub(crate) fn answer(&mut self, key: RequestKey, status: u16, body: &[u8]) -> &Attempt {
        let number = self.waiting.remove(&key);
        let number = number.unwrap_or_else(|| panic!("an answer {status} to nobody at {key:?}"));
        let attempt = &mut self.attempts[number as usize];
        attempt.status = Some(status);
        let answered_path = std::str::from_utf8(body).expect("a text");
        let is_by_gateway = answered_path.contains("error");
        assert!(
            is_by_gateway || answered_path == attempt.path,
            "{} was answered by the outcome of {answered_path}",
            attempt.path
        );
        attempt
    }
}
