//! Compares the adapter's replies to a recorded session byte by byte. The session has 371 batches for two dispatchers:
//! one probes runners for their load, and one asks for the endpoint list. Guards against a change of the policy's
//! decisions or of the protocol that was not intended.
//!
//! A batch is the line `in-NUMBER` of the fixture, and its reply is the line `out-NUMBER`. Two replies have a log line
//! (code 90) with its text, so a changed text changes these two replies and no other.
use sagetrail_fixture::Fixture;
use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Command, Stdio};

const FIXTURE: &str = include_str!("fixtures/session.txt");
/// Length of a reply's header in bytes.
const HEADER_LEN: usize = 8;
/// Length of an action record in bytes.
const ACTION_LEN: usize = 24;
/// Codes of all actions of the adapter.
const ACTIONS: [u8; 8] = [10, 20, 30, 40, 50, 60, 90, 110];

/// The batches of the session, or the replies.
fn frames(fixture: &Fixture, kind: &str) -> Vec<Vec<u8>> {
    let names = fixture.names().filter(|name| name.starts_with(kind));
    names.map(|name| fixture.bytes(name)).collect()
}

/// The adapter's replies to all batches of a session.
fn run_adapter(session: Vec<u8>) -> Vec<u8> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sagetrail-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    // The input is written by another thread while the output is read, because neither pipe holds a whole session.
    let writer = std::thread::spawn(move || input.write_all(&session));
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap().unwrap();
    assert!(output.status.success(), "{}", output.status);
    output.stdout
}

#[test]
fn a_recorded_session_gets_the_same_replies() {
    let fixture = Fixture::read(FIXTURE);
    let output = run_adapter(frames(&fixture, "in-").concat());
    let mut rest = &output[..];
    for (number, reply) in frames(&fixture, "out-").iter().enumerate() {
        let (first, remaining) = rest.split_at(reply.len().min(rest.len()));
        assert!(first == reply, "reply {number}: {first:02x?}");
        rest = remaining;
    }
    assert!(rest.is_empty(), "{} bytes after the last reply", rest.len());
}

#[test]
fn the_session_has_every_action() {
    let mut codes = BTreeSet::new();
    for reply in frames(&Fixture::read(FIXTURE), "out-") {
        let count = u32::from_le_bytes(reply[4..HEADER_LEN].try_into().unwrap()) as usize;
        let actions = reply[HEADER_LEN..].chunks(ACTION_LEN).take(count);
        codes.extend(actions.map(|action| action[0]));
    }
    assert_eq!(codes, BTreeSet::from(ACTIONS));
}
