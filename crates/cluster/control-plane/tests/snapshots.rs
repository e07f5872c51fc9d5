//! Guards against the installation of snapshot chunks that are damaged, outdated or of another term. Such chunks are
//! rejected, and the transfer still completes.

mod support;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::control::{ControlMessage, SnapshotChunk};
use sagetrail_protocol::Blob;
use std::sync::{Arc, Mutex};
use support::histories::{control, History};

const ROWS: usize = 3_000;
const BYTES: usize = 500;
/// The number of chunks that are damaged before the remaining ones arrive unchanged.
const DAMAGED_CHUNKS: usize = 8;

/// Ways in which a chunk is damaged.
const DAMAGES: [fn(&mut SnapshotChunk, &mut Pcg64Mcg); 7] = [
    |chunk, random| {
        let place = random.random_range(0..chunk.entries.0.len());
        let value = &mut chunk.entries.0[place].value.0;
        let byte = random.random_range(0..value.len());
        value[byte] ^= 1 << random.random_range(0..8);
    },
    |chunk, random| {
        let place = random.random_range(0..chunk.entries.0.len());
        chunk.entries.0[place].key = Blob(random.random::<u64>().to_be_bytes().to_vec());
    },
    |chunk, random| {
        let place = random.random_range(0..chunk.entries.0.len());
        drop(chunk.entries.0.remove(place));
    },
    |chunk, random| {
        chunk
            .entries
            .0
            .truncate(random.random_range(0..chunk.entries.0.len()))
    },
    |chunk, _| chunk.last = !chunk.last,
    |chunk, _| chunk.position.number += 1,
    |chunk, random| {
        // The bytes stay the same, and the boundary between key and value moves.
        let place = random.random_range(0..chunk.entries.0.len());
        let entry = &mut chunk.entries.0[place];
        let first = entry.value.0.remove(0);
        entry.key.0.push(first);
    },
];

fn is_chunk(message: &ControlMessage) -> bool {
    matches!(message, ControlMessage::SnapshotChunk(_))
}

/// Empties the disk of a follower and restarts it. `damage_message` may modify all control messages from then on.
fn refill(
    history: &mut History,
    damage_message: impl FnMut(&mut ControlMessage) + 'static,
) -> usize {
    let emptied = history.followers()[0];
    let mut damage_message = damage_message;
    history.cluster.tamper = Some(Box::new(move |_, _, message| {
        if let Some(message) = control(message) {
            damage_message(message);
        }
        true
    }));
    history.cluster.wipe(emptied);
    history.run(300);
    history.cluster.start(emptied, false);
    emptied
}

/// Applies a function to the snapshot chunks only.
fn on_chunks(
    mut damage_message: impl FnMut(&mut SnapshotChunk) + 'static,
) -> impl FnMut(&mut ControlMessage) + 'static {
    move |message| {
        if let ControlMessage::SnapshotChunk(chunk) = message {
            damage_message(chunk);
        }
    }
}

#[test]
fn a_damaged_chunk_is_rejected_and_the_transfer_restarts() {
    for (kind, damage) in DAMAGES.into_iter().enumerate() {
        for seed in 0..10 {
            let context = format!("damage {kind}, seed {seed}");
            let mut history = History::new(3, seed, ROWS, BYTES, None);
            history.rate = 100;
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            let mut left = DAMAGED_CHUNKS;
            let damage_message = on_chunks(move |chunk| {
                if left > 0 && random.random_bool(0.3) {
                    left -= 1;
                    damage(chunk, &mut random);
                }
            });
            let emptied = refill(&mut history, damage_message);
            let times = history.catch_up(&[emptied], 8_000);
            assert!(times[0].is_some(), "{context}: never caught up");
            history.finish(&context);
        }
    }
}

#[test]
fn chunks_of_two_snapshots_are_not_mixed() {
    for seed in 0..10 {
        let mut history = History::new(3, 50 + seed, ROWS, BYTES, None);
        history.rate = 500;
        let old = first_transfer(&mut history);
        // Some chunks of the next snapshot are given the entries and the checksum of the first snapshot, which was
        // valid too.
        let mut left = DAMAGED_CHUNKS;
        let damage_message = on_chunks(move |chunk| {
            let other = old.iter().find(|chunk| chunk.index == chunk.index);
            if let Some(other) = other.filter(|_| left > 0 && chunk.index % 2 == 1) {
                left -= 1;
                chunk.entries = other.entries.clone();
                chunk.checksum = other.checksum;
            }
        });
        let emptied = refill(&mut history, damage_message);
        assert!(
            history.catch_up(&[emptied], 8_000)[0].is_some(),
            "seed {seed}: never caught up"
        );
        history.finish(&format!("seed {seed}"));
    }
}

