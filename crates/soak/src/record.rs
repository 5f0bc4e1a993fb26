//! Recorded events of one soak test.

use crate::Millis;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A response arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the body is the upstream's complete answer to this very call. Only evaluated for
        /// status 200.
        body_matches: bool,
    },
    /// The connection ended after the call was sent.
    Cut,
    /// A reused connection ended before any of the response arrived. The server may have closed it
    /// while the call was in flight, in which case the call was not read.
    ClosedBetween,
    /// No connection could be established.
    NotConnected,
}

/// A call of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the call.
    pub id: u64,
    /// Machine of the sidecar that the call was sent to.
    pub machine: u8,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Configuration version whose route the call used; `None` for the route that exists in all
    /// versions.
    pub version: Option<u64>,
    /// When the call was sent.
    pub sent: Millis,
    /// When the call ended.
    pub ended: Millis,
    /// How the call ended.
    pub outcome: CallOutcome,
}

/// The start of an execution of a call by an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Id of the call.
    pub call: u64,
    /// The machine of the upstream.
    pub machine: u8,
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// When the execution started.
    pub at: Millis,
}

/// What an upstream states in all its answers from a time on.
#[derive(Clone, Copy, Debug)]
pub struct LimitStatement {
    /// The machine of the upstream.
    pub machine: u8,
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// When it began to state this.
    pub at: Millis,
    /// Calls per second that it takes from all machines together; `None` without a limit.
    pub per_s: Option<f64>,
}

/// An answer of an upstream that reached a caller and stated something of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct PassedOn {
    /// Machine of the sidecar that passed the answer on.
    pub machine: u8,
    /// Machine of the upstream.
    pub upstream: u8,
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// When the caller had the answer.
    pub at: Millis,
    /// Whether it stated a limit.
    pub limited: bool,
    /// Whether it stated that the upstream is leaving.
    pub leaving: bool,
}

/// A crash of an upstream caused by a poison request.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// Id of the poison request.
    pub poison: u64,
    /// The machine of the upstream.
    pub machine: u8,
    /// When the upstream crashed.
    pub at: Millis,
}

/// A configuration version that the operator submitted.
#[derive(Clone, Copy, Debug)]
pub struct ConfigSubmission {
    /// The version. It drops the routes of the previous one.
    pub version: u64,
    /// When it was acknowledged, if it was.
    pub acknowledged: Option<Millis>,
}

/// Kind of fault injected on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A process is killed and restarted.
    Kill,
    /// A process is paused and resumed.
    Freeze,
    /// A coordinator is killed and loses its disk.
    Wipe,
    /// A process is stopped gracefully and restarted.
    Stop,
    /// An upstream announced that it is leaving. The fault starts when that was acknowledged.
    Drain,
}

/// An injected fault.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Affected machine.
    pub machine: u8,
    /// Whether it affected a coordinator: that may delay versions but interrupts no call.
    pub coordinators: bool,
    /// Start of the fault.
    pub from: Millis,
    /// End of the fault.
    pub to: Millis,
}

/// Limit on repeats of calls per window.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBounds {
    /// Repeats allowed per call.
    pub ratio: f64,
    /// Repeats allowed in addition.
    pub slack: f64,
    /// Length of the window, milliseconds.
    pub window: Millis,
}

/// Limit on the calls to an upstream that states how many it takes; durations in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LimitBounds {
    /// Calls allowed in a window, per call that the stated limit allows.
    pub factor: f64,
    /// Calls allowed in addition.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
    /// From the first statement until the limit is checked.
    pub contact: Millis,
    /// From the time at which a machine passed a statement on until the statement binds it.
    pub notice: Millis,
}

/// Limits that the guarantees allow; durations in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From the acknowledgement of a version until it is in force.
    pub apply: Millis,
    /// From the acknowledgement that an upstream is leaving until its last new call.
    pub drain: Millis,
    /// From the time at which a call was sent until the process that it was sent to must have read it.
    pub loss_slack: Millis,
    /// From the signal to stop until a process must have ended.
    pub stop_limit: Millis,
    /// Longest time of a call.
    pub route_timeout: Millis,
    /// Time after a fault until guarantees on the affected machine are checked again.
    pub settle: Millis,
    /// Limit on repeats of calls across the fleet.
    pub repeats: RepeatBounds,
    /// Limit on the calls to an upstream that states one.
    pub limits: LimitBounds,
}

/// Everything that was observed in a soak test.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Calls of all callers.
    pub calls: Vec<Call>,
    /// Executions of calls by upstreams.
    pub runs: Vec<Run>,
    /// Limits that upstreams stated, in order of time.
    pub limits: Vec<LimitStatement>,
    /// Statements that reached callers.
    pub passed_on: Vec<PassedOn>,
    /// Crashes of upstreams caused by poison requests.
    pub crashes: Vec<Crash>,
    /// When an operator cleared the quarantine.
    pub quarantine_clears: Vec<Millis>,
    /// Submitted configurations, by ascending version.
    pub submissions: Vec<ConfigSubmission>,
    /// Injected faults.
    pub faults: Vec<Fault>,
    /// When the last fault ended.
    pub faults_end: Millis,
    /// Configuration version read back at the end.
    pub read_back: Option<u64>,
    /// Whether upstreams gave every request that they got a whole answer.
    pub sound_upstreams: bool,
}
