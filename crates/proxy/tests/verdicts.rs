//! Tests the verdict for each way in which a backend can fail, and how often the call has run.

use proxy::{SendPolicy, UpstreamClient, UpstreamRequest};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use ureq::http::{HeaderMap, Method};
use verdict::Verdict;

const TIMEOUT: Duration = Duration::from_millis(400);
const MAX_BODY_BYTES: u64 = 64 * 1024;
const BODY: &[u8] = b"charge 12.50";
/// Longer than what the buffers of a connection hold while nothing is read.
const LONG_BODY_BYTES: usize = 8 << 20;
const LONG_UPLOADS: usize = 20;

/// How a backend fails on each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BackendFault {
    /// Nothing listens on the address.
    Refused,
    /// Closes the connection immediately after accepting it.
    BeforeHead,
    /// Closes the connection in the middle of the request head.
    MidHead,
    /// Closes the connection before the request body is received.
    MidBody,
    /// Sends a part of a response without a length in the middle of the request body, and closes the
    /// connection. Since it has not read everything, that resets the connection.
    BrokenOff,
    /// Runs the call, then closes the connection without sending a response.
    AfterBody,
    /// Runs the call, then closes the connection in the middle of the response head.
    MidResponseHead,
    /// Runs the call, then closes the connection in the middle of the response body.
    ShortResponse,
    /// Runs the call, then closes the connection between two chunks of the response.
    ShortChunks,
    /// Runs the call, then ends a response without a length by closing the connection in order.
    NoLength,
    /// Runs the call, then announces a response body longer than the limit.
    LongResponse,
    /// Runs the call, then sends more bytes than the announced length.
    MoreThanAnnounced,
    /// Runs the call, then responds after the timeout.
    Late,
    /// Runs the call, then closes the sending half of the connection without a response.
    HalfClosed,
    /// Runs the call, then sends the response one byte at a time until after the timeout.
    Trickle,
    /// Runs the call, then responds with bytes that are not HTTP.
    Garbage,
    /// Runs the call and responds correctly.
    NoFault,
}

/// Outcome of a call as seen by the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Observed {
    Complete,
    Failed(Verdict),
}

struct Backend {
    address: SocketAddr,
    runs: Arc<AtomicU32>,
}

fn backend(fault: BackendFault) -> Backend {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicU32::new(0));
    if fault == BackendFault::Refused {
        return Backend { address, runs };
    }
    let counter = runs.clone();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let counter = counter.clone();
            thread::spawn(move || serve(socket, fault, &counter));
        }
    });
    Backend { address, runs }
}

fn serve(mut socket: TcpStream, fault: BackendFault, runs: &AtomicU32) {
    match fault {
        BackendFault::BeforeHead => return,
        BackendFault::MidHead => {
            let _ = socket.read(&mut [0; 8]);
            return;
        }
        BackendFault::MidBody => {
            let _ = read_until_body(&mut socket);
            return;
        }
        BackendFault::BrokenOff => {
            let _ = read_until_body(&mut socket);
            // The body arrives as a whole; the rest of it stays unread.
            let _ = socket.read_exact(&mut [0]);
            send_response(&mut socket, fault);
            return;
        }
        _ => {}
    }
    let body_bytes_read = read_until_body(&mut socket);
    let mut rest = vec![0; BODY.len().saturating_sub(body_bytes_read)];
    if socket.read_exact(&mut rest).is_err() {
        return;
    }
    runs.fetch_add(1, Ordering::SeqCst);
    send_response(&mut socket, fault);
}

/// Reads to the end of the request head, one byte at a time; returns the number of body bytes that
/// were read with it, which is always 0.
fn read_until_body(socket: &mut TcpStream) -> usize {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        match socket.read(&mut byte) {
            Ok(1) => received.push(byte[0]),
            _ => return 0,
        }
    }
    0
}

fn send_response(socket: &mut TcpStream, fault: BackendFault) {
    let complete = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    let sent: &[u8] = match fault {
        BackendFault::AfterBody => return,
        BackendFault::HalfClosed => {
            let _ = socket.shutdown(Shutdown::Write);
            thread::sleep(2 * TIMEOUT);
            return;
        }
        BackendFault::Late => {
            thread::sleep(2 * TIMEOUT);
            complete
        }
        BackendFault::Trickle => {
            for byte in complete {
                let _ = socket.write_all(&[*byte]);
                thread::sleep(TIMEOUT / 10);
            }
            return;
        }
        BackendFault::MidResponseHead => b"HTTP/1.1 200 OK\r\nConte",
        BackendFault::ShortResponse => b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\ndo",
        BackendFault::ShortChunks => {
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"
        }
        BackendFault::BrokenOff => b"HTTP/1.1 200 OK\r\n\r\ndo",
        BackendFault::NoLength => b"HTTP/1.1 200 OK\r\n\r\ndone",
        BackendFault::LongResponse => b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\ndone",
        BackendFault::MoreThanAnnounced => {
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 200"
        }
        BackendFault::Garbage => b"\x00\x01\x02 not an answer\r\n\r\n",
        _ => complete,
    };
    let _ = socket.write_all(sent);
}

