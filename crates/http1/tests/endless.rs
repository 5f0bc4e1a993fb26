//! Messages without end: each is cut off within its limit, and nothing of it is kept.

use bytes::BytesMut;
use http1::{ByteBudget, Exchange, ExchangeError, ExpectedId, ServerConnection, ServerLimits};

const HEAD_BYTES: usize = 4 * 1024;
const BODY_BYTES: u64 = 256 * 1024;
/// Bytes that a peer sends before a test gives up on the receiver.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// Feeds `start`, then `repeated` again and again, until `receive` tells an end; returns it with the number
/// of bytes that were sent until then.
fn feed<T>(
    start: &str,
    repeated: &str,
    mut receive: impl FnMut(&mut BytesMut) -> Option<T>,
) -> Option<(T, usize)> {
    let mut input = BytesMut::from(start);
    let mut sent = input.len();
    while sent < MOST_BYTES {
        if let Some(end) = receive(&mut input) {
            return Some((end, sent));
        }
        input.extend_from_slice(repeated.as_bytes());
        sent += repeated.len();
    }
    None
}

/// Guards against an answer without end that is read until the caller's deadline: trailers and interim
/// answers were under no limit.
#[test]
fn an_answer_without_end_is_cut_off_within_its_limit() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let foreign = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno";
    let (head, body) = (HEAD_BYTES, BODY_BYTES as usize);
    for (name, start, repeated, expected, limit) in [
        ("head", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", ExchangeError::TooLong, head),
        ("head line", "HTTP/1.1 200 ", "OK", ExchangeError::TooLong, head),
        ("no answer", "zzzz", "zzzzzzzz", ExchangeError::TooLong, head),
        ("chunks", chunked, "4\r\nbody\r\n", ExchangeError::TooLong, 3 * body),
        ("chunk line", chunked, "4;ext=", ExchangeError::Malformed, 1_024),
        (
            "trailers",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-More: 1\r\n",
            ExchangeError::TooLong,
            2 * body,
        ),
        ("until close", "HTTP/1.1 200 OK\r\n\r\n", "body", ExchangeError::TooLong, 2 * body),
        (
            "interim answers",
            "",
            "HTTP/1.1 103 Early Hints\r\n\r\n",
            ExchangeError::TooLong,
            2 * head,
        ),
        (
            "grants nobody asked for",
            "",
            "HTTP/1.1 100 Continue\r\n\r\n",
            ExchangeError::TooLong,
            2 * head,
        ),
        ("answers to others", "", foreign, ExchangeError::Malformed, 1_024),
    ] {
        let id = ExpectedId { header: "X-Id".to_owned(), value: b"own".to_vec() };
        let budget = ByteBudget::new(u64::MAX);
        let mut exchange =
            Exchange::new("GET", Some(id), HEAD_BYTES, BODY_BYTES).with_budget(budget.clone());
        let end = feed(start, repeated, |input| exchange.receive(input).err());
        let (error, sent) = end.unwrap_or_else(|| panic!("{name}: read without end"));
        assert_eq!(error, expected, "{name}");
        assert!(sent <= limit + repeated.len(), "{name}: {sent} bytes");
        assert_eq!(budget.held(), 0, "{name}: nothing is kept");
    }
}

#[test]
fn a_request_without_end_is_cut_off_within_its_limit() {
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let trailers = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let (head, body) = (HEAD_BYTES, BODY_BYTES as usize);
    for (name, start, repeated, status, limit) in [
        ("head", "GET / HTTP/1.1\r\n", "X-Field: value\r\n", "431", head),
        ("target", "GET /", "aaaaaaaa", "431", head),
        ("chunks", chunked, "4\r\nbody\r\n", "413", 3 * body),
        ("chunk line", chunked, "4;ext=", "400", 1_024),
        ("trailers", trailers, "X-More: 1\r\n", "413", 2 * body),
    ] {
        let budget = ByteBudget::new(u64::MAX);
        let mut connection = ServerConnection::default().with_budget(budget.clone());
        let limits =
            ServerLimits { header_bytes: HEAD_BYTES, body_bytes: BODY_BYTES, holds_offers: false };
        let end = feed(start, repeated, |input| {
            let mut output = Vec::new();
            assert_eq!(connection.receive(input, limits, &mut output), []);
            (!output.is_empty()).then(|| String::from_utf8_lossy(&output).into_owned())
        });
        let (answer, sent) = end.unwrap_or_else(|| panic!("{name}: read without end"));
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {answer}");
        assert!(sent <= limit + repeated.len(), "{name}: {sent} bytes");
        assert!(connection.is_over(), "{name}: the connection is closed");
        assert_eq!(budget.held(), 0, "{name}: nothing is kept");
    }
}

const MIB: u64 = 1 << 20;

/// Guards against bodies that together fill the memory: one for which there is no room is refused by its
/// head, and what was reserved comes back with the last reference.
#[test]
fn a_body_for_which_there_is_no_room_is_refused_by_its_head() {
    let limits =
        ServerLimits { header_bytes: HEAD_BYTES, body_bytes: 64 * MIB, holds_offers: false };
    let budget = ByteBudget::new(20 * MIB);
    let connection = || ServerConnection::default().with_budget(budget.clone());
    let head = |bytes: u64| format!("POST / HTTP/1.1\r\nContent-Length: {bytes}\r\n\r\n");
    let receive = |connection: &mut ServerConnection, text: &str| {
        let mut output = Vec::new();
        let requests = connection.receive(&mut BytesMut::from(text), limits, &mut output);
        (requests, String::from_utf8(output).expect("text"))
    };

    let mut first = connection();
    assert_eq!(receive(&mut first, &head(10 * MIB)).1, "");
    assert_eq!(budget.held(), 10 * MIB, "charged before it arrives");
    let (_, refusal) = receive(&mut connection(), &head(10 * MIB));
    assert!(refusal.starts_with("HTTP/1.1 503 ") && refusal.contains("Retry-After"), "{refusal}");
    let (_, refusal) = receive(&mut connection(), &head(13 * MIB));
    assert!(refusal.starts_with("HTTP/1.1 413 "), "never any room: {refusal}");
    let (small, _) = receive(&mut connection(), &format!("{}body", head(4)));
    assert_eq!(small.len(), 1, "small ones are served meanwhile");
    drop(small);

    let (requests, _) = receive(&mut first, &"b".repeat((10 * MIB) as usize));
    let (_, request) = requests.into_iter().next().expect("it is complete");
    let body = request.body.clone();
    drop((request, first));
    assert_eq!(budget.held(), 10 * MIB, "whoever holds it");
    drop(body);
    assert_eq!(budget.held(), 0);
}
