//! Guards against members that take too long to catch up. The bound for a number of rows, a request rate and a sync
//! time is the formula of docs/control-safety.md.

mod support;
use support::histories::History;
use support::network::{Conditions, FAULT_FREE};
use support::speeds::{Speeds, SMALL_SITE};

/// The size of a row's key and value, in bytes.
const ROW_BYTES: u64 = 308;
/// The shortest and the longest one-way delay between zones, in microseconds.
const ONE_WAY_DELAY_US: (u64, u64) = (1_500, 2_500);
/// The size of a snapshot chunk, in bytes.
const CHUNK_BYTES: u64 = 256 << 10;
/// The duration of the load before the disks are emptied, in milliseconds.
const LOAD_BEFORE_MS: u64 = 1_000;
/// The time between the emptying of the disks and the start of the members, in milliseconds.
const DOWN_MS: u64 = 500;
/// The time, in milliseconds, for the expiry of a lease that an emptied member may have granted, its first hellos and
/// the next renewals of the leader.
const RECOVERY_MS: u64 = 1_200;
/// The time, in milliseconds, that each further member adds if several recover at once, because they use the register
/// one after the other.
const TURN_MS: u64 = 200;

/// The parameters of a run: the number of members, the number of members whose disks are emptied, the rows on their
/// disks, the requests per second and the duration of a sync.
struct Case {
    members: u64,
    lost: u64,
    rows: u64,
    rate: u64,
    sync_ms: u64,
}

impl Case {
    /// Returns the times, in milliseconds, that the members with emptied disks need to catch up after their start.
    fn run(&self) -> Vec<Option<u64>> {
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
            delay_us: ONE_WAY_DELAY_US,
            ..FAULT_FREE
        };
        history.rate = self.rate;
        history.run(LOAD_BEFORE_MS);
        let emptied = history.followers()[(self.members - self.lost) as usize - 1..].to_vec();
        emptied
            .iter()
            .for_each(|member| history.cluster.wipe(*member));
        history.run(DOWN_MS);
        emptied
            .iter()
            .for_each(|member| history.cluster.start(*member, false));
        history.catch_up(&emptied, 20_000)
    }

    /// Returns the bound of the time to catch up, in milliseconds.
    fn bound_ms(&self) -> u64 {
        let rows = self.rows + self.rate * (LOAD_BEFORE_MS + DOWN_MS + RECOVERY_MS) / 1_000;
        let bytes = rows * ROW_BYTES;
        let chunks = bytes.div_ceil(CHUNK_BYTES);
        let chunk_us =
            2 * ONE_WAY_DELAY_US.1 + self.lost * CHUNK_BYTES / SMALL_SITE.link_bytes_per_us;
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
        let bound_ms = self.bound_ms().min(limit_ms);
        let times = self.run();
        println!("{lost} of {members}, {rows} rows, {rate}/s, sync {sync_ms} ms: {times:?} ms of {bound_ms}");
        let in_time = |time: &Option<u64>| time.is_some_and(|time| time <= bound_ms);
        assert!(
            times.iter().all(in_time),
            "{lost} of {members}, {rows} rows, {rate}/s: {times:?}, {bound_ms}"
        );
    }
}

const ROWS: [u64; 3] = [1_000, 10_000, 72_000];
const RATES: [u64; 3] = [100, 1_000, 8_000];

#[test]
fn emptied_members_of_a_small_site_catch_up_within_the_bound() {
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
fn emptied_members_of_a_grown_site_catch_up_within_the_bound() {
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
fn emptied_members_catch_up_even_if_all_disks_are_slow() {
    for rows in [ROWS[0], ROWS[2]] {
        for rate in [RATES[0], RATES[2]] {
            let times = Case {
                members: 5,
                lost: 2,
                rows,
                rate,
                sync_ms: 90,
            }
            .run();
            println!("2 of 5, {rows} rows, {rate}/s, sync 90 ms: {times:?} ms");
            assert!(
                times.iter().all(Option::is_some),
                "{rows} rows, {rate}/s: {times:?}"
            );
        }
    }
}
