//! Guards against members that return to a cluster with many records and do not catch up within the stated time while
//! writes continue.

mod support;
use sagetrail_protocol::control::ControlMessage;
use std::sync::{Arc, Mutex};
use support::cluster::{id, Cluster};
use support::histories::{control, History};
use support::network::{Conditions, FAULT_FREE};
use support::speeds::{Speeds, SMALL_SITE};

/// The time within which a member of a small site has to catch up, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
/// The time within which a member of a grown site has to catch up, in milliseconds.
const GROWN_CATCH_UP_MS: u64 = 6_000;
/// One-way delays of about 15 ms. With these, the transfer of a snapshot takes longer than the time for which an
/// earlier version reused snapshots.
const SLOW_LINKS: Conditions = Conditions {
    delay_us: (14_000, 15_000),
    ..FAULT_FREE
};

fn empty_disks(history: &mut History, members: &[usize], pause_ms: u64) {
    members
        .iter()
        .for_each(|member| history.cluster.wipe(*member));
    history.run(500);
    for member in members {
        history.cluster.start(*member, false);
        history.run(pause_ms);
    }
}

#[test]
fn a_member_whose_snapshot_is_older_than_a_short_batch_window_catches_up_under_load() {
    let mut history = History::new(5, 1, 20_000, 1_000, Some(SMALL_SITE));
    history.rate = 2_000;
    history.run(500);
    let behind = history.followers()[0];
    // The snapshot takes two seconds to be written to this disk. The leader produces 2 MiB of batches in one second.
    let slow = Speeds {
        disk_bytes_per_us: 10,
        ..SMALL_SITE
    };
    history
        .cluster
        .device_queues
        .speed_overrides
        .insert(behind, slow);
    empty_disks(&mut history, &[behind], 0);
    let times = history.catch_up(&[behind], 6_000);
    assert!(times[0].is_some(), "never caught up");
    history.finish("slow disk");
}

/// Counts how often the first chunk of a snapshot is sent from now on.
fn count_first_chunks(history: &mut History) -> Arc<Mutex<usize>> {
    let count = Arc::new(Mutex::new(0));
    let counted = count.clone();
    history.cluster.tamper = Some(Box::new(move |_, _, message| {
        if let Some(ControlMessage::SnapshotChunk(chunk)) = control(message) {
            *counted.lock().unwrap() += usize::from(chunk.index == 0);
        }
        true
    }));
    count
}

#[test]
fn concurrent_snapshot_transfers_do_not_restart_each_other() {
    for (count, lost, limit_ms) in [(5, 2, CATCH_UP_MS), (9, 4, GROWN_CATCH_UP_MS)] {
        let mut history = History::new(count, 2, 20_000, 500, None);
        history.cluster.conditions = SLOW_LINKS;
        history.rate = 500;
        history.run(500);
        // One of the first three members, the seeds, stays: processes with emptied disks contact the seeds.
        let behind = history.followers()[count - lost - 1..].to_vec();
        let first_chunks = count_first_chunks(&mut history);
        empty_disks(&mut history, &behind, 400);
        let times = history.catch_up(&behind, limit_ms);
        assert!(times.iter().all(Option::is_some), "{times:?}");
        assert_eq!(
            *first_chunks.lock().unwrap(),
            lost,
            "a transfer was restarted"
        );
        history.finish("at once");
    }
}

#[test]
fn seeds_that_lost_their_disks_together_rejoin_through_the_leader() {
    let mut history = History::new(9, 6, 1_000, 500, Some(SMALL_SITE));
    history.rate = 500;
    history.run(500);
    let seeds = [0, 1, 2];
    if let Some(leader) = history
        .cluster
        .leader()
        .filter(|leader| seeds.contains(leader))
    {
        history.cluster.kill(leader);
        history.run(2_000);
        history.cluster.start(leader, false);
        history.run(2_000);
    }
    assert!(
        history
            .cluster
            .leader()
            .is_some_and(|leader| !seeds.contains(&leader)),
        "the leader is one of the seeds"
    );
    empty_disks(&mut history, &seeds, 0);
    let times = history.catch_up(&seeds, GROWN_CATCH_UP_MS);
    assert!(times.iter().all(Option::is_some), "{times:?}");
    history.finish("seeds");
}

