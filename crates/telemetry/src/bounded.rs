//! A writer of log lines with a bound on their number, told in the log when it is reached.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;

const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    began: Instant,
    lines: u32,
    dropped: u64,
}

/// Passes on at most so many lines a second.
#[derive(Clone, Debug)]
pub struct RateLimitedWriter<W> {
    inner: W,
    lines_per_second: u32,
    window: Arc<Mutex<Window>>,
}

impl<W> RateLimitedWriter<W> {
    /// A writer in front of another; each write is one line.
    pub fn new(inner: W, lines_per_second: u32) -> Self {
        let window = Window { began: Instant::now(), lines: 0, dropped: 0 };
        RateLimitedWriter { inner, lines_per_second, window: Arc::new(Mutex::new(window)) }
    }

    /// Counts a line; the number dropped before is returned when a new window begins.
    fn admit(&self) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut told = 0;
        if window.began.elapsed() >= WINDOW {
            told = std::mem::take(&mut window.dropped);
            window.began = Instant::now();
            window.lines = 0;
        }
        window.lines += 1;
        let admitted = window.lines <= self.lines_per_second;
        window.dropped += u64::from(!admitted);
        (admitted, told)
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
