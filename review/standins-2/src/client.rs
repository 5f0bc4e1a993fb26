//! Clients on the machine of a sidecar.

use crate::fleet::Fleet;
use crate::http;
use crate::operator::HOST;
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::SocketAddrV4;
use std::time::Duration;

pub const DEADLINE_MS: u64 = 2_500;

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: f64,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// The head of a request.
pub fn request(method: &str, path: &str, id: &str) -> String {
    let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\n{length}\r\n"
    )
}

/// Sends one request on a new connection and waits for its answer.
pub fn ask(address: SocketAddrV4, method: &str, path: &str, id: &str, record: &Record) -> Sent {
    let at = record.now();
    let answer = || -> io::Result<u16> {
        let mut stream = http::connect(address, Duration::from_millis(DEADLINE_MS + 1_000))?;
        stream.write_all(request(method, path, id).as_bytes())?;
        let answer = http::read(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    let status = answer();
    record.note(&format!("client sent {id} at {at:.3}: {status:?}"));
    Sent { id: id.to_owned(), at, status: status.unwrap_or(0) }
}

/// Asks the readiness of a host, as the platform does.
pub fn is_ready(fleet: &Fleet, host: u8) -> bool {
    let ask = || -> io::Result<u16> {
        let mut stream = http::connect(fleet.at(host, "ready"), Duration::from_millis(500))?;
        stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        Ok(http::read(&mut BufReader::new(stream))?.map_or(0, |answer| answer.status()))
    };
    matches!(ask(), Ok(200))
}
