//! An upstream begins its answer to a long upload before it has read all of it, gives no length,
//! and resets the connection midway.

use crate::configuration::{document, Route, HOST};
use crate::fleet::Fleet;
use crate::http::{self, Connection, Head};
use crate::record::Record;
use crate::sys;
use crate::upstream::{Handler, Upstream};
use crate::Outcome;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const UPLOADS: u32 = 20;
/// Within what the site's uploads have: 60,000 on average, 360,000 at most.
const UPLOAD_BYTES: usize = 300_000;
const ANSWER_BYTES: usize = 2_400;

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let text = |error: std::io::Error| error.to_string();
    let fleet = Fleet::new(record, "broken-off").map_err(text)?;
    let core = fleet.core();
    let seeds = core[0].seeds.clone();
    let caller = fleet.sidecar(1, 1, "quotebook", seeds.clone());
    let store = fleet.sidecar(2, 2, "drawvault", seeds);
    for machine in &core {
        fleet.start(machine, true).map_err(text)?;
    }
    for machine in [&caller, &store] {
        fleet.start(machine, true).map_err(text)?;
    }
    let routes =
        [Route { name: "r-upload", prefix: "/upload/", kind: "upload", service: "drawvault" }];
    fleet
        .configure(&core, 1, 0, &document(1, &["quotebook", "drawvault"], &routes))
        .ok_or("the first configuration was not acknowledged")?;
    let runs = Arc::new(AtomicU32::new(0));
    let count = runs.clone();
    let handler: Handler = Arc::new(move |upstream, head, connection| {
        count.fetch_add(1, Ordering::SeqCst);
        answer_without_length(upstream, head, connection, trouble)
    });
    let upstream = Upstream::start(&fleet, &store, "i-store-1", handler);
    for machine in [&caller, &store] {
        if !fleet.wait_ready(machine, Duration::from_secs(15)) {
            return Err(format!("{} is not ready", machine.name));
        }
    }
    thread::sleep(Duration::from_millis(2_500));
    let address = fleet.address(&caller, fleet.ports.outbound);
    let body = vec![b'x'; UPLOAD_BYTES];
    let (mut cut_short, mut whole, mut failed) = (0, 0, 0);
    for number in 1..=UPLOADS {
        let id = format!("upload-{number}");
        let head = format!(
            "POST /upload/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 3000\r\n"
        );
        record.note(format!("client sends {id}, {UPLOAD_BYTES} bytes"));
        match http::call(address, &head, &body, Duration::from_secs(4)) {
            Ok(answer) => {
                let (status, bytes) = (answer.head.status(), answer.body.len());
                let seal = answer.head.get("x-server-seal").unwrap_or("none").to_owned();
                record.note(format!("client gets {status} to {id}, {bytes} bytes, seal {seal}"));
                match (status, answer.body == whole_answer(&id)) {
                    (200..=299, true) => whole += 1,
                    (200..=299, false) => cut_short += 1,
                    _ => failed += 1,
                }
            }
            Err(error) => {
                record.note(format!("client gets no answer to {id}: {error}"));
                failed += 1;
            }
        }
    }
    upstream.end();
    record.note(format!(
        "uploads {UPLOADS}, begun by the upstream {}, answered with success and the whole body \
         {whole}, with success and a part of the body {cut_short}, not answered with success \
         {failed}",
        runs.load(Ordering::SeqCst)
    ));
    if runs.load(Ordering::SeqCst) == 0 || (!trouble && whole < UPLOADS) {
        return Err("the uploads did not reach the upstream as planned".to_owned());
    }
    Ok(if cut_short > 0 { Outcome::Broken } else { Outcome::Held })
}

fn whole_answer(id: &str) -> Vec<u8> {
    let mut body = format!("answer to {id}\n").into_bytes();
    body.resize(ANSWER_BYTES, b'.');
    body
}

/// Answers without a length, so that the end of the connection ends the answer. With trouble, the
/// answer begins while most of the upload is unread, and is reset after its first half.
fn answer_without_length(
    upstream: &Upstream,
    head: &Head,
    connection: &mut Connection,
    trouble: bool,
) -> bool {
    let id = head.get("x-attempt-id").unwrap_or("-").to_owned();
    upstream.record.note(format!("{} begins {id}", upstream.id));
    if !trouble && connection.read_body(head.length()).is_err() {
        return false;
    }
    let body = whole_answer(&id);
    let part = if trouble { &body[..ANSWER_BYTES / 2] } else { &body[..] };
    let start = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\n\
         Connection: close\r\n\r\n"
    );
    if connection.write(start.as_bytes()).and_then(|()| connection.write(part)).is_err() {
        return false;
    }
    if trouble {
        thread::sleep(Duration::from_millis(100));
        if let Ok(stream) = connection.stream.try_clone() {
            // The reset takes effect when the last handle of the connection is closed.
            upstream.record.note(format!(
                "{} resets the connection of {id} after {} of {ANSWER_BYTES} bytes",
                upstream.id,
                part.len()
            ));
            sys::reset(stream);
        }
    }
    false
}
