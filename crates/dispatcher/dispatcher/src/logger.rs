//! Log lines to standard error: seconds since the start, how grave, and what; or the same as JSON.

use std::fmt;
use std::io::Write;
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

struct Lines {
    start: Instant,
    json: bool,
}

/// The words of an event, and its figures.
#[derive(Default)]
struct Said {
    words: String,
    fields: serde_json::Map<String, serde_json::Value>,
}

impl Visit for Said {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.words = format!("{value:?}"),
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
        let mut said = Said::default();
        event.record(&mut said);
        let (after, level) = (self.start.elapsed().as_secs_f64(), event.metadata().level());
        let Said { words, mut fields } = said;
        if self.json {
            fields.insert("after_s".to_string(), ((after * 1e3).round() / 1e3).into());
            fields.insert("level".to_string(), level.as_str().into());
            fields.insert("part".to_string(), event.metadata().target().into());
            fields.insert("message".to_string(), words.into());
            return writeln!(writer, "{}", serde_json::Value::Object(fields));
        }
        write!(writer, "{after:.3} {level} {words}")?;
        for (name, value) in fields {
            write!(writer, " {name}={value}")?;
        }
        writeln!(writer)
    }
}

/// A log that nobody reads any more is no reason to stop.
struct Deaf;

impl Write for Deaf {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let _ = std::io::stderr().lock().write_all(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

pub(crate) fn start(json: bool) {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(Level::INFO)
        .event_format(Lines {
            start: Instant::now(),
            json,
        })
        .with_writer(|| Deaf)
        .finish();
    let _ = tracing::subscriber::set_global_default(subscriber);
}
