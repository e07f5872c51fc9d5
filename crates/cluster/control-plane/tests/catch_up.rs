//! Members that come back to a long history catch up in a stated time, while writes go on.

mod support;
use sagetrail_protocol::control::ControlMessage;
use std::sync::{Arc, Mutex};
use support::histories::{control, History};
use support::speeds::{Speeds, SMALL_SITE};
use support::cluster::{id, Weather, World, CALM};

/// Milliseconds within which a member of a small site has to have caught up.
const CATCH_UP_MS: u64 = 4_000;
/// The same on the grown sites.
const GROWN_CATCH_UP_MS: u64 = 6_000;
/// Ways of 15 ms: the pieces of an image take longer than images were once used again.
const FAR: Weather = Weather {
    delay_us: (14_000, 15_000),
    ..CALM
};

fn emptied(history: &mut History, members: &[usize], pause_ms: u64) {
    members
        .iter()
        .for_each(|member| history.world.wipe(*member));
    history.run(500);
    for member in members {
        history.world.start(*member, false);
        history.run(pause_ms);
    }
}

#[test]
fn a_member_whose_image_is_older_than_a_short_window_catches_up_while_writes_go_on() {
    let mut history = History::new(5, 1, 20_000, 1_000, Some(SMALL_SITE));
    history.rate = 2_000;
    history.run(500);
    let late = history.followers()[0];
    // The image needs two seconds on its way to this disk; the leader makes 2 MiB of batches in one.
    let slow = Speeds {
        disk_bytes_per_us: 10,
        ..SMALL_SITE
    };
    history.world.busy.others.insert(late, slow);
    emptied(&mut history, &[late], 0);
    let times = history.catch_up(&[late], 6_000);
    assert!(times[0].is_some(), "never caught up");
    history.finish("slow disk");
}

/// How often the first piece of an image was sent from now on.
fn count_first_pieces(history: &mut History) -> Arc<Mutex<usize>> {
    let count = Arc::new(Mutex::new(0));
    let counted = count.clone();
    history.world.tamper = Some(Box::new(move |_, _, message| {
        if let Some(ControlMessage::SnapshotChunk(chunk)) = control(message) {
            *counted.lock().unwrap() += usize::from(chunk.index == 0);
        }
        true
    }));
    count
}

#[test]
fn members_that_fetch_at_once_do_not_make_each_other_begin_again() {
    for (count, lost, limit_ms) in [(5, 2, CATCH_UP_MS), (9, 4, GROWN_CATCH_UP_MS)] {
        let mut history = History::new(count, 2, 20_000, 500, None);
        history.world.weather = FAR;
        history.rate = 500;
        history.run(500);
        // One of the first three stays: processes with emptied disks turn to these.
        let late = history.followers()[count - lost - 1..].to_vec();
        let first_pieces = count_first_pieces(&mut history);
        emptied(&mut history, &late, 400);
        let times = history.catch_up(&late, limit_ms);
        assert!(times.iter().all(Option::is_some), "{times:?}");
        assert_eq!(
            *first_pieces.lock().unwrap(),
            lost,
            "one first piece for each"
        );
        history.finish("at once");
    }
}

