//! Log lines to standard error: seconds since the start, how grave, and what.
use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::Instant;

struct Lines {
    start: Instant,
}

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            // A log that nobody reads any more is no reason to stop.
            let (after, level) = (self.start.elapsed().as_secs_f64(), record.level());
            let _ = writeln!(std::io::stderr().lock(), "{after:.3} {level} {}", record.args());
        }
    }

    fn flush(&self) {}
}

pub fn start() {
    let lines = Box::new(Lines { start: Instant::now() });
    if log::set_boxed_logger(lines).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}
