//! Frames written by hand, played to the adapter itself.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn play(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sagetrail-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may end before it has read all of a bad input.
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

const INFO: &str = "Categories.count=1\nCategories.0.Repeat=read_like\nCategories.0.DueTimeUs=500000\n\
    Categories.0.Payoff=1.0\nLimits.MostHandOffs=3\nReplicasOfMe=1\nDiscovery=pushed\nSomething.New=a_b\n";
const ADDRESS: [u8; 6] = [10, 18, 74, 7, 0x8b, 0x13];

/// Instance 3 comes up with one ready runner in its cached list.
fn up(info: &str) -> Vec<u8> {
    let mut tail = info.as_bytes().to_vec();
    let mut entry = vec![0; 24];
    entry[9..15].copy_from_slice(&ADDRESS);
    entry[19] = 1;
    tail.extend(entry);
    let size = (info.len() as u32).to_le_bytes();
    let records = [
        record(&[(0, &[10]), (1, &[3]), (3, &[9]), (15, &size)]),
        record(&[(0, &[110]), (3, &size), (7, &[1])]),
        record(&[(0, &[20]), (1, &[3])]),
    ];
    batch(1_000_000, &records, &tail)
}

fn accept(instance: u8, category: u8) -> Vec<u8> {
    let expiry = 6_000_000u64.to_le_bytes();
    let one = 1f32.to_le_bytes();
    let accept: [(usize, &[u8]); 6] = [
        (0, &[30]),
        (1, &[instance]),
        (3, &[77]),
        (7, &[category]),
        (20, &expiry),
        (32, &one),
    ];
    batch(1_005_000, &[record(&accept)], &[])
}

fn fails(input: &[u8], with: &str) {
    let output = play(input);
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(
        said.contains(with) && said.lines().count() == 1,
        "'{said}' does not say '{with}'"
    );
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_is_clean() {
    let output = play(&batch(5, &[], &[]));
    assert_eq!((output.status.code(), output.stdout), (Some(0), vec![0; 8]));
    assert_eq!(play(&[]).status.code(), Some(0));
}

#[test]
fn a_work_item_is_handed_off_in_the_same_batch() {
    let output = play(&[up(INFO), accept(3, 0)].concat());
    assert_eq!(output.status.code(), Some(0));
    let relay = output
        .stdout
        .windows(13)
        .find(|w| w[0] == 10 && w[1] == 3 && w[7..13] == ADDRESS)
        .unwrap();
    assert_eq!(relay[3..7], [77, 0, 0, 0]);
}

#[test]
fn a_killed_instance_may_come_up_again_in_the_same_batch() {
    let killed = batch(1_002_000, &[record(&[(0, &[100]), (1, &[3])])], &[]);
    let again = [up(INFO), killed.clone(), up(INFO), accept(3, 0)].concat();
    assert_eq!(play(&again).status.code(), Some(0));
    fails(&[up(INFO), killed, accept(3, 0)].concat(), "not up");
}

#[test]
fn what_is_no_longer_held_is_passed_over() {
    let late = record(&[(0, &[50]), (1, &[3]), (3, &[5]), (9, &ADDRESS), (15, &[1])]);
    let left = record(&[(0, &[60]), (1, &[3]), (3, &[5])]);
    assert_eq!(
        play(&[up(INFO), batch(1_005_000, &[late, left], &[])].concat())
            .status
            .code(),
        Some(0)
    );
}

#[test]
fn bad_input_ends_with_one_plain_message() {
    fails(&[1, 2, 3], "3 bytes into a batch's header");
    let whole = up(INFO);
    fails(&whole[..whole.len() - 4], "input ends");
    fails(
        &[[9, 0, 0, 0], [8, 0, 0, 0], [0; 4], [0; 4]].concat(),
        "cannot hold 9 records",
    );
    fails(
        &[[0; 4], [255; 4], [0; 4], [0; 4]].concat(),
        "input ends 0 bytes into a batch",
    );
    fails(
        &batch(5, &[record(&[(0, &[99])])], &[]),
        "unknown event code 99",
    );
    fails(
        &batch(5, &[record(&[(0, &[10]), (11, &[4]), (15, &[9])])], &[]),
        "overruns a tail",
    );
    fails(&accept(3, 0), "instance 3, which is not up");
    fails(&[up(INFO), accept(3, 7)].concat(), "category 7");
    fails(&up("ReplicasOfMe=many\n"), "ReplicasOfMe");
    fails(&up("no pair\n"), "no pair");
}
