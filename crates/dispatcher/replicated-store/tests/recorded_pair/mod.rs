//! A pair of members whose frames are recorded.

use sagetrail_fixture::Fixture;
use sagetrail_raft::{Message, MessageBody, Timing};
use sagetrail_replicated_store::{
    ClaimReply, Completion, Digest, Item, Key, Node, NodeConfig, Proposal, RecordPage,
    WorkItemName, MAX_FRAME_BYTES, STORE_VERSION,
};
use sagetrail_swim::{Codec, Envelope};
use serde::{Deserialize, Serialize};

const FLEET: &str = "fleet";
const PROCESS: u64 = 0x3000;
/// Name of a work item; all bytes of the name differ.
pub(crate) const NAME: WorkItemName = WorkItemName(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);

/// The content of a frame in the form of the fixture, so that a frame of another form cannot be decoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum FrameBody {
    Log(Message),
    Propose(Proposal),
    MergedDigest(Vec<Digest>),
    MergedItems {
        digest: Vec<Digest>,
        items: Vec<(Key, Item)>,
    },
    Claim {
        name: WorkItemName,
        number: u64,
        epoch: u32,
    },
    ClaimReply {
        number: u64,
        epoch: u32,
        reply: ClaimReply,
    },
    End {
        name: WorkItemName,
        number: u64,
        completion: Completion,
    },
    EndConfirmed {
        number: u64,
    },
    RecordsRequest {
        after: Option<WorkItemName>,
    },
    Records(RecordPage),
}

pub(crate) const FRAME_BODIES: [&str; 10] = [
    "log",
    "propose",
    "merged-digest",
    "merged-items",
    "claim",
    "claim-reply",
    "end",
    "end-confirmed",
    "records-request",
    "records",
];

impl FrameBody {
    pub(crate) fn name(&self) -> &'static str {
        match self {
            FrameBody::Log(_) => "log",
            FrameBody::Propose(_) => "propose",
            FrameBody::MergedDigest(_) => "merged-digest",
            FrameBody::MergedItems { .. } => "merged-items",
            FrameBody::Claim { .. } => "claim",
            FrameBody::ClaimReply { .. } => "claim-reply",
            FrameBody::End { .. } => "end",
            FrameBody::EndConfirmed { .. } => "end-confirmed",
            FrameBody::RecordsRequest { .. } => "records-request",
            FrameBody::Records(_) => "records",
        }
    }
}

fn codec() -> Codec {
    Codec::with_version(FLEET, STORE_VERSION)
}

fn decode_frame(frame: &[u8]) -> (Envelope, FrameBody) {
    codec().decode(frame, MAX_FRAME_BYTES).unwrap()
}

pub(crate) fn body(frame: &[u8]) -> FrameBody {
    decode_frame(frame).1
}

/// The query about its disk that member 2 sends to member 1 when it starts.
pub(crate) fn disk_query_frame() -> Vec<u8> {
    let envelope = Envelope {
        sender: 2,
        process: PROCESS + 2,
        incarnation: 0x2002,
        sequence: 0x1001,
    };
    let message = Message {
        disk: 0x4002,
        records_written: 0,
        term: 0,
        body: MessageBody::DiskQuery {
            nonce: 0x0102_0304_0506_0708,
            blank: true,
        },
    };
    codec().encode(&envelope, &FrameBody::Log(message))
}

fn config(member: u64) -> NodeConfig {
    NodeConfig {
        fleet: FLEET.to_string(),
        member,
        members: vec![1, 2],
        initial_voters: vec![1],
        timing: Timing::default(),
        incarnation: 0x2000 + member,
        process: PROCESS + member,
        disk: 0x4000 + member,
        records: Vec::new(),
        records_written: 0,
        tombstone_retention_s: 600.0,
        record_retention_s: 6.0,
    }
}

/// Takes all frames of a node, including those that are sent only after a sync, and reports the syncs.
fn take_frames(node: &mut Node, now_s: f64) -> Vec<Vec<u8>> {
    let mut frames = std::mem::take(&mut node.outbound);
    while let Some(batch) = node.next_batch() {
        frames.extend(batch.frames);
        node.persisted(now_s, batch.position);
        frames.append(&mut node.outbound);
    }
    frames.into_iter().map(|frame| frame.bytes).collect()
}

/// Member 1, which bootstraps and leads the log, and member 2, which is a learner.
pub(crate) struct Pair {
    pub a: Node,
    pub b: Node,
    /// The frames recorded so far.
    pub recorded: Fixture,
    now_s: f64,
}

impl Pair {
    pub(crate) fn new() -> Pair {
        Pair {
            a: Node::new(config(1), 0.0),
            b: Node::new(config(2), 0.0),
            recorded: Fixture::default(),
            now_s: 0.0,
        }
    }

    pub(crate) fn process_of_b(&self) -> u64 {
        PROCESS + 2
    }

    /// Records the only wanted frame among the frames that member 1 has sent. The other frames are lost.
    pub(crate) fn sent_by_a(&mut self, name: &str, is_wanted: fn(&FrameBody) -> bool) -> Vec<u8> {
        let frames = take_frames(&mut self.a, self.now_s);
        self.record_frame(name, frames, is_wanted)
    }

    /// Records the only wanted frame among the frames that member 2 has sent. The other frames are lost.
    pub(crate) fn sent_by_b(&mut self, name: &str, is_wanted: fn(&FrameBody) -> bool) -> Vec<u8> {
        let frames = take_frames(&mut self.b, self.now_s);
        self.record_frame(name, frames, is_wanted)
    }

    fn record_frame(
        &mut self,
        name: &str,
        frames: Vec<Vec<u8>>,
        is_wanted: fn(&FrameBody) -> bool,
    ) -> Vec<u8> {
        let mut wanted = frames.into_iter().filter(|frame| is_wanted(&body(frame)));
        let frame = wanted
            .next()
            .unwrap_or_else(|| panic!("no frame for {name}"));
        assert_eq!(wanted.next(), None, "several frames for {name}");
        let (envelope, body) = decode_frame(&frame);
        assert_eq!(codec().encode(&envelope, &body), frame, "{name}");
        self.recorded.add_bytes(name, &frame);
        frame
    }

    /// Delivers all frames of member 1 to member 2.
    pub(crate) fn deliver_frames_to_b(&mut self, now_s: f64) {
        for frame in take_frames(&mut self.a, now_s) {
            self.b.receive(now_s, &frame);
        }
        take_frames(&mut self.b, now_s);
    }

    /// Syncs both disks. The frames of both members are lost.
    pub(crate) fn sync(&mut self) {
        take_frames(&mut self.a, self.now_s);
        take_frames(&mut self.b, self.now_s);
    }

    /// Restarts member 2 with a blank disk.
    pub(crate) fn restart_b(&mut self, now_s: f64) {
        self.b = Node::new(config(2), now_s);
    }

    pub(crate) fn assert_nothing_rejected(&self) {
        assert!(self.a.rejected.is_empty(), "{:?}", self.a.rejected);
        assert!(self.b.rejected.is_empty(), "{:?}", self.b.rejected);
    }
}