#[test]
fn a_member_isolated_for_a_second_resumes_its_transfer() {
    let mut history = History::new(5, 5, 20_000, 500, None);
    history.cluster.conditions = SLOW_LINKS;
    history.rate = 200;
    let behind = history.followers()[0];
    let first_chunks = count_first_chunks(&mut history);
    empty_disks(&mut history, &[behind], 0);
    while *first_chunks.lock().unwrap() == 0 {
        history.run(5);
    }
    history.run(300);
    history.cluster.isolate(behind);
    history.run(1_300);
    history.cluster.heal_network();
    let times = history.catch_up(&[behind], CATCH_UP_MS);
    assert!(times[0].is_some(), "never caught up");
    assert_eq!(
        *first_chunks.lock().unwrap(),
        1,
        "the transfer was restarted"
    );
    history.finish("isolated");
}

/// Returns a cluster in which one follower has batches that no other running member has, and the leader is off
/// permanently. Also returns that follower.
fn cluster_with_newest_batches_at_one(seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::bootstrapped(5, seed);
    let leader = cluster.leader().unwrap();
    let holder = (leader + 1) % 5;
    let source = id(holder);
    cluster.tamper = Some(Box::new(move |_, to, message| {
        !matches!(control(message), Some(ControlMessage::RecordBatch(_))) || to == source
    }));
    for request in 1..=20 {
        cluster.submit(leader, request);
        cluster.run(5);
    }
    cluster.power_off(leader);
    (cluster, holder)
}

#[test]
fn a_source_that_dies_after_its_vote_is_replaced() {
    for seed in 0..20 {
        let (mut cluster, holder) = cluster_with_newest_batches_at_one(seed);
        let terms = cluster.terms();
        let source = id(holder);
        let voted = Arc::new(Mutex::new(false));
        let vote = voted.clone();
        cluster.tamper = Some(Box::new(move |from, _, message| match control(message) {
            // The source votes but does not become a candidate, and it sends no snapshot chunk.
            Some(ControlMessage::VoteRequest(_) | ControlMessage::SnapshotChunk(_)) => {
                from != source
            }
            Some(ControlMessage::VoteReply(reply))
                if from == source && reply.granted && !reply.pre_vote =>
            {
                *vote.lock().unwrap() = true;
                true
            }
            // There is no majority without the source.
            Some(ControlMessage::VoteReply(reply)) => reply.pre_vote || *vote.lock().unwrap(),
            _ => true,
        }));
        for _ in 0..4_000 {
            cluster.run(1);
            if *voted.lock().unwrap() {
                break;
            }
        }
        assert!(*voted.lock().unwrap(), "seed {seed}: no vote of the source");
        cluster.run(5);
        cluster.power_off(holder);
        cluster.run(4_000);
        assert!(
            cluster.terms() > terms,
            "seed {seed}: no leader without the source"
        );
        let (leader, acked) = (cluster.leader().unwrap(), cluster.acked());
        cluster.submit(leader, 1_000);
        cluster.run(500);
        assert_eq!(
            cluster.acked(),
            acked + 1,
            "seed {seed}: nothing is acknowledged without the source"
        );
    }
}

#[test]
fn a_transfer_continues_from_another_source_with_the_same_state() {
    let mut history = History::new(5, 3, 20_000, 500, None);
    history.cluster.conditions = SLOW_LINKS;
    let leader = history.cluster.leader().unwrap();
    let behind = history.followers()[0];
    history.cluster.power_off(behind);
    history.rate = 200;
    history.run(500);
    history.rate = 0;
    history.run(500);
    // All other members have the newest state. Only this member may be a candidate, so it has to fetch the term's base.
    history.cluster.start(behind, false);
    history.cluster.isolate(behind);
    history.cluster.power_off(leader);
    let candidate = id(behind);
    let source = Arc::new(Mutex::new(None));
    let seen = source.clone();
    history.cluster.tamper = Some(Box::new(move |from, _, message| match control(message) {
        Some(ControlMessage::VoteRequest(_)) => from == candidate,
        Some(ControlMessage::SnapshotChunk(chunk)) if chunk.index == 3 => {
            seen.lock().unwrap().get_or_insert(from);
            true
        }
        _ => true,
    }));
    history.run(1_000);
    history.cluster.heal_network();
    let terms = history.cluster.terms();
    for _ in 0..800 {
        history.run(5);
        if source.lock().unwrap().is_some() {
            break;
        }
    }
    let source = source
        .lock()
        .unwrap()
        .expect("no snapshot transfer in progress");
    history.cluster.power_off((source.ip - 1) as usize);
    history.run(3_500);
    assert!(history.cluster.terms() > terms, "no leader");
    assert_eq!(history.cluster.leader(), Some(behind));
}

