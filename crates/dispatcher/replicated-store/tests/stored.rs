//! What a store keeps in its folder: files that an earlier build wrote are read as they were meant, and a build writes
//! the same bytes today.
//!
//! `fixtures/every-record` is a log with each kind of record; `fixtures/log` and `fixtures/merged` come from `play`,
//! a member that agrees with itself on everything that can be agreed, across a snapshot. Where a format has to change
//! on purpose, `WRITE_STORED=1 cargo test -p sagetrail-replicated-store --test stored` writes them again; what changed then
//! stands in the commit, with how a member reads the older files. The record of hand-offs is not on disk.

use sagetrail_raft::{
    DiskRecord, DiskWatermark, Entry, EntryPayload, LogPosition, Snapshot, Timing, Voter,
};
use sagetrail_replicated_store::{
    begin, open, record, About, Held, Item, Key, Node, NodeConfig, Op, Said, Stamp, Version,
};
use std::path::PathBuf;

const FLEET: &str = "stored";
const ME: u64 = 0x11;
const OTHER: u64 = 0x22;
const DISK: u64 = 0x3333;
const BIRTH: u64 = 0x77;
const LATER_BIRTH: u64 = 0x88;
/// More than are kept to go back to.
const SETTINGS: u64 = 10;
/// Enough proposals for a snapshot; more follow it in the log.
const WORDS: u64 = 250;
const NOW: f64 = 100.0;
const MARKS_S: f64 = 60.0;

fn fleet() -> u32 {
    crc32fast::hash(FLEET.as_bytes())
}

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn stored(name: &str) -> Vec<u8> {
    std::fs::read(fixture(name)).unwrap()
}

/// What is written today is what is stored.
fn check_written(name: &str, bytes: &[u8]) {
    if std::env::var_os("WRITE_STORED").is_some() {
        std::fs::create_dir_all(fixture("")).unwrap();
        std::fs::write(fixture(name), bytes).unwrap();
    }
    let stored = stored(name);
    let differs = bytes.iter().zip(&stored).position(|(a, b)| a != b);
    assert_eq!(differs, None, "{name}: the first byte that differs");
    assert_eq!(bytes.len(), stored.len(), "{name}");
}

fn every_record() -> Vec<DiskRecord> {
    let voter = |member, disk| Voter { member, disk };
    let snapshot = Snapshot {
        position: LogPosition {
            index: 300,
            term: 4,
            chain: 0x0123_4567_89ab_cdef,
        },
        voters: vec![voter(ME, DISK), voter(OTHER, 0x4444)],
        state: b"state".to_vec(),
    };
    let noop = Entry::after(&snapshot.position, 5, EntryPayload::Noop);
    let voters = EntryPayload::Voters(vec![voter(OTHER, 0x5555)]);
    let voters = Entry::after(&noop.position, 6, voters);
    let command = EntryPayload::Command(b"command".to_vec());
    let command = Entry::after(&voters.position, 7, command);
    vec![
        DiskRecord::Term {
            term: 4,
            vote: None,
        },
        DiskRecord::Term {
            term: 5,
            vote: Some(OTHER),
        },
        DiskRecord::Snapshot(snapshot),
        DiskRecord::Entry(noop),
        DiskRecord::Entry(voters),
        DiskRecord::Entry(command),
        DiskRecord::Truncate { from: 302 },
        DiskRecord::Watermarks(vec![
            DiskWatermark {
                disk: 0x4444,
                records_written: 12,
            },
            DiskWatermark {
                disk: 0x5555,
                records_written: 13,
            },
        ]),
    ]
}

#[test]
fn every_kind_of_record_is_written_and_read_as_stored() {
    let mut bytes = begin(fleet(), ME, DISK, 1_000);
    every_record()
        .iter()
        .for_each(|rec| bytes.extend(record(rec)));
    check_written("every-record", &bytes);
    let stored = stored("every-record");
    let records = every_record();
    let held = Held::Whole {
        disk: DISK,
        written: 1_000 + records.len() as u64,
        recs: records,
        upto: stored.len(),
    };
    assert_eq!(open(&stored, fleet(), ME), held);
}

/// The member with what a log holds.
fn member(records: Vec<DiskRecord>, disk: u64, written: u64, birth: u64) -> Node {
    let config = NodeConfig {
        fleet: FLEET.to_string(),
        me: ME,
        members: vec![ME, OTHER],
        initial_voters: vec![ME],
        timing: Timing {
            heartbeat_s: 0.05,
            election_timeout_s: 0.5,
        },
        incarnation: birth,
        birth,
        disk,
        records,
        written,
        marks_s: MARKS_S,
        records_s: 6.0,
    };
    Node::new(config, NOW)
}

