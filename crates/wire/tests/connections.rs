//! Who is let in, and what malformed input does.

use speedy::Writable;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use wire::{
    connect, issue_certificate, read_frame, write_frame, CertificateAuthority, FrameError, Hello,
    Identity, Purpose, Role, Server, TlsFiles, TlsIdentity, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};

const DAY: Duration = Duration::from_secs(24 * 3600);
const TIMEOUT: Duration = Duration::from_secs(10);

fn identity(
    folder: &Path,
    authority: &CertificateAuthority,
    trusted: &CertificateAuthority,
    role: Role,
    lifetime: Duration,
) -> Arc<TlsIdentity> {
    let name = format!("{role}-{}", fastrand::u32(..));
    let identity = Identity { role, name: name.clone(), zone: "zone-a".to_owned() };
    let issued = issue_certificate(authority, &identity, lifetime).unwrap();
    let file = |suffix: &str, text: &str| {
        let path = folder.join(format!("{name}.{suffix}"));
        std::fs::write(&path, text).unwrap();
        path
    };
    TlsIdentity::load(TlsFiles {
        authority: file("authority", trusted.certificate_pem()),
        certificate: file("pem", &issued.certificate_pem),
        key: file("key", &issued.key_pem),
    })
    .unwrap()
}

/// A server that lets relays watch, and answers each number with its double.
fn serve(tls: Arc<TlsIdentity>) -> SocketAddr {
    let server = Server::bind(([127, 0, 0, 1], 0).into(), 64).unwrap();
    let address = server.address();
    server.run(
        tls,
        Arc::new(AtomicBool::new(false)),
        Arc::new(|peer, purpose| peer.role == Role::Relay && purpose == Purpose::RelayWatch),
        Arc::new(|_| {}),
        Arc::new(|mut connection| {
            while let Ok(number) = connection.receive::<u32>(TIMEOUT) {
                let _ = connection.send(&(number * 2));
            }
        }),
    );
    address
}

struct Fleet {
    folder: tempfile::TempDir,
    authority: CertificateAuthority,
    address: SocketAddr,
}

fn fleet() -> Fleet {
    let folder = tempfile::tempdir().unwrap();
    let authority = CertificateAuthority::create("fares").unwrap();
    let server = identity(folder.path(), &authority, &authority, Role::Control, DAY);
    let address = serve(server);
    Fleet { folder, authority, address }
}

impl Fleet {
    fn member(&self, role: Role) -> Arc<TlsIdentity> {
        identity(self.folder.path(), &self.authority, &self.authority, role, DAY)
    }

    fn still_serves(&self) {
        let relay = self.member(Role::Relay);
        let mut connection =
            connect(&relay, self.address, Role::Control, Purpose::RelayWatch).unwrap();
        let answer: u32 = connection.call(&21_u32, TIMEOUT).unwrap();
        assert_eq!(answer, 42);
    }
}

#[test]
fn only_the_right_certificate_is_let_in() {
    let fleet = fleet();
    let foreign = CertificateAuthority::create("fares").unwrap();
    let folder = fleet.folder.path();
    let rows = [
        ("a proxy's certificate", fleet.member(Role::Proxy)),
        ("a foreign one", identity(folder, &foreign, &fleet.authority, Role::Relay, DAY)),
        (
            "an expired one",
            identity(folder, &fleet.authority, &fleet.authority, Role::Relay, Duration::ZERO),
        ),
        (
            "one that trusts another authority",
            identity(folder, &fleet.authority, &foreign, Role::Relay, DAY),
        ),
    ];
    // An expired certificate needs a moment to be expired.
    std::thread::sleep(Duration::from_millis(1_100));
    for (name, tls) in rows {
        let opened = connect(&tls, fleet.address, Role::Control, Purpose::RelayWatch);
        let used = opened.and_then(|mut connection| connection.call::<u32, u32>(&1, TIMEOUT));
        assert!(used.is_err(), "{name} was let in");
    }
    fleet.still_serves();
}

#[test]
fn a_relay_may_not_open_what_is_for_replicas() {
    let fleet = fleet();
    let relay = fleet.member(Role::Relay);
    let refused = connect(&relay, fleet.address, Role::Control, Purpose::Consensus);
    let error = refused.err().map(|error| error.to_string()).unwrap_or_default();
    assert!(error.contains("may not open Consensus"), "{error}");
}

#[test]
fn a_server_of_another_role_is_refused_by_the_caller() {
    let fleet = fleet();
    let proxy = fleet.member(Role::Proxy);
    assert!(connect(&proxy, fleet.address, Role::Relay, Purpose::ProxyWatch).is_err());
}

#[test]
fn random_bytes_do_not_stop_a_server() {
    let fleet = fleet();
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..40 {
        let mut socket = TcpStream::connect(fleet.address).unwrap();
        let bytes: Vec<u8> = (0..random.usize(0..400)).map(|_| random.u8(..)).collect();
        let _ = socket.write_all(&bytes);
    }
    fleet.still_serves();
}

#[test]
fn malformed_frames_are_typed_errors() {
    let mut whole = Vec::new();
    let hello = Hello { protocol: PROTOCOL_VERSION, purpose: Purpose::ProxyWatch };
    write_frame(&mut whole, &hello).unwrap();
    for length in 0..whole.len() {
        let cut = read_frame::<Hello>(&mut &whole[..length]);
        assert!(matches!(cut, Err(FrameError::Io { .. })), "cut at {length}");
    }
    let mut long = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes().to_vec();
    long.extend_from_slice(&[0; 16]);
    let too_long = read_frame::<Hello>(&mut &long[..]);
    assert!(matches!(too_long, Err(FrameError::TooLong { .. })));
    let mut wrong = whole.clone();
    wrong[6] = 0xee;
    let undecodable = read_frame::<Hello>(&mut &wrong[..]);
    assert!(matches!(undecodable, Err(FrameError::Undecodable { .. })));
}

#[test]
fn another_protocol_version_is_refused_by_name() {
    // The greeting as a newer release would send it.
    let hello = Hello { protocol: PROTOCOL_VERSION + 1, purpose: Purpose::RelayWatch };
    let encoded = hello.write_to_vec().unwrap();
    let fleet = fleet();
    let relay = fleet.member(Role::Relay);
    let name = rustls_pki_types::ServerName::try_from(Role::Control.server_name()).unwrap();
    let session = rustls::ClientConnection::new(relay.client(), name).unwrap();
    let socket = TcpStream::connect(fleet.address).unwrap();
    let mut stream = rustls::StreamOwned::new(session, socket);
    stream.write_all(&(encoded.len() as u32).to_le_bytes()).unwrap();
    stream.write_all(&encoded).unwrap();
    stream.flush().unwrap();
    let (reply, _) = read_frame::<wire::HelloReply>(&mut stream).unwrap();
    match reply {
        wire::HelloReply::Refused { reason } => assert!(reason.contains("is not spoken here")),
        wire::HelloReply::Welcome => panic!("it was welcome"),
    }
}
