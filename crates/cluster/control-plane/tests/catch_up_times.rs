//! How long members take to catch up, by rows, rate and sync, against the formula of docs/control-safety.md.

mod support;
use support::histories::History;
use support::network::{Conditions, CALM};
use support::speeds::{Speeds, SMALL_SITE};

/// A row's key and value.
const ROW_BYTES: u64 = 308;
/// One way between zones.
const WAY_US: (u64, u64) = (1_500, 2_500);
const CHUNK_BYTES: u64 = 256 << 10;
/// The load runs for so long before the disks are emptied, and so long until the members start, in milliseconds.
const BEFORE_MS: u64 = 1_000;
const DOWN_MS: u64 = 500;
/// A lease that the emptied process may have granted, its first greetings, the leader's next renewals.
const RECOVERY_MS: u64 = 1_200;
/// Members that recover at once take turns at the register.
const TURN_MS: u64 = 200;

struct Case {
    members: u64,
    lost: u64,
    rows: u64,
    rate: u64,
    sync_ms: u64,
}

impl Case {
    /// Times to catch up of the members whose disks are emptied, from their start.
    fn play(&self) -> Vec<Option<u64>> {
        let speeds = Speeds {
            sync_us: self.sync_ms * 1_000,
            ..SMALL_SITE
        };
        let bytes = ROW_BYTES as usize - size_of::<u64>();
        let mut history = History::new(
            self.members as usize,
            1,
            self.rows as usize,
            bytes,
            Some(speeds),
        );
        history.cluster.conditions = Conditions {
            delay_us: WAY_US,
            ..CALM
        };
        history.rate = self.rate;
        history.run(BEFORE_MS);
        let late = history.followers()[(self.members - self.lost) as usize - 1..].to_vec();
        late.iter().for_each(|member| history.cluster.wipe(*member));
        history.run(DOWN_MS);
        late.iter()
            .for_each(|member| history.cluster.start(*member, false));
        history.catch_up(&late, 20_000)
    }

    /// The bound in milliseconds.
    fn bound(&self) -> u64 {
        let rows = self.rows + self.rate * (BEFORE_MS + DOWN_MS + RECOVERY_MS) / 1_000;
        let bytes = rows * ROW_BYTES;
        let chunks = bytes.div_ceil(CHUNK_BYTES);
        let chunk_us = 2 * WAY_US.1 + self.lost * CHUNK_BYTES / SMALL_SITE.link_bytes_per_us;
        let transfer_ms = chunks * chunk_us / 1_000;
        let write_ms = bytes / SMALL_SITE.disk_bytes_per_us / 1_000;
        RECOVERY_MS + TURN_MS * (self.lost - 1) + transfer_ms + write_ms + 4 * self.sync_ms
    }

    fn check(&self, limit_ms: u64) {
        let Case {
            members,
            lost,
            rows,
            rate,
            sync_ms,
        } = self;
        let bound = self.bound().min(limit_ms);
        let times = self.play();
        println!("{lost} of {members}, {rows} rows, {rate}/s, sync {sync_ms} ms: {times:?} ms of {bound}");
        let in_time = |time: &Option<u64>| time.is_some_and(|time| time <= bound);
        assert!(
            times.iter().all(in_time),
            "{lost} of {members}, {rows} rows, {rate}/s: {times:?}, {bound}"
        );
    }
}

const ROWS: [u64; 3] = [1_000, 10_000, 72_000];
const RATES: [u64; 3] = [100, 1_000, 8_000];

#[test]
fn emptied_members_of_a_small_site_are_back_within_the_bound() {
    for (lost, sync_ms) in [(1, 6), (2, 9)] {
        for rows in ROWS {
            RATES.iter().for_each(|rate| {
                Case {
                    members: 5,
                    lost,
                    rows,
                    rate: *rate,
                    sync_ms,
                }
                .check(4_000)
            });
        }
    }
}

#[test]
fn emptied_members_of_a_grown_site_are_back_within_the_bound() {
    for rows in ROWS {
        RATES.iter().for_each(|rate| {
            Case {
                members: 9,
                lost: 4,
                rows,
                rate: *rate,
                sync_ms: 9,
            }
            .check(6_000)
        });
    }
}

#[test]
fn with_slow_disks_everywhere_catching_up_still_ends() {
    for rows in [ROWS[0], ROWS[2]] {
        for rate in [RATES[0], RATES[2]] {
            let times = Case {
                members: 5,
                lost: 2,
                rows,
                rate,
                sync_ms: 90,
            }
            .play();
            println!("2 of 5, {rows} rows, {rate}/s, sync 90 ms: {times:?} ms");
            assert!(
                times.iter().all(Option::is_some),
                "{rows} rows, {rate}/s: {times:?}"
            );
        }
    }
}