#[test]
fn seeds_that_lost_their_disks_together_are_found_by_the_leader() {
    let mut history = History::new(9, 6, 1_000, 500, Some(SMALL_SITE));
    history.rate = 500;
    history.run(500);
    let seeds = [0, 1, 2];
    if let Some(leader) = history
        .world
        .leader()
        .filter(|leader| seeds.contains(leader))
    {
        history.world.kill(leader);
        history.run(2_000);
        history.world.start(leader, false);
        history.run(2_000);
    }
    assert!(
        history
            .world
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
fn a_member_that_hears_nothing_for_a_second_goes_on_where_it_was() {
    let mut history = History::new(5, 5, 20_000, 500, None);
    history.world.weather = FAR;
    history.rate = 200;
    let late = history.followers()[0];
    let first_pieces = count_first_pieces(&mut history);
    emptied(&mut history, &[late], 0);
    while *first_pieces.lock().unwrap() == 0 {
        history.run(5);
    }
    history.run(300);
    history.world.cut_off(late);
    history.run(1_300);
    history.world.mend();
    let times = history.catch_up(&[late], CATCH_UP_MS);
    assert!(times[0].is_some(), "never caught up");
    assert_eq!(*first_pieces.lock().unwrap(), 1, "began again");
    history.finish("cut off");
}

/// A world in which one follower has batches that no other live member has, and the leader is gone for good.
fn newest_at_one(seed: u64) -> (World, usize) {
    let mut world = World::founded(5, seed);
    let leader = world.leader().unwrap();
    let holder = (leader + 1) % 5;
    let source = id(holder);
    world.tamper = Some(Box::new(move |_, to, message| {
        !matches!(control(message), Some(ControlMessage::RecordBatch(_))) || to == source
    }));
    for request in 1..=20 {
        world.client(leader, request);
        world.run(5);
    }
    world.power_off(leader);
    (world, holder)
}

#[test]
fn a_source_that_dies_after_its_vote_is_done_without() {
    for seed in 0..20 {
        let (mut world, holder) = newest_at_one(seed);
        let terms = world.terms();
        let source = id(holder);
        let voted = Arc::new(Mutex::new(false));
        let vote = voted.clone();
        world.tamper = Some(Box::new(move |from, _, message| match control(message) {
            // It votes and does not stand itself; not one piece of an image leaves it.
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
            world.run(1);
            if *voted.lock().unwrap() {
                break;
            }
        }
        assert!(*voted.lock().unwrap(), "seed {seed}: no vote of the source");
        world.run(5);
        world.power_off(holder);
        world.run(4_000);
        assert!(
            world.terms() > terms,
            "seed {seed}: nobody schedules without the source"
        );
        let (leader, acked) = (world.leader().unwrap(), world.acked());
        world.client(leader, 1_000);
        world.run(500);
        assert_eq!(
            world.acked(),
            acked + 1,
            "seed {seed}: nothing is kept without the source"
        );
    }
}

#[test]
fn a_source_that_dies_in_the_middle_is_followed_by_another_that_has_the_same_state() {
    let mut history = History::new(5, 3, 20_000, 500, None);
    history.world.weather = FAR;
    let leader = history.world.leader().unwrap();
    let late = history.followers()[0];
    history.world.power_off(late);
    history.rate = 200;
    history.run(500);
    history.rate = 0;
    history.run(500);
    // Everybody but this member has the newest state; it alone may stand, so it has to fetch the term's base.
    history.world.start(late, false);
    history.world.cut_off(late);
    history.world.power_off(leader);
    let candidate = id(late);
    let source = Arc::new(Mutex::new(None));
    let seen = source.clone();
    history.world.tamper = Some(Box::new(move |from, _, message| match control(message) {
        Some(ControlMessage::VoteRequest(_)) => from == candidate,
        Some(ControlMessage::SnapshotChunk(chunk)) if chunk.index == 3 => {
            seen.lock().unwrap().get_or_insert(from);
            true
        }
        _ => true,
    }));
    history.run(1_000);
    history.world.mend();
    let terms = history.world.terms();
    for _ in 0..800 {
        history.run(5);
        if source.lock().unwrap().is_some() {
            break;
        }
    }
    let source = source.lock().unwrap().expect("no image on its way");
    history.world.power_off((source.ip - 1) as usize);
    history.run(3_500);
    assert!(history.world.terms() > terms, "nobody schedules");
    assert_eq!(history.world.leader(), Some(late));
}

#[test]
fn a_member_frozen_in_the_middle_of_an_image_catches_up() {
    for seed in 0..5 {
        let mut history = History::new(5, 10 + seed, 10_000, 500, None);
        history.world.weather = FAR;
        history.rate = 500;
        history.run(300);
        let late = history.followers()[seed as usize % 4];
        emptied(&mut history, &[late], 0);
        history.run(1_200 + 50 * seed);
        history.world.freeze(late);
        history.run(2_000 + 500 * seed);
        history.world.thaw(late);
        let times = history.catch_up(&[late], CATCH_UP_MS);
        assert!(times[0].is_some(), "seed {seed}: never caught up");
        history.finish("frozen");
    }
}

#[test]
fn a_member_frozen_for_seconds_needs_no_image() {
    let mut history = History::new(5, 4, 20_000, 500, Some(SMALL_SITE));
    history.rate = 2_000;
    history.run(300);
    let late = history.followers()[0];
    history.world.freeze(late);
    history.run(4_500);
    let images = Arc::new(Mutex::new(0));
    let counted = images.clone();
    history.world.tamper = Some(Box::new(move |_, _, message| {
        let piece = matches!(control(message), Some(ControlMessage::SnapshotChunk(_)));
        *counted.lock().unwrap() += usize::from(piece);
        true
    }));
    history.world.thaw(late);
    let times = history.catch_up(&[late], CATCH_UP_MS);
    assert!(times[0].is_some(), "never caught up");
    assert_eq!(*images.lock().unwrap(), 0, "pieces of an image were sent");
    history.finish("frozen for seconds");
}

#[test]
fn a_vote_tells_of_nothing_that_is_not_synced() {
    let mut voted = 0;
    for seed in 0..20 {
        let mut world = World::founded(5, 500 + seed);
        let leader = world.leader().unwrap();
        let holder = (leader + 1) % 5;
        let voter = id(holder);
        world.speeds = Some(SMALL_SITE);
        world.busy.others.insert(
            holder,
            Speeds {
                sync_us: 700_000 + 100_000 * seed,
                ..SMALL_SITE
            },
        );
        let vote = Arc::new(Mutex::new(None));
        let seen = vote.clone();
        world.tamper = Some(Box::new(move |from, _, message| match control(message) {
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
            world.client(leader, request);
            world.run(10);
        }
        world.power_off(leader);
        for _ in 0..5_000 {
            world.run(1);
            let Some(position) = vote.lock().unwrap().take() else {
                continue;
            };
            voted += 1;
            // Batches of the first term put one record each at least; a later term's base holds them all.
            let rows = world.machines[holder].disk.records.len() as u64;
            assert!(
                position.term > 1 || rows >= position.number,
                "seed {seed}: {rows} rows with {position:?}"
            );
        }
    }
    assert!(voted >= 10, "{voted} votes");
}

#[test]
fn a_source_that_loses_power_after_its_vote_comes_back_with_what_it_told() {
    for seed in 0..20 {
        let (mut world, holder) = newest_at_one(100 + seed);
        let source = id(holder);
        let told = Arc::new(Mutex::new(None));
        let tell = told.clone();
        world.tamper = Some(Box::new(move |from, _, message| match control(message) {
            Some(ControlMessage::VoteRequest(_)) => from != source,
            Some(ControlMessage::VoteReply(reply))
                if from == source && reply.granted && !reply.pre_vote =>
            {
                tell.lock().unwrap().get_or_insert(reply.position);
                true
            }
            Some(ControlMessage::VoteReply(reply)) => {
                reply.pre_vote || tell.lock().unwrap().is_some()
            }
            _ => true,
        }));
        for _ in 0..4_000 {
            world.run(1);
            if told.lock().unwrap().is_some() {
                break;
            }
        }
        assert!(
            told.lock().unwrap().is_some(),
            "seed {seed}: no vote of the source"
        );
        let newest = world.machines[holder].disk.records.clone();
        world.power_off(holder);
        world.run(200);
        world.start(holder, false);
        world.run(4_000);
        assert!(world.leader().is_some(), "seed {seed}: nobody schedules");
        let rows = world.journal.lock().unwrap().records_restored;
        assert!(
            rows >= newest.len(),
            "seed {seed}: {rows} records after {}",
            newest.len()
        );
    }
}
