//! An upstream stops in the middle of its answer's head and closes. Callers of a fleet must not get that
//! as a success, through one sidecar or two; operators' commands must not take it for an answer.

mod fleet;

use chutecove::operator::{encode_hex, OperatorClient, OperatorSettings};
use fleet::raw_http::{read_head, skip_body, RawHead};
use fleet::{wait_until, Fleet, RunningProcess, SERVICE};
use ring::rand::SystemRandom;
use ring::signature::Ed25519KeyPair;
use socket2::SockRef;
use std::fs;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CALLER: u8 = 11;
const UPSTREAM: u8 = 12;
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// More than the buffers of a connection take while its reader does not read.
const LONG_BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// Exit code of a command whose request may have taken effect.
const MAY_HAVE_RUN: i32 = 3;
/// Exit code of a command that reached nobody.
const UNREACHABLE: i32 = 4;

const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nX-Chutecove-Seal: seal\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Chutecove-Seal: seal\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\nX-Chutecove-Seal: seal\r\n\r\n",
];

/// How the upstream ends the connection behind a part of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    /// In order, after it has read the whole request.
    Closed,
    /// With a reset, after it has read the whole request.
    Reset,
    /// It reads no body, so that the rest of the request resets the connection.
    Unread,
    /// In order, behind an interim answer.
    AfterInterim,
}

const MANNERS: [Manner; 4] = [Manner::Closed, Manner::Reset, Manner::Unread, Manner::AfterInterim];

/// Path of a call to which the upstream answers with the first bytes of a head.
fn path(head: usize, length: usize, manner: Manner) -> String {
    let manner = MANNERS.iter().position(|other| *other == manner).expect("listed");
    format!("/one/{head}/{length}/{manner}")
}

/// Starts an upstream that does as [`path`] says, and answers whole otherwise; counts the stopped heads.
fn start_upstream(fleet: &Fleet) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind((fleet.ip(UPSTREAM), fleet.ports.upstream)).expect("free");
    let stopped = Arc::new(AtomicUsize::new(0));
    let counted = stopped.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let stopped = counted.clone();
            thread::spawn(move || serve(stream, &stopped));
        }
    });
    stopped
}

/// Serves one connection; `None` once it is closed.
fn serve(mut stream: TcpStream, stopped: &AtomicUsize) -> Option<()> {
    let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
    loop {
        let head = read_head(&mut reader)?;
        let numbers: Vec<usize> =
            head.target.split('/').filter_map(|word| word.parse().ok()).collect();
        let [kind, length, manner, ..] = numbers[..] else {
            skip_body(&mut reader, &head)?;
            let answer =
                "HTTP/1.1 200 OK\r\nX-Chutecove-Seal: seal\r\nContent-Length: 4\r\n\r\ndone";
            stream.write_all(answer.as_bytes()).ok()?;
            continue;
        };
        let manner = MANNERS[manner];
        if manner != Manner::Unread {
            skip_body(&mut reader, &head)?;
        }
        if manner == Manner::AfterInterim {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok()?;
        }
        stream.write_all(&HEADS[kind].as_bytes()[..length]).ok()?;
        stopped.fetch_add(1, Ordering::SeqCst);
        if manner == Manner::Reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()?;
        }
        return None;
    }
}

struct World {
    fleet: Fleet,
    stopped: Arc<AtomicUsize>,
    _processes: Vec<RunningProcess>,
}

impl World {
    fn start(network: u8) -> Self {
        let fleet = Fleet::new(network);
        let mut processes: Vec<_> =
            (1..=3).map(|host| fleet.start_coordinator(host, true)).collect();
        let stopped = start_upstream(&fleet);
        processes.push(fleet.start_sidecar(CALLER, "callers"));
        processes.push(fleet.start_sidecar(UPSTREAM, SERVICE));
        wait_until("the first configuration is accepted", || {
            fleet.put_configuration(2, 0, 5, "one") == Some(200)
        });
        wait_until("the upstream registers", || fleet.register(UPSTREAM, "i-1", 1, false));
        for host in [CALLER, UPSTREAM] {
            wait_until("a call is served", || {
                fleet.call(host, "/one/x").is_some_and(|(status, _)| status == 200)
            });
        }
        World { fleet, stopped, _processes: processes }
    }

