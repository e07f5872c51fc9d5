//! The table of requests that are not answered yet: each has a number, a count of copies in flight, deadlines and the
//! time of its next retry.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use sagetrail_protocol::client::{ClientMethod, ClientRequest};
use sagetrail_protocol::collections::{Blob, Text};
use sagetrail_protocol::node::HttpRequestId;
use sagetrail_protocol::{Incarnation, Time};

use crate::backoff::RetryBackoff;
use crate::deadline::Deadlines;

/// The maximum number of requests that are pending at once.
const MAX_REQUESTS: usize = 8192;
/// The total size of the pending requests' bodies, in bytes, from which no further request is admitted.
const MAX_BODY_BYTES: usize = 24 << 20;
/// The number of low bits of a request number that count the requests of one incarnation; the higher bits hold the
/// incarnation.
const COUNTER_BITS: u32 = 24;
/// The time for which a request without a copy in flight waits for a leader, in milliseconds. A cancellation waits
/// until its deadline instead.
const LEADERLESS_TIMEOUT_MS: u64 = 300;
/// A time that is never reached; it marks a request that waits for a leader instead of a retry.
const NEVER: Time = Time(u64::MAX);

/// The part of a client's request that is forwarded to the scheduler.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct RequestContent {
    /// The id of the HTTP request to answer.
    pub(crate) id: HttpRequestId,
    /// The requested operation.
    pub(crate) method: ClientMethod,
    /// The host of the request, which selects the route together with the path.
    pub(crate) host: Text,
    /// The path of the request, which names the queue and the job.
    pub(crate) path: Text,
    /// The job specification of a submission; empty for other methods.
    pub(crate) body: Blob,
}

/// A request that is not answered yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// The part that is forwarded to the scheduler.
    pub(crate) content: RequestContent,
    /// The number of copies that were sent and are not known to have had no effect. A rejection is safe only at 0.
    pub(crate) copies_in_flight: u32,
    deadlines: Deadlines,
    /// The time since which no copy has been in flight.
    leaderless_since: Time,
    last_sent_at: Option<Time>,
    backoff: RetryBackoff,
    /// When the request is next retried or expires; this time is its entry in `PendingTable::due`.
    due: Time,
}

impl PendingRequest {
    /// Returns whether the request must now be answered without the scheduler.
    pub(crate) fn has_expired(&self, now: Time) -> bool {
        now >= self.expires_at()
    }

    /// Returns when the request was last sent.
    pub(crate) fn last_sent_at(&self) -> Option<Time> {
        self.last_sent_at
    }

    /// Builds the message to the scheduler.
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

/// The pending requests by number, and the order in which they are due.
#[derive(Debug)]
pub(crate) struct PendingTable {
    next_number: u64,
    requests: BTreeMap<u64, PendingRequest>,
    numbers: HashMap<HttpRequestId, u64>,
    /// The `due` time and the number of each request.
    due: BTreeSet<(Time, u64)>,
    /// The total size of the pending requests' bodies, in bytes.
    body_bytes: usize,
}

impl PendingTable {
    /// Creates an empty table. Its request numbers differ from those of other incarnations, so that a late answer to an
    /// earlier incarnation matches no request.
    pub(crate) fn new(incarnation: Incarnation) -> PendingTable {
        PendingTable {
            next_number: (incarnation << COUNTER_BITS) | 1,
            requests: BTreeMap::new(),
            numbers: HashMap::new(),
            due: BTreeSet::new(),
            body_bytes: 0,
        }
    }

    /// Returns whether no further request may be added.
    pub(crate) fn is_full(&self) -> bool {
        self.requests.len() >= MAX_REQUESTS || self.body_bytes >= MAX_BODY_BYTES
    }

    /// Returns whether no request is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request that is due immediately, and returns its number.
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
            last_sent_at: None,
            backoff: RetryBackoff::default(),
            due: now,
        };
        self.due.insert((now, number));
        self.requests.insert(number, request);
        number
    }

    /// Returns the request with this number.
    pub(crate) fn get(&self, number: u64) -> Option<&PendingRequest> {
        self.requests.get(&number)
    }

    /// Removes and returns the request with this number.
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

    /// Returns the numbers of all requests in the order of their arrival.
    pub(crate) fn numbers(&self) -> Vec<u64> {
        self.requests.keys().copied().collect()
    }

    /// Records that `copies` copies of a request were sent, and schedules its next retry.
    pub(crate) fn record_sent(&mut self, now: Time, number: u64, copies: u32) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.copies_in_flight += copies;
        request.last_sent_at = Some(now);
        let retry_at = now.plus_millis(request.backoff.next_delay_ms());
        self.reschedule(number, retry_at);
    }

    /// Records that one copy reached a process that is not the leader and had no effect there.
    pub(crate) fn record_not_leader(&mut self, now: Time, number: u64) {
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

    /// Restarts the backoff of a request at the shortest delay, for a new leader.
    pub(crate) fn reset_backoff(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.backoff = RetryBackoff::default();
        }
    }

    /// Makes a request due at `wanted`, or at its expiry if that is earlier.
    pub(crate) fn reschedule(&mut self, number: u64, wanted: Time) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        self.due.remove(&(request.due, number));
        request.due = wanted.min(request.expires_at());
        self.due.insert((request.due, number));
    }

    /// Stops retrying a request until a leader is known; the request stays pending until it expires.
    pub(crate) fn await_leader(&mut self, number: u64) {
        self.reschedule(number, NEVER);
    }

    /// Returns the number of the next request that is due by `now`.
    pub(crate) fn next_due(&self, now: Time) -> Option<u64> {
        self.due
            .first()
            .filter(|(due, _)| *due <= now)
            .map(|(_, number)| *number)
    }

    /// Returns the time at which the next request is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.due.first().map(|(due, _)| *due)
    }
}
