//! Writes log lines to standard error: the level, the event, then fields as `key=value`. Few events are logged, since
//! each line costs processor time.

use log::LevelFilter;

/// Starts logging. A second call has no effect.
pub fn start(level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(level)
        .chain(std::io::stderr());
    let _ = dispatch.apply();
}
