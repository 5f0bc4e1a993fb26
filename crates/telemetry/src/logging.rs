//! Logging: one line of `key=value` pairs per event.

use crate::RateLimitedWriter;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Maximum number of lines written per second; further lines are dropped and counted in the log.
pub const LINES_PER_SECOND: u32 = 2_000;
/// Maximum number of lines that wait for the writer thread; further lines are dropped.
const BUFFERED_LINES: usize = 2_048;

/// Guard of the writer thread; dropping it flushes the buffered lines.
static WORKER_GUARD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// The text is not a log level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownLevel(pub String);

impl fmt::Display for UnknownLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "log level '{}' is not error, warn, info, debug or trace", self.0)
    }
}

impl std::error::Error for UnknownLevel {}

/// Parses the name of a log level.
pub fn parse_level(text: &str) -> Result<Level, UnknownLevel> {
    text.parse().map_err(|_| UnknownLevel(text.to_owned()))
}

/// Logs events at or above `level` to standard error.
pub fn init_logging(level: Level) {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .event_format(KeyValueFormat)
        .finish();
    // A second call in one process, as in tests, keeps the first subscriber.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Logs events at or above `level` to standard output, at most [`LINES_PER_SECOND`]. A bounded
/// buffer with its own writer thread ensures that a reader that stops reading causes lines to be
/// dropped but never blocks the process. Keep the guard until the end of the process; dropping it
/// flushes the buffer.
pub fn init_logging_to_stdout(level: Level) -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(std::io::stdout());
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(RateLimitedWriter::new(writer, LINES_PER_SECOND))
        .event_format(KeyValueFormat)
        .finish();
    let _ = tracing::subscriber::set_global_default(subscriber);
    *WORKER_GUARD.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
    LogGuard(())
}

/// Flushes the buffered log lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard(());

impl Drop for LogGuard {
    fn drop(&mut self) {
        flush_logs();
    }
}

fn flush_logs() {
    let guard = WORKER_GUARD.lock().unwrap_or_else(PoisonError::into_inner).take();
    drop(guard);
}

/// Flushes the buffered log lines, which contain the reason, and exits the process. May be called
/// on any thread.
pub fn flush_logs_and_exit(code: i32) -> ! {
    flush_logs();
    std::process::exit(code)
}

struct KeyValueFormat;

impl<S, N> FormatEvent<S, N> for KeyValueFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_str("time=")?;
        SystemTime.format_time(&mut writer)?;
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        write!(writer, " level={level}")?;
        let mut visitor = KeyValueVisitor { writer: &mut writer, result: Ok(()) };
        event.record(&mut visitor);
        visitor.result?;
        writeln!(writer)
    }
}

struct KeyValueVisitor<'a, 'b> {
    writer: &'a mut Writer<'b>,
    result: fmt::Result,
}

impl KeyValueVisitor<'_, '_> {
    fn write_pair(&mut self, name: &str, value: &str) {
        let name = if name == "message" { "event" } else { name };
        let needs_no_quotes = !value.is_empty()
            && value.chars().all(|c| c.is_ascii_graphic() && c != '"' && c != '=');
        let written = if needs_no_quotes {
            write!(self.writer, " {name}={value}")
        } else {
            write!(self.writer, " {name}={value:?}")
        };
        self.result = self.result.and(written);
    }
}

impl Visit for KeyValueVisitor<'_, '_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.write_pair(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.write_pair(field.name(), &format!("{value:?}"));
    }
}
