//! Requests that were taken from a connection are answered before it closes, and nothing else is.

use bytes::BytesMut;
use expect_test::{expect, Expect};
use http1::{Response, ServerConnection, ServerLimits, Slot};

const LIMITS: ServerLimits =
    ServerLimits { header_bytes: 1_024, body_bytes: 64, holds_offers: false };
const THREE: &str = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n";

struct Connection {
    core: ServerConnection,
    input: BytesMut,
    output: Vec<u8>,
    slots: Vec<Slot>,
}

impl Connection {
    fn new() -> Self {
        Connection {
            core: ServerConnection::default(),
            input: BytesMut::new(),
            output: Vec::new(),
            slots: Vec::new(),
        }
    }

    fn receive(&mut self, bytes: &str) {
        self.input.extend_from_slice(bytes.as_bytes());
        let requests = self.core.receive(&mut self.input, LIMITS, &mut self.output);
        self.slots.extend(requests.iter().map(|(slot, _)| *slot));
    }

    /// Answers the request with this number, from 1; returns whether the connection is over.
    fn answer(&mut self, number: usize, close: bool) -> bool {
        let response = Response::text(200, &format!("answer {number}"));
        self.core.answer(self.slots[number - 1], response, close, &mut self.output)
    }

    /// The answers so far, and whether each closes the connection.
    fn answers(&self) -> String {
        let text = String::from_utf8_lossy(&self.output);
        let answers = text.split("HTTP/1.1 200 OK\r\n").skip(1).map(|answer| {
            let (_, body) = answer.split_once("\r\n\r\n").expect("a whole head");
            let closes = answer.contains("Connection: close");
            format!("{body}{}\n", if closes { ", closes" } else { "" })
        });
        answers.collect()
    }
}

fn check(connection: &Connection, expected: &Expect) {
    expected.assert_eq(&connection.answers());
}

#[test]
fn requests_behind_an_answer_that_closes_are_answered_if_they_were_taken() {
    let mut connection = Connection::new();
    connection.receive(THREE);
    assert!(!connection.answer(1, true), "two requests are unanswered");
    assert!(!connection.answer(3, false));
    assert!(connection.answer(2, false));
    check(
        &connection,
        &expect![[r"
        answer 1
        answer 2
        answer 3, closes
    "]],
    );
}

#[test]
fn the_last_answer_closes_even_if_it_was_given_first() {
    let mut connection = Connection::new();
    connection.receive(THREE);
    connection.answer(3, false);
    connection.answer(2, false);
    assert!(connection.answer(1, true));
    check(
        &connection,
        &expect![[r"
        answer 1
        answer 2
        answer 3, closes
    "]],
    );
}

#[test]
fn nothing_is_taken_once_an_answer_closes() {
    let mut connection = Connection::new();
    connection.receive(THREE);
    connection.answer(1, true);
    connection.receive("GET /4 HTTP/1.1\r\n\r\nGET /5");
    assert_eq!(connection.slots.len(), 3);
    assert_eq!(connection.core.reading(&connection.input), None, "it is not waited for either");
    connection.answer(2, true);
    assert!(connection.answer(3, true));
    check(
        &connection,
        &expect![[r"
        answer 1
        answer 2
        answer 3, closes
    "]],
    );
}
