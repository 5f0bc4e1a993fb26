//! Every way a back end can die, what the proxy then knows, and how often the call had run.

use proxy::{SendPolicy, UpstreamClient, UpstreamRequest};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use touche::{HeaderMap, Method};
use verdict::Verdict;

const TIMEOUT: Duration = Duration::from_millis(400);
const MAX_BODY_BYTES: u64 = 64 * 1024;
const BODY: &[u8] = b"charge 12.50";

/// What a back end does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Death {
    /// Nothing listens.
    Refused,
    /// Closed as soon as accepted.
    BeforeHead,
    /// Closed in the middle of the request's head.
    MidHead,
    /// Closed in the middle of the request's body.
    MidBody,
    /// Ran the call, closed without a byte of an answer.
    AfterBody,
    /// Ran it, closed in the middle of the answer's head.
    MidAnswerHead,
    /// Ran it, closed in the middle of the answer's body.
    ShortAnswer,
    /// Ran it, announced a length above the limit.
    LongAnswer,
    /// Ran it, sent more than it announced.
    MoreThanAnnounced,
    /// Ran it, answers after the deadline.
    Late,
    /// Ran it, closed its sending half without an answer.
    HalfClosed,
    /// Ran it, sends its answer one byte at a time, past the deadline.
    Trickle,
    /// Ran it, answers what is not HTTP.
    Garbage,
    /// Answers as it should.
    Never,
}

/// How the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Whole,
    Lost(Verdict),
}

struct Backend {
    address: SocketAddr,
    runs: Arc<AtomicU32>,
}

fn backend(death: Death) -> Backend {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicU32::new(0));
    if death == Death::Refused {
        return Backend { address, runs };
    }
    let counter = runs.clone();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let counter = counter.clone();
            thread::spawn(move || serve(socket, death, &counter));
        }
    });
    Backend { address, runs }
}

fn serve(mut socket: TcpStream, death: Death, runs: &AtomicU32) {
    match death {
        Death::BeforeHead => return,
        Death::MidHead => {
            let _ = socket.read(&mut [0; 8]);
            return;
        }
        Death::MidBody => {
            let _ = read_until_body(&mut socket);
            return;
        }
        _ => {}
    }
    let held = read_until_body(&mut socket);
    let mut rest = vec![0; BODY.len().saturating_sub(held)];
    if socket.read_exact(&mut rest).is_err() {
        return;
    }
    runs.fetch_add(1, Ordering::SeqCst);
    answer(&mut socket, death);
}

/// Reads to the end of the head; returns how much of the body came with it.
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

fn answer(socket: &mut TcpStream, death: Death) {
    let whole = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    let sent: &[u8] = match death {
        Death::AfterBody => return,
        Death::HalfClosed => {
            let _ = socket.shutdown(Shutdown::Write);
            thread::sleep(2 * TIMEOUT);
            return;
        }
        Death::Late => {
            thread::sleep(2 * TIMEOUT);
            whole
        }
        Death::Trickle => {
            for byte in whole {
                let _ = socket.write_all(&[*byte]);
                thread::sleep(TIMEOUT / 10);
            }
            return;
        }
        Death::MidAnswerHead => b"HTTP/1.1 200 OK\r\nConte",
        Death::ShortAnswer => b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\ndo",
        Death::LongAnswer => b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\ndone",
        Death::MoreThanAnnounced => b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 200",
        Death::Garbage => b"\x00\x01\x02 not an answer\r\n\r\n",
        _ => whole,
    };
    let _ = socket.write_all(sent);
}

fn send(address: SocketAddr, client: &UpstreamClient, policy: SendPolicy) -> Seen {
    let headers = HeaderMap::new();
    let answered = client.send(
        address,
        &UpstreamRequest {
            method: &Method::POST,
            path: "/charge",
            headers: &headers,
            body: BODY,
            timeout: TIMEOUT,
            policy,
        },
    );
    match answered {
        Ok(answer) => {
            assert_eq!(answer.body, b"done", "an answer that is not whole was passed on");
            Seen::Whole
        }
        Err(error) => Seen::Lost(error.verdict),
    }
}

#[test]
fn every_way_to_die_has_its_verdict() {
    use Death::*;
    let lost = Seen::Lost(Verdict::MayHaveRun);
    // Death, what the proxy knows, runs counted by the back end.
    let rows = [
        (Refused, Seen::Lost(Verdict::NotRun), 0),
        (BeforeHead, lost, 0),
        (MidHead, lost, 0),
        (MidBody, lost, 0),
        (AfterBody, lost, 1),
        (MidAnswerHead, lost, 1),
        (ShortAnswer, lost, 1),
        (LongAnswer, lost, 1),
        (MoreThanAnnounced, Seen::Whole, 1),
        (Late, lost, 1),
        (HalfClosed, lost, 1),
        (Trickle, lost, 1),
        (Garbage, lost, 1),
        (Never, Seen::Whole, 1),
    ];
    for (death, expected, runs) in rows {
        for policy in [SendPolicy::Once, SendPolicy::Repeatable] {
            let backend = backend(death);
            let client = UpstreamClient::new(MAX_BODY_BYTES);
            let seen = send(backend.address, &client, policy);
            assert_eq!(seen, expected, "{death:?} {policy:?}");
            let counted = backend.runs.load(Ordering::SeqCst);
            assert_eq!(counted, runs, "{death:?} {policy:?}: the library sent again");
        }
    }
}

/// The answer of a call that was given up must not reach the next call.
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
                        let late = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
                        let _ = socket.write_all(late);
                    } else {
                        let own = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
                        let _ = socket.write_all(own);
                    }
                }
            });
        }
    });
    let client = UpstreamClient::new(MAX_BODY_BYTES);
    let given_up = send(address, &client, SendPolicy::Repeatable);
    assert_eq!(given_up, Seen::Lost(Verdict::MayHaveRun));
    for _ in 0..5 {
        assert_eq!(send(address, &client, SendPolicy::Repeatable), Seen::Whole);
        thread::sleep(TIMEOUT / 2);
    }
}
