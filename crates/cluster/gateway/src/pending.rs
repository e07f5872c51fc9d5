//! The requests that are not answered yet: each with its number, copies in flight, deadline and next retry.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use sagetrail_protocol::client::{ClientMethod, ClientRequest};
use sagetrail_protocol::collections::{Blob, Text};
use sagetrail_protocol::node::HttpRequestId;
use sagetrail_protocol::{Incarnation, Time};

use crate::backoff::RetryBackoff;
use crate::deadline::Deadlines;

/// The most requests that are kept at once.
const MAX_REQUESTS: usize = 8192;
/// The most bytes of bodies that are kept at once.
const MAX_BODY_BYTES: usize = 24 << 20;
/// Bits of a number that count the requests of one incarnation; the bits above hold the incarnation.
const COUNTER_BITS: u32 = 24;
/// Time that a request without a copy in flight waits for a leader, in milliseconds. A cancellation waits until its
/// deadline.
const LEADERLESS_TIMEOUT_MS: u64 = 300;
/// A time that is never reached.
const NEVER: Time = Time(u64::MAX);

/// What the client asks.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct RequestContent {
    /// The HTTP request to answer.
    pub(crate) id: HttpRequestId,
    /// What is to be done.
    pub(crate) method: ClientMethod,
    /// The host, which selects the route.
    pub(crate) host: Text,
    /// The path: the queue and the job.
    pub(crate) path: Text,
    /// The job of a submission; empty for other methods.
    pub(crate) body: Blob,
}

/// A request that is not answered yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// What the client asks.
    pub(crate) content: RequestContent,
    /// Copies sent of which it is not known that they had no effect. Only at 0 is a rejection safe.
    pub(crate) copies_in_flight: u32,
    deadlines: Deadlines,
    /// Since when no copy has been in flight.
    leaderless_since: Time,
    last_sent: Option<Time>,
    backoff: RetryBackoff,
    /// When it is looked at next; its entry in `PendingTable::due`.
    due: Time,
}

impl PendingRequest {
    /// True once it is to be answered without the scheduler.
    pub(crate) fn has_expired(&self, now: Time) -> bool {
        now >= self.expires_at()
    }

    /// When it was last sent.
    pub(crate) fn last_sent(&self) -> Option<Time> {
        self.last_sent
    }

    /// The message to the scheduler.
    pub(crate) fn message(&self, now: Time, number: u64, config_version: u64) -> ClientRequest {
        let remaining_ms = self.deadlines.client.millis_since(now);
        ClientRequest {
            request: number,
            method: self.content.method,
            host: self.content.host.clone(),
            path: self.content.path.clone(),
            body: self.content.body.clone(),
            config_version,
            remaining_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
        }
    }

    fn expires_at(&self) -> Time {
        let answer_by = self.deadlines.answer_by;
        if self.copies_in_flight > 0 || self.content.method == ClientMethod::Cancel {
            return answer_by;
        }
        self.leaderless_since
            .plus_millis(LEADERLESS_TIMEOUT_MS)
            .min(answer_by)
    }
}

/// All pending requests by number, and the order in which they are due.
#[derive(Debug)]
pub(crate) struct PendingTable {
    next_number: u64,
    requests: BTreeMap<u64, PendingRequest>,
    numbers: HashMap<HttpRequestId, u64>,
    /// One entry for each request: its `due` and its number.
    due: BTreeSet<(Time, u64)>,
    /// The sum over all kept bodies.
    body_bytes: usize,
}

impl PendingTable {
    /// An empty table. Its numbers differ from those of other incarnations, so that a late answer to an earlier
    /// incarnation matches no request.
    pub(crate) fn new(incarnation: Incarnation) -> PendingTable {
        PendingTable {
            next_number: (incarnation << COUNTER_BITS) | 1,
            requests: BTreeMap::new(),
            numbers: HashMap::new(),
            due: BTreeSet::new(),
            body_bytes: 0,
        }
    }

    /// True where no further request may be kept.
    pub(crate) fn is_full(&self) -> bool {
        self.requests.len() >= MAX_REQUESTS || self.body_bytes >= MAX_BODY_BYTES
    }

    /// True where nothing is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request that is due at once; its number.
    pub(crate) fn insert(
        &mut self,
        now: Time,
        content: RequestContent,
        deadlines: Deadlines,
    ) -> u64 {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1).max(1);
        self.body_bytes += content.body.len();
        self.numbers.insert(content.id, number);
        let request = PendingRequest {
            content,
            copies_in_flight: 0,
            deadlines,
            leaderless_since: now,
            last_sent: None,
            backoff: RetryBackoff::default(),
            due: now,
        };
        self.due.insert((now, number));
        self.requests.insert(number, request);
        number
    }

    /// The request with this number.
    pub(crate) fn get(&self, number: u64) -> Option<&PendingRequest> {
        self.requests.get(&number)
    }

    /// Removes the request with this number.
    pub(crate) fn remove(&mut self, number: u64) -> Option<PendingRequest> {
        let request = self.requests.remove(&number)?;
        self.body_bytes -= request.content.body.len();
        self.numbers.remove(&request.content.id);
        self.due.remove(&(request.due, number));
        Some(request)
    }

    /// Removes a request whose client has closed the connection.
    pub(crate) fn abandon(&mut self, id: HttpRequestId) {
        if let Some(number) = self.numbers.get(&id).copied() {
            self.remove(number);
        }
    }

    /// The numbers of all requests, in the order of their arrival.
    pub(crate) fn numbers(&self) -> Vec<u64> {
        self.requests.keys().copied().collect()
    }

    /// Records that copies were sent, and schedules the next retry.
    pub(crate) fn record_sent(&mut self, now: Time, number: u64, copies: u32) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.copies_in_flight += copies;
        request.last_sent = Some(now);
        let retry_at = now.plus_millis(request.backoff.next_delay_ms());
        self.reschedule(number, retry_at);
    }

    /// Records that one copy reached a process that is not the leader, and had no effect there.
    pub(crate) fn record_bounced(&mut self, now: Time, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.copies_in_flight = request.copies_in_flight.saturating_sub(1);
        if request.copies_in_flight == 0 {
            request.leaderless_since = now;
        }
        let due = request.due;
        self.reschedule(number, due);
    }

    /// Begins again with short delays, for another leader.
    pub(crate) fn reset_backoff(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.backoff = RetryBackoff::default();
        }
    }

    /// Makes a request due at `wanted`, or when it expires if that is sooner.
    pub(crate) fn reschedule(&mut self, number: u64, wanted: Time) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        self.due.remove(&(request.due, number));
        request.due = wanted.min(request.expires_at());
        self.due.insert((request.due, number));
    }

    /// Lets a request wait for a leader until it expires.
    pub(crate) fn await_leader(&mut self, number: u64) {
        self.reschedule(number, NEVER);
    }

    /// The next request that is due by `now`.
    pub(crate) fn next_due(&self, now: Time) -> Option<u64> {
        self.due
            .first()
            .filter(|(due, _)| *due <= now)
            .map(|(_, number)| *number)
    }

    /// When the next request is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.due.first().map(|(due, _)| *due)
    }
}
