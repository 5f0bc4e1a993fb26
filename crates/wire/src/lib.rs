//! Messages between processes of a fleet, and the mutually authenticated connections that carry
//! them.
//!
//! Every connection is half-duplex request/response over mutual TLS. Watches use long polling: the
//! server holds the request until there is an update, so one blocking thread serves a connection in
//! both directions and updates are still delivered immediately.
#![forbid(unsafe_code)]

mod authority;
mod backoff;
mod connection;
mod frame;
mod identity;
mod message;
mod server;
mod tls;

pub use authority::{issue_certificate, AuthorityError, CertificateAuthority, IssuedCertificate};
pub use backoff::Backoff;
pub use connection::{connect, ClientConnection, ServerConnection, WireError, HANDSHAKE_TIMEOUT};
pub use frame::{read_frame, write_frame, FrameError, MAX_FRAME_BYTES};
pub use identity::{Identity, Role};
pub use message::{
    ClaimReply, ClaimRequest, ConfigUpdate, GroupMessage, Hello, HelloReply, MirrorReply,
    MirrorRequest, ObservationReply, ProxyObservation, ProxyPoll, ProxyReply, ProxyState,
    ProxyUpdate, Purpose, RefusedGeneration, ReportReply, ReportRequest, WatchReply, WatchRequest,
    PROTOCOL_VERSION,
};
pub use server::{Server, ServerError};
pub use tls::{TlsError, TlsFiles, TlsIdentity};
