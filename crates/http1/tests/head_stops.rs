//! An answer whose head stops midway is no answer, at whichever byte it stops and whatever came before.

use bytes::BytesMut;
use http1::{Answer, Exchange, ExchangeError, ExpectedId, StreamEnd};

/// Heads of answers that would be whole with their last line.
const HEADS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\nX-Id: mine\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Id: mine\r\n\r\n",
    "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
];
/// What comes before the head: interim answers, and an answer to another request.
const BEFORE: [&str; 4] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother",
];
const METHODS: [&str; 4] = ["GET", "POST", "HEAD", "PUT"];
const ENDS: [StreamEnd; 2] = [StreamEnd::Clean, StreamEnd::Reset];

fn exchange(method: &str) -> Exchange {
    let expected = ExpectedId { header: "X-Id".to_owned(), value: b"mine".to_vec() };
    Exchange::new(method, Some(expected), 1_024, 1_024)
}

/// What becomes of an exchange whose connection ends after these bytes, which arrive in the given pieces.
fn end_after(method: &str, pieces: &[&[u8]], end: StreamEnd) -> Result<Answer, ExchangeError> {
    let mut exchange = exchange(method);
    let mut input = BytesMut::new();
    for piece in pieces {
        input.extend_from_slice(piece);
        if let Some(answer) = exchange.receive(&mut input)? {
            return Ok(answer);
        }
    }
    exchange.end_of_stream(end)
}

#[test]
fn a_head_that_stops_at_any_byte_is_no_answer() {
    let mut cases = 0;
    for (head, before) in HEADS.iter().flat_map(|head| BEFORE.map(|before| (head, before))) {
        for length in 0..head.len() {
            let bytes = [before.as_bytes(), &head.as_bytes()[..length]].concat();
            let singly: Vec<&[u8]> = bytes.chunks(1).collect();
            let expected = match bytes.is_empty() {
                true => ExchangeError::NoAnswer,
                false => ExchangeError::CutShort,
            };
            for (method, end) in METHODS.iter().flat_map(|method| ENDS.map(|end| (method, end))) {
                for pieces in [&[&bytes[..]][..], &singly] {
                    let ended = end_after(method, pieces, end);
                    assert_eq!(ended, Err(expected), "{before}{:?}, {method}", &head[..length]);
                    cases += 1;
                }
            }
        }
    }
    assert!(cases > 10_000, "{cases}");
}

/// The check must be able to fail: with its last byte each of these heads is an answer.
#[test]
fn a_whole_head_is_an_answer_once_its_body_is_there() {
    for (head, before) in HEADS.iter().flat_map(|head| BEFORE.map(|before| (head, before))) {
        let bytes = [before, head].concat();
        let body = match head {
            head if head.contains("chunked") => "0\r\n\r\n",
            head if head.contains("12") => "twelve bytes",
            _ => "",
        };
        let ended = end_after("GET", &[bytes.as_bytes(), body.as_bytes()], StreamEnd::Clean);
        assert!(ended.is_ok(), "{bytes:?}: {ended:?}");
    }
}
