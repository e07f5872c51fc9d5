//! What is read from logs, from the kernel and from `ss`.

use std::time::Duration;

use sagetrail_scale_testing::cluster::term_of;
use sagetrail_scale_testing::sockets::{parse, Traffic};
use sagetrail_scale_testing::timings::{Timing, Timings};
use sagetrail_scale_testing::usage;

#[test]
fn the_start_of_a_scheduler_is_recognized_in_a_log() {
    assert_eq!(
        term_of("INFO term 12: scheduler starts with 3 records"),
        Some(12)
    );
    assert_eq!(term_of("INFO term 12: something else"), None);
    assert_eq!(term_of("INFO a runner lapsed"), None);
}

#[test]
fn bytes_are_added_up_by_process() {
    let line = |id: u32, sent: u32, received: u32| {
        format!(
            "ESTAB 0 0 127.0.0.1:1 127.0.0.2:2 users:((\"p\",pid={id},fd=9))  cubic bytes_sent:{sent} \
             bytes_acked:{sent} bytes_received:{received} segs_out:4\n"
        )
    };
    let text = [
        line(7, 10, 20),
        line(8, 1, 2),
        line(7, 5, 5),
        "LISTEN 0 1 *:1 *:*\n".to_owned(),
    ]
    .concat();
    let traffic = parse(&text);
    assert_eq!(
        traffic[&7],
        Traffic {
            sent: 15,
            received: 25
        }
    );
    assert_eq!(
        traffic[&8],
        Traffic {
            sent: 1,
            received: 2
        }
    );
    assert_eq!(traffic.len(), 2);
}

#[test]
fn the_usage_of_a_process_is_read() {
    let own = usage::read(std::process::id()).expect("it runs");
    assert!(own.memory > 0);
    assert!(usage::read(u32::MAX).is_none());
}

#[test]
fn timings_are_kept_by_what_is_timed() {
    let timings = Timings::default();
    (1..=100)
        .for_each(|ms| timings.record(Timing::SubmitToAccept, "short", Duration::from_millis(ms)));
    timings.record(Timing::EndToDone, "short", Duration::from_millis(5));
    let rows = timings.rows();
    assert_eq!(rows.len(), 2);
    let accept = rows
        .iter()
        .find(|row| row.timing == "submit_to_accept")
        .expect("recorded");
    assert_eq!(accept.count, 100);
    assert!((accept.p50_ms - 50.0).abs() < 0.1, "{}", accept.p50_ms);
    assert!((accept.max_ms - 100.0).abs() < 0.2, "{}", accept.max_ms);
}
