//! All message types, grouped by the purpose of the connection.

use bundle::{Approval, BundleUpdate, Digest};
use claims::{ClaimAnswer, ClaimCommand};
use consensus::Message;
use endpoints::{EndpointUpdate, LeavingMark};
use rollout::{ProxyName, RelayReport, TargetView};
use speedy::{Readable, Writable};
use verdict::Verdict;

/// Version of the message formats. A server refuses clients of a different version.
pub const PROTOCOL_VERSION: u16 = 1;

/// Purpose of a connection; it determines which messages follow and which roles may open it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Purpose {
    /// Consensus messages from one control replica to another; one-way.
    Consensus,
    /// A relay watches control for new target views.
    RelayWatch,
    /// A relay reports on its proxies to control and asks for confirmation that its view is
    /// current.
    RelayReport,
    /// Claims on the idempotency keys of calls that must not run twice.
    Claims,
    /// A proxy watches a relay for its configuration and endpoints.
    ProxyWatch,
    /// A proxy reports observations of backends to a relay.
    ProxyReport,
    /// A relay fetches leaving marks from another relay.
    Mirror,
}

/// First message on every connection.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Hello {
    /// The client's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Purpose of the connection.
    pub purpose: Purpose,
}

/// Response to [`Hello`].
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum HelloReply {
    /// The connection is accepted.
    Welcome,
    /// The connection is refused and will be closed.
    Refused {
        /// Why it is refused.
        reason: String,
    },
}

/// A consensus message of one of the groups that a control process hosts.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct GroupMessage {
    /// 0 is the configuration group, 1 and above are claim groups.
    pub group: u32,
    /// Consensus message.
    pub message: Message,
}

/// A relay's long poll for a newer view; control holds the request until there is one.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct WatchRequest {
    /// Revision of the view that the relay has.
    pub revision: u64,
    /// Digests of the bundles that the relay has, the preferred delta base first.
    pub held: Vec<Digest>,
}

/// Response to [`WatchRequest`].
#[expect(clippy::large_enum_variant, reason = "one at a time per connection; never stored")]
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WatchReply {
    /// A newer view, with updates for the bundles it refers to.
    Changed {
        /// The newer view.
        view: TargetView,
        /// Updates for the bundles that the relay does not have.
        updates: Vec<BundleUpdate>,
    },
    /// No newer view appeared within the hold time.
    Unchanged,
    /// This replica is not the leader; only the leader serves watches.
    NotLeader {
        /// Member id of the current leader, if known.
        leader: Option<u64>,
    },
    /// Too many relays are being served; retry later.
    Busy {
        /// Delay before the retry, in milliseconds.
        retry_after_ms: u32,
    },
}

/// A relay's report on its proxies, with an optional request for confirmation.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ReportRequest {
    /// Acknowledgements of the relay's proxies, aggregated.
    pub report: RelayReport,
    /// Whether to confirm with a quorum which revision is the newest, as of a time after this
    /// request was sent.
    pub confirm: bool,
}

/// Response to [`ReportRequest`].
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ReportReply {
    /// The report was accepted.
    Done {
        /// Newest revision, confirmed by a quorum after the request arrived; `None` without a
        /// confirmation.
        confirmed_revision: Option<u64>,
    },
    /// This replica is not the leader; only the leader accepts reports.
    NotLeader {
        /// Member id of the current leader, if known.
        leader: Option<u64>,
    },
}

/// A command for one claim group.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ClaimRequest {
    /// The command; its key determines the group.
    pub command: ClaimCommand,
}

/// Response to [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ClaimReply {
    /// The command was committed, with this result.
    Answer(ClaimAnswer),
    /// This replica is not the leader of the claim group.
    NotLeader {
        /// Member id of the current leader, if known.
        leader: Option<u64>,
    },
    /// There was no result in time.
    Unavailable {
        /// Whether the command may still take effect.
        verdict: Verdict,
    },
}

/// A generation that a proxy refused to apply.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RefusedGeneration {
    /// Number of the generation.
    pub generation: u64,
    /// Why the proxy refused it.
    pub error: String,
}

/// State of a proxy: what it has applied and what it subscribes to.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ProxyState {
    /// Name and location of the proxy.
    pub name: ProxyName,
    /// Applied generation; `None` for a proxy that has just started without stored state.
    pub generation: Option<u64>,
    /// Digest of the applied bundle, or of the empty bundle if none is applied.
    pub digest: Digest,
    /// Generation that the proxy refused, if any.
    pub refused: Option<RefusedGeneration>,
    /// Services that the proxy's routes use.
    pub services: Vec<String>,
    /// Relay epoch of the proxy's endpoint view.
    pub endpoint_epoch: u64,
    /// Sequence number of the proxy's endpoint view.
    pub endpoint_sequence: u64,
}

/// A proxy's long poll for updates; the relay holds the request until there is one.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ProxyPoll {
    /// Full state: in the first request of a connection, and whenever [`ProxyPoll::Applied`] does
    /// not hold.
    State(ProxyState),
    /// Everything in the previous response was applied.
    Applied,
}

/// A target generation and how to reach it from what the proxy has.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ConfigUpdate {
    /// Target generation.
    pub generation: u64,
    /// Approval of the bundle, if it has one.
    pub approval: Option<Approval>,
    /// Whether a quorum confirmed, after the proxy's first request, that the view from which this
    /// target comes was the newest accepted one.
    pub confirmed: bool,
    /// The bundle's content, complete or as a delta, with its digest.
    pub update: BundleUpdate,
}

/// Updates for a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ProxyUpdate {
    /// New target, if it changed.
    pub config: Option<ConfigUpdate>,
    /// Endpoint changes, if any.
    pub endpoints: Option<EndpointUpdate>,
    /// Time since the relay last heard from the control leader, in milliseconds.
    pub source_age_ms: u32,
}

/// Response to [`ProxyPoll`].
#[expect(clippy::large_enum_variant, reason = "one at a time per connection; never stored")]
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum ProxyReply {
    /// No update within the hold time.
    Unchanged {
        /// Time since the relay last heard from the control leader, in milliseconds.
        source_age_ms: u32,
    },
    /// New configuration, endpoint changes or both.
    Update(ProxyUpdate),
    /// The relay is at its limit of concurrent catch-ups, or has no configuration yet.
    Busy {
        /// Delay before the retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// The relay is shutting down; the proxy should connect to another one.
    Leaving,
}

/// A proxy's observations of backends.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ProxyObservation {
    /// Marks of backends that announced that they are leaving.
    pub leaving: Vec<LeavingMark>,
}

/// Response to [`ProxyObservation`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ObservationReply {
    /// Number of reported marks that the relay did not have yet.
    pub new_marks: u32,
}

/// A relay's long poll for the leaving marks of a peer relay.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MirrorRequest {
    /// Epoch of the peer as of its previous reply.
    pub epoch: u64,
    /// Sequence number of the peer as of its previous reply.
    pub sequence: u64,
}

/// Response to [`MirrorRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MirrorReply {
    /// Epoch of the responding relay.
    pub epoch: u64,
    /// Sequence number of the responding relay.
    pub sequence: u64,
    /// Marks added after the epoch and sequence number in the request.
    pub marks: Vec<LeavingMark>,
    /// Number of the responding relay's proxies that subscribe to each service.
    pub subscribers: Vec<(String, u32)>,
}