#[test]
fn a_member_frozen_during_a_snapshot_transfer_catches_up() {
    for seed in 0..5 {
        let mut history = History::new(5, 10 + seed, 10_000, 500, None);
        history.cluster.conditions = SLOW_LINKS;
        history.rate = 500;
        history.run(300);
        let behind = history.followers()[seed as usize % 4];
        empty_disks(&mut history, &[behind], 0);
        history.run(1_200 + 50 * seed);
        history.cluster.freeze(behind);
        history.run(2_000 + 500 * seed);
        history.cluster.thaw(behind);
        let times = history.catch_up(&[behind], CATCH_UP_MS);
        assert!(times[0].is_some(), "seed {seed}: never caught up");
        history.finish("frozen");
    }
}

#[test]
fn a_member_frozen_for_seconds_needs_no_snapshot() {
    let mut history = History::new(5, 4, 20_000, 500, Some(SMALL_SITE));
    history.rate = 2_000;
    history.run(300);
    let behind = history.followers()[0];
    history.cluster.freeze(behind);
    history.run(4_500);
    let snapshots = Arc::new(Mutex::new(0));
    let counted = snapshots.clone();
    history.cluster.tamper = Some(Box::new(move |_, _, message| {
        let chunk = matches!(control(message), Some(ControlMessage::SnapshotChunk(_)));
        *counted.lock().unwrap() += usize::from(chunk);
        true
    }));
    history.cluster.thaw(behind);
    let times = history.catch_up(&[behind], CATCH_UP_MS);
    assert!(times[0].is_some(), "never caught up");
    assert_eq!(
        *snapshots.lock().unwrap(),
        0,
        "chunks of a snapshot were sent"
    );
    history.finish("frozen for seconds");
}

#[test]
fn a_vote_reports_only_synced_records() {
    let mut voted = 0;
    for seed in 0..20 {
        let mut cluster = Cluster::bootstrapped(5, 500 + seed);
        let leader = cluster.leader().unwrap();
        let holder = (leader + 1) % 5;
        let voter = id(holder);
        cluster.speeds = Some(SMALL_SITE);
        cluster.device_queues.speed_overrides.insert(
            holder,
            Speeds {
                sync_us: 700_000 + 100_000 * seed,
                ..SMALL_SITE
            },
        );
        let vote = Arc::new(Mutex::new(None));
        let seen = vote.clone();
        cluster.tamper = Some(Box::new(move |from, _, message| match control(message) {
            Some(ControlMessage::VoteRequest(_)) => from != voter,
            Some(ControlMessage::VoteReply(reply))
                if from == voter && reply.granted && !reply.pre_vote =>
            {
                *seen.lock().unwrap() = Some(reply.position);
                true
            }
            _ => true,
        }));
        for request in 1..=50 {
            cluster.submit(leader, request);
            cluster.run(10);
        }
        cluster.power_off(leader);
        for _ in 0..5_000 {
            cluster.run(1);
            let Some(position) = vote.lock().unwrap().take() else {
                continue;
            };
            voted += 1;
            // Each batch of the first term adds at least one record. The base of a later term includes all of them.
            let rows = cluster.machines[holder].disk.records.len() as u64;
            assert!(
                position.term > 1 || rows >= position.number,
                "seed {seed}: {rows} rows with {position:?}"
            );
        }
    }
    assert!(voted >= 10, "{voted} votes");
}

#[test]
fn a_source_that_loses_power_after_its_vote_still_has_the_records_it_reported() {
    for seed in 0..20 {
        let (mut cluster, holder) = cluster_with_newest_batches_at_one(100 + seed);
        let source = id(holder);
        let reported = Arc::new(Mutex::new(None));
        let report = reported.clone();
        cluster.tamper = Some(Box::new(move |from, _, message| match control(message) {
            Some(ControlMessage::VoteRequest(_)) => from != source,
            Some(ControlMessage::VoteReply(reply))
                if from == source && reply.granted && !reply.pre_vote =>
            {
                report.lock().unwrap().get_or_insert(reply.position);
                true
            }
            Some(ControlMessage::VoteReply(reply)) => {
                reply.pre_vote || report.lock().unwrap().is_some()
            }
            _ => true,
        }));
        for _ in 0..4_000 {
            cluster.run(1);
            if reported.lock().unwrap().is_some() {
                break;
            }
        }
        assert!(
            reported.lock().unwrap().is_some(),
            "seed {seed}: no vote of the source"
        );
        let newest = cluster.machines[holder].disk.records.clone();
        cluster.power_off(holder);
        cluster.run(200);
        cluster.start(holder, false);
        cluster.run(4_000);
        assert!(cluster.leader().is_some(), "seed {seed}: no leader");
        let rows = cluster.journal.lock().unwrap().records_restored;
        assert!(
            rows >= newest.len(),
            "seed {seed}: {rows} records restored, expected at least {}",
            newest.len()
        );
    }
}