/// A member, its log as it lies on disk, and its clock.
struct Host {
    node: Node,
    log: Vec<u8>,
    now: f64,
}

impl Host {
    fn new(node: Node, log: Vec<u8>) -> Host {
        Host {
            node,
            log,
            now: NOW,
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.01;
            self.node.tick(self.now);
            while let Some(batch) = self.node.next_batch() {
                if batch.rewrite {
                    self.log.clear();
                }
                self.log.extend(&batch.bytes);
                self.node.persisted(self.now, batch.position);
            }
        }
    }

    /// Whether it was taken.
    fn agree(&mut self, op: Op) -> bool {
        let no = self.node.propose(self.now, op).unwrap();
        for _ in 0..500 {
            if let Some(taken) = self.node.done(no) {
                return taken;
            }
            self.run(0.01);
        }
        panic!("not agreed");
    }
}

fn settings(version: u64) -> String {
    format!("settings {version}")
}

fn other_key(name: &str) -> Key {
    Key {
        owner: OTHER,
        name: name.to_string(),
    }
}

fn stamp(version: u64) -> Stamp {
    Stamp {
        incarnation: 5,
        version,
    }
}

fn waiting() -> [About; 2] {
    [
        About::Runner("waits".to_string()),
        About::Dispatcher("waits".to_string()),
    ]
}

/// Settings, words, loans and voters are agreed; merged state has values and marks of its own and of another.
fn play() -> Host {
    let mut host = Host::new(
        member(Vec::new(), DISK, 0, BIRTH),
        begin(fleet(), ME, DISK, 0),
    );
    host.run(3.0);
    for on in 0..SETTINGS {
        let text = settings(on + 1);
        assert!(host.agree(Op::Settings { text, on }));
    }
    let word = |about: About, out: bool| Op::Word {
        about,
        out,
        seen: 0,
    };
    // These are in the snapshot.
    let about = About::Runner("held-out".to_string());
    assert!(host.agree(word(about, true)));
    assert!(host.agree(Op::Lends {
        who: OTHER,
        yes: false
    }));
    assert!(host.agree(Op::Voters(vec![ME])));
    for number in 0..WORDS {
        let about = About::Runner("runner".to_string());
        assert!(host.agree(word(about, number % 2 == 0)));
    }
    // Behind the snapshot.
    let about = About::Dispatcher("dispatcher".to_string());
    assert!(host.agree(word(about, true)));
    assert!(host.agree(Op::Lends {
        who: 0x33,
        yes: false
    }));
    assert!(host.agree(Op::Voters(vec![ME])));
    let text = "of a version that is gone".to_string();
    assert!(!host.agree(Op::Settings { text, on: 3 }));
    let merged = &mut host.node.merged;
    assert!(merged.put(host.now, "kept", Some(b"value".to_vec())));
    assert!(merged.put(host.now, "dropped", Some(b"gone".to_vec())));
    assert!(merged.put(host.now, "dropped", None));
    for (version, name, value) in [
        (7, "theirs", Some(b"their value".to_vec())),
        (8, "theirs-dropped", None),
    ] {
        let stamp = stamp(version);
        merged.join(host.now, other_key(name), Item { stamp, value });
    }
    // Said and not agreed yet.
    for about in waiting() {
        host.node.word(host.now, about, true).unwrap();
    }
    host
}

#[test]
fn the_same_play_writes_the_same_files() {
    let host = play();
    check_written("log", &host.log);
    check_written("merged", &host.node.merged.write());
}

/// The member on the stored log.
fn restarted() -> Host {
    let log = stored("log");
    let Held::Whole {
        disk,
        recs,
        written,
        upto,
    } = open(&log, fleet(), ME)
    else {
        panic!("the stored log is whole");
    };
    assert_eq!((disk, upto), (DISK, log.len()));
    assert!(recs
        .iter()
        .any(|record| matches!(record, DiskRecord::Snapshot(_))));
    assert!(recs
        .iter()
        .any(|record| matches!(record, DiskRecord::Entry(_))));
    Host::new(member(recs, disk, written, LATER_BIRTH), log)
}

