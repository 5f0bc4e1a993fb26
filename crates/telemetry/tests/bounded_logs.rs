//! The volume of logs is bounded, and a reader that stops reading holds nobody up.

use std::io::Write;
use std::sync::{Arc, Mutex};
use telemetry::RateLimitedWriter;
use tracing_appender::non_blocking::NonBlockingBuilder;

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Never returns from a write before the sender is gone.
struct Stuck(std::sync::mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    let lines = Lines::default();
    let mut writer = RateLimitedWriter::new(lines.clone(), 10);
    for _ in 0..50 {
        writer.write_all(b"line\n").expect("written");
    }
    let text = String::from_utf8(lines.0.lock().expect("not poisoned").clone()).expect("text");
    assert!(text.lines().count() <= 20, "two windows at most: {text}");
    std::thread::sleep(std::time::Duration::from_millis(1_050));
    writer.write_all(b"line\n").expect("written");
    let text = String::from_utf8(lines.0.lock().expect("not poisoned").clone()).expect("text");
    assert!(text.contains("event=log_lines_dropped count="), "{text}");
}

#[test]
fn a_reader_that_stops_reading_holds_nobody_up() {
    let (hold, held) = std::sync::mpsc::channel();
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(16);
    let (writer, guard) = builder.finish(Stuck(held));
    let mut writer = RateLimitedWriter::new(writer, u32::MAX);
    for _ in 0..10_000 {
        writer.write_all(b"line\n").expect("taken or dropped, never waited for");
    }
    drop(hold);
    drop(guard);
}
