//! A digest of all that a day saw. Two plays with one digest are the same day, down to each byte.
//!
//! Everything goes in as encoded bytes, never in the form that is printed for people: a renamed type, variant or
//! field leaves the digest as it is, a changed message, instant, order or stored byte does not.

use crate::actor::{CallTag, Outcome, OutgoingCall};
use crate::engine::Micros;
use sagetrail_protocol::node::{
    DiskImage, DiskOperation, DiskWrite, Event, HealthCheck, HealthCheckResult, HttpEndpoint,
    HttpReply, HttpRequest, HttpRequestId, Method, Now, Table,
};
use sagetrail_protocol::{frame, Message, NodeId};
use sha2::{Digest, Sha256};

/// What an entry of the digest tells. The numbers are part of the digest.
#[derive(Clone, Copy)]
enum Entry {
    Start = 1,
    Sent = 2,
    Handed = 3,
    Replied = 4,
    Written = 5,
    Synced = 6,
    Probed = 7,
    Called = 8,
    CallEnded = 9,
    Ended = 10,
}

/// Collects a day's digest.
#[derive(Default)]
pub struct DayDigest {
    hash: Sha256,
    /// The entry under way, kept for the next one's use.
    entry: Vec<u8>,
}

impl DayDigest {
    /// The digest of all that was told, as 64 hexadecimal digits.
    pub fn text(&self) -> String {
        let digest = self.hash.clone().finalize();
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// A process starts with this on its disk.
    pub fn started(&mut self, at: Micros, node: NodeId, now: Now, seed: u64, image: &DiskImage) {
        self.begin(Entry::Start, at, node);
        self.clocks(now);
        self.number(seed);
        for table in [&image.control, &image.records] {
            self.count(table.len());
            for (key, value) in table {
                self.bytes(key);
                self.bytes(value);
            }
        }
        self.end();
    }

    /// A process has ended.
    pub fn ended(&mut self, at: Micros, node: NodeId) {
        self.begin(Entry::Ended, at, node);
        self.end();
    }

    /// A process sends a message, in its encoded form.
    pub fn sent(&mut self, at: Micros, from: NodeId, to: NodeId, payload: &[u8]) {
        self.begin(Entry::Sent, at, from);
        self.node(to);
        self.bytes(payload);
        self.end();
    }

    /// An event reaches the logic of a process.
    pub fn handed(&mut self, at: Micros, node: NodeId, now: Now, event: &Event) {
        self.begin(Entry::Handed, at, node);
        self.clocks(now);
        self.event(event);
        self.end();
    }

    /// A process answers a request of HTTP.
    pub fn replied(&mut self, at: Micros, node: NodeId, id: HttpRequestId, reply: &HttpReply) {
        self.begin(Entry::Replied, at, node);
        self.number(id.0);
        self.reply(reply);
        self.end();
    }

    /// A process asks its disk for a write.
    pub fn written(&mut self, at: Micros, node: NodeId, write: &DiskWrite) {
        self.begin(Entry::Written, at, node);
        self.count(write.operations.len());
        for operation in &write.operations {
            self.operation(operation);
        }
        self.count(write.send_when_synced.len());
        for (to, message) in &write.send_when_synced {
            self.node(*to);
            self.message(message);
        }
        self.optional(write.token);
        self.end();
    }

    /// So many writes of a process have reached its disk.
    pub fn synced(&mut self, at: Micros, node: NodeId, writes: usize) {
        self.begin(Entry::Synced, at, node);
        self.count(writes);
        self.end();
    }

    /// A process looks at another one.
    pub fn probed(&mut self, at: Micros, node: NodeId, health_check: &HealthCheck) {
        self.begin(Entry::Probed, at, node);
        self.number(health_check.id.0);
        self.node(NodeId::from_address(health_check.address));
        self.bytes(health_check.path.as_bytes());
        self.end();
    }

    /// Someone outside calls a process.
    pub fn called(&mut self, at: Micros, id: HttpRequestId, call: &OutgoingCall) {
        self.begin(Entry::Called, at, call.to);
        self.number(id.0);
        self.number(call.tag);
        self.number(call.timeout);
        self.request(call.endpoint, &call.request);
        self.end();
    }

    /// Someone outside learns what became of a call.
    pub fn call_ended(&mut self, at: Micros, node: NodeId, tag: CallTag, outcome: &Outcome) {
        self.begin(Entry::CallEnded, at, node);
        self.number(tag);
        match outcome {
            Outcome::Answered(reply) => {
                self.tag(1);
                self.reply(reply);
            }
            Outcome::Broken => self.tag(2),
            Outcome::Silence => self.tag(3),
        }
        self.end();
    }

    fn event(&mut self, event: &Event) {
        match event {
            Event::Message { from, message } => {
                self.tag(1);
                self.node(*from);
                self.message(message);
            }
            Event::Http {
                id,
                endpoint,
                request,
            } => {
                self.tag(2);
                self.number(id.0);
                self.request(*endpoint, request);
            }
            Event::HttpAbandoned { id } => {
                self.tag(3);
                self.number(id.0);
            }
            Event::Synced { token } => {
                self.tag(4);
                self.number(*token);
            }
            Event::HealthCheck { id, result } => {
                self.tag(5);
                self.number(id.0);
                self.probe_result(*result);
            }
            Event::Wake => self.tag(6),
            Event::SeedsChanged(seeds) => {
                self.tag(7);
                self.count(seeds.len());
                seeds.iter().for_each(|seed| self.node(*seed));
            }
            Event::Terminate => self.tag(8),
        }
    }

    fn request(&mut self, endpoint: HttpEndpoint, request: &HttpRequest) {
        self.tag(match endpoint {
            HttpEndpoint::Frontend => 1,
            HttpEndpoint::Readiness => 2,
            HttpEndpoint::Control => 3,
        });
        self.tag(match request.method {
            Method::Get => 1,
            Method::Post => 2,
            Method::Delete => 3,
            Method::Other => 4,
        });
        self.bytes(request.host.as_bytes());
        self.bytes(request.path.as_bytes());
        self.optional(request.base_version);
        self.optional(request.deadline_ms);
        self.bytes(&request.body);
    }

    fn reply(&mut self, reply: &HttpReply) {
        self.number(u64::from(reply.status));
        self.optional(reply.retry_after_s.map(u64::from));
        self.bytes(&reply.body);
    }

    fn operation(&mut self, operation: &DiskOperation) {
        match operation {
            DiskOperation::Put { table, key, value } => {
                self.tag(1);
                self.table(*table);
                self.bytes(key);
                self.bytes(value);
            }
            DiskOperation::Delete { table, key } => {
                self.tag(2);
                self.table(*table);
                self.bytes(key);
            }
            DiskOperation::Clear { table } => {
                self.tag(3);
                self.table(*table);
            }
        }
    }

    fn table(&mut self, table: Table) {
        self.tag(match table {
            Table::Control => 1,
            Table::Records => 2,
        });
    }

    fn probe_result(&mut self, result: HealthCheckResult) {
        match result {
            HealthCheckResult::Refused => self.tag(1),
            HealthCheckResult::Status(status) => {
                self.tag(2);
                self.number(u64::from(status));
            }
            HealthCheckResult::NoAnswer => self.tag(3),
        }
    }

    /// A message that cannot be encoded counts as an empty one; the cluster reports it as a fault of the codec.
    fn message(&mut self, message: &Message) {
        let payload = frame::encode(message).unwrap_or_default();
        self.bytes(&payload);
    }

    fn clocks(&mut self, now: Now) {
        self.number(now.steady.0);
        self.number(now.wall_ms as u64);
    }

    fn node(&mut self, node: NodeId) {
        self.entry.extend(node.ip.to_be_bytes());
        self.entry.extend(node.port.to_be_bytes());
    }

    fn optional(&mut self, number: Option<u64>) {
        match number {
            Some(number) => {
                self.tag(1);
                self.number(number);
            }
            None => self.tag(0),
        }
    }

    /// Bytes behind their length, so that two texts never run into one.
    fn bytes(&mut self, bytes: &[u8]) {
        self.count(bytes.len());
        self.entry.extend_from_slice(bytes);
    }

    fn count(&mut self, count: usize) {
        self.number(count as u64);
    }

    fn number(&mut self, number: u64) {
        self.entry.extend(number.to_be_bytes());
    }

    fn tag(&mut self, tag: u8) {
        self.entry.push(tag);
    }

    fn begin(&mut self, entry: Entry, at: Micros, node: NodeId) {
        self.entry.clear();
        self.tag(entry as u8);
        self.number(at);
        self.node(node);
    }

    fn end(&mut self) {
        self.hash.update(&self.entry);
    }
}