fn send(address: SocketAddr, client: &UpstreamClient, policy: SendPolicy) -> Observed {
    send_body(address, client, policy, BODY)
}

fn send_body(
    address: SocketAddr,
    client: &UpstreamClient,
    policy: SendPolicy,
    body: &[u8],
) -> Observed {
    let headers = HeaderMap::new();
    let result = client.send(
        address,
        &UpstreamRequest {
            method: &Method::POST,
            path: "/charge",
            headers: &headers,
            body,
            timeout: TIMEOUT,
            policy,
        },
    );
    match result {
        Ok(response) => {
            assert_eq!(response.body, b"done", "an incomplete response was passed on");
            Observed::Complete
        }
        Err(error) => Observed::Failed(error.verdict),
    }
}

#[test]
fn every_way_to_die_has_its_verdict() {
    use BackendFault::*;
    let may_have_run = Observed::Failed(Verdict::MayHaveRun);
    // Fault, outcome seen by the proxy, number of runs counted by the backend.
    let cases = [
        (Refused, Observed::Failed(Verdict::NotRun), 0),
        (BeforeHead, may_have_run, 0),
        (MidHead, may_have_run, 0),
        (MidBody, may_have_run, 0),
        (BrokenOff, may_have_run, 0),
        (AfterBody, may_have_run, 1),
        (MidResponseHead, may_have_run, 1),
        (ShortResponse, may_have_run, 1),
        (ShortChunks, may_have_run, 1),
        (NoLength, Observed::Complete, 1),
        (LongResponse, may_have_run, 1),
        (MoreThanAnnounced, Observed::Complete, 1),
        (Late, may_have_run, 1),
        (HalfClosed, may_have_run, 1),
        (Trickle, may_have_run, 1),
        (Garbage, may_have_run, 1),
        (NoFault, Observed::Complete, 1),
    ];
    for (fault, expected, runs) in cases {
        for policy in [SendPolicy::Once, SendPolicy::Repeatable] {
            let backend = backend(fault);
            let client = UpstreamClient::new(MAX_BODY_BYTES);
            let observed = send(backend.address, &client, policy);
            assert_eq!(observed, expected, "{fault:?} {policy:?}");
            let counted_runs = backend.runs.load(Ordering::SeqCst);
            assert_eq!(
                counted_runs, runs,
                "{fault:?} {policy:?}: the client library sent the request again"
            );
        }
    }
}

/// Guards against a half response that passes for a complete one since the connection was reset while
/// the request was still being sent.
#[test]
fn a_response_that_breaks_off_during_a_long_upload_is_not_complete() {
    let body = vec![b'x'; LONG_BODY_BYTES];
    for policy in [SendPolicy::Once, SendPolicy::Repeatable].repeat(LONG_UPLOADS) {
        let backend = backend(BackendFault::BrokenOff);
        let client = UpstreamClient::new(MAX_BODY_BYTES);
        let observed = send_body(backend.address, &client, policy, &body);
        assert_eq!(observed, Observed::Failed(Verdict::MayHaveRun), "{policy:?}");
    }
}

/// Heads of responses that would be whole with their last line.
const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Field: value\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
];

/// Starts a backend that answers so many calls on each connection whole, and stops in the head of the next.
fn backend_that_stops(head: &'static str, length: usize, whole: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            thread::spawn(move || {
                for _ in 0..whole {
                    read_until_body(&mut socket);
                    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
                }
                read_until_body(&mut socket);
                let _ = socket.write_all(&head.as_bytes()[..length]);
            });
        }
    });
    address
}

/// Sends a call without a body; returns the status and the length of the response's body.
fn call(
    client: &UpstreamClient,
    address: SocketAddr,
    method: &Method,
    policy: SendPolicy,
) -> Result<(u16, usize), Verdict> {
    let headers = HeaderMap::new();
    let (body, timeout) = (&[][..], 10 * TIMEOUT);
    let request =
        UpstreamRequest { method, path: "/balance", headers: &headers, body, timeout, policy };
    let response = client.send(address, &request).map_err(|error| error.verdict)?;
    Ok((response.status.as_u16(), response.body.len()))
}

