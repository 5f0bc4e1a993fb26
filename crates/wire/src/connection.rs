//! Authenticated half-duplex connections.

use crate::frame::{read_frame, write_frame, FrameError};
use crate::tls::identity_of;
use crate::{Hello, HelloReply, Identity, Purpose, Role, TlsIdentity, PROTOCOL_VERSION};
use rustls::pki_types::ServerName;
use rustls::StreamOwned;
use snafu::{ensure, OptionExt, ResultExt, Snafu};
use speedy::{LittleEndian, Readable, Writable};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use verdict::Verdict;

/// Longest time for connecting, TLS and greeting together, each step.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a conversation with another of our processes failed.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// No connection was made.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Where to.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// TLS could not be started.
    #[snafu(display("TLS with {address} failed: {source}"))]
    Tls {
        /// Peer.
        address: SocketAddr,
        /// Cause.
        source: rustls::Error,
    },
    /// The peer's certificate names nobody.
    #[snafu(display("the certificate of {address} names no role, name and zone"))]
    NoIdentity {
        /// Peer.
        address: SocketAddr,
    },
    /// The greeting failed.
    #[snafu(display("greeting {address} failed: {source}"))]
    Handshake {
        /// Peer.
        address: SocketAddr,
        /// Cause.
        source: FrameError,
    },
    /// The peer does not want this connection.
    #[snafu(display("{address} refused: {reason}"))]
    Refused {
        /// Peer.
        address: SocketAddr,
        /// Its reason.
        reason: String,
    },
    /// A request or answer was lost.
    #[snafu(display("conversation with {address} failed: {source}"))]
    Exchange {
        /// Peer.
        address: SocketAddr,
        /// Cause.
        source: FrameError,
    },
}

