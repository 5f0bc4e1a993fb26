//! Every message type, by conversation.

use bundle::{Approval, BundleUpdate, Digest};
use claims::{ClaimAnswer, ClaimCommand};
use consensus::Message;
use endpoints::{EndpointUpdate, LeavingMark};
use rollout::{ProxyName, RelayReport, TargetView};
use speedy::{Readable, Writable};
use verdict::Verdict;

/// Version of all messages; two processes of different versions refuse each other.
pub const PROTOCOL_VERSION: u16 = 1;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Purpose {
    /// Consensus messages from one control replica to another; nothing is answered.
    Consensus,
    /// A relay watches the targets.
    RelayWatch,
    /// A relay reports, and asks for confirmation of what it holds.
    RelayReport,
    /// Claims for calls that must not run twice.
    Claims,
    /// A proxy watches its configuration and endpoints.
    ProxyWatch,
    /// A proxy reports what it saw of back ends.
    ProxyReport,
    /// Relays exchange leaving marks.
    Mirror,
}

/// First message on every connection.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Hello {
    /// Sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// What the connection is for.
    pub purpose: Purpose,
}

/// Answer to [`Hello`].
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum HelloReply {
    /// Go on.
    Welcome,
    /// The connection will be closed.
    Refused {
        /// Why.
        reason: String,
    },
}

/// A consensus message of one of the groups a control process hosts.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct GroupMessage {
    /// 0: configuration; from 1: claims.
    pub group: u32,
    /// The message.
    pub message: Message,
}

/// A relay asks for news; control holds the request until there is some.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct WatchRequest {
    /// Revision of the view held.
    pub revision: u64,
    /// Bundles held, the most useful as a base first.
    pub held: Vec<Digest>,
}

/// Answer to [`WatchRequest`].
#[expect(clippy::large_enum_variant, reason = "one at a time per connection; never stored")]
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WatchReply {
    /// A newer view with the bundles it needs.
    Changed {
        /// The view.
        view: TargetView,
        /// Updates for the bundles that the relay does not hold.
        updates: Vec<BundleUpdate>,
    },
    /// Nothing newer within the holding time.
    Unchanged,
    /// Only the leader answers; ask there.
    NotLeader {
        /// Member id of the leader, if known.
        leader: Option<u64>,
    },
    /// Too many readers; come back later.
    Busy {
        /// When, milliseconds from now.
        retry_after_ms: u32,
    },
}

/// A relay reports its proxies and may ask for confirmation.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ReportRequest {
    /// Aggregated acknowledgements.
    pub report: RelayReport,
    /// Ask a quorum for the newest revision, as of after this request was sent.
    pub confirm: bool,
}

/// Answer to [`ReportRequest`].
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ReportReply {
    /// Taken in.
    Done {
        /// The newest revision, confirmed by a quorum after the request arrived.
        confirmed_revision: Option<u64>,
    },
    /// Only the leader answers.
    NotLeader {
        /// Member id of the leader, if known.
        leader: Option<u64>,
    },
}

/// A command for one group of claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ClaimRequest {
    /// What to do; the group follows from its key.
    pub command: ClaimCommand,
}

/// Answer to [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ClaimReply {
    /// Committed.
    Answer(ClaimAnswer),
    /// Only the group's leader answers.
    NotLeader {
        /// Member id of the leader, if known.
        leader: Option<u64>,
    },
    /// Not answered in time.
    Unavailable {
        /// Whether the command may still take effect.
        verdict: Verdict,
    },
}

/// A generation that a proxy refuses to apply.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RefusedGeneration {
    /// Which.
    pub generation: u64,
    /// Why.
    pub error: String,
}

/// What a proxy has and needs.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ProxyState {
    /// Who and where it is.
    pub name: ProxyName,
    /// Generation applied; `None` for a proxy that just started without stored state.
    pub generation: Option<u64>,
    /// Digest of the bundle applied, or of the empty one.
    pub digest: Digest,
    /// Target it refused.
    pub refused: Option<RefusedGeneration>,
    /// Services its routes use.
    pub services: Vec<String>,
    /// Relay epoch of its endpoint view.
    pub endpoint_epoch: u64,
    /// Sequence of its endpoint view.
    pub endpoint_sequence: u64,
}

/// A proxy asks for news; the relay holds the request until there is some.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ProxyPoll {
    /// First request of a connection, and after anything but plain success.
    State(ProxyState),
    /// Everything the last answer held was applied.
    Applied,
}

/// A target and how to get there.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ConfigUpdate {
    /// The generation.
    pub generation: u64,
    /// Sign-off of the bundle.
    pub approval: Option<Approval>,
    /// Whether a quorum confirmed, after the proxy's first request, that nothing newer than the
    /// view this target comes from was accepted.
    pub confirmed: bool,
    /// Content, with its digest.
    pub update: BundleUpdate,
}

/// News for a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ProxyUpdate {
    /// New target.
    pub config: Option<ConfigUpdate>,
    /// Endpoint changes.
    pub endpoints: Option<EndpointUpdate>,
    /// Time since the relay last heard from the control leader, milliseconds.
    pub source_age_ms: u32,
}

/// Answer to [`ProxyPoll`].
#[expect(clippy::large_enum_variant, reason = "one at a time per connection; never stored")]
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ProxyReply {
    /// Nothing new.
    Unchanged {
        /// Time since the relay last heard from the control leader, milliseconds.
        source_age_ms: u32,
    },
    /// News.
    Update(ProxyUpdate),
    /// The relay admits no more catch-ups now, or knows nothing yet.
    Busy {
        /// When to come back, milliseconds from now.
        retry_after_ms: u32,
    },
    /// The relay stops; go to another.
    Leaving,
}

/// What a proxy saw of back ends.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ProxyObservation {
    /// Back ends that said they leave.
    pub leaving: Vec<LeavingMark>,
}

/// Answer to [`ProxyObservation`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ObservationReply {
    /// How many were news.
    pub new_marks: u32,
}

/// A relay asks a peer for leaving marks.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MirrorRequest {
    /// The peer's epoch as last seen.
    pub epoch: u64,
    /// The peer's sequence as last seen.
    pub sequence: u64,
}

/// Answer to [`MirrorRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MirrorReply {
    /// Epoch of the answering relay.
    pub epoch: u64,
    /// Its sequence.
    pub sequence: u64,
    /// Marks newer than the request's position.
    pub marks: Vec<LeavingMark>,
    /// Its proxies that subscribe to each service.
    pub subscribers: Vec<(String, u32)>,
}
