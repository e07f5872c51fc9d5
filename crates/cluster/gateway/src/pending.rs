//! Clients' requests that are not answered yet.

use sagetrail_protocol::client::{ClientMethod, ClientRequest};
use sagetrail_protocol::collections::{Blob, Text};
use sagetrail_protocol::node::HttpRequestId;
use sagetrail_protocol::{Incarnation, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// At most so many requests are held at once.
const MOST_REQUESTS: usize = 8192;
/// At most so many bytes of bodies are held at once.
const MOST_BODY_BYTES: usize = 24 << 20;
/// Room for the numbers of the requests of one incarnation.
const NUMBER_BITS: u32 = 24;
/// The first repeat comes after so long without an answer; later ones after twice as long each.
const FIRST_REPEAT_MS: u64 = 250;
/// Repeats are at most so far apart.
const LONGEST_REPEAT_MS: u64 = 1000;
/// A request that nobody may have taken waits so long for an leader; a cancel as long as its client does.
const OWNERLESS_MS: u64 = 300;

/// What the client asked.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct Question {
    pub(crate) id: HttpRequestId,
    pub(crate) method: ClientMethod,
    pub(crate) host: Text,
    pub(crate) path: Text,
    pub(crate) body: Blob,
}

/// A request that is not answered yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) question: Question,
    /// The client is gone then, or is to be answered at the latest.
    patience_end: Time,
    answer_by: Time,
    /// Copies sent of which it is not known that nothing was done. None: a refusal is safe.
    pub(crate) copies_out: u32,
    /// Since when nobody may have taken it.
    parked_at: Time,
    last_sent: Option<Time>,
    repeat_ms: u64,
    due: Time,
}

impl PendingRequest {
    /// True once it has waited long enough.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        now >= self.give_up_at()
    }

    /// When it was last sent.
    pub(crate) fn last_sent(&self) -> Option<Time> {
        self.last_sent
    }

    /// The message to the scheduler.
    pub(crate) fn message(&self, now: Time, number: u64, config_version: u64) -> ClientRequest {
        let remaining_ms = self.patience_end.millis_since(now);
        ClientRequest {
            request: number,
            method: self.question.method,
            host: self.question.host.clone(),
            path: self.question.path.clone(),
            body: self.question.body.clone(),
            config_version,
            remaining_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
        }
    }

    fn give_up_at(&self) -> Time {
        let nobody_has_it = self.copies_out == 0 && self.question.method != ClientMethod::Cancel;
        match nobody_has_it {
            true => self.parked_at.plus_millis(OWNERLESS_MS).min(self.answer_by),
            false => self.answer_by,
        }
    }
}

/// All requests that are not answered yet, by number, and when each is due.
#[derive(Debug)]
pub(crate) struct PendingTable {
    next_number: u64,
    requests: BTreeMap<u64, PendingRequest>,
    numbers: HashMap<HttpRequestId, u64>,
    due: BTreeSet<(Time, u64)>,
    body_bytes: usize,
}

impl PendingTable {
    /// Empty; numbers are not those of an earlier incarnation.
    pub(crate) fn new(incarnation: Incarnation) -> PendingTable {
        PendingTable {
            next_number: (incarnation << NUMBER_BITS) | 1,
            requests: BTreeMap::new(),
            numbers: HashMap::new(),
            due: BTreeSet::new(),
            body_bytes: 0,
        }
    }

    /// True where no more may be held.
    pub(crate) fn is_full(&self) -> bool {
        self.requests.len() >= MOST_REQUESTS || self.body_bytes >= MOST_BODY_BYTES
    }

    /// True where nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Takes a question; gives its number.
    pub(crate) fn insert(
        &mut self,
        now: Time,
        question: Question,
        patience_end: Time,
        answer_by: Time,
    ) -> u64 {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1).max(1);
        self.body_bytes += question.body.len();
        self.numbers.insert(question.id, number);
        let request = PendingRequest {
            question,
            patience_end,
            answer_by,
            copies_out: 0,
            parked_at: now,
            last_sent: None,
            repeat_ms: FIRST_REPEAT_MS,
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

    /// Takes a request out.
    pub(crate) fn remove(&mut self, number: u64) -> Option<PendingRequest> {
        let request = self.requests.remove(&number)?;
        self.body_bytes -= request.question.body.len();
        self.numbers.remove(&request.question.id);
        self.due.remove(&(request.due, number));
        Some(request)
    }

    /// Forgets a request whose client has gone.
    pub(crate) fn abandon(&mut self, id: HttpRequestId) {
        if let Some(number) = self.numbers.get(&id).copied() {
            self.remove(number);
        }
    }

    /// Numbers of all requests.
    pub(crate) fn numbers(&self) -> Vec<u64> {
        self.requests.keys().copied().collect()
    }

    /// Notes that copies were sent: the next repeat is due some time later.
    pub(crate) fn note_sent(&mut self, now: Time, number: u64, copies: u32) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.copies_out += copies;
        request.last_sent = Some(now);
        let repeat_at = now.plus_millis(request.repeat_ms);
        request.repeat_ms = (request.repeat_ms * 2).min(LONGEST_REPEAT_MS);
        self.reschedule(number, repeat_at);
    }

    /// Notes that one copy came to nothing.
    pub(crate) fn note_bounced(&mut self, now: Time, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.copies_out = request.copies_out.saturating_sub(1);
        if request.copies_out == 0 {
            request.parked_at = now;
        }
        let due = request.due;
        self.reschedule(number, due);
    }

    /// Begins again with quick repeats, for another leader.
    pub(crate) fn restart_repeats(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.repeat_ms = FIRST_REPEAT_MS;
        }
    }

    /// Looks at a request again at `wanted`, or when it is given up if that is sooner.
    pub(crate) fn reschedule(&mut self, number: u64, wanted: Time) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        self.due.remove(&(request.due, number));
        request.due = wanted.min(request.give_up_at());
        self.due.insert((request.due, number));
    }

    /// Waits for an leader, or until it is given up.
    pub(crate) fn park(&mut self, number: u64) {
        self.reschedule(number, Time(u64::MAX));
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