/// Replaces the next chunks by the requested chunks of an earlier transfer. Only their term is changed.
fn replay(old: Vec<SnapshotChunk>) -> impl FnMut(&mut ControlMessage) {
    let mut left = old.len();
    let mut wanted = 0;
    move |message| match message {
        ControlMessage::FetchSnapshot(fetch) => {
            wanted = if fetch.position == old[0].position {
                fetch.index as usize
            } else {
                0
            };
        }
        ControlMessage::SnapshotChunk(chunk) if left > 0 => {
            left -= 1;
            let term = chunk.term;
            *chunk = SnapshotChunk {
                term,
                ..old[wanted].clone()
            };
        }
        _ => {}
    }
}

/// Empties the disk of a follower, lets it catch up, and returns the chunks that were sent to it.
fn first_transfer(history: &mut History) -> Vec<SnapshotChunk> {
    let received: Arc<Mutex<Vec<SnapshotChunk>>> = Arc::default();
    let sent = received.clone();
    let emptied = refill(
        history,
        on_chunks(move |chunk| sent.lock().unwrap().push(chunk.clone())),
    );
    assert!(
        history.catch_up(&[emptied], 8_000)[0].is_some(),
        "the first transfer did not complete"
    );
    history.cluster.tamper = None;
    let chunks = received.lock().unwrap().clone();
    assert!(chunks.last().is_some_and(|chunk| chunk.last), "no transfer");
    chunks
}

/// Runs the cluster and checks that a member has either no records or at least `min_records` records on disk.
fn assert_records_never_shrink(
    history: &mut History,
    member: usize,
    min_records: usize,
    millis: u64,
    context: &str,
) {
    for _ in 0..millis / 5 {
        history.run(5);
        let rows = history.cluster.machines[member].disk.records.len();
        assert!(
            rows == 0 || rows >= min_records,
            "{context}: {rows} records, expected at least {min_records}"
        );
    }
}

#[test]
fn a_member_that_lost_its_disk_installs_no_snapshot_older_than_what_it_acknowledged() {
    for seed in 0..10 {
        let mut history = History::new(3, 100 + seed, ROWS, BYTES, None);
        history.rate = 200;
        let old = first_transfer(&mut history);
        history.run(1_000);
        let emptied = history.followers()[0];
        let min_records = history.cluster.machines[emptied].disk.records.len();
        refill(&mut history, replay(old));
        assert_records_never_shrink(
            &mut history,
            emptied,
            min_records,
            4_000,
            &format!("seed {seed}"),
        );
        history.finish(&format!("seed {seed}"));
    }
}

#[test]
fn a_member_with_its_disk_installs_no_snapshot_older_than_its_own_state() {
    for seed in 0..10 {
        let mut history = History::new(3, 200 + seed, ROWS, BYTES, None);
        history.rate = 500;
        let old = first_transfer(&mut history);
        history.run(500);
        let behind = history.followers()[0];
        // Batches to this member are lost, so that it has to fetch a snapshot. It is sent the old one.
        let name = history.cluster.machines[behind].id;
        let mut damage_message = replay(old);
        let mut batches_lost = 400;
        history.cluster.tamper = Some(Box::new(move |_, to, message| {
            let Some(message) = control(message) else {
                return true;
            };
            damage_message(message);
            let lost =
                to == name && batches_lost > 0 && matches!(message, ControlMessage::RecordBatch(_));
            batches_lost -= usize::from(lost);
            !lost
        }));
        let min_records = history.cluster.machines[behind].disk.records.len();
        assert_records_never_shrink(
            &mut history,
            behind,
            min_records,
            4_000,
            &format!("seed {seed}"),
        );
        history.finish(&format!("seed {seed}"));
    }
}

#[test]
fn a_snapshot_of_another_term_is_rejected() {
    for seed in 0..10 {
        let mut history = History::new(3, 300 + seed, ROWS, BYTES, None);
        history.rate = 200;
        let old = first_transfer(&mut history);
        let leader = history.cluster.leader().unwrap();
        history.cluster.kill(leader);
        history.run(2_500);
        history.cluster.start(leader, false);
        history.run(1_000);
        assert!(
            old[0].position.term
                < history
                    .cluster
                    .journal
                    .lock()
                    .unwrap()
                    .terms
                    .last()
                    .unwrap()
                    .0
        );
        let emptied = history.followers()[0];
        let min_records = history.cluster.machines[emptied].disk.records.len();
        refill(&mut history, replay(old));
        assert_records_never_shrink(
            &mut history,
            emptied,
            min_records,
            4_000,
            &format!("seed {seed}"),
        );
        history.finish(&format!("seed {seed}"));
    }
}

#[test]
fn no_chunk_is_sent_to_a_member_that_has_all_records() {
    let mut history = History::new(3, 400, ROWS, BYTES, None);
    history.rate = 1_000;
    let count = Arc::new(Mutex::new(0));
    let counter = count.clone();
    history.cluster.tamper = Some(Box::new(move |_, _, message| {
        *counter.lock().unwrap() +=
            usize::from(control(message).is_some_and(|control| is_chunk(control)));
        true
    }));
    history.run(5_000);
    assert_eq!(*count.lock().unwrap(), 0);
    history.finish("without faults");
}