impl WireError {
    /// Whether the request may have had an effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            WireError::Exchange { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// The calling side of a connection.
pub struct ClientConnection {
    stream: StreamOwned<rustls::ClientConnection, TcpStream>,
    address: SocketAddr,
    sent_bytes: u64,
    received_bytes: u64,
}

/// Connects to a server of the given role, checks its certificate and greets it.
pub fn connect(
    tls: &TlsIdentity,
    address: SocketAddr,
    role: Role,
    purpose: Purpose,
) -> Result<ClientConnection, WireError> {
    let socket = TcpStream::connect_timeout(&address, HANDSHAKE_TIMEOUT)
        .context(ConnectSnafu { address })?;
    prepare_socket(&socket).context(ConnectSnafu { address })?;
    let name = ServerName::try_from(role.server_name()).expect("role names are DNS names");
    let session =
        rustls::ClientConnection::new(tls.client(), name).context(TlsSnafu { address })?;
    let stream = StreamOwned::new(session, socket);
    let mut connection = ClientConnection { stream, address, sent_bytes: 0, received_bytes: 0 };
    connection.greet(purpose)?;
    Ok(connection)
}

fn prepare_socket(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
    socket.set_write_timeout(Some(HANDSHAKE_TIMEOUT))
}

impl ClientConnection {
    fn greet(&mut self, purpose: Purpose) -> Result<(), WireError> {
        let address = self.address;
        let hello = Hello { protocol: PROTOCOL_VERSION, purpose };
        write_frame(&mut self.stream, &hello).context(HandshakeSnafu { address })?;
        let (reply, _) =
            read_frame::<HelloReply>(&mut self.stream).context(HandshakeSnafu { address })?;
        match reply {
            HelloReply::Welcome => Ok(()),
            HelloReply::Refused { reason } => RefusedSnafu { address, reason }.fail(),
        }
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes of frames sent and received since the last call, for metrics.
    pub fn take_byte_counts(&mut self) -> (u64, u64) {
        let counts = (self.sent_bytes, self.received_bytes);
        (self.sent_bytes, self.received_bytes) = (0, 0);
        counts
    }

    /// Sends a message that is not answered.
    pub fn send<T: Writable<LittleEndian>>(&mut self, message: &T) -> Result<(), WireError> {
        let address = self.address;
        let sent = write_frame(&mut self.stream, message).context(ExchangeSnafu { address })?;
        self.sent_bytes += sent as u64;
        Ok(())
    }

    /// Sends a request and waits for its answer. After an error the connection must be dropped,
    /// because a late answer would be taken for that of the next request.
    pub fn call<Q, A>(&mut self, request: &Q, timeout: Duration) -> Result<A, WireError>
    where
        Q: Writable<LittleEndian>,
        A: for<'a> Readable<'a, LittleEndian>,
    {
        let address = self.address;
        self.stream.sock.set_read_timeout(Some(timeout)).context(ConnectSnafu { address })?;
        self.send(request)?;
        let (answer, received) = read_frame(&mut self.stream).context(ExchangeSnafu { address })?;
        self.received_bytes += received as u64;
        Ok(answer)
    }
}

/// The answering side of a connection.
pub struct ServerConnection {
    stream: StreamOwned<rustls::ServerConnection, TcpStream>,
    address: SocketAddr,
    peer: Identity,
    purpose: Purpose,
    sent_bytes: u64,
    received_bytes: u64,
}

impl ServerConnection {
    /// Accepts a connection: TLS with the client's certificate, then its greeting, which `allow`
    /// checks against the client's role.
    pub fn accept(
        tls: &TlsIdentity,
        socket: TcpStream,
        allow: impl Fn(&Identity, Purpose) -> bool,
    ) -> Result<ServerConnection, WireError> {
        let address = socket.peer_addr().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)));
        prepare_socket(&socket).context(ConnectSnafu { address })?;
        let session = rustls::ServerConnection::new(tls.server()).context(TlsSnafu { address })?;
        let mut stream = StreamOwned::new(session, socket);
        let (hello, _) = read_frame::<Hello>(&mut stream).context(HandshakeSnafu { address })?;
        let peer = stream
            .conn
            .peer_certificates()
            .and_then(identity_of)
            .context(NoIdentitySnafu { address })?;
        let reason = refusal(&hello, &peer, allow);
        let reply = match &reason {
            None => HelloReply::Welcome,
            Some(reason) => HelloReply::Refused { reason: reason.clone() },
        };
        write_frame(&mut stream, &reply).context(HandshakeSnafu { address })?;
        let refused = reason.is_some();
        ensure!(!refused, RefusedSnafu { address, reason: reason.unwrap_or_default() });
        let purpose = hello.purpose;
        Ok(ServerConnection { stream, address, peer, purpose, sent_bytes: 0, received_bytes: 0 })
    }

    /// Who is at the other end.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// What the connection is for.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Waits for the next request.
    pub fn receive<T>(&mut self, timeout: Duration) -> Result<T, WireError>
    where
        T: for<'a> Readable<'a, LittleEndian>,
    {
        let address = self.address;
        self.stream.sock.set_read_timeout(Some(timeout)).context(ConnectSnafu { address })?;
        let (message, received) =
            read_frame(&mut self.stream).context(ExchangeSnafu { address })?;
        self.received_bytes += received as u64;
        Ok(message)
    }

    /// Sends an answer. The write times out rather than wait for a reader that does not read.
    pub fn send<T: Writable<LittleEndian>>(&mut self, message: &T) -> Result<(), WireError> {
        let address = self.address;
        let sent = write_frame(&mut self.stream, message).context(ExchangeSnafu { address })?;
        self.sent_bytes += sent as u64;
        Ok(())
    }

    /// Bytes of frames sent and received since the last call, for metrics.
    pub fn take_byte_counts(&mut self) -> (u64, u64) {
        let counts = (self.sent_bytes, self.received_bytes);
        (self.sent_bytes, self.received_bytes) = (0, 0);
        counts
    }
}

fn refusal(
    hello: &Hello,
    peer: &Identity,
    allow: impl Fn(&Identity, Purpose) -> bool,
) -> Option<String> {
    if hello.protocol != PROTOCOL_VERSION {
        let spoken = hello.protocol;
        return Some(format!("protocol {spoken} is not spoken here, {PROTOCOL_VERSION} is"));
    }
    if !allow(peer, hello.purpose) {
        return Some(format!("a {} may not open {:?} here", peer.role, hello.purpose));
    }
    None
}
