//! Offered bodies (`Expect: 100-continue`): no part of them is sent before it is allowed.

use bytes::BytesMut;
use expect_test::{expect, Expect};
use http1::{Exchange, Response, ServerConnection, ServerLimits, Slot, StreamEnd};

const LIMITS: ServerLimits =
    ServerLimits { header_bytes: 1_024, body_bytes: 64, holds_offers: true };
const GRANT_HEADER: &str = "x-grant";
const OFFER: &str = "POST /a HTTP/1.1\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n";

/// A server connection with its input, its output and the requests parsed.
#[derive(Default)]
struct Receiver {
    connection: ServerConnection,
    input: BytesMut,
    output: Vec<u8>,
    requests: Vec<(Slot, usize)>,
}

impl Receiver {
    fn receive(&mut self, bytes: &str) {
        self.input.extend_from_slice(bytes.as_bytes());
        let requests = self.connection.receive(&mut self.input, LIMITS, &mut self.output);
        self.requests.extend(requests.into_iter().map(|(slot, req)| (slot, req.body.len())));
    }

    fn offered(&self) -> Option<Slot> {
        self.connection.offer().map(|offer| offer.slot)
    }

    fn allow(&mut self, bytes: u64) {
        let slot = self.offered().unwrap_or(0);
        self.connection.allow(slot, GRANT_HEADER, bytes, &mut self.output);
    }

    fn answer(&mut self, slot: Slot, status: u16) -> bool {
        self.connection.answer(slot, Response::empty(status), false, &mut self.output)
    }

    fn check(&self, expected: Expect) {
        let written = String::from_utf8_lossy(&self.output).replace("\r\n", "|");
        expected.assert_eq(&format!("took {:?}, wrote {written}", self.requests));
    }
}

#[test]
fn a_body_comes_as_it_is_allowed() {
    let mut receiver = Receiver::default();
    receiver.receive(OFFER);
    assert_eq!(receiver.offered(), Some(0));
    receiver.allow(4);
    assert_eq!(receiver.offered(), None, "the offer is already allowed");
    receiver.receive("0123");
    assert_eq!(receiver.connection.body_bytes(), 4);
    receiver.allow(6);
    receiver.receive("456789");
    assert!(!receiver.answer(0, 200));
    receiver.check(expect!["took [(0, 10)], wrote HTTP/1.1 100 Continue|x-grant: 4||HTTP/1.1 100 Continue|x-grant: 6||HTTP/1.1 200 OK|Content-Length: 0||"]);
}

#[test]
fn a_refused_offer_leaves_the_connection_as_it_was() {
    let mut receiver = Receiver::default();
    receiver.receive(OFFER);
    assert!(!receiver.answer(0, 503));
    receiver.receive("GET /b HTTP/1.1\r\n\r\n");
    assert!(!receiver.answer(1, 200));
    receiver.check(expect!["took [(1, 0)], wrote HTTP/1.1 503 Service Unavailable|Content-Length: 0||HTTP/1.1 200 OK|Content-Length: 0||"]);
}

#[test]
fn an_answer_in_the_middle_of_a_body_ends_the_connection() {
    let mut receiver = Receiver::default();
    receiver.receive(OFFER);
    receiver.allow(4);
    receiver.receive("01");
    assert!(receiver.answer(0, 503), "the rest of the body would be parsed as a request");
    receiver.receive("23GET /b HTTP/1.1\r\n\r\n");
    receiver.check(expect!["took [], wrote HTTP/1.1 100 Continue|x-grant: 4||HTTP/1.1 503 Service Unavailable|Content-Length: 0|Connection: close||"]);
}

#[test]
fn an_offer_that_is_read_too_slowly_gets_its_answer() {
    let mut receiver = Receiver::default();
    receiver.receive(OFFER);
    receiver.allow(4);
    assert!(receiver.connection.time_out(&mut receiver.output));
    receiver.check(expect!["took [], wrote HTTP/1.1 100 Continue|x-grant: 4||HTTP/1.1 408 Request Timeout|Content-Length: 0|Connection: close||"]);
}

#[test]
fn an_offer_that_is_refused_midway_gets_the_answer_that_says_why() {
    let mut receiver = Receiver::default();
    receiver.receive(OFFER);
    receiver.allow(4);
    receiver.receive("01");
    let refusal = Response::empty(503).with_header("x-hop", "r");
    assert!(receiver.connection.refuse_partial(refusal, &mut receiver.output));
    receiver.receive("23456789GET /b HTTP/1.1\r\n\r\n");
    receiver.check(expect!["took [], wrote HTTP/1.1 100 Continue|x-grant: 4||HTTP/1.1 503 Service Unavailable|x-hop: r|Content-Length: 0|Connection: close||"]);
}

#[test]
fn a_body_that_came_along_is_no_offer() {
    let mut receiver = Receiver::default();
    receiver.receive(&format!("{OFFER}0123456789"));
    assert_eq!(receiver.offered(), None);
    receiver.check(expect!["took [(0, 10)], wrote "]);
}

#[test]
fn an_offer_behind_an_unanswered_request_is_let_through() {
    let mut receiver = Receiver::default();
    receiver.receive("GET /b HTTP/1.1\r\n\r\n");
    receiver.receive(OFFER);
    assert_eq!(receiver.offered(), None, "an interim answer must not overtake the first answer");
}

#[test]
fn interim_answers_are_told_apart_from_the_final_one() {
    let mut exchange = Exchange::new("POST", None, 1_024, 64);
    let mut input =
        BytesMut::from("HTTP/1.1 100 Continue\r\nx-grant: 4\r\n\r\nHTTP/1.1 100 Contin");
    assert_eq!(exchange.receive(&mut input), Ok(None));
    let grants: Vec<_> =
        exchange.take_interim().iter().map(|headers| headers.number(GRANT_HEADER)).collect();
    assert_eq!(grants, [Some(4)]);
    assert!(exchange.take_interim().is_empty());
    input.extend_from_slice(b"ue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    let answer = exchange.receive(&mut input).expect("valid response").expect("complete response");
    assert_eq!((answer.response.status, answer.reusable), (200, true));
    assert!(
        exchange.end_of_stream(StreamEnd::Clean).is_err(),
        "the final response has already been returned"
    );
}

#[test]
fn grants_without_end_fill_no_memory() {
    let mut exchange = Exchange::new("POST", None, 1_024, 64).with_grants();
    for _ in 0..1_000 {
        let mut input = BytesMut::from("HTTP/1.1 100 Continue\r\n\r\n");
        assert_eq!(exchange.receive(&mut input), Ok(None));
    }
    assert!(exchange.take_interim().len() <= 64);
}

#[test]
fn a_request_that_was_refused_leaves_no_time_to_the_next() {
    let mut receiver = Receiver::default();
    let reading = |receiver: &Receiver| receiver.connection.reading(&receiver.input);
    assert_eq!(reading(&receiver), None);
    receiver.receive(OFFER);
    assert_eq!(reading(&receiver), Some(0));
    receiver.answer(0, 503);
    assert_eq!(reading(&receiver), None, "no more of the refused request is expected");
    receiver.receive(OFFER);
    assert_eq!(
        reading(&receiver),
        Some(1),
        "the next request has a new index, so its time limit starts again"
    );
    receiver.allow(10);
    receiver.receive("0123456789GET /b");
    assert_eq!(reading(&receiver), Some(2));
}
