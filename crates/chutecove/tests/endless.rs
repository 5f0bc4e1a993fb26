//! Real processes: upstreams that send bytes without end, and large uploads at once. Memory stays bounded,
//! the connection is closed, and other calls are served.

mod fleet;

use fleet::{wait_until, Fleet, RunningProcess};
use mesh::{
    encode_frame, CoordinatorFrame, Greeting, NodeAddress, NodeLoad, Purpose, UpstreamLoad,
    PROTOCOL_VERSION,
};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

const CALLER: u8 = 11;
const UPSTREAM: u8 = 12;
const SERVICE: &str = fleet::SERVICE;
/// Memory of the smallest machine that a sidecar is made for, and the part of it that may be used.
const MACHINE_KB: u64 = 160 * 1_024;
const USED_PERCENT: u64 = 60;
const LARGEST_BYTES: usize = 64 * 1_024 * 1_024;

/// What an upstream sends, first once and then without end, by the last word of the path.
const ENDLESS: [(&str, &str, &str); 6] = [
    ("head", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"),
    ("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nno end, \r\n"),
    ("close", "HTTP/1.1 200 OK\r\n\r\n", "no end, "),
    ("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"),
    ("interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    ("noise", "", "no answer at all "),
];

/// An upstream that answers most calls, and some without end. Counts the connections that were closed on
/// an answer without end.
fn start_upstream(fleet: &Fleet) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind((fleet.ip(UPSTREAM), fleet.ports.upstream)).expect("free");
    let cut_off = Arc::new(AtomicUsize::new(0));
    let counted = cut_off.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let cut_off = counted.clone();
            std::thread::spawn(move || serve(stream, &cut_off));
        }
    });
    cut_off
}

/// Serves one connection; `None` once it is closed.
fn serve(mut stream: TcpStream, cut_off: &AtomicUsize) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (mut path, mut id, mut length) = (String::new(), String::new(), 0);
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            match line.split_once(": ") {
                Some((name, value)) if name.eq_ignore_ascii_case("x-chutecove-attempt-id") => {
                    value.clone_into(&mut id);
                }
                Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                    length = value.parse().ok()?;
                }
                _ if path.is_empty() => line.split(' ').nth(1)?.clone_into(&mut path),
                _ => {}
            }
        }
        std::io::copy(&mut reader.by_ref().take(length), &mut std::io::sink()).ok()?;
        let endless = ENDLESS.iter().find(|(kind, ..)| path.ends_with(kind));
        if let Some((_, start, repeated)) = endless {
            stream.write_all(start.as_bytes()).ok()?;
            let piece = repeated.repeat(4_096);
            while stream.write_all(piece.as_bytes()).is_ok() {}
            cut_off.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Chutecove-Seal: seal\r\nX-Chutecove-Attempt-Id: {id}\r\n\
             Content-Length: 4\r\n\r\ndone"
        );
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

/// The largest memory that a process has ever used, in kB.
fn peak_kb(process: &RunningProcess) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("it is stated");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).expect("a number")
}

struct World {
    fleet: Arc<Fleet>,
    cut_off: Arc<AtomicUsize>,
    sidecars: [RunningProcess; 2],
    _coordinators: Vec<RunningProcess>,
}

impl World {
    fn start(network: u8) -> Self {
        let fleet = Arc::new(Fleet::new(network));
        let coordinators = (1..=3).map(|host| fleet.start_coordinator(host, true)).collect();
        let cut_off = start_upstream(&fleet);
        let sidecars =
            [fleet.start_sidecar(CALLER, "callers"), fleet.start_sidecar(UPSTREAM, SERVICE)];
        wait_until("the first configuration is accepted", || {
            fleet.put_configuration(2, 0, 5, "one") == Some(200)
        });
        wait_until("the upstream registers", || fleet.register(UPSTREAM, "i-1", 1, false));
        let world = World { fleet, cut_off, sidecars, _coordinators: coordinators };
        wait_until("a call is served", || world.is_served());
        world
    }

