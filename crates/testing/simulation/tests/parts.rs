//! The parts of the simulated cluster by themselves.

use sagetrail_protocol::node::{DiskOperation, DiskWrite, Table};
use sagetrail_protocol::{NodeId, Time};
use sagetrail_simulation::disk::{Disk, DiskSpeed};
use sagetrail_simulation::engine::{Chance, Queue, MILLISECOND, SECOND};
use sagetrail_simulation::gang::{GangPlan, GangRun, GangTable};
use sagetrail_simulation::job::{StepName, TaskName};
use sagetrail_simulation::network::{Direction, LinkQuality, Network};
use sagetrail_simulation::process::ProcessClock;

fn node(number: u32) -> NodeId {
    NodeId {
        ip: number,
        port: 1,
    }
}

fn put(number: u8) -> DiskWrite {
    let operation = DiskOperation::Put {
        table: Table::Records,
        key: vec![number],
        value: vec![number],
    };
    DiskWrite {
        operations: vec![operation],
        send_when_synced: Vec::new(),
        token: Some(u64::from(number)),
    }
}

#[test]
fn events_come_by_time_and_then_in_order() {
    let mut queue = Queue::default();
    queue.schedule(20, 'c');
    queue.schedule(10, 'a');
    queue.schedule(10, 'b');
    let order: Vec<char> = std::iter::from_fn(|| queue.next_until(15)).collect();
    assert_eq!(order, ['a', 'b']);
    assert_eq!(queue.now(), 10);
    assert_eq!(queue.next_until(30), Some('c'));
}

#[test]
fn a_sync_covers_what_was_asked_for_before_it() {
    let mut chance = Chance::new(1);
    let mut disk = Disk::new(DiskSpeed {
        sync: 6 * MILLISECOND,
        jitter: 1,
    });
    disk.write(put(1));
    assert_eq!(disk.start_sync(0, &mut chance), Some(6 * MILLISECOND));
    disk.write(put(2));
    assert_eq!(disk.start_sync(1, &mut chance), None);
    let told: Vec<Option<u64>> = disk
        .end_sync()
        .into_iter()
        .map(|write| write.token)
        .collect();
    assert_eq!(told, [Some(1)]);
    assert_eq!(disk.image().records, [(vec![1], vec![1])]);
}

#[test]
fn a_crash_keeps_a_first_part_of_what_was_asked_for() {
    let mut lengths = std::collections::BTreeSet::new();
    for seed in 0..50 {
        let mut chance = Chance::new(seed);
        let mut disk = Disk::new(DiskSpeed::default());
        (1..=3).for_each(|number| disk.write(put(number)));
        disk.crash(&mut chance);
        let kept: Vec<u8> = disk
            .image()
            .records
            .into_iter()
            .map(|(key, _)| key[0])
            .collect();
        assert_eq!(kept, (1..=kept.len() as u8).collect::<Vec<u8>>());
        lengths.insert(kept.len());
    }
    assert_eq!(lengths.into_iter().collect::<Vec<usize>>(), [0, 1, 2, 3]);
}

#[test]
fn a_wiped_disk_is_empty() {
    let mut chance = Chance::new(1);
    let mut disk = Disk::new(DiskSpeed::default());
    disk.write(put(1));
    disk.start_sync(0, &mut chance);
    disk.end_sync();
    disk.wipe();
    assert_eq!(disk.image().records, []);
}

#[test]
fn a_stalled_disk_syncs_after_its_stall() {
    let mut chance = Chance::new(1);
    let mut disk = Disk::new(DiskSpeed {
        sync: 6 * MILLISECOND,
        jitter: 1,
    });
    disk.stall(SECOND);
    disk.write(put(1));
    assert_eq!(
        disk.start_sync(0, &mut chance),
        Some(SECOND + 6 * MILLISECOND)
    );
}

#[test]
fn a_cut_in_one_direction_leaves_the_other() {
    let mut network = Network::new(LinkQuality {
        loss: 0.0,
        ..LinkQuality::default()
    });
    let there = Direction {
        from: node(1),
        to: node(2),
    };
    let back = Direction {
        from: node(2),
        to: node(1),
    };
    network.cut(there);
    network.cut(there);
    network.join(there);
    let mut chance = Chance::new(1);
    assert!(network.arrivals(0, there, &mut chance).is_empty());
    assert!(!network.arrivals(0, back, &mut chance).is_empty());
    network.join(there);
    assert!(!network.arrivals(0, there, &mut chance).is_empty());
}

#[test]
fn an_isolated_process_reaches_itself_alone() {
    let mut network = Network::new(LinkQuality::default());
    network.isolate(node(1), true);
    assert!(!network.passes(Direction {
        from: node(1),
        to: node(2)
    }));
    assert!(!network.passes(Direction {
        from: node(2),
        to: node(1)
    }));
    assert!(network.passes(Direction {
        from: node(1),
        to: node(1)
    }));
}

#[test]
fn messages_may_overtake_each_other_and_come_twice() {
    let quality = LinkQuality {
        loss: 0.2,
        duplicates: 0.2,
        ..LinkQuality::default()
    };
    let network = Network::new(quality);
    let mut chance = Chance::new(3);
    let direction = Direction {
        from: node(1),
        to: node(2),
    };
    let arrivals: Vec<Vec<u64>> = (0..200)
        .map(|at| network.arrivals(at, direction, &mut chance))
        .collect();
    assert!(arrivals.iter().any(Vec::is_empty));
    assert!(arrivals.iter().any(|one| one.len() == 2));
    let firsts: Vec<u64> = arrivals
        .iter()
        .filter_map(|one| one.first().copied())
        .collect();
    assert!(firsts.windows(2).any(|pair| pair[0] > pair[1]));
}

#[test]
fn a_steady_clock_starts_at_zero_and_its_wakes_are_not_early() {
    for fast_ppm in [-20_000, -1_000, 0, 1_000, 20_000] {
        let clock = ProcessClock {
            started: 5 * SECOND,
            fast_ppm,
            wall_ahead_ms: 0,
        };
        assert_eq!(clock.read(5 * SECOND).steady, Time(0));
        let due = Time(100 * SECOND);
        let at = clock.true_time(due);
        assert!(clock.read(at).steady >= due);
        assert!(clock.read(at - 2).steady < due);
    }
}

#[test]
fn a_gang_begins_with_its_last_member_and_breaks_with_the_first_to_go() {
    let step = StepName {
        job: "j".into(),
        time: 0,
        step: 0,
    };
    let run = GangRun { step, attempt: 1 };
    let plan = GangPlan {
        members: 2,
        lasts: SECOND,
        fails: false,
    };
    let mut board = GangTable::default();
    board.join(10, &run, 0, plan);
    assert_eq!(board.course(&run), None);
    board.join(20, &run, 1, plan);
    assert_eq!(
        board.course(&run).map(|course| course.ends),
        Some(SECOND + 20)
    );
    board.leave(30, &run);
    assert!(board.is_broken(&run));
}

#[test]
fn tasks_are_named_as_on_the_wire() {
    let name = "5c0e7a21d94b36f8.0.1.17";
    let task = TaskName::parse(name).expect("a task's name");
    assert_eq!(task.to_string(), name);
    assert_eq!((task.time, task.step, task.index), (0, 1, 17));
    assert_eq!(TaskName::parse("5c0e.0.1"), None);
    assert_eq!(TaskName::parse("5c0e.0.1.2.3"), None);
}
