//! Which input is accepted as a request or a response, and which is rejected.

use bytes::BytesMut;
use http1::{
    Exchange, ExchangeError, ExpectedId, Request, Response, ServerConnection, ServerLimits,
    StreamEnd,
};

const LIMITS: ServerLimits =
    ServerLimits { header_bytes: 1_024, body_bytes: 64, holds_offers: false };

fn receive(bytes: &[u8]) -> (Vec<Request>, String) {
    let mut connection = ServerConnection::default();
    let mut output = Vec::new();
    let mut input = BytesMut::from(bytes);
    let requests = connection.receive(&mut input, LIMITS, &mut output);
    let requests = requests.into_iter().map(|(_, request)| request).collect();
    (requests, String::from_utf8_lossy(&output).into_owned())
}

#[test]
fn requests_that_can_be_read_in_two_ways_are_refused() {
    let long_name = format!("GET / HTTP/1.1\r\n{}: x\r\n\r\n", "a".repeat(2_000));
    let rows: &[(&str, &str)] = &[
        ("two lengths", "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
        ("two equal lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na"),
        ("length list", "POST / HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\nab"),
        ("signed length", "POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\nab"),
        (
            "length and chunked encoding",
            "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        (
            "another transfer coding",
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        ),
        (
            "two transfer codings",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        ),
        (
            "chunked encoding in HTTP/1.0",
            "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        ("bare line feed", "GET / HTTP/1.1\nHost: a\n\n"),
        ("bare line feed within", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n"),
        ("folded header", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n"),
        ("space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n"),
        (
            "chunk size with sign",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n",
        ),
        (
            "chunk size with space",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\na\r\n",
        ),
        ("chunk size 0x", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n"),
        (
            "long chunk size",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n000000001\r\na\r\n",
        ),
        ("chunk without end", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"),
        ("no request line", "\r\n\r\nGET / HTTP/1.1\r\n\r\n"),
        ("random bytes", "\u{1}\u{2}\u{3}\u{4}\r\n\r\n"),
    ];
    for (name, bytes) in rows {
        let (requests, output) = receive(bytes.as_bytes());
        assert!(requests.is_empty(), "{name}: {requests:?}");
        assert!(output.starts_with("HTTP/1.1 400 "), "{name}: {output}");
        assert!(output.contains("Connection: close"), "{name}: {output}");
    }
    let (requests, output) = receive(long_name.as_bytes());
    assert!(requests.is_empty() && output.starts_with("HTTP/1.1 431 "), "{output}");
    let (requests, output) = receive(b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n");
    assert!(requests.is_empty() && output.starts_with("HTTP/1.1 413 "), "{output}");
}

#[test]
fn a_request_in_any_pieces_is_the_same_request() {
    let message = b"POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\nGET /next HTTP/1.1\r\n\r\n";
    for split in 0..message.len() {
        let mut connection = ServerConnection::default();
        let mut output = Vec::new();
        let mut input = BytesMut::from(&message[..split]);
        let mut requests = connection.receive(&mut input, LIMITS, &mut output);
        input.extend_from_slice(&message[split..]);
        requests.extend(connection.receive(&mut input, LIMITS, &mut output));
        assert_eq!(requests.len(), 2, "split at {split}");
        assert_eq!(requests[0].1.body, &b"abcde"[..]);
        assert_eq!(requests[0].1.target, "/a?b=c");
        assert_eq!(requests[1].1.target, "/next");
        assert!(output.is_empty());
    }
}

#[test]
fn answers_go_out_in_the_order_of_the_requests() {
    let mut connection = ServerConnection::default();
    let mut output = Vec::new();
    let mut input = BytesMut::from(&b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"[..]);
    let requests = connection.receive(&mut input, LIMITS, &mut output);
    let (first, second) = (requests[0].0, requests[1].0);
    assert!(!connection.answer(second, Response::text(200, "two"), false, &mut output));
    assert!(output.is_empty(), "the second answer waits for the first");
    assert!(!connection.answer(first, Response::text(200, "one"), false, &mut output));
    let text = String::from_utf8(output).expect("text");
    assert!(text.find("one") < text.find("two"), "{text}");
}

#[test]
fn nothing_is_read_behind_a_request_that_closes() {
    let bytes = b"GET /1 HTTP/1.1\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    let (requests, _) = receive(bytes);
    assert_eq!(requests.len(), 1);
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
    let (mut requests, _) = receive(
        b"GET / HTTP/1.1\r\nConnection: X-Mine, close\r\nX-Mine: 1\r\nKeep-Alive: 2\r\n\
        TE: trailers\r\nX-Kept: 3\r\n\r\n",
    );
    let headers = &mut requests[0].headers;
    headers.remove_connection_headers();
    let names: Vec<&str> = headers.iter().map(|(name, _)| name).collect();
    assert_eq!(names, ["X-Kept"]);
}

fn exchange() -> Exchange {
    let expected = ExpectedId { header: "id".to_owned(), value: b"7".to_vec() };
    Exchange::new("GET", Some(expected), 1_024, 64)
}

/// Status, body and whether the connection can be reused; or the error.
type Outcome = Result<(u16, Vec<u8>, bool), ExchangeError>;

/// Name, received bytes, how the connection ends after them, and the expected outcome.
type Row = (&'static str, &'static [u8], Option<StreamEnd>, Option<Outcome>);

fn response_outcome(bytes: &[u8], end: Option<StreamEnd>) -> Option<Outcome> {
    let mut exchange = exchange();
    let mut input = BytesMut::from(bytes);
    let outcome = |answer: http1::Answer| {
        (answer.response.status, answer.response.body.to_vec(), answer.reusable)
    };
    match exchange.receive(&mut input) {
        Ok(Some(answer)) => Some(Ok(outcome(answer))),
        Err(error) => Some(Err(error)),
        Ok(None) => end.map(|end| exchange.end_of_stream(end).map(outcome)),
    }
}

#[test]
fn answers_are_whole_and_ones_own_or_no_answers() {
    let clean = Some(StreamEnd::Clean);
    let reset = Some(StreamEnd::Reset);
    let ok = |body: &str, reusable| Some(Ok((200, body.as_bytes().to_vec(), reusable)));
    let rows: Vec<Row> = vec![
        (
            "complete response",
            b"HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 2\r\n\r\nab",
            None,
            ok("ab", true),
        ),
        (
            "interim first",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            None,
            ok("", true),
        ),
        (
            "bytes after the response",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n",
            None,
            ok("ab", false),
        ),
        (
            "response to another request first",
            b"HTTP/1.1 200 OK\r\nid: 6\r\nContent-Length: 1\r\n\r\nx\
              HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 2\r\n\r\nab",
            None,
            ok("ab", false),
        ),
        (
            "only a response to another request",
            b"HTTP/1.1 200 OK\r\nid: 6\r\nContent-Length: 1\r\n\r\nx",
            reset,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "connection closes",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na",
            None,
            ok("a", false),
        ),
        ("without length", b"HTTP/1.1 200 OK\r\n\r\nab", clean, ok("ab", false)),
        (
            "without length, reset",
            b"HTTP/1.1 200 OK\r\n\r\nab",
            reset,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "short of its length",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
            clean,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "without last chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            clean,
            Some(Err(ExchangeError::CutShort)),
        ),
        ("HTTP/1.0 without length", b"HTTP/1.0 200 OK\r\n\r\nab", clean, ok("ab", false)),
        (
            "HTTP/1.0 without length, reset",
            b"HTTP/1.0 200 OK\r\n\r\nab",
            reset,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "HTTP/1.0 short of its length",
            b"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nab",
            clean,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "HTTP/1.0 that keeps the connection",
            b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nab",
            None,
            ok("ab", true),
        ),
        (
            "closes short of its length",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nab",
            clean,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "within a chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab",
            clean,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "within the last chunk's line",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
            clean,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "two lengths",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd",
            None,
            Some(Err(ExchangeError::Malformed)),
        ),
        (
            "length and chunked encoding",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            None,
            Some(Err(ExchangeError::Malformed)),
        ),
        (
            "within the head",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            clean,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "interim only",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            clean,
            Some(Err(ExchangeError::CutShort)),
        ),
        (
            "no content, with bytes",
            b"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nab",
            None,
            Some(Ok((204, Vec::new(), false))),
        ),
        (
            "not modified, with bytes",
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nab",
            None,
            Some(Ok((304, Vec::new(), false))),
        ),
        (
            "not modified, with a length",
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
            None,
            Some(Ok((304, Vec::new(), true))),
        ),
        ("no bytes", b"", clean, Some(Err(ExchangeError::NoAnswer))),
        ("garbage", b"\x00\x01garbage\r\n\r\n", None, Some(Err(ExchangeError::Malformed))),
        (
            "too long",
            b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n",
            None,
            Some(Err(ExchangeError::TooLong)),
        ),
    ];
    for (name, bytes, end, expected) in rows {
        assert_eq!(response_outcome(bytes, end), expected, "{name}");
    }
}

#[test]
fn an_answer_to_head_has_no_body_whatever_its_length_says() {
    let mut exchange = Exchange::new("HEAD", None, 1_024, 64);
    let mut input = BytesMut::from(&b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"[..]);
    let answer = exchange.receive(&mut input).expect("well formed").expect("complete");
    assert_eq!((answer.response.body.len(), answer.reusable), (0, true));
    let mut exchange = Exchange::new("HEAD", None, 1_024, 64);
    let mut input = BytesMut::from(&b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"[..]);
    let answer = exchange.receive(&mut input).expect("well formed").expect("complete");
    assert_eq!((answer.response.body.len(), answer.reusable), (0, false));
}

/// An upload is a request only once its framing says that it is complete; the end of the stream adds
/// nothing to it.
#[test]
fn an_upload_that_breaks_off_is_no_request() {
    let whole: &[&[u8]] = &[
        b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nwhole",
        b"POST / HTTP/1.0\r\nContent-Length: 5\r\n\r\nwhole",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nT: u\r\n\r\n",
    ];
    for message in whole {
        for cut in 0..message.len() {
            let (requests, output) = receive(&message[..cut]);
            assert!(requests.is_empty() && output.is_empty(), "{cut}: {requests:?} {output}");
        }
        let (requests, _) = receive(message);
        assert_eq!(requests.len(), 1);
        assert_eq!(requests[0].body, &b"whole"[..]);
    }
}

#[test]
fn no_bytes_at_all_make_it_panic() {
    let mut rng = fastrand::Rng::with_seed(11);
    let pieces: [&[u8]; 12] = [
        b"GET ",
        b"/ HTTP/1.1",
        b"\r\n",
        b"\n",
        b"Content-Length: ",
        b"9",
        b"Transfer-Encoding: ",
        b"chunked",
        b"0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"\xff\x00",
        b": ",
    ];
    for _ in 0..20_000 {
        let count = rng.usize(0..14);
        let bytes: Vec<u8> =
            (0..count).flat_map(|_| pieces[rng.usize(..pieces.len())].to_vec()).collect();
        let _ = receive(&bytes);
        let _ = response_outcome(&bytes, Some(StreamEnd::Clean));
    }
}