fn check_facts(node: &Node) {
    let facts = &node.facts;
    let versions: Vec<Version> = (SETTINGS - 7..=SETTINGS)
        .map(|no| Version {
            no,
            text: settings(no),
            by: ME,
        })
        .collect();
    assert_eq!(facts.versions, versions);
    assert_eq!(facts.settings(), settings(SETTINGS));
    let words: Vec<(&About, &Vec<Said>)> = facts.words.iter().collect();
    let (runner, dispatcher) = (
        About::Runner("held-out".to_string()),
        About::Dispatcher("dispatcher".to_string()),
    );
    let said = |at| {
        vec![Said {
            out: true,
            at,
            by: ME,
        }]
    };
    let first_word = FIRST_PROPOSAL + SETTINGS;
    assert_eq!(
        words,
        [
            (&runner, &said(first_word)),
            (&dispatcher, &said(first_word + 3 + WORDS))
        ]
    );
    assert_eq!(facts.voters, [ME]);
    let no_loans: Vec<u64> = facts.no_loans.iter().copied().collect();
    assert_eq!(no_loans, [OTHER, 0x33]);
    let last = SETTINGS + WORDS + 7;
    assert_eq!(facts.done(ME, BIRTH, last), Some(false));
    assert_eq!(facts.done(ME, BIRTH, last - 1), None);
    assert!(facts.agreed_from(ME, BIRTH, last));
}

/// The place of the first proposal in the log, behind the voters and the leader's own entries.
const FIRST_PROPOSAL: u64 = 3;

#[test]
fn what_was_agreed_is_taken_up_and_the_next_is_agreed() {
    let mut host = restarted();
    // Before it leads again it holds out whoever may be out.
    let out = |node: &Node| -> Vec<About> {
        node.all_out().into_iter().map(|(about, _)| about).collect()
    };
    let held_out = [
        About::Runner("held-out".to_string()),
        About::Dispatcher("dispatcher".to_string()),
    ];
    for about in &held_out {
        assert!(out(&host.node).contains(about), "{about:?}");
    }
    host.run(3.0);
    assert_eq!(host.node.disk(), DISK);
    assert_eq!(host.node.fault(), None);
    check_facts(&host.node);
    assert_eq!(out(&host.node), held_out);
    let text = settings(SETTINGS + 1);
    assert!(host.agree(Op::Settings {
        text: text.clone(),
        on: SETTINGS,
    }));
    let Held::Whole {
        disk,
        recs,
        written,
        ..
    } = open(&host.log, fleet(), ME)
    else {
        panic!("the log is whole");
    };
    let mut again = Host::new(member(recs, disk, written, LATER_BIRTH + 1), host.log);
    again.run(3.0);
    assert_eq!(again.node.facts.settings(), text);
}

#[test]
fn merged_state_is_taken_up_and_goes_on() {
    let mut host = restarted();
    let merged = &mut host.node.merged;
    assert!(merged.take_up(NOW, &stored("merged"), 1.0));
    assert_eq!(merged.get(ME, "kept"), Some(&b"value"[..]));
    assert_eq!(merged.get(OTHER, "theirs"), Some(&b"their value"[..]));
    assert_eq!(merged.get(ME, "dropped"), None);
    // Its own goes on under this process's stamps, without a mark of what it had dropped.
    assert_eq!(merged.count(), (5, 1));
    let lasts: Vec<(u64, Stamp)> = merged
        .digest()
        .iter()
        .map(|digest| (digest.owner, digest.last))
        .collect();
    let mine = Stamp {
        incarnation: LATER_BIRTH,
        version: 3,
    };
    assert_eq!(lasts, [(ME, mine), (OTHER, stamp(8))]);
    // What is older than the stored mark does not come back; what is newer is taken.
    let older = Item {
        stamp: stamp(6),
        value: Some(b"older".to_vec()),
    };
    merged.join(NOW, other_key("theirs-dropped"), older);
    assert_eq!(merged.get(OTHER, "theirs-dropped"), None);
    let newer = Item {
        stamp: stamp(9),
        value: Some(b"newer".to_vec()),
    };
    merged.join(NOW, other_key("theirs"), newer);
    assert_eq!(merged.get(OTHER, "theirs"), Some(&b"newer"[..]));
    assert!(merged.put(NOW, "kept", Some(b"next".to_vec())));
    let copy = merged.write();
    assert!(merged.take_up(NOW, &copy, 1.0));
    assert_eq!(merged.get(ME, "kept"), Some(&b"next"[..]));
}

#[test]
fn words_that_wait_in_merged_state_hold_and_are_agreed() {
    let mut host = restarted();
    assert!(host.node.merged.take_up(NOW, &stored("merged"), 1.0));
    let out = host.node.all_out();
    for about in waiting() {
        assert!(out.contains(&(about.clone(), false)), "{about:?}");
    }
    host.run(5.0);
    let out = host.node.all_out();
    for about in waiting() {
        assert!(out.contains(&(about.clone(), true)), "{about:?}");
    }
}
