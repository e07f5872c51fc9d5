//! Writes log lines to standard error: seconds since the start, level and message, or the same as JSON.

use std::fmt;
use std::io::Write;
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Format of the log lines.
struct Lines {
    start: Instant,
    is_json: bool,
}

/// Message and fields of an event.
#[derive(Default)]
struct EventContent {
    message: String,
    fields: serde_json::Map<String, serde_json::Value>,
}

impl Visit for EventContent {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => {
                _ = self
                    .fields
                    .insert(name.to_string(), format!("{value:?}").into())
            }
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.fields.insert(field.name().to_string(), value.into());
    }
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut content = EventContent::default();
        event.record(&mut content);
        let (after_s, level) = (self.start.elapsed().as_secs_f64(), event.metadata().level());
        let EventContent {
            message,
            mut fields,
        } = content;
        if self.is_json {
            fields.insert(
                "after_s".to_string(),
                ((after_s * 1e3).round() / 1e3).into(),
            );
            fields.insert("level".to_string(), level.as_str().into());
            fields.insert("part".to_string(), event.metadata().target().into());
            fields.insert("message".to_string(), message.into());
            return writeln!(writer, "{}", serde_json::Value::Object(fields));
        }
        write!(writer, "{after_s:.3} {level} {message}")?;
        for (name, value) in fields {
            write!(writer, " {name}={value}")?;
        }
        writeln!(writer)
    }
}

/// Writes to standard error and ignores errors, so that a log that nobody reads does not end the process.
struct IgnoreErrors;

impl Write for IgnoreErrors {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let _ = std::io::stderr().lock().write_all(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Installs the logger for the process.
pub(crate) fn start(is_json: bool) {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(Level::INFO)
        .event_format(Lines {
            start: Instant::now(),
            is_json,
        })
        .with_writer(|| IgnoreErrors)
        .finish();
    let _ = tracing::subscriber::set_global_default(subscriber);
}
