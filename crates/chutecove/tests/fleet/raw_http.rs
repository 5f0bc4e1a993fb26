//! Messages of HTTP as they are on a connection, for upstreams and callers that break off or read late.

use std::io::{BufRead, Read};

/// The head of a request or an answer.
#[derive(Default)]
pub struct RawHead {
    /// Path of a request, or status of an answer.
    pub target: String,
    /// Id of the call.
    pub attempt_id: String,
    /// Announced length of the body.
    pub body_bytes: u64,
    /// All lines.
    pub lines: Vec<String>,
}

/// Reads the head of a message; `None` once the connection has ended.
pub fn read_head(reader: &mut impl BufRead) -> Option<RawHead> {
    let mut head = RawHead::default();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(head);
        }
        match line.split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("x-chutecove-attempt-id") => {
                value.clone_into(&mut head.attempt_id);
            }
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                head.body_bytes = value.parse().ok()?;
            }
            _ if head.lines.is_empty() => line.split(' ').nth(1)?.clone_into(&mut head.target),
            _ => {}
        }
        head.lines.push(line.to_owned());
    }
}

/// Reads the body behind a head; returns how much of it arrived.
pub fn skip_body(reader: &mut impl BufRead, head: &RawHead) -> Option<u64> {
    std::io::copy(&mut reader.take(head.body_bytes), &mut std::io::sink()).ok()
}
