//! One line of `key=value` pairs per event.

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

/// Most lines written in a second; more are dropped, and how many is told.
pub const LINES_PER_SECOND: u32 = 2_000;
/// Lines that wait for the writer; more are dropped.
const BUFFERED_LINES: usize = 2_048;

/// What writes the lines that wait, while the process lives.
static WORKER: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// The text names no log level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownLevel(pub String);

impl fmt::Display for UnknownLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "log level '{}' is not error, warn, info, debug or trace", self.0)
    }
}

impl std::error::Error for UnknownLevel {}

/// Reads a level's name.
pub fn parse_level(text: &str) -> Result<Level, UnknownLevel> {
    text.parse().map_err(|_| UnknownLevel(text.to_owned()))
}

/// Sends events at or above `level` to standard error.
pub fn init_logging(level: Level) {
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .event_format(KeyValueFormat)
        .finish();
    // A second call in one process (tests) keeps the first subscriber.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Sends events at or above `level` to standard output, through a bounded buffer with a writer of
/// its own: a reader that stops reading costs lines, never time. Keep the guard until the end; it
/// writes out what is left. At most [`LINES_PER_SECOND`] are written.
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
    *WORKER.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
    LogGuard(())
}

/// Writes out the lines that wait when it is dropped.
#[derive(Debug)]
pub struct LogGuard(());

impl Drop for LogGuard {
    fn drop(&mut self) {
        write_out();
    }
}

fn write_out() {
    let worker = WORKER.lock().unwrap_or_else(PoisonError::into_inner).take();
    drop(worker);
}

/// Ends the process from any thread, after the lines that wait are written out: they say why.
pub fn flush_logs_and_exit(code: i32) -> ! {
    write_out();
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
    fn pair(&mut self, name: &str, value: &str) {
        let name = if name == "message" { "event" } else { name };
        let plain = !value.is_empty()
            && value.chars().all(|c| c.is_ascii_graphic() && c != '"' && c != '=');
        let written = if plain {
            write!(self.writer, " {name}={value}")
        } else {
            write!(self.writer, " {name}={value:?}")
        };
        self.result = self.result.and(written);
    }
}

impl Visit for KeyValueVisitor<'_, '_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.pair(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.pair(field.name(), &format!("{value:?}"));
    }
}
