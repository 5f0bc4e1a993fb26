//! Events of one soak.

use crate::Millis;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// An answer came; `body_matches` if a success carried the answer to this very call.
    Answered {
        /// Its status.
        status: u16,
        /// Whether the body is the upstream's whole answer to this call.
        body_matches: bool,
    },
    /// The connection ended after the call was sent.
    Cut,
    /// The connection, which had served calls before, ended before any of the answer: the call may
    /// have crossed the close, and was not read then.
    ClosedBetween,
    /// There was no connection.
    NotConnected,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: u64,
    /// The sidecar it was sent to.
    pub machine: u8,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The version whose route it used; `None` for the route of all versions.
    pub version: Option<u64>,
    /// When it was sent.
    pub sent: Millis,
    /// When it ended.
    pub ended: Millis,
    /// How.
    pub outcome: CallOutcome,
}

/// A run that an upstream began.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Id of the call.
    pub call: u64,
    /// The machine of the upstream.
    pub machine: u8,
    /// When.
    pub at: Millis,
}

/// An upstream that ended because of a request.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// Which request.
    pub poison: u64,
    /// The machine of the upstream.
    pub machine: u8,
    /// When.
    pub at: Millis,
}

/// A configuration that was sent by the operator.
#[derive(Clone, Copy, Debug)]
pub struct ConfigSubmission {
    /// Its version; the routes of the version before are dropped with it.
    pub version: u64,
    /// When it was acknowledged, if it was.
    pub acknowledged: Option<Millis>,
}

/// What was done to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Killed, and started again.
    Kill,
    /// Frozen, and woken.
    Freeze,
    /// A coordinator killed; it lost its disk.
    Wipe,
    /// Asked to stop, and started again.
    Stop,
    /// The upstream said that it leaves, which was acknowledged at the end of the span.
    Drain,
}

/// One fault.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// Where.
    pub machine: u8,
    /// Whether it struck coordinators: they delay versions, and carry no call.
    pub coordinators: bool,
    /// From when.
    pub from: Millis,
    /// Until when.
    pub to: Millis,
}

/// How often calls may be sent again.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBounds {
    /// Per call.
    pub ratio: f64,
    /// Besides.
    pub slack: f64,
    /// Length of the window, milliseconds.
    pub window: Millis,
}

/// Times that the promises allow, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From an acknowledgement until the version is in force.
    pub apply: Millis,
    /// From the acknowledgement of an upstream's leaving until its last new work.
    pub drain: Millis,
    /// After a fault, until a machine is held to its promises again.
    pub settle: Millis,
    /// The fleet's bound on repeats.
    pub repeats: RepeatBounds,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Calls.
    pub calls: Vec<Call>,
    /// Runs at upstreams.
    pub runs: Vec<Run>,
    /// Upstreams that ended because of a request.
    pub crashes: Vec<Crash>,
    /// When an operator cleared all that was in quarantine.
    pub quarantine_clears: Vec<Millis>,
    /// Orders, in the order of their versions.
    pub submissions: Vec<ConfigSubmission>,
    /// Faults.
    pub faults: Vec<Fault>,
    /// When the last fault was over.
    pub faults_end: Millis,
    /// The version read back at the end.
    pub read_back: Option<u64>,
}