#[test]
fn a_head_that_stops_at_any_byte_is_no_response() {
    let mut checked = 0;
    for head in HEADS {
        for length in 0..head.len() {
            for method in [Method::GET, Method::HEAD, Method::POST] {
                let address = backend_that_stops(head, length, 0);
                let client = UpstreamClient::new(MAX_BODY_BYTES);
                let stopped = call(&client, address, &method, SendPolicy::Once);
                let what = format!("{method} {:?}", &head[..length]);
                assert_eq!(stopped, Err(Verdict::MayHaveRun), "{what}");
                checked += 1;
            }
        }
    }
    assert!(checked > 500, "{checked}");
}

/// On a kept connection the head stops behind a whole response; the call may then be sent once more, on
/// another connection, and gets a whole response there.
#[test]
fn a_head_that_stops_behind_a_response_is_no_response() {
    let mut stopped = 0;
    for head in HEADS {
        for length in 0..head.len() {
            let address = backend_that_stops(head, length, 1);
            let client = UpstreamClient::new(MAX_BODY_BYTES);
            let what = &head[..length];
            for attempt in 0..2 {
                match call(&client, address, &Method::GET, SendPolicy::Repeatable) {
                    Ok(whole) => assert_eq!(whole, (200, 4), "{attempt} {what:?}"),
                    Err(verdict) => {
                        assert_eq!((verdict, attempt), (Verdict::MayHaveRun, 1), "{what:?}");
                        stopped += 1;
                    }
                }
            }
        }
    }
    assert!(stopped > 200, "{stopped} calls met a head that stops");
}

/// The late response to a call that timed out must not be returned for a later call.
#[test]
fn a_late_answer_never_reaches_another_call() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, socket) in listener.incoming().flatten().enumerate() {
            thread::spawn(move || {
                let mut socket = socket;
                loop {
                    read_until_body(&mut socket);
                    let mut body = vec![0; BODY.len()];
                    if socket.read_exact(&mut body).is_err() {
                        return;
                    }
                    if number == 0 {
                        thread::sleep(2 * TIMEOUT);
                        let late_response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
                        let _ = socket.write_all(late_response);
                    } else {
                        let own_response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
                        let _ = socket.write_all(own_response);
                    }
                }
            });
        }
    });
    let client = UpstreamClient::new(MAX_BODY_BYTES);
    let timed_out = send(address, &client, SendPolicy::Repeatable);
    assert_eq!(timed_out, Observed::Failed(Verdict::MayHaveRun));
    for _ in 0..5 {
        assert_eq!(send(address, &client, SendPolicy::Repeatable), Observed::Complete);
        thread::sleep(TIMEOUT / 2);
    }
}

/// Bytes after a response that has none, or after the announced length, look like a response. Name,
/// method, and what the backend sends to the first call.
const SURPLUS: &[(&str, Method, &str)] = &[
    ("length exceeded", Method::POST, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"),
    ("204 with bytes", Method::POST, "HTTP/1.1 204 No Content\r\n\r\n"),
    ("204 with a length", Method::POST, "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\ndone"),
    ("304 with bytes", Method::POST, "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\ndone"),
    ("HEAD with bytes", Method::HEAD, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"),
    (
        "chunks exceeded",
        Method::POST,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
];
const STRAY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

/// Guards against bytes that belong to no call and answer the next one on their connection.
#[test]
fn surplus_bytes_never_answer_another_call() {
    for late in [false, true] {
        for (name, method, first) in SURPLUS {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            thread::spawn(move || {
                for mut socket in listener.incoming().flatten() {
                    thread::spawn(move || {
                        read_until_body(&mut socket);
                        let _ = socket.write_all(first.as_bytes());
                        if late {
                            thread::sleep(TIMEOUT / 8);
                        }
                        let _ = socket.write_all(STRAY.as_bytes());
                        while socket.read(&mut [0; 4_096]).is_ok_and(|count| count > 0) {}
                    });
                }
            });
            let client = UpstreamClient::new(MAX_BODY_BYTES);
            for attempt in 0..3 {
                let headers = HeaderMap::new();
                let request = UpstreamRequest {
                    method,
                    path: "/charge",
                    headers: &headers,
                    body: if *method == Method::HEAD { b"" } else { BODY },
                    timeout: TIMEOUT,
                    policy: SendPolicy::Repeatable,
                };
                if let Ok(response) = client.send(address, &request) {
                    assert_ne!(response.body, b"stray", "{name}, late {late}, call {attempt}");
                }
                thread::sleep(TIMEOUT / 4);
            }
        }
    }
}
