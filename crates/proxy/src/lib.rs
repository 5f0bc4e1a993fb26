//! The proxy: receives configuration and endpoints from a relay and forwards calls to backends.
//!
//! [`ProxyCore`] and [`RelayChooser`] implement the control side without I/O; the simulator and the
//! lab's hollow proxies, which have no call path, run the same code. The call path is in `call`;
//! crate `forward` makes its decisions.
#![forbid(unsafe_code)]

mod applied_store;
mod call;
mod caller_connection;
mod chooser;
mod claim_link;
mod core;
mod dispatch;
mod ip_resolver;
mod keyed;
mod local_backend;
mod observe;
mod refusal;
mod runtime;
mod server;
mod transport;
mod upstream;
mod watch;

pub use crate::core::{PreparedConfig, ProxyCore, ProxyWeakness, ReplyEffect};
pub use chooser::{RelayAddress, RelayChooser};
pub use local_backend::HealthEndpoint;
pub use refusal::{Refusal, RefusalKind, HOP_HEADER};
pub use runtime::{
    load_operator_keys, load_seal_keys, relay_address, run, unsupported_reason, ProxyError,
    RunningProxy,
};
pub use upstream::{
    SendError, SendPolicy, UpstreamClient, UpstreamRequest, UpstreamResponse, BACKEND_STATE_HEADER,
    LOAD_HEADER,
};
pub use watch::{run_watch, WatchCounters, WatchHandler};
