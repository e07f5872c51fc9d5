//! Guards against changes of the files in a store's folder: files that an earlier build wrote must decode to the same
//! state, and the present build must write the same bytes.
//!
//! `fixtures/every-record` is a journal with each kind of record. `fixtures/log` and `fixtures/merged` are written by
//! `run_scenario`, in which a single voter commits each kind of command, before and after a snapshot. If a format has
//! to change on purpose, `WRITE_STORED=1 cargo test -p sagetrail-replicated-store --test stored` writes the fixtures
//! again; the commit then describes the change, and how a member reads the older files. Records of work items are not
//! on disk.

use sagetrail_raft::{
    DiskRecord, DiskWatermark, Entry, EntryPayload, LogPosition, Snapshot, Timing, Voter,
};
use sagetrail_replicated_store::{
    decode_journal, encode_header, encode_record, ActiveOverride, Command, Item, ItemCounts,
    Journal, Key, Node, NodeConfig, OperatorOverride, OverrideTarget, SettingsVersion, Stamp,
};
use std::path::PathBuf;

const FLEET: &str = "stored";
const ME: u64 = 0x11;
const OTHER: u64 = 0x22;
const DISK: u64 = 0x3333;
const PROCESS: u64 = 0x77;
const LATER_PROCESS: u64 = 0x88;
/// Number of committed versions of the settings: more than the number that is kept for a rollback.
const SETTINGS_VERSIONS: u64 = 10;
/// Number of overrides of one target: enough entries for a snapshot, which more entries follow.
const OVERRIDE_COUNT: u64 = 250;
const NOW_S: f64 = 100.0;
const TOMBSTONE_RETENTION_S: f64 = 60.0;

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

