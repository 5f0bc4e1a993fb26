//! Calls through a proxy of a fleet with keys: what breaks off runs nowhere, and what ran is answered.

mod secured_fleet;

use secured_fleet::{free_address, get, wait_until, Fleet, RunningProcess, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REQUEST: &str = "GET /balance HTTP/1.1\r\nHost: fares\r\n\r\n";
const TIMEOUT_MS: u32 = 5_000;
/// Longer than a proxy stops without a call.
const SLOW_WORK: Duration = Duration::from_millis(1_200);
/// How much later than its answer a caller reads.
const LATE: Duration = Duration::from_millis(300);
const SHORT_BYTES: usize = 4;
/// More than a receiver takes whose process does not read, and less than the kernel takes to send.
const KERNEL_BYTES: usize = 1_024 * 1_024;

/// Serves the platform's list, with one machine.
fn serve_machines(address: SocketAddr, backend: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let list = format!(
        "[{{\"service\":\"fares\",\"address\":\"{backend}\",\"incarnation\":1,\"state\":\"live\",\
         \"zone\":\"zone-a\",\"region\":\"south\"}}]"
    );
    serve_connections(listener, move |_| list.clone());
}

/// Starts a back end that says what it has read of each request; returns its address and the bodies.
fn start_backend() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind(free_address()).expect("the address is free");
    let address = listener.local_addr().expect("it is bound");
    let bodies = Arc::new(Mutex::new(Vec::new()));
    let seen = bodies.clone();
    serve_connections(listener, move |body| {
        seen.lock().expect("no thread panicked").push(body.to_owned());
        "ran".to_owned()
    });
    (address, bodies)
}

/// Starts a back end that works for a time on each request and answers with so many bytes; returns its
/// address and how many requests it has begun.
fn start_slow_backend(work: Duration, bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(free_address()).expect("the address is free");
    let address = listener.local_addr().expect("it is bound");
    let begun = Arc::new(AtomicUsize::new(0));
    let counted = begun.clone();
    serve_connections(listener, move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        thread::sleep(work);
        "x".repeat(bytes)
    });
    (address, begun)
}

/// Answers one request on each connection, in a thread of its own.
fn serve_connections(
    listener: TcpListener,
    answer: impl Fn(&str) -> String + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                if let Ok(body) = read_request(&stream) {
                    let answer = answer(&body);
                    let length = answer.len();
                    let _ = write!(
                        &stream,
                        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{answer}"
                    );
                }
            });
        }
    });
}

