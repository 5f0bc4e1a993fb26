//! A rate-limited writer for log lines, which reports the number of dropped lines in the log.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

const WINDOW_DURATION: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    start: Instant,
    lines: u32,
    dropped: u64,
}

/// Writer that passes on a limited number of lines per second and drops the rest. Clones share the
/// limit.
#[derive(Clone, Debug)]
pub struct RateLimitedWriter<W> {
    inner: W,
    lines_per_second: u32,
    window: Arc<Mutex<Window>>,
}

impl<W> RateLimitedWriter<W> {
    /// Wraps `inner`. Each call of [`Write::write`] counts as one line.
    pub fn new(inner: W, lines_per_second: u32) -> Self {
        let window = Window { start: Instant::now(), lines: 0, dropped: 0 };
        RateLimitedWriter { inner, lines_per_second, window: Arc::new(Mutex::new(window)) }
    }

    /// Counts a line. Returns whether to write it and, with the first line of a new window, the
    /// number of lines dropped in the previous window.
    fn admit(&self) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped_before = 0;
        if window.start.elapsed() >= WINDOW_DURATION {
            dropped_before = std::mem::take(&mut window.dropped);
            window.start = Instant::now();
            window.lines = 0;
        }
        window.lines += 1;
        let admitted = window.lines <= self.lines_per_second;
        window.dropped += u64::from(!admitted);
        (admitted, dropped_before)
    }
}

impl<W: Write> Write for RateLimitedWriter<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (admitted, dropped) = self.admit();
        if dropped > 0 {
            writeln!(self.inner, "level=warn event=log_lines_dropped count={dropped}")?;
        }
        if admitted {
            self.inner.write_all(line)?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

impl<'a, W: Write + Clone + 'a> MakeWriter<'a> for RateLimitedWriter<W> {
    type Writer = RateLimitedWriter<W>;

    fn make_writer(&'a self) -> Self::Writer {
        self.clone()
    }
}