/// Checks that the bytes equal the stored file.
fn check_stored(name: &str, bytes: &[u8]) {
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
fn every_kind_of_record_encodes_to_and_decodes_from_the_stored_journal() {
    let mut bytes = encode_header(fleet(), ME, DISK, 1_000);
    every_record()
        .iter()
        .for_each(|record| bytes.extend(encode_record(record)));
    check_stored("every-record", &bytes);
    let stored = stored("every-record");
    let records = every_record();
    let journal = Journal {
        disk: DISK,
        records_written: 1_000 + records.len() as u64,
        records,
        valid_bytes: stored.len(),
    };
    assert_eq!(decode_journal(&stored, fleet(), ME), Ok(Some(journal)));
}

/// Creates the member with the content of a journal.
fn member(records: Vec<DiskRecord>, disk: u64, records_written: u64, process: u64) -> Node {
    let config = NodeConfig {
        fleet: FLEET.to_string(),
        member: ME,
        members: vec![ME, OTHER],
        initial_voters: vec![ME],
        timing: Timing {
            heartbeat_s: 0.05,
            election_timeout_s: 0.5,
        },
        incarnation: process,
        process,
        disk,
        records,
        records_written,
        tombstone_retention_s: TOMBSTONE_RETENTION_S,
        record_retention_s: 6.0,
    };
    Node::new(config, NOW_S)
}

/// A member, the content of its journal on disk, and its clock in seconds.
struct Host {
    node: Node,
    log: Vec<u8>,
    now_s: f64,
}

impl Host {
    fn new(node: Node, log: Vec<u8>) -> Host {
        Host {
            node,
            log,
            now_s: NOW_S,
        }
    }

    fn run(&mut self, duration_s: f64) {
        let end_s = self.now_s + duration_s;
        while self.now_s < end_s {
            self.now_s += 0.01;
            self.node.tick(self.now_s);
            while let Some(batch) = self.node.next_batch() {
                if batch.rewrite {
                    self.log.clear();
                }
                self.log.extend(&batch.bytes);
                self.node.persisted(self.now_s, batch.position);
            }
        }
    }

    /// Commits a command. Returns whether it was accepted.
    fn commit(&mut self, command: Command) -> bool {
        let sequence = self.node.propose(self.now_s, command).unwrap();
        for _ in 0..500 {
            if let Some(is_accepted) = self.node.proposal_outcome(sequence) {
                return is_accepted;
            }
            self.run(0.01);
        }
        panic!("proposal not committed within 5 s");
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

fn pending_targets() -> [OverrideTarget; 2] {
    [
        OverrideTarget::Runner("waits".to_string()),
        OverrideTarget::Dispatcher("waits".to_string()),
    ]
}

/// Commits settings, overrides, lending and voters. The merged state has values and tombstones of this member and of
/// another member.
fn run_scenario() -> Host {
    let mut host = Host::new(
        member(Vec::new(), DISK, 0, PROCESS),
        encode_header(fleet(), ME, DISK, 0),
    );
    host.run(3.0);
    for base_version in 0..SETTINGS_VERSIONS {
        let text = settings(base_version + 1);
        assert!(host.commit(Command::Settings { text, base_version }));
    }
    let set_override = |target: OverrideTarget, out_of_service: bool| Command::Override {
        target,
        out_of_service,
        seen_index: 0,
    };
    // The snapshot includes these commands.
    let target = OverrideTarget::Runner("held-out".to_string());
    assert!(host.commit(set_override(target, true)));
    assert!(host.commit(Command::Lending {
        member: OTHER,
        enabled: false
    }));
    assert!(host.commit(Command::Voters(vec![ME])));
    for number in 0..OVERRIDE_COUNT {
        let target = OverrideTarget::Runner("runner".to_string());
        assert!(host.commit(set_override(target, number % 2 == 0)));
    }
    // These entries follow the snapshot.
    let target = OverrideTarget::Dispatcher("dispatcher".to_string());
    assert!(host.commit(set_override(target, true)));
    assert!(host.commit(Command::Lending {
        member: 0x33,
        enabled: false
    }));
    assert!(host.commit(Command::Voters(vec![ME])));
    let text = "of a version that is gone".to_string();
    assert!(!host.commit(Command::Settings {
        text,
        base_version: 3
    }));
    let merged = &mut host.node.merged;
    assert!(merged.put(host.now_s, "kept", Some(b"value".to_vec())));
    assert!(merged.put(host.now_s, "dropped", Some(b"gone".to_vec())));
    assert!(merged.put(host.now_s, "dropped", None));
    for (version, name, value) in [
        (7, "theirs", Some(b"their value".to_vec())),
        (8, "theirs-dropped", None),
    ] {
        let stamp = stamp(version);
        merged.join(host.now_s, other_key(name), Item { stamp, value });
    }
    // These overrides are proposed and not committed yet.
    for target in pending_targets() {
        host.node
            .set_out_of_service(host.now_s, target, true)
            .unwrap();
    }
    host
}

#[test]
fn the_same_scenario_writes_the_same_files() {
    let host = run_scenario();
    check_stored("log", &host.log);
    check_stored("merged", &host.node.merged.encode());
}

/// Creates the member with the stored log.
fn restarted() -> Host {
    let log = stored("log");
    let journal = decode_journal(&log, fleet(), ME).unwrap().unwrap();
    assert_eq!((journal.disk, journal.valid_bytes), (DISK, log.len()));
    let records = journal.records;
    assert!(records
        .iter()
        .any(|record| matches!(record, DiskRecord::Snapshot(_))));
    assert!(records
        .iter()
        .any(|record| matches!(record, DiskRecord::Entry(_))));
    Host::new(
        member(
            records,
            journal.disk,
            journal.records_written,
            LATER_PROCESS,
        ),
        log,
    )
}

fn check_committed(node: &Node) {
    let committed = &node.committed;
    let versions: Vec<SettingsVersion> = (SETTINGS_VERSIONS - 7..=SETTINGS_VERSIONS)
        .map(|number| SettingsVersion {
            number,
            text: settings(number),
            member: ME,
        })
        .collect();
    assert_eq!(committed.versions, versions);
    assert_eq!(committed.settings(), settings(SETTINGS_VERSIONS));
    let overrides: Vec<(&OverrideTarget, &Vec<OperatorOverride>)> =
        committed.overrides.iter().collect();
    let (runner, dispatcher) = (
        OverrideTarget::Runner("held-out".to_string()),
        OverrideTarget::Dispatcher("dispatcher".to_string()),
    );
    let one_override = |index| {
        vec![OperatorOverride {
            out_of_service: true,
            index,
            member: ME,
        }]
    };
    let first_override = FIRST_PROPOSAL + SETTINGS_VERSIONS;
    assert_eq!(
        overrides,
        [
            (&runner, &one_override(first_override)),
            (
                &dispatcher,
                &one_override(first_override + 3 + OVERRIDE_COUNT)
            )
        ]
    );
    assert_eq!(committed.voters, [ME]);
    let lending_disabled: Vec<u64> = committed.lending_disabled.iter().copied().collect();
    assert_eq!(lending_disabled, [OTHER, 0x33]);
    let last = SETTINGS_VERSIONS + OVERRIDE_COUNT + 7;
    assert_eq!(committed.outcome(ME, PROCESS, last), Some(false));
    assert_eq!(committed.outcome(ME, PROCESS, last - 1), None);
    assert!(committed.has_committed(ME, PROCESS, last));
}

/// Index of the first proposal in the log. The entries before it are the voters and the leader's first entry.
const FIRST_PROPOSAL: u64 = 3;

#[test]
fn a_restart_on_the_stored_log_keeps_committed_state_and_commits_more() {
    let mut host = restarted();
    // Before the member leads again, each target that may be out of service counts as out of service.
    let out_of_service = |node: &Node| -> Vec<OverrideTarget> {
        node.active_overrides()
            .into_iter()
            .map(|active| active.target)
            .collect()
    };
    let held_out = [
        OverrideTarget::Runner("held-out".to_string()),
        OverrideTarget::Dispatcher("dispatcher".to_string()),
    ];
    for target in &held_out {
        assert!(out_of_service(&host.node).contains(target), "{target:?}");
    }
    host.run(3.0);
    assert_eq!(host.node.disk(), DISK);
    assert_eq!(host.node.fault(), None);
    check_committed(&host.node);
    assert_eq!(out_of_service(&host.node), held_out);
    let text = settings(SETTINGS_VERSIONS + 1);
    assert!(host.commit(Command::Settings {
        text: text.clone(),
        base_version: SETTINGS_VERSIONS,
    }));
    let journal = decode_journal(&host.log, fleet(), ME).unwrap().unwrap();
    let Journal {
        disk,
        records,
        records_written,
        ..
    } = journal;
    let restarted = member(records, disk, records_written, LATER_PROCESS + 1);
    let mut restarted_host = Host::new(restarted, host.log);
    restarted_host.run(3.0);
    assert_eq!(restarted_host.node.committed.settings(), text);
}

#[test]
fn stored_merged_state_is_restored_and_continues() {
    let mut host = restarted();
    let merged = &mut host.node.merged;
    merged.restore(NOW_S, &stored("merged"), 1.0).unwrap();
    assert_eq!(merged.get(ME, "kept"), Some(&b"value"[..]));
    assert_eq!(merged.get(OTHER, "theirs"), Some(&b"their value"[..]));
    assert_eq!(merged.get(ME, "dropped"), None);
    // The member's own items get stamps of this process, without a tombstone of the item that was removed before.
    let counts = ItemCounts {
        items: 5,
        tombstones: 1,
    };
    assert_eq!(merged.count(), counts);
    let latest: Vec<(u64, Stamp)> = merged
        .digest()
        .iter()
        .map(|digest| (digest.owner, digest.latest))
        .collect();
    let mine = Stamp {
        incarnation: LATER_PROCESS,
        version: 3,
    };
    assert_eq!(latest, [(ME, mine), (OTHER, stamp(8))]);
    // An item that is older than the stored tombstone does not come back; a newer item is accepted.
    let older = Item {
        stamp: stamp(6),
        value: Some(b"older".to_vec()),
    };
    merged.join(NOW_S, other_key("theirs-dropped"), older);
    assert_eq!(merged.get(OTHER, "theirs-dropped"), None);
    let newer = Item {
        stamp: stamp(9),
        value: Some(b"newer".to_vec()),
    };
    merged.join(NOW_S, other_key("theirs"), newer);
    assert_eq!(merged.get(OTHER, "theirs"), Some(&b"newer"[..]));
    assert!(merged.put(NOW_S, "kept", Some(b"next".to_vec())));
    let copy = merged.encode();
    merged.restore(NOW_S, &copy, 1.0).unwrap();
    assert_eq!(merged.get(ME, "kept"), Some(&b"next"[..]));
}

fn active(target: &OverrideTarget, is_committed: bool) -> ActiveOverride {
    ActiveOverride {
        target: target.clone(),
        is_committed,
    }
}

#[test]
fn pending_overrides_hold_after_a_restart_and_are_committed() {
    let mut host = restarted();
    host.node
        .merged
        .restore(NOW_S, &stored("merged"), 1.0)
        .unwrap();
    let out_of_service = host.node.active_overrides();
    for target in pending_targets() {
        assert!(
            out_of_service.contains(&active(&target, false)),
            "{target:?}"
        );
    }
    host.run(5.0);
    let out_of_service = host.node.active_overrides();
    for target in pending_targets() {
        assert!(
            out_of_service.contains(&active(&target, true)),
            "{target:?}"
        );
    }
}