    fn is_served(&self) -> bool {
        self.fleet.call(CALLER, "/one/x").is_some_and(|(status, _)| status == 200)
    }

    fn check_memory(&self) {
        for (number, sidecar) in self.sidecars.iter().enumerate() {
            let peak = peak_kb(sidecar);
            let allowed = MACHINE_KB * USED_PERCENT / 100;
            println!("sidecar {number}: peak {peak} kB of {allowed}");
            assert!(peak <= allowed, "sidecar {number} used {peak} kB");
        }
    }
}

/// Guards against a sidecar that reads while bytes come: an upstream that sent bytes without end ended it by
/// its memory, and every call that it had.
#[test]
fn answers_without_end_are_cut_off_and_fill_no_memory() {
    let world = World::start(29);
    for (kind, ..) in ENDLESS {
        let before = world.cut_off.load(Ordering::SeqCst);
        let (status, _) = world.fleet.call(CALLER, &format!("/one/{kind}")).expect("an answer");
        assert!([502, 504].contains(&status), "{kind}: it may have run, so {status} is wrong");
        wait_until("its connection is closed", || world.cut_off.load(Ordering::SeqCst) > before);
        wait_until("other calls are served", || world.is_served());
    }
    world.check_memory();
}

/// Bytes that a test sends to a coordinator that should not keep them.
const FLOOD_BYTES: usize = 6 * 1024 * 1024;

/// Guards against a connection to a coordinator that has said nothing and fills its memory: each could leave
/// 8 MB there.
#[test]
fn a_greeting_without_end_is_cut_off() {
    let fleet = Fleet::new(31);
    let coordinator = fleet.start_coordinator(1, true);
    let address = (fleet.ip(1), fleet.ports.mesh);
    wait_until("it listens", || TcpStream::connect(address).is_ok());
    for _ in 0..20 {
        let mut stream = TcpStream::connect(address).expect("it listens");
        let length = (FLOOD_BYTES as u32).to_le_bytes();
        stream.write_all(&length).expect("sent");
        let sent = stream.write_all(&vec![0; FLOOD_BYTES]);
        assert!(sent.is_err(), "it took all of a greeting that is none");
    }
    let peak = peak_kb(&coordinator);
    assert!(peak < 64 * 1_024, "the coordinator used {peak} kB");
}

/// Guards against a limit for greetings that shuts coordinators out: frames follow theirs at once.
#[test]
fn a_coordinator_that_sends_much_behind_its_greeting_is_heard() {
    let fleet = Fleet::new(32);
    let coordinator = fleet.start_coordinator(1, true);
    let address = (fleet.ip(1), fleet.ports.mesh);
    wait_until("it listens", || TcpStream::connect(address).is_ok());
    let greeting = Greeting {
        protocol: PROTOCOL_VERSION,
        fleet: "small".to_owned(),
        purpose: Purpose::Coordinator,
    };
    let address_of_node = NodeAddress { ip: fleet.ip(9), port: 1 };
    let load = NodeLoad { address: address_of_node, load: UpstreamLoad::default() };
    let loads = CoordinatorFrame::Loads { loads: vec![load; 20_000] };
    let mut bytes = Vec::new();
    encode_frame(&greeting, &mut bytes);
    encode_frame(&loads, &mut bytes);
    assert!(bytes.len() > 256 * 1_024, "more than may wait before a greeting");
    // All of it has arrived before the coordinator reads the greeting.
    coordinator.signal("-STOP");
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.write_all(&bytes).expect("it is read");
    coordinator.signal("-CONT");
    let mut receipt = [0];
    stream.read_exact(&mut receipt).expect("a receipt for the frame");
    assert_eq!(receipt, *b"h");
}