    /// Sends a call through the sidecar of a host; returns the head of the answer.
    fn call(&self, host: u8, start_line: &str, body_bytes: usize, id: &str) -> RawHead {
        let address = (self.fleet.ip(host), self.fleet.ports.outbound);
        let mut stream = TcpStream::connect(address).expect("the sidecar listens");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("it is set");
        let head = format!(
            "{start_line}\r\nHost: fares.example\r\nX-Chutecove-Attempt-Id: {id}\r\n\
             Connection: close\r\nContent-Length: {body_bytes}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("sent");
        stream.write_all(&vec![b'x'; body_bytes]).expect("sent");
        read_head(&mut BufReader::new(stream)).expect("a call is answered")
    }
}

fn check(answer: &RawHead, what: &str) {
    assert!(["502", "503", "504"].contains(&answer.target.as_str()), "{what}: {:?}", answer.lines);
    let sealed = |line: &String| line.to_ascii_lowercase().starts_with("x-chutecove-seal");
    assert!(!answer.lines.iter().any(sealed), "{what}: {:?}", answer.lines);
}

#[test]
fn a_head_that_stops_at_any_byte_is_no_success_for_callers() {
    let world = World::start(40);
    let mut calls = 0;
    for (kind, head) in HEADS.iter().enumerate() {
        for length in 0..head.len() {
            let manner = MANNERS[(length + kind) % MANNERS.len()];
            for host in [CALLER, UPSTREAM] {
                for (method, version, bytes) in [
                    ("GET", "1.1", 0),
                    ("HEAD", "1.1", 0),
                    ("POST", "1.1", 300),
                    ("POST", "1.0", 300),
                    ("GET", "1.0", 0),
                ] {
                    if calls % 2 == 0 {
                        // The head then stops behind a whole answer on the same connection.
                        let whole =
                            world.call(host, "GET /one/x HTTP/1.1", 0, &format!("w-{calls}"));
                        assert_eq!(whole.target, "200", "{:?}", whole.lines);
                    }
                    let path = path(kind, length, manner);
                    let line = format!("{method} {path}/{calls} HTTP/{version}");
                    let answer = world.call(host, &line, bytes, &format!("h-{calls}"));
                    check(&answer, &format!("{line} through {host}, {manner:?}"));
                    calls += 1;
                }
            }
        }
    }
    let stopped = world.stopped.load(Ordering::SeqCst);
    println!("{calls} calls, {stopped} heads that stopped");
    assert!(stopped >= calls / 2, "only {stopped} of {calls} calls met a head that stops");
}

#[test]
fn a_head_that_stops_during_an_upload_is_no_success() {
    let world = World::start(41);
    for (kind, head) in HEADS.iter().enumerate() {
        for length in (1..head.len()).step_by(7).chain([head.len() - 1]) {
            let line = format!("POST {} HTTP/1.1", path(kind, length, Manner::Unread));
            let answer = world.call(CALLER, &line, LONG_BODY_BYTES, &format!("u-{kind}-{length}"));
            check(&answer, &line);
        }
    }
    assert!(world.stopped.load(Ordering::SeqCst) > 0);
}

/// Starts an API that answers each request with the first bytes of an answer.
fn start_stopping_api(answer: &'static str, length: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let reader = stream.try_clone().map(BufReader::new);
            if reader.ok().and_then(|mut reader| read_head(&mut reader)).is_some() {
                let _ = stream.write_all(&answer.as_bytes()[..length]);
            }
        }
    });
    address
}

/// Starts an API that stops in the head of its first answer and gives the whole answer from then on.
fn start_recovering_api(answer: &'static str, length: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for (number, mut stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let sent = if number == 0 { length } else { answer.len() };
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            if let Some(head) = read_head(&mut reader) {
                let _ = skip_body(&mut reader, &head);
                let _ = stream.write_all(&answer.as_bytes()[..sent]);
            }
        }
    });
    address
}

fn operator_client(folder: &Path, api: SocketAddr) -> OperatorClient {
    let key_file = folder.join("operator.key");
    let key = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new()).expect("generated");
    fs::write(&key_file, encode_hex(key.as_ref())).expect("written");
    let operator = "alice".to_owned();
    let settings = OperatorSettings { operator, key_file, seal_key_file: None, api: vec![api] };
    OperatorClient::new(settings).expect("the key is read")
}

const OPERATORS_ANSWER: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\n12345";

/// The client asks again, under the same id, and takes the whole answer.
fn check_operator(length: usize) {
    let folder = tempfile::tempdir().expect("a folder");
    for method in ["GET", "POST"] {
        let api = start_recovering_api(OPERATORS_ANSWER, length);
        let client = operator_client(folder.path(), api);
        let answer = match method {
            "GET" => client.get::<u32>("/v1/status"),
            _ => client.post::<u32>("/v1/bundles", b"bundle", None),
        };
        assert_eq!(answer, Ok(12_345), "{method}, {:?}", &OPERATORS_ANSWER[..length]);
    }
}

#[test]
fn a_head_that_stops_at_any_byte_is_no_answer_for_operators() {
    thread::scope(|scope| {
        for length in 0..OPERATORS_ANSWER.len() {
            scope.spawn(move || check_operator(length));
        }
    });
}

fn exit_code(arguments: &[&str], coordinator: SocketAddr) -> Option<i32> {
    let coordinator = coordinator.to_string();
    let output = Command::new(fleet::PROGRAM)
        .args(arguments)
        .args(["--coordinator", &coordinator])
        .output()
        .expect("it runs");
    output.status.code()
}

#[test]
fn a_head_that_stops_at_any_byte_is_no_answer_for_commands() {
    const ANSWERS: [&str; 2] = [
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
    ];
    for answer in ANSWERS {
        let head_bytes = answer.find("\r\n\r\n").expect("a whole head") + 4;
        for length in 0..head_bytes {
            let api = start_stopping_api(answer, length);
            let ordered = exit_code(&["zone", "evacuate", "zone-a"], api);
            assert_eq!(ordered, Some(MAY_HAVE_RUN), "an order, {:?}", &answer[..length]);
            let listed = exit_code(&["zone", "list"], api);
            assert_eq!(listed, Some(UNREACHABLE), "a list, {:?}", &answer[..length]);
        }
    }
    let api = start_stopping_api(ANSWERS[0], ANSWERS[0].len());
    assert_eq!(exit_code(&["zone", "list"], api), Some(0), "the whole answer is taken");
}
