//! A recorded session: 371 batches of two dispatchers, one that asks runners for their load and one that asks for the
//! list, and the reply to each, byte by byte.
//!
//! A batch is the line `in-NUMBER` of the fixture, its reply `out-NUMBER`. Two replies hold a log line (code 90) with its
//! words: one that is worded anew changes these two and no other.
use sagetrail_fixture::Fixture;
use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Command, Stdio};

const KEPT: &str = include_str!("fixtures/session.txt");
const HEADER: usize = 8;
const ACTION: usize = 24;
/// The codes of all actions that the adapter has.
const ACTIONS: [u8; 8] = [10, 20, 30, 40, 50, 60, 90, 110];

/// The batches of the session, or the replies.
fn frames(fixture: &Fixture, kind: &str) -> Vec<Vec<u8>> {
    let names = fixture.names().filter(|name| name.starts_with(kind));
    names.map(|name| fixture.bytes(name)).collect()
}

/// What the adapter writes to a whole session.
fn play(session: Vec<u8>) -> Vec<u8> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sagetrail-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    // Written beside the reading, since neither pipe holds a whole session.
    let writer = std::thread::spawn(move || input.write_all(&session));
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap().unwrap();
    assert!(output.status.success(), "{}", output.status);
    output.stdout
}

#[test]
fn a_recorded_session_gets_the_same_replies() {
    let kept = Fixture::read(KEPT);
    let written = play(frames(&kept, "in-").concat());
    let mut rest = &written[..];
    for (number, reply) in frames(&kept, "out-").iter().enumerate() {
        let (begin, end) = rest.split_at(reply.len().min(rest.len()));
        assert!(begin == reply, "reply {number}: {begin:02x?}");
        rest = end;
    }
    assert!(rest.is_empty(), "{} bytes more", rest.len());
}

#[test]
fn the_session_has_every_action() {
    let mut codes = BTreeSet::new();
    for reply in frames(&Fixture::read(KEPT), "out-") {
        let count = u32::from_le_bytes(reply[4..HEADER].try_into().unwrap()) as usize;
        let actions = reply[HEADER..].chunks(ACTION).take(count);
        codes.extend(actions.map(|action| action[0]));
    }
    assert_eq!(codes, BTreeSet::from(ACTIONS));
}
