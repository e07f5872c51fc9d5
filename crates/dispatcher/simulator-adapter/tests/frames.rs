//! Runs the adapter's binary on frames that the tests build byte by byte. Guards against replies that do not fit the
//! protocol, and against input that makes the adapter hang or fail without a message.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sagetrail-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The write may fail, because the adapter exits at the first invalid input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

fn record(fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; 48];
    fields
        .iter()
        .for_each(|(at, bytes)| record[*at..at + bytes.len()].copy_from_slice(bytes));
    record
}

fn batch(clock_us: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = (records.len() * 48 + tail.len()) as u32;
    let mut frame = (records.len() as u32).to_le_bytes().to_vec();
    frame.extend(length.to_le_bytes());
    frame.extend(clock_us.to_le_bytes());
    frame.extend(records.concat());
    frame.extend(tail);
    frame
}

const SETTINGS: &str = "Categories.count=1\nCategories.0.Repeat=read_like\nCategories.0.DueTimeUs=500000\n\
    Categories.0.Payoff=1.0\nLimits.MostHandOffs=3\nReplicasOfMe=1\nDiscovery=pushed\nSomething.New=a_b\n";
const ADDRESS: [u8; 6] = [10, 18, 74, 7, 0x8b, 0x13];

/// Instance 3 starts with one ready runner in its cached list.
fn start(settings: &str) -> Vec<u8> {
    let mut tail = settings.as_bytes().to_vec();
    let mut entry = vec![0; 24];
    entry[9..15].copy_from_slice(&ADDRESS);
    entry[19] = 1;
    tail.extend(entry);
    let size = (settings.len() as u32).to_le_bytes();
    let records = [
        record(&[(0, &[10]), (1, &[3]), (3, &[9]), (15, &size)]),
        record(&[(0, &[110]), (3, &size), (7, &[1])]),
        record(&[(0, &[20]), (1, &[3])]),
    ];
    batch(1_000_000, &records, &tail)
}

/// A work item arrives at an instance.
fn arrive(instance: u8, category: u8) -> Vec<u8> {
    let expiry = 6_000_000u64.to_le_bytes();
    let one = 1f32.to_le_bytes();
    let fields: [(usize, &[u8]); 6] = [
        (0, &[30]),
        (1, &[instance]),
        (3, &[77]),
        (7, &[category]),
        (20, &expiry),
        (32, &one),
    ];
    batch(1_005_000, &[record(&fields)], &[])
}

/// The adapter must exit with status 1 and one line that contains `message`.
fn assert_fails(input: &[u8], message: &str) {
    let output = run_adapter(input);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(
        stderr.contains(message) && stderr.lines().count() == 1,
        "expected one line with '{message}', got '{stderr}'"
    );
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_adapter_exits_cleanly() {
    let output = run_adapter(&batch(5, &[], &[]));
    assert_eq!((output.status.code(), output.stdout), (Some(0), vec![0; 8]));
    assert_eq!(run_adapter(&[]).status.code(), Some(0));
}

#[test]
fn a_work_item_is_sent_in_the_reply_to_its_batch() {
    let output = run_adapter(&[start(SETTINGS), arrive(3, 0)].concat());
    assert_eq!(output.status.code(), Some(0));
    let send_action = output
        .stdout
        .windows(13)
        .find(|w| w[0] == 10 && w[1] == 3 && w[7..13] == ADDRESS)
        .unwrap();
    assert_eq!(send_action[3..7], [77, 0, 0, 0]);
}

#[test]
fn a_killed_instance_may_start_again() {
    let killed = batch(1_002_000, &[record(&[(0, &[100]), (1, &[3])])], &[]);
    let restarted = [
        start(SETTINGS),
        killed.clone(),
        start(SETTINGS),
        arrive(3, 0),
    ]
    .concat();
    assert_eq!(run_adapter(&restarted).status.code(), Some(0));
    assert_fails(&[start(SETTINGS), killed, arrive(3, 0)].concat(), "not up");
}

#[test]
fn events_of_unknown_work_items_are_ignored() {
    let late_outcome = record(&[(0, &[50]), (1, &[3]), (3, &[5]), (9, &ADDRESS), (15, &[1])]);
    let client_left = record(&[(0, &[60]), (1, &[3]), (3, &[5])]);
    assert_eq!(
        run_adapter(
            &[
                start(SETTINGS),
                batch(1_005_000, &[late_outcome, client_left], &[])
            ]
            .concat()
        )
        .status
        .code(),
        Some(0)
    );
}

#[test]
fn invalid_input_ends_the_adapter_with_a_one_line_message() {
    assert_fails(&[1, 2, 3], "3 bytes into a batch's header");
    let complete = start(SETTINGS);
    assert_fails(&complete[..complete.len() - 4], "input ends");
    assert_fails(
        &[[9, 0, 0, 0], [8, 0, 0, 0], [0; 4], [0; 4]].concat(),
        "cannot hold 9 records",
    );
    assert_fails(
        &[[0; 4], [255; 4], [0; 4], [0; 4]].concat(),
        "input ends 0 bytes into a batch",
    );
    assert_fails(
        &batch(5, &[record(&[(0, &[99])])], &[]),
        "unknown event code 99",
    );
    assert_fails(
        &batch(5, &[record(&[(0, &[10]), (11, &[4]), (15, &[9])])], &[]),
        "overruns a tail",
    );
    assert_fails(&arrive(3, 0), "instance 3, which is not up");
    assert_fails(&[start(SETTINGS), arrive(3, 7)].concat(), "category 7");
    assert_fails(&start("ReplicasOfMe=many\n"), "ReplicasOfMe");
    assert_fails(&start("no pair\n"), "no pair");
}
