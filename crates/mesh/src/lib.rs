//! Messages that sidecars and coordinators exchange, and the headers of calls between sidecars.
//!
//! Sidecars and coordinators exchange `speedy` frames (length-prefixed, see [`encode_frame`]);
//! a call between two sidecars is HTTP/1.1 with an additional header, see [`HopRequest`].
#![forbid(unsafe_code)]

mod frame;
mod hop;
mod link;
mod member;
mod poison;
mod quota;
mod rate;
mod record;
mod version;

pub use frame::{decode_frame, encode_frame, FrameError, MAX_FRAME_BYTES};
pub use hop::{
    max_unoffered_bytes, Departure, HopOutcome, HopReply, HopRequest, LimitReport, GRANT_HEADER,
    HOP_HEADER,
};
pub use link::{
    CoordinatorFrame, Greeting, MemberLocation, Purpose, ToCoordinator, ToSidecar, PROTOCOL_VERSION,
};
pub use member::MemberId;
pub use poison::{
    Clearing, CrashId, CrashReport, Fingerprint, PoisonEvent, PoisonNotice, QuarantineEntry,
};
pub use quota::{CreditAmount, CreditAnswer, CreditAsk, CreditGrant, CreditRequest, TenantId};
pub use rate::{CallRate, InvalidCallRate};
pub use record::{
    HeardNode, Incarnation, InstanceRecord, InstanceState, KnownDeparture, LastRecord, NodeAddress,
    NodeLoad, NodeRecord, RegistryEntry, UpstreamLoad,
};
pub use version::{
    time_bin, CallClass, CandidateShare, ClassEvidence, ClassOutcomes, Track, VersionEvidence,
    VersionPolicy, MAX_VERSION_BYTES, TIME_BINS, WHOLE_PERMILLE,
};
