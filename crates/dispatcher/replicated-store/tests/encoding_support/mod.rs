//! A pair of members whose frames are noted.

use sagetrail_fixture::Fixture;
use sagetrail_raft::{Message, MessageBody, Timing};
use sagetrail_replicated_store::{
    ClaimReply, Digest, Ended, Item, Key, Name, Node, NodeConfig, Proposal, RecordPage, FRAME_MOST,
    STORE_VERSION,
};
use sagetrail_swim::{Codec, Envelope};
use serde::{Deserialize, Serialize};

const FLEET: &str = "fleet";
const BIRTH: u64 = 0x3000;
/// A name of a work item whose bytes all differ.
pub(crate) const NAME: Name = Name(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);

/// What a frame says, as the fixture has it: a frame of any other form is not read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    Log(Message),
    Propose(Proposal),
    MergedDigest(Vec<Digest>),
    MergedItems {
        have: Vec<Digest>,
        items: Vec<(Key, Item)>,
    },
    Claim {
        name: Name,
        no: u64,
        epoch: u32,
    },
    ClaimReply {
        no: u64,
        epoch: u32,
        reply: ClaimReply,
    },
    End {
        name: Name,
        no: u64,
        ended: Ended,
    },
    EndConfirmed {
        no: u64,
    },
    RecordsRequest {
        after: Option<Name>,
    },
    Records(RecordPage),
}

pub(crate) const BODIES: [&str; 10] = [
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

impl Body {
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Body::Log(_) => "log",
            Body::Propose(_) => "propose",
            Body::MergedDigest(_) => "merged-digest",
            Body::MergedItems { .. } => "merged-items",
            Body::Claim { .. } => "claim",
            Body::ClaimReply { .. } => "claim-reply",
            Body::End { .. } => "end",
            Body::EndConfirmed { .. } => "end-confirmed",
            Body::RecordsRequest { .. } => "records-request",
            Body::Records(_) => "records",
        }
    }
}

fn codec() -> Codec {
    Codec::with_version(FLEET, STORE_VERSION)
}

fn opened(frame: &[u8]) -> (Envelope, Body) {
    codec().decode(frame, FRAME_MOST).unwrap()
}

pub(crate) fn body(frame: &[u8]) -> Body {
    opened(frame).1
}

/// What one that starts asks member 1.
pub(crate) fn open_log_question() -> Vec<u8> {
    let envelope = Envelope {
        sender: 2,
        process: BIRTH + 2,
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
    codec().encode(&envelope, &Body::Log(message))
}

fn config(me: u64) -> NodeConfig {
    NodeConfig {
        fleet: FLEET.to_string(),
        me,
        members: vec![1, 2],
        initial_voters: vec![1],
        timing: Timing::default(),
        incarnation: 0x2000 + me,
        birth: BIRTH + me,
        disk: 0x4000 + me,
        records: Vec::new(),
        written: 0,
        marks_s: 600.0,
        records_s: 6.0,
    }
}

/// All frames of a node, those that wait for the disk too.
fn drained(node: &mut Node, now: f64) -> Vec<Vec<u8>> {
    let mut frames = std::mem::take(&mut node.out);
    while let Some(batch) = node.next_batch() {
        frames.extend(batch.frames);
        node.persisted(now, batch.position);
        frames.append(&mut node.out);
    }
    frames.into_iter().map(|(_, frame)| frame).collect()
}

/// Member 1, which founds and leads the log, and member 2, which has no vote.
pub(crate) struct Pair {
    pub a: Node,
    pub b: Node,
    /// What was noted so far.
    pub written: Fixture,
    now: f64,
}

impl Pair {
    pub(crate) fn new() -> Pair {
        Pair {
            a: Node::new(config(1), 0.0),
            b: Node::new(config(2), 0.0),
            written: Fixture::default(),
            now: 0.0,
        }
    }

    pub(crate) fn birth_of_b(&self) -> u64 {
        BIRTH + 2
    }

    /// Notes the one frame among those that member 1 has written that is wanted. The others are lost.
    pub(crate) fn sent_by_a(&mut self, name: &str, is_wanted: fn(&Body) -> bool) -> Vec<u8> {
        let frames = drained(&mut self.a, self.now);
        self.note(name, frames, is_wanted)
    }

    /// The same of member 2.
    pub(crate) fn sent_by_b(&mut self, name: &str, is_wanted: fn(&Body) -> bool) -> Vec<u8> {
        let frames = drained(&mut self.b, self.now);
        self.note(name, frames, is_wanted)
    }

    fn note(&mut self, name: &str, frames: Vec<Vec<u8>>, is_wanted: fn(&Body) -> bool) -> Vec<u8> {
        let mut wanted = frames.into_iter().filter(|frame| is_wanted(&body(frame)));
        let frame = wanted
            .next()
            .unwrap_or_else(|| panic!("no frame for {name}"));
        assert_eq!(wanted.next(), None, "several frames for {name}");
        let (envelope, body) = opened(&frame);
        assert_eq!(codec().encode(&envelope, &body), frame, "{name}");
        self.written.add_bytes(name, &frame);
        frame
    }

    /// Hands all that member 1 has to say to member 2.
    pub(crate) fn hand_log_to_b(&mut self, now: f64) {
        for frame in drained(&mut self.a, now) {
            self.b.receive(now, &frame);
        }
        drained(&mut self.b, now);
    }

    /// Puts all on both disks.
    pub(crate) fn sync(&mut self) {
        drained(&mut self.a, self.now);
        drained(&mut self.b, self.now);
    }

    /// Member 2 starts anew with a blank disk.
    pub(crate) fn restart_b(&mut self, now: f64) {
        self.b = Node::new(config(2), now);
    }

    pub(crate) fn nobody_refused(&self) {
        assert!(self.a.refused.is_empty(), "{:?}", self.a.refused);
        assert!(self.b.refused.is_empty(), "{:?}", self.b.refused);
    }
}
