//! Log volume is rate-limited, and a reader that stops reading does not block the process.

use std::io::Write;
use std::sync::{Arc, Mutex};
use telemetry::RateLimitedWriter;
use tracing_appender::non_blocking::NonBlockingBuilder;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A writer whose writes block until the sender is dropped.
struct BlockedWriter(std::sync::mpsc::Receiver<()>);

impl Write for BlockedWriter {
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
    let output = SharedBuffer::default();
    let mut writer = RateLimitedWriter::new(output.clone(), 10);
    for _ in 0..50 {
        writer.write_all(b"line\n").expect("write succeeds");
    }
    let text =
        String::from_utf8(output.0.lock().expect("not poisoned").clone()).expect("output is UTF-8");
    assert!(text.lines().count() <= 20, "the lines span at most two windows: {text}");
    std::thread::sleep(std::time::Duration::from_millis(1_050));
    writer.write_all(b"line\n").expect("write succeeds");
    let text =
        String::from_utf8(output.0.lock().expect("not poisoned").clone()).expect("output is UTF-8");
    assert!(text.contains("event=log_lines_dropped count="), "{text}");
}

#[test]
fn a_reader_that_stops_reading_holds_nobody_up() {
    let (unblock, blocked) = std::sync::mpsc::channel();
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(16);
    let (writer, guard) = builder.finish(BlockedWriter(blocked));
    let mut writer = RateLimitedWriter::new(writer, u32::MAX);
    for _ in 0..10_000 {
        writer.write_all(b"line\n").expect("the line is buffered or dropped without blocking");
    }
    drop(unblock);
    drop(guard);
}
