//! What might have happened: a body that is offered to a sidecar in chunks, or without the header that
//! sidecars send, was never granted. It ended with 408 after 10 s, and who offered it waited that long; and
//! grants that had been decided at that moment, for another body on the same connection, went nowhere.
//!
//! Read in the code (`on_offer` went back as soon as the length was not known). No sidecar sends such
//! an offer; a probe or a client of another sort may.

mod fleet;

use fleet::{wait, Fleet, SERVICE};
use mesh::{HopOutcome, HopReply, HOP_HEADER};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A hop header as sidecars send it.
const HOP: &str = "x-chutecove-hop: 900 120 1 500 1 fares -\r\n";

/// The answer to a head without its body.
fn answer(fleet: &Fleet, head: &str) -> String {
    let mut stream =
        TcpStream::connect((fleet.ip(12), fleet.ports.inbound)).expect("the sidecar listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a socket option");
    let request = format!(
        "POST /one/x HTTP/1.1\r\nHost: fares.example\r\nExpect: 100-continue\r\n{head}\r\n"
    );
    stream.write_all(request.as_bytes()).expect("it is read");
    let mut text = String::new();
    let mut piece = [0; 1_024];
    while !text.contains("\r\n\r\n") {
        let count = stream.read(&mut piece).expect("an answer in time");
        assert!(count > 0, "no answer: {text}");
        text.push_str(std::str::from_utf8(&piece[..count]).expect("text"));
    }
    text
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

fn reply(answer: &str) -> Option<HopReply> {
    let is_hop = |line: &&str| line.to_ascii_lowercase().starts_with(HOP_HEADER);
    let line = answer.split("\r\n").find(is_hop)?;
    HopReply::decode(line.split_once(": ")?.1)
}

#[test]
fn an_offer_that_cannot_be_granted_is_answered_at_once() {
    let fleet = Fleet::new(13);
    let _coordinators = [1, 2, 3].map(|host| fleet.start_coordinator(host, true));
    let _sidecar = fleet.start_sidecar(12, SERVICE);
    let _upstream = fleet.start_upstream(12);
    wait("the first order is taken", || fleet.order(2, 0, 5, "one") == Some(200));
    wait("the sidecar is ready", || fleet.is_ready(12));
    wait("the upstream registers", || fleet.register(12, "i-1", 1, false));

    let in_chunks = answer(&fleet, &format!("{HOP}Transfer-Encoding: chunked\r\n"));
    assert_eq!(status(&in_chunks), "503", "{in_chunks}");
    let refused = reply(&in_chunks).map(|reply| reply.outcome);
    assert_eq!(refused, Some(HopOutcome::Refused), "it has not run: {in_chunks}");

    let without_header = answer(&fleet, "Content-Length: 20000\r\n");
    assert_eq!(status(&without_header), "421", "as a whole one without it: {without_header}");

    let granted = answer(&fleet, &format!("{HOP}Content-Length: 20000\r\n"));
    assert_eq!(status(&granted), "100", "{granted}");
}