/// Guards against uploads that take a sidecar above its memory: all at once, then the largest one alone,
/// which is always served.
#[test]
fn large_uploads_at_once_are_served_or_refused_within_the_memory() {
    let world = World::start(30);
    let body: Arc<[u8]> = vec![b'u'; LARGEST_BYTES].into();
    let uploads: Vec<_> = (0..5)
        .map(|_| {
            let (fleet, body) = (world.fleet.clone(), body.clone());
            std::thread::spawn(move || fleet.upload(CALLER, "/one/upload", &body))
        })
        .collect();
    while uploads.iter().any(|upload| !upload.is_finished()) {
        wait_until("small calls are served meanwhile", || world.is_served());
    }
    for upload in uploads {
        let outcome = upload.join().expect("joined");
        // A client that is refused while it still writes may see its connection closed.
        assert!(outcome.is_none_or(|(status, _)| [200, 503, 504].contains(&status)));
    }
    wait_until("the largest upload alone is served", || {
        let outcome = world.fleet.upload(CALLER, "/one/upload", &body);
        outcome.is_some_and(|(status, _)| status == 200)
    });
    world.check_memory();
}

/// How a client sends its upload.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// In chunks, so that its length is not known.
    Chunked,
    /// Nine tenths of it, and then nothing.
    StandsStill,
    /// At once.
    Plain,
}

/// Sends an upload and reads the status of its answer; `None` if the connection ends first.
fn upload_in_manner(fleet: &Fleet, manner: Manner, bytes: usize) -> Option<String> {
    let mut stream = TcpStream::connect((fleet.ip(CALLER), fleet.ports.outbound)).ok()?;
    let framing = match manner {
        Manner::Chunked => "Transfer-Encoding: chunked".to_owned(),
        Manner::StandsStill | Manner::Plain => format!("Content-Length: {bytes}"),
    };
    let head = format!("POST /one/upload HTTP/1.1\r\nHost: fares.example\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let body = vec![b'u'; bytes];
    match manner {
        Manner::Chunked => {
            for piece in body.chunks(64 * 1_024) {
                stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).ok()?;
                stream.write_all(piece).ok()?;
                stream.write_all(b"\r\n").ok()?;
            }
            stream.write_all(b"0\r\n\r\n").ok()?;
        }
        Manner::StandsStill => stream.write_all(&body[..bytes / 10 * 9]).ok()?,
        Manner::Plain => stream.write_all(&body).ok()?,
    }
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok().filter(|count| *count > 0)?;
    Some(line.split(' ').nth(1)?.to_owned())
}

/// Guards against bodies that are counted only by a length in their head, that keep their room for ever, or
/// that are too small to be counted.
#[test]
fn uploads_of_every_manner_stay_within_the_memory_and_give_it_back() {
    let world = World::start(33);
    for (manner, clients, bytes) in [
        (Manner::Chunked, 5, LARGEST_BYTES),
        (Manner::StandsStill, 5, LARGEST_BYTES),
        (Manner::Plain, 60, LARGEST_BYTES / 16),
        (Manner::Plain, 200, 60 * 1_024),
    ] {
        let uploads: Vec<_> = (0..clients)
            .map(|_| {
                let fleet = world.fleet.clone();
                std::thread::spawn(move || upload_in_manner(&fleet, manner, bytes))
            })
            .collect();
        wait_until("small calls are served meanwhile", || world.is_served());
        for upload in uploads {
            let status = upload.join().expect("joined");
            let allowed = ["200", "408", "502", "503", "504"];
            let is_told = status.as_deref().is_none_or(|status| allowed.contains(&status));
            assert!(is_told, "{manner:?}: {status:?}");
        }
        wait_until("its room is given back", || {
            let largest = vec![b'u'; LARGEST_BYTES];
            let outcome = world.fleet.upload(CALLER, "/one/upload", &largest);
            outcome.is_some_and(|(status, _)| status == 200)
        });
    }
    world.check_memory();
}
