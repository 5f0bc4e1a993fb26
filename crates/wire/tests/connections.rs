//! Authentication and authorization of connections, and handling of malformed input.

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

/// Starts a server that allows relays to watch, and responds to each number with its double.
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

    fn assert_still_serves(&self) {
        let relay = self.member(Role::Relay);
        let mut connection =
            connect(&relay, self.address, Role::Control, Purpose::RelayWatch).unwrap();
        let response: u32 = connection.call(&21_u32, TIMEOUT).unwrap();
        assert_eq!(response, 42);
    }
}

#[test]
fn only_the_right_certificate_is_let_in() {
    let fleet = fleet();
    let foreign = CertificateAuthority::create("fares").unwrap();
    let folder = fleet.folder.path();
    let rows = [
        ("a proxy's certificate", fleet.member(Role::Proxy)),
        (
            "one of a foreign authority",
            identity(folder, &foreign, &fleet.authority, Role::Relay, DAY),
        ),
        (
            "an expired one",
            identity(folder, &fleet.authority, &fleet.authority, Role::Relay, Duration::ZERO),
        ),
        (
            "one that trusts another authority",
            identity(folder, &fleet.authority, &foreign, Role::Relay, DAY),
        ),
    ];
    // Validity has a resolution of one second, so wait until the certificate has expired.
    std::thread::sleep(Duration::from_millis(1_100));
    for (name, tls) in rows {
        let connected = connect(&tls, fleet.address, Role::Control, Purpose::RelayWatch);
        let response =
            connected.and_then(|mut connection| connection.call::<u32, u32>(&1, TIMEOUT));
        assert!(response.is_err(), "{name} was accepted");
    }
    fleet.assert_still_serves();
}

#[test]
fn a_relay_may_not_open_what_is_for_replicas() {
    let fleet = fleet();
    let relay = fleet.member(Role::Relay);
    let result = connect(&relay, fleet.address, Role::Control, Purpose::Consensus);
    let error = result.err().map(|error| error.to_string()).unwrap_or_default();
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
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..40 {
        let mut socket = TcpStream::connect(fleet.address).unwrap();
        let bytes: Vec<u8> = (0..rng.usize(0..400)).map(|_| rng.u8(..)).collect();
        let _ = socket.write_all(&bytes);
    }
    fleet.assert_still_serves();
}

#[test]
fn malformed_frames_are_typed_errors() {
    let mut frame = Vec::new();
    let hello = Hello { protocol: PROTOCOL_VERSION, purpose: Purpose::ProxyWatch };
    write_frame(&mut frame, &hello).unwrap();
    for length in 0..frame.len() {
        let truncated = read_frame::<Hello>(&mut &frame[..length]);
        assert!(matches!(truncated, Err(FrameError::Io { .. })), "truncated to {length} bytes");
    }
    let mut oversized = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes().to_vec();
    oversized.extend_from_slice(&[0; 16]);
    let too_long = read_frame::<Hello>(&mut &oversized[..]);
    assert!(matches!(too_long, Err(FrameError::TooLong { .. })));
    let mut invalid = frame.clone();
    invalid[6] = 0xee;
    let undecodable = read_frame::<Hello>(&mut &invalid[..]);
    assert!(matches!(undecodable, Err(FrameError::Undecodable { .. })));
}

#[test]
fn another_protocol_version_is_refused_by_name() {
    // A hello message as a newer release would send it.
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
        wire::HelloReply::Welcome => panic!("the newer protocol version was accepted"),
    }
}
