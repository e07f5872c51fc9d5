//! The clients: each asks one thing on one connection, waits or goes, and tries again where it must.

use sagetrail_protocol::node::{HttpRequestId, Method};
use std::collections::BTreeMap;

/// One try of a client.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    pub number: u64,
    pub method: Method,
    pub path: String,
    /// The gateway, its life there, and the request's name in it.
    pub gateway: usize,
    pub life: u64,
    pub id: HttpRequestId,
    pub gone: bool,
    pub status: Option<u16>,
}

#[derive(Default)]
pub(crate) struct Clients {
    pub tries: Vec<Try>,
    /// The tries that wait, by gateway, life and name.
    waiting: BTreeMap<(usize, u64, HttpRequestId), u64>,
}

impl Clients {
    pub(crate) fn begin(
        &mut self,
        method: Method,
        path: String,
        gateway: usize,
        life: u64,
        id: HttpRequestId,
    ) -> u64 {
        let number = self.tries.len() as u64;
        self.tries.push(Try {
            number,
            method,
            path,
            gateway,
            life,
            id,
            gone: false,
            status: None,
        });
        let former = self.waiting.insert((gateway, life, id), number);
        assert!(former.is_none(), "one name for two requests");
        number
    }

    /// A client closes its connection.
    pub(crate) fn leave(&mut self, number: u64) -> Option<HttpRequestId> {
        let one = &mut self.tries[number as usize];
        if one.gone || one.status.is_some() {
            return None;
        }
        one.gone = true;
        self.waiting.remove(&(one.gateway, one.life, one.id));
        Some(one.id)
    }

    /// The life of a gateway ends, and with it all of its connections.
    pub(crate) fn cut(&mut self, gateway: usize) {
        self.waiting.retain(|(at, ..), number| {
            self.tries[*number as usize].gone |= *at == gateway;
            *at != gateway
        });
    }

    /// An answer reaches whoever waits under its name: it must be about what that one asked.
    pub(crate) fn answer(
        &mut self,
        gateway: usize,
        life: u64,
        id: HttpRequestId,
        status: u16,
        body: &[u8],
    ) -> &Try {
        let number = self.waiting.remove(&(gateway, life, id));
        let number =
            number.unwrap_or_else(|| panic!("an answer {status} to nobody at gateway {gateway}"));
        let one = &mut self.tries[number as usize];
        one.status = Some(status);
        let named = std::str::from_utf8(body).expect("a text");
        let by_the_gateway = named.contains("error");
        assert!(
            by_the_gateway || named == one.path,
            "{} was answered by what became of {named}",
            one.path
        );
        one
    }
}
