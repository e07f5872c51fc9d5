//! Members that come back to a long history catch up in a stated time, while writes go on.

mod support;
use sagetrail_protocol::control::ControlMessage;
use std::sync::{Arc, Mutex};
use support::cluster::{id, Cluster};
use support::histories::{control, History};
use support::network::{Conditions, CALM};
use support::speeds::{Speeds, SMALL_SITE};

/// Milliseconds within which a member of a small site has to have caught up.
const CATCH_UP_MS: u64 = 4_000;
/// The same on the grown sites.
const GROWN_CATCH_UP_MS: u64 = 6_000;
/// Ways of 15 ms: the chunks of a snapshot take longer than snapshots were once used again.
const FAR: Conditions = Conditions {
    delay_us: (14_000, 15_000),
    ..CALM
};

fn emptied(history: &mut History, members: &[usize], pause_ms: u64) {
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
    let late = history.followers()[0];
    // The snapshot needs two seconds on its way to this disk; the leader makes 2 MiB of batches in one.
    let slow = Speeds {
        disk_bytes_per_us: 10,
        ..SMALL_SITE
    };
    history.cluster.busy.others.insert(late, slow);
    emptied(&mut history, &[late], 0);
    let times = history.catch_up(&[late], 6_000);
    assert!(times[0].is_some(), "never caught up");
    history.finish("slow disk");
}

/// How often the first chunk of a snapshot was sent from now on.
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
        history.cluster.conditions = FAR;
        history.rate = 500;
        history.run(500);
        // One of the first three stays: processes with emptied disks turn to these.
        let late = history.followers()[count - lost - 1..].to_vec();
        let first_chunks = count_first_chunks(&mut history);
        emptied(&mut history, &late, 400);
        let times = history.catch_up(&late, limit_ms);
        assert!(times.iter().all(Option::is_some), "{times:?}");
        assert_eq!(
            *first_chunks.lock().unwrap(),
            lost,
            "one first chunk for each"
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
        "no owner besides the seeds"
    );
    emptied(&mut history, &seeds, 0);
    let times = history.catch_up(&seeds, GROWN_CATCH_UP_MS);
    assert!(times.iter().all(Option::is_some), "{times:?}");
    history.finish("seeds");
}

#[test]
fn a_member_isolated_for_a_second_resumes_its_transfer() {
    let mut history = History::new(5, 5, 20_000, 500, None);
    history.cluster.conditions = FAR;
    history.rate = 200;
    let late = history.followers()[0];
    let first_chunks = count_first_chunks(&mut history);
    emptied(&mut history, &[late], 0);
    while *first_chunks.lock().unwrap() == 0 {
        history.run(5);
    }
    history.run(300);
    history.cluster.isolate(late);
    history.run(1_300);
    history.cluster.heal_network();
    let times = history.catch_up(&[late], CATCH_UP_MS);
    assert!(times[0].is_some(), "never caught up");
    assert_eq!(*first_chunks.lock().unwrap(), 1, "began again");
    history.finish("isolated");
}

/// A cluster in which one follower has batches that no other live member has, and the leader is gone for good.
fn newest_at_one(seed: u64) -> (Cluster, usize) {
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
        let (mut cluster, holder) = newest_at_one(seed);
        let terms = cluster.terms();
        let source = id(holder);
        let voted = Arc::new(Mutex::new(false));
        let vote = voted.clone();
        cluster.tamper = Some(Box::new(move |from, _, message| match control(message) {
            // It votes and does not stand itself; not one chunk of a snapshot leaves it.
            Some(ControlMessage::VoteRequest(_) | ControlMessage::SnapshotChunk(_)) => {
                from != source
            }
            Some(ControlMessage::VoteReply(reply))
                if from == source && reply.granted && !reply.pre_vote =>
            {
                *vote.lock().unwrap() = true;
                true
            }
            // No majority is complete without the source.
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
            "seed {seed}: nobody schedules without the source"
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
    history.cluster.conditions = FAR;
    let leader = history.cluster.leader().unwrap();
    let late = history.followers()[0];
    history.cluster.power_off(late);
    history.rate = 200;
    history.run(500);
    history.rate = 0;
    history.run(500);
    // Everybody but this member has the newest state; it alone may stand, so it has to fetch the term's base.
    history.cluster.start(late, false);
    history.cluster.isolate(late);
    history.cluster.power_off(leader);
    let candidate = id(late);
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
    let source = source.lock().unwrap().expect("no snapshot on its way");
    history.cluster.power_off((source.ip - 1) as usize);
    history.run(3_500);
    assert!(history.cluster.terms() > terms, "nobody schedules");
    assert_eq!(history.cluster.leader(), Some(late));
}

#[test]
fn a_member_frozen_during_a_snapshot_transfer_catches_up() {
    for seed in 0..5 {
        let mut history = History::new(5, 10 + seed, 10_000, 500, None);
        history.cluster.conditions = FAR;
        history.rate = 500;
        history.run(300);
        let late = history.followers()[seed as usize % 4];
        emptied(&mut history, &[late], 0);
        history.run(1_200 + 50 * seed);
        history.cluster.freeze(late);
        history.run(2_000 + 500 * seed);
        history.cluster.thaw(late);
        let times = history.catch_up(&[late], CATCH_UP_MS);
        assert!(times[0].is_some(), "seed {seed}: never caught up");
        history.finish("frozen");
    }
}

#[test]
fn a_member_frozen_for_seconds_needs_no_snapshot() {
    let mut history = History::new(5, 4, 20_000, 500, Some(SMALL_SITE));
    history.rate = 2_000;
    history.run(300);
    let late = history.followers()[0];
    history.cluster.freeze(late);
    history.run(4_500);
    let snapshots = Arc::new(Mutex::new(0));
    let counted = snapshots.clone();
    history.cluster.tamper = Some(Box::new(move |_, _, message| {
        let chunk = matches!(control(message), Some(ControlMessage::SnapshotChunk(_)));
        *counted.lock().unwrap() += usize::from(chunk);
        true
    }));
    history.cluster.thaw(late);
    let times = history.catch_up(&[late], CATCH_UP_MS);
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
        cluster.busy.others.insert(
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
            // Batches of the first term put one record each at least; a later term's base holds them all.
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
        let (mut cluster, holder) = newest_at_one(100 + seed);
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
        assert!(cluster.leader().is_some(), "seed {seed}: nobody schedules");
        let rows = cluster.journal.lock().unwrap().records_restored;
        assert!(
            rows >= newest.len(),
            "seed {seed}: {rows} records after {}",
            newest.len()
        );
    }
}
