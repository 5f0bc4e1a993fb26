//! A body offered to a sidecar with chunked encoding, or without the hop header, must be refused at once.
//!
//! Such an offer used to be ignored: `on_offer` returned as soon as the length was unknown, so the sender
//! waited 10 s for a 408, and grants for another body on the same connection, decided at that moment, were
//! lost. The fault was found by reading the code. Sidecars send no such offers, but a probe or another client
//! may.

mod fleet;

use fleet::{wait_until, Fleet, SERVICE};
use mesh::{HopOutcome, HopReply, HOP_HEADER};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A valid hop header, as sidecars send it.
const HOP_LINE: &str = "x-chutecove-hop: 900 120 1 500 1 fares -\r\n";

/// Sends a request head without its body; returns the head of the response.
fn send_head(fleet: &Fleet, head: &str) -> String {
    let mut stream =
        TcpStream::connect((fleet.ip(12), fleet.ports.inbound)).expect("the sidecar listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the read timeout is set");
    let request = format!(
        "POST /one/x HTTP/1.1\r\nHost: fares.example\r\nExpect: 100-continue\r\n{head}\r\n"
    );
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut text = String::new();
    let mut chunk = [0; 1_024];
    while !text.contains("\r\n\r\n") {
        let count = stream.read(&mut chunk).expect("a response within the timeout");
        assert!(count > 0, "no answer: {text}");
        text.push_str(std::str::from_utf8(&chunk[..count]).expect("text"));
    }
    text
}

fn status(response_head: &str) -> &str {
    response_head.split(' ').nth(1).unwrap_or_default()
}

fn hop_reply(response_head: &str) -> Option<HopReply> {
    let is_hop = |line: &&str| line.to_ascii_lowercase().starts_with(HOP_HEADER);
    let line = response_head.split("\r\n").find(is_hop)?;
    HopReply::decode(line.split_once(": ")?.1)
}

#[test]
fn an_offer_that_cannot_be_granted_is_answered_at_once() {
    let fleet = Fleet::new(13);
    let _coordinators = [1, 2, 3].map(|host| fleet.start_coordinator(host, true));
    let _sidecar = fleet.start_sidecar(12, SERVICE);
    let _upstream = fleet.start_upstream(12);
    wait_until("the first configuration is accepted", || {
        fleet.put_configuration(2, 0, 5, "one") == Some(200)
    });
    wait_until("the sidecar is ready", || fleet.is_ready(12));
    wait_until("the upstream registers", || fleet.register(12, "i-1", 1, false));

    let in_chunks = send_head(&fleet, &format!("{HOP_LINE}Transfer-Encoding: chunked\r\n"));
    assert_eq!(status(&in_chunks), "503", "{in_chunks}");
    let refused = hop_reply(&in_chunks).map(|reply| reply.outcome);
    assert_eq!(refused, Some(HopOutcome::Refused), "the call did not run: {in_chunks}");

    let without_header = send_head(&fleet, "Content-Length: 20000\r\n");
    assert_eq!(
        status(&without_header),
        "421",
        "like a complete request without the header: {without_header}"
    );

    let granted = send_head(&fleet, &format!("{HOP_LINE}Content-Length: 20000\r\n"));
    assert_eq!(status(&granted), "100", "{granted}");
}
