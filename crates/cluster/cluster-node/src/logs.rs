//! Log lines on standard error: the level, what happened, then fields as `key=value`. Few, since each costs processor
//! time.

use log::LevelFilter;

/// Starts logging. A second call changes nothing.
pub fn start(level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(level)
        .chain(std::io::stderr());
    let _ = dispatch.apply();
}