/// Reads one request with a length; returns its body.
fn read_request(stream: &TcpStream) -> std::io::Result<String> {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends bytes to the proxy, ends the stream in order or by a reset, and returns what comes back.
fn send_to_proxy(proxy: SocketAddr, bytes: &str, resets: bool) -> String {
    let mut stream = TcpStream::connect(proxy).expect("the proxy listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
    stream.write_all(bytes.as_bytes()).expect("the kernel accepts the bytes");
    if resets {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("it is set");
        return String::new();
    }
    stream.shutdown(Shutdown::Write).expect("the stream is open");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against half of an upload that passes for a whole request: a caller ended its stream between
/// two chunks, and the back end ran what had come.
#[test]
fn an_upload_that_breaks_off_runs_nowhere() {
    let fleet = Fleet::create();
    let (backend, bodies) = start_backend();
    serve_machines(fleet.platform, backend);
    let _running = fleet.start_all();
    fleet.write_bundle(1_000);
    fleet.roll_out(1, 0);
    let head = "POST /pay HTTP/1.1\r\nHost: fares\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let whole = [
        format!("{head}Content-Length: 5\r\n\r\nwhole"),
        format!("{chunked}2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"),
        format!("{chunked}2\r\nwh\r\n3\r\nole\r\n0\r\nLast: yes\r\n\r\n"),
    ];
    wait_until("a call runs", || send_to_proxy(fleet.proxy, &whole[0], false).contains(" 200 "));
    let broken = [
        format!("{head}Content-Length: 9\r\n\r\nhalf"),
        format!("{chunked}4\r\nha"),
        format!("{chunked}4\r\nhalf"),
        format!("{chunked}4\r\nhalf\r\n"),
        format!("{chunked}4\r\nhalf\r\n5"),
        format!("{chunked}4\r\nhalf\r\n0\r\n"),
        format!("{chunked}4\r\nhalf\r\n0\r\nLast: yes\r\n"),
        format!("{chunked}4\r\nhalf\r\nzzz\r\n"),
    ];
    for bytes in &broken {
        let answer = send_to_proxy(fleet.proxy, bytes, false);
        assert!(!answer.contains(" 200 "), "{bytes:?}: {answer}");
        send_to_proxy(fleet.proxy, bytes, true);
    }
    for bytes in &whole {
        let answer = send_to_proxy(fleet.proxy, bytes, false);
        assert!(answer.contains(" 200 ") && answer.ends_with("ran"), "{bytes:?}: {answer}");
    }
    let bodies = bodies.lock().expect("no thread panicked");
    assert!(bodies.iter().all(|body| body == "whole"), "{bodies:?}");
}

/// Starts a fleet whose proxy ends soon after its calls once it is asked to stop.
fn start_hasty(fleet: &Fleet) -> Vec<RunningProcess> {
    let running = vec![
        fleet.start("control", &["--bootstrap"]),
        fleet.start("relay", &[]),
        fleet.start("proxy", &["--set", "drain_notice_ms=100"]),
    ];
    wait_until("control leads", || get(fleet.metrics[0], "/readyz").is_some());
    running
}

/// Sends requests on one connection through a proxy; a back end works on the first one when this returns.
fn send_pipelined(fleet: &Fleet, begun: &AtomicUsize, requests: usize) -> TcpStream {
    wait_until("a call runs", || send_to_proxy(fleet.proxy, REQUEST, false).contains(" 200 "));
    begun.store(0, Ordering::SeqCst);
    let mut stream = TcpStream::connect(fleet.proxy).expect("the proxy listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
    stream.write_all(REQUEST.repeat(requests).as_bytes()).expect("the kernel accepts the bytes");
    wait_until("the back end works", || begun.load(Ordering::SeqCst) > 0);
    stream
}

/// Reads one response; returns its status and how much of its body arrived of how much was announced.
fn read_response(reader: &mut impl BufRead) -> Option<(String, usize, usize)> {
    let (mut status, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        if line == "\r\n" {
            break;
        }
        if status.is_empty() {
            line.split(' ').nth(1)?.clone_into(&mut status);
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = Vec::new();
    let _ = reader.take(length as u64).read_to_end(&mut body);
    Some((status, body.len(), length))
}

/// Guards against calls that are handled and get no answer: a stopping proxy closed behind the first answer,
/// and ran the others that it had read with it.
#[test]
fn pipelined_calls_that_a_stopping_proxy_has_read_are_answered() {
    let fleet = Fleet::create();
    let (backend, begun) = start_slow_backend(SLOW_WORK, SHORT_BYTES);
    serve_machines(fleet.platform, backend);
    let running = start_hasty(&fleet);
    fleet.write_bundle(TIMEOUT_MS);
    fleet.roll_out(1, 0);
    let stream = send_pipelined(&fleet, &begun, 3);
    signal(&running[2], "-TERM");
    let mut reader = BufReader::new(stream);
    let answers: Vec<_> = std::iter::from_fn(|| read_response(&mut reader)).collect();
    let expected = ("200".to_owned(), SHORT_BYTES, SHORT_BYTES);
    assert_eq!(answers, [expected.clone(), expected.clone(), expected]);
}

/// Guards against an answer that ends midway: the proxy exited while the kernel had still to send it, and
/// what its caller sent behind reset the connection.
#[test]
fn the_last_answer_of_a_stopping_proxy_is_delivered_though_its_caller_sends_more() {
    let fleet = Fleet::create();
    let (backend, begun) = start_slow_backend(SLOW_WORK, KERNEL_BYTES);
    serve_machines(fleet.platform, backend);
    let running = start_hasty(&fleet);
    fleet.write_bundle(TIMEOUT_MS);
    fleet.roll_out(1, 0);
    let mut stream = send_pipelined(&fleet, &begun, 1);
    signal(&running[2], "-TERM");
    let end = Instant::now() + SLOW_WORK + LATE;
    while Instant::now() < end && stream.write_all(REQUEST.as_bytes()).is_ok() {
        thread::sleep(Duration::from_millis(5));
    }
    let answer = read_response(&mut BufReader::new(stream));
    assert_eq!(answer, Some(("200".to_owned(), KERNEL_BYTES, KERNEL_BYTES)));
}

fn signal(process: &RunningProcess, name: &str) {
    let id = process.0.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().is_ok_and(|status| status.success()));
}
