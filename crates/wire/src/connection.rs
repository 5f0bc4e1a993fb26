//! Half-duplex request/response connections over mutual TLS.

use crate::frame::{read_frame, write_frame, FrameError};
use crate::tls::identity_from_chain;
use crate::{Hello, HelloReply, Identity, Purpose, Role, TlsIdentity, PROTOCOL_VERSION};
use rustls::pki_types::ServerName;
use rustls::StreamOwned;
use snafu::{ensure, OptionExt, ResultExt, Snafu};
use speedy::{LittleEndian, Readable, Writable};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use verdict::Verdict;

/// Timeout of each step of setting up a connection: the TCP connect, and each read and write of the
/// TLS handshake and the hello exchange.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Error on a connection to another process of the fleet.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The TCP connection could not be set up or configured.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The TLS session could not be created.
    #[snafu(display("cannot create a TLS session with {address}: {source}"))]
    Tls {
        /// Address of the peer.
        address: SocketAddr,
        /// Underlying TLS error.
        source: rustls::Error,
    },
    /// The peer's certificate lacks a DNS name for the role, name or zone.
    #[snafu(display("certificate of {address} lacks a role, name or zone DNS name"))]
    NoIdentity {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The TLS handshake or the hello exchange failed.
    #[snafu(display("handshake with {address} failed: {source}"))]
    Handshake {
        /// Address of the peer.
        address: SocketAddr,
        /// Underlying frame error.
        source: FrameError,
    },
    /// The connection was refused, by the peer or by this process.
    #[snafu(display("connection with {address} refused: {reason}"))]
    Refused {
        /// Address of the peer.
        address: SocketAddr,
        /// Reason in the [`HelloReply`].
        reason: String,
    },
    /// A request or its response failed after the handshake.
    #[snafu(display("message exchange with {address} failed: {source}"))]
    Exchange {
        /// Address of the peer.
        address: SocketAddr,
        /// Underlying frame error.
        source: FrameError,
    },
}

impl WireError {
    /// Whether the request may have taken effect: only if the failure came after the handshake.
    pub fn verdict(&self) -> Verdict {
        match self {
            WireError::Exchange { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Client side of a connection.
pub struct ClientConnection {
    stream: StreamOwned<rustls::ClientConnection, TcpStream>,
    address: SocketAddr,
    sent_bytes: u64,
    received_bytes: u64,
}

/// Connects to a server, verifies that its certificate is for `role` and sends the hello message.
pub fn connect(
    tls: &TlsIdentity,
    address: SocketAddr,
    role: Role,
    purpose: Purpose,
) -> Result<ClientConnection, WireError> {
    let socket = TcpStream::connect_timeout(&address, HANDSHAKE_TIMEOUT)
        .context(ConnectSnafu { address })?;
    configure_socket(&socket).context(ConnectSnafu { address })?;
    let name = ServerName::try_from(role.server_name()).expect("role names are DNS names");
    let session =
        rustls::ClientConnection::new(tls.client(), name).context(TlsSnafu { address })?;
    let stream = StreamOwned::new(session, socket);
    let mut connection = ClientConnection { stream, address, sent_bytes: 0, received_bytes: 0 };
    connection.send_hello(purpose)?;
    Ok(connection)
}

fn configure_socket(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
    socket.set_write_timeout(Some(HANDSHAKE_TIMEOUT))
}

impl ClientConnection {
    fn send_hello(&mut self, purpose: Purpose) -> Result<(), WireError> {
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

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes of frames sent and received since the previous call, for metrics.
    pub fn take_byte_counts(&mut self) -> (u64, u64) {
        let counts = (self.sent_bytes, self.received_bytes);
        (self.sent_bytes, self.received_bytes) = (0, 0);
        counts
    }

    /// Sends a message that has no response.
    pub fn send<T: Writable<LittleEndian>>(&mut self, message: &T) -> Result<(), WireError> {
        let address = self.address;
        let sent = write_frame(&mut self.stream, message).context(ExchangeSnafu { address })?;
        self.sent_bytes += sent as u64;
        Ok(())
    }

    /// Sends a request and waits for its response. After an error the connection must be dropped,
    /// because a late response would be taken for that of the next request.
    pub fn call<Q, A>(&mut self, request: &Q, timeout: Duration) -> Result<A, WireError>
    where
        Q: Writable<LittleEndian>,
        A: for<'a> Readable<'a, LittleEndian>,
    {
        let address = self.address;
        self.stream.sock.set_read_timeout(Some(timeout)).context(ConnectSnafu { address })?;
        self.send(request)?;
        let (response, received) =
            read_frame(&mut self.stream).context(ExchangeSnafu { address })?;
        self.received_bytes += received as u64;
        Ok(response)
    }
}

/// Server side of a connection.
pub struct ServerConnection {
    stream: StreamOwned<rustls::ServerConnection, TcpStream>,
    address: SocketAddr,
    peer: Identity,
    purpose: Purpose,
    sent_bytes: u64,
    received_bytes: u64,
}

impl ServerConnection {
    /// Performs the server side of the handshake: mutual TLS, then the hello exchange. `allow`
    /// decides whether the client's identity may open a connection for the requested purpose.
    pub fn accept(
        tls: &TlsIdentity,
        socket: TcpStream,
        allow: impl Fn(&Identity, Purpose) -> bool,
    ) -> Result<ServerConnection, WireError> {
        let address = socket.peer_addr().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)));
        configure_socket(&socket).context(ConnectSnafu { address })?;
        let session = rustls::ServerConnection::new(tls.server()).context(TlsSnafu { address })?;
        let mut stream = StreamOwned::new(session, socket);
        let (hello, _) = read_frame::<Hello>(&mut stream).context(HandshakeSnafu { address })?;
        let peer = stream
            .conn
            .peer_certificates()
            .and_then(identity_from_chain)
            .context(NoIdentitySnafu { address })?;
        let reason = refusal_reason(&hello, &peer, allow);
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

    /// Identity of the client.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Purpose that the client stated.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Waits for the next request, at most `timeout` per read.
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

    /// Sends a response. The write times out if the client does not read.
    pub fn send<T: Writable<LittleEndian>>(&mut self, message: &T) -> Result<(), WireError> {
        let address = self.address;
        let sent = write_frame(&mut self.stream, message).context(ExchangeSnafu { address })?;
        self.sent_bytes += sent as u64;
        Ok(())
    }

    /// Bytes of frames sent and received since the previous call, for metrics.
    pub fn take_byte_counts(&mut self) -> (u64, u64) {
        let counts = (self.sent_bytes, self.received_bytes);
        (self.sent_bytes, self.received_bytes) = (0, 0);
        counts
    }
}

fn refusal_reason(
    hello: &Hello,
    peer: &Identity,
    allow: impl Fn(&Identity, Purpose) -> bool,
) -> Option<String> {
    if hello.protocol != PROTOCOL_VERSION {
        let offered = hello.protocol;
        return Some(format!("protocol {offered} is not spoken here, {PROTOCOL_VERSION} is"));
    }
    if !allow(peer, hello.purpose) {
        return Some(format!("a {} may not open {:?} here", peer.role, hello.purpose));
    }
    None
}
